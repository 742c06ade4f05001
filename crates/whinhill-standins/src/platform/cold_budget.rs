//! Checks the work budget of cold servers. In no interval of [`COLD_BUDGET_INTERVAL`] (setting
//! `fall`) may a cold server be sent more work than [`COLD_BUDGET_FACTOR`] (setting `fallMultiple`)
//! times its capacity in that interval. This is a violation only if at least two thirds of the work
//! came from proxies that were informed of the server's start.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::audit::{Rule, Violation};
use super::data_plane::{Rpc, COLD_SLOWDOWN};
use super::parameters::{
    COLD_BUDGET_FACTOR, COLD_BUDGET_INTERVAL, GRACE_AFTER_FIRST_ANSWER, TIME_LIMIT_SLACK, WARM_UP_DURATION,
};
use super::state::{PlatformState, WORKERS};

/// The least fraction of the work that must come from informed proxies.
const INFORMED_FRACTION: f64 = 2.0 / 3.0;

/// An RPC that was sent to a cold server, and whether its proxy was informed of the start.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Duration,
    work: Duration,
    informed: bool,
}

/// The work that was recently sent to each cold server.
#[derive(Debug, Default)]
pub struct ColdBudgetAudit {
    sent: BTreeMap<usize, VecDeque<Sent>>,
    pub violations: Vec<Violation>,
}

/// The work that a cold server may be sent in one [`COLD_BUDGET_INTERVAL`].
fn budget() -> Duration {
    COLD_BUDGET_INTERVAL.mul_f64(COLD_BUDGET_FACTOR * WORKERS as f64 / f64::from(COLD_SLOWDOWN))
}

impl ColdBudgetAudit {
    /// Records an RPC that was sent to a server.
    pub fn record_sent(&mut self, platform: &PlatformState, rpc: &Rpc, server: usize) {
        let now = platform.now();
        let Some(started) = platform.servers[server].started.filter(|at| now < *at + WARM_UP_DURATION) else {
            self.sent.remove(&server);
            return;
        };
        let sent = self.sent.entry(server).or_default();
        let is_current = |sent: &Sent| sent.at >= started && sent.at + COLD_BUDGET_INTERVAL >= now;
        while sent.front().is_some_and(|sent| !is_current(sent)) {
            sent.pop_front();
        }
        sent.push_back(Sent { at: now, work: rpc.work, informed: is_informed(platform, rpc, server, now) });
        let total: Duration = sent.iter().map(|sent| sent.work).sum();
        let informed: Duration = sent.iter().filter(|sent| sent.informed).map(|sent| sent.work).sum();
        if total > budget() && informed >= total.mul_f64(INFORMED_FRACTION) {
            let name = &platform.servers[server].name;
            let (total, limit) = (total.as_millis(), budget().as_millis());
            let what = format!("{name}, cold, was sent {total} ms of work, at most {limit} ms");
            self.violations.push(Violation { rule: Rule::ColdBudget, at_ms: now.as_millis() as u64, what });
            sent.clear();
        }
    }
}

/// Whether the proxy's latest message was sent with knowledge of the server's start, or the slice's
/// holder has known of it for as long as a proxy may take to stop sending.
fn is_informed(platform: &PlatformState, rpc: &Rpc, server: usize, now: Duration) -> bool {
    let Some(holder) = platform.slices[rpc.slice].holder else { return false };
    let node = &platform.nodes[holder];
    let serves = node.first_answer_at.is_some_and(|at| now >= at + GRACE_AFTER_FIRST_ANSWER);
    let start = platform.changes.iter().rev().find(|change| change.server == server);
    let Some(informed_at) = start.map(|change| platform.informed_at(holder, change)).filter(|_| serves)
    else {
        return false;
    };
    let held = platform
        .slices
        .iter()
        .zip(&platform.tables[rpc.proxy])
        .filter(|(slice, _)| slice.holder == Some(holder));
    let last_message = held.map(|(_, table)| table.as_of).max().unwrap_or_default();
    let grace_is_over = now
        >= informed_at + platform.site.timing.timing().max_stop_sending_time + TIME_LIMIT_SLACK
        && now >= node.limits_suspended_until;
    last_message >= informed_at || grace_is_over
}
