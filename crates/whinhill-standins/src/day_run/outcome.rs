//! The outcome of a day: figures of clients, assigners and proxies, and what the audit found.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use serde::Serialize;
use whinhill_assigner::Status;

use super::load::LoadResult;
use super::rollbacks::Rollbacks;
use super::{ms, Fleet};
use crate::audit::{audit, Audit, Limits};
use crate::day::Day;
use crate::recorder::Event;

/// The outcome of a day. All figures are measured on loopback.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub seed: u64,
    /// The last status that each process of each assigner wrote.
    #[serde(skip)]
    pub status: Vec<Status>,
    /// From the first kill or stall of an assigner until another assigner has custody of one of its slices.
    pub taken_over_ms: Option<f64>,
    /// From the same event until the first owner change of such a slice.
    pub first_grant_ms: Option<f64>,
    /// Violations of each rule.
    pub rules: crate::audit::RuleViolations,
    /// RPCs sent by clients, retries not counted.
    pub rpcs: u64,
    /// Share of RPCs with a successful answer.
    pub ok_share: f64,
    /// Share of RPCs with a successful answer within the soft deadline.
    pub in_time_share: f64,
    /// Quantiles of the latency of successful RPCs.
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// These counts are described at [`Audit`].
    pub writes_executed_twice: u64,
    pub stale_writes: u64,
    pub overlapping_writes: u64,
    pub handovers: u64,
    /// Tables that proxies rejected.
    pub nacks: u64,
    /// Streams that proxies opened again.
    pub reconnects: u64,
    /// What became of the day's rollbacks, if its script has any.
    pub rollbacks: Option<Rollbacks>,
    /// Lines that assigners sent.
    pub lines_sent: u64,
    /// The most lines that were queued in one assigner's channel.
    pub backlog_most: u64,
    /// Whether every event of the day was recorded, so that the audit saw all of it.
    pub complete: bool,
    /// RPCs whose final answer was a failure, by reason.
    pub failures: BTreeMap<String, u64>,
    /// The first findings of the audit, as text.
    pub findings: Vec<String>,
}

impl Outcome {
    /// Whether the audit covers the whole day and found no violation of a rule.
    pub fn passed(&self) -> bool {
        self.rules.total() == 0 && self.complete
    }
}

/// What proxies counted over the day.
pub(super) struct ProxyTotals {
    pub(super) rejected: u64,
    pub(super) reconnects: u64,
}

impl Outcome {
    /// Builds the outcome of a fleet that has stopped.
    pub(super) fn of(
        fleet: &Fleet<'_>,
        load: &LoadResult,
        proxies: &ProxyTotals,
        rollbacks: Option<Rollbacks>,
    ) -> Self {
        let status = last_status(fleet.assigners.iter().flat_map(|assigner| &assigner.status));
        let sum = |of: fn(&Status) -> u64| status.iter().map(of).sum::<u64>();
        let backlog_most = status.iter().map(|s| s.backlog_most).max().unwrap_or(0);
        let (events, truncated) = fleet.recorder.events();
        let found: Audit = audit(&events, &audit_limits(fleet.day), backlog_most);
        let counters = &load.counters;
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let rpcs = get(&counters.rpcs);
        let share = |count: u64| (count as f64 / rpcs.max(1) as f64 * 1e4).round() / 1e4;
        let latencies_us = load.latencies_us.lock().unwrap_or_else(PoisonError::into_inner);
        let quantile_ms = |quantile: f64| latencies_us.value_at_quantile(quantile) as f64 / 1e3;
        let failures = counters.failures.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let (taken_over_ms, first_grant_ms) = takeover_times(&events);
        Outcome {
            seed: fleet.day.seed,
            taken_over_ms,
            first_grant_ms,
            rules: found.rules,
            rpcs,
            ok_share: share(get(&counters.ok)),
            in_time_share: share(get(&counters.in_time)),
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
            complete: !truncated,
            failures,
            findings: found.findings,
            status,
        }
    }
}

/// The last readable status line of each file.
fn last_status(paths: impl Iterator<Item = impl AsRef<Path>>) -> Vec<Status> {
    let last = |path| {
        let text = fs::read_to_string(path).unwrap_or_default();
        // A killed process may leave its last line incomplete.
        text.lines().rev().find_map(|line| serde_json::from_str(line).ok())
    };
    paths.filter_map(last).collect()
}

/// [`Outcome::taken_over_ms`] and [`Outcome::first_grant_ms`], for the first assigner of the day that stopped running.
fn takeover_times(events: &[(Duration, Event)]) -> (Option<f64>, Option<f64>) {
    let first_stop =
        events.iter().position(|(_, event)| matches!(event, Event::AssignerRunning { running: false, .. }));
    let Some(stop_index) = first_stop else { return (None, None) };
    let (stopped_at, Event::AssignerRunning { assigner, .. }) = &events[stop_index] else {
        return (None, None);
    };
    let mut last: BTreeMap<usize, (Option<String>, Option<Arc<str>>)> = BTreeMap::new();
    let (mut takeover_ms, mut grant_ms) = (None, None);
    let mut affected_slices = BTreeSet::new();
    for (index, (now, event)) in events.iter().enumerate() {
        let Event::RecordStored { slice, holder, owner, .. } = event else { continue };
        let before = last.insert(*slice, (holder.clone(), owner.clone()));
        let Some((previous_holder, previous_owner)) = before.filter(|_| index > stop_index) else {
            continue;
        };
        let ms = (*now - *stopped_at).as_secs_f64() * 1e3;
        if previous_holder.as_deref() == Some(&**assigner) && holder.as_deref() != Some(&**assigner) {
            takeover_ms.get_or_insert(ms);
            affected_slices.insert(*slice);
        }
        if affected_slices.contains(slice) && previous_owner != *owner {
            grant_ms.get_or_insert(ms);
        }
    }
    (takeover_ms, grant_ms)
}

/// The limits against which the day is audited.
fn audit_limits(day: &Day) -> Limits {
    Limits {
        max_without_line: ms(day.rules.empty_ms),
        drain_grace: ms(day.rules.grace_ms),
        warm_up: ms(day.rules.warm_after_ms),
        cold_capacity: day.rules.cold_from,
        overload_factor: day.rules.fall_multiple,
        overload_window: ms(day.rules.fall_ms),
        max_backlog: day.channel.backlog,
        // Assigners read the roster's file every 100 ms, so they may learn of a change that much after it was written.
        // The rest is for delays of servers and links.
        slack: ms(150),
    }
}
