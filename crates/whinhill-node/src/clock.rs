//! The module's time: Unix time at the start, carried on by the monotonic clock. Servers' starts are told in
//! Unix time and may lie before ours, and the module's times cannot be negative.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Debug)]
pub struct Clock {
    unix: Duration,
    started: Instant,
}

impl Clock {
    pub fn start() -> Self {
        // A clock before 1970 is no clock: then servers' starts all lie ahead, and count as cold.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix, started: Instant::now() }
    }

    pub fn now(&self) -> Duration {
        self.unix + self.started.elapsed()
    }
}
