//! The wall clock. It may be stepped at any time, so it only stamps what people or other machines read; spans are
//! taken by the monotonic clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970, 0 before.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}
