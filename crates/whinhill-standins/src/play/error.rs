//! Why a day could not be played.

use std::io;
use std::time::Duration;

use whinhill_proxy::ProxyError;

#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    #[error("{what}: {error}")]
    Io { what: String, error: io::Error },
    #[error(transparent)]
    Proxy(#[from] ProxyError),
    #[error("{name}: {error}")]
    Start { name: String, error: String },
    #[error("the fleet was not ready within {within:?}: {held} of {wanted} tables held")]
    NotReady { within: Duration, held: usize, wanted: usize },
}

/// Says where an error of the system came from.
pub(super) fn io_at(what: &str) -> impl FnOnce(io::Error) -> PlayError + '_ {
    move |error| PlayError::Io { what: what.to_string(), error }
}
