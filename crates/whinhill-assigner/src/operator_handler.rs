//! Answers operators' requests from the history, and starts the rollbacks that they request. No I/O, no clock.

use std::collections::BTreeSet;
use std::time::Duration;

use whinhill::interface::SliceId;
use whinhill_tables::rollback::{lowered_levels, PlannedAction, ServerView};
use whinhill_tables::{differing_slices, NumberedSet, TableSet};

use crate::history_recorder::Chronicle;
use crate::operator_api::{Answer, Ask, PlanLine, RollbackLine, SliceLine, Target, VersionLine};

/// The most lines in one answer; for more, an operator selects slices or versions.
const MAX_LINES: usize = 10_000;
/// The most abandoned slices shown for one rollback.
const MAX_REASONS: usize = 20;
/// The longest time that a rollback may keep requesting moves.
const MAX_ROLLBACK_DURATION: Duration = Duration::from_secs(24 * 3600);

/// Carries out a request and returns its answer.
pub fn answer(
    recorder: &mut Chronicle,
    published: &TableSet,
    fleet: &impl ServerView,
    now: Duration,
    request: Ask,
) -> Answer {
    match request {
        Ask::History { most } => history_answer(recorder, most),
        Ask::Show { version, slices } => match rebuild(recorder, version) {
            Ok(version) => {
                let is_wanted = |slice: &SliceId| slices.as_ref().is_none_or(|wanted| wanted.contains(slice));
                let rows = version.set().iter().filter(|(slice, _)| is_wanted(slice)).take(MAX_LINES);
                Answer::Set {
                    number: version.id().number,
                    hash: format!("{:016x}", version.id().hash),
                    slices: rows.map(|(slice, table)| (*slice, table.clone())).collect(),
                }
            }
            Err(reason) => Answer::Refused(reason),
        },
        Ask::Diff { from, to } => match (rebuild(recorder, from), rebuild(recorder, to)) {
            (Ok(from), Ok(to)) => diff_answer(&from, &to),
            (Err(reason), _) | (_, Err(reason)) => Answer::Refused(reason),
        },
        Ask::PinGood { version } => match version_number(recorder, version) {
            Ok(number) if recorder.pin_good(number) => Answer::Pinned { number },
            Ok(number) => Answer::Refused(format!("version {number} is not kept")),
            Err(reason) => Answer::Refused(reason),
        },
        Ask::Rollback { to, slices, by, dry_run, within_ms } => {
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
            result.unwrap_or_else(Answer::Refused)
        }
        Ask::Rollbacks => rollbacks_answer(recorder),
        Ask::Reports => Answer::Refused("requests for reports are answered by the intake".into()),
        Ask::Proxies => Answer::Refused("requests for proxies are answered by the streams".into()),
    }
}

/// The newest versions.
fn history_answer(recorder: &Chronicle, most: usize) -> Answer {
    let history = recorder.history();
    let line = |entry: &whinhill_tables::Entry| VersionLine {
        number: entry.id.number,
        hash: format!("{:016x}", entry.id.hash),
        unix_ms: entry.unix_ms,
        author: entry.author.clone(),
        cause: entry.cause.clone(),
        good: entry.good,
        slices: entry.slices().count(),
    };
    Answer::History {
        current: history.current().id().number,
        compacted: history.compacted(),
        versions: history.entries().rev().take(most.min(MAX_LINES)).map(line).collect(),
    }
}

/// The number of the version that an operator names.
fn version_number(recorder: &Chronicle, target: Target) -> Result<u64, String> {
    let history = recorder.history();
    match target {
        Target::Version(number) => Ok(number),
        Target::Current => Ok(history.current().id().number),
        Target::UnixMs(unix_ms) => history
            .version_at(unix_ms)
            .ok_or_else(|| "no version in the history was current at that time".to_string()),
        Target::LastGood => {
            history.last_good().ok_or_else(|| "no version before this one is marked good".to_string())
        }
    }
}

/// The tables of the version that an operator names.
fn rebuild(recorder: &Chronicle, target: Target) -> Result<NumberedSet, String> {
    let number = version_number(recorder, target)?;
    recorder.history().rebuild(number).ok_or_else(|| format!("version {number} is not kept"))
}

/// The slices that differ between two versions.
fn diff_answer(from: &NumberedSet, to: &NumberedSet) -> Answer {
    let line = |slice: SliceId| SliceLine {
        slice,
        was: from.set().get(&slice).cloned(),
        now: to.set().get(&slice).cloned(),
    };
    let slices = differing_slices(from.set(), to.set()).into_iter().take(MAX_LINES).map(line).collect();
    Answer::Diff { from: from.id().number, to: to.id().number, slices }
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
    recorder: &mut Chronicle,
    published: &TableSet,
    fleet: &impl ServerView,
    now: Duration,
    request: RollbackRequest,
) -> Result<Answer, String> {
    let RollbackRequest { to, slices, by, dry_run, within } = request;
    if by.trim().is_empty() || by.len() > 200 {
        return Err("the requester must be named, in 1 to 200 bytes".into());
    }
    let plan = recorder.dry_run(to, published, slices.as_ref(), fleet).map_err(|e| e.to_string())?;
    let version = recorder.history().rebuild(to).ok_or_else(|| format!("version {to} is not kept"))?;
    let levels_left = lowered_levels(version.set(), published, slices.as_ref()).len();
    let id = match dry_run {
        true => None,
        false => Some(recorder.roll_back(to, &by, &plan, now, within).map_err(|e| e.to_string())?),
    };
    let line = |(&slice, verdict): (&SliceId, &PlannedAction)| {
        let (verdict, to, why) = match verdict {
            PlannedAction::Stands => ("stands", None, None),
            PlannedAction::Move { to } => ("moves", Some(to.to_string()), None),
            PlannedAction::PutOff { to, why } => ("waits", Some(to.to_string()), Some(why.to_string())),
            PlannedAction::Refused(why) => ("refused", None, Some(why.to_string())),
        };
        PlanLine { slice, verdict: verdict.to_string(), to, why }
    };
    Ok(Answer::Plan { id, to, slices: plan.iter().map(line).take(MAX_LINES).collect(), levels_left })
}

/// The remembered rollbacks.
fn rollbacks_answer(recorder: &Chronicle) -> Answer {
    let line = |rollback: &whinhill_tables::rollback::Rollback| RollbackLine {
        id: rollback.id,
        to: rollback.to,
        by: rollback.by.clone(),
        progress: rollback.progress(),
        finished: rollback.finished(),
        abandoned: rollback.abandoned().take(MAX_REASONS).map(|(s, why)| (s, why.to_string())).collect(),
    };
    Answer::Rollbacks(recorder.rollbacks().iter().map(line).collect())
}
