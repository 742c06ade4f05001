//! What stands round the assigners: servers, slices with their holders and lines, and the proxies' tables.
//!
//! One lock holds it all. The relay writes orders into it, discovery reads the servers, traffic picks by the tables,
//! and the auditor looks at them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::mpsc::SyncSender;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::channel::Channel;
use super::page::{CLASSES, SLICES, WARM_AFTER, ZONES};
use super::plane::{COLD, PLANES};
use super::sabotage::Sabotage;
use super::streams::{Answer, Planned, State, Stream};
use super::traffic::MEAN_WORK;

/// Where discovery lists a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Ready,
    Draining,
    Gone,
}

impl Status {
    /// The word on the wire.
    pub fn word(self) -> &'static str {
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
    /// It takes connections and requests, and answers none.
    Silent,
    /// It answers probes, and no RPC.
    Hang,
    /// It answers RPCs, and no probe.
    Mute,
    /// It resets what is sent to it.
    Reset,
    /// Its work takes this many times as long.
    Slow(u32),
    /// Its process is dead.
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
    /// Since the world's start; `None`: long before it.
    pub started: Option<Duration>,
    pub started_unix_ms: u64,
    /// By plane, when each of its workers is free.
    pub workers: [[Duration; WORKERS]; PLANES],
    /// RPCs of the judged plane that it took and does not answer, by when their callers give up.
    pub held: VecDeque<Duration>,
    /// Since when it is other than well.
    pub unwell_since: Option<Duration>,
    /// The first order since then that ended or gated a line at it.
    pub noticed: Option<Duration>,
}

impl Server {
    /// How long an RPC takes there on average, without waiting.
    pub fn mean_work(&self, now: Duration) -> Duration {
        let is_cold = self.started.is_some_and(|at| now < at + WARM_AFTER);
        let slow = if let Condition::Slow(times) = self.condition { times } else { 1 };
        MEAN_WORK * slow * if is_cold { COLD } else { 1 }
    }

    /// It takes an RPC that it will not answer; the caller gives up then.
    pub fn hold(&mut self, now: Duration, until: Duration) {
        self.held.retain(|until| *until > now);
        self.held.push_back(until);
    }
}

/// RPCs that a server works on at a time.
pub const WORKERS: usize = 4;
/// Longest way of an order to a proxy.
const WAY_MOST: Duration = Duration::from_millis(40);

/// An entry of the list that changed.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub version: u64,
    pub at: Duration,
    pub server: usize,
}

/// The table of one slice at one proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Table {
    pub server: Option<usize>,
    /// The share that is let in, by class.
    pub levels: [f64; CLASSES.len()],
    /// When the newest order that it holds was sent.
    pub as_of: Duration,
}

/// No server, and all is let in.
pub const OPEN: Table = Table { server: None, levels: [1.0; CLASSES.len()], as_of: Duration::ZERO };

/// How long an order takes to a proxy.
pub fn draw_way(random: &mut ChaCha8Rng) -> Duration {
    random.random_range(Duration::from_millis(1)..WAY_MOST)
}

/// One slice as the store has it.
#[derive(Clone, Debug)]
pub struct Slice {
    pub holder: Option<usize>,
    pub line: Option<usize>,
    /// The last order that ended or gated its line: at which server, and when.
    pub ended: Option<(usize, Duration)>,
    /// Grows with each change of hands: what an earlier holder ordered is no longer applied.
    pub epoch: u64,
    pub given_at: Duration,
    /// The share that is let in, by class.
    pub levels: [f64; CLASSES.len()],
    /// By server, when it became the line last.
    pub set_at: BTreeMap<usize, Duration>,
}

/// What an order does at a proxy.
#[derive(Clone, Copy, Debug)]
pub enum Effect {
    Line { slice: usize, server: Option<usize> },
    Level { slice: usize, class: Option<usize>, share: f64 },
    Mark { node: usize, mark: u16 },
}

#[derive(Debug)]
struct Travelling {
    due: Duration,
    sent: Duration,
    proxy: usize,
    node: usize,
    epochs: Vec<(Effect, u64)>,
}

