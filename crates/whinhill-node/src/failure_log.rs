//! Log lines about failed system calls: which call, on which connection and to which peer. Their number is limited;
//! further failures are only counted.

use std::fmt::Display;
use std::net::SocketAddr;

use tracing::info;

use crate::connection::Connection;
use crate::connections::Id;

/// Lines between two status lines: enough to see what fails, and few enough to keep the log readable.
const MAX_LINES_PER_STATUS: u32 = 20;

/// Counts the lines logged since the last status line and those suppressed.
#[derive(Debug, Default)]
pub struct FailureLog {
    lines_logged: u32,
    lines_suppressed: u64,
}

impl FailureLog {
    fn admit(&mut self) -> bool {
        if self.lines_logged >= MAX_LINES_PER_STATUS {
            self.lines_suppressed += 1;
            return false;
        }
        self.lines_logged += 1;
        true
    }

    /// Logs a call that belongs to no connection.
    pub fn log(&mut self, call: &str, error: &dyn Display) {
        if self.admit() {
            info!("{call}: {error}");
        }
    }

    /// Logs a call to an address.
    pub fn log_on_address(&mut self, call: &str, addr: SocketAddr, error: &dyn Display) {
        if self.admit() {
            info!(%addr, "{call}: {error}");
        }
    }

    /// Logs a call on a connection.
    pub fn log_on_connection(&mut self, id: Id, connection: &Connection, call: &str, error: &dyn Display) {
        if self.admit() {
            let (remote, purpose) = (connection.remote, connection.purpose());
            info!(?id, %remote, purpose, owed = connection.pending_answers.count(), "{call}: {error}");
        }
    }

    /// Logs a connection that was closed before all answers were written.
    pub fn log_close(&mut self, id: Id, connection: &Connection, why: &str) {
        if self.admit() {
            let (remote, purpose) = (connection.remote, connection.purpose());
            info!(?id, %remote, purpose, owed = connection.pending_answers.count(), "{why}");
        }
    }

    /// Logs a server that did not answer a probe.
    pub fn log_server(&mut self, name: &str, addr: SocketAddr, why: &str) {
        if self.admit() {
            info!(server = name, %addr, "{why}");
        }
    }

    /// Begins a new period; returns how many lines the last one suppressed.
    pub fn begin_period(&mut self) -> u64 {
        self.lines_logged = 0;
        std::mem::take(&mut self.lines_suppressed)
    }
}
