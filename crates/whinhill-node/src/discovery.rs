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
            self.assigner.list_answer_timeout(),
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
        self.overdue_discovery_watch.take().into_iter().for_each(|id| drop(self.close(id)));
        self.discovery_watch_connection.take().into_iter().for_each(|id| drop(self.close(id)));
        self.open_discovery_watch();
    }

    /// A call for a watch or a list, or an answered watch, has been silent for too long.
    pub fn handle_discovery_timeout(&mut self, id: Id) {
        if self.overdue_discovery_watch == Some(id) {
            // Its lack of an answer was reported when it became overdue.
            self.close(id);
        } else if self.discovery_watch_connection == Some(id) && !self.is_discovery_watch_answered(id) {
            self.keep_overdue_watch(id);
            self.report_discovery_failure(ListKind::Unreachable, "no answer");
        } else {
            self.close(id);
            self.report_discovery_failure(ListKind::Unreachable, "silent");
        }
    }

    /// Keeps a call open that was not answered in time, in place of the one before it: an overrun discovery may still
    /// answer, while one that was cut off never will, and is asked again on another connection.
    fn keep_overdue_watch(&mut self, id: Id) {
        self.overdue_discovery_watch.take().into_iter().for_each(|former| drop(self.close(former)));
        self.discovery_watch_connection = None;
        self.overdue_discovery_watch = Some(id);
        let opened_at = self.connections.get(id).map_or(self.clock.now(), |connection| connection.opened_at);
        self.deadlines.set(DeadlineKind::ConnectionTimeout(id), opened_at + DISCOVERY_TIMEOUT);
    }

    /// Of two calls for a watch, the one that was answered first becomes the watch, and the other is closed.
    fn settle_discovery_watch(&mut self, answered: Id) {
        if self.overdue_discovery_watch == Some(answered) {
            self.overdue_discovery_watch = None;
            let newer = self.discovery_watch_connection.replace(answered);
            newer.into_iter().for_each(|id| drop(self.close(id)));
        } else if self.discovery_watch_connection == Some(answered) {
            self.overdue_discovery_watch.take().into_iter().for_each(|id| drop(self.close(id)));
        }
    }

    /// Counts a failure, logs it if the previous result was a success, and reports it to the module.
    fn report_discovery_failure(&mut self, kind: ListKind, why: &str) {
        self.counters.discovery_failures += 1;
        if !std::mem::replace(&mut self.discovery_failing, true) {
            warn!(held = self.list_version.held(), "discovery fails: {why}");
        }
        self.pending_events.push(Event::List { kind, entries: Vec::new() });
    }

    /// Bytes of an answer from discovery arrived.
    pub fn handle_discovery_bytes(&mut self, id: Id, bytes: &[u8]) {
        let Some(Connection { kind: ConnectionKind::Discovery(request), .. }) = self.connections.get_mut(id)
        else {
            return;
        };
        let is_watch = request.is_watch();
        let ReceivedLists { lists, is_alive, is_current, error } = request.receive(bytes);
        if is_watch && is_alive && error.is_none() {
            self.settle_discovery_watch(id);
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
                    self.report_discovery_failure(ListKind::Failed, "the version of its list decreased");
                }
            }
            Err(error) => self.fail_discovery_request(id, &error.to_string()),
        }
    }

    /// Closes a request that failed and reports the failure. Where the connection never came up, nobody was reached. The
    /// failure of an overdue call is not reported: a newer call tells, or is about to be made.
    fn fail_discovery_request(&mut self, id: Id, why: &str) {
        let was_overdue = self.overdue_discovery_watch == Some(id);
        let was_reached = self.close(id).is_some_and(|connection| connection.was_established());
        if !was_overdue {
            let kind = if was_reached { ListKind::Failed } else { ListKind::Unreachable };
            self.report_discovery_failure(kind, why);
        }
    }
}
