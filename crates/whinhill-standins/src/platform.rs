//! Stand-ins for the operators' platform, written from its published protocol, and the soak, which runs
//! assigners as processes among them and audits the result.

mod admission;
pub mod audit;
mod channel;
pub mod clients;
mod cold_budget;
mod collectors;
mod custody;
mod data_plane;
mod detection_times;
mod discovery;
mod drain_series;
mod fleet;
mod lost_rpcs;
mod node;
pub mod parameters;
mod process;
mod reference;
mod relay;
mod report_delivery;
mod rpc_shares;
mod sabotage;
pub mod script;
mod servers;
pub mod site;
pub mod soak;
mod state;
pub mod streams;
mod successors;
pub mod timing;
mod traffic;
mod writers;

pub use sabotage::Sabotage;
