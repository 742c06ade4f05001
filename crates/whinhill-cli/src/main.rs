//! `whinhill`: runs an assigner, plays scripted days, checks configuration. No logic of its own.

mod bench;
mod bench_decisions;
mod bench_proxy;
mod config;
mod day;
mod load;
mod log_queue;
mod logging;
mod platform;
mod platform_soak;
mod proxy;
mod reports;
mod soak;
mod standin;
mod table;
mod until_stopped;

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::Ordering;

use clap::{Parser, Subcommand};
use logging::Log;
use tracing::error;
use whinhill_assigner::{Assigner, AssignerConfig, StartError};
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
        #[arg(long, required_unless_present = "platform")]
        config: Option<PathBuf>,
        /// Speak the operators' platform's protocol, as the file that BALANCER_CONFIG names tells.
        #[arg(long, conflicts_with_all = ["config", "ready_file", "status_file"])]
        platform: bool,
        /// The address that it listens on is written there once it does.
        #[arg(long)]
        ready_file: Option<PathBuf>,
        /// A line of figures is written there each second; goes before the configuration.
        #[arg(long)]
        status_file: Option<PathBuf>,
    },
    /// Run a proxy until SIGTERM or SIGINT.
    Proxy {
        #[arg(long)]
        config: PathBuf,
        /// The address that it listens on is written there once it does.
        #[arg(long)]
        ready_file: Option<PathBuf>,
    },
    /// Run a stand-in by itself until SIGTERM or SIGINT.
    Standin {
        #[command(subcommand)]
        command: standin::StandinCommand,
    },
    /// Send RPCs at a set rate and measure how long they take.
    Load(load::LoadArgs),
    /// Versions of an assigner's tables, and the way back to an older one.
    Table(table::TableArgs),
    /// Look at what is known of load, or soak the intake of load reports.
    Reports(reports::ReportsArgs),
    /// Scripted days on loopback.
    Day {
        #[command(subcommand)]
        command: day::DayCommand,
    },
    /// The operators' platform, on stand-ins.
    Platform {
        #[command(subcommand)]
        command: PlatformCommand,
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
enum PlatformCommand {
    /// Play assigners as processes through drawn troubles, and audit what clients and proxies met.
    Soak(platform_soak::SoakArgs),
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
    Proxy,
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
    let log = match logging::start(cli.log, &cli.log_level) {
        Ok(log) => log,
        Err(failed) => {
            // Where standard error fails too, the exit code is all there is.
            let _ = writeln!(std::io::stderr(), "{failed}");
            return ExitCode::from(failed.code());
        }
    };
    match run(cli.command, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failed) => {
            error!("{failed}");
            ExitCode::from(failed.code())
        }
    }
}

fn run(command: Command, log: &Log) -> Result<(), Failed> {
    match command {
        Command::Assigner { platform: true, .. } => platform::run(log),
        Command::Assigner { config, ready_file, status_file, platform: false } => {
            let config = config.ok_or_else(|| Failed::Usage("--config is missing".into()))?;
            let mut config: AssignerConfig = config::read(&config, AssignerConfig::check)?;
            config.status_file = status_file.or(config.status_file);
            assigner(config, ready_file)
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
                Kind::Assigner => drop(config::read(&file, AssignerConfig::check)?),
                Kind::Proxy => drop(config::read(&file, proxy::ProxyFile::check)?),
                Kind::Day => drop(config::read(&file, Day::check)?),
            }
            println!("{}: no fault", file.display());
            Ok(())
        }
        Command::Config { command: ConfigCommand::Schema { kind } } => {
            let schema = match kind {
                Kind::Assigner => schemars::schema_for!(AssignerConfig),
                Kind::Proxy => schemars::schema_for!(proxy::ProxyFile),
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
    let stop = until_stopped::listen()?;
    let running = match Assigner::start_unless_stopped(config, &stop) {
        Ok(running) => running,
        Err(error @ (StartError::Config(_) | StartError::Settings(_))) => {
            return Err(Failed::Usage(error.to_string()));
        }
        Err(_) if stop.load(Ordering::Relaxed) => return Ok(()),
        Err(error) => return Err(Failed::Running(error.to_string())),
    };
    until_stopped::say_ready(ready_file.as_deref(), running.addr(), &stop)?;
    until_stopped::wait(&stop);
    running.stop();
    Ok(())
}
