//! Rollbacks during a day: requested at each assigner, timed, and counted at the end.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::PoisonError;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;
use tracing::{info, warn};
use whinhill_assigner::{OperatorRequest, OperatorResponse, VersionSelector};
use whinhill_transport::Drivers;

use super::assigners::AssignerSlot;
use super::Fleet;

/// How long a rollback is watched before its timing is given up.
const WATCH_TIMEOUT: Duration = Duration::from_secs(120);
/// How often a rollback's state is queried.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Stack of the thread that watches a rollback.
const WATCH_STACK_BYTES: usize = 256 << 10;
/// How long a rollback may take, as requested from the assigners.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(60);

/// What became of a day's rollbacks, summed over the assigners.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Rollbacks {
    /// Rollbacks that the assigners list, whether ended or not.
    pub asked: u64,
    /// Those of them that have ended.
    pub ended: u64,
    /// Slices whose move was completed.
    pub slices_done: u64,
    /// Slices whose move was abandoned.
    pub slices_abandoned: u64,
    /// Time from each request until the rollback had ended at every assigner and every proxy had acknowledged its
    /// tables. Assigners evaluate rollbacks once a second.
    pub took_ms: Vec<f64>,
}

impl Fleet<'_> {
    /// Requests from every assigner that answers a rollback of its owners to their state `ago` before now.
    pub(super) fn roll_back(&self, ago: Duration) {
        let then = SystemTime::now().checked_sub(ago).and_then(|then| then.duration_since(UNIX_EPOCH).ok());
        let unix_ms = then.map_or(0, |then| then.as_millis() as u64);
        for slot in &self.assigners {
            let request = OperatorRequest::Rollback {
                to: VersionSelector::UnixMs(unix_ms),
                slices: None,
                by: "the day's script".into(),
                dry_run: false,
                within_ms: ROLLBACK_TIMEOUT.as_millis() as u64,
            };
            let Some(addr) = operator_addr(&slot.operators_file()) else { continue };
            match whinhill_assigner::send_request(addr, &request, &self.drivers) {
                Ok(OperatorResponse::Plan { id, to, slices, .. }) => {
                    let moves = slices.iter().filter(|line| line.verdict == "moves").count();
                    info!(name = %slot.name, ?id, to, moves, "rollback started");
                }
                Ok(_) => {}
                // An assigner that is down at the time can't be asked.
                Err(error) => warn!(name = %slot.name, %error, "rollback not requested"),
            }
        }
        self.time_rollback();
    }

    /// Measures in a thread of its own how long the rollback takes until it has ended at every assigner and every
    /// proxy has acknowledged its tables.
    fn time_rollback(&self) {
        let paths: Vec<PathBuf> = self.assigners.iter().map(AssignerSlot::operators_file).collect();
        let (drivers, took, began) = (self.drivers.clone(), self.rollback_times_ms.clone(), Instant::now());
        let watch = move || {
            while began.elapsed() < WATCH_TIMEOUT {
                let done = paths.iter().all(|path| all_rollbacks_done(path, &drivers));
                if done {
                    let ms = began.elapsed().as_secs_f64() * 1e3;
                    return took.lock().unwrap_or_else(PoisonError::into_inner).push(ms);
                }
                thread::sleep(WATCH_INTERVAL);
            }
        };
        if let Err(error) =
            thread::Builder::new().name("rollback".into()).stack_size(WATCH_STACK_BYTES).spawn(watch)
        {
            warn!(%error, "the rollback is not timed");
        }
    }

    /// Sums up the rollbacks of all assigners that answer.
    pub(super) fn rollbacks(&self) -> Rollbacks {
        let took_ms = self.rollback_times_ms.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut sum = Rollbacks { took_ms, ..Rollbacks::default() };
        for slot in &self.assigners {
            let Some(addr) = operator_addr(&slot.operators_file()) else { continue };
            let Ok(OperatorResponse::Rollbacks(lines)) =
                whinhill_assigner::send_request(addr, &OperatorRequest::Rollbacks, &self.drivers)
            else {
                continue;
            };
            for line in lines {
                sum.asked += 1;
                sum.ended += u64::from(line.finished);
                sum.slices_done += line.progress.done as u64;
                sum.slices_abandoned += line.progress.abandoned as u64;
            }
        }
        sum
    }
}

/// Whether all rollbacks of an assigner have ended and no proxy is behind. False for an assigner that is down.
fn all_rollbacks_done(path: &Path, drivers: &Drivers) -> bool {
    let Some(addr) = operator_addr(path) else { return false };
    let ended = match whinhill_assigner::send_request(addr, &OperatorRequest::Rollbacks, drivers) {
        Ok(OperatorResponse::Rollbacks(lines)) => lines.iter().all(|line| line.finished),
        _ => false,
    };
    ended
        && match whinhill_assigner::send_request(addr, &OperatorRequest::Proxies, drivers) {
            Ok(OperatorResponse::Proxies { proxies, .. }) => proxies.iter().all(|proxy| proxy.behind == 0),
            _ => false,
        }
}

/// The address of an assigner's operator interface, as it wrote it to `path`; `None` before it has.
fn operator_addr(path: &Path) -> Option<SocketAddr> {
    fs::read_to_string(path).unwrap_or_default().parse().ok()
}
