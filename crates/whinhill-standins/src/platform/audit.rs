//! The auditor: what the rules say of the proxies' tables, and what clients' requests came to. It reads the records
//! of both ends, never an assigner's log.

use std::time::Duration;

use serde::Serialize;

use super::clients::{Ending, Request};
use super::page::*;
use super::world::{Status, World};

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A request at an assigner's address got no final answer.
    Unanswered,
    /// It got one too late.
    Late,
    /// Proxies had no line to pick for too long.
    NoLine,
    /// They had a line at a server that drains or is gone for too long.
    Drain,
    /// Writes of one slice were let in at two servers at a time.
    TwoWriters,
    /// Over the limit of memory or descriptors.
    Limits,
    /// It ended by itself, or was not ready in time.
    Crash,
    /// More RPCs were lost than by the reference, over the run or a window.
    RpcLost,
    /// More were refused over the run.
    RpcRefused,
    /// A cold server was sent more than it stands.
    ColdBudget,
    /// More lines waited in an assigner's channel than may.
    Backlog,
}

/// A rule that was broken, once.
#[derive(Clone, Debug, Serialize)]
pub struct Broken {
    pub rule: Rule,
    pub at_ms: u64,
    pub what: String,
}

/// What the tables have shown so far.
pub struct TableAudit {
    last: Duration,
    /// By slice, for how long its time limits have run.
    empty: Vec<Duration>,
    drain: Vec<Duration>,
    pub broken: Vec<Broken>,
}

impl Default for TableAudit {
    fn default() -> Self {
        TableAudit {
            last: Duration::ZERO,
            empty: vec![Duration::ZERO; SLICES],
            drain: vec![Duration::ZERO; SLICES],
            broken: Vec::new(),
        }
    }
}

impl TableAudit {
    /// Looks at all tables; the time since the last look counts as what is seen now.
    pub fn look(&mut self, world: &World) {
        let now = world.now();
        let passed = now.saturating_sub(self.last);
        self.last = now;
        let has_warm = world.has_warm_server();
        for slice in 0..SLICES {
            let Some(holder) = world.slices[slice].holder else {
                (self.empty[slice], self.drain[slice]) = (Duration::ZERO, Duration::ZERO);
                continue;
            };
            let node = &world.nodes[holder];
            let serves = node.first_answer.is_some_and(|at| now >= at + AFTER_FIRST_ANSWER);
            let runs = serves && now >= node.excused_until;
            self.look_for_lines(world, slice, has_warm, runs, passed);
            self.look_for_drains(world, slice, holder, runs, passed);
            self.look_for_writers(world, slice);
        }
    }

    fn look_for_lines(&mut self, world: &World, slice: usize, has_warm: bool, runs: bool, passed: Duration) {
        let none = world.tables.iter().any(|tables| tables[slice].server.is_none());
        if !none || !has_warm {
            self.empty[slice] = Duration::ZERO;
        } else if runs {
            self.empty[slice] += passed;
        }
        if self.empty[slice] > EMPTY_FOR + SLACK {
            let what = format!("slice {slice} of {:?}: a proxy has no line", world.slices[slice].holder);
            self.break_rule(world, Rule::NoLine, what);
            self.empty[slice] = Duration::ZERO;
        }
    }

    fn look_for_drains(&mut self, world: &World, slice: usize, holder: usize, runs: bool, passed: Duration) {
        let now = world.now();
        let mut leaving = None;
        for server in world.tables.iter().filter_map(|tables| tables[slice].server) {
            let change = world.changes.iter().rev().find(|change| change.server == server);
            let told = change.is_some_and(|change| now >= world.told_at(holder, change));
            if world.servers[server].status != Status::Ready && told {
                leaving = Some(server);
            }
        }
        match leaving {
            None => self.drain[slice] = Duration::ZERO,
            Some(_) if now < world.slices[slice].given_at => {}
            Some(_) if runs => self.drain[slice] += passed,
            Some(_) => {}
        }
        if let Some(server) = leaving.filter(|_| self.drain[slice] > STOP_SENDING_WITHIN + SLACK) {
            let name = &world.servers[server].name;
            self.break_rule(world, Rule::Drain, format!("slice {slice} of n{holder} stays at {name}"));
            self.drain[slice] = Duration::ZERO;
        }
    }

