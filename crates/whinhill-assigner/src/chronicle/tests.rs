use whinhill_history::Book;
use whinhill_tables::rollback::Standing;
use whinhill_tables::{Limits, SliceTable, Version};

use super::*;

const LIMITS: Limits = Limits { entries: 50, bytes: 1 << 20, age: Duration::from_secs(10_000) };
const WITHHELD_MOST: Duration = Duration::from_secs(5);
const WITHIN: Duration = Duration::from_secs(60);

struct Calm;

impl Fleet for Calm {
    fn standing(&self, _: &str) -> Standing {
        Standing::Ready
    }

    fn moving(&self, _: SliceId) -> bool {
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
    chronicle: &mut Chronicle,
    at: u64,
    published: &TableSet,
    touched: &[SliceId],
    granted: &[SliceId],
) {
    let (touched, granted) = (touched.iter().copied().collect(), granted.iter().copied().collect());
    chronicle.record(Batch { now: s(at), unix_ms: at * 1000, published, touched, granted, cause: None });
}

fn fresh() -> Chronicle {
    Chronicle::new(History::new(LIMITS, 0, TableSet::new()), Vec::new(), WITHHELD_MOST, s(0), 0)
}

#[test]
fn a_granted_owner_waits_for_the_file_and_an_end_does_not() {
    let mut chronicle = fresh();
    record(&mut chronicle, 1, &set(&[Some("a"), Some("b")]), &[0, 1], &[0, 1]);
    assert!(chronicle.holds_back(0) && chronicle.holds_back(1));
    let first = chronicle.take_page().unwrap();
    // The owner of slice 0 is ended before anyone was told of it; levels of slice 1 wait with their grant.
    record(&mut chronicle, 2, &set(&[None, Some("b")]), &[0], &[]);
    assert!(!chronicle.holds_back(0) && chronicle.holds_back(1));
    assert_eq!(chronicle.kept(first.seq - 1), BTreeSet::new());
    assert_eq!(chronicle.kept(first.seq), [1].into());
    assert_eq!(chronicle.held_back(), 0);
}

#[test]
fn a_granted_owner_waits_for_the_file_no_longer_than_it_may() {
    let mut chronicle = fresh();
    record(&mut chronicle, 1, &set(&[Some("a")]), &[0], &[0]);
    record(&mut chronicle, 3, &set(&[Some("a"), Some("b")]), &[1], &[1]);
    assert_eq!(chronicle.next_overdue(), Some(s(6)));
    assert_eq!(chronicle.overdue(s(5)), BTreeSet::new());
    assert_eq!(chronicle.overdue(s(6)), [0].into());
    assert!(!chronicle.holds_back(0) && chronicle.holds_back(1));
    assert_eq!((chronicle.told_unkept(), chronicle.next_overdue()), (1, Some(s(8))));
    // The file takes all of it after that: what was told is not told again.
    let page = chronicle.take_page().unwrap();
    assert_eq!(chronicle.kept(page.seq), [1].into());
    assert_eq!((chronicle.overdue(s(9)), chronicle.next_overdue()), (BTreeSet::new(), None));
}

#[test]
fn pages_that_the_file_did_not_take_are_folded_into_one() {
    let mut chronicle = fresh();
    record(&mut chronicle, 1, &set(&[Some("a"), Some("b")]), &[0, 1], &[]);
    record(&mut chronicle, 2, &set(&[Some("c")]), &[0, 1], &[]);
    let Numbered { page, .. } = chronicle.take_page().unwrap();
    assert_eq!((page.number, page.changed.len(), page.touched.len()), (2, 1, 2));
    assert_eq!(page.removed, [1].into());
    assert!(chronicle.take_page().is_none());
}

#[test]
fn nothing_is_wished_before_the_rollback_is_kept() {
    let mut chronicle = fresh();
    record(&mut chronicle, 1, &set(&[Some("a")]), &[0], &[]);
    let now = set(&[Some("b")]);
    record(&mut chronicle, 2, &now, &[0], &[]);
    chronicle.take_page();
    let run = chronicle.dry_run(1, &now, None, &Calm).unwrap();
    chronicle.roll_back(1, "ops", &run, s(3), WITHIN).unwrap();
    assert_eq!(chronicle.look(s(4), &now, &Calm).0, []);
    let page = chronicle.take_page().unwrap();
    chronicle.kept(page.seq);
    assert_eq!(chronicle.look(s(6), &now, &Calm).0, [(0, "a".into())]);
    // It found no room: it is wished again, once a second.
    assert_eq!(chronicle.look(s(6), &now, &Calm).0, []);
    assert_eq!(chronicle.look(s(7), &now, &Calm).0, [(0, "a".into())]);
    // What comes of it has the rollback as its author.
    record(&mut chronicle, 8, &set(&[Some("a")]), &[0], &[0]);
    let newest = chronicle.history().entries().last().unwrap();
    assert_eq!(newest.author, Author::Rollback { to: 1, by: "ops".into() });
    assert_eq!(chronicle.dry_run(99, &now, None, &Calm), Err(RollbackError::NotKept(99)));
}

#[test]
fn a_rollback_that_a_crash_cut_short_is_finished_and_done_once() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("history.redb");
    let (mut book, history) = Book::open(&path, LIMITS).unwrap();
    let mut chronicle = Chronicle::new(history, Vec::new(), WITHHELD_MOST, s(0), 0);
    let now = set(&[Some("b"), Some("b")]);
    record(&mut chronicle, 1, &set(&[Some("a"), Some("a")]), &[0, 1], &[]);
    record(&mut chronicle, 2, &now, &[0, 1], &[]);
    let run = chronicle.dry_run(1, &now, None, &Calm).unwrap();
    chronicle.roll_back(1, "ops", &run, s(3), WITHIN).unwrap();
    let page = chronicle.take_page().unwrap();
    book.keep(&page.page).unwrap();
    chronicle.kept(page.seq);
    // Slice 0 is back; then the assigner dies.
    chronicle.look(s(4), &now, &Calm);
    let half = set(&[Some("a"), Some("b")]);
    chronicle.look(s(6), &half, &Calm);
    book.keep(&chronicle.take_page().unwrap().page).unwrap();
    drop((book, chronicle));
    let (book, history) = Book::open(&path, LIMITS).unwrap();
    let mut chronicle = Chronicle::new(history, book.rollbacks().unwrap(), WITHHELD_MOST, s(0), 9000);
    let newest = chronicle.history().entries().last().unwrap().clone();
    assert_eq!((&newest.author, newest.slices().count()), (&Author::Recovery, 2));
    // Custody comes back late, and slice 0 has moved on meanwhile: what was done is not done again.
    assert_eq!(chronicle.look(s(1), &TableSet::new(), &Calm).0, []);
    assert_eq!(chronicle.look(s(3), &set(&[Some("c"), Some("b")]), &Calm).0, [(1, "a".into())]);
    let (wishes, log) = chronicle.look(s(5), &set(&[Some("c"), Some("a")]), &Calm);
    assert!(wishes.is_empty() && log[0].contains("2 slices done, 0 abandoned"), "{log:?}");
}

