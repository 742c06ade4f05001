//! The listen queue, and places for whoever waits in it.

use std::io;

use mio::net::TcpStream;
use rustix::io::{fcntl_dupfd_cloexec, Errno};
use socket2::{SockFilter, SockRef};
use tracing::debug;
use whinhill_platform::peer::ERROR;

use crate::clients::Refusal;
use crate::connection::{Connection, Kind, Stage};
use crate::connections::Id;
use crate::deadlines::Due;
use crate::limits::*;
use crate::node::Node;

/// Why the listen queue is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Look {
    /// The poll told that somebody waits.
    Told,
    /// Somebody may still wait after the last look.
    Again,
    /// It is time for a look at everything.
    Untold,
}

/// Whether there is a place for one more client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Free,
    /// Clients that have one give it up with their next answers.
    Soon,
    /// Collectors hold them all.
    Never,
}

/// A filter of one instruction, "return 0 bytes" (BPF_RET | BPF_K, socket(7), SO_ATTACH_FILTER).
const DROP_ALL: SockFilter = SockFilter::new(0x06, 0, 0, 0);

impl Node {
    /// Takes whoever waits in the listen queue, until it seems empty several times in a row: a call may say too
    /// early that it would block.
    pub fn accept(&mut self, look: Look) {
        let looks = if look == Look::Untold { ACCEPT_LOOKS_UNTOLD } else { ACCEPT_LOOKS };
        let (mut failures, mut empty, mut taken, mut missed) = (0, 0, 0, false);
        // Somebody was left in the queue for want of a place: to find more there is no surprise.
        let expected = look == Look::Told || self.next_client.is_some();
        while failures < ACCEPT_FAILURES_MOST && empty < looks && self.seat_next() {
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok(accepted) => {
                    missed |= empty > 0 || !expected;
                    (empty, taken) = (0, taken + 1);
                    self.next_client = Some(accepted);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => empty += 1,
                // A signal, or the client has gone: the next may be there.
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) =>
                {
                    self.counts.accepts_interrupted += 1;
                    failures += 1;
                }
                Err(error) => {
                    self.counts.accepts_failed += 1;
                    self.failures.log("accept", &error);
                    // Only descriptors of our own are freed by a close of ours. The rest passes, or does not.
                    failures += 1;
                    if self.is_out_of_descriptors(&error) && self.make_place() == Place::Free {
                        failures = 0;
                    }
                }
            }
        }
        self.counts.accepts_missed += u64::from(missed);
        // Told of somebody and nobody was there: the call may have said so too early.
        self.accept_looks_left = match look {
            Look::Told if taken == 0 => ACCEPT_LOOKS_AGAIN,
            _ if missed => ACCEPT_LOOKS_AGAIN,
            _ => self.accept_looks_left.saturating_sub(1),
        };
        if self.accept_looks_left > 0 || failures > 0 || self.next_client.is_some() {
            self.deadlines.set(Due::Accept, self.clock.now() + ACCEPT_AGAIN);
        }
    }

    /// Gives the client that was accepted last its place; false: it has to wait for one.
    fn seat_next(&mut self) -> bool {
        if self.next_client.is_none() {
            return true;
        }
        let place = if self.peers < self.peers_most { Place::Free } else { self.make_place() };
        let Some((stream, remote)) = self.next_client.take_if(|_| place != Place::Soon) else { return false };
        let connection = Connection::accepted(stream, remote, self.clock.now());
        if place == Place::Free {
            self.take_client(connection);
        } else {
            self.turn_away(connection);
        }
        true
    }

    fn take_client(&mut self, connection: Connection) {
        let remote = connection.remote;
        let id = self.connections.insert(connection);
        (self.peers, self.strangers) = (self.peers + 1, self.strangers + 1);
        self.counts.accepted += 1;
        debug!(?id, %remote, "accepted");
        self.deadlines.set(Due::Connection(id), self.clock.now() + JOIN_WITHIN);
        self.register_client(id);
    }

    /// Has the poll tell of a client; where that fails for a moment it is tried again.
    pub fn register_client(&mut self, id: Id) {
        if self.connections.get(id).is_some() && !self.register(id) {
            self.deadlines.set(Due::Register(id), self.clock.now() + REGISTER_AGAIN);
        }
    }

    /// All places are taken by collectors: the client is answered, and that is all.
    fn turn_away(&mut self, mut connection: Connection) {
        self.counts.turned_away += 1;
        connection.discard(DISCARD_MOST);
        if connection.send(ERROR).is_err() || !connection.all_written() {
            self.counts.closed_unanswered += 1;
        }
    }

    /// Looks for a place: that of a client that has had its last answer, else of the stranger that has been silent
    /// for longest. Where all are busy asking, those that have been there longest give theirs up with their next
    /// answer, so that none loses a request that is on its way.
    fn make_place(&mut self) -> Place {
        let closing = self.connections.iter().filter(|(_, c)| c.has_had_all());
        if let Some((id, _)) = closing.min_by_key(|(id, c)| (c.opened, *id)) {
            // With nothing left to read the close resets no answer.
            self.connections.get_mut(id).into_iter().for_each(|c| c.discard(DISCARD_MOST));
            self.close_client(id);
            return Place::Free;
        }
        self.evict_idle_stranger().unwrap_or_else(|| self.ask_strangers_to_leave())
    }

    /// Closes the stranger that has been silent for longest, after a look at what it has sent: in a crowd that
    /// arrives at once, a collector's first message may be waiting to be read. `None`: none is idle.
    fn evict_idle_stranger(&mut self) -> Option<Place> {
        loop {
            let strangers = self.connections.iter().filter(|(_, c)| c.is_stranger());
            let idle_since = strangers.map(|(id, c)| (c.heard_at, id));
            let (heard_at, id) = idle_since.min()?;
            if self.clock.now() < heard_at + EVICT_IDLE {
                return None;
            }
            let heard = self.readable(id);
            let Some(connection) = self.connections.get(id) else { return Some(Place::Free) };
            if matches!(connection.kind, Kind::Client { .. }) {
                if heard || connection.joined() {
                    continue;
                }
                self.refuse(id, Refusal::CrowdedOut);
            }
            // It has been refused, now or for what it had sent, and goes once it has been told.
            if self.connections.get(id).is_some_and(|c| !c.has_had_all()) {
                return Some(Place::Soon);
            }
            self.close_client(id);
            return Some(Place::Free);
        }
    }

    /// Has a few strangers, those that have been there longest, end with their next answers.
    fn ask_strangers_to_leave(&mut self) -> Place {
        let stage = |connection: &Connection| match &connection.kind {
            Kind::Client { peer, stage } if !peer.joined() => Some(*stage),
            Kind::Closing { .. } => Some(Stage::Answered),
            _ => None,
        };
        let mut open = Vec::new();
        let mut leaving = 0;
        for (id, connection) in self.connections.iter() {
            match stage(connection) {
                Some(Stage::Open) => open.push((connection.opened, id)),
                Some(_) => leaving += 1,
                None => {}
            }
        }
        if open.is_empty() && leaving == 0 {
            return Place::Never;
        }
        open.sort_unstable();
        for (_, id) in open.into_iter().take(LEAVING_MOST.saturating_sub(leaving)) {
            self.set_stage(id, Stage::Leaving);
        }
        Place::Soon
    }

    /// Has the system drop the first packet of whoever wants to connect from now on: it is sent again after a second,
    /// and finds the next process. Who is in the queue stays there, so that it can be emptied before the listener
    /// closes: what comes between the last look and the close would be reset. (A backlog of 0 would not do: clients
    /// whose last packet of the handshake finds the queue full think that they are connected.)
    pub fn hold_back_clients(&self) {
        let Some(listener) = &self.listener else { return };
        if let Err(error) = SockRef::from(listener).attach_filter(&[DROP_ALL]) {
            debug!("attach a filter: {error}");
        }
    }

    /// Takes all that still wait, whatever places there are, and listens no more: what the queue holds after that
    /// is reset.
    pub fn stop_listening(&mut self) {
        self.hold_back_clients();
        let Some(listener) = self.listener.take() else { return };
        let mut accepted: Vec<_> = self.next_client.take().into_iter().collect();
        let mut empty = 0;
        while empty < ACCEPT_LOOKS && accepted.len() < LAST_CLIENTS_MOST {
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
            self.take_client(Connection::accepted(stream, remote, now));
        }
    }

    /// Whether this process holds as many descriptors as it may: there is none for a copy of the listener either.
    fn is_out_of_descriptors(&self, error: &io::Error) -> bool {
        let told = error.raw_os_error() == Some(Errno::MFILE.raw_os_error());
        let listener = self.listener.as_ref().filter(|_| told);
        listener.is_some_and(|listener| matches!(fcntl_dupfd_cloexec(listener, 0), Err(Errno::MFILE)))
    }
}

/// A connection that was accepted and has no place yet.
pub type NextClient = (TcpStream, std::net::SocketAddr);
