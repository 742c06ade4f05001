//! Connections of every kind: made, registered, read, written, timed and closed alike.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::accepting::Look;
use crate::clients::Refusal;
use crate::connection::{Connection, Incoming, Kind, Outgoing, Stage};
use crate::connections::Id;
use crate::deadlines::Due;
use crate::limits::*;
use crate::node::Node;

impl Node {
    /// Connects; `None` where that fails at once.
    pub fn connect(&mut self, addr: SocketAddr, kind: Kind, first: &[u8], within: Duration) -> Option<Id> {
        let now = self.clock.now();
        let connected = Connection::connect(addr, kind, first, now);
        let id = match connected {
            Ok(connection) => self.connections.insert(connection),
            Err(error) => {
                self.counts.connects_failed += 1;
                self.failures.log_to("connect", addr, &error);
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
        self.failures.log("register", &error);
        false
    }

    /// Closes a connection without a word to whoever it belonged to.
    pub fn close(&mut self, id: Id) -> Option<Connection> {
        let mut connection = self.connections.remove(id)?;
        connection.deregister(self.poll.registry());
        self.deadlines.clear(Due::Connection(id));
        self.deadlines.clear(Due::Register(id));
        self.deadlines.clear(Due::Transfer(id));
        match &connection.kind {
            Kind::Closing { .. } => self.peers -= 1,
            Kind::Client { peer, .. } => {
                self.peers -= 1;
                self.strangers -= usize::from(!peer.joined());
            }
            Kind::Probe { ep, .. } => self.probes.closed(ep.index),
            _ => {}
        }
        for at in [&mut self.calls_at, &mut self.news_at, &mut self.news_next_at, &mut self.watch_at] {
            *at = at.filter(|at| *at != id);
        }
        Some(connection)
    }

    pub fn writable(&mut self, id: Id) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let flushed = connection.flush();
        self.flushed(id, flushed);
    }

    /// Follows an attempt to write: the poll tells of room only where the system truly had none.
    pub fn flushed(&mut self, id: Id, flushed: io::Result<Outgoing>) {
        self.count_answers(id);
        let Some(connection) = self.connections.get_mut(id) else { return };
        match flushed {
            Ok(Outgoing::Written) if matches!(connection.kind, Kind::Closing { .. }) => {
                connection.end_writing()
            }
            Ok(Outgoing::Written | Outgoing::NotConnected) => {}
            Ok(Outgoing::Blocked) => self.look_soon(id),
            Ok(Outgoing::Short(error)) => self.fell_short(id, "write", &error),
            Err(error) => self.broken(id, &error),
        }
    }

    fn count_answers(&mut self, id: Id) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let now = self.clock.now();
        for received in connection.answers.take_left() {
            self.counts.answer_left(now.saturating_sub(received));
        }
    }

    /// A transfer failed for want of something on this machine: it is tried again soon.
    fn fell_short(&mut self, id: Id, call: &'static str, error: &io::Error) {
        self.counts.transfers_short += 1;
        if let Some(connection) = self.connections.get(id) {
            self.failures.log_on(id, connection, call, error);
        }
        self.look_soon(id);
    }

    /// A connection's transfer failed.
    fn broken(&mut self, id: Id, error: &io::Error) {
        let Some(connection) = self.connections.get(id) else { return };
        let up = connection.was_up();
        self.counts.transfers_failed += u64::from(up);
        self.counts.connects_refused += u64::from(!up);
        self.failures.log_on(id, connection, if up { "transfer" } else { "connect" }, error);
        match &connection.kind {
            // Nobody is left to answer.
            Kind::Client { .. } | Kind::Closing { .. } => {
                self.counts.abandoned += connection.answers.owed() as u64;
                self.close(id);
            }
            _ => self.ended(id),
        }
    }

    /// The poll told of something to read. If there is nothing the call may have said so too early, and if we had
    /// not read it before we were told, calls do that at present.
    pub fn readable_by_poll(&mut self, id: Id) {
        let heard = self.readable(id);
        let Some(connection) = self.connections.get_mut(id) else { return };
        let before = std::mem::take(&mut connection.read_untold);
        if heard {
            return;
        }
        if !before {
            self.counts.reads_missed += 1;
            self.look_closely_until = self.clock.now() + LOOK_CLOSELY_FOR;
        }
        self.look_soon(id);
    }

