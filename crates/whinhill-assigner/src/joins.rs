//! The pace of full sets: what a fleet that reconnects at once may be sent a second. No I/O, no clock.
//!
//! A full set is many lines for one proxy, and no order of the decisions; it goes beside the channel, at a pace of
//! its own and, for a while, only when the channel has nothing waiting, so that a crowd at the door delays no order.
//! Yet a channel that is never empty must not leave a proxy without its tables: orders go first for `PATIENCE` at
//! most. A stream that is owed a safety order does not wait here: the set that holds the order goes at once.

use std::time::Duration;

/// Lines from which a reply counts as a full set, not as an order's.
const FULL: usize = 64;
/// How long a full set waits for orders. Longer: a proxy that joins in a release serves nothing meanwhile.
const PATIENCE: Duration = Duration::from_millis(500);
/// When to ask again at the earliest: a whole fleet may be asking.
const AGAIN: Duration = Duration::from_millis(20);

/// What a stream is about to send.
#[derive(Clone, Copy, Debug)]
pub struct Due {
    pub lines: usize,
    /// A safety order is in it.
    pub urgent: bool,
    /// Since when it has been waiting here.
    pub since: Duration,
    /// Orders wait in the channel.
    pub orders_wait: bool,
}

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

    /// Whether what is due may be sent now; if not, how long to wait before asking again.
    pub fn take(&mut self, now: Duration, due: Due) -> Result<(), Duration> {
        if due.lines < FULL || due.urgent {
            return Ok(());
        }
        let yields = due.orders_wait && now < due.since + PATIENCE;
        if yields || now < self.free {
            self.waited += 1;
            return Err(self.free.saturating_sub(now).max(AGAIN));
        }
        self.free = now + Duration::from_secs_f64(due.lines as f64 / self.lines_per_s);
        self.sent += due.lines as u64;
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

    fn due(lines: usize) -> Due {
        Due { lines, urgent: false, since: ms(0), orders_wait: false }
    }

    #[test]
    fn full_sets_leave_at_their_pace() {
        let mut joins = Joins::new(10_000.0);
        assert_eq!(joins.take(ms(0), due(1000)), Ok(()));
        assert_eq!(joins.take(ms(40), due(1000)), Err(ms(60)));
        assert_eq!(joins.take(ms(100), due(1000)), Ok(()));
        // Time in which nothing was sent is not saved up.
        assert_eq!(joins.take(ms(1000), due(500)), Ok(()));
        assert_eq!(joins.take(ms(1000), due(500)), Err(ms(50)));
        assert_eq!(joins.counts(), (2500, 2));
    }

    #[test]
    fn orders_go_first_but_not_for_ever() {
        let mut joins = Joins::new(10_000.0);
        let waiting = Due { orders_wait: true, since: ms(100), ..due(1000) };
        assert_eq!(joins.take(ms(100), waiting), Err(AGAIN));
        assert_eq!(joins.take(ms(599), waiting), Err(AGAIN));
        assert_eq!(joins.take(ms(600), waiting), Ok(()));
    }

    #[test]
    fn an_order_of_few_lines_or_a_safety_order_waits_for_no_pace() {
        let mut joins = Joins::new(10_000.0);
        assert_eq!(joins.take(ms(0), due(5000)), Ok(()));
        assert_eq!(joins.take(ms(1), due(FULL - 1)), Ok(()));
        let urgent = Due { urgent: true, orders_wait: true, ..due(5000) };
        assert_eq!(joins.take(ms(1), urgent), Ok(()));
        assert!(joins.take(ms(1), due(5000)).is_err());
    }
}
