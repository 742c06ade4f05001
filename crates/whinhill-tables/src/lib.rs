//! The tables that an assigner publishes: one for each slice, in versions. No I/O and no clock.
//!
//! A [`Keeper`] turns the module's orders into tables. It returns which published tables changed, and which grants
//! must be stored before they may be published. A [`History`] keeps the versions, and [`rollback`] leads back to an
//! older one.

mod check;
mod delta;
mod hash;
mod history;
mod keeper;
pub mod rollback;
mod table;

pub use check::{find_violations, Violation};
pub use delta::{Changes, Delta, DeltaError, Held, SetId};
pub use hash::set_hash;
pub use history::{differing, Author, Entry, History, Limits, Page, RestoreError};
pub use keeper::{BatchOutcome, Keeper, PendingGrant};
pub use table::{ServerName, SliceTable, TableSet, Version, VersionError};
