//! Maps names to the small indices by which the module knows servers, zones and proxies.

use std::collections::HashMap;
use std::time::Duration;

use whinhill::interface::{Ep, ProxyId, ZoneId};
use whinhill_tables::ServerName;
use xxhash_rust::xxh3::xxh3_64;

/// Before our own start by this much, every start counts as long ago.
pub const PAST: Duration = Duration::from_secs(3600);

/// Zones that are told apart.
const ZONES_MOST: usize = 256;

#[derive(Debug, Default)]
pub struct Names {
    servers: Vec<ServerName>,
    by_server: HashMap<ServerName, usize>,
    zones: Vec<String>,
    proxies: Vec<String>,
    by_proxy: HashMap<String, ProxyId>,
    /// The start that the roster names for each server, and the time on our clock that was made of it: made once,
    /// so that a wall clock that jumps makes no server young again.
    starts: HashMap<ServerName, (u64, Option<Duration>)>,
}

impl Names {
    pub fn new(zones: &[String]) -> Self {
        Names { zones: zones.to_vec(), ..Names::default() }
    }

    pub fn ep(&mut self, server: &str) -> Ep {
        let stable = xxh3_64(server.as_bytes());
        if let Some(&index) = self.by_server.get(server) {
            return Ep { index, stable };
        }
        let name: ServerName = server.into();
        let index = self.servers.len();
        self.servers.push(name.clone());
        self.by_server.insert(name, index);
        Ep { index, stable }
    }

    /// The endpoint of a server that a list or the store has named. What a report alone names is nobody.
    pub fn known(&self, server: &str) -> Option<usize> {
        self.by_server.get(server).copied()
    }

    pub fn server(&self, index: usize) -> Option<ServerName> {
        self.servers.get(index).cloned()
    }

    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    pub fn zone(&mut self, name: &str) -> ZoneId {
        let place = self.zones.iter().position(|zone| zone == name);
        place.unwrap_or_else(|| {
            // Peers may name what they like: past the bound all strange zones are one.
            if self.zones.len() < ZONES_MOST {
                self.zones.push(name.to_string());
            }
            self.zones.len() - 1
        })
    }

    pub fn proxy(&mut self, name: &str) -> ProxyId {
        if let Some(&id) = self.by_proxy.get(name) {
            return id;
        }
        let id = self.proxies.len() as ProxyId;
        self.proxies.push(name.to_string());
        self.by_proxy.insert(name.to_string(), id);
        id
    }

    pub fn proxy_name(&self, id: ProxyId) -> &str {
        self.proxies.get(id as usize).map_or("?", String::as_str)
    }

    /// When a server started, on our clock, from the roster's wall clock; `None`: long ago.
    pub fn started(
        &mut self,
        server: &ServerName,
        unix_ms: Option<u64>,
        unix_now_ms: u64,
        now: Duration,
    ) -> Option<Duration> {
        let unix_ms = unix_ms?;
        match self.starts.get(server) {
            Some((known, at)) if *known == unix_ms => *at,
            _ => {
                let age = Duration::from_millis(unix_now_ms.saturating_sub(unix_ms));
                let at = now.checked_sub(age).filter(|at| !at.is_zero());
                self.starts.insert(server.clone(), (unix_ms, at));
                at
            }
        }
    }
}
