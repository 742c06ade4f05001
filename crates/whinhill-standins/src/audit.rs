//! The auditor. It checks the five rules from events that were recorded at servers, clients, links and the store,
//! never from the internal state of an assigner or a proxy.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use whinhill_assigner::RosterState;

use crate::recorder::Event;

/// The limits that the rules set, from the day's script.
#[derive(Clone, Debug)]
pub struct Limits {
    /// How long a proxy may be without a line for a slice.
    pub max_without_line: Duration,
    /// How long RPCs may still be sent to a server that drains or is no longer listed.
    pub drain_grace: Duration,
    /// How long a server takes to warm up.
    pub warm_up: Duration,
    /// Share of its full capacity that a cold server has when it starts.
    pub cold_capacity: f64,
    /// The most work that may be sent to a cold server, as a multiple of the work it can do in the same time.
    pub overload_factor: f64,
    /// The window over which that work is summed.
    pub overload_window: Duration,
    /// The most lines that may be queued in an assigner's channel.
    pub max_backlog: f64,
    /// Tolerance added to the limits in time, for delays of servers, links and the reading of the roster.
    pub slack: Duration,
}

/// The number of violations of each rule.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RuleViolations {
    /// A connected proxy had no line for a slice for too long while a warm server was ready.
    pub no_proxy_without_a_line: u64,
    /// A write was executed twice, at a former owner, or at two servers at a time.
    pub no_effect_twice: u64,
    /// An RPC was sent to a draining or unlisted server after the grace.
    pub drains_kept: u64,
    /// A cold server was sent too much work.
    pub cold_servers: u64,
    /// Too many lines were queued in an assigner's channel.
    pub short_queue: u64,
}

impl RuleViolations {
    /// The violations of all rules together.
    pub fn total(&self) -> u64 {
        self.no_proxy_without_a_line
            + self.no_effect_twice
            + self.drains_kept
            + self.cold_servers
            + self.short_queue
    }
}

/// The result of an audit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Audit {
    pub rules: RuleViolations,
    /// RPCs that must not be executed twice and were started more than once.
    pub writes_executed_twice: u64,
    /// Writes that started at a server that never owned the slice, or after a later owner had started one.
    pub stale_writes: u64,
    /// Writes that started while another write to the same slice was executed at another server.
    pub overlapping_writes: u64,
    /// Changes of an owner in the store.
    pub handovers: u64,
    /// The first [`MAX_FINDINGS`] findings, as text.
    pub findings: Vec<String>,
}

/// Most findings that are kept as text.
const MAX_FINDINGS: usize = 40;

impl Audit {
    fn add_finding(&mut self, at: Duration, text: String) {
        if self.findings.len() < MAX_FINDINGS {
            self.findings.push(format!("{:.3} s: {text}", at.as_secs_f64()));
        }
    }
}

/// The name of a server, a proxy or an assigner.
type Name = Arc<str>;
/// Changes of a two-valued state, by time.
type StateChanges = Vec<(Duration, bool)>;

/// The assigner that had custody of a slice, and the slice's owner, by time.
#[derive(Default)]
struct SliceHistory {
    holders: Vec<(Duration, Option<String>)>,
    owners: Vec<(Duration, Name)>,
}

/// The recorded changes that the rules depend on, by slice, pair of parts, or part.
#[derive(Default)]
struct Timeline {
    slices: BTreeMap<usize, SliceHistory>,
    /// True while a proxy's link to an assigner is cut.
    link_cuts: HashMap<(Name, Name), StateChanges>,
    /// True for each connection between a proxy and an assigner that is opened, false for each that ends.
    connections: HashMap<(Name, Name), StateChanges>,
    /// True while the link between a proxy and a server has a fault.
    impairments: HashMap<(Name, Name), StateChanges>,
    assigner_running: HashMap<Name, StateChanges>,
    proxy_running: HashMap<Name, StateChanges>,
}

