//! Budgets of cold servers: in no stretch of `fall` may one be sent more work than `fallMultiple` times what it can do
//! then, two thirds of it by proxies that had word of its start.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::audit::{Broken, Rule};
use super::page::{AFTER_FIRST_ANSWER, FALL, FALL_MULTIPLE, SLACK, STOP_SENDING_WITHIN, WARM_AFTER};
use super::plane::{Rpc, COLD};
use super::world::{World, WORKERS};

/// The part of the work that has to come from those who had word.
const KNOWING: f64 = 2.0 / 3.0;

#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Duration,
    work: Duration,
    knowing: bool,
}

/// What cold servers were sent of late.
#[derive(Debug, Default)]
pub struct ColdAudit {
    sent: BTreeMap<usize, VecDeque<Sent>>,
    pub broken: Vec<Broken>,
}

/// Work that a cold server may be sent in a stretch of `fall`.
fn budget() -> Duration {
    FALL.mul_f64(FALL_MULTIPLE * WORKERS as f64 / f64::from(COLD))
}

impl ColdAudit {
    /// An RPC was sent to a server.
    pub fn sent(&mut self, world: &World, rpc: &Rpc, server: usize) {
        let now = world.now();
        let Some(started) = world.servers[server].started.filter(|at| now < *at + WARM_AFTER) else {
            self.sent.remove(&server);
            return;
        };
        let sent = self.sent.entry(server).or_default();
        let is_current = |sent: &Sent| sent.at >= started && sent.at + FALL >= now;
        while sent.front().is_some_and(|sent| !is_current(sent)) {
            sent.pop_front();
        }
        sent.push_back(Sent { at: now, work: rpc.work, knowing: knows(world, rpc, server, now) });
        let all: Duration = sent.iter().map(|sent| sent.work).sum();
        let knowing: Duration = sent.iter().filter(|sent| sent.knowing).map(|sent| sent.work).sum();
        if all > budget() && knowing >= all.mul_f64(KNOWING) {
            let name = &world.servers[server].name;
            let (all, most) = (all.as_millis(), budget().as_millis());
            let what = format!("{name}, cold, was sent {all} ms of work, at most {most} ms");
            self.broken.push(Broken { rule: Rule::ColdBudget, at_ms: now.as_millis() as u64, what });
            sent.clear();
        }
    }
}

/// Whether the proxy's last message was sent with knowledge of the server's start, or the holder has known of it for
/// as long as it has to stop sending.
fn knows(world: &World, rpc: &Rpc, server: usize, now: Duration) -> bool {
    let Some(holder) = world.slices[rpc.slice].holder else { return false };
    let node = &world.nodes[holder];
    let serves = node.first_answer.is_some_and(|at| now >= at + AFTER_FIRST_ANSWER);
    let start = world.changes.iter().rev().find(|change| change.server == server);
    let Some(told) = start.map(|change| world.told_at(holder, change)).filter(|_| serves) else {
        return false;
    };
    let held =
        world.slices.iter().zip(&world.tables[rpc.proxy]).filter(|(slice, _)| slice.holder == Some(holder));
    let last_message = held.map(|(_, table)| table.as_of).max().unwrap_or_default();
    let grace_is_over = now >= told + STOP_SENDING_WITHIN + SLACK && now >= node.excused_until;
    last_message >= told || grace_is_over
}
