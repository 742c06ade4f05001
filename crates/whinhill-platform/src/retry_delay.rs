//! Varies delays before retries, so that assigners that failed together do not retry together.

use std::time::Duration;

/// Largest part of a delay by which it is varied, either way.
const VARIATION: f64 = 0.25;

/// Varies a delay by up to a quarter. The digits of the current time below a millisecond stand in for a random draw.
pub fn varied(delay: Duration, now: Duration) -> Duration {
    let fraction = f64::from(now.subsec_micros() % 1000) / 1000.0;
    delay.mul_f64(1.0 - VARIATION + 2.0 * VARIATION * fraction)
}
