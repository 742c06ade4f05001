//! Answers to clients of the assigner's address, and the ends of their connections.

use tracing::{debug, info};
use whinhill_platform::peer::{PeerMessage, ALIVE, ERROR};

use crate::connection::{ClientStage, Connection, ConnectionKind};
use crate::connections::Id;
use crate::deadlines::DeadlineKind;
use crate::limits::*;
use crate::node::Node;

/// Why a client is answered with an error and closed. The variants are logged by `Debug`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It sent something that is no message.
    Unreadable,
    /// It has not joined, and has sent no request for too long.
    Silent,
    /// Other clients need its slot.
    CrowdedOut,
}

impl Node {
    /// Sends an error, and closes the connection once that was written and the client has closed its side, or after
    /// a timeout.
    pub fn refuse(&mut self, id: Id, why: RefusalReason) {
        if self.send_error(id, why) {
            self.begin_close(id);
        }
    }

    /// Sends a client an error for having been silent for too long. It may still send a request: one that crosses
    /// the error is answered.
    pub fn warn_silent_client(&mut self, id: Id) {
        if self.send_error(id, RefusalReason::Silent) {
            self.set_stage(id, ClientStage::Warned);
            self.deadlines.set(DeadlineKind::ConnectionTimeout(id), self.clock.now() + WARNED_CLIENT_TIMEOUT);
        }
    }

    /// Sends an error; `false` if that fails and the client was closed.
    fn send_error(&mut self, id: Id, why: RefusalReason) -> bool {
        let Some(connection) = self.connections.get_mut(id) else { return false };
        debug!(?id, remote = %connection.remote, "refused: {why:?}");
        match why {
            RefusalReason::Unreadable => self.counters.refused_unreadable += 1,
            RefusalReason::Silent => self.counters.refused_silent += 1,
            RefusalReason::CrowdedOut => self.counters.refused_crowded_out += 1,
        }
        connection.pending_answers.queue_other(ERROR.len());
        match connection.send(ERROR) {
            Ok(outcome) => self.handle_write_outcome(id, Ok(outcome)),
            Err(error) => {
                debug!(?id, "the error cannot be sent: {error}");
                self.close_client(id);
            }
        }
        self.connections.get(id).is_some()
    }

    /// Sets the stage of a client.
    pub fn set_stage(&mut self, id: Id, new: ClientStage) {
        if let Some(Connection { kind: ConnectionKind::Client { stage, .. }, .. }) =
            self.connections.get_mut(id)
        {
            *stage = new;
        }
    }

