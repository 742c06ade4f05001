//! Operators' requests to a running assigner and its answers, both in JSON.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use whinhill::interface::SliceId;
use whinhill_tables::rollback::Progress;
use whinhill_tables::{Author, SliceTable};

/// The path of the one method, on the listener for operators.
pub const OPERATOR_METHOD_PATH: &str = "/whinhill.admin.v1.Tables/Ask";

/// How an operator names a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionSelector {
    /// By its number.
    Version(u64),
    /// The version that was current at a wall-clock time, in milliseconds since 1970.
    UnixMs(u64),
    /// The newest one marked good, before the current one.
    LastGood,
    /// The current one.
    Current,
}

/// An operator's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorRequest {
    /// The newest versions, newest first.
    History { most: usize },
    /// The tables of a version; of all slices, or of those listed.
    Show { version: VersionSelector, slices: Option<BTreeSet<SliceId>> },
    /// The slices whose tables differ between two versions.
    Diff { from: VersionSelector, to: VersionSelector },
    /// Marks a version as good.
    PinGood { version: VersionSelector },
    /// Moves slices back to their owners of a version, or shows what that would do.
    Rollback {
        to: VersionSelector,
        slices: Option<BTreeSet<SliceId>>,
        /// Who requests it.
        by: String,
        dry_run: bool,
        /// How long the rollback may keep requesting moves.
        within_ms: u64,
    },
    /// All remembered rollbacks.
    Rollbacks,
    /// The version that each proxy has acknowledged.
    Proxies,
    /// The state of load reporting.
    Reports,
}

/// The state of load reporting. Counts are since the start. `reports`, `mended` and `thinned` count reports, `strange`
/// counts lines, and the others count tries, as in [`whinhill_reports::Ledger`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReportStatus {
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
    /// Whether all tries offered are in exactly one of these counts.
    pub conserved: bool,
    /// Lines with something to pass on, at the last batch.
    pub lines_ready: usize,
    /// Lines passed on to the module, at the last batch.
    pub lines_given: usize,
    /// Lines held back because their figures are too uncertain, at the last batch.
    pub lines_unsure: usize,
    /// The greatest standard error of a line passed on, as a share of its tries.
    pub error_most: f64,
    /// The part of the expected load that was reported.
    pub heard: f64,
    /// Too little load is reported to decide anything on it.
    pub blind: bool,
    /// The median and the greatest lag of the proxies that report.
    pub lag_ms_middle: u64,
    pub lag_ms_most: u64,
    /// All proxies, the worst first.
    pub proxies: Vec<ProxyLoadStatus>,
}

/// The load reporting of one proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxyLoadStatus {
    pub proxy: String,
    /// The state of its reports: heard, quiet, silent or cut.
    pub hearing: String,
    /// The lag of its last report.
    pub late_ms: u64,
    pub tries_per_s: f64,
}

/// One version of the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionSummary {
    pub number: u64,
    /// In hexadecimal; equal sets have equal hashes everywhere.
    pub hash: String,
    pub unix_ms: u64,
    pub author: Author,
    pub cause: String,
    pub good: bool,
    /// The number of slices that this version changed.
    pub slices: usize,
}

/// A slice whose table differs between two versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SliceDiff {
    pub slice: SliceId,
    pub was: Option<SliceTable>,
    pub now: Option<SliceTable>,
}

/// What a rollback does with one slice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlicePlan {
    pub slice: SliceId,
    /// One of: stands, moves, waits, refused.
    pub verdict: String,
    pub to: Option<String>,
    pub why: Option<String>,
}

/// The progress of one rollback.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RollbackStatus {
    pub id: u64,
    pub to: u64,
    pub by: String,
    pub progress: Progress,
    pub finished: bool,
    /// The first few abandoned slices, with the reason.
    pub abandoned: Vec<(SliceId, String)>,
}

/// The version that one proxy has acknowledged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxyStatus {
    pub proxy: String,
    /// The newest version that it has acknowledged completely.
    pub acked: Option<u64>,
    /// How many versions and milliseconds it is behind.
    pub behind: u64,
    pub behind_ms: u64,
}

/// The answer to an operator's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorResponse {
    History {
        current: u64,
        /// The number of versions compacted so far.
        compacted: u64,
        versions: Vec<VersionSummary>,
    },
    Set {
        number: u64,
        hash: String,
        slices: Vec<(SliceId, SliceTable)>,
    },
    Diff {
        from: u64,
        to: u64,
        slices: Vec<SliceDiff>,
    },
    Pinned {
        number: u64,
    },
    Plan {
        /// The rollback's id; `None` for a dry run.
        id: Option<u64>,
        to: u64,
        slices: Vec<SlicePlan>,
        /// The number of slices whose levels were lower in that version; the rollback leaves them to the module.
        levels_left: usize,
    },
    Rollbacks(Vec<RollbackStatus>),
    Proxies {
        current: u64,
        proxies: Vec<ProxyStatus>,
    },
    Reports(Box<LoadReportStatus>),
    /// The request was refused, with the reason in one line.
    Refused(String),
}
