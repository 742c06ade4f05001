//! Defects that are put into the stand-ins on purpose, to test that the audit detects their
//! consequences.

use std::str::FromStr;

use super::script::{parse_name, UnknownName};

/// A defect of the stand-ins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Answers at the assigners' addresses are cut off.
    LostAnswers,
    /// Answers at the assigners' addresses come late.
    LateAnswers,
    /// The line of one slice does not reach the proxies.
    NoLine,
    /// Lines at draining servers stay.
    LateDrain,
    /// Half of the proxies keep a former line, open for writes.
    TwoWriters,
    /// Orders that end a line or set a level do not reach the proxies for slices at silent servers.
    LostEnds,
    /// Levels are ignored except those that stop writes.
    IgnoredLevels,
    /// Proxies send everything to the server that started last.
    ColdRush,
    /// Each call is queued in the channel [`REPEAT_COUNT`] times.
    RepeatedOrders,
    /// Orders that stop writes do not reach one proxy, and acknowledgement requests count as
    /// acknowledged by proxies that they do not reach.
    EarlyAnswers,
    /// Discovery never lists servers that have started since the beginning.
    HiddenServers,
    /// The configuration says that servers may be probed, whatever the site allows.
    UndeclaredProbes,
}

/// How often each call is queued in a sabotaged channel.
pub const REPEAT_COUNT: usize = 500;

/// All defects with their names on the command line.
pub const SABOTAGES: [(&str, Sabotage); 12] = [
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
    ("hidden-servers", Sabotage::HiddenServers),
    ("undeclared-probes", Sabotage::UndeclaredProbes),
];

impl FromStr for Sabotage {
    type Err = UnknownName;

    fn from_str(name: &str) -> Result<Self, UnknownName> {
        parse_name(name, &SABOTAGES)
    }
}
