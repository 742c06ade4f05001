//! Server lists on their way to the module, and servers that have left the list.

use std::collections::BTreeSet;

use tracing::debug;
use whinhill::interface::{Event, ListKind, ListedStatus, ServerEntry};
use whinhill_platform::roster::Roster;
use whinhill_starts::ClockReading;

use crate::limits::FORGET_SERVER_DELAY;
use crate::node::{Node, TRACE};

impl Node {
    /// Passes a list to the module as an event.
    pub fn push_list(&mut self, kind: ListKind, list: &Roster) {
        let mut entries = Vec::with_capacity(list.servers.len());
        if list.is_full {
            self.listed_servers.clear();
        }
        self.list_pending = true;
        for server in &list.servers {
            if !self.names.has_room_for(&server.name) {
                self.counters.servers_left_out += 1;
                continue;
            }
            let endpoint = self.names.endpoint(&server.name);
            if self.server_addrs.get(endpoint.index).copied().flatten() != Some(server.addr) {
                debug!(target: TRACE, "server {} is {} at {}", endpoint.index, server.name, server.addr);
            }
            self.server_addrs.resize(self.server_addrs.len().max(endpoint.index + 1), None);
            self.server_addrs[endpoint.index] = Some(server.addr);
            match server.status {
                ListedStatus::Gone => self.listed_servers.remove(&endpoint.index),
                _ => self.listed_servers.insert(endpoint.index),
            };
            let reading = ClockReading { monotonic: self.clock.now(), wall: self.clock.wall() };
            let started = self.server_starts.start_time(reading, &server.name, server.started_unix_ms);
            let zone = self.names.zone_id(&server.zone);
            entries.push(ServerEntry { endpoint, zone, status: server.status, size: server.size, started });
        }
        self.pending_events.push(Event::List { kind, entries });
    }

    /// Forgets servers that have been unlisted for long and that nothing refers to. Where each server is replaced
    /// under a new name, the former ones would otherwise accumulate.
    pub fn forget_unlisted_servers(&mut self) {
        let now = self.clock.now();
        let unlisted: BTreeSet<usize> =
            self.names.server_indices().filter(|i| !self.listed_servers.contains(i)).collect();
        self.unlisted_since.retain(|index, _| unlisted.contains(index));
        for index in unlisted {
            let since = *self.unlisted_since.entry(index).or_insert(now);
            if now >= since + FORGET_SERVER_DELAY && self.assigner.can_reuse_index(index) {
                self.names.release_server(index);
                self.probe_queue.forget(index);
                self.unlisted_since.remove(&index);
                self.server_addrs.get_mut(index).into_iter().for_each(|addr| *addr = None);
                self.counters.servers_forgotten += 1;
            }
        }
    }
}
