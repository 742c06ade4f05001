//! Puts an assigner together: its threads, and the loop of the one that decides.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use rand::Rng;
use tracing::{error, info, warn};
use whinhill::interface::{ProxyId, SettingsError, SliceId};
use whinhill_store::{Custody, CustodyConfig, Identity, RespConfig, RespStore, Store};
use whinhill_tables::PendingGrant;
use whinhill_transport::{Drivers, Limits, Listener};
use whinhill_xds::{Entry, Kind};

use crate::channel::Channel;
use crate::config::{AssignerConfig, Fault};
use crate::core::{Core, Effects, Input};
use crate::hub::{Hub, HubConfig};
use crate::names::PAST;
use crate::probes::Prober;
use crate::roster::Feed;
use crate::status::{process_figures, Counters, Status};
use crate::stewards::{Charge, Steward};

/// Inputs that may wait for the decision thread; whoever brings more waits.
const INBOX: usize = 8192;
/// Grants that may wait for the store's thread; more wait with the one that decides, one a slice.
const GRANTS: usize = 4096;
/// The shortest time between two batches: what comes meanwhile is decided together.
const ROUND: Duration = Duration::from_millis(2);
const STACK: usize = 512 << 10;

#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("the configuration has {} faults, the first: {}", .0.len(), .0.first().map(Fault::to_string).unwrap_or_default())]
    Config(Vec<Fault>),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("cannot listen on {addr}: {error}")]
    Listen { addr: SocketAddr, error: io::Error },
    #[error("cannot start: {0}")]
    Io(#[from] io::Error),
}

