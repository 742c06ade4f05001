//! What is published: each slice's table, in versions. No I/O and no clock.
//!
//! A [`Keeper`] takes the module's orders and says which slices changed, and which grants the store must hold
//! before they may be told to anyone.

mod check;
mod delta;
mod hash;
mod history;
mod keeper;
pub mod rollback;
mod table;

pub use check::{check, Fault};
pub use delta::{Changes, Delta, DeltaError, Held, SetId};
pub use hash::set_hash;
pub use history::{differing, Author, Entry, History, Limits, Page, RestoreError};
pub use keeper::{Changed, Keeper, PendingGrant};
pub use table::{ServerName, SliceTable, TableSet, Version, VersionError};
