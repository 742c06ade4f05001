//! Which of a slice's lines an RPC takes. No I/O: chance and the work that is out come in.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::shared::lock;

/// How a proxy picks, as its deployment has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Pick {
    /// At random, by weight.
    #[default]
    ByWeight,
    /// At random, each alike.
    Evenly,
    /// Two drawn by weight, and of them the one with less of this proxy's own work out (power of two choices,
    /// Mitzenmacher 2001).
    LessOfTwo,
}

/// What an RPC draws once for itself, each evenly from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct Draws {
    pub level: f64,
    pub first: f64,
    pub second: f64,
}

type Line = (Arc<str>, u32);

/// The line that an RPC takes; `None` where no line has weight.
pub fn pick(how: Pick, lines: &[Line], draws: Draws, out: impl Fn(&str) -> u32) -> Option<&Arc<str>> {
    match how {
        Pick::ByWeight => by_weight(lines, None, draws.first).map(|place| &lines[place].0),
        Pick::Evenly => {
            let fit: Vec<&Line> = lines.iter().filter(|(_, weight)| *weight > 0).collect();
            let place = (draws.first * fit.len() as f64) as usize;
            fit.get(place.min(fit.len().saturating_sub(1))).map(|line| &line.0)
        }
        Pick::LessOfTwo => {
            let first = by_weight(lines, None, draws.first)?;
            let second = by_weight(lines, Some(first), draws.second).unwrap_or(first);
            let (first, second) = (&lines[first].0, &lines[second].0);
            Some(if out(second) < out(first) { second } else { first })
        }
    }
}

fn by_weight(lines: &[Line], without: Option<usize>, draw: f64) -> Option<usize> {
    let weight = |place: usize| if Some(place) == without { 0 } else { u64::from(lines[place].1) };
    let all: u64 = (0..lines.len()).map(weight).sum();
    let mut left = (draw * all as f64) as u64;
    (0..lines.len()).find(|place| {
        let here = weight(*place);
        let found = left < here;
        left = left.saturating_sub(here);
        found
    })
}

/// This proxy's tries that are out, by server.
#[derive(Debug, Default)]
pub struct Out(Mutex<HashMap<Arc<str>, u32>>);

/// One try that is out; it ends with this.
pub struct OneOut<'a> {
    out: &'a Out,
    server: Arc<str>,
}

impl Out {
    pub fn of(&self, server: &str) -> u32 {
        lock(&self.0).get(server).copied().unwrap_or(0)
    }

    pub fn begin(&self, server: &Arc<str>) -> OneOut<'_> {
        *lock(&self.0).entry(server.clone()).or_insert(0) += 1;
        OneOut { out: self, server: server.clone() }
    }
}

impl Drop for OneOut<'_> {
    fn drop(&mut self) {
        let mut out = lock(&self.out.0);
        // A server without work is forgotten: servers come and go.
        match out.get_mut(&self.server) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(out.remove(&self.server)),
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

    /// How often each of the lines is taken in 20,000 draws.
    fn shares(how: Pick, lines: &[Line], out: impl Fn(&str) -> u32) -> Vec<f64> {
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        let mut counts = vec![0.0; lines.len()];
        for _ in 0..20_000 {
            let draws = Draws { level: 0.0, first: rng.random(), second: rng.random() };
            let server = pick(how, lines, draws, &out).unwrap();
            counts[lines.iter().position(|line| line.0 == *server).unwrap()] += 1.0 / 20_000.0;
        }
        counts
    }

    fn near(found: &[f64], wanted: &[f64]) -> bool {
        found.iter().zip(wanted).all(|(found, wanted)| (found - wanted).abs() < 0.015)
    }

    #[test]
    fn lines_are_taken_by_weight_evenly_or_by_less_work_out() {
        let some = lines(&[1, 3, 0, 4]);
        assert!(near(&shares(Pick::ByWeight, &some, |_| 0), &[0.125, 0.375, 0.0, 0.5]));
        let third = 1.0 / 3.0;
        assert!(near(&shares(Pick::Evenly, &some, |_| 0), &[third, third, 0.0, third]));
        // Without work out the first draw counts; a busy server is taken only if both draws are it.
        assert!(near(&shares(Pick::LessOfTwo, &some, |_| 0), &[0.125, 0.375, 0.0, 0.5]));
        let busy = shares(Pick::LessOfTwo, &some, |server| u32::from(server == "s3") * 9);
        assert_eq!(busy[3], 0.0);
    }

    #[test]
    fn without_weight_nothing_is_taken_and_a_single_line_always() {
        let draws = Draws { level: 0.0, first: 0.999_999, second: 0.999_999 };
        for how in [Pick::ByWeight, Pick::Evenly, Pick::LessOfTwo] {
            assert_eq!(pick(how, &lines(&[0, 0]), draws, |_| 0), None);
            assert_eq!(pick(how, &[], draws, |_| 0), None);
            assert_eq!(pick(how, &lines(&[0, 7]), draws, |_| 50).unwrap().as_ref(), "s1");
        }
    }

    #[test]
    fn work_out_is_counted_until_it_ends() {
        let (out, server): (Out, Arc<str>) = (Out::default(), "a".into());
        let first = out.begin(&server);
        {
            let _second = out.begin(&server);
            assert_eq!(out.of("a"), 2);
        }
        assert_eq!((out.of("a"), out.of("b")), (1, 0));
        drop(first);
        assert!(lock(&out.0).is_empty());
    }
}
