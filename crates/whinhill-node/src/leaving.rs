//! The end, after SIGTERM or SIGINT: open connections are served on, then each ends with its next answer.

use tracing::info;

use crate::clients::Refusal;
use crate::connection::{Connection, Kind};
use crate::connections::Id;
use crate::deadlines::Due;
use crate::limits::*;
use crate::node::Node;
use crate::NodeError;

impl Node {
    /// SIGTERM or SIGINT has come; only the first counts.
    pub fn begin_end(&mut self) {
        if self.ending.is_some() {
            return;
        }
        let now = self.clock.now();
        info!(waiting = self.calls.waiting(), clients = self.peers, "told to end");
        self.ending = Some(now);
        self.deadlines.set(Due::End, now + LAST_ANSWERS_AFTER);
    }

    /// Whether the end has come. As long as clients use their connections it waits, up to a bound; from
    /// [`LAST_ANSWERS_AFTER`] on each answer is a connection's last.
    pub fn may_leave(&mut self) -> bool {
        let Some(since) = self.ending else { return false };
        let passed = self.clock.now().saturating_sub(since);
        if passed >= END_AFTER {
            return true;
        }
        if passed >= LAST_ANSWERS_AFTER && !std::mem::replace(&mut self.last_answers, true) {
            self.hold_back_clients();
        }
        let calls = self.calls.waiting() > 0 || self.calls.under_way();
        if calls && passed < CALLS_END_AFTER || self.is_owed() {
            self.deadlines.set(Due::End, self.clock.now() + END_LOOKS);
            return false;
        }
        true
    }

    /// Takes the listen queue and stops listening, answers whoever has just come, and ends.
    pub fn leave(mut self) -> Result<(), NodeError> {
        self.last_answers = true;
        self.stop_listening();
        let now = self.clock.now();
        let until = (now + ASK_WITHIN).min(self.ending.unwrap_or(now) + LEAVE_BY);
        while self.is_owed() && self.clock.now() < until {
            self.turn(Some(until.saturating_sub(self.clock.now())))?;
        }
        self.clients().into_iter().for_each(|id| self.end_client(id));
        self.counts.log();
        info!(
            requests = self.counts.requests,
            unanswered = self.counts.unanswered,
            closed_unanswered = self.counts.closed_unanswered,
            waiting = self.calls.waiting(),
            "ends"
        );
        Ok(())
    }

    /// Ends one client's connection after a last look: half a message gets an error, and with nothing left to read
    /// the close resets no answer.
    fn end_client(&mut self, id: Id) {
        self.look_at(id);
        if self.connections.get(id).is_some_and(|c| c.is_stranger() && c.is_unfinished()) {
            self.refuse(id, Refusal::Unreadable);
        }
        // A write may say too early that it would block.
        (0..TRIES_A_LOOK).for_each(|_| self.writable(id));
        if let Some(connection) = self.connections.get_mut(id) {
            connection.end_writing();
            connection.discard(DISCARD_MOST);
        }
        self.close_client(id);
    }

    fn clients(&self) -> Vec<Id> {
        let client = |c: &Connection| matches!(c.kind, Kind::Client { .. } | Kind::Closing { .. });
        self.connections.iter().filter(|(_, c)| client(c)).map(|(id, _)| id).collect()
    }

    /// Whether a client waits to be accepted, read or written to, or has come or asked so recently that it may be
    /// about to ask.
    fn is_owed(&self) -> bool {
        let now = self.clock.now();
        let waits = |c: &Connection| {
            let may_ask = matches!(c.kind, Kind::Client { .. }) && (c.has_asked || !c.heard);
            !c.all_written() || may_ask && now < c.heard_at + ASK_WITHIN
        };
        let waiting = self.clients().iter().filter_map(|id| self.connections.get(*id)).any(waits);
        self.next_client.is_some() || !self.unread.is_empty() || waiting
    }
}
