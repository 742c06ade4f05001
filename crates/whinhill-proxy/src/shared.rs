//! What a proxy's threads hold in common.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use whinhill_xds::mapping::Service;

use crate::in_hand::InHand;
use crate::pick::{Out, Pick};
use crate::report::Met;
use crate::table::Table;

/// Counters since the start.
#[derive(Debug, Default)]
pub struct Counts {
    pub applied: AtomicU64,
    pub rejected: AtomicU64,
    pub reconnects: AtomicU64,
    pub forwarded: AtomicU64,
    pub refused: AtomicU64,
    pub aborted: AtomicU64,
    /// Reads in hand that a level of 0 stopped.
    pub stopped: AtomicU64,
    /// The longest time for which a change of the table kept RPCs from looking at it.
    pub pause_us_most: AtomicU64,
}

pub struct Shared {
    pub service: Arc<Service>,
    pub start: Instant,
    pub table: RwLock<Table>,
    /// Counts changes of the table; RPCs that are held wait for the next.
    changes: Mutex<u64>,
    changed: Condvar,
    pub met: Mutex<Met>,
    /// Tries that are out, by server.
    pub out: Out,
    pub in_hand: InHand,
    pub counts: Counts,
    pub stop: AtomicBool,
    chance: Mutex<ChaCha8Rng>,
}

/// A poisoned lock means that a thread panicked between two plain writes; what it guards is still whole.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    pub fn new(service: Arc<Service>, sources: usize, seed: u64, pick: Pick) -> Self {
        Shared {
            table: RwLock::new(Table::new(service.clone(), sources, pick)),
            out: Out::default(),
            in_hand: InHand::default(),
            met: Mutex::new(Met::new(sources)),
            service,
            start: Instant::now(),
            changes: Mutex::new(0),
            changed: Condvar::new(),
            counts: Counts::default(),
            stop: AtomicBool::new(false),
            chance: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    /// The proxy's own clock: a span since its start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn read<T>(&self, look: impl FnOnce(&Table) -> T) -> T {
        look(&self.table.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes the table in one step, and wakes what waits for a change.
    pub fn change<T>(&self, act: impl FnOnce(&mut Table) -> T) -> T {
        let result = {
            let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
            let began = Instant::now();
            let result = act(&mut table);
            self.counts.pause_us_most.fetch_max(began.elapsed().as_micros() as u64, Ordering::Relaxed);
            result
        };
        *lock(&self.changes) += 1;
        self.changed.notify_all();
        result
    }

    pub fn changes(&self) -> u64 {
        *lock(&self.changes)
    }

    /// Waits for a change after the one counted `seen`, until a time.
    pub fn await_change(&self, seen: u64, until: Instant) {
        let mut changes = lock(&self.changes);
        while *changes == seen {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let waited = self.changed.wait_timeout(changes, left);
            changes = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    pub fn draw(&self) -> f64 {
        lock(&self.chance).random_range(0.0..1.0)
    }

    pub fn stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Sleeps unless a stop comes first. False if it has come.
    pub fn pause(&self, span: Duration) -> bool {
        let until = Instant::now() + span;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if self.stopping() {
                return false;
            }
            if left.is_zero() {
                return true;
            }
            std::thread::park_timeout(left.min(Duration::from_millis(50)));
        }
    }
}
