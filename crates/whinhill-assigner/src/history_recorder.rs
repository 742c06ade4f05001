//! Records the table sets that an assigner publishes, withholds owners until their version is persisted, and runs
//! rollbacks. No I/O, no clock.
//!
//! A grant is published to proxies only after the shared store holds it *and* the version with the new owner is in
//! this assigner's history file: so the history contains every owner that a proxy may know. If the file cannot be
//! written for long, the grant is published without it, since a proxy must not lack a line because of the history;
//! this is counted. Stops, removals and levels are published at once and persisted afterwards: a full or slow disk
//! delays no safety order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use whinhill::interface::SliceId;
use whinhill_tables::rollback::{dry_run, PlannedAction, Progress, Rollback, ServerView};
use whinhill_tables::{Author, Changes, History, HistoryUpdate, ServerName, TableSet};

/// How often rollbacks are evaluated; moves that the module could not carry out are then requested again.
const EVALUATION_INTERVAL: Duration = Duration::from_secs(1);
/// Rollbacks that may be in progress, and the number of rollbacks that are remembered, finished ones included.
const MAX_ROLLBACKS: usize = 32;

/// A history update for the file. Once it is persisted, [`HistoryRecorder::on_persisted`] is called with its number or a later one.
#[derive(Clone, Debug, PartialEq)]
pub struct NumberedUpdate {
    /// Its number; a merged update has the number of the last one in it.
    pub seq: u64,
    pub update: HistoryUpdate,
}

impl NumberedUpdate {
    /// Merges an update into the pending one.
    pub fn put(pending: &mut Option<NumberedUpdate>, later: Option<NumberedUpdate>) {
        match (pending, later) {
            (_, None) => {}
            (Some(pending), Some(later)) => {
                pending.seq = later.seq;
                pending.update.merge(later.update);
            }
            (none, later) => *none = later,
        }
    }
}

/// The changes that one batch made to the published tables.
pub struct RecordedBatch<'a> {
    pub now: Duration,
    pub unix_ms: u64,
    pub published: &'a TableSet,
    /// Slices whose table changed or that this assigner no longer has custody of.
    pub changed_slices: BTreeSet<SliceId>,
    /// Those among them that have a new owner.
    pub granted: BTreeSet<SliceId>,
    /// The module's reason, if it logged one.
    pub cause: Option<String>,
}

/// Why a rollback was not started.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RollbackError {
    #[error("version {0} is not kept; `whinhill table history` lists those that are")]
    NotKept(u64),
    #[error("{0} rollbacks are under way already")]
    TooMany(usize),
}

/// Until when an owner is withheld.
#[derive(Clone, Copy, Debug)]
struct Withheld {
    /// The number of the update with this owner, which must be persisted first.
    seq: u64,
    /// When it is published even if the update is not persisted.
    until: Duration,
}

/// The history, the owners withheld for it, and the rollbacks.
#[derive(Debug)]
pub struct HistoryRecorder {
    history: History,
    /// The history's clock continues over restarts; this is added to the assigner's clock to get it.
    offset: Duration,
    /// The number of the last update.
    last_seq: u64,
    /// The number of the last update that is known to be persisted.
    persisted_seq: u64,
    pending_update: Option<HistoryUpdate>,
    /// Slices whose owner must not be published before an update is persisted.
    withheld: BTreeMap<SliceId, Withheld>,
    /// How long an owner is withheld at most.
    max_withhold: Duration,
    /// Owners published before the file had them.
    published_unpersisted: u64,
    rollbacks: Vec<Rollback>,
    /// Rollbacks and the number of the update that must be persisted before they start.
    unpersisted_rollbacks: BTreeMap<u64, u64>,
    next_evaluation: Duration,
}

impl HistoryRecorder {
    /// Continues with what the file held. The tables of a former incarnation have no custody: it is acquired anew. An
    /// owner is withheld for the file for at most `max_withhold`.
    pub fn new(
        history: History,
        mut rollbacks: Vec<Rollback>,
        max_withhold: Duration,
        now: Duration,
        unix_ms: u64,
    ) -> Self {
        let last = history.entries().last().map_or(Duration::ZERO, |entry| entry.at);
        rollbacks.iter_mut().for_each(|rollback| rollback.resume(now));
        let mut recorder = HistoryRecorder {
            history,
            offset: last.saturating_sub(now),
            last_seq: 0,
            persisted_seq: 0,
            pending_update: None,
            withheld: BTreeMap::new(),
            max_withhold,
            published_unpersisted: 0,
            rollbacks,
            unpersisted_rollbacks: BTreeMap::new(),
            next_evaluation: Duration::ZERO,
        };
        let inherited: Changes =
            recorder.history.current().set().keys().map(|slice| (*slice, None)).collect();
        let cause = format!("the assigner started again; {} slices wait for custody", inherited.len());
        recorder.record_changes(inherited, Author::Recovery, &cause, now, unix_ms);
        recorder
    }

