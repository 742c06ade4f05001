//! `whinhill platform soak`: assigners as processes on stand-ins of the platform, through drawn troubles, audited.

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use clap::Args;
use tracing::warn;
use whinhill_standins::platform::script::Trouble;
use whinhill_standins::platform::soak::{self, Options, Report};
use whinhill_standins::platform::Sabotage;

use crate::Failed;

/// The library beside this program, as the build leaves it.
const LIBRARY: &str = "libwhinhill_faults.so";
/// Seconds that a seed may be played for: less shows nothing, more is another day.
const SECONDS: std::ops::RangeInclusive<u64> = 8..=3600;
/// Seeds at a time, at most: each is a few processes and some dozens of threads.
const JOBS_MOST: usize = 16;

#[derive(Args)]
pub struct SoakArgs {
    /// The seeds to play: one, or the first and the last as `1-50`.
    #[arg(long, default_value = "1", value_parser = read_seeds, conflicts_with = "replay")]
    seeds: Seeds,
    /// Play one seed again, and keep its logs.
    #[arg(long)]
    replay: Option<u64>,
    /// For how long each is played: `60s`, `2m`.
    #[arg(long = "for", default_value = "60s", value_parser = read_time)]
    time: Duration,
    /// Only these kinds of trouble, all of them in each seed; without it each seed draws its own.
    #[arg(long)]
    fault: Vec<Trouble>,
    /// Put a defect into the stand-ins: the auditor must find what it causes.
    #[arg(long)]
    sabotage: Option<Sabotage>,
    /// Seeds played side by side.
    #[arg(long, default_value_t = 2)]
    jobs: usize,
    /// The program that plays the assigners, to compare releases. Default: this one.
    #[arg(long)]
    program: Option<PathBuf>,
    /// The library that makes calls fail; without one no calls do. Default: the one beside this program.
    #[arg(long)]
    library: Option<PathBuf>,
    /// Where logs and time lines are kept. Default: a folder that is removed, but for broken seeds.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// One JSON object a seed.
    #[arg(long)]
    json: bool,
}

#[derive(Clone, Copy, Debug)]
struct Seeds {
    first: u64,
    last: u64,
}

fn read_seeds(text: &str) -> Result<Seeds, String> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let read = |word: &str| word.parse::<u64>().map_err(|_| format!("'{word}' is no seed"));
    let seeds = Seeds { first: read(first)?, last: read(last)? };
    if seeds.first <= seeds.last {
        Ok(seeds)
    } else {
        Err("the first seed is behind the last".to_string())
    }
}

fn read_time(text: &str) -> Result<Duration, String> {
    let (number, unit) = text.split_at(text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len()));
    let unit = match unit {
        "s" => 1,
        "m" => 60,
        _ => return Err("not a time such as 60s or 2m".to_string()),
    };
    let seconds = number.parse::<u64>().ok().and_then(|n| n.checked_mul(unit));
    let seconds = seconds.filter(|seconds| SECONDS.contains(seconds));
    let seconds = seconds.ok_or(format!("from {} to {} seconds", SECONDS.start(), SECONDS.end()))?;
    Ok(Duration::from_secs(seconds))
}

/// Plays all seeds. Fails with a broken rule's code where one was broken.
pub fn run(args: &SoakArgs) -> Result<(), Failed> {
    if !(1..=JOBS_MOST).contains(&args.jobs) {
        return Err(Failed::Usage(format!("--jobs: from 1 to {JOBS_MOST}")));
    }
    let seeds: Vec<u64> = match args.replay {
        Some(seed) => vec![seed],
        None => (args.seeds.first..=args.seeds.last).collect(),
    };
    let this = std::env::current_exe().map_err(|error| Failed::Running(error.to_string()))?;
    let library = find_library(args, &this)?;
    let program = args.program.clone().unwrap_or(this);
    if !program.exists() {
        return Err(Failed::Usage(format!("--program {}: there is no such file", program.display())));
    }
    let (next, reports) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..args.jobs.min(seeds.len()) {
            scope.spawn(|| {
                while let Some(seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let played = play(args, *seed, &program, library.as_ref());
                    print(args, *seed, &played);
                    if let Ok(mut reports) = reports.lock() {
                        reports.push(played);
                    }
                }
            });
        }
    });
    conclude(&reports.into_inner().unwrap_or_default())
}

