//! Calls to the relay: orders wait in line, one call at a time is under way, and each has one of three outcomes.
//!
//! A call that was not carried out, or whose outcome is unknown, is sent again with the same orders, before
//! any later one. That is safe: between the two nobody else writes to a slice of ours, so the second sets what
//! the first may have set already; and when a slice is taken away its orders are dropped.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use whinhill::interface::SliceId;
use whinhill_names::Names;

use super::news::Owed;
use super::orders::RelayOrder;

/// Bytes of orders that one call may carry; the protocol's own bound.
const CALL_MOST: usize = 60_000;
/// Wait after a call that the relay turned away: it does so until the run begins, and asking is cheap.
const TURNED_AWAY: Duration = Duration::from_millis(100);
/// Wait after a call that could not be sent. Shorter: a relay that is down is hammered by connections.
const UNREACHED: Duration = Duration::from_millis(50);
/// How often orders are sent again after the relay named them an error of its own.
const ERRORS_MOST: u32 = 5;
/// Marks whose times are remembered: far more than can wait for their answers at a time.
const MARKS_MOST: usize = 1024;
/// Added to an answer's time when it is not known which of several calls it answers: "just now".
const LONG_AGO: Duration = Duration::from_secs(3600);

/// What became of a call.
#[derive(Debug, PartialEq)]
pub enum Outcome {
    Done,
    /// Carried out up to an order that was then dropped.
    Short {
        dropped: RelayOrder,
    },
    /// The relay takes no calls yet, or failed.
    NotDone {
        reason: String,
    },
    /// Carried out wholly, or not at all.
    Unknown,
}

/// A slice's line at a server, set or ended in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct SetLine {
    pub slice: SliceId,
    pub server: String,
    pub on: bool,
}

#[derive(Clone, Debug)]
struct Waiting {
    order: RelayOrder,
    ordered: Duration,
    /// It has left in a call that may have been carried out.
    in_doubt: bool,
}

#[derive(Debug)]
struct UnderWay {
    orders: Vec<Waiting>,
    /// Slices taken away meanwhile: what is for them is not sent again.
    void: BTreeSet<SliceId>,
}

/// When a mark was ordered, and when the call that carried it had surely been taken.
#[derive(Clone, Copy, Debug)]
struct MarkTimes {
    mark: u16,
    ordered: Duration,
    carried: Option<Duration>,
}

#[derive(Debug, Default)]
pub struct Calls {
    waiting: VecDeque<Waiting>,
    under_way: Option<UnderWay>,
    not_before: Duration,
    errors: u32,
    /// When a call came into doubt last.
    doubted: Duration,
    marks: VecDeque<MarkTimes>,
    last_mark: Option<u16>,
    /// Lines that the store is known to have set or ended since the last look.
    confirmed: Vec<SetLine>,
    pub unknown: u64,
    pub dropped: u64,
}

impl Calls {
    /// Puts the orders of one reply in line. Where they replace some that still wait, those go.
    pub fn push(&mut self, now: Duration, orders: impl IntoIterator<Item = RelayOrder>) {
        for order in orders {
            let mut ordered = now;
            match &order {
                // The end of another server's line stays: where slices are not exclusive nothing else ends it.
                RelayOrder::Line { slice, server, on: true } => self.waiting.retain(
                    |w| !matches!(&w.order, RelayOrder::Line { slice: s, server: other, on } if s == slice && (*on || other == server)),
                ),
                RelayOrder::Level { slice, methods, .. } => self.waiting.retain(|w| {
                    !matches!(&w.order, RelayOrder::Level { slice: s, methods: m, .. } if s == slice && m == methods)
                }),
                RelayOrder::Mark(mark) => {
                    // Its answer stands for the earlier one's too, whose orders were given earlier.
                    for earlier in self.waiting.iter().filter(|w| matches!(w.order, RelayOrder::Mark(_))) {
                        ordered = ordered.min(earlier.ordered);
                    }
                    self.waiting.retain(|w| !matches!(w.order, RelayOrder::Mark(_)));
                    self.note_mark(*mark, ordered);
                }
                RelayOrder::Line { on: false, .. } => {}
            }
            self.waiting.push_back(Waiting { order, ordered, in_doubt: false });
        }
    }

    /// Has every proxy answer the last mark again: answers may have been lost with the news.
    pub fn mark_again(&mut self, now: Duration) {
        if let Some(mark) = self.last_mark {
            self.push(now, [RelayOrder::Mark(mark)]);
            self.note_mark(mark, now.saturating_sub(LONG_AGO));
        }
    }

    fn note_mark(&mut self, mark: u16, ordered: Duration) {
        self.marks.retain(|m| m.mark != mark);
        self.marks.push_back(MarkTimes { mark, ordered, carried: None });
        if self.marks.len() > MARKS_MOST {
            self.marks.pop_front();
        }
        self.last_mark = Some(mark);
    }

    /// The text of the next call, if one is due. It counts as under way from now on.
    pub fn next_call(&mut self, now: Duration, names: &Names) -> Option<String> {
        if !self.due(now) {
            return None;
        }
        let (mut text, mut orders) = ("APPLY ".to_string(), Vec::new());
        while let Some(waiting) = self.waiting.front() {
            let before = text.len();
            if !orders.is_empty() {
                text.push(';');
            }
            waiting.order.write(&mut text, names);
            if text.len() > CALL_MOST {
                text.truncate(before);
                break;
            }
            orders.extend(self.waiting.pop_front());
        }
        text.push_str("\r\n");
        self.under_way = Some(UnderWay { orders, void: BTreeSet::new() });
        Some(text)
    }