/// One assigner as the relay and the auditor see it.
#[derive(Debug, Default)]
pub struct Node {
    /// Readers of news, newest last.
    pub news: Vec<SyncSender<String>>,
    pub left_at: Option<Duration>,
    pub first_answer: Option<Duration>,
    /// Time limits do not run until then.
    pub excused_until: Duration,
    /// By version of the list, when discovery wrote it to this assigner.
    pub told: Vec<(u64, Duration)>,
    /// Lists reach it so much later.
    pub list_delay: Duration,
    /// What discovery writes to it is held on the way until then.
    pub lists_held_until: Duration,
    pub terminated: bool,
    pub channel: Channel,
    pub last_mark: Option<u16>,
}

/// All of it.
#[derive(Debug)]
pub struct World {
    pub started: Instant,
    pub proxies: usize,
    pub servers: Vec<Server>,
    pub version: u64,
    pub changes: Vec<Change>,
    pub slices: Vec<Slice>,
    pub tables: Vec<Vec<Table>>,
    pub nodes: Vec<Node>,
    pub sabotage: Option<Sabotage>,
    /// Load, in times of the usual.
    pub rate_times: f64,
    travelling: VecDeque<Travelling>,
    /// By proxy and assigner.
    pub streams: Vec<Vec<Stream>>,
    /// By proxy and slice, until when writes are sent without a stream; `None`: the stream stands.
    pub(super) write_leases: Vec<Vec<Option<Duration>>>,
    pub(super) planned: Vec<Planned>,
    pub(super) answers: Vec<Answer>,
    pub(super) random: ChaCha8Rng,
    /// What happened, for the time line of a broken seed.
    pub happened: Vec<(Duration, String)>,
}

/// The world behind its lock.
#[derive(Debug)]
pub struct Shared(Mutex<World>);

impl Shared {
    /// A world to be shared by the stand-ins' threads.
    pub fn new(world: World) -> Self {
        Shared(Mutex::new(world))
    }

    /// Locks it. A thread that panicked has left it whole: each change is one step.
    pub fn lock(&self) -> MutexGuard<'_, World> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Most lines of the time line that are kept.
const HAPPENED_MOST: usize = 40_000;

impl World {
    /// A world without servers yet, for so many assigners and proxies.
    pub fn new(nodes: usize, proxies: usize, seed: u64, sabotage: Option<Sabotage>) -> Self {
        let slice = Slice {
            holder: None,
            line: None,
            ended: None,
            epoch: 0,
            given_at: Duration::ZERO,
            levels: OPEN.levels,
            set_at: BTreeMap::new(),
        };
        World {
            started: Instant::now(),
            proxies,
            servers: Vec::new(),
            version: 1,
            changes: Vec::new(),
            slices: vec![slice; SLICES],
            tables: vec![vec![OPEN; SLICES]; proxies],
            nodes: (0..nodes).map(|_| Node::default()).collect(),
            sabotage,
            rate_times: 1.0,
            travelling: VecDeque::new(),
            streams: vec![vec![Stream::default(); nodes]; proxies],
            write_leases: vec![vec![None; SLICES]; proxies],
            planned: Vec::new(),
            answers: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            happened: Vec::new(),
        }
    }

    /// Since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Notes something for the time line.
    pub fn note(&mut self, what: String) {
        if self.happened.len() < HAPPENED_MOST {
            let now = self.now();
            self.happened.push((now, what));
        }
    }

    /// A server that discovery lists as ready from now on; `old`: it has served for long.
    pub fn add_server(&mut self, name: String, zone: usize, addr: SocketAddr, old: bool) -> usize {
        let now = self.now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.servers.push(Server {
            name,
            zone: zone % ZONES.len(),
            addr,
            status: Status::Ready,
            condition: Condition::Well,
            started: (!old).then_some(now),
            started_unix_ms: if old { 0 } else { unix.as_millis() as u64 },
            workers: [[Duration::ZERO; WORKERS]; PLANES],
            held: VecDeque::new(),
            unwell_since: None,
            noticed: None,
        });
        let server = self.servers.len() - 1;
        self.list(server, Status::Ready);
        server
    }

