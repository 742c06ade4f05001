//! The difference between two sets, applied whole or not at all.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use whinhill::interface::SliceId;

use crate::hash::set_hash;
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
        let mut next = self.set.clone();
        next.extend(delta.changed.iter().map(|(slice, table)| (*slice, table.clone())));
        delta.removed.iter().for_each(|slice| drop(next.remove(slice)));
        let found = SetId::of(delta.to.number, &next);
        if found != delta.to {
            return Err(DeltaError::OtherResult { found, wanted: delta.to });
        }
        (self.id, self.set) = (found, next);
        Ok(())
    }
}
