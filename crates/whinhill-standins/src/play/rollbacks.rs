//! Rollbacks in the middle of a day: ordered at each assigner, timed, and counted at the end.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::PoisonError;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;
use tracing::{info, warn};
use whinhill_assigner::{Answer, Ask, Target};
use whinhill_transport::Drivers;

use super::assigners::AssignerSlot;
use super::Fleet;

/// How long a rollback is watched, how often, and the watching thread's stack in bytes.
const WATCH_MOST: Duration = Duration::from_secs(120);
const WATCH_EVERY: Duration = Duration::from_millis(50);
const WATCH_STACK: usize = 256 << 10;
/// How long a rollback may take, as it is ordered.
const ORDERED_WITHIN: Duration = Duration::from_secs(60);

/// What became of a day's rollbacks.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Rollbacks {
    pub asked: u64,
    pub ended: u64,
    pub slices_done: u64,
    pub slices_abandoned: u64,
    /// From the command until all of it had ended and every proxy had acknowledged it; the assigner looks once a
    /// second.
    pub took_ms: Vec<f64>,
}

impl Fleet<'_> {
    /// Has every assigner that answers lead its owners back to where they were so long ago.
    pub(super) fn roll_back(&self, ago: Duration) {
        let then = SystemTime::now().checked_sub(ago).and_then(|then| then.duration_since(UNIX_EPOCH).ok());
        let unix_ms = then.map_or(0, |then| then.as_millis() as u64);
        for slot in &self.assigners {
            let order = Ask::Rollback {
                to: Target::UnixMs(unix_ms),
                slices: None,
                by: "the day's script".into(),
                dry_run: false,
                within_ms: ORDERED_WITHIN.as_millis() as u64,
            };
            let Some(addr) = operators(&slot.operators()) else { continue };
            match whinhill_assigner::ask(addr, &order, &self.drivers) {
                Ok(Answer::Plan { id, to, slices, .. }) => {
                    let moves = slices.iter().filter(|line| line.verdict == "moves").count();
                    info!(name = %slot.name, ?id, to, moves, "rollback begun");
                }
                Ok(_) => {}
                // One that is dead at the time can't be asked.
                Err(error) => warn!(name = %slot.name, %error, "no rollback"),
            }
        }
        self.time_rollback();
    }

    /// Watches, beside the day, how long a rollback takes until it has ended everywhere and every proxy has
    /// acknowledged what came of it.
    fn time_rollback(&self) {
        let paths: Vec<PathBuf> = self.assigners.iter().map(AssignerSlot::operators).collect();
        let (drivers, took, began) = (self.drivers.clone(), self.rolled_back.clone(), Instant::now());
        let watch = move || {
            while began.elapsed() < WATCH_MOST {
                let done = paths.iter().all(|path| rolled_back(path, &drivers));
                if done {
                    let ms = began.elapsed().as_secs_f64() * 1e3;
                    return took.lock().unwrap_or_else(PoisonError::into_inner).push(ms);
                }
                thread::sleep(WATCH_EVERY);
            }
        };
        if let Err(error) =
            thread::Builder::new().name("rollback".into()).stack_size(WATCH_STACK).spawn(watch)
        {
            warn!(%error, "the rollback is not timed");
        }
    }

    /// How each assigner's rollbacks stand, at the day's end: done, abandoned, and those not ended.
    pub(super) fn rollbacks(&self) -> Rollbacks {
        let took_ms = self.rolled_back.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut sum = Rollbacks { took_ms, ..Rollbacks::default() };
        for slot in &self.assigners {
            let Some(addr) = operators(&slot.operators()) else { continue };
            let Ok(Answer::Rollbacks(lines)) = whinhill_assigner::ask(addr, &Ask::Rollbacks, &self.drivers)
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

/// Whether an assigner's rollbacks have all ended and no proxy is behind. One that is dead is not.
fn rolled_back(path: &Path, drivers: &Drivers) -> bool {
    let Some(addr) = operators(path) else { return false };
    let ended = match whinhill_assigner::ask(addr, &Ask::Rollbacks, drivers) {
        Ok(Answer::Rollbacks(lines)) => lines.iter().all(|line| line.finished),
        _ => false,
    };
    ended
        && match whinhill_assigner::ask(addr, &Ask::Proxies, drivers) {
            Ok(Answer::Proxies { proxies, .. }) => proxies.iter().all(|proxy| proxy.behind == 0),
            _ => false,
        }
}

/// Where an assigner listens to operators, as it wrote it; `None` before it has.
fn operators(path: &Path) -> Option<SocketAddr> {
    fs::read_to_string(path).unwrap_or_default().parse().ok()
}
