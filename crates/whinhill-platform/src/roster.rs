//! Discovery's form of the list of servers.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;
use whinhill::interface::Listed;

#[derive(Debug, thiserror::Error)]
pub enum RosterError {
    #[error("not a list of servers: {0}")]
    Json(#[from] serde_json::Error),
    #[error("server {name:?}: cannot read its {what}")]
    Entry { name: String, what: &'static str },
}

/// The whole list, or what changed in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Roster {
    pub version: u64,
    pub whole: bool,
    pub servers: Vec<Server>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub name: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub listed: Listed,
    pub size: f64,
    /// Its last start in Unix time in milliseconds; 0: long ago.
    pub started_ms: u64,
}

#[derive(Deserialize)]
struct Wire {
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
    pub fn read(text: &[u8]) -> Result<Self, RosterError> {
        Self::from_wire(serde_json::from_slice(text)?)
    }

    pub fn from_value(value: Value) -> Result<Self, RosterError> {
        Self::from_wire(serde_json::from_value(value)?)
    }

    fn from_wire(wire: Wire) -> Result<Self, RosterError> {
        let servers = wire.endpoints.into_iter().map(Server::from_wire).collect::<Result<_, _>>()?;
        Ok(Roster { version: wire.index, whole: wire.snapshot, servers })
    }
}

impl Server {
    fn from_wire(wire: WireServer) -> Result<Self, RosterError> {
        let fault = |what| RosterError::Entry { name: wire.name.chars().take(64).collect(), what };
        // Names go into the relay's orders, which are set apart by these.
        let plain = |c: char| c.is_ascii_graphic() && !",;+*".contains(c);
        if wire.name.is_empty() || wire.name.len() > 64 || !wire.name.chars().all(plain) {
            return Err(fault("name"));
        }
        let listed = match wire.status.as_str() {
            "SERVING" => Listed::Ready,
            "DRAINING" => Listed::Draining,
            "DELETED" => Listed::Gone,
            _ => return Err(fault("status")),
        };
        let size = wire.weight.unwrap_or(1.0);
        let started = wire.since_ms.unwrap_or(0.0);
        if !(0.0..1e9).contains(&size) {
            return Err(fault("weight"));
        }
        if !(0.0..1e15).contains(&started) {
            return Err(fault("start"));
        }
        let addr = wire.address.parse().map_err(|_| fault("address"))?;
        Ok(Server { addr, listed, size, started_ms: started as u64, name: wire.name, zone: wire.zone })
    }
}

#[cfg(test)]
mod tests;
