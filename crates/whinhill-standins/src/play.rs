//! Plays a scripted day: starts everything, lets it run, lets things fail when the script says so, stops it, audits.

use std::collections::BTreeMap;
use std::ffi::OsStr;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hdrhistogram::Histogram;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde::Serialize;
use tracing::{info, warn};
use whinhill_assigner::{
    Answer, Ask, Assigner, AssignerConfig, RosterConfig, RosterState, Status, StoreConfig, Target,
};
use whinhill_proxy::{Dial, Proxy, ProxyConfig, ProxyError};
use whinhill_store::Record;
use whinhill_transport::{Drivers, Limits, Workers};
use whinhill_xds::mapping::Service;
use whinhill_xds::Variant;

use crate::audit::{audit, Audit, Limits as Rules};
use crate::clients::{Clients, Front, Totals};
use crate::day::{Day, RosterBy, RunAs, Sabotage, Speaks, Trouble};
use crate::hops::{Hop, LinkFault, Pick, ToServers};
use crate::link::Link;
use crate::record::{Recorder, Seen};
use crate::roster::{entry, RosterStandIn, RESOURCE};
use crate::running::{self, ProxyFigures, RunningAssigner, RunningProxy};
use crate::server::{Server, ServerConfig};
use crate::store::StoreStandIn;

/// How long the fleet may take to be ready for load.
const READY_WITHIN: Duration = Duration::from_secs(20);
const STOP_WITHIN: Duration = Duration::from_secs(10);

#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    #[error("{what}: {error}")]
    Io { what: String, error: io::Error },
    #[error(transparent)]
    Proxy(#[from] ProxyError),
    #[error("{name}: {error}")]
    Start { name: String, error: String },
    #[error("the fleet was not ready within {within:?}: {held} of {wanted} tables held")]
    NotReady { within: Duration, held: usize, wanted: usize },
}

fn io_at(what: &str) -> impl FnOnce(io::Error) -> PlayError + '_ {
    move |error| PlayError::Io { what: what.to_string(), error }
}

/// What a day comes to. Figures are of loopback.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub seed: u64,
    /// The last figures of each life of each assigner.
    #[serde(skip)]
    pub status: Vec<Status>,
    /// From an assigner's death to the first of its slices in another's charge, and to that one's first grant of one.
    pub taken_over_ms: Option<f64>,
    pub first_grant_ms: Option<f64>,
    pub rules: crate::audit::Rules,
    pub rpcs: u64,
    pub ok_share: f64,
    pub in_time_share: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub writes_executed_twice: u64,
    pub stale_writes: u64,
    pub overlapping_writes: u64,
    pub handovers: u64,
    pub nacks: u64,
    pub reconnects: u64,
    /// Where the day has any.
    pub rollbacks: Option<Rollbacks>,
    pub lines_sent: u64,
    pub backlog_most: u64,
    pub complete: bool,
    /// RPCs that failed in the end, by reason.
    pub failures: BTreeMap<String, u64>,
    pub findings: Vec<String>,
}

impl Outcome {
    pub fn kept(&self) -> bool {
        self.rules.broken() == 0 && self.complete
    }
}

/// What became of a day's rollbacks.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Rollbacks {
    pub asked: u64,
    pub ended: u64,
    pub slices_done: u64,
    pub slices_abandoned: u64,
    /// From the command until all of it had ended and every proxy had acknowledged it; the assigner looks once a
    /// second.
    pub took_ms: Vec<f64>,
}

/// What clients counted, and the times of their ok answers in microseconds.
type Measured = (Arc<Totals>, Arc<Mutex<Histogram<u64>>>);

struct AssignerSlot {
    name: String,
    running: Option<RunningAssigner>,
    addr: SocketAddr,
    config: PathBuf,
    dir: PathBuf,
    store_link: Link,
    roster_link: Option<Link>,
    lives: u32,
    status: Vec<PathBuf>,
}

struct ProxySlot {
    id: Arc<str>,
    running: Option<RunningProxy>,
    /// Where clients reach it, if not directly.
    front: Option<Link>,
    dir: PathBuf,
    lives: u32,
    links: Vec<Arc<Link>>,
    number: usize,
    rejected: u64,
    reconnects: u64,
}

struct Slot {
    server: Option<Server>,
    zone: String,
    speed: f64,
}

struct Fleet<'a> {
    day: &'a Day,
    program: &'a Path,
    service: Arc<Service>,
    record: Recorder,
    drivers: Drivers,
    workers: Workers,
    store: StoreStandIn,
    roster: RosterStandIn,
    roster_addr: Option<SocketAddr>,
    servers: Vec<Slot>,
    proxies: Vec<ProxySlot>,
    assigners: Vec<AssignerSlot>,
    to_servers: ToServers,
    front: Front,
    rate: Arc<AtomicU64>,
    rng: ChaCha8Rng,
    /// Milliseconds that each rollback took.
    rolled_back: Arc<Mutex<Vec<f64>>>,
}

/// Something to do at a time, and to undo at another.
#[derive(Clone, Debug)]
enum Act {
    Begin(Trouble, Duration),
    End(Trouble, Vec<usize>),
    /// A link fault between these.
    Mend(Hop, LinkFault, Vec<usize>, Vec<usize>),
    Drain(Vec<usize>),
    Replace(Vec<usize>),
}

