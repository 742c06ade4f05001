//! The figures of a running assigner.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// One line of figures; counts are since the start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Status {
    pub name: String,
    pub uptime_ms: u64,
    pub slices: u64,
    pub proxies: u64,
    pub handovers: u64,
    pub nacks: u64,
    pub streams: u64,
    pub stale_acks: u64,
    pub lines_sent: u64,
    pub backlog: u64,
    pub backlog_most: u64,
    pub grants_waiting: u64,
    pub reports_waiting: u64,
    pub batches: u64,
    pub batch_us_most: u64,
    pub batch_us_sum: u64,
    pub bytes_sent: u64,
    pub store_failures: u64,
}

/// Counters that several threads raise.
#[derive(Debug, Default)]
pub struct Counters {
    pub nacks: AtomicU64,
    pub streams: AtomicU64,
    pub stale: AtomicU64,
    pub bytes: AtomicU64,
    pub store_failures: AtomicU64,
    pub slices: AtomicU64,
}

impl Counters {
    pub fn add(counter: &AtomicU64, count: u64) {
        counter.fetch_add(count, Ordering::Relaxed);
    }

    pub fn get(counter: &AtomicU64) -> u64 {
        counter.load(Ordering::Relaxed)
    }
}
