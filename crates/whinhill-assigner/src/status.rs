//! The figures of a running assigner.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// One line of the status file; counts are since the start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Status {
    pub name: String,
    pub uptime_ms: u64,
    pub slices: u64,
    pub proxies: u64,
    /// Grants ordered.
    pub handovers: u64,
    pub nacks: u64,
    /// Table streams opened.
    pub streams: u64,
    pub stale_acks: u64,
    /// How often a proxy was found to have other tables than it had acknowledged.
    pub differing: u64,
    pub lines_sent: u64,
    pub backlog: u64,
    pub backlog_most: u64,
    /// Lines of full sets sent, and how often sending one was delayed.
    pub full_lines_sent: u64,
    pub full_sets_waited: u64,
    /// The number of the newest version, and the size of the versions in the history.
    pub versions: u64,
    pub history_kb: u64,
    pub grants_waiting: u64,
    /// Tries in load reports: all, passed on to the module, queued, and the kinds that are not passed on.
    pub reports_offered: u64,
    pub reports_given: u64,
    pub reports_waiting: u64,
    pub reports_late: u64,
    pub reports_doubted: u64,
    /// The part of the expected load that was reported, in percent, and the longest lag of a proxy that reports.
    pub reports_heard_percent: f64,
    pub reports_lag_ms_most: u64,
    /// Proxies whose report stream is open without reports, and those whose stream is gone.
    pub proxies_silent: u64,
    pub proxies_cut: u64,
    /// Batches that the decision thread handled, and the longest and the total time of handling them, in microseconds.
    pub batches: u64,
    pub batch_us_most: u64,
    pub batch_us_sum: u64,
    pub bytes_sent: u64,
    pub store_failures: u64,
    /// Attempts to write the history that the disk refused, and status lines that were not written.
    pub history_failures: u64,
    pub status_lost: u64,
    /// Owners published before the history file had them.
    pub told_unkept: u64,
    /// Time from an order to its acknowledgement by one proxy, and by the last of those that had joined.
    pub answer_us_p50: u64,
    pub answer_us_p99: u64,
    pub all_us_p50: u64,
    pub all_us_p99: u64,
    /// Processor time and resident memory of the process.
    pub cpu_ms: u64,
    pub rss_kb: u64,
}

/// Processor time in milliseconds and resident memory in KiB of this process, from Linux's `/proc`; 0 elsewhere.
pub fn process_figures() -> (u64, u64) {
    process_cpu_and_memory("self")
}

/// Like [`process_figures`], for the process with this id.
pub fn process_cpu_and_memory(process: &str) -> (u64, u64) {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // Fields 14 and 15 are the user and system time in ticks of 10 ms. The command name in brackets may contain spaces,
    // so only the fields after it are split.
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

/// Counters that several threads update.
#[derive(Debug, Default)]
pub struct Counters {
    pub nacks: AtomicU64,
    pub streams: AtomicU64,
    /// Stale acknowledgements.
    pub stale: AtomicU64,
    pub differing: AtomicU64,
    pub bytes: AtomicU64,
    pub store_failures: AtomicU64,
    pub history_failures: AtomicU64,
    /// Slices that this assigner has custody of.
    pub slices: AtomicU64,
}

impl Counters {
    /// Adds to a counter.
    pub fn add(counter: &AtomicU64, count: u64) {
        counter.fetch_add(count, Ordering::Relaxed);
    }

    /// Reads a counter.
    pub fn get(counter: &AtomicU64) -> u64 {
        counter.load(Ordering::Relaxed)
    }
}
