//! Chooses one of a slice's lines for an RPC. No I/O: random numbers and the counts of tries in flight are arguments.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::shared::lock;

/// How a proxy chooses among the lines of a slice, as configured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Pick {
    /// At random, by weight.
    #[default]
    ByWeight,
    /// At random, with equal probability for every line that has weight.
    Evenly,
    /// Two lines drawn by weight, and of them the one with fewer of this proxy's tries in flight (power of two
    /// choices, Mitzenmacher 2001).
    LessOfTwo,
}

/// Random numbers of an RPC, each uniform from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct Draws {
    /// Compared with the admitted share; drawn once for each RPC.
    pub level: f64,
    /// Chooses the first line.
    pub first: f64,
    /// Chooses the second line of [`Pick::LessOfTwo`].
    pub second: f64,
}

/// A server and its weight.
type Line = (Arc<str>, u32);

/// The server of the chosen line; `None` if no line has weight.
pub fn pick_server(
    policy: Pick,
    lines: &[Line],
    draws: Draws,
    in_flight: impl Fn(&str) -> u32,
) -> Option<&Arc<str>> {
    match policy {
        Pick::ByWeight => by_weight(lines, None, draws.first).map(|index| &lines[index].0),
        Pick::Evenly => {
            let eligible: Vec<&Line> = lines.iter().filter(|(_, weight)| *weight > 0).collect();
            let index = (draws.first * eligible.len() as f64) as usize;
            eligible.get(index.min(eligible.len().saturating_sub(1))).map(|line| &line.0)
        }
        Pick::LessOfTwo => {
            let first = by_weight(lines, None, draws.first)?;
            let second = by_weight(lines, Some(first), draws.second).unwrap_or(first);
            let (first, second) = (&lines[first].0, &lines[second].0);
            Some(if in_flight(second) < in_flight(first) { second } else { first })
        }
    }
}

/// The index of a line drawn by weight, leaving out `excluded`.
fn by_weight(lines: &[Line], excluded: Option<usize>, draw: f64) -> Option<usize> {
    let weight = |index: usize| if Some(index) == excluded { 0 } else { u64::from(lines[index].1) };
    let total: u64 = (0..lines.len()).map(weight).sum();
    let mut remaining = (draw * total as f64) as u64;
    (0..lines.len()).find(|index| {
        let line_weight = weight(*index);
        let found = remaining < line_weight;
        remaining = remaining.saturating_sub(line_weight);
        found
    })
}

/// Number of this proxy's tries in flight, by server.
#[derive(Debug, Default)]
pub struct TriesInFlight(Mutex<HashMap<Arc<str>, u32>>);

/// One try in flight; dropping it ends the count.
pub struct TryGuard<'a> {
    tries: &'a TriesInFlight,
    server: Arc<str>,
}

impl TriesInFlight {
    /// Number of tries in flight to a server.
    pub fn count(&self, server: &str) -> u32 {
        lock(&self.0).get(server).copied().unwrap_or(0)
    }

    /// Counts a try to a server until the returned guard is dropped.
    pub fn begin(&self, server: &Arc<str>) -> TryGuard<'_> {
        *lock(&self.0).entry(server.clone()).or_insert(0) += 1;
        TryGuard { tries: self, server: server.clone() }
    }
}

impl Drop for TryGuard<'_> {
    fn drop(&mut self) {
        let mut tries = lock(&self.tries.0);
        // Servers come and go, so one without tries is removed.
        match tries.get_mut(&self.server) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(tries.remove(&self.server)),
        }
    }
}

#[cfg(test)]
mod tests {
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    use super::*;

    fn lines(weights: &[u32]) -> Vec<Line> {
        weights.iter().enumerate().map(|(k, weight)| (format!("s{k}").into(), *weight)).collect()
    }

    /// The fraction of 20,000 draws in which each line is chosen.
    fn shares(policy: Pick, lines: &[Line], in_flight: impl Fn(&str) -> u32) -> Vec<f64> {
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        let mut counts = vec![0.0; lines.len()];
        for _ in 0..20_000 {
            let draws = Draws { level: 0.0, first: rng.random(), second: rng.random() };
            let server = pick_server(policy, lines, draws, &in_flight).unwrap();
            counts[lines.iter().position(|line| line.0 == *server).unwrap()] += 1.0 / 20_000.0;
        }
        counts
    }

    fn roughly_equal(actual: &[f64], expected: &[f64]) -> bool {
        actual.iter().zip(expected).all(|(actual, expected)| (actual - expected).abs() < 0.015)
    }

    #[test]
    fn lines_are_chosen_by_weight_evenly_or_by_fewer_tries_in_flight() {
        let some = lines(&[1, 3, 0, 4]);
        assert!(roughly_equal(&shares(Pick::ByWeight, &some, |_| 0), &[0.125, 0.375, 0.0, 0.5]));
        let third = 1.0 / 3.0;
        assert!(roughly_equal(&shares(Pick::Evenly, &some, |_| 0), &[third, third, 0.0, third]));
        // With no tries in flight the first draw decides; a busy server loses to any other that is drawn.
        assert!(roughly_equal(&shares(Pick::LessOfTwo, &some, |_| 0), &[0.125, 0.375, 0.0, 0.5]));
        let busy = shares(Pick::LessOfTwo, &some, |server| u32::from(server == "s3") * 9);
        assert_eq!(busy[3], 0.0);
    }

    #[test]
    fn lines_without_weight_are_never_chosen_and_a_single_line_always() {
        let draws = Draws { level: 0.0, first: 0.999_999, second: 0.999_999 };
        for policy in [Pick::ByWeight, Pick::Evenly, Pick::LessOfTwo] {
            assert_eq!(pick_server(policy, &lines(&[0, 0]), draws, |_| 0), None);
            assert_eq!(pick_server(policy, &[], draws, |_| 0), None);
            assert_eq!(pick_server(policy, &lines(&[0, 7]), draws, |_| 50).unwrap().as_ref(), "s1");
        }
    }

    #[test]
    fn tries_are_counted_until_their_guards_are_dropped() {
        let (tries, server): (TriesInFlight, Arc<str>) = (TriesInFlight::default(), "a".into());
        let first = tries.begin(&server);
        {
            let _second = tries.begin(&server);
            assert_eq!(tries.count("a"), 2);
        }
        assert_eq!((tries.count("a"), tries.count("b")), (1, 0));
        drop(first);
        assert!(lock(&tries.0).is_empty());
    }
}
