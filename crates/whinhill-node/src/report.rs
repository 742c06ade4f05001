//! A line of figures now and then: what happened since the start, and what stands.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tracing::{debug, enabled, info, Level};
use whinhill::interface::Health;

use crate::deadlines::Due;
use crate::limits::{BELIEFS_EVERY, STATUS_EVERY};
use crate::node::Node;

/// What is counted rather than logged, since the start.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub batches: u64,
    pub reports: u64,
    pub spoilt: u64,
    /// Servers that were off the list for long and are forgotten.
    pub let_go: u64,
    pub clock_steps: u64,

    // Whoever connects.
    pub accepted: u64,
    /// Requests for a sign of life.
    pub answered: u64,
    pub refused_unreadable: u64,
    pub refused_silent: u64,
    pub refused_crowded_out: u64,
    pub turned_away: u64,
    /// Closed for leaving more of their answers unread than the platform allows.
    pub closed_unread: u64,
    /// Closed before an answer that was owed had left: no such close is meant to happen.
    pub closed_unanswered: u64,

    // Calls of the system that failed.
    pub accepts_failed: u64,
    pub accepts_interrupted: u64,
    /// Turns in which the listen queue seemed empty and was not.
    pub accepts_missed: u64,
    pub connects_failed: u64,
    pub registers_failed: u64,
    pub transfers_failed: u64,
    pub polls_failed: u64,
    pub polls_interrupted: u64,

    // The relay.
    pub calls: u64,
    pub calls_not_sent: u64,
    pub throttled: u64,
    pub news_lost: u64,
    pub differing: u64,
    pub anew: u64,

    // Discovery and servers.
    pub watches: u64,
    pub discovery_failed: u64,
    pub probes: u64,
    pub probes_left: u64,
    pub probes_unanswered: u64,
    pub probes_again: u64,
}

impl Node {
    /// Logs the state and the counts, in lines short enough for a log that cuts long ones.
    pub fn report(&mut self) {
        self.let_go();
        self.report_beliefs();
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
            longest_pause_ms = self.longest_pause.as_millis() as u64,
            log_dropped = self.log_dropped.load(Ordering::Relaxed),
            "status"
        );
        self.longest_pause = Duration::ZERO;
        self.counts.log();
        self.deadlines.set(Due::Status, self.clock.now() + STATUS_EVERY);
    }
}

impl Counts {
    fn log(&self) {
        info!(
            accepted = self.accepted,
            answered = self.answered,
            refused_unreadable = self.refused_unreadable,
            refused_silent = self.refused_silent,
            refused_crowded_out = self.refused_crowded_out,
            turned_away = self.turned_away,
            closed_unread = self.closed_unread,
            closed_unanswered = self.closed_unanswered,
            reports = self.reports,
            spoilt = self.spoilt,
            "clients"
        );
        info!(
            accept = self.accepts_failed,
            accept_interrupted = self.accepts_interrupted,
            accept_missed = self.accepts_missed,
            connect = self.connects_failed,
            register = self.registers_failed,
            transfer = self.transfers_failed,
            poll = self.polls_failed,
            poll_interrupted = self.polls_interrupted,
            clock_steps = self.clock_steps,
            "failed calls of the system"
        );
        info!(
            batches = self.batches,
            calls = self.calls,
            not_sent = self.calls_not_sent,
            throttled = self.throttled,
            news_lost = self.news_lost,
            differing = self.differing,
            anew = self.anew,
            "relay"
        );
        info!(
            watches = self.watches,
            failed = self.discovery_failed,
            probes = self.probes,
            left = self.probes_left,
            unanswered = self.probes_unanswered,
            again = self.probes_again,
            let_go = self.let_go,
            "discovery and probes"
        );
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
