//! What connections of all kinds have in common: connecting, registering, reading, writing, timeouts and closing.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::accepting::AcceptTrigger;
use crate::clients::RefusalReason;
use crate::connection::{ClientStage, Connection, ConnectionKind, ReadOutcome, WriteOutcome};
use crate::connections::Id;
use crate::deadlines::DeadlineKind;
use crate::limits::*;
use crate::node::Node;

impl Node {
    /// Connects, and writes `initial_output` once the connection is established; `None` if connecting fails
    /// immediately.
    pub fn connect(
        &mut self,
        addr: SocketAddr,
        kind: ConnectionKind,
        initial_output: &[u8],
        timeout: Duration,
    ) -> Option<Id> {
        let now = self.clock.now();
        let connected = Connection::connect(addr, kind, initial_output, now);
        let id = match connected {
            Ok(connection) => self.connections.insert(connection),
            Err(error) => {
                self.counters.connect_failures += 1;
                self.failure_log.log_on_address("connect", addr, &error);
                return None;
            }
        };
        if !self.register(id) {
            self.connections.remove(id);
            return None;
        }
        self.deadlines.set(DeadlineKind::ConnectionTimeout(id), now + timeout);
        Some(id)
    }

    /// Registers a connection with the poll; `false` if that fails.
    pub fn register(&mut self, id: Id) -> bool {
        let registry = self.poll.registry();
        let Some(connection) = self.connections.get_mut(id) else { return false };
        let Err(error) = connection.register(registry, id.token()) else { return true };
        // Otherwise the next attempt would find it registered already.
        connection.deregister(registry);
        self.counters.register_failures += 1;
        self.failure_log.log("register", &error);
        false
    }

    /// Closes a connection without notifying the code that uses it.
    pub fn close(&mut self, id: Id) -> Option<Connection> {
        let mut connection = self.connections.remove(id)?;
        connection.deregister(self.poll.registry());
        self.deadlines.clear(DeadlineKind::ConnectionTimeout(id));
        self.deadlines.clear(DeadlineKind::RetryRegister(id));
        self.deadlines.clear(DeadlineKind::Recheck(id));
        match &connection.kind {
            ConnectionKind::Closing { .. } => self.client_count -= 1,
            ConnectionKind::Client { peer, .. } => {
                self.client_count -= 1;
                self.unjoined_count -= usize::from(!peer.has_joined());
            }
            ConnectionKind::Probe { endpoint, .. } => self.probe_queue.remove_connection(endpoint.index),
            _ => {}
        }
        for holder in [
            &mut self.call_connection,
            &mut self.relay_watch_connection,
            &mut self.next_relay_watch_connection,
            &mut self.discovery_watch_connection,
            &mut self.overdue_discovery_watch,
        ] {
            *holder = holder.filter(|held| *held != id);
        }
        Some(connection)
    }

