//! The rules that a table set must meet before it is published.

use std::fmt;

use whinhill::interface::SliceId;

use crate::table::{TableSet, Version};

/// A rule that a table set breaks. Such a set must not be published.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// The slice number exceeds the deployment's number of slices.
    SliceOutOfRange { slice: SliceId, slices: usize },
    /// The owner is in no list of servers and not in the store.
    UnknownServer { slice: SliceId, server: String },
    /// A share is not within 0 to 1.
    InvalidShare { slice: SliceId, method: usize, share: f64 },
    /// The number of shares differs from the number of methods.
    ShareCount { slice: SliceId, found: usize, expected: usize },
    /// The version is older than the published one.
    VersionRegressed { slice: SliceId, from: Version, to: Version },
    /// The owner changes while the former owner still accepts writes.
    OwnerChangedWhileWritable { slice: SliceId, from: String, to: String },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::SliceOutOfRange { slice, slices } => {
                write!(f, "slice {slice}: there are only {slices} slices")
            }
            Violation::UnknownServer { slice, server } => {
                write!(f, "slice {slice}: server {server} is unknown")
            }
            Violation::InvalidShare { slice, method, share } => {
                write!(f, "slice {slice}: share {share} of method {method} is not within 0 to 1")
            }
            Violation::ShareCount { slice, found, expected } => {
                write!(f, "slice {slice}: {found} shares for {expected} methods")
            }
            Violation::VersionRegressed { slice, from, to } => {
                write!(f, "slice {slice}: version {to} after {from}")
            }
            Violation::OwnerChangedWhileWritable { slice, from, to } => {
                write!(f, "slice {slice}: owner changes to {to} while {from} still accepts writes")
            }
        }
    }
}

/// Returns every violation of `next`, which is to replace the tables in `published`. `writes` tells for each method
/// whether it writes, and `known` whether a server may own a slice.
pub fn find_violations(
    published: &TableSet,
    next: &TableSet,
    slices: usize,
    writes: &[bool],
    known: impl Fn(&str) -> bool,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (&slice, table) in next {
        if slice >= slices {
            violations.push(Violation::SliceOutOfRange { slice, slices });
        }
        if let Some(server) = table.owner.as_deref().filter(|owner| !known(owner)) {
            violations.push(Violation::UnknownServer { slice, server: server.to_string() });
        }
        if table.shares.len() != writes.len() {
            violations.push(Violation::ShareCount {
                slice,
                found: table.shares.len(),
                expected: writes.len(),
            });
        }
        for (method, &share) in table.shares.iter().enumerate() {
            if !(0.0..=1.0).contains(&share) {
                violations.push(Violation::InvalidShare { slice, method, share });
            }
        }
        let Some(before) = published.get(&slice) else { continue };
        if table.version < before.version {
            violations.push(Violation::VersionRegressed { slice, from: before.version, to: table.version });
        }
        let writable = before.shares.iter().zip(writes).any(|(share, writes)| *writes && *share > 0.0);
        if let (Some(from), Some(to), true) = (&before.owner, &table.owner, writable) {
            if from != to && before.version.epoch == table.version.epoch {
                let (from, to) = (from.to_string(), to.to_string());
                violations.push(Violation::OwnerChangedWhileWritable { slice, from, to });
            }
        }
    }
    violations
}
