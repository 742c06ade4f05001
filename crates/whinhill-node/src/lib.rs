//! The assigner on the operators' platform: one thread around one poll, with the sockets and signals that the
//! decision module (`whinhill::Assigner`) needs.
//!
//! [`run`] is the entry point: it reads the configuration, listens, and serves until SIGTERM. `whinhill-platform`
//! implements the protocol; `whinhill` makes every decision.

mod accepting;
mod clients;
mod clock;
mod connection;
mod connections;
mod deadlines;
mod discovery;
mod event_loop;
mod failure_log;
mod limits;
mod node;
mod pending_answers;
mod probe_queue;
mod probes;
mod relay;
mod reloading;
mod server_lists;
mod shutdown;
mod sockets;
mod startup_retry;
mod status_log;

use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicU64;
use std::sync::Arc;

use whinhill::interface::SettingsError;
use whinhill_platform::config::{self, ConfigError, PlatformConfig};
use whinhill_platform::supported_settings::UnsupportedSetting;

/// Why the assigner cannot start or cannot continue.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The configuration file cannot be read.
    #[error("{path}: {source}")]
    Read { path: PathBuf, source: io::Error },
    /// The file does not hold a valid configuration.
    #[error("{path}: {source}")]
    Config { path: PathBuf, source: ConfigError },
    /// The decision module rejects the settings.
    #[error("{path}: {source}")]
    Settings { path: PathBuf, source: SettingsError },
    /// The settings are valid, but cannot be served on the platform.
    #[error("{path}: {source}")]
    Unsupported { path: PathBuf, source: UnsupportedSetting },
    /// The process cannot listen on its address.
    #[error("listen on {addr}: {source}")]
    Listen { addr: std::net::SocketAddr, source: io::Error },
    /// Another system call failed.
    #[error("{what}: {source}")]
    Io { what: &'static str, source: io::Error },
}

impl NodeError {
    /// Whether the configuration is at fault rather than the running process.
    pub fn is_configuration(&self) -> bool {
        matches!(
            self,
            NodeError::Read { .. }
                | NodeError::Config { .. }
                | NodeError::Settings { .. }
                | NodeError::Unsupported { .. }
        )
    }
}

/// Reads a configuration file.
pub fn read_config(path: &Path) -> Result<PlatformConfig, NodeError> {
    let text = std::fs::read(path).map_err(|source| NodeError::Read { path: path.into(), source })?;
    config::parse(&text).map_err(|source| NodeError::Config { path: path.into(), source })
}

/// Serves until SIGTERM or SIGINT. SIGHUP makes it read the file again. `log_dropped` counts lost log lines, for
/// the status line.
pub fn run(path: &Path, log_dropped: Arc<AtomicU64>) -> Result<(), NodeError> {
    node::Node::start(path, log_dropped)?.serve()
}
