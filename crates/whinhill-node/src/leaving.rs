//! The end, after SIGTERM or SIGINT. Until the platform's earliest kill the address is served as before, and then for
//! as long as anybody asks, up to a bound; each connection then ends with its next answer.

use std::time::Duration;

use tracing::info;
use whinhill_platform::relay::news::Place;

use crate::clients::Refusal;
use crate::connection::{Connection, Kind, Stage};
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
        self.deadlines.clear(Due::Config);
        self.close_all(|kind| matches!(kind, Kind::Probe { .. }));
        self.probes_again.clear();
        self.make_places(RESERVED_OWN + RESERVED_PATHS);
        self.keep_strangers(now + SILENCE_PUT_OFF);
    }

    /// Whether the signal has come and the kill may be yet to come: nobody's connection is closed.
    pub fn serves_all(&self) -> bool {
        self.ending.is_some_and(|since| self.clock.now() < since + SERVE_FOR)
    }

    /// Whether the end has come.
    pub fn may_leave(&mut self) -> Result<bool, NodeError> {
        let Some(since) = self.ending else { return Ok(false) };
        let now = self.clock.now();
        let passed = now.saturating_sub(since);
        let calls = self.calls.waiting() > 0 || self.calls.under_way();
        if !self.paths_closed && (!calls || passed >= CALLS_END_AFTER) {
            self.close_paths();
        }
        if passed >= END_AFTER {
            return Ok(true);
        }
        if passed >= LAST_ANSWERS_AFTER && !std::mem::replace(&mut self.last_answers, true) {
            self.hold_back_clients();
        }
        if passed >= SERVE_FOR && !self.is_owed(now) {
            // The process may have stood still since it last read: what had arrived by now counts.
            self.take_all_events()?;
            self.look_at_all();
            if !self.is_owed(now) {
                return Ok(true);
            }
        }
        let next = match passed {
            _ if !self.paths_closed => since + CALLS_END_AFTER,
            _ if passed < SERVE_FOR => since + SERVE_FOR,
            _ => now + END_LOOKS,
        };
        self.deadlines.set(Due::End, next);
        Ok(false)
    }

    /// Closes what leads to relay, discovery and servers, whose places clients may have.
    fn close_paths(&mut self) {
        self.paths_closed = true;
        self.close_all(|kind| !matches!(kind, Kind::Client { .. } | Kind::Closing { .. }));
        for place in [Place::Current, Place::Next] {
            self.news.closed(place);
            self.deadlines.clear(Due::News(place));
        }
        for due in [Due::Wake, Due::OpenNews, Due::Call, Due::Watch, Due::Fetch, Due::Probes] {
            self.deadlines.clear(due);
        }
        self.make_places(RESERVED_OWN);
    }

    fn close_all(&mut self, wanted: fn(&Kind) -> bool) {
        let ids: Vec<Id> =
            self.connections.iter().filter(|(_, c)| wanted(&c.kind)).map(|(id, _)| id).collect();
        ids.into_iter().for_each(|id| drop(self.close(id)));
    }

    /// Lets clients have all descriptors but so many; nobody has to leave for others now.
    fn make_places(&mut self, reserved: usize) {
        self.peers_most = self.peers_most.max(self.config.limits.sockets.saturating_sub(reserved));
        for id in self.clients() {
            let leaving = |c: &Connection| matches!(c.kind, Kind::Client { stage: Stage::Leaving, .. });
            if self.connections.get(id).is_some_and(leaving) {
                self.set_stage(id, Stage::Open);
            }
        }
    }

    /// Whoever has not joined is refused no sooner.
    fn keep_strangers(&mut self, until: Duration) {
        for id in self.clients() {
            if self.connections.get(id).is_some_and(Connection::is_stranger) {
                self.deadlines.put_off(Due::Connection(id), until);
            }
        }
    }

    /// Takes the listen queue and stops listening, answers whoever has just come, and ends.
    pub fn leave(mut self) -> Result<(), NodeError> {
        self.last_answers = true;
        self.stop_listening();
        let now = self.clock.now();
        let until = (now + ASK_WITHIN).min(self.ending.unwrap_or(now) + LEAVE_BY);
        while self.is_owed(self.clock.now()) && self.clock.now() < until {
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

    /// Whether a client waits to be accepted, read or written to, or may be about to ask.
    fn is_owed(&self, now: Duration) -> bool {
        let mut clients = self.connections.iter().map(|(_, connection)| connection);
        let may_wait = self.next_client.is_some() || self.deadlines.is_set(Due::Accept);
        may_wait || !self.unread.is_empty() || clients.any(|client| is_owed_to(client, now))
    }
}

fn is_owed_to(client: &Connection, now: Duration) -> bool {
    match client.kind {
        Kind::Client { .. } => !client.all_written() || may_ask(client, now),
        Kind::Closing { .. } => !client.all_written(),
        _ => false,
    }
}

/// Whether a client has come or asked so recently that it may be about to ask, or what it has sent is not known for
/// sure. Reports of a collector alone are no requests.
fn may_ask(client: &Connection, now: Duration) -> bool {
    if client.joined() && client.asked_at.is_none() {
        return false;
    }
    let just_came = (!client.heard || client.is_unfinished()).then_some(client.heard_at);
    let last = client.asked_at.max(just_came);
    last.is_some_and(|at| now < at + ASK_WITHIN) || client.read_failed || client.looks_left > 0
}
