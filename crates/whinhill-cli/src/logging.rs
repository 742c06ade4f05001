//! Log lines to standard error, as text or as JSON.

use std::sync::atomic::AtomicU64;
use std::sync::Arc;

use tracing_subscriber::EnvFilter;

use crate::log_queue::LogQueue;
use crate::Failed;

#[derive(Clone, Copy, clap::ValueEnum)]
pub enum Form {
    Text,
    Json,
}

impl std::fmt::Display for Form {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Form::Text => "text",
            Form::Json => "json",
        })
    }
}

/// The log of this process. What waits is written, for a short time, when it is dropped.
pub struct Log {
    queue: LogQueue,
}

impl Log {
    /// How many lines were dropped since the start, counted on.
    pub fn dropped(&self) -> Arc<AtomicU64> {
        self.queue.dropped()
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        self.queue.flush();
    }
}

/// Starts to log, by the form and the level of the command line.
pub fn start(form: Form, level: &str) -> Result<Log, Failed> {
    let filter =
        EnvFilter::try_new(level).map_err(|error| Failed::Usage(format!("--log-level {level}: {error}")))?;
    let queue = LogQueue::start(std::io::stderr()).map_err(|error| Failed::Running(error.to_string()))?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(queue.clone());
    let started = match form {
        Form::Text => builder.with_ansi(false).try_init(),
        Form::Json => builder.json().flatten_event(true).try_init(),
    };
    started.map_err(|error| Failed::Running(error.to_string()))?;
    Ok(Log { queue })
}
