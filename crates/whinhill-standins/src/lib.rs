//! Stand-ins, written from public specifications, for what surrounds whinhill: servers, clients, the roster, the
//! store, faulty links. With them days are played on loopback, and audited from what passed over the sockets.

pub mod audit;
pub mod bench;
pub mod clients;
pub mod day;
pub mod from_bench;
pub mod hops;
pub mod link;
pub mod platform;
pub mod play;
pub mod record;
pub mod roster;
pub mod running;
pub mod server;
pub mod store;