/// Plays `day`. `program` is the binary that runs as an assigner; files go to `out`.
pub fn play(day: &Day, program: &Path, out: &Path) -> Result<Outcome, PlayError> {
    fs::create_dir_all(out).map_err(io_at("the output folder"))?;
    let mut fleet = Fleet::start(day, program, out)?;
    let result = fleet.run();
    let has_rollback = |fault: &crate::day::Scheduled| matches!(fault.what, Trouble::RollBack { .. });
    let rollbacks = day.faults.iter().any(has_rollback).then(|| fleet.rollbacks());
    let (rejected, reconnects) = fleet.stop();
    let (totals, micros) = result?;
    let mut status: Vec<Status> = Vec::new();
    for path in fleet.assigners.iter().flat_map(|assigner| &assigner.status) {
        let text = fs::read_to_string(path).unwrap_or_default();
        // A killed life may leave its last line cut short.
        status.extend(text.lines().rev().find_map(|line| serde_json::from_str(line).ok()));
    }
    let sum = |of: fn(&Status) -> u64| status.iter().map(of).sum::<u64>();
    let backlog_most = status.iter().map(|s| s.backlog_most).max().unwrap_or(0);
    let (seen, cut_short) = fleet.record.seen();
    let found: Audit = audit(&seen, &rules(day), backlog_most);
    let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let rpcs = get(&totals.rpcs);
    let share = |count: u64| (count as f64 / rpcs.max(1) as f64 * 1e4).round() / 1e4;
    let micros = micros.lock().unwrap_or_else(PoisonError::into_inner);
    let ms = |quantile: f64| micros.value_at_quantile(quantile) as f64 / 1e3;
    let failures = totals.failures.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let (taken_over_ms, first_grant_ms) = after_death(&seen);
    Ok(Outcome {
        seed: day.seed,
        taken_over_ms,
        first_grant_ms,
        rules: found.rules,
        rpcs,
        ok_share: share(get(&totals.ok)),
        in_time_share: share(get(&totals.in_time)),
        p50_ms: ms(0.5),
        p99_ms: ms(0.99),
        writes_executed_twice: found.writes_executed_twice,
        stale_writes: found.stale_writes,
        overlapping_writes: found.overlapping_writes,
        handovers: found.handovers,
        nacks: rejected,
        reconnects,
        rollbacks,
        lines_sent: sum(|s| s.lines_sent),
        backlog_most,
        complete: !cut_short,
        failures,
        findings: found.findings,
        status,
    })
}

/// See [`Outcome::taken_over_ms`]; of the first death of the day.
fn after_death(seen: &[(Duration, Seen)]) -> (Option<f64>, Option<f64>) {
    let died = seen.iter().position(|(_, what)| matches!(what, Seen::Runs { runs: false, .. }));
    let Some(place) = died else { return (None, None) };
    let (at, Seen::Runs { assigner, .. }) = &seen[place] else { return (None, None) };
    let mut last: BTreeMap<usize, (Option<String>, Option<Arc<str>>)> = BTreeMap::new();
    let (mut taken, mut granted) = (None, None);
    let mut theirs = std::collections::BTreeSet::new();
    for (k, (now, what)) in seen.iter().enumerate() {
        let Seen::Stored { slice, holder, owner, .. } = what else { continue };
        let before = last.insert(*slice, (holder.clone(), owner.clone()));
        let Some((was, owned)) = before.filter(|_| k > place) else { continue };
        let ms = (*now - *at).as_secs_f64() * 1e3;
        if was.as_deref() == Some(&**assigner) && holder.as_deref() != Some(&**assigner) {
            taken.get_or_insert(ms);
            theirs.insert(*slice);
        }
        if theirs.contains(slice) && owned != *owner {
            granted.get_or_insert(ms);
        }
    }
    (taken, granted)
}

/// A day's fleet without its load and its troubles, for measurements.
pub struct Rig<'a>(Fleet<'a>);

impl Rig<'_> {
    pub fn proxies(&self) -> Vec<SocketAddr> {
        let front = self.0.front.lock().unwrap_or_else(PoisonError::into_inner);
        front.iter().map(|(_, addr)| *addr).collect()
    }

    pub fn servers(&self) -> Vec<SocketAddr> {
        let servers = self.0.servers.iter().filter_map(|slot| slot.server.as_ref());
        servers.filter_map(|server| server.name().parse().ok()).collect()
    }

    /// The first proxy's process, where it is one, and what it says of itself.
    pub fn first_proxy(&self) -> Option<(u32, ProxyFigures)> {
        match self.0.proxies.first()?.running.as_ref()? {
            running @ RunningProxy::Process { child, .. } => Some((child.id(), running.figures())),
            RunningProxy::Thread(_) => None,
        }
    }

    /// Whether servers take RPCs and answer none.
    pub fn silence(&self, silent: bool) {
        for server in self.0.servers.iter().filter_map(|slot| slot.server.as_ref()) {
            server.set_faults(|faults| faults.silent = silent);
        }
    }

    /// Breaks every table stream: proxies open them again, and in state of the world are told all anew.
    pub fn break_streams(&self) {
        for link in self.0.proxies.iter().flat_map(|proxy| &proxy.links) {
            link.cut(true);
            link.cut(false);
        }
    }
}

