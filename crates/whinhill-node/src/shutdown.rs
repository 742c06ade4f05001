//! Shutdown after SIGTERM or SIGINT.
//!
//! Until the earliest time at which the platform kills the process, clients are served as before. Then they are
//! served while any of them sends requests, up to a limit; each connection then ends with its next answer.

use std::time::Duration;

use tracing::info;
use whinhill_platform::relay::watch::WatchSlot;

use crate::clients::RefusalReason;
use crate::connection::{ClientStage, Connection, ConnectionKind};
use crate::connections::Id;
use crate::deadlines::DeadlineKind;
use crate::limits::*;
use crate::node::Node;
use crate::NodeError;

impl Node {
    /// Handles SIGTERM or SIGINT; only the first counts.
    pub fn begin_shutdown(&mut self) {
        if self.shutdown_started_at.is_some() {
            return;
        }
        let now = self.clock.now();
        info!(waiting = self.relay_calls.queued_orders(), clients = self.client_count, "shutdown requested");
        self.shutdown_started_at = Some(now);
        self.deadlines.clear(DeadlineKind::RetryConfig);
        self.close_where(|kind| matches!(kind, ConnectionKind::Probe { .. }));
        self.postponed_probes.clear();
        self.raise_client_limit(RESERVED_FOR_PROCESS + RESERVED_FOR_OUTGOING);
        self.postpone_silence_limits(now + SHUTDOWN_SILENCE_DELAY);
    }

    /// Whether shutdown has begun and the platform may not have killed the process yet: no client's connection is
    /// closed.
    pub fn keeps_all_connections(&self) -> bool {
        self.shutdown_started_at.is_some_and(|since| self.clock.now() < since + SHUTDOWN_SERVE_DURATION)
    }

    /// Takes the next step of the shutdown that is due; returns whether the event loop ends.
    pub fn advance_shutdown(&mut self) -> Result<bool, NodeError> {
        let Some(since) = self.shutdown_started_at else { return Ok(false) };
        let now = self.clock.now();
        let elapsed = now.saturating_sub(since);
        let calls_pending = self.relay_calls.queued_orders() > 0 || self.relay_calls.has_call_in_flight();
        if !self.outgoing_closed && (!calls_pending || elapsed >= SHUTDOWN_CALLS_DURATION) {
            self.close_outgoing_connections();
        }
        if elapsed >= SHUTDOWN_STOP_ACCEPTING_DELAY {
            return Ok(true);
        }
        if elapsed >= SHUTDOWN_LAST_ANSWERS_DELAY && !std::mem::replace(&mut self.close_after_answer, true) {
            self.drop_new_connections();
        }
        if elapsed >= SHUTDOWN_SERVE_DURATION && !self.has_pending_clients(now) {
            // The process may have been suspended since it last read; data that arrived meanwhile counts.
            self.drain_events()?;
            self.check_all_sockets();
            if !self.has_pending_clients(now) {
                return Ok(true);
            }
        }
        let next = match elapsed {
            _ if !self.outgoing_closed => since + SHUTDOWN_CALLS_DURATION,
            _ if elapsed < SHUTDOWN_SERVE_DURATION => since + SHUTDOWN_SERVE_DURATION,
            _ => now + SHUTDOWN_CHECK_INTERVAL,
        };
        self.deadlines.set(DeadlineKind::ShutdownStep, next);
        Ok(false)
    }

    /// Closes all connections to relay, discovery and servers. Clients may use their descriptors.
    fn close_outgoing_connections(&mut self) {
        self.outgoing_closed = true;
        self.close_where(|kind| {
            !matches!(kind, ConnectionKind::Client { .. } | ConnectionKind::Closing { .. })
        });
        for slot in [WatchSlot::Current, WatchSlot::Next] {
            self.relay_watch.on_disconnected(slot);
            self.deadlines.clear(DeadlineKind::RelayWatch(slot));
        }
        for kind in [
            DeadlineKind::Wake,
            DeadlineKind::ReopenRelayWatch,
            DeadlineKind::RelayCall,
            DeadlineKind::RetryDiscoveryWatch,
            DeadlineKind::RetryFetch,
            DeadlineKind::RetryProbes,
        ] {
            self.deadlines.clear(kind);
        }
        self.raise_client_limit(RESERVED_FOR_PROCESS);
    }

    /// Closes all connections of the wanted kinds.
    fn close_where(&mut self, wanted: fn(&ConnectionKind) -> bool) {
        let ids: Vec<Id> =
            self.connections.iter().filter(|(_, c)| wanted(&c.kind)).map(|(id, _)| id).collect();
        ids.into_iter().for_each(|id| drop(self.close(id)));
    }

