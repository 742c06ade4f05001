//! The difference between two table sets, applied whole or not at all.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use whinhill::interface::SliceId;

use crate::hash::{set_hash, slice_hash};
use crate::table::{SliceTable, TableSet, Version};

/// Identifies a table set by its number in a history and the hash of its content. Holders with the same id hold the
/// same content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SetId {
    /// The set's number in the history.
    pub number: u64,
    /// The hash of the set's content, see [`set_hash`].
    pub hash: u64,
}

impl SetId {
    /// The id of `set` as number `number`.
    pub fn of(number: u64, set: &TableSet) -> Self {
        SetId { number, hash: set_hash(set) }
    }
}

impl std::fmt::Display for SetId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{:016x}", self.number, self.hash)
    }
}

/// The difference between two table sets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delta {
    /// The set that the delta applies to.
    pub from: SetId,
    /// The set that results.
    pub to: SetId,
    /// New and changed tables.
    pub changed: BTreeMap<SliceId, SliceTable>,
    /// Slices that `to` lacks.
    pub removed: BTreeSet<SliceId>,
}

/// Tables by slice. `None` stands for a slice that is removed, or, in former tables, that was absent.
pub type Changes = BTreeMap<SliceId, Option<SliceTable>>;

/// Why a delta was refused. The holder keeps its set, and needs the full set instead.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The delta applies to another set.
    #[error("the delta applies to set {wanted}, but set {held} is held")]
    BaseMismatch { held: SetId, wanted: SetId },
    /// A table would be replaced by an older version.
    #[error("slice {slice}: version {to} after {from}")]
    VersionRegressed { slice: SliceId, from: Version, to: Version },
    /// The delta removes a slice that is not held.
    #[error("slice {slice} is to be removed but is not held")]
    MissingSlice { slice: SliceId },
    /// Applying the delta does not result in the set that it names.
    #[error("the delta results in set {found} instead of {wanted}")]
    ResultMismatch { found: SetId, wanted: SetId },
}

/// A table set with its id, as an assigner, a proxy or a file holds it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NumberedSet {
    id: SetId,
    set: TableSet,
}

impl NumberedSet {
    /// Takes `set` as number `number`.
    pub fn new(number: u64, set: TableSet) -> Self {
        NumberedSet { id: SetId::of(number, &set), set }
    }

    /// The set's id.
    pub fn id(&self) -> SetId {
        self.id
    }

    /// The set itself.
    pub fn set(&self) -> &TableSet {
        &self.set
    }

    /// The delta from this set to `to`.
    pub fn delta(&self, to: &NumberedSet) -> Delta {
        let differs = |slice: &SliceId, table: &SliceTable| self.set.get(slice) != Some(table);
        let changed = to.set.iter().filter(|(slice, table)| differs(slice, table));
        Delta {
            from: self.id,
            to: to.id,
            changed: changed.map(|(slice, table)| (*slice, table.clone())).collect(),
            removed: self.set.keys().filter(|slice| !to.set.contains_key(slice)).copied().collect(),
        }
    }

    /// Applies changes; the result gets the number `number` if anything differs. Returns the delta and the former
    /// tables of the changed slices. The cost depends on the number of changes, not on the size of the set.
    pub fn apply_changes(&mut self, number: u64, changes: Changes) -> (Delta, Changes) {
        let from = self.id;
        let mut delta = Delta { from, ..Delta::default() };
        let mut former_tables = Changes::new();
        for (slice, table) in changes {
            if self.set.get(&slice) == table.as_ref() {
                continue;
            }
            let former = self.replace(slice, table.clone());
            former_tables.insert(slice, former);
            match table {
                Some(table) => drop(delta.changed.insert(slice, table)),
                None => drop(delta.removed.insert(slice)),
            }
        }
        if !former_tables.is_empty() {
            self.id.number = number;
        }
        delta.to = self.id;
        (delta, former_tables)
    }

    /// Replaces or removes one slice's table and updates the hash. Returns the former table.
    fn replace(&mut self, slice: SliceId, table: Option<SliceTable>) -> Option<SliceTable> {
        let new_hash = table.as_ref().map_or(0, |table| slice_hash(slice, table));
        let former = match table {
            Some(table) => self.set.insert(slice, table),
            None => self.set.remove(&slice),
        };
        let former_hash = former.as_ref().map_or(0, |table| slice_hash(slice, table));
        self.id.hash = self.id.hash.wrapping_add(new_hash).wrapping_sub(former_hash);
        former
    }

    /// Applies a delta whose base is exactly this set. A second application changes nothing.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), DeltaError> {
        if self.id == delta.to {
            return Ok(());
        }
        if self.id != delta.from {
            return Err(DeltaError::BaseMismatch { held: self.id, wanted: delta.from });
        }
        for (&slice, table) in &delta.changed {
            if let Some(held) = self.set.get(&slice).filter(|held| held.version > table.version) {
                return Err(DeltaError::VersionRegressed { slice, from: held.version, to: table.version });
            }
        }
        if let Some(&slice) = delta.removed.iter().find(|slice| !self.set.contains_key(slice)) {
            return Err(DeltaError::MissingSlice { slice });
        }
        let changed = delta.changed.iter().map(|(slice, table)| (*slice, Some(table.clone())));
        let changes: Changes = changed.chain(delta.removed.iter().map(|slice| (*slice, None))).collect();
        let (held, (_, former_tables)) = (self.id, self.apply_changes(delta.to.number, changes));
        self.id.number = delta.to.number;
        let found = self.id;
        if found != delta.to {
            // Whole or not at all: restore the former tables.
            former_tables.into_iter().for_each(|(slice, former)| drop(self.replace(slice, former)));
            self.id = held;
            return Err(DeltaError::ResultMismatch { found, wanted: delta.to });
        }
        Ok(())
    }
}
