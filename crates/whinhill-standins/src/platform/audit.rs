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

/// A draining or gone server at which a proxy has a line, and for how long the time limit has run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Leaving {
    server: Option<usize>,
    time: Duration,
}

/// What the tables have shown so far.
pub struct TableAudit {
    last: Duration,
    /// By slice and proxy, for how long its time limits have run.
    empty: Vec<Vec<Duration>>,
    drain: Vec<Vec<Leaving>>,
    pub broken: Vec<Broken>,
}

impl TableAudit {
    /// Nothing was seen yet.
    pub fn new(proxies: usize) -> Self {
        TableAudit {
            last: Duration::ZERO,
            empty: vec![vec![Duration::ZERO; proxies]; SLICES],
            drain: vec![vec![Leaving::default(); proxies]; SLICES],
            broken: Vec::new(),
        }
    }

    /// Looks at all tables; the time since the last look counts as what is seen now.
    pub fn look(&mut self, world: &World) {
        let now = world.now();
        let passed = now.saturating_sub(self.last);
        self.last = now;
        let has_warm = world.has_warm_server();
        for slice in 0..SLICES {
            let Some(holder) = world.slices[slice].holder else {
                self.empty[slice].fill(Duration::ZERO);
                self.drain[slice].fill(Leaving::default());
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
        for proxy in 0..world.proxies {
            let is_without = world.is_joined(proxy, slice) && world.tables[proxy][slice].server.is_none();
            let empty = &mut self.empty[slice][proxy];
            if !is_without || !has_warm {
                *empty = Duration::ZERO;
            } else if runs {
                *empty += passed;
            }
        }
        if self.empty[slice].iter().any(|empty| *empty > EMPTY_FOR + SLACK) {
            let what = format!("slice {slice} of {:?}: a proxy has no line", world.slices[slice].holder);
            self.break_rule(world, Rule::NoLine, what);
            self.empty[slice].fill(Duration::ZERO);
        }
    }

    fn look_for_drains(&mut self, world: &World, slice: usize, holder: usize, runs: bool, passed: Duration) {
        let now = world.now();
        let mut late = None;
        for proxy in 0..world.proxies {
            let server = world.tables[proxy][slice].server.filter(|_| world.is_joined(proxy, slice));
            let leaves = |server: &usize| world.servers[*server].status != Status::Ready;
            let change = |server: usize| world.changes.iter().rev().find(|change| change.server == server);
            let is_told =
                |server: &usize| change(*server).is_some_and(|change| now >= world.told_at(holder, change));
            let leaving = server.filter(leaves).filter(is_told);
            let drain = &mut self.drain[slice][proxy];
            if drain.server != leaving {
                *drain = Leaving { server: leaving, time: Duration::ZERO };
            } else if leaving.is_some() && now >= world.slices[slice].given_at && runs {
                drain.time += passed;
            }
            late = late.or(leaving.filter(|_| drain.time > STOP_SENDING_WITHIN + SLACK));
        }
        if let Some(server) = late {
            let name = &world.servers[server].name;
            self.break_rule(world, Rule::Drain, format!("slice {slice} of n{holder} stays at {name}"));
            self.drain[slice].fill(Leaving::default());
        }
    }

    fn look_for_writers(&mut self, world: &World, slice: usize) {
        let writes = CLASSES.iter().position(|class| class.writes).unwrap_or(0);
        let is_open = |proxy: &usize| {
            world.may_write(*proxy, slice) && world.tables[*proxy][slice].levels[writes] > 0.0
        };
        let open = (0..world.proxies).filter(is_open);
        let mut servers: Vec<usize> = open.filter_map(|proxy| world.tables[proxy][slice].server).collect();
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

/// What was done to a process, and round it, that excuses a request's ending or its lateness.
#[derive(Clone, Debug, Default)]
pub struct Excuses {
    pub ends: Vec<End>,
    /// SIGSTOP to SIGCONT.
    pub pauses: Vec<(Duration, Duration)>,
    pub crowds: Vec<Crowd>,
}

/// The end of a process by a kill.
#[derive(Clone, Debug)]
pub struct End {
    /// When SIGTERM was sent; `None`: the kill came without a word before.
    pub told: Option<Duration>,
    /// When the kill was sent, and when the process was gone.
    pub killed: Duration,
    pub gone: Duration,
    /// When the next process answered.
    pub back: Option<Duration>,
}

/// Clients beside those that ask all the time; until they were told to stop.
#[derive(Clone, Debug)]
pub struct Crowd {
    pub clients: usize,
    pub from: Duration,
    pub until: Option<Duration>,
}

/// How a request reached the address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Direct,
    /// By a proxy of bytes, which takes connections whatever becomes of the process, and hands the other side's end
    /// on late.
    ByProxy,
}

/// Why a request without an answer breaks no rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Excuse {
    /// A kill without a word before.
    Killed,
    /// The kill after SIGTERM.
    Cut,
    /// There were more clients than places, and this one did not look whether it had given its up.
    CrowdedOut,
}

/// How much later than a kill its clients may notice, on a busy machine.
const NOTICED_WITHIN: Duration = Duration::from_millis(300);

/// A client that looked at its connection, and lost the processor before it asked, asks so much later at most. Shorter
/// than any process is down: what comes after the next start is not excused.
const LOOKED_BEFORE: Duration = Duration::from_millis(50);

/// A request that was sent later than this before a kill that SIGTERM preceded may be cut by it.
const CUT_WITHIN: Duration = Duration::from_millis(20);
/// A killed process that takes longer to be gone is kept from running by the machine.
const STARVED_FROM: Duration = Duration::from_millis(20);
/// A proxy of bytes holds a request or an end for so long at most.
const PROXY_HOLDS: Duration = Duration::from_millis(100);
/// So long after SIGTERM an assigner serves its address at least, whatever its clients do.
const SERVED_AFTER_TERM: Duration = Duration::from_millis(750);
/// Places that clients find at least: descriptors less those of relay, discovery, probes and collectors; and while an
/// assigner ends, less its own and those of collectors.
const PLACES: usize = SOCKETS - 80;
const PLACES_AT_THE_END: usize = SOCKETS - 24;
/// An assigner that was told to end has all these places for clients after this.
const PLACES_FREE_WITHIN: Duration = Duration::from_millis(300);
/// Clients of a crowd that was told to stop are gone after this, and whoever had to give up a place has learned it.
const CROWD_LINGERS: Duration = Duration::from_millis(300);

impl End {
    /// For how long after the kill the machine kept the process from running, and so before it: a killed process is
    /// gone within milliseconds.
    fn starved(&self) -> Duration {
        let lasted = self.gone.saturating_sub(self.killed);
        if lasted > STARVED_FROM {
            lasted
        } else {
            Duration::ZERO
        }
    }

    /// Whether a request that was asked for at `since` and later ended with this.
    fn covers(&self, request: &Request, since: Duration, way: Way) -> bool {
        let [from, written, opened] = [request.sent, request.written, request.opened].map(|at| since + at);
        let held = if way == Way::ByProxy { PROXY_HOLDS } else { Duration::ZERO };
        let before = match self.told {
            // Where the kill came late the process may have begun to end.
            Some(told) => {
                let owed_until = self.killed.min(told + SERVED_AFTER_TERM);
                written + CUT_WITHIN + held + self.starved() > owed_until
            }
            None => self.killed <= from + request.took + NOTICED_WITHIN,
        };
        let after = match way {
            Way::ByProxy => self.back.is_none_or(|back| from <= back + held),
            // It learns of the end by its next request.
            Way::Direct if request.never_looks => opened <= self.gone,
            Way::Direct => from <= self.gone + LOOKED_BEFORE,
        };
        before && after
    }
}

impl Excuses {
    /// How much of a stretch the process stood still.
    fn stood_still(&self, from: Duration, until: Duration) -> Duration {
        let overlap =
            |(begin, end): &(Duration, Duration)| (*end).min(until).saturating_sub((*begin).max(from));
        self.pauses.iter().map(overlap).sum()
    }

    fn excuse(&self, request: &Request, since: Duration, way: Way) -> Option<Excuse> {
        if let Some(end) = self.ends.iter().find(|end| end.covers(request, since, way)) {
            return Some(if end.told.is_some() { Excuse::Cut } else { Excuse::Killed });
        }
        let looks = !request.never_looks && way == Way::Direct;
        (!looks && self.is_crowded(since + request.sent)).then_some(Excuse::CrowdedOut)
    }

    /// Whether there were more clients than places.
    fn is_crowded(&self, at: Duration) -> bool {
        let stands =
            |crowd: &&Crowd| at >= crowd.from && crowd.until.is_none_or(|until| at <= until + CROWD_LINGERS);
        let clients: usize = self.crowds.iter().filter(stands).map(|crowd| crowd.clients).sum();
        let ending =
            |end: &End| end.told.is_some_and(|told| at >= told + PLACES_FREE_WITHIN) && at <= end.killed;
        clients > if self.ends.iter().any(ending) { PLACES_AT_THE_END } else { PLACES }
    }
}

/// A client's requests in figures.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestAudit {
    pub requests: usize,
    pub refused: usize,
    /// Under a kill without a word before.
    pub killed: usize,
    /// On their way at a kill that SIGTERM preceded.
    pub cut: usize,
    /// Of clients that did not look whether they had given up their place in a crowd.
    pub crowded_out: usize,
    pub unanswered: usize,
    pub late: usize,
    /// The slowest answer, less the time for which the process stood still.
    pub slowest_ms: u64,
    #[serde(skip)]
    pub broken: Vec<Broken>,
}

/// Judges the requests at one assigner's address. `since` is when the clients were started.
pub fn judge(
    node: usize,
    requests: &[Request],
    since: Duration,
    way: Way,
    excuses: &Excuses,
) -> RequestAudit {
    let mut audit = RequestAudit::default();
    for request in requests {
        audit.requests += 1;
        let unanswered = audit.unanswered;
        let (from, until) = (since + request.sent, since + request.sent + request.took);
        if !request.ending.is_answer() {
            let excused = match excuses.excuse(request, since, way) {
                Some(Excuse::Killed) => &mut audit.killed,
                Some(Excuse::Cut) => &mut audit.cut,
                Some(Excuse::CrowdedOut) => &mut audit.crowded_out,
                None => &mut audit.unanswered,
            };
            *excused += 1;
            if audit.unanswered > unanswered {
                audit.break_rule(Rule::Unanswered, node, request, from);
            }
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
        self.cut += other.cut;
        self.crowded_out += other.crowded_out;
        self.unanswered += other.unanswered;
        self.late += other.late;
        self.slowest_ms = self.slowest_ms.max(other.slowest_ms);
        self.broken.extend(other.broken);
    }
}
