//! The history of published table sets: who changed them, when and why. No I/O.
//!
//! The history holds the newest set whole and, for each version, the former tables of the slices that it changed. So
//! any kept set can be rebuilt, and an old version costs only what it changed. Old versions are compacted when there
//! are too many of them or they are too old: their changes are merged into the next version's. Versions marked good
//! are never compacted.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use whinhill::interface::SliceId;

use crate::delta::{Changes, Delta, NumberedSet, SetId};
use crate::rollback::Rollback;
use crate::table::{SliceTable, TableSet};

/// Who made a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Author {
    /// The module, by its orders.
    Module,
    /// An operator, by name.
    Operator(String),
    /// A rollback to set number `to`, requested by the operator `by`.
    Rollback { to: u64, by: String },
    /// An assigner that restarted and continues from the set that it found.
    Recovery,
}

/// The history's entry of one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The id of the set that resulted.
    pub id: SetId,
    /// Who made the version.
    pub author: Author,
    /// The time of the change on the history's clock: the assigner's clock, plus an offset after a restart so that it
    /// never goes back.
    pub at: Duration,
    /// The time of the change by the wall clock, for readers.
    pub unix_ms: u64,
    /// The reason: the module's log line, or the operator's words.
    pub cause: String,
    /// Whether an operator marked the version as good.
    pub good: bool,
    /// The former table of each changed slice; `None`: the slice was absent.
    before: BTreeMap<SliceId, Option<SliceTable>>,
}

impl Entry {
    /// The slices that this version changed.
    pub fn slices(&self) -> impl Iterator<Item = SliceId> + '_ {
        self.before.keys().copied()
    }

    /// The estimated size of the entry in bytes.
    fn estimated_size(&self) -> usize {
        let table_size = |table: &Option<SliceTable>| {
            table
                .as_ref()
                .map_or(0, |t| t.owner.as_ref().map_or(0, |owner| owner.len()) + 8 * t.shares.len() + 32)
        };
        96 + self.cause.len() + self.before.values().map(|before| 16 + table_size(before)).sum::<usize>()
    }
}

/// The limits beyond which old versions are compacted.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of versions.
    pub entries: usize,
    /// The maximum estimated size of all entries.
    pub bytes: usize,
    /// The maximum age of a version.
    pub age: Duration,
}

/// The newest table set and the versions that led to it.
#[derive(Debug)]
pub struct History {
    limits: Limits,
    current: NumberedSet,
    /// Oldest first.
    entries: VecDeque<Entry>,
    /// The estimated size of all entries.
    bytes: usize,
    /// The number of versions compacted so far.
    compacted: u64,
    /// Versions added, compacted, rewritten or marked good since the last [`History::take_changed_entries`].
    changed_entries: BTreeSet<u64>,
}

/// What must be written to a history file so that it holds the newest version. Several updates can be merged into one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HistoryUpdate {
    /// New and changed tables.
    pub changed: TableSet,
    /// Slices that the newest set lacks.
    pub removed: BTreeSet<SliceId>,
    /// The newest version's number.
    pub number: u64,
    /// Added and changed entries by version number; `None`: compacted.
    pub changed_entries: BTreeMap<u64, Option<Entry>>,
    /// Changed rollbacks by id, finished ones included; `None`: no longer remembered.
    pub rollbacks: BTreeMap<u64, Option<Rollback>>,
}

impl HistoryUpdate {
    /// Merges a later update into this one. The size of the result is bounded by the number of slices and the
    /// history's limits.
    pub fn merge(&mut self, later: HistoryUpdate) {
        self.removed.retain(|slice| !later.changed.contains_key(slice));
        self.changed.retain(|slice, _| !later.removed.contains(slice));
        self.changed.extend(later.changed);
        self.removed.extend(later.removed);
        self.changed_entries.extend(later.changed_entries);
        self.rollbacks.extend(later.rollbacks);
        self.number = later.number;
    }
}

