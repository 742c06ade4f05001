//! The difference between two sets, applied whole or not at all.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use whinhill::interface::SliceId;

use crate::hash::{set_hash, slice_hash};
use crate::table::{SliceTable, TableSet, Version};

/// Names one set: its number in a history, and the hash of what it says. Two holders with the same name hold the
/// same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SetId {
    pub number: u64,
    pub hash: u64,
}

impl SetId {
    pub fn of(number: u64, set: &TableSet) -> Self {
        SetId { number, hash: set_hash(set) }
    }
}

impl std::fmt::Display for SetId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{:016x}", self.number, self.hash)
    }
}

/// What leads from one set to another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delta {
    pub from: SetId,
    pub to: SetId,
    pub changed: BTreeMap<SliceId, SliceTable>,
    pub removed: BTreeSet<SliceId>,
}

/// New tables by slice; `None`: the slice goes, or was not there.
pub type Changes = BTreeMap<SliceId, Option<SliceTable>>;

/// Why a delta was refused. The holder keeps what it had, and must be told the full set.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    #[error("the delta leads from set {wanted}; set {held} is held")]
    OtherBase { held: SetId, wanted: SetId },
    #[error("slice {slice}: version {to} after {from}")]
    Backwards { slice: SliceId, from: Version, to: Version },
    #[error("slice {slice} is to be removed and is not held")]
    NotHeld { slice: SliceId },
    #[error("the delta leads to set {found}, not to {wanted}")]
    OtherResult { found: SetId, wanted: SetId },
}

/// A set as somebody holds it: an assigner, a proxy, a file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Held {
    id: SetId,
    set: TableSet,
}

impl Held {
    pub fn new(number: u64, set: TableSet) -> Self {
        Held { id: SetId::of(number, &set), set }
    }

    pub fn id(&self) -> SetId {
        self.id
    }

    pub fn set(&self) -> &TableSet {
        &self.set
    }

    /// What leads from here to `to`.
    pub fn delta(&self, to: &Held) -> Delta {
        let differs = |slice: &SliceId, table: &SliceTable| self.set.get(slice) != Some(table);
        let changed = to.set.iter().filter(|(slice, table)| differs(slice, table));
        Delta {
            from: self.id,
            to: to.id,
            changed: changed.map(|(slice, table)| (*slice, table.clone())).collect(),
            removed: self.set.keys().filter(|slice| !to.set.contains_key(slice)).copied().collect(),
        }
    }

    /// Takes slices' new tables, `None` for one that goes, as set `number`. Returns what leads there, and what each
    /// slice was before. It costs what is changed, not what is held.
    pub fn advance(&mut self, number: u64, changes: Changes) -> (Delta, Changes) {
        let from = self.id;
        let mut delta = Delta { from, ..Delta::default() };
        let mut before = Changes::new();
        for (slice, table) in changes {
            if self.set.get(&slice) == table.as_ref() {
                continue;
            }
            let was = self.put(slice, table.clone());
            before.insert(slice, was);
            match table {
                Some(table) => drop(delta.changed.insert(slice, table)),
                None => drop(delta.removed.insert(slice)),
            }
        }
        if !before.is_empty() {
            self.id.number = number;
        }
        delta.to = self.id;
        (delta, before)
    }

    /// Replaces one slice's table and keeps the hash in step.
    fn put(&mut self, slice: SliceId, table: Option<SliceTable>) -> Option<SliceTable> {
        let added = table.as_ref().map_or(0, |table| slice_hash(slice, table));
        let was = match table {
            Some(table) => self.set.insert(slice, table),
            None => self.set.remove(&slice),
        };
        let gone = was.as_ref().map_or(0, |table| slice_hash(slice, table));
        self.id.hash = self.id.hash.wrapping_add(added).wrapping_sub(gone);
        was
    }

    /// Applies a delta that leads from exactly what is held. Applied a second time it changes nothing.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), DeltaError> {
        if self.id == delta.to {
            return Ok(());
        }
        if self.id != delta.from {
            return Err(DeltaError::OtherBase { held: self.id, wanted: delta.from });
        }
        for (&slice, table) in &delta.changed {
            if let Some(held) = self.set.get(&slice).filter(|held| held.version > table.version) {
                return Err(DeltaError::Backwards { slice, from: held.version, to: table.version });
            }
        }
        if let Some(&slice) = delta.removed.iter().find(|slice| !self.set.contains_key(slice)) {
            return Err(DeltaError::NotHeld { slice });
        }
        let changed = delta.changed.iter().map(|(slice, table)| (*slice, Some(table.clone())));
        let changes: Changes = changed.chain(delta.removed.iter().map(|slice| (*slice, None))).collect();
        let (held, (_, before)) = (self.id, self.advance(delta.to.number, changes));
        self.id.number = delta.to.number;
        let found = self.id;
        if found != delta.to {
            // Whole or not at all: what was changed is put back.
            before.into_iter().for_each(|(slice, was)| drop(self.put(slice, was)));
            self.id = held;
            return Err(DeltaError::OtherResult { found, wanted: delta.to });
        }
        Ok(())
    }
}