/// A running assigner. [`Assigner::stop`] ends it in order.
pub struct Assigner {
    addr: SocketAddr,
    stop: Arc<AtomicBool>,
    hub: Arc<Hub>,
    listener: Option<Listener>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Assigner {
    pub fn start(config: AssignerConfig) -> Result<Self, StartError> {
        let faults = config.check();
        if !faults.is_empty() {
            return Err(StartError::Config(faults));
        }
        let drivers = Drivers::start(&config.name, 2)?;
        let store = RespStore::new(RespConfig {
            addr: config.store.addr,
            prefix: format!("{}/{}", config.store.prefix, config.service.name),
            within: Duration::from_millis(config.store.within_ms),
        });
        let seed = config.seed.unwrap_or_else(|| rand::rng().random());
        let life = rand::rng().random();
        info!(name = %config.name, life = format!("{life:x}"), seed, "assigner starts");
        let start = Instant::now();
        let (stop, charge) = (Arc::new(AtomicBool::new(false)), Arc::new(Charge::default()));
        let counters = Arc::new(Counters::default());
        let (inputs, inbox) = bounded(INBOX);
        let (grants, to_store) = bounded(GRANTS);
        let core = Core::new(&config, seed)?;
        let service = core.service().clone();
        let ms = Duration::from_millis;
        let hub = Arc::new(Hub::new(
            service.clone(),
            inputs.clone(),
            counters.clone(),
            charge.clone(),
            HubConfig {
                answer_within: ms(config.answer_within_ms),
                proxies_most: config.proxies_most,
                report_every: ms(config.report_period_ms),
                start,
                base: PAST,
            },
        ));
        {
            let mut cache = hub.cache.write().unwrap_or_else(PoisonError::into_inner);
            for (kind, name, entry) in service.static_resources() {
                // Of another life it is another version, so that no renewal extends what a former life gave.
                let version = format!("{life:x}-{}", entry.version);
                cache.set(kind, name, Entry { version, ..entry });
            }
        }
        let accept = hub.clone();
        let limits = Limits {
            connections_most: config.proxies_most * 2 + 16,
            idle: Duration::from_secs(30),
            keep_alive: Duration::from_secs(2),
            keep_alive_answer: Duration::from_secs(2),
            ..Limits::default()
        };
        let listener =
            Listener::start(&config.name, config.listen, limits, &drivers, move |call| accept.accept(call));
        let listener = listener.map_err(|error| StartError::Listen { addr: config.listen, error })?;
        let addr = listener.addr();
        let mut threads = Vec::new();
        let mut spawn = |name: &str, run: Box<dyn FnOnce() + Send>| -> io::Result<()> {
            let builder = thread::Builder::new().name(format!("{}-{name}", config.name)).stack_size(STACK);
            threads.push(builder.spawn(run)?);
            Ok(())
        };
        let listed = Arc::new(AtomicBool::new(false));
        let steward = Steward {
            store: Box::new(store) as Box<dyn Store>,
            custody: Custody::new(CustodyConfig {
                me: Identity { name: config.name.clone(), life },
                peers: config.peers.clone(),
                slices: config.service.slices,
                ttl: ms(config.custody.ttl_ms),
                margin: ms(config.custody.margin_ms),
                step: config.custody.step,
            }),
            charge,
            grants: to_store,
            inputs: inputs.clone(),
            counters: counters.clone(),
            stop: stop.clone(),
            start,
            base: PAST,
            alive: false,
            well: true,
            listed: listed.clone(),
        };
        let (roster_in, roster_out) = bounded(16);
        let feed = Feed {
            config: config.roster.clone(),
            state_dir: config.state_dir.clone(),
            inputs: roster_in,
            stop: stop.clone(),
            drivers: drivers.clone(),
            node: config.name.clone(),
            listed,
        };
        let decider = Decider {
            core,
            channel: Channel::new(config.channel.lines_per_s, config.channel.head),
            names: BTreeMap::new(),
            hub: hub.clone(),
            inbox,
            roster: roster_out,
            grants,
            owed: BTreeMap::new(),
            prober: Prober::new(drivers, inputs),
            counters,
            status: Status { name: config.name.clone(), ..Status::default() },
            status_file: config.status_file.clone(),
            start,
            stop: stop.clone(),
        };
        spawn("decide", Box::new(move || decider.run()))?;
        spawn("roster", Box::new(move || feed.run()))?;
        spawn("store", Box::new(move || steward.run()))?;
        info!(%addr, "assigner listens");
        Ok(Assigner { addr, stop, hub, listener: Some(listener), threads })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Proxies with a stream.
    pub fn connected(&self) -> usize {
        self.hub.connected()
    }

    /// Ends it in order: nothing is granted half-way, custody is given up, streams are closed.
    pub fn stop(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // The store's thread ends last of those that tell the decision thread; that one waits for it.
        while let Some(thread) = self.threads.pop() {
            thread.thread().unpark();
            if thread.join().is_err() {
                error!("a thread of the assigner had panicked");
            }
        }
        self.hub.close();
        // Streams say that they end; a proxy that does not read is not waited for.
        let until = Instant::now() + Duration::from_millis(500);
        while self.hub.connected() > 0 && Instant::now() < until {
            thread::park_timeout(Duration::from_millis(10));
        }
        thread::park_timeout(Duration::from_millis(50));
        self.listener = None;
        info!("assigner stopped");
    }
}

struct Decider {
    core: Core,
    channel: Channel,
    names: BTreeMap<ProxyId, String>,
    hub: Arc<Hub>,
    inbox: Receiver<(Input, Option<Sender<()>>)>,
    roster: Receiver<Input>,
    grants: Sender<PendingGrant>,
    /// Grants that the store's queue had no room for.
    owed: BTreeMap<SliceId, PendingGrant>,
    prober: Prober,
    counters: Arc<Counters>,
    status: Status,
    status_file: Option<std::path::PathBuf>,
    start: Instant,
    stop: Arc<AtomicBool>,
}

impl Decider {
    fn now(&self) -> Duration {
        PAST + self.start.elapsed()
    }

    fn run(mut self) {
        let mut file = self.status_file.clone().and_then(|path| match std::fs::File::create(&path) {
            Ok(file) => Some(file),
            Err(error) => {
                warn!(path = %path.display(), %error, "no status is written");
                None
            }
        });
        let mut next_status = Instant::now() + Duration::from_secs(1);
        let mut due = self.now();
        loop {
            let left = due.saturating_sub(self.now()).max(ROUND);
            let mut inputs: Vec<Input> = Vec::new();
            let mut done: Vec<Sender<()>> = Vec::new();
            match self.inbox.recv_timeout(left) {
                Ok(first) => {
                    let more: Vec<_> = self.inbox.try_iter().take(INBOX).collect();
                    for (input, acted) in std::iter::once(first).chain(more) {
                        self.remember(&input);
                        inputs.push(input);
                        done.extend(acted);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // The newest list stands for those before it, but a failure after it is told too.
            inputs.splice(0..0, self.roster.try_iter());
            let now = self.now();
            let began = Instant::now();
            let effects = self.core.handle(now, inputs);
            let took = began.elapsed().as_micros() as u64;
            self.status.batches += 1;
            self.status.batch_us_sum += took;
            self.status.batch_us_most = self.status.batch_us_most.max(took);
            self.carry_out(effects);
            for acted in done {
                // Whoever asked may have stopped waiting.
                let _ = acted.try_send(());
            }
            due = self.core.wake().min(self.pump());
            if Instant::now() >= next_status {
                next_status += Duration::from_secs(1);
                self.write_status(&mut file);
            }
            if self.stop.load(Ordering::Relaxed) && self.counters.slices.load(Ordering::Relaxed) == 0 {
                self.write_status(&mut file);
                return;
            }
        }
    }

    fn remember(&mut self, input: &Input) {
        if let Input::Joined { proxy, .. } = input {
            let id = self.core.proxy(proxy);
            self.names.entry(id).or_insert_with(|| proxy.clone());
        }
    }

    fn carry_out(&mut self, effects: Effects) {
        effects.log.iter().for_each(|text| info!(target: "whinhill::module", "{text}"));
        effects.left.iter().for_each(|proxy| self.channel.left(*proxy));
        self.publish(&effects);
        if !effects.changed.is_empty() || effects.mark.is_some() {
            let joined = self.core.joined().keys().copied();
            self.channel.push(joined, &effects.changed, effects.mark, effects.lines, effects.safety);
        }
        // Of a slice the newest grant alone counts: the keeper takes no answer for an older one.
        self.owed.extend(effects.grants.into_iter().map(|grant| (grant.slice, grant)));
        while let Some((slice, grant)) = self.owed.pop_first() {
            if let Err(refused) = self.grants.try_send(grant) {
                // The store is behind; the next batch tries again.
                self.owed.insert(slice, refused.into_inner());
                break;
            }
        }
        effects.probes.into_iter().for_each(|server| self.prober.probe(server));
    }

    /// Writes changed tables into the cache, and tells at once what has come or gone with custody.
    fn publish(&self, effects: &Effects) {
        if effects.changed.is_empty() && effects.given.is_empty() && effects.taken.is_empty() {
            return;
        }
        let service = &self.hub.service;
        let mut moved = Vec::new();
        {
            let mut cache = self.hub.cache.write().unwrap_or_else(PoisonError::into_inner);
            for slice in &effects.taken {
                for method in 0..service.methods.len() {
                    let name = service.cluster_name(*slice, method);
                    cache.remove(Kind::Cluster, &name);
                    cache.remove(Kind::Endpoints, &name);
                    moved.push(name);
                }
            }
            for slice in effects.given.iter().chain(&effects.changed) {
                let Some(table) = self.core.keeper().published().get(slice) else { continue };
                for method in 0..service.methods.len() {
                    let name = service.cluster_name(*slice, method);
                    if effects.given.contains(slice) {
                        cache.set(Kind::Cluster, name.clone(), service.cluster(*slice, method));
                        moved.push(name.clone());
                    }
                    let entry = service.endpoints(*slice, method, table);
                    cache.set(Kind::Endpoints, name, entry);
                }
            }
        }
        if !moved.is_empty() {
            self.hub.announce(&moved);
        }
    }

    /// Sends what may leave now; returns when to look again.
    fn pump(&mut self) -> Duration {
        loop {
            let now = self.now();
            match self.channel.next(now) {
                None => return Duration::MAX,
                Some(Err(at)) => return at,
                Some(Ok((proxy, parcel))) => {
                    if let Some(name) = self.names.get(&proxy) {
                        self.hub.deliver(name, &parcel);
                    }
                }
            }
        }
    }

    fn write_status(&mut self, file: &mut Option<std::fs::File>) {
        let get = Counters::get;
        self.status.uptime_ms = self.start.elapsed().as_millis() as u64;
        self.status.slices = self.core.keeper().published().len() as u64;
        self.status.proxies = self.core.joined().len() as u64;
        self.status.handovers = self.core.moves();
        self.status.nacks = get(&self.counters.nacks);
        self.status.streams = get(&self.counters.streams);
        self.status.stale_acks = get(&self.counters.stale);
        self.status.lines_sent = self.channel.sent();
        self.status.backlog = self.channel.fill();
        self.status.backlog_most = self.channel.most();
        self.status.grants_waiting = self.core.keeper().waiting() as u64;
        self.status.bytes_sent = get(&self.counters.bytes);
        self.status.store_failures = get(&self.counters.store_failures);
        let (answers, rounds) = self.core.ways();
        let quantile = |of: &hdrhistogram::Histogram<u64>, q: f64| of.value_at_quantile(q);
        (self.status.answer_us_p50, self.status.answer_us_p99) =
            (quantile(answers, 0.5), quantile(answers, 0.99));
        (self.status.all_us_p50, self.status.all_us_p99) = (quantile(rounds, 0.5), quantile(rounds, 0.99));
        (self.status.cpu_ms, self.status.rss_kb) = process_figures();
        let Some(out) = file else { return };
        let line = serde_json::to_string(&self.status).unwrap_or_default();
        if let Err(error) = writeln!(out, "{line}") {
            warn!(%error, "no further status is written");
            *file = None;
        }
    }
}
