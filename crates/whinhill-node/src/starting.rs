//! What is needed at the start and may not be to be had for a moment.

use std::io;
use std::path::Path;
use std::time::Instant;

use tracing::warn;

use whinhill_errors::may_pass_on_disk;
use whinhill_platform::config::PlatformConfig;

use crate::limits::{START_AGAIN, START_WITHIN};
use crate::NodeError;

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

/// Reads the configuration, again where the system may only have failed for a moment.
pub fn read_until_had(path: &Path) -> Result<PlatformConfig, NodeError> {
    let started = Instant::now();
    loop {
        match crate::read(path) {
            Err(NodeError::Read { source, .. })
                if may_pass_on_disk(&source) && started.elapsed() < START_WITHIN =>
            {
                std::thread::sleep(START_AGAIN);
            }
            read => return read,
        }
    }
}
