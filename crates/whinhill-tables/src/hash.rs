//! A hash of a set that every holder can reckon alike.

use xxhash_rust::xxh3::Xxh3;

use crate::table::TableSet;

/// Hashes what a set says, in the order of its slices: not how or when it came about. Shares count in
/// thousandths, which is finer than any order.
pub fn set_hash(set: &TableSet) -> u64 {
    let mut hash = Xxh3::new();
    for (slice, table) in set {
        hash.update(&(*slice as u64).to_le_bytes());
        hash.update(&table.version.epoch.to_le_bytes());
        let owner = table.owner.as_deref().unwrap_or_default();
        hash.update(&(owner.len() as u32).to_le_bytes());
        hash.update(owner.as_bytes());
        hash.update(&[table.tries]);
        for share in &table.shares {
            hash.update(&((share * 1000.0).round() as u32).to_le_bytes());
        }
    }
    hash.digest()
}
