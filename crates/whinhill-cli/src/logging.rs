//! Sets up logging to standard error, as text or as JSON.

use std::sync::atomic::AtomicU64;
use std::sync::Arc;

use tracing_subscriber::EnvFilter;

use crate::log_queue::LogQueue;
use crate::CommandError;

/// Format of log lines.
#[derive(Clone, Copy, clap::ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

impl std::fmt::Display for LogFormat {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            LogFormat::Text => "text",
            LogFormat::Json => "json",
        })
    }
}

/// The log of this process. Dropping it flushes queued lines, with a short timeout.
pub struct Log {
    queue: LogQueue,
}

impl Log {
    /// Counter of the lines dropped since the start; it is shared and keeps counting.
    pub fn dropped_lines(&self) -> Arc<AtomicU64> {
        self.queue.dropped_lines()
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        self.queue.flush();
    }
}

/// Starts logging with the format and the level of the command line.
pub fn start(format: LogFormat, level: &str) -> Result<Log, CommandError> {
    let filter = EnvFilter::try_new(level)
        .map_err(|error| CommandError::Usage(format!("--log-level {level}: {error}")))?;
    let queue = LogQueue::start(std::io::stderr()).map_err(CommandError::runtime)?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(queue.clone());
    let started = match format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    started.map_err(CommandError::runtime)?;
    Ok(Log { queue })
}
