//! `whinhill bench`: prints figures, each with its baseline in the same run.

use std::path::PathBuf;

use clap::Subcommand;
use serde::Serialize;
use whinhill_standins::bench;
use whinhill_standins::day::Day;

use crate::{config, Failed};

#[derive(Subcommand)]
pub enum BenchCommand {
    /// Play a day of a grown fleet with every proxy incremental, then with every proxy state of the world.
    Fleet {
        #[arg(default_value = "days/fleet.json5")]
        file: PathBuf,
        /// Keep configurations, logs and status there.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// RPCs a second and latency through one proxy, against the server direct.
    Proxy {
        #[arg(default_value = "days/quiet.json5")]
        file: PathBuf,
        #[arg(long, default_value_t = 32)]
        callers: usize,
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
    },
}

pub fn run(command: BenchCommand) -> Result<(), Failed> {
    let failed = |error: &dyn std::fmt::Display| Failed::Running(error.to_string());
    let program = std::env::current_exe().map_err(|error| failed(&error))?;
    let scratch = tempfile::tempdir().map_err(|error| failed(&error))?;
    match command {
        BenchCommand::Fleet { file, out } => {
            let day: Day = config::read(&file, Day::check)?;
            let out = out.unwrap_or_else(|| scratch.path().to_path_buf());
            let figures = bench::fleet(&day, &program, &out).map_err(|error| failed(&error))?;
            figures.iter().try_for_each(print)
        }
        BenchCommand::Proxy { file, callers, seconds } => {
            let day: Day = config::read(&file, Day::check)?;
            let figures =
                bench::proxy(&day, &program, scratch.path(), callers.max(1), seconds.clamp(0.1, 600.0));
            figures.map_err(|error| failed(&error))?.iter().try_for_each(print)
        }
    }
}

fn print(figures: &impl Serialize) -> Result<(), Failed> {
    let text = serde_json::to_string(figures).map_err(|error| Failed::Running(error.to_string()))?;
    println!("{text}");
    Ok(())
}
