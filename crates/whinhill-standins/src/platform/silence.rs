//! From a server's silence to the last RPC that was sent to it, by server and silence.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Decimal digits that a histogram keeps, and its longest time in milliseconds: that of the longest run.
const DIGITS: u8 = 3;
const MOST_MS: u64 = 3_600_000;

/// The last RPC of each silence, by server and the silence's begin.
#[derive(Clone, Debug, Default)]
pub struct Silences(BTreeMap<(usize, Duration), Duration>);

/// Times in milliseconds; a silence to which no RPC was sent is left out.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct SilenceReport {
    pub silences: u64,
    pub p50_ms: u64,
    pub p99_ms: u64,
    pub most_ms: u64,
}

impl Silences {
    /// An RPC was sent to a server that is silent since then.
    pub fn sent(&mut self, server: usize, since: Duration, now: Duration) {
        self.0.insert((server, since), now);
    }

    /// From silence to last RPC over all of them.
    pub fn report(&self) -> SilenceReport {
        let Ok(mut times) = Histogram::<u64>::new_with_max(MOST_MS, DIGITS) else {
            return SilenceReport::default();
        };
        for ((_, since), last) in &self.0 {
            times.saturating_record((*last - *since).as_millis() as u64);
        }
        SilenceReport {
            silences: times.len(),
            p50_ms: times.value_at_quantile(0.5),
            p99_ms: times.value_at_quantile(0.99),
            most_ms: times.max(),
        }
    }
}
