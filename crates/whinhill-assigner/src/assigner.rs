//! Puts an assigner together: its threads, and the loop of the one that decides.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use rand::Rng;
use tracing::{error, info, warn};
use whinhill::interface::{ProxyId, SettingsError, SliceId};
use whinhill_errors::may_pass_on_disk;
use whinhill_history::BookError;
use whinhill_store::{Custody, CustodyConfig, Identity, RespConfig, RespStore, Store};
use whinhill_tables::PendingGrant;
use whinhill_transport::{Code, Drivers, Limits, Listener, ServerCall, Trailers, Workers};
use whinhill_xds::{Entry, Kind};

use crate::ask::{Answer, Ask, ASK_PATH};
use crate::book::Bookkeeper;
use crate::channel::Channel;
use crate::chronicle::Numbered;
use crate::config::{AssignerConfig, Fault};
use crate::core::{Core, Effects, Input};
use crate::history_file::HistoryFile;
use crate::holdings::{Holdings, LOOK};
use crate::hub::{Hub, HubConfig};
use crate::last_list::LastList;
use crate::names::PAST;
use crate::probes::Prober;
use crate::retry::Retry;
use crate::roster::Feed;
use crate::status::{process_figures, Counters, Status};
use crate::status_file::StatusFile;
use crate::stewards::{Charge, Steward};
use crate::wall::unix_ms;
use crate::whole_file::write_whole;

/// Inputs that may wait for the decision thread; whoever brings more waits.
const INBOX: usize = 8192;
/// Grants that may wait for the store's thread; more wait with the one that decides, one a slice.
const GRANTS: usize = 4096;
/// Pages that may wait for the file; what is over is folded into the next.
const PAGES: usize = 64;
/// Operators' questions in hand at a time, and how long one may take.
const ASKS: usize = 16;
const ASK_WITHIN: Duration = Duration::from_secs(10);
/// The shortest time between two batches: what comes meanwhile is decided together.
const ROUND: Duration = Duration::from_millis(2);
/// How long a disk may refuse what a start needs. Whoever supervises the process then hears of it.
const DISK_WITHIN: Duration = Duration::from_secs(30);
const STACK: usize = 512 << 10;

#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("the configuration has {} faults, the first: {}", .0.len(), .0.first().map(Fault::to_string).unwrap_or_default())]
    Config(Vec<Fault>),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("cannot listen on {addr}: {error}")]
    Listen { addr: SocketAddr, error: io::Error },
    #[error("{path}: {error}")]
    History { path: String, error: BookError },
    #[error("cannot start: {0}")]
    Io(#[from] io::Error),
}

/// Tells `whinhill table` and its like where operators are listened to.
fn keep_operators_addr(path: &Path, addr: SocketAddr, stop: &AtomicBool) {
    let retry = Retry { within: Duration::MAX, stop };
    let write = || write_whole(path, &addr.to_string());
    if let Err(error) = retry.until_done("writing the operators' address", may_pass_on_disk, write) {
        warn!(path = %path.display(), %error, "the operators' address is not written");
    }
}

