//! Audits the proxies' tables and the requests of clients against the platform's rules. It reads
//! the records of both ends and never an assigner's log.

use std::time::Duration;

use serde::Serialize;

use super::clients::{Ending, Request};
use super::parameters::*;
use super::state::PlatformState;

/// A rule of the platform that the audit checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A request at an assigner's address got no final answer.
    Unanswered,
    /// A request got its final answer too late.
    Late,
    /// A proxy had no line for a slice for too long.
    NoLine,
    /// A proxy could send to a draining or deleted server for too long: it had a line there, and a level above 0.
    Drain,
    /// Writes of one slice were admitted at two servers at the same time.
    TwoWriters,
    /// A process exceeded its limit of memory or descriptors.
    Limits,
    /// A process ended by itself or was not ready in time.
    Crash,
    /// More RPCs were lost than the reference allows, over the run or in one window.
    RpcLost,
    /// More RPCs were refused over the run than the reference allows.
    RpcRefused,
    /// A cold server was sent more work than its budget.
    ColdBudget,
    /// An assigner's channel queued more lines than allowed.
    Backlog,
    /// A server that is listed and healthy got no slice for too long.
    UnusedSuccessor,
    /// A server was probed although the settings forbid it.
    ForbiddenProbe,
}

/// One violation of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    pub rule: Rule,
    pub at_ms: u64,
    pub what: String,
}

/// How long a proxy could send to a draining or deleted server while the time limit was running.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct DrainTimer {
    server: Option<usize>,
    time: Duration,
}

/// Checks the proxies' tables over time.
pub struct TableAudit {
    last_check: Duration,
    /// By slice and proxy: the time without a line, counted while the proxy was joined and the limit was running. It
    /// starts anew only when the proxy has a line: a break of its stream does not reset it.
    time_without_line: Vec<Vec<Duration>>,
    drain_timers: Vec<Vec<DrainTimer>>,
    pub violations: Vec<Violation>,
}

impl TableAudit {
    /// Creates an audit that has seen no tables yet.
    pub fn new(proxies: usize) -> Self {
        TableAudit {
            last_check: Duration::ZERO,
            time_without_line: vec![vec![Duration::ZERO; proxies]; SLICES],
            drain_timers: vec![vec![DrainTimer::default(); proxies]; SLICES],
            violations: Vec::new(),
        }
    }

    /// Checks all tables. The time since the last check counts as if the current state had lasted
    /// for all of it.
    pub fn check(&mut self, platform: &PlatformState) {
        let now = platform.now();
        let elapsed = now.saturating_sub(self.last_check);
        self.last_check = now;
        let has_warm_server = platform.has_warm_server();
        for slice in 0..SLICES {
            let Some(holder) = platform.slices[slice].holder else {
                self.time_without_line[slice].fill(Duration::ZERO);
                self.drain_timers[slice].fill(DrainTimer::default());
                continue;
            };
            let node = &platform.nodes[holder];
            let serves = node.first_answer_at.is_some_and(|at| now >= at + GRACE_AFTER_FIRST_ANSWER);
            let is_limit_running = serves && now >= node.limits_suspended_until;
            self.check_lines(platform, slice, has_warm_server, is_limit_running, elapsed);
            self.check_drains(platform, slice, holder, is_limit_running, elapsed);
            self.check_writers(platform, slice);
        }
    }

    fn check_lines(
        &mut self,
        platform: &PlatformState,
        slice: usize,
        has_warm_server: bool,
        is_limit_running: bool,
        elapsed: Duration,
    ) {
        for proxy in 0..platform.proxies {
            let is_joined = platform.is_joined(proxy, slice);
            let has_line = platform.tables[proxy][slice].server.is_some();
            let time = &mut self.time_without_line[slice][proxy];
            if is_joined && has_line || !has_warm_server {
                *time = Duration::ZERO;
            } else if is_joined && is_limit_running {
                *time += elapsed;
            }
        }
        let limit = platform.site.timing.timing().max_time_without_line + TIME_LIMIT_SLACK;
        if self.time_without_line[slice].iter().any(|time| *time > limit) {
            let what = format!("slice {slice} of {:?}: a proxy has no line", platform.slices[slice].holder);
            self.record_violation(platform, Rule::NoLine, what);
            self.time_without_line[slice].fill(Duration::ZERO);
        }
    }

