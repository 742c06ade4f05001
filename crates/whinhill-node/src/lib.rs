//! The assigner on the operators' platform: one thread, one poll, sockets and signals round the module.
//!
//! [`run`] is the one call that matters: it reads the configuration, listens, and serves until SIGTERM.
//! The protocol stands in `whinhill-platform`, every decision in `whinhill`.

mod accepting;
mod answers;
mod clients;
mod clock;
mod connection;
mod connections;
mod deadlines;
mod discovery;
mod event_loop;
mod failures;
mod leaving;
mod limits;
mod listing;
mod node;
mod probe_queue;
mod probes;
mod relay;
mod reloading;
mod report;
mod sockets;
mod starting;

use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicU64;
use std::sync::Arc;

use whinhill::interface::SettingsError;
use whinhill_platform::config::{self, ConfigError, PlatformConfig};

/// Why the assigner does not run.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    #[error("{path}: {source}")]
    Read { path: PathBuf, source: io::Error },
    #[error("{path}: {source}")]
    Config { path: PathBuf, source: ConfigError },
    #[error("{path}: {source}")]
    Settings { path: PathBuf, source: SettingsError },
    #[error("listen on {addr}: {source}")]
    Listen { addr: std::net::SocketAddr, source: io::Error },
    #[error("{what}: {source}")]
    Io { what: &'static str, source: io::Error },
}

impl NodeError {
    /// Whether it lies in what the assigner was told rather than in running.
    pub fn is_configuration(&self) -> bool {
        matches!(self, NodeError::Read { .. } | NodeError::Config { .. } | NodeError::Settings { .. })
    }
}

/// Reads a configuration file.
pub fn read(path: &Path) -> Result<PlatformConfig, NodeError> {
    let text = std::fs::read(path).map_err(|source| NodeError::Read { path: path.into(), source })?;
    config::read(&text).map_err(|source| NodeError::Config { path: path.into(), source })
}

/// Serves until SIGTERM or SIGINT. SIGHUP has the file read again. `log_dropped` counts the lines that the log has
/// lost, for the status.
pub fn run(path: &Path, log_dropped: Arc<AtomicU64>) -> Result<(), NodeError> {
    node::Node::start(path, log_dropped)?.serve()
}
