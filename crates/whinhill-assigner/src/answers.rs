//! Answers operators from the history, and begins what they order. No I/O, no clock.

use std::collections::BTreeSet;
use std::time::Duration;

use whinhill::interface::SliceId;
use whinhill_tables::rollback::{tightened, Fleet, Verdict};
use whinhill_tables::{differing, Held, TableSet};

use crate::ask::{Answer, Ask, PlanLine, RollbackLine, SliceLine, Target, VersionLine};
use crate::chronicle::Chronicle;

/// Lines of one answer; whoever wants more names slices or versions.
const LINES_MOST: usize = 10_000;
/// Reasons shown of one rollback.
const REASONS_MOST: usize = 20;
/// The longest that a rollback may go on wishing.
const WITHIN_MOST: Duration = Duration::from_secs(24 * 3600);

pub fn answer(
    chronicle: &mut Chronicle,
    published: &TableSet,
    fleet: &impl Fleet,
    now: Duration,
    ask: Ask,
) -> Answer {
    match ask {
        Ask::History { most } => versions(chronicle, most),
        Ask::Show { version, slices } => match rebuilt(chronicle, version) {
            Ok(held) => {
                let wanted = |slice: &SliceId| slices.as_ref().is_none_or(|only| only.contains(slice));
                let rows = held.set().iter().filter(|(slice, _)| wanted(slice)).take(LINES_MOST);
                Answer::Set {
                    number: held.id().number,
                    hash: format!("{:016x}", held.id().hash),
                    slices: rows.map(|(slice, table)| (*slice, table.clone())).collect(),
                }
            }
            Err(why) => Answer::Refused(why),
        },
        Ask::Diff { from, to } => match (rebuilt(chronicle, from), rebuilt(chronicle, to)) {
            (Ok(from), Ok(to)) => difference(&from, &to),
            (Err(why), _) | (_, Err(why)) => Answer::Refused(why),
        },
        Ask::PinGood { version } => match number(chronicle, version) {
            Ok(number) if chronicle.pin_good(number) => Answer::Pinned { number },
            Ok(number) => Answer::Refused(format!("version {number} is not kept")),
            Err(why) => Answer::Refused(why),
        },
        Ask::Rollback { to, slices, by, dry_run, within_ms } => {
            let within = Duration::from_millis(within_ms).min(WITHIN_MOST);
            let result = number(chronicle, to).and_then(|to| {
                roll_back(chronicle, published, fleet, now, Order { to, slices, by, dry_run, within })
            });
            result.unwrap_or_else(Answer::Refused)
        }
        Ask::Rollbacks => rollbacks(chronicle),
        Ask::Reports => Answer::Refused("reports are told of by the intake".into()),
        Ask::Proxies => Answer::Refused("proxies are told of by the streams".into()),
    }
}

fn versions(chronicle: &Chronicle, most: usize) -> Answer {
    let history = chronicle.history();
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
        versions: history.entries().rev().take(most.min(LINES_MOST)).map(line).collect(),
    }
}

/// The number of a version that is kept.
fn number(chronicle: &Chronicle, target: Target) -> Result<u64, String> {
    let history = chronicle.history();
    match target {
        Target::Version(number) => Ok(number),
        Target::Current => Ok(history.current().id().number),
        Target::UnixMs(unix_ms) => {
            history.at(unix_ms).ok_or_else(|| "no version that is kept stood at that time".to_string())
        }
        Target::LastGood => {
            history.last_good().ok_or_else(|| "no version before this one is marked good".to_string())
        }
    }
}

fn rebuilt(chronicle: &Chronicle, target: Target) -> Result<Held, String> {
    let number = number(chronicle, target)?;
    chronicle.history().rebuild(number).ok_or_else(|| format!("version {number} is not kept"))
}

fn difference(from: &Held, to: &Held) -> Answer {
    let line = |slice: SliceId| SliceLine {
        slice,
        was: from.set().get(&slice).cloned(),
        now: to.set().get(&slice).cloned(),
    };
    let slices = differing(from.set(), to.set()).into_iter().take(LINES_MOST).map(line).collect();
    Answer::Diff { from: from.id().number, to: to.id().number, slices }
}

struct Order {
    to: u64,
    slices: Option<BTreeSet<SliceId>>,
    by: String,
    dry_run: bool,
    within: Duration,
}

fn roll_back(
    chronicle: &mut Chronicle,
    published: &TableSet,
    fleet: &impl Fleet,
    now: Duration,
    order: Order,
) -> Result<Answer, String> {
    let Order { to, slices, by, dry_run, within } = order;
    if by.trim().is_empty() || by.len() > 200 {
        return Err("who orders it must be said, in 1 to 200 bytes".into());
    }
    let run = chronicle.dry_run(to, published, slices.as_ref(), fleet).map_err(|e| e.to_string())?;
    let old = chronicle.history().rebuild(to).ok_or_else(|| format!("version {to} is not kept"))?;
    let levels_left = tightened(old.set(), published, slices.as_ref()).len();
    let id = match dry_run {
        true => None,
        false => Some(chronicle.roll_back(to, &by, &run, now, within).map_err(|e| e.to_string())?),
    };
    let line = |(&slice, verdict): (&SliceId, &Verdict)| {
        let (verdict, to, why) = match verdict {
            Verdict::Stands => ("stands", None, None),
            Verdict::Move { to } => ("moves", Some(to.to_string()), None),
            Verdict::PutOff { to, why } => ("waits", Some(to.to_string()), Some(why.to_string())),
            Verdict::Refused(why) => ("refused", None, Some(why.to_string())),
        };
        PlanLine { slice, verdict: verdict.to_string(), to, why }
    };
    Ok(Answer::Plan { id, to, slices: run.iter().map(line).take(LINES_MOST).collect(), levels_left })
}

fn rollbacks(chronicle: &Chronicle) -> Answer {
    let line = |rollback: &whinhill_tables::rollback::Rollback| RollbackLine {
        id: rollback.id,
        to: rollback.to,
        by: rollback.by.clone(),
        progress: rollback.progress(),
        finished: rollback.finished(),
        abandoned: rollback.abandoned().take(REASONS_MOST).map(|(s, why)| (s, why.to_string())).collect(),
    };
    Answer::Rollbacks(chronicle.rollbacks().iter().map(line).collect())
}
