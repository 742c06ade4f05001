//! Stand-ins for the operators' platform, written from its published protocol, and the soak that plays assigners
//! between them as processes.

pub mod audit;
mod channel;
pub mod clients;
mod cold;
mod collectors;
mod custody;
mod discovery;
mod fleet;
mod lost;
mod node;
mod oracle;
pub mod page;
mod plane;
mod process;
mod relay;
mod reporting;
mod sabotage;
pub mod script;
mod servers;
mod silence;
pub mod soak;
pub mod streams;
mod tally;
mod traffic;
mod world;
mod writers;

pub use sabotage::Sabotage;
