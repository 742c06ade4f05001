//! What must hold of a set before it is published.

use std::fmt;

use whinhill::interface::SliceId;

use crate::table::{TableSet, Version};

/// Why a set must not be published.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The slice number is past the deployment's count.
    NoSuchSlice {
        slice: SliceId,
        slices: usize,
    },
    UnknownServer {
        slice: SliceId,
        server: String,
    },
    Share {
        slice: SliceId,
        method: usize,
        share: f64,
    },
    /// One share for each method is wanted.
    Methods {
        slice: SliceId,
        found: usize,
        wanted: usize,
    },
    /// A version fell behind the one published before.
    Backwards {
        slice: SliceId,
        from: Version,
        to: Version,
    },
    /// Another owner without the end of the former one in between.
    OwnerSkipped {
        slice: SliceId,
        from: String,
        to: String,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::NoSuchSlice { slice, slices } => write!(f, "slice {slice}: there are only {slices}"),
            Fault::UnknownServer { slice, server } => {
                write!(f, "slice {slice}: server {server} is in no list")
            }
            Fault::Share { slice, method, share } => {
                write!(f, "slice {slice}: share {share} of method {method}; 0 to 1 is expected")
            }
            Fault::Methods { slice, found, wanted } => {
                write!(f, "slice {slice}: {found} shares for {wanted} methods")
            }
            Fault::Backwards { slice, from, to } => write!(f, "slice {slice}: version {to} after {from}"),
            Fault::OwnerSkipped { slice, from, to } => {
                write!(f, "slice {slice}: owner {to} while {from} still takes writes")
            }
        }
    }
}

/// Names every fault of `next`, which is to follow `last`. `known` tells which servers any list has named.
pub fn check(
    last: &TableSet,
    next: &TableSet,
    slices: usize,
    writes: &[bool],
    known: impl Fn(&str) -> bool,
) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (&slice, table) in next {
        if slice >= slices {
            faults.push(Fault::NoSuchSlice { slice, slices });
        }
        if let Some(server) = table.owner.as_deref().filter(|owner| !known(owner)) {
            faults.push(Fault::UnknownServer { slice, server: server.to_string() });
        }
        if table.shares.len() != writes.len() {
            faults.push(Fault::Methods { slice, found: table.shares.len(), wanted: writes.len() });
        }
        for (method, &share) in table.shares.iter().enumerate() {
            if !(0.0..=1.0).contains(&share) {
                faults.push(Fault::Share { slice, method, share });
            }
        }
        let Some(before) = last.get(&slice) else { continue };
        if table.version < before.version {
            faults.push(Fault::Backwards { slice, from: before.version, to: table.version });
        }
        let open = before.shares.iter().zip(writes).any(|(share, writes)| *writes && *share > 0.0);
        if let (Some(from), Some(to), true) = (&before.owner, &table.owner, open) {
            if from != to && before.version.epoch == table.version.epoch {
                let (from, to) = (from.to_string(), to.to_string());
                faults.push(Fault::OwnerSkipped { slice, from, to });
            }
        }
    }
    faults
}
