//! Maps reporting intervals to the local clock. A report states the length of its interval by the proxy's clock, but
//! not when it ended. Reports may be late, and clocks may drift, jump or stop.
//!
//! The intervals of one proxy are adjacent, so their sum is the proxy's own clock. The smallest time by which a report
//! ever arrived after that clock is taken as the offset between the clocks; a report that arrives later than that was
//! delayed by the difference. The offset may only grow slowly, so that a burst of delayed reports is spread over the
//! time that it covers, and not placed at the moment of its arrival. There are two exceptions. Reports that arrive
//! regularly are not delayed, whatever length they state (the clock is slow, or an interval was lost). And on a new
//! stream no report was delayed before the stream was opened. Intervals of one proxy can't overlap: the overlapping
//! part is not new.

use std::time::Duration;

/// The maximum growth of the clock offset, as a fraction of the time that passes. A lost interval is caught up with in
/// ten times its length.
const MAX_OFFSET_GROWTH: f64 = 0.1;
/// After this many consecutive reports that arrive 0.5 to 3 intervals apart, reports count as not delayed.
const REGULAR_REPORTS_THRESHOLD: u32 = 8;
/// The maximum interval that is accepted from a first report.
const MAX_FIRST_INTERVAL: Duration = Duration::from_secs(10);
/// The minimum length of an interval; a shorter one counts as not stated.
const MIN_INTERVAL: Duration = Duration::from_millis(1);

/// A reporting interval on the local clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacedInterval {
    /// The start.
    pub from: Duration,
    /// The end.
    pub to: Duration,
    /// The time before which earlier reports cover the interval.
    pub new_from: Duration,
    /// The time between the end and the arrival of the report.
    pub lag: Duration,
    /// Whether the stated length was missing or impossible, and was replaced.
    pub corrected: bool,
}

/// One proxy's clock, derived from its reports. Times are in seconds.
#[derive(Clone, Debug, Default)]
pub struct ProxyClock {
    /// The sum of all intervals: the proxy's own clock.
    reported_total: f64,
    /// The local time minus `reported_total`.
    offset: f64,
    last: Option<LastReport>,
    /// The number of consecutive regular reports.
    regular_reports: u32,
    /// Whether a stream was opened. The next report whose offset would be limited is exempted, which clears this.
    stream_reopened: bool,
    /// How much further intervals may overlap and still count as new.
    overlap_allowance: f64,
}

/// The last report of a proxy, on the local clock.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    arrived: f64,
    end: f64,
}

impl ProxyClock {
    /// Places the interval of a report that arrived `now`, with the length that the report states. `slack` is the
    /// tolerance for reports that arrive slightly early or late.
    pub fn place(&mut self, now: Duration, stated: Option<Duration>, slack: Duration) -> PlacedInterval {
        let now = now.as_secs_f64();
        let stated = stated.filter(|stated| *stated >= MIN_INTERVAL).map(|stated| stated.as_secs_f64());
        let (mut interval, corrected) = match (stated, self.last) {
            // The interval can't start before the last one ended, nor end after the report arrived.
            (Some(stated), Some(last)) => {
                let max_interval = now - last.end + slack.as_secs_f64();
                (stated.min(max_interval), stated > max_interval)
            }
            (Some(stated), None) => {
                (stated.min(MAX_FIRST_INTERVAL.as_secs_f64()), stated > MAX_FIRST_INTERVAL.as_secs_f64())
            }
            (None, Some(last)) => (now - last.arrived, true),
            (None, None) => (MIN_INTERVAL.as_secs_f64(), true),
        };
        interval = interval.max(MIN_INTERVAL.as_secs_f64()).min(now.max(MIN_INTERVAL.as_secs_f64()));
        let passed = self.last.map_or(0.0, |last| now - last.arrived);
        // A long gap says nothing about regularity; the network may have been down.
        let is_regular = interval * 0.5 < passed && passed < interval * 3.0;
        self.regular_reports = if is_regular { self.regular_reports + 1 } else { 0 };
        self.reported_total += interval;
        let offset = now - self.reported_total;
        let limited = self.last.is_some()
            && self.regular_reports < REGULAR_REPORTS_THRESHOLD
            && !std::mem::take(&mut self.stream_reopened);
        self.offset = if limited { offset.min(self.offset + passed * MAX_OFFSET_GROWTH) } else { offset };
        let end = self.reported_total + self.offset;
        let last_end = self.last.map_or(0.0, |last| last.end);
        // Intervals of reports that arrive slightly early or late overlap slightly. The allowance for this is restored
        // at the rate at which the offset may grow, up to `slack`.
        self.overlap_allowance =
            (self.overlap_allowance + passed * MAX_OFFSET_GROWTH).min(slack.as_secs_f64());
        let overlap = (last_end - (end - interval)).clamp(0.0, self.overlap_allowance);
        self.overlap_allowance -= overlap;
        self.last = Some(LastReport { arrived: now, end });
        let at = |seconds: f64| Duration::from_secs_f64(seconds.max(0.0));
        let new_from = at(last_end - overlap);
        PlacedInterval { from: at(end - interval), to: at(end), new_from, lag: at(now - end), corrected }
    }

