//! Times from when a server became unresponsive to the last RPC that was sent to it.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Significant digits of the histogram and its largest value, in milliseconds: the longest run.
const SIGNIFICANT_DIGITS: u8 = 3;
const MAX_MS: u64 = 3_600_000;

/// The time of the last RPC, by server and the time at which the server became unresponsive.
#[derive(Clone, Debug, Default)]
pub struct DetectionTimes(BTreeMap<(usize, Duration), Duration>);

/// Times in milliseconds. A server to which no RPC was sent while it was unresponsive is left out.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct DetectionReport {
    pub silences: u64,
    pub p50_ms: u64,
    pub p99_ms: u64,
    pub most_ms: u64,
}

impl DetectionTimes {
    /// Records an RPC that was sent to a server that has been unresponsive since `since`.
    pub fn record(&mut self, server: usize, since: Duration, now: Duration) {
        self.0.insert((server, since), now);
    }

    /// Summarizes the times from becoming unresponsive to the last RPC.
    pub fn report(&self) -> DetectionReport {
        let Ok(mut times) = Histogram::<u64>::new_with_max(MAX_MS, SIGNIFICANT_DIGITS) else {
            return DetectionReport::default();
        };
        for ((_, since), last) in &self.0 {
            times.saturating_record((*last - *since).as_millis() as u64);
        }
        DetectionReport {
            silences: times.len(),
            p50_ms: times.value_at_quantile(0.5),
            p99_ms: times.value_at_quantile(0.99),
            most_ms: times.max(),
        }
    }
}
