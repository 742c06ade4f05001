//! Limits the counts of outliers, by the rates of other proxies and the proxy's own past.
//!
//! A proxy may carry far more load than others, and one that reports false counts looks the same at first. So the
//! accepted rate starts at four times the median rate of all proxies and grows by at most a half from one report to the
//! next. No proxy is accepted beyond [`MAX_MEDIAN_FACTOR`] times the median. What is not accepted is counted and shown
//! to operators.

use std::time::Duration;

/// The minimum number of proxies for any limit: the median of fewer says little.
const MIN_PEERS: usize = 8;
/// The maximum accepted rate, as a multiple of the proxy's own accepted rate so far.
const MAX_GROWTH_FACTOR: f64 = 1.5;
/// The multiple of the median rate that is accepted at once.
const INITIAL_MEDIAN_FACTOR: f64 = 4.0;
/// The maximum accepted rate, as a multiple of the median rate.
const MAX_MEDIAN_FACTOR: f64 = 64.0;
/// Rates up to this, in tries per second, are accepted from every proxy.
const ALWAYS_ACCEPTED_RATE: f64 = 50.0;
/// The weight of a new rate in the smoothed rate.
const SMOOTHING_WEIGHT: f64 = 0.3;

/// The accepted rate of one proxy, in tries per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateFilter {
    /// Smoothed; `None` before the first report.
    accepted: Option<f64>,
}

impl RateFilter {
    /// Returns the fraction of a report's counts that is accepted.
    pub fn accept(&mut self, tries: u64, interval: Duration, peers: Option<PeerRates>) -> f64 {
        let rate = tries as f64 / interval.as_secs_f64().max(1e-3);
        let max_rate = match peers.filter(|peers| peers.count >= MIN_PEERS) {
            None => f64::INFINITY,
            Some(peers) => {
                let own = self.accepted.unwrap_or(0.0) * MAX_GROWTH_FACTOR;
                own.max(peers.median * INITIAL_MEDIAN_FACTOR)
                    .min(peers.median * MAX_MEDIAN_FACTOR)
                    .max(ALWAYS_ACCEPTED_RATE)
            }
        };
        let accepted = rate.min(max_rate);
        // A limited rate is remembered without smoothing, so that the next one can grow from it.
        let weight = if accepted < rate { 1.0 } else { SMOOTHING_WEIGHT };
        self.accepted = Some(self.accepted.map_or(accepted, |old| old + (accepted - old) * weight));
        if rate > 0.0 {
            accepted / rate
        } else {
            1.0
        }
    }

    /// The smoothed accepted rate, in tries per second; `None` before the first report.
    pub fn rate(&self) -> Option<f64> {
        self.accepted
    }
}

/// The rates of all proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerRates {
    /// The number of proxies.
    pub count: usize,
    /// The median rate, in tries per second.
    pub median: f64,
}

impl PeerRates {
    /// Summarizes rates; `None` if there are none.
    pub fn of(rates: impl Iterator<Item = f64>) -> Option<PeerRates> {
        let mut rates: Vec<f64> = rates.collect();
        rates.sort_unstable_by(f64::total_cmp);
        let median = *rates.get(rates.len() / 2)?;
        Some(PeerRates { count: rates.len(), median })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);
    const PEERS: Option<PeerRates> = Some(PeerRates { count: 100, median: 100.0 });

    #[test]
    fn heavy_proxy_is_accepted_in_time_and_an_outlier_never_fully() {
        let mut heavy = RateFilter::default();
        let shares: Vec<f64> = (0..10).map(|_| heavy.accept(3800, SECOND, PEERS)).collect();
        assert!(shares[0] < 0.11 && shares[9] == 1.0, "{shares:?}");
        assert!(shares.is_sorted());
        let mut outlier = RateFilter::default();
        let last = (0..40).map(|_| outlier.accept(10_000, SECOND, PEERS)).last().unwrap();
        assert!((last - 0.64).abs() < 1e-9);
    }

    #[test]
    fn few_peers_small_rates_and_ordinary_variation_are_not_limited() {
        let few = Some(PeerRates { count: 3, median: 1.0 });
        assert_eq!(RateFilter::default().accept(10_000, SECOND, few), 1.0);
        assert_eq!(
            RateFilter::default().accept(40, SECOND, Some(PeerRates { count: 100, median: 0.5 })),
            1.0
        );
        let mut ordinary = RateFilter::default();
        assert!([90, 110, 250, 400, 0, 380]
            .iter()
            .all(|tries| ordinary.accept(*tries, SECOND, PEERS) == 1.0));
    }
}
