//! Retries calls that fail while a disk is full or failing.

use std::fmt::Display;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tracing::{info, warn};

/// Delay between two attempts: short enough that an operator hardly notices, long enough to leave a busy disk alone.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// How long a call is retried, and what ends the retries early.
pub struct Retry<'a> {
    /// How long to retry, from the first attempt.
    pub duration: Duration,
    /// Set by another thread: the current attempt is then the last.
    pub stop: &'a AtomicBool,
}

impl Retry<'_> {
    /// Repeats a call until it succeeds, fails permanently, or the time is up; returns its last result.
    pub fn call<T, E: Display>(
        &self,
        what: &str,
        may_pass: impl Fn(&E) -> bool,
        mut call: impl FnMut() -> Result<T, E>,
    ) -> Result<T, E> {
        let started_at = Instant::now();
        let mut failures = 0_u64;
        loop {
            let result = call();
            match &result {
                Err(error) if may_pass(error) && !self.has_ended(started_at) => {
                    if failures == 0 {
                        warn!(%error, "{what} fails, and is tried again");
                    }
                    failures += 1;
                    std::thread::sleep(RETRY_DELAY);
                }
                Ok(_) if failures > 0 => {
                    info!(failures, "{what} succeeds again");
                    return result;
                }
                _ => return result,
            }
        }
    }

    fn has_ended(&self, started_at: Instant) -> bool {
        self.stop.load(Ordering::Relaxed) || started_at.elapsed() >= self.duration
    }
}
