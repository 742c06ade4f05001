//! Downsamples a report that has too many lines, with a known error. The heaviest lines are kept as they are. From the
//! others a uniform sample is drawn and scaled to represent all of them.

use rand::seq::index::sample;
use rand_chacha::ChaCha8Rng;

use crate::Line;

/// A downsampled report.
#[derive(Clone, Debug, PartialEq)]
pub struct Downsampled {
    /// The lines, each with the variance of its tries: zero for lines kept as they are.
    pub lines: Vec<(Line, f64)>,
    /// The number of tries in `lines` minus the number in the report: the error of the total.
    pub total_error: i64,
}

/// Downsamples to `max_lines` lines; three quarters of them are the heaviest.
pub fn downsample(mut lines: Vec<Line>, max_lines: usize, rng: &mut ChaCha8Rng) -> Downsampled {
    if lines.len() <= max_lines {
        return Downsampled { lines: lines.into_iter().map(|line| (line, 0.0)).collect(), total_error: 0 };
    }
    // Sorts by weight, then by key: the result must not depend on the order of the lines in the report.
    lines.sort_unstable_by(|a, b| b.figures.tries.cmp(&a.figures.tries).then(a.key.cmp(&b.key)));
    let total: u64 = lines.iter().map(|line| line.figures.tries).sum();
    let tail = lines.split_off(max_lines * 3 / 4);
    let mut kept: Vec<(Line, f64)> = lines.into_iter().map(|line| (line, 0.0)).collect();
    let drawn = (max_lines - kept.len()).max(1);
    let mut positions = sample(rng, tail.len(), drawn.min(tail.len())).into_vec();
    positions.sort_unstable();
    let (tail_tries, drawn_tries) =
        (total_tries(tail.iter()), total_tries(positions.iter().map(|position| &tail[*position])));
    // Ratio estimate: scales the drawn lines so that their tries add up to those of the tail.
    let scale = tail_tries as f64 / drawn_tries.max(1) as f64;
    for position in positions {
        let mut line = tail[position];
        let figures = &mut line.figures;
        let own = figures.tries as f64;
        let scaled = |count: u64| (count as f64 * scale).round() as u64;
        (figures.tries, figures.lost, figures.ok) =
            (scaled(figures.tries), scaled(figures.lost), scaled(figures.ok));
        figures.wait_ms *= scale;
        // The variance of one drawn line that represents `scale` similar ones, as if each were drawn independently.
        kept.push((line, own * own * scale * (scale - 1.0).max(0.0)));
    }
    let total_error = kept.iter().map(|(line, _)| line.figures.tries as i64).sum::<i64>() - total as i64;
    Downsampled { lines: kept, total_error }
}

fn total_tries<'a>(lines: impl Iterator<Item = &'a Line>) -> u64 {
    lines.map(|line| line.figures.tries).sum()
}

#[cfg(test)]
mod tests {
    use rand::SeedableRng;

    use super::*;
    use crate::{Figures, Key};

    fn line(slice: usize, tries: u64) -> Line {
        Line { key: Key::Slice { slice, method: 0 }, figures: Figures { tries, ..Figures::default() } }
    }

    fn long_report() -> Vec<Line> {
        (0..1000)
            .map(|slice| line(slice, if slice % 100 == 0 { 5000 } else { 1 + slice as u64 % 9 }))
            .collect()
    }

    #[test]
    fn heavy_lines_stay_exact_and_the_total_of_the_tail_is_close() {
        let all: u64 = long_report().iter().map(|line| line.figures.tries).sum();
        for seed in 0..200 {
            let downsampled = downsample(long_report(), 100, &mut ChaCha8Rng::seed_from_u64(seed));
            assert_eq!(downsampled.lines.len(), 100);
            let heavy = downsampled.lines.iter().filter(|(line, _)| line.figures.tries == 5000);
            assert!(heavy.clone().count() == 10 && heavy.map(|(_, variance)| variance).all(|v| *v == 0.0));
            let kept: u64 = downsampled.lines.iter().map(|(line, _)| line.figures.tries).sum();
            assert_eq!(kept as i64 - all as i64, downsampled.total_error);
            assert!(
                downsampled.total_error.unsigned_abs() * 100 < all,
                "seed {seed}: {}",
                downsampled.total_error
            );
        }
    }

    #[test]
    fn result_is_independent_of_order_and_short_reports_are_unchanged() {
        let mut reversed = long_report();
        reversed.reverse();
        let downsampled = |lines| downsample(lines, 50, &mut ChaCha8Rng::seed_from_u64(3));
        assert_eq!(downsampled(long_report()), downsampled(reversed));
        assert!(downsample(long_report(), 1000, &mut ChaCha8Rng::seed_from_u64(1))
            .lines
            .iter()
            .all(|(_, v)| *v == 0.0));
    }
}
