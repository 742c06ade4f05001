use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::table::{SliceTable, Version};

const WITHIN: Duration = Duration::from_secs(60);

#[derive(Default)]
struct Known {
    standing: BTreeMap<String, Standing>,
    moving: BTreeSet<SliceId>,
}

impl Fleet for Known {
    fn standing(&self, server: &str) -> Standing {
        self.standing.get(server).copied().unwrap_or(Standing::Unknown)
    }

    fn moving(&self, slice: SliceId) -> bool {
        self.moving.contains(&slice)
    }
}

fn known(standing: &[(&str, Standing)]) -> Known {
    Known { standing: standing.iter().map(|(s, k)| (s.to_string(), *k)).collect(), ..Known::default() }
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

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_dry_run_says_what_moves_what_waits_and_what_cannot_be() {
    let mut fleet = known(&[("a", Standing::Ready), ("c", Standing::Cold), ("d", Standing::Draining)]);
    fleet.moving.insert(5);
    let old = set(&["a", "a", "c", "d", "", "a", "gone"]);
    let now = set(&["b", "a", "b", "b", "b", "b", "b"]);
    let run = dry_run(&old, &now, None, &fleet);
    assert_eq!(run[&0], Verdict::Move { to: "a".into() });
    assert_eq!(run[&1], Verdict::Stands);
    assert!(matches!(&run[&2], Verdict::PutOff { why: Reason::Server { standing: Standing::Cold, .. }, .. }));
    assert!(matches!(&run[&3], Verdict::Refused(Reason::Server { standing: Standing::Draining, .. })));
    assert_eq!(run[&4], Verdict::Refused(Reason::NoOwnerThen));
    assert_eq!(run[&5], Verdict::PutOff { to: "a".into(), why: Reason::HandoverUnderWay });
    assert!(matches!(&run[&6], Verdict::Refused(Reason::Server { standing: Standing::Unknown, .. })));
    // A slice that is another's is refused, and only those named are looked at.
    let some = dry_run(&set(&["a", "a"]), &set(&["b"]), Some(&[1].into()), &fleet);
    assert_eq!(some.into_iter().collect::<Vec<_>>(), [(1, Verdict::Refused(Reason::NotOurs))]);
}

#[test]
fn levels_are_tightened_at_once_and_never_opened() {
    let (mut old, now) = (set(&["a", "a", "a"]), set(&["a", "a", "b"]));
    old.get_mut(&0).unwrap().shares = vec![0.2, 1.0];
    old.get_mut(&1).unwrap().shares = vec![1.0, 1.0];
    old.get_mut(&2).unwrap().shares = vec![0.0, 0.0];
    // Slice 1 would only open; slice 2 has another owner, of whom the old level says nothing.
    assert_eq!(tightened(&old, &now, None), [(0, vec![0.2, 0.5])].into());
}

/// A rollback of slice 0 from b to a.
fn one(fleet: &Known) -> Rollback {
    let run = dry_run(&set(&["a"]), &set(&["b"]), None, fleet);
    Rollback::new(7, 3, "ops", &run, s(0), WITHIN)
}

#[test]
fn a_wish_is_handed_once_and_done_when_the_owner_stands() {
    let mut fleet = known(&[("a", Standing::Ready)]);
    let mut rollback = one(&fleet);
    assert_eq!(rollback.look(s(1), &set(&["b"]), &fleet), [(0, "a".into())]);
    assert_eq!(rollback.look(s(2), &set(&["b"]), &fleet), []);
    fleet.moving.insert(0);
    assert_eq!(rollback.look(s(3), &set(&["a"]), &fleet), []);
    assert!(!rollback.finished());
    fleet.moving.clear();
    rollback.look(s(4), &set(&["a"]), &fleet);
    assert_eq!(rollback.progress(), Progress { done: 1, ..Progress::default() });
}

#[test]
fn a_handover_under_way_ends_first() {
    let mut fleet = known(&[("a", Standing::Ready)]);
    fleet.moving.insert(0);
    let mut rollback = one(&fleet);
    assert_eq!(rollback.look(s(1), &set(&["b"]), &fleet), []);
    fleet.moving.clear();
    // It ended at a third owner: from there it is wished back.
    assert_eq!(rollback.look(s(2), &set(&["c"]), &fleet), [(0, "a".into())]);
}

#[test]
fn a_restart_hands_what_is_not_done_once_more_and_what_is_done_never() {
    let fleet = known(&[("a", Standing::Ready)]);
    let mut rollback = one(&fleet);
    rollback.look(s(1), &set(&["b"]), &fleet);
    rollback.recovered(s(2));
    // Until custody of the slice has come again nothing is known of it.
    assert_eq!(rollback.look(s(2), &TableSet::new(), &fleet), []);
    assert!(!rollback.finished());
    assert_eq!(rollback.look(s(2), &set(&["b"]), &fleet).len(), 1);
    rollback.recovered(s(3));
    assert_eq!(rollback.look(s(3), &set(&["a"]), &fleet), []);
    assert!(rollback.finished());
    rollback.recovered(s(4));
    assert_eq!(rollback.look(s(4), &set(&["b"]), &fleet), []);
}

#[test]
fn a_wish_is_abandoned_with_its_reason() {
    let ready = known(&[("a", Standing::Ready)]);
    let why = |act: &dyn Fn(&mut Rollback)| {
        let mut rollback = one(&ready);
        act(&mut rollback);
        assert!(rollback.finished());
        let reason = rollback.abandoned().next().map(|(_, why)| why.to_string());
        reason.unwrap()
    };
    let lost = why(&|r| drop(r.look(s(1), &TableSet::new(), &ready)));
    assert!(lost.contains("custody"), "{lost}");
    let drained = why(&|r| drop(r.look(s(1), &set(&["b"]), &known(&[("a", Standing::Draining)]))));
    assert!(drained.contains("a is draining"), "{drained}");
    let late = why(&|r| drop(r.look(s(61), &set(&["b"]), &ready)));
    assert!(late.contains("no room"), "{late}");
    let later = Rollback { id: 8, ..one(&ready) };
    assert!(why(&|r| r.superseded(&later)).contains("rollback 8"));
}

#[test]
fn a_cold_server_is_waited_for() {
    let mut rollback = one(&known(&[("a", Standing::Ready)]));
    let cold = known(&[("a", Standing::Cold)]);
    assert_eq!(rollback.look(s(1), &set(&["b"]), &cold), []);
    assert_eq!(rollback.look(s(2), &set(&["b"]), &known(&[("a", Standing::Ready)])).len(), 1);
}

/// Rollbacks on top of each other, restarts and a module that carries out, puts back or moves elsewhere, in an
/// order drawn from a seed: all end, none is handed a slice that another newer one wants, none moves two ways.
#[test]
fn every_rollback_ends_and_the_newest_wish_counts() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let fleet = known(&[("a", Standing::Ready), ("b", Standing::Ready), ("c", Standing::Ready)]);
        let mut now = set(&["a", "b", "c", "a", "b", "c"]);
        let mut rollbacks: Vec<Rollback> = Vec::new();
        let mut newest: BTreeMap<SliceId, u64> = BTreeMap::new();
        for step in 0..120 {
            let at = s(step);
            if step < 40 && rng.random_bool(0.1) {
                let old: TableSet = {
                    let owners: Vec<&str> = (0..6).map(|_| ["a", "b", "c"][rng.random_range(0..3)]).collect();
                    set(&owners)
                };
                let some: BTreeSet<SliceId> = (0..6).filter(|_| rng.random_bool(0.5)).collect();
                let run = dry_run(&old, &now, Some(&some), &fleet);
                let new = Rollback::new(step, 1, "ops", &run, at, WITHIN);
                rollbacks.iter_mut().for_each(|older| older.superseded(&new));
                newest.extend(some.iter().map(|slice| (*slice, new.id)));
                rollbacks.push(new);
            }
            for rollback in &mut rollbacks {
                if step < 50 && rng.random_bool(0.05) {
                    rollback.recovered(at);
                }
                for (slice, to) in rollback.look(at, &now, &fleet) {
                    assert_eq!(newest[&slice], rollback.id, "seed {seed}, step {step}, slice {slice}");
                    match rng.random_range(0..3) {
                        0 => rollback.put_back(slice),
                        _ => now.get_mut(&slice).unwrap().owner = Some(to),
                    }
                }
            }
        }
        let open: Vec<u64> = rollbacks.iter().filter(|r| !r.finished()).map(|r| r.id).collect();
        assert!(open.is_empty(), "seed {seed}: {open:?}");
    }
}