/// Why a stored history can't be restored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RestoreError {
    /// The version numbers do not ascend.
    #[error("version {0} does not have a greater number than the version before it")]
    NotAscending(u64),
    /// The newest entry is not that of the current set.
    #[error("the current set is {found}, but the newest version is {wanted}")]
    CurrentMismatch { found: SetId, wanted: SetId },
}

/// Longer causes are truncated to this many characters.
const MAX_CAUSE_CHARS: usize = 300;

impl History {
    /// Starts a history with `set` as version `number`.
    pub fn new(limits: Limits, number: u64, set: TableSet) -> Self {
        let current = NumberedSet::new(number, set);
        History {
            limits,
            current,
            entries: VecDeque::new(),
            bytes: 0,
            compacted: 0,
            changed_entries: BTreeSet::new(),
        }
    }

    /// Restores a history from the newest set and the entries that led to it, oldest first.
    pub fn restore(limits: Limits, current: NumberedSet, entries: Vec<Entry>) -> Result<Self, RestoreError> {
        let numbers = entries.windows(2).find(|pair| pair[0].id.number >= pair[1].id.number);
        if let Some(pair) = numbers {
            return Err(RestoreError::NotAscending(pair[1].id.number));
        }
        if let Some(newest) = entries.last().filter(|newest| newest.id != current.id()) {
            return Err(RestoreError::CurrentMismatch { found: current.id(), wanted: newest.id });
        }
        let bytes = entries.iter().map(Entry::estimated_size).sum();
        let (entries, changed_entries) = (entries.into(), BTreeSet::new());
        Ok(History { limits, current, entries, bytes, compacted: 0, changed_entries })
    }

    /// Returns the entries that were added or changed since the last call; `None` for a compacted one.
    pub fn take_changed_entries(&mut self) -> Vec<(u64, Option<Entry>)> {
        let changed_entries = std::mem::take(&mut self.changed_entries);
        let entry = |number: u64| self.entries.iter().find(|entry| entry.id.number == number).cloned();
        changed_entries.into_iter().map(|number| (number, entry(number))).collect()
    }

    /// The update that persists `delta` and the entries changed since the last update.
    pub fn update_with(&mut self, delta: Delta) -> HistoryUpdate {
        let changed_entries = self.take_changed_entries().into_iter().collect();
        HistoryUpdate {
            changed: delta.changed,
            removed: delta.removed,
            number: delta.to.number,
            changed_entries,
            rollbacks: BTreeMap::new(),
        }
    }

    /// The update that persists the changed entries alone.
    pub fn update_without_delta(&mut self) -> HistoryUpdate {
        let id = self.current.id();
        self.update_with(Delta { from: id, to: id, ..Delta::default() })
    }

    /// The newest set.
    pub fn current(&self) -> &NumberedSet {
        &self.current
    }

    /// The versions that are kept, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }

    /// The estimated size of all entries.
    pub fn estimated_bytes(&self) -> usize {
        self.bytes
    }

    /// The number of versions compacted so far.
    pub fn compacted(&self) -> u64 {
        self.compacted
    }

    /// Records a new set. Returns the delta to it, or `None` if it is equal, which makes no version.
    pub fn record_set(
        &mut self,
        set: TableSet,
        author: Author,
        cause: &str,
        at: Duration,
        unix_ms: u64,
    ) -> Option<Delta> {
        let removed = self.current.set().keys().filter(|slice| !set.contains_key(slice));
        let mut changes: Changes = removed.map(|slice| (*slice, None)).collect();
        changes.extend(set.into_iter().map(|(slice, table)| (slice, Some(table))));
        self.record_changes(changes, author, cause, at, unix_ms)
    }

