//! One assigner of the soak with its process, its paths to relay and discovery, its collectors and
//! its clients.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;

use super::audit::{audit_requests, ClientPath, Crowd, Excuses, ProcessEnd, RequestAudit, Rule, Violation};
use super::clients::{ClientPlan, Clients};
use super::collectors::Collectors;
use super::parameters::*;
use super::process::{Process, StartOptions};
use super::sabotage::Sabotage;
use super::script::{Action, Path, Script};
use super::site::SiteSettings;
use super::state::SharedState;
use super::{discovery, relay};
use crate::link::{Direction, Link};

/// Clients that run all the time. One in three never checks whether its connection is still open.
const CLIENT_COUNT: usize = 12;
const NEVER_LOOK_DIVISOR: usize = 3;
/// Clients through a byte proxy; half of them close their side after each request.
const BYTE_PROXY_CLIENTS: usize = 8;
/// The streams to the relay are cut into pieces that are longer than those of clients by this
/// factor, so that the relay answers in time.
const RELAY_PIECE_FACTOR: usize = 8;
const MAX_THINK_TIME: Duration = Duration::from_millis(50);
/// Time between the signals of a series.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(2);
/// The script's signals come no earlier than this after a process is ready. SIGHUP never comes in
/// the first second of a process (operators' page on scored runs).
const MIN_UPTIME: Duration = Duration::from_secs(1);
/// Delay before a process that ended by itself is started again.
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// A process without an answer by then has failed to start (standing test, "The gate").
const MAX_START_TIME: Duration = Duration::from_secs(30);
/// How many sets of reports may be queued for a collector that cannot deliver them.
const REPORT_QUEUE_LENGTH: usize = 4;
const PORT: u16 = 8081;
/// Sabotaged answers: delay in each direction, bytes until the connection breaks, and time between
/// breaks.
const SABOTAGED_DELAY: Duration = Duration::from_millis(700);
const SABOTAGED_BYTES: u64 = 100;
const SABOTAGE_INTERVAL: Duration = Duration::from_millis(500);

/// The environment that a node runs in.
pub struct Environment {
    pub platform: Arc<SharedState>,
    pub program: PathBuf,
    pub library: Option<PathBuf>,
    pub folder: PathBuf,
    pub sabotage: Option<Sabotage>,
    pub seed: u64,
}

/// The links through which the process reaches the relay and discovery.
struct Paths {
    relay: Link,
    discovery: Link,
}

/// Clients that were started together; `until` is when they are told to stop, or `None` if they run
/// until the end.
struct ClientGroup {
    until: Option<Duration>,
    clients: Clients,
    /// The byte proxy through which the clients connect, if any.
    proxy: Option<Link>,
    /// The index of this group in [`Excuses::crowds`].
    crowd: usize,
}

/// When a troubled path is restored.
struct PathRepair {
    at: Duration,
    path: Path,
}