    /// Notes that the proxy opened a new stream.
    pub fn stream_reopened(&mut self) {
        self.stream_reopened = true;
    }

    /// The end of the last interval on the local clock; `None` before the first report.
    pub fn reported_until(&self) -> Option<Duration> {
        self.last.map(|last| Duration::from_secs_f64(last.end.max(0.0)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn secs(seconds: f64) -> Duration {
        Duration::from_secs_f64(seconds)
    }

    const SLACK: Duration = Duration::from_millis(500);

    /// A clock after reports of one second each, arriving each second up to `until`.
    fn steady(until: u32) -> ProxyClock {
        let mut clock = ProxyClock::default();
        for at in 1..=until {
            clock.place(secs(f64::from(at)), Some(secs(1.0)), SLACK);
        }
        clock
    }

    fn near(found: Duration, expected: f64, tolerance: f64) -> bool {
        (found.as_secs_f64() - expected).abs() <= tolerance
    }

    #[test]
    fn backlog_that_arrives_at_once_is_spread_over_the_time_it_covers() {
        let mut clock = steady(20);
        for k in 1..=60u32 {
            let placed = clock.place(secs(80.0), Some(secs(1.0)), SLACK);
            // The offset may have grown by a tenth of 60 s; the next report corrects it.
            assert!(near(placed.to, 20.0 + f64::from(k), 6.1), "{k}: {placed:?}");
        }
        assert!(near(clock.place(secs(81.0), Some(secs(1.0)), SLACK).to, 81.0, 0.01));
    }

    #[test]
    fn backlog_on_a_new_stream_is_new_only_within_the_tolerance() {
        let mut clock = steady(20);
        clock.stream_reopened();
        let new_part =
            |placed: PlacedInterval| placed.to.saturating_sub(placed.new_from.max(placed.from)).as_secs_f64();
        let found: f64 = (0..60).map(|_| new_part(clock.place(secs(80.0), Some(secs(1.0)), SLACK))).sum();
        assert!(found < 2.0, "{found}");
    }

    #[test]
    fn long_report_after_a_disconnection_covers_the_disconnection() {
        let placed = steady(20).place(secs(50.0), Some(secs(30.0)), SLACK);
        assert!(near(placed.from, 20.0, 0.01) && near(placed.to, 50.0, 0.01) && !placed.corrected);
    }

    #[test]
    fn impossible_intervals_are_corrected_by_the_local_clock() {
        for stated in [Some(secs(3600.0)), Some(Duration::ZERO), None] {
            let placed = steady(20).place(secs(21.0), stated, SLACK);
            assert!(
                placed.corrected && near(placed.from, 20.0, 0.6) && near(placed.to, 21.0, 0.01),
                "{placed:?}"
            );
        }
        assert!(ProxyClock::default().place(secs(5.0), Some(secs(3600.0)), SLACK).from < secs(0.1));
    }

    #[test]
    fn clock_catches_up_after_a_lost_report_and_with_a_slow_proxy_clock() {
        let mut clock = steady(20);
        for at in 22..=40u32 {
            clock.place(secs(f64::from(at)), Some(secs(1.0)), SLACK);
        }
        assert!(near(clock.reported_until().unwrap(), 40.0, 0.01));
        // Reports that state half a second for each second.
        for at in 41..=60u32 {
            clock.place(secs(f64::from(at)), Some(secs(0.5)), SLACK);
        }
        assert!(near(clock.reported_until().unwrap(), 60.0, 0.01));
    }
}
