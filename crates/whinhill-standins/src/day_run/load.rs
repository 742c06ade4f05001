//! The load of a day: clients that send RPCs through the proxies until they are stopped.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use hdrhistogram::Histogram;
use tracing::warn;
use whinhill_transport::{Drivers, Workers};

use super::error::io_at;
use super::{DayRunError, Fleet};
use crate::clients::{Counters, LoadGenerator};

/// The highest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant digits of the latency histogram.
const LATENCY_DIGITS: u8 = 3;
/// Most RPCs that clients have in flight at a time.
const MAX_CONCURRENT_RPCS: usize = 4000;
/// The day's own rate; rates are stored in thousandths of it.
const BASE_RATE: u64 = 1000;
/// Makes the clients' random numbers differ from the fleet's: combined with the day's seed by XOR.
const CLIENT_SEED_MASK: u64 = 0x9e37_79b9;

/// The current rate of the clients as a factor of the day's rate.
#[derive(Clone)]
pub(super) struct RateFactor(Arc<AtomicU64>);

impl Default for RateFactor {
    fn default() -> Self {
        RateFactor(Arc::new(AtomicU64::new(BASE_RATE)))
    }
}

impl RateFactor {
    pub(super) fn set_factor(&self, factor: f64) {
        self.0.store((factor * BASE_RATE as f64) as u64, Ordering::Relaxed);
    }
}

/// What clients counted, and the latencies of their successful RPCs in microseconds.
pub(super) struct LoadResult {
    pub(super) counters: Arc<Counters>,
    pub(super) latencies_us: Arc<Mutex<Histogram<u64>>>,
}

/// The load generator, running in a thread of its own.
pub(super) struct RunningLoad {
    thread: thread::JoinHandle<()>,
    stop: Arc<AtomicBool>,
    result: LoadResult,
}

impl RunningLoad {
    pub(super) fn start(fleet: &Fleet<'_>) -> Result<Self, DayRunError> {
        let latencies_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)
            .map_err(|error| io_at("a histogram")(io::Error::other(error.to_string())))?;
        let result =
            LoadResult { counters: Arc::default(), latencies_us: Arc::new(Mutex::new(latencies_us)) };
        let stop = Arc::new(AtomicBool::new(false));
        let generator = LoadGenerator {
            service: fleet.service.clone(),
            load: fleet.day.load.clone(),
            proxies: fleet.proxy_addrs.clone(),
            recorder: fleet.recorder.clone(),
            drivers: Drivers::start("clients", 1).map_err(io_at("driver threads"))?,
            workers: Workers::new("clients", MAX_CONCURRENT_RPCS, whinhill_transport::CALL_STACK),
            seed: fleet.day.seed ^ CLIENT_SEED_MASK,
            rate: fleet.rate.0.clone(),
            stop: stop.clone(),
            counters: result.counters.clone(),
            latencies_us: result.latencies_us.clone(),
        };
        let thread = thread::Builder::new().name("load".into()).spawn(move || generator.run());
        Ok(RunningLoad { thread: thread.map_err(io_at("the load"))?, stop, result })
    }

    /// Stops the load and waits for the RPCs in flight.
    pub(super) fn stop(self) -> LoadResult {
        self.stop.store(true, Ordering::Relaxed);
        if self.thread.join().is_err() {
            warn!("the load's thread panicked");
        }
        self.result
    }
}
