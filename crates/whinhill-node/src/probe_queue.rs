//! Servers that wait for a probe, bounded in number under way. No I/O.

use std::collections::VecDeque;

use whinhill::interface::Ep;

/// What is known of one server's probes.
#[derive(Clone, Copy, Debug, Default)]
struct ServerProbes {
    waiting: bool,
    /// Its connect failed on our side, and is to be made again.
    postponed: bool,
    connections: usize,
}

/// Probes of all servers. Each server waits at most once, and is not asked again while it is being asked.
#[derive(Debug)]
pub struct ProbeQueue {
    most: usize,
    connections: usize,
    waiting: VecDeque<Ep>,
    servers: Vec<ServerProbes>,
}

impl ProbeQueue {
    /// An empty queue that lets so many probes be under way at a time.
    pub fn new(most: usize) -> Self {
        ProbeQueue { most, connections: 0, waiting: VecDeque::new(), servers: Vec::new() }
    }

    /// A server is to be probed; `false` if that is under way or it waits already.
    pub fn push(&mut self, ep: Ep) -> bool {
        let server = self.server(ep.index);
        if server.waiting || server.postponed || server.connections > 0 {
            return false;
        }
        server.waiting = true;
        self.waiting.push_back(ep);
        true
    }

    /// The server to be probed now, if any waits and there is room.
    pub fn next(&mut self) -> Option<Ep> {
        if !self.has_room() {
            return None;
        }
        let ep = self.waiting.pop_front()?;
        self.server(ep.index).waiting = false;
        Some(ep)
    }

    /// A probe's connect failed on our side, and is to be made again; or that is over.
    pub fn postpone(&mut self, index: usize, postponed: bool) {
        self.server(index).postponed = postponed;
    }

    /// Whether another probe may be under way.
    pub fn has_room(&self) -> bool {
        self.connections < self.most
    }

    /// A probe's connection is under way.
    pub fn opened(&mut self, index: usize) {
        self.connections += 1;
        self.server(index).connections += 1;
    }

    /// A probe's connection is closed.
    pub fn closed(&mut self, index: usize) {
        self.connections = self.connections.saturating_sub(1);
        let server = self.server(index);
        server.connections = server.connections.saturating_sub(1);
    }

    /// The index may be another server's from now on.
    pub fn forget(&mut self, index: usize) {
        self.waiting.retain(|ep| ep.index != index);
        self.server(index).waiting = false;
    }

    fn server(&mut self, index: usize) -> &mut ServerProbes {
        let count = self.servers.len().max(index + 1);
        self.servers.resize_with(count, ServerProbes::default);
        &mut self.servers[index]
    }
}

#[cfg(test)]
mod tests;