    /// The list names another status for a server.
    pub fn list(&mut self, server: usize, status: Status) {
        self.servers[server].status = status;
        self.version += 1;
        let change = Change { version: self.version, at: self.now(), server };
        self.changes.push(change);
        self.note(format!("list {} {} {status:?}", self.version, self.servers[server].name));
    }

    /// A server behaves otherwise from now on.
    pub fn set_condition(&mut self, server: usize, condition: Condition) {
        let now = self.now();
        let state = &mut self.servers[server];
        (state.condition, state.noticed) = (condition, None);
        state.unwell_since = (condition != Condition::Well).then_some(now);
        self.note(format!("{} is {condition:?}", self.servers[server].name));
    }

    /// A holder orders a slice's line.
    pub fn order_line(&mut self, slice: usize, server: Option<usize>) {
        let (now, former) = (self.now(), std::mem::replace(&mut self.slices[slice].line, server));
        if former != server {
            if let Some(server) = server {
                self.slices[slice].set_at.insert(server, now);
            }
            let name = server.map_or("none", |server| self.servers[server].name.as_str());
            self.note(format!("slice {slice} line at {name}"));
        }
        former
            .filter(|former| server != Some(*former))
            .into_iter()
            .for_each(|former| self.end(slice, former));
    }

    /// A holder orders what share a slice's server is sent.
    pub fn order_level(&mut self, slice: usize, class: Option<usize>, share: f64) {
        self.note(format!(
            "slice {slice} level {share:.2} {}",
            class.map_or("all", |class| CLASSES[class].name)
        ));
        for (number, level) in self.slices[slice].levels.iter_mut().enumerate() {
            *level = if class.is_none_or(|class| class == number) { share } else { *level };
        }
        let line = self.slices[slice].line.filter(|_| share < 1.0);
        line.into_iter().for_each(|server| self.end(slice, server));
    }

    fn end(&mut self, slice: usize, server: usize) {
        let now = self.now();
        self.slices[slice].ended = Some((server, now));
        let state = &mut self.servers[server];
        let Some(since) = state.unwell_since.filter(|_| state.noticed.is_none()) else { return };
        state.noticed = Some(now);
        let (after, condition) = ((now - since).as_millis(), state.condition);
        let holder = self.slices[slice].holder;
        self.note(format!(
            "{} ({condition:?}) noticed after {after} ms by {holder:?}",
            self.servers[server].name
        ));
    }

    /// A server's process starts anew, and is cold.
    pub fn restart_server(&mut self, server: usize) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = self.now();
        self.set_condition(server, Condition::Well);
        let state = &mut self.servers[server];
        state.started = Some(now);
        state.started_unix_ms = unix.as_millis() as u64;
        state.workers = [[now; WORKERS]; PLANES];
        state.held.clear();
        self.list(server, Status::Ready);
    }

    /// The place of a server by its name.
    pub fn server_named(&self, name: &str) -> Option<usize> {
        self.servers.iter().position(|server| server.name == name)
    }

    /// Time limits of an assigner's slices wait so much longer.
    pub fn excuse(&mut self, node: usize, wait: Duration) {
        let until = self.now() + wait;
        self.nodes[node].excused_until = self.nodes[node].excused_until.max(until);
    }

    /// Sends news to an assigner; a reader that is too far behind is dropped.
    pub fn tell(&mut self, node: usize, line: &str) {
        self.nodes[node].news.retain(|reader| reader.try_send(line.to_string()).is_ok());
    }

    /// Gives a slice to an assigner, or takes it away.
    pub fn give(&mut self, slice: usize, holder: Option<usize>) {
        let now = self.now();
        let former = std::mem::replace(&mut self.slices[slice].holder, holder);
        if former == holder {
            return;
        }
        self.slices[slice].epoch += 1;
        self.slices[slice].given_at = now;
        if let Some(former) = former {
            self.tell(former, &format!("* lease {slice} 0\r\n"));
        }
        if let Some(holder) = holder {
            self.tell(holder, &format!("* lease {slice} 1\r\n"));
            if let Some(server) = self.slices[slice].line {
                let name = &self.servers[server].name;
                let line = format!("* line {slice} {name} 1.0\r\n");
                self.tell(holder, &line);
            }
        }
        self.slices[slice].levels = OPEN.levels;
        self.hand_over(slice);
        self.note(format!("slice {slice} from {former:?} to {holder:?}"));
    }

