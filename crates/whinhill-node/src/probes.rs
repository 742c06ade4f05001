//! Probes of servers, limited in number and in time.

use std::net::SocketAddr;
use std::time::Duration;

use whinhill::interface::{EndpointId, Event, LoadReport, ProbeOutcome};
use whinhill_platform::probe::{self, ProbeExchange};

use crate::connection::{Connection, ConnectionKind};
use crate::connections::Id;
use crate::deadlines::DeadlineKind;
use crate::limits::*;
use crate::node::Node;

/// A probe whose connect failed immediately.
#[derive(Debug)]
pub struct PostponedProbe {
    endpoint: EndpointId,
    exchange: ProbeExchange,
    /// When the probe counts as unanswered.
    deadline: Duration,
}

impl Node {
    /// Probes a server now, or as soon as another probe has ended.
    pub fn queue_probe(&mut self, endpoint: EndpointId) {
        self.counters.probes_skipped += u64::from(!self.probe_queue.push(endpoint));
        self.start_probes();
    }

    fn start_probes(&mut self) {
        while let Some(endpoint) = self.probe_queue.pop_next() {
            let Some(addr) = self.server_addrs.get(endpoint.index).copied().flatten() else { continue };
            self.counters.probes += 1;
            let deadline = self.clock.now() + PROBE_TIMEOUT;
            if !self.open_probe(endpoint, addr, ProbeExchange::default(), deadline) {
                // Other probes would most likely fail now as well.
                break;
            }
        }
    }

    fn open_probe(
        &mut self,
        endpoint: EndpointId,
        addr: SocketAddr,
        exchange: ProbeExchange,
        deadline: Duration,
    ) -> bool {
        let (retry_exchange, time_left) = (exchange.clone(), deadline.saturating_sub(self.clock.now()));
        let kind = ConnectionKind::Probe { endpoint, exchange, deadline };
        let opened = self.connect(addr, kind, &probe::request(addr), time_left).is_some();
        if opened {
            self.probe_queue.add_connection(endpoint.index);
        } else {
            // The failure is local and says nothing about the server; a retry may succeed.
            self.postpone_probe(PostponedProbe { endpoint, exchange: retry_exchange, deadline });
        }
        opened
    }

    fn postpone_probe(&mut self, postponed: PostponedProbe) {
        self.probe_queue.set_postponed(postponed.endpoint.index, true);
        self.postponed_probes.push(postponed);
        self.deadlines.set_if_earlier(DeadlineKind::RetryProbes, self.clock.now() + CONNECT_RETRY_DELAY);
    }

    /// Retries the probes whose connects failed, up to their deadlines, and then starts queued ones.
    pub fn retry_postponed_probes(&mut self) {
        let now = self.clock.now();
        for postponed in std::mem::take(&mut self.postponed_probes) {
            let index = postponed.endpoint.index;
            self.probe_queue.set_postponed(index, false);
            let Some(addr) =
                self.server_addrs.get(index).copied().flatten().filter(|_| now < postponed.deadline)
            else {
                continue;
            };
            if self.probe_queue.has_capacity() {
                self.open_probe(postponed.endpoint, addr, postponed.exchange, postponed.deadline);
            } else {
                self.postpone_probe(postponed);
            }
        }
        self.start_probes();
    }

    /// Bytes of a probe's answer arrived.
    pub fn handle_probe_bytes(&mut self, id: Id, bytes: &[u8]) {
        let Some(Connection { kind: ConnectionKind::Probe { endpoint, exchange, .. }, .. }) =
            self.connections.get_mut(id)
        else {
            return;
        };
        let endpoint = *endpoint;
        if let Some((result, load)) = exchange.receive(bytes) {
            self.finish_probe(id, endpoint, result, load);
        }
    }

    /// The connection of a probe ended.
    pub fn handle_probe_eof(&mut self, id: Id) {
        let now = self.clock.now();
        let Some(Connection { kind: ConnectionKind::Probe { endpoint, exchange, deadline }, .. }) =
            self.connections.get_mut(id)
        else {
            return;
        };
        let (endpoint, deadline) = (*endpoint, *deadline);
        if let Some((result, load)) = exchange.on_connection_end() {
            return self.finish_probe(id, endpoint, result, load);
        }
        let exchange = std::mem::take(exchange);
        match self.server_addrs.get(endpoint.index).copied().flatten().filter(|_| now < deadline) {
            Some(addr) => {
                self.close(id);
                self.counters.probes_retried += 1;
                self.open_probe(endpoint, addr, exchange, deadline);
            }
            None => self.finish_probe(id, endpoint, ProbeOutcome::Unanswered, LoadReport::default()),
        }
    }

    /// A probe reached its deadline.
    pub fn handle_probe_timeout(&mut self, id: Id) {
        if let Some(Connection { kind: ConnectionKind::Probe { endpoint, .. }, .. }) =
            self.connections.get(id)
        {
            self.finish_probe(id, *endpoint, ProbeOutcome::Unanswered, LoadReport::default());
        }
    }

    /// Closes the connection of a probe and reports the result to the module.
    fn finish_probe(&mut self, id: Id, endpoint: EndpointId, result: ProbeOutcome, load: LoadReport) {
        if let Some(connection) = self.close(id).filter(|_| result == ProbeOutcome::Unanswered) {
            self.counters.probes_unanswered += 1;
            let name = self.names.server_name(endpoint.index).unwrap_or("-");
            let reason =
                if connection.has_received { "unreadable answer to a probe" } else { "no answer to a probe" };
            self.failure_log.log_server(name, connection.remote, reason);
        }
        self.pending_events.push(Event::Probed { endpoint, result, load });
        self.start_probes();
    }
}
