//! Lists of servers on their way to the module, and servers that no list names any more.

use std::collections::BTreeSet;

use tracing::debug;
use whinhill::interface::{Entry, Event, ListKind, Listed};
use whinhill_platform::roster::Roster;
use whinhill_starts::Reading;

use crate::limits::LET_GO_AFTER;
use crate::node::{Node, TRACE};

impl Node {
    /// A list for the module.
    pub fn push_list(&mut self, kind: ListKind, list: &Roster) {
        let mut entries = Vec::with_capacity(list.servers.len());
        if list.whole {
            self.listed.clear();
        }
        for server in &list.servers {
            let ep = self.names.ep(&server.name);
            if self.addrs.get(ep.index).copied().flatten() != Some(server.addr) {
                debug!(target: TRACE, "server {} is {} at {}", ep.index, server.name, server.addr);
            }
            self.addrs.resize(self.addrs.len().max(ep.index + 1), None);
            self.addrs[ep.index] = Some(server.addr);
            match server.listed {
                Listed::Gone => self.listed.remove(&ep.index),
                _ => self.listed.insert(ep.index),
            };
            let reading = Reading { now: self.clock.now(), wall: self.clock.wall() };
            let started = self.starts.started(reading, &server.name, server.started_ms);
            let zone = self.names.zone(&server.zone);
            entries.push(Entry { ep, zone, listed: server.listed, size: server.size, started });
        }
        self.pending.push(Event::List { kind, entries });
    }

    /// Lets servers go that have been off the list for long and that nothing names any more: where each server
    /// is replaced under a new name, those that are gone would pile up.
    pub fn let_go(&mut self) {
        let now = self.clock.now();
        let unlisted: BTreeSet<usize> = self.names.servers().filter(|i| !self.listed.contains(i)).collect();
        self.gone.retain(|index, _| unlisted.contains(index));
        for index in unlisted {
            let since = *self.gone.entry(index).or_insert(now);
            if now >= since + LET_GO_AFTER && self.assigner.is_done_with(index) {
                self.names.let_go(index);
                self.probes.forget(index);
                self.gone.remove(&index);
                self.addrs.get_mut(index).into_iter().for_each(|addr| *addr = None);
                self.counts.let_go += 1;
            }
        }
    }
}
