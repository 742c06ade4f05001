//! A plain proxy: it looks up a key's slice, obeys the slice's table and level, and reports the outcomes of its tries.
//!
//! [`RoutingTable`] decides, without I/O or clock, what may be sent where; `streams.rs` feeds it over xDS from every
//! assigner. [`RetryState`] decides what follows a try. `forward.rs` forwards RPCs according to both, and `report.rs`
//! collects the load reports for the assigners.

mod connections;
mod forward;
mod hop_headers;
mod in_flight;
mod pick;
mod pool;
mod proxy;
mod report;
mod retry;
mod shared;
mod streams;
mod table;

pub use connections::{Connections, Placement, PoolLimits};
pub use forward::{ANSWERED_BY_HEADER, KEY_HEADER, PUSHBACK_HEADER, REFUSED_HEADER};
pub use pick::{Draws, Pick};
pub use pool::Dial;
pub use proxy::{InjectedFaults, Proxy, ProxyConfig, ProxyError};
pub use retry::{NextStep, RetryConditions, RetryState, TryOutcome};
pub use shared::ProxyCounters;
pub use table::{Refusal, Route, RoutingTable};
