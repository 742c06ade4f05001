//! `whinhill day`: runs scripted days and converts days of the operators' bench into scripts.

use std::fs;
use std::path::{Path, PathBuf};

use clap::Subcommand;
use whinhill_standins::day::Day;
use whinhill_standins::day_run::{self, Outcome};
use whinhill_standins::from_bench;

use crate::{config, CommandError};

/// Sub-commands of `whinhill day`.
#[derive(Subcommand)]
pub enum DayCommand {
    /// Run a script, audit it, and print the outcome.
    Run {
        file: PathBuf,
        /// Print the outcome as one JSON object, on the last line.
        #[arg(long)]
        json: bool,
        /// Folder in which configurations, logs and status are kept.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Overrides the script's seed.
        #[arg(long)]
        seed: Option<u64>,
        /// Number of consecutive seeds to run.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Number of days run in parallel.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
    },
    /// Convert a day as the bench prints it into a script, on standard output.
    FromBench { file: PathBuf },
}

/// Runs a sub-command; fails with the exit code of a broken rule if a day broke one.
pub fn run(command: DayCommand) -> Result<(), CommandError> {
    match command {
        DayCommand::Run { file, json, out, seed, seeds, jobs } => {
            let day: Day = config::read_file(&file, Day::validate)?;
            let first = seed.unwrap_or(day.seed);
            let all_seeds: Vec<u64> = (0..seeds.max(1)).map(|offset| first.wrapping_add(offset)).collect();
            let mut broken = Vec::new();
            for batch in all_seeds.chunks(jobs.max(1)) {
                let run_seed = |seed: u64| run_day(&Day { seed, ..day.clone() }, out.as_deref(), seeds > 1);
                let outcomes: Vec<Result<Outcome, CommandError>> = std::thread::scope(|scope| {
                    let running: Vec<_> = batch.iter().map(|seed| scope.spawn(|| run_seed(*seed))).collect();
                    let panicked = |_| Err(CommandError::Runtime("the thread of a day panicked".to_string()));
                    running.into_iter().map(|day| day.join().unwrap_or_else(panicked)).collect()
                });
                for outcome in outcomes {
                    let outcome = outcome?;
                    print_outcome(&outcome, json)?;
                    if !outcome.passed() {
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
            Err(CommandError::RuleViolation(format!(
                "{}: rules were broken with seeds {broken:?}",
                file.display()
            )))
        }
        DayCommand::FromBench { file } => {
            let shown_path = file.display();
            let text = fs::read_to_string(&file)
                .map_err(|error| CommandError::Usage(format!("{shown_path}: {error}")))?;
            let (day, unsupported) = from_bench::convert(&text)
                .map_err(|error| CommandError::Usage(format!("{shown_path}: {error}")))?;
            for kind in unsupported {
                tracing::warn!(kind, "this kind of fault has no counterpart here and is skipped");
            }
            let text = serde_json::to_string_pretty(&day).map_err(CommandError::runtime)?;
            println!("{text}");
            Ok(())
        }
    }
}

/// Runs one day with its seed, in a folder of its own if several seeds share `out`.
fn run_day(day: &Day, out: Option<&Path>, folder_per_seed: bool) -> Result<Outcome, CommandError> {
    let program = std::env::current_exe().map_err(CommandError::runtime)?;
    let scratch = tempfile::tempdir().map_err(CommandError::runtime)?;
    let out = match out {
        Some(out) if folder_per_seed => out.join(format!("seed-{}", day.seed)),
        Some(out) => out.to_path_buf(),
        None => scratch.path().to_path_buf(),
    };
    day_run::run_day(day, &program, &out).map_err(CommandError::runtime)
}

fn print_outcome(outcome: &Outcome, json: bool) -> Result<(), CommandError> {
    if json {
        let text = serde_json::to_string(outcome).map_err(CommandError::runtime)?;
        println!("{text}");
        return Ok(());
    }
    println!(
        "seed {}: {} RPCs, {:.2}% ok, {:.2}% within the soft deadline, p50 {:.1} ms, p99 {:.1} ms",
        outcome.seed,
        outcome.rpcs,
        outcome.ok_share * 100.0,
        outcome.in_time_share * 100.0,
        outcome.p50_ms,
        outcome.p99_ms
    );
    println!(
        "  handovers {}, rejected tables {}, reconnects {}, lines sent {}, max queued {}",
        outcome.handovers, outcome.nacks, outcome.reconnects, outcome.lines_sent, outcome.backlog_most
    );
    println!("  rules broken: no proxy without a line {}, no effect twice {}, drains kept {}, cold servers {}, short queue {}", outcome.rules.no_proxy_without_a_line, outcome.rules.no_effect_twice, outcome.rules.drains_kept, outcome.rules.cold_servers, outcome.rules.short_queue);
    outcome.failures.iter().for_each(|(reason, count)| println!("  failed {count}: {reason}"));
    outcome.findings.iter().for_each(|finding| println!("  {finding}"));
    Ok(())
}
