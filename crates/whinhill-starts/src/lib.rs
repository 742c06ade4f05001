//! When servers started, in monotonic time, from stamps of a wall clock that may be stepped, ours or theirs, by
//! seconds or hours.
//!
//! A stamp is read once, when a list first brings it, and the start is kept from then on: later steps change nothing.
//! What is known without the wall clock bounds it. A server that the list did not name a moment ago cannot have been
//! up for hours, and none starts in the future. Where several readings are possible the youngest counts: a server
//! that is taken for warm too soon is overfilled, one taken for cold a little longer only fills later.
//!
//! ```
//! use std::time::Duration;
//! use whinhill_starts::{Reading, Starts};
//! let mut starts = Starts::default();
//! // Monotonic and wall time, by any origins of their own.
//! let reading = Reading { now: Duration::from_secs(50), wall: Duration::from_secs(1_000_050) };
//! starts.list_is_current(reading.now);
//! assert_eq!(starts.started(reading, "s-1", 1_000_048_000), Some(Duration::from_secs(48)));
//! ```

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// How long after its start a server may first be named: lists come seconds late, more where discovery was down.
/// Shorter: servers listed late count as younger than they are, and fill later. Longer: steps of the clock by less
/// go unseen.
const LISTED_WITHIN: Duration = Duration::from_secs(15);
/// Standings of the wall clock that are remembered: stamps from before a step may come long after it.
const STANDINGS_MOST: usize = 8;
/// Two readings of the clocks that differ by less belong to one standing.
const STANDING_LEAST_MS: u64 = 250;
/// Servers whose starts are remembered, the last to be first named: far more than a list holds beside those that a
/// false list may bring back.
const KNOWN_MOST: usize = 4096;

/// Both clocks at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// Monotonic time, by any origin.
    pub now: Duration,
    /// Unix time.
    pub wall: Duration,
}

#[derive(Debug)]
struct Known {
    stamp_ms: u64,
    started: Duration,
}

/// What lists have told of servers' starts.
#[derive(Debug, Default)]
pub struct Starts {
    known: HashMap<String, Known>,
    /// The names in `known`, in the order in which they came.
    order: VecDeque<String>,
    /// How far the wall clock stood ahead of the monotonic one, in milliseconds; the last is now.
    standings: VecDeque<i64>,
    /// When the list that we hold was last known to be current.
    current: Option<Duration>,
}

impl Starts {
    /// Discovery has told the list, or that nothing in it has changed.
    pub fn list_is_current(&mut self, now: Duration) {
        self.current = Some(now);
    }

    /// When a server started, by monotonic time, from its stamp in Unix milliseconds; `None` for the stamp 0, which
    /// says: long ago.
    pub fn started(&mut self, reading: Reading, name: &str, stamp_ms: u64) -> Option<Duration> {
        self.note_standing(reading);
        if stamp_ms == 0 {
            return None;
        }
        if let Some(known) = self.known.get(name).filter(|known| known.stamp_ms == stamp_ms) {
            return Some(known.started);
        }
        let started = reading.now.saturating_sub(self.age(reading.now, stamp_ms));
        self.remember(name, Known { stamp_ms, started });
        Some(started)
    }

    /// The youngest age that is possible by any standing of the clock; none: it has just started.
    fn age(&self, now: Duration, stamp_ms: u64) -> Duration {
        let most = self.current.map(|at| now.saturating_sub(at) + LISTED_WITHIN);
        let possible = |age: &Duration| most.is_none_or(|most| *age <= most);
        let ages = self.standings.iter().filter_map(|ahead| age_by(*ahead, now, stamp_ms));
        ages.filter(possible).min().unwrap_or_default()
    }

    fn note_standing(&mut self, reading: Reading) {
        let ahead = millis(reading.wall).saturating_sub(millis(reading.now));
        let same = |last: &i64| last.abs_diff(ahead) < STANDING_LEAST_MS;
        if self.standings.back().is_some_and(same) {
            return;
        }
        if self.standings.len() == STANDINGS_MOST {
            self.standings.pop_front();
        }
        self.standings.push_back(ahead);
    }

    fn remember(&mut self, name: &str, known: Known) {
        if self.known.insert(name.to_string(), known).is_some() {
            return;
        }
        self.order.push_back(name.to_string());
        if self.order.len() > KNOWN_MOST {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }
}

/// The age of a stamp where the wall clock stands `ahead_ms` ahead; `None`: it lies in the future.
fn age_by(ahead_ms: i64, now: Duration, stamp_ms: u64) -> Option<Duration> {
    let wall = millis(now).checked_add(ahead_ms)?;
    let age = wall.checked_sub(i64::try_from(stamp_ms).ok()?)?;
    u64::try_from(age).ok().map(Duration::from_millis)
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests;
