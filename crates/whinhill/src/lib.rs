//! whinhill: which server owns each slice, for a service's plain proxies.
//!
//! [`Assigner`] holds every decision; [`interface`] holds the types that it takes and returns.

mod assigner;
pub mod interface;
mod settings;
mod state;

pub use assigner::Assigner;
