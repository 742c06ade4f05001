//! The decision module of a control plane: which server owns each slice, and what proxies admit for it.
//!
//! [`Assigner`] makes every decision; [`interface`] has the events that it takes and the orders that it returns.

mod assigner;
pub mod interface;
mod settings;
mod state;

pub use assigner::Assigner;