/// One assigner and its surroundings.
pub struct Node {
    number: usize,
    environment: Environment,
    start: StartOptions,
    config: PathBuf,
    log: PathBuf,
    relay: SocketAddr,
    discovery: SocketAddr,
    paths: Paths,
    /// Paths of former addresses, and when they close.
    former_paths: Vec<(Duration, Paths)>,
    process: Option<Process>,
    started_at: Duration,
    /// When the process is to be killed.
    kill_at: Option<Duration>,
    /// When SIGTERM was first sent to the process.
    term_sent_at: Option<Duration>,
    /// From SIGSTOP to the planned SIGCONT.
    paused: Option<(Duration, Duration)>,
    restart_at: Option<Duration>,
    /// How long the process stays down after the pending kill.
    down: Duration,
    repairs: Vec<PathRepair>,
    lists_on_time_at: Option<Duration>,
    /// To the thread of the collectors.
    report_sender: SyncSender<Vec<String>>,
    client_groups: Vec<ClientGroup>,
    /// The link through which clients connect if their answers are sabotaged.
    sabotaged_link: Option<Link>,
    sabotage_at: Duration,
    excuses: Excuses,
    request_audit: RequestAudit,
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
    /// Starts the assigner, its surroundings and the clients that run all the time.
    pub fn start(number: usize, environment: Environment, script: &Script) -> io::Result<Self> {
        let platform = environment.platform.clone();
        let relay = relay::start(platform.clone(), number)?;
        let discovery = discovery::start(platform.clone(), number)?;
        let paths = Paths { relay: link(relay)?, discovery: link(discovery)? };
        // An address that no other process on this machine is likely to use.
        let unique = std::process::id() % 250 + 1;
        let last = (environment.seed % 250 + 1) as u8;
        let addr =
            SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 100 + number as u8, unique as u8, last)), PORT);
        let site = platform.lock().site;
        let may_probe = site.probes || environment.sabotage == Some(Sabotage::UndeclaredProbes);
        let start = StartOptions {
            name: format!("n{number}"),
            addr,
            discovery: paths.discovery.addr(),
            relay: paths.relay.addr(),
            known_list: discovery::full_list(&platform.lock()),
            proxies: script.proxies,
            site: SiteSettings { probes: may_probe, ..site },
            faults: None,
        };
        let (report_sender, queued_reports) = sync_channel::<Vec<String>>(REPORT_QUEUE_LENGTH);
        let mut collectors = Collectors::new(addr);
        thread::Builder::new()
            .name("collectors".into())
            .spawn(move || queued_reports.iter().for_each(|texts| collectors.send(&texts)))?;
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
            former_paths: Vec::new(),
            process: None,
            started_at: Duration::ZERO,
            kill_at: None,
            term_sent_at: None,
            paused: None,
            restart_at: None,
            down: Duration::ZERO,
            repairs: Vec::new(),
            lists_on_time_at: None,
            report_sender,
            client_groups: Vec::new(),
            sabotaged_link: None,
            sabotage_at: Duration::ZERO,
            excuses: Excuses::default(),
            request_audit: RequestAudit::default(),
            over_limits: false,
            starts: 0,
            ready: Vec::new(),
            memory_kb: 0,
            descriptors: 0,
        };
        node.start_process(Duration::ZERO, script)?;
        node.sabotage_clients()?;
        node.start_direct_clients(CLIENT_COUNT, None)?;
        Ok(node)
    }

    fn sabotage_clients(&mut self) -> io::Result<()> {
        let sabotage = self.environment.sabotage;
        if !matches!(sabotage, Some(Sabotage::LostAnswers | Sabotage::LateAnswers)) {
            return Ok(());
        }
        let sabotaged = link(self.start.addr)?;
        if sabotage == Some(Sabotage::LateAnswers) {
            sabotaged.set_delay(SABOTAGED_DELAY);
        }
        self.sabotaged_link = Some(sabotaged);
        Ok(())
    }

    fn start_process(&mut self, now: Duration, script: &Script) -> io::Result<()> {
        let schedule = script.failing_calls(self.number, self.starts);
        self.start.faults = self.environment.library.clone().zip(schedule);
        let faults = self.start.faults.as_ref().map(|(_, schedule)| schedule.clone());
        self.process = Some(Process::start(&self.environment.program, &self.start, &self.config, &self.log)?);
        (self.started_at, self.starts) = (now, self.starts + 1);
        let mut platform = self.environment.platform.lock();
        let state = &mut platform.nodes[self.number];
        (state.first_answer_at, state.terminated) = (None, false);
        platform.note(format!("n{} starts, failing calls: {faults:?}", self.number));
        Ok(())
    }

    fn start_direct_clients(&mut self, clients: usize, until: Option<Duration>) -> io::Result<()> {
        let addr = self.sabotaged_link.as_ref().map_or(self.start.addr, Link::addr);
        let plan = ClientPlan { never_check: clients / NEVER_LOOK_DIVISOR, ..self.plan(clients) };
        self.start_clients(addr, plan, until, None)
    }

    /// Starts clients behind a byte proxy that cuts both directions into pieces and forwards the
    /// end of one side alone.
    fn start_byte_proxy_clients(&mut self, bytes: usize, until: Duration) -> io::Result<()> {
        let proxy = link(self.start.addr)?;
        proxy.set_piece_bytes(bytes);
        proxy.forward_half_close(true);
        let plan = ClientPlan { half_close: BYTE_PROXY_CLIENTS / 2, ..self.plan(BYTE_PROXY_CLIENTS) };
        self.start_clients(proxy.addr(), plan, Some(until), Some(proxy))
    }

    fn plan(&self, clients: usize) -> ClientPlan {
        let now = self.environment.platform.lock().now();
        let seed = self.environment.seed ^ (self.number as u64) << 20 ^ now.as_millis() as u64;
        let answer_timeout = Duration::from_secs(5);
        ClientPlan {
            clients,
            never_check: 0,
            half_close: 0,
            max_think_time: MAX_THINK_TIME,
            answer_timeout,
            seed,
        }
    }

    fn start_clients(
        &mut self,
        addr: SocketAddr,
        plan: ClientPlan,
        until: Option<Duration>,
        proxy: Option<Link>,
    ) -> io::Result<()> {
        let clients = Clients::start(addr, plan)?;
        let from = self.since_start(&clients);
        self.client_groups.push(ClientGroup { until, clients, proxy, crowd: self.excuses.crowds.len() });
        self.excuses.crowds.push(Crowd { clients: plan.clients, from, until: None });
        Ok(())
    }

    /// When the clients were started.
    fn since_start(&self, clients: &Clients) -> Duration {
        clients.started.saturating_duration_since(self.environment.platform.lock().started)
    }

    /// Whether the relay may assign slices to this node.
    pub fn can_hold_slices(&self) -> bool {
        self.process.as_ref().is_some_and(|process| !process.is_stopping)
    }

    /// Whether the process runs, has been ready for [`MIN_UPTIME`] and is neither stopping nor
    /// paused.
    fn is_at_rest(&self, now: Duration) -> bool {
        let ready = |process: &Process| {
            let since = process.ready_after.map(|after| self.started_at + after + MIN_UPTIME);
            !process.is_stopping && since.is_some_and(|since| now >= since)
        };
        self.process.as_ref().is_some_and(ready) && self.paused.is_none()
    }

    /// Applies an action of the script that affects this node.
    pub fn apply(&mut self, now: Duration, action: &Action) -> io::Result<()> {
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
                self.environment.platform.lock().suspend_limits(self.number, *time);
                Ok(())
            }
            Action::Cut { path, time, .. } => {
                self.path(*path).set_down(true);
                self.schedule_repair(*path, now, *time);
                Ok(())
            }
            Action::Stall { path, direction, time, .. } => {
                self.path(*path).set_stalled(*direction, true);
                self.schedule_repair(*path, now, *time);
                if *path == Path::Discovery {
                    self.environment.platform.lock().nodes[self.number].lists_held_until = now + *time;
                }
                Ok(())
            }
            Action::Delay { path, by, time, .. } => {
                self.path(*path).set_delay(*by);
                self.schedule_repair(*path, now, *time);
                Ok(())
            }
            Action::LateLists { by, time, .. } => {
                self.environment.platform.lock().nodes[self.number].list_delay = *by;
                self.lists_on_time_at = Some(now + *time);
                Ok(())
            }
            Action::Crowd { clients, time, .. } => self.start_direct_clients(*clients, Some(now + *time)),
            Action::Pieces { bytes, time, .. } => {
                self.paths.relay.set_piece_bytes(bytes * RELAY_PIECE_FACTOR);
                self.paths.relay.forward_half_close(true);
                self.repairs.push(PathRepair { at: now + *time, path: Path::Relay });
                self.start_byte_proxy_clients(*bytes, now + *time)
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

    /// Schedules the restoration of a troubled path and suspends the time limits where the protocol
    /// says so.
    fn schedule_repair(&mut self, path: Path, now: Duration, time: Duration) {
        self.repairs.push(PathRepair { at: now + time, path });
        if path == Path::Relay {
            self.environment.platform.lock().suspend_limits(self.number, time + SUSPENSION_AFTER_BREAK);
        }
    }

    fn signal(&self, signal: Signal) {
        self.process.iter().for_each(|process| process.signal(signal));
    }

    /// Sends a series of signals; SIGKILL follows the first SIGTERM after [`KILL_DELAY`].
    fn send_series(&mut self, now: Duration, terms: &[bool], down: Duration) -> io::Result<()> {
        for term in terms {
            if *term {
                let term_sent = self.environment.platform.lock().now();
                self.signal(Signal::TERM);
                self.process.iter_mut().for_each(|process| process.is_stopping = true);
                if self.term_sent_at.is_none() {
                    (self.term_sent_at, self.kill_at) = (Some(term_sent), Some(term_sent + KILL_DELAY));
                }
            } else if self.kill_at.is_none() {
                self.reload(now)?;
            } else {
                self.signal(Signal::HUP);
            }
            thread::sleep(SIGNAL_INTERVAL);
        }
        self.down = down;
        let mut platform = self.environment.platform.lock();
        platform.nodes[self.number].terminated = true;
        platform.note(format!("n{} got SIGTERM", self.number));
        Ok(())
    }

    /// Moves relay and discovery to new addresses and sends SIGHUP; the former addresses close
    /// later.
    fn reload(&mut self, now: Duration) -> io::Result<()> {
        let next = Paths { relay: link(self.relay)?, discovery: link(self.discovery)? };
        (self.start.relay, self.start.discovery) = (next.relay.addr(), next.discovery.addr());
        self.start.configure(&self.config)?;
        let former = std::mem::replace(&mut self.paths, next);
        self.former_paths.push((now + FORMER_ADDRESS_LIFETIME, former));
        self.repairs.clear();
        self.environment.platform.lock().suspend_limits(self.number, SUSPENSION_AFTER_BREAK);
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Kills the process. Its pending requests end with it.
    fn kill(&mut self, now: Duration, down: Duration) {
        let killed = self.environment.platform.lock().now();
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
        let mut platform = self.environment.platform.lock();
        platform.nodes[self.number].watchers.clear();
        self.excuses.ends.push(ProcessEnd {
            term_sent_at: self.term_sent_at,
            kill_sent_at: killed,
            exited_at: platform.now(),
            next_ready_at: None,
        });
        drop(platform);
        (self.term_sent_at, self.kill_at, self.paused) = (None, None, None);
        self.restart_at = Some(now + down);
    }

    /// Performs what is due: continue, kill, restart, restore paths, end client groups, break
    /// sabotaged links.
    pub fn poll(
        &mut self,
        now: Duration,
        script: &Script,
        violations: &mut Vec<Violation>,
    ) -> io::Result<()> {
        if let Some((from, until)) = self.paused.filter(|(_, until)| now >= *until) {
            self.signal(Signal::CONT);
            self.excuses.pauses.push((from, until.max(self.environment.platform.lock().now())));
            self.paused = None;
        }
        if self.kill_at.is_some_and(|at| now >= at) {
            self.kill(now, self.down);
        }
        if self.restart_at.is_some_and(|at| now >= at) {
            self.restart_at = None;
            self.start_process(now, script)?;
        }
        self.poll_process(now, violations);
        self.repair_paths(now);
        self.end_client_groups(now);
        if now >= self.sabotage_at {
            self.sabotage_at = now + SABOTAGE_INTERVAL;
            let lost = self.environment.sabotage == Some(Sabotage::LostAnswers);
            self.sabotaged_link
                .iter()
                .filter(|_| lost)
                .for_each(|link| link.break_after_bytes(SABOTAGED_BYTES));
        }
        Ok(())
    }

    fn poll_process(&mut self, now: Duration, violations: &mut Vec<Violation>) {
        let Some(process) = &mut self.process else { return };
        if process.poll_ready() {
            let mut platform = self.environment.platform.lock();
            platform.nodes[self.number].first_answer_at = Some(now);
            platform.note(format!("n{} answers", self.number));
            self.excuses.ends.iter_mut().for_each(|end| end.next_ready_at = end.next_ready_at.or(Some(now)));
            self.ready.extend(process.ready_after);
        }
        let late = process.ready_after.is_none() && now > self.started_at + MAX_START_TIME;
        if process.is_stopping || !(late || process.has_ended()) {
            return;
        }
        let what = format!("n{} {}", self.number, if late { "was not ready" } else { "ended by itself" });
        violations.push(Violation { rule: Rule::Crash, at_ms: now.as_millis() as u64, what });
        self.kill(now, RESTART_DELAY);
    }

    fn repair_paths(&mut self, now: Duration) {
        for repair in self.repairs.extract_if(.., |repair| repair.at <= now).collect::<Vec<_>>() {
            let path = self.path(repair.path);
            path.set_down(false);
            path.set_stalled(Direction::Both, false);
            path.set_delay(Duration::ZERO);
            path.set_piece_bytes(0);
            path.forward_half_close(false);
        }
        for (_, paths) in self.former_paths.iter().filter(|(at, _)| *at <= now) {
            paths.relay.set_down(true);
            paths.discovery.set_down(true);
        }
        self.former_paths.retain(|(at, _)| *at > now);
        if self.lists_on_time_at.is_some_and(|at| at <= now) {
            self.lists_on_time_at = None;
            self.environment.platform.lock().nodes[self.number].list_delay = Duration::ZERO;
        }
    }

    fn end_client_groups(&mut self, now: Duration) {
        for group in self.client_groups.iter().filter(|group| group.until.is_some_and(|until| now >= until)) {
            group.clients.finish();
            self.excuses.crowds[group.crowd].until.get_or_insert(now);
        }
        let ended = |group: &mut ClientGroup| group.until.is_some() && group.clients.is_finished();
        for group in self.client_groups.extract_if(.., ended).collect::<Vec<_>>() {
            self.audit_group(group);
        }
    }

    fn audit_group(&mut self, group: ClientGroup) {
        let since = self.since_start(&group.clients);
        let client_path = if group.proxy.is_some() { ClientPath::ByteProxy } else { ClientPath::Direct };
        let requests = group.clients.stop();
        self.request_audit.add(audit_requests(self.number, &requests, since, client_path, &self.excuses));
    }

    /// Stops the clients and returns the audit of their requests.
    pub fn stop_clients(&mut self) -> RequestAudit {
        if let Some((from, _)) = self.paused.take() {
            self.signal(Signal::CONT);
            let now = self.environment.platform.lock().now();
            self.excuses.pauses.push((from, now));
        }
        for group in std::mem::take(&mut self.client_groups) {
            self.audit_group(group);
        }
        std::mem::take(&mut self.request_audit)
    }

    /// Passes reports to the collectors; reports that find the queue full are lost.
    pub fn report(&self, texts: Vec<String>) {
        let _ = self.report_sender.try_send(texts);
    }

    /// Measures memory and descriptors and checks their limits.
    pub fn measure(&mut self, now: Duration, violations: &mut Vec<Violation>) {
        // Before it is ready the child may still be a copy of this process, with this process's
        // descriptors.
        let ready = self.process.as_ref().filter(|process| process.ready_after.is_some());
        let Some((memory_kb, descriptors)) = ready.and_then(Process::usage) else { return };
        self.memory_kb = self.memory_kb.max(memory_kb);
        self.descriptors = self.descriptors.max(descriptors);
        let is_over = memory_kb > MAX_MEMORY_MB * 1024 || descriptors > MAX_DESCRIPTORS;
        if is_over && !std::mem::replace(&mut self.over_limits, true) {
            let what = format!("n{}: {memory_kb} KB, {descriptors} descriptors", self.number);
            violations.push(Violation { rule: Rule::Limits, at_ms: now.as_millis() as u64, what });
        }
    }
}
