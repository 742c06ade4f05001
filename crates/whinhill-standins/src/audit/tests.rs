//! Audits of hand-written events: for each rule events that keep it and events that violate it.

use super::*;

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn name(text: &str) -> Name {
    text.into()
}

fn limits() -> Limits {
    Limits {
        max_without_line: secs(5.0),
        drain_grace: secs(2.0),
        warm_up: secs(10.0),
        cold_capacity: 0.2,
        overload_factor: 3.0,
        overload_window: secs(1.0),
        max_backlog: 100.0,
        slack: Duration::ZERO,
    }
}

fn stored(epoch: u64, owner: &str) -> Event {
    Event::RecordStored { slice: 1, epoch, holder: Some("a".into()), owner: Some(name(owner)) }
}

fn began(server: &str, rpc: u64) -> Event {
    Event::ExecutionStarted { server: name(server), rpc, slice: 1, write: true, once: true }
}

fn ended(server: &str, rpc: u64) -> Event {
    Event::ExecutionEnded { server: name(server), rpc, slice: 1, write: true }
}

fn arrived(server: &str, work: f64) -> Event {
    Event::RpcArrived { server: name(server), rpc: 9, slice: 1, write: false, proxy: name("p"), work }
}

fn connected(up: bool) -> Event {
    Event::AssignerConnection { proxy: name("p"), assigner: name("a"), up }
}

/// Proxy `p` with both its connections to assigner `a`, which has custody of slice 1, owned by `x`.
fn connected_proxy() -> Vec<(Duration, Event)> {
    vec![(secs(0.0), stored(1, "x")), (secs(0.1), connected(true)), (secs(0.1), connected(true))]
}

/// Audits a connected proxy with more events.
fn audit_of(more: Vec<(f64, Event)>) -> Audit {
    let mut events = connected_proxy();
    events.extend(more.into_iter().map(|(at, what)| (secs(at), what)));
    audit(&events, &limits(), 0)
}

#[test]
fn sequential_writes_across_a_handover_break_no_rule() {
    let audit = audit_of(vec![
        (1.0, began("x", 1)),
        (1.2, ended("x", 1)),
        (2.0, stored(1, "y")),
        (2.1, began("y", 2)),
        (2.3, ended("y", 2)),
    ]);
    assert_eq!((audit.rules.total(), audit.handovers), (0, 1), "{audit:?}");
}

#[test]
fn write_executed_twice_is_reported() {
    let twice = vec![(1.0, began("x", 1)), (1.1, ended("x", 1)), (1.2, began("x", 1)), (1.3, ended("x", 1))];
    assert_eq!(audit_of(twice).writes_executed_twice, 1);
}

#[test]
fn concurrent_writes_at_two_servers_are_reported() {
    let broken = audit_of(vec![
        (1.0, began("x", 1)),
        (1.1, stored(1, "y")),
        (1.2, began("y", 2)),
        (1.3, ended("x", 1)),
    ]);
    assert_eq!((broken.overlapping_writes, broken.stale_writes), (1, 0), "{broken:?}");
}

#[test]
fn write_at_former_owner_after_newer_write_is_reported() {
    let broken = audit_of(vec![
        (1.0, stored(1, "y")),
        (1.1, began("y", 1)),
        (1.2, ended("y", 1)),
        (1.3, began("x", 2)),
        (1.4, ended("x", 2)),
    ]);
    assert_eq!((broken.overlapping_writes, broken.stale_writes), (0, 1), "{broken:?}");
    // An owner that owns the slice again is not a former one.
    let back = audit_of(vec![
        (1.0, stored(1, "y")),
        (1.1, began("y", 1)),
        (1.2, ended("y", 1)),
        (1.3, stored(1, "x")),
        (1.4, began("x", 2)),
    ]);
    assert_eq!(back.stale_writes, 0, "{back:?}");
}

#[test]
fn request_after_drain_grace_is_reported_unless_proxy_is_disconnected() {
    let draining = || (1.0, Event::ServerListed { server: name("x"), state: Some(RosterState::Draining) });
    assert_eq!(audit_of(vec![draining(), (2.9, arrived("x", 0.1))]).rules.drains_kept, 0);
    assert_eq!(audit_of(vec![draining(), (3.1, arrived("x", 0.1))]).rules.drains_kept, 1);
    let cut = Event::AssignerLinkCut { proxy: name("p"), assigner: name("a"), cut: true };
    assert_eq!(audit_of(vec![draining(), (2.0, cut), (3.1, arrived("x", 0.1))]).rules.drains_kept, 0);
    assert_eq!(
        audit_of(vec![draining(), (2.0, connected(false)), (3.1, arrived("x", 0.1))]).rules.drains_kept,
        0
    );
    // An RPC that a faulty link delayed may have been sent in time. A link that recovered long before excuses nothing.
    let impaired =
        |at: f64, impaired| (at, Event::ServerLinkImpaired { proxy: name("p"), server: name("x"), impaired });
    let violations_with_impairment = |from: f64, to: f64| {
        let day = vec![draining(), impaired(from, true), impaired(to, false), (4.0, arrived("x", 0.1))];
        audit_of(day).rules.drains_kept
    };
    assert_eq!((violations_with_impairment(1.5, 3.9), violations_with_impairment(1.1, 1.2)), (0, 1));
    let died = Event::AssignerRunning { assigner: name("a"), running: false };
    assert_eq!(audit_of(vec![draining(), (2.0, died), (3.1, arrived("x", 0.1))]).rules.drains_kept, 0);
}

#[test]
fn overloaded_cold_server_is_reported_and_warm_server_is_not() {
    let day = |cold: bool, work: f64| {
        let start = (1.0, Event::ServerStarted { server: name("x"), cold, capacity: 1.0 });
        let burst = (0..10).map(|k| (1.5 + f64::from(k) * 0.01, arrived("x", work)));
        audit_of(std::iter::once(start).chain(burst).collect()).rules.cold_servers
    };
    // In a second it can do about 0.24 of work. Three times that and a margin of four RPCs are allowed.
    assert_eq!((day(true, 0.2), day(true, 0.05), day(false, 0.2)), (1, 0, 0));
}

#[test]
fn slice_without_line_is_reported_only_while_a_warm_server_is_listed() {
    let answer = |at: f64, no_line: bool| {
        let events = Event::RpcAnswered {
            rpc: 1,
            proxy: name("p"),
            slice: 1,
            ok: !no_line,
            in_time: !no_line,
            no_line,
        };
        (at, events)
    };
    let ready = (0.5, Event::ServerListed { server: name("y"), state: Some(RosterState::Ready) });
    assert_eq!(
        audit_of(vec![ready.clone(), answer(1.0, true), answer(6.5, true)]).rules.no_proxy_without_a_line,
        1
    );
    assert_eq!(
        audit_of(vec![ready.clone(), answer(1.0, true), answer(5.0, false), answer(6.5, true)]).rules.total(),
        0
    );
    assert_eq!(audit_of(vec![answer(1.0, true), answer(6.5, true)]).rules.total(), 0);
}

#[test]
fn backlog_over_the_limit_is_reported() {
    assert_eq!(audit(&connected_proxy(), &limits(), 100).rules.short_queue, 0);
    assert_eq!(audit(&connected_proxy(), &limits(), 101).rules.short_queue, 1);
}