    /// Writes remaining output.
    pub fn handle_writable(&mut self, id: Id) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let result = connection.flush();
        self.handle_write_outcome(id, result);
    }

    /// Handles the result of a write. After `WouldBlock` the socket is rechecked: if the call returned it wrongly,
    /// the poll never reports the socket as writable. That is done once, since a peer that does not read would cost calls
    /// for as long as it likes; later writes are made with the periodic check of all sockets.
    pub fn handle_write_outcome(&mut self, id: Id, result: io::Result<WriteOutcome>) {
        self.record_written_answers(id);
        let Some(connection) = self.connections.get_mut(id) else { return };
        match result {
            Ok(WriteOutcome::Complete) if matches!(connection.kind, ConnectionKind::Closing { .. }) => {
                connection.shut_down_writes()
            }
            Ok(WriteOutcome::Complete | WriteOutcome::NotConnected) => self.resume_reading(id),
            Ok(WriteOutcome::WouldBlock) => {
                if !std::mem::replace(&mut connection.rechecked_for_output, true) {
                    self.schedule_rechecks(id);
                }
            }
            Ok(WriteOutcome::Shortage(error)) => self.handle_shortage(id, "write", &error),
            Err(error) => self.handle_broken_connection(id, &error),
        }
    }

    /// Records how long the answers took that are now written completely.
    fn record_written_answers(&mut self, id: Id) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let now = self.clock.now();
        for received_at in connection.pending_answers.take_answered() {
            self.counters.record_answer(now.saturating_sub(received_at));
        }
    }

    /// A read or write failed for want of local resources; it is retried soon.
    fn handle_shortage(&mut self, id: Id, call: &'static str, error: &io::Error) {
        self.counters.transfer_shortages += 1;
        if let Some(connection) = self.connections.get(id) {
            self.failure_log.log_on_connection(id, connection, call, error);
        }
        self.schedule_rechecks(id);
    }

    /// A read or write on a connection failed.
    fn handle_broken_connection(&mut self, id: Id, error: &io::Error) {
        let Some(connection) = self.connections.get(id) else { return };
        let established = connection.was_established();
        self.counters.transfer_failures += u64::from(established);
        self.counters.connects_refused += u64::from(!established);
        let call = if established { "transfer" } else { "connect" };
        self.failure_log.log_on_connection(id, connection, call, error);
        match &connection.kind {
            // Nobody is left to answer.
            ConnectionKind::Client { .. } | ConnectionKind::Closing { .. } => {
                self.counters.requests_abandoned += connection.pending_answers.count() as u64;
                self.close(id);
            }
            _ => self.handle_eof(id),
        }
    }

    /// The poll reported data. If nothing is found, the read may have wrongly returned `WouldBlock`; and unless the
    /// data was read before the event, reads currently do so.
    pub fn handle_readable_event(&mut self, id: Id) {
        let received = self.read_available(id);
        let Some(connection) = self.connections.get_mut(id) else { return };
        let was_read_before = std::mem::take(&mut connection.read_before_event);
        if received {
            return;
        }
        if !was_read_before {
            self.counters.reads_missed += 1;
            self.recheck_reads_until = self.clock.now() + READ_RECHECK_DURATION;
        }
        self.schedule_rechecks(id);
    }

    /// Schedules a few checks of a socket although the poll reports nothing.
    fn schedule_rechecks(&mut self, id: Id) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.rechecks_left = RECHECKS;
        self.deadlines.set_if_earlier(DeadlineKind::Recheck(id), self.clock.now() + RECHECK_DELAY);
    }

    /// One of the scheduled checks. A socket that returned `WouldBlock` in all of them has nothing to read; checks go
    /// on for as long as resources are lacking.
    pub fn recheck(&mut self, id: Id) {
        let Some(connection) = self.connections.get(id) else { return };
        let left = connection.rechecks_left.saturating_sub(1);
        let shortages = self.counters.transfer_shortages;
        let received = (0..ATTEMPTS_PER_RECHECK).fold(false, |received, _| self.check_socket(id) || received);
        let Some(connection) = self.connections.get_mut(id) else { return };
        let found_nothing = !received && self.counters.transfer_shortages == shortages;
        connection.rechecks_left = if found_nothing { left } else { RECHECKS };
        if connection.rechecks_left > 0 {
            self.deadlines.set(DeadlineKind::Recheck(id), self.clock.now() + RECHECK_DELAY);
        } else {
            self.deadlines.clear(DeadlineKind::Recheck(id));
        }
    }

    /// Whether a connection may be read, as far as others and what it has caused already allow; if not, it is read on
    /// once that has changed.
    fn may_read(&mut self, id: Id) -> bool {
        let Some(connection) = self.connections.get_mut(id) else { return false };
        // The module compares each list with all servers that it knows.
        let awaits_list = self.list_pending && matches!(connection.kind, ConnectionKind::Discovery(_));
        let is_full = self.pending_events.len() >= self.max_pending_events;
        if awaits_list || is_full && connection.produces_events() {
            self.awaiting_batch.insert(id);
            return false;
        }
        // A client that does not read its answers gets no more of them. It is read on once they are written.
        let is_client = matches!(connection.kind, ConnectionKind::Client { .. });
        connection.paused_for_output = is_client && connection.unwritten_bytes() > MAX_OUTPUT_BEFORE_PAUSE;
        !connection.paused_for_output
    }

    /// Reads on a connection whose output was written, if it was paused for that.
    fn resume_reading(&mut self, id: Id) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        if std::mem::take(&mut connection.paused_for_output) {
            self.unread_connections.insert(id);
        }
    }

    /// Reads what has arrived, up to a connection's share of a turn; returns whether there was anything, the end
    /// included.
    pub fn read_available(&mut self, id: Id) -> bool {
        let mut buffer = std::mem::take(&mut self.buffer);
        let (mut reads, mut bytes) = (0, 0);
        while self.may_read(id) {
            let Some(connection) = self.connections.get_mut(id) else { break };
            // A peer that sends faster than this process reads must not delay the others.
            let has_unparsed = connection.has_unparsed_messages();
            let max_bytes = if connection.is_client() { MAX_BYTES_PER_TURN } else { SOURCE_BYTES_PER_TURN };
            if bytes >= max_bytes || has_unparsed && reads > 0 {
                self.unread_connections.insert(id);
                break;
            }
            if has_unparsed {
                self.handle_bytes(id, &[]);
                reads += 1;
                continue;
            }
            let size = if connection.is_client() { buffer.len() } else { SOURCE_READ_BYTES };
            match connection.read(&mut buffer[..size]) {
                Ok(ReadOutcome::Bytes(n)) => {
                    bytes += n;
                    self.handle_bytes(id, &buffer[..n]);
                }
                Ok(ReadOutcome::End) => {
                    reads += 1;
                    self.handle_eof(id);
                    break;
                }
                Ok(ReadOutcome::WouldBlock) => break,
                Ok(ReadOutcome::Shortage(error)) => {
                    self.handle_shortage(id, "read", &error);
                    break;
                }
                Err(error) => {
                    reads += 1;
                    self.handle_broken_connection(id, &error);
                    break;
                }
            }
            reads += 1;
        }
        self.buffer = buffer;
        self.after_reads(id, reads > 0);
        reads > 0
    }

    /// Called after reads. Schedules rechecks if a message is incomplete or reads have recently missed data: more
    /// may have arrived than the last read returned. Closes a client that was sent its last answer.
    fn after_reads(&mut self, id: Id, received: bool) {
        let Some(connection) = self.connections.get(id) else { return };
        let recheck = received && self.clock.now() < self.recheck_reads_until;
        if recheck || connection.has_partial_message() && connection.rechecks_left == 0 && received {
            self.schedule_rechecks(id);
        }
        self.close_after_last_answer(id);
    }

    /// Passes bytes that were read to the code for the kind of connection.
    fn handle_bytes(&mut self, id: Id, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        match &mut connection.kind {
            ConnectionKind::Client { .. } => self.handle_client_bytes(id, bytes),
            ConnectionKind::Closing { .. } => self.discard_from_closing(id, bytes.len()),
            ConnectionKind::RelayWatch => self.handle_relay_watch_bytes(id, bytes),
            ConnectionKind::RelayCalls(_) => self.handle_relay_answer(id, bytes),
            ConnectionKind::Discovery(_) => self.handle_discovery_bytes(id, bytes),
            ConnectionKind::Probe { .. } => self.handle_probe_bytes(id, bytes),
        }
    }

    /// The peer closed or reset a connection, or it was never established.
    fn handle_eof(&mut self, id: Id) {
        let Some(connection) = self.connections.get(id) else { return };
        match &connection.kind {
            ConnectionKind::Client { .. } => self.handle_client_eof(id),
            // The remaining output may still be read by the client; the timeout limits the wait.
            ConnectionKind::Closing { .. } if !connection.all_written() => {}
            ConnectionKind::Closing { .. } => self.close_client(id),
            ConnectionKind::RelayWatch => self.handle_relay_watch_end(id, "broken"),
            ConnectionKind::RelayCalls(_) => self.handle_lost_call("broken"),
            ConnectionKind::Discovery(_) => self.handle_discovery_eof(id),
            ConnectionKind::Probe { .. } => self.handle_probe_eof(id),
        }
    }

    /// Checks every socket, and for signals, without an event from the poll.
    pub fn check_all_sockets(&mut self) {
        self.accept_clients(AcceptTrigger::PeriodicCheck);
        self.handle_signals();
        let all: Vec<Id> = self.connections.iter().map(|(id, _)| id).collect();
        for id in all {
            self.check_socket(id);
        }
        self.deadlines.set(DeadlineKind::CheckAllSockets, self.clock.now() + SOCKET_CHECK_INTERVAL);
    }

    /// Writes remaining output and reads what has arrived; returns whether there was anything to read.
    pub fn check_socket(&mut self, id: Id) -> bool {
        if self.connections.get(id).is_some_and(|c| !c.all_written()) {
            self.handle_writable(id);
        }
        let received = self.read_available(id);
        if let Some(connection) = self.connections.get_mut(id) {
            connection.read_before_event |= received;
        }
        received
    }

    /// Checks a connection whose time limit has passed. Returns `true` if reads fail for want of resources, so that
    /// it is unknown whether anything has arrived, and the limit is to be postponed. That is so for a limited time.
    pub fn check_before_timeout(&mut self, id: Id) -> bool {
        self.check_socket(id);
        let Some(connection) = self.connections.get_mut(id) else { return false };
        let unknown =
            connection.last_read_failed && connection.timeout_postponements < MAX_TIMEOUT_POSTPONEMENTS;
        connection.timeout_postponements += u32::from(unknown);
        unknown
    }

    /// A connection's time limit has passed, unless data that has arrived extends it or completes what it waits
    /// for.
    pub fn handle_timeout(&mut self, id: Id) {
        let now = self.clock.now();
        self.deadlines.set(DeadlineKind::ConnectionTimeout(id), now);
        let unknown = self.check_before_timeout(id);
        if !self.deadlines.pop_if_at(DeadlineKind::ConnectionTimeout(id), now) {
            return;
        }
        if unknown {
            return self.deadlines.set(DeadlineKind::ConnectionTimeout(id), now + RECHECK_DELAY);
        }
        let Some(connection) = self.connections.get(id) else { return };
        match &connection.kind {
            ConnectionKind::Client { stage: ClientStage::Open, .. } => self.warn_silent_client(id),
            ConnectionKind::Client { stage: ClientStage::CloseAfterAnswer, .. } => {
                self.refuse(id, RefusalReason::Silent)
            }
            ConnectionKind::Client { .. } => self.begin_close(id),
            ConnectionKind::Closing { .. } => self.close_client(id),
            ConnectionKind::RelayWatch => self.handle_relay_watch_end(id, "never came up"),
            ConnectionKind::RelayCalls(_) => self.handle_lost_call("silent"),
            ConnectionKind::Discovery(_) => self.handle_discovery_timeout(id),
            ConnectionKind::Probe { .. } => self.handle_probe_timeout(id),
        }
    }
}
