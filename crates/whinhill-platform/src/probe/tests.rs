use super::*;

#[test]
fn status_gives_the_result_and_a_broken_response_is_unanswered() {
    let probe = |input: &[u8]| {
        let mut exchange = ProbeExchange { retried: true, ..ProbeExchange::default() };
        exchange.receive(input).unwrap_or_else(|| exchange.on_connection_end().unwrap())
    };
    let (result, load) = probe(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nutil=0.25");
    assert_eq!((result, load.cpu), (ProbeOutcome::Ok, Some(0.25)));
    assert_eq!(probe(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").0, ProbeOutcome::PushedBack);
    assert_eq!(probe(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n").0, ProbeOutcome::Aborted);
    assert_eq!(probe(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nutil").0, ProbeOutcome::Unanswered);
    assert_eq!(probe(b"\x16\x03").0, ProbeOutcome::Unanswered);
}

/// Resets by the network are no sign of an unhealthy server. Two of them, one in each of two probes, had made the
/// assigner take a healthy server for unhealthy.
#[test]
fn reset_connection_is_tried_once_more() {
    let mut exchange = ProbeExchange::default();
    assert_eq!(exchange.receive(b"HTTP/1.1 200 OK\r\nContent-Le"), None);
    assert_eq!(exchange.on_connection_end(), None);
    assert_eq!(
        exchange.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap().0,
        ProbeOutcome::Ok
    );
    let mut exchange = ProbeExchange::default();
    assert_eq!(
        (exchange.on_connection_end(), exchange.on_connection_end().unwrap().0),
        (None, ProbeOutcome::Unanswered)
    );
}
