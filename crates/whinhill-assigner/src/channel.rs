//! The rate-limited queue of messages to the proxies. No I/O, no clock.
//!
//! At most one message is queued for each proxy; later changes are merged into it. So the queue is bounded by
//! proxies times slices, and a slow channel carries the newest state instead of every intermediate one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use whinhill::interface::{ProxyId, SliceId};

/// The message queued for one proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyMessage {
    /// Slices whose tables have changed.
    pub slices: BTreeSet<SliceId>,
    /// Sequence numbers that the proxy must acknowledge.
    pub ack_seqs: Vec<u16>,
    /// Lines that it costs, the overhead included.
    pub lines: u32,
    /// Whether it contains a safety order; such messages go first.
    pub safety: bool,
    /// Its position in the queue.
    queue_seq: u64,
}

/// The queue and its rate limit.
#[derive(Debug)]
pub struct Channel {
    lines_per_s: f64,
    /// Lines that a message costs beside its changes.
    message_overhead: u32,
    queued: BTreeMap<ProxyId, ProxyMessage>,
    last_queue_seq: u64,
    /// When the last message counts as sent, at the configured rate.
    next_send_at: Duration,
    lines_sent: u64,
    max_queued_lines: u64,
}

impl Channel {
    /// An empty channel.
    pub fn new(lines_per_s: f64, message_overhead: u32) -> Self {
        Channel {
            lines_per_s,
            message_overhead,
            queued: BTreeMap::new(),
            last_queue_seq: 0,
            next_send_at: Duration::ZERO,
            lines_sent: 0,
            max_queued_lines: 0,
        }
    }

    /// Queues one batch's changes for each of the proxies. `lines` is their cost without the overhead of a message.
    pub fn push(
        &mut self,
        proxies: impl Iterator<Item = ProxyId>,
        slices: &BTreeSet<SliceId>,
        ack_seq: Option<u16>,
        lines: u32,
        safety: bool,
    ) {
        for proxy in proxies {
            let message_overhead = self.message_overhead;
            let last_queue_seq = &mut self.last_queue_seq;
            let message = self.queued.entry(proxy).or_insert_with(|| {
                *last_queue_seq += 1;
                ProxyMessage {
                    lines: message_overhead,
                    queue_seq: *last_queue_seq,
                    ..ProxyMessage::default()
                }
            });
            message.slices.extend(slices);
            message.ack_seqs.extend(ack_seq);
            message.lines += lines;
            message.safety |= safety;
        }
        self.max_queued_lines = self.max_queued_lines.max(self.queued_lines());
    }

    /// The message to send now, or the time of the next attempt; `None` if nothing is queued.
    pub fn next(&mut self, now: Duration) -> Option<Result<(ProxyId, ProxyMessage), Duration>> {
        let (&proxy, _) =
            self.queued.iter().min_by_key(|(_, message)| (!message.safety, message.queue_seq))?;
        if now < self.next_send_at {
            return Some(Err(self.next_send_at));
        }
        let message = self.queued.remove(&proxy)?;
        // Idle time is not credited.
        self.next_send_at = now + Duration::from_secs_f64(f64::from(message.lines) / self.lines_per_s);
        self.lines_sent += u64::from(message.lines);
        Some(Ok((proxy, message)))
    }

    /// Whether a message is queued for a proxy.
    pub fn has_queued(&self, proxy: ProxyId) -> bool {
        self.queued.contains_key(&proxy)
    }

    /// Drops the message of a proxy that left.
    pub fn remove_proxy(&mut self, proxy: ProxyId) {
        self.queued.remove(&proxy);
    }

    /// The number of queued lines.
    pub fn queued_lines(&self) -> u64 {
        self.queued.values().map(|message| u64::from(message.lines)).sum()
    }

    /// The greatest number of queued lines so far.
    pub fn max_queued_lines(&self) -> u64 {
        self.max_queued_lines
    }

    /// Lines sent so far.
    pub fn lines_sent(&self) -> u64 {
        self.lines_sent
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn messages_are_paced_and_merged_and_safety_goes_first() {
        let mut channel = Channel::new(1000.0, 8);
        channel.push([1, 2].into_iter(), &[5].into(), Some(1), 2, false);
        channel.push([3].into_iter(), &[7].into(), None, 2, true);
        channel.push([2].into_iter(), &[6].into(), Some(2), 2, false);
        assert_eq!((channel.queued_lines(), channel.max_queued_lines()), (10 + 12 + 10, 32));
        let Some(Ok((3, _))) = channel.next(ms(0)) else { panic!("safety goes first") };
        assert_eq!(channel.next(ms(9)), Some(Err(ms(10))));
        let Some(Ok((1, _))) = channel.next(ms(10)) else { panic!("then in queue order") };
        let Some(Ok((2, message))) = channel.next(ms(20)) else { panic!("the merged one last") };
        assert_eq!((message.slices, message.ack_seqs, message.lines), ([5, 6].into(), vec![1, 2], 12));
        assert_eq!((channel.next(ms(99)), channel.queued_lines(), channel.lines_sent()), (None, 0, 32));
    }
}
