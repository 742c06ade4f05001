//! Merges the load reports of proxies into a bounded number of lines for the decision module. No I/O and no clock.
//!
//! The main calls are [`ReportAggregator::add_report`] for each report, and [`ReportAggregator::output_due_lines`] once a period:
//!
//! ```
//! use std::time::Duration;
//! use whinhill_reports::{Figures, ReportAggregator, Key, Limits, Line, Report};
//! let mut aggregator = ReportAggregator::new(Limits { period: Duration::from_secs(1), ..Limits::default() }, 1);
//! let s = Duration::from_secs;
//! aggregator.stream_opened(s(0), 7, 0);
//! let line = Line { key: Key::Slice { slice: 3, method: 0 }, figures: Figures { tries: 40, ..Figures::default() } };
//! aggregator.add_report(s(1), Report { proxy: 7, zone: 0, interval: Some(s(1)), unresolved_lines: 0, lines: vec![line] });
//! let lines = aggregator.output_due_lines(s(2));
//! assert_eq!((lines[0].figures.tries, lines[0].interval), (40, s(1)));
//! assert!(aggregator.ledger().conserved(aggregator.held_tries()));
//! ```
//!
//! A report's interval is mapped to the local clock ([`ProxyClock`]). Counts far above those of other proxies are
//! accepted in part ([`RateFilter`]). A report that is too long is downsampled with a known error ([`downsample`]). Its
//! lines are then merged by key into the periods that they cover. The [`Ledger`] accounts for every reported try at any
//! time. `docs/load-reports.md` compares the alternatives.

mod aggregator;
mod clock;
mod ledger;
mod rate_filter;
mod sample;

pub use aggregator::{IntakeStats, Limits, MergedLine, ReportAggregator, ReportingState};
pub use clock::{PlacedInterval, ProxyClock};
pub use ledger::Ledger;
pub use rate_filter::{PeerRates, RateFilter};
pub use sample::{downsample, Downsampled};

use std::time::Duration;
use whinhill::interface::{LoadReport, MethodId, ProxyId, SliceId, ZoneId};

/// What the figures of a line are counted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// Tries that proxies of a zone sent to a server.
    Server { server: usize, zone: ZoneId },
    /// Tries of a method for a slice.
    Slice { slice: SliceId, method: MethodId },
}

/// Sums over an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// All tries.
    pub tries: u64,
    /// Tries without a successful answer.
    pub lost: u64,
    /// Tries that succeeded.
    pub ok: u64,
    /// The sum of the waiting times of the tries in `ok`, in milliseconds.
    pub wait_ms: f64,
    /// The load that the server reported last.
    pub load: LoadReport,
}

impl Figures {
    /// Adds the counts of `other`, and takes its load values where it has any.
    pub fn add(&mut self, other: &Figures) {
        self.tries += other.tries;
        self.lost += other.lost;
        self.ok += other.ok;
        self.wait_ms += other.wait_ms;
        self.load = other.load_or(self.load);
    }

    /// The load values; a missing one is taken from `older`.
    fn load_or(&self, older: LoadReport) -> LoadReport {
        LoadReport {
            cpu: self.load.cpu.or(older.cpu),
            in_flight: self.load.in_flight.or(older.in_flight),
            queued: self.load.queued.or(older.queued),
            service_time: self.load.service_time.or(older.service_time),
        }
    }

    /// The figures of the part of the interval between the fractions `from` and `to`. A count is the rounded count up
    /// to the end minus the rounded count up to the start, so that adjacent parts add up exactly to the whole.
    fn portion(&self, from: f64, to: f64) -> Figures {
        let cut = |count: u64| {
            let at = |share: f64| (count as f64 * share.clamp(0.0, 1.0)).round() as u64;
            at(to) - at(from)
        };
        let share = (to - from).clamp(0.0, 1.0);
        Figures {
            tries: cut(self.tries),
            lost: cut(self.lost),
            ok: cut(self.ok),
            wait_ms: self.wait_ms * share,
            load: self.load,
        }
    }
}

/// One line of a report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// What the line counts.
    pub key: Key,
    /// The counts.
    pub figures: Figures,
}

/// One proxy's report.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The proxy that reports.
    pub proxy: ProxyId,
    /// The proxy's zone.
    pub zone: ZoneId,
    /// The length of the reporting interval by the proxy's clock; `None` or zero if the report does not state it.
    pub interval: Option<Duration>,
    /// The number of lines left out, because they name unknown servers or slices of other assigners.
    pub unresolved_lines: u64,
    /// The lines that could be resolved.
    pub lines: Vec<Line>,
}
