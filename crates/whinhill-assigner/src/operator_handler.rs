//! Answers operators' requests from the history, and starts the rollbacks that they request. No I/O, no clock.

use std::collections::BTreeSet;
use std::time::Duration;

use whinhill::interface::SliceId;
use whinhill_tables::rollback::{lowered_levels, PlannedAction, ServerView};
use whinhill_tables::{differing_slices, NumberedSet, TableSet};

use crate::history_recorder::HistoryRecorder;
use crate::operator_api::{
    OperatorRequest, OperatorResponse, RollbackStatus, SliceDiff, SlicePlan, VersionSelector, VersionSummary,
};

/// The most lines in one answer; for more, an operator selects slices or versions.
const MAX_LINES: usize = 10_000;
/// The most abandoned slices shown for one rollback.
const MAX_REASONS: usize = 20;
/// The longest time that a rollback may keep requesting moves.
const MAX_ROLLBACK_DURATION: Duration = Duration::from_secs(24 * 3600);

/// Carries out a request and returns its answer.
pub fn answer(
    recorder: &mut HistoryRecorder,
    published: &TableSet,
    fleet: &impl ServerView,
    now: Duration,
    request: OperatorRequest,
) -> OperatorResponse {
    match request {
        OperatorRequest::History { most } => history_answer(recorder, most),
        OperatorRequest::Show { version, slices } => match rebuild(recorder, version) {
            Ok(version) => {
                let is_wanted = |slice: &SliceId| slices.as_ref().is_none_or(|wanted| wanted.contains(slice));
                let rows = version.set().iter().filter(|(slice, _)| is_wanted(slice)).take(MAX_LINES);
                OperatorResponse::Set {
                    number: version.id().number,
                    hash: format!("{:016x}", version.id().hash),
                    slices: rows.map(|(slice, table)| (*slice, table.clone())).collect(),
                }
            }
            Err(reason) => OperatorResponse::Refused(reason),
        },
        OperatorRequest::Diff { from, to } => match (rebuild(recorder, from), rebuild(recorder, to)) {
            (Ok(from), Ok(to)) => diff_answer(&from, &to),
            (Err(reason), _) | (_, Err(reason)) => OperatorResponse::Refused(reason),
        },
        OperatorRequest::PinGood { version } => match version_number(recorder, version) {
            Ok(number) if recorder.mark_good(number) => OperatorResponse::Pinned { number },
            Ok(number) => OperatorResponse::Refused(format!("version {number} is not kept")),
            Err(reason) => OperatorResponse::Refused(reason),
        },
        OperatorRequest::Rollback { to, slices, by, dry_run, within_ms } => {
            let within = Duration::from_millis(within_ms).min(MAX_ROLLBACK_DURATION);
            let result = version_number(recorder, to).and_then(|to| {
                roll_back(
                    recorder,
                    published,
                    fleet,
                    now,
                    RollbackRequest { to, slices, by, dry_run, within },
                )
            });
            result.unwrap_or_else(OperatorResponse::Refused)
        }
        OperatorRequest::Rollbacks => rollbacks_answer(recorder),
        OperatorRequest::Reports => OperatorResponse::Refused("reports are told of by the intake".into()),
        OperatorRequest::Proxies => OperatorResponse::Refused("proxies are told of by the streams".into()),
    }
}

/// The newest versions.
fn history_answer(recorder: &HistoryRecorder, most: usize) -> OperatorResponse {
    let history = recorder.history();
    let line = |entry: &whinhill_tables::Entry| VersionSummary {
        number: entry.id.number,
        hash: format!("{:016x}", entry.id.hash),
        unix_ms: entry.unix_ms,
        author: entry.author.clone(),
        cause: entry.cause.clone(),
        good: entry.good,
        slices: entry.slices().count(),
    };
    OperatorResponse::History {
        current: history.current().id().number,
        compacted: history.compacted(),
        versions: history.entries().rev().take(most.min(MAX_LINES)).map(line).collect(),
    }
}

