//! Every set that was published, one after the other, with who changed it, when and why. No I/O.
//!
//! Kept are the newest set whole and, for each version, what led to it and what would lead back. So any kept set
//! can be rebuilt, and an old one costs only what it changed. Old versions go when there are too many or they are
//! too old; those marked good stay reachable, folded into their neighbours' changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use whinhill::interface::SliceId;

use crate::delta::{Changes, Delta, Held, SetId};
use crate::rollback::Rollback;
use crate::table::{SliceTable, TableSet};

/// Who made a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Author {
    Module,
    Operator(String),
    /// A rollback to the set of that number, asked for by an operator.
    Rollback {
        to: u64,
        by: String,
    },
    /// An assigner that returned and took up what it found.
    Recovery,
}

/// One version's entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub id: SetId,
    pub author: Author,
    /// On the assigner's clock, and by the wall for those who read it.
    pub at: Duration,
    pub unix_ms: u64,
    /// The module's log line, or the operator's words.
    pub cause: String,
    pub good: bool,
    /// What each changed slice was before; `None`: it was not there.
    before: BTreeMap<SliceId, Option<SliceTable>>,
}

impl Entry {
    /// The slices that this version changed.
    pub fn slices(&self) -> impl Iterator<Item = SliceId> + '_ {
        self.before.keys().copied()
    }

    /// What it takes to keep it, about, in bytes.
    fn size(&self) -> usize {
        let table = |table: &Option<SliceTable>| {
            table
                .as_ref()
                .map_or(0, |t| t.owner.as_ref().map_or(0, |owner| owner.len()) + 8 * t.shares.len() + 32)
        };
        96 + self.cause.len() + self.before.values().map(|before| 16 + table(before)).sum::<usize>()
    }
}

/// What is kept.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub entries: usize,
    pub bytes: usize,
    pub age: Duration,
}

#[derive(Debug)]
pub struct History {
    limits: Limits,
    current: Held,
    entries: VecDeque<Entry>,
    bytes: usize,
    /// Versions that were let go.
    compacted: u64,
    /// Versions let go, rewritten or marked since the last [`History::take_touched`].
    touched: BTreeSet<u64>,
}

/// What a file must take to hold the newest version: several may be folded into one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    pub changed: TableSet,
    pub removed: BTreeSet<SliceId>,
    /// The newest version's number.
    pub number: u64,
    /// Entries as they are now; `None`: let go.
    pub touched: BTreeMap<u64, Option<Entry>>,
    /// Rollbacks that are under way; `None`: finished.
    pub rollbacks: BTreeMap<u64, Option<Rollback>>,
}

impl Page {
    /// Takes a later page in. What the two hold together is bounded by the slices and the history's limits.
    pub fn fold(&mut self, later: Page) {
        self.removed.retain(|slice| !later.changed.contains_key(slice));
        self.changed.retain(|slice, _| !later.removed.contains(slice));
        self.changed.extend(later.changed);
        self.removed.extend(later.removed);
        self.touched.extend(later.touched);
        self.rollbacks.extend(later.rollbacks);
        self.number = later.number;
    }
}

/// Why a history that was kept somewhere can't be taken up.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RestoreError {
    #[error("version {0} stands before or beside the one that it follows")]
    Order(u64),
    #[error("the set says {found}, its newest version {wanted}")]
    Newest { found: SetId, wanted: SetId },
}

/// The words of a cause are cut to this many characters.
const CAUSE_MOST: usize = 300;

impl History {
    /// Begins with a set that was found, as version `number`.
    pub fn new(limits: Limits, number: u64, set: TableSet) -> Self {
        let current = Held::new(number, set);
        History {
            limits,
            current,
            entries: VecDeque::new(),
            bytes: 0,
            compacted: 0,
            touched: BTreeSet::new(),
        }
    }

    /// Takes up what was kept: the newest set, and the versions that led to it, oldest first.
    pub fn restore(limits: Limits, current: Held, entries: Vec<Entry>) -> Result<Self, RestoreError> {
        let numbers = entries.windows(2).find(|pair| pair[0].id.number >= pair[1].id.number);
        if let Some(pair) = numbers {
            return Err(RestoreError::Order(pair[1].id.number));
        }
        if let Some(newest) = entries.last().filter(|newest| newest.id != current.id()) {
            return Err(RestoreError::Newest { found: current.id(), wanted: newest.id });
        }
        let bytes = entries.iter().map(Entry::size).sum();
        let (entries, touched) = (entries.into(), BTreeSet::new());
        Ok(History { limits, current, entries, bytes, compacted: 0, touched })
    }

    /// The versions whose entries are others than they were at the last call; `None` for one that was let go.
    pub fn take_touched(&mut self) -> Vec<(u64, Option<Entry>)> {
        let touched = std::mem::take(&mut self.touched);
        let entry = |number: u64| self.entries.iter().find(|entry| entry.id.number == number).cloned();
        touched.into_iter().map(|number| (number, entry(number))).collect()
    }

