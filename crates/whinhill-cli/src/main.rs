//! The `whinhill` binary: runs assigners, proxies and stand-ins, scripted days, soaks and benchmarks, and checks
//! configuration files. The logic is in the library crates.

mod bench;
mod bench_decisions;
mod bench_proxy;
mod config;
mod day;
mod lifecycle;
mod load;
mod log_queue;
mod logging;
mod platform;
mod platform_soak;
mod proxy;
mod reports;
mod standin;
mod table;
mod table_soak;

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::Ordering;

use clap::{Parser, Subcommand};
use logging::Log;
use tracing::error;
use whinhill_assigner::{Assigner, AssignerConfig, StartError};
use whinhill_standins::day::Day;

/// The command line. Exit codes: 0 success; 1 runtime failure; 2 usage or configuration error; 3 a rule was broken.
#[derive(Parser)]
#[command(
    name = "whinhill",
    version,
    about,
    after_help = "Exit codes: 0 success, 1 runtime failure, 2 usage or configuration error, 3 a rule was broken."
)]
struct Cli {
    /// Format of the log, which goes to standard error.
    #[arg(long, global = true, value_enum, default_value_t = logging::LogFormat::Text)]
    log: logging::LogFormat,
    /// Least severe level to log: error, warn, info, debug, or a list of targets with levels.
    #[arg(long, global = true, default_value = "info")]
    log_level: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an assigner until SIGTERM or SIGINT.
    Assigner {
        #[arg(long, required_unless_present = "platform")]
        config: Option<PathBuf>,
        /// Speak the protocol of the operators' platform, configured by the file that BALANCER_CONFIG names.
        #[arg(long, conflicts_with_all = ["config", "ready_file", "status_file"])]
        platform: bool,
        /// File to which the listen address is written once the process listens.
        #[arg(long)]
        ready_file: Option<PathBuf>,
        /// File to which a line of figures is written each second; overrides the configuration.
        #[arg(long)]
        status_file: Option<PathBuf>,
    },
    /// Run a proxy until SIGTERM or SIGINT.
    Proxy {
        #[arg(long)]
        config: PathBuf,
        /// File to which the listen address is written once the process listens.
        #[arg(long)]
        ready_file: Option<PathBuf>,
    },
    /// Run a single stand-in until SIGTERM or SIGINT.
    Standin {
        #[command(subcommand)]
        command: standin::StandinCommand,
    },
    /// Send RPCs at a fixed rate and measure their latency.
    Load(load::LoadArgs),
    /// Inspect the versions of an assigner's tables and roll back to an older one.
    Table(table::TableArgs),
    /// Show an assigner's knowledge of load, or soak-test the processing of load reports.
    Reports(reports::ReportsArgs),
    /// Run scripted days on loopback.
    Day {
        #[command(subcommand)]
        command: day::DayCommand,
    },
    /// Run against stand-ins of the operators' platform.
    Platform {
        #[command(subcommand)]
        command: PlatformCommand,
    },
    /// Run benchmarks on loopback and print the figures as JSON lines.
    Bench {
        #[command(subcommand)]
        command: bench::BenchCommand,
    },
    /// Check configuration without starting anything.
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
}

#[derive(Subcommand)]
enum PlatformCommand {
    /// Run assigner processes under randomly drawn faults and audit what clients and proxies observed.
    Soak(platform_soak::SoakArgs),
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Report every error of a configuration file.
    Check {
        file: PathBuf,
        #[arg(long, value_enum, default_value_t = ConfigKind::Assigner)]
        kind: ConfigKind,
    },
    /// Print the JSON schema of a kind of configuration file.
    Schema {
        #[arg(value_enum, default_value_t = ConfigKind::Assigner)]
        kind: ConfigKind,
    },
}

/// Kind of a configuration file.
#[derive(Clone, Copy, clap::ValueEnum)]
enum ConfigKind {
    Assigner,
    Proxy,
    Day,
}

/// Error of a command, which determines the exit code.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// Wrong arguments or an invalid configuration.
    #[error("{0}")]
    Usage(String),
    /// The command failed while it ran.
    #[error("{0}")]
    Runtime(String),
    /// The run completed and a checked rule was broken.
    #[error("{0}")]
    RuleViolation(String),
}

impl CommandError {
    /// Wraps any error as a runtime failure.
    pub fn runtime(error: impl std::fmt::Display) -> Self {
        CommandError::Runtime(error.to_string())
    }

    fn exit_code(&self) -> u8 {
        match self {
            CommandError::Runtime(_) => 1,
            CommandError::Usage(_) => 2,
            CommandError::RuleViolation(_) => 3,
        }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let log = match logging::start(cli.log, &cli.log_level) {
        Ok(log) => log,
        Err(error) => {
            // If writing to standard error fails too, only the exit code reports the failure.
            let _ = writeln!(std::io::stderr(), "{error}");
            return ExitCode::from(error.exit_code());
        }
    };
    match run(cli.command, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(command: Command, log: &Log) -> Result<(), CommandError> {
    match command {
        Command::Assigner { platform: true, .. } => platform::run(log),
        Command::Assigner { config, ready_file, status_file, platform: false } => {
            let config = config.ok_or_else(|| CommandError::Usage("--config is missing".into()))?;
            let mut config: AssignerConfig = config::read_file(&config, AssignerConfig::validate)?;
            config.status_file = status_file.or(config.status_file);
            run_assigner(config, ready_file)
        }
        Command::Proxy { config, ready_file } => proxy::run(&config, ready_file.as_deref()),
        Command::Standin { command } => standin::run(command),
        Command::Load(args) => load::run(&args),
        Command::Table(args) => table::run(args),
        Command::Reports(args) => reports::run(args),
        Command::Day { command } => day::run(command),
        Command::Platform { command: PlatformCommand::Soak(args) } => platform_soak::run(&args),
        Command::Bench { command } => bench::run(command),
        Command::Config { command: ConfigCommand::Check { file, kind } } => {
            match kind {
                ConfigKind::Assigner => drop(config::read_file(&file, AssignerConfig::validate)?),
                ConfigKind::Proxy => drop(config::read_file(&file, proxy::ProxyFile::validate)?),
                ConfigKind::Day => drop(config::read_file(&file, Day::validate)?),
            }
            println!("{}: no errors", file.display());
            Ok(())
        }
        Command::Config { command: ConfigCommand::Schema { kind } } => {
            let schema = match kind {
                ConfigKind::Assigner => schemars::schema_for!(AssignerConfig),
                ConfigKind::Proxy => schemars::schema_for!(proxy::ProxyFile),
                ConfigKind::Day => schemars::schema_for!(Day),
            };
            let text = serde_json::to_string_pretty(&schema).map_err(CommandError::runtime)?;
            println!("{text}");
            Ok(())
        }
    }
}

/// Runs an assigner until SIGTERM or SIGINT.
fn run_assigner(config: AssignerConfig, ready_file: Option<PathBuf>) -> Result<(), CommandError> {
    let stop = lifecycle::stop_on_signal()?;
    let running = match Assigner::start_unless_stopped(config, &stop) {
        Ok(running) => running,
        Err(error @ (StartError::Config(_) | StartError::Settings(_))) => {
            return Err(CommandError::Usage(error.to_string()));
        }
        Err(_) if stop.load(Ordering::Relaxed) => return Ok(()),
        Err(error) => return Err(CommandError::runtime(error)),
    };
    lifecycle::write_ready_file(ready_file.as_deref(), running.addr(), &stop)?;
    lifecycle::wait_until_stopped(&stop);
    running.stop();
    Ok(())
}
