//! Periodic log lines: counters since the start, and the current state.

use std::sync::atomic::Ordering;
use std::time::Duration;

use hdrhistogram::Histogram;
use tracing::{debug, enabled, info, Level};
use whinhill::interface::Health;

use crate::deadlines::DeadlineKind;
use crate::limits::{BELIEFS_INTERVAL, STATUS_INTERVAL};
use crate::node::Node;

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    /// Batches of events handed to the module.
    pub batches: u64,
    /// Valid reports received.
    pub reports: u64,
    /// Reports dropped because they were invalid.
    pub reports_dropped: u64,
    /// Servers that were forgotten after being unlisted for long.
    pub servers_forgotten: u64,
    /// Entries of lists that were left out since too many servers are known.
    pub servers_left_out: u64,
    /// Steps of the wall clock.
    pub clock_steps: u64,

    // Clients.
    /// Clients accepted.
    pub accepted: u64,
    /// Requests for a sign of life that were read.
    pub requests: u64,
    /// Requests whose answers were written.
    pub requests_answered: u64,
    /// Requests that were read and whose connections this process closed without an answer; none is expected.
    pub requests_unanswered: u64,
    /// Requests whose clients broke the connection before their answers were written.
    pub requests_abandoned: u64,
    /// Clients that sent more after their last answers.
    pub sent_after_last_answer: u64,
    /// How long answers have taken since the last status line, from reading a request to the end of the write.
    pub answer_times: AnswerTimes,
    /// Clients refused for [`crate::clients::RefusalReason::Unreadable`].
    pub refused_unreadable: u64,
    /// Clients refused for [`crate::clients::RefusalReason::Silent`].
    pub refused_silent: u64,
    /// Clients refused for [`crate::clients::RefusalReason::CrowdedOut`].
    pub refused_crowded_out: u64,
    /// Clients turned away because collectors occupied all slots.
    pub clients_rejected: u64,
    /// Closed for leaving more of their answers unread than the platform allows.
    pub closed_unread: u64,
    /// Closed before a pending answer was written; none is expected.
    pub closed_unanswered: u64,

    // Failed system calls.
    /// Calls of `accept` that failed.
    pub accept_failures: u64,
    /// Accepts that were interrupted or whose client had gone.
    pub accepts_interrupted: u64,
    /// Turns in which the listen queue seemed empty and was not.
    pub accepts_missed: u64,
    /// Connects that failed immediately.
    pub connect_failures: u64,
    /// Connects that were refused or ended before they were established.
    pub connects_refused: u64,
    /// Registrations with the poll that failed.
    pub register_failures: u64,
    /// Reads and writes on established connections that failed.
    pub transfer_failures: u64,
    /// Reads and writes that failed for want of memory or buffers, and were retried.
    pub transfer_shortages: u64,
    /// Times that the poll reported data and the read found none, although nothing had been read before the event.
    pub reads_missed: u64,
    /// Failures of the poll.
    pub poll_failures: u64,
    /// Polls interrupted by signals.
    pub polls_interrupted: u64,

    // The relay.
    /// Calls to the relay that were started.
    pub calls: u64,
    /// Calls that did not reach the relay.
    pub calls_not_sent: u64,
    /// Calls that the relay answered with `throttled`.
    pub calls_throttled: u64,
    /// Losses of the current relay watch.
    pub relay_watches_lost: u64,
    /// Snapshots at a new address that were older than a change of custody.
    pub snapshots_outdated: u64,
    /// Slices for which the store held another line than expected after a break of the relay watch.
    pub lines_differing: u64,
    /// Slices reacquired after a break with the expected line.
    pub slices_reacquired: u64,
    /// Slices reacquired because an order of theirs was not carried out.
    pub slices_out_of_step: u64,
    /// Second lines of slices that were not removed, since too many orders were queued.
    pub extra_lines_ignored: u64,

    // Discovery and servers.
    /// Lists taken from discovery.
    pub lists: u64,
    /// Discovery watches that were opened.
    pub discovery_watches: u64,
    /// Requests to discovery that failed.
    pub discovery_failures: u64,
    /// Probes that were started.
    pub probes: u64,
    /// Probes that were not queued because the server's former one was not finished.
    pub probes_skipped: u64,
    /// Probes without a readable answer.
    pub probes_unanswered: u64,
    /// Probes that were repeated after a reset connection.
    pub probes_retried: u64,
}

/// Durations of answers, in microseconds.
#[derive(Debug)]
pub(crate) struct AnswerTimes(Histogram<u64>);

impl Default for AnswerTimes {
    fn default() -> Self {
        // Two significant digits for any value that the type holds.
        AnswerTimes(Histogram::new(2).expect("a histogram may have two significant digits"))
    }
}

impl Counters {
    /// Records an answer that was written this long after its request was read.
    pub fn record_answer(&mut self, after: Duration) {
        self.requests_answered += 1;
        self.answer_times.0.saturating_record(after.as_micros() as u64);
    }
}

impl Node {
    /// Logs the state and the counters, in lines short enough for a log that truncates long ones. Also forgets
    /// servers that have been unlisted for long, and sets the deadline of the next call.
    pub fn log_status(&mut self) {
        self.forget_unlisted_servers();
        self.log_beliefs();
        info!(
            proxies = self.relay_watch.proxy_count(),
            slices = self.relay_watch.slice_count(),
            servers = self.names.server_indices().count(),
            connections = self.connections.len(),
            strangers = self.unjoined_count,
            waiting = self.relay_calls.queued_orders(),
            unknown = self.relay_calls.unknown_outcomes,
            dropped = self.relay_calls.dropped_orders,
            memory_kb = resident_kb(),
            longest_pause_ms = self.longest_pause.as_millis() as u64,
            log_dropped = self.log_dropped.load(Ordering::Relaxed),
            "status"
        );
        self.longest_pause = Duration::ZERO;
        self.log_handovers();
        self.log_answers();
        self.counters.log();
        self.deadlines.set(DeadlineKind::LogStatus, self.clock.now() + STATUS_INTERVAL);
    }

