//! The two connections to the relay: one for calls, one for the relay watch.
//!
//! The relay watch is the stream on which the relay reports proxies, slices and lines; it is unrelated to the
//! discovery watch.

use tracing::{debug, enabled, info, trace, warn, Level};
use whinhill::interface::{Event, ListKind, ListedStatus, ServerEntry, SliceId, LEVEL_ADMIT_ALL};
use whinhill::Assigner;
use whinhill_platform::lines::LineBuffer;
use whinhill_platform::relay::calls::{CallOutcome, CallQueue};
use whinhill_platform::relay::line_orders::PendingWork;
use whinhill_platform::relay::orders::RelayOrder;
use whinhill_platform::relay::watch::{self, WatchError, WatchSlot, WatchUpdate};
use whinhill_platform::retry_delay::varied;

use crate::connection::{Connection, ConnectionKind};
use crate::connections::Id;
use crate::deadlines::DeadlineKind;
use crate::limits::*;
use crate::node::{Node, TRACE};

/// Largest answer to a call, in bytes.
const MAX_ANSWER_BYTES: usize = 256;

impl Node {
    // Relay watch.

    /// Opens the relay watch at the relay's address, either in place of one that ended or beside one at a former
    /// address.
    pub fn open_relay_watch(&mut self) {
        if self.relay_watch_awaits_list {
            return;
        }
        let slot = match (self.relay_watch_connection, self.next_relay_watch_connection) {
            (None, None) => WatchSlot::Current,
            (Some(_), None) if self.relay_watch_outdated => WatchSlot::Next,
            _ => return,
        };
        if slot == WatchSlot::Current && self.relay_calls.has_call_in_flight() {
            // The relay may have taken slices away with the former watch, and an order for such a slice is answered and
            // changes nothing. A snapshot from after the call tells which ones did.
            let retry_at = self.clock.now() + MIN_RELAY_WATCH_RETRY_DELAY;
            return self.deadlines.set(DeadlineKind::ReopenRelayWatch, retry_at);
        }
        let Some(id) =
            self.connect(self.config.relay, ConnectionKind::RelayWatch, watch::REQUEST, CONNECT_TIMEOUT)
        else {
            return self.lose_relay_watch(slot, "cannot connect");
        };
        match slot {
            WatchSlot::Current => {
                (self.relay_watch_connection, self.relay_watch_outdated) = (Some(id), false)
            }
            WatchSlot::Next => self.next_relay_watch_connection = Some(id),
        }
        self.relay_watch.on_connected(slot, self.clock.now());
        self.schedule_relay_watch_timeout(slot);
    }

    /// Sets or clears the timeout of a relay watch.
    fn schedule_relay_watch_timeout(&mut self, slot: WatchSlot) {
        match self.relay_watch.timeout_at(slot) {
            Some(at) => self.deadlines.set(DeadlineKind::RelayWatch(slot), at),
            None => self.deadlines.clear(DeadlineKind::RelayWatch(slot)),
        }
    }

    fn relay_watch_slot(&self, id: Id) -> WatchSlot {
        if self.next_relay_watch_connection == Some(id) {
            WatchSlot::Next
        } else {
            WatchSlot::Current
        }
    }

    /// The connection of a relay watch ended.
    pub fn handle_relay_watch_end(&mut self, id: Id, why: &str) {
        self.lose_relay_watch(self.relay_watch_slot(id), why);
    }

    /// Closes a relay watch that failed and schedules the next attempt.
    fn lose_relay_watch(&mut self, slot: WatchSlot, why: &str) {
        let was_live = slot == WatchSlot::Current && self.relay_watch.is_live();
        self.counters.relay_watches_lost += u64::from(was_live);
        let id = match slot {
            WatchSlot::Current => self.relay_watch_connection.take(),
            WatchSlot::Next => self.next_relay_watch_connection.take(),
        };
        let now = self.clock.now();
        let opened_at = id.and_then(|id| self.close(id)).map_or(now, |connection| connection.opened_at);
        self.relay_watch.on_disconnected(slot);
        if !self.relay_watch.is_live() && !std::mem::replace(&mut self.relay_watch_failing, true) {
            warn!(
                proxies = self.relay_watch.proxy_count(),
                slices = self.relay_watch.slice_count(),
                "relay watch lost: {why}"
            );
        }
        self.deadlines.clear(DeadlineKind::RelayWatch(slot));
        // Counted from the start of the attempt: one that waited in vain for a silent relay has delayed the next by itself.
        let retry_at = opened_at + varied(self.relay_watch_retry_delay, now);
        let retry_at = retry_at.max(now + MIN_RELAY_WATCH_RETRY_DELAY);
        self.deadlines.set(DeadlineKind::ReopenRelayWatch, retry_at);
        self.relay_watch_retry_delay = (self.relay_watch_retry_delay * 2).min(MAX_RELAY_WATCH_RETRY_DELAY);
    }

