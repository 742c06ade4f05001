//! The relay's watch stream: which proxies are joined, what they acknowledged, and the slices in our custody.
//!
//! What happens while the stream is broken is lost. Each new connection begins with a snapshot of the current state,
//! which ends with the first heartbeat, however long its parts take to arrive. The snapshot is compared with the state
//! that we knew, and the differences become events. Where the relay moves to another address, the connection to the
//! new address receives its snapshot while the old one goes on, and then replaces it.

mod custody;
mod message;
mod phase;
mod stream;
mod updates;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use whinhill::interface::{Event, ProxyId, SliceId, ZoneId};
use whinhill_names::Names;

use self::custody::Custody;
use self::message::{parse_line, Message};
use self::phase::Phase;
use self::stream::{Stream, MAX_LINE_BYTES};
pub use self::updates::{WatchError, WatchUpdate};
use super::line_orders::{ConfirmedLine, PendingWork};
use crate::lines::LineBuffer;

/// The request that starts the watch stream.
pub const REQUEST: &[u8] = b"WATCH\r\n";

/// The connection is lost once nothing was received for this long. Heartbeats come each second and may be late. So a
/// line of a connection that is not lost arrives within this time.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1800);

/// Identifies one of two connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WatchSlot {
    /// The connection whose updates are in force.
    Current,
    /// A connection to a new address that is still receiving its snapshot.
    Next,
}

/// The state reported by the relay, kept across connections.
#[derive(Debug, Default)]
pub struct RelayWatch {
    current: Option<Stream>,
    next: Option<Stream>,
    /// Some state was received before, at least in part: later snapshots are compared with it.
    has_baseline: bool,
    proxies: BTreeMap<ProxyId, ZoneId>,
    custody: Custody,
}

impl RelayWatch {
    fn stream_mut(&mut self, slot: WatchSlot) -> &mut Option<Stream> {
        match slot {
            WatchSlot::Current => &mut self.current,
            WatchSlot::Next => &mut self.next,
        }
    }

    /// Handles a new connection. The caller writes [`REQUEST`] to it.
    pub fn on_connected(&mut self, slot: WatchSlot, now: Duration) {
        *self.stream_mut(slot) = Some(Stream::new(now, self.custody.change_count()));
    }

    /// Handles the end of a connection.
    pub fn on_disconnected(&mut self, slot: WatchSlot) {
        let ended = self.stream_mut(slot).take();
        // A partial snapshot is state that the next snapshot must be compared with.
        self.has_baseline |= slot == WatchSlot::Current && ended.is_some_and(|s| s.phase == Phase::Snapshot);
        if slot == WatchSlot::Current {
            self.custody.forget_unreported();
        }
    }

    /// Whether there is such a connection.
    pub fn is_open(&self, slot: WatchSlot) -> bool {
        match slot {
            WatchSlot::Current => self.current.is_some(),
            WatchSlot::Next => self.next.is_some(),
        }
    }

    /// Whether it is known which slices are ours, so that orders may be sent. After a break this is so once the
    /// snapshot is complete.
    pub fn is_live(&self) -> bool {
        self.current.as_ref().is_some_and(|stream| match stream.phase {
            Phase::Requested => false,
            Phase::Snapshot => !self.has_baseline,
            Phase::Live => true,
        })
    }

    /// When the connection is lost if nothing is received until then. A pause says nothing else: it does not complete
    /// a snapshot, since the network may deliver bytes late.
    pub fn timeout_at(&self, slot: WatchSlot) -> Option<Duration> {
        let stream = match slot {
            WatchSlot::Current => self.current.as_ref()?,
            WatchSlot::Next => self.next.as_ref()?,
        };
        Some(stream.received_at + HEARTBEAT_TIMEOUT)
    }

    /// The time until which everything that the relay has written to the current connection has been received. It lies
    /// a timeout before the last bytes came: lines arrive in sequence, and none so late.
    pub fn received_all_until(&self) -> Duration {
        let received_at = self.current.as_ref().map_or(Duration::ZERO, |stream| stream.received_at);
        received_at.saturating_sub(HEARTBEAT_TIMEOUT)
    }

    /// Whether the snapshot on a connection is reported as it arrives, since there is nothing to compare it with.
    fn reports_partial_snapshot(&self, slot: WatchSlot) -> bool {
        slot == WatchSlot::Current && !self.has_baseline
    }