    fn check_drains(
        &mut self,
        platform: &PlatformState,
        slice: usize,
        holder: usize,
        is_limit_running: bool,
        elapsed: Duration,
    ) {
        let now = platform.now();
        let limit = platform.site.timing.timing().max_stop_sending_time + TIME_LIMIT_SLACK;
        let mut late = None;
        for proxy in 0..platform.proxies {
            let table = &platform.tables[proxy][slice];
            let sends = platform.is_joined(proxy, slice) && table.levels.iter().any(|level| *level > 0.0);
            let server = table.server.filter(|_| sends);
            let leaves = |server: &usize| platform.must_leave(holder, *server);
            let change = |server: usize| platform.changes.iter().rev().find(|change| change.server == server);
            let is_informed = |server: &usize| {
                change(*server).is_some_and(|change| now >= platform.informed_at(holder, change))
            };
            let leaving = server.filter(leaves).filter(is_informed);
            let timer = &mut self.drain_timers[slice][proxy];
            if timer.server != leaving {
                *timer = DrainTimer { server: leaving, time: Duration::ZERO };
            } else if leaving.is_some() && now >= platform.slices[slice].acquired_at && is_limit_running {
                timer.time += elapsed;
            }
            late = late.or(leaving.filter(|_| timer.time > limit));
        }
        if let Some(server) = late {
            let name = &platform.servers[server].name;
            self.record_violation(
                platform,
                Rule::Drain,
                format!("slice {slice} of n{holder} stays at {name}"),
            );
            self.drain_timers[slice].fill(DrainTimer::default());
        }
    }

    fn check_writers(&mut self, platform: &PlatformState, slice: usize) {
        let write_class = CLASSES.iter().position(|class| class.writes).unwrap_or(0);
        let is_open = |proxy: &usize| {
            platform.may_write(*proxy, slice) && platform.tables[*proxy][slice].levels[write_class] > 0.0
        };
        let open = (0..platform.proxies).filter(is_open);
        let mut servers: Vec<usize> = open.filter_map(|proxy| platform.tables[proxy][slice].server).collect();
        servers.sort_unstable();
        servers.dedup();
        if servers.len() > 1 && !self.violations.iter().any(|violation| violation.rule == Rule::TwoWriters) {
            let names: Vec<&str> = servers.iter().map(|s| platform.servers[*s].name.as_str()).collect();
            let holder = platform.slices[slice].holder;
            self.record_violation(
                platform,
                Rule::TwoWriters,
                format!("slice {slice} of {holder:?} writes at {names:?}"),
            );
        }
    }

    fn record_violation(&mut self, platform: &PlatformState, rule: Rule, what: String) {
        self.violations.push(Violation { rule, at_ms: platform.now().as_millis() as u64, what });
    }
}

/// Events around a process that excuse a request without an answer or a late answer.
#[derive(Clone, Debug, Default)]
pub struct Excuses {
    pub ends: Vec<ProcessEnd>,
    /// From SIGSTOP to SIGCONT.
    pub pauses: Vec<(Duration, Duration)>,
    pub crowds: Vec<Crowd>,
}

/// The end of a process by SIGKILL.
#[derive(Clone, Debug)]
pub struct ProcessEnd {
    /// When SIGTERM was sent; `None` if SIGKILL came without a SIGTERM.
    pub term_sent_at: Option<Duration>,
    /// When SIGKILL was sent, and when the process had exited.
    pub kill_sent_at: Duration,
    pub exited_at: Duration,
    /// When the next process first answered.
    pub next_ready_at: Option<Duration>,
}

/// A group of clients, from its start until it was told to stop.
#[derive(Clone, Debug)]
pub struct Crowd {
    pub clients: usize,
    pub from: Duration,
    pub until: Option<Duration>,
}

/// How a request reached the assigner's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientPath {
    Direct,
    /// Through a byte proxy, which accepts connections even when no process is there and forwards
    /// an end of stream with a delay.
    ByteProxy,
}

