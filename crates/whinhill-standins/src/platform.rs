//! Stand-ins for the operators' platform, written from its published protocol.

pub mod clients;
