//! What operators may ask of a running assigner, and what it answers. JSON both ways.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use whinhill::interface::SliceId;
use whinhill_tables::rollback::Progress;
use whinhill_tables::{Author, SliceTable};

/// The path of the one method, on the listener for operators.
pub const ASK_PATH: &str = "/whinhill.admin.v1.Tables/Ask";

/// A version as it is named.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    Version(u64),
    /// The newest that stood at a time by the wall.
    UnixMs(u64),
    /// The newest one marked good, before the current one.
    LastGood,
    Current,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// The newest versions, newest first.
    History {
        most: usize,
    },
    Show {
        version: Target,
        slices: Option<BTreeSet<SliceId>>,
    },
    Diff {
        from: Target,
        to: Target,
    },
    PinGood {
        version: Target,
    },
    Rollback {
        to: Target,
        slices: Option<BTreeSet<SliceId>>,
        by: String,
        dry_run: bool,
        within_ms: u64,
    },
    Rollbacks,
    /// Who holds what.
    Proxies,
    /// What is known of load, and by whom.
    Reports,
}

/// The intake of load reports. Counts are of tries since the start, but for reports, lines and strange ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportsAnswer {
    pub reports: u64,
    pub offered: u64,
    pub given: u64,
    pub waiting: u64,
    pub late: u64,
    pub repeated: u64,
    pub doubted: u64,
    pub foreign: u64,
    pub strange: u64,
    pub mended: u64,
    pub thinned: u64,
    /// Whether all that was offered is in one of these places.
    pub conserved: bool,
    /// At the last turn: lines with something to give, given, and waiting since they are known too badly.
    pub lines_ready: usize,
    pub lines_given: usize,
    pub lines_unsure: usize,
    /// The greatest standard error of a line given, as a share of its tries.
    pub error_most: f64,
    /// The part of the expected load that was heard.
    pub heard: f64,
    pub blind: bool,
    pub lag_ms_middle: u64,
    pub lag_ms_most: u64,
    /// The worst first.
    pub proxies: Vec<ReportsLine>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportsLine {
    pub proxy: String,
    /// heard, quiet, silent or cut.
    pub hearing: String,
    pub late_ms: u64,
    pub tries_per_s: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionLine {
    pub number: u64,
    /// In hexadecimal: the same at every holder of the same set.
    pub hash: String,
    pub unix_ms: u64,
    pub author: Author,
    pub cause: String,
    pub good: bool,
    pub slices: usize,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SliceLine {
    pub slice: SliceId,
    pub was: Option<SliceTable>,
    pub now: Option<SliceTable>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanLine {
    pub slice: SliceId,
    /// stands, moves, waits or refused.
    pub verdict: String,
    pub to: Option<String>,
    pub why: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RollbackLine {
    pub id: u64,
    pub to: u64,
    pub by: String,
    pub progress: Progress,
    pub finished: bool,
    /// Slices that were abandoned, and why; the first few.
    pub abandoned: Vec<(SliceId, String)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxyLine {
    pub proxy: String,
    /// The newest version of which it has acknowledged everything.
    pub acked: Option<u64>,
    /// Versions and time that it is behind.
    pub behind: u64,
    pub behind_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    History {
        current: u64,
        compacted: u64,
        versions: Vec<VersionLine>,
    },
    Set {
        number: u64,
        hash: String,
        slices: Vec<(SliceId, SliceTable)>,
    },
    Diff {
        from: u64,
        to: u64,
        slices: Vec<SliceLine>,
    },
    Pinned {
        number: u64,
    },
    Plan {
        id: Option<u64>,
        to: u64,
        slices: Vec<PlanLine>,
        levels_left: usize,
    },
    Rollbacks(Vec<RollbackLine>),
    Proxies {
        current: u64,
        proxies: Vec<ProxyLine>,
    },
    Reports(Box<ReportsAnswer>),
    /// It can't be; in one line.
    Refused(String),
}
