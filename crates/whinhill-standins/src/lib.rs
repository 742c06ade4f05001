//! Stand-ins for the systems around whinhill, written from public specifications: servers, clients, the roster, the
//! store and faulty links.
//!
//! A scripted day runs them on loopback together with real assigners and proxies. The auditor then checks the rules
//! from events that were recorded at the sockets.

pub mod audit;
pub mod bench;
pub mod clients;
pub mod day;
pub mod day_run;
pub mod from_bench;
pub mod hops;
pub mod link;
pub mod platform;
pub mod recorder;
pub mod roster;
pub mod running;
pub mod server;
pub mod store;
