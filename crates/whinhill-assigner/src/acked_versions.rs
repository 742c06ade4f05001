//! Tracks the version that each proxy has acknowledged completely, and how far it is behind. No I/O, no clock.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::operator_api::ProxyStatus;

/// How often streams are checked.
pub const ACK_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The newest completely acknowledged version of each connected proxy, and when that was last checked to be so.
#[derive(Debug, Default)]
pub struct AckedVersions(BTreeMap<String, (u64, Duration)>);

impl AckedVersions {
    /// Updates all joined proxies: for each, whether it has acknowledged all of the version `current`. Proxies that
    /// are not listed are dropped.
    pub fn update(&mut self, now: Duration, current: u64, proxies: impl Iterator<Item = (String, bool)>) {
        let mut previous = std::mem::take(&mut self.0);
        for (name, acked_all) in proxies {
            let last_acked = previous.remove(&name).unwrap_or((0, now));
            self.0.insert(name, if acked_all { (current, now) } else { last_acked });
        }
    }

    /// One line for each proxy, for operators.
    pub fn lines(&self, now: Duration, current: u64) -> Vec<ProxyStatus> {
        let line = |(proxy, (acked, at)): (&String, &(u64, Duration))| ProxyStatus {
            proxy: proxy.clone(),
            acked: (*acked > 0).then_some(*acked),
            behind: current.saturating_sub(*acked),
            behind_ms: if *acked == current { 0 } else { now.saturating_sub(*at).as_millis() as u64 },
        };
        self.0.iter().map(line).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lag_is_reported_in_versions_and_time_and_proxies_that_left_are_dropped() {
        let (mut acked_versions, ms) = (AckedVersions::default(), Duration::from_millis);
        let seen = |a, b| [("a".to_string(), a), ("b".to_string(), b)].into_iter();
        acked_versions.update(ms(1000), 4, seen(true, false));
        acked_versions.update(ms(2000), 7, seen(false, true));
        let lines = acked_versions.lines(ms(2500), 7);
        assert_eq!((lines[0].acked, lines[0].behind, lines[0].behind_ms), (Some(4), 3, 1500));
        assert_eq!((lines[1].acked, lines[1].behind, lines[1].behind_ms), (Some(7), 0, 0));
        acked_versions.update(ms(3000), 7, seen(true, true).take(1));
        assert_eq!(acked_versions.lines(ms(3000), 7).len(), 1);
        // A proxy that reconnects has acknowledged nothing on its new stream.
        acked_versions.update(ms(4000), 7, seen(true, false));
        assert_eq!(acked_versions.lines(ms(4200), 7)[1].acked, None);
    }
}