    /// What is to be kept of the newest version beside its delta.
    pub fn page(&mut self, delta: Delta) -> Page {
        let touched = self.take_touched().into_iter().collect();
        Page {
            changed: delta.changed,
            removed: delta.removed,
            number: delta.to.number,
            touched,
            rollbacks: BTreeMap::new(),
        }
    }

    /// The same of marks alone.
    pub fn marks(&mut self) -> Page {
        let id = self.current.id();
        self.page(Delta { from: id, to: id, ..Delta::default() })
    }

    pub fn current(&self) -> &Held {
        &self.current
    }

    /// The versions that are kept, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn compacted(&self) -> u64 {
        self.compacted
    }

    /// Takes a new set; one that says the same makes no version. Returns what leads to it.
    pub fn record(
        &mut self,
        set: TableSet,
        author: Author,
        cause: &str,
        at: Duration,
        unix_ms: u64,
    ) -> Option<Delta> {
        let gone = self.current.set().keys().filter(|slice| !set.contains_key(slice));
        let mut changes: Changes = gone.map(|slice| (*slice, None)).collect();
        changes.extend(set.into_iter().map(|(slice, table)| (slice, Some(table))));
        self.advance(changes, author, cause, at, unix_ms)
    }

    /// Takes the slices that have changed; what says the same makes no version. Returns what leads to it.
    pub fn advance(
        &mut self,
        changes: Changes,
        author: Author,
        cause: &str,
        at: Duration,
        unix_ms: u64,
    ) -> Option<Delta> {
        let (delta, before) = self.current.advance(self.current.id().number + 1, changes);
        if before.is_empty() {
            return None;
        }
        let cause = cause.chars().take(CAUSE_MOST).collect();
        let entry = Entry { id: delta.to, author, at, unix_ms, cause, good: false, before };
        self.bytes += entry.size();
        self.touched.insert(entry.id.number);
        self.entries.push_back(entry);
        self.compact(at);
        Some(delta)
    }

    /// Marks a version as good: it stays reachable. False if it is not kept.
    pub fn pin_good(&mut self, number: u64) -> bool {
        let entry = self.entries.iter_mut().find(|entry| entry.id.number == number);
        let Some(entry) = entry else { return false };
        entry.good = true;
        self.touched.insert(number);
        true
    }

    /// The newest version marked good, before the current one.
    pub fn last_good(&self) -> Option<u64> {
        let older = self.entries.iter().rev().filter(|entry| entry.id != self.current.id());
        older.filter(|entry| entry.good).map(|entry| entry.id.number).next()
    }

    /// The newest version that stood at a time by the wall.
    pub fn at(&self, unix_ms: u64) -> Option<u64> {
        self.entries.iter().rev().find(|entry| entry.unix_ms <= unix_ms).map(|entry| entry.id.number)
    }

    /// A kept set, rebuilt by going back from the newest one.
    pub fn rebuild(&self, number: u64) -> Option<Held> {
        if number == self.current.id().number {
            return Some(self.current.clone());
        }
        let place = self.entries.iter().position(|entry| entry.id.number == number)?;
        let mut set = self.current.set().clone();
        for entry in self.entries.iter().skip(place + 1).rev() {
            for (slice, before) in &entry.before {
                match before {
                    Some(table) => drop(set.insert(*slice, table.clone())),
                    None => drop(set.remove(slice)),
                }
            }
        }
        Some(Held::new(number, set))
    }

    /// What leads from one kept version to another; `None` if one of them is not kept: then only a full set helps.
    pub fn delta(&self, from: SetId, to: u64) -> Option<Delta> {
        let base = self.rebuild(from.number).filter(|base| base.id() == from)?;
        Some(base.delta(&self.rebuild(to)?))
    }

    /// Lets the oldest versions go that are over a limit. One that is marked good, and the newest, stay.
    fn compact(&mut self, now: Duration) {
        loop {
            let over = self.entries.len() > self.limits.entries || self.bytes > self.limits.bytes;
            let last = self.entries.len().saturating_sub(1);
            let old = |entry: &Entry| over || now > entry.at + self.limits.age;
            let place = self.entries.iter().take(last).position(|entry| !entry.good && old(entry));
            let Some(place) = place else { return };
            let Some(gone) = self.entries.remove(place) else { return };
            self.compacted += 1;
            self.touched.insert(gone.id.number);
            self.bytes = self.bytes.saturating_sub(gone.size());
            // Its successor must now lead back over both: what was before the older change counts. The oldest kept
            // version leads back to nothing that is kept.
            if place > 0 {
                if let Some(next) = self.entries.get_mut(place) {
                    self.bytes = self.bytes.saturating_sub(next.size());
                    next.before.extend(gone.before);
                    self.bytes += next.size();
                    self.touched.insert(next.id.number);
                }
            }
        }
    }
}

/// The slices in which two sets differ, for a person to read.
pub fn differing(a: &TableSet, b: &TableSet) -> BTreeSet<SliceId> {
    let slices: BTreeSet<SliceId> = a.keys().chain(b.keys()).copied().collect();
    slices.into_iter().filter(|slice| a.get(slice) != b.get(slice)).collect()
}

#[cfg(test)]
mod tests;
