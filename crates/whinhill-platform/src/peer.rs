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
mod tests {
    use super::*;
    use whinhill::interface::Settings;

    fn names() -> Names {
        let pairs =
            [("zones", "a"), ("classes.count", "1"), ("classes.0.name", "look"), ("familyInfo.shards", "9")];
        Names::new(&Settings(pairs.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect()))
    }

    fn take(input: &[u8], piece: usize) -> (Vec<Heard>, Result<(), Refused>) {
        let (mut peer, mut heard) = (Peer::default(), Vec::new());
        let result = input.chunks(piece).try_for_each(|bytes| peer.take(bytes, &names(), &mut heard));
        (heard, result)
    }

    const HOT: &str =
        "{\"@type\":\"hot\",\"range\":8,\"lane\":\"look\",\"count\":4,\"fail\":1,\"over\":1000.0}\n";

    #[test]
    fn a_spoilt_report_is_dropped_and_those_around_it_are_taken() {
        let input = format!("{{\"@type\":\"agent\",\"site\":\"a\"}}\n{HOT}{}{HOT}", HOT.replace("look", "x"));
        for piece in [1, 5, 1000] {
            let (heard, result) = take(input.as_bytes(), piece);
            assert_eq!(result, Ok(()));
            assert!(matches!(
                heard[..],
                [
                    Heard::Joined(0),
                    Heard::Report(_),
                    Heard::Dropped(Spoilt::Unknown("lane")),
                    Heard::Report(_)
                ]
            ));
        }
    }

    #[test]
    fn strangers_are_refused_by_what_they_send() {
        assert_eq!(take(b"{\"@type\":\"probe\"}\n", 3), (vec![Heard::AreYouAlive], Ok(())));
        let hello = b"{\"@type\":\"hello\",\"id\":1}\n".as_slice();
        let endless = [b"{".as_slice(), &[b' '; 5000]].concat();
        for (input, wanted) in [
            (b"GET / HTTP/1.1\r\n".as_slice(), Refused::Unreadable),
            (b"\x00\x00\x00\x10", Refused::Unreadable),
            (b"{\"@type\":\"agent\",\"site\":\"z\"}\n", Refused::UnknownZone),
            (HOT.as_bytes(), Refused::NotJoined),
            (hello, Refused::NotJoined),
            (b"{\"@type\":\n", Refused::Unreadable),
            (&endless, Refused::Endless),
        ] {
            assert_eq!(take(input, 4).1, Err(wanted), "{}", String::from_utf8_lossy(&input[..4]));
        }
    }

    /// A collector may go on with what can't be read: that connection can no longer be used.
    #[test]
    fn a_collector_that_goes_on_with_garbage_is_refused() {
        let input = format!("{{\"@type\":\"agent\",\"site\":\"a\"}}\n{HOT}\u{1}garbage");
        let (heard, result) = take(input.as_bytes(), 7);
        assert_eq!((heard.len(), result), (2, Err(Refused::Unreadable)));
    }
}
