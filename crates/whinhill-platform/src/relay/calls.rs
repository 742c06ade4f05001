//! Calls to the relay: orders wait in line, one call at a time is under way, and each has one of three outcomes.
//!
//! A call that was not carried out, or whose outcome is unknown, is sent again with the same orders, before
//! any later one. That is safe: between the two nobody else writes to a slice of ours, so the second sets what
//! the first may have set already; and when a slice is taken away its orders are dropped.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use whinhill::interface::SliceId;
use whinhill_names::Names;

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

#[derive(Clone, Debug)]
struct Waiting {
    order: RelayOrder,
    ordered: Duration,
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
    marks: VecDeque<MarkTimes>,
    last_mark: Option<u16>,
    /// Slices with a line that the store is known to hold since the last look.
    confirmed: Vec<(SliceId, Option<String>)>,
    pub unknown: u64,
    pub dropped: u64,
}

impl Calls {
    /// Puts the orders of one reply in line. Where they replace some that still wait, those go.
    pub fn push(&mut self, now: Duration, orders: impl IntoIterator<Item = RelayOrder>) {
        for order in orders {
            let mut ordered = now;
            match &order {
                RelayOrder::Line { slice, on: true, .. } => self.waiting.retain(
                    |w| !matches!(&w.order, RelayOrder::Line { slice: earlier, .. } if earlier == slice),
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
            self.waiting.push_back(Waiting { order, ordered });
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
                    self.confirmed.push((*slice, on.then(|| server.clone())));
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

    fn doubt(&mut self, now: Duration, call: UnderWay) -> Outcome {
        self.unknown += 1;
        for waiting in &call.orders {
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
        for Waiting { order, ordered } in later {
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

    /// Whether an order for the slice's line waits or is under way.
    pub fn in_doubt(&self, slice: SliceId) -> bool {
        let is = |w: &Waiting| matches!(&w.order, RelayOrder::Line { slice: s, .. } if *s == slice);
        self.waiting.iter().any(is) || self.under_way.iter().any(|call| call.orders.iter().any(is))
    }

    /// Lines that the store is now known to hold.
    pub fn take_confirmed(&mut self) -> Vec<(SliceId, Option<String>)> {
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
mod tests {
    use super::*;
    use whinhill::interface::Settings;

    const MS: Duration = Duration::from_millis(1);

    fn names() -> Names {
        let pairs = [("classes.count", "1"), ("classes.0.name", "look"), ("familyInfo.shards", "9")];
        Names::new(&Settings(pairs.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect()))
    }

    fn line(slice: SliceId, server: &str, on: bool) -> RelayOrder {
        RelayOrder::Line { slice, server: server.to_string(), on }
    }

    fn sent(calls: &mut Calls, now: Duration) -> String {
        calls.next_call(now, &names()).unwrap_or_default()
    }

    #[test]
    fn one_call_at_a_time_and_none_overtakes() {
        let mut calls = Calls::default();
        calls.push(MS, [line(1, "a", true), RelayOrder::Mark(1)]);
        assert_eq!(sent(&mut calls, MS), "APPLY put,1,a,1;fence,1,1\r\n");
        calls.push(MS * 2, [line(2, "b", true)]);
        assert_eq!(sent(&mut calls, MS * 2), "");
        assert_eq!(calls.answered(MS * 3, b"OK 2"), Outcome::Done);
        assert_eq!(calls.take_confirmed(), [(1, Some("a".to_string()))]);
        assert_eq!(sent(&mut calls, MS * 3), "APPLY put,2,b,1\r\n");
    }

    /// A cut after the last byte leaves a grant or a revoke in doubt: the same is sent again, first.
    #[test]
    fn an_unknown_call_is_sent_again_before_later_ones() {
        for on in [true, false] {
            let mut calls = Calls::default();
            calls.push(MS, [line(1, "a", on)]);
            let first = sent(&mut calls, MS);
            calls.push(MS * 2, [RelayOrder::Mark(7)]);
            assert_eq!(calls.lost(MS * 300, true), Outcome::Unknown);
            assert_eq!(calls.unknown, 1);
            let again = sent(&mut calls, MS * 300);
            assert_eq!(again, format!("{};fence,7,1\r\n", first.trim_end()));
        }
    }

    /// A slice taken and given again while a call is in doubt: the old owner must not be set again.
    #[test]
    fn orders_of_a_slice_taken_away_are_not_sent_again() {
        let mut calls = Calls::default();
        calls.push(MS, [line(1, "a", true), line(2, "b", true)]);
        sent(&mut calls, MS);
        calls.push(MS, [line(1, "c", false)]);
        calls.forget(1);
        assert_eq!(calls.lost(MS * 2, true), Outcome::Unknown);
        assert_eq!(sent(&mut calls, MS * 2), "APPLY put,2,b,1\r\n");
    }

    #[test]
    fn an_answer_short_of_what_was_sent_drops_the_order_at_fault() {
        for taken in [0, 1] {
            let mut calls = Calls::default();
            calls.push(MS, [line(0, "a", true), line(1, "b", true), line(2, "c", true)]);
            sent(&mut calls, MS);
            let outcome = calls.answered(MS * 2, format!("OK {taken}").as_bytes());
            let fault = ["a", "b"][taken];
            assert_eq!(outcome, Outcome::Short { dropped: line(taken, fault, true) });
            assert_eq!(calls.take_confirmed().len(), taken);
            let rest = ["APPLY put,1,b,1;put,2,c,1\r\n", "APPLY put,2,c,1\r\n"][taken];
            assert_eq!(sent(&mut calls, MS * 2), rest);
        }
    }

    #[test]
    fn what_is_no_answer_leaves_the_call_in_doubt() {
        for answer in [b"OK".as_slice(), b"OK 9", b"OK -1", b"\xff\xfe", b""] {
            let mut calls = Calls::default();
            calls.push(MS, [line(1, "a", true)]);
            sent(&mut calls, MS);
            assert_eq!(calls.answered(MS * 2, answer), Outcome::Unknown);
        }
    }

    #[test]
    fn a_call_turned_away_waits_and_goes_again() {
        let mut calls = Calls::default();
        calls.push(MS, [line(1, "a", true)]);
        sent(&mut calls, MS);
        assert!(matches!(calls.answered(MS, b"ERR throttled"), Outcome::NotDone { .. }));
        assert_eq!((sent(&mut calls, MS * 50), calls.due_at()), (String::new(), Some(MS * 101)));
        assert_eq!(sent(&mut calls, MS * 101), "APPLY put,1,a,1\r\n");
    }

    #[test]
    fn what_waits_is_replaced_by_what_follows_it_and_so_bounded() {
        let mut calls = Calls::default();
        let level = |share| RelayOrder::Level { slice: 1, methods: 1, share, tries: 0 };
        for mark in 0..100 {
            calls.push(
                MS * u32::from(mark),
                [level(0.5), line(1, "a", true), line(1, "a", false), RelayOrder::Mark(mark)],
            );
        }
        assert_eq!(sent(&mut calls, MS), "APPLY gate,1,look,0.500,0;put,1,a,1;put,1,a,0;fence,99,1\r\n");
    }

    /// The line of another server must be replaced before it is taken away: both orders stay.
    #[test]
    fn a_line_set_and_taken_away_is_both() {
        let mut calls = Calls::default();
        calls.push(MS, [line(1, "b", true)]);
        calls.push(MS, [line(1, "b", false)]);
        assert_eq!(sent(&mut calls, MS), "APPLY put,1,b,1;put,1,b,0\r\n");
    }

    #[test]
    fn a_long_reply_is_split_and_keeps_its_order() {
        let mut calls = Calls::default();
        let name = "s".repeat(60);
        calls.push(MS, (0..2000).map(|slice| line(slice, &name, true)));
        calls.push(MS, [RelayOrder::Mark(1)]);
        let mut seen = 0;
        while calls.due(MS) {
            let text = sent(&mut calls, MS);
            assert!(text.len() <= CALL_MOST + 2);
            let orders = text.trim_end().split(';').count();
            seen += orders;
            assert_eq!(calls.answered(MS, format!("OK {orders}").as_bytes()), Outcome::Done);
        }
        assert_eq!(seen, 2001);
    }

    /// Writes settle from the time at which they stopped, not from the order that waited in line.
    #[test]
    fn an_answers_time_counts_from_the_order() {
        let mut calls = Calls::default();
        calls.push(MS * 100, [RelayOrder::Mark(1)]);
        sent(&mut calls, MS * 130);
        assert_eq!(calls.lost(MS * 430, true), Outcome::Unknown);
        sent(&mut calls, MS * 430);
        calls.answered(MS * 440, b"OK 1");
        assert_eq!(calls.since_order(MS * 600, 1, MS * 90), MS * 430);
        assert!(calls.since_order(MS * 600, 1, Duration::MAX) < LONG_AGO * 2);
        calls.mark_again(MS * 700);
        assert!(calls.since_order(MS * 800, 1, MS * 90) >= MS * 800);
    }
}
