//! Which version each proxy has acknowledged whole, and how far it is behind. No I/O, no clock.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ask::ProxyLine;

/// How often streams are looked at.
pub const LOOK: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
pub struct Holdings(BTreeMap<String, (u64, Duration)>);

impl Holdings {
    /// Takes a look at all proxies that are joined: whether each has acknowledged all that there is, of `current`.
    /// Who is no longer there is forgotten.
    pub fn look(&mut self, now: Duration, current: u64, proxies: impl Iterator<Item = (String, bool)>) {
        let mut before = std::mem::take(&mut self.0);
        for (name, holds_all) in proxies {
            let held = before.remove(&name).unwrap_or((0, now));
            self.0.insert(name, if holds_all { (current, now) } else { held });
        }
    }

    pub fn lines(&self, now: Duration, current: u64) -> Vec<ProxyLine> {
        let line = |(proxy, (acked, at)): (&String, &(u64, Duration))| ProxyLine {
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
    fn who_lags_is_told_by_versions_and_time_and_who_left_is_not() {
        let (mut holdings, ms) = (Holdings::default(), Duration::from_millis);
        let seen = |a, b| [("a".to_string(), a), ("b".to_string(), b)].into_iter();
        holdings.look(ms(1000), 4, seen(true, false));
        holdings.look(ms(2000), 7, seen(false, true));
        let lines = holdings.lines(ms(2500), 7);
        assert_eq!((lines[0].acked, lines[0].behind, lines[0].behind_ms), (Some(4), 3, 1500));
        assert_eq!((lines[1].acked, lines[1].behind, lines[1].behind_ms), (Some(7), 0, 0));
        holdings.look(ms(3000), 7, seen(true, true).take(1));
        assert_eq!(holdings.lines(ms(3000), 7).len(), 1);
        // One that comes back has acknowledged nothing on its new stream.
        holdings.look(ms(4000), 7, seen(true, false));
        assert_eq!(holdings.lines(ms(4200), 7)[1].acked, None);
    }
}
