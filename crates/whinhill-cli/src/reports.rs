//! `whinhill reports`: shows the state of a running assigner's load reports, and soak-tests their processing.

mod baseline;
mod soak;

use std::net::SocketAddr;

use clap::{Args, Subcommand};
use whinhill_assigner::{LoadReportStatus, OperatorRequest, OperatorResponse};
use whinhill_transport::Drivers;

use crate::CommandError;

/// Arguments of `whinhill reports`.
#[derive(Args)]
pub struct ReportsArgs {
    #[command(subcommand)]
    command: ReportsCommand,
}

#[derive(Subcommand)]
enum ReportsCommand {
    /// Show the state of load reports: coverage, lag, budget, and counts of held, rejected and downsampled tries.
    Show {
        /// Address on which the assigner listens for operators.
        #[arg(long)]
        at: SocketAddr,
        /// Number of proxies to list, the worst first.
        #[arg(long, default_value_t = 20)]
        most: usize,
        /// Print the answer as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Run simulated proxies over real streams through scripted failures, with the baseline intake for comparison.
    Soak(soak::SoakArgs),
}

/// Runs a sub-command of `whinhill reports`.
pub fn run(args: ReportsArgs) -> Result<(), CommandError> {
    let (at, most, json) = match args.command {
        ReportsCommand::Soak(args) => return soak::run(&args),
        ReportsCommand::Show { at, most, json } => (at, most, json),
    };
    let drivers = Drivers::start("reports", 1).map_err(CommandError::runtime)?;
    let answer = whinhill_assigner::send_request(at, &OperatorRequest::Reports, &drivers)
        .map_err(CommandError::runtime)?;
    match answer {
        OperatorResponse::Reports(answer) if json => {
            println!("{}", serde_json::to_string(&answer).map_err(CommandError::runtime)?);
        }
        OperatorResponse::Reports(answer) => print_status(&answer, most),
        OperatorResponse::Refused(why) => return Err(CommandError::Runtime(why)),
        other => return Err(CommandError::Runtime(format!("unexpected answer: {other:?}"))),
    }
    Ok(())
}

/// Prints the state of load reports, and at most `most` proxies.
fn print_status(status: &LoadReportStatus, most: usize) {
    let coverage_note = if status.blind { "; too little to decide on" } else { "" };
    println!("reported: {:.1}% of the expected load{coverage_note}", status.heard * 100.0);
    println!("lag of proxies: median {} ms, max {} ms", status.lag_ms_middle, status.lag_ms_most);
    println!(
        "lines in the last period: {} ready, {} output, {} held back as too uncertain; max error {:.1}%",
        status.lines_ready,
        status.lines_given,
        status.lines_unsure,
        status.error_most * 100.0
    );
    let share = |count: u64| count as f64 * 100.0 / status.offered.max(1) as f64;
    println!(
        "tries reported {}: output {:.2}%, waiting {:.2}%, late {:.2}%, repeated {:.2}%, doubted {:.2}%, of slices held by others {:.2}%{}",
        status.offered,
        share(status.given),
        share(status.waiting),
        share(status.late),
        share(status.repeated),
        share(status.doubted),
        share(status.foreign),
        if status.conserved { "" } else { "; THE COUNTS DO NOT ADD UP" }
    );
    println!(
        "{} reports, {} downsampled, {} with an impossible interval; {} unresolved lines",
        status.reports, status.thinned, status.mended, status.strange
    );
    for proxy in status.proxies.iter().take(most) {
        println!(
            "{} {}, {} ms late, {:.1} tries a second",
            proxy.proxy, proxy.hearing, proxy.late_ms, proxy.tries_per_s
        );
    }
}
