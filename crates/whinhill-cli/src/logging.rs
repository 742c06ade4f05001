//! Log lines to standard error, as text or as JSON.

use tracing_subscriber::EnvFilter;

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

pub fn start(form: Form, level: &str) -> Result<(), Failed> {
    let filter =
        EnvFilter::try_new(level).map_err(|error| Failed::Usage(format!("--log-level {level}: {error}")))?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let started = match form {
        Form::Text => builder.with_ansi(false).try_init(),
        Form::Json => builder.json().flatten_event(true).try_init(),
    };
    started.map_err(|error| Failed::Running(error.to_string()))
}
