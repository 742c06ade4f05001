//! Calls that fail while a disk is full or failing, made again until it takes them.

use std::fmt::Display;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tracing::{info, warn};

/// Between two attempts, as long as an operator hardly notices and a busy disk is left alone.
const AGAIN: Duration = Duration::from_millis(250);

/// How long a call is made again, and what ends that early.
pub struct Retry<'a> {
    /// Real time, from the first attempt.
    pub within: Duration,
    /// Set from elsewhere: the attempt that is under way is the last.
    pub stop: &'a AtomicBool,
}

impl Retry<'_> {
    /// Makes a call until it succeeds, fails in a way that does not pass, or the time is up: its last result.
    pub fn until_done<T, E: Display>(
        &self,
        what: &str,
        may_pass: impl Fn(&E) -> bool,
        mut call: impl FnMut() -> Result<T, E>,
    ) -> Result<T, E> {
        let started = Instant::now();
        let mut failures = 0_u64;
        loop {
            let result = call();
            match &result {
                Err(error) if may_pass(error) && !self.is_over(started) => {
                    if failures == 0 {
                        warn!(%error, "{what} fails, and is tried again");
                    }
                    failures += 1;
                    std::thread::sleep(AGAIN);
                }
                Ok(_) if failures > 0 => {
                    info!(failures, "{what} succeeds again");
                    return result;
                }
                _ => return result,
            }
        }
    }

    fn is_over(&self, started: Instant) -> bool {
        self.stop.load(Ordering::Relaxed) || started.elapsed() >= self.within
    }
}
