//! Runs a scripted day: starts the fleet, applies load, injects faults by the script, stops the fleet and audits it.
//!
//! [`run_day`] does all of it. The modules `assigners`, `proxies` and `servers` start and stop the parts of the fleet.
//! `schedule` decides what is due, `faults` and `links` inject and end faults, `load` sends RPCs meanwhile, and
//! `outcome` summarizes the run.

mod assigners;
mod error;
mod faults;
mod fleet;
mod handle;
mod links;
mod load;
mod outcome;
mod proxies;
mod rollbacks;
mod schedule;
mod servers;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::day::{Day, FaultKind, ScheduledFault};

pub use error::DayRunError;
pub use handle::{with_fleet, FleetHandle};
pub use outcome::Outcome;
pub use rollbacks::Rollbacks;

use fleet::Fleet;

/// How long a process may take to start, and the fleet to be ready for load.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long processes may take to end before they are killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs `day` and returns its outcome. `program` is the binary that runs as assigner and as proxy where these are
/// processes. Configurations, logs and status files go to `out`.
pub fn run_day(day: &Day, program: &Path, out: &Path) -> Result<Outcome, DayRunError> {
    let mut fleet = Fleet::start(day, program, out)?;
    let result = fleet.run();
    let has_rollback = |fault: &ScheduledFault| matches!(fault.what, FaultKind::RollBack { .. });
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
