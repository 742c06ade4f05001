//! Defects put into the stand-ins on purpose, to show that the auditor finds what they cause.

use std::str::FromStr;

use super::script::{by_name, UnknownName};

/// A defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Answers at the assigners' addresses are cut off.
    LostAnswers,
    /// They come late.
    LateAnswers,
    /// One slice's line is lost on its way to the proxies.
    NoLine,
    /// Lines at draining servers stay.
    LateDrain,
    /// Half of the proxies keep a former line, open for writes.
    TwoWriters,
    /// Ends of lines, and levels, of slices at silent servers are lost on their way to the proxies.
    LostEnds,
    /// Levels are ignored, but for those that stop writes.
    IgnoredLevels,
    /// Proxies send everything to the server that started last.
    ColdRush,
    /// Each call waits in the channel [`REPEATED`] times.
    RepeatedOrders,
    /// Orders that stop writes do not reach one proxy, and marks count as answered by proxies that they do not reach.
    EarlyAnswers,
}

/// How often a sabotaged channel has each call.
pub const REPEATED: usize = 500;

/// All of them, with the names by which they are asked for.
pub const SABOTAGES: [(&str, Sabotage); 10] = [
    ("lost-answers", Sabotage::LostAnswers),
    ("late-answers", Sabotage::LateAnswers),
    ("no-line", Sabotage::NoLine),
    ("late-drain", Sabotage::LateDrain),
    ("two-writers", Sabotage::TwoWriters),
    ("lost-ends", Sabotage::LostEnds),
    ("ignored-levels", Sabotage::IgnoredLevels),
    ("cold-rush", Sabotage::ColdRush),
    ("repeated-orders", Sabotage::RepeatedOrders),
    ("early-answers", Sabotage::EarlyAnswers),
];

impl FromStr for Sabotage {
    type Err = UnknownName;

    fn from_str(name: &str) -> Result<Self, UnknownName> {
        by_name(name, &SABOTAGES)
    }
}
