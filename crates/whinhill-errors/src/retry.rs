//! Calls that fail because this system has no descriptor, port, route or memory at the moment. They say nothing of a
//! peer, and are made again for a short time.

use std::io;
use std::time::{Duration, Instant};

/// Between two attempts: short against every deadline, long enough that a few leave room to others.
const AGAIN: Duration = Duration::from_millis(10);

/// Makes a call until it succeeds, fails for a reason that does not pass, or the time is up: its last result.
pub fn until_had<T>(
    within: Duration,
    passes: impl Fn(&io::Error) -> bool,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match call() {
            Err(error) if passes(&error) && started.elapsed() < within => std::thread::sleep(AGAIN),
            result => return result,
        }
    }
}

#[cfg(test)]
mod tests;
