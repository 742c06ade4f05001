//! A hash of a table set that every holder computes alike.

use whinhill::interface::SliceId;
use xxhash_rust::xxh3::Xxh3;

use crate::table::{SliceTable, TableSet};

/// Hashes the content of a set, not how or when it came about. The hash is the sum of the slices' hashes, so that
/// a change costs only the slices that it touches. Shares are rounded to thousandths, which is finer than the shares
/// of any order. Of a version only the epoch counts.
pub fn set_hash(set: &TableSet) -> u64 {
    set.iter().fold(0, |sum, (slice, table)| sum.wrapping_add(slice_hash(*slice, table)))
}

/// The hash of one slice's table, a term of [`set_hash`].
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
