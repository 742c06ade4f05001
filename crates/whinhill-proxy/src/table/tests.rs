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
        max_owner_wait: s(0.2),
        try_factor: 1.0,
    })
}

fn draws(level: f64, first: f64) -> Draws {
    Draws { level, first, second: 0.0 }
}

fn assignment(method: usize, epoch: u64, number: u64, server: &str) -> Assignment {
    let lines = if server.is_empty() { vec![] } else { vec![(server.to_string(), 1)] };
    Assignment { slice: 1, method, version: Version { epoch, number }, lines, share: 1.0, tries: 0 }
}

/// Slice 1 is at server a in epoch 5, from assigner 0, whose lease of 4 s began at 10 s.
fn table() -> RoutingTable {
    let mut table = RoutingTable::new(service(), 2, Pick::ByWeight);
    (0..2).for_each(|method| assert_eq!(table.apply(0, &assignment(method, 5, 1, "a")), Applied::Updated));
    table.lease_requested(0, s(10.0));
    table.lease_renewed(0, TTL);
    table
}

fn server_for(table: &RoutingTable, now: f64, method: usize) -> Option<String> {
    match table.route(s(now), 1, method, draws(0.5, 0.5), |_| 0) {
        Route::Send { server, .. } => Some(server.to_string()),
        _ => None,
    }
}

#[test]
fn lease_expires_then_writes_wait_and_reads_continue() {
    let table = table();
    assert_eq!((server_for(&table, 13.9, 1), server_for(&table, 14.0, 1)), (Some("a".into()), None));
    assert_eq!(table.route(s(14.0), 1, 1, draws(0.5, 0.5), |_| 0), Route::Wait(Refusal::NoLease));
    assert_eq!(server_for(&table, 99.0, 0), Some("a".into()));
}

#[test]
fn delayed_renewal_counts_from_the_last_answer() {
    let mut table = table();
    // Answered at 11 s; the following renewal arrives at 17 s, when the lease has ended for the assigner.
    table.lease_requested(0, s(11.0));
    table.lease_renewed(0, TTL);
    assert_eq!(table.lease_until(0), Some(s(15.0)));
    table.stream_lost(0);
    table.lease_renewed(0, TTL);
    assert_eq!(table.lease_until(0), Some(s(15.0)));
}

#[test]
fn new_proxy_sends_no_writes_before_it_has_a_table_and_a_lease() {
    let mut table = RoutingTable::new(service(), 2, Pick::ByWeight);
    assert_eq!(table.route(s(0.0), 1, 1, draws(0.0, 0.0), |_| 0), Route::Wait(Refusal::NoLine));
    table.apply(0, &assignment(1, 5, 1, "a"));
    assert_eq!(table.route(s(0.0), 1, 1, draws(0.0, 0.0), |_| 0), Route::Wait(Refusal::NoLease));
}

#[test]
fn older_epoch_is_ignored_and_its_lease_does_not_count_for_the_newer() {
    let mut table = table();
    assert_eq!(table.apply(1, &assignment(1, 6, 1, "b")), Applied::Updated);
    // Assigner 1 has granted no lease yet, and that of assigner 0 doesn't count for its tables.
    assert_eq!(server_for(&table, 11.0, 1), None);
    assert!(matches!(table.apply(0, &assignment(1, 5, 9, "a")), Applied::OlderEpoch { .. }));
    table.lease_requested(1, s(11.0));
    table.lease_renewed(1, TTL);
    assert_eq!(server_for(&table, 11.0, 1), Some("b".into()));
    assert_eq!(table.older_epoch_count(), 1);
}

#[test]
fn withdrawn_slice_keeps_reads_and_keeps_writes_until_the_lease_of_that_time_ends() {
    let mut table = table();
    (0..2).for_each(|method| table.withdraw(0, 1, method));
    table.lease_requested(0, s(13.0));
    table.lease_renewed(0, TTL);
    assert_eq!((server_for(&table, 13.9, 1), server_for(&table, 14.1, 1)), (Some("a".into()), None));
    assert_eq!(server_for(&table, 30.0, 0), Some("a".into()));
}

#[test]
fn same_epoch_from_two_assigners_or_lower_version_is_a_conflict() {
    let table = table();
    assert!(matches!(table.check(1, &assignment(1, 5, 2, "b")), Err(Conflict::SameEpochElsewhere { .. })));
    assert!(matches!(table.check(0, &assignment(1, 5, 0, "b")), Err(Conflict::VersionRegression { .. })));
    assert!(
        table.check(0, &assignment(1, 5, 1, "a")).is_ok()
            && table.check(1, &assignment(1, 6, 0, "b")).is_ok()
    );
}

#[test]
fn level_applies_to_one_method_and_missing_line_waits() {
    let mut table = table();
    assert_eq!(table.apply(0, &Assignment { share: 0.0, ..assignment(1, 5, 2, "a") }), Applied::Closed);
    assert_eq!(table.apply(0, &Assignment { share: 0.0, ..assignment(1, 5, 2, "a") }), Applied::Updated);
    assert_eq!(table.route(s(11.0), 1, 1, draws(0.0, 0.0), |_| 0), Route::Refuse(Refusal::Level));
    assert!(!table.may_still_write(s(11.0), 1, 1, Version { epoch: 5, number: 2 }));
    assert_eq!(server_for(&table, 11.0, 0), Some("a".into()));
    table.apply(0, &assignment(0, 5, 3, ""));
    assert_eq!(table.route(s(11.0), 1, 0, draws(0.0, 0.0), |_| 0), Route::Wait(Refusal::NoLine));
}

#[test]
fn lines_are_chosen_by_weight_and_never_with_weight_0() {
    let mut table = table();
    let lines = vec![("a".to_string(), 1), ("b".to_string(), 3)];
    table.apply(0, &Assignment { lines, ..assignment(0, 5, 2, "") });
    let pick = |p: f64| match table.route(s(11.0), 1, 0, draws(0.0, p), |_| 0) {
        Route::Send { server, .. } => server.to_string(),
        other => panic!("{other:?}"),
    };
    assert_eq!(
        (pick(0.0), pick(0.24), pick(0.25), pick(0.999)),
        ("a".into(), "a".into(), "b".into(), "b".into())
    );
    table.apply(0, &Assignment { lines: vec![("a".to_string(), 0)], ..assignment(0, 5, 3, "") });
    assert_eq!(table.route(s(11.0), 1, 0, draws(0.0, 0.0), |_| 0), Route::Wait(Refusal::NoLine));
}
