//! A line of figures now and then: what happened since the start, and what stands.

use tracing::info;

use crate::deadlines::Due;
use crate::limits::STATUS_EVERY;
use crate::node::Node;

/// What is counted rather than logged.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub batches: u64,
    pub accepted: u64,
    pub accepts_failed: u64,
    pub turned_away: u64,
    pub refused: u64,
    pub reports: u64,
    pub spoilt: u64,
    pub connects_failed: u64,
    pub calls: u64,
    pub calls_not_sent: u64,
    pub throttled: u64,
    pub news_lost: u64,
    pub differing: u64,
    pub watches: u64,
    pub discovery_failed: u64,
    pub probes: u64,
    pub probes_left: u64,
    pub probes_unanswered: u64,
    pub probes_again: u64,
    pub let_go: u64,
}

impl Node {
    pub fn report(&mut self) {
        self.let_go();
        let c = &self.counts;
        info!(
            proxies = self.news.proxies(),
            slices = self.news.slices(),
            servers = self.names.servers().count(),
            connections = self.connections.len(),
            strangers = self.strangers,
            waiting = self.calls.waiting(),
            unknown = self.calls.unknown,
            dropped = self.calls.dropped,
            memory_kb = resident_kb(),
            counts = ?c,
            "status"
        );
        self.deadlines.set(Due::Status, self.clock.now() + STATUS_EVERY);
    }
}

/// Resident memory, where the system tells it.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