fn find_library(args: &SoakArgs, program: &std::path::Path) -> Result<Option<PathBuf>, Failed> {
    let beside = program.with_file_name(LIBRARY);
    match &args.library {
        Some(library) if !library.exists() => {
            Err(Failed::Usage(format!("--library {}: there is no such file", library.display())))
        }
        Some(library) => Ok(Some(library.clone())),
        None if beside.exists() => Ok(Some(beside)),
        None => {
            warn!("{LIBRARY} is not beside this program: no calls of the system fail");
            Ok(None)
        }
    }
}

fn play(
    args: &SoakArgs,
    seed: u64,
    program: &std::path::Path,
    library: Option<&PathBuf>,
) -> Result<Report, String> {
    let kept = args.keep.clone().unwrap_or_else(std::env::temp_dir);
    let folder = kept.join(format!("whinhill-soak-{}-{seed}", std::process::id()));
    let options = Options {
        seed,
        time: args.time,
        only: args.fault.clone(),
        sabotage: args.sabotage,
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

fn print(args: &SoakArgs, seed: u64, played: &Result<Report, String>) {
    match played {
        Ok(report) if args.json => match serde_json::to_string(report) {
            Ok(text) => println!("{text}"),
            Err(error) => warn!(seed, "{error}"),
        },
        Ok(r) => {
            let late = r.rpcs.late_overload + r.rpcs.late_slow;
            let (lost, lost_by_reference) = (r.rpcs.lost(), r.reference_rpcs.lost());
            let (refused, refused_by_reference) = (r.rpcs.refused(), r.reference_rpcs.refused());
            println!(
                "seed {} nodes {} {:?} requests {} unanswered {} late {} slowest {} ms; starts {} ready {} ms; \
                 RPCs {} in time {} late {late} lost {lost} (reference {lost_by_reference}) refused {refused} \
                 (reference {refused_by_reference}); silence to last RPC p50 {} p99 {} ms; broken {}",
                r.seed,
                r.nodes,
                r.troubles,
                r.requests.requests,
                r.requests.unanswered,
                r.requests.late,
                r.requests.slowest_ms,
                r.starts,
                r.ready_ms_most,
                r.rpcs.offered,
                r.rpcs.in_time,
                r.silence_to_last.p50_ms,
                r.silence_to_last.p99_ms,
                r.broken_rules
            );
            r.broken.iter().for_each(|b| println!("  {:>6} ms {:?}: {}", b.at_ms, b.rule, b.what));
        }
        Err(error) => println!("{error}"),
    }
}

fn conclude(played: &[Result<Report, String>]) -> Result<(), Failed> {
    if let Some(Err(error)) = played.iter().find(|played| played.is_err()) {
        return Err(Failed::Running(error.clone()));
    }
    let reports: Vec<&Report> = played.iter().flatten().collect();
    let broken: Vec<u64> = reports.iter().filter(|r| r.broken_rules > 0).map(|r| r.seed).collect();
    let starts: usize = reports.iter().map(|r| r.starts).sum();
    let slow: usize = reports.iter().map(|r| r.slow_starts).sum();
    println!(
        "{} seeds, {} with broken rules; {slow} of {starts} starts were slow",
        reports.len(),
        broken.len()
    );
    if !broken.is_empty() {
        return Err(Failed::Rule(format!("rules were broken in seeds {broken:?}")));
    }
    // Nine in ten have to be ready in time.
    if slow * 10 > starts {
        return Err(Failed::Rule(format!("{slow} of {starts} starts were slow")));
    }
    Ok(())
}
