//! Which unanswered requests the platform's auditor excuses when a process is killed and when clients exceed the
//! number of connections, and which it does not.

use std::time::Duration;

use whinhill_standins::platform::audit::{
    audit_requests, ClientPath, Crowd, Excuses, ProcessEnd, RequestAudit,
};
use whinhill_standins::platform::clients::{Ending, Request};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// SIGTERM at 10 s, the kill 0.7 s later, the process gone 5 ms after it, and the next process up 0.5 s after the kill.
fn excuses_of_one_kill() -> Excuses {
    let end = ProcessEnd {
        term_sent_at: Some(ms(10_000)),
        kill_sent_at: ms(10_700),
        exited_at: ms(10_705),
        next_ready_at: Some(ms(11_200)),
    };
    Excuses { ends: vec![end], ..Excuses::default() }
}

/// A request that was sent at `sent` on a connection opened at 9 s, and that ended with a reset.
fn reset_request(sent: u64, never_checks: bool) -> Request {
    Request {
        client: 0,
        local_addr: ([127, 0, 0, 1], 1).into(),
        earlier_requests: 3,
        connected_at: ms(9_000),
        sent_at: ms(sent),
        written_at: ms(sent),
        never_checks,
        took: ms(1),
        ending: Ending::Reset,
    }
}

fn audit_of(request: &Request, client_path: ClientPath, excuses: &Excuses) -> RequestAudit {
    audit_requests(0, std::slice::from_ref(request), Duration::ZERO, client_path, excuses)
}

/// How many requests the audit counts as unanswered and as cut, of one sent at `sent` around [`excuses_of_one_kill`].
fn unanswered_and_cut(sent: u64, never_checks: bool) -> (usize, usize) {
    let audit = audit_of(&reset_request(sent, never_checks), ClientPath::Direct, &excuses_of_one_kill());
    (audit.unanswered, audit.cut)
}

#[test]
fn request_well_before_the_kill_must_be_answered() {
    for never_checks in [false, true] {
        for sent in [9_990, 10_100, 10_650, 10_680] {
            assert_eq!(unanswered_and_cut(sent, never_checks), (1, 0), "{sent}, {never_checks}");
        }
        assert_eq!(unanswered_and_cut(10_681, never_checks), (0, 1), "{never_checks}");
        assert_eq!(unanswered_and_cut(10_740, never_checks), (0, 1), "{never_checks}");
    }
}

/// A client that watches its connection has noticed its end by then. One that never does learns of it from its next
/// request on the connection.
#[test]
fn request_after_the_kill_is_excused_on_a_connection_from_before_it() {
    assert_eq!(unanswered_and_cut(10_800, false), (1, 0));
    assert_eq!(unanswered_and_cut(10_800, true), (0, 1));
    let opened_later = Request { connected_at: ms(11_200), ..reset_request(11_300, true) };
    assert_eq!(audit_of(&opened_later, ClientPath::Direct, &excuses_of_one_kill()).unanswered, 1);
}

/// If the kill comes late, the process may already have begun to end by itself.
#[test]
fn process_may_end_three_quarters_of_a_second_after_sigterm() {
    let mut excuses = excuses_of_one_kill();
    (excuses.ends[0].kill_sent_at, excuses.ends[0].exited_at) = (ms(10_900), ms(10_905));
    assert_eq!(audit_of(&reset_request(10_730, true), ClientPath::Direct, &excuses).unanswered, 1);
    assert_eq!(audit_of(&reset_request(10_731, true), ClientPath::Direct, &excuses).cut, 1);
}

/// A killed process that is not gone within milliseconds got no processor time, so it couldn't answer just before the
/// kill either.
#[test]
fn process_starved_at_the_kill_is_excused_for_as_long_before_it() {
    let mut excuses = excuses_of_one_kill();
    for (gone, must_answer_until) in [(10_720, 10_680), (10_800, 10_580)] {
        excuses.ends[0].exited_at = ms(gone);
        assert_eq!(
            audit_of(&reset_request(must_answer_until, true), ClientPath::Direct, &excuses).unanswered,
            1,
            "{gone}"
        );
        assert_eq!(
            audit_of(&reset_request(must_answer_until + 1, true), ClientPath::Direct, &excuses).cut,
            1,
            "{gone}"
        );
    }
}

/// A TCP proxy accepts connections while no process is up. Once the next process answers, nothing is excused.
#[test]
fn requests_through_a_proxy_are_excused_until_the_next_process_answers() {
    for (sent, excused) in [(10_500, 0), (10_650, 1), (11_100, 1), (11_290, 1), (11_310, 0)] {
        let request = Request { connected_at: ms(sent - 5), ..reset_request(sent, false) };
        assert_eq!(audit_of(&request, ClientPath::ByteProxy, &excuses_of_one_kill()).cut, excused, "{sent}");
    }
}

/// With more clients than connections allowed, only a client that never checks whether its connection was closed may
/// lose a request.
#[test]
fn excess_clients_excuse_only_clients_that_never_check_their_connection() {
    let crowd = |clients| Crowd { clients, from: ms(8_000), until: Some(ms(9_500)) };
    let excuses = |clients| Excuses { crowds: vec![crowd(clients)], ..Excuses::default() };
    let crowded_out = |sent, never_checks, clients| {
        audit_of(&reset_request(sent, never_checks), ClientPath::Direct, &excuses(clients)).crowded_out
    };
    assert_eq!(crowded_out(9_200, true, 300), 1);
    assert_eq!(crowded_out(9_200, false, 300), 0);
    assert_eq!(crowded_out(9_200, true, 150), 0);
    assert_eq!(crowded_out(9_900, true, 300), 0);
}

/// An assigner that has been told to end allows more connections.
#[test]
fn crowd_within_the_limit_of_an_ending_assigner_excuses_nothing() {
    let crowd = Crowd { clients: 220, from: ms(8_000), until: None };
    let excuses = Excuses { crowds: vec![crowd], ..excuses_of_one_kill() };
    let crowded_out = |sent| audit_of(&reset_request(sent, true), ClientPath::Direct, &excuses).crowded_out;
    assert_eq!((crowded_out(9_900), crowded_out(10_400)), (1, 0));
}
