//! Asking discovery: the whole list once, or a watch that goes on.

use std::net::SocketAddr;

use whinhill::interface::ListKind;

use crate::http::{self, Answer, HttpError};
use crate::lines::{Lines, TooLong};
use crate::roster::{Roster, RosterError};

/// Bytes that a list may have: thousands of servers at about 150 bytes each.
const LIST_MOST: usize = 1 << 20;
/// Lists in a row with an older version than ours after which discovery is believed to have started over.
const OLDER_MOST: u32 = 3;

#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    #[error("{0}")]
    Http(#[from] HttpError),
    #[error("status {0}")]
    Status(u16),
    #[error("{0}")]
    Line(#[from] TooLong),
    #[error("{0}")]
    Roster(#[from] RosterError),
    #[error("it ended before its end")]
    Short,
}

pub fn watch_request(discovery: SocketAddr, since: u64) -> Vec<u8> {
    http::get(&format!("/api/targets?follow=1&since={since}"), discovery)
}

pub fn fetch_request(discovery: SocketAddr) -> Vec<u8> {
    http::get("/api/targets", discovery)
}

/// What bytes of an answer came to.
#[derive(Debug, Default)]
pub struct Taken {
    pub lists: Vec<Roster>,
    /// The head of the answer or a line was completed. Bytes alone are no sign of life: a list may stall half-way.
    pub alive: bool,
    /// A list was told, or a watch's sign that nothing in it has changed.
    pub current: bool,
    /// Why the connection must end, after the lists before it.
    pub fault: Option<DiscoveryError>,
}

/// An answer under way. A watch brings lists without end, a fetch one at its end.
#[derive(Debug)]
pub struct Asking {
    watch: bool,
    answer: Answer,
    body: Vec<u8>,
    lines: Lines,
}

impl Asking {
    pub fn watch() -> Self {
        Asking { watch: true, answer: Answer::default(), body: Vec::new(), lines: Lines::new(LIST_MOST) }
    }

    pub fn fetch() -> Self {
        Asking { watch: false, ..Self::watch() }
    }

    pub fn is_watch(&self) -> bool {
        self.watch
    }

    /// Whether discovery has begun to answer.
    pub fn answered(&self) -> bool {
        self.answer.status().is_some()
    }

    /// Takes bytes. The lists that they complete count even where what follows them cannot be read: discovery has
    /// told them.
    pub fn take(&mut self, bytes: &[u8]) -> Taken {
        let (mut taken, had_head) = (Taken::default(), self.answered());
        let pushed = self.answer.push(bytes, &mut self.body).map_err(DiscoveryError::from);
        let read = match self.answer.status() {
            Some(status) if status != 200 => Err(DiscoveryError::Status(status)),
            _ if self.watch => self.take_lines(&mut taken),
            _ => self.take_body(&mut taken),
        };
        taken.alive = taken.current || self.answered() && !had_head;
        taken.fault = read.and(pushed).err();
        taken
    }

    /// A watch's lines: lists, and empty ones as signs of life.
    fn take_lines(&mut self, taken: &mut Taken) -> Result<(), DiscoveryError> {
        self.lines.push(&self.body);
        self.body.clear();
        while let Some(line) = self.lines.next_line()? {
            if !line.iter().all(u8::is_ascii_whitespace) {
                taken.lists.push(Roster::read(line)?);
            }
            taken.current = true;
        }
        Ok(())
    }

    /// A fetch's one list, once it is whole.
    fn take_body(&mut self, taken: &mut Taken) -> Result<(), DiscoveryError> {
        if self.answer.done() {
            taken.lists.push(Roster::read(&self.body)?);
            taken.current = true;
        } else if self.body.len() > LIST_MOST {
            return Err(TooLong(LIST_MOST).into());
        }
        Ok(())
    }

    /// The connection ended.
    pub fn ended(&self) -> Result<Vec<Roster>, DiscoveryError> {
        if !self.watch && self.answer.status() == Some(200) && self.answer.whole_at_end() {
            return Ok(vec![Roster::read(&self.body)?]);
        }
        Err(DiscoveryError::Short)
    }
}

/// The version of the list that we hold, and what a list that comes means against it.
#[derive(Debug, Default)]
pub struct Version {
    held: u64,
    older: u32,
}

impl Version {
    pub fn new(held: u64) -> Self {
        Version { held, older: 0 }
    }

    pub fn held(&self) -> u64 {
        self.held
    }

    /// How to take a list; `None` for one that is older than ours and must not undo it. A discovery that
    /// started over brings only older ones: after a few it is believed.
    pub fn take(&mut self, list: &Roster) -> Option<ListKind> {
        if list.version < self.held {
            self.older += 1;
            if !list.whole || self.older < OLDER_MOST {
                return None;
            }
        }
        (self.held, self.older) = (list.version, 0);
        Some(if list.whole { ListKind::Full } else { ListKind::Changes })
    }
}

#[cfg(test)]
mod tests;
