use super::*;

#[test]
fn an_answer_is_told_by_its_status_and_a_broken_one_is_none() {
    let probe = |input: &[u8]| {
        let mut probing = Probing { again: true, ..Probing::default() };
        probing.take(input).unwrap_or_else(|| probing.ended().unwrap())
    };
    let (result, load) = probe(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nutil=0.25");
    assert_eq!((result, load.cpu), (Probe::Ok, Some(0.25)));
    assert_eq!(probe(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").0, Probe::PushedBack);
    assert_eq!(probe(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n").0, Probe::Aborted);
    assert_eq!(probe(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nutil").0, Probe::Unanswered);
    assert_eq!(probe(b"\x16\x03").0, Probe::Unanswered);
}

/// A healthy server was held sick after two probes whose connections the path had reset.
#[test]
fn a_connection_that_was_reset_is_tried_once_more() {
    let mut probing = Probing::default();
    assert_eq!(probing.take(b"HTTP/1.1 200 OK\r\nContent-Le"), None);
    assert_eq!(probing.ended(), None);
    assert_eq!(probing.take(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap().0, Probe::Ok);
    let mut probing = Probing::default();
    assert_eq!((probing.ended(), probing.ended().unwrap().0), (None, Probe::Unanswered));
}
