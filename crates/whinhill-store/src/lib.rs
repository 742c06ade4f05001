//! What assigners share: a store that speaks RESP, and nothing else.
//!
//! [`Custody`] decides, without I/O, which slices an assigner is in charge of and until when; [`Store`] is all
//! that it asks of a store; [`RespStore`] speaks it to a real one. `docs/store.md` tells what is relied on.

mod custody;
mod record;
mod redis;
mod resp;
mod store;

pub use custody::{Custody, CustodyConfig, Told};
pub use record::{Identity, Record, RecordError};
pub use redis::{RespConfig, RespStore};
pub use store::{Outcome, Store, StoreFault, Swap};
