//! `whinhill platform soak`: runs assigner processes against stand-ins of the platform under randomly drawn faults and
//! audits the result.

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use clap::Args;
use tracing::warn;
use whinhill_standins::platform::script::Trouble;
use whinhill_standins::platform::site::SiteSetting;
use whinhill_standins::platform::soak::{self, Options, Report};
use whinhill_standins::platform::Sabotage;

use crate::CommandError;

/// Name of the fault library, which the build puts next to this program.
const FAULT_LIBRARY: &str = "libwhinhill_faults.so";
/// Allowed seconds of a seed's run: a shorter run shows nothing, and a longer one is outside the soak's scope.
const SEED_SECONDS: std::ops::RangeInclusive<u64> = 8..=3600;
/// Maximum seeds run in parallel: each takes a few processes and some dozens of threads.
const MAX_JOBS: usize = 16;

/// Arguments of `whinhill platform soak`.
#[derive(Args)]
pub struct SoakArgs {
    /// The seeds to run: one, or the first and the last as `1-50`.
    #[arg(long, default_value = "1", value_parser = parse_seeds, conflicts_with = "replay")]
    seeds: SeedRange,
    /// Run one seed again and keep its logs.
    #[arg(long)]
    replay: Option<u64>,
    /// How long each seed runs: `60s`, `2m`.
    #[arg(long = "for", default_value = "60s", value_parser = parse_duration)]
    time: Duration,
    /// Inject only these kinds of fault, all of them in each seed. Default: each seed draws its own.
    #[arg(long)]
    fault: Vec<Trouble>,
    /// Put a defect into the stand-ins, whose effects the auditor must find.
    #[arg(long)]
    sabotage: Option<Sabotage>,
    /// Use this setting, such as `discovery=automatic` or `probes=off`, in place of the one that the seed has.
    #[arg(long)]
    setting: Vec<SiteSetting>,
    /// Number of seeds run in parallel.
    #[arg(long, default_value_t = 2)]
    jobs: usize,
    /// The program that runs as the assigners, to compare releases. Default: this one.
    #[arg(long)]
    program: Option<PathBuf>,
    /// The library that injects system call faults; without it there are none. Default: the one beside this program.
    #[arg(long)]
    library: Option<PathBuf>,
    /// Folder for logs and time lines. Default: a folder that is removed unless the seed broke a rule.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Print one JSON object per seed.
    #[arg(long)]
    json: bool,
}

/// Seeds from `first` to `last`, both included.
#[derive(Clone, Copy, Debug)]
struct SeedRange {
    first: u64,
    last: u64,
}

fn parse_seeds(text: &str) -> Result<SeedRange, String> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let read = |word: &str| word.parse::<u64>().map_err(|_| format!("'{word}' is not a seed"));
    let seeds = SeedRange { first: read(first)?, last: read(last)? };
    if seeds.first <= seeds.last {
        Ok(seeds)
    } else {
        Err("the first seed is greater than the last".to_string())
    }
}

fn parse_duration(text: &str) -> Result<Duration, String> {
    let (number, unit) = text.split_at(text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len()));
    let unit = match unit {
        "s" => 1,
        "m" => 60,
        _ => return Err("not a time such as 60s or 2m".to_string()),
    };
    let seconds = number.parse::<u64>().ok().and_then(|n| n.checked_mul(unit));
    let seconds = seconds.filter(|seconds| SEED_SECONDS.contains(seconds));
    let seconds =
        seconds.ok_or(format!("expected {} to {} seconds", SEED_SECONDS.start(), SEED_SECONDS.end()))?;
    Ok(Duration::from_secs(seconds))
}

/// Runs all seeds. Fails with the exit code of a broken rule if one was broken.
pub fn run(args: &SoakArgs) -> Result<(), CommandError> {
    if !(1..=MAX_JOBS).contains(&args.jobs) {
        return Err(CommandError::Usage(format!("--jobs: expected 1 to {MAX_JOBS}")));
    }
    let seeds: Vec<u64> = match args.replay {
        Some(seed) => vec![seed],
        None => (args.seeds.first..=args.seeds.last).collect(),
    };
    let this_program = std::env::current_exe().map_err(CommandError::runtime)?;
    let library = find_library(args, &this_program)?;
    let program = args.program.clone().unwrap_or(this_program);
    if !program.exists() {
        return Err(CommandError::Usage(format!("--program {}: no such file", program.display())));
    }
    let (next, results) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..args.jobs.min(seeds.len()) {
            scope.spawn(|| {
                while let Some(seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let result = run_seed(args, *seed, &program, library.as_ref());
                    print_result(args, *seed, &result);
                    if let Ok(mut results) = results.lock() {
                        results.push(result);
                    }
                }
            });
        }
    });
    check_results(&results.into_inner().unwrap_or_default())
}

