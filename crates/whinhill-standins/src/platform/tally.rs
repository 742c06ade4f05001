//! Offered, lost and refused RPCs by window of their arrival, and the bounds on the judged world by the reference.

use std::time::Duration;

use serde::Serialize;

use super::audit::{Broken, Rule};

/// Length of a window.
pub const WINDOW: Duration = Duration::from_secs(5);
/// Bounds: so many times the reference's share, and so much of the offered RPCs beside.
const LOST_RUN: Bound = Bound { times: 1.5, beside: 0.005 };
const LOST_WINDOW: Bound = Bound { times: 3.0, beside: 0.02 };
const REFUSED_RUN: Bound = Bound { times: 1.5, beside: 0.02 };

struct Bound {
    times: f64,
    beside: f64,
}

impl Bound {
    fn of(&self, reference: f64) -> f64 {
        self.times * reference + self.beside
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    offered: u64,
    lost: u64,
    refused: u64,
}

/// Counts of one world. Nothing counts before its windows start.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    from: Option<Duration>,
    windows: Vec<Count>,
}

impl Tally {
    /// Windows start now.
    pub fn start(&mut self, now: Duration) {
        self.from = Some(now);
    }

    /// An RPC arrived.
    pub fn offer(&mut self, arrived: Duration) {
        self.window(arrived, |count| count.offered += 1);
    }

    /// One that arrived then was lost.
    pub fn lose(&mut self, arrived: Duration) {
        self.window(arrived, |count| count.lost += 1);
    }

    /// One that arrived then was refused.
    pub fn refuse(&mut self, arrived: Duration) {
        self.window(arrived, |count| count.refused += 1);
    }

    fn window(&mut self, arrived: Duration, add: impl Fn(&mut Count)) {
        let Some(since) = self.from.and_then(|from| arrived.checked_sub(from)) else { return };
        let number = (since.as_millis() / WINDOW.as_millis()) as usize;
        if self.windows.len() <= number {
            self.windows.resize(number + 1, Count::default());
        }
        add(&mut self.windows[number]);
    }

    fn run(&self) -> Count {
        let add = |sum: Count, count: &Count| Count {
            offered: sum.offered + count.offered,
            lost: sum.lost + count.lost,
            refused: sum.refused + count.refused,
        };
        self.windows.iter().fold(Count::default(), add)
    }
}

/// Shares of the offered RPCs in one stretch, judged and in the reference.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Shares {
    pub from_ms: u64,
    pub offered: u64,
    pub lost: f64,
    pub reference_lost: f64,
    pub refused: f64,
    pub reference_refused: f64,
}

impl Shares {
    fn new(from: Duration, judged: Count, reference: Count) -> Self {
        let share = |part: u64, of: u64| part as f64 / of.max(1) as f64;
        Shares {
            from_ms: from.as_millis() as u64,
            offered: judged.offered,
            lost: share(judged.lost, judged.offered),
            reference_lost: share(reference.lost, reference.offered),
            refused: share(judged.refused, judged.offered),
            reference_refused: share(reference.refused, reference.offered),
        }
    }

    fn break_rule(
        &self,
        rule: Rule,
        stretch: &str,
        (own, reference): (f64, f64),
        bound: &Bound,
    ) -> Option<Broken> {
        let most = bound.of(reference);
        let percent = |share: f64| share * 100.0;
        let what = format!(
            "{stretch}: {:.2}% of {}, at most {:.2}%; reference {:.2}%",
            percent(own),
            self.offered,
            percent(most),
            percent(reference)
        );
        (own > most).then_some(Broken { rule, at_ms: self.from_ms, what })
    }
}

/// Run and windows, and where a bound was broken. The last window counts with the run alone unless it is full.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TallyReport {
    pub run: Shares,
    pub windows: Vec<Shares>,
    #[serde(skip)]
    pub broken: Vec<Broken>,
}

/// Judges one world by the other, until the end of the run.
pub fn judge(judged: &Tally, reference: &Tally, end: Duration) -> TallyReport {
    let Some(from) = judged.from else { return TallyReport::default() };
    let run = Shares::new(from, judged.run(), reference.run());
    let begins = |number: usize| from + WINDOW * number as u32;
    let windows: Vec<Shares> = judged
        .windows
        .iter()
        .zip(&reference.windows)
        .enumerate()
        .filter(|(number, _)| begins(number + 1) <= end)
        .map(|(number, (judged, reference))| Shares::new(begins(number), *judged, *reference))
        .collect();
    let lost = |shares: &Shares| (shares.lost, shares.reference_lost);
    let mut broken: Vec<Broken> = windows
        .iter()
        .filter_map(|window| window.break_rule(Rule::RpcLost, "5 s", lost(window), &LOST_WINDOW))
        .collect();
    broken.extend(run.break_rule(Rule::RpcLost, "run", lost(&run), &LOST_RUN));
    let refused = (run.refused, run.reference_refused);
    broken.extend(run.break_rule(Rule::RpcRefused, "run", refused, &REFUSED_RUN));
    TallyReport { run, windows, broken }
}
