//! The error type of running a day.

use std::io;
use std::time::Duration;

use whinhill_proxy::ProxyError;

/// Why a day could not be run.
#[derive(Debug, thiserror::Error)]
pub enum DayRunError {
    /// A system call failed while `what` was set up or changed.
    #[error("{what}: {error}")]
    Io { what: String, error: io::Error },
    /// A proxy in a thread did not start.
    #[error(transparent)]
    Proxy(#[from] ProxyError),
    /// An assigner or a proxy did not start.
    #[error("{name}: {error}")]
    Start { name: String, error: String },
    /// Proxies did not receive all tables in time.
    #[error("the fleet was not ready within {timeout:?}: {held} of {wanted} tables held")]
    NotReady { timeout: Duration, held: usize, wanted: usize },
}

/// Converts an I/O error into a [`DayRunError`] that names what failed.
pub(super) fn io_at(what: &str) -> impl FnOnce(io::Error) -> DayRunError + '_ {
    move |error| DayRunError::Io { what: what.to_string(), error }
}
