//! Calls to the relay. Orders are queued, one call at a time is in flight, and each call has one of three outcomes:
//! applied, not applied, or unknown.
//!
//! A call that was not applied, or whose outcome is unknown, is sent again with the same orders before any later
//! order. This is safe: nobody else writes to a slice in our custody between the two calls, so the second call sets
//! what the first may have set already. When a slice is released, its orders are dropped.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use whinhill::interface::SliceId;
use whinhill_names::Names;

use super::acks::{AckTracker, MAX_TRANSIT};
use super::line_orders::{ConfirmedLine, PendingWork};
use super::orders::RelayOrder;
use crate::retry_delay::varied;

/// Maximum size of the orders in one call, as the protocol defines it.
const MAX_CALL_BYTES: usize = 60_000;
/// Delay after a call that the relay refused. The relay refuses calls until the platform's run begins, and a call is
/// cheap.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay after a call that could not be sent. A shorter one would flood a relay that is down with connections.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay after the second of several calls in a row whose outcomes are unknown; the first is sent again at once. It
/// doubles with each further one, up to [`MAX_UNKNOWN_RETRY_DELAY`], and is varied by up to a quarter.
const MIN_UNKNOWN_RETRY_DELAY: Duration = Duration::from_millis(25);
/// The rules' time limits wait for half a second where the relay breaks a call.
const MAX_UNKNOWN_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Number of error answers since the last valid one at which the orders of the call are dropped, unless they may have
/// been applied already. `throttled` counts as one, but never drops orders itself.
const MAX_ERRORS: u32 = 5;
/// The outcome of a call.
#[derive(Debug, PartialEq)]
pub enum CallOutcome {
    /// All orders were applied.
    Applied,
    /// The orders before `rejected` were applied. The relay rejected `rejected`, and it is not sent again.
    PartlyApplied {
        /// The rejected order.
        rejected: RelayOrder,
    },
    /// No order was applied: the relay does not accept calls yet, it reported an error, or the call was not sent.
    NotApplied {
        /// The relay's error text, or why the call was not sent.
        reason: String,
    },
    /// Either all orders were applied or none.
    Unknown,
}

#[derive(Clone, Debug)]
struct QueuedOrder {
    order: RelayOrder,
    ordered_at: Duration,
    /// The order was part of a call whose outcome is unknown.
    maybe_applied: bool,
}

#[derive(Debug)]
struct InFlightCall {
    orders: Vec<QueuedOrder>,
    /// Slices that were released since the call was sent. Their orders are not sent again.
    released: BTreeSet<SliceId>,
}

/// The queue of orders for the relay and the call in flight.
#[derive(Debug, Default)]
pub struct CallQueue {
    queue: VecDeque<QueuedOrder>,
    in_flight: Option<InFlightCall>,
    retry_at: Duration,
    errors: u32,
    /// Calls in a row whose outcomes were unknown.
    consecutive_unknown: u32,
    /// When the outcome of a call was last found to be unknown.
    unknown_since: Duration,
    /// The requests for acks among the orders.
    pub acks: AckTracker,
    /// Slices of which an order was not carried out and is not sent again, since [`CallQueue::take_out_of_step`] was
    /// last called.
    out_of_step: BTreeSet<SliceId>,
    /// Lines confirmed by the store since [`CallQueue::take_confirmed`] was last called.
    confirmed: Vec<ConfirmedLine>,
    /// Number of calls whose outcome was unknown.
    pub unknown_outcomes: u64,
    /// Number of orders that were dropped because the relay did not accept them.
    pub dropped_orders: u64,
}

impl CallQueue {
    /// Queues the orders that the assigner returned for one batch of events. Queued orders that they supersede are
    /// removed.
    pub fn push(&mut self, now: Duration, orders: impl IntoIterator<Item = RelayOrder>) {
        let mut supersedes_marked = false;
        for order in orders {
            let mut ordered_at = now;
            if let RelayOrder::Mark(ack_seq) = &order {
                // The answer to this request also covers the earlier one, whose orders are older.
                for earlier in self.queue.iter().filter(|queued| queued.order.is_mark()) {
                    ordered_at = ordered_at.min(earlier.ordered_at);
                }
                self.queue.retain(|queued| !queued.order.is_mark());
                self.acks.track(*ack_seq, ordered_at);
            } else {
                supersedes_marked |= self.remove_superseded(&order);
            }
            self.queue.push_back(QueuedOrder { order, ordered_at, maybe_applied: false });
        }
        if supersedes_marked {
            self.move_marks_to_end();
        }
    }

