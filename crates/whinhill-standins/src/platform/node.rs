//! One assigner of the soak: its process, the paths to relay and discovery, its collectors and its clients.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;

use super::audit::{judge, Broken, Crowd, End, Excuses, RequestAudit, Rule, Way};
use super::clients::{Clients, Plan};
use super::collectors::Collectors;
use super::page::*;
use super::process::{Process, Start};
use super::sabotage::Sabotage;
use super::script::{Action, Path, Script};
use super::world::Shared;
use super::{discovery, relay};
use crate::link::{Direction, Link};

/// Clients that ask all the time. One in three clients never looks whether its connection still stands.
const CLIENTS: usize = 12;
const NEVER_LOOKS_ONE_IN: usize = 3;
/// Clients by a proxy of bytes; half of them end their side after each request.
const CLIENTS_BY_PROXY: usize = 8;
/// Pieces of the streams to the relay are so many times longer than those of clients: it answers in time.
const RELAY_PIECES: usize = 8;
const THINK_MOST: Duration = Duration::from_millis(50);
/// Between the signals of a series.
const BETWEEN_SIGNALS: Duration = Duration::from_millis(2);
/// SIGHUP never comes within a process's first second (page of the days that count).
const RELOAD_FROM: Duration = Duration::from_secs(1);
/// A process that ended by itself is started again after this.
const RESTART_AFTER: Duration = Duration::from_millis(100);
/// No answer by then is a failed start (standing test, "The gate").
const START_WITHIN: Duration = Duration::from_secs(30);
/// Reports that wait for a collector that is away.
const REPORTS_WAITING: usize = 4;
const PORT: u16 = 8081;
/// Delay each way, and bytes until a break, of sabotaged answers.
const SABOTAGED_DELAY: Duration = Duration::from_millis(700);
const SABOTAGED_BYTES: u64 = 100;
const SABOTAGE_EVERY: Duration = Duration::from_millis(500);

/// What a node needs of what surrounds it.
pub struct Environment {
    pub world: Arc<Shared>,
    pub program: PathBuf,
    pub library: Option<PathBuf>,
    pub folder: PathBuf,
    pub sabotage: Option<Sabotage>,
    pub seed: u64,
}

struct Paths {
    relay: Link,
    discovery: Link,
}

struct Asking {
    until: Option<Duration>,
    clients: Clients,
    /// Where the clients come by a proxy of bytes.
    proxy: Option<Link>,
    /// Its place among the crowds that excuse.
    crowd: usize,
}

/// A path that is mended again.
struct Mend {
    at: Duration,
    path: Path,
}

/// One assigner.
pub struct Node {
    number: usize,
    environment: Environment,
    start: Start,
    config: PathBuf,
    log: PathBuf,
    relay: SocketAddr,
    discovery: SocketAddr,
    paths: Paths,
    /// Former addresses, and when they close.
    former: Vec<(Duration, Paths)>,
    process: Option<Process>,
    started_at: Duration,
    /// When it is to be killed, continued and started again.
    kill_at: Option<Duration>,
    /// When SIGTERM was first sent to it.
    told_at: Option<Duration>,
    paused: Option<(Duration, Duration)>,
    restart_at: Option<Duration>,
    down: Duration,
    mends: Vec<Mend>,
    lists_on_time_at: Option<Duration>,
    reports: SyncSender<Vec<String>>,
    asking: Vec<Asking>,
    /// The clients' way, where that is sabotaged.
    sabotaged: Option<Link>,
    sabotage_at: Duration,
    excuses: Excuses,
    judged: RequestAudit,
    over_limits: bool,
    pub starts: usize,
    pub ready: Vec<Duration>,
    pub memory_kb: u64,
    pub descriptors: usize,
}

fn link(target: SocketAddr) -> io::Result<Link> {
    Link::start(target, |_| {})
}

