//! The bounded queue of servers to probe. No I/O.

use std::collections::{HashSet, VecDeque};

use whinhill_tables::ServerName;

/// The result of queueing a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pushed {
    /// The server was queued.
    Queued,
    /// It is queued already or being probed: that probe serves this request too.
    Pending,
    /// Too many servers are queued.
    Full,
}

/// Servers to probe. Each is queued at most once, and not while it is being probed.
#[derive(Debug)]
pub struct ProbeQueue {
    max_queued: usize,
    queued: VecDeque<ServerName>,
    /// Servers that are queued or being probed.
    pending: HashSet<ServerName>,
}

impl ProbeQueue {
    /// An empty queue for at most this many servers.
    pub fn new(max_queued: usize) -> Self {
        ProbeQueue { max_queued, queued: VecDeque::new(), pending: HashSet::new() }
    }

    /// Queues a server.
    pub fn push(&mut self, server: ServerName) -> Pushed {
        if self.pending.contains(&server) {
            return Pushed::Pending;
        }
        if self.queued.len() >= self.max_queued {
            return Pushed::Full;
        }
        self.pending.insert(server.clone());
        self.queued.push_back(server);
        Pushed::Queued
    }

    /// Takes the server that was queued first; it counts as being probed from now on.
    pub fn next(&mut self) -> Option<ServerName> {
        self.queued.pop_front()
    }

    /// Notes that a server's probe has ended, so that it may be queued again.
    pub fn finished(&mut self, server: &ServerName) {
        self.pending.remove(server);
    }

    /// The number of queued servers.
    pub fn queued(&self) -> usize {
        self.queued.len()
    }
}

#[cfg(test)]
mod tests;
