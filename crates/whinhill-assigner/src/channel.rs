//! The channel to the proxies: what waits, and what goes next. No I/O, no clock.
//!
//! One parcel waits for a proxy at most; what comes meanwhile is folded into it. So the channel is bounded by
//! proxies times slices, and a slow channel carries the newest state instead of each step to it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use whinhill::interface::{ProxyId, SliceId};

/// One message: slices whose tables have changed, and marks to be answered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Parcel {
    pub slices: BTreeSet<SliceId>,
    pub marks: Vec<u16>,
    /// Lines that it costs.
    pub lines: u32,
    pub safety: bool,
    /// Its place in the queue.
    turn: u64,
}

#[derive(Debug)]
pub struct Channel {
    lines_per_s: f64,
    head: u32,
    waiting: BTreeMap<ProxyId, Parcel>,
    turns: u64,
    /// When the last parcel has left.
    free: Duration,
    sent: u64,
    most: u64,
}

impl Channel {
    pub fn new(lines_per_s: f64, head: u32) -> Self {
        Channel {
            lines_per_s,
            head,
            waiting: BTreeMap::new(),
            turns: 0,
            free: Duration::ZERO,
            sent: 0,
            most: 0,
        }
    }

    /// Adds one batch's changes for each of the proxies. `lines` is what they cost beside the head.
    pub fn push(
        &mut self,
        proxies: impl Iterator<Item = ProxyId>,
        slices: &BTreeSet<SliceId>,
        mark: Option<u16>,
        lines: u32,
        safety: bool,
    ) {
        for proxy in proxies {
            let head = self.head;
            let turns = &mut self.turns;
            let parcel = self.waiting.entry(proxy).or_insert_with(|| {
                *turns += 1;
                Parcel { lines: head, turn: *turns, ..Parcel::default() }
            });
            parcel.slices.extend(slices);
            parcel.marks.extend(mark);
            parcel.lines += lines;
            parcel.safety |= safety;
        }
        self.most = self.most.max(self.fill());
    }

    /// The parcel to send now, or the time at which to ask again; `None` while nothing waits.
    pub fn next(&mut self, now: Duration) -> Option<Result<(ProxyId, Parcel), Duration>> {
        let (&proxy, _) = self.waiting.iter().min_by_key(|(_, parcel)| (!parcel.safety, parcel.turn))?;
        if now < self.free {
            return Some(Err(self.free));
        }
        let parcel = self.waiting.remove(&proxy)?;
        // Time in which nothing was sent is not saved up.
        self.free = now + Duration::from_secs_f64(f64::from(parcel.lines) / self.lines_per_s);
        self.sent += u64::from(parcel.lines);
        Some(Ok((proxy, parcel)))
    }

    /// Whether something waits for a proxy.
    pub fn waits(&self, proxy: ProxyId) -> bool {
        self.waiting.contains_key(&proxy)
    }

    /// A proxy left: what waits for it is lost.
    pub fn left(&mut self, proxy: ProxyId) {
        self.waiting.remove(&proxy);
    }

    /// Lines that wait.
    pub fn fill(&self) -> u64 {
        self.waiting.values().map(|parcel| u64::from(parcel.lines)).sum()
    }

    /// The most that ever waited.
    pub fn most(&self) -> u64 {
        self.most
    }

    pub fn sent(&self) -> u64 {
        self.sent
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn parcels_leave_at_the_pace_safety_first_and_fold_what_follows() {
        let mut channel = Channel::new(1000.0, 8);
        channel.push([1, 2].into_iter(), &[5].into(), Some(1), 2, false);
        channel.push([3].into_iter(), &[7].into(), None, 2, true);
        channel.push([2].into_iter(), &[6].into(), Some(2), 2, false);
        assert_eq!((channel.fill(), channel.most()), (10 + 12 + 10, 32));
        let Some(Ok((3, _))) = channel.next(ms(0)) else { panic!("safety goes first") };
        assert_eq!(channel.next(ms(9)), Some(Err(ms(10))));
        let Some(Ok((1, _))) = channel.next(ms(10)) else { panic!("then by turn") };
        let Some(Ok((2, parcel))) = channel.next(ms(20)) else { panic!("the folded one last") };
        assert_eq!((parcel.slices, parcel.marks, parcel.lines), ([5, 6].into(), vec![1, 2], 12));
        assert_eq!((channel.next(ms(99)), channel.fill(), channel.sent()), (None, 0, 32));
    }
}
