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
    /// Proxies found to hold other tables than they had acknowledged.
    pub differing: u64,
    pub lines_sent: u64,
    pub backlog: u64,
    pub backlog_most: u64,
    /// Lines of full sets, and how often one waited for its pace.
    pub full_lines_sent: u64,
    pub full_sets_waited: u64,
    /// Versions so far, and what the kept ones take.
    pub versions: u64,
    pub history_kb: u64,
    pub grants_waiting: u64,
    /// Tries told by load reports: in all, given to the decisions, waiting, and of the kinds that move nothing.
    pub reports_offered: u64,
    pub reports_given: u64,
    pub reports_waiting: u64,
    pub reports_late: u64,
    pub reports_doubted: u64,
    /// The part of the expected load that was heard, in percent, and the longest lag of a proxy that is heard.
    pub reports_heard_percent: f64,
    pub reports_lag_ms_most: u64,
    /// Proxies whose report stream stands and says nothing, and those whose is gone.
    pub proxies_silent: u64,
    pub proxies_cut: u64,
    pub batches: u64,
    pub batch_us_most: u64,
    pub batch_us_sum: u64,
    pub bytes_sent: u64,
    pub store_failures: u64,
    /// Attempts to keep the history that the disk refused, and status lines that it did not take.
    pub history_failures: u64,
    pub status_lost: u64,
    /// Owners told before the history had them.
    pub told_unkept: u64,
    /// From an order to its answer by one proxy, and by the last of those that had joined.
    pub answer_us_p50: u64,
    pub answer_us_p99: u64,
    pub all_us_p50: u64,
    pub all_us_p99: u64,
    /// Processor time and resident memory of the process.
    pub cpu_ms: u64,
    pub rss_kb: u64,
}

/// Processor time in milliseconds and resident memory in KiB, as Linux tells them; 0 where it does not.
pub fn process_figures() -> (u64, u64) {
    process_figures_of("self")
}

/// The same of another process, by its id.
pub fn process_figures_of(process: &str) -> (u64, u64) {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The fields after the name in brackets: 14 and 15 of all are the user's and the system's ticks, of 10 ms.
    let fields: Vec<u64> = stat
        .rsplit_once(')')
        .map(|(_, rest)| rest.split_whitespace().map(|field| field.parse().unwrap_or(0)).collect())
        .unwrap_or_default();
    let ticks = fields.get(11).copied().unwrap_or(0) + fields.get(12).copied().unwrap_or(0);
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let rss =
        status.lines().find_map(|line| line.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok());
    (ticks * 10, rss.unwrap_or(0))
}

/// Counters that several threads raise.
#[derive(Debug, Default)]
pub struct Counters {
    pub nacks: AtomicU64,
    pub streams: AtomicU64,
    pub stale: AtomicU64,
    pub differing: AtomicU64,
    pub bytes: AtomicU64,
    pub store_failures: AtomicU64,
    pub history_failures: AtomicU64,
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
