//! How far a proxy's counts are believed, beside its peers and its own past.
//!
//! A proxy may carry far more than others, and a liar looks just like it at first. So what is believed grows by a
//! half at most from one report to the next, from four times what is usual among the peers; and no proxy is believed
//! beyond [`PEERS_MOST`] times that. What is not believed is counted, and told to staff.

use std::time::Duration;

/// Peers needed before anybody is doubted: few proxies say nothing of what is usual.
const PEERS: usize = 8;
const GROWTH: f64 = 1.5;
const AT_ONCE: f64 = 4.0;
const PEERS_MOST: f64 = 64.0;
/// Rates up to this, in tries a second, are believed of anyone.
const FLOOR: f64 = 50.0;
/// How much of the new rate goes into the remembered one.
const NEW: f64 = 0.3;

/// What is known of one proxy's rate, in tries a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trust {
    believed: Option<f64>,
}

impl Trust {
    /// The share of a report's counts that is believed.
    pub fn believe(&mut self, tries: u64, stretch: Duration, usual: Option<Usual>) -> f64 {
        let rate = tries as f64 / stretch.as_secs_f64().max(1e-3);
        let most = match usual.filter(|usual| usual.peers >= PEERS) {
            None => f64::INFINITY,
            Some(usual) => {
                let own = self.believed.unwrap_or(0.0) * GROWTH;
                own.max(usual.rate * AT_ONCE).min(usual.rate * PEERS_MOST).max(FLOOR)
            }
        };
        let taken = rate.min(most);
        // What was cut is remembered as it was cut, so that the next may grow from there.
        let new = if taken < rate { 1.0 } else { NEW };
        self.believed = Some(self.believed.map_or(taken, |old| old + (taken - old) * new));
        if rate > 0.0 {
            taken / rate
        } else {
            1.0
        }
    }

    /// What it usually tells, in tries a second; `None` before its first report.
    pub fn rate(&self) -> Option<f64> {
        self.believed
    }
}

/// What proxies usually tell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usual {
    pub peers: usize,
    /// The middle one's rate, in tries a second.
    pub rate: f64,
}

impl Usual {
    pub fn of(rates: impl Iterator<Item = f64>) -> Option<Usual> {
        let mut rates: Vec<f64> = rates.collect();
        rates.sort_unstable_by(f64::total_cmp);
        let rate = *rates.get(rates.len() / 2)?;
        Some(Usual { peers: rates.len(), rate })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);
    const USUAL: Option<Usual> = Some(Usual { peers: 100, rate: 100.0 });

    #[test]
    fn a_heavy_proxy_is_believed_in_time_and_a_liar_never_whole() {
        let mut heavy = Trust::default();
        let shares: Vec<f64> = (0..10).map(|_| heavy.believe(3800, SECOND, USUAL)).collect();
        assert!(shares[0] < 0.11 && shares[9] == 1.0, "{shares:?}");
        assert!(shares.is_sorted());
        let mut liar = Trust::default();
        let last = (0..40).map(|_| liar.believe(10_000, SECOND, USUAL)).last().unwrap();
        assert!((last - 0.64).abs() < 1e-9);
    }

    #[test]
    fn few_peers_small_rates_and_ordinary_swings_are_not_doubted() {
        let few = Some(Usual { peers: 3, rate: 1.0 });
        assert_eq!(Trust::default().believe(10_000, SECOND, few), 1.0);
        assert_eq!(Trust::default().believe(40, SECOND, Some(Usual { peers: 100, rate: 0.5 })), 1.0);
        let mut usual = Trust::default();
        assert!([90, 110, 250, 400, 0, 380].iter().all(|tries| usual.believe(*tries, SECOND, USUAL) == 1.0));
    }
}
