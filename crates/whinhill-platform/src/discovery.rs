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

    /// Takes bytes and returns the lists that they complete.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Vec<Roster>, DiscoveryError> {
        self.answer.push(bytes, &mut self.body)?;
        if let Some(status) = self.answer.status().filter(|status| *status != 200) {
            return Err(DiscoveryError::Status(status));
        }
        if !self.watch {
            return match self.answer.done() {
                true => Ok(vec![Roster::read(&self.body)?]),
                false if self.body.len() > LIST_MOST => Err(TooLong(LIST_MOST).into()),
                false => Ok(Vec::new()),
            };
        }
        self.lines.push(&self.body);
        self.body.clear();
        let mut lists = Vec::new();
        while let Some(line) = self.lines.next_line()? {
            if !line.iter().all(u8::is_ascii_whitespace) {
                lists.push(Roster::read(line)?);
            }
        }
        Ok(lists)
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
mod tests {
    use super::*;

    fn list(version: u64, whole: bool) -> Roster {
        Roster { version, whole, servers: Vec::new() }
    }

    #[test]
    fn a_watch_tells_its_lists_however_the_chunks_are_cut() {
        let lines = "{\"index\":1,\"snapshot\":true,\"endpoints\":[]}\n\n{\"index\":2,\"snapshot\":false,\"endpoints\":[]}\n";
        let mut input = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for piece in lines.as_bytes().chunks(11) {
            input.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            input.extend_from_slice(piece);
            input.extend_from_slice(b"\r\n");
        }
        for piece in [1, 3, 17, input.len()] {
            let mut asking = Asking::watch();
            let lists: Vec<Roster> = input.chunks(piece).flat_map(|b| asking.take(b).unwrap()).collect();
            assert_eq!(lists, [list(1, true), list(2, false)], "in pieces of {piece}");
            assert!(asking.ended().is_err(), "a watch never ends well");
        }
    }

    #[test]
    fn an_error_or_a_cut_list_is_a_failure() {
        assert!(Asking::fetch().take(b"HTTP/1.1 503 Busy\r\n\r\n").is_err());
        let mut asking = Asking::fetch();
        assert!(asking
            .take(b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"index\":1")
            .unwrap()
            .is_empty());
        assert!(asking.ended().is_err());
    }

    /// An old answer must not bring a server back that was seen to drain.
    #[test]
    fn a_list_that_goes_back_is_not_taken_until_it_persists() {
        let mut version = Version::new(5);
        assert_eq!(version.take(&list(6, false)), Some(ListKind::Changes));
        assert_eq!(version.take(&list(5, true)), None);
        assert_eq!(version.take(&list(6, true)), Some(ListKind::Full));
        assert_eq!([0; 3].map(|_| version.take(&list(2, true))), [None, None, Some(ListKind::Full)]);
        assert_eq!(version.held(), 2);
    }
}
