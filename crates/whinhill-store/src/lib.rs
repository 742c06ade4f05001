//! The store that assigners share, and the custody of slices that is recorded in it.
//!
//! Assigners share no other state than this store, which they reach over RESP. [`Custody`] decides, without I/O,
//! which slices an assigner has custody of and until when. [`Store`] is the interface that it needs of a store, and
//! [`RespStore`] implements it for a RESP server. `docs/store.md` lists the guarantees that the store must give.

mod custody;
mod record;
mod redis;
mod resp;
mod store;

pub use custody::{Custody, CustodyConfig, CustodyEvent};
pub use record::{Identity, Record, RecordError};
pub use redis::{RespConfig, RespStore};
pub use store::{Outcome, Store, StoreError, Swap};
