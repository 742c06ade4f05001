//! The queue of servers to probe, with a limit on concurrent probes. No I/O.

use std::collections::VecDeque;

use whinhill::interface::EndpointId;

/// The probes of one server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerProbes {
    queued: bool,
    /// A connect failed locally and is to be retried.
    postponed: bool,
    connections: usize,
}

/// The probes of all servers. Each server is queued at most once, and not while it is being probed.
#[derive(Debug)]
pub struct ProbeQueue {
    max_connections: usize,
    connections: usize,
    queued: VecDeque<EndpointId>,
    servers: Vec<ServerProbes>,
}

impl ProbeQueue {
    /// An empty queue that allows `max_connections` probes at a time.
    pub fn new(max_connections: usize) -> Self {
        ProbeQueue { max_connections, connections: 0, queued: VecDeque::new(), servers: Vec::new() }
    }

    /// Queues a server; `false` if it is queued or being probed already.
    pub fn push(&mut self, endpoint: EndpointId) -> bool {
        let server = self.server(endpoint.index);
        if server.queued || server.postponed || server.connections > 0 {
            return false;
        }
        server.queued = true;
        self.queued.push_back(endpoint);
        true
    }

    /// The server to probe now, if one is queued and the limit allows it.
    pub fn pop_next(&mut self) -> Option<EndpointId> {
        if !self.has_capacity() {
            return None;
        }
        let endpoint = self.queued.pop_front()?;
        self.server(endpoint.index).queued = false;
        Some(endpoint)
    }

    /// Sets whether a connect to the server failed locally and is to be retried.
    pub fn set_postponed(&mut self, index: usize, postponed: bool) {
        self.server(index).postponed = postponed;
    }

    /// Whether another probe may be started.
    pub fn has_capacity(&self) -> bool {
        self.connections < self.max_connections
    }

    /// Counts a connection that was opened for a probe.
    pub fn add_connection(&mut self, index: usize) {
        self.connections += 1;
        self.server(index).connections += 1;
    }

    /// Counts a probe's connection as closed.
    pub fn remove_connection(&mut self, index: usize) {
        self.connections = self.connections.saturating_sub(1);
        let server = self.server(index);
        server.connections = server.connections.saturating_sub(1);
    }

    /// Removes the index from the queue; it may be reused for another server.
    pub fn forget(&mut self, index: usize) {
        self.queued.retain(|endpoint| endpoint.index != index);
        self.server(index).queued = false;
    }

    fn server(&mut self, index: usize) -> &mut ServerProbes {
        let count = self.servers.len().max(index + 1);
        self.servers.resize_with(count, ServerProbes::default);
        &mut self.servers[index]
    }
}

#[cfg(test)]
mod tests;
