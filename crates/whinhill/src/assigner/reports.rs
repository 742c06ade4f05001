//! Batches of reports: how late they come, and what they show of a server since it missed a probe.
//!
//! A server that answers RPCs but no probes differs from one that has died in the first report that covers the time
//! after the missed probe. Which report that is follows from how late reports come, and that shows when a server
//! without RPCs is granted slices.

use super::*;

/// What the reports that cover the time since a missed probe show of a server, in RPCs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Evidence {
    /// RPCs that would have been answered since then by a healthy server.
    pub expected: f64,
    /// RPCs that were answered.
    pub answered: f64,
}

impl Evidence {
    /// Whether the server answers RPCs.
    pub fn is_alive(&self) -> bool {
        self.answered >= ALIVE_RPCS && self.answered >= self.expected / 2.0
    }

    /// Whether the server does not answer RPCs.
    pub fn is_dead(&self) -> bool {
        self.expected >= DEAD_RPCS && self.answered < self.expected / 4.0
    }
}

impl Assigner {
    /// Records that a report has come; reports that come together are one batch.
    pub(super) fn record_report(&mut self, interval: Duration) {
        let last =
            self.report_batches.back_mut().filter(|last| self.now < last.began_at + self.half_life / 2);
        if let Some(last) = last {
            last.interval = last.interval.max(interval);
            return;
        }
        self.learn_report_lag();
        self.report_batches.push_back(ReportBatch { began_at: self.now, interval });
        if self.report_batches.len() > REMEMBERED_BATCHES {
            self.report_batches.pop_front();
        }
    }

    /// Learns how late reports come from servers that had no RPCs before a grant. The first batch with RPCs of such a
    /// server covers the time after the grant by as much of its interval as it has RPCs in comparison with the second.
    fn learn_report_lag(&mut self) {
        for server in &mut self.servers {
            let Some(granted_at) = server.granted_while_idle_at else { continue };
            let mut later = server.batch_answers.iter().filter(|batch| batch.batch_began_at > granted_at);
            let (Some(first), Some(second)) = (later.next(), later.next()) else { continue };
            server.granted_while_idle_at = None;
            let interval = second.batch_began_at.saturating_sub(first.batch_began_at).as_secs_f64();
            // An estimate needs enough tries in the second batch, and two batches that follow each other.
            if second.tries < MIN_TRIES || interval > 1.5 * self.half_life.as_secs_f64() {
                continue;
            }
            let covered = interval * (first.tries / second.tries).min(1.0);
            let first_after = first.batch_began_at.saturating_sub(granted_at).as_secs_f64();
            let lag = (first_after - covered).max(0.0);
            let smoothed = self.report_lag_s.map_or(lag, |old| old + LAG_SMOOTHING_FACTOR * (lag - old));
            self.report_lag_s = Some(smoothed);
        }
    }

    /// What the reports so far show of a server that misses probes; `None` while it is not known how late they come.
    pub(super) fn evidence(&self, server: &Server) -> Option<Evidence> {
        // An RPC is reported with its answer, so its wait adds to the lag.
        let lag = self.report_lag_s? + server.mean_wait(self.now, self.half_life).unwrap_or(0.0);
        let max_lag_error = LAG_ERROR_FRACTION * self.half_life.as_secs_f64();
        let since = server.unresponsive_since?.as_secs_f64() + max_lag_error;
        let rejected_from = server.suspected_since.map_or(f64::MAX, |at| at.as_secs_f64());
        let mut evidence = Evidence::default();
        for batch in &self.report_batches {
            let end = batch.began_at.as_secs_f64() - lag;
            let start = end - batch.interval.as_secs_f64();
            let time_after = end.min(rejected_from) - start.max(since);
            if time_after <= 0.0 {
                continue;
            }
            let time_before = (since - start).max(0.0);
            let answers = server.batch_answers.iter().find(|a| a.batch_began_at == batch.began_at);
            let oks = answers.map_or(0.0, |answers| answers.oks);
            evidence.expected += server.admitted_rate_at_miss * time_after;
            evidence.answered += (oks - server.admitted_rate_at_miss * time_before).max(0.0);
        }
        Some(evidence)
    }

    /// Whether reports confirm, once the last batch is complete, that a server that misses probes answers no RPCs.
    pub(super) fn is_confirmed_dead(&self, server: &Server) -> bool {
        let is_complete = self.report_batches.back().is_some_and(|last| self.now >= last.began_at + TICK);
        is_complete && !server.under_load && self.evidence(server).is_some_and(|evidence| evidence.is_dead())
    }
}