/// Why a request without an answer violates no rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Excuse {
    /// SIGKILL without a SIGTERM before it.
    Killed,
    /// SIGKILL after SIGTERM.
    Cut,
    /// There were more clients than connections that an assigner keeps, and this client did not
    /// check whether its own had been closed.
    CrowdedOut,
}

/// How much later than SIGKILL a client may notice the end on a busy machine.
const MAX_NOTICE_DELAY: Duration = Duration::from_millis(300);

/// The longest time from a client's check of its connection to its request, if it loses the
/// processor in between. This is shorter than any downtime of a process, so that requests after the
/// next start are not excused.
const MAX_CHECK_TO_SEND_GAP: Duration = Duration::from_millis(50);

/// A request may be cut if it was sent within this time before a SIGKILL that followed SIGTERM, or
/// later.
const CUT_MARGIN: Duration = Duration::from_millis(20);
/// If a killed process takes longer than this to exit, the machine kept it from running.
const STARVATION_THRESHOLD: Duration = Duration::from_millis(20);
/// The longest time for which a byte proxy holds back a request or an end of stream.
const MAX_PROXY_HOLD: Duration = Duration::from_millis(100);
/// The least time after SIGTERM for which an assigner serves its address, whatever its clients do.
const MIN_SERVICE_AFTER_TERM: Duration = Duration::from_millis(750);
/// The least number of connections that clients can have: all descriptors but those of the relay,
/// discovery, probes and collectors; and during shutdown all but the assigner's own and those of the
/// collectors.
const MIN_CLIENT_CONNECTIONS: usize = MAX_DESCRIPTORS - 80;
const MIN_CLIENT_CONNECTIONS_AT_SHUTDOWN: usize = MAX_DESCRIPTORS - 24;
/// After this time from SIGTERM all connections of [`MIN_CLIENT_CONNECTIONS_AT_SHUTDOWN`] are
/// available to clients.
const SHUTDOWN_CONNECTIONS_FREED_AFTER: Duration = Duration::from_millis(300);
/// After this time the clients of a stopped crowd have gone, and each client whose connection was
/// closed to make room has learned it.
const CROWD_LINGER_TIME: Duration = Duration::from_millis(300);

impl ProcessEnd {
    /// How long the machine kept the process from running after the kill; the same time is assumed
    /// before the kill. A killed process usually exits within milliseconds.
    fn starvation(&self) -> Duration {
        let exit_time = self.exited_at.saturating_sub(self.kill_sent_at);
        if exit_time > STARVATION_THRESHOLD {
            exit_time
        } else {
            Duration::ZERO
        }
    }

    /// Whether this end of the process excuses the request. `since` is when the clients were
    /// started.
    fn covers(&self, request: &Request, since: Duration, client_path: ClientPath) -> bool {
        let [from, written, opened] =
            [request.sent_at, request.written_at, request.connected_at].map(|at| since + at);
        let held = if client_path == ClientPath::ByteProxy { MAX_PROXY_HOLD } else { Duration::ZERO };
        let before = match self.term_sent_at {
            // If the kill came late, the process may have begun to exit before it.
            Some(told) => {
                let answers_due_until = self.kill_sent_at.min(told + MIN_SERVICE_AFTER_TERM);
                written + CUT_MARGIN + held + self.starvation() > answers_due_until
            }
            None => self.kill_sent_at <= from + request.took + MAX_NOTICE_DELAY,
        };
        let after = match client_path {
            ClientPath::ByteProxy => self.next_ready_at.is_none_or(|back| from <= back + held),
            // Such a client learns of the end only by its next request.
            ClientPath::Direct if request.never_checks => opened <= self.exited_at,
            ClientPath::Direct => from <= self.exited_at + MAX_CHECK_TO_SEND_GAP,
        };
        before && after
    }
}

impl Excuses {
    /// How much of the interval the process was stopped.
    fn time_stopped(&self, from: Duration, until: Duration) -> Duration {
        let overlap =
            |(begin, end): &(Duration, Duration)| (*end).min(until).saturating_sub((*begin).max(from));
        self.pauses.iter().map(overlap).sum()
    }

