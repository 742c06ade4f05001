//! The tables that an assigner publishes: one for each slice, in versions. No I/O and no clock.
//!
//! A [`TablePublisher`] turns the module's orders into tables. It returns which published tables changed, and which grants
//! must be stored before they may be published. A [`History`] keeps the versions, and [`rollback`] leads back to an
//! older one.

mod check;
mod delta;
mod hash;
mod history;
mod publisher;
pub mod rollback;
mod table;

pub use check::{find_violations, Violation};
pub use delta::{Changes, Delta, DeltaError, NumberedSet, SetId};
pub use hash::set_hash;
pub use history::{differing_slices, Author, Entry, History, HistoryUpdate, Limits, RestoreError};
pub use publisher::{BatchOutcome, PendingGrant, TablePublisher};
pub use table::{ServerName, SliceTable, TableSet, Version, VersionError};