impl Node {
    /// Starts the assigner, its surroundings and the clients that ask all the time.
    pub fn start(number: usize, environment: Environment, script: &Script) -> io::Result<Self> {
        let world = environment.world.clone();
        let relay = relay::start(world.clone(), number)?;
        let discovery = discovery::start(world.clone(), number)?;
        let paths = Paths { relay: link(relay)?, discovery: link(discovery)? };
        // An address that no other process of this machine is given by chance.
        let unique = std::process::id() % 250 + 1;
        let last = (environment.seed % 250 + 1) as u8;
        let addr =
            SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 100 + number as u8, unique as u8, last)), PORT);
        let start = Start {
            name: format!("n{number}"),
            addr,
            discovery: paths.discovery.addr(),
            relay: paths.relay.addr(),
            known: discovery::whole_list(&world.lock()),
            proxies: script.proxies,
            faults: None,
        };
        let (reports, waiting) = sync_channel::<Vec<String>>(REPORTS_WAITING);
        let mut collectors = Collectors::new(addr);
        thread::Builder::new()
            .name("collectors".into())
            .spawn(move || waiting.iter().for_each(|texts| collectors.send(&texts)))?;
        let folder = environment.folder.clone();
        let mut node = Node {
            number,
            environment,
            start,
            config: folder.join(format!("n{number}.json")),
            log: folder.join(format!("n{number}.log")),
            relay,
            discovery,
            paths,
            former: Vec::new(),
            process: None,
            started_at: Duration::ZERO,
            kill_at: None,
            told_at: None,
            paused: None,
            restart_at: None,
            down: Duration::ZERO,
            mends: Vec::new(),
            lists_on_time_at: None,
            reports,
            asking: Vec::new(),
            sabotaged: None,
            sabotage_at: Duration::ZERO,
            excuses: Excuses::default(),
            judged: RequestAudit::default(),
            over_limits: false,
            starts: 0,
            ready: Vec::new(),
            memory_kb: 0,
            descriptors: 0,
        };
        node.start_process(Duration::ZERO, script)?;
        node.sabotage_clients()?;
        node.ask(CLIENTS, None)?;
        Ok(node)
    }

    fn sabotage_clients(&mut self) -> io::Result<()> {
        let sabotage = self.environment.sabotage;
        if !matches!(sabotage, Some(Sabotage::LostAnswers | Sabotage::LateAnswers)) {
            return Ok(());
        }
        let way = link(self.start.addr)?;
        if sabotage == Some(Sabotage::LateAnswers) {
            way.set_delay(SABOTAGED_DELAY);
        }
        self.sabotaged = Some(way);
        Ok(())
    }

    fn start_process(&mut self, now: Duration, script: &Script) -> io::Result<()> {
        let schedule = script.failing_calls(self.number, self.starts);
        self.start.faults = self.environment.library.clone().zip(schedule);
        let faults = self.start.faults.as_ref().map(|(_, schedule)| schedule.clone());
        self.process = Some(Process::start(&self.environment.program, &self.start, &self.config, &self.log)?);
        (self.started_at, self.starts) = (now, self.starts + 1);
        let mut world = self.environment.world.lock();
        let state = &mut world.nodes[self.number];
        (state.first_answer, state.terminated) = (None, false);
        world.note(format!("n{} starts, failing calls: {faults:?}", self.number));
        Ok(())
    }

    fn ask(&mut self, clients: usize, until: Option<Duration>) -> io::Result<()> {
        let addr = self.sabotaged.as_ref().map_or(self.start.addr, Link::addr);
        let plan = Plan { never_look: clients / NEVER_LOOKS_ONE_IN, ..self.plan(clients) };
        self.start_clients(addr, plan, until, None)
    }

    /// Has clients ask by a proxy that cuts what they send and get, and passes the end of one side on alone.
    fn ask_in_pieces(&mut self, bytes: usize, until: Duration) -> io::Result<()> {
        let proxy = link(self.start.addr)?;
        proxy.cut_into_pieces(bytes);
        proxy.half_close(true);
        let plan = Plan { half_close: CLIENTS_BY_PROXY / 2, ..self.plan(CLIENTS_BY_PROXY) };
        self.start_clients(proxy.addr(), plan, Some(until), Some(proxy))
    }

    fn plan(&self, clients: usize) -> Plan {
        let now = self.environment.world.lock().now();
        let seed = self.environment.seed ^ (self.number as u64) << 20 ^ now.as_millis() as u64;
        let answer_within = Duration::from_secs(5);
        Plan { clients, never_look: 0, half_close: 0, think_most: THINK_MOST, answer_within, seed }
    }

    fn start_clients(
        &mut self,
        addr: SocketAddr,
        plan: Plan,
        until: Option<Duration>,
        proxy: Option<Link>,
    ) -> io::Result<()> {
        let clients = Clients::start(addr, plan)?;
        let from = self.since_start(&clients);
        self.asking.push(Asking { until, clients, proxy, crowd: self.excuses.crowds.len() });
        self.excuses.crowds.push(Crowd { clients: plan.clients, from, until: None });
        Ok(())
    }

    /// When clients were started.
    fn since_start(&self, clients: &Clients) -> Duration {
        clients.started.saturating_duration_since(self.environment.world.lock().started)
    }

    /// Whether the relay may give it slices.
    pub fn takes_slices(&self) -> bool {
        self.process.as_ref().is_some_and(|process| !process.told_to_end)
    }

    /// Whether its process runs, is ready, and nothing is being done to it.
    fn is_at_rest(&self, now: Duration) -> bool {
        let ready = |process: &Process| {
            let since = process.ready_after.map(|after| self.started_at + after + RELOAD_FROM);
            !process.told_to_end && since.is_some_and(|since| now >= since)
        };
        self.process.as_ref().is_some_and(ready) && self.paused.is_none()
    }

    /// Something happens to it.
    pub fn act(&mut self, now: Duration, action: &Action) -> io::Result<()> {
        match action {
            Action::Series { terms, down, .. } if self.is_at_rest(now) => self.send_series(now, terms, *down),
            Action::Reload { .. } if self.is_at_rest(now) => self.reload(now),
            Action::Kill { down, .. } if self.is_at_rest(now) => {
                self.kill(now, *down);
                Ok(())
            }
            Action::Pause { time, .. } if self.is_at_rest(now) => {
                self.signal(Signal::STOP);
                self.paused = Some((now, now + *time));
                self.environment.world.lock().excuse(self.number, *time);
                Ok(())
            }
            Action::Cut { path, time, .. } => {
                self.path(*path).cut(true);
                self.wait_after(*path, now, *time);
                Ok(())
            }
            Action::Stall { path, direction, time, .. } => {
                self.path(*path).stall(*direction, true);
                self.wait_after(*path, now, *time);
                if *path == Path::Discovery {
                    self.environment.world.lock().nodes[self.number].lists_held_until = now + *time;
                }
                Ok(())
            }
            Action::Delay { path, by, time, .. } => {
                self.path(*path).set_delay(*by);
                self.wait_after(*path, now, *time);
                Ok(())
            }
            Action::LateLists { by, time, .. } => {
                self.environment.world.lock().nodes[self.number].list_delay = *by;
                self.lists_on_time_at = Some(now + *time);
                Ok(())
            }
            Action::Crowd { clients, time, .. } => self.ask(*clients, Some(now + *time)),
            Action::Pieces { bytes, time, .. } => {
                self.paths.relay.cut_into_pieces(bytes * RELAY_PIECES);
                self.paths.relay.half_close(true);
                self.mends.push(Mend { at: now + *time, path: Path::Relay });
                self.ask_in_pieces(*bytes, now + *time)
            }
            _ => Ok(()),
        }
    }

    fn path(&self, path: Path) -> &Link {
        match path {
            Path::Relay => &self.paths.relay,
            Path::Discovery => &self.paths.discovery,
        }
    }

    /// A path is troubled for a time: time limits wait where the page says so.
    fn wait_after(&mut self, path: Path, now: Duration, time: Duration) {
        self.mends.push(Mend { at: now + time, path });
        if path == Path::Relay {
            self.environment.world.lock().excuse(self.number, time + WAIT_AFTER_BREAK);
        }
    }

    fn signal(&self, signal: Signal) {
        self.process.iter().for_each(|process| process.signal(signal));
    }

    fn send_series(&mut self, now: Duration, terms: &[bool], down: Duration) -> io::Result<()> {
        for term in terms {
            if *term {
                let told = self.environment.world.lock().now();
                self.signal(Signal::TERM);
                self.process.iter_mut().for_each(|process| process.told_to_end = true);
                if self.told_at.is_none() {
                    (self.told_at, self.kill_at) = (Some(told), Some(told + KILL_AFTER));
                }
            } else if self.kill_at.is_none() {
                self.reload(now)?;
            } else {
                self.signal(Signal::HUP);
            }
            thread::sleep(BETWEEN_SIGNALS);
        }
        self.down = down;
        let mut world = self.environment.world.lock();
        world.nodes[self.number].terminated = true;
        world.note(format!("n{} was told to end", self.number));
        Ok(())
    }

    /// A new configuration leads to new addresses; the former close a little later.
    fn reload(&mut self, now: Duration) -> io::Result<()> {
        let next = Paths { relay: link(self.relay)?, discovery: link(self.discovery)? };
        (self.start.relay, self.start.discovery) = (next.relay.addr(), next.discovery.addr());
        self.start.configure(&self.config)?;
        let former = std::mem::replace(&mut self.paths, next);
        self.former.push((now + FORMER_ADDRESSES, former));
        self.mends.clear();
        self.environment.world.lock().excuse(self.number, WAIT_AFTER_BREAK);
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Requests on their way end with the process.
    fn kill(&mut self, now: Duration, down: Duration) {
        let killed = self.environment.world.lock().now();
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
        let mut world = self.environment.world.lock();
        world.nodes[self.number].news.clear();
        self.excuses.ends.push(End { told: self.told_at, killed, gone: world.now(), back: None });
        drop(world);
        (self.told_at, self.kill_at, self.paused) = (None, None, None);
        self.restart_at = Some(now + down);
    }

    /// Does what is due.
    pub fn look(&mut self, now: Duration, script: &Script, broken: &mut Vec<Broken>) -> io::Result<()> {
        if let Some((from, until)) = self.paused.filter(|(_, until)| now >= *until) {
            self.signal(Signal::CONT);
            self.excuses.pauses.push((from, until.max(self.environment.world.lock().now())));
            self.paused = None;
        }
        if self.kill_at.is_some_and(|at| now >= at) {
            self.kill(now, self.down);
        }
        if self.restart_at.is_some_and(|at| now >= at) {
            self.restart_at = None;
            self.start_process(now, script)?;
        }
        self.look_at_process(now, broken);
        self.mend_paths(now);
        self.end_crowds(now);
        if now >= self.sabotage_at {
            self.sabotage_at = now + SABOTAGE_EVERY;
            let lost = self.environment.sabotage == Some(Sabotage::LostAnswers);
            self.sabotaged.iter().filter(|_| lost).for_each(|way| way.break_after(SABOTAGED_BYTES));
        }
        Ok(())
    }

    fn look_at_process(&mut self, now: Duration, broken: &mut Vec<Broken>) {
        let Some(process) = &mut self.process else { return };
        if process.look_for_ready() {
            let mut world = self.environment.world.lock();
            world.nodes[self.number].first_answer = Some(now);
            world.note(format!("n{} answers", self.number));
            self.excuses.ends.iter_mut().for_each(|end| end.back = end.back.or(Some(now)));
            self.ready.extend(process.ready_after);
        }
        let late = process.ready_after.is_none() && now > self.started_at + START_WITHIN;
        if process.told_to_end || !(late || process.has_ended()) {
            return;
        }
        let what = format!("n{} {}", self.number, if late { "was not ready" } else { "ended by itself" });
        broken.push(Broken { rule: Rule::Crash, at_ms: now.as_millis() as u64, what });
        self.kill(now, RESTART_AFTER);
    }

    fn mend_paths(&mut self, now: Duration) {
        for mend in self.mends.extract_if(.., |mend| mend.at <= now).collect::<Vec<_>>() {
            let path = self.path(mend.path);
            path.cut(false);
            path.stall(Direction::Both, false);
            path.set_delay(Duration::ZERO);
            path.cut_into_pieces(0);
            path.half_close(false);
        }
        for (_, paths) in self.former.iter().filter(|(at, _)| *at <= now) {
            paths.relay.cut(true);
            paths.discovery.cut(true);
        }
        self.former.retain(|(at, _)| *at > now);
        if self.lists_on_time_at.is_some_and(|at| at <= now) {
            self.lists_on_time_at = None;
            self.environment.world.lock().nodes[self.number].list_delay = Duration::ZERO;
        }
    }

    fn end_crowds(&mut self, now: Duration) {
        for asking in self.asking.iter().filter(|asking| asking.until.is_some_and(|until| now >= until)) {
            asking.clients.finish();
            self.excuses.crowds[asking.crowd].until.get_or_insert(now);
        }
        let ended = |asking: &mut Asking| asking.until.is_some() && asking.clients.is_finished();
        for asking in self.asking.extract_if(.., ended).collect::<Vec<_>>() {
            self.judge(asking);
        }
    }

    fn judge(&mut self, asking: Asking) {
        let since = self.since_start(&asking.clients);
        let way = if asking.proxy.is_some() { Way::ByProxy } else { Way::Direct };
        let requests = asking.clients.stop();
        self.judged.add(judge(self.number, &requests, since, way, &self.excuses));
    }

    /// Ends the clients, and tells what their requests came to.
    pub fn stop_clients(&mut self) -> RequestAudit {
        if let Some((from, _)) = self.paused.take() {
            self.signal(Signal::CONT);
            let now = self.environment.world.lock().now();
            self.excuses.pauses.push((from, now));
        }
        for asking in std::mem::take(&mut self.asking) {
            self.judge(asking);
        }
        std::mem::take(&mut self.judged)
    }

    /// Hands reports to the collectors; those that find no room are lost.
    pub fn report(&self, texts: Vec<String>) {
        let _ = self.reports.try_send(texts);
    }

    /// Takes note of memory and descriptors.
    pub fn measure(&mut self, now: Duration, broken: &mut Vec<Broken>) {
        // Before it is ready it may still be a copy of this process, with the descriptors of this one.
        let ready = self.process.as_ref().filter(|process| process.ready_after.is_some());
        let Some((memory_kb, descriptors)) = ready.and_then(Process::usage) else { return };
        self.memory_kb = self.memory_kb.max(memory_kb);
        self.descriptors = self.descriptors.max(descriptors);
        let over = memory_kb > MEMORY_MB * 1024 || descriptors > SOCKETS;
        if over && !std::mem::replace(&mut self.over_limits, true) {
            let what = format!("n{}: {memory_kb} KB, {descriptors} descriptors", self.number);
            broken.push(Broken { rule: Rule::Limits, at_ms: now.as_millis() as u64, what });
        }
    }
}
