use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::table::{SliceTable, Version};

const TIME_LIMIT: Duration = Duration::from_secs(60);

#[derive(Default)]
struct TestFleet {
    standing: BTreeMap<String, ServerStatus>,
    moving: BTreeSet<SliceId>,
}

impl ServerView for TestFleet {
    fn server_status(&self, server: &str) -> ServerStatus {
        self.standing.get(server).copied().unwrap_or(ServerStatus::Unknown)
    }

    fn has_handover(&self, slice: SliceId) -> bool {
        self.moving.contains(&slice)
    }
}

fn fleet_of(standing: &[(&str, ServerStatus)]) -> TestFleet {
    TestFleet {
        standing: standing.iter().map(|(s, k)| (s.to_string(), *k)).collect(),
        ..TestFleet::default()
    }
}

fn set(owners: &[&str]) -> TableSet {
    let table = |owner: &&str| SliceTable {
        version: Version { epoch: 1, number: 1 },
        owner: (!owner.is_empty()).then(|| (*owner).into()),
        shares: vec![1.0, 0.5],
        tries: 0,
    };
    owners.iter().map(table).enumerate().collect()
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn dry_run_reports_moves_delays_and_refusals() {
    let mut fleet =
        fleet_of(&[("a", ServerStatus::Ready), ("c", ServerStatus::Cold), ("d", ServerStatus::Draining)]);
    fleet.moving.insert(5);
    let old = set(&["a", "a", "c", "d", "", "a", "gone"]);
    let now = set(&["b", "a", "b", "b", "b", "b", "b"]);
    let plan = dry_run(&old, &now, None, &fleet);
    assert_eq!(plan[&0], PlannedAction::Move { to: "a".into() });
    assert_eq!(plan[&1], PlannedAction::Stands);
    assert!(matches!(
        &plan[&2],
        PlannedAction::PutOff { why: Reason::Server { standing: ServerStatus::Cold, .. }, .. }
    ));
    assert!(matches!(
        &plan[&3],
        PlannedAction::Refused(Reason::Server { standing: ServerStatus::Draining, .. })
    ));
    assert_eq!(plan[&4], PlannedAction::Refused(Reason::NoOwnerThen));
    assert_eq!(plan[&5], PlannedAction::PutOff { to: "a".into(), why: Reason::HandoverUnderWay });
    assert!(matches!(
        &plan[&6],
        PlannedAction::Refused(Reason::Server { standing: ServerStatus::Unknown, .. })
    ));
    // A slice in another assigner's custody is refused, and only the given slices are planned.
    let chosen = dry_run(&set(&["a", "a"]), &set(&["b"]), Some(&[1].into()), &fleet);
    assert_eq!(chosen.into_iter().collect::<Vec<_>>(), [(1, PlannedAction::Refused(Reason::NotOurs))]);
}

#[test]
fn levels_are_lowered_at_once_and_never_raised() {
    let (mut old, now) = (set(&["a", "a", "a"]), set(&["a", "a", "b"]));
    old.get_mut(&0).unwrap().shares = vec![0.2, 1.0];
    old.get_mut(&1).unwrap().shares = vec![1.0, 1.0];
    old.get_mut(&2).unwrap().shares = vec![0.0, 0.0];
    // Slice 1 would only be raised. Slice 2 has another owner, for whom the old level means nothing.
    assert_eq!(lowered_levels(&old, &now, None), [(0, vec![0.2, 0.5])].into());
}

/// A rollback of slice 0 from b to a.
fn rollback_of_slice_0(fleet: &TestFleet) -> Rollback {
    let plan = dry_run(&set(&["a"]), &set(&["b"]), None, fleet);
    Rollback::new(7, 3, "ops", &plan, secs(0), TIME_LIMIT)
}

#[test]
fn move_is_requested_once_and_done_when_its_handover_ends() {
    let mut fleet = fleet_of(&[("a", ServerStatus::Ready)]);
    let mut rollback = rollback_of_slice_0(&fleet);
    assert_eq!(rollback.update(secs(1), &set(&["b"]), &fleet), [(0, "a".into())]);
    assert_eq!(rollback.update(secs(2), &set(&["b"]), &fleet), []);
    fleet.moving.insert(0);
    assert_eq!(rollback.update(secs(3), &set(&["a"]), &fleet), []);
    assert!(!rollback.finished());
    fleet.moving.clear();
    rollback.update(secs(4), &set(&["a"]), &fleet);
    assert_eq!(rollback.progress(), Progress { done: 1, ..Progress::default() });
}

#[test]
fn move_is_requested_after_the_handover_in_progress() {
    let mut fleet = fleet_of(&[("a", ServerStatus::Ready)]);
    fleet.moving.insert(0);
    let mut rollback = rollback_of_slice_0(&fleet);
    assert_eq!(rollback.update(secs(1), &set(&["b"]), &fleet), []);
    fleet.moving.clear();
    // The handover ended at a third owner; the move from there is requested.
    assert_eq!(rollback.update(secs(2), &set(&["c"]), &fleet), [(0, "a".into())]);
}

#[test]
fn restart_requests_unfinished_moves_again_and_finished_ones_never() {
    let fleet = fleet_of(&[("a", ServerStatus::Ready)]);
    let mut rollback = rollback_of_slice_0(&fleet);
    rollback.update(secs(1), &set(&["b"]), &fleet);
    rollback.resume(secs(2));
    // Nothing is known of the slice before its custody is acquired again.
    assert_eq!(rollback.update(secs(2), &TableSet::new(), &fleet), []);
    assert!(!rollback.finished());
    assert_eq!(rollback.update(secs(2), &set(&["b"]), &fleet).len(), 1);
    rollback.resume(secs(3));
    assert_eq!(rollback.update(secs(3), &set(&["a"]), &fleet), []);
    assert!(rollback.finished());
    rollback.resume(secs(4));
    assert_eq!(rollback.update(secs(4), &set(&["b"]), &fleet), []);
}

#[test]
fn abandoned_move_gives_its_reason() {
    let ready = fleet_of(&[("a", ServerStatus::Ready)]);
    let why = |act: &dyn Fn(&mut Rollback)| {
        let mut rollback = rollback_of_slice_0(&ready);
        act(&mut rollback);
        assert!(rollback.finished());
        let reason = rollback.abandoned().next().map(|(_, why)| why.to_string());
        reason.unwrap()
    };
    let lost = why(&|r| drop(r.update(secs(1), &TableSet::new(), &ready)));
    assert!(lost.contains("custody"), "{lost}");
    let drained =
        why(&|r| drop(r.update(secs(1), &set(&["b"]), &fleet_of(&[("a", ServerStatus::Draining)]))));
    assert!(drained.contains("a is draining"), "{drained}");
    let late = why(&|r| drop(r.update(secs(61), &set(&["b"]), &ready)));
    assert!(late.contains("no spare capacity"), "{late}");
    let later = Rollback { id: 8, ..rollback_of_slice_0(&ready) };
    assert!(why(&|r| r.supersede_by(&later)).contains("rollback 8"));
}

#[test]
fn move_waits_until_a_cold_server_is_ready() {
    let mut rollback = rollback_of_slice_0(&fleet_of(&[("a", ServerStatus::Ready)]));
    let cold = fleet_of(&[("a", ServerStatus::Cold)]);
    assert_eq!(rollback.update(secs(1), &set(&["b"]), &cold), []);
    assert_eq!(rollback.update(secs(2), &set(&["b"]), &fleet_of(&[("a", ServerStatus::Ready)])).len(), 1);
}

/// Overlapping rollbacks, restarts, and a module that performs or drops requested moves, in an order drawn from a seed.
/// All rollbacks must end, and a slice's move may be requested only by the newest rollback that includes it.
#[test]
fn every_rollback_ends_and_the_newest_move_of_a_slice_counts() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let fleet =
            fleet_of(&[("a", ServerStatus::Ready), ("b", ServerStatus::Ready), ("c", ServerStatus::Ready)]);
        let mut now = set(&["a", "b", "c", "a", "b", "c"]);
        let mut rollbacks: Vec<Rollback> = Vec::new();
        let mut newest: BTreeMap<SliceId, u64> = BTreeMap::new();
        for step in 0..120 {
            let at = secs(step);
            if step < 40 && rng.random_bool(0.1) {
                let old: TableSet = {
                    let owners: Vec<&str> = (0..6).map(|_| ["a", "b", "c"][rng.random_range(0..3)]).collect();
                    set(&owners)
                };
                let chosen: BTreeSet<SliceId> = (0..6).filter(|_| rng.random_bool(0.5)).collect();
                let plan = dry_run(&old, &now, Some(&chosen), &fleet);
                let new = Rollback::new(step, 1, "ops", &plan, at, TIME_LIMIT);
                rollbacks.iter_mut().for_each(|older| older.supersede_by(&new));
                newest.extend(chosen.iter().map(|slice| (*slice, new.id)));
                rollbacks.push(new);
            }
            for rollback in &mut rollbacks {
                if step < 50 && rng.random_bool(0.05) {
                    rollback.resume(at);
                }
                for (slice, to) in rollback.update(at, &now, &fleet) {
                    assert_eq!(newest[&slice], rollback.id, "seed {seed}, step {step}, slice {slice}");
                    match rng.random_range(0..3) {
                        0 => rollback.reopen(slice),
                        _ => now.get_mut(&slice).unwrap().owner = Some(to),
                    }
                }
            }
        }
        let unfinished: Vec<u64> = rollbacks.iter().filter(|r| !r.finished()).map(|r| r.id).collect();
        assert!(unfinished.is_empty(), "seed {seed}: {unfinished:?}");
    }
}
