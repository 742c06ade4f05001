//! A line of figures now and then: what happened since the start, and what stands.

use std::sync::atomic::Ordering;
use std::time::Duration;

use hdrhistogram::Histogram;
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
    /// Requests for a sign of life that were read, and those whose answers have left.
    pub requests: u64,
    pub answered: u64,
    /// Requests that were read and whose connections we ended without an answer: none is meant to.
    pub unanswered: u64,
    /// Requests whose clients broke the connection before their answers had left.
    pub abandoned: u64,
    /// Clients that sent on after their last answers.
    pub sent_after_end: u64,
    /// How long answers have taken since the last status, from the read of a request to the end of the write.
    pub answer_times: AnswerTimes,
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
    /// Connects that failed at once, and those that were refused or ended before they came up.
    pub connects_failed: u64,
    pub connects_refused: u64,
    pub registers_failed: u64,
    pub transfers_failed: u64,
    /// Transfers that failed for want of memory or buffers, and were made again.
    pub transfers_short: u64,
    /// Times that the poll told of something to read and the read found nothing.
    pub reads_missed: u64,
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
    pub lists: u64,
    pub watches: u64,
    pub discovery_failed: u64,
    pub probes: u64,
    pub probes_left: u64,
    pub probes_unanswered: u64,
    pub probes_again: u64,
}

/// How long answers took, in microseconds.
#[derive(Debug)]
pub(crate) struct AnswerTimes(Histogram<u64>);

impl Default for AnswerTimes {
    fn default() -> Self {
        // Two digits of any time up to the largest that the type holds.
        AnswerTimes(Histogram::new(2).expect("two digits are among those that a histogram may have"))
    }
}

impl Counts {
    /// An answer has left that long after its request was read.
    pub fn answer_left(&mut self, after: Duration) {
        self.answered += 1;
        self.answer_times.0.saturating_record(after.as_micros() as u64);
    }
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
        self.report_handovers();
        self.report_answers();
        self.counts.log();
        self.deadlines.set(Due::Status, self.clock.now() + STATUS_EVERY);
    }

    /// Slices whose owners change, and for whom they wait.
    fn report_handovers(&self) {
        let handovers = self.assigner.handovers();
        info!(
            under_way = handovers.under_way,
            without_line = handovers.without_line,
            without_line_ms = handovers.without_line_for.as_millis() as u64,
            awaited = ?handovers.awaited,
            granted = handovers.granted,
            longest_ms = handovers.longest.as_millis() as u64,
            "handovers"
        );
    }

    /// Requests against answers, and how long answers took since the last such line.
    fn report_answers(&mut self) {
        let oldest = self.connections.iter().filter_map(|(_, c)| c.answers.oldest()).min();
        let oldest = oldest.map_or(Duration::ZERO, |at| self.clock.now().saturating_sub(at));
        let owed: usize = self.connections.iter().map(|(_, c)| c.answers.owed()).sum();
        let times = &mut self.counts.answer_times.0;
        info!(
            requests = self.counts.requests,
            answered = self.counts.answered,
            owed,
            oldest_ms = oldest.as_millis() as u64,
            unanswered = self.counts.unanswered,
            abandoned = self.counts.abandoned,
            sent_after_end = self.counts.sent_after_end,
            p50_us = times.value_at_quantile(0.5),
            p99_us = times.value_at_quantile(0.99),
            most_us = times.max(),
            failures_not_logged = self.failures.begin_period(),
            "answers"
        );
        times.reset();
    }
}

impl Counts {
    pub fn log(&self) {
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
            connect_refused = self.connects_refused,
            register = self.registers_failed,
            transfer = self.transfers_failed,
            transfer_short = self.transfers_short,
            read_missed = self.reads_missed,
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
            lists = self.lists,
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
