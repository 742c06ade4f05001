//! What clients of the assigner's address are answered, and how their connections end.

use tracing::{debug, info};
use whinhill_platform::peer::{Heard, ALIVE, ERROR};

use crate::connection::{Connection, Kind, Stage};
use crate::connections::Id;
use crate::deadlines::Due;
use crate::limits::*;
use crate::node::Node;

/// Why a client is answered with an error and closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It sends what is no message.
    Unreadable,
    /// It has not joined, and asked nothing for too long.
    Silent,
    /// Others need its place.
    CrowdedOut,
}

impl Node {
    /// Answers with an error, and ends the connection once that has left and the client has ended its side, or when
    /// that takes too long.
    pub fn refuse(&mut self, id: Id, why: Refusal) {
        if self.send_error(id, why) {
            self.begin_close(id);
        }
    }

    /// Tells a client that it has been silent for too long. It may still ask: a request that crosses this is
    /// answered.
    pub fn warn(&mut self, id: Id) {
        if self.send_error(id, Refusal::Silent) {
            self.set_stage(id, Stage::Warned);
            self.deadlines.set(Due::Connection(id), self.clock.now() + WARNED_WITHIN);
        }
    }

    /// False: it could not be told, and is closed.
    fn send_error(&mut self, id: Id, why: Refusal) -> bool {
        let Some(connection) = self.connections.get_mut(id) else { return false };
        debug!(?id, remote = %connection.remote, "refused: {why:?}");
        match why {
            Refusal::Unreadable => self.counts.refused_unreadable += 1,
            Refusal::Silent => self.counts.refused_silent += 1,
            Refusal::CrowdedOut => self.counts.refused_crowded_out += 1,
        }
        connection.answers.queue_unasked(ERROR.len());
        match connection.send(ERROR) {
            Ok(outgoing) => self.flushed(id, Ok(outgoing)),
            Err(error) => {
                debug!(?id, "it cannot be told: {error}");
                self.close_client(id);
            }
        }
        self.connections.get(id).is_some()
    }

    pub fn set_stage(&mut self, id: Id, new: Stage) {
        if let Some(Connection { kind: Kind::Client { stage, .. }, .. }) = self.connections.get_mut(id) {
            *stage = new;
        }
    }

