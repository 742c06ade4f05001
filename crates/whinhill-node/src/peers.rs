//! Whoever connects to the assigner's address.

use std::io;

use mio::net::TcpStream;
use rustix::io::{fcntl_dupfd_cloexec, Errno};
use tracing::{debug, info};
use whinhill_platform::peer::{Heard, ALIVE, ERROR};

use crate::connection::{Connection, Kind};
use crate::connections::Id;
use crate::deadlines::Due;
use crate::limits::*;
use crate::node::Node;

/// Why a client is answered with an error and closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It sends what is no message.
    Unreadable,
    /// It has not joined in time.
    Silent,
    /// Others need its place.
    CrowdedOut,
}

impl Node {
    /// Takes whoever waits in the listen queue, until it is empty `looks` times in a row. Whoever is found without
    /// the poll having `told` of it, or after the queue seemed empty, may not be the last.
    pub fn accept(&mut self, looks: u32, told: bool) {
        let (mut failures, mut empty, mut again) = (0, 0, false);
        while failures < ACCEPT_FAILURES_MOST && empty < looks {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    again |= empty > 0 || !told;
                    empty = 0;
                    self.take_client(stream);
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
                    debug!("accept: {error}");
                    // Only descriptors of our own are freed by a close of ours. The rest passes, or does not.
                    failures += 1;
                    if self.is_out_of_descriptors(&error) && self.make_place() {
                        failures = 0;
                    }
                }
            }
        }
        self.counts.accepts_missed += u64::from(again);
        if again || failures > 0 {
            self.deadlines.set(Due::Accept, self.clock.now() + ACCEPT_AGAIN);
        }
    }

    fn take_client(&mut self, stream: TcpStream) {
        if self.peers >= self.peers_most && !self.make_place() {
            return self.turn_away(stream);
        }
        let now = self.clock.now();
        let id = self.connections.insert(Connection::accepted(stream, now));
        (self.peers, self.strangers) = (self.peers + 1, self.strangers + 1);
        self.counts.accepted += 1;
        debug!(?id, "accepted");
        self.deadlines.set(Due::Connection(id), now + JOIN_WITHIN);
        self.register_client(id);
    }

    /// Has the poll tell of a client; where that fails for a moment it is tried again.
    pub fn register_client(&mut self, id: Id) {
        if self.connections.get(id).is_some() && !self.register(id) {
            self.deadlines.set(Due::Register(id), self.clock.now() + REGISTER_AGAIN);
        }
    }

    /// All places are taken by collectors: the client is answered, and that is all.
    fn turn_away(&mut self, stream: TcpStream) {
        self.counts.turned_away += 1;
        let mut connection = Connection::accepted(stream, self.clock.now());
        connection.discard(DISCARD_MOST);
        if connection.send(ERROR).is_err() || !connection.all_written() {
            self.counts.closed_unanswered += 1;
        }
    }

    /// Frees a descriptor: the oldest client that has had its last answer goes, else the oldest stranger.
    fn make_place(&mut self) -> bool {
        let closing = self.connections.iter().filter(|(_, c)| matches!(c.kind, Kind::Closing { .. }));
        let Some((id, _)) = closing.min_by_key(|(id, c)| (c.opened, *id)) else {
            return self.evict_stranger();
        };
        self.close_client(id);
        true
    }

    /// Closes the stranger that has been there longest, after a look at what it has sent: in a crowd that arrives
    /// at once, a collector's first message may be waiting to be read.
    fn evict_stranger(&mut self) -> bool {
        loop {
            let peers = self.connections.iter().filter(|(_, c)| matches!(c.kind, Kind::Peer(_)));
            let oldest = peers.filter(|(_, c)| !c.joined()).min_by_key(|(id, c)| (c.opened, *id));
            let Some((id, _)) = oldest else { return false };
            self.readable(id);
            match self.connections.get(id).map(|c| &c.kind) {
                Some(Kind::Peer(peer)) if peer.joined() => {}
                Some(Kind::Peer(_)) => {
                    self.refuse(id, Refusal::CrowdedOut);
                    self.close_client(id);
                    return true;
                }
                // It was refused for what it had sent, and has its answer.
                Some(_) => {
                    self.close_client(id);
                    return true;
                }
                None => return true,
            }
        }
    }

    /// Answers with an error. The connection ends once that has left and the client has ended its side, or when
    /// that takes too long.
    pub fn refuse(&mut self, id: Id, why: Refusal) {
        debug!(?id, "refused: {why:?}");
        match why {
            Refusal::Unreadable => self.counts.refused_unreadable += 1,
            Refusal::Silent => self.counts.refused_silent += 1,
            Refusal::CrowdedOut => self.counts.refused_crowded_out += 1,
        }
        let Some(connection) = self.connections.get_mut(id) else { return };
        if connection.send(ERROR).is_err() {
            self.counts.closed_unanswered += 1;
            self.close(id);
            return;
        }
        self.begin_close(id);
    }

    /// Nothing more is answered: writes what is left, ends our side, and waits for the client's end.
    pub fn begin_close(&mut self, id: Id) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let Kind::Peer(peer) = &connection.kind else { return };
        self.strangers -= usize::from(!peer.joined());
        connection.kind = Kind::Closing { discarded: 0 };
        connection.end_writing();
        self.deadlines.set(Due::Connection(id), self.clock.now() + CLOSE_WITHIN);
    }

    /// A client that has had its last answer goes on to send.
    pub fn discard(&mut self, id: Id, bytes: usize) {
        let Some(Connection { kind: Kind::Closing { discarded }, .. }) = self.connections.get_mut(id) else {
            return;
        };
        *discarded += bytes;
        if *discarded > DISCARD_MOST {
            self.close_client(id);
        }
    }

    /// Closes a client's connection, and counts it if an answer is still to be written.
    pub fn close_client(&mut self, id: Id) {
        if let Some(connection) = self.close(id) {
            debug!(?id, "closed");
            self.counts.closed_unanswered += u64::from(!connection.all_written());
        }
    }

    /// A client ended its side: what it has asked is still answered, and half a message gets an error.
    pub fn client_ended(&mut self, id: Id) {
        let Some(connection) = self.connections.get(id) else { return };
        match &connection.kind {
            Kind::Peer(peer) if peer.unfinished() && !peer.joined() => self.refuse(id, Refusal::Unreadable),
            Kind::Peer(_) if !connection.all_written() => self.begin_close(id),
            _ => {
                debug!(?id, "ended by the client");
                self.close(id);
            }
        }
    }

    pub fn peer_bytes(&mut self, id: Id, bytes: &[u8]) {
        let Some(Connection { kind: Kind::Peer(peer), .. }) = self.connections.get_mut(id) else { return };
        let (mut heard, was_joined) = (Vec::new(), peer.joined());
        let taken = peer.take(bytes, &self.names, &mut heard);
        let (mut alive, mut zone) = (0, None);
        for heard in heard {
            match heard {
                Heard::Report(event) => {
                    self.counts.reports += 1;
                    self.pending.push(event);
                }
                Heard::AreYouAlive => alive += 1,
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
        let answers = ALIVE.repeat(alive);
        let Some(connection) = self.connections.get_mut(id) else { return };
        self.counts.answered += alive as u64;
        if alive > 0 && connection.send(&answers).is_err() {
            // It leaves more unread than the platform allows.
            debug!(?id, "closed: it does not read its answers");
            self.counts.closed_unread += 1;
            self.close(id);
            return;
        }
        if let Err(why) = taken {
            if zone.is_some() || was_joined {
                info!("a collector is refused: {why}");
            }
            self.refuse(id, Refusal::Unreadable);
        }
    }

    /// A collector that lost its connection comes back on a new one; the old may never tell that it ended. The one
    /// that joined last stays, though it may have connected first.
    fn bound_collectors(&mut self, newest: Id) {
        let zone = |c: &Connection| match &c.kind {
            Kind::Peer(peer) => peer.zone(),
            _ => None,
        };
        let wanted = self.connections.get(newest).and_then(zone);
        let same = || self.connections.iter().filter(|(_, c)| wanted.is_some() && zone(c) == wanted);
        if same().count() > COLLECTORS_MOST {
            let others = same().filter(|(id, _)| *id != newest);
            let oldest = others.min_by_key(|(_, c)| c.opened).map(|(id, _)| id);
            oldest.into_iter().for_each(|id| drop(self.close(id)));
        }
    }

    /// Whether this process holds as many descriptors as it may: there is none for a copy of the listener either.
    fn is_out_of_descriptors(&self, error: &io::Error) -> bool {
        let told = error.raw_os_error() == Some(Errno::MFILE.raw_os_error());
        told && matches!(fcntl_dupfd_cloexec(&self.listener, 0), Err(Errno::MFILE))
    }
}