/// A running assigner. [`Assigner::stop`] ends it in order.
pub struct Assigner {
    addr: SocketAddr,
    stop: Arc<AtomicBool>,
    hub: Arc<Hub>,
    listener: Option<Listener>,
    operators: Option<Listener>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Assigner {
    /// Starts one.
    ///
    /// # Errors
    /// As for [`Assigner::start_unless_stopped`].
    pub fn start(config: AssignerConfig) -> Result<Self, StartError> {
        Self::start_unless_stopped(config, &AtomicBool::new(false))
    }

    /// Starts one; what a disk refuses for the moment is tried again until `told_to_stop` is set.
    ///
    /// # Errors
    /// When the configuration has faults, no socket or thread can be had, or the history cannot be opened.
    pub fn start_unless_stopped(
        config: AssignerConfig,
        told_to_stop: &AtomicBool,
    ) -> Result<Self, StartError> {
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
        let (stop, charge) = (Arc::new(AtomicBool::new(false)), Arc::new(Charge::default()));
        let counters = Arc::new(Counters::default());
        let (inputs, inbox) = bounded(INBOX);
        let (grants, to_store) = bounded(GRANTS);
        let mut core = Core::new(&config, seed)?;
        let mut keeping = None;
        if let Some(dir) = &config.state_dir {
            std::fs::create_dir_all(dir)?;
            let path = dir.join("history.redb");
            let limits = config.history.limits();
            let failed = |error| StartError::History { path: path.display().to_string(), error };
            let retry = Retry { within: DISK_WITHIN, stop: told_to_stop };
            let (file, history, rollbacks) =
                HistoryFile::open_again(&path, limits, &retry).map_err(failed)?;
            info!(
                version = history.current().id().number,
                kept = history.entries().count(),
                rollbacks = rollbacks.iter().filter(|rollback| !rollback.finished()).count(),
                "history taken up"
            );
            core.restore(history, rollbacks, PAST, unix_ms());
            let (to_book, pages) = bounded(PAGES);
            let (inputs, counters, stop) = (inputs.clone(), counters.clone(), stop.clone());
            keeping = Some((to_book, Bookkeeper { file, pages, inputs, counters, stop }));
        }
        let start = Instant::now();
        let (asks, asked) = bounded(ASKS);
        let operators = match config.operators {
            Some(addr) => Some(listen_to_operators(&config.name, addr, &drivers, asks)?),
            None => None,
        };
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
                full_lines_per_s: config.channel.full_lines_per_s(),
                start,
                base: PAST,
            },
        ));
        {
            let mut cache = hub.cache.write().unwrap_or_else(PoisonError::into_inner);
            for (kind, name, entry) in service.static_resources() {
                // Of another life it is another version, so that no renewal extends what a former life gave.
                let version = format!("{life:x}-{}", entry.version).into();
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
        let (keeping_list, last_list) = config.state_dir.as_deref().map(LastList::new).unzip();
        let feed = Feed {
            config: config.roster.clone(),
            last: last_list.as_ref().map(LastList::read).unwrap_or_default(),
            keeping: keeping_list,
            inputs: roster_in,
            stop: stop.clone(),
            drivers: drivers.clone(),
            node: config.name.clone(),
            listed,
        };
        let (to_book, bookkeeper) = match keeping {
            Some((to_book, bookkeeper)) => (Some(to_book), Some(bookkeeper)),
            None => (None, None),
        };
        let decider = Decider {
            core,
            to_book,
            page: None,
            kept: 0,
            asked,
            asking: BTreeMap::new(),
            answers: Vec::new(),
            holdings: Holdings::default(),
            questions: 0,
            next_look: Duration::ZERO,
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
            status_file: config.status_file.as_deref().map(StatusFile::start).transpose()?,
            start,
            stop: stop.clone(),
        };
        spawn("decide", Box::new(move || decider.run()))?;
        if let Some(last_list) = last_list {
            spawn("last-list", Box::new(move || last_list.run()))?;
        }
        spawn("roster", Box::new(move || feed.run()))?;
        spawn("store", Box::new(move || steward.run()))?;
        if let Some(bookkeeper) = bookkeeper {
            spawn("history", Box::new(move || bookkeeper.run()))?;
        }
        if let (Some(listener), Some(dir)) = (&operators, &config.state_dir) {
            let (path, addr, stop) = (dir.join("operators"), listener.addr(), stop.clone());
            if write_whole(&path, &addr.to_string()).is_err() {
                spawn("operators", Box::new(move || keep_operators_addr(&path, addr, &stop)))?;
            }
            info!(%addr, "operators are listened to");
        }
        info!(%addr, "assigner listens");
        Ok(Assigner { addr, stop, hub, listener: Some(listener), operators, threads })
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
        self.operators = None;
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

/// An operator's question, and where its answer goes.
type Question = (Ask, Sender<Answer>);

fn listen_to_operators(
    name: &str,
    addr: SocketAddr,
    drivers: &Drivers,
    asks: Sender<Question>,
) -> Result<Listener, StartError> {
    let workers = Workers::new("operator", ASKS, whinhill_transport::CALL_STACK);
    let limits = Limits { connections_most: ASKS, message_most: 1 << 20, ..Limits::default() };
    let handler = move |call: ServerCall| {
        let asks = asks.clone();
        let full =
            |call: ServerCall| call.refuse(Code::ResourceExhausted, "too many questions", Trailers::new());
        workers.hand(call, move |call| answer_operator(call, &asks), full);
    };
    Listener::start(&format!("{name}-operators"), addr, limits, drivers, handler)
        .map_err(|error| StartError::Listen { addr, error })
}

fn answer_operator(mut call: ServerCall, asks: &Sender<Question>) {
    if call.path() != ASK_PATH {
        return call.refuse(Code::Unimplemented, "no such method", Trailers::new());
    }
    let asked = call.message(ASK_WITHIN).map_err(|error| error.to_string());
    let asked = asked.and_then(|message| {
        serde_json::from_slice::<Ask>(&message).map_err(|error| format!("not a question: {error}"))
    });
    let ask = match asked {
        Ok(ask) => ask,
        Err(why) => return call.refuse(Code::InvalidArgument, &why, Trailers::new()),
    };
    let (answer, answered) = bounded(1);
    let told = asks.send_timeout((ask, answer), ASK_WITHIN).ok();
    match told.and_then(|()| answered.recv_timeout(ASK_WITHIN).ok()) {
        Some(answer) => {
            let text = serde_json::to_vec(&answer).unwrap_or_default();
            // An operator that has gone asks again.
            let _ = call.answer(&text, Trailers::new(), ASK_WITHIN);
        }
        None => call.refuse(
            Code::Unavailable,
            "no answer in time; a rollback may have begun: look with `rollbacks`",
            Trailers::new(),
        ),
    }
}

struct Decider {
    core: Core,
    to_book: Option<Sender<Numbered>>,
    /// A page that the file's queue had no room for.
    page: Option<Numbered>,
    /// The last page that is kept.
    kept: u64,
    asked: Receiver<Question>,
    asking: BTreeMap<u64, Sender<Answer>>,
    /// Answers that wait until the page of that number is kept.
    answers: Vec<(u64, u64, Answer)>,
    holdings: Holdings,
    questions: u64,
    next_look: Duration,
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
    status_file: Option<StatusFile>,
    start: Instant,
    stop: Arc<AtomicBool>,
}

impl Decider {
    fn now(&self) -> Duration {
        PAST + self.start.elapsed()
    }

    fn run(mut self) {
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
                        if let Input::Kept { seq } = &input {
                            self.kept = *seq;
                        }
                        inputs.push(input);
                        done.extend(acted);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // The newest list stands for those before it, but a failure after it is told too.
            inputs.splice(0..0, self.roster.try_iter());
            if self.to_book.is_none() && self.kept < self.core.chronicle().seq() {
                // Without a file all is as kept as it will be.
                self.kept = self.core.chronicle().seq();
                inputs.push(Input::Kept { seq: self.kept });
            }
            self.take_questions(&mut inputs);
            self.core.set_wall(unix_ms());
            let now = self.now();
            let began = Instant::now();
            let effects = self.core.handle(now, inputs);
            let took = began.elapsed().as_micros() as u64;
            self.status.batches += 1;
            self.status.batch_us_sum += took;
            self.status.batch_us_most = self.status.batch_us_most.max(took);
            self.carry_out(effects);
            self.give_answers();
            for acted in done {
                // Whoever asked may have stopped waiting.
                let _ = acted.try_send(());
            }
            due = self.core.wake().min(self.pump());
            if self.to_book.is_none() && self.kept < self.core.chronicle().seq() {
                due = self.now();
            }
            self.look_at_proxies();
            if Instant::now() >= next_status {
                next_status += Duration::from_secs(1);
                self.write_status();
            }
            if self.stop.load(Ordering::Relaxed) && self.counters.slices.load(Ordering::Relaxed) == 0 {
                self.write_status();
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

    /// Hands a page to the file's thread, with what it had no room for before.
    fn keep(&mut self, page: Option<Numbered>) {
        let Some(to_book) = &self.to_book else { return };
        let mut next = self.page.take();
        Numbered::put(&mut next, page);
        self.page = next.and_then(|page| to_book.try_send(page).err()).map(|refused| refused.into_inner());
    }

    fn take_questions(&mut self, inputs: &mut Vec<Input>) {
        for (ask, answer) in self.asked.try_iter().take(ASKS) {
            if ask == Ask::Proxies {
                // Whoever asked may have gone.
                let (current, now) = (self.version(), self.now());
                let proxies = self.holdings.lines(now, current);
                let _ = answer.try_send(Answer::Proxies { current, proxies });
                continue;
            }
            self.questions += 1;
            self.asking.insert(self.questions, answer);
            inputs.push(Input::Asked { id: self.questions, ask });
        }
    }

    /// Gives the answers that wait for nothing more.
    fn give_answers(&mut self) {
        let kept = if self.to_book.is_some() { self.kept } else { u64::MAX };
        let (ready, later) =
            std::mem::take(&mut self.answers).into_iter().partition(|(_, seq, _)| *seq <= kept);
        self.answers = later;
        for (id, _, answer) in ready {
            if let Some(asker) = self.asking.remove(&id) {
                let _ = asker.try_send(answer);
            }
        }
        // Whoever waits for a file that can't be written has been told that no answer came in time: the oldest go.
        while self.answers.len() > ASKS * 4 {
            let (id, ..) = self.answers.remove(0);
            self.asking.remove(&id);
        }
    }

    fn version(&self) -> u64 {
        self.core.chronicle().history().current().id().number
    }

    /// Looks, once in a while, who has acknowledged all that there is.
    fn look_at_proxies(&mut self) {
        let now = self.now();
        if now < self.next_look {
            return;
        }
        self.next_look = now + LOOK;
        // What is held back for the file has been told to nobody.
        let told = self.core.chronicle().held_back() == 0;
        let (names, channel, hub) = (&self.names, &self.channel, &self.hub);
        let seen = self.core.joined().keys().filter_map(|id| {
            let name = names.get(id)?;
            Some((name.clone(), told && !channel.waits(*id) && hub.settled(name)))
        });
        let current = self.core.chronicle().history().current().id().number;
        self.holdings.look(now, current, seen);
    }

    fn carry_out(&mut self, effects: Effects) {
        effects.log.iter().for_each(|text| info!(target: "whinhill::module", "{text}"));
        effects.left.iter().for_each(|proxy| self.channel.left(*proxy));
        for (proxy, every) in &effects.paces {
            self.hub.set_pace(self.core.proxy_name(*proxy), *every);
        }
        self.publish(&effects);
        self.keep(effects.page);
        self.answers.extend(effects.answers);
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
                    let name = self.hub.cluster(*slice, method);
                    cache.remove(Kind::Cluster, name);
                    cache.remove(Kind::Endpoints, name);
                    moved.push(name.clone());
                }
            }
            for slice in effects.given.iter().chain(&effects.changed) {
                let Some(table) = self.core.keeper().published().get(slice) else { continue };
                for method in 0..service.methods.len() {
                    let name = self.hub.cluster(*slice, method);
                    if effects.given.contains(slice) {
                        cache.set(Kind::Cluster, name, service.cluster(*slice, method));
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
            self.hub.orders_wait(self.channel.fill() > 0);
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

    fn write_status(&mut self) {
        let get = Counters::get;
        self.status.uptime_ms = self.start.elapsed().as_millis() as u64;
        self.status.slices = self.core.keeper().published().len() as u64;
        self.status.proxies = self.core.joined().len() as u64;
        self.status.handovers = self.core.moves();
        self.status.nacks = get(&self.counters.nacks);
        self.status.streams = get(&self.counters.streams);
        self.status.stale_acks = get(&self.counters.stale);
        self.status.differing = get(&self.counters.differing);
        self.status.lines_sent = self.channel.sent();
        self.status.backlog = self.channel.fill();
        (self.status.full_lines_sent, self.status.full_sets_waited) = self.hub.full_sets();
        self.status.versions = self.core.chronicle().history().current().id().number;
        self.status.history_kb = (self.core.chronicle().history().bytes() / 1024) as u64;
        self.status.backlog_most = self.channel.most();
        self.status.grants_waiting = self.core.keeper().waiting() as u64;
        self.status.bytes_sent = get(&self.counters.bytes);
        self.status.store_failures = get(&self.counters.store_failures);
        let (ledger, waiting, shown) = self.core.load();
        self.status.reports_offered = ledger.offered;
        self.status.reports_given = ledger.given;
        self.status.reports_waiting = waiting;
        self.status.reports_late = ledger.late;
        self.status.reports_doubted = ledger.doubted;
        self.status.reports_heard_percent = (shown.heard * 1000.0).round() / 10.0;
        self.status.reports_lag_ms_most = shown.lag_most.as_millis() as u64;
        let [_, _, silent, cut] = shown.proxies;
        (self.status.proxies_silent, self.status.proxies_cut) = (silent as u64, cut as u64);
        let (answers, rounds) = self.core.ways();
        let quantile = |of: &hdrhistogram::Histogram<u64>, q: f64| of.value_at_quantile(q);
        (self.status.answer_us_p50, self.status.answer_us_p99) =
            (quantile(answers, 0.5), quantile(answers, 0.99));
        (self.status.all_us_p50, self.status.all_us_p99) = (quantile(rounds, 0.5), quantile(rounds, 0.99));
        (self.status.cpu_ms, self.status.rss_kb) = process_figures();
        let Some(file) = &self.status_file else { return };
        self.status.history_failures = get(&self.counters.history_failures);
        self.status.status_lost = file.lost();
        self.status.told_unkept = self.core.chronicle().told_unkept();
        file.write(serde_json::to_string(&self.status).unwrap_or_default());
    }
}
