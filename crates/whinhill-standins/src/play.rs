//! Plays a scripted day: starts everything, lets it run, lets things fail when the script says so, stops it, audits.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::{kill_process, Pid, Signal};
use serde::Serialize;
use tracing::{info, warn};
use whinhill_assigner::{AssignerConfig, RosterConfig, RosterState, Status, StoreConfig};
use whinhill_proxy::{Proxy, ProxyConfig, ProxyError};
use whinhill_store::Record;
use whinhill_transport::{Drivers, Limits, Workers};
use whinhill_xds::mapping::Service;
use whinhill_xds::Variant;

use crate::audit::{audit, Audit, Limits as Rules};
use crate::clients::{Clients, Front, Totals};
use crate::day::{Day, RosterBy, Sabotage, Speaks, Trouble};
use crate::link::{Direction, Link};
use crate::record::{Recorder, Seen};
use crate::roster::{entry, RosterStandIn, RESOURCE};
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
    #[error("assigner {name} did not start: see {log}")]
    Assigner { name: String, log: String },
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

/// What clients counted, and the times of their ok answers in microseconds.
type Measured = (Arc<Totals>, Arc<Mutex<Histogram<u64>>>);

struct RunningAssigner {
    name: String,
    child: Option<Child>,
    config: PathBuf,
    dir: PathBuf,
    store_link: Link,
    lives: u32,
    status: Vec<PathBuf>,
}

struct RunningProxy {
    id: Arc<str>,
    proxy: Option<Proxy>,
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
    proxies: Vec<RunningProxy>,
    assigners: Vec<RunningAssigner>,
    front: Front,
    rate: Arc<AtomicU64>,
    rng: ChaCha8Rng,
}

/// Something to do at a time, and to undo at another.
#[derive(Clone, Debug)]
enum Act {
    Begin(Trouble, Duration),
    End(Trouble, Vec<usize>),
    Drain(Vec<usize>),
    Replace(Vec<usize>),
}

