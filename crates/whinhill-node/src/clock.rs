//! The module's time: Unix time at the start, carried on by the monotonic clock, whatever becomes of the wall clock.
//! Beside it, where the wall clock stands, by which others stamp what they tell.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// From this on the wall clock was stepped rather than slewed: a slew runs at half a millisecond a second.
const STEP_LEAST: Duration = Duration::from_millis(250);

#[derive(Debug)]
pub struct Clock {
    unix: Duration,
    started: Instant,
    /// Where the wall clock stood against ours when a step was last looked for, in milliseconds.
    wall_ahead_ms: i64,
}

impl Clock {
    pub fn start() -> Self {
        // A clock before 1970 is no clock: then stamps say nothing, and new servers count from their listing.
        Clock { unix: wall(), started: Instant::now(), wall_ahead_ms: 0 }
    }

    /// Monotonic, and never negative for what happened up to decades before the start.
    pub fn now(&self) -> Duration {
        self.unix + self.started.elapsed()
    }

    /// Unix time by the wall clock, which may have been stepped.
    pub fn wall(&self) -> Duration {
        wall()
    }

    /// Whether the wall clock was stepped since the last look.
    pub fn look_for_step(&mut self) -> bool {
        let ahead = millis(wall()) - millis(self.now());
        let stepped = ahead.abs_diff(self.wall_ahead_ms) >= STEP_LEAST.as_millis() as u64;
        if stepped {
            self.wall_ahead_ms = ahead;
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