    /// Nothing arrived on a relay watch before its timeout.
    pub fn handle_relay_watch_timeout(&mut self, slot: WatchSlot) {
        let connection = match slot {
            WatchSlot::Current => self.relay_watch_connection,
            WatchSlot::Next => self.next_relay_watch_connection,
        };
        // Data that has arrived counts before the timeout does.
        if connection.is_some_and(|id| self.awaiting_batch.contains(&id) || self.check_before_timeout(id)) {
            return self.deadlines.set(DeadlineKind::RelayWatch(slot), self.clock.now() + RECHECK_DELAY);
        }
        match self.relay_watch.timeout_at(slot) {
            Some(at) if at <= self.clock.now() => self.lose_relay_watch(slot, "silent"),
            _ => self.schedule_relay_watch_timeout(slot),
        }
    }

    /// Bytes arrived on a relay watch.
    pub fn handle_relay_watch_bytes(&mut self, id: Id, bytes: &[u8]) {
        self.deadlines.clear(DeadlineKind::ConnectionTimeout(id));
        let (slot, now, mut updates) = (self.relay_watch_slot(id), self.clock.now(), Vec::new());
        trace_received(slot, bytes);
        let pending = pending_work(&self.relay_calls, &self.assigner);
        // While the watch at the former address goes on, custody does not change hands unreported.
        let reports_custody = slot == WatchSlot::Next && self.relay_watch.is_live();
        let result = self.relay_watch.receive(slot, now, bytes, &mut self.names, pending, &mut updates);
        self.handle_relay_updates(updates, reports_custody);
        let slot = self.promote_next_relay_watch(slot);
        match result {
            Ok(()) => self.schedule_relay_watch_timeout(slot),
            Err(error) => {
                if matches!(error, WatchError::Outdated) {
                    self.counters.snapshots_outdated += 1;
                    info!("relay watch at the new address opened again: {error}");
                }
                self.lose_relay_watch(slot, &error.to_string());
            }
        }
    }

    /// Once the watch at the new address has sent the complete current state, it replaces the watch at the former
    /// address.
    fn promote_next_relay_watch(&mut self, slot: WatchSlot) -> WatchSlot {
        if slot == WatchSlot::Current || self.relay_watch.is_open(WatchSlot::Next) {
            return slot;
        }
        self.deadlines.clear(DeadlineKind::RelayWatch(WatchSlot::Next));
        let next = self.next_relay_watch_connection.take();
        if let Some(former) = std::mem::replace(&mut self.relay_watch_connection, next) {
            self.close(former);
        }
        self.relay_watch_outdated = false;
        WatchSlot::Current
    }

    /// Turns updates from the relay watch into events and orders. `reports_custody`: every change of custody before a
    /// snapshot among them was reported.
    fn handle_relay_updates(&mut self, updates: Vec<WatchUpdate>, reports_custody: bool) {
        let now = self.clock.now();
        for update in updates {
            match update {
                WatchUpdate::Event(event) => {
                    if let Event::SliceReleased { slice } | Event::SliceAcquired { slice } = event {
                        self.relay_calls.drop_orders_of(slice);
                    }
                    self.pending_events.push(event);
                }
                WatchUpdate::Acked { proxy, ack_seq, transit, in_sequence } => {
                    if in_sequence {
                        self.relay_calls.acks.note_acked_in_sequence(ack_seq);
                    }
                    let transit = self.relay_calls.acks.transit_since_order(now, ack_seq, transit);
                    self.pending_events.push(Event::Acked { proxy, ack_seq, transit });
                }
                WatchUpdate::Reacquired { slice, line_differs } => {
                    if line_differs {
                        self.counters.lines_differing += 1;
                        info!(slice, "the store holds another line");
                    } else {
                        self.counters.slices_reacquired += 1;
                    }
                    self.reacquire_slice(slice);
                }
                WatchUpdate::ExtraLine { .. } if self.relay_calls.queued_orders() >= MAX_QUEUED_ORDERS => {
                    self.counters.extra_lines_ignored += 1;
                }
                WatchUpdate::ExtraLine { slice, server } => {
                    info!(slice, server, "a line other than the owner's is removed");
                    self.relay_calls.push(now, [RelayOrder::Line { slice, server, on: false }]);
                }
                WatchUpdate::SnapshotComplete { after_break } => {
                    (self.relay_watch_retry_delay, self.relay_watch_failing) =
                        (MIN_RELAY_WATCH_RETRY_DELAY, false);
                    info!(
                        proxies = self.relay_watch.proxy_count(),
                        slices = self.relay_watch.slice_count(),
                        without_line = self.relay_watch.slices_without_line(),
                        again = after_break,
                        "relay watch synchronized"
                    );
                    if after_break {
                        self.relay_calls.end_delay(now);
                        self.pending_events.push(Event::ProxyUpdatesLost);
                        self.pending_events.extend((!reports_custody).then_some(Event::LevelsLost));
                        self.relay_calls.request_last_ack_again(now);
                    }
                }
            }
        }
    }