/// Plays `day`. `program` is the binary that runs as an assigner; files go to `out`.
pub fn play(day: &Day, program: &Path, out: &Path) -> Result<Outcome, PlayError> {
    fs::create_dir_all(out).map_err(io_at("the output folder"))?;
    let mut fleet = Fleet::start(day, program, out)?;
    let result = fleet.run();
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

/// Starts a day's fleet, hands the addresses of its proxies to `act`, and stops it.
pub fn with_fleet<T>(
    day: &Day,
    program: &Path,
    out: &Path,
    act: impl FnOnce(&[(Arc<str>, SocketAddr)]) -> T,
) -> Result<T, PlayError> {
    fs::create_dir_all(out).map_err(io_at("the output folder"))?;
    let mut fleet = Fleet::start(day, program, out)?;
    let front = fleet.front.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let result = act(&front);
    fleet.stop();
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
        let workers = Workers::new("day", 6000, 96 << 10);
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
            front: Front::default(),
            rate: Arc::new(AtomicU64::new(1000)),
            rng: ChaCha8Rng::seed_from_u64(day.seed),
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
            fleet.add_proxy(number)?;
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
        let config = AssignerConfig {
            name: name.clone(),
            peers: (0..self.day.assigners).map(|k| format!("assigner-{k}")).collect(),
            listen: loopback(),
            zone: self.day.zones[number % self.day.zones.len()].clone(),
            zones: self.day.zones.clone(),
            service: self.day.service.clone(),
            rules: self.day.rules.clone(),
            channel: self.day.channel.clone(),
            roster: match self.roster_addr {
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
            state_dir: Some(dir.clone()),
            status_file: None,
            seed: Some(self.rng.random()),
            sabotage: whinhill_assigner::Sabotage {
                skips_the_wait: self.day.sabotage.contains(&Sabotage::AssignerSkipsWait),
            },
        };
        let path = dir.join("assigner.json5");
        let text =
            serde_json::to_string_pretty(&config).map_err(|error| io_at("a configuration")(error.into()))?;
        fs::write(&path, text).map_err(io_at("a configuration"))?;
        let assigner = RunningAssigner {
            name,
            child: None,
            config: path,
            dir,
            store_link,
            lives: 0,
            status: Vec::new(),
        };
        self.assigners.push(assigner);
        self.start_assigner(number)
    }

    /// Starts an assigner's process and points the proxies' links at where it listens.
    fn start_assigner(&mut self, number: usize) -> Result<(), PlayError> {
        let running = &mut self.assigners[number];
        running.lives += 1;
        let life = running.lives;
        let (ready, status) =
            (running.dir.join(format!("ready-{life}")), running.dir.join(format!("status-{life}.jsonl")));
        let log = running.dir.join(format!("log-{life}.jsonl"));
        let file = fs::File::create(&log).map_err(io_at("a log"))?;
        let child = Command::new(self.program)
            .args(["--log", "json", "--log-level", "info,whinhill_assigner=debug", "assigner", "--config"])
            .arg(&running.config)
            .arg("--ready-file")
            .arg(&ready)
            .arg("--status-file")
            .arg(&status)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn();
        running.child = Some(child.map_err(io_at("an assigner's process"))?);
        running.status.push(status);
        let until = Instant::now() + READY_WITHIN;
        let addr: SocketAddr = loop {
            if let Some(addr) = fs::read_to_string(&ready).ok().and_then(|text| text.trim().parse().ok()) {
                break addr;
            }
            if Instant::now() > until {
                return Err(PlayError::Assigner {
                    name: running.name.clone(),
                    log: log.display().to_string(),
                });
            }
            thread::sleep(ms(5));
        };
        self.record.note(Seen::Runs { assigner: running.name.as_str().into(), runs: true });
        for link in self.proxies.iter().filter_map(|proxy| proxy.links.get(number)) {
            link.set_target(addr);
        }
        fs::write(running.dir.join("addr"), addr.to_string()).map_err(io_at("an address"))
    }

    fn assigner_addr(&self, number: usize) -> SocketAddr {
        let text = fs::read_to_string(self.assigners[number].dir.join("addr")).unwrap_or_default();
        text.parse().unwrap_or_else(|_| loopback())
    }

    fn add_proxy(&mut self, number: usize) -> Result<(), PlayError> {
        let id: Arc<str> = format!("proxy-{number}").into();
        let mut links = Vec::new();
        for assigner in 0..if self.day.links { self.day.assigners } else { 0 } {
            let (record, proxy) = (self.record.clone(), id.clone());
            let name: Arc<str> = self.assigners[assigner].name.as_str().into();
            let note = move |stands| {
                record.note(Seen::Connected { proxy: proxy.clone(), assigner: name.clone(), stands });
            };
            let link = Link::start(self.assigner_addr(assigner), note).map_err(io_at("a link"))?;
            link.set_delay(ms(self.day.link_delay_ms));
            links.push(Arc::new(link));
        }
        self.proxies.push(RunningProxy { id, proxy: None, links, number, rejected: 0, reconnects: 0 });
        self.start_proxy(number)
    }

    fn start_proxy(&mut self, number: usize) -> Result<(), PlayError> {
        let seed = self.rng.random();
        let direct: Vec<SocketAddr> = (0..self.assigners.len()).map(|k| self.assigner_addr(k)).collect();
        let running = &mut self.proxies[number];
        let incremental = match self.day.proxies.speaks {
            Speaks::Incremental => true,
            Speaks::StateOfTheWorld => false,
            Speaks::Both => running.number.is_multiple_of(2),
        };
        let addr = |k: usize| running.links.get(k).map_or(direct[k], |link| link.addr());
        let assigners = self.assigners.iter().enumerate().map(|(k, a)| (a.name.clone(), addr(k)));
        let config = ProxyConfig {
            id: running.id.to_string(),
            zone: self.day.zones[number % self.day.zones.len()].clone(),
            listen: loopback(),
            service: self.service.clone(),
            assigners: assigners.collect(),
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
            sabotage: whinhill_proxy::Sabotage {
                ignores_stops: self.day.sabotage.contains(&Sabotage::ProxyIgnoresStops),
            },
        };
        let proxy = Proxy::start(config, &self.drivers, &self.workers)?;
        let addr = proxy.addr().unwrap_or_else(loopback);
        running.proxy = Some(proxy);
        self.record.note(Seen::ProxyRuns { proxy: running.id.clone(), runs: true });
        self.front.lock().unwrap_or_else(PoisonError::into_inner).push((running.id.clone(), addr));
        Ok(())
    }

    /// Waits until every proxy holds a table for each slice and method.
    fn ready(&self) -> Result<(), PlayError> {
        let each = self.service.slices * self.service.methods.len();
        let wanted = each * self.proxies.len();
        let until = Instant::now() + READY_WITHIN;
        loop {
            let held = self.proxies.iter().filter_map(|p| Some(p.proxy.as_ref()?.held().0)).sum();
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
            workers: Workers::new("clients", 4000, 96 << 10),
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
                let running = &mut self.assigners[*which];
                if let Some(mut child) = running.child.take() {
                    self.record.note(Seen::Runs { assigner: running.name.as_str().into(), runs: false });
                    let _ = child.kill();
                    let _ = child.wait();
                }
            }
            Trouble::StallAssigner { which } => {
                on.push(*which);
                self.signal(*which, Signal::STOP, false);
            }
            Trouble::KillProxies { part } => {
                on = self.draw(*part, self.proxies.len());
                for &number in &on {
                    let running = &mut self.proxies[number];
                    let id = running.id.clone();
                    self.front.lock().unwrap_or_else(PoisonError::into_inner).retain(|(name, _)| *name != id);
                    self.record.note(Seen::ProxyRuns { proxy: id, runs: false });
                    running.stop();
                }
            }
            Trouble::CutProxies { part, assigner, way } => {
                on = self.draw(*part, self.proxies.len());
                self.cut(&on, *assigner, *way, true);
            }
            Trouble::SlowReaders { part, bytes_per_s } => {
                on = self.draw(*part, self.proxies.len());
                self.slow(&on, *bytes_per_s);
            }
            Trouble::CutStore { which } => {
                on.push(*which);
                self.assigners[*which].store_link.stall(Direction::Both, true);
            }
            Trouble::StoreDown {} => self.store.set_down(true),
            Trouble::DropMidUpdate { part, after_bytes } => {
                for number in self.draw(*part, self.proxies.len()) {
                    self.proxies[number].links.iter().for_each(|link| link.break_after(*after_bytes));
                }
            }
            Trouble::RejectTables { part } => {
                for number in self.draw(*part, self.proxies.len()) {
                    if let Some(proxy) = &self.proxies[number].proxy {
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
            Trouble::CutProxies { assigner, way, .. } => self.cut(on, *assigner, *way, false),
            Trouble::SlowReaders { .. } => self.slow(on, 0),
            Trouble::CutStore { which } => self.assigners[*which].store_link.stall(Direction::Both, false),
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
            Trouble::Release { .. } | Trouble::DropMidUpdate { .. } | Trouble::RejectTables { .. } => {}
        }
        Ok(())
    }

    fn signal(&self, which: usize, signal: Signal, runs: bool) {
        let running = &self.assigners[which];
        let pid = running.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(Err(error)) = pid.map(|pid| kill_process(pid, signal)) {
            warn!(%error, "a signal was not sent");
        }
        self.record.note(Seen::Runs { assigner: running.name.as_str().into(), runs });
    }

    /// A slow reader is told late: like one that is cut off, it is not held to what it was not told.
    fn slow(&self, on: &[usize], bytes_per_s: u64) {
        for &number in on {
            for (place, link) in self.proxies[number].links.iter().enumerate() {
                link.slow(Direction::Back, bytes_per_s);
                let (proxy, assigner) =
                    (self.proxies[number].id.clone(), self.assigners[place].name.as_str().into());
                self.record.note(Seen::Cut { proxy, assigner, cut: bytes_per_s > 0 });
            }
        }
    }

    fn cut(&self, on: &[usize], assigner: Option<usize>, way: Direction, cut: bool) {
        for &number in on {
            for (place, link) in self.proxies[number].links.iter().enumerate() {
                if assigner.is_none_or(|only| only == place) {
                    link.stall(way, cut);
                    let (proxy, name) =
                        (self.proxies[number].id.clone(), self.assigners[place].name.as_str().into());
                    self.record.note(Seen::Cut { proxy, assigner: name, cut });
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
        self.proxies.iter().filter_map(|proxy| proxy.proxy.as_ref()).for_each(Proxy::begin_stop);
        self.proxies.iter_mut().for_each(RunningProxy::stop);
        for assigner in &mut self.assigners {
            // One that stands still can't end; one that was killed has.
            if let Some(pid) = assigner.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32)) {
                let _ = (kill_process(pid, Signal::CONT), kill_process(pid, Signal::TERM));
            }
        }
        let until = Instant::now() + STOP_WITHIN;
        for assigner in &mut self.assigners {
            let Some(mut child) = assigner.child.take() else { continue };
            while Instant::now() < until && matches!(child.try_wait(), Ok(None)) {
                thread::sleep(ms(10));
            }
            if matches!(child.try_wait(), Ok(None)) {
                warn!(name = %assigner.name, "did not end in time: killed");
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let (mut rejected, mut reconnects) = (0, 0);
        for proxy in &self.proxies {
            rejected += proxy.rejected;
            reconnects += proxy.reconnects;
        }
        (rejected, reconnects)
    }
}

impl RunningProxy {
    fn stop(&mut self) {
        if let Some(proxy) = self.proxy.take() {
            self.rejected += proxy.counts().rejected.load(Ordering::Relaxed);
            self.reconnects += proxy.counts().reconnects.load(Ordering::Relaxed);
        }
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
