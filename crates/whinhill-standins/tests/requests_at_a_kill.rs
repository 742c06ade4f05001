//! What the auditor excuses at a kill and in a crowd, and what not.

use std::time::Duration;

use whinhill_standins::platform::audit::{judge, Crowd, End, Excuses, RequestAudit, Way};
use whinhill_standins::platform::clients::{Ending, Request};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// SIGTERM at 10 s, the kill 0.7 s later, the process gone 5 ms after it, and the next one there after half a second.
fn ended() -> Excuses {
    let end = End { told: Some(ms(10_000)), killed: ms(10_700), gone: ms(10_705), back: Some(ms(11_200)) };
    Excuses { ends: vec![end], ..Excuses::default() }
}

/// A request on a connection of 9 s that broke.
fn broken(sent: u64, never_looks: bool) -> Request {
    Request {
        client: 0,
        local: ([127, 0, 0, 1], 1).into(),
        earlier: 3,
        opened: ms(9_000),
        sent: ms(sent),
        written: ms(sent),
        never_looks,
        took: ms(1),
        ending: Ending::Reset,
    }
}

fn judged(request: &Request, way: Way, excuses: &Excuses) -> RequestAudit {
    judge(0, std::slice::from_ref(request), Duration::ZERO, way, excuses)
}

/// Unanswered and cut ones of a request at a time under the end above.
fn at_the_end(sent: u64, never_looks: bool) -> (usize, usize) {
    let audit = judged(&broken(sent, never_looks), Way::Direct, &ended());
    (audit.unanswered, audit.cut)
}

#[test]
fn a_request_well_before_the_kill_has_to_be_answered() {
    for never_looks in [false, true] {
        for sent in [9_990, 10_100, 10_650, 10_680] {
            assert_eq!(at_the_end(sent, never_looks), (1, 0), "{sent}, {never_looks}");
        }
        assert_eq!(at_the_end(10_681, never_looks), (0, 1), "{never_looks}");
        assert_eq!(at_the_end(10_740, never_looks), (0, 1), "{never_looks}");
    }
}

/// Whoever looks has seen the end by then. Whoever does not learns of it by its next request on the connection.
#[test]
fn a_request_after_the_kill_is_excused_on_a_connection_of_before() {
    assert_eq!(at_the_end(10_800, false), (1, 0));
    assert_eq!(at_the_end(10_800, true), (0, 1));
    let opened_later = Request { opened: ms(11_200), ..broken(11_300, true) };
    assert_eq!(judged(&opened_later, Way::Direct, &ended()).unanswered, 1);
}

/// A kill that came late: the process may have begun to end.
#[test]
fn the_process_may_end_three_quarters_of_a_second_after_sigterm() {
    let mut excuses = ended();
    (excuses.ends[0].killed, excuses.ends[0].gone) = (ms(10_900), ms(10_905));
    assert_eq!(judged(&broken(10_730, true), Way::Direct, &excuses).unanswered, 1);
    assert_eq!(judged(&broken(10_731, true), Way::Direct, &excuses).cut, 1);
}

/// A killed process that is not gone within milliseconds got no processor, and could not answer before the kill either.
#[test]
fn a_machine_that_starved_the_process_at_the_kill_excuses_as_much_before_it() {
    let mut excuses = ended();
    for (gone, owed_until) in [(10_720, 10_680), (10_800, 10_580)] {
        excuses.ends[0].gone = ms(gone);
        assert_eq!(judged(&broken(owed_until, true), Way::Direct, &excuses).unanswered, 1, "{gone}");
        assert_eq!(judged(&broken(owed_until + 1, true), Way::Direct, &excuses).cut, 1, "{gone}");
    }
}

/// A proxy of bytes takes connections while no process is there; after the next answer nothing is excused.
#[test]
fn by_a_proxy_requests_are_excused_until_the_next_process_answers() {
    for (sent, excused) in [(10_500, 0), (10_650, 1), (11_100, 1), (11_290, 1), (11_310, 0)] {
        let request = Request { opened: ms(sent - 5), ..broken(sent, false) };
        assert_eq!(judged(&request, Way::ByProxy, &ended()).cut, excused, "{sent}");
    }
}

/// More clients than places: only who does not look whether it has given its place up loses a request.
#[test]
fn a_crowd_excuses_only_who_does_not_look() {
    let crowd = |clients| Crowd { clients, from: ms(8_000), until: Some(ms(9_500)) };
    let excuses = |clients| Excuses { crowds: vec![crowd(clients)], ..Excuses::default() };
    let crowded_out = |sent, never_looks, clients| {
        judged(&broken(sent, never_looks), Way::Direct, &excuses(clients)).crowded_out
    };
    assert_eq!(crowded_out(9_200, true, 300), 1);
    assert_eq!(crowded_out(9_200, false, 300), 0);
    assert_eq!(crowded_out(9_200, true, 150), 0);
    assert_eq!(crowded_out(9_900, true, 300), 0);
}

/// Once an assigner has been told to end it has more places.
#[test]
fn a_crowd_that_fits_at_the_end_excuses_nothing_then() {
    let crowd = Crowd { clients: 220, from: ms(8_000), until: None };
    let excuses = Excuses { crowds: vec![crowd], ..ended() };
    let crowded_out = |sent| judged(&broken(sent, true), Way::Direct, &excuses).crowded_out;
    assert_eq!((crowded_out(9_900), crowded_out(10_400)), (1, 0));
}