    /// Removes queued orders that a new one supersedes; returns whether the answer to a queued ack request was to cover
    /// one of them.
    fn remove_superseded(&mut self, order: &RelayOrder) -> bool {
        let last_mark = self.queue.iter().rposition(|queued| queued.order.is_mark()).unwrap_or(0);
        let (mut index, mut is_before_mark) = (0, false);
        self.queue.retain(|queued| {
            let is_superseded = order.supersedes(&queued.order);
            is_before_mark |= is_superseded && index < last_mark;
            index += 1;
            !is_superseded
        });
        is_before_mark
    }

    /// Moves the queued ack requests behind all queued orders. Where a new order has superseded one that an answer was to
    /// cover, the answer must cover the new one instead: a call of limited size may end between them.
    fn move_marks_to_end(&mut self) {
        let (marks, others): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.queue).into_iter().partition(|queued| queued.order.is_mark());
        self.queue = others;
        self.queue.extend(marks);
    }

    /// Requests the last ack from every proxy again, because answers may have been lost with the watch stream.
    pub fn request_last_ack_again(&mut self, now: Duration) {
        if let Some(ack_seq) = self.acks.last_requested() {
            self.push(now, [RelayOrder::Mark(ack_seq)]);
            self.acks.track(ack_seq, now.saturating_sub(MAX_TRANSIT));
        }
    }

    /// Starts the next call if one is due, and returns its text.
    pub fn next_call(&mut self, now: Duration, names: &Names) -> Option<String> {
        if !self.is_call_due(now) {
            return None;
        }
        let (mut text, mut orders) = ("APPLY ".to_string(), Vec::new());
        while let Some(queued) = self.queue.front() {
            let before = text.len();
            if !orders.is_empty() {
                text.push(';');
            }
            queued.order.write(&mut text, names);
            if text.len() > MAX_CALL_BYTES {
                text.truncate(before);
                break;
            }
            orders.extend(self.queue.pop_front());
        }
        text.push_str("\r\n");
        for queued in &orders {
            if let RelayOrder::Mark(ack_seq) = queued.order {
                self.acks.set_accepted(ack_seq, None);
            }
        }
        self.in_flight = Some(InFlightCall { orders, released: BTreeSet::new() });
        Some(text)
    }

    /// Delays the next call, because the relay could not be reached.
    pub fn delay_next_call(&mut self, now: Duration) {
        self.retry_at = self.retry_at.max(now + UNREACHABLE_RETRY_DELAY);
    }

    /// Ends the delay before the next call, because the relay answers again on its watch.
    pub fn end_delay(&mut self, now: Duration) {
        self.retry_at = self.retry_at.min(now);
    }

    /// Whether a call may start now.
    pub fn is_call_due(&self, now: Duration) -> bool {
        self.in_flight.is_none() && !self.queue.is_empty() && now >= self.retry_at
    }

    /// When the next call may start; `None` if no orders are queued or a call is in flight.
    pub fn next_call_at(&self) -> Option<Duration> {
        (self.in_flight.is_none() && !self.queue.is_empty()).then_some(self.retry_at)
    }

    /// How many of the queued orders may have been applied already, and since when that is unknown.
    pub fn possibly_applied(&self) -> Option<(usize, Duration)> {
        let orders = self.queue.iter().filter(|q| q.maybe_applied).count();
        (orders > 0).then_some((orders, self.unknown_since))
    }

    /// Whether a call is in flight.
    pub fn has_call_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Number of queued orders, without those of the call in flight.
    pub fn queued_orders(&self) -> usize {
        self.queue.len()
    }

    /// Handles the answer to the call in flight; `Unknown` if there is none.
    pub fn on_answer(&mut self, now: Duration, line: &[u8]) -> CallOutcome {
        let Some(call) = self.in_flight.take() else { return CallOutcome::Unknown };
        let text = String::from_utf8_lossy(line);
        if let Some(reason) = text.strip_prefix("ERR ") {
            let reason: String = reason.chars().take(100).collect();
            self.errors += 1;
            self.retry_at = now + REFUSED_RETRY_DELAY;
            // Of orders that may have been applied it would not be known what the store holds.
            let is_in_doubt = call.orders.iter().any(|queued| queued.maybe_applied);
            if reason != "throttled" && self.errors >= MAX_ERRORS && !is_in_doubt {
                self.errors = 0;
                self.dropped_orders += call.orders.len() as u64;
                let slices = call.orders.iter().filter_map(|queued| queued.order.slice());
                self.out_of_step.extend(slices.filter(|slice| !call.released.contains(slice)));
                return CallOutcome::NotApplied {
                    reason: format!("{reason}, {} orders dropped", call.orders.len()),
                };
            }
            self.requeue(call);
            return CallOutcome::NotApplied { reason };
        }
        let applied = text.strip_prefix("OK ").and_then(|n| n.trim().parse::<usize>().ok());
        let Some(applied) = applied.filter(|applied| *applied <= call.orders.len()) else {
            return self.requeue_unknown(now, call);
        };
        self.errors = 0;
        self.consecutive_unknown = 0;
        let InFlightCall { mut orders, released } = call;
        let mut rest = orders.split_off(applied);
        for done in &orders {
            match &done.order {
                RelayOrder::Line { slice, server, on } if !released.contains(slice) => {
                    self.confirmed.push(ConfirmedLine { slice: *slice, server: server.clone(), on: *on });
                }
                RelayOrder::Mark(ack_seq) => {
                    self.acks.set_accepted(*ack_seq, Some(now));
                    self.acks.note_answered(*ack_seq, now);
                }
                _ => {}
            }
        }
        if rest.is_empty() {
            return CallOutcome::Applied;
        }
        let rejected = rest.remove(0).order;
        self.dropped_orders += 1;
        self.out_of_step.extend(rejected.slice().filter(|slice| !released.contains(slice)));
        self.requeue(InFlightCall { orders: rest, released });
        CallOutcome::PartlyApplied { rejected }
    }

    /// Handles a broken connection or a timeout. `fully_sent`: the last byte of the call may have reached the relay.
    /// Returns `Applied` if no call was in flight.
    pub fn on_connection_lost(&mut self, now: Duration, fully_sent: bool) -> CallOutcome {
        match self.in_flight.take() {
            Some(call) if fully_sent => self.requeue_unknown(now, call),
            Some(call) => {
                self.requeue(call);
                CallOutcome::NotApplied { reason: "not sent".to_string() }
            }
            None => CallOutcome::Applied,
        }
    }

    fn requeue_unknown(&mut self, now: Duration, mut call: InFlightCall) -> CallOutcome {
        self.unknown_outcomes += 1;
        self.unknown_since = now;
        self.consecutive_unknown += 1;
        self.retry_at = now + unknown_retry_delay(self.consecutive_unknown, now);
        for queued in &mut call.orders {
            queued.maybe_applied = true;
            if let RelayOrder::Mark(ack_seq) = queued.order {
                self.acks.set_accepted(ack_seq, Some(now));
            }
        }
        self.requeue(call);
        CallOutcome::Unknown
    }

    /// Puts the orders of a call at the front of the queue, without those of released slices. Later orders are queued
    /// again behind them and remove those that they supersede.
    fn requeue(&mut self, call: InFlightCall) {
        let InFlightCall { orders, released } = call;
        let later = std::mem::take(&mut self.queue);
        let kept =
            orders.into_iter().filter(|q| q.order.slice().is_none_or(|slice| !released.contains(&slice)));
        self.queue.extend(kept);
        for QueuedOrder { order, ordered_at, .. } in later {
            self.push(ordered_at, [order]);
        }
    }

    /// Drops the orders of a released slice. They must not reach the store once the slice is acquired again.
    pub fn drop_orders_of(&mut self, slice: SliceId) {
        self.queue.retain(|q| q.order.slice() != Some(slice));
        if let Some(call) = &mut self.in_flight {
            call.released.insert(slice);
        }
    }

    /// The pending work of a slice, as far as it follows from orders for its line.
    pub fn pending_work(&self, slice: SliceId) -> PendingWork {
        let sets_line =
            |q: &QueuedOrder| matches!(&q.order, RelayOrder::Line { slice: s, .. } if *s == slice);
        if self.in_flight.iter().any(|call| call.orders.iter().any(sets_line)) {
            return PendingWork::CallInFlight;
        }
        if self.queue.iter().any(sets_line) {
            PendingWork::Handover
        } else {
            PendingWork::Nothing
        }
    }

    /// Takes the slices of which an order was not carried out and is not sent again: what was decided of them since, and
    /// the orders that follow from it, rests on that order.
    pub fn take_out_of_step(&mut self) -> BTreeSet<SliceId> {
        std::mem::take(&mut self.out_of_step)
    }

    /// Takes the lines that the store has confirmed since the last call.
    pub fn take_confirmed(&mut self) -> Vec<ConfirmedLine> {
        std::mem::take(&mut self.confirmed)
    }
}

/// Delay after a number of calls in a row whose outcomes are unknown.
fn unknown_retry_delay(consecutive_unknown: u32, now: Duration) -> Duration {
    let Some(doublings) = consecutive_unknown.checked_sub(2) else { return Duration::ZERO };
    let delay = MIN_UNKNOWN_RETRY_DELAY.saturating_mul(1u32.checked_shl(doublings).unwrap_or(u32::MAX));
    varied(delay.min(MAX_UNKNOWN_RETRY_DELAY), now)
}

#[cfg(test)]
mod tests;
