//! Retries calls that fail because this machine temporarily lacks a descriptor, port, route or memory. Such a failure
//! does not indicate a problem with the peer. The calls are retried for a short time only.

use std::io;
use std::time::{Duration, Instant};

/// Pause between two attempts: short compared with every deadline, and long enough that a few retrying callers do not
/// starve others.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Repeats a call while it fails with an error that `is_temporary` accepts and less than `max_duration` has passed, and
/// returns its last result.
pub fn retry_while_temporary<T>(
    max_duration: Duration,
    is_temporary: impl Fn(&io::Error) -> bool,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match call() {
            Err(error) if is_temporary(&error) && started.elapsed() < max_duration => {
                std::thread::sleep(RETRY_INTERVAL)
            }
            result => return result,
        }
    }
}

#[cfg(test)]
mod tests;
