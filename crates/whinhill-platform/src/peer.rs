//! Connections to the assigner's address: collectors, which report, clients that check whether the assigner is alive,
//! and unknown peers.

use serde_json::{Map, Value};
use whinhill::interface::{Event, ZoneId};
use whinhill_names::Names;

use crate::lines::{LineBuffer, TooLong};
use crate::reports::{self, ReportError};

/// Maximum size of a message, as the protocol defines it.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Maximum size of a message from a peer that has not joined. Joining takes a few dozen bytes.
const MAX_UNJOINED_MESSAGE_BYTES: usize = 4 * 1024;

/// The answer to a liveness check.
pub const ALIVE: &[u8] = b"{\"@type\":\"alive\"}\n";
/// The answer to a peer that is refused.
pub const ERROR: &[u8] = b"{\"@type\":\"error\"}\n";

/// A message of a peer.
#[derive(Debug, PartialEq)]
pub enum PeerMessage {
    /// A collector reports.
    Report(Event),
    /// A liveness check. The caller writes [`ALIVE`].
    LivenessCheck,
    /// The peer has joined as the collector of a zone.
    Joined(ZoneId),
    /// A report was invalid and is ignored; the connection goes on.
    InvalidReport(ReportError),
}

/// Why a connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The peer sent something that is not a JSON object on a line.
    #[error("it sent a malformed message")]
    Malformed,
    /// Before it joined, the peer sent a message that is only for collectors, is unknown, or lacks a field.
    #[error("it sent a report without having joined")]
    NotJoined,
    /// The peer joined for an unknown zone.
    #[error("it joined for an unknown zone")]
    UnknownZone,
    /// A message exceeds the maximum size.
    #[error("it sent a message that is too long")]
    MessageTooLong,
}

impl From<TooLong> for PeerError {
    fn from(_: TooLong) -> Self {
        PeerError::MessageTooLong
    }
}

/// A connection to the assigner's address.
#[derive(Debug)]
pub struct Peer {
    lines: LineBuffer,
    zone: Option<ZoneId>,
    /// Maximum size of a message once it has joined.
    max_message_bytes: usize,
}

impl Default for Peer {
    fn default() -> Self {
        Peer::new(MAX_MESSAGE_BYTES)
    }
}

impl Peer {
    /// A peer that has not joined. `max_message_bytes`: the maximum size of a message once it has.
    pub fn new(max_message_bytes: usize) -> Self {
        Peer { lines: LineBuffer::new(MAX_UNJOINED_MESSAGE_BYTES), zone: None, max_message_bytes }
    }

    /// The zone whose collector the peer is.
    pub fn zone(&self) -> Option<ZoneId> {
        self.zone
    }

    /// Whether the peer has joined as a collector.
    pub fn has_joined(&self) -> bool {
        self.zone.is_some()
    }

    /// Whether whole messages were received and not parsed, because others had their turn first.
    pub fn has_unparsed_messages(&self) -> bool {
        self.lines.has_line()
    }

    /// Whether bytes were received that are not parsed: a part of a message, or messages that await their turn.
    pub fn has_partial_message(&self) -> bool {
        self.lines.partial_line().iter().any(|b| !b.is_ascii_whitespace())
    }

    /// Handles received bytes, or none, to go on with messages that await their turn; parses up to `max_messages`.
    /// Messages before an error are still valid.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        max_messages: usize,
        names: &Names,
        messages: &mut Vec<PeerMessage>,
    ) -> Result<(), PeerError> {
        self.lines.push(bytes);
        for _ in 0..max_messages {
            let Some(line) = self.lines.next_line()? else { break };
            let message = parse_object(line).ok_or(PeerError::Malformed)?;
            let joined = self.zone.is_some();
            match parse_message(&message, joined, names) {
                Ok(PeerMessage::Joined(zone)) => {
                    self.zone = Some(zone);
                    messages.push(PeerMessage::Joined(zone));
                    self.lines.set_max_bytes(self.max_message_bytes);
                }
                Ok(other) => messages.push(other),
                Err(error) if joined => messages.push(PeerMessage::InvalidReport(error)),
                Err(ReportError::Unknown("site")) => return Err(PeerError::UnknownZone),
                Err(_) => return Err(PeerError::NotJoined),
            }
        }
        if self.has_unparsed_messages() {
            return Ok(());
        }
        // A message that cannot become valid is refused by its first byte, because its end may never come.
        let first = self.lines.partial_line().iter().find(|b| !b.is_ascii_whitespace());
        if first.is_some_and(|b| *b != b'{') {
            return Err(PeerError::Malformed);
        }
        Ok(())
    }
}

fn parse_object(line: &[u8]) -> Option<Map<String, Value>> {
    match serde_json::from_slice(line) {
        Ok(Value::Object(message)) => Some(message),
        _ => None,
    }
}

fn parse_message(
    message: &Map<String, Value>,
    joined: bool,
    names: &Names,
) -> Result<PeerMessage, ReportError> {
    match reports::text_field(message, "@type")? {
        "probe" => Ok(PeerMessage::LivenessCheck),
        "agent" => {
            let zone = names.known_zone_id(reports::text_field(message, "site")?);
            zone.map(PeerMessage::Joined).ok_or(ReportError::Unknown("site"))
        }
        "outcomes" if joined => reports::parse_try_report(message, names).map(PeerMessage::Report),
        "hot" if joined => reports::parse_demand(message, names).map(PeerMessage::Report),
        _ => Err(ReportError::Unknown("@type")),
    }
}

#[cfg(test)]
mod tests;
