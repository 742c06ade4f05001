//! The module's time: Unix time at the start, advanced by the monotonic clock, so that steps of the wall clock do
//! not affect it. Also gives the current wall-clock time, to which timestamps from others refer.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A change of the wall clock's offset by at least this much counts as a step. A slew runs at half a millisecond a
/// second and takes minutes to add up to it.
const MIN_STEP: Duration = Duration::from_millis(250);

/// A monotonic clock that starts at Unix time.
#[derive(Debug)]
pub struct Clock {
    started_unix: Duration,
    started_at: Instant,
    /// Offset of the wall clock from this clock when a step was last detected (0 at the start), in milliseconds.
    wall_offset_ms: i64,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        // A clock before 1970 counts as unset: timestamps then say nothing, and new servers count from when they
        // were listed.
        Clock { started_unix: wall(), started_at: Instant::now(), wall_offset_ms: 0 }
    }

    /// The current time: monotonic, and never negative for events up to decades before the start.
    pub fn now(&self) -> Duration {
        self.started_unix + self.started_at.elapsed()
    }

    /// Unix time by the wall clock, which may have been stepped.
    pub fn wall(&self) -> Duration {
        wall()
    }

    /// Whether the wall clock's offset has changed by at least [`MIN_STEP`] since a step was last detected. A slew
    /// that lasts for minutes adds up to that and counts as a step as well.
    pub fn detect_step(&mut self) -> bool {
        let ahead = millis(wall()) - millis(self.now());
        let stepped = ahead.abs_diff(self.wall_offset_ms) >= MIN_STEP.as_millis() as u64;
        if stepped {
            self.wall_offset_ms = ahead;
        }
        stepped
    }
}

fn wall() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