    /// Lets clients use all descriptors but `reserved`; no client has to make way for another any more.
    fn raise_client_limit(&mut self, reserved: usize) {
        self.max_clients = self.max_clients.max(self.config.limits.sockets.saturating_sub(reserved));
        for id in self.client_ids() {
            let to_be_closed = |c: &Connection| {
                matches!(c.kind, ConnectionKind::Client { stage: ClientStage::CloseAfterAnswer, .. })
            };
            if self.connections.get(id).is_some_and(to_be_closed) {
                self.set_stage(id, ClientStage::Open);
            }
        }
    }

    /// Clients that have not joined are not refused for silence before `until`.
    fn postpone_silence_limits(&mut self, until: Duration) {
        for id in self.client_ids() {
            if self.connections.get(id).is_some_and(Connection::is_unjoined_client) {
                self.deadlines.postpone(DeadlineKind::ConnectionTimeout(id), until);
            }
        }
    }

    /// Empties the listen queue and stops listening, answers clients that have just connected, and returns.
    pub fn finish_shutdown(mut self) -> Result<(), NodeError> {
        self.close_after_answer = true;
        self.stop_listening();
        let now = self.clock.now();
        let until =
            (now + REQUEST_GRACE_PERIOD).min(self.shutdown_started_at.unwrap_or(now) + SHUTDOWN_EXIT_DELAY);
        while self.has_pending_clients(self.clock.now()) && self.clock.now() < until {
            self.run_once(Some(until.saturating_sub(self.clock.now())))?;
        }
        self.client_ids().into_iter().for_each(|id| self.finish_client(id));
        self.counters.log();
        info!(
            requests = self.counters.requests,
            unanswered = self.counters.requests_unanswered,
            closed_unanswered = self.counters.closed_unanswered,
            waiting = self.relay_calls.queued_orders(),
            "ends"
        );
        Ok(())
    }

    /// Closes one client's connection after a last check. A partial message is answered with an error; and with
    /// nothing left to read, closing does not reset the connection under an answer.
    fn finish_client(&mut self, id: Id) {
        self.check_socket(id);
        if self.connections.get(id).is_some_and(|c| c.is_unjoined_client() && c.has_partial_message()) {
            self.refuse(id, RefusalReason::Unreadable);
        }
        // A write may wrongly return `WouldBlock`.
        (0..ATTEMPTS_PER_RECHECK).for_each(|_| self.handle_writable(id));
        if let Some(connection) = self.connections.get_mut(id) {
            connection.shut_down_writes();
            connection.discard(MAX_DISCARDED_BYTES);
        }
        self.close_client(id);
    }

    /// The connections of all clients, closing ones included.
    fn client_ids(&self) -> Vec<Id> {
        let client =
            |c: &Connection| matches!(c.kind, ConnectionKind::Client { .. } | ConnectionKind::Closing { .. });
        self.connections.iter().filter(|(_, c)| client(c)).map(|(id, _)| id).collect()
    }

    /// Whether a client waits to be accepted, read or written to, or may be about to send a request.
    fn has_pending_clients(&self, now: Duration) -> bool {
        let mut clients = self.connections.iter().map(|(_, connection)| connection);
        let may_wait = self.waiting_client.is_some() || self.deadlines.is_set(DeadlineKind::RetryAccept);
        may_wait || !self.unread_connections.is_empty() || clients.any(|client| is_pending(client, now))
    }
}

/// Whether a client waits for bytes to be written or may be about to send a request.
fn is_pending(client: &Connection, now: Duration) -> bool {
    match client.kind {
        ConnectionKind::Client { .. } => !client.all_written() || may_send_request(client, now),
        ConnectionKind::Closing { .. } => !client.all_written(),
        _ => false,
    }
}

/// Whether a client has connected or sent a request so recently that it may be about to send one, or whether data
/// that it has sent may still be unread. Reports of a collector alone are no requests.
fn may_send_request(client: &Connection, now: Duration) -> bool {
    if client.has_joined() && client.last_request_at.is_none() {
        return false;
    }
    let first_or_partial_at =
        (!client.has_received || client.has_partial_message()).then_some(client.last_received_at);
    let last_sign_at = client.last_request_at.max(first_or_partial_at);
    last_sign_at.is_some_and(|at| now < at + REQUEST_GRACE_PERIOD)
        || client.last_read_failed
        || client.rechecks_left > 0
}
