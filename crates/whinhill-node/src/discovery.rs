//! Asking discovery for the list and for its changes.

use tracing::{info, warn};
use whinhill::interface::{Event, ListKind};
use whinhill_platform::discovery::{self, Asking, Taken};
use whinhill_platform::roster::Roster;

use crate::connection::{Connection, Kind};
use crate::connections::Id;
use crate::deadlines::Due;
use crate::limits::*;
use crate::node::Node;

impl Node {
    /// The module wants to hear of changes.
    pub fn watch(&mut self) {
        if let Some(id) = self.watch_at {
            // A watch that lives has told all; one that is coming up will answer.
            if self.watch_lives(id) {
                self.pending.push(Event::List { kind: ListKind::Changes, entries: Vec::new() });
            }
            return;
        }
        self.open_watch();
    }

    fn watch_lives(&self, id: Id) -> bool {
        matches!(self.connections.get(id).map(|c| &c.kind), Some(Kind::Asking(asking)) if asking.answered())
    }

    /// Opens a watch. A connect that fails at once has cost discovery nothing and says nothing of it: it is tried
    /// again soon, and the module, which waits longer after each failure, does not hear of it.
    fn open_watch(&mut self) {
        let addr = self.config.discovery;
        let request = discovery::watch_request(addr, self.version.held());
        self.watch_at = self.connect(addr, Kind::Asking(Asking::watch()), &request, DISCOVERY_WITHIN);
        if self.watch_at.is_some() {
            self.counts.watches += 1;
            return;
        }
        if !std::mem::replace(&mut self.discovery_fails, true) {
            warn!(held = self.version.held(), "discovery cannot be asked: no connection can be made");
        }
        self.deadlines.set(Due::Watch, self.clock.now() + CONNECT_AGAIN);
    }

    /// Opens a watch that could not be opened before, unless there is one.
    pub fn watch_again(&mut self) {
        if self.watch_at.is_none() {
            self.open_watch();
        }
    }

    /// Asks for the whole list.
    pub fn fetch(&mut self) {
        let addr = self.config.discovery;
        let request = discovery::fetch_request(addr);
        if self.connect(addr, Kind::Asking(Asking::fetch()), &request, DISCOVERY_WITHIN).is_none() {
            self.deadlines.set(Due::Fetch, self.clock.now() + CONNECT_AGAIN);
        }
    }

    /// Discovery is at another address.
    pub fn move_watch(&mut self) {
        self.watch_at.take().into_iter().for_each(|id| drop(self.close(id)));
        self.open_watch();
    }

    fn push_failed(&mut self, why: &str) {
        self.counts.discovery_failed += 1;
        if !std::mem::replace(&mut self.discovery_fails, true) {
            warn!(held = self.version.held(), "discovery fails: {why}");
        }
        self.pending.push(Event::List { kind: ListKind::Failed, entries: Vec::new() });
    }

    pub fn discovery_bytes(&mut self, id: Id, bytes: &[u8]) {
        let Some(Connection { kind: Kind::Asking(asking), .. }) = self.connections.get_mut(id) else {
            return;
        };
        let watch = asking.is_watch();
        let Taken { lists, alive, current, fault } = asking.take(bytes);
        if watch && alive {
            self.deadlines.set(Due::Connection(id), self.clock.now() + WATCH_SILENT);
        }
        let done = !watch && !lists.is_empty();
        let forward = lists.iter().all(|list| self.take_list(list));
        if current && forward {
            self.starts.list_is_current(self.clock.now());
        }
        match fault {
            _ if !forward => self.discovery_failed(id, "it went back in version"),
            Some(error) => self.discovery_failed(id, &error.to_string()),
            None if done => drop(self.close(id)),
            None => {}
        }
    }

    /// False: it is older than what we hold.
    fn take_list(&mut self, list: &Roster) -> bool {
        let Some(kind) = self.version.take(list) else {
            info!(held = self.version.held(), told = list.version, "an older list is not taken");
            return false;
        };
        if std::mem::take(&mut self.discovery_fails) {
            info!(version = list.version, "discovery answers again");
        }
        let servers = list.servers.len();
        info!(version = list.version, whole = list.whole, servers, "a list is taken");
        self.counts.lists += 1;
        self.push_list(kind, list);
        if std::mem::take(&mut self.news_await_list) {
            self.open_news();
        }
        true
    }

    pub fn discovery_ended(&mut self, id: Id) {
        let Some(Connection { kind: Kind::Asking(asking), .. }) = self.connections.get(id) else { return };
        match asking.ended() {
            Ok(lists) => {
                self.close(id);
                if !lists.iter().all(|list| self.take_list(list)) {
                    self.push_failed("it went back in version");
                }
            }
            Err(error) => self.discovery_failed(id, &error.to_string()),
        }
    }

    pub fn discovery_failed(&mut self, id: Id, why: &str) {
        self.close(id);
        self.push_failed(why);
    }
}
