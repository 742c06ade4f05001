//! Retries at startup, for resources that may be unavailable for a moment.

use std::io;
use std::path::Path;
use std::time::Instant;

use tracing::warn;

use whinhill_errors::is_temporary_file_error;
use whinhill_platform::config::PlatformConfig;

use crate::limits::{STARTUP_RETRY_DELAY, STARTUP_RETRY_DURATION};
use crate::NodeError;

/// Repeats a call until it succeeds, for a limited time; returns the last error otherwise.
pub fn retry_at_startup<T>(what: &str, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    let mut logged = false;
    loop {
        match call() {
            Ok(value) => return Ok(value),
            Err(error) if started.elapsed() >= STARTUP_RETRY_DURATION => return Err(error),
            Err(error) => {
                if !std::mem::replace(&mut logged, true) {
                    warn!("{what}: not available yet: {error}");
                }
                std::thread::sleep(STARTUP_RETRY_DELAY);
            }
        }
    }
}

/// Reads the configuration; retries where the failure of the system may pass.
pub fn read_config_with_retry(path: &Path) -> Result<PlatformConfig, NodeError> {
    let started = Instant::now();
    loop {
        match crate::read_config(path) {
            Err(NodeError::Read { source, .. })
                if is_temporary_file_error(&source) && started.elapsed() < STARTUP_RETRY_DURATION =>
            {
                std::thread::sleep(STARTUP_RETRY_DELAY);
            }
            read => return read,
        }
    }
}
