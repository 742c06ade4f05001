//! One connection to the relay, and the snapshot received on it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use whinhill::interface::{ProxyId, SliceId, ZoneId};

use super::message::Message;
use super::phase::Phase;
use crate::lines::LineBuffer;

/// Maximum length of a line. The longest one holds a name of 64 bytes and three figures.
pub(super) const MAX_LINE_BYTES: usize = 1024;

#[derive(Debug)]
pub(super) struct Stream {
    pub phase: Phase,
    pub lines: LineBuffer,
    pub received_at: Duration,
    pub proxies: BTreeMap<ProxyId, ZoneId>,
    pub slices: BTreeMap<SliceId, Vec<String>>,
    /// Lines that our calls have replaced since the connection was opened. The snapshot may still contain them.
    pub replaced: BTreeMap<SliceId, BTreeSet<Option<String>>>,
    /// Number of changes of custody that were known as the connection was opened.
    pub custody_changes_before: u64,
}

impl Stream {
    pub fn new(now: Duration, custody_changes_before: u64) -> Self {
        Stream {
            phase: Phase::Requested,
            lines: LineBuffer::new(MAX_LINE_BYTES),
            received_at: now,
            proxies: BTreeMap::new(),
            slices: BTreeMap::new(),
            replaced: BTreeMap::new(),
            custody_changes_before,
        }
    }

    /// Adds a message to the snapshot: current state, or a change that happened while the snapshot was being sent.
    pub fn record(&mut self, message: &Message) {
        match message {
            Message::Hello(proxy, zone) => drop(self.proxies.insert(*proxy, *zone)),
            Message::Bye(proxy) => drop(self.proxies.remove(proxy)),
            Message::Lease(slice, true) => drop(self.slices.insert(*slice, Vec::new())),
            Message::Lease(slice, false) => {
                self.slices.remove(slice);
                // Lines that come after a new lease are newer than ours.
                self.replaced.remove(slice);
            }
            Message::Line(slice, server) => {
                self.slices.entry(*slice).and_modify(|lines| lines.push(server.to_string()));
            }
            Message::Ack(..) | Message::AbsentLine | Message::Heartbeat => {}
        }
    }
}
