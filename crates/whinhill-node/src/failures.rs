//! Log lines about failed calls of the system, bounded in number: each says which call, on what and to whom. A flood
//! of failures is counted.

use std::fmt::Display;
use std::net::SocketAddr;

use tracing::info;

use crate::connection::Connection;
use crate::connections::Id;

/// Lines between two status lines: enough to see what fails, and little in a log that is read.
const LINES_MOST: u32 = 20;

/// What may still be logged before the next status line, and what was not.
#[derive(Debug, Default)]
pub struct FailureLog {
    lines: u32,
    left_out: u64,
}

impl FailureLog {
    fn admits(&mut self) -> bool {
        if self.lines >= LINES_MOST {
            self.left_out += 1;
            return false;
        }
        self.lines += 1;
        true
    }

    /// A call that belongs to no connection.
    pub fn log(&mut self, call: &str, error: &dyn Display) {
        if self.admits() {
            info!("{call}: {error}");
        }
    }

    /// A call to an address.
    pub fn log_to(&mut self, call: &str, addr: SocketAddr, error: &dyn Display) {
        if self.admits() {
            info!(%addr, "{call}: {error}");
        }
    }

    /// A call on a connection.
    pub fn log_on(&mut self, id: Id, connection: &Connection, call: &str, error: &dyn Display) {
        if self.admits() {
            let (remote, purpose) = (connection.remote, connection.purpose());
            info!(?id, %remote, purpose, owed = connection.answers.owed(), "{call}: {error}");
        }
    }

    /// A connection that ended though something was owed.
    pub fn log_close(&mut self, id: Id, connection: &Connection, why: &str) {
        if self.admits() {
            let (remote, purpose) = (connection.remote, connection.purpose());
            info!(?id, %remote, purpose, owed = connection.answers.owed(), "{why}");
        }
    }

    /// A server that did not answer a probe.
    pub fn log_server(&mut self, name: &str, addr: SocketAddr, why: &str) {
        if self.admits() {
            info!(server = name, %addr, "{why}");
        }
    }

    /// Begins a new period; how many lines the last one left out.
    pub fn begin_period(&mut self) -> u64 {
        self.lines = 0;
        std::mem::take(&mut self.left_out)
    }
}