    /// Whether custody has changed since a connection was opened.
    fn is_outdated(&self, stream: &Stream) -> bool {
        stream.custody_changes_before != self.custody.change_count()
    }

    /// Number of joined proxies.
    pub fn proxy_count(&self) -> usize {
        self.proxies.len()
    }

    /// Number of slices in our custody.
    pub fn slice_count(&self) -> usize {
        self.custody.len()
    }

    /// Whether a slice is in our custody.
    pub fn has_slice(&self, slice: SliceId) -> bool {
        self.custody.contains(slice)
    }

    /// Number of slices in our custody for which the store is assumed to hold no line.
    pub fn slices_without_line(&self) -> usize {
        self.custody.count_without_line()
    }

    /// Notes that a line of the slice was ordered, or its end: from now on the store may hold a line that we set.
    pub fn note_line_ordered(&mut self, slice: SliceId, server: &str) {
        self.custody.note_line_ordered(slice, server);
    }

    /// Notes a line that a call of ours has set or removed. A snapshot that is being received may still contain the
    /// line that it replaced.
    pub fn note_line_confirmed(&mut self, set: ConfirmedLine) {
        let slice = set.slice;
        let Some(replaced) = self.custody.note_line_confirmed(set) else { return };
        for stream in self.current.iter_mut().chain(&mut self.next).filter(|s| s.phase != Phase::Live) {
            stream.replaced.entry(slice).or_default().insert(replaced.clone());
        }
    }

    /// Handles received bytes. `pending_work` returns what is pending for a slice. Changes are appended to `updates`.
    pub fn receive(
        &mut self,
        slot: WatchSlot,
        now: Duration,
        bytes: &[u8],
        names: &mut Names,
        pending_work: impl Fn(SliceId) -> PendingWork,
        updates: &mut Vec<WatchUpdate>,
    ) -> Result<(), WatchError> {
        let (mut slot, Some(mut stream)) = (slot, self.stream_mut(slot).take()) else { return Ok(()) };
        stream.received_at = now;
        let mut lines = std::mem::replace(&mut stream.lines, LineBuffer::new(MAX_LINE_BYTES));
        lines.push(bytes);
        loop {
            let message = match lines.next_line().map_err(WatchError::from) {
                Ok(None) => break,
                Ok(Some(line)) => parse_line(line, &stream.phase, names),
                Err(error) => Err(error),
            };
            let message = match message {
                Ok(Some(message)) => message,
                Ok(None) => {
                    stream.phase = Phase::Snapshot;
                    continue;
                }
                Err(error) => {
                    *self.stream_mut(slot) = Some(stream);
                    return Err(error);
                }
            };
            match message {
                Message::Heartbeat if slot == WatchSlot::Next && self.is_outdated(&stream) => {
                    *self.stream_mut(slot) = Some(stream);
                    return Err(WatchError::Outdated);
                }
                Message::Heartbeat if stream.phase == Phase::Snapshot => {
                    self.complete_snapshot(slot, stream, names, &pending_work, updates);
                    slot = WatchSlot::Current;
                    let Some(completed) = self.current.take() else { return Ok(()) };
                    stream = completed;
                }
                // An ack counts on either connection, and a duplicate does no harm.
                Message::Ack(proxy, ack_seq, transit) if self.proxies.contains_key(&proxy) => {
                    if stream.phase == Phase::Live {
                        self.custody.complete_lines(updates);
                    }
                    let in_sequence = slot == WatchSlot::Current
                        && (stream.phase == Phase::Live || self.reports_partial_snapshot(slot));
                    updates.push(WatchUpdate::Acked { proxy, ack_seq, transit, in_sequence });
                }
                message if stream.phase == Phase::Live || self.reports_partial_snapshot(slot) => {
                    self.apply(message, names, updates)
                }
                message => stream.record(&message),
            }
        }
        stream.lines = lines;
        *self.stream_mut(slot) = Some(stream);
        Ok(())
    }

    /// Applies a change to the known state, and reports it.
    fn apply(&mut self, message: Message, names: &mut Names, updates: &mut Vec<WatchUpdate>) {
        match message {
            Message::Hello(proxy, zone) => {
                self.proxies.insert(proxy, zone);
                updates.push(WatchUpdate::Event(Event::ProxyJoined { proxy, zone }));
            }
            Message::Bye(proxy) => {
                if self.proxies.remove(&proxy).is_some() {
                    updates.push(WatchUpdate::Event(Event::ProxyLeft { proxy }));
                }
            }
            Message::Lease(slice, true) => self.custody.acquire(slice, updates),
            Message::Lease(slice, false) => self.custody.release(slice, updates),
            Message::Line(slice, server) => self.custody.receive_line(slice, server, names, updates),
            Message::Heartbeat => self.custody.complete_lines(updates),
            Message::Ack(..) | Message::AbsentLine => {}
        }
    }