    /// The history of published sets.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// All remembered rollbacks, oldest first.
    pub fn rollbacks(&self) -> &[Rollback] {
        &self.rollbacks
    }

    /// Adds a version with these changes to the history, if they change anything.
    fn record_changes(&mut self, changes: Changes, author: Author, cause: &str, now: Duration, unix_ms: u64) {
        if let Some(delta) = self.history.record_changes(changes, author, cause, self.offset + now, unix_ms) {
            let update = self.history.update_with(delta);
            self.add_update(update);
        }
    }

    /// Merges an update into the pending one; returns its number.
    fn add_update(&mut self, update: HistoryUpdate) -> u64 {
        match &mut self.pending_update {
            Some(pending) => pending.merge(update),
            None => {
                self.last_seq += 1;
                self.pending_update = Some(update);
            }
        }
        self.last_seq
    }

    /// Records the changes of a batch, and withholds the owners that it granted.
    pub fn record(&mut self, batch: RecordedBatch<'_>) {
        let RecordedBatch { now, unix_ms, published, changed_slices, granted, cause } = batch;
        if changed_slices.is_empty() {
            return;
        }
        let rollback_of = |slice: &SliceId| {
            let owner = published.get(slice)?.owner.as_ref()?;
            let requested = |r: &&Rollback| r.requested_moves().any(|(s, to)| s == *slice && to == owner);
            self.rollbacks.iter().find(requested)
        };
        let rollback = granted.iter().find_map(rollback_of);
        let author = rollback.map_or(Author::Module, |r| Author::Rollback { to: r.to, by: r.by.clone() });
        let summary = || {
            let published_count = changed_slices.iter().filter(|slice| published.contains_key(slice)).count();
            format!(
                "{} granted, {} told, {} given up",
                granted.len(),
                published_count,
                changed_slices.len() - published_count
            )
        };
        let cause = cause.unwrap_or_else(summary);
        let changes = changed_slices.iter().map(|slice| (*slice, published.get(slice).cloned())).collect();
        for slice in changed_slices.iter().filter(|slice| !published.contains_key(slice)) {
            self.rollbacks.iter_mut().for_each(|rollback| rollback.custody_ended(*slice));
        }
        self.record_changes(changes, author, &cause, now, unix_ms);
        // A set without changes makes no update, and then there is none to wait for.
        if self.last_seq > self.persisted_seq {
            let withheld = Withheld { seq: self.last_seq, until: now.saturating_add(self.max_withhold) };
            self.withheld.extend(granted.iter().map(|slice| (*slice, withheld)));
        }
        // The removal of an owner that was never published may be published at once.
        self.withheld.retain(|slice, _| published.get(slice).is_some_and(|table| table.owner.is_some()));
    }

    /// Whether a slice's table is withheld.
    pub fn is_withheld(&self, slice: SliceId) -> bool {
        self.withheld.contains_key(&slice)
    }

    /// The number of withheld slices.
    pub fn withheld_count(&self) -> usize {
        self.withheld.len()
    }

    /// Takes the pending update, for the file.
    pub fn take_update(&mut self) -> Option<NumberedUpdate> {
        self.pending_update.take().map(|update| NumberedUpdate { seq: self.last_seq, update })
    }

    /// The number of the last update.
    pub fn last_seq(&self) -> u64 {
        self.last_seq
    }

    /// The file holds all updates up to this number; returns the slices that may be published now.
    pub fn on_persisted(&mut self, seq: u64) -> BTreeSet<SliceId> {
        self.persisted_seq = self.persisted_seq.max(seq);
        let publishable: BTreeSet<SliceId> = self
            .withheld
            .iter()
            .filter(|(_, withheld)| withheld.seq <= seq)
            .map(|(slice, _)| *slice)
            .collect();
        self.withheld.retain(|_, withheld| withheld.seq > seq);
        self.unpersisted_rollbacks.retain(|_, required_seq| *required_seq > seq);
        publishable
    }

    /// Returns the slices whose owner was withheld for the maximum time: they are published now.
    pub fn release_overdue(&mut self, now: Duration) -> BTreeSet<SliceId> {
        let overdue = self.withheld.iter().filter(|(_, withheld)| withheld.until <= now);
        let overdue: BTreeSet<SliceId> = overdue.map(|(slice, _)| *slice).collect();
        self.withheld.retain(|slice, _| !overdue.contains(slice));
        self.published_unpersisted += overdue.len() as u64;
        overdue
    }

