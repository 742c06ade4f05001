//! Limits the rate of full sets, for a whole fleet of proxies that reconnects at once. No I/O, no clock.
//!
//! A full set is many lines for one proxy and contains no new order. It does not pass through the channel: it has a
//! rate of its own and at first is sent only while the channel is empty, so that many joining proxies delay no order.
//! Since a channel that is never empty must not leave a proxy without its tables, orders go first for at most
//! `MAX_YIELD`. A set that contains a safety order is sent at once.

use std::time::Duration;

/// A response with at least this many lines counts as a full set; a shorter one carries an order.
const FULL_SET_MIN_LINES: usize = 64;
/// How long a full set waits for orders at most: a proxy that joins while servers are being replaced serves nothing
/// until it has a full set.
const MAX_YIELD: Duration = Duration::from_millis(500);
/// The shortest delay before the next attempt, since a whole fleet may be waiting.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The responses that a stream is about to send.
#[derive(Clone, Copy, Debug)]
pub struct PendingSend {
    pub lines: usize,
    /// Whether they contain a safety order.
    pub safety: bool,
    /// When they began to wait.
    pub waiting_since: Duration,
    /// Whether orders are queued in the channel.
    pub orders_queued: bool,
}

/// Decides when a full set may be sent.
#[derive(Debug)]
pub struct FullSetPacer {
    lines_per_s: f64,
    /// When the last full set counts as sent, at the configured rate.
    next_send_at: Duration,
    lines_sent: u64,
    /// How often sending was delayed.
    delays: u64,
}

impl FullSetPacer {
    /// A pacer for this many lines per second.
    pub fn new(lines_per_s: f64) -> Self {
        FullSetPacer { lines_per_s, next_send_at: Duration::ZERO, lines_sent: 0, delays: 0 }
    }

    /// Whether the responses may be sent now; if not, how long to wait before the next attempt.
    pub fn try_send(&mut self, now: Duration, pending: PendingSend) -> Result<(), Duration> {
        if pending.lines < FULL_SET_MIN_LINES || pending.safety {
            return Ok(());
        }
        let yields_to_orders = pending.orders_queued && now < pending.waiting_since + MAX_YIELD;
        if yields_to_orders || now < self.next_send_at {
            self.delays += 1;
            return Err(self.next_send_at.saturating_sub(now).max(MIN_RETRY_DELAY));
        }
        self.next_send_at = now + Duration::from_secs_f64(pending.lines as f64 / self.lines_per_s);
        self.lines_sent += pending.lines as u64;
        Ok(())
    }

    /// Lines of full sets sent so far, and how often sending one was delayed.
    pub fn counts(&self) -> (u64, u64) {
        (self.lines_sent, self.delays)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn pending(lines: usize) -> PendingSend {
        PendingSend { lines, safety: false, waiting_since: ms(0), orders_queued: false }
    }

    #[test]
    fn full_sets_are_paced() {
        let mut pacer = FullSetPacer::new(10_000.0);
        assert_eq!(pacer.try_send(ms(0), pending(1000)), Ok(()));
        assert_eq!(pacer.try_send(ms(40), pending(1000)), Err(ms(60)));
        assert_eq!(pacer.try_send(ms(100), pending(1000)), Ok(()));
        // Idle time is not credited.
        assert_eq!(pacer.try_send(ms(1000), pending(500)), Ok(()));
        assert_eq!(pacer.try_send(ms(1000), pending(500)), Err(ms(50)));
        assert_eq!(pacer.counts(), (2500, 2));
    }

    #[test]
    fn queued_orders_delay_a_full_set_for_a_limited_time() {
        let mut pacer = FullSetPacer::new(10_000.0);
        let delayed = PendingSend { orders_queued: true, waiting_since: ms(100), ..pending(1000) };
        assert_eq!(pacer.try_send(ms(100), delayed), Err(MIN_RETRY_DELAY));
        assert_eq!(pacer.try_send(ms(599), delayed), Err(MIN_RETRY_DELAY));
        assert_eq!(pacer.try_send(ms(600), delayed), Ok(()));
    }

    #[test]
    fn short_message_or_safety_order_is_not_paced() {
        let mut pacer = FullSetPacer::new(10_000.0);
        assert_eq!(pacer.try_send(ms(0), pending(5000)), Ok(()));
        assert_eq!(pacer.try_send(ms(1), pending(FULL_SET_MIN_LINES - 1)), Ok(()));
        let with_safety_order = PendingSend { safety: true, orders_queued: true, ..pending(5000) };
        assert_eq!(pacer.try_send(ms(1), with_safety_order), Ok(()));
        assert!(pacer.try_send(ms(1), pending(5000)).is_err());
    }
}
