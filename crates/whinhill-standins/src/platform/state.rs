//! The simulated platform around the assigners: servers, slices with their holders and lines, and
//! the proxies' tables.
//!
//! One lock protects all of it. The relay applies orders to it, discovery reads the servers,
//! traffic picks servers by the tables, and the audit inspects them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::mpsc::SyncSender;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::channel::Channel;
use super::data_plane::{COLD_SLOWDOWN, PLANE_COUNT};
use super::parameters::{CLASSES, MAX_DISCOVERY_DELAY, SLICES, WARM_UP_DURATION, ZONES};
use super::sabotage::Sabotage;
use super::site::SiteSettings;
use super::streams::{Ack, PlannedStep, Stream, StreamState};
use super::traffic::MEAN_WORK;

/// A server's status in the discovery list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Ready,
    Draining,
    Gone,
}

impl Status {
    /// The status as discovery writes it.
    pub fn wire_name(self) -> &'static str {
        match self {
            Status::Ready => "SERVING",
            Status::Draining => "DRAINING",
            Status::Gone => "DELETED",
        }
    }
}

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    Well,
    /// Accepts connections and requests, and never answers.
    Silent,
    /// Answers probes, but no RPCs.
    Hang,
    /// Answers RPCs, but no probes.
    Mute,
    /// Resets connections that send a request.
    Reset,
    /// Takes this many times as long for its work.
    Slow(u32),
    /// The process is dead.
    Dead,
}

/// One server.
#[derive(Debug)]
pub struct Server {
    pub name: String,
    pub zone: usize,
    pub addr: SocketAddr,
    pub status: Status,
    pub condition: Condition,
    /// Since the start of the platform; `None` if long before it.
    pub started: Option<Duration>,
    /// The same as Unix time; 0 if long before the start of the platform.
    pub started_unix_ms: u64,
    /// By plane: when each worker becomes free.
    pub workers: [[Duration; WORKERS]; PLANE_COUNT],
    /// Deadlines of RPCs of the tested plane that the server accepted and never answers.
    pub hanging_until: VecDeque<Duration>,
    /// The version of the list with which it was last listed as draining, since its last start.
    pub draining_since_version: Option<u64>,
    /// Since when its condition is other than [`Condition::Well`].
    pub unhealthy_since: Option<Duration>,
    /// When the first order since then ended a line at this server or set its level below 1.
    pub noticed_at: Option<Duration>,
}

impl Server {
    /// The average time of an RPC at this server, without queueing.
    pub fn mean_work(&self, now: Duration) -> Duration {
        let is_cold = self.started.is_some_and(|at| now < at + WARM_UP_DURATION);
        let slow = if let Condition::Slow(times) = self.condition { times } else { 1 };
        MEAN_WORK * slow * if is_cold { COLD_SLOWDOWN } else { 1 }
    }

    /// Accepts an RPC that is never answered; the caller gives up at `until`.
    pub fn hold_unanswered(&mut self, now: Duration, until: Duration) {
        self.hanging_until.retain(|until| *until > now);
        self.hanging_until.push_back(until);
    }
}

/// The number of RPCs that a server executes at the same time.
pub const WORKERS: usize = 4;

/// A change of an entry in the server list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    pub version: u64,
    pub at: Duration,
    pub server: usize,
}

/// The table of one slice at one proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Table {
    pub server: Option<usize>,
    /// The admitted share, by class.
    pub levels: [f64; CLASSES.len()],
    /// When the newest order that the proxy has received was sent.
    pub as_of: Duration,
}

/// A table without a server that admits everything.
pub const INITIAL_TABLE: Table = Table { server: None, levels: [1.0; CLASSES.len()], as_of: Duration::ZERO };

/// One slice as the store has it.
#[derive(Clone, Debug)]
pub struct Slice {
    /// The assigner that has custody of the slice.
    pub holder: Option<usize>,
    /// The server that is the slice's line.
    pub line: Option<usize>,
    /// The last order that ended the slice's line or set its level below 1: at which server, and
    /// when.
    pub last_end: Option<(usize, Duration)>,
    /// Increases with each change of the holder, so that orders of an earlier holder are no longer
    /// applied.
    pub epoch: u64,
    pub acquired_at: Duration,
    /// The admitted share, by class.
    pub levels: [f64; CLASSES.len()],
    /// By server: when it last became the line.
    pub line_set_at: BTreeMap<usize, Duration>,
}

