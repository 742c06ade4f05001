use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::delta::DeltaError;
use crate::table::Version;

const LIMITS: Limits = Limits { entries: 30, bytes: 1 << 20, age: Duration::from_secs(3600) };

fn table(epoch: u64, number: u64, owner: &str) -> SliceTable {
    let owner = (!owner.is_empty()).then(|| owner.into());
    SliceTable { version: Version { epoch, number }, owner, shares: vec![1.0, 0.5], tries: 0 }
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn history() -> History {
    History::new(LIMITS, 1, [(0, table(1, 1, "a")), (1, table(1, 1, "b"))].into())
}

/// Records a change of one slice; `None` takes it away.
fn change(h: &mut History, slice: SliceId, to: Option<SliceTable>, at: u64) -> Option<Delta> {
    let mut set = h.current().set().clone();
    match to {
        Some(table) => drop(set.insert(slice, table)),
        None => drop(set.remove(&slice)),
    }
    h.record(set, Author::Module, "a cause", s(at), at * 1000)
}

#[test]
fn a_delta_is_applied_whole_on_its_own_base_and_twice_changes_nothing() {
    let mut h = history();
    let mut held = h.current().clone();
    let stale = held.clone();
    let delta = change(&mut h, 0, Some(table(1, 2, "c")), 1).unwrap();
    held.apply(&delta).unwrap();
    held.apply(&delta).unwrap();
    assert_eq!(&held, h.current());
    let next = change(&mut h, 1, None, 2).unwrap();
    let mut late = stale;
    let before = late.clone();
    assert!(matches!(late.apply(&next), Err(DeltaError::OtherBase { .. })));
    assert_eq!(late, before);
    held.apply(&next).unwrap();
    assert_eq!(&held, h.current());
}

#[test]
fn a_base_of_the_same_number_and_another_epoch_is_another_base() {
    let mut h = history();
    let delta = change(&mut h, 0, Some(table(1, 2, "c")), 1).unwrap();
    let mut other = Held::new(1, [(0, table(2, 1, "a")), (1, table(1, 1, "b"))].into());
    assert!(matches!(other.apply(&delta), Err(DeltaError::OtherBase { .. })));
}

#[test]
fn a_delta_that_lies_about_its_result_or_goes_back_is_refused() {
    let mut h = history();
    let mut held = h.current().clone();
    let good = change(&mut h, 0, Some(table(1, 2, "c")), 1).unwrap();
    let mut bad = good.clone();
    bad.changed.insert(1, table(1, 2, "z"));
    assert!(matches!(held.apply(&bad), Err(DeltaError::OtherResult { .. })));
    let mut bad = good.clone();
    bad.changed.insert(1, table(0, 9, "b"));
    assert!(matches!(held.apply(&bad), Err(DeltaError::Backwards { slice: 1, .. })));
    let mut bad = good.clone();
    bad.removed.insert(7);
    assert_eq!(held.apply(&bad), Err(DeltaError::NotHeld { slice: 7 }));
    assert!(held.apply(&good).is_ok());
}

#[test]
fn the_same_set_makes_no_version_and_its_hash_does_not_tell_how_it_came_about() {
    let mut h = history();
    let same = h.current().set().clone();
    assert_eq!(h.record(same, Author::Module, "", s(1), 1000), None);
    let forward: TableSet = [(0, table(1, 1, "a")), (1, table(1, 1, "b"))].into();
    let backward: TableSet = [(1, table(1, 1, "b")), (0, table(1, 1, "a"))].into();
    assert_eq!(Held::new(1, forward).id(), Held::new(1, backward).id());
}

#[test]
fn versions_are_found_by_time_and_by_their_good_mark() {
    let mut h = history();
    (1..=5).for_each(|k| drop(change(&mut h, 0, Some(table(1, k + 1, "c")), k * 10)));
    assert_eq!((h.at(35_000), h.at(5_000), h.last_good()), (Some(4), None, None));
    assert!(h.pin_good(3) && !h.pin_good(99));
    assert_eq!(h.last_good(), Some(3));
    // What stands now is not what one goes back to.
    assert!(h.pin_good(6));
    assert_eq!(h.last_good(), Some(3));
}

#[test]
fn an_acked_version_that_was_let_go_has_no_delta_and_good_ones_stay() {
    let mut h = history();
    change(&mut h, 0, Some(table(1, 2, "c")), 1);
    let first = h.current().clone();
    change(&mut h, 0, Some(table(1, 3, "d")), 2);
    let good = h.current().clone();
    assert!(h.pin_good(good.id().number));
    (4..80).for_each(|k| drop(change(&mut h, (k % 3) as usize, Some(table(1, k, "e")), k)));
    assert!(h.compacted() > 40 && h.entries().count() <= 30);
    assert_eq!(h.delta(first.id(), h.current().id().number), None);
    assert_eq!(h.rebuild(good.id().number), Some(good));
    let newest = h.current().clone();
    // Age counts too.
    change(&mut h, 0, Some(table(2, 1, "f")), 9000);
    assert_eq!(h.entries().count(), 2);
    assert_eq!(h.rebuild(newest.id().number), None);
}

/// Random changes, holders that miss some of them, marks, compaction: every kept version rebuilds to what it was,
/// and every holder ends with the newest set by deltas or, where its base is gone, by the full set.
#[test]
fn every_kept_version_rebuilds_and_every_holder_catches_up() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut h = history();
        let mut was: BTreeMap<u64, Held> = [(1, h.current().clone())].into();
        let mut holders: Vec<Held> = vec![h.current().clone(); 4];
        let (mut full, mut by_delta, mut epochs) = (0, 0, [1u64; 8]);
        for step in 2..200u64 {
            let slice = rng.random_range(0..8);
            // Custody that ended and began again has raised the epoch meanwhile.
            let gone = !h.current().set().contains_key(&slice);
            epochs[slice] += u64::from(gone || rng.random_bool(0.1));
            let epoch = epochs[slice];
            let owner = ["a", "b", "c", ""][rng.random_range(0..4)];
            let to = (!rng.random_bool(0.1)).then(|| table(epoch, step, owner));
            if change(&mut h, slice, to, step).is_some() {
                was.insert(h.current().id().number, h.current().clone());
            }
            if rng.random_bool(0.05) {
                h.pin_good(h.current().id().number);
            }
            let holder = rng.random_range(0..4);
            match h.delta(holders[holder].id(), h.current().id().number) {
                Some(delta) => {
                    by_delta += 1;
                    holders[holder]
                        .apply(&delta)
                        .unwrap_or_else(|error| panic!("seed {seed}, step {step}: {error}"));
                }
                None => {
                    full += 1;
                    holders[holder] = h.current().clone();
                }
            }
            assert_eq!(&holders[holder], h.current(), "seed {seed}, step {step}");
        }
        for entry in h.entries() {
            let number = entry.id.number;
            assert_eq!(h.rebuild(number).as_ref(), was.get(&number), "seed {seed}, version {number}");
        }
        assert!(by_delta > 100 && (seed > 0 || full < by_delta), "{by_delta} {full}");
    }
}