    /// Handles a complete snapshot: reports its differences from the known state, and makes its connection the current
    /// one.
    fn complete_snapshot(
        &mut self,
        slot: WatchSlot,
        mut stream: Stream,
        names: &mut Names,
        pending_work: impl Fn(SliceId) -> PendingWork,
        updates: &mut Vec<WatchUpdate>,
    ) {
        // If the former connection has reported everything until now, nobody else held a slice of ours.
        let unbroken = slot == WatchSlot::Next && self.is_live();
        let after_break = !self.reports_partial_snapshot(slot);
        self.has_baseline = true;
        let (proxies, slices) = (std::mem::take(&mut stream.proxies), std::mem::take(&mut stream.slices));
        let replaced = std::mem::take(&mut stream.replaced);
        stream.phase = Phase::Live;
        self.current = Some(stream);
        if after_break {
            self.reconcile_proxies(proxies, updates);
            self.custody.forget_unreported();
            self.custody.release_all_but(|slice| slices.contains_key(&slice), updates);
            for (slice, stored) in slices {
                if !self.custody.contains(slice) {
                    self.custody.acquire(slice, updates);
                    stored.iter().for_each(|line| self.custody.receive_line(slice, line, names, updates));
                    continue;
                }
                let pending = match pending_work(slice) {
                    PendingWork::Handover if unbroken => PendingWork::Nothing,
                    pending => pending,
                };
                self.reconcile_slice(slice, stored, replaced.get(&slice), pending, updates);
            }
        }
        self.custody.complete_lines(updates);
        updates.push(WatchUpdate::SnapshotComplete { after_break });
    }

    /// Compares the lines of a slice in a snapshot with the one that we knew.
    fn reconcile_slice(
        &mut self,
        slice: SliceId,
        stored: Vec<String>,
        replaced: Option<&BTreeSet<Option<String>>>,
        pending: PendingWork,
        updates: &mut Vec<WatchUpdate>,
    ) {
        let known = self.custody.line_of(slice).map(str::to_string);
        let is_stored = |line: &Option<String>| line.as_slice() == stored;
        let was_replaced = replaced.is_some_and(|lines| lines.iter().any(is_stored));
        let line_differs = !is_stored(&known) && !was_replaced;
        if pending == PendingWork::CallInFlight || !line_differs && pending == PendingWork::Nothing {
            return;
        }
        updates.push(WatchUpdate::Reacquired { slice, line_differs });
        if !line_differs {
            return self.custody.reacquire(slice, known);
        }
        // Of several lines the one that we knew is kept, or else the first.
        let kept = stored.iter().find(|line| known.as_ref() == Some(*line));
        let kept = kept.or(stored.first()).cloned();
        let extra = stored.into_iter().filter(|line| Some(line) != kept.as_ref());
        updates.extend(extra.map(|server| WatchUpdate::ExtraLine { slice, server }));
        self.custody.reacquire(slice, kept);
    }

    /// Reports the proxies that joined or left during a break. A proxy in both states has kept its stream, or its ack
    /// is requested again.
    fn reconcile_proxies(&mut self, joined: BTreeMap<ProxyId, ZoneId>, updates: &mut Vec<WatchUpdate>) {
        for (proxy, zone) in joined.iter().filter(|(proxy, _)| !self.proxies.contains_key(proxy)) {
            updates.push(WatchUpdate::Event(Event::ProxyJoined { proxy: *proxy, zone: *zone }));
        }
        for proxy in self.proxies.keys().filter(|proxy| !joined.contains_key(proxy)) {
            updates.push(WatchUpdate::Event(Event::ProxyLeft { proxy: *proxy }));
        }
        self.proxies = joined;
    }

    /// The line that the store is assumed to hold for a slice of ours.
    pub fn line_of(&self, slice: SliceId) -> Option<&str> {
        self.custody.line_of(slice)
    }
}

#[cfg(test)]
mod schedules;
#[cfg(test)]
mod tests;