    /// Answers nothing more: writes the remaining output, shuts down the sending side, and waits for the client to
    /// close.
    pub fn begin_close(&mut self, id: Id) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let ConnectionKind::Client { peer, .. } = &connection.kind else { return };
        self.unjoined_count -= usize::from(!peer.has_joined());
        connection.kind = ConnectionKind::Closing { discarded: 0 };
        connection.shut_down_writes();
        self.deadlines.set(DeadlineKind::ConnectionTimeout(id), self.clock.now() + CLOSE_TIMEOUT);
    }

    /// Begins to close a connection whose client was sent its last answer, once everything that had arrived is
    /// answered.
    pub fn close_after_last_answer(&mut self, id: Id) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        if !matches!(connection.kind, ConnectionKind::Client { stage: ClientStage::LastAnswerSent, .. }) {
            return;
        }
        if connection.has_partial_message() {
            connection.uncork();
        } else {
            self.begin_close(id);
        }
    }

    /// Discards what a client sends after its last answer, and closes its connection after [`MAX_DISCARDED_BYTES`].
    pub fn discard_from_closing(&mut self, id: Id, bytes: usize) {
        let Some(Connection { kind: ConnectionKind::Closing { discarded }, .. }) =
            self.connections.get_mut(id)
        else {
            return;
        };
        if *discarded == 0 {
            self.counters.sent_after_last_answer += 1;
            debug!(?id, bytes, "data received after the last answer");
        }
        *discarded += bytes;
        if *discarded > MAX_DISCARDED_BYTES {
            self.close_client(id);
        }
    }

    /// Closes a client's connection, and counts it if an answer was not written.
    pub fn close_client(&mut self, id: Id) {
        let Some(connection) = self.close(id) else { return };
        let pending = connection.pending_answers.count();
        self.counters.requests_unanswered += pending as u64;
        self.counters.closed_unanswered += u64::from(!connection.all_written());
        if pending > 0 {
            self.failure_log.log_close(id, &connection, "closed before a request was answered");
        }
        debug!(?id, owed = pending, "closed");
    }

    /// A client closed its side. Its requests are still answered, and a partial message is answered with an error.
    pub fn handle_client_eof(&mut self, id: Id) {
        let Some(connection) = self.connections.get(id) else { return };
        match &connection.kind {
            ConnectionKind::Client { peer, .. } if peer.has_partial_message() && !peer.has_joined() => {
                self.refuse(id, RefusalReason::Unreadable);
            }
            ConnectionKind::Client { .. } if !connection.all_written() => self.begin_close(id),
            _ => {
                debug!(?id, "closed by the client");
                self.close(id);
            }
        }
    }

    /// Bytes arrived from a client.
    pub fn handle_client_bytes(&mut self, id: Id, bytes: &[u8]) {
        let now = self.clock.now();
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.last_received_at = now;
        let ConnectionKind::Client { peer, .. } = &mut connection.kind else { return };
        let (mut messages, was_joined) = (Vec::new(), peer.has_joined());
        let result = peer.receive(bytes, self.messages_per_connection, &self.names, &mut messages);
        let (mut requests, mut zone) = (0, None);
        for message in messages {
            match message {
                PeerMessage::Report(event) => {
                    self.counters.reports += 1;
                    self.pending_events.push(event);
                }
                PeerMessage::LivenessCheck => requests += 1,
                PeerMessage::Joined(joined) => zone = Some(joined),
                PeerMessage::InvalidReport(error) => {
                    self.counters.reports_dropped += 1;
                    debug!("report dropped: {error}");
                }
            }
        }
        if zone.is_some() && !was_joined {
            self.unjoined_count -= 1;
            self.deadlines.clear(DeadlineKind::ConnectionTimeout(id));
            self.limit_collectors(id);
        }
        if requests > 0 && !self.answer_alive(id, requests) {
            return;
        }
        if let Err(why) = result {
            if zone.is_some() || was_joined {
                info!("collector refused: {why}");
            }
            self.refuse(id, RefusalReason::Unreadable);
        }
    }

    /// Answers requests for a sign of life; `false` if the client does not read its answers and was closed.
    fn answer_alive(&mut self, id: Id, requests: usize) -> bool {
        let (now, keeps_all_connections) = (self.clock.now(), self.keeps_all_connections());
        let Some(connection) = self.connections.get_mut(id) else { return false };
        self.counters.requests += requests as u64;
        connection.last_request_at = Some(now);
        (0..requests).for_each(|_| connection.pending_answers.queue_answer(now, ALIVE.len()));
        let keeps_open = match connection.kind {
            ConnectionKind::Client { stage: ClientStage::Open, .. } => true,
            ConnectionKind::Client { stage: ClientStage::Warned, .. } => keeps_all_connections,
            _ => false,
        };
        let last = !keeps_open || self.close_after_answer;
        let answers = ALIVE.repeat(requests);
        let sent = if last { connection.send_before_shutdown(&answers) } else { connection.send(&answers) };
        let Ok(outcome) = sent else {
            debug!(?id, "closed: the client does not read its answers");
            self.counters.closed_unread += 1;
            self.close(id);
            return false;
        };
        if let ConnectionKind::Client { peer, stage } = &mut connection.kind {
            if last {
                *stage = ClientStage::LastAnswerSent;
            } else {
                *stage = ClientStage::Open;
                if !peer.has_joined() {
                    // A client that sends requests is not silent.
                    self.deadlines.set(DeadlineKind::ConnectionTimeout(id), now + JOIN_TIMEOUT);
                }
            }
        }
        self.handle_write_outcome(id, Ok(outcome));
        self.connections.get(id).is_some()
    }

    /// Closes the oldest connection of a zone's collector if there are more than [`MAX_COLLECTORS_PER_ZONE`]. A
    /// collector that lost its connection comes back on a new one, and the end of the old one may go unnoticed. The
    /// one that joined last stays, even if it connected first.
    fn limit_collectors(&mut self, newest: Id) {
        if self.keeps_all_connections() {
            return;
        }
        let zone = |c: &Connection| match &c.kind {
            ConnectionKind::Client { peer, .. } => peer.zone(),
            _ => None,
        };
        let wanted = self.connections.get(newest).and_then(zone);
        let same = || self.connections.iter().filter(|(_, c)| wanted.is_some() && zone(c) == wanted);
        if same().count() > MAX_COLLECTORS_PER_ZONE {
            let others = same().filter(|(id, _)| *id != newest);
            let oldest = others.min_by_key(|(_, c)| c.opened_at).map(|(id, _)| id);
            oldest.into_iter().for_each(|id| self.close_client(id));
        }
    }
}
