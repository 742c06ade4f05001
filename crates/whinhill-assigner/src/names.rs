//! Maps names to the small indices by which the module knows servers, zones and proxies.

use std::collections::HashMap;
use std::time::Duration;

use whinhill::interface::{Ep, ProxyId, ZoneId};
use whinhill_starts::{Reading, Starts};
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
    starts: Starts,
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

    /// The list that was just told is the one that stands.
    pub fn list_is_current(&mut self, now: Duration) {
        self.starts.list_is_current(now);
    }

    /// When a server started, on our clock, from the roster's wall clock; `None`: long ago.
    pub fn started(
        &mut self,
        server: &ServerName,
        unix_ms: Option<u64>,
        unix_now_ms: u64,
        now: Duration,
    ) -> Option<Duration> {
        let reading = Reading { now, wall: Duration::from_millis(unix_now_ms) };
        let started = self.starts.started(reading, server, unix_ms?);
        started.filter(|at| !at.is_zero())
    }
}