/// Starts a day's fleet, hands it to `act`, and stops it.
pub fn with_fleet<T>(
    day: &Day,
    program: &Path,
    out: &Path,
    act: impl FnOnce(&Rig<'_>) -> T,
) -> Result<T, PlayError> {
    fs::create_dir_all(out).map_err(io_at("the output folder"))?;
    let mut rig = Rig(Fleet::start(day, program, out)?);
    let result = act(&rig);
    rig.0.stop();
    Ok(result)
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn rules(day: &Day) -> Rules {
    Rules {
        empty: ms(day.rules.empty_ms),
        grace: ms(day.rules.grace_ms),
        warm_after: ms(day.rules.warm_after_ms),
        cold_from: day.rules.cold_from,
        fall_multiple: day.rules.fall_multiple,
        fall: ms(day.rules.fall_ms),
        backlog: day.channel.backlog,
        // The assigner looks at the roster's file every 100 ms: it was told that much later than it was written.
        slack: ms(150),
    }
}

impl<'a> Fleet<'a> {
    fn start(day: &'a Day, program: &'a Path, out: &Path) -> Result<Self, PlayError> {
        let service = Arc::new(day.service.service());
        let record = Recorder::default();
        let drivers = Drivers::start("day", 3).map_err(io_at("driver threads"))?;
        let workers = Workers::new("day", 6000, whinhill_transport::CALL_STACK);
        let store = StoreStandIn::start(loopback(), &record).map_err(io_at("the store"))?;
        let mut roster = RosterStandIn::new(&out.join("roster.json5"), &record);
        let roster_addr = match day.roster {
            RosterBy::File => None,
            RosterBy::Eds => Some(roster.listen(&drivers, &workers).map_err(io_at("the roster"))?),
        };
        let mut fleet = Fleet {
            day,
            program,
            service,
            record,
            drivers,
            workers,
            store,
            roster,
            roster_addr,
            servers: Vec::new(),
            proxies: Vec::new(),
            assigners: Vec::new(),
            to_servers: ToServers::default(),
            front: Front::default(),
            rate: Arc::new(AtomicU64::new(1000)),
            rng: ChaCha8Rng::seed_from_u64(day.seed),
            rolled_back: Arc::default(),
        };
        for number in 0..day.servers.count {
            let zone = day.zones[number % day.zones.len()].clone();
            let [low, high] = day.servers.speed;
            let speed = if high > low { fleet.rng.random_range(low..high) } else { low };
            let server = fleet.server(speed, false)?;
            fleet.servers.push(Slot { server: Some(server), zone, speed });
        }
        let listed: Vec<usize> = (0..day.servers.count).collect();
        fleet.list(&listed, false)?;
        fleet.seed_store();
        for number in 0..day.assigners {
            fleet.add_assigner(number, out)?;
        }
        for number in 0..day.proxies.count {
            fleet.add_proxy(number, out)?;
        }
        fleet.ready()?;
        Ok(fleet)
    }

    fn server(&mut self, speed: f64, cold: bool) -> Result<Server, PlayError> {
        let config = ServerConfig {
            listen: loopback(),
            cores: self.day.servers.cores,
            speed,
            cold,
            cold_from: self.day.rules.cold_from,
            warm_after: ms(self.day.rules.warm_after_ms),
            queue_most: self.day.servers.queue,
            work: self.day.load.mix.iter().map(|mix| mix.work_ms / 1e3).collect(),
            service: self.service.clone(),
            seed: self.rng.random(),
        };
        let server = Server::start(config, &self.workers, &self.record).map_err(io_at("a server"))?;
        if self.day.sabotage.contains(&Sabotage::ServerHoldsOn) {
            server.set_faults(|faults| faults.holds_on = 4.0);
        }
        Ok(server)
    }

    /// Puts servers on the list.
    fn list(&mut self, which: &[usize], started_now: bool) -> Result<(), PlayError> {
        let servers = &self.servers;
        let entries = which.iter().filter_map(|&number| {
            let slot = &servers[number];
            let addr: SocketAddr = slot.server.as_ref()?.name().parse().ok()?;
            Some((addr, entry(addr, &slot.zone, slot.speed, started_now)))
        });
        let entries: Vec<_> = entries.collect();
        self.roster.change(|list| list.extend(entries)).map_err(io_at("the roster"))
    }

    /// Every slice begins the day at some server, in nobody's charge.
    fn seed_store(&mut self) {
        let names: Vec<Arc<str>> =
            self.servers.iter().filter_map(|s| Some(s.server.as_ref()?.name().clone())).collect();
        for slice in 0..self.service.slices {
            let owner = names[self.rng.random_range(0..names.len())].to_string();
            let record = Record { epoch: 1, number: 0, holder: None, owner: Some(owner) };
            let key = format!("whinhill/{}/slice/{slice}", self.service.name);
            self.store.put(&key, &record.to_string());
        }
    }

    fn add_assigner(&mut self, number: usize, out: &Path) -> Result<(), PlayError> {
        let name = format!("assigner-{number}");
        let dir = out.join(&name);
        // What an earlier day left there would be taken for this one's.
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).map_err(io_at("an assigner's folder"))?;
        let store_link = Link::start(self.store.addr(), |_| {}).map_err(io_at("a link"))?;
        let roster_link = match self.roster_addr.filter(|_| self.day.has_links(Hop::AssignersRoster)) {
            Some(addr) => Some(Link::start(addr, |_| {}).map_err(io_at("a link"))?),
            None => None,
        };
        let roster_addr = roster_link.as_ref().map(Link::addr).or(self.roster_addr);
        let skips_the_wait = self.day.sabotage.contains(&Sabotage::AssignerSkipsWait);
        let config = AssignerConfig {
            name: name.clone(),
            peers: (0..self.day.assigners).map(|k| format!("assigner-{k}")).collect(),
            listen: loopback(),
            zone: self.day.zones[number % self.day.zones.len()].clone(),
            zones: self.day.zones.clone(),
            service: self.day.service.clone(),
            rules: self.day.rules.clone(),
            channel: self.day.channel.clone(),
            roster: match roster_addr {
                Some(addr) => RosterConfig::Eds { addr, resource: RESOURCE.to_string() },
                None => RosterConfig::File { path: self.roster.path().to_path_buf() },
            },
            store: StoreConfig { addr: store_link.addr(), prefix: "whinhill".into(), within_ms: 300 },
            custody: self.day.custody,
            report_period_ms: self.day.report_period_ms,
            report_lines_per_s: 2000,
            probes: self.day.probes,
            answer_within_ms: 6000,
            proxies_most: 1024,
            // Grants wait for the file of sets: on a disk that stalls, a wait that is skipped would not show.
            state_dir: (!skips_the_wait).then(|| dir.clone()),
            status_file: None,
            operators: Some(loopback()),
            history: whinhill_assigner::HistoryConfig::default(),
            seed: Some(self.rng.random()),
            sabotage: whinhill_assigner::Sabotage { skips_the_wait },
        };
        let path = dir.join("assigner.json5");
        let text =
            serde_json::to_string_pretty(&config).map_err(|error| io_at("a configuration")(error.into()))?;
        fs::write(&path, text).map_err(io_at("a configuration"))?;
        let assigner = AssignerSlot {
            name,
            running: None,
            addr: loopback(),
            config: path,
            dir,
            store_link,
            roster_link,
            lives: 0,
            status: Vec::new(),
        };
        self.assigners.push(assigner);
        self.start_assigner(number)
    }

    /// Starts an assigner and points the proxies' links at where it listens.
    fn start_assigner(&mut self, number: usize) -> Result<(), PlayError> {
        let slot = &mut self.assigners[number];
        slot.lives += 1;
        let life = slot.lives;
        let (ready, status) =
            (slot.dir.join(format!("ready-{life}")), slot.dir.join(format!("status-{life}.jsonl")));
        let log = slot.dir.join(format!("log-{life}.jsonl"));
        let failed = |error: String| PlayError::Start { name: slot.name.clone(), error };
        let (running, addr) = match self.day.run.assigners {
            RunAs::Processes => {
                let level = "info,whinhill_assigner=debug";
                let mut arguments: Vec<&OsStr> =
                    ["--log", "json", "--log-level", level, "assigner", "--config"].map(OsStr::new).into();
                arguments.extend([slot.config.as_os_str(), OsStr::new("--status-file"), status.as_os_str()]);
                let started = running::start_process(self.program, &arguments, &ready, &log, READY_WITHIN);
                let (child, addr) = started.map_err(|error| failed(error.to_string()))?;
                (RunningAssigner::Process(child), addr)
            }
            RunAs::Threads => {
                let text = fs::read_to_string(&slot.config).map_err(io_at("a configuration"))?;
                let mut config: AssignerConfig =
                    serde_json::from_str(&text).map_err(|error| failed(error.to_string()))?;
                config.status_file = Some(status.clone());
                let assigner = Assigner::start(config).map_err(|error| failed(error.to_string()))?;
                let addr = assigner.addr();
                (RunningAssigner::Thread(assigner), addr)
            }
        };
        (slot.running, slot.addr) = (Some(running), addr);
        slot.status.push(status);
        self.record.note(Seen::Runs { assigner: slot.name.as_str().into(), runs: true });
        for link in self.proxies.iter().filter_map(|proxy| proxy.links.get(number)) {
            link.set_target(addr);
        }
        Ok(())
    }

    fn add_proxy(&mut self, number: usize, out: &Path) -> Result<(), PlayError> {
        let id: Arc<str> = format!("proxy-{number}").into();
        let mut links = Vec::new();
        for assigner in 0..if self.day.links { self.day.assigners } else { 0 } {
            let (record, proxy) = (self.record.clone(), id.clone());
            let name: Arc<str> = self.assigners[assigner].name.as_str().into();
            let note = move |stands| {
                record.note(Seen::Connected { proxy: proxy.clone(), assigner: name.clone(), stands });
            };
            let link = Link::start(self.assigners[assigner].addr, note).map_err(io_at("a link"))?;
            link.set_delay(ms(self.day.link_delay_ms));
            links.push(Arc::new(link));
        }
        let front = match self.day.has_links(Hop::ClientsProxies) {
            true => Some(Link::start(loopback(), |_| {}).map_err(io_at("a link"))?),
            false => None,
        };
        let dir = out.join(&*id);
        self.proxies.push(ProxySlot {
            id,
            running: None,
            front,
            dir,
            lives: 0,
            links,
            number,
            rejected: 0,
            reconnects: 0,
        });
        self.start_proxy(number)
    }

    fn start_proxy(&mut self, number: usize) -> Result<(), PlayError> {
        let seed = self.rng.random();
        let slot = &mut self.proxies[number];
        slot.lives += 1;
        let incremental = match self.day.proxies.speaks {
            Speaks::Incremental => true,
            Speaks::StateOfTheWorld => false,
            Speaks::Both => slot.number.is_multiple_of(2),
        };
        let addr = |k: usize, direct: SocketAddr| slot.links.get(k).map_or(direct, |link| link.addr());
        let assigners: Vec<(String, SocketAddr)> =
            self.assigners.iter().enumerate().map(|(k, a)| (a.name.clone(), addr(k, a.addr))).collect();
        if self.day.run.proxies == RunAs::Processes {
            let (child, status, addr) =
                slot.start_process(self.day, self.program, assigners, incremental, seed)?;
            slot.running = Some(RunningProxy::Process { child, status });
            self.reached(number, addr);
            return Ok(());
        }
        let dial = match self.day.has_links(Hop::ProxiesServers) {
            true => self.to_servers.dial(number),
            false => Dial::default(),
        };
        let config = ProxyConfig {
            id: slot.id.to_string(),
            zone: self.day.zones[number % self.day.zones.len()].clone(),
            listen: loopback(),
            service: self.service.clone(),
            assigners,
            variant: if incremental { Variant::Incremental } else { Variant::StateOfTheWorld },
            settle: ms(self.day.service.settle_ms),
            limits: Limits {
                handshake: Duration::from_secs(1),
                keep_alive: Duration::from_secs(1),
                keep_alive_answer: Duration::from_secs(1),
                // A whole fleet shares one process's file descriptors here.
                idle: Duration::from_secs(3),
                ..Limits::default()
            },
            seed,
            dial,
            // A whole fleet shares one process's file descriptors here: 208 proxies and 143 servers that keep their
            // connections for a minute run out of them (seen: one RPC in nine never ran).
            pool: whinhill_proxy::PoolLimits { idle_ms: 3000, ..Default::default() },
            body_most: 64 << 20,
            pick: whinhill_proxy::Pick::default(),
            sabotage: whinhill_proxy::Sabotage {
                ignores_stops: self.day.sabotage.contains(&Sabotage::ProxyIgnoresStops),
            },
        };
        let proxy = Proxy::start(config, &self.drivers, &self.workers)?;
        let addr = proxy.addr().unwrap_or_else(loopback);
        slot.running = Some(RunningProxy::Thread(proxy));
        self.reached(number, addr);
        Ok(())
    }

    /// A proxy listens: clients may find it.
    fn reached(&mut self, number: usize, addr: SocketAddr) {
        let slot = &self.proxies[number];
        self.record.note(Seen::ProxyRuns { proxy: slot.id.clone(), runs: true });
        let seen_at = slot.front.as_ref().map_or(addr, |link| {
            link.set_target(addr);
            link.addr()
        });
        self.front.lock().unwrap_or_else(PoisonError::into_inner).push((slot.id.clone(), seen_at));
    }

    /// Waits until every proxy holds a table for each slice and method.
    fn ready(&self) -> Result<(), PlayError> {
        let each = self.service.slices * self.service.methods.len();
        let wanted = each * self.proxies.len();
        let until = Instant::now() + READY_WITHIN;
        loop {
            let held = self.proxies.iter().filter_map(|p| Some(p.running.as_ref()?.figures().held)).sum();
            if held == wanted {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(PlayError::NotReady { within: READY_WITHIN, held, wanted });
            }
            thread::sleep(ms(10));
        }
    }

    fn run(&mut self) -> Result<Measured, PlayError> {
        let stop = Arc::new(AtomicBool::new(false));
        let totals = Arc::new(Totals::default());
        // A minute in microseconds, to three digits.
        let micros = Histogram::new_with_bounds(1, 60_000_000, 3)
            .map_err(|e| io_at("a histogram")(io::Error::other(e.to_string())))?;
        let micros = Arc::new(Mutex::new(micros));
        let clients = Clients {
            service: self.service.clone(),
            load: self.day.load.clone(),
            front: self.front.clone(),
            record: self.record.clone(),
            drivers: Drivers::start("clients", 1).map_err(io_at("driver threads"))?,
            workers: Workers::new("clients", 4000, whinhill_transport::CALL_STACK),
            seed: self.day.seed ^ 0x9e37_79b9,
            rate: self.rate.clone(),
            stop: stop.clone(),
            totals: totals.clone(),
            micros: micros.clone(),
        };
        let load = thread::Builder::new()
            .name("load".into())
            .spawn(move || clients.run())
            .map_err(io_at("the load"))?;
        let start = Instant::now();
        let mut acts: BTreeMap<(Duration, usize), Act> = BTreeMap::new();
        for (turn, fault) in self.day.faults.iter().enumerate() {
            let lasts = Duration::from_secs_f64(fault.for_s);
            acts.insert((Duration::from_secs_f64(fault.at_s), turn), Act::Begin(fault.what.clone(), lasts));
        }
        let end = Duration::from_secs_f64(self.day.seconds);
        let mut turn = self.day.faults.len();
        let mut result = Ok(());
        while start.elapsed() < end && result.is_ok() {
            let now = start.elapsed();
            while let Some(((at, _), act)) = acts.pop_first() {
                if at > now {
                    turn += 1;
                    acts.insert((at, turn), act);
                    break;
                }
                match self.act(act) {
                    Ok(more) => {
                        for (after, act) in more {
                            turn += 1;
                            acts.insert((at + after, turn), act);
                        }
                    }
                    Err(error) => result = Err(error),
                }
            }
            thread::sleep(ms(10).min(end.saturating_sub(start.elapsed())));
        }
        stop.store(true, Ordering::Relaxed);
        if load.join().is_err() {
            warn!("the load's thread panicked");
        }
        result.map(|()| (totals, micros))
    }

    /// Draws a part of a fleet, one at least.
    fn draw(&mut self, part: f64, of: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..of).collect();
        all.shuffle(&mut self.rng);
        all.truncate(((part * of as f64).round() as usize).clamp(1, of));
        all.sort_unstable();
        all
    }

    fn act(&mut self, act: Act) -> Result<Vec<(Duration, Act)>, PlayError> {
        match act {
            Act::Begin(trouble, lasts) => self.begin(trouble, lasts),
            Act::Mend(hop, fault, near, far) => {
                self.hamper(hop, fault, &near, &far, false);
                Ok(Vec::new())
            }
            Act::End(trouble, on) => self.end(&trouble, &on).map(|()| Vec::new()),
            Act::Drain(which) => {
                let addrs = self.addrs(&which);
                let drain = |list: &mut BTreeMap<SocketAddr, whinhill_assigner::RosterEntry>| {
                    for addr in &addrs {
                        list.entry(*addr).and_modify(|entry| entry.state = RosterState::Draining);
                    }
                };
                self.roster.change(drain).map_err(io_at("the roster"))?;
                Ok(Vec::new())
            }
            Act::Replace(which) => {
                let addrs = self.addrs(&which);
                self.roster
                    .change(|list| addrs.iter().for_each(|addr| drop(list.remove(addr))))
                    .map_err(io_at("the roster"))?;
                for &number in &which {
                    self.servers[number].server = None;
                    let speed = self.servers[number].speed;
                    self.servers[number].server = Some(self.server(speed, true)?);
                }
                self.list(&which, true)?;
                Ok(Vec::new())
            }
        }
    }

    fn addrs(&self, which: &[usize]) -> Vec<SocketAddr> {
        which.iter().filter_map(|&n| self.servers[n].server.as_ref()?.name().parse().ok()).collect()
    }

    fn begin(&mut self, trouble: Trouble, lasts: Duration) -> Result<Vec<(Duration, Act)>, PlayError> {
        info!(?trouble, "begins");
        let mut on = Vec::new();
        match &trouble {
            Trouble::Release { part, at_a_time } => {
                let all = self.draw(*part, self.servers.len());
                let groups: Vec<Vec<usize>> =
                    all.chunks((*at_a_time).max(1)).map(<[usize]>::to_vec).collect();
                let step = lasts / groups.len() as u32;
                let drained = ms(self.day.rules.grace_ms + self.day.service.settle_ms + 300);
                let mut acts = Vec::new();
                for (k, group) in groups.into_iter().enumerate() {
                    let at = step * k as u32;
                    acts.push((at, Act::Drain(group.clone())));
                    acts.push((at + drained, Act::Replace(group)));
                }
                return Ok(acts);
            }
            Trouble::KillAssigner { which } => {
                on.push(*which);
                let slot = &mut self.assigners[*which];
                if let Some(RunningAssigner::Process(mut child)) = slot.running.take() {
                    self.record.note(Seen::Runs { assigner: slot.name.as_str().into(), runs: false });
                    running::kill(&mut child);
                }
            }
            Trouble::StallAssigner { which } => {
                on.push(*which);
                self.signal(*which, Signal::STOP, false);
            }
            Trouble::KillProxies { part } => {
                on = self.draw(*part, self.proxies.len());
                for &number in &on {
                    let slot = &mut self.proxies[number];
                    let id = slot.id.clone();
                    self.front.lock().unwrap_or_else(PoisonError::into_inner).retain(|(name, _)| *name != id);
                    self.record.note(Seen::ProxyRuns { proxy: id, runs: false });
                    slot.stop(true);
                }
            }
            Trouble::Link { between, near, far, fault } => {
                let (nears, fars) = self.day.ends(*between);
                let (near, far) = (self.pick(*near, nears), self.pick(*far, fars));
                self.hamper(*between, *fault, &near, &far, true);
                return Ok(vec![(lasts, Act::Mend(*between, *fault, near, far))]);
            }
            Trouble::RollBack { seconds } => self.roll_back(Duration::from_secs_f64(*seconds)),
            Trouble::StoreDown {} => self.store.set_down(true),
            Trouble::RejectTables { part } => {
                for number in self.draw(*part, self.proxies.len()) {
                    if let Some(proxy) = self.proxies[number].running.as_ref().and_then(RunningProxy::thread)
                    {
                        proxy.reject_next(1);
                    }
                }
            }
            Trouble::SlowServers { part, .. }
            | Trouble::SilentServers { part }
            | Trouble::FailingServers { part, .. }
            | Trouble::AnswersLost { part, .. } => {
                on = self.draw(*part, self.servers.len());
                self.set_faults(&trouble, &on, true);
            }
            Trouble::Burst { times } => self.rate.store((times * 1000.0) as u64, Ordering::Relaxed),
            Trouble::RosterDown {} => {
                self.roster.set_down(true);
                self.roster.write_half().map_err(io_at("the roster"))?;
            }
            Trouble::RosterDrops { part } => {
                on = self.draw(*part, self.servers.len());
                let addrs = self.addrs(&on);
                self.roster
                    .change(|list| addrs.iter().for_each(|addr| drop(list.remove(addr))))
                    .map_err(io_at("the roster"))?;
            }
        }
        Ok(vec![(lasts, Act::End(trouble, on))])
    }

    fn end(&mut self, trouble: &Trouble, on: &[usize]) -> Result<(), PlayError> {
        match trouble {
            Trouble::KillAssigner { which } => self.start_assigner(*which)?,
            Trouble::StallAssigner { which } => self.signal(*which, Signal::CONT, true),
            Trouble::KillProxies { .. } => on.iter().try_for_each(|&number| self.start_proxy(number))?,
            Trouble::StoreDown {} => self.store.set_down(false),
            Trouble::SlowServers { .. }
            | Trouble::SilentServers { .. }
            | Trouble::FailingServers { .. }
            | Trouble::AnswersLost { .. } => self.set_faults(trouble, on, false),
            Trouble::Burst { .. } => self.rate.store(1000, Ordering::Relaxed),
            Trouble::RosterDown {} => {
                self.roster.set_down(false);
                self.roster.mend().map_err(io_at("the roster"))?;
            }
            Trouble::RosterDrops { .. } => self.list(on, false)?,
            Trouble::RollBack { .. } => {}
            Trouble::Release { .. } | Trouble::Link { .. } | Trouble::RejectTables { .. } => {}
        }
        Ok(())
    }

    fn signal(&self, which: usize, signal: Signal, runs: bool) {
        let slot = &self.assigners[which];
        if let Some(RunningAssigner::Process(child)) = &slot.running {
            running::signal(child, signal);
        }
        self.record.note(Seen::Runs { assigner: slot.name.as_str().into(), runs });
    }

    /// Has every assigner that answers lead its owners back to where they were so long ago.
    fn roll_back(&self, ago: Duration) {
        let then = SystemTime::now().checked_sub(ago).and_then(|then| then.duration_since(UNIX_EPOCH).ok());
        let unix_ms = then.map_or(0, |then| then.as_millis() as u64);
        for slot in &self.assigners {
            let order = Ask::Rollback {
                to: Target::UnixMs(unix_ms),
                slices: None,
                by: "the day's script".into(),
                dry_run: false,
                within_ms: 60_000,
            };
            let addr = fs::read_to_string(slot.dir.join("operators")).unwrap_or_default();
            let Ok(addr) = addr.parse() else { continue };
            match whinhill_assigner::ask(addr, &order, &self.drivers) {
                Ok(Answer::Plan { id, to, slices, .. }) => {
                    let moves = slices.iter().filter(|line| line.verdict == "moves").count();
                    info!(name = %slot.name, ?id, to, moves, "rollback begun");
                }
                Ok(_) => {}
                // One that is dead at the time can't be asked.
                Err(error) => warn!(name = %slot.name, %error, "no rollback"),
            }
        }
        self.time_rollback();
    }

    /// Watches, beside the day, how long a rollback takes until it has ended everywhere and every proxy has
    /// acknowledged what came of it.
    fn time_rollback(&self) {
        let paths: Vec<PathBuf> = self.assigners.iter().map(|slot| slot.dir.join("operators")).collect();
        let (drivers, took, began) = (self.drivers.clone(), self.rolled_back.clone(), Instant::now());
        let watch = move || {
            while began.elapsed() < ms(120_000) {
                let done = paths.iter().all(|path| rolled_back(path, &drivers));
                if done {
                    let ms = began.elapsed().as_secs_f64() * 1e3;
                    return took.lock().unwrap_or_else(PoisonError::into_inner).push(ms);
                }
                thread::sleep(ms(50));
            }
        };
        if let Err(error) = thread::Builder::new().name("rollback".into()).stack_size(256 << 10).spawn(watch)
        {
            warn!(%error, "the rollback is not timed");
        }
    }

    /// How each assigner's rollbacks stand, at the day's end: done, abandoned, and those not ended.
    fn rollbacks(&self) -> Rollbacks {
        let took_ms = self.rolled_back.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut sum = Rollbacks { took_ms, ..Rollbacks::default() };
        for slot in &self.assigners {
            let addr = fs::read_to_string(slot.dir.join("operators")).unwrap_or_default();
            let Ok(addr) = addr.parse() else { continue };
            let Ok(Answer::Rollbacks(lines)) = whinhill_assigner::ask(addr, &Ask::Rollbacks, &self.drivers)
            else {
                continue;
            };
            for line in lines {
                sum.asked += 1;
                sum.ended += u64::from(line.finished);
                sum.slices_done += line.progress.done as u64;
                sum.slices_abandoned += line.progress.abandoned as u64;
            }
        }
        sum
    }

    fn pick(&mut self, pick: Pick, of: usize) -> Vec<usize> {
        match pick {
            Pick::All => (0..of).collect(),
            Pick::Part(part) => self.draw(part, of),
            Pick::One(which) => vec![which],
        }
    }

    /// Lets links between some parts carry badly, or well again, and notes what the audit must know: whoever is
    /// told late is not held to what it was not told, and what was held up is not taken for sent late.
    fn hamper(&self, hop: Hop, fault: LinkFault, near: &[usize], far: &[usize], begins: bool) {
        let usual = ms(self.day.link_delay_ms);
        let pairs = near.iter().flat_map(|&n| far.iter().map(move |&f| (n, f)));
        for (n, f) in pairs {
            match hop {
                Hop::ClientsProxies => {
                    self.proxies[f].front.iter().for_each(|link| fault.apply(link, begins, Duration::ZERO));
                }
                Hop::ProxiesAssigners => {
                    let Some(link) = self.proxies[n].links.get(f) else { continue };
                    fault.apply(link, begins, usual);
                    if fault.lasts() {
                        let (proxy, assigner) =
                            (self.proxies[n].id.clone(), self.assigners[f].name.as_str().into());
                        self.record.note(Seen::Cut { proxy, assigner, cut: begins });
                    }
                }
                Hop::ProxiesServers => {
                    let Some(server) = self.servers[f].server.as_ref().map(Server::name) else { continue };
                    let Ok(addr) = server.parse() else { continue };
                    self.to_servers.set(n, addr, fault, begins);
                    let (proxy, server) = (self.proxies[n].id.clone(), server.clone());
                    self.record.note(Seen::Hampered { proxy, server, hampered: begins && fault.lasts() });
                }
                Hop::AssignersStore => fault.apply(&self.assigners[n].store_link, begins, Duration::ZERO),
                Hop::AssignersRoster => {
                    let link = self.assigners[n].roster_link.iter();
                    link.for_each(|link| fault.apply(link, begins, Duration::ZERO));
                }
            }
        }
    }

    fn set_faults(&self, trouble: &Trouble, on: &[usize], begins: bool) {
        let part = |value: f64| if begins { value } else { 0.0 };
        for server in on.iter().filter_map(|&number| self.servers[number].server.as_ref()) {
            server.set_faults(|faults| match trouble {
                Trouble::SlowServers { times, .. } => faults.slow = part(*times),
                Trouble::SilentServers { .. } => faults.silent = begins,
                Trouble::FailingServers { share, method, .. } => {
                    (faults.errors, faults.errors_method) = (part(*share), *method);
                }
                Trouble::AnswersLost { share, .. } => faults.answers_lost = part(*share),
                _ => {}
            });
        }
    }

    /// Stops everything. Returns what proxies counted: tables rejected, streams opened again.
    fn stop(&mut self) -> (u64, u64) {
        // Proxies first: streams that they lose to the assigners' end are no event of the day.
        self.proxies.iter().for_each(ProxySlot::begin_stop);
        self.proxies.iter_mut().for_each(|slot| slot.stop(false));
        for slot in &self.assigners {
            if let Some(RunningAssigner::Process(child)) = &slot.running {
                // One that stands still can't end.
                running::signal(child, Signal::CONT);
                running::signal(child, Signal::TERM);
            }
        }
        let until = Instant::now() + STOP_WITHIN;
        for slot in &mut self.assigners {
            match slot.running.take() {
                Some(RunningAssigner::Process(mut child)) => running::ended(&mut child, &slot.name, until),
                Some(RunningAssigner::Thread(assigner)) => assigner.stop(),
                None => {}
            }
        }
        self.proxies.iter().fold((0, 0), |sum, slot| (sum.0 + slot.rejected, sum.1 + slot.reconnects))
    }
}

