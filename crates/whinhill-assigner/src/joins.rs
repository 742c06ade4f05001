//! The pace of full sets: what a fleet that reconnects at once may be sent a second. No I/O, no clock.
//!
//! A full set is many lines for one proxy, and no order of the decisions; it goes beside the channel, at a pace of
//! its own and only while the channel has nothing waiting, so that a crowd at the door delays no order. A stream
//! that is owed a safety order does not wait here: the set that holds the order goes at once.

use std::time::Duration;

/// Lines from which a reply counts as a full set, not as an order's.
pub const FULL: usize = 64;
/// When to ask again at the earliest: a whole fleet may be asking.
const AGAIN: Duration = Duration::from_millis(20);

#[derive(Debug)]
pub struct Joins {
    lines_per_s: f64,
    /// When the last full set has left.
    free: Duration,
    sent: u64,
    waited: u64,
}

impl Joins {
    pub fn new(lines_per_s: f64) -> Self {
        Joins { lines_per_s, free: Duration::ZERO, sent: 0, waited: 0 }
    }

    /// Whether a full set of so many lines may be made now; if not, how long to wait before asking again.
    pub fn take(&mut self, now: Duration, lines: usize, orders_wait: bool) -> Result<(), Duration> {
        if orders_wait || now < self.free {
            self.waited += 1;
            return Err(self.free.saturating_sub(now).max(AGAIN));
        }
        self.free = now + Duration::from_secs_f64(lines as f64 / self.lines_per_s);
        self.sent += lines as u64;
        Ok(())
    }

    /// Lines of full sets so far, and how often one had to wait.
    pub fn counts(&self) -> (u64, u64) {
        (self.sent, self.waited)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn full_sets_leave_at_their_pace_and_after_orders() {
        let mut joins = Joins::new(10_000.0);
        assert_eq!(joins.take(ms(0), 1000, true), Err(AGAIN));
        assert_eq!(joins.take(ms(0), 1000, false), Ok(()));
        assert_eq!(joins.take(ms(40), 1000, false), Err(ms(60)));
        assert_eq!(joins.take(ms(100), 1000, false), Ok(()));
        // Time in which nothing was sent is not saved up.
        assert_eq!(joins.take(ms(1000), 500, false), Ok(()));
        assert_eq!(joins.take(ms(1000), 500, false), Err(ms(50)));
        assert_eq!(joins.counts(), (2500, 3));
    }
}