    fn look_for_writers(&mut self, world: &World, slice: usize) {
        let writes = CLASSES.iter().position(|class| class.writes).unwrap_or(0);
        let open = world.tables.iter().filter(|tables| tables[slice].levels[writes] > 0.0);
        let mut servers: Vec<usize> = open.filter_map(|tables| tables[slice].server).collect();
        servers.sort_unstable();
        servers.dedup();
        if servers.len() > 1 && !self.broken.iter().any(|b| b.rule == Rule::TwoWriters) {
            let names: Vec<&str> = servers.iter().map(|s| world.servers[*s].name.as_str()).collect();
            let holder = world.slices[slice].holder;
            self.break_rule(
                world,
                Rule::TwoWriters,
                format!("slice {slice} of {holder:?} writes at {names:?}"),
            );
        }
    }

    fn break_rule(&mut self, world: &World, rule: Rule, what: String) {
        self.broken.push(Broken { rule, at_ms: world.now().as_millis() as u64, what });
    }
}

/// What was done to a process that excuses a request's ending or its lateness.
#[derive(Clone, Debug, Default)]
pub struct Excuses {
    /// Kills without a word before: when each was begun, and when the process was gone.
    pub kills: Vec<(Duration, Duration)>,
    /// SIGSTOP to SIGCONT.
    pub pauses: Vec<(Duration, Duration)>,
}

impl Excuses {
    /// How much of a stretch the process stood still.
    fn stood_still(&self, from: Duration, until: Duration) -> Duration {
        let overlap =
            |(begin, end): &(Duration, Duration)| (*end).min(until).saturating_sub((*begin).max(from));
        self.pauses.iter().map(overlap).sum()
    }
}

/// How much later than a kill its clients may notice, on a busy machine.
const NOTICED_WITHIN: Duration = Duration::from_millis(300);

/// A client that looked at its connection, and lost the processor before it asked, asks so much later at most. Shorter
/// than any process is down: what comes after the next start is not excused.
const LOOKED_BEFORE: Duration = Duration::from_millis(50);

/// A client's requests in figures.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestAudit {
    pub requests: usize,
    pub refused: usize,
    /// Under a kill without a word before.
    pub killed: usize,
    pub unanswered: usize,
    pub late: usize,
    /// The slowest answer, less the time for which the process stood still.
    pub slowest_ms: u64,
    #[serde(skip)]
    pub broken: Vec<Broken>,
}

/// Judges the requests at one assigner's address. `since` is when the clients were started.
pub fn judge(node: usize, requests: &[Request], since: Duration, excuses: &Excuses) -> RequestAudit {
    let mut audit = RequestAudit::default();
    for request in requests {
        audit.requests += 1;
        let (from, until) = (since + request.sent, since + request.sent + request.took);
        if !request.ending.is_answer() {
            let under = |(begun, gone): &(Duration, Duration)| {
                from <= *gone + LOOKED_BEFORE && *begun <= until + NOTICED_WITHIN
            };
            if excuses.kills.iter().any(under) {
                audit.killed += 1;
                continue;
            }
            audit.unanswered += 1;
            audit.break_rule(Rule::Unanswered, node, request, from);
            continue;
        }
        audit.refused += usize::from(request.ending == Ending::Refused);
        let took = request.took.saturating_sub(excuses.stood_still(from, until));
        audit.slowest_ms = audit.slowest_ms.max(took.as_millis() as u64);
        if took > ANSWER_WITHIN {
            audit.late += 1;
            audit.break_rule(Rule::Late, node, request, from);
        }
    }
    audit
}

impl RequestAudit {
    fn break_rule(&mut self, rule: Rule, node: usize, request: &Request, at: Duration) {
        let Request { client, local, earlier, took, ending, .. } = request;
        let what = format!(
            "n{node}: client {client} at {local}, {earlier} requests before: {ending:?} after {} ms",
            took.as_millis()
        );
        self.broken.push(Broken { rule, at_ms: at.as_millis() as u64, what });
    }

    /// Adds another's figures.
    pub fn add(&mut self, other: RequestAudit) {
        self.requests += other.requests;
        self.refused += other.refused;
        self.killed += other.killed;
        self.unanswered += other.unanswered;
        self.late += other.late;
        self.slowest_ms = self.slowest_ms.max(other.slowest_ms);
        self.broken.extend(other.broken);
    }
}
