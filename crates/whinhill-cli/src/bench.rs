//! `whinhill bench`: prints figures, each with its baseline in the same run.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::Subcommand;
use serde::Serialize;
use whinhill_history::Book;
use whinhill_standins::bench;
use whinhill_standins::day::Day;
use whinhill_tables::{Author, Changes, Limits, SliceTable, Version};

use crate::bench_decisions::{self, DecisionsBench};
use crate::bench_proxy::{self, ProxyBench};
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
    /// What keeping a version on disk costs, and taking the history up again.
    History {
        #[arg(long, default_value_t = 2000)]
        versions: u64,
        #[arg(long, default_value_t = 900)]
        slices: usize,
        /// Slices that each version changes.
        #[arg(long, default_value_t = 10)]
        changes: usize,
    },
    /// One proxy's process against its server direct: RPCs a second a core, what it adds at half load, what a full
    /// set of tables costs meanwhile, and memory by RPCs in hand.
    Proxy(ProxyBench),
    /// The module at a fleet's size: its first batch, batches of steady periods and of releases, and memory.
    Decisions(DecisionsBench),
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
        BenchCommand::History { versions, slices, changes } => {
            let path = scratch.path().join("history.redb");
            let figures =
                history(&path, versions, slices.max(1), changes.max(1)).map_err(|error| failed(&error))?;
            print(&figures)
        }
        BenchCommand::Decisions(args) => print(&bench_decisions::measure(&args)?),
        BenchCommand::Proxy(args) => print(&bench_proxy::measure(&args, &program, scratch.path())?),
    }
}

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

fn history(
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
    let (mut book, mut history) = Book::open(path, limits)?;
    let mut took = Vec::new();
    for number in 1..=versions {
        let touched = (0..changes).map(|k| (number as usize * changes + k) % slices);
        let set: Changes = touched.map(|slice| (slice, Some(table(slice, number)))).collect();
        let at = Duration::from_secs(number);
        let delta = history.advance(set, Author::Module, "elimination: 10 moves", at, number * 1000);
        let began = Instant::now();
        if let Some(delta) = delta {
            book.keep(&history.page(delta))?;
        }
        took.push(began.elapsed().as_micros() as u64);
    }
    drop(book);
    took.sort_unstable();
    let began = Instant::now();
    let (_, found) = Book::open(path, limits)?;
    let reopen_ms = began.elapsed().as_secs_f64() * 1e3;
    if found.current() != history.current() {
        return Err("the history found is not the one kept".into());
    }
    let at = |share: f64| took.get((took.len() as f64 * share) as usize).copied().unwrap_or(0);
    let file_mb = std::fs::metadata(path)?.len() as f64 / 1e6;
    Ok(HistoryFigures {
        versions,
        slices,
        changes,
        keep_us_p50: at(0.5),
        keep_us_p99: at(0.99),
        file_mb,
        reopen_ms,
    })
}

fn print(figures: &impl Serialize) -> Result<(), Failed> {
    let text = serde_json::to_string(figures).map_err(|error| Failed::Running(error.to_string()))?;
    println!("{text}");
    Ok(())
}
