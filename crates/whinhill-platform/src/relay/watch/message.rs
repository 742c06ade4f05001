//! The lines of the relay watch, parsed.

use std::time::Duration;

use whinhill::interface::{ProxyId, SliceId, ZoneId};
use whinhill_names::Names;

use super::phase::Phase;
use super::updates::WatchError;

/// Length to which a line is cut in an error.
const MAX_QUOTED_CHARS: usize = 100;

/// A parsed line.
pub(super) enum Message<'a> {
    Heartbeat,
    Hello(ProxyId, ZoneId),
    Bye(ProxyId),
    Ack(ProxyId, u16, Duration),
    Lease(SliceId, bool),
    Line(SliceId, &'a str),
    /// A line of weight 0, which counts as absent.
    AbsentLine,
}

impl<'a> Message<'a> {
    fn parse(text: &'a str, names: &mut Names) -> Option<Self> {
        let mut words = text.split(' ');
        if words.next() != Some("*") {
            return None;
        }
        let Some(kind) = words.next() else { return Some(Message::Heartbeat) };
        let mut word = || words.next();
        Some(match kind {
            "hello" => Message::Hello(word()?.parse().ok()?, names.zone_id(word()?)),
            "bye" => Message::Bye(word()?.parse().ok()?),
            "ack" => {
                let (proxy, ack_seq) = (word()?.parse().ok()?, word()?.parse().ok()?);
                let ms: f64 = word()?.parse().ok()?;
                Message::Ack(proxy, ack_seq, Duration::try_from_secs_f64(ms.max(0.0) / 1e3).ok()?)
            }
            "lease" => {
                let slice = names.slice_id(word()?.parse().ok()?)?;
                match word()? {
                    "1" => Message::Lease(slice, true),
                    "0" => Message::Lease(slice, false),
                    _ => return None,
                }
            }
            "line" => {
                let (slice, server) = (names.slice_id(word()?.parse().ok()?)?, word()?);
                let weight: f64 = word()?.parse().ok()?;
                if weight > 0.0 {
                    Message::Line(slice, server)
                } else {
                    Message::AbsentLine
                }
            }
            _ => return None,
        })
    }
}

/// Parses a line; `None` for the positive answer to the request.
pub(super) fn parse_line<'a>(
    line: &'a [u8],
    phase: &Phase,
    names: &mut Names,
) -> Result<Option<Message<'a>>, WatchError> {
    let prefix = || String::from_utf8_lossy(line).chars().take(MAX_QUOTED_CHARS).collect();
    let text = std::str::from_utf8(line).unwrap_or_default();
    match phase {
        Phase::Requested if text == "OK" => Ok(None),
        Phase::Requested => Err(WatchError::Refused(prefix())),
        _ => Message::parse(text, names).map(Some).ok_or_else(|| WatchError::Malformed(prefix())),
    }
}
