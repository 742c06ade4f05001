//! What an assigner remembers of the sets that it published, what may be told only once it is kept, and the
//! rollbacks that are under way. No I/O, no clock.
//!
//! A grant is told to a proxy only after the shared store holds it *and* the version that names it is in our own
//! file: so whatever a proxy may hold of owners, the history knows. Where the file refuses for long the grant is told
//! without it, since a proxy must not go without a line for want of a history; that is counted. Stops, ends and
//! levels are told at once and kept after: a disk that is full or slow delays no safety order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use whinhill::interface::SliceId;
use whinhill_tables::rollback::{dry_run, Fleet, Progress, Rollback, Verdict};
use whinhill_tables::{Author, Changes, History, Page, ServerName, TableSet};

/// How often wishes are looked at, and handed to the module again where it could not carry them out.
const LOOK: Duration = Duration::from_secs(1);
/// Rollbacks under way at a time, and finished ones that can still be asked about.
const ROLLBACKS_MOST: usize = 32;

/// A page for the file; answered by [`Chronicle::kept`] with its number, or that of a later one.
#[derive(Clone, Debug, PartialEq)]
pub struct Numbered {
    pub seq: u64,
    pub page: Page,
}

impl Numbered {
    /// Adds a page to what waits already.
    pub fn put(waiting: &mut Option<Numbered>, page: Option<Numbered>) {
        match (waiting, page) {
            (_, None) => {}
            (Some(held), Some(page)) => {
                held.seq = page.seq;
                held.page.fold(page.page);
            }
            (none, page) => *none = page,
        }
    }
}

/// What one batch did to the published tables.
pub struct Batch<'a> {
    pub now: Duration,
    pub unix_ms: u64,
    pub published: &'a TableSet,
    /// Slices whose table is another one, or that are ours no longer.
    pub touched: BTreeSet<SliceId>,
    /// Those among them that have a new owner.
    pub granted: BTreeSet<SliceId>,
    /// What the module said of it.
    pub cause: Option<String>,
}

/// Why a rollback was not begun.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RollbackError {
    #[error("version {0} is not kept; `whinhill table history` lists those that are")]
    NotKept(u64),
    #[error("{0} rollbacks are under way already")]
    TooMany(usize),
}

/// What an owner that is not told yet waits for.
#[derive(Clone, Copy, Debug)]
struct Withheld {
    /// The number of the page that names it.
    seq: u64,
    /// When it is told whatever the file does.
    until: Duration,
}

#[derive(Debug)]
pub struct Chronicle {
    history: History,
    /// The history's clock goes on from life to life; this is where ours stands on it.
    offset: Duration,
    seq: u64,
    /// The last page that is known to be kept.
    kept: u64,
    page: Option<Page>,
    /// Slices with an owner that must not be told before a page is kept.
    unkept: BTreeMap<SliceId, Withheld>,
    /// How long an owner is withheld.
    withheld_most: Duration,
    /// Owners told before the file had them.
    told_unkept: u64,
    rollbacks: Vec<Rollback>,
    /// Rollbacks that wait for their page: nothing of them is done before.
    unkept_rollbacks: BTreeMap<u64, u64>,
    next_look: Duration,
}

impl Chronicle {
    /// Takes up what the file held. The sets of a former life are nobody's now: custody comes anew. An owner waits
    /// for the file for `withheld_most`.
    pub fn new(
        history: History,
        mut rollbacks: Vec<Rollback>,
        withheld_most: Duration,
        now: Duration,
        unix_ms: u64,
    ) -> Self {
        let last = history.entries().last().map_or(Duration::ZERO, |entry| entry.at);
        rollbacks.iter_mut().for_each(|rollback| rollback.recovered(now));
        let mut chronicle = Chronicle {
            history,
            offset: last.saturating_sub(now),
            seq: 0,
            kept: 0,
            page: None,
            unkept: BTreeMap::new(),
            withheld_most,
            told_unkept: 0,
            rollbacks,
            unkept_rollbacks: BTreeMap::new(),
            next_look: Duration::ZERO,
        };
        let held: Changes = chronicle.history.current().set().keys().map(|slice| (*slice, None)).collect();
        let cause = format!("the assigner started again; {} slices wait for custody", held.len());
        chronicle.advance(held, Author::Recovery, &cause, now, unix_ms);
        chronicle
    }

