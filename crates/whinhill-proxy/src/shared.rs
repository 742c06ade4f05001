//! State that a proxy's threads share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::thread::{self, Thread, ThreadId};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use whinhill_xds::mapping::Service;

use crate::in_flight::ReadsInFlight;
use crate::pick::{Pick, TriesInFlight};
use crate::report::LoadStats;
use crate::table::RoutingTable;

/// Counters since the proxy started.
#[derive(Debug, Default)]
pub struct ProxyCounters {
    /// xDS replies that were applied.
    pub applied: AtomicU64,
    /// xDS replies that were rejected.
    pub rejected: AtomicU64,
    /// Table streams that were lost.
    pub reconnects: AtomicU64,
    /// RPCs that a server answered with the status ok.
    pub forwarded: AtomicU64,
    /// RPCs that the proxy pushed back.
    pub refused: AtomicU64,
    /// RPCs that failed here or with a server's status.
    pub aborted: AtomicU64,
    /// Reads in flight that a level of 0 stopped.
    pub stopped: AtomicU64,
    /// The longest time for which a table change kept RPCs from reading the table, in microseconds.
    pub max_pause_us: AtomicU64,
}

/// State shared by the threads of one proxy.
pub struct Shared {
    pub service: Arc<Service>,
    /// Zero of the proxy's clock.
    pub start: Instant,
    pub table: RwLock<RoutingTable>,
    /// Number of table changes so far; RPCs that wait for a usable table wait for the next change.
    change_count: Mutex<u64>,
    /// Threads that wait for the next change of a table.
    change_waiters: Mutex<HashMap<ThreadId, Thread>>,
    pub load_stats: Mutex<LoadStats>,
    /// Number of tries in flight, by server.
    pub tries_in_flight: TriesInFlight,
    pub reads_in_flight: ReadsInFlight,
    pub counts: ProxyCounters,
    pub stop: AtomicBool,
    rng: Mutex<ChaCha8Rng>,
}

/// Locks a mutex, even a poisoned one: it means that a thread panicked between two plain writes, and the guarded data
/// is still consistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// The state of a proxy with `sources` assigners; `seed` seeds its random numbers.
    pub fn new(service: Arc<Service>, sources: usize, seed: u64, pick: Pick) -> Self {
        Shared {
            table: RwLock::new(RoutingTable::new(service.clone(), sources, pick)),
            tries_in_flight: TriesInFlight::default(),
            reads_in_flight: ReadsInFlight::default(),
            load_stats: Mutex::new(LoadStats::new(sources)),
            service,
            start: Instant::now(),
            change_count: Mutex::new(0),
            change_waiters: Mutex::default(),
            counts: ProxyCounters::default(),
            stop: AtomicBool::new(false),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    /// The proxy's own clock: the time since its start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Reads the table.
    pub fn read_table<T>(&self, read: impl FnOnce(&RoutingTable) -> T) -> T {
        read(&self.table.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes the table in one step and wakes all threads that wait for a change.
    pub fn change_table<T>(&self, change: impl FnOnce(&mut RoutingTable) -> T) -> T {
        let result = {
            let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
            let started = Instant::now();
            let result = change(&mut table);
            self.counts.max_pause_us.fetch_max(started.elapsed().as_micros() as u64, Ordering::Relaxed);
            result
        };
        *lock(&self.change_count) += 1;
        lock(&self.change_waiters).values().for_each(Thread::unpark);
        result
    }

    /// Number of table changes so far.
    pub fn change_count(&self) -> u64 {
        *lock(&self.change_count)
    }

    /// Has this thread unparked by each change of a table until the returned value is dropped.
    pub fn unpark_on_change(&self) -> ChangeWaiter<'_> {
        let thread = thread::current();
        lock(&self.change_waiters).insert(thread.id(), thread);
        ChangeWaiter { shared: self }
    }

    /// A random number, uniform from 0 to 1.
    pub fn random(&self) -> f64 {
        lock(&self.rng).random_range(0.0..1.0)
    }

    /// Whether the proxy is stopping.
    pub fn stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Sleeps for `duration` and returns true; returns false early if the proxy is stopping.
    pub fn sleep(&self, duration: Duration) -> bool {
        let until = Instant::now() + duration;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if self.stopping() {
                return false;
            }
            if left.is_zero() {
                return true;
            }
            // `stop` is checked at least every 50 ms, whether or not the thread is unparked.
            std::thread::park_timeout(left.min(Duration::from_millis(50)));
        }
    }
}

/// A thread that is unparked by each change of a table.
pub struct ChangeWaiter<'a> {
    shared: &'a Shared,
}

impl Drop for ChangeWaiter<'_> {
    fn drop(&mut self) {
        lock(&self.shared.change_waiters).remove(&thread::current().id());
    }
}
