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
    pub due: f64,
    /// Those that were.
    pub answered: f64,
}

impl Evidence {
    pub fn is_alive(&self) -> bool {
        self.answered >= ALIVE && self.answered >= self.due / 2.0
    }

    pub fn is_dead(&self) -> bool {
        self.due >= DEAD && self.answered < self.due / 4.0
    }
}

impl Assigner {
    /// Notes that a report has come: those that come together are one batch.
    pub(super) fn note_report(&mut self, span: Duration) {
        let last = self.reports.back_mut().filter(|last| self.now < last.at + self.half / 2);
        if let Some(last) = last {
            last.span = last.span.max(span);
            return;
        }
        self.learn_lag();
        self.reports.push_back(ReportBatch { at: self.now, span });
        if self.reports.len() > BATCHES {
            self.reports.pop_front();
        }
    }

    /// Learns how late reports come from servers that had no RPCs before a grant: the first batch covers as much of
    /// its stretch as it has RPCs against the second.
    fn learn_lag(&mut self) {
        for server in &mut self.servers {
            let Some(granted) = server.granted_idle else { continue };
            let mut told = server.answers.iter().filter(|answers| answers.at > granted);
            let (Some(first), Some(second)) = (told.next(), told.next()) else { continue };
            server.granted_idle = None;
            let span = second.at.saturating_sub(first.at).as_secs_f64();
            if second.tries < ENOUGH || span > 1.5 * self.half.as_secs_f64() {
                continue;
            }
            let covered = span * (first.tries / second.tries).min(1.0);
            let lag = (first.at.saturating_sub(granted).as_secs_f64() - covered).max(0.0);
            self.report_lag = Some(self.report_lag.map_or(lag, |old| old + LAG_STEP * (lag - old)));
        }
    }

    /// What the reports so far tell of a server that misses probes; `None` where it is not known how late they come.
    pub(super) fn evidence(&self, server: &Server) -> Option<Evidence> {
        // An answer is told of when it has come.
        let lag = self.report_lag? + server.wait(self.now, self.half).unwrap_or(0.0);
        let since = server.silent_since?.as_secs_f64() + LAG_ERROR * self.half.as_secs_f64();
        let shut = server.shut_at.map_or(f64::MAX, |at| at.as_secs_f64());
        let mut evidence = Evidence::default();
        for batch in &self.reports {
            let end = batch.at.as_secs_f64() - lag;
            let start = end - batch.span.as_secs_f64();
            let after = end.min(shut) - start.max(since);
            if after <= 0.0 {
                continue;
            }
            let before = (since - start).max(0.0);
            let told = server.answers.iter().find(|answers| answers.at == batch.at);
            let oks = told.map_or(0.0, |answers| answers.oks);
            evidence.due += server.rate_at_miss * after;
            evidence.answered += (oks - server.rate_at_miss * before).max(0.0);
        }
        Some(evidence)
    }

    /// Whether reports tell that a server that misses probes answers no RPCs either, once a batch has come in whole.
    pub(super) fn is_found_dead(&self, server: &Server) -> bool {
        let is_whole = self.reports.back().is_some_and(|last| self.now >= last.at + TICK);
        is_whole && !server.loaded && self.evidence(server).is_some_and(|evidence| evidence.is_dead())
    }
}