/// The number of the version that an operator names.
fn version_number(recorder: &HistoryRecorder, target: VersionSelector) -> Result<u64, String> {
    let history = recorder.history();
    match target {
        VersionSelector::Version(number) => Ok(number),
        VersionSelector::Current => Ok(history.current().id().number),
        VersionSelector::UnixMs(unix_ms) => history
            .version_at(unix_ms)
            .ok_or_else(|| "no version that is kept stood at that time".to_string()),
        VersionSelector::LastGood => {
            history.last_good().ok_or_else(|| "no version before this one is marked good".to_string())
        }
    }
}

/// The tables of the version that an operator names.
fn rebuild(recorder: &HistoryRecorder, target: VersionSelector) -> Result<NumberedSet, String> {
    let number = version_number(recorder, target)?;
    recorder.history().rebuild(number).ok_or_else(|| format!("version {number} is not kept"))
}

/// The slices that differ between two versions.
fn diff_answer(from: &NumberedSet, to: &NumberedSet) -> OperatorResponse {
    let line = |slice: SliceId| SliceDiff {
        slice,
        was: from.set().get(&slice).cloned(),
        now: to.set().get(&slice).cloned(),
    };
    let slices = differing_slices(from.set(), to.set()).into_iter().take(MAX_LINES).map(line).collect();
    OperatorResponse::Diff { from: from.id().number, to: to.id().number, slices }
}

/// A request for a rollback, with the version's number.
struct RollbackRequest {
    to: u64,
    slices: Option<BTreeSet<SliceId>>,
    by: String,
    dry_run: bool,
    within: Duration,
}

/// Plans a rollback and, unless it is a dry run, starts it.
fn roll_back(
    recorder: &mut HistoryRecorder,
    published: &TableSet,
    fleet: &impl ServerView,
    now: Duration,
    request: RollbackRequest,
) -> Result<OperatorResponse, String> {
    let RollbackRequest { to, slices, by, dry_run, within } = request;
    if by.trim().is_empty() || by.len() > 200 {
        return Err("who orders it must be said, in 1 to 200 bytes".into());
    }
    let plan = recorder.dry_run(to, published, slices.as_ref(), fleet).map_err(|e| e.to_string())?;
    let version = recorder.history().rebuild(to).ok_or_else(|| format!("version {to} is not kept"))?;
    let levels_left = lowered_levels(version.set(), published, slices.as_ref()).len();
    let id = match dry_run {
        true => None,
        false => Some(recorder.start_rollback(to, &by, &plan, now, within).map_err(|e| e.to_string())?),
    };
    let line = |(&slice, verdict): (&SliceId, &PlannedAction)| {
        let (verdict, to, why) = match verdict {
            PlannedAction::Stands => ("stands", None, None),
            PlannedAction::Move { to } => ("moves", Some(to.to_string()), None),
            PlannedAction::PutOff { to, why } => ("waits", Some(to.to_string()), Some(why.to_string())),
            PlannedAction::Refused(why) => ("refused", None, Some(why.to_string())),
        };
        SlicePlan { slice, verdict: verdict.to_string(), to, why }
    };
    Ok(OperatorResponse::Plan {
        id,
        to,
        slices: plan.iter().map(line).take(MAX_LINES).collect(),
        levels_left,
    })
}

/// The remembered rollbacks.
fn rollbacks_answer(recorder: &HistoryRecorder) -> OperatorResponse {
    let line = |rollback: &whinhill_tables::rollback::Rollback| RollbackStatus {
        id: rollback.id,
        to: rollback.to,
        by: rollback.by.clone(),
        progress: rollback.progress(),
        finished: rollback.finished(),
        abandoned: rollback.abandoned().take(MAX_REASONS).map(|(s, why)| (s, why.to_string())).collect(),
    };
    OperatorResponse::Rollbacks(recorder.rollbacks().iter().map(line).collect())
}