    /// Has a socket looked at soon, a few times, though the poll tells nothing.
    fn look_soon(&mut self, id: Id) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.looks_left = LOOKS_SOON;
        self.deadlines.set_by(Due::Transfer(id), self.clock.now() + TRANSFER_AGAIN);
    }

    /// One of those looks. A call that keeps saying that it would block is believed after all of them; a shortage
    /// is not, as long as it lasts.
    pub fn look_again_at(&mut self, id: Id) {
        let Some(connection) = self.connections.get(id) else { return };
        let left = connection.looks_left.saturating_sub(1);
        let short = self.counts.transfers_short;
        let heard = (0..TRIES_A_LOOK).fold(false, |heard, _| self.look_at(id) || heard);
        let Some(connection) = self.connections.get_mut(id) else { return };
        let in_vain = !heard && self.counts.transfers_short == short;
        connection.looks_left = if in_vain { left } else { LOOKS_SOON };
        if connection.looks_left > 0 {
            self.deadlines.set(Due::Transfer(id), self.clock.now() + TRANSFER_AGAIN);
        } else {
            self.deadlines.clear(Due::Transfer(id));
        }
    }

    /// Reads what has arrived; whether there was anything, the end included.
    pub fn readable(&mut self, id: Id) -> bool {
        let mut buffer = std::mem::take(&mut self.buffer);
        let mut reads = 0;
        while let Some(connection) = self.connections.get_mut(id) {
            if reads == READS_MOST {
                // Somebody who sends faster than we read must not keep the others waiting.
                self.unread.push(id);
                break;
            }
            match connection.read(&mut buffer) {
                Ok(Incoming::Bytes(n)) => self.bytes(id, &buffer[..n]),
                Ok(Incoming::End) => {
                    reads += 1;
                    self.ended(id);
                    break;
                }
                Ok(Incoming::Blocked) => break,
                Ok(Incoming::Short(error)) => {
                    self.fell_short(id, "read", &error);
                    break;
                }
                Err(error) => {
                    reads += 1;
                    self.broken(id, &error);
                    break;
                }
            }
            reads += 1;
        }
        self.buffer = buffer;
        self.follow_reads(id, reads > 0);
        reads > 0
    }

    /// After reads: more may be there than the last call told, if half a message is, or calls have been wrong of
    /// late. Then a client that is to end does so.
    fn follow_reads(&mut self, id: Id, heard: bool) {
        let Some(connection) = self.connections.get(id) else { return };
        let closely = heard && self.clock.now() < self.look_closely_until;
        if closely || connection.is_unfinished() && connection.looks_left == 0 && heard {
            self.look_soon(id);
        }
        self.end_after_answer(id);
    }

    fn bytes(&mut self, id: Id, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        match &mut connection.kind {
            Kind::Client { .. } => self.client_bytes(id, bytes),
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
            Kind::Client { .. } => self.client_ended(id),
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
        self.accept(Look::Untold);
        self.take_signals();
        let all: Vec<Id> = self.connections.iter().map(|(id, _)| id).collect();
        for id in all {
            self.look_at(id);
        }
        self.deadlines.set(Due::Look, self.clock.now() + LOOK_EVERY);
    }

    /// Writes what is still to be written and reads what has arrived; whether there was anything to read.
    pub fn look_at(&mut self, id: Id) -> bool {
        if self.connections.get(id).is_some_and(|c| !c.all_written()) {
            self.writable(id);
        }
        let heard = self.readable(id);
        if let Some(connection) = self.connections.get_mut(id) {
            connection.read_untold |= heard;
        }
        heard
    }

    /// Looks at a connection whose time is over. True: whether anything has arrived is not known, since reads fail
    /// for want of something, and the limit is to be put off; that is so for a bounded time.
    pub fn look_before_limit(&mut self, id: Id) -> bool {
        self.look_at(id);
        let Some(connection) = self.connections.get_mut(id) else { return false };
        let unknown = connection.read_failed && connection.postponed < POSTPONED_MOST;
        connection.postponed += u32::from(unknown);
        unknown
    }

    /// A connection's time is over, unless what has arrived gives it more or ends what it waits for.
    pub fn timed_out(&mut self, id: Id) {
        let now = self.clock.now();
        self.deadlines.set(Due::Connection(id), now);
        let unknown = self.look_before_limit(id);
        if !self.deadlines.pop_at(Due::Connection(id), now) {
            return;
        }
        if unknown {
            return self.deadlines.set(Due::Connection(id), now + TRANSFER_AGAIN);
        }
        let Some(connection) = self.connections.get(id) else { return };
        match &connection.kind {
            Kind::Client { stage: Stage::Open, .. } => self.warn(id),
            Kind::Client { stage: Stage::Leaving, .. } => self.refuse(id, Refusal::Silent),
            Kind::Client { .. } => self.begin_close(id),
            Kind::Closing { .. } => self.close_client(id),
            Kind::News => self.news_ended(id, "never came up"),
            Kind::Calls(_) => self.call_lost("silent"),
            Kind::Asking(_) => self.discovery_failed(id, "silent"),
            Kind::Probe { .. } => self.probe_timed_out(id),
        }
    }
}
