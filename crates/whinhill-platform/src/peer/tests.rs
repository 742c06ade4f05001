use super::*;
use whinhill::interface::Settings;

fn names() -> Names {
    let pairs =
        [("zones", "a"), ("classes.count", "1"), ("classes.0.name", "look"), ("familyInfo.shards", "9")];
    Names::new(&Settings(pairs.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect()))
}

fn take(input: &[u8], piece: usize) -> (Vec<Heard>, Result<(), Refused>) {
    let (mut peer, mut heard) = (Peer::default(), Vec::new());
    let result = input.chunks(piece).try_for_each(|bytes| peer.take(bytes, &names(), &mut heard));
    (heard, result)
}

const HOT: &str =
    "{\"@type\":\"hot\",\"range\":8,\"lane\":\"look\",\"count\":4,\"fail\":1,\"over\":1000.0}\n";

#[test]
fn a_spoilt_report_is_dropped_and_those_around_it_are_taken() {
    let input = format!("{{\"@type\":\"agent\",\"site\":\"a\"}}\n{HOT}{}{HOT}", HOT.replace("look", "x"));
    for piece in [1, 5, 1000] {
        let (heard, result) = take(input.as_bytes(), piece);
        assert_eq!(result, Ok(()));
        assert!(matches!(
            heard[..],
            [Heard::Joined(0), Heard::Report(_), Heard::Dropped(Spoilt::Unknown("lane")), Heard::Report(_)]
        ));
    }
}

#[test]
fn strangers_are_refused_by_what_they_send() {
    assert_eq!(take(b"{\"@type\":\"probe\"}\n", 3), (vec![Heard::AreYouAlive], Ok(())));
    let hello = b"{\"@type\":\"hello\",\"id\":1}\n".as_slice();
    let endless = [b"{".as_slice(), &[b' '; 5000]].concat();
    for (input, wanted) in [
        (b"GET / HTTP/1.1\r\n".as_slice(), Refused::Unreadable),
        (b"\x00\x00\x00\x10", Refused::Unreadable),
        (b"{\"@type\":\"agent\",\"site\":\"z\"}\n", Refused::UnknownZone),
        (HOT.as_bytes(), Refused::NotJoined),
        (hello, Refused::NotJoined),
        (b"{\"@type\":\n", Refused::Unreadable),
        (&endless, Refused::Endless),
    ] {
        assert_eq!(take(input, 4).1, Err(wanted), "{}", String::from_utf8_lossy(&input[..4]));
    }
}

/// A collector may go on with what can't be read: that connection can no longer be used.
#[test]
fn a_collector_that_goes_on_with_garbage_is_refused() {
    let input = format!("{{\"@type\":\"agent\",\"site\":\"a\"}}\n{HOT}\u{1}garbage");
    let (heard, result) = take(input.as_bytes(), 7);
    assert_eq!((heard.len(), result), (2, Err(Refused::Unreadable)));
}
