//! Batches of reports: how late they come, and what they tell of a server since it missed a probe.
//!
//! A server that answers RPCs and no probes, and one that has died, differ in the first report that covers the time
//! after the missed probe. Which one that is follows from how late reports come, which shows where a server without
//! RPCs is granted slices.

use super::*;

/// What reports that cover the time since a missed probe tell of a server, in RPCs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Evidence {
    /// Those that would have been answered since, were it well.
    pub expected: f64,
    /// Those that were.
    pub answered: f64,
}

impl Evidence {
    pub fn is_alive(&self) -> bool {
        self.answered >= ALIVE_RPCS && self.answered >= self.expected / 2.0
    }

    pub fn is_dead(&self) -> bool {
        self.expected >= DEAD_RPCS && self.answered < self.expected / 4.0
    }
}

impl Assigner {
    /// Notes that a report has come: those that come together are one batch.
    pub(super) fn record_report(&mut self, span: Duration) {
        let last =
            self.report_batches.back_mut().filter(|last| self.now < last.began_at + self.half_life / 2);
        if let Some(last) = last {
            last.interval = last.interval.max(span);
            return;
        }
        self.learn_report_lag();
        self.report_batches.push_back(ReportBatch { began_at: self.now, interval: span });
        if self.report_batches.len() > REMEMBERED_BATCHES {
            self.report_batches.pop_front();
        }
    }

    /// Learns how late reports come from servers that had no RPCs before a grant: the first batch covers as much of
    /// its stretch as it has RPCs against the second.
    fn learn_report_lag(&mut self) {
        for server in &mut self.servers {
            let Some(granted) = server.granted_while_idle_at else { continue };
            let mut told = server.batch_answers.iter().filter(|answers| answers.batch_began_at > granted);
            let (Some(first), Some(second)) = (told.next(), told.next()) else { continue };
            server.granted_while_idle_at = None;
            let span = second.batch_began_at.saturating_sub(first.batch_began_at).as_secs_f64();
            if second.tries < MIN_TRIES || span > 1.5 * self.half_life.as_secs_f64() {
                continue;
            }
            let covered = span * (first.tries / second.tries).min(1.0);
            let lag = (first.batch_began_at.saturating_sub(granted).as_secs_f64() - covered).max(0.0);
            self.report_lag_s =
                Some(self.report_lag_s.map_or(lag, |old| old + LAG_SMOOTHING_FACTOR * (lag - old)));
        }
    }

    /// What the reports so far tell of a server that misses probes; `None` where it is not known how late they come.
    pub(super) fn evidence(&self, server: &Server) -> Option<Evidence> {
        // An answer is told of when it has come.
        let lag = self.report_lag_s? + server.mean_wait(self.now, self.half_life).unwrap_or(0.0);
        let since =
            server.unresponsive_since?.as_secs_f64() + LAG_ERROR_FRACTION * self.half_life.as_secs_f64();
        let shut = server.suspected_since.map_or(f64::MAX, |at| at.as_secs_f64());
        let mut evidence = Evidence::default();
        for batch in &self.report_batches {
            let end = batch.began_at.as_secs_f64() - lag;
            let start = end - batch.interval.as_secs_f64();
            let after = end.min(shut) - start.max(since);
            if after <= 0.0 {
                continue;
            }
            let before = (since - start).max(0.0);
            let told = server.batch_answers.iter().find(|answers| answers.batch_began_at == batch.began_at);
            let oks = told.map_or(0.0, |answers| answers.oks);
            evidence.expected += server.admitted_rate_at_miss * after;
            evidence.answered += (oks - server.admitted_rate_at_miss * before).max(0.0);
        }
        Some(evidence)
    }

    /// Whether reports tell that a server that misses probes answers no RPCs either, once a batch has come in whole.
    pub(super) fn is_confirmed_dead(&self, server: &Server) -> bool {
        let is_whole = self.report_batches.back().is_some_and(|last| self.now >= last.began_at + TICK);
        is_whole && !server.under_load && self.evidence(server).is_some_and(|evidence| evidence.is_dead())
    }
}
