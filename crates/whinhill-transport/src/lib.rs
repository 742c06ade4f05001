//! gRPC on HTTP/2 over `std::net`, without an async runtime.
//!
//! A few [`Drivers`] threads poll all connections: the `h2` crate implements the protocol, and `mio` reports
//! which sockets are ready. Calls are used from ordinary threads that block, with a timeout on each wait.
//!
//! ```no_run
//! use std::time::Duration;
//! use whinhill_transport::{Client, Drivers, Limits};
//! let drivers = Drivers::start("example", 1)?;
//! let client = Client::connect("127.0.0.1:7000".parse()?, Limits::default(), &drivers)?;
//! let timeout = Duration::from_secs(1);
//! let answer = client.unary("/grpc.health.v1.Health/Check", &[], Default::default(), timeout)?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! `docs/transport.md` discusses the design alternatives and lists the limits.

mod blocking;
mod budget;
mod call;
mod connection;
mod driver;
mod error;
mod framing;
mod limits;
mod polling;
mod reconnect;
mod relay;
mod socket;
mod workers;

pub use call::{
    grpc_timeout, Client, Listener, MessageReader, MessageWriter, PendingAnswer, ServerCall, StartedAnswer,
    Trailers,
};
pub use driver::Drivers;
pub use error::{CallError, Code, NeverRan};
pub use framing::BodyLimits;
pub use limits::{Limits, CALLS_FRACTION, DEFAULT_MEMORY};
pub use polling::{PollScope, CALL_STACK};
pub use reconnect::{stream_limits, Reached, ReconnectDelay};
pub use relay::{RelayError, RelayedAnswer, RelayedCall, Try};
pub use workers::{AllBusy, Workers};
