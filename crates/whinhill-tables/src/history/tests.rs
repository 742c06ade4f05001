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

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn history() -> History {
    History::new(LIMITS, 1, [(0, table(1, 1, "a")), (1, table(1, 1, "b"))].into())
}

/// Records a change of one slice; `None` removes it.
fn change(history: &mut History, slice: SliceId, to: Option<SliceTable>, at: u64) -> Option<Delta> {
    let mut set = history.current().set().clone();
    match to {
        Some(table) => drop(set.insert(slice, table)),
        None => drop(set.remove(&slice)),
    }
    history.record_set(set, Author::Module, "a cause", secs(at), at * 1000)
}

#[test]
fn delta_applies_to_its_own_base_only_and_twice_changes_nothing() {
    let mut history = history();
    let mut held = history.current().clone();
    let mut stale = held.clone();
    let delta = change(&mut history, 0, Some(table(1, 2, "c")), 1).unwrap();
    held.apply(&delta).unwrap();
    held.apply(&delta).unwrap();
    assert_eq!(&held, history.current());
    let next = change(&mut history, 1, None, 2).unwrap();
    let before = stale.clone();
    assert!(matches!(stale.apply(&next), Err(DeltaError::BaseMismatch { .. })));
    assert_eq!(stale, before);
    held.apply(&next).unwrap();
    assert_eq!(&held, history.current());
}

#[test]
fn base_with_same_number_but_other_epoch_is_refused() {
    let mut history = history();
    let delta = change(&mut history, 0, Some(table(1, 2, "c")), 1).unwrap();
    let mut other = NumberedSet::new(1, [(0, table(2, 1, "a")), (1, table(1, 1, "b"))].into());
    assert!(matches!(other.apply(&delta), Err(DeltaError::BaseMismatch { .. })));
}

#[test]
fn delta_with_wrong_result_or_older_version_is_refused() {
    let mut history = history();
    let mut held = history.current().clone();
    let good = change(&mut history, 0, Some(table(1, 2, "c")), 1).unwrap();
    let mut bad = good.clone();
    bad.changed.insert(1, table(1, 2, "z"));
    assert!(matches!(held.apply(&bad), Err(DeltaError::ResultMismatch { .. })));
    let mut bad = good.clone();
    bad.changed.insert(1, table(0, 9, "b"));
    assert!(matches!(held.apply(&bad), Err(DeltaError::VersionRegressed { slice: 1, .. })));
    let mut bad = good.clone();
    bad.removed.insert(7);
    assert_eq!(held.apply(&bad), Err(DeltaError::MissingSlice { slice: 7 }));
    assert!(held.apply(&good).is_ok());
}

#[test]
fn unchanged_set_makes_no_version_and_hash_ignores_insertion_order() {
    let mut history = history();
    let same = history.current().set().clone();
    assert_eq!(history.record_set(same, Author::Module, "", secs(1), 1000), None);
    let forward: TableSet = [(0, table(1, 1, "a")), (1, table(1, 1, "b"))].into();
    let backward: TableSet = [(1, table(1, 1, "b")), (0, table(1, 1, "a"))].into();
    assert_eq!(NumberedSet::new(1, forward).id(), NumberedSet::new(1, backward).id());
}

#[test]
fn versions_are_found_by_time_and_by_good_flag() {
    let mut history = history();
    (1..=5).for_each(|k| drop(change(&mut history, 0, Some(table(1, k + 1, "c")), k * 10)));
    assert_eq!(
        (history.version_at(35_000), history.version_at(5_000), history.last_good()),
        (Some(4), None, None)
    );
    assert!(history.mark_good(3) && !history.mark_good(99));
    assert_eq!(history.last_good(), Some(3));
    // The current version is not one to go back to.
    assert!(history.mark_good(6));
    assert_eq!(history.last_good(), Some(3));
}

#[test]
fn compacted_version_has_no_delta_and_good_versions_stay() {
    let mut history = history();
    change(&mut history, 0, Some(table(1, 2, "c")), 1);
    let first = history.current().clone();
    change(&mut history, 0, Some(table(1, 3, "d")), 2);
    let good = history.current().clone();
    assert!(history.mark_good(good.id().number));
    (4..80).for_each(|k| drop(change(&mut history, (k % 3) as usize, Some(table(1, k, "e")), k)));
    assert!(history.compacted() > 40 && history.entries().count() <= 30);
    assert_eq!(history.delta(first.id(), history.current().id().number), None);
    assert_eq!(history.rebuild(good.id().number), Some(good));
    let newest = history.current().clone();
    // Versions beyond the maximum age are compacted, too.
    change(&mut history, 0, Some(table(2, 1, "f")), 9000);
    assert_eq!(history.entries().count(), 2);
    assert_eq!(history.rebuild(newest.id().number), None);
}

/// Random changes, good flags and compaction, and holders that miss some versions. Every kept version rebuilds to the
/// set that was recorded, and every holder reaches the newest set by deltas or, if its base was compacted, by the full
/// set.
#[test]
fn every_kept_version_rebuilds_and_every_holder_catches_up() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut history = history();
        let mut recorded: BTreeMap<u64, NumberedSet> = [(1, history.current().clone())].into();
        let mut holders: Vec<NumberedSet> = vec![history.current().clone(); 4];
        let (mut by_full_set, mut by_delta, mut epochs) = (0, 0, [1u64; 8]);
        for step in 2..200u64 {
            let slice = rng.random_range(0..8);
            // A slice whose custody ended and began again has a greater epoch.
            let absent = !history.current().set().contains_key(&slice);
            epochs[slice] += u64::from(absent || rng.random_bool(0.1));
            let epoch = epochs[slice];
            let owner = ["a", "b", "c", ""][rng.random_range(0..4)];
            let to = (!rng.random_bool(0.1)).then(|| table(epoch, step, owner));
            if change(&mut history, slice, to, step).is_some() {
                recorded.insert(history.current().id().number, history.current().clone());
            }
            if rng.random_bool(0.05) {
                history.mark_good(history.current().id().number);
            }
            let holder = rng.random_range(0..4);
            match history.delta(holders[holder].id(), history.current().id().number) {
                Some(delta) => {
                    by_delta += 1;
                    holders[holder]
                        .apply(&delta)
                        .unwrap_or_else(|error| panic!("seed {seed}, step {step}: {error}"));
                }
                None => {
                    by_full_set += 1;
                    holders[holder] = history.current().clone();
                }
            }
            assert_eq!(&holders[holder], history.current(), "seed {seed}, step {step}");
        }
        for entry in history.entries() {
            let number = entry.id.number;
            assert_eq!(
                history.rebuild(number).as_ref(),
                recorded.get(&number),
                "seed {seed}, version {number}"
            );
        }
        assert!(by_delta > 100 && (seed > 0 || by_full_set < by_delta), "{by_delta} {by_full_set}");
    }
}
