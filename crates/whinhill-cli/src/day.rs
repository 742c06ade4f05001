//! `whinhill day`: plays scripts and makes them from days of the operators' bench.

use std::fs;
use std::path::{Path, PathBuf};

use clap::Subcommand;
use whinhill_standins::day::Day;
use whinhill_standins::from_bench::from_bench;
use whinhill_standins::play::{play, Outcome};

use crate::{config, Failed};

#[derive(Subcommand)]
pub enum DayCommand {
    /// Play a script, audit it, and print what it came to.
    Run {
        file: PathBuf,
        /// The last line is one JSON object.
        #[arg(long)]
        json: bool,
        /// Keep configurations, logs and status there.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Goes before the script's seed.
        #[arg(long)]
        seed: Option<u64>,
        /// Play it with so many seeds.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// So many days at a time.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
    },
    /// Turn a day as the bench prints it into a script, on standard output.
    FromBench { file: PathBuf },
}

pub fn run(command: DayCommand) -> Result<(), Failed> {
    match command {
        DayCommand::Run { file, json, out, seed, seeds, jobs } => {
            let day: Day = config::read(&file, Day::check)?;
            let first = seed.unwrap_or(day.seed);
            let all: Vec<u64> = (0..seeds.max(1)).map(|k| first.wrapping_add(k)).collect();
            let mut broken = Vec::new();
            for some in all.chunks(jobs.max(1)) {
                let one = |seed: u64| run_one(&Day { seed, ..day.clone() }, out.as_deref(), seeds > 1);
                let outcomes: Vec<Result<Outcome, Failed>> = std::thread::scope(|scope| {
                    let running: Vec<_> = some.iter().map(|seed| scope.spawn(|| one(*seed))).collect();
                    let panicked = |_| Err(Failed::Running("a day panicked".to_string()));
                    running.into_iter().map(|day| day.join().unwrap_or_else(panicked)).collect()
                });
                for outcome in outcomes {
                    let outcome = outcome?;
                    print(&outcome, json)?;
                    if !outcome.kept() {
                        broken.push(outcome.seed);
                    }
                }
            }
            if seeds > 1 {
                println!("{} days, {} with a broken rule {broken:?}", seeds, broken.len());
            }
            if broken.is_empty() {
                return Ok(());
            }
            Err(Failed::Rule(format!("{}: rules were broken with seeds {broken:?}", file.display())))
        }
        DayCommand::FromBench { file } => {
            let at = file.display();
            let text = fs::read_to_string(&file).map_err(|error| Failed::Usage(format!("{at}: {error}")))?;
            let (day, strange) =
                from_bench(&text).map_err(|error| Failed::Usage(format!("{at}: {error}")))?;
            for kind in strange {
                tracing::warn!(kind, "this kind of trouble has no counterpart here and is left out");
            }
            let text =
                serde_json::to_string_pretty(&day).map_err(|error| Failed::Running(error.to_string()))?;
            println!("{text}");
            Ok(())
        }
    }
}

fn run_one(day: &Day, out: Option<&Path>, by_seed: bool) -> Result<Outcome, Failed> {
    let failed = |error: &dyn std::fmt::Display| Failed::Running(error.to_string());
    let program = std::env::current_exe().map_err(|error| failed(&error))?;
    let scratch = tempfile::tempdir().map_err(|error| failed(&error))?;
    let out = match out {
        Some(out) if by_seed => out.join(format!("seed-{}", day.seed)),
        Some(out) => out.to_path_buf(),
        None => scratch.path().to_path_buf(),
    };
    play(day, &program, &out).map_err(|error| failed(&error))
}

fn print(outcome: &Outcome, json: bool) -> Result<(), Failed> {
    if json {
        let text = serde_json::to_string(outcome).map_err(|error| Failed::Running(error.to_string()))?;
        println!("{text}");
        return Ok(());
    }
    let o = outcome;
    println!(
        "seed {}: {} RPCs, {:.2}% ok, {:.2}% within the soft deadline, p50 {:.1} ms, p99 {:.1} ms",
        o.seed,
        o.rpcs,
        o.ok_share * 100.0,
        o.in_time_share * 100.0,
        o.p50_ms,
        o.p99_ms
    );
    println!(
        "  handovers {}, rejected tables {}, reconnects {}, lines sent {}, most waiting {}",
        o.handovers, o.nacks, o.reconnects, o.lines_sent, o.backlog_most
    );
    println!("  rules broken: no proxy without a line {}, no effect twice {}, drains kept {}, cold servers {}, short queue {}", o.rules.no_proxy_without_a_line, o.rules.no_effect_twice, o.rules.drains_kept, o.rules.cold_servers, o.rules.short_queue);
    o.failures.iter().for_each(|(reason, count)| println!("  failed {count}: {reason}"));
    o.findings.iter().for_each(|finding| println!("  {finding}"));
    Ok(())
}