    /// Records changed slices. Returns the delta, or `None` if nothing differs, which makes no version.
    pub fn record_changes(
        &mut self,
        changes: Changes,
        author: Author,
        cause: &str,
        at: Duration,
        unix_ms: u64,
    ) -> Option<Delta> {
        let (delta, before) = self.current.apply_changes(self.current.id().number + 1, changes);
        if before.is_empty() {
            return None;
        }
        let cause = cause.chars().take(MAX_CAUSE_CHARS).collect();
        let entry = Entry { id: delta.to, author, at, unix_ms, cause, good: false, before };
        self.bytes += entry.estimated_size();
        self.changed_entries.insert(entry.id.number);
        self.entries.push_back(entry);
        self.compact(at);
        Some(delta)
    }

    /// Marks a version as good, so that it is never compacted. Returns false if the version is not kept.
    pub fn mark_good(&mut self, number: u64) -> bool {
        let entry = self.entries.iter_mut().find(|entry| entry.id.number == number);
        let Some(entry) = entry else { return false };
        entry.good = true;
        self.changed_entries.insert(number);
        true
    }

    /// The newest version marked good, other than the current one.
    pub fn last_good(&self) -> Option<u64> {
        let older = self.entries.iter().rev().filter(|entry| entry.id != self.current.id());
        older.filter(|entry| entry.good).map(|entry| entry.id.number).next()
    }

    /// The version that was the newest at a wall clock time.
    pub fn version_at(&self, unix_ms: u64) -> Option<u64> {
        self.entries.iter().rev().find(|entry| entry.unix_ms <= unix_ms).map(|entry| entry.id.number)
    }

    /// Rebuilds a kept set by undoing the changes of all later versions.
    pub fn rebuild(&self, number: u64) -> Option<NumberedSet> {
        if number == self.current.id().number {
            return Some(self.current.clone());
        }
        let index = self.entries.iter().position(|entry| entry.id.number == number)?;
        let mut set = self.current.set().clone();
        for entry in self.entries.iter().skip(index + 1).rev() {
            for (slice, before) in &entry.before {
                match before {
                    Some(table) => drop(set.insert(*slice, table.clone())),
                    None => drop(set.remove(slice)),
                }
            }
        }
        Some(NumberedSet::new(number, set))
    }

    /// The delta between two kept versions; `None` if one of them is not kept, so that the full set is needed.
    pub fn delta(&self, from: SetId, to: u64) -> Option<Delta> {
        let base = self.rebuild(from.number).filter(|base| base.id() == from)?;
        Some(base.delta(&self.rebuild(to)?))
    }

    /// Compacts the oldest versions while a limit is exceeded. The newest version and those marked good stay.
    fn compact(&mut self, now: Duration) {
        loop {
            let over_limit = self.entries.len() > self.limits.entries || self.bytes > self.limits.bytes;
            let removable = self.entries.len().saturating_sub(1);
            let expendable = |entry: &Entry| over_limit || now > entry.at + self.limits.age;
            let index =
                self.entries.iter().take(removable).position(|entry| !entry.good && expendable(entry));
            let Some(index) = index else { return };
            let Some(removed) = self.entries.remove(index) else { return };
            self.compacted += 1;
            self.changed_entries.insert(removed.id.number);
            self.bytes = self.bytes.saturating_sub(removed.estimated_size());
            // The next entry must now undo both changes, so the former tables of the older change replace its own.
            // The first entry undoes to no kept version, so it needs no merge.
            if index > 0 {
                if let Some(next) = self.entries.get_mut(index) {
                    self.bytes = self.bytes.saturating_sub(next.estimated_size());
                    next.before.extend(removed.before);
                    self.bytes += next.estimated_size();
                    self.changed_entries.insert(next.id.number);
                }
            }
        }
    }
}

/// The slices in which two sets differ.
pub fn differing_slices(a: &TableSet, b: &TableSet) -> BTreeSet<SliceId> {
    let slices: BTreeSet<SliceId> = a.keys().chain(b.keys()).copied().collect();
    slices.into_iter().filter(|slice| a.get(slice) != b.get(slice)).collect()
}

#[cfg(test)]
mod tests;
