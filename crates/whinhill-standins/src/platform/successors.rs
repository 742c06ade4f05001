//! Checks that servers which are new to the list are used. The fleet replaces a server every two seconds, so a server
//! that has been listed, healthy and warm for longer than any slice may lack a line, and never had a slice, is unknown
//! to the assigners or shunned by them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::audit::{Rule, Violation};
use super::parameters::{GRACE_AFTER_FIRST_ANSWER, TIME_LIMIT_SLACK, WARM_UP_DURATION};
use super::state::{Condition, ListChange, PlatformState, Status};

/// How long each listed server has not been used.
#[derive(Debug, Default)]
pub struct SuccessorAudit {
    last_check: Duration,
    /// By server: the time unused, counted while the limit was running.
    unused: BTreeMap<usize, Duration>,
    pub violations: Vec<Violation>,
}

impl SuccessorAudit {
    /// Checks all servers. The time since the last check counts as if the current state had lasted for all of it.
    pub fn check(&mut self, platform: &PlatformState) {
        let now = platform.now();
        let elapsed = now.saturating_sub(self.last_check);
        self.last_check = now;
        for (index, server) in platform.servers.iter().enumerate() {
            let is_new = server.started.is_some();
            let is_used = platform.slices.iter().any(|slice| slice.line_set_at.contains_key(&index));
            if !is_new || is_used || server.status != Status::Ready || server.condition != Condition::Well {
                self.unused.remove(&index);
                continue;
            }
            let listing = platform.changes.iter().rev().find(|change| change.server == index);
            if !listing.is_some_and(|listing| is_limit_running(platform, listing)) {
                continue;
            }
            let unused = self.unused.entry(index).or_default();
            // Until it is warm, and then as long as a slice may have no line while a warm server is listed.
            let limit =
                WARM_UP_DURATION + platform.site.timing.timing().max_time_without_line + TIME_LIMIT_SLACK;
            let was_late = *unused > limit;
            *unused += elapsed;
            if *unused > limit && !was_late {
                let what = format!("{} is listed and gets no slice", server.name);
                let at_ms = now.as_millis() as u64;
                self.violations.push(Violation { rule: Rule::UnusedSuccessor, at_ms, what });
            }
        }
    }
}

/// Whether every assigner that holds slices serves, is informed of the listing, and has its time limits running.
fn is_limit_running(platform: &PlatformState, listing: &ListChange) -> bool {
    let now = platform.now();
    let mut holders = platform.slices.iter().map(|slice| slice.holder);
    holders.all(|holder| {
        holder.is_some_and(|holder| {
            let node = &platform.nodes[holder];
            node.first_answer_at.is_some_and(|at| now >= at + GRACE_AFTER_FIRST_ANSWER)
                && now >= node.limits_suspended_until
                && now >= platform.informed_at(holder, listing)
        })
    })
}