/// The fault library given, or the one next to `program` if there is one.
fn find_library(args: &SoakArgs, program: &std::path::Path) -> Result<Option<PathBuf>, CommandError> {
    let default_library = program.with_file_name(FAULT_LIBRARY);
    match &args.library {
        Some(library) if !library.exists() => {
            Err(CommandError::Usage(format!("--library {}: no such file", library.display())))
        }
        Some(library) => Ok(Some(library.clone())),
        None if default_library.exists() => Ok(Some(default_library)),
        None => {
            warn!("{FAULT_LIBRARY} is not next to this program: no system call faults are injected");
            Ok(None)
        }
    }
}

/// Runs one seed; removes its folder unless it is to be kept.
fn run_seed(
    args: &SoakArgs,
    seed: u64,
    program: &std::path::Path,
    library: Option<&PathBuf>,
) -> Result<Report, String> {
    let parent = args.keep.clone().unwrap_or_else(std::env::temp_dir);
    let folder = parent.join(format!("whinhill-soak-{}-{seed}", std::process::id()));
    let options = Options {
        seed,
        duration: args.time,
        troubles: args.fault.clone(),
        sabotage: args.sabotage,
        site_settings: args.setting.clone(),
        program: program.to_path_buf(),
        library: library.cloned(),
        folder: folder.clone(),
    };
    let report = soak::run(&options).map_err(|error| format!("seed {seed}: {error}"))?;
    if report.broken_rules > 0 || args.replay.is_some() {
        warn!(seed, "logs and time line: {}", folder.display());
    } else if args.keep.is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(report)
}

fn print_result(args: &SoakArgs, seed: u64, result: &Result<Report, String>) {
    match result {
        Ok(report) if args.json => match serde_json::to_string(report) {
            Ok(text) => println!("{text}"),
            Err(error) => warn!(seed, "{error}"),
        },
        Ok(report) => {
            let late = report.rpcs.late_overload + report.rpcs.late_slow;
            let (lost, lost_by_reference) = (report.rpcs.lost(), report.reference_rpcs.lost());
            let (refused, refused_by_reference) = (report.rpcs.refused(), report.reference_rpcs.refused());
            println!(
                "seed {} nodes {} {:?} requests {} unanswered {} late {} slowest {} ms; starts {} ready {} ms; \
                 RPCs {} in time {} late {late} lost {lost} (reference {lost_by_reference}) refused {refused} \
                 (reference {refused_by_reference}); silence to last RPC p50 {} p99 {} ms; broken {}",
                report.seed,
                report.nodes,
                report.troubles,
                report.requests.requests,
                report.requests.unanswered,
                report.requests.late,
                report.requests.slowest_ms,
                report.starts,
                report.ready_ms_most,
                report.rpcs.offered,
                report.rpcs.in_time,
                report.silence_to_last.p50_ms,
                report.silence_to_last.p99_ms,
                report.broken_rules
            );
            report.broken.iter().for_each(|violation| {
                println!("  {:>6} ms {:?}: {}", violation.at_ms, violation.rule, violation.what)
            });
        }
        Err(error) => println!("{error}"),
    }
}

/// Prints the totals; fails if a run failed, a rule was broken, or too many starts were slow.
fn check_results(results: &[Result<Report, String>]) -> Result<(), CommandError> {
    if let Some(Err(error)) = results.iter().find(|result| result.is_err()) {
        return Err(CommandError::Runtime(error.clone()));
    }
    let reports: Vec<&Report> = results.iter().flatten().collect();
    let broken: Vec<u64> =
        reports.iter().filter(|report| report.broken_rules > 0).map(|report| report.seed).collect();
    let starts: usize = reports.iter().map(|report| report.starts).sum();
    let slow: usize = reports.iter().map(|report| report.slow_starts).sum();
    println!(
        "{} seeds, {} with broken rules; {slow} of {starts} starts were slow",
        reports.len(),
        broken.len()
    );
    if !broken.is_empty() {
        return Err(CommandError::RuleViolation(format!("rules were broken in seeds {broken:?}")));
    }
    // At least 90% of the starts must be ready in time.
    if slow * 10 > starts {
        return Err(CommandError::RuleViolation(format!("{slow} of {starts} starts were slow")));
    }
    Ok(())
}
