//! Scenarios of withheld owners, persisted updates and rollbacks.

use whinhill_history::HistoryDb;
use whinhill_tables::rollback::ServerStatus;
use whinhill_tables::{Limits, SliceTable, Version};

use super::*;

const LIMITS: Limits = Limits { entries: 50, bytes: 1 << 20, age: Duration::from_secs(10_000) };
const MAX_WITHHOLD: Duration = Duration::from_secs(5);
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(60);

/// A fleet in which every server is ready and no slice moves.
struct AllReady;

impl ServerView for AllReady {
    fn server_status(&self, _: &str) -> ServerStatus {
        ServerStatus::Ready
    }

    fn has_handover(&self, _: SliceId) -> bool {
        false
    }
}

fn set(owners: &[Option<&str>]) -> TableSet {
    let table = |owner: &Option<&str>| SliceTable {
        version: Version { epoch: 1, number: 1 },
        owner: owner.map(Into::into),
        shares: vec![1.0],
        tries: 0,
    };
    owners.iter().map(table).enumerate().collect()
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn record(
    recorder: &mut HistoryRecorder,
    at: u64,
    published: &TableSet,
    changed_slices: &[SliceId],
    granted: &[SliceId],
) {
    let (changed_slices, granted) =
        (changed_slices.iter().copied().collect(), granted.iter().copied().collect());
    recorder.record(RecordedBatch {
        now: s(at),
        unix_ms: at * 1000,
        published,
        changed_slices,
        granted,
        cause: None,
    });
}

fn empty_recorder() -> HistoryRecorder {
    HistoryRecorder::new(History::new(LIMITS, 0, TableSet::new()), Vec::new(), MAX_WITHHOLD, s(0), 0)
}

#[test]
fn granted_owner_is_withheld_for_the_file_and_removal_is_not() {
    let mut recorder = empty_recorder();
    record(&mut recorder, 1, &set(&[Some("a"), Some("b")]), &[0, 1], &[0, 1]);
    assert!(recorder.is_withheld(0) && recorder.is_withheld(1));
    let first = recorder.take_update().unwrap();
    // The owner of slice 0 is removed before it was published; levels of slice 1 are withheld with its grant.
    record(&mut recorder, 2, &set(&[None, Some("b")]), &[0], &[]);
    assert!(!recorder.is_withheld(0) && recorder.is_withheld(1));
    assert_eq!(recorder.on_persisted(first.seq - 1), BTreeSet::new());
    assert_eq!(recorder.on_persisted(first.seq), [1].into());
    assert_eq!(recorder.withheld_count(), 0);
}

#[test]
fn granted_owner_is_withheld_for_a_limited_time() {
    let mut recorder = empty_recorder();
    record(&mut recorder, 1, &set(&[Some("a")]), &[0], &[0]);
    record(&mut recorder, 3, &set(&[Some("a"), Some("b")]), &[1], &[1]);
    assert_eq!(recorder.next_release(), Some(s(6)));
    assert_eq!(recorder.release_overdue(s(5)), BTreeSet::new());
    assert_eq!(recorder.release_overdue(s(6)), [0].into());
    assert!(!recorder.is_withheld(0) && recorder.is_withheld(1));
    assert_eq!((recorder.published_unpersisted(), recorder.next_release()), (1, Some(s(8))));
    // The update is persisted afterwards: what was published is not published again.
    let update = recorder.take_update().unwrap();
    assert_eq!(recorder.on_persisted(update.seq), [1].into());
    assert_eq!((recorder.release_overdue(s(9)), recorder.next_release()), (BTreeSet::new(), None));
}

#[test]
fn updates_not_yet_persisted_are_merged() {
    let mut recorder = empty_recorder();
    record(&mut recorder, 1, &set(&[Some("a"), Some("b")]), &[0, 1], &[]);
    record(&mut recorder, 2, &set(&[Some("c")]), &[0, 1], &[]);
    let NumberedUpdate { update, .. } = recorder.take_update().unwrap();
    assert_eq!((update.number, update.changed.len(), update.changed_entries.len()), (2, 1, 2));
    assert_eq!(update.removed, [1].into());
    assert!(recorder.take_update().is_none());
}

#[test]
fn rollback_requests_no_move_before_it_is_persisted() {
    let mut recorder = empty_recorder();
    record(&mut recorder, 1, &set(&[Some("a")]), &[0], &[]);
    let now = set(&[Some("b")]);
    record(&mut recorder, 2, &now, &[0], &[]);
    recorder.take_update();
    let plan = recorder.dry_run(1, &now, None, &AllReady).unwrap();
    recorder.start_rollback(1, "ops", &plan, s(3), ROLLBACK_TIMEOUT).unwrap();
    assert_eq!(recorder.evaluate_rollbacks(s(4), &now, &AllReady).0, []);
    let update = recorder.take_update().unwrap();
    recorder.on_persisted(update.seq);
    assert_eq!(recorder.evaluate_rollbacks(s(6), &now, &AllReady).0, [(0, "a".into())]);
    // The move was not possible: it is requested again, once a second.
    assert_eq!(recorder.evaluate_rollbacks(s(6), &now, &AllReady).0, []);
    assert_eq!(recorder.evaluate_rollbacks(s(7), &now, &AllReady).0, [(0, "a".into())]);
    // The resulting version has the rollback as its author.
    record(&mut recorder, 8, &set(&[Some("a")]), &[0], &[0]);
    let newest = recorder.history().entries().last().unwrap();
    assert_eq!(newest.author, Author::Rollback { to: 1, by: "ops".into() });
    assert_eq!(recorder.dry_run(99, &now, None, &AllReady), Err(RollbackError::NotKept(99)));
}

#[test]
fn rollback_interrupted_by_a_crash_is_finished_and_done_once() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("history.redb");
    let (mut db, history) = HistoryDb::open(&path, LIMITS).unwrap();
    let mut recorder = HistoryRecorder::new(history, Vec::new(), MAX_WITHHOLD, s(0), 0);
    let now = set(&[Some("b"), Some("b")]);
    record(&mut recorder, 1, &set(&[Some("a"), Some("a")]), &[0, 1], &[]);
    record(&mut recorder, 2, &now, &[0, 1], &[]);
    let plan = recorder.dry_run(1, &now, None, &AllReady).unwrap();
    recorder.start_rollback(1, "ops", &plan, s(3), ROLLBACK_TIMEOUT).unwrap();
    let update = recorder.take_update().unwrap();
    db.persist(&update.update).unwrap();
    recorder.on_persisted(update.seq);
    // Slice 0 is moved back; then the assigner crashes.
    recorder.evaluate_rollbacks(s(4), &now, &AllReady);
    let half_done = set(&[Some("a"), Some("b")]);
    recorder.evaluate_rollbacks(s(6), &half_done, &AllReady);
    db.persist(&recorder.take_update().unwrap().update).unwrap();
    drop((db, recorder));
    let (db, history) = HistoryDb::open(&path, LIMITS).unwrap();
    let mut recorder = HistoryRecorder::new(history, db.rollbacks().unwrap(), MAX_WITHHOLD, s(0), 9000);
    let newest = recorder.history().entries().last().unwrap().clone();
    assert_eq!((&newest.author, newest.slices().count()), (&Author::Recovery, 2));
    // Custody is acquired late, and slice 0 has moved meanwhile: what was done is not repeated.
    assert_eq!(recorder.evaluate_rollbacks(s(1), &TableSet::new(), &AllReady).0, []);
    assert_eq!(
        recorder.evaluate_rollbacks(s(3), &set(&[Some("c"), Some("b")]), &AllReady).0,
        [(1, "a".into())]
    );
    let (requested_moves, log) = recorder.evaluate_rollbacks(s(5), &set(&[Some("c"), Some("a")]), &AllReady);
    assert!(requested_moves.is_empty() && log[0].contains("2 slices done, 0 abandoned"), "{log:?}");
}