    /// When the next owner has been withheld for the maximum time.
    pub fn next_release(&self) -> Option<Duration> {
        self.withheld.values().map(|withheld| withheld.until).min()
    }

    /// Owners published before the file had them.
    pub fn published_unpersisted(&self) -> u64 {
        self.published_unpersisted
    }

    /// What a rollback to a version would do.
    pub fn dry_run(
        &self,
        to: u64,
        published: &TableSet,
        slices: Option<&BTreeSet<SliceId>>,
        fleet: &impl ServerView,
    ) -> Result<BTreeMap<SliceId, PlannedAction>, RollbackError> {
        let version = self.history.rebuild(to).ok_or(RollbackError::NotKept(to))?;
        Ok(dry_run(version.set(), published, slices, fleet))
    }

    /// Starts a rollback. It requests no move before its update is persisted, so that it survives a crash.
    pub fn start_rollback(
        &mut self,
        to: u64,
        by: &str,
        plan: &BTreeMap<SliceId, PlannedAction>,
        now: Duration,
        within: Duration,
    ) -> Result<u64, RollbackError> {
        let in_progress = self.rollbacks.iter().filter(|rollback| !rollback.finished()).count();
        if in_progress >= MAX_ROLLBACKS {
            return Err(RollbackError::TooMany(in_progress));
        }
        let id = self.rollbacks.last().map_or(0, |last| last.id) + 1;
        let new = Rollback::new(id, to, by, plan, now, within);
        let mut update = self.history.update_without_delta();
        for older in self.rollbacks.iter_mut().filter(|older| !older.finished()) {
            older.supersede_by(&new);
            update.rollbacks.insert(older.id, Some(older.clone()));
        }
        update.rollbacks.insert(id, Some(new.clone()));
        self.rollbacks.push(new);
        let finished = |rollback: &Rollback| rollback.finished();
        if self.rollbacks.len() > MAX_ROLLBACKS {
            if let Some(index) = self.rollbacks.iter().position(finished) {
                let removed = self.rollbacks.remove(index);
                update.rollbacks.insert(removed.id, None);
            }
        }
        let seq = self.add_update(update);
        self.unpersisted_rollbacks.insert(id, seq);
        Ok(id)
    }

    /// Marks a version as good; false if it is not in the history.
    pub fn mark_good(&mut self, number: u64) -> bool {
        let pinned = self.history.mark_good(number);
        if pinned {
            let update = self.history.update_without_delta();
            self.add_update(update);
        }
        pinned
    }

    /// Evaluates the rollbacks, at intervals. Returns the moves to request from the module, and log lines for the
    /// rollbacks that ended.
    pub fn evaluate_rollbacks(
        &mut self,
        now: Duration,
        published: &TableSet,
        fleet: &impl ServerView,
    ) -> (Vec<(SliceId, ServerName)>, Vec<String>) {
        let (mut requested_moves, mut log) = (Vec::new(), Vec::new());
        if now < self.next_evaluation {
            return (requested_moves, log);
        }
        self.next_evaluation = now + EVALUATION_INTERVAL;
        let mut update =
            HistoryUpdate { number: self.history.current().id().number, ..HistoryUpdate::default() };
        for rollback in &mut self.rollbacks {
            if rollback.finished() || self.unpersisted_rollbacks.contains_key(&rollback.id) {
                continue;
            }
            let before = rollback.progress();
            // A requested move without a handover was not possible: it is requested again.
            let idle: Vec<SliceId> = rollback
                .requested_moves()
                .map(|(slice, _)| slice)
                .filter(|slice| !fleet.has_handover(*slice))
                .collect();
            idle.into_iter().for_each(|slice| rollback.reopen(slice));
            requested_moves.extend(rollback.update(now, published, fleet));
            let after = rollback.progress();
            if (before.done, before.abandoned) != (after.done, after.abandoned) {
                // Persisted, so that a restart does not repeat slices that are done or abandoned.
                update.rollbacks.insert(rollback.id, Some(rollback.clone()));
            }
            if rollback.finished() {
                let Progress { done, abandoned, .. } = after;
                log.push(format!(
                    "rollback {} to version {} has ended: {done} slices done, {abandoned} abandoned",
                    rollback.id, rollback.to
                ));
            }
        }
        if !update.rollbacks.is_empty() {
            self.add_update(update);
        }
        (requested_moves, log)
    }
}

#[cfg(test)]
mod tests;