#[test]
fn a_later_rollback_takes_the_place_of_an_earlier_one_that_is_not_kept_yet() {
    let mut chronicle = fresh();
    record(&mut chronicle, 1, &set(&[Some("a")]), &[0], &[]);
    record(&mut chronicle, 2, &set(&[Some("b")]), &[0], &[]);
    let now = set(&[Some("c")]);
    record(&mut chronicle, 3, &now, &[0], &[]);
    for to in [1, 2] {
        let run = chronicle.dry_run(to, &now, None, &Calm).unwrap();
        chronicle.roll_back(to, "ops", &run, s(4), WITHIN).unwrap();
    }
    let page = chronicle.take_page().unwrap();
    assert_eq!(page.page.rollbacks.len(), 2);
    chronicle.kept(page.seq);
    assert_eq!(chronicle.look(s(5), &now, &Calm).0, [(0, "b".into())]);
}

#[test]
fn a_grant_that_makes_no_page_waits_for_none() {
    let mut chronicle = fresh();
    let published = set(&[Some("a")]);
    record(&mut chronicle, 1, &published, &[0], &[0]);
    let page = chronicle.take_page().unwrap();
    chronicle.kept(page.seq);
    record(&mut chronicle, 2, &published, &[0], &[0]);
    assert!(chronicle.take_page().is_none() && !chronicle.holds_back(0));
}