    /// Logs slices whose owners change, and whom they wait for.
    fn log_handovers(&self) {
        let handovers = self.assigner.handover_summary();
        info!(
            under_way = handovers.in_progress,
            all_stopped = handovers.all_stopped,
            all_stopped_ms = handovers.longest_all_stopped.as_millis() as u64,
            without_line = handovers.without_line,
            without_line_ms = handovers.longest_without_line.as_millis() as u64,
            awaited = ?handovers.awaited_proxies,
            granted = handovers.totals.grants,
            longest_ms = handovers.totals.longest_duration.as_millis() as u64,
            longest_series = handovers.totals.longest_series,
            most_all_stopped_ms = handovers.totals.most_time_all_stopped.as_millis() as u64,
            most_without_line_ms = handovers.totals.most_time_without_line.as_millis() as u64,
            "handovers"
        );
    }

    /// Logs numbers of requests and answers, and how long answers have taken since the last such line.
    fn log_answers(&mut self) {
        let oldest =
            self.connections.iter().filter_map(|(_, c)| c.pending_answers.oldest_received_at()).min();
        let oldest = oldest.map_or(Duration::ZERO, |at| self.clock.now().saturating_sub(at));
        let pending: usize = self.connections.iter().map(|(_, c)| c.pending_answers.count()).sum();
        let times = &mut self.counters.answer_times.0;
        info!(
            requests = self.counters.requests,
            answered = self.counters.requests_answered,
            owed = pending,
            oldest_ms = oldest.as_millis() as u64,
            unanswered = self.counters.requests_unanswered,
            abandoned = self.counters.requests_abandoned,
            sent_after_end = self.counters.sent_after_last_answer,
            p50_us = times.value_at_quantile(0.5),
            p99_us = times.value_at_quantile(0.99),
            most_us = times.max(),
            failures_not_logged = self.failure_log.begin_period(),
            "answers"
        );
        times.reset();
    }
}

impl Counters {
    /// Logs the counters.
    pub fn log(&self) {
        info!(
            accepted = self.accepted,
            answered = self.requests_answered,
            refused_unreadable = self.refused_unreadable,
            refused_silent = self.refused_silent,
            refused_crowded_out = self.refused_crowded_out,
            turned_away = self.clients_rejected,
            closed_unread = self.closed_unread,
            closed_unanswered = self.closed_unanswered,
            reports = self.reports,
            spoilt = self.reports_dropped,
            "clients"
        );
        info!(
            accept = self.accept_failures,
            accept_interrupted = self.accepts_interrupted,
            accept_missed = self.accepts_missed,
            connect = self.connect_failures,
            connect_refused = self.connects_refused,
            register = self.register_failures,
            transfer = self.transfer_failures,
            transfer_short = self.transfer_shortages,
            read_missed = self.reads_missed,
            poll = self.poll_failures,
            poll_interrupted = self.polls_interrupted,
            clock_steps = self.clock_steps,
            "failed system calls"
        );
        info!(
            batches = self.batches,
            calls = self.calls,
            not_sent = self.calls_not_sent,
            throttled = self.calls_throttled,
            news_lost = self.relay_watches_lost,
            outdated = self.snapshots_outdated,
            differing = self.lines_differing,
            anew = self.slices_reacquired,
            out_of_step = self.slices_out_of_step,
            extra_ignored = self.extra_lines_ignored,
            "relay"
        );
        info!(
            lists = self.lists,
            watches = self.discovery_watches,
            failed = self.discovery_failures,
            probes = self.probes,
            left = self.probes_skipped,
            unanswered = self.probes_unanswered,
            again = self.probes_retried,
            let_go = self.servers_forgotten,
            left_out = self.servers_left_out,
            "discovery and probes"
        );
    }
}

/// The log target of the module's view of servers and slices: `--log-level whinhill::beliefs=debug`. It can be
/// compared with the reports, probes and acknowledgements of `whinhill::trace`, and with a bench's own record of
/// the same second.
const BELIEFS: &str = "whinhill::beliefs";

impl Node {
    /// Logs health and load by server, lines in the channel, and owners by slice; does nothing unless the target is
    /// enabled.
    pub fn log_beliefs(&mut self) {
        if !enabled!(target: BELIEFS, Level::DEBUG) {
            return;
        }
        let loads = self.assigner.estimated_loads();
        for server in self.names.server_indices().filter(|s| self.assigner.health(*s) != Health::Gone) {
            let health = self.assigner.health(server);
            let load = loads.get(server).copied().unwrap_or_default();
            let slices = (0..self.names.slice_count()).filter(|s| self.assigner.owner(*s) == Some(server));
            let (moving, own): (Vec<_>, Vec<_>) = slices.partition(|s| self.assigner.has_handover(*s));
            let name = self.names.server_name(server).unwrap_or("-");
            debug!(target: BELIEFS, "server {server} {name} {health:?} load {load:.2} owns {own:?} moving {moving:?}");
        }
        debug!(target: BELIEFS, "channel {:.0} lines, {} queued orders", self.assigner.queued_lines(), self.relay_calls.queued_orders());
        self.deadlines.set(DeadlineKind::LogBeliefs, self.clock.now() + BELIEFS_INTERVAL);
    }
}

/// Resident memory; 0 where the system does not report it.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