/// Whether a state differed from `usual` at any time between `from` and `to`.
fn differed_during(changes: Option<&StateChanges>, usual: bool, from: Duration, to: Duration) -> bool {
    let Some(changes) = changes else { return false };
    let before = changes.iter().rev().find(|(at, _)| *at <= from).is_some_and(|(_, state)| *state != usual);
    before || changes.iter().any(|(at, state)| *at > from && *at <= to && *state != usual)
}

impl Timeline {
    fn from_events(events: &[(Duration, Event)]) -> Self {
        let mut timeline = Timeline::default();
        for (at, event) in events {
            match event {
                Event::RecordStored { slice, holder, owner, .. } => {
                    let history = timeline.slices.entry(*slice).or_default();
                    if history.holders.last().map(|(_, held)| held) != Some(holder) {
                        history.holders.push((*at, holder.clone()));
                    }
                    let Some(owner) = owner else { continue };
                    if history.owners.last().map(|(_, held)| held) != Some(owner) {
                        history.owners.push((*at, owner.clone()));
                    }
                }
                Event::AssignerLinkCut { proxy, assigner, cut } => {
                    timeline
                        .link_cuts
                        .entry((proxy.clone(), assigner.clone()))
                        .or_default()
                        .push((*at, *cut));
                }
                Event::ServerLinkImpaired { proxy, server, impaired } => {
                    let pair = (proxy.clone(), server.clone());
                    timeline.impairments.entry(pair).or_default().push((*at, *impaired));
                }
                Event::AssignerConnection { proxy, assigner, up } => {
                    let pair = (proxy.clone(), assigner.clone());
                    timeline.connections.entry(pair).or_default().push((*at, *up));
                }
                Event::AssignerRunning { assigner, running } => {
                    timeline.assigner_running.entry(assigner.clone()).or_default().push((*at, *running))
                }
                Event::ProxyRunning { proxy, running } => {
                    timeline.proxy_running.entry(proxy.clone()).or_default().push((*at, *running));
                }
                _ => {}
            }
        }
        timeline
    }

    /// Whether a proxy was connected without a disturbance, from `from` to `to`, to one assigner that had custody of
    /// the slice all that time. Only then is it certain to have been notified of what it should do.
    fn was_connected(&self, proxy: &Name, slice: usize, from: Duration, to: Duration) -> bool {
        let Some(history) = self.slices.get(&slice) else { return false };
        let before = history.holders.iter().rposition(|(at, _)| *at <= from);
        let changed = history.holders.iter().any(|(at, _)| *at > from && *at <= to);
        let Some(holder) = before.and_then(|index| history.holders[index].1.clone()).filter(|_| !changed)
        else {
            return false;
        };
        let holder: Name = holder.into();
        let pair = (proxy.clone(), holder.clone());
        // Tables and load reports use one connection each. Both must be open, and none may be opened or closed.
        let connections = self.connections.get(&pair).map(Vec::as_slice).unwrap_or_default();
        let open_connections: i32 =
            connections.iter().filter(|(at, _)| *at <= from).map(|(_, up)| if *up { 1 } else { -1 }).sum();
        open_connections >= 2
            && !connections.iter().any(|(at, _)| *at > from && *at <= to)
            && !differed_during(self.link_cuts.get(&pair), false, from, to)
            && !differed_during(self.assigner_running.get(&holder), true, from, to)
            && !differed_during(self.proxy_running.get(proxy), true, from, to)
    }
}

/// Audits all events of a day. `backlog_most` is the most lines that were ever queued in one assigner's channel.
pub fn audit(events: &[(Duration, Event)], limits: &Limits, backlog_most: u64) -> Audit {
    let timeline = Timeline::from_events(events);
    let mut audit = Audit::default();
    check_effects(events, &timeline, &mut audit);
    check_drains(events, &timeline, limits, &mut audit);
    check_cold_servers(events, limits, &mut audit);
    check_missing_lines(events, &timeline, limits, &mut audit);
    if backlog_most as f64 > limits.max_backlog {
        audit.rules.short_queue += 1;
        audit.add_finding(
            Duration::ZERO,
            format!("{backlog_most} lines were queued in a channel, {} are allowed", limits.max_backlog),
        );
    }
    audit.handovers =
        timeline.slices.values().map(|history| history.owners.len().saturating_sub(1) as u64).sum();
    audit
}

