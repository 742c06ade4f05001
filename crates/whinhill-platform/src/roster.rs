//! Parses discovery's list of servers.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;
use whinhill::interface::ListedStatus;

/// Why a list is invalid.
#[derive(Debug, thiserror::Error)]
pub enum RosterError {
    /// The list is not JSON, or lacks a field.
    #[error("not a list of servers: {0}")]
    Json(#[from] serde_json::Error),
    /// A server has an invalid field.
    #[error("server {name:?}: invalid {what}")]
    Entry {
        /// The beginning of the server's name.
        name: String,
        /// What is invalid.
        what: &'static str,
    },
}

/// The list of servers, or the changes in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Roster {
    /// The version of the list.
    pub version: u64,
    /// Whether this is the whole list; otherwise it contains the servers that have changed.
    pub is_full: bool,
    /// The servers.
    pub servers: Vec<Server>,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The unique name of the server.
    pub name: String,
    /// The address for RPCs and probes.
    pub addr: SocketAddr,
    /// The zone that the server runs in.
    pub zone: String,
    /// Whether the server is ready, draining or gone.
    pub status: ListedStatus,
    /// The size of the server relative to the others; it has no unit.
    pub size: f64,
    /// The last start of the server as Unix time in milliseconds; 0 if it was long ago.
    pub started_unix_ms: u64,
}

/// The list as it is transmitted.
#[derive(Deserialize)]
struct WireRoster {
    index: u64,
    snapshot: bool,
    endpoints: Vec<WireServer>,
}

#[derive(Deserialize)]
struct WireServer {
    name: String,
    address: String,
    zone: String,
    status: String,
    #[serde(default)]
    weight: Option<f64>,
    #[serde(default)]
    since_ms: Option<f64>,
}

impl Roster {
    /// Parses the text of a list.
    pub fn parse(text: &[u8]) -> Result<Self, RosterError> {
        Self::from_wire(serde_json::from_slice(text)?)
    }

    /// Parses a list that is part of another JSON document.
    pub fn from_value(value: Value) -> Result<Self, RosterError> {
        Self::from_wire(serde_json::from_value(value)?)
    }

    fn from_wire(wire: WireRoster) -> Result<Self, RosterError> {
        let servers = wire.endpoints.into_iter().map(Server::from_wire).collect::<Result<_, _>>()?;
        Ok(Roster { version: wire.index, is_full: wire.snapshot, servers })
    }
}

impl Server {
    fn from_wire(wire: WireServer) -> Result<Self, RosterError> {
        let invalid = |what| RosterError::Entry { name: wire.name.chars().take(64).collect(), what };
        // Names become part of the relay's orders, where these characters are separators.
        let is_allowed = |c: char| c.is_ascii_graphic() && !",;+*".contains(c);
        if wire.name.is_empty() || wire.name.len() > 64 || !wire.name.chars().all(is_allowed) {
            return Err(invalid("name"));
        }
        let status = match wire.status.as_str() {
            "SERVING" => ListedStatus::Ready,
            "DRAINING" => ListedStatus::Draining,
            "DELETED" => ListedStatus::Gone,
            _ => return Err(invalid("status")),
        };
        let size = wire.weight.unwrap_or(1.0);
        let started = wire.since_ms.unwrap_or(0.0);
        if !(0.0..1e9).contains(&size) {
            return Err(invalid("weight"));
        }
        if !(0.0..1e15).contains(&started) {
            return Err(invalid("start"));
        }
        let addr = wire.address.parse().map_err(|_| invalid("address"))?;
        Ok(Server { addr, status, size, started_unix_ms: started as u64, name: wire.name, zone: wire.zone })
    }
}

#[cfg(test)]
mod tests;