    /// Treats the slice as acquired now, with the line that the store holds and all methods admitted. That is ordered
    /// with what the module orders for the slice then: a call of its own would admit RPCs that the next one rejects.
    fn reacquire_slice(&mut self, slice: SliceId) {
        self.relay_calls.drop_orders_of(slice);
        self.pending_events.push(Event::SliceAcquired { slice });
        if let Some(name) = self.relay_watch.line_of(slice) {
            let endpoint = self.names.endpoint(name);
            self.pending_events.push(Event::StoredOwner { slice, endpoint });
        }
        self.reacquired_slices.insert(slice);
    }

    /// Takes the orders that admit all methods of the slices that were reacquired since the last batch.
    pub fn take_admit_all_orders(&mut self) -> Vec<RelayOrder> {
        let tries = self.config.settings.get("familyInfo.retryDefault").unwrap_or(0);
        let admit_all = |slice| RelayOrder::Level { slice, methods: 0, share: LEVEL_ADMIT_ALL, tries };
        std::mem::take(&mut self.reacquired_slices).into_iter().map(admit_all).collect()
    }

    // Calls.

    /// Starts a call if one is due and the relay watch has reported which slices are in this assigner's custody.
    pub fn start_relay_call(&mut self) {
        let now = self.clock.now();
        let Some(at) = self.relay_calls.next_call_at() else { return };
        if at > now {
            return self.deadlines.set(DeadlineKind::RelayCall, at);
        }
        if !self.relay_watch.is_live() {
            return;
        }
        if let Some((orders, since)) = self.relay_calls.possibly_applied() {
            // If the call was carried out, its orders are in the channel already and would be queued a second time.
            if now < since + MAX_UNKNOWN_OUTCOME_WAIT && !self.assigner.may_resend(orders) {
                return self.deadlines.set(DeadlineKind::RelayCall, now + UNKNOWN_OUTCOME_CHECK_INTERVAL);
            }
            self.assigner.note_resent(now, orders);
        }
        if now > self.call_connection_used_at + MAX_CALL_CONNECTION_IDLE
            || std::mem::take(&mut self.call_connection_outdated)
        {
            // The relay closes idle connections, and an order should not be lost on a connection that it has
            // closed.
            self.call_connection.take().into_iter().for_each(|id| drop(self.close(id)));
        }
        let Some(text) = self.relay_calls.next_call(now, &self.names) else { return };
        self.call_connection_used_at = now;
        self.counters.calls += 1;
        trace_call(self.counters.calls, &text);
        if let Some(id) = self.call_connection {
            let sent = self.connections.get_mut(id).map(|c| c.send(text.as_bytes()));
            let Some(Ok(outcome)) = sent else { return self.handle_lost_call("broken") };
            self.deadlines.set(DeadlineKind::ConnectionTimeout(id), now + CALL_TIMEOUT);
            return self.handle_write_outcome(id, Ok(outcome));
        }
        let kind = ConnectionKind::RelayCalls(LineBuffer::new(MAX_ANSWER_BYTES));
        self.call_connection = self.connect(self.config.relay, kind, text.as_bytes(), CONNECT_TIMEOUT);
        if self.call_connection.is_none() {
            self.handle_lost_call("cannot connect");
        }
    }

