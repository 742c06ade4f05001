//! Who connects to the assigner's address: collectors, whoever asks for a sign of life, and strangers.

use serde_json::{Map, Value};
use whinhill::interface::{Event, ZoneId};
use whinhill_names::Names;

use crate::lines::{Lines, TooLong};
use crate::reports::{self, Spoilt};

/// Bytes of one message; the protocol's own bound.
const MESSAGE_MOST: usize = 1 << 20;
/// Bytes of a message from somebody who has not joined: joining takes a few dozen.
const STRANGER_MOST: usize = 4 * 1024;

pub const ALIVE: &[u8] = b"{\"@type\":\"alive\"}\n";
pub const ERROR: &[u8] = b"{\"@type\":\"error\"}\n";

/// What came of a connection's bytes.
#[derive(Debug, PartialEq)]
pub enum Heard {
    Report(Event),
    /// It asks for a sign of life: [`ALIVE`] is to be written.
    AreYouAlive,
    /// It is the collector of a zone.
    Joined(ZoneId),
    /// One message was dropped; the connection goes on.
    Dropped(Spoilt),
}

/// Why a connection must end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error("it sends what is no message")]
    Unreadable,
    #[error("it reports without having joined")]
    NotJoined,
    #[error("it joins for a zone that does not exist")]
    UnknownZone,
    #[error("it sends a message without end")]
    Endless,
}

impl From<TooLong> for Refused {
    fn from(_: TooLong) -> Self {
        Refused::Endless
    }
}

/// One connection at the assigner's address.
#[derive(Debug)]
pub struct Peer {
    lines: Lines,
    zone: Option<ZoneId>,
}

impl Default for Peer {
    fn default() -> Self {
        Peer { lines: Lines::new(STRANGER_MOST), zone: None }
    }
}

impl Peer {
    /// The zone whose collector it is.
    pub fn zone(&self) -> Option<ZoneId> {
        self.zone
    }

    pub fn joined(&self) -> bool {
        self.zone.is_some()
    }

    /// Whether a message has begun and not ended.
    pub fn unfinished(&self) -> bool {
        self.lines.rest().iter().any(|b| !b.is_ascii_whitespace())
    }

    /// Takes bytes; what was heard before a refusal counts.
    pub fn take(&mut self, bytes: &[u8], names: &Names, heard: &mut Vec<Heard>) -> Result<(), Refused> {
        self.lines.push(bytes);
        while let Some(line) = self.lines.next_line()? {
            let message = read(line).ok_or(Refused::Unreadable)?;
            let joined = self.zone.is_some();
            match hear(&message, joined, names) {
                Ok(Heard::Joined(zone)) => {
                    self.zone = Some(zone);
                    heard.push(Heard::Joined(zone));
                    self.lines.set_most(MESSAGE_MOST);
                }
                Ok(other) => heard.push(other),
                Err(spoilt) if joined => heard.push(Heard::Dropped(spoilt)),
                Err(Spoilt::Unknown("site")) => return Err(Refused::UnknownZone),
                Err(_) => return Err(Refused::NotJoined),
            }
        }
        // What can't become a message is told by its first byte: its end may never come.
        let start = self.lines.rest().iter().find(|b| !b.is_ascii_whitespace());
        if start.is_some_and(|b| *b != b'{') {
            return Err(Refused::Unreadable);
        }
        Ok(())
    }
}

fn read(line: &[u8]) -> Option<Map<String, Value>> {
    match serde_json::from_slice(line) {
        Ok(Value::Object(message)) => Some(message),
        _ => None,
    }
}

fn hear(message: &Map<String, Value>, joined: bool, names: &Names) -> Result<Heard, Spoilt> {
    match reports::text(message, "@type")? {
        "probe" => Ok(Heard::AreYouAlive),
        "agent" => {
            let zone = names.known_zone(reports::text(message, "site")?);
            zone.map(Heard::Joined).ok_or(Spoilt::Unknown("site"))
        }
        "outcomes" if joined => reports::met(message, names).map(Heard::Report),
        "hot" if joined => reports::demand(message, names).map(Heard::Report),
        _ => Err(Spoilt::Unknown("@type")),
    }
}

#[cfg(test)]
mod tests;
