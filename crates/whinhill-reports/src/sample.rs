//! Thins a report that has too many lines, with a known error: the heavy ones are kept as they are, the tail is
//! drawn from evenly and the drawn ones stand for all of it.

use rand::seq::index::sample;
use rand_chacha::ChaCha8Rng;

use crate::Line;

/// What is left of a long report.
#[derive(Clone, Debug, PartialEq)]
pub struct Thinned {
    /// Each with the variance of its tries: zero for those that were kept as they were.
    pub lines: Vec<(Line, f64)>,
    /// Tries in `lines` less tries in the report: what the estimate is off by as a whole.
    pub estimated: i64,
}

/// Thins to `most` lines; three quarters of them are the heaviest.
pub fn thin(mut lines: Vec<Line>, most: usize, rng: &mut ChaCha8Rng) -> Thinned {
    if lines.len() <= most {
        return Thinned { lines: lines.into_iter().map(|line| (line, 0.0)).collect(), estimated: 0 };
    }
    // By weight, then by key: what is kept must not depend on the order in which lines were told.
    lines.sort_unstable_by(|a, b| b.figures.tries.cmp(&a.figures.tries).then(a.key.cmp(&b.key)));
    let all: u64 = lines.iter().map(|line| line.figures.tries).sum();
    let tail = lines.split_off(most * 3 / 4);
    let mut kept: Vec<(Line, f64)> = lines.into_iter().map(|line| (line, 0.0)).collect();
    let drawn = (most - kept.len()).max(1);
    let mut places = sample(rng, tail.len(), drawn.min(tail.len())).into_vec();
    places.sort_unstable();
    let (of_tail, of_drawn) = (sum(tail.iter()), sum(places.iter().map(|place| &tail[*place])));
    // A ratio estimate: the drawn lines share the tail's tries as they share their own.
    let times = of_tail as f64 / of_drawn.max(1) as f64;
    for place in places {
        let mut line = tail[place];
        let figures = &mut line.figures;
        let own = figures.tries as f64;
        let scaled = |count: u64| (count as f64 * times).round() as u64;
        (figures.tries, figures.lost, figures.oks) =
            (scaled(figures.tries), scaled(figures.lost), scaled(figures.oks));
        figures.wait_ms *= times;
        // Of one drawn line that stands for `times` like it: as if each of those were a draw of its own.
        kept.push((line, own * own * times * (times - 1.0).max(0.0)));
    }
    let estimated = kept.iter().map(|(line, _)| line.figures.tries as i64).sum::<i64>() - all as i64;
    Thinned { lines: kept, estimated }
}

fn sum<'a>(lines: impl Iterator<Item = &'a Line>) -> u64 {
    lines.map(|line| line.figures.tries).sum()
}

#[cfg(test)]
mod tests {
    use rand::SeedableRng;

    use super::*;
    use crate::{Figures, Key};

    fn line(slice: usize, tries: u64) -> Line {
        Line { key: Key::Came { slice, method: 0 }, figures: Figures { tries, ..Figures::default() } }
    }

    fn long() -> Vec<Line> {
        (0..1000)
            .map(|slice| line(slice, if slice % 100 == 0 { 5000 } else { 1 + slice as u64 % 9 }))
            .collect()
    }

    #[test]
    fn heavy_lines_stay_exact_and_the_tail_is_known_as_a_whole() {
        let all: u64 = long().iter().map(|line| line.figures.tries).sum();
        for seed in 0..200 {
            let thinned = thin(long(), 100, &mut ChaCha8Rng::seed_from_u64(seed));
            assert_eq!(thinned.lines.len(), 100);
            let heavy = thinned.lines.iter().filter(|(line, _)| line.figures.tries == 5000);
            assert!(heavy.clone().count() == 10 && heavy.map(|(_, variance)| variance).all(|v| *v == 0.0));
            let kept: u64 = thinned.lines.iter().map(|(line, _)| line.figures.tries).sum();
            assert_eq!(kept as i64 - all as i64, thinned.estimated);
            assert!(thinned.estimated.unsigned_abs() * 100 < all, "seed {seed}: {}", thinned.estimated);
        }
    }

    #[test]
    fn the_same_lines_in_any_order_are_thinned_alike_and_few_are_left_as_they_are() {
        let mut turned = long();
        turned.reverse();
        let thinned = |lines| thin(lines, 50, &mut ChaCha8Rng::seed_from_u64(3));
        assert_eq!(thinned(long()), thinned(turned));
        assert!(thin(long(), 1000, &mut ChaCha8Rng::seed_from_u64(1)).lines.iter().all(|(_, v)| *v == 0.0));
    }
}
