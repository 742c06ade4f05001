//! What a played day comes to: figures of clients, assigners and proxies, and what the audit found.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use serde::Serialize;
use whinhill_assigner::Status;

use super::load::Measured;
use super::rollbacks::Rollbacks;
use super::{ms, Fleet};
use crate::audit::{audit, Audit, Limits as Rules};
use crate::day::Day;
use crate::record::Seen;

/// What a day comes to. Figures are of loopback.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub seed: u64,
    /// The last figures of each life of each assigner.
    #[serde(skip)]
    pub status: Vec<Status>,
    /// From an assigner's death to the first of its slices in another's charge, and to that one's first grant of one.
    pub taken_over_ms: Option<f64>,
    pub first_grant_ms: Option<f64>,
    pub rules: crate::audit::Rules,
    pub rpcs: u64,
    pub ok_share: f64,
    pub in_time_share: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub writes_executed_twice: u64,
    pub stale_writes: u64,
    pub overlapping_writes: u64,
    pub handovers: u64,
    pub nacks: u64,
    pub reconnects: u64,
    /// Where the day has any.
    pub rollbacks: Option<Rollbacks>,
    pub lines_sent: u64,
    pub backlog_most: u64,
    pub complete: bool,
    /// RPCs that failed in the end, by reason.
    pub failures: BTreeMap<String, u64>,
    pub findings: Vec<String>,
}

impl Outcome {
    pub fn kept(&self) -> bool {
        self.rules.broken() == 0 && self.complete
    }
}

/// What proxies counted over the day.
pub(super) struct ProxyTotals {
    pub(super) rejected: u64,
    pub(super) reconnects: u64,
}

impl Outcome {
    /// Puts together what a fleet that has stopped left behind.
    pub(super) fn of(
        fleet: &Fleet<'_>,
        measured: &Measured,
        proxies: &ProxyTotals,
        rollbacks: Option<Rollbacks>,
    ) -> Self {
        let status = last_status(fleet.assigners.iter().flat_map(|assigner| &assigner.status));
        let sum = |of: fn(&Status) -> u64| status.iter().map(of).sum::<u64>();
        let backlog_most = status.iter().map(|s| s.backlog_most).max().unwrap_or(0);
        let (seen, cut_short) = fleet.record.seen();
        let found: Audit = audit(&seen, &rules(fleet.day), backlog_most);
        let totals = &measured.totals;
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let rpcs = get(&totals.rpcs);
        let share = |count: u64| (count as f64 / rpcs.max(1) as f64 * 1e4).round() / 1e4;
        let micros = measured.micros.lock().unwrap_or_else(PoisonError::into_inner);
        let quantile_ms = |quantile: f64| micros.value_at_quantile(quantile) as f64 / 1e3;
        let failures = totals.failures.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let (taken_over_ms, first_grant_ms) = after_death(&seen);
        Outcome {
            seed: fleet.day.seed,
            taken_over_ms,
            first_grant_ms,
            rules: found.rules,
            rpcs,
            ok_share: share(get(&totals.ok)),
            in_time_share: share(get(&totals.in_time)),
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            writes_executed_twice: found.writes_executed_twice,
            stale_writes: found.stale_writes,
            overlapping_writes: found.overlapping_writes,
            handovers: found.handovers,
            nacks: proxies.rejected,
            reconnects: proxies.reconnects,
            rollbacks,
            lines_sent: sum(|s| s.lines_sent),
            backlog_most,
            complete: !cut_short,
            failures,
            findings: found.findings,
            status,
        }
    }
}

/// The last figures that each life of an assigner wrote.
fn last_status(paths: impl Iterator<Item = impl AsRef<Path>>) -> Vec<Status> {
    let last = |path| {
        let text = fs::read_to_string(path).unwrap_or_default();
        // A killed life may leave its last line cut short.
        text.lines().rev().find_map(|line| serde_json::from_str(line).ok())
    };
    paths.filter_map(last).collect()
}

/// See [`Outcome::taken_over_ms`]; of the first death of the day.
fn after_death(seen: &[(Duration, Seen)]) -> (Option<f64>, Option<f64>) {
    let died = seen.iter().position(|(_, what)| matches!(what, Seen::Runs { runs: false, .. }));
    let Some(place) = died else { return (None, None) };
    let (at, Seen::Runs { assigner, .. }) = &seen[place] else { return (None, None) };
    let mut last: BTreeMap<usize, (Option<String>, Option<Arc<str>>)> = BTreeMap::new();
    let (mut taken, mut granted) = (None, None);
    let mut theirs = BTreeSet::new();
    for (k, (now, what)) in seen.iter().enumerate() {
        let Seen::Stored { slice, holder, owner, .. } = what else { continue };
        let before = last.insert(*slice, (holder.clone(), owner.clone()));
        let Some((was, owned)) = before.filter(|_| k > place) else { continue };
        let ms = (*now - *at).as_secs_f64() * 1e3;
        if was.as_deref() == Some(&**assigner) && holder.as_deref() != Some(&**assigner) {
            taken.get_or_insert(ms);
            theirs.insert(*slice);
        }
        if theirs.contains(slice) && owned != *owner {
            granted.get_or_insert(ms);
        }
    }
    (taken, granted)
}

/// What the audit holds the day against.
fn rules(day: &Day) -> Rules {
    Rules {
        empty: ms(day.rules.empty_ms),
        grace: ms(day.rules.grace_ms),
        warm_after: ms(day.rules.warm_after_ms),
        cold_from: day.rules.cold_from,
        fall_multiple: day.rules.fall_multiple,
        fall: ms(day.rules.fall_ms),
        backlog: day.channel.backlog,
        // The assigner looks at the roster's file every 100 ms: it was told that much later than it was written.
        slack: ms(150),
    }
}
