//! When a report's stretch was, by our clock. A report says how long its stretch was by the proxy's clock, and not
//! when it ended; it may be late, and clocks may run off, jump or stand still.
//!
//! Stretches of one proxy lie end to end, so their sum is the proxy's own clock. The least time by which a report
//! ever came after that clock is taken for the distance between the clocks: a report that comes later than that was
//! held up on its way, by as much. The distance may grow slowly only, so that a burst of held-up reports is laid
//! out over the time in which it came about, not over the moment at which it arrived. Two exceptions: reports that
//! come evenly are not held up, whatever their own word (a slow clock, a stretch that was lost), and on a new stream
//! nothing was held up before it stood. And no proxy has two stretches at one time: what overlaps is not news.

use std::time::Duration;

/// The distance between clocks may grow by this share of the time that passes: a stretch that was lost on its way is
/// made up for in ten times its length.
const GROWTH: f64 = 0.1;
/// After so many reports in a row that came as far apart as their stretches are long, or further, nothing is held up.
const EVEN_AFTER: u32 = 8;
/// The longest stretch that a first report is believed.
const FIRST_MOST: Duration = Duration::from_secs(10);
const LEAST: Duration = Duration::from_millis(1);

/// Where a stretch was put, on our clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placed {
    pub from: Duration,
    pub to: Duration,
    /// From when on it is news: what lies before was told already.
    pub fresh: Duration,
    /// How long after its end it came.
    pub late: Duration,
    /// Its own word of its length was impossible, and ours was taken.
    pub mended: bool,
}

/// One proxy's clock, as its reports tell it.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    /// The sum of its stretches, in seconds.
    own: f64,
    /// What is added to it to get our time.
    ahead: f64,
    last: Option<Last>,
    even: u32,
    reopened: bool,
    /// Seconds by which its stretches may yet overlap.
    credit: f64,
}

#[derive(Clone, Copy, Debug)]
struct Last {
    came: f64,
    end: f64,
}

impl Clock {
    /// Puts a stretch that arrived `now`.
    pub fn place(&mut self, now: Duration, told: Option<Duration>, slack: Duration) -> Placed {
        let now = now.as_secs_f64();
        let told = told.filter(|told| *told >= LEAST).map(|told| told.as_secs_f64());
        let (mut stretch, mended) = match (told, self.last) {
            // It can't have begun before the one before it ended, nor end after it came.
            (Some(told), Some(last)) => {
                let most = now - last.end + slack.as_secs_f64();
                (told.min(most), told > most)
            }
            (Some(told), None) => (told.min(FIRST_MOST.as_secs_f64()), told > FIRST_MOST.as_secs_f64()),
            (None, Some(last)) => (now - last.came, true),
            (None, None) => (LEAST.as_secs_f64(), true),
        };
        stretch = stretch.max(LEAST.as_secs_f64()).min(now.max(LEAST.as_secs_f64()));
        let passed = self.last.map_or(0.0, |last| now - last.came);
        // A gap before it may have been anything, a standstill of the network too.
        let evenly = stretch * 0.5 < passed && passed < stretch * 3.0;
        self.even = if evenly { self.even + 1 } else { 0 };
        self.own += stretch;
        let ahead = now - self.own;
        let limited = self.last.is_some() && self.even < EVEN_AFTER && !std::mem::take(&mut self.reopened);
        self.ahead = if limited { ahead.min(self.ahead + passed * GROWTH) } else { ahead };
        let end = self.own + self.ahead;
        let before = self.last.map_or(0.0, |last| last.end);
        // Where reports come a little early or late, stretches overlap a little.
        self.credit = (self.credit + passed * GROWTH).min(slack.as_secs_f64());
        let overlap = (before - (end - stretch)).clamp(0.0, self.credit);
        self.credit -= overlap;
        self.last = Some(Last { came: now, end });
        let at = |seconds: f64| Duration::from_secs_f64(seconds.max(0.0));
        let fresh = at(before - overlap);
        Placed { from: at(end - stretch), to: at(end), fresh, late: at(now - end), mended }
    }

    /// It opened a new stream.
    pub fn reopened(&mut self) {
        self.reopened = true;
    }

    /// Up to when, by our clock, it has been heard.
    pub fn heard_until(&self) -> Option<Duration> {
        self.last.map(|last| Duration::from_secs_f64(last.end.max(0.0)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn s(seconds: f64) -> Duration {
        Duration::from_secs_f64(seconds)
    }

    const SLACK: Duration = Duration::from_millis(500);

    /// A clock that has told a second each second, up to `until`.
    fn steady(until: u32) -> Clock {
        let mut clock = Clock::default();
        for at in 1..=until {
            clock.place(s(f64::from(at)), Some(s(1.0)), SLACK);
        }
        clock
    }

    fn near(found: Duration, wanted: f64, by: f64) -> bool {
        (found.as_secs_f64() - wanted).abs() <= by
    }

    #[test]
    fn a_backlog_that_comes_at_once_lies_where_it_came_about() {
        let mut clock = steady(20);
        for k in 1..=60u32 {
            let placed = clock.place(s(80.0), Some(s(1.0)), SLACK);
            // The distance had 60 s to grow in, by a tenth; the last one brings it back.
            assert!(near(placed.to, 20.0 + f64::from(k), 6.1), "{k}: {placed:?}");
        }
        assert!(near(clock.place(s(81.0), Some(s(1.0)), SLACK).to, 81.0, 0.01));
    }

    #[test]
    fn a_backlog_on_a_new_stream_is_news_for_as_long_as_it_can_be() {
        let mut clock = steady(20);
        clock.reopened();
        let news = |placed: Placed| placed.to.saturating_sub(placed.fresh.max(placed.from)).as_secs_f64();
        let found: f64 = (0..60).map(|_| news(clock.place(s(80.0), Some(s(1.0)), SLACK))).sum();
        assert!(found < 2.0, "{found}");
    }

    #[test]
    fn one_long_report_after_a_cut_is_as_long_as_the_cut() {
        let placed = steady(20).place(s(50.0), Some(s(30.0)), SLACK);
        assert!(near(placed.from, 20.0, 0.01) && near(placed.to, 50.0, 0.01) && !placed.mended);
    }

    #[test]
    fn stretches_that_can_not_be_are_mended_by_our_clock() {
        for told in [Some(s(3600.0)), Some(Duration::ZERO), None] {
            let placed = steady(20).place(s(21.0), told, SLACK);
            assert!(
                placed.mended && near(placed.from, 20.0, 0.6) && near(placed.to, 21.0, 0.01),
                "{placed:?}"
            );
        }
        assert!(Clock::default().place(s(5.0), Some(s(3600.0)), SLACK).from < s(0.1));
    }

    #[test]
    fn a_lost_report_and_a_slow_clock_are_caught_up_with() {
        let mut clock = steady(20);
        for at in 22..=40u32 {
            clock.place(s(f64::from(at)), Some(s(1.0)), SLACK);
        }
        assert!(near(clock.heard_until().unwrap(), 40.0, 0.01));
        // Half a second told for each that passes.
        for at in 41..=60u32 {
            clock.place(s(f64::from(at)), Some(s(0.5)), SLACK);
        }
        assert!(near(clock.heard_until().unwrap(), 60.0, 0.01));
    }
}
