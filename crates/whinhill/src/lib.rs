//! whinhill: which server owns each slice, for a service's plain proxies.
//!
//! [`Assigner`] holds every decision; [`interface`] holds the types that it takes and returns.

mod assigner;
pub mod interface;

pub use assigner::Assigner;
