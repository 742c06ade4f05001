//! A hash of a set that every holder can reckon alike.

use whinhill::interface::SliceId;
use xxhash_rust::xxh3::Xxh3;

use crate::table::{SliceTable, TableSet};

/// Hashes what a set says, not how or when it came about: the sum of its slices' hashes, so that a change costs
/// only the slices that it touches. Shares count in thousandths, which is finer than any order.
pub fn set_hash(set: &TableSet) -> u64 {
    set.iter().fold(0, |sum, (slice, table)| sum.wrapping_add(slice_hash(*slice, table)))
}

/// One slice's part of it.
pub fn slice_hash(slice: SliceId, table: &SliceTable) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&(slice as u64).to_le_bytes());
    hash.update(&table.version.epoch.to_le_bytes());
    let owner = table.owner.as_deref().unwrap_or_default();
    hash.update(&(owner.len() as u32).to_le_bytes());
    hash.update(owner.as_bytes());
    hash.update(&[table.tries]);
    for share in &table.shares {
        hash.update(&((share * 1000.0).round() as u32).to_le_bytes());
    }
    hash.digest()
}
