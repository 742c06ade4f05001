//! The end, after SIGTERM or SIGINT: whoever has asked by then is answered first.

use tracing::info;

use crate::connection::{Connection, Kind};
use crate::connections::Id;
use crate::deadlines::Due;
use crate::limits::{ACCEPT_LOOKS, ASK_WITHIN, DISCARD_MOST, LEAVE_WITHIN};
use crate::node::Node;
use crate::peers::Refusal;
use crate::NodeError;

impl Node {
    /// Takes the listen queue, answers what has arrived, and ends once that has left.
    pub fn leave(mut self) -> Result<(), NodeError> {
        let until = self.clock.now() + LEAVE_WITHIN;
        self.answer_all();
        while self.is_owed() && self.clock.now() < until {
            self.turn(Some(until.saturating_sub(self.clock.now())))?;
        }
        // Whoever came meanwhile: the listener's end resets what it has not handed over.
        self.answer_all();
        self.clients().into_iter().for_each(|id| self.end_client(id));
        info!(
            answered = self.counts.answered,
            closed_unanswered = self.counts.closed_unanswered,
            waiting = self.calls.waiting(),
            "ends"
        );
        Ok(())
    }

    /// Accepts whoever waits, and answers what has arrived.
    fn answer_all(&mut self) {
        self.accept(ACCEPT_LOOKS, true);
        self.clients().into_iter().for_each(|id| self.look_at(id));
    }

    /// Ends one client's connection: half a message gets an error, and with nothing left to read the close resets
    /// no answer.
    fn end_client(&mut self, id: Id) {
        let half =
            |c: &Connection| matches!(&c.kind, Kind::Peer(peer) if peer.unfinished() && !peer.joined());
        if self.connections.get(id).is_some_and(half) {
            self.refuse(id, Refusal::Unreadable);
        }
        if let Some(connection) = self.connections.get_mut(id) {
            connection.end_writing();
            connection.discard(DISCARD_MOST);
        }
        self.close_client(id);
    }

    fn clients(&self) -> Vec<Id> {
        let client = |c: &Connection| matches!(c.kind, Kind::Peer(_) | Kind::Closing { .. });
        self.connections.iter().filter(|(_, c)| client(c)).map(|(id, _)| id).collect()
    }

    /// Whether a client waits to be accepted, read or written to, or has just come and not asked yet.
    fn is_owed(&self) -> bool {
        let now = self.clock.now();
        let waits = |id: &Id| {
            let connection = self.connections.get(*id);
            connection.is_some_and(|c| !c.all_written() || !c.heard && now < c.opened + ASK_WITHIN)
        };
        self.deadlines.is_set(Due::Accept) || !self.unread.is_empty() || self.clients().iter().any(waits)
    }
}
