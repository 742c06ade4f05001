//! A line of figures now and then: what happened since the start, and what stands.

use std::sync::atomic::Ordering;

use tracing::{debug, enabled, info, Level};
use whinhill::interface::Health;

use crate::deadlines::Due;
use crate::limits::{BELIEFS_EVERY, STATUS_EVERY};
use crate::node::Node;

/// What is counted rather than logged.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub batches: u64,
    pub accepted: u64,
    pub accepts_failed: u64,
    pub accepts_interrupted: u64,
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
    pub anew: u64,
    pub watches: u64,
    pub discovery_failed: u64,
    pub probes: u64,
    pub probes_left: u64,
    pub probes_unanswered: u64,
    pub probes_again: u64,
    pub let_go: u64,
    pub clock_steps: u64,
}

impl Node {
    pub fn report(&mut self) {
        self.let_go();
        self.report_beliefs();
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
            log_dropped = self.log_dropped.load(Ordering::Relaxed),
            counts = ?c,
            "status"
        );
        self.deadlines.set(Due::Status, self.clock.now() + STATUS_EVERY);
    }
}

/// The log target of what the module believes: `--log-level whinhill::beliefs=debug`. Beside it stand the reports,
/// probes and answers of `whinhill::trace`, and a bench's own account of the same second.
const BELIEFS: &str = "whinhill::beliefs";

impl Node {
    /// Health and load by server, lines in the channel, owners by slice; nothing where nobody reads it.
    pub fn report_beliefs(&mut self) {
        if !enabled!(target: BELIEFS, Level::DEBUG) {
            return;
        }
        let loads = self.assigner.loads();
        for server in self.names.servers().filter(|s| self.assigner.health(*s) != Health::Gone) {
            let health = self.assigner.health(server);
            let load = loads.get(server).copied().unwrap_or_default();
            let slices = (0..self.names.slices()).filter(|s| self.assigner.owner(*s) == Some(server));
            let (moving, own): (Vec<_>, Vec<_>) = slices.partition(|s| self.assigner.moving(*s));
            let name = self.names.server(server).unwrap_or("-");
            debug!(target: BELIEFS, "server {server} {name} {health:?} load {load:.2} owns {own:?} moving {moving:?}");
        }
        debug!(target: BELIEFS, "channel {:.0} lines, {} orders in line", self.assigner.channel_lines(), self.calls.waiting());
        self.deadlines.set(Due::Beliefs, self.clock.now() + BELIEFS_EVERY);
    }
}

/// Resident memory, where the system tells it.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
