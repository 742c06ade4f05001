//! Hand-made records: for each rule one that keeps it and one that breaks it.

use super::*;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn name(text: &str) -> Server {
    text.into()
}

fn limits() -> Limits {
    Limits {
        empty: s(5.0),
        grace: s(2.0),
        warm_after: s(10.0),
        cold_from: 0.2,
        fall_multiple: 3.0,
        fall: s(1.0),
        backlog: 100.0,
        slack: Duration::ZERO,
    }
}

fn stored(epoch: u64, owner: &str) -> Seen {
    Seen::Stored { slice: 1, epoch, holder: Some("a".into()), owner: Some(name(owner)) }
}

fn began(server: &str, rpc: u64) -> Seen {
    Seen::Began { server: name(server), rpc, slice: 1, write: true, once: true }
}

fn ended(server: &str, rpc: u64) -> Seen {
    Seen::Ended { server: name(server), rpc, slice: 1, write: true }
}

fn arrived(server: &str, work: f64) -> Seen {
    Seen::Arrived { server: name(server), rpc: 9, slice: 1, write: false, proxy: name("p"), work }
}

fn connected(stands: bool) -> Seen {
    Seen::Connected { proxy: name("p"), assigner: name("a"), stands }
}

fn joined() -> Vec<(Duration, Seen)> {
    vec![(s(0.0), stored(1, "x")), (s(0.1), connected(true)), (s(0.1), connected(true))]
}

fn judge(more: Vec<(f64, Seen)>) -> Audit {
    let mut seen = joined();
    seen.extend(more.into_iter().map(|(at, what)| (s(at), what)));
    audit(&seen, &limits(), 0)
}

#[test]
fn writes_one_after_the_other_through_a_handover_are_kept() {
    let kept = judge(vec![
        (1.0, began("x", 1)),
        (1.2, ended("x", 1)),
        (2.0, stored(1, "y")),
        (2.1, began("y", 2)),
        (2.3, ended("y", 2)),
    ]);
    assert_eq!((kept.rules.broken(), kept.handovers), (0, 1), "{kept:?}");
}

#[test]
fn a_write_that_began_twice_is_found() {
    let twice = vec![(1.0, began("x", 1)), (1.1, ended("x", 1)), (1.2, began("x", 1)), (1.3, ended("x", 1))];
    assert_eq!(judge(twice).writes_executed_twice, 1);
}

#[test]
fn writes_at_two_servers_at_a_time_are_found() {
    let broken =
        judge(vec![(1.0, began("x", 1)), (1.1, stored(1, "y")), (1.2, began("y", 2)), (1.3, ended("x", 1))]);
    assert_eq!((broken.overlapping_writes, broken.stale_writes), (1, 0), "{broken:?}");
}

#[test]
fn a_write_at_a_former_owner_after_a_later_one_is_found() {
    let broken = judge(vec![
        (1.0, stored(1, "y")),
        (1.1, began("y", 1)),
        (1.2, ended("y", 1)),
        (1.3, began("x", 2)),
        (1.4, ended("x", 2)),
    ]);
    assert_eq!((broken.overlapping_writes, broken.stale_writes), (0, 1), "{broken:?}");
    // An owner that got the slice back is not a former one.
    let back = judge(vec![
        (1.0, stored(1, "y")),
        (1.1, began("y", 1)),
        (1.2, ended("y", 1)),
        (1.3, stored(1, "x")),
        (1.4, began("x", 2)),
    ]);
    assert_eq!(back.stale_writes, 0, "{back:?}");
}

#[test]
fn a_send_after_the_grace_is_found_but_not_while_the_proxy_is_cut_off() {
    let draining = || (1.0, Seen::Listed { server: name("x"), state: Some(RosterState::Draining) });
    assert_eq!(judge(vec![draining(), (2.9, arrived("x", 0.1))]).rules.drains_kept, 0);
    assert_eq!(judge(vec![draining(), (3.1, arrived("x", 0.1))]).rules.drains_kept, 1);
    let cut = Seen::Cut { proxy: name("p"), assigner: name("a"), cut: true };
    assert_eq!(judge(vec![draining(), (2.0, cut), (3.1, arrived("x", 0.1))]).rules.drains_kept, 0);
    assert_eq!(
        judge(vec![draining(), (2.0, connected(false)), (3.1, arrived("x", 0.1))]).rules.drains_kept,
        0
    );
    // What a bad link held up may have been sent in time; one that was well again long before excuses nothing.
    let hampered = |at: f64, hampered| (at, Seen::Hampered { proxy: name("p"), server: name("x"), hampered });
    let held_up = |from: f64, to: f64| {
        let day = vec![draining(), hampered(from, true), hampered(to, false), (4.0, arrived("x", 0.1))];
        judge(day).rules.drains_kept
    };
    assert_eq!((held_up(1.5, 3.9), held_up(1.1, 1.2)), (0, 1));
    let died = Seen::Runs { assigner: name("a"), runs: false };
    assert_eq!(judge(vec![draining(), (2.0, died), (3.1, arrived("x", 0.1))]).rules.drains_kept, 0);
}

#[test]
fn a_cold_server_sent_too_much_is_found_and_a_warm_one_is_not() {
    let day = |cold: bool, work: f64| {
        let start = (1.0, Seen::Started { server: name("x"), cold, capacity: 1.0 });
        let burst = (0..10).map(|k| (1.5 + f64::from(k) * 0.01, arrived("x", work)));
        judge(std::iter::once(start).chain(burst).collect()).rules.cold_servers
    };
    // In a second it can do about 0.24; three times that and four RPCs' slack are allowed.
    assert_eq!((day(true, 0.2), day(true, 0.05), day(false, 0.2)), (1, 0, 0));
}

#[test]
fn a_slice_without_a_line_for_too_long_is_found_only_while_a_warm_server_is_listed() {
    let bare = |at: f64, no_line: bool| {
        let seen =
            Seen::Answered { rpc: 1, proxy: name("p"), slice: 1, ok: !no_line, in_time: !no_line, no_line };
        (at, seen)
    };
    let ready = (0.5, Seen::Listed { server: name("y"), state: Some(RosterState::Ready) });
    assert_eq!(judge(vec![ready.clone(), bare(1.0, true), bare(6.5, true)]).rules.no_proxy_without_a_line, 1);
    assert_eq!(
        judge(vec![ready.clone(), bare(1.0, true), bare(5.0, false), bare(6.5, true)]).rules.broken(),
        0
    );
    assert_eq!(judge(vec![bare(1.0, true), bare(6.5, true)]).rules.broken(), 0);
}

#[test]
fn a_queue_over_the_backlog_is_found() {
    assert_eq!(audit(&joined(), &limits(), 100).rules.short_queue, 0);
    assert_eq!(audit(&joined(), &limits(), 101).rules.short_queue, 1);
}
