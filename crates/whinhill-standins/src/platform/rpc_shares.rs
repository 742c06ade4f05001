//! Counts offered, lost and refused RPCs by the window of their arrival, and bounds the shares of
//! the tested plane by those of the reference.

use std::time::Duration;

use serde::Serialize;

use super::audit::{Rule, Violation};

/// Length of a window.
pub const WINDOW: Duration = Duration::from_secs(5);
/// Bounds: a multiple of the reference's share plus a fixed share of the offered RPCs.
const RUN_LOST_BOUND: RelativeBound = RelativeBound { factor: 1.5, allowance: 0.005 };
const WINDOW_LOST_BOUND: RelativeBound = RelativeBound { factor: 3.0, allowance: 0.02 };
const RUN_REFUSED_BOUND: RelativeBound = RelativeBound { factor: 1.5, allowance: 0.02 };

/// A bound on a share relative to the share in the reference plane.
struct RelativeBound {
    factor: f64,
    allowance: f64,
}

impl RelativeBound {
    fn limit(&self, reference: f64) -> f64 {
        self.factor * reference + self.allowance
    }
}

/// Counts of one window or of the run.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    offered: u64,
    lost: u64,
    refused: u64,
}

/// The counts of one plane. Nothing is counted before the windows start.
#[derive(Clone, Debug, Default)]
pub struct WindowedCounts {
    windows_from: Option<Duration>,
    windows: Vec<Count>,
}

impl WindowedCounts {
    /// Starts the windows now.
    pub fn start(&mut self, now: Duration) {
        self.windows_from = Some(now);
    }

    /// Counts an RPC that arrived.
    pub fn count_offered(&mut self, arrived: Duration) {
        self.window(arrived, |count| count.offered += 1);
    }

    /// Counts a lost RPC by its arrival.
    pub fn count_lost(&mut self, arrived: Duration) {
        self.window(arrived, |count| count.lost += 1);
    }

    /// Counts a refused RPC by its arrival.
    pub fn count_refused(&mut self, arrived: Duration) {
        self.window(arrived, |count| count.refused += 1);
    }

    fn window(&mut self, arrived: Duration, add: impl Fn(&mut Count)) {
        let Some(since) = self.windows_from.and_then(|start| arrived.checked_sub(start)) else {
            return;
        };
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

/// Shares of the offered RPCs in one interval, in the tested plane and in the reference.
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
    fn new(from: Duration, tested: Count, reference: Count) -> Self {
        let share = |part: u64, of: u64| part as f64 / of.max(1) as f64;
        Shares {
            from_ms: from.as_millis() as u64,
            offered: tested.offered,
            lost: share(tested.lost, tested.offered),
            reference_lost: share(reference.lost, reference.offered),
            refused: share(tested.refused, tested.offered),
            reference_refused: share(reference.refused, reference.offered),
        }
    }

    fn violation(
        &self,
        rule: Rule,
        interval: &str,
        (tested, reference): (f64, f64),
        bound: &RelativeBound,
    ) -> Option<Violation> {
        let limit = bound.limit(reference);
        let percent = |share: f64| share * 100.0;
        let what = format!(
            "{interval}: {:.2}% of {}, at most {:.2}%; reference {:.2}%",
            percent(tested),
            self.offered,
            percent(limit),
            percent(reference)
        );
        (tested > limit).then_some(Violation { rule, at_ms: self.from_ms, what })
    }
}

/// Shares over the run and by window, and the violated bounds. The last window counts only toward
/// the run unless it is complete.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SharesReport {
    pub run: Shares,
    pub windows: Vec<Shares>,
    #[serde(skip)]
    pub violations: Vec<Violation>,
}

/// Compares the tested plane with the reference, until the end of the run.
pub fn compare(tested: &WindowedCounts, reference: &WindowedCounts, end: Duration) -> SharesReport {
    let Some(windows_from) = tested.windows_from else { return SharesReport::default() };
    let run = Shares::new(windows_from, tested.run(), reference.run());
    let starts_at = |number: usize| windows_from + WINDOW * number as u32;
    let windows: Vec<Shares> = tested
        .windows
        .iter()
        .zip(&reference.windows)
        .enumerate()
        .filter(|(number, _)| starts_at(number + 1) <= end)
        .map(|(number, (tested, reference))| Shares::new(starts_at(number), *tested, *reference))
        .collect();
    let lost = |shares: &Shares| (shares.lost, shares.reference_lost);
    let mut violations: Vec<Violation> = windows
        .iter()
        .filter_map(|window| window.violation(Rule::RpcLost, "5 s", lost(window), &WINDOW_LOST_BOUND))
        .collect();
    violations.extend(run.violation(Rule::RpcLost, "run", lost(&run), &RUN_LOST_BOUND));
    let refused = (run.refused, run.reference_refused);
    violations.extend(run.violation(Rule::RpcRefused, "run", refused, &RUN_REFUSED_BOUND));
    SharesReport { run, windows, violations }
}
