//! What is needed at the start and may not be to be had for a moment.

use std::io;
use std::time::Instant;

use tracing::warn;

use crate::limits::{START_AGAIN, START_WITHIN};

/// Makes a call until it succeeds, for a bounded time: its last error.
pub fn until_had<T>(what: &str, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    let mut told = false;
    loop {
        match call() {
            Ok(had) => return Ok(had),
            Err(error) if started.elapsed() >= START_WITHIN => return Err(error),
            Err(error) => {
                if !std::mem::replace(&mut told, true) {
                    warn!("{what} is not to be had: {error}");
                }
                std::thread::sleep(START_AGAIN);
            }
        }
    }
}