    /// Bytes arrived on the call connection.
    pub fn handle_relay_answer(&mut self, id: Id, bytes: &[u8]) {
        let now = self.clock.now();
        let Some(Connection { kind: ConnectionKind::RelayCalls(lines), .. }) = self.connections.get_mut(id)
        else {
            return;
        };
        lines.push(bytes);
        let line = match lines.next_line() {
            Ok(None) => return,
            Ok(Some(line)) => line.to_vec(),
            Err(_) => Vec::new(),
        };
        let has_more = !lines.partial_line().is_empty();
        if !self.relay_calls.has_call_in_flight() || has_more {
            // The extra data answers no call; the next call would take it for its own answer.
            return self.handle_lost_call("unexpected answer");
        }
        self.deadlines.clear(DeadlineKind::ConnectionTimeout(id));
        self.call_connection_used_at = now;
        let outcome = self.relay_calls.on_answer(now, &line);
        debug!(target: TRACE, "call {} answered: {outcome:?}", self.counters.calls);
        match outcome {
            CallOutcome::Applied => {}
            CallOutcome::PartlyApplied { rejected } => self.handle_partial_call(rejected),
            CallOutcome::NotApplied { reason } if reason == "throttled" => self.counters.calls_throttled += 1,
            CallOutcome::NotApplied { reason } => warn!("the relay rejected a call: {reason}"),
            CallOutcome::Unknown => {
                info!(unknown = self.relay_calls.unknown_outcomes, "unreadable answer from the relay");
                self.close(id);
            }
        }
        for set in self.relay_calls.take_confirmed() {
            self.relay_watch.note_line_confirmed(set);
        }
        self.reacquire_slices_out_of_step();
    }

    /// Starts afresh, from the line that the store holds, with slices of which an order was not carried out. The module
    /// counts an order as given, so that its later decisions on them would rest on what has not happened.
    fn reacquire_slices_out_of_step(&mut self) {
        for slice in self.relay_calls.take_out_of_step() {
            if self.relay_watch.has_slice(slice) {
                self.counters.slices_out_of_step += 1;
                info!(
                    slice,
                    line = self.relay_watch.line_of(slice),
                    "an order was not carried out: starts afresh"
                );
                self.reacquire_slice(slice);
            }
        }
    }

    /// The relay rejected an order. If it was to set a line, the relay is assumed not to know the server, which is
    /// reported to the module as gone.
    fn handle_partial_call(&mut self, rejected: RelayOrder) {
        warn!("the relay rejected an order: {rejected:?}");
        let RelayOrder::Line { server, on: true, .. } = rejected else { return };
        let Some(endpoint) = self.names.known_endpoint(&server) else { return };
        let entry = ServerEntry { endpoint, zone: 0, status: ListedStatus::Gone, size: 1.0, started: None };
        self.pending_events.push(Event::List { kind: ListKind::Changes, entries: vec![entry] });
    }

    /// The call connection failed or the call timed out.
    pub fn handle_lost_call(&mut self, why: &str) {
        let now = self.clock.now();
        let fully_written = self
            .call_connection
            .is_some_and(|id| self.connections.get(id).is_some_and(Connection::all_written));
        if let Some(id) = self.call_connection.take() {
            self.close(id);
        }
        match self.relay_calls.on_connection_lost(now, fully_written) {
            CallOutcome::Unknown => {
                info!(unknown = self.relay_calls.unknown_outcomes, "a call's outcome is unknown: {why}")
            }
            CallOutcome::NotApplied { .. } => {
                self.counters.calls_not_sent += 1;
                self.relay_calls.delay_next_call(now);
            }
            _ => {}
        }
    }

    /// The relay has a new address. The watch is opened there while the former one goes on, and a call in flight
    /// finishes first.
    pub fn switch_relay_address(&mut self) {
        if let Some(id) = self.next_relay_watch_connection.take() {
            self.close(id);
            self.relay_watch.on_disconnected(WatchSlot::Next);
        }
        self.relay_watch_outdated = self.relay_watch_connection.is_some();
        self.relay_watch_retry_delay = MIN_RELAY_WATCH_RETRY_DELAY;
        self.open_relay_watch();
        self.call_connection_outdated = true;
    }
}

/// Logs a call as it is sent: how many orders it has, and the first and the last of them.
fn trace_call(number: u64, text: &str) {
    let orders = text.trim_end().split(';');
    let (first, last) = (orders.clone().next().unwrap_or_default(), orders.clone().next_back());
    debug!(target: TRACE, orders = orders.count(), first, last, "call {number} sent");
}

/// Logs bytes of a relay watch as they arrived, one log line for each line of text, since a log may truncate long ones.
fn trace_received(slot: WatchSlot, bytes: &[u8]) {
    if !enabled!(target: TRACE, Level::TRACE) {
        return;
    }
    for line in bytes.split_inclusive(|byte| *byte == b'\n') {
        trace!(target: TRACE, ?slot, "relay watch received {:?}", String::from_utf8_lossy(line));
    }
}

/// Returns the pending work of a slice: an order for its line, or a handover of the module.
fn pending_work<'a>(calls: &'a CallQueue, assigner: &'a Assigner) -> impl Fn(SliceId) -> PendingWork + 'a {
    |slice| match calls.pending_work(slice) {
        PendingWork::Nothing if assigner.has_handover(slice) => PendingWork::Handover,
        pending => pending,
    }
}
