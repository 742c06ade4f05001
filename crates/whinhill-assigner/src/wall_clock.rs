//! The wall clock. It may be stepped at any time, so it is only used for timestamps that people or other machines read;
//! durations are measured with the monotonic clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970; 0 if the clock is set before that.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}
