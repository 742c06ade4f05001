use super::*;

fn list(version: u64, is_full: bool) -> Roster {
    Roster { version, is_full, servers: Vec::new() }
}

/// The lists of a result without an error.
fn lists_of(received: ReceivedLists) -> Vec<Roster> {
    assert!(received.error.is_none(), "{received:?}");
    received.lists
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A list is valid once discovery has sent it whole, whatever follows it.
#[test]
fn lists_before_invalid_bytes_are_accepted() {
    let good = "{\"index\":1,\"snapshot\":true,\"endpoints\":[]}\n";
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let bad = [
        format!("{HEAD}{}", chunk(&format!("{good}{{\"index\"\n"))),
        format!("{HEAD}{}{}", chunk(good), chunk("no list\n")),
        format!("{HEAD}{}what is no chunk\r\n", chunk(good)),
    ];
    for input in bad {
        let received = DiscoveryRequest::watch().receive(input.as_bytes());
        assert_eq!(received.lists, [list(1, true)], "{input:?}");
        assert!(received.error.is_some(), "{input:?}");
    }
}

/// Bytes that complete neither the head nor a line are no sign of life: a list may stall halfway for good.
#[test]
fn only_the_head_and_whole_lines_are_signs_of_life() {
    let mut watch = DiscoveryRequest::watch();
    let (begin, end) = HEAD.as_bytes().split_at(20);
    let signs = |received: ReceivedLists| (received.is_alive, received.is_current);
    assert_eq!(signs(watch.receive(begin)), (false, false));
    assert_eq!(signs(watch.receive(end)), (true, false));
    assert_eq!(signs(watch.receive(b"9\r\n{\"index\"")), (false, false));
    let mut watch = DiscoveryRequest::watch();
    assert_eq!(signs(watch.receive(format!("{HEAD}1\r\n\n\r\n").as_bytes())), (true, true));
}

#[test]
fn watch_yields_its_lists_in_pieces_of_any_size() {
    let lines = "{\"index\":1,\"snapshot\":true,\"endpoints\":[]}\n\n{\"index\":2,\"snapshot\":false,\"endpoints\":[]}\n";
    let mut input = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for piece in lines.as_bytes().chunks(11) {
        input.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        input.extend_from_slice(piece);
        input.extend_from_slice(b"\r\n");
    }
    for piece in [1, 3, 17, input.len()] {
        let mut request = DiscoveryRequest::watch();
        let lists: Vec<Roster> = input.chunks(piece).flat_map(|b| lists_of(request.receive(b))).collect();
        assert_eq!(lists, [list(1, true), list(2, false)], "in pieces of {piece}");
        assert!(request.on_connection_end().is_err(), "a watch never ends well");
    }
}

#[test]
fn error_status_or_truncated_list_is_a_failure() {
    assert!(DiscoveryRequest::fetch().receive(b"HTTP/1.1 503 Busy\r\n\r\n").error.is_some());
    let mut request = DiscoveryRequest::fetch();
    let received = request.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"index\":1");
    assert!(lists_of(received).is_empty());
    assert!(request.on_connection_end().is_err());
}

/// An old list must not bring back a server that is known to drain.
#[test]
fn older_list_is_rejected_until_it_persists() {
    let mut version = VersionTracker::new(5);
    assert_eq!(version.accept(&list(6, false)), Some(ListKind::Changes));
    assert_eq!(version.accept(&list(5, true)), None);
    assert_eq!(version.accept(&list(6, true)), Some(ListKind::Full));
    assert_eq!([0; 3].map(|_| version.accept(&list(2, true))), [None, None, Some(ListKind::Full)]);
    assert_eq!(version.held(), 2);
}
