//! Maps the names of servers, zones and proxies to the small indices that the module uses.

use std::collections::HashMap;
use std::time::Duration;

use whinhill::interface::{EndpointId, ProxyId, ZoneId};
use whinhill_starts::{ClockReading, StartTimes};
use whinhill_tables::ServerName;
use xxhash_rust::xxh3::xxh3_64;

/// The assigner's clock at its start. A server that started earlier than this before the assigner counts as started
/// long ago.
pub const CLOCK_BASE: Duration = Duration::from_secs(3600);

/// The most zones that are distinguished.
const MAX_ZONES: usize = 256;

/// The indices of all names so far.
#[derive(Debug, Default)]
pub struct NameIndex {
    servers: Vec<ServerName>,
    server_indices: HashMap<ServerName, usize>,
    zones: Vec<String>,
    proxies: Vec<String>,
    proxy_ids: HashMap<String, ProxyId>,
    starts: StartTimes,
}

impl NameIndex {
    /// An index that knows these zones.
    pub fn new(zones: &[String]) -> Self {
        NameIndex { zones: zones.to_vec(), ..NameIndex::default() }
    }

    /// The endpoint of a server; a new name is added.
    pub fn endpoint(&mut self, server: &str) -> EndpointId {
        let stable_id = xxh3_64(server.as_bytes());
        if let Some(&index) = self.server_indices.get(server) {
            return EndpointId { index, stable_id };
        }
        let name: ServerName = server.into();
        let index = self.servers.len();
        self.servers.push(name.clone());
        self.server_indices.insert(name, index);
        EndpointId { index, stable_id }
    }

    /// The index of a server that was on a list or in the store. A name that only occurs in a report is unknown.
    pub fn known_index(&self, server: &str) -> Option<usize> {
        self.server_indices.get(server).copied()
    }

    /// The name of a server by its index.
    pub fn server_name(&self, index: usize) -> Option<ServerName> {
        self.servers.get(index).cloned()
    }

    /// The number of servers.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// The index of a zone; a new name is added.
    pub fn zone_id(&mut self, name: &str) -> ZoneId {
        let position = self.zones.iter().position(|zone| zone == name);
        position.unwrap_or_else(|| {
            // Peers may send any name: beyond the limit all unknown zones are treated as the last known one.
            if self.zones.len() < MAX_ZONES {
                self.zones.push(name.to_string());
            }
            self.zones.len() - 1
        })
    }

    /// The id of a proxy; a new name is added.
    pub fn proxy_id(&mut self, name: &str) -> ProxyId {
        if let Some(&id) = self.proxy_ids.get(name) {
            return id;
        }
        let id = self.proxies.len() as ProxyId;
        self.proxies.push(name.to_string());
        self.proxy_ids.insert(name.to_string(), id);
        id
    }

    /// The name of a proxy by its id.
    pub fn proxy_name(&self, id: ProxyId) -> &str {
        self.proxies.get(id as usize).map_or("?", String::as_str)
    }

    /// Notes that the last list of servers is current.
    pub fn mark_list_current(&mut self, now: Duration) {
        self.starts.set_list_current(now);
    }

    /// When a server started, on the assigner's clock, from the wall-clock time on the list; `None`: long ago.
    pub fn start_time(
        &mut self,
        server: &ServerName,
        started_unix_ms: Option<u64>,
        unix_now_ms: u64,
        now: Duration,
    ) -> Option<Duration> {
        let reading = ClockReading { monotonic: now, wall: Duration::from_millis(unix_now_ms) };
        let started = self.starts.start_time(reading, server, started_unix_ms?);
        started.filter(|at| !at.is_zero())
    }
}
