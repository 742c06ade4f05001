//! Requests to discovery: the watch for changes of the server list, and the fetch of the whole list.

use tracing::{info, warn};
use whinhill::interface::{Event, ListKind};
use whinhill_platform::discovery::{self, DiscoveryRequest, ReceivedLists};
use whinhill_platform::roster::Roster;

use crate::connection::{Connection, ConnectionKind};
use crate::connections::Id;
use crate::deadlines::DeadlineKind;
use crate::limits::*;
use crate::node::Node;

impl Node {
    /// The module wants to be notified of changes.
    pub fn start_discovery_watch(&mut self) {
        if let Some(id) = self.discovery_watch_connection {
            // An answered watch has sent all changes, so the module is told that there are none; one that is being
            // opened will be answered.
            if self.is_discovery_watch_answered(id) {
                self.pending_events.push(Event::List { kind: ListKind::Changes, entries: Vec::new() });
            }
            return;
        }
        self.open_discovery_watch();
    }

    fn is_discovery_watch_answered(&self, id: Id) -> bool {
        let kind = self.connections.get(id).map(|connection| &connection.kind);
        matches!(kind, Some(ConnectionKind::Discovery(request)) if request.has_response_head())
    }

    /// Opens a watch. A connect that fails immediately has not reached discovery and says nothing about it. It is
    /// retried soon and not reported to the module, which waits longer after each failure.
    fn open_discovery_watch(&mut self) {
        let addr = self.config.discovery;
        let request = discovery::watch_request(addr, self.list_version.held());
        self.discovery_watch_connection = self.connect(
            addr,
            ConnectionKind::Discovery(DiscoveryRequest::watch()),
            &request,
            DISCOVERY_TIMEOUT,
        );
        if self.discovery_watch_connection.is_some() {
            self.counters.discovery_watches += 1;
            return;
        }
        if !std::mem::replace(&mut self.discovery_failing, true) {
            warn!(held = self.list_version.held(), "discovery cannot be queried: connecting failed");
        }
        self.deadlines.set(DeadlineKind::RetryDiscoveryWatch, self.clock.now() + CONNECT_RETRY_DELAY);
    }

    /// Opens a watch that could not be opened before, unless there is one.
    pub fn reopen_discovery_watch(&mut self) {
        if self.discovery_watch_connection.is_none() {
            self.open_discovery_watch();
        }
    }

    /// Requests the whole list.
    pub fn fetch_server_list(&mut self) {
        let addr = self.config.discovery;
        let request = discovery::fetch_request(addr);
        if self
            .connect(addr, ConnectionKind::Discovery(DiscoveryRequest::fetch()), &request, DISCOVERY_TIMEOUT)
            .is_none()
        {
            self.deadlines.set(DeadlineKind::RetryFetch, self.clock.now() + CONNECT_RETRY_DELAY);
        }
    }

    /// Discovery has a new address.
    pub fn switch_discovery_address(&mut self) {
        self.discovery_watch_connection.take().into_iter().for_each(|id| drop(self.close(id)));
        self.open_discovery_watch();
    }

    /// Counts a failure, logs it if the previous result was a success, and reports it to the module.
    fn report_discovery_failure(&mut self, why: &str) {
        self.counters.discovery_failures += 1;
        if !std::mem::replace(&mut self.discovery_failing, true) {
            warn!(held = self.list_version.held(), "discovery fails: {why}");
        }
        self.pending_events.push(Event::List { kind: ListKind::Failed, entries: Vec::new() });
    }

    /// Bytes of an answer from discovery arrived.
    pub fn handle_discovery_bytes(&mut self, id: Id, bytes: &[u8]) {
        let Some(Connection { kind: ConnectionKind::Discovery(request), .. }) = self.connections.get_mut(id)
        else {
            return;
        };
        let is_watch = request.is_watch();
        let ReceivedLists { lists, is_alive, is_current, error } = request.receive(bytes);
        if is_watch && is_alive {
            self.deadlines
                .set(DeadlineKind::ConnectionTimeout(id), self.clock.now() + DISCOVERY_WATCH_SILENCE_TIMEOUT);
        }
        let fetched = !is_watch && !lists.is_empty();
        let all_newer = lists.iter().all(|list| self.accept_list(list));
        if is_current && all_newer {
            self.server_starts.set_list_current(self.clock.now());
        }
        match error {
            _ if !all_newer => self.fail_discovery_request(id, "the version of its list decreased"),
            Some(error) => self.fail_discovery_request(id, &error.to_string()),
            None if fetched => drop(self.close(id)),
            None => {}
        }
    }

    /// Passes a list on to the module; `false` if it is older than the current one.
    fn accept_list(&mut self, list: &Roster) -> bool {
        let Some(kind) = self.list_version.accept(list) else {
            info!(held = self.list_version.held(), told = list.version, "older server list ignored");
            return false;
        };
        if std::mem::take(&mut self.discovery_failing) {
            info!(version = list.version, "discovery answers again");
        }
        let servers = list.servers.len();
        info!(version = list.version, whole = list.is_full, servers, "server list received");
        self.counters.lists += 1;
        self.push_list(kind, list);
        if std::mem::take(&mut self.relay_watch_awaits_list) {
            self.open_relay_watch();
        }
        true
    }

    /// Discovery closed a connection.
    pub fn handle_discovery_eof(&mut self, id: Id) {
        let Some(Connection { kind: ConnectionKind::Discovery(request), .. }) = self.connections.get(id)
        else {
            return;
        };
        match request.on_connection_end() {
            Ok(lists) => {
                self.close(id);
                if !lists.iter().all(|list| self.accept_list(list)) {
                    self.report_discovery_failure("the version of its list decreased");
                }
            }
            Err(error) => self.fail_discovery_request(id, &error.to_string()),
        }
    }

    /// Closes a request that failed and reports the failure.
    pub fn fail_discovery_request(&mut self, id: Id, why: &str) {
        self.close(id);
        self.report_discovery_failure(why);
    }
}