    pub fn history(&self) -> &History {
        &self.history
    }

    pub fn rollbacks(&self) -> &[Rollback] {
        &self.rollbacks
    }

    fn advance(&mut self, changes: Changes, author: Author, cause: &str, now: Duration, unix_ms: u64) {
        if let Some(delta) = self.history.advance(changes, author, cause, self.offset + now, unix_ms) {
            let page = self.history.page(delta);
            self.put(page);
        }
    }

    /// Adds to the page that is to be kept next; returns its number.
    fn put(&mut self, page: Page) -> u64 {
        match &mut self.page {
            Some(waiting) => waiting.fold(page),
            None => {
                self.seq += 1;
                self.page = Some(page);
            }
        }
        self.seq
    }

    /// Records what a batch did, and holds back the owners that it granted.
    pub fn record(&mut self, batch: Batch<'_>) {
        let Batch { now, unix_ms, published, touched, granted, cause } = batch;
        if touched.is_empty() {
            return;
        }
        let wished = |slice: &SliceId| {
            let owner = published.get(slice)?.owner.as_ref()?;
            let done = |r: &&Rollback| r.handed().any(|(s, to)| s == *slice && to == owner);
            self.rollbacks.iter().find(done)
        };
        let rollback = granted.iter().find_map(wished);
        let author = rollback.map_or(Author::Module, |r| Author::Rollback { to: r.to, by: r.by.clone() });
        let summary = || {
            let ours = touched.iter().filter(|slice| published.contains_key(slice)).count();
            format!("{} granted, {} told, {} given up", granted.len(), ours, touched.len() - ours)
        };
        let cause = cause.unwrap_or_else(summary);
        let changes = touched.iter().map(|slice| (*slice, published.get(slice).cloned())).collect();
        for slice in touched.iter().filter(|slice| !published.contains_key(slice)) {
            self.rollbacks.iter_mut().for_each(|rollback| rollback.taken(*slice));
        }
        self.advance(changes, author, &cause, now, unix_ms);
        // A set that says nothing new makes no page, and then there is none to wait for.
        if self.seq > self.kept {
            let withheld = Withheld { seq: self.seq, until: now.saturating_add(self.withheld_most) };
            self.unkept.extend(granted.iter().map(|slice| (*slice, withheld)));
        }
        // The end of an owner who was never told is safe to tell at once.
        self.unkept.retain(|slice, _| published.get(slice).is_some_and(|table| table.owner.is_some()));
    }

    /// Whether a slice's table must wait.
    pub fn holds_back(&self, slice: SliceId) -> bool {
        self.unkept.contains_key(&slice)
    }

    /// Slices that wait for the file.
    pub fn held_back(&self) -> usize {
        self.unkept.len()
    }

    /// What the file must take next.
    pub fn take_page(&mut self) -> Option<Numbered> {
        self.page.take().map(|page| Numbered { seq: self.seq, page })
    }

    /// The number of the last page that was made.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// The file holds all pages up to that number: what waited for them may be told.
    pub fn kept(&mut self, seq: u64) -> BTreeSet<SliceId> {
        self.kept = self.kept.max(seq);
        let ready: BTreeSet<SliceId> =
            self.unkept.iter().filter(|(_, waits)| waits.seq <= seq).map(|(slice, _)| *slice).collect();
        self.unkept.retain(|_, waits| waits.seq > seq);
        self.unkept_rollbacks.retain(|_, waits| *waits > seq);
        ready
    }

    /// Slices whose owner has waited for the file as long as it may: they are told now.
    pub fn overdue(&mut self, now: Duration) -> BTreeSet<SliceId> {
        let overdue = self.unkept.iter().filter(|(_, waits)| waits.until <= now);
        let overdue: BTreeSet<SliceId> = overdue.map(|(slice, _)| *slice).collect();
        self.unkept.retain(|slice, _| !overdue.contains(slice));
        self.told_unkept += overdue.len() as u64;
        overdue
    }

