//! Stand-ins for the operators' platform, written from its published protocol, and the soak that plays assigners
//! between them as processes.

pub mod audit;
pub mod clients;
mod collectors;
mod custody;
mod discovery;
mod node;
pub mod page;
mod process;
mod relay;
pub mod script;
mod servers;
pub mod soak;
mod traffic;
mod world;

pub use world::Sabotage;
