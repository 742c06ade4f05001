//! `whinhill reports`: what a running assigner knows of load, and the soak of its intake.

mod former;
mod soak;

use std::net::SocketAddr;

use clap::{Args, Subcommand};
use whinhill_assigner::{Answer, Ask, ReportsAnswer};
use whinhill_transport::Drivers;

use crate::Failed;

#[derive(Args)]
pub struct ReportsArgs {
    #[command(subcommand)]
    command: ReportsCommand,
}

#[derive(Subcommand)]
enum ReportsCommand {
    /// What is known of load, and by whom: lag, budget, what was merged, doubted or thinned.
    Show {
        /// Where the assigner listens to operators.
        #[arg(long)]
        at: SocketAddr,
        /// Proxies to list, the worst first.
        #[arg(long, default_value_t = 20)]
        most: usize,
        #[arg(long)]
        json: bool,
    },
    /// Simulated proxies over real streams, through a script of hard cases; the former intake beside it.
    Soak(soak::SoakArgs),
}

pub fn run(args: ReportsArgs) -> Result<(), Failed> {
    let (at, most, json) = match args.command {
        ReportsCommand::Soak(args) => return soak::run(&args),
        ReportsCommand::Show { at, most, json } => (at, most, json),
    };
    let failed = |error: &dyn std::fmt::Display| Failed::Running(error.to_string());
    let drivers = Drivers::start("reports", 1).map_err(|error| failed(&error))?;
    let answer = whinhill_assigner::ask(at, &Ask::Reports, &drivers).map_err(|error| failed(&error))?;
    match answer {
        Answer::Reports(answer) if json => {
            println!("{}", serde_json::to_string(&answer).map_err(|error| failed(&error))?);
        }
        Answer::Reports(answer) => print(&answer, most),
        Answer::Refused(why) => return Err(Failed::Running(why)),
        other => return Err(Failed::Running(format!("an answer to something else: {other:?}"))),
    }
    Ok(())
}

fn print(a: &ReportsAnswer, most: usize) {
    let state = if a.blind { "; too little for anything to be decided on" } else { "" };
    println!("heard {:.1}% of the expected load{state}", a.heard * 100.0);
    println!("lag of proxies: {} ms in the middle, {} ms at most", a.lag_ms_middle, a.lag_ms_most);
    println!(
        "lines at the last turn: {} ready, {} given, {} known too badly yet; error at most {:.1}%",
        a.lines_ready,
        a.lines_given,
        a.lines_unsure,
        a.error_most * 100.0
    );
    let share = |count: u64| count as f64 * 100.0 / a.offered.max(1) as f64;
    println!(
        "tries told {}: given {:.2}%, waiting {:.2}%, late {:.2}%, repeated {:.2}%, doubted {:.2}%, of others' slices {:.2}%{}",
        a.offered,
        share(a.given),
        share(a.waiting),
        share(a.late),
        share(a.repeated),
        share(a.doubted),
        share(a.foreign),
        if a.conserved { "" } else { "; THEY DO NOT ADD UP" }
    );
    println!(
        "{} reports, {} thinned, {} with a stretch that could not be; {} lines that nobody could make out",
        a.reports, a.thinned, a.mended, a.strange
    );
    for p in a.proxies.iter().take(most) {
        println!("{} {}, {} ms late, {:.1} tries a second", p.proxy, p.hearing, p.late_ms, p.tries_per_s);
    }
}
