//! The listen queue, and connection slots for the clients that wait in it.

use std::io;

use mio::net::TcpStream;
use rustix::io::{fcntl_dupfd_cloexec, Errno};
use socket2::{SockFilter, SockRef};
use tracing::debug;
use whinhill_platform::peer::ERROR;

use crate::clients::RefusalReason;
use crate::connection::{ClientStage, Connection, ConnectionKind};
use crate::connections::Id;
use crate::deadlines::DeadlineKind;
use crate::limits::*;
use crate::node::Node;

/// Why the listen queue is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptTrigger {
    /// The poll reported a client.
    Readiness,
    /// A client may still be waiting since the last check.
    Retry,
    /// All sockets are checked periodically.
    PeriodicCheck,
}

/// Whether there is a slot for another client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotAvailability {
    /// A slot is free.
    Now,
    /// Clients that have one are closed after their next answers.
    Soon,
    /// Collectors occupy all slots.
    Never,
}

/// A socket filter of one instruction, "return 0 bytes" (BPF_RET | BPF_K, socket(7), SO_ATTACH_FILTER).
const DROP_ALL: SockFilter = SockFilter::new(0x06, 0, 0, 0);

impl Node {
    /// Accepts clients until the listen queue seems empty several times in a row: a call may wrongly return
    /// `WouldBlock`.
    pub fn accept_clients(&mut self, trigger: AcceptTrigger) {
        let max_empty =
            if trigger == AcceptTrigger::PeriodicCheck { PERIODIC_ACCEPT_ATTEMPTS } else { ACCEPT_ATTEMPTS };
        let (mut failures, mut empty, mut accepted_count, mut missed) = (0, 0, 0, false);
        // A client was left in the queue for want of a slot, so finding more is expected.
        let expected = trigger == AcceptTrigger::Readiness || self.waiting_client.is_some();
        while failures < MAX_ACCEPT_FAILURES && empty < max_empty && self.assign_slot() {
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok(accepted) => {
                    missed |= empty > 0 || !expected;
                    (empty, accepted_count) = (0, accepted_count + 1);
                    self.waiting_client = Some(accepted);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => empty += 1,
                // Interrupted by a signal, or the client has gone; the next may be waiting.
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) =>
                {
                    self.counters.accepts_interrupted += 1;
                    failures += 1;
                }
                Err(error) => {
                    self.counters.accept_failures += 1;
                    self.failure_log.log("accept", &error);
                    // Only a lack of descriptors of this process can be resolved by closing a connection. Other
                    // failures either pass or do not.
                    failures += 1;
                    if self.is_out_of_descriptors(&error) && self.free_slot() == SlotAvailability::Now {
                        failures = 0;
                    }
                }
            }
        }
        self.counters.accepts_missed += u64::from(missed);
        // The poll reported a client and none was found: the call may have wrongly returned `WouldBlock`.
        self.accept_retries_left = match trigger {
            AcceptTrigger::Readiness if accepted_count == 0 => ACCEPT_RETRIES,
            _ if missed => ACCEPT_RETRIES,
            _ => self.accept_retries_left.saturating_sub(1),
        };
        if self.accept_retries_left > 0 || failures > 0 || self.waiting_client.is_some() {
            self.deadlines.set(DeadlineKind::RetryAccept, self.clock.now() + ACCEPT_RETRY_DELAY);
        }
    }

    /// Gives the client that was accepted last a slot; `false` if it has to wait for one.
    fn assign_slot(&mut self) -> bool {
        if self.waiting_client.is_none() {
            return true;
        }
        let slot =
            if self.client_count < self.max_clients { SlotAvailability::Now } else { self.free_slot() };
        let Some((stream, remote)) = self.waiting_client.take_if(|_| slot != SlotAvailability::Soon) else {
            return false;
        };
        let connection = Connection::accepted(stream, remote, self.max_message_bytes, self.clock.now());
        if slot == SlotAvailability::Now {
            self.add_client(connection);
        } else {
            self.reject_client(connection);
        }
        true
    }

    fn add_client(&mut self, connection: Connection) {
        let remote = connection.remote;
        let id = self.connections.insert(connection);
        (self.client_count, self.unjoined_count) = (self.client_count + 1, self.unjoined_count + 1);
        self.counters.accepted += 1;
        debug!(?id, %remote, "accepted");
        self.deadlines.set(DeadlineKind::ConnectionTimeout(id), self.clock.now() + JOIN_TIMEOUT);
        self.register_client(id);
    }

    /// Registers a client with the poll; a failure is retried.
    pub fn register_client(&mut self, id: Id) {
        if self.connections.get(id).is_some() && !self.register(id) {
            self.deadlines.set(DeadlineKind::RetryRegister(id), self.clock.now() + REGISTER_RETRY_DELAY);
        }
    }

    /// Collectors occupy all slots: sends the client an error and closes its connection.
    fn reject_client(&mut self, mut connection: Connection) {
        self.counters.clients_rejected += 1;
        connection.discard(MAX_DISCARDED_BYTES);
        if connection.send(ERROR).is_err() || !connection.all_written() {
            self.counters.closed_unanswered += 1;
        }
    }

    /// Frees a slot: that of a client that was sent its last answer, or else of the unjoined client that has been
    /// silent for longest. Where all are sending requests, those that have been connected for longest are closed
    /// after their next answers, so that no request on its way is lost.
    fn free_slot(&mut self) -> SlotAvailability {
        let closing = self.connections.iter().filter(|(_, c)| c.is_closing_and_written());
        if let Some((id, _)) = closing.min_by_key(|(id, c)| (c.opened_at, *id)) {
            // With nothing left to read, closing does not reset the connection under the answer.
            self.connections.get_mut(id).into_iter().for_each(|c| c.discard(MAX_DISCARDED_BYTES));
            self.close_client(id);
            return SlotAvailability::Now;
        }
        self.evict_idle_unjoined().unwrap_or_else(|| self.close_unjoined_after_answers())
    }

    /// Closes the unjoined client that has been silent for longest, after reading what it has sent: when many
    /// connect at once, a collector's first message may still be unread. `None` if none is idle.
    fn evict_idle_unjoined(&mut self) -> Option<SlotAvailability> {
        loop {
            let unjoined = self.connections.iter().filter(|(_, c)| c.is_unjoined_client());
            let by_idle_since = unjoined.map(|(id, c)| (c.last_received_at, id));
            let (last_received_at, id) = by_idle_since.min()?;
            if self.clock.now() < last_received_at + MIN_EVICTION_IDLE {
                return None;
            }
            let received = self.read_available(id);
            let Some(connection) = self.connections.get(id) else { return Some(SlotAvailability::Now) };
            if matches!(connection.kind, ConnectionKind::Client { .. }) {
                if received || connection.has_joined() {
                    continue;
                }
                self.refuse(id, RefusalReason::CrowdedOut);
            }
            // It was refused, now or for what it had sent, and is closed once the error was written.
            if self.connections.get(id).is_some_and(|c| !c.is_closing_and_written()) {
                return Some(SlotAvailability::Soon);
            }
            self.close_client(id);
            return Some(SlotAvailability::Now);
        }
    }

    /// Marks a few unjoined clients, those connected for longest, to be closed after their next answers.
    fn close_unjoined_after_answers(&mut self) -> SlotAvailability {
        let stage = |connection: &Connection| match &connection.kind {
            ConnectionKind::Client { peer, stage } if !peer.has_joined() => Some(*stage),
            ConnectionKind::Closing { .. } => Some(ClientStage::LastAnswerSent),
            _ => None,
        };
        let mut open = Vec::new();
        let mut closing = 0;
        for (id, connection) in self.connections.iter() {
            match stage(connection) {
                Some(ClientStage::Open) => open.push((connection.opened_at, id)),
                Some(_) => closing += 1,
                None => {}
            }
        }
        if open.is_empty() && closing == 0 {
            return SlotAvailability::Never;
        }
        open.sort_unstable();
        for (_, id) in open.into_iter().take(MAX_CLOSING_FOR_SLOTS.saturating_sub(closing)) {
            self.set_stage(id, ClientStage::CloseAfterAnswer);
        }
        SlotAvailability::Soon
    }

    /// Makes the system drop the first packet of new connections. Their systems send it again after a second, and
    /// it then reaches the next process. Clients that are in the queue stay there, so that it can be emptied before
    /// the listener is closed; without the filter, connections that come between the last `accept` and the close
    /// would be reset. (A backlog of 0 does not help: clients whose last packet of the handshake finds the queue
    /// full believe that they are connected.)
    pub fn drop_new_connections(&self) {
        let Some(listener) = &self.listener else { return };
        if let Err(error) = SockRef::from(listener).attach_filter(&[DROP_ALL]) {
            debug!("attach a filter: {error}");
        }
    }

    /// Accepts all clients that still wait, whatever the number of slots, and closes the listener. Connections that
    /// the queue holds after that are reset.
    pub fn stop_listening(&mut self) {
        self.drop_new_connections();
        let Some(listener) = self.listener.take() else { return };
        let mut accepted: Vec<_> = self.waiting_client.take().into_iter().collect();
        let mut empty = 0;
        while empty < ACCEPT_ATTEMPTS && accepted.len() < MAX_FINAL_ACCEPTS {
            match listener.accept() {
                Ok(client) => {
                    empty = 0;
                    accepted.push(client);
                }
                Err(_) => empty += 1,
            }
        }
        drop(listener);
        let now = self.clock.now();
        for (stream, remote) in accepted {
            self.add_client(Connection::accepted(stream, remote, self.max_message_bytes, now));
        }
    }

    /// Whether this process has reached its limit of descriptors, in which case the listener cannot be duplicated
    /// either.
    fn is_out_of_descriptors(&self, error: &io::Error) -> bool {
        let limit_reported = error.raw_os_error() == Some(Errno::MFILE.raw_os_error());
        let listener = self.listener.as_ref().filter(|_| limit_reported);
        listener.is_some_and(|listener| matches!(fcntl_dupfd_cloexec(listener, 0), Err(Errno::MFILE)))
    }
}

/// A connection that was accepted and has no slot yet.
pub type AcceptedClient = (TcpStream, std::net::SocketAddr);