    /// When the next owner has waited as long as it may.
    pub fn next_overdue(&self) -> Option<Duration> {
        self.unkept.values().map(|waits| waits.until).min()
    }

    /// Owners told before the file had them.
    pub fn told_unkept(&self) -> u64 {
        self.told_unkept
    }

    /// What a rollback to a kept version would do.
    pub fn dry_run(
        &self,
        to: u64,
        published: &TableSet,
        slices: Option<&BTreeSet<SliceId>>,
        fleet: &impl Fleet,
    ) -> Result<BTreeMap<SliceId, Verdict>, RollbackError> {
        let old = self.history.rebuild(to).ok_or(RollbackError::NotKept(to))?;
        Ok(dry_run(old.set(), published, slices, fleet))
    }

    /// Begins one. Nothing is done of it before the page is kept, so that a crash can't forget what was begun.
    pub fn roll_back(
        &mut self,
        to: u64,
        by: &str,
        run: &BTreeMap<SliceId, Verdict>,
        now: Duration,
        within: Duration,
    ) -> Result<u64, RollbackError> {
        let under_way = self.rollbacks.iter().filter(|rollback| !rollback.finished()).count();
        if under_way >= ROLLBACKS_MOST {
            return Err(RollbackError::TooMany(under_way));
        }
        let id = self.rollbacks.last().map_or(0, |last| last.id) + 1;
        let new = Rollback::new(id, to, by, run, now, within);
        let mut page = self.history.marks();
        for older in self.rollbacks.iter_mut().filter(|older| !older.finished()) {
            older.superseded(&new);
            page.rollbacks.insert(older.id, Some(older.clone()));
        }
        page.rollbacks.insert(id, Some(new.clone()));
        self.rollbacks.push(new);
        let finished = |rollback: &Rollback| rollback.finished();
        if self.rollbacks.len() > ROLLBACKS_MOST {
            if let Some(place) = self.rollbacks.iter().position(finished) {
                let gone = self.rollbacks.remove(place);
                page.rollbacks.insert(gone.id, None);
            }
        }
        let seq = self.put(page);
        self.unkept_rollbacks.insert(id, seq);
        Ok(id)
    }

    /// Marks a version as good; false if it is not kept.
    pub fn pin_good(&mut self, number: u64) -> bool {
        let pinned = self.history.pin_good(number);
        if pinned {
            let page = self.history.marks();
            self.put(page);
        }
        pinned
    }

    /// Looks at what stands, once in a while. Returns what to wish of the module, and says which rollbacks ended.
    pub fn look(
        &mut self,
        now: Duration,
        published: &TableSet,
        fleet: &impl Fleet,
    ) -> (Vec<(SliceId, ServerName)>, Vec<String>) {
        let (mut wishes, mut log) = (Vec::new(), Vec::new());
        if now < self.next_look {
            return (wishes, log);
        }
        self.next_look = now + LOOK;
        let mut page = Page { number: self.history.current().id().number, ..Page::default() };
        for rollback in &mut self.rollbacks {
            if rollback.finished() || self.unkept_rollbacks.contains_key(&rollback.id) {
                continue;
            }
            let before = rollback.progress();
            // What was handed and has not begun to move found no room: it is wished again.
            let idle: Vec<SliceId> =
                rollback.handed().map(|(slice, _)| slice).filter(|slice| !fleet.moving(*slice)).collect();
            idle.into_iter().for_each(|slice| rollback.put_back(slice));
            wishes.extend(rollback.look(now, published, fleet));
            let after = rollback.progress();
            if (before.done, before.abandoned) != (after.done, after.abandoned) {
                // What is done or given up stays so: a restart must not do it again.
                page.rollbacks.insert(rollback.id, Some(rollback.clone()));
            }
            if rollback.finished() {
                let Progress { done, abandoned, .. } = after;
                log.push(format!(
                    "rollback {} to version {} has ended: {done} slices done, {abandoned} abandoned",
                    rollback.id, rollback.to
                ));
            }
        }
        if !page.rollbacks.is_empty() {
            self.put(page);
        }
        (wishes, log)
    }
}

#[cfg(test)]
mod tests;