#[test]
fn later_rollback_replaces_an_earlier_one_that_is_not_persisted_yet() {
    let mut recorder = empty_recorder();
    record(&mut recorder, 1, &set(&[Some("a")]), &[0], &[]);
    record(&mut recorder, 2, &set(&[Some("b")]), &[0], &[]);
    let now = set(&[Some("c")]);
    record(&mut recorder, 3, &now, &[0], &[]);
    for to in [1, 2] {
        let plan = recorder.dry_run(to, &now, None, &AllReady).unwrap();
        recorder.start_rollback(to, "ops", &plan, s(4), ROLLBACK_TIMEOUT).unwrap();
    }
    let update = recorder.take_update().unwrap();
    assert_eq!(update.update.rollbacks.len(), 2);
    recorder.on_persisted(update.seq);
    assert_eq!(recorder.evaluate_rollbacks(s(5), &now, &AllReady).0, [(0, "b".into())]);
}

#[test]
fn grant_without_a_history_update_is_not_withheld() {
    let mut recorder = empty_recorder();
    let published = set(&[Some("a")]);
    record(&mut recorder, 1, &published, &[0], &[0]);
    let update = recorder.take_update().unwrap();
    recorder.on_persisted(update.seq);
    record(&mut recorder, 2, &published, &[0], &[0]);
    assert!(recorder.take_update().is_none() && !recorder.is_withheld(0));
}
