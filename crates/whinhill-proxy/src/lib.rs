//! A plain proxy: it looks up a key's slice, obeys the slice's table and level, and reports what it met.
//!
//! [`Table`] decides, without I/O or clock, what may be sent where; `streams.rs` feeds it over xDS from every
//! assigner, [`Trial`] decides what may follow a try; `forward.rs` carries RPCs by both, `report.rs` tells what they met.

mod connections;
mod forward;
mod hop;
mod in_hand;
mod pick;
mod pool;
mod proxy;
mod report;
mod shared;
mod streams;
mod table;
mod trial;

pub use connections::{Connections, PoolLimits, Take};
pub use forward::{ANSWERED_BY, KEY_HEADER, PUSHBACK_HEADER, REFUSED_HEADER};
pub use pick::{Draws, Pick};
pub use pool::Dial;
pub use proxy::{Proxy, ProxyConfig, ProxyError, Sabotage};
pub use shared::Counts;
pub use table::{Refusal, Route, Table};
pub use trial::{Chances, Ended, Next, Trial};