/// No effect twice: finds RPCs that must run once and ran again, overlapping writes at two servers, and writes at a
/// former owner.
fn check_effects(events: &[(Duration, Event)], timeline: &Timeline, audit: &mut Audit) {
    let mut start_counts: HashMap<u64, u32> = HashMap::new();
    let mut open_writes: BTreeMap<usize, Vec<(u64, Name)>> = BTreeMap::new();
    let mut latest_position: BTreeMap<usize, usize> = BTreeMap::new();
    for (at, event) in events {
        match event {
            Event::ExecutionStarted { server, rpc, slice, write, once } => {
                let count = start_counts.entry(*rpc).or_default();
                *count += 1;
                if *once && *count == 2 {
                    audit.writes_executed_twice += 1;
                    audit.add_finding(*at, format!("RPC {rpc} began a second time, at {server}"));
                }
                if !write {
                    continue;
                }
                let slice_writes = open_writes.entry(*slice).or_default();
                if let Some((other, elsewhere)) = slice_writes.iter().find(|(_, other)| other != server) {
                    let text = format!(
                        "slice {slice}: write {rpc} at {server} while {other} is in flight at {elsewhere}"
                    );
                    audit.overlapping_writes += 1;
                    audit.add_finding(*at, text);
                }
                slice_writes.push((*rpc, server.clone()));
                // Which of the slice's successive owners, in the order in which they were stored, the server is.
                let owners =
                    timeline.slices.get(slice).map(|history| history.owners.as_slice()).unwrap_or_default();
                let position = owners.iter().rposition(|(since, owner)| since <= at && owner == server);
                let latest_position = latest_position.entry(*slice).or_default();
                match position {
                    Some(position) if position >= *latest_position => *latest_position = position,
                    _ => {
                        audit.stale_writes += 1;
                        audit.add_finding(
                            *at,
                            format!("slice {slice}: write {rpc} at {server}, a former owner or none"),
                        );
                    }
                }
            }
            Event::ExecutionEnded { rpc, slice, write: true, .. } => {
                open_writes.entry(*slice).or_default().retain(|(other, _)| other != rpc);
            }
            _ => {}
        }
    }
    audit.rules.no_effect_twice = audit.writes_executed_twice + audit.stale_writes + audit.overlapping_writes;
}

/// Drains: an RPC must not reach a draining or unlisted server later than the grace after the roster's change, if its
/// proxy was connected to the slice's assigner all that time.
fn check_drains(events: &[(Duration, Event)], timeline: &Timeline, limits: &Limits, audit: &mut Audit) {
    let mut unavailable_since: HashMap<&Name, Duration> = HashMap::new();
    for (at, event) in events {
        match event {
            Event::ServerListed { server, state: Some(RosterState::Ready) } => {
                unavailable_since.remove(server);
            }
            Event::ServerListed { server, .. } => drop(unavailable_since.entry(server).or_insert(*at)),
            Event::RpcArrived { server, rpc, slice, proxy, .. } => {
                let Some(since) = unavailable_since.get(server) else { continue };
                let window = limits.drain_grace + limits.slack;
                let window_start = at.saturating_sub(window);
                // An RPC that a faulty link delayed may have been sent in time.
                let pair = (proxy.clone(), server.clone());
                let delayed = differed_during(timeline.impairments.get(&pair), false, window_start, *at);
                if window_start > *since
                    && !delayed
                    && timeline.was_connected(proxy, *slice, window_start, *at)
                {
                    audit.rules.drains_kept += 1;
                    let after = at.saturating_sub(*since).as_secs_f64();
                    audit.add_finding(
                        *at,
                        format!(
                            "slice {slice}: RPC {rpc} sent by {proxy} to {server} {after:.2} s after it should have been left"
                        ),
                    );
                }
            }
            _ => {}
        }
    }
}