    /// Nothing more is answered: writes what is left, ends our side, and waits for the client's end.
    pub fn begin_close(&mut self, id: Id) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let Kind::Client { peer, .. } = &connection.kind else { return };
        self.strangers -= usize::from(!peer.joined());
        connection.kind = Kind::Closing { discarded: 0 };
        connection.end_writing();
        self.deadlines.set(Due::Connection(id), self.clock.now() + CLOSE_WITHIN);
    }

    /// Ends a connection whose client has had its last answer, once all that had arrived is answered.
    pub fn end_after_answer(&mut self, id: Id) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        if !matches!(connection.kind, Kind::Client { stage: Stage::Answered, .. }) {
            return;
        }
        if connection.is_unfinished() {
            connection.put_off_end();
        } else {
            self.begin_close(id);
        }
    }

    /// A client that has had its last answer goes on to send.
    pub fn discard(&mut self, id: Id, bytes: usize) {
        let Some(Connection { kind: Kind::Closing { discarded }, .. }) = self.connections.get_mut(id) else {
            return;
        };
        if *discarded == 0 {
            self.counts.sent_after_end += 1;
            debug!(?id, bytes, "it sends on after its last answer");
        }
        *discarded += bytes;
        if *discarded > DISCARD_MOST {
            self.close_client(id);
        }
    }

    /// Closes a client's connection, and counts it if an answer is still to be written.
    pub fn close_client(&mut self, id: Id) {
        let Some(connection) = self.close(id) else { return };
        let owed = connection.answers.owed();
        self.counts.unanswered += owed as u64;
        self.counts.closed_unanswered += u64::from(!connection.all_written());
        if owed > 0 {
            self.failures.log_close(id, &connection, "closed by us under a request");
        }
        debug!(?id, owed, "closed");
    }

    /// A client ended its side: what it has asked is still answered, and half a message gets an error.
    pub fn client_ended(&mut self, id: Id) {
        let Some(connection) = self.connections.get(id) else { return };
        match &connection.kind {
            Kind::Client { peer, .. } if peer.unfinished() && !peer.joined() => {
                self.refuse(id, Refusal::Unreadable);
            }
            Kind::Client { .. } if !connection.all_written() => self.begin_close(id),
            _ => {
                debug!(?id, "ended by the client");
                self.close(id);
            }
        }
    }

    pub fn client_bytes(&mut self, id: Id, bytes: &[u8]) {
        let now = self.clock.now();
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.heard_at = now;
        let Kind::Client { peer, .. } = &mut connection.kind else { return };
        let (mut heard, was_joined) = (Vec::new(), peer.joined());
        let taken = peer.take(bytes, &self.names, &mut heard);
        let (mut asked, mut zone) = (0, None);
        for heard in heard {
            match heard {
                Heard::Report(event) => {
                    self.counts.reports += 1;
                    self.pending.push(event);
                }
                Heard::AreYouAlive => asked += 1,
                Heard::Joined(joined) => zone = Some(joined),
                Heard::Dropped(spoilt) => {
                    self.counts.spoilt += 1;
                    debug!("dropped a report: {spoilt}");
                }
            }
        }
        if zone.is_some() && !was_joined {
            self.strangers -= 1;
            self.deadlines.clear(Due::Connection(id));
            self.bound_collectors(id);
        }
        if asked > 0 && !self.answer(id, asked) {
            return;
        }
        if let Err(why) = taken {
            if zone.is_some() || was_joined {
                info!("a collector is refused: {why}");
            }
            self.refuse(id, Refusal::Unreadable);
        }
    }

    /// Answers requests for a sign of life; false: the client does not read its answers, and is closed.
    fn answer(&mut self, id: Id, asked: usize) -> bool {
        let (now, serves_all) = (self.clock.now(), self.serves_all());
        let Some(connection) = self.connections.get_mut(id) else { return false };
        self.counts.requests += asked as u64;
        connection.asked_at = Some(now);
        (0..asked).for_each(|_| connection.answers.queue(now, ALIVE.len()));
        let stays = match connection.kind {
            Kind::Client { stage: Stage::Open, .. } => true,
            Kind::Client { stage: Stage::Warned, .. } => serves_all,
            _ => false,
        };
        let last = !stays || self.last_answers;
        let answers = ALIVE.repeat(asked);
        let sent = if last { connection.send_with_end(&answers) } else { connection.send(&answers) };
        let Ok(outgoing) = sent else {
            debug!(?id, "closed: it does not read its answers");
            self.counts.closed_unread += 1;
            self.close(id);
            return false;
        };
        if let Kind::Client { peer, stage } = &mut connection.kind {
            if last {
                *stage = Stage::Answered;
            } else {
                *stage = Stage::Open;
                if !peer.joined() {
                    // Whoever asks is not silent.
                    self.deadlines.set(Due::Connection(id), now + JOIN_WITHIN);
                }
            }
        }
        self.flushed(id, Ok(outgoing));
        self.connections.get(id).is_some()
    }

    /// A collector that lost its connection comes back on a new one; the old may never tell that it ended. The one
    /// that joined last stays, though it may have connected first.
    fn bound_collectors(&mut self, newest: Id) {
        if self.serves_all() {
            return;
        }
        let zone = |c: &Connection| match &c.kind {
            Kind::Client { peer, .. } => peer.zone(),
            _ => None,
        };
        let wanted = self.connections.get(newest).and_then(zone);
        let same = || self.connections.iter().filter(|(_, c)| wanted.is_some() && zone(c) == wanted);
        if same().count() > COLLECTORS_MOST {
            let others = same().filter(|(id, _)| *id != newest);
            let oldest = others.min_by_key(|(_, c)| c.opened).map(|(id, _)| id);
            oldest.into_iter().for_each(|id| self.close_client(id));
        }
    }
}
