//! Connections of every kind: made, registered, read, written, timed and closed alike.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tracing::debug;

use crate::connection::{Connection, Kind};
use crate::connections::Id;
use crate::deadlines::Due;
use crate::limits::*;
use crate::node::Node;
use crate::peers::Refusal;

impl Node {
    /// Connects; `None` where that fails at once.
    pub fn connect(&mut self, addr: SocketAddr, kind: Kind, first: &[u8], within: Duration) -> Option<Id> {
        let now = self.clock.now();
        let connected = Connection::connect(addr, kind, first, now);
        let id = match connected {
            Ok(connection) => self.connections.insert(connection),
            Err(error) => {
                self.counts.connects_failed += 1;
                tracing::debug!(%addr, "connect: {error}");
                return None;
            }
        };
        if !self.register(id) {
            self.connections.remove(id);
            return None;
        }
        self.deadlines.set(Due::Connection(id), now + within);
        Some(id)
    }

    pub fn register(&mut self, id: Id) -> bool {
        let registry = self.poll.registry();
        let Some(connection) = self.connections.get_mut(id) else { return false };
        let Err(error) = connection.register(registry, id.token()) else { return true };
        // Or it would count as registered the next time.
        connection.deregister(registry);
        self.counts.registers_failed += 1;
        debug!(?id, "register: {error}");
        false
    }

    /// Closes a connection without a word to whoever it belonged to.
    pub fn close(&mut self, id: Id) -> Option<Connection> {
        let mut connection = self.connections.remove(id)?;
        connection.deregister(self.poll.registry());
        self.deadlines.clear(Due::Connection(id));
        self.deadlines.clear(Due::Register(id));
        match &connection.kind {
            Kind::Closing { .. } => self.peers -= 1,
            Kind::Peer(peer) => {
                self.peers -= 1;
                self.strangers -= usize::from(!peer.joined());
            }
            Kind::Probe { .. } => self.probing -= 1,
            _ => {}
        }
        for at in [&mut self.calls_at, &mut self.news_at, &mut self.news_next_at, &mut self.watch_at] {
            *at = at.filter(|at| *at != id);
        }
        Some(connection)
    }

    pub fn writable(&mut self, id: Id) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        match connection.flush() {
            Ok(()) if matches!(connection.kind, Kind::Closing { .. }) => connection.end_writing(),
            Ok(()) => {}
            Err(error) => self.broken(id, &error),
        }
    }

    /// A connection's transfer failed.
    fn broken(&mut self, id: Id, error: &io::Error) {
        self.counts.transfers_failed += 1;
        debug!(?id, "broken: {error}");
        match self.connections.get(id).map(|c| &c.kind) {
            // Nobody is left to answer.
            Some(Kind::Peer(_) | Kind::Closing { .. }) => drop(self.close(id)),
            _ => self.ended(id),
        }
    }

    pub fn readable(&mut self, id: Id) {
        let mut buffer = std::mem::take(&mut self.buffer);
        let mut reads = 0;
        while let Some(connection) = self.connections.get_mut(id) {
            if reads == READS_MOST {
                // Somebody who sends faster than we read must not keep the others waiting.
                self.unread.push(id);
                break;
            }
            reads += 1;
            match connection.read(&mut buffer) {
                Ok(None) => break,
                Ok(Some(0)) => {
                    self.ended(id);
                    break;
                }
                Err(error) => {
                    self.broken(id, &error);
                    break;
                }
                Ok(Some(n)) => self.bytes(id, &buffer[..n]),
            }
        }
        self.buffer = buffer;
    }

    fn bytes(&mut self, id: Id, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        match &mut connection.kind {
            Kind::Peer(_) => self.peer_bytes(id, bytes),
            Kind::Closing { .. } => self.discard(id, bytes.len()),
            Kind::News => self.news_bytes(id, bytes),
            Kind::Calls(_) => self.call_bytes(id, bytes),
            Kind::Asking(_) => self.discovery_bytes(id, bytes),
            Kind::Probe { .. } => self.probe_bytes(id, bytes),
        }
    }

    /// The other side closed or reset a connection, or it never came up.
    fn ended(&mut self, id: Id) {
        let Some(connection) = self.connections.get(id) else { return };
        match &connection.kind {
            Kind::Peer(_) => self.client_ended(id),
            // What is still to be written may be read; the deadline bounds it.
            Kind::Closing { .. } if !connection.all_written() => {}
            Kind::Closing { .. } => self.close_client(id),
            Kind::News => self.news_ended(id, "broken"),
            Kind::Calls(_) => self.call_lost("broken"),
            Kind::Asking(_) => self.discovery_ended(id),
            Kind::Probe { .. } => self.probe_ended(id),
        }
    }

    /// Looks at every socket, and for signals, without having been told to by the poll.
    pub fn look_at_all(&mut self) {
        self.accept(ACCEPT_LOOKS_UNTOLD, false);
        self.take_signals();
        let all: Vec<Id> = self.connections.iter().map(|(id, _)| id).collect();
        all.into_iter().for_each(|id| self.look_at(id));
        self.deadlines.set(Due::Look, self.clock.now() + LOOK_EVERY);
    }

    /// Writes what is still to be written and reads what has arrived.
    pub fn look_at(&mut self, id: Id) {
        if self.connections.get(id).is_some_and(|c| !c.all_written()) {
            self.writable(id);
        }
        self.readable(id);
    }

    /// A connection's time is over, unless what has arrived gives it more or ends what it waits for.
    pub fn timed_out(&mut self, id: Id) {
        let now = self.clock.now();
        self.deadlines.set(Due::Connection(id), now);
        self.look_at(id);
        if !self.deadlines.pop_at(Due::Connection(id), now) {
            return;
        }
        let Some(connection) = self.connections.get(id) else { return };
        match &connection.kind {
            Kind::Peer(_) => self.refuse(id, Refusal::Silent),
            Kind::Closing { .. } => self.close_client(id),
            Kind::News => self.news_ended(id, "never came up"),
            Kind::Calls(_) => self.call_lost("silent"),
            Kind::Asking(_) => self.discovery_failed(id, "silent"),
            Kind::Probe { .. } => self.probe_timed_out(id),
        }
    }
}
