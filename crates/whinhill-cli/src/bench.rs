//! `whinhill bench`: runs benchmarks and prints their figures, each with a baseline from the same run.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::Subcommand;
use serde::Serialize;
use whinhill_history::HistoryDb;
use whinhill_standins::bench;
use whinhill_standins::day::Day;
use whinhill_tables::{Author, Changes, Limits, SliceTable, Version};

use crate::bench_decisions::{self, DecisionsBench};
use crate::bench_proxy::{self, ProxyBench};
use crate::{config, CommandError};

/// The benchmarks.
#[derive(Subcommand)]
pub enum BenchCommand {
    /// Run a day of a large fleet with all proxies on incremental xDS, then with all on state-of-the-world xDS.
    Fleet {
        #[arg(default_value = "days/fleet.json5")]
        file: PathBuf,
        /// Folder in which configurations, logs and status are kept.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Measure the cost of writing a version to disk and of reopening the history.
    History {
        /// Number of versions to write.
        #[arg(long, default_value_t = 2000)]
        versions: u64,
        /// Number of slices.
        #[arg(long, default_value_t = 900)]
        slices: usize,
        /// Number of slices that each version changes.
        #[arg(long, default_value_t = 10)]
        changes: usize,
    },
    /// Compare one proxy process with its server called directly: RPCs per second and core, added latency at half load,
    /// the cost of full sets of tables during the load, and memory by RPCs in flight.
    Proxy(ProxyBench),
    /// Measure the module at a fleet's size: its first batch, batches of steady periods and of releases, and memory.
    Decisions(DecisionsBench),
}

/// Runs a benchmark and prints its figures as JSON.
pub fn run(command: BenchCommand) -> Result<(), CommandError> {
    let program = std::env::current_exe().map_err(CommandError::runtime)?;
    let scratch = tempfile::tempdir().map_err(CommandError::runtime)?;
    match command {
        BenchCommand::Fleet { file, out } => {
            let day: Day = config::read_file(&file, Day::validate)?;
            let out = out.unwrap_or_else(|| scratch.path().to_path_buf());
            let figures = bench::measure_fleet(&day, &program, &out).map_err(CommandError::runtime)?;
            figures.iter().try_for_each(print_json)
        }
        BenchCommand::History { versions, slices, changes } => {
            let path = scratch.path().join("history.redb");
            let figures = measure_history(&path, versions, slices.max(1), changes.max(1))
                .map_err(CommandError::runtime)?;
            print_json(&figures)
        }
        BenchCommand::Decisions(args) => print_json(&bench_decisions::measure(&args)?),
        BenchCommand::Proxy(args) => print_json(&bench_proxy::measure(&args, &program, scratch.path())?),
    }
}

/// Figures of the history benchmark, as they are printed.
#[derive(Serialize)]
struct HistoryFigures {
    versions: u64,
    slices: usize,
    changes: usize,
    keep_us_p50: u64,
    keep_us_p99: u64,
    file_mb: f64,
    reopen_ms: f64,
}

/// Writes versions to a new history, reopens it, and compares what it contains with what was written.
fn measure_history(
    path: &std::path::Path,
    versions: u64,
    slices: usize,
    changes: usize,
) -> Result<HistoryFigures, Box<dyn std::error::Error>> {
    let limits =
        Limits { entries: usize::MAX, bytes: usize::MAX, age: Duration::from_secs(u64::from(u32::MAX)) };
    let table = |slice: usize, number: u64| SliceTable {
        version: Version { epoch: 1, number },
        owner: Some(format!("10.0.{}.{}:7000", slice % 7, (slice as u64 + number) % 143).into()),
        shares: vec![1.0, 1.0],
        tries: 1,
    };
    let (mut db, mut history) = HistoryDb::open(path, limits)?;
    let mut write_times_us = Vec::new();
    for number in 1..=versions {
        let changed_slices = (0..changes).map(|index| (number as usize * changes + index) % slices);
        let changes: Changes = changed_slices.map(|slice| (slice, Some(table(slice, number)))).collect();
        let now = Duration::from_secs(number);
        let delta =
            history.record_changes(changes, Author::Module, "elimination: 10 moves", now, number * 1000);
        let began = Instant::now();
        if let Some(delta) = delta {
            db.persist(&history.update_with(delta))?;
        }
        write_times_us.push(began.elapsed().as_micros() as u64);
    }
    drop(db);
    write_times_us.sort_unstable();
    let began = Instant::now();
    let (_, reopened) = HistoryDb::open(path, limits)?;
    let reopen_ms = began.elapsed().as_secs_f64() * 1e3;
    if reopened.current() != history.current() {
        return Err("the reopened history differs from the one written".into());
    }
    let quantile =
        |share: f64| write_times_us.get((write_times_us.len() as f64 * share) as usize).copied().unwrap_or(0);
    let file_mb = std::fs::metadata(path)?.len() as f64 / 1e6;
    Ok(HistoryFigures {
        versions,
        slices,
        changes,
        keep_us_p50: quantile(0.5),
        keep_us_p99: quantile(0.99),
        file_mb,
        reopen_ms,
    })
}

fn print_json(figures: &impl Serialize) -> Result<(), CommandError> {
    let text = serde_json::to_string(figures).map_err(CommandError::runtime)?;
    println!("{text}");
    Ok(())
}
