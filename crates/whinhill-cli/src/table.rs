//! `whinhill table`: inspects the versions of a running assigner's tables and rolls back to an older one.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use clap::{Args, Subcommand};
use serde::Serialize;
use whinhill_assigner::{OperatorRequest, OperatorResponse, VersionSelector};
use whinhill_tables::{Author, SliceTable};
use whinhill_transport::Drivers;

use crate::{table_soak, CommandError};

/// Arguments of `whinhill table`.
#[derive(Args)]
pub struct TableArgs {
    #[command(subcommand)]
    command: TableCommand,
}

/// Arguments of all requests to an assigner.
#[derive(Args)]
struct OperatorArgs {
    /// Address on which the assigner listens for operators.
    #[arg(long)]
    at: SocketAddr,
    /// Print the answer as JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
enum TableCommand {
    /// List the newest versions: who made them, when and why.
    History {
        #[command(flatten)]
        operator: OperatorArgs,
        /// Number of versions to list.
        #[arg(long, default_value_t = 20)]
        most: usize,
    },
    /// Show one version's tables.
    Show {
        #[command(flatten)]
        operator: OperatorArgs,
        /// A number, `current`, `last-good`, or `@` and milliseconds of Unix time.
        #[arg(default_value = "current", value_parser = parse_version)]
        version: VersionSelector,
        /// Only these slices.
        #[arg(long, value_delimiter = ',')]
        slices: Vec<usize>,
    },
    /// List the slices in which two versions differ.
    Diff {
        #[command(flatten)]
        operator: OperatorArgs,
        #[arg(value_parser = parse_version)]
        from: VersionSelector,
        #[arg(default_value = "current", value_parser = parse_version)]
        to: VersionSelector,
    },
    /// Mark a version as good, which keeps it whatever its age.
    PinGood {
        #[command(flatten)]
        operator: OperatorArgs,
        #[arg(default_value = "current", value_parser = parse_version)]
        version: VersionSelector,
    },
    /// Move slices back to their owners of a version, with ordinary handovers.
    Rollback {
        #[command(flatten)]
        operator: OperatorArgs,
        #[arg(value_parser = parse_version)]
        to: VersionSelector,
        /// Only these slices.
        #[arg(long, value_delimiter = ',')]
        slices: Vec<usize>,
        /// Name of the operator, for the history.
        #[arg(long)]
        by: String,
        /// Only print what would be done.
        #[arg(long)]
        dry_run: bool,
        /// Seconds after which moves that found no owner with spare capacity are abandoned.
        #[arg(long, default_value_t = 300)]
        within_s: u64,
    },
    /// List the rollbacks in progress and ended.
    Rollbacks {
        #[command(flatten)]
        operator: OperatorArgs,
    },
    /// Show which version each proxy has acknowledged and how far it is behind.
    Proxies {
        #[command(flatten)]
        operator: OperatorArgs,
    },
    /// Soak-test tables with random changes, rollbacks, lost and repeated messages and crashes, against a full rebuild.
    Soak(table_soak::SoakArgs),
}

/// Parses the name of a version: a number, `current`, `last-good`, or `@` and milliseconds of Unix time.
fn parse_version(text: &str) -> Result<VersionSelector, String> {
    match text {
        "current" => Ok(VersionSelector::Current),
        "last-good" => Ok(VersionSelector::LastGood),
        _ => {
            let number = |text: &str| text.parse::<u64>().ok();
            let selector = match text.strip_prefix('@') {
                Some(time) => number(time).map(VersionSelector::UnixMs),
                None => number(text).map(VersionSelector::Version),
            };
            selector.ok_or_else(|| "expected a number, `current`, `last-good` or `@UNIX_MS`".to_string())
        }
    }
}

/// The set of slices to select; `None`, for all, if none are given.
fn slice_filter(slices: Vec<usize>) -> Option<BTreeSet<usize>> {
    (!slices.is_empty()).then(|| slices.into_iter().collect())
}

/// Runs a sub-command of `whinhill table`.
pub fn run(args: TableArgs) -> Result<(), CommandError> {
    let (operator, request) = match args.command {
        TableCommand::History { operator, most } => (operator, OperatorRequest::History { most }),
        TableCommand::Show { operator, version, slices } => {
            (operator, OperatorRequest::Show { version, slices: slice_filter(slices) })
        }
        TableCommand::Diff { operator, from, to } => (operator, OperatorRequest::Diff { from, to }),
        TableCommand::PinGood { operator, version } => (operator, OperatorRequest::PinGood { version }),
        TableCommand::Rollback { operator, to, slices, by, dry_run, within_s } => {
            let slices = slice_filter(slices);
            (
                operator,
                OperatorRequest::Rollback {
                    to,
                    slices,
                    by,
                    dry_run,
                    within_ms: within_s.saturating_mul(1000),
                },
            )
        }
        TableCommand::Rollbacks { operator } => (operator, OperatorRequest::Rollbacks),
        TableCommand::Proxies { operator } => (operator, OperatorRequest::Proxies),
        TableCommand::Soak(args) => return table_soak::run(&args),
    };
    let drivers = Drivers::start("operator", 1).map_err(CommandError::runtime)?;
    let answer =
        whinhill_assigner::send_request(operator.at, &request, &drivers).map_err(CommandError::runtime)?;
    if operator.json {
        return print_json(&answer);
    }
    print_answer(answer);
    Ok(())
}

/// Prints an answer as one line of JSON.
fn print_json(answer: &impl Serialize) -> Result<(), CommandError> {
    let text = serde_json::to_string(answer).map_err(CommandError::runtime)?;
    println!("{text}");
    Ok(())
}

fn author_text(author: &Author) -> String {
    match author {
        Author::Module => "module".into(),
        Author::Operator(name) => format!("operator {name}"),
        Author::Rollback { to, by } => format!("rollback to {to} by {by}"),
        Author::Recovery => "recovery".into(),
    }
}

/// Version, owner and levels of a slice's table.
fn table_text(table: Option<&SliceTable>) -> String {
    let Some(table) = table else { return "not held".into() };
    let levels: Vec<String> = table.shares.iter().map(|share| format!("{share:.2}")).collect();
    format!("{} {} [{}]", table.version, table.owner.as_deref().unwrap_or("nobody"), levels.join(" "))
}

/// Prints an answer for people.
fn print_answer(answer: OperatorResponse) {
    match answer {
        OperatorResponse::History { current, compacted, versions } => {
            println!("current {current}, {compacted} older versions compacted");
            for version in versions {
                let good = if version.good { " good" } else { "" };
                let author = author_text(&version.author);
                println!(
                    "{} {} @{} {author}, {} slices{good}: {}",
                    version.number, version.hash, version.unix_ms, version.slices, version.cause
                );
            }
        }
        OperatorResponse::Set { number, hash, slices } => {
            println!("version {number} {hash}");
            slices.iter().for_each(|(slice, table)| println!("{slice} {}", table_text(Some(table))));
        }
        OperatorResponse::Diff { from, to, slices } => {
            println!("{} slices differ between {from} and {to}", slices.len());
            for line in slices {
                println!(
                    "{} {} -> {}",
                    line.slice,
                    table_text(line.was.as_ref()),
                    table_text(line.now.as_ref())
                );
            }
        }
        OperatorResponse::Pinned { number } => println!("version {number} is marked good"),
        OperatorResponse::Plan { id, to, slices, levels_left } => {
            match id {
                Some(id) => println!("rollback {id} to version {to} started"),
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
        OperatorResponse::Rollbacks(lines) => {
            for rollback in lines {
                let (progress, state) =
                    (rollback.progress, if rollback.finished { "ended" } else { "in progress" });
                println!(
                    "{} to {} by {}: {state}; {} open, {} requested, {} done, {} abandoned",
                    rollback.id,
                    rollback.to,
                    rollback.by,
                    progress.open,
                    progress.handed,
                    progress.done,
                    progress.abandoned
                );
                rollback.abandoned.iter().for_each(|(slice, why)| println!("  {slice}: {why}"));
            }
        }
        OperatorResponse::Proxies { current, proxies } => {
            println!("current {current}");
            for proxy in proxies {
                let acked = proxy.acked.map_or("nothing".to_string(), |acked| acked.to_string());
                println!(
                    "{} holds {acked}, {} versions and {} ms behind",
                    proxy.proxy, proxy.behind, proxy.behind_ms
                );
            }
        }
        // Only `whinhill reports` requests this.
        OperatorResponse::Reports(answer) => println!("{} reports", answer.reports),
        OperatorResponse::Refused(why) => println!("{why}"),
    }
}
