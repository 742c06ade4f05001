//! What proxies tell of their load, made into a bounded number of lines for the decision module. No I/O, no clock.
//!
//! The one call that matters is [`Intake::take`] for each report, and [`Intake::give`] once a period:
//!
//! ```
//! use std::time::Duration;
//! use whinhill_reports::{Figures, Intake, Key, Limits, Line, Told};
//! let mut intake = Intake::new(Limits { period: Duration::from_secs(1), ..Limits::default() }, 1);
//! let s = Duration::from_secs;
//! intake.opened(s(0), 7, 0);
//! let line = Line { key: Key::Came { slice: 3, method: 0 }, figures: Figures { tries: 40, ..Figures::default() } };
//! intake.take(s(1), Told { proxy: 7, zone: 0, stretch: Some(s(1)), strange: 0, lines: vec![line] });
//! let given = intake.give(s(2));
//! assert_eq!((given[0].figures.tries, given[0].span), (40, s(1)));
//! assert!(intake.ledger().conserved(intake.waiting()));
//! ```
//!
//! A report is put where it happened ([`Clock`]), believed as far as its proxy has earned ([`Trust`]), thinned with a
//! known error where it is too long ([`thin`]), and merged by key into the stretch that it belongs to. Every try that
//! was told is in one of the [`Ledger`]'s places at any time. `docs/load-reports.md` weighs the ways.

mod clock;
mod intake;
mod ledger;
mod sample;
mod trust;

pub use clock::{Clock, Placed};
pub use intake::{Given, Hearing, Intake, Limits, Shown};
pub use ledger::Ledger;
pub use sample::{thin, Thinned};
pub use trust::Trust;

use std::time::Duration;
use whinhill::interface::{LoadReport, MethodId, ProxyId, SliceId, ZoneId};

/// What a line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// What proxies of a zone met at a server.
    Met { server: usize, zone: ZoneId },
    /// What came for a slice.
    Came { slice: SliceId, method: MethodId },
}

/// Sums over a stretch.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    pub tries: u64,
    pub lost: u64,
    pub oks: u64,
    /// The waits of `oks`, added up, in milliseconds.
    pub wait_ms: f64,
    /// What the server told of itself last.
    pub load: LoadReport,
}

impl Figures {
    pub fn add(&mut self, other: &Figures) {
        self.tries += other.tries;
        self.lost += other.lost;
        self.oks += other.oks;
        self.wait_ms += other.wait_ms;
        self.load = other.load_over(self.load);
    }

    /// Its servers' own figures, and where one is missing the older one.
    fn load_over(&self, older: LoadReport) -> LoadReport {
        LoadReport {
            cpu: self.load.cpu.or(older.cpu),
            in_hand: self.load.in_hand.or(older.in_hand),
            waiting: self.load.waiting.or(older.waiting),
            service: self.load.service.or(older.service),
        }
    }

    /// What falls on a part of the stretch, by counts up to its end less counts up to its beginning: parts that lie
    /// side by side add up to the whole, try by try.
    fn part(&self, from: f64, to: f64) -> Figures {
        let cut = |count: u64| {
            let at = |share: f64| (count as f64 * share.clamp(0.0, 1.0)).round() as u64;
            at(to) - at(from)
        };
        let share = (to - from).clamp(0.0, 1.0);
        Figures {
            tries: cut(self.tries),
            lost: cut(self.lost),
            oks: cut(self.oks),
            wait_ms: self.wait_ms * share,
            load: self.load,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub key: Key,
    pub figures: Figures,
}

/// One proxy's report.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub proxy: ProxyId,
    pub zone: ZoneId,
    /// The time that it covers, by the proxy's own clock; `None` or zero where it doesn't say.
    pub stretch: Option<Duration>,
    /// Lines that could not be made out: names that nobody knows, slices of others.
    pub strange: u64,
    pub lines: Vec<Line>,
}