/// What an order does at a proxy.
#[derive(Clone, Copy, Debug)]
pub enum Effect {
    Line { slice: usize, server: Option<usize> },
    Level { slice: usize, class: Option<usize>, share: f64 },
    AckRequest { node: usize, ack_seq: u16 },
}

/// A message on its way from an assigner to a proxy; each effect has the epoch of its slice.
#[derive(Debug)]
struct InTransit {
    due: Duration,
    sent: Duration,
    proxy: usize,
    node: usize,
    effects_with_epochs: Vec<(Effect, u64)>,
}

/// One assigner as the relay and the audit see it.
#[derive(Debug, Default)]
pub struct NodeState {
    /// Its open watch streams, newest last.
    pub watchers: Vec<SyncSender<String>>,
    /// Since when the assigner has no watch stream; zero if its process does not serve.
    pub watch_lost_at: Option<Duration>,
    pub first_answer_at: Option<Duration>,
    /// Time limits are suspended until then.
    pub limits_suspended_until: Duration,
    /// By list version: when discovery wrote it to this assigner.
    pub lists_published: Vec<(u64, Duration)>,
    /// Delay of server lists to this assigner.
    pub list_delay: Duration,
    /// Until when a stalled path holds back what discovery writes to this assigner.
    pub lists_held_until: Duration,
    /// SIGTERM was sent to the process.
    pub terminated: bool,
    pub channel: Channel,
    pub last_ack_seq: Option<u16>,
}

/// The state of the simulated platform.
#[derive(Debug)]
pub struct PlatformState {
    pub started: Instant,
    pub proxies: usize,
    pub servers: Vec<Server>,
    /// The version of the server list.
    pub version: u64,
    /// All changes of the server list so far.
    pub changes: Vec<ListChange>,
    pub slices: Vec<Slice>,
    /// By proxy and slice.
    pub tables: Vec<Vec<Table>>,
    pub nodes: Vec<NodeState>,
    pub sabotage: Option<Sabotage>,
    pub site: SiteSettings,
    /// Probes that servers received although the settings forbid them.
    pub forbidden_probes: usize,
    /// The current load as a multiple of the usual load.
    pub load_factor: f64,
    in_transit: VecDeque<InTransit>,
    /// By proxy and assigner.
    pub streams: Vec<Vec<Stream>>,
    /// By proxy and slice: until when the proxy sends writes without a stream; `None` while its
    /// stream is up.
    pub(super) write_leases: Vec<Vec<Option<Duration>>>,
    pub(super) planned: Vec<PlannedStep>,
    pub(super) acks: Vec<Ack>,
    pub(super) random: ChaCha8Rng,
    /// Events, for the timeline of a run with violations.
    pub timeline: Vec<(Duration, String)>,
}

/// The platform state behind its lock.
#[derive(Debug)]
pub struct SharedState(Mutex<PlatformState>);

impl SharedState {
    /// Wraps a platform state to share it among the threads of the stand-ins.
    pub fn new(platform: PlatformState) -> Self {
        SharedState(Mutex::new(platform))
    }

