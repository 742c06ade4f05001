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

impl Node {
    pub fn accept(&mut self) {
        let mut failures = 0;
        while failures < ACCEPT_FAILURES_MOST {
            match self.listener.accept() {
                Ok((stream, _)) => self.take_client(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // A signal, or the client has gone: the next may be there.
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) =>
                {
                    self.counts.accepts_interrupted += 1;
                }
                Err(error) => {
                    self.counts.accepts_failed += 1;
                    debug!("accept: {error}");
                    // Only descriptors of our own are freed by a close of ours. The rest passes, or does not.
                    failures += 1;
                    if self.is_out_of_descriptors(&error) && self.evict_stranger() {
                        failures = 0;
                    }
                }
            }
        }
        self.deadlines.set(Due::Accept, self.clock.now() + ACCEPT_AGAIN);
    }

    fn take_client(&mut self, stream: TcpStream) {
        if self.peers >= self.peers_most && !self.evict_stranger() {
            self.counts.turned_away += 1;
            return;
        }
        let now = self.clock.now();
        let id = self.connections.insert(Connection::accepted(stream, now));
        (self.peers, self.strangers) = (self.peers + 1, self.strangers + 1);
        self.counts.accepted += 1;
        if !self.register(id) {
            self.close(id);
            return;
        }
        self.deadlines.set(Due::Connection(id), now + JOIN_WITHIN);
    }

    /// Closes the stranger that has been there longest, after a look at what it has sent: in a crowd that arrives
    /// at once, a collector's first message may be waiting to be read.
    fn evict_stranger(&mut self) -> bool {
        loop {
            let peers = self.connections.iter().filter(|(_, c)| matches!(c.kind, Kind::Peer(_)));
            let oldest = peers.filter(|(_, c)| !c.joined()).min_by_key(|(id, c)| (c.opened, *id));
            let Some((id, _)) = oldest else { return false };
            self.readable(id);
            match self.connections.get(id).map(Connection::joined) {
                Some(true) => {}
                Some(false) => {
                    self.refuse(id, "crowded out");
                    return true;
                }
                None => return true,
            }
        }
    }

    /// Answers with an error, as far as that goes at once, and closes.
    pub fn refuse(&mut self, id: Id, why: &str) {
        self.counts.refused += 1;
        debug!(?id, "refused: {why}");
        if let Some(connection) = self.connections.get_mut(id) {
            let _ = connection.send(ERROR);
        }
        self.close(id);
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
        if alive > 0 && connection.send(&answers).is_err() {
            self.close(id);
            return;
        }
        if let Err(why) = taken {
            if zone.is_some() || was_joined {
                info!("a collector is refused: {why}");
            }
            self.refuse(id, "unreadable");
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
