//! Servers that wait for a probe, bounded in number. No I/O.

use std::collections::{HashSet, VecDeque};

use whinhill_tables::ServerName;

/// What became of an order to probe a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pushed {
    /// The server waits now.
    Waits,
    /// It waits already or is being asked: that probe answers this order too.
    Pending,
    /// Too many servers wait.
    Full,
}

/// Servers to be probed. Each waits at most once, and does not wait while it is being asked.
#[derive(Debug)]
pub struct ProbeQueue {
    most: usize,
    waiting: VecDeque<ServerName>,
    /// Servers that wait or are being asked.
    pending: HashSet<ServerName>,
}

impl ProbeQueue {
    /// An empty queue in which so many servers may wait.
    pub fn new(most: usize) -> Self {
        ProbeQueue { most, waiting: VecDeque::new(), pending: HashSet::new() }
    }

    /// A server is to be probed.
    pub fn push(&mut self, server: ServerName) -> Pushed {
        if self.pending.contains(&server) {
            return Pushed::Pending;
        }
        if self.waiting.len() >= self.most {
            return Pushed::Full;
        }
        self.pending.insert(server.clone());
        self.waiting.push_back(server);
        Pushed::Waits
    }

    /// The server that has waited longest; it is being asked from now on.
    pub fn next(&mut self) -> Option<ServerName> {
        self.waiting.pop_front()
    }

    /// A server's probe has ended, so that it may be probed again.
    pub fn ended(&mut self, server: &ServerName) {
        self.pending.remove(server);
    }

    /// Servers that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

#[cfg(test)]
mod tests;