    /// Sends an assigner's effects to all proxies that have a stream to it, each with a way of its own.
    pub fn send(&mut self, node: usize, effects: &[Effect]) {
        self.lose_stops(node, effects);
        let now = self.now();
        let epoch = |effect: &Effect| match effect {
            Effect::Line { slice, .. } | Effect::Level { slice, .. } => self.slices[*slice].epoch,
            Effect::Mark { .. } => 0,
        };
        let epochs: Vec<(Effect, u64)> = effects.iter().map(|effect| (*effect, epoch(effect))).collect();
        for proxy in 0..self.proxies {
            let way = draw_way(&mut self.random);
            // Orders of one assigner reach a proxy in the order in which they were sent.
            let before = self.travelling.iter().rev().find(|t| t.proxy == proxy && t.node == node);
            let last = before.map_or(now, |t| t.due);
            let stream = self.streams[proxy][node];
            // What is sent before it has read the store it takes in after that.
            let due = (now + way).max(last).max(stream.reads_at.unwrap_or_default());
            if stream.state == State::Lost {
                self.answer_unread_marks(proxy, effects);
            } else {
                self.travelling.push_back(Travelling { due, sent: now, proxy, node, epochs: epochs.clone() });
            }
        }
    }

    /// What an assigner sent to a proxy whose stream is lost does not arrive.
    pub(super) fn lose_messages(&mut self, proxy: usize, node: usize) {
        self.travelling.retain(|travelling| travelling.proxy != proxy || travelling.node != node);
    }

    /// The table by which a proxy sends.
    pub fn table(&self, proxy: usize, slice: usize) -> Table {
        let table = self.tables[proxy][slice];
        if self.sabotage != Some(Sabotage::ColdRush) {
            return table;
        }
        let newest = |server: &usize| self.servers[*server].started;
        let ready = (0..self.servers.len()).filter(|server| self.servers[*server].status == Status::Ready);
        Table { server: ready.max_by_key(newest), ..table }
    }

    /// Applies what has reached the proxies by now.
    pub fn apply_due(&mut self) {
        let now = self.now();
        self.step_streams();
        let (due, later): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.travelling).into_iter().partition(|t| t.due <= now);
        self.travelling = later;
        for travelling in due {
            self.apply(&travelling);
        }
        self.tell_answers();
    }

    fn apply(&mut self, travelling: &Travelling) {
        let proxy = travelling.proxy;
        for (effect, epoch) in &travelling.epochs {
            if let Effect::Line { slice, .. } | Effect::Level { slice, .. } = effect {
                let table = &mut self.tables[proxy][*slice];
                table.as_of = table.as_of.max(travelling.sent);
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
                    for (number, level) in self.tables[proxy][slice].levels.iter_mut().enumerate() {
                        if class.is_none_or(|class| class == number) && !kept {
                            let ignored = ignores && (share > 0.0 || !CLASSES[number].writes);
                            *level = if ignored { 1.0 } else { share };
                        }
                    }
                }
                Effect::Mark { node, mark } => {
                    self.answer_mark(proxy, node, mark, travelling.due - travelling.sent);
                }
                Effect::Line { .. } | Effect::Level { .. } => {}
            }
        }
    }

    /// Whether some server is ready, well and warm.
    pub fn has_warm_server(&self) -> bool {
        let now = self.now();
        let warm = |started: Option<Duration>| started.is_none_or(|at| now >= at + super::page::WARM_AFTER);
        self.servers
            .iter()
            .any(|s| s.status == Status::Ready && s.condition == Condition::Well && warm(s.started))
    }

    /// When an assigner counts as told of a version.
    pub fn told_at(&self, node: usize, change: &Change) -> Duration {
        let told = self.nodes[node].told.iter().find(|(version, _)| *version >= change.version);
        told.map_or(Duration::MAX, |(_, at)| *at).min(change.at + super::page::TOLD_WITHIN)
    }
}
