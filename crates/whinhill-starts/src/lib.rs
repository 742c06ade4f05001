//! Converts the start times of servers from wall-clock timestamps to monotonic time.
//!
//! The wall clock of this machine, or that of the servers, may be stepped by seconds or hours. A timestamp is
//! therefore converted once, when a server list first contains it, and the result is kept: later clock steps do not
//! change it. Two facts that do not depend on the wall clock bound the result: a server that the previous list did not
//! contain cannot have been running for hours, and no server starts in the future. If several clock offsets give a
//! possible start, the latest start counts: a server that is taken for warm too early is overloaded, while one that is
//! taken for cold somewhat longer only receives its load later.
//!
//! ```
//! use std::time::Duration;
//! use whinhill_starts::{ClockReading, StartTimes};
//! let mut starts = StartTimes::default();
//! // Monotonic and wall time have independent origins.
//! let reading = ClockReading { monotonic: Duration::from_secs(50), wall: Duration::from_secs(1_000_050) };
//! starts.set_list_current(reading.monotonic);
//! assert_eq!(starts.start_time(reading, "s-1", 1_000_048_000), Some(Duration::from_secs(48)));
//! ```

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Longest time after its start until a server first appears in a list. Lists arrive seconds late, and later still if
/// discovery was down. With a smaller value, servers that are listed late count as younger than they are and receive
/// their load later; with a larger one, clock steps smaller than the value go undetected.
const MAX_LISTING_DELAY: Duration = Duration::from_secs(15);
/// Number of clock offsets that are kept, the current one included: timestamps from before a clock step may arrive long after it.
const MAX_CLOCK_OFFSETS: usize = 8;
/// Changes of the clock offset below this are not counted as a clock step.
const MIN_CLOCK_STEP_MS: u64 = 250;
/// Number of servers whose start is kept; the server that was recorded first is dropped first. Far more than a list
/// contains plus the servers that an erroneous list may bring back.
const MAX_RECORDED_STARTS: usize = 4096;

/// The monotonic and the wall clock, read at the same time.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Monotonic time, with an arbitrary origin.
    pub monotonic: Duration,
    /// Wall time since the Unix epoch.
    pub wall: Duration,
}

/// A timestamp and the monotonic start time that it was converted to.
#[derive(Debug)]
struct RecordedStart {
    stamp_ms: u64,
    started: Duration,
}

/// The start times of the servers that lists have contained.
#[derive(Debug, Default)]
pub struct StartTimes {
    recorded: HashMap<String, RecordedStart>,
    /// The names in `recorded`, in the order in which they were added.
    order: VecDeque<String>,
    /// Wall time minus monotonic time, in milliseconds; the last element is the current offset.
    clock_offsets_ms: VecDeque<i64>,
    /// When the server list was last known to be current.
    list_current_at: Option<Duration>,
}

impl StartTimes {
    /// Records that discovery has sent the list, or has confirmed that nothing in it changed.
    pub fn set_list_current(&mut self, now: Duration) {
        self.list_current_at = Some(now);
    }

    /// The monotonic start time of a server whose timestamp is `stamp_ms` in Unix milliseconds; `None` for the
    /// timestamp 0, which means long ago.
    pub fn start_time(&mut self, reading: ClockReading, name: &str, stamp_ms: u64) -> Option<Duration> {
        self.record_clock_offset(reading);
        if stamp_ms == 0 {
            return None;
        }
        if let Some(recorded) = self.recorded.get(name).filter(|recorded| recorded.stamp_ms == stamp_ms) {
            return Some(recorded.started);
        }
        let started = reading.monotonic.saturating_sub(self.youngest_age(reading.monotonic, stamp_ms));
        self.record_start(name, RecordedStart { stamp_ms, started });
        Some(started)
    }

    /// The smallest possible age that any recorded clock offset gives; zero if none gives a possible one.
    fn youngest_age(&self, now: Duration, stamp_ms: u64) -> Duration {
        let max_age = self.list_current_at.map(|at| now.saturating_sub(at) + MAX_LISTING_DELAY);
        let possible = |age: &Duration| max_age.is_none_or(|max_age| *age <= max_age);
        let ages =
            self.clock_offsets_ms.iter().filter_map(|offset_ms| age_at_offset(*offset_ms, now, stamp_ms));
        ages.filter(possible).min().unwrap_or_default()
    }

    /// Adds the current clock offset if the wall clock was stepped since the last one.
    fn record_clock_offset(&mut self, reading: ClockReading) {
        let offset_ms = millis(reading.wall).saturating_sub(millis(reading.monotonic));
        let same = |last: &i64| last.abs_diff(offset_ms) < MIN_CLOCK_STEP_MS;
        if self.clock_offsets_ms.back().is_some_and(same) {
            return;
        }
        if self.clock_offsets_ms.len() == MAX_CLOCK_OFFSETS {
            self.clock_offsets_ms.pop_front();
        }
        self.clock_offsets_ms.push_back(offset_ms);
    }

    /// Stores a start and drops the oldest one past `MAX_RECORDED_STARTS`.
    fn record_start(&mut self, name: &str, recorded: RecordedStart) {
        if self.recorded.insert(name.to_string(), recorded).is_some() {
            return;
        }
        self.order.push_back(name.to_string());
        if self.order.len() > MAX_RECORDED_STARTS {
            if let Some(oldest) = self.order.pop_front() {
                self.recorded.remove(&oldest);
            }
        }
    }
}

/// The age of a timestamp if wall time is monotonic time plus `offset_ms`; `None` if it lies in the future.
fn age_at_offset(offset_ms: i64, now: Duration, stamp_ms: u64) -> Option<Duration> {
    let wall = millis(now).checked_add(offset_ms)?;
    let age = wall.checked_sub(i64::try_from(stamp_ms).ok()?)?;
    u64::try_from(age).ok().map(Duration::from_millis)
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests;
