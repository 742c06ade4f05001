//! `whinhill table`: looks at the versions of a running assigner's tables, and leads back to an older one.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use clap::{Args, Subcommand};
use serde::Serialize;
use whinhill_assigner::{Answer, Ask, Target};
use whinhill_tables::{Author, SliceTable};
use whinhill_transport::Drivers;

use crate::{soak, Failed};

#[derive(Args)]
pub struct TableArgs {
    #[command(subcommand)]
    command: TableCommand,
}

#[derive(Args)]
struct At {
    /// Where the assigner listens to operators.
    #[arg(long)]
    at: SocketAddr,
    /// The answer as JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
enum TableCommand {
    /// The newest versions: who made them, when and why.
    History {
        #[command(flatten)]
        at: At,
        #[arg(long, default_value_t = 20)]
        most: usize,
    },
    /// One version's tables.
    Show {
        #[command(flatten)]
        at: At,
        /// A number, `current`, `last-good`, or `@` and milliseconds of Unix time.
        #[arg(default_value = "current", value_parser = target)]
        version: Target,
        /// Only these slices.
        #[arg(long, value_delimiter = ',')]
        slices: Vec<usize>,
    },
    /// The slices in which two versions differ.
    Diff {
        #[command(flatten)]
        at: At,
        #[arg(value_parser = target)]
        from: Target,
        #[arg(default_value = "current", value_parser = target)]
        to: Target,
    },
    /// Mark a version as good: it is kept however old it gets.
    PinGood {
        #[command(flatten)]
        at: At,
        #[arg(default_value = "current", value_parser = target)]
        version: Target,
    },
    /// Lead owners back to where they were in a version, by the ordinary handover.
    Rollback {
        #[command(flatten)]
        at: At,
        #[arg(value_parser = target)]
        to: Target,
        /// Only these slices.
        #[arg(long, value_delimiter = ',')]
        slices: Vec<usize>,
        /// Who orders it, for the history.
        #[arg(long)]
        by: String,
        /// Say what would be done, and do nothing.
        #[arg(long)]
        dry_run: bool,
        /// What has found no room by then is abandoned, in seconds.
        #[arg(long, default_value_t = 300)]
        within_s: u64,
    },
    /// Rollbacks under way and ended.
    Rollbacks {
        #[command(flatten)]
        at: At,
    },
    /// Which version each proxy has acknowledged, and who is behind.
    Proxies {
        #[command(flatten)]
        at: At,
    },
    /// Random changes, rollbacks, lost and repeated messages and crashes, against a full rebuild.
    Soak(soak::SoakArgs),
}

fn target(text: &str) -> Result<Target, String> {
    match text {
        "current" => Ok(Target::Current),
        "last-good" => Ok(Target::LastGood),
        _ => {
            let number = |text: &str| text.parse::<u64>().ok();
            let found = match text.strip_prefix('@') {
                Some(time) => number(time).map(Target::UnixMs),
                None => number(text).map(Target::Version),
            };
            found.ok_or_else(|| "a number, `current`, `last-good` or `@UNIX_MS` is expected".to_string())
        }
    }
}

fn some(slices: Vec<usize>) -> Option<BTreeSet<usize>> {
    (!slices.is_empty()).then(|| slices.into_iter().collect())
}

pub fn run(args: TableArgs) -> Result<(), Failed> {
    let (at, ask) = match args.command {
        TableCommand::History { at, most } => (at, Ask::History { most }),
        TableCommand::Show { at, version, slices } => (at, Ask::Show { version, slices: some(slices) }),
        TableCommand::Diff { at, from, to } => (at, Ask::Diff { from, to }),
        TableCommand::PinGood { at, version } => (at, Ask::PinGood { version }),
        TableCommand::Rollback { at, to, slices, by, dry_run, within_s } => {
            let slices = some(slices);
            (at, Ask::Rollback { to, slices, by, dry_run, within_ms: within_s.saturating_mul(1000) })
        }
        TableCommand::Rollbacks { at } => (at, Ask::Rollbacks),
        TableCommand::Proxies { at } => (at, Ask::Proxies),
        TableCommand::Soak(args) => return soak::run(&args),
    };
    let failed = |error: &dyn std::fmt::Display| Failed::Running(error.to_string());
    let drivers = Drivers::start("operator", 1).map_err(|error| failed(&error))?;
    let answer = whinhill_assigner::ask(at.at, &ask, &drivers).map_err(|error| failed(&error))?;
    if at.json {
        return line(&answer);
    }
    print(answer);
    Ok(())
}

fn line(answer: &impl Serialize) -> Result<(), Failed> {
    let text = serde_json::to_string(answer).map_err(|error| Failed::Running(error.to_string()))?;
    println!("{text}");
    Ok(())
}

fn author(author: &Author) -> String {
    match author {
        Author::Module => "module".into(),
        Author::Operator(name) => format!("operator {name}"),
        Author::Rollback { to, by } => format!("rollback to {to} by {by}"),
        Author::Recovery => "recovery".into(),
    }
}

fn owner(table: Option<&SliceTable>) -> String {
    let Some(table) = table else { return "not ours".into() };
    let levels: Vec<String> = table.shares.iter().map(|share| format!("{share:.2}")).collect();
    format!("{} {} [{}]", table.version, table.owner.as_deref().unwrap_or("nobody"), levels.join(" "))
}

fn print(answer: Answer) {
    match answer {
        Answer::History { current, compacted, versions } => {
            println!("current {current}, {compacted} older ones let go");
            for v in versions {
                let good = if v.good { " good" } else { "" };
                let who = author(&v.author);
                println!(
                    "{} {} @{} {who}, {} slices{good}: {}",
                    v.number, v.hash, v.unix_ms, v.slices, v.cause
                );
            }
        }
        Answer::Set { number, hash, slices } => {
            println!("version {number} {hash}");
            slices.iter().for_each(|(slice, table)| println!("{slice} {}", owner(Some(table))));
        }
        Answer::Diff { from, to, slices } => {
            println!("{} slices differ between {from} and {to}", slices.len());
            for line in slices {
                println!("{} {} -> {}", line.slice, owner(line.was.as_ref()), owner(line.now.as_ref()));
            }
        }
        Answer::Pinned { number } => println!("version {number} is marked good"),
        Answer::Plan { id, to, slices, levels_left } => {
            match id {
                Some(id) => println!("rollback {id} to version {to} has begun"),
                None => println!("dry run of a rollback to version {to}"),
            }
            for line in slices.iter().filter(|line| line.verdict != "stands") {
                let (to, why) = (line.to.as_deref().unwrap_or("-"), line.why.as_deref().unwrap_or(""));
                println!("{} {} {to} {why}", line.slice, line.verdict);
            }
            let count = |verdict: &str| slices.iter().filter(|line| line.verdict == verdict).count();
            println!(
                "{} stand, {} move, {} wait, {} refused; levels of {levels_left} are left to the decisions",
                count("stands"),
                count("moves"),
                count("waits"),
                count("refused")
            );
        }
        Answer::Rollbacks(lines) => {
            for r in lines {
                let (p, state) = (r.progress, if r.finished { "ended" } else { "under way" });
                println!(
                    "{} to {} by {}: {state}; {} open, {} wished, {} done, {} abandoned",
                    r.id, r.to, r.by, p.open, p.handed, p.done, p.abandoned
                );
                r.abandoned.iter().for_each(|(slice, why)| println!("  {slice}: {why}"));
            }
        }
        Answer::Proxies { current, proxies } => {
            println!("current {current}");
            for p in proxies {
                let acked = p.acked.map_or("nothing".to_string(), |acked| acked.to_string());
                println!("{} holds {acked}, {} versions and {} ms behind", p.proxy, p.behind, p.behind_ms);
            }
        }
        // Asked for by `whinhill reports` alone.
        Answer::Reports(answer) => println!("{} reports", answer.reports),
        Answer::Refused(why) => println!("{why}"),
    }
}
