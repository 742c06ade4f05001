//! Plays a scripted day: starts everything, lets it run, lets things fail when the script says so, stops it, audits.
//!
//! [`play`] is the whole. The fleet's parts start and stop in `assigners`, `proxies` and `servers`; `script` says what
//! is due, `troubles` and `links` do it, `load` calls meanwhile, and `outcome` sums up.

mod assigners;
mod error;
mod fleet;
mod links;
mod load;
mod outcome;
mod proxies;
mod rig;
mod rollbacks;
mod script;
mod servers;
mod troubles;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::day::{Day, Scheduled, Trouble};

pub use error::PlayError;
pub use outcome::Outcome;
pub use rig::{with_fleet, Rig};
pub use rollbacks::Rollbacks;

use fleet::Fleet;

/// How long the fleet may take to be ready for load.
const READY_WITHIN: Duration = Duration::from_secs(20);
const STOP_WITHIN: Duration = Duration::from_secs(10);

/// Plays `day`. `program` is the binary that runs as an assigner; files go to `out`.
pub fn play(day: &Day, program: &Path, out: &Path) -> Result<Outcome, PlayError> {
    let mut fleet = Fleet::start(day, program, out)?;
    let result = fleet.run();
    let has_rollback = |fault: &Scheduled| matches!(fault.what, Trouble::RollBack { .. });
    let rollbacks = day.faults.iter().any(has_rollback).then(|| fleet.rollbacks());
    let proxies = fleet.stop();
    Ok(Outcome::of(&fleet, &result?, &proxies, rollbacks))
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
