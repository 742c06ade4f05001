//! `whinhill`: runs an assigner, plays scripted days, checks configuration. No logic of its own.

mod bench;
mod config;
mod day;
mod logging;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use tracing::error;
use whinhill_assigner::{Assigner, AssignerConfig};
use whinhill_standins::day::Day;

/// Exit codes: 0 well; 1 it failed while running; 2 wrong usage or configuration; 3 a rule was broken on a day.
#[derive(Parser)]
#[command(
    name = "whinhill",
    version,
    about,
    after_help = "Exit codes: 0 well, 1 failed while running, 2 wrong usage or configuration, 3 a rule was broken."
)]
struct Cli {
    /// How log lines are written, to standard error.
    #[arg(long, global = true, value_enum, default_value_t = logging::Form::Text)]
    log: logging::Form,
    /// The least important lines to write: error, warn, info, debug, or targets with levels.
    #[arg(long, global = true, default_value = "info")]
    log_level: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an assigner until SIGTERM or SIGINT.
    Assigner {
        #[arg(long)]
        config: PathBuf,
        /// The address that it listens on is written there once it does.
        #[arg(long)]
        ready_file: Option<PathBuf>,
        /// A line of figures is written there each second; goes before the configuration.
        #[arg(long)]
        status_file: Option<PathBuf>,
    },
    /// Scripted days on loopback.
    Day {
        #[command(subcommand)]
        command: day::DayCommand,
    },
    /// Measurements on loopback, printed as JSON lines.
    Bench {
        #[command(subcommand)]
        command: bench::BenchCommand,
    },
    /// Look at configuration without starting anything.
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Name every fault of a file.
    Check {
        file: PathBuf,
        #[arg(long, value_enum, default_value_t = Kind::Assigner)]
        kind: Kind,
    },
    /// Print the JSON schema of a kind of file.
    Schema {
        #[arg(value_enum, default_value_t = Kind::Assigner)]
        kind: Kind,
    },
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Kind {
    Assigner,
    Day,
}

/// Why a command ended badly; its exit code.
#[derive(Debug, thiserror::Error)]
pub enum Failed {
    #[error("{0}")]
    Usage(String),
    #[error("{0}")]
    Running(String),
    #[error("{0}")]
    Rule(String),
}

impl Failed {
    fn code(&self) -> u8 {
        match self {
            Failed::Running(_) => 1,
            Failed::Usage(_) => 2,
            Failed::Rule(_) => 3,
        }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = logging::start(cli.log, &cli.log_level).and_then(|()| run(cli.command));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failed) => {
            error!("{failed}");
            ExitCode::from(failed.code())
        }
    }
}

fn run(command: Command) -> Result<(), Failed> {
    match command {
        Command::Assigner { config, ready_file, status_file } => {
            let mut config: AssignerConfig = config::read(&config, AssignerConfig::check)?;
            config.status_file = status_file.or(config.status_file);
            assigner(config, ready_file)
        }
        Command::Day { command } => day::run(command),
        Command::Bench { command } => bench::run(command),
        Command::Config { command: ConfigCommand::Check { file, kind } } => {
            match kind {
                Kind::Assigner => drop(config::read(&file, AssignerConfig::check)?),
                Kind::Day => drop(config::read(&file, Day::check)?),
            }
            println!("{}: no fault", file.display());
            Ok(())
        }
        Command::Config { command: ConfigCommand::Schema { kind } } => {
            let schema = match kind {
                Kind::Assigner => schemars::schema_for!(AssignerConfig),
                Kind::Day => schemars::schema_for!(Day),
            };
            let text =
                serde_json::to_string_pretty(&schema).map_err(|error| Failed::Running(error.to_string()))?;
            println!("{text}");
            Ok(())
        }
    }
}

fn assigner(config: AssignerConfig, ready_file: Option<PathBuf>) -> Result<(), Failed> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        let registered = signal_hook::flag::register(signal, stop.clone());
        registered.map_err(|error| Failed::Running(format!("signal {signal}: {error}")))?;
    }
    let running = Assigner::start(config).map_err(|error| match error {
        whinhill_assigner::StartError::Config(_) | whinhill_assigner::StartError::Settings(_) => {
            Failed::Usage(error.to_string())
        }
        other => Failed::Running(other.to_string()),
    })?;
    if let Some(path) = ready_file {
        // Whole or not at all: whoever waits for it may look at any moment.
        let beside = path.with_extension("new");
        let written = std::fs::write(&beside, running.addr().to_string())
            .and_then(|()| std::fs::rename(&beside, &path));
        written.map_err(|error| Failed::Running(format!("{}: {error}", path.display())))?;
    }
    while !stop.load(std::sync::atomic::Ordering::Relaxed) {
        std::thread::park_timeout(Duration::from_millis(50));
    }
    running.stop();
    Ok(())
}
