//! Whoever connects to the assigner's address.

use std::io;

use mio::Token;
use tracing::{debug, info};
use whinhill_platform::peer::{Heard, ALIVE, ERROR};

use crate::connection::{Connection, Kind};
use crate::deadlines::Due;
use crate::limits::*;
use crate::node::Node;

impl Node {
    pub fn accept(&mut self) {
        loop {
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) =>
                {
                    continue;
                }
                Err(error) => {
                    // Out of descriptors: the oldest stranger goes, and accepting goes on.
                    self.counts.accepts_failed += 1;
                    debug!("accept: {error}");
                    if !self.evict_stranger() {
                        let at = self.clock.now() + ACCEPT_AGAIN;
                        return self.deadlines.set(Due::Accept, at);
                    }
                    continue;
                }
            };
            let peers = self.connections.iter().filter(|(_, c)| matches!(c.kind, Kind::Peer(_))).count();
            if peers >= self.peers_most && !self.evict_stranger() {
                self.counts.turned_away += 1;
                continue;
            }
            let now = self.clock.now();
            let key = self.connections.insert(Connection::accepted(stream, now));
            self.strangers += 1;
            self.counts.accepted += 1;
            if self.connections[key].register(self.poll.registry(), Token(key)).is_err() {
                self.close(key);
                continue;
            }
            self.deadlines.set(Due::Connection(key), now + JOIN_WITHIN);
        }
    }

    /// Closes the stranger that has been there longest, after a look at what it has sent: in a crowd that arrives
    /// at once, a collector's first message may be waiting to be read.
    fn evict_stranger(&mut self) -> bool {
        loop {
            let peers = self.connections.iter().filter(|(_, c)| matches!(c.kind, Kind::Peer(_)));
            let oldest = peers.filter(|(_, c)| !c.joined()).min_by_key(|(_, c)| c.opened);
            let Some((key, _)) = oldest else { return false };
            self.readable(key);
            match self.connections.get(key).map(Connection::joined) {
                Some(true) => {}
                Some(false) => {
                    self.refuse(key, "crowded out");
                    return true;
                }
                None => return true,
            }
        }
    }

    /// Answers with an error, as far as that goes at once, and closes.
    pub fn refuse(&mut self, key: usize, why: &str) {
        self.counts.refused += 1;
        debug!(key, "refused: {why}");
        if let Some(connection) = self.connections.get_mut(key) {
            let _ = connection.send(ERROR);
        }
        self.close(key);
    }

    pub fn peer_bytes(&mut self, key: usize, bytes: &[u8]) {
        let Some(Connection { kind: Kind::Peer(peer), .. }) = self.connections.get_mut(key) else { return };
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
            self.deadlines.clear(Due::Connection(key));
            self.bound_collectors(key);
        }
        let answers = ALIVE.repeat(alive);
        let connection = &mut self.connections[key];
        if alive > 0 && connection.send(&answers).is_err() {
            self.close(key);
            return;
        }
        if let Err(why) = taken {
            if zone.is_some() || was_joined {
                info!("a collector is refused: {why}");
            }
            self.refuse(key, "unreadable");
        }
    }

    /// A collector that lost its connection comes back on a new one; the old may never tell that it ended. The one
    /// that joined last stays, though it may have connected first.
    fn bound_collectors(&mut self, newest: usize) {
        let zone = |c: &Connection| match &c.kind {
            Kind::Peer(peer) => peer.zone(),
            _ => None,
        };
        let wanted = zone(&self.connections[newest]);
        let same = || self.connections.iter().filter(|(_, c)| wanted.is_some() && zone(c) == wanted);
        if same().count() > COLLECTORS_MOST {
            let others = same().filter(|(key, _)| *key != newest);
            let oldest = others.min_by_key(|(_, c)| c.opened).map(|(key, _)| key);
            oldest.into_iter().for_each(|key| drop(self.close(key)));
        }
    }
}
