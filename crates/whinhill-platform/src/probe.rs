//! A probe of one server: its health and its own account of its load, in one answer.

use std::net::SocketAddr;

use whinhill::interface::{LoadReport, Probe};

use crate::http::{self, Answer};
use crate::reports::load_line;

/// Bytes that a load report may have.
const BODY_MOST: usize = 4 * 1024;

pub fn request(server: SocketAddr) -> Vec<u8> {
    http::get("/-/load", server)
}

#[derive(Clone, Debug, Default)]
pub struct Probing {
    answer: Answer,
    body: Vec<u8>,
    /// On the second connection, after the first was reset.
    again: bool,
}

impl Probing {
    /// Takes bytes; the result, once the answer is whole.
    pub fn take(&mut self, bytes: &[u8]) -> Option<(Probe, LoadReport)> {
        let read = self.answer.push(bytes, &mut self.body);
        if read.is_err() || self.body.len() > BODY_MOST {
            return Some((Probe::Unanswered, LoadReport::default()));
        }
        self.answer.done().then(|| self.result())
    }

    /// The connection ended or was reset; `None`: the server is to be asked once more, within the same time. One
    /// reset may be chance, by the path or a full backlog; a server that is dead resets the second as well.
    pub fn ended(&mut self) -> Option<(Probe, LoadReport)> {
        if self.answer.whole_at_end() {
            return Some(self.result());
        }
        let asked_again = std::mem::replace(self, Probing { again: true, ..Probing::default() }).again;
        asked_again.then_some((Probe::Unanswered, LoadReport::default()))
    }

    fn result(&self) -> (Probe, LoadReport) {
        match self.answer.status() {
            Some(200) => (Probe::Ok, load_line(&self.body)),
            // It drains, or has too many probes at a time: no word on its health.
            Some(503) => (Probe::PushedBack, load_line(&self.body)),
            _ => (Probe::Aborted, LoadReport::default()),
        }
    }
}

#[cfg(test)]
mod tests;
