use whinhill_xds::mapping::{Effect, Method};

use super::*;

const TTL: Duration = Duration::from_secs(4);

pub fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

pub fn service() -> Arc<Service> {
    let method = |name: &str, writes, effect| Method {
        name: name.into(),
        path: format!("/t/{name}"),
        writes,
        effect,
        soft_deadline: s(1.0),
        deadline: s(2.0),
    };
    Arc::new(Service {
        name: "t".into(),
        slices: 2,
        methods: vec![method("look", false, Effect::Idempotent), method("book", true, Effect::NonIdempotent)],
        write_lease: TTL,
        hold: s(0.2),
        try_factor: 1.0,
    })
}

fn draws(level: f64, first: f64) -> Draws {
    Draws { level, first, second: 0.0 }
}

fn told(method: usize, epoch: u64, number: u64, server: &str) -> Assignment {
    let lines = if server.is_empty() { vec![] } else { vec![(server.to_string(), 1)] };
    Assignment { slice: 1, method, version: Version { epoch, number }, lines, share: 1.0, tries: 0 }
}

/// A table with slice 1 at server a, epoch 5, from assigner 0, whose lease began at 10 s.
fn table() -> Table {
    let mut t = Table::new(service(), 2, Pick::ByWeight);
    (0..2).for_each(|method| assert_eq!(t.apply(0, &told(method, 5, 1, "a")), Applied::New));
    t.lease_asked(0, s(10.0));
    t.lease_renewed(0, TTL);
    t
}

fn to(t: &Table, now: f64, method: usize) -> Option<String> {
    match t.route(s(now), 1, method, draws(0.5, 0.5), |_| 0) {
        Route::Send { server, .. } => Some(server.to_string()),
        _ => None,
    }
}

#[test]
fn writes_end_with_the_lease_and_reads_go_on() {
    let t = table();
    assert_eq!((to(&t, 13.9, 1), to(&t, 14.0, 1)), (Some("a".into()), None));
    assert_eq!(t.route(s(14.0), 1, 1, draws(0.5, 0.5), |_| 0), Route::Wait(Refusal::NoLease));
    assert_eq!(to(&t, 99.0, 0), Some("a".into()));
}

#[test]
fn a_renewal_held_up_on_its_way_counts_from_our_last_answer() {
    let mut t = table();
    // Answered at 11 s; the renewal that followed it arrives at 17 s, after the assigner took the lease for ended.
    t.lease_asked(0, s(11.0));
    t.lease_renewed(0, TTL);
    assert_eq!(t.lease_until(0), Some(s(15.0)));
    t.stream_lost(0);
    t.lease_renewed(0, TTL);
    assert_eq!(t.lease_until(0), Some(s(15.0)));
}

#[test]
fn a_proxy_that_has_just_started_sends_no_writes_before_it_has_read() {
    let mut t = Table::new(service(), 2, Pick::ByWeight);
    assert_eq!(t.route(s(0.0), 1, 1, draws(0.0, 0.0), |_| 0), Route::Wait(Refusal::NoLine));
    t.apply(0, &told(1, 5, 1, "a"));
    assert_eq!(t.route(s(0.0), 1, 1, draws(0.0, 0.0), |_| 0), Route::Wait(Refusal::NoLease));
}

#[test]
fn an_older_epoch_is_never_obeyed_and_does_not_lend_its_lease() {
    let mut t = table();
    assert_eq!(t.apply(1, &told(1, 6, 1, "b")), Applied::New);
    // Assigner 1 has given no lease yet: that of assigner 0 does not count for it.
    assert_eq!(to(&t, 11.0, 1), None);
    assert!(matches!(t.apply(0, &told(1, 5, 9, "a")), Applied::Older { .. }));
    t.lease_asked(1, s(11.0));
    t.lease_renewed(1, TTL);
    assert_eq!(to(&t, 11.0, 1), Some("b".into()));
    assert_eq!(t.older(), 1);
}

#[test]
fn a_withdrawn_slice_keeps_its_reads_and_writes_only_as_long_as_the_lease_then_had() {
    let mut t = table();
    (0..2).for_each(|method| t.withdrawn(0, 1, method));
    t.lease_asked(0, s(13.0));
    t.lease_renewed(0, TTL);
    assert_eq!((to(&t, 13.9, 1), to(&t, 14.1, 1)), (Some("a".into()), None));
    assert_eq!(to(&t, 30.0, 0), Some("a".into()));
}

#[test]
fn two_that_claim_a_slice_in_one_epoch_are_a_conflict_and_a_fall_back_too() {
    let t = table();
    assert!(matches!(t.check(1, &told(1, 5, 2, "b")), Err(Conflict::TwoInCharge { .. })));
    assert!(matches!(t.check(0, &told(1, 5, 0, "b")), Err(Conflict::Backwards { .. })));
    assert!(t.check(0, &told(1, 5, 1, "a")).is_ok() && t.check(1, &told(1, 6, 0, "b")).is_ok());
}

#[test]
fn levels_concern_one_method_and_no_line_is_not_a_level() {
    let mut t = table();
    assert_eq!(t.apply(0, &Assignment { share: 0.0, ..told(1, 5, 2, "a") }), Applied::Shut);
    assert_eq!(t.apply(0, &Assignment { share: 0.0, ..told(1, 5, 2, "a") }), Applied::New);
    assert_eq!(t.route(s(11.0), 1, 1, draws(0.0, 0.0), |_| 0), Route::Refuse(Refusal::Level));
    assert!(!t.still(s(11.0), 1, 1, Version { epoch: 5, number: 2 }));
    assert_eq!(to(&t, 11.0, 0), Some("a".into()));
    t.apply(0, &told(0, 5, 3, ""));
    assert_eq!(t.route(s(11.0), 1, 0, draws(0.0, 0.0), |_| 0), Route::Wait(Refusal::NoLine));
}

#[test]
fn lines_are_picked_by_weight_and_none_of_weight_0() {
    let mut t = table();
    let lines = vec![("a".to_string(), 1), ("b".to_string(), 3)];
    t.apply(0, &Assignment { lines, ..told(0, 5, 2, "") });
    let pick = |p: f64| match t.route(s(11.0), 1, 0, draws(0.0, p), |_| 0) {
        Route::Send { server, .. } => server.to_string(),
        other => panic!("{other:?}"),
    };
    assert_eq!(
        (pick(0.0), pick(0.24), pick(0.25), pick(0.999)),
        ("a".into(), "a".into(), "b".into(), "b".into())
    );
    t.apply(0, &Assignment { lines: vec![("a".to_string(), 0)], ..told(0, 5, 3, "") });
    assert_eq!(t.route(s(11.0), 1, 0, draws(0.0, 0.0), |_| 0), Route::Wait(Refusal::NoLine));
}
