//! The load of a day: clients that call through the proxies until they are told to stop.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use hdrhistogram::Histogram;
use tracing::warn;
use whinhill_transport::{Drivers, Workers};

use super::error::io_at;
use super::{Fleet, PlayError};
use crate::clients::{Clients, Totals};

/// The longest time of an answer that is told apart, in microseconds, and its digits.
const MICROS_MOST: u64 = 60_000_000;
const MICROS_DIGITS: u8 = 3;
/// RPCs that clients have out at a time.
const CLIENTS_MOST: usize = 4000;
/// The usual rate, in thousandths of the day's.
const USUAL_RATE: u64 = 1000;
/// So that clients draw other numbers than the fleet.
const CLIENTS_SEED: u64 = 0x9e37_79b9;

/// How many times the day's rate clients call at the moment.
#[derive(Clone)]
pub(super) struct Rate(Arc<AtomicU64>);

impl Default for Rate {
    fn default() -> Self {
        Rate(Arc::new(AtomicU64::new(USUAL_RATE)))
    }
}

impl Rate {
    pub(super) fn set_times(&self, times: f64) {
        self.0.store((times * USUAL_RATE as f64) as u64, Ordering::Relaxed);
    }
}

/// What clients counted, and the times of their ok answers in microseconds.
pub(super) struct Measured {
    pub(super) totals: Arc<Totals>,
    pub(super) micros: Arc<Mutex<Histogram<u64>>>,
}

/// Clients that call.
pub(super) struct Load {
    thread: thread::JoinHandle<()>,
    stop: Arc<AtomicBool>,
    measured: Measured,
}

impl Load {
    pub(super) fn start(fleet: &Fleet<'_>) -> Result<Self, PlayError> {
        let micros = Histogram::new_with_bounds(1, MICROS_MOST, MICROS_DIGITS)
            .map_err(|error| io_at("a histogram")(io::Error::other(error.to_string())))?;
        let measured = Measured { totals: Arc::default(), micros: Arc::new(Mutex::new(micros)) };
        let stop = Arc::new(AtomicBool::new(false));
        let clients = Clients {
            service: fleet.service.clone(),
            load: fleet.day.load.clone(),
            front: fleet.front.clone(),
            record: fleet.record.clone(),
            drivers: Drivers::start("clients", 1).map_err(io_at("driver threads"))?,
            workers: Workers::new("clients", CLIENTS_MOST, whinhill_transport::CALL_STACK),
            seed: fleet.day.seed ^ CLIENTS_SEED,
            rate: fleet.rate.0.clone(),
            stop: stop.clone(),
            totals: measured.totals.clone(),
            micros: measured.micros.clone(),
        };
        let thread = thread::Builder::new().name("load".into()).spawn(move || clients.run());
        Ok(Load { thread: thread.map_err(io_at("the load"))?, stop, measured })
    }

    /// Ends it and waits for the RPCs that are out.
    pub(super) fn stop(self) -> Measured {
        self.stop.store(true, Ordering::Relaxed);
        if self.thread.join().is_err() {
            warn!("the load's thread panicked");
        }
        self.measured
    }
}