    /// Locks the state. If a thread panicked, the state is still consistent, since each change is
    /// one step.
    pub fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The most events that the timeline keeps.
const MAX_TIMELINE_ENTRIES: usize = 40_000;

impl PlatformState {
    /// Creates a platform without servers.
    pub fn new(
        nodes: usize,
        proxies: usize,
        seed: u64,
        sabotage: Option<Sabotage>,
        site: SiteSettings,
    ) -> Self {
        let levels = [site.initial_level(); CLASSES.len()];
        let slice = Slice {
            holder: None,
            line: None,
            last_end: None,
            epoch: 0,
            acquired_at: Duration::ZERO,
            levels,
            line_set_at: BTreeMap::new(),
        };
        PlatformState {
            started: Instant::now(),
            proxies,
            servers: Vec::new(),
            version: 1,
            changes: Vec::new(),
            slices: vec![slice; SLICES],
            tables: vec![vec![Table { levels, ..INITIAL_TABLE }; SLICES]; proxies],
            nodes: (0..nodes).map(|_| NodeState::default()).collect(),
            sabotage,
            site,
            forbidden_probes: 0,
            load_factor: 1.0,
            in_transit: VecDeque::new(),
            streams: vec![vec![Stream::default(); nodes]; proxies],
            write_leases: vec![vec![None; SLICES]; proxies],
            planned: Vec::new(),
            acks: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            timeline: Vec::new(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Adds an event to the timeline.
    pub fn note(&mut self, what: String) {
        if self.timeline.len() < MAX_TIMELINE_ENTRIES {
            let now = self.now();
            self.timeline.push((now, what));
        }
    }

    /// Adds a server that discovery lists as ready from now on. With `long_running` it counts as
    /// started long ago.
    pub fn add_server(&mut self, name: String, zone: usize, addr: SocketAddr, long_running: bool) -> usize {
        let now = self.now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.servers.push(Server {
            name,
            zone: zone % ZONES.len(),
            addr,
            status: Status::Ready,
            condition: Condition::Well,
            started: (!long_running).then_some(now),
            started_unix_ms: if long_running { 0 } else { unix.as_millis() as u64 },
            workers: [[Duration::ZERO; WORKERS]; PLANE_COUNT],
            hanging_until: VecDeque::new(),
            draining_since_version: None,
            unhealthy_since: None,
            noticed_at: None,
        });
        let server = self.servers.len() - 1;
        self.set_status(server, Status::Ready);
        server
    }

    /// Changes the status of a server in the list.
    pub fn set_status(&mut self, server: usize, status: Status) {
        self.servers[server].status = status;
        self.version += 1;
        let change = ListChange { version: self.version, at: self.now(), server };
        self.changes.push(change);
        match status {
            Status::Ready => self.servers[server].draining_since_version = None,
            Status::Draining => self.servers[server].draining_since_version = Some(self.version),
            Status::Gone => {}
        }
        self.note(format!("list {} {} {status:?}", self.version, self.servers[server].name));
    }

    /// Changes how a server behaves.
    pub fn set_condition(&mut self, server: usize, condition: Condition) {
        let now = self.now();
        let state = &mut self.servers[server];
        (state.condition, state.noticed_at) = (condition, None);
        state.unhealthy_since = (condition != Condition::Well).then_some(now);
        self.note(format!("{} is {condition:?}", self.servers[server].name));
    }

    /// Applies a holder's order for the line of a slice.
    pub fn order_line(&mut self, slice: usize, server: Option<usize>) {
        let (now, former) = (self.now(), std::mem::replace(&mut self.slices[slice].line, server));
        if former != server {
            if let Some(server) = server {
                self.slices[slice].line_set_at.insert(server, now);
            }
            let name = server.map_or("none", |server| self.servers[server].name.as_str());
            self.note(format!("slice {slice} line at {name}"));
        }
        former
            .filter(|former| server != Some(*former))
            .into_iter()
            .for_each(|former| self.note_line_end(slice, former));
    }

    /// Applies a holder's order for the admitted share of a slice.
    pub fn order_level(&mut self, slice: usize, class: Option<usize>, share: f64) {
        self.note(format!(
            "slice {slice} level {share:.2} {}",
            class.map_or("all", |class| CLASSES[class].name)
        ));
        let applied = self.site.applied_level(share);
        for (number, level) in self.slices[slice].levels.iter_mut().enumerate() {
            *level = if class.is_none_or(|class| class == number) { applied } else { *level };
        }
        let line = self.slices[slice].line.filter(|_| share < 1.0);
        line.into_iter().for_each(|server| self.note_line_end(slice, server));
    }

    fn note_line_end(&mut self, slice: usize, server: usize) {
        let now = self.now();
        self.slices[slice].last_end = Some((server, now));
        let state = &mut self.servers[server];
        let Some(since) = state.unhealthy_since.filter(|_| state.noticed_at.is_none()) else { return };
        state.noticed_at = Some(now);
        let (after, condition) = ((now - since).as_millis(), state.condition);
        let holder = self.slices[slice].holder;
        self.note(format!(
            "{} ({condition:?}) noticed after {after} ms by {holder:?}",
            self.servers[server].name
        ));
    }

    /// Restarts a server's process; the server is cold.
    pub fn restart_server(&mut self, server: usize) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = self.now();
        self.set_condition(server, Condition::Well);
        let state = &mut self.servers[server];
        state.started = Some(now);
        state.started_unix_ms = unix.as_millis() as u64;
        state.workers = [[now; WORKERS]; PLANE_COUNT];
        state.hanging_until.clear();
        self.set_status(server, Status::Ready);
    }

    /// The index of the server with this name.
    pub fn server_named(&self, name: &str) -> Option<usize> {
        self.servers.iter().position(|server| server.name == name)
    }

    /// Suspends the time limits of an assigner's slices for a time.
    pub fn suspend_limits(&mut self, node: usize, wait: Duration) {
        let until = self.now() + wait;
        self.nodes[node].limits_suspended_until = self.nodes[node].limits_suspended_until.max(until);
    }

    /// Counts a probe where the settings forbid probes.
    pub fn record_probe(&mut self, server: usize) {
        if !self.site.probes {
            self.forbidden_probes += 1;
            self.note(format!("{} is probed", self.servers[server].name));
        }
    }

    /// Sends a watch update to an assigner; a stream whose queue is full is dropped.
    pub fn notify(&mut self, node: usize, line: &str) {
        self.nodes[node].watchers.retain(|reader| reader.try_send(line.to_string()).is_ok());
    }

    /// Assigns a slice to an assigner, or releases it.
    pub fn set_holder(&mut self, slice: usize, holder: Option<usize>) {
        let now = self.now();
        let former = std::mem::replace(&mut self.slices[slice].holder, holder);
        if former == holder {
            return;
        }
        self.slices[slice].epoch += 1;
        self.slices[slice].acquired_at = now;
        if let Some(former) = former {
            self.notify(former, &format!("* lease {slice} 0\r\n"));
        }
        if let Some(holder) = holder {
            self.notify(holder, &format!("* lease {slice} 1\r\n"));
            if let Some(server) = self.slices[slice].line {
                let name = &self.servers[server].name;
                let line = format!("* line {slice} {name} 1.0\r\n");
                self.notify(holder, &line);
            }
        }
        self.slices[slice].levels = [self.site.initial_level(); CLASSES.len()];
        self.on_holder_change(slice);
        self.note(format!("slice {slice} from {former:?} to {holder:?}"));
    }

    /// Sends an assigner's effects to all proxies that have a stream to it, each with its own
    /// transit time.
    pub fn send(&mut self, node: usize, effects: &[Effect]) {
        self.lose_stream_before_stops(node, effects);
        let now = self.now();
        let epoch = |effect: &Effect| match effect {
            Effect::Line { slice, .. } | Effect::Level { slice, .. } => self.slices[*slice].epoch,
            Effect::AckRequest { .. } => 0,
        };
        let effects_with_epochs: Vec<(Effect, u64)> =
            effects.iter().map(|effect| (*effect, epoch(effect))).collect();
        for proxy in 0..self.proxies {
            let transit = self.site.timing.timing().draw_transit(&mut self.random);
            // Orders of one assigner reach a proxy in the order in which they were sent.
            let before = self.in_transit.iter().rev().find(|t| t.proxy == proxy && t.node == node);
            let last = before.map_or(now, |t| t.due);
            let stream = self.streams[proxy][node];
            // Orders that arrive before the proxy has read the store are applied after that.
            let due = (now + transit).max(last).max(stream.store_read_at.unwrap_or_default());
            if stream.state == StreamState::Lost {
                self.ack_unreceived(proxy, effects);
            } else {
                self.in_transit.push_back(InTransit {
                    due,
                    sent: now,
                    proxy,
                    node,
                    effects_with_epochs: effects_with_epochs.clone(),
                });
            }
        }
    }

    /// Drops what an assigner has sent to a proxy whose stream is lost.
    pub(super) fn drop_messages(&mut self, proxy: usize, node: usize) {
        self.in_transit.retain(|message| message.proxy != proxy || message.node != node);
    }

    /// The table that a proxy sends by.
    pub fn table(&self, proxy: usize, slice: usize) -> Table {
        let table = self.tables[proxy][slice];
        if self.sabotage != Some(Sabotage::ColdRush) {
            return table;
        }
        let newest = |server: &usize| self.servers[*server].started;
        let ready = (0..self.servers.len()).filter(|server| self.servers[*server].status == Status::Ready);
        Table { server: ready.max_by_key(newest), ..table }
    }

    /// Applies the messages that have reached the proxies by now.
    pub fn apply_due(&mut self) {
        let now = self.now();
        self.run_planned_steps();
        let (due, later): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|t| t.due <= now);
        self.in_transit = later;
        for message in due {
            self.apply(&message);
        }
        self.deliver_acks();
    }

    fn apply(&mut self, message: &InTransit) {
        let proxy = message.proxy;
        for (effect, epoch) in &message.effects_with_epochs {
            if let Effect::Line { slice, .. } | Effect::Level { slice, .. } = effect {
                let table = &mut self.tables[proxy][*slice];
                table.as_of = table.as_of.max(message.sent);
            }
            match *effect {
                Effect::Line { slice, server } if *epoch == self.slices[slice].epoch => {
                    let kept = match self.sabotage {
                        Some(Sabotage::NoLine) if slice == 0 => continue,
                        Some(Sabotage::TwoWriters) => proxy.is_multiple_of(2),
                        _ => false,
                    };
                    let drains = |at: usize| self.servers[at].status != Status::Ready;
                    let former = self.tables[proxy][slice].server;
                    let late = self.sabotage == Some(Sabotage::LateDrain) && former.is_some_and(drains);
                    let is_silent = |at: usize| self.servers[at].condition == Condition::Silent;
                    let lost = self.sabotage == Some(Sabotage::LostEnds) && former.is_some_and(is_silent);
                    let stays = late || lost || kept && former.is_some();
                    if !stays {
                        self.tables[proxy][slice].server = server;
                    }
                }
                Effect::Level { slice, class, share } if *epoch == self.slices[slice].epoch => {
                    let kept = self.sabotage == Some(Sabotage::TwoWriters) && proxy.is_multiple_of(2);
                    let is_silent = |at: usize| self.servers[at].condition == Condition::Silent;
                    let lost = self.sabotage == Some(Sabotage::LostEnds)
                        && self.tables[proxy][slice].server.is_some_and(is_silent);
                    if lost {
                        continue;
                    }
                    let ignores = self.sabotage == Some(Sabotage::IgnoredLevels);
                    let applied = self.site.applied_level(share);
                    let initial = self.site.initial_level();
                    for (number, level) in self.tables[proxy][slice].levels.iter_mut().enumerate() {
                        if class.is_none_or(|class| class == number) && !kept {
                            let ignored = ignores && (share > 0.0 || !CLASSES[number].writes);
                            *level = if ignored { initial } else { applied };
                        }
                    }
                }
                Effect::AckRequest { node, ack_seq } => {
                    self.send_ack(proxy, node, ack_seq, message.due - message.sent);
                }
                Effect::Line { .. } | Effect::Level { .. } => {}
            }
        }
    }

    /// Whether at least one server is ready, healthy and warm.
    pub fn has_warm_server(&self) -> bool {
        let now = self.now();
        let warm = |started: Option<Duration>| started.is_none_or(|at| now >= at + WARM_UP_DURATION);
        self.servers
            .iter()
            .any(|s| s.status == Status::Ready && s.condition == Condition::Well && warm(s.started))
    }

    /// Whether the rule on drains holds for a server that is not ready. Where removal from the list is advice, it holds
    /// only if discovery has told the assigner that the server drains.
    pub fn must_leave(&self, node: usize, server: usize) -> bool {
        let state = &self.servers[server];
        if state.status == Status::Ready || !self.site.gone_is_advice {
            return state.status != Status::Ready;
        }
        let Some(draining) = state.draining_since_version else { return false };
        let changes = self.changes.iter().filter(|change| change.server == server);
        let next_change = changes.map(|change| change.version).find(|version| *version > draining);
        let was_told = |version: &u64| *version >= draining && next_change.is_none_or(|next| *version < next);
        self.nodes[node].lists_published.iter().any(|(version, _)| was_told(version))
    }

    /// When an assigner counts as informed of a list change.
    pub fn informed_at(&self, node: usize, change: &ListChange) -> Duration {
        let publication =
            self.nodes[node].lists_published.iter().find(|(version, _)| *version >= change.version);
        publication.map_or(Duration::MAX, |(_, at)| *at).min(change.at + MAX_DISCOVERY_DELAY)
    }
}