    fn find_excuse(&self, request: &Request, since: Duration, client_path: ClientPath) -> Option<Excuse> {
        if let Some(end) = self.ends.iter().find(|end| end.covers(request, since, client_path)) {
            return Some(if end.term_sent_at.is_some() { Excuse::Cut } else { Excuse::Killed });
        }
        let checks_connection = !request.never_checks && client_path == ClientPath::Direct;
        (!checks_connection && self.is_crowded(since + request.sent_at)).then_some(Excuse::CrowdedOut)
    }

    /// Whether there were more clients than connections for them.
    fn is_crowded(&self, at: Duration) -> bool {
        let is_present = |crowd: &&Crowd| {
            at >= crowd.from && crowd.until.is_none_or(|until| at <= until + CROWD_LINGER_TIME)
        };
        let clients: usize = self.crowds.iter().filter(is_present).map(|crowd| crowd.clients).sum();
        let is_shutting_down = |end: &ProcessEnd| {
            end.term_sent_at.is_some_and(|told| at >= told + SHUTDOWN_CONNECTIONS_FREED_AFTER)
                && at <= end.kill_sent_at
        };
        let is_ending = self.ends.iter().any(is_shutting_down);
        clients > if is_ending { MIN_CLIENT_CONNECTIONS_AT_SHUTDOWN } else { MIN_CLIENT_CONNECTIONS }
    }
}

/// Counts of the requests of clients.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestAudit {
    pub requests: usize,
    pub refused: usize,
    /// Unanswered because of SIGKILL without SIGTERM.
    pub killed: usize,
    /// Pending at a SIGKILL that followed SIGTERM.
    pub cut: usize,
    /// Sent by clients that did not check whether their connection had been closed to make room in
    /// a crowd.
    pub crowded_out: usize,
    pub unanswered: usize,
    pub late: usize,
    /// The slowest answer, less the time for which the process was stopped.
    pub slowest_ms: u64,
    #[serde(skip)]
    pub violations: Vec<Violation>,
}

/// Audits the requests at one assigner's address. `since` is when the clients were started.
pub fn audit_requests(
    node: usize,
    requests: &[Request],
    since: Duration,
    client_path: ClientPath,
    excuses: &Excuses,
) -> RequestAudit {
    let mut audit = RequestAudit::default();
    for request in requests {
        audit.requests += 1;
        let unanswered = audit.unanswered;
        let (from, until) = (since + request.sent_at, since + request.sent_at + request.took);
        if !request.ending.is_answer() {
            let count = match excuses.find_excuse(request, since, client_path) {
                Some(Excuse::Killed) => &mut audit.killed,
                Some(Excuse::Cut) => &mut audit.cut,
                Some(Excuse::CrowdedOut) => &mut audit.crowded_out,
                None => &mut audit.unanswered,
            };
            *count += 1;
            if audit.unanswered > unanswered {
                audit.record_violation(Rule::Unanswered, node, request, from);
            }
            continue;
        }
        audit.refused += usize::from(request.ending == Ending::Refused);
        let took = request.took.saturating_sub(excuses.time_stopped(from, until));
        audit.slowest_ms = audit.slowest_ms.max(took.as_millis() as u64);
        if took > MAX_ANSWER_TIME {
            audit.late += 1;
            audit.record_violation(Rule::Late, node, request, from);
        }
    }
    audit
}

impl RequestAudit {
    fn record_violation(&mut self, rule: Rule, node: usize, request: &Request, at: Duration) {
        let Request { client, local_addr, earlier_requests, took, ending, .. } = request;
        let what = format!(
            "n{node}: client {client} at {local_addr}, {earlier_requests} requests before: {ending:?} after {} ms",
            took.as_millis()
        );
        self.violations.push(Violation { rule, at_ms: at.as_millis() as u64, what });
    }

    /// Adds the counts and violations of another audit.
    pub fn add(&mut self, other: RequestAudit) {
        self.requests += other.requests;
        self.refused += other.refused;
        self.killed += other.killed;
        self.cut += other.cut;
        self.crowded_out += other.crowded_out;
        self.unanswered += other.unanswered;
        self.late += other.late;
        self.slowest_ms = self.slowest_ms.max(other.slowest_ms);
        self.violations.extend(other.violations);
    }
}
