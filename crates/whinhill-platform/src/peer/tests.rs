use super::*;
use whinhill::interface::Settings;

fn names() -> Names {
    let pairs =
        [("zones", "a"), ("classes.count", "1"), ("classes.0.name", "look"), ("familyInfo.shards", "9")];
    Names::new(&Settings(pairs.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect()))
}

fn receive(input: &[u8], piece: usize) -> (Vec<PeerMessage>, Result<(), PeerError>) {
    let (mut peer, mut messages) = (Peer::default(), Vec::new());
    let result =
        input.chunks(piece).try_for_each(|bytes| peer.receive(bytes, usize::MAX, &names(), &mut messages));
    (messages, result)
}

const DEMAND: &str =
    "{\"@type\":\"hot\",\"range\":8,\"lane\":\"look\",\"count\":4,\"fail\":1,\"over\":1000.0}\n";

#[test]
fn invalid_report_is_dropped_and_those_around_it_are_accepted() {
    let input =
        format!("{{\"@type\":\"agent\",\"site\":\"a\"}}\n{DEMAND}{}{DEMAND}", DEMAND.replace("look", "x"));
    for piece in [1, 5, 1000] {
        let (messages, result) = receive(input.as_bytes(), piece);
        assert_eq!(result, Ok(()));
        assert!(matches!(
            messages[..],
            [
                PeerMessage::Joined(0),
                PeerMessage::Report(_),
                PeerMessage::InvalidReport(ReportError::Unknown("lane")),
                PeerMessage::Report(_)
            ]
        ));
    }
}

#[test]
fn invalid_message_of_an_unjoined_peer_is_refused_with_its_error() {
    assert_eq!(receive(b"{\"@type\":\"probe\"}\n", 3), (vec![PeerMessage::LivenessCheck], Ok(())));
    let unknown_type = b"{\"@type\":\"hello\",\"id\":1}\n".as_slice();
    let unterminated = [b"{".as_slice(), &[b' '; 5000]].concat();
    for (input, wanted) in [
        (b"GET / HTTP/1.1\r\n".as_slice(), PeerError::Malformed),
        (b"\x00\x00\x00\x10", PeerError::Malformed),
        (b"{\"@type\":\"agent\",\"site\":\"z\"}\n", PeerError::UnknownZone),
        (DEMAND.as_bytes(), PeerError::NotJoined),
        (unknown_type, PeerError::NotJoined),
        (b"{\"@type\":\n", PeerError::Malformed),
        (&unterminated, PeerError::MessageTooLong),
    ] {
        assert_eq!(receive(input, 4).1, Err(wanted), "{}", String::from_utf8_lossy(&input[..4]));
    }
}

/// A collector sends a malformed message after valid ones: its connection can no longer be used.
#[test]
fn collector_that_sends_garbage_is_refused() {
    let input = format!("{{\"@type\":\"agent\",\"site\":\"a\"}}\n{DEMAND}\u{1}garbage");
    let (messages, result) = receive(input.as_bytes(), 7);
    assert_eq!((messages.len(), result), (2, Err(PeerError::Malformed)));
}
