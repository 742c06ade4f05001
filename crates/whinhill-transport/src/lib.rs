//! gRPC on HTTP/2 over `std::net`, without an async runtime.
//!
//! A few [`Drivers`] threads turn all connections (the `h2` crate does the protocol, `mio` says which socket
//! is ready); every call is used from an ordinary thread that blocks, with a time limit on each wait.
//!
//! ```no_run
//! use std::time::Duration;
//! use whinhill_transport::{Client, Drivers, Limits};
//! let drivers = Drivers::start("example", 1)?;
//! let client = Client::connect("127.0.0.1:7000".parse()?, Limits::default(), &drivers)?;
//! let within = Duration::from_secs(1);
//! let answer = client.unary("/grpc.health.v1.Health/Check", &[], Default::default(), within)?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! `docs/transport.md` weighs the ways and lists the limits.

mod call;
mod connection;
mod driver;
mod error;
mod framing;
mod limits;
mod park;
mod relay;
mod socket;
mod turning;
mod workers;

pub use call::{
    grpc_timeout, Client, Listener, MessageReader, MessageWriter, Opened, PendingAnswer, ServerCall, Trailers,
};
pub use driver::Drivers;
pub use error::{CallError, Code, NeverRan};
pub use framing::BodyLimits;
pub use limits::Limits;
pub use relay::{Answering, Passage, RelayError, Try};
pub use turning::{Turn, CALL_STACK};
pub use workers::{AllBusy, Workers};
