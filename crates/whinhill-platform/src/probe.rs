//! A probe of a server: one response reports its health and its load.

use std::net::SocketAddr;

use whinhill::interface::{LoadReport, ProbeOutcome};

use crate::http::{self, ResponseReader};
use crate::reports::parse_load_report;

/// Maximum size of a load report.
const MAX_BODY_BYTES: usize = 4 * 1024;

/// The request of a probe.
pub fn request(server: SocketAddr) -> Vec<u8> {
    http::get_request("/-/load", server)
}

/// A probe in progress.
#[derive(Clone, Debug, Default)]
pub struct ProbeExchange {
    response: ResponseReader,
    body: Vec<u8>,
    /// This is the second connection, after the first was reset.
    retried: bool,
}

impl ProbeExchange {
    /// Handles received bytes. Returns the result once the response is complete or invalid.
    pub fn receive(&mut self, bytes: &[u8]) -> Option<(ProbeOutcome, LoadReport)> {
        let pushed = self.response.push(bytes, &mut self.body);
        if pushed.is_err() || self.body.len() > MAX_BODY_BYTES {
            return Some((ProbeOutcome::Unanswered, LoadReport::default()));
        }
        self.response.is_complete().then(|| self.result())
    }

    /// Handles the end or the reset of the connection. `None`: the server is to be probed once more, within the same
    /// deadline. One reset may be caused by the network or a full backlog; a dead server resets the second connection
    /// as well.
    pub fn on_connection_end(&mut self) -> Option<(ProbeOutcome, LoadReport)> {
        if self.response.is_complete_at_eof() {
            return Some(self.result());
        }
        let was_retried =
            std::mem::replace(self, ProbeExchange { retried: true, ..ProbeExchange::default() }).retried;
        was_retried.then_some((ProbeOutcome::Unanswered, LoadReport::default()))
    }

    fn result(&self) -> (ProbeOutcome, LoadReport) {
        match self.response.status() {
            Some(200) => (ProbeOutcome::Ok, parse_load_report(&self.body)),
            // The server drains, or has too many probes at a time: its health is unknown.
            Some(503) => (ProbeOutcome::PushedBack, parse_load_report(&self.body)),
            _ => (ProbeOutcome::Aborted, LoadReport::default()),
        }
    }
}

#[cfg(test)]
mod tests;