    /// The relay could not be reached: the next try waits a little.
    pub fn pause(&mut self, now: Duration) {
        self.not_before = self.not_before.max(now + UNREACHED);
    }

    /// Whether a call may start now.
    pub fn due(&self, now: Duration) -> bool {
        self.under_way.is_none() && !self.waiting.is_empty() && now >= self.not_before
    }

    /// When a call may start, if any orders wait and none is under way.
    pub fn due_at(&self) -> Option<Duration> {
        (self.under_way.is_none() && !self.waiting.is_empty()).then_some(self.not_before)
    }

    /// How many of the orders that wait may have been carried out already, and since when that is not known.
    pub fn in_doubt(&self) -> Option<(usize, Duration)> {
        let orders = self.waiting.iter().filter(|w| w.in_doubt).count();
        (orders > 0).then_some((orders, self.doubted))
    }

    pub fn under_way(&self) -> bool {
        self.under_way.is_some()
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes the answer to the call under way.
    pub fn answered(&mut self, now: Duration, line: &[u8]) -> Outcome {
        let Some(call) = self.under_way.take() else { return Outcome::Unknown };
        let text = String::from_utf8_lossy(line);
        if let Some(reason) = text.strip_prefix("ERR ") {
            let reason: String = reason.chars().take(100).collect();
            self.errors += 1;
            self.not_before = now + TURNED_AWAY;
            if reason != "throttled" && self.errors >= ERRORS_MOST {
                self.errors = 0;
                self.dropped += call.orders.len() as u64;
                return Outcome::NotDone {
                    reason: format!("{reason}, {} orders dropped", call.orders.len()),
                };
            }
            self.again(call);
            return Outcome::NotDone { reason };
        }
        let taken = text.strip_prefix("OK ").and_then(|n| n.trim().parse::<usize>().ok());
        let Some(taken) = taken.filter(|taken| *taken <= call.orders.len()) else {
            return self.doubt(now, call);
        };
        self.errors = 0;
        let UnderWay { mut orders, void } = call;
        let mut rest = orders.split_off(taken);
        for done in &orders {
            match &done.order {
                RelayOrder::Line { slice, server, on } if !void.contains(slice) => {
                    self.confirmed.push(SetLine { slice: *slice, server: server.clone(), on: *on });
                }
                RelayOrder::Mark(mark) => self.carry(*mark, now),
                _ => {}
            }
        }
        if rest.is_empty() {
            return Outcome::Done;
        }
        let dropped = rest.remove(0).order;
        self.dropped += 1;
        self.again(UnderWay { orders: rest, void });
        Outcome::Short { dropped }
    }

    /// The connection broke, or nothing came in time. `whole`: the call's last byte may have arrived.
    pub fn lost(&mut self, now: Duration, whole: bool) -> Outcome {
        match self.under_way.take() {
            Some(call) if whole => self.doubt(now, call),
            Some(call) => {
                self.again(call);
                Outcome::NotDone { reason: "not sent".to_string() }
            }
            None => Outcome::Done,
        }
    }

    fn doubt(&mut self, now: Duration, mut call: UnderWay) -> Outcome {
        self.unknown += 1;
        self.doubted = now;
        for waiting in &mut call.orders {
            waiting.in_doubt = true;
            if let RelayOrder::Mark(mark) = waiting.order {
                self.carry(mark, now);
            }
        }
        self.again(call);
        Outcome::Unknown
    }

    fn carry(&mut self, mark: u16, now: Duration) {
        self.marks.iter_mut().filter(|m| m.mark == mark).for_each(|m| m.carried = Some(now));
    }

    /// Puts a call's orders before all that wait.
    fn again(&mut self, call: UnderWay) {
        let UnderWay { orders, void } = call;
        let later = std::mem::take(&mut self.waiting);
        let kept = orders.into_iter().filter(|w| w.order.slice().is_none_or(|slice| !void.contains(&slice)));
        self.waiting.extend(kept);
        for Waiting { order, ordered, .. } in later {
            self.push(ordered, [order]);
        }
    }

    /// A slice is no longer ours: orders for it must not reach the store when it is given back.
    pub fn forget(&mut self, slice: SliceId) {
        self.waiting.retain(|w| w.order.slice() != Some(slice));
        if let Some(call) = &mut self.under_way {
            call.void.insert(slice);
        }
    }

    /// What is owed to a slice by an order that sets its line.
    pub fn owed(&self, slice: SliceId) -> Owed {
        let is = |w: &Waiting| matches!(&w.order, RelayOrder::Line { slice: s, .. } if *s == slice);
        if self.under_way.iter().any(|call| call.orders.iter().any(is)) {
            return Owed::Call;
        }
        if self.waiting.iter().any(is) {
            Owed::Handover
        } else {
            Owed::Nothing
        }
    }

    /// Lines that the store is now known to have set or ended.
    pub fn take_confirmed(&mut self) -> Vec<SetLine> {
        std::mem::take(&mut self.confirmed)
    }

    /// The time from the module's order until its effect at a proxy. A proxy tells it from the call on; what
    /// passed before, in line or on calls that had to be sent again, is added, or writes would be thought to
    /// have settled before they have.
    pub fn since_order(&self, now: Duration, mark: u16, way: Duration) -> Duration {
        let times = self.marks.iter().find(|m| m.mark == mark);
        // However long it says, it was no longer than that: sums of it must not overflow.
        let way = way.min(LONG_AGO);
        times.map_or(LONG_AGO, |m| m.carried.unwrap_or(now).saturating_sub(m.ordered) + way)
    }
}

#[cfg(test)]
mod tests;