impl ProxySlot {
    fn begin_stop(&self) {
        match &self.running {
            Some(RunningProxy::Thread(proxy)) => proxy.begin_stop(),
            Some(RunningProxy::Process { child, .. }) => running::signal(child, Signal::TERM),
            None => {}
        }
    }

    /// `at_once`: a process is killed outright.
    fn stop(&mut self, at_once: bool) {
        let Some(mut running) = self.running.take() else { return };
        match &mut running {
            RunningProxy::Process { child, .. } if at_once => running::kill(child),
            RunningProxy::Process { child, .. } => {
                running::ended(child, &self.id, Instant::now() + STOP_WITHIN);
            }
            RunningProxy::Thread(_) => {}
        }
        let figures = running.figures();
        self.rejected += figures.rejected;
        self.reconnects += figures.reconnects;
    }

    /// Starts it as a process; returns where it writes its figures, and where it listens.
    fn start_process(
        &self,
        day: &Day,
        program: &Path,
        assigners: Vec<(String, SocketAddr)>,
        incremental: bool,
        seed: u64,
    ) -> Result<(std::process::Child, PathBuf, SocketAddr), PlayError> {
        let (dir, life) = (&self.dir, self.lives);
        let failed =
            |error: io::Error| PlayError::Start { name: self.id.to_string(), error: error.to_string() };
        fs::create_dir_all(dir).map_err(failed)?;
        let path = |name: &str| dir.join(format!("{name}-{life}"));
        let (config, status) = (path("proxy.json5"), path("status.jsonl"));
        let assigners: Vec<_> =
            assigners.iter().map(|(name, addr)| serde_json::json!({ "name": name, "addr": addr })).collect();
        let text = serde_json::json!({
            "id": &*self.id,
            "zone": day.zones[self.number % day.zones.len()],
            "listen": loopback(),
            "service": day.service,
            "assigners": assigners,
            "state_of_the_world": !incremental,
            "seed": seed,
            "status_file": &status,
        });
        fs::write(&config, text.to_string()).map_err(failed)?;
        let arguments =
            [OsStr::new("--log"), OsStr::new("json"), OsStr::new("proxy"), OsStr::new("--config")];
        let arguments = [&arguments[..], &[config.as_os_str()]].concat();
        let started = running::start_process(program, &arguments, &path("ready"), &path("log"), READY_WITHIN);
        let (child, addr) = started.map_err(failed)?;
        Ok((child, status, addr))
    }
}

/// Whether an assigner's rollbacks have all ended and no proxy is behind. One that is dead is not.
fn rolled_back(operators: &Path, drivers: &Drivers) -> bool {
    let addr = fs::read_to_string(operators).unwrap_or_default();
    let Ok(addr) = addr.parse() else { return false };
    let ended = match whinhill_assigner::ask(addr, &Ask::Rollbacks, drivers) {
        Ok(Answer::Rollbacks(lines)) => lines.iter().all(|line| line.finished),
        _ => false,
    };
    ended
        && match whinhill_assigner::ask(addr, &Ask::Proxies, drivers) {
            Ok(Answer::Proxies { proxies, .. }) => proxies.iter().all(|proxy| proxy.behind == 0),
            _ => false,
        }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