/// Cold servers: the work sent within any window must stay below a multiple of what the server can do in it. A server
/// is reported once.
fn check_cold_servers(events: &[(Duration, Event)], limits: &Limits, audit: &mut Audit) {
    struct ColdServer {
        started: Duration,
        capacity: f64,
        arrivals: Vec<(Duration, f64)>,
        overloaded: bool,
    }
    let mut cold_servers: HashMap<&Name, ColdServer> = HashMap::new();
    for (at, event) in events {
        match event {
            Event::ServerStarted { server, cold: true, capacity } => {
                let new =
                    ColdServer { started: *at, capacity: *capacity, arrivals: Vec::new(), overloaded: false };
                cold_servers.insert(server, new);
            }
            Event::RpcArrived { server, work, .. } => {
                let Some(target) = cold_servers.get_mut(server).filter(|target| !target.overloaded) else {
                    continue;
                };
                let age = at.saturating_sub(target.started);
                if age > limits.warm_up {
                    continue;
                }
                let from = at.saturating_sub(limits.overload_window);
                target.arrivals.retain(|(then, _)| *then > from);
                target.arrivals.push((*at, *work));
                let sent_work: f64 = target.arrivals.iter().map(|(_, work)| work).sum();
                let ramp = limits.cold_capacity
                    + (1.0 - limits.cold_capacity) * age.as_secs_f64() / limits.warm_up.as_secs_f64();
                let possible_work = target.capacity * ramp.min(1.0) * limits.overload_window.as_secs_f64();
                // Four RPCs' work as a margin for chance: one heavy RPC may take as much as the whole window.
                let max_work = limits.overload_factor * possible_work + 4.0 * work;
                if sent_work > max_work {
                    target.overloaded = true;
                    audit.rules.cold_servers += 1;
                    let age = age.as_secs_f64();
                    audit.add_finding(
                        *at,
                        format!(
                            "server {server}, {age:.1} s old, was sent {:.1} times what it could do",
                            sent_work / possible_work
                        ),
                    );
                }
            }
            _ => {}
        }
    }
}

/// No proxy without a line: a connected proxy must not keep refusing RPCs for a slice for lack of a line while a warm
/// server is listed as ready. Each such period is reported once.
fn check_missing_lines(
    events: &[(Duration, Event)],
    timeline: &Timeline,
    limits: &Limits,
    audit: &mut Audit,
) {
    let mut ready: BTreeMap<&Name, Duration> = BTreeMap::new();
    let mut started: HashMap<&Name, Duration> = HashMap::new();
    let mut without_line: HashMap<(&Name, usize), Duration> = HashMap::new();
    let mut reported: BTreeSet<(&Name, usize)> = BTreeSet::new();
    for (at, event) in events {
        match event {
            Event::ServerStarted { server, cold, .. } => {
                let warm = if *cold { *at + limits.warm_up } else { *at };
                started.insert(server, warm);
            }
            Event::ServerListed { server, state: Some(RosterState::Ready) } => {
                ready.insert(server, started.get(server).copied().unwrap_or(*at).max(*at));
            }
            Event::ServerListed { server, .. } => drop(ready.remove(server)),
            Event::RpcAnswered { proxy, slice, no_line, .. } => {
                let key = (proxy, *slice);
                if !no_line {
                    without_line.remove(&key);
                    reported.remove(&key);
                    continue;
                }
                let since = *without_line.entry(key).or_insert(*at);
                let warm = ready.values().any(|warm| *warm <= since);
                let too_long = at.saturating_sub(since) > limits.max_without_line + limits.slack;
                if too_long
                    && warm
                    && timeline.was_connected(proxy, *slice, since, *at)
                    && reported.insert(key)
                {
                    audit.rules.no_proxy_without_a_line += 1;
                    audit.add_finding(
                        *at,
                        format!(
                            "proxy {proxy}: no line for slice {slice} since {:.2} s",
                            since.as_secs_f64()
                        ),
                    );
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
