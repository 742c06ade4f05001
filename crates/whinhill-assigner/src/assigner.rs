//! Starts and stops an assigner: its threads and listeners, and the loop of the decision thread.

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
use whinhill_errors::is_temporary_file_error;
use whinhill_history::HistoryDbError;
use whinhill_store::{Custody, CustodyConfig, Identity, RespConfig, RespStore, Store};
use whinhill_tables::PendingGrant;
use whinhill_transport::{
    Code, Drivers, Limits, Listener, ServerCall, Trailers, Workers, CALLS_FRACTION, DEFAULT_MEMORY,
};
use whinhill_xds::{Entry, Kind};

use crate::acked_versions::{AckedVersions, ACK_CHECK_INTERVAL};
use crate::atomic_file::write_atomically;
use crate::channel::Channel;
use crate::config::{AssignerConfig, ConfigError};
use crate::core::{Core, Effects, Input};
use crate::custody_thread::{CustodyLease, CustodyThread};
use crate::history_file::HistoryFile;
use crate::history_recorder::NumberedUpdate;
use crate::history_writer::HistoryWriter;
use crate::hub::{Hub, HubConfig};
use crate::last_list::LastList;
use crate::name_index::CLOCK_BASE;
use crate::operator_api::{OperatorRequest, OperatorResponse, OPERATOR_METHOD_PATH};
use crate::probes::Prober;
use crate::retry::Retry;
use crate::roster::RosterFeed;
use crate::status::{process_figures, Counters, Status};
use crate::status_file::StatusFile;
use crate::wall_clock::unix_ms;

/// Inputs that may be queued for the decision thread; a sender blocks while the queue is full.
const MAX_QUEUED_INPUTS: usize = 8192;
/// Grants that may be queued for the custody thread; the decision thread holds further ones, one for each slice.
const MAX_QUEUED_GRANTS: usize = 4096;
/// History updates that may be queued for the file; further ones are merged into the next update.
const MAX_QUEUED_UPDATES: usize = 64;
/// Operators' requests that may be in flight.
const MAX_OPERATOR_REQUESTS: usize = 16;
/// How long each step of an operator's request may take.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);
/// The shortest time that the loop waits for an input; inputs that are queued by then are handled as one batch.
const MIN_INPUT_WAIT: Duration = Duration::from_millis(2);
/// How long a start retries while the disk refuses; then it fails, so that the supervisor of the process notices.
const DISK_RETRY_DURATION: Duration = Duration::from_secs(30);
/// Connections that the listener accepts for each proxy that may be connected.
const CONNECTIONS_PER_PROXY: usize = 2;
/// Memory in bytes that a stream of a proxy is reckoned to take besides its head and its messages.
const STREAM_MEMORY: usize = 24 << 10;

/// Memory in bytes that leaves room for the streams of all proxies, and for as much again.
fn streams_memory(max_proxies: usize) -> usize {
    let streams = 2 * max_proxies * CONNECTIONS_PER_PROXY;
    ((streams * STREAM_MEMORY) as f64 / CALLS_FRACTION) as usize
}
/// Connections that the listener accepts in addition to those for the proxies.
const EXTRA_CONNECTIONS: usize = 16;
/// Delay between the end of the streams and closing the listener, on a stop.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(50);
/// The stack size of each thread.
const THREAD_STACK_BYTES: usize = 512 << 10;

/// Why an assigner could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("the configuration has {} faults, the first: {}", .0.len(), .0.first().map(ConfigError::to_string).unwrap_or_default())]
    Config(Vec<ConfigError>),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("cannot listen on {addr}: {error}")]
    Listen { addr: SocketAddr, error: io::Error },
    #[error("{path}: {error}")]
    History { path: String, error: HistoryDbError },
    #[error("cannot start: {0}")]
    Io(#[from] io::Error),
}

/// Writes the address of the operators' listener to a file, for `whinhill table` and similar commands.
fn retry_writing_operators_addr(path: &Path, addr: SocketAddr, stop: &AtomicBool) {
    let retry = Retry { duration: Duration::MAX, stop };
    let write = || write_atomically(path, &addr.to_string());
    if let Err(error) = retry.call("writing the operators' address", is_temporary_file_error, write) {
        warn!(path = %path.display(), %error, "the operators' address could not be written");
    }
}

/// A running assigner. [`Assigner::stop`] shuts it down in order.
pub struct Assigner {
    addr: SocketAddr,
    stop: Arc<AtomicBool>,
    hub: Arc<Hub>,
    listener: Option<Listener>,
    operators: Option<Listener>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Assigner {
    /// Starts an assigner.
    ///
    /// # Errors
    /// As for [`Assigner::start_unless_stopped`].
    pub fn start(config: AssignerConfig) -> Result<Self, StartError> {
        Self::start_unless_stopped(config, &AtomicBool::new(false))
    }

    /// Starts an assigner; temporary disk errors are retried until `stop_requested` is set.
    ///
    /// # Errors
    /// When the configuration is invalid, a socket or thread cannot be created, or the history cannot be opened.
    pub fn start_unless_stopped(
        config: AssignerConfig,
        stop_requested: &AtomicBool,
    ) -> Result<Self, StartError> {
        let faults = config.validate();
        if !faults.is_empty() {
            return Err(StartError::Config(faults));
        }
        let drivers = Drivers::start(&config.name, 2)?;
        let store = RespStore::new(RespConfig {
            addr: config.store.addr,
            prefix: format!("{}/{}", config.store.prefix, config.service.name),
            timeout: Duration::from_millis(config.store.within_ms),
        });
        let seed = config.seed.unwrap_or_else(|| rand::rng().random());
        let life = rand::rng().random();
        info!(name = %config.name, life = format!("{life:x}"), seed, "assigner starts");
        let (stop, custody_lease) = (Arc::new(AtomicBool::new(false)), Arc::new(CustodyLease::default()));
        let counters = Arc::new(Counters::default());
        let (inputs, inbox) = bounded(MAX_QUEUED_INPUTS);
        let (grants, grants_for_store) = bounded(MAX_QUEUED_GRANTS);
        let mut core = Core::new(&config, seed)?;
        let mut history_persistence = None;
        if let Some(dir) = &config.state_dir {
            std::fs::create_dir_all(dir)?;
            let path = dir.join("history.redb");
            let limits = config.history.to_limits();
            let history_error = |error| StartError::History { path: path.display().to_string(), error };
            let retry = Retry { duration: DISK_RETRY_DURATION, stop: stop_requested };
            let (file, history, rollbacks) =
                HistoryFile::open_with_retry(&path, limits, &retry).map_err(history_error)?;
            info!(
                version = history.current().id().number,
                kept = history.entries().count(),
                rollbacks = rollbacks.iter().filter(|rollback| !rollback.finished()).count(),
                "history loaded"
            );
            core.restore(history, rollbacks, CLOCK_BASE, unix_ms());
            let (to_history_writer, queued_updates) = bounded(MAX_QUEUED_UPDATES);
            let (inputs, counters, stop) = (inputs.clone(), counters.clone(), stop.clone());
            history_persistence =
                Some((to_history_writer, HistoryWriter { file, queued_updates, inputs, counters, stop }));
        }
        let start = Instant::now();
        let (requests_sender, requests) = bounded(MAX_OPERATOR_REQUESTS);
        let operators = match config.operators {
            Some(addr) => Some(listen_to_operators(&config.name, addr, &drivers, requests_sender)?),
            None => None,
        };
        let service = core.service().clone();
        let ms = Duration::from_millis;
        let hub = Arc::new(Hub::new(
            service.clone(),
            inputs.clone(),
            counters.clone(),
            custody_lease.clone(),
            HubConfig {
                ack_timeout: ms(config.answer_within_ms),
                max_proxies: config.proxies_most,
                report_period: ms(config.report_period_ms),
                full_lines_per_s: config.channel.full_lines_per_s(),
                start,
                clock_base: CLOCK_BASE,
            },
        ));
        {
            let mut cache = hub.cache.write().unwrap_or_else(PoisonError::into_inner);
            for (kind, name, entry) in service.static_resources() {
                // The version differs for each incarnation, so that no renewal extends what a former one published.
                let version = format!("{life:x}-{}", entry.version).into();
                cache.set(kind, name, Entry { version, ..entry });
            }
        }
        let accepting_hub = hub.clone();
        let limits = Limits {
            max_connections: config.proxies_most * CONNECTIONS_PER_PROXY + EXTRA_CONNECTIONS,
            memory: DEFAULT_MEMORY.max(streams_memory(config.proxies_most)),
            call_memory: STREAM_MEMORY,
            idle: Duration::from_secs(30),
            keep_alive: Duration::from_secs(2),
            keep_alive_timeout: Duration::from_secs(2),
            ..Limits::default()
        };
        let listener = Listener::start(&config.name, config.listen, limits, &drivers, move |call| {
            accepting_hub.accept(call)
        });
        let listener = listener.map_err(|error| StartError::Listen { addr: config.listen, error })?;
        let addr = listener.addr();
        let mut threads = Vec::new();
        let mut spawn = |name: &str, run: Box<dyn FnOnce() + Send>| -> io::Result<()> {
            let builder =
                thread::Builder::new().name(format!("{}-{name}", config.name)).stack_size(THREAD_STACK_BYTES);
            threads.push(builder.spawn(run)?);
            Ok(())
        };
        let list_published = Arc::new(AtomicBool::new(false));
        let custody_thread = CustodyThread {
            store: Box::new(store) as Box<dyn Store>,
            custody: Custody::new(CustodyConfig {
                identity: Identity { name: config.name.clone(), incarnation: life },
                peers: config.peers.clone(),
                slices: config.service.slices,
                ttl: ms(config.custody.ttl_ms),
                lease_margin: ms(config.custody.margin_ms),
                max_slices_per_round: config.custody.step,
            }),
            lease: custody_lease,
            grants: grants_for_store,
            inputs: inputs.clone(),
            counters: counters.clone(),
            stop: stop.clone(),
            start,
            clock_base: CLOCK_BASE,
            registered: false,
            store_healthy: true,
            list_published: list_published.clone(),
        };
        let (roster_sender, roster_receiver) = bounded(16);
        let (list_mailbox, last_list) = config.state_dir.as_deref().map(LastList::new).unzip();
        let roster_feed = RosterFeed {
            config: config.roster.clone(),
            last_list: last_list.as_ref().map(LastList::read).unwrap_or_default(),
            mailbox: list_mailbox,
            inputs: roster_sender,
            stop: stop.clone(),
            drivers: drivers.clone(),
            node: config.name.clone(),
            list_published,
        };
        let (to_history_writer, history_writer) = match history_persistence {
            Some((to_history_writer, history_writer)) => (Some(to_history_writer), Some(history_writer)),
            None => (None, None),
        };
        let decision_thread = DecisionThread {
            core,
            to_history_writer,
            pending_update: None,
            persisted_seq: 0,
            requests,
            answer_senders: BTreeMap::new(),
            pending_answers: Vec::new(),
            acked_versions: AckedVersions::default(),
            last_request_id: 0,
            next_ack_check: Duration::ZERO,
            channel: Channel::new(config.channel.lines_per_s, config.channel.head),
            proxy_names: BTreeMap::new(),
            hub: hub.clone(),
            inbox,
            roster: roster_receiver,
            grants,
            unsent_grants: BTreeMap::new(),
            prober: Prober::new(drivers, inputs),
            counters,
            status: Status { name: config.name.clone(), ..Status::default() },
            status_file: config.status_file.as_deref().map(StatusFile::start).transpose()?,
            start,
            stop: stop.clone(),
        };
        spawn("decide", Box::new(move || decision_thread.run()))?;
        if let Some(last_list) = last_list {
            spawn("last-list", Box::new(move || last_list.run()))?;
        }
        spawn("roster", Box::new(move || roster_feed.run()))?;
        spawn("store", Box::new(move || custody_thread.run()))?;
        if let Some(history_writer) = history_writer {
            spawn("history", Box::new(move || history_writer.run()))?;
        }
        if let (Some(listener), Some(dir)) = (&operators, &config.state_dir) {
            let (path, addr, stop) = (dir.join("operators"), listener.addr(), stop.clone());
            if write_atomically(&path, &addr.to_string()).is_err() {
                spawn("operators", Box::new(move || retry_writing_operators_addr(&path, addr, &stop)))?;
            }
            info!(%addr, "listening for operators");
        }
        info!(%addr, "assigner listens");
        Ok(Assigner { addr, stop, hub, listener: Some(listener), operators, threads })
    }

    /// The address that proxies connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The number of proxies that have a table stream.
    pub fn connected(&self) -> usize {
        self.hub.connected()
    }

    /// Shuts down in order: no grant is left half done, custody is released, streams are closed.
    pub fn stop(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // The decision thread ends only after the custody thread has released all slices.
        while let Some(thread) = self.threads.pop() {
            thread.thread().unpark();
            if thread.join().is_err() {
                error!("a thread of the assigner had panicked");
            }
        }
        self.operators = None;
        self.hub.close();
        // Streams send their end; a proxy that does not read is not waited for.
        let deadline = Instant::now() + Duration::from_millis(500);
        while self.hub.connected() > 0 && Instant::now() < deadline {
            thread::park_timeout(Duration::from_millis(10));
        }
        thread::park_timeout(LISTENER_CLOSE_DELAY);
        self.listener = None;
        info!("assigner stopped");
    }
}

/// An operator's request and the channel for its answer.
type OperatorCall = (OperatorRequest, Sender<OperatorResponse>);

/// Listens for operators' requests.
fn listen_to_operators(
    name: &str,
    addr: SocketAddr,
    drivers: &Drivers,
    requests: Sender<OperatorCall>,
) -> Result<Listener, StartError> {
    let workers = Workers::new("operator", MAX_OPERATOR_REQUESTS, whinhill_transport::CALL_STACK);
    let limits = Limits { max_connections: MAX_OPERATOR_REQUESTS, max_message: 1 << 20, ..Limits::default() };
    let handler = move |call: ServerCall| {
        let requests = requests.clone();
        let full =
            |call: ServerCall| call.refuse(Code::ResourceExhausted, "too many questions", Trailers::new());
        workers.run_with(call, move |call| answer_operator(call, &requests), full);
    };
    Listener::start(&format!("{name}-operators"), addr, limits, drivers, handler)
        .map_err(|error| StartError::Listen { addr, error })
}

/// Passes an operator's request to the decision thread and returns its answer.
fn answer_operator(mut call: ServerCall, requests: &Sender<OperatorCall>) {
    if call.path() != OPERATOR_METHOD_PATH {
        return call.refuse(Code::Unimplemented, "no such method", Trailers::new());
    }
    let message = call.message(OPERATOR_TIMEOUT).map_err(|error| error.to_string());
    let decoded = message.and_then(|message| {
        serde_json::from_slice::<OperatorRequest>(&message)
            .map_err(|error| format!("not a question: {error}"))
    });
    let request = match decoded {
        Ok(request) => request,
        Err(reason) => return call.refuse(Code::InvalidArgument, &reason, Trailers::new()),
    };
    let (answer_sender, answers) = bounded(1);
    let sent = requests.send_timeout((request, answer_sender), OPERATOR_TIMEOUT).ok();
    match sent.and_then(|()| answers.recv_timeout(OPERATOR_TIMEOUT).ok()) {
        Some(answer) => {
            let text = serde_json::to_vec(&answer).unwrap_or_default();
            // If the operator has disconnected, they can repeat the request.
            let _ = call.answer(&text, Trailers::new(), OPERATOR_TIMEOUT);
        }
        None => call.refuse(
            Code::Unavailable,
            "no answer in time; a rollback may have begun: look with `rollbacks`",
            Trailers::new(),
        ),
    }
}

/// The thread that owns [`Core`]: it collects inputs into batches and carries out the effects.
struct DecisionThread {
    core: Core,
    /// Absent without a state directory.
    to_history_writer: Option<Sender<NumberedUpdate>>,
    /// History updates that the file's queue had no room for, merged.
    pending_update: Option<NumberedUpdate>,
    /// The number of the last persisted history update.
    persisted_seq: u64,
    requests: Receiver<OperatorCall>,
    /// Where the answers go, by request id.
    answer_senders: BTreeMap<u64, Sender<OperatorResponse>>,
    /// Request id, number of the history update that must be persisted first, and answer.
    pending_answers: Vec<(u64, u64, OperatorResponse)>,
    acked_versions: AckedVersions,
    last_request_id: u64,
    next_ack_check: Duration,
    channel: Channel,
    proxy_names: BTreeMap<ProxyId, String>,
    hub: Arc<Hub>,
    inbox: Receiver<(Input, Option<Sender<()>>)>,
    roster: Receiver<Input>,
    grants: Sender<PendingGrant>,
    /// Grants that the custody thread's queue had no room for.
    unsent_grants: BTreeMap<SliceId, PendingGrant>,
    prober: Prober,
    counters: Arc<Counters>,
    status: Status,
    status_file: Option<StatusFile>,
    start: Instant,
    stop: Arc<AtomicBool>,
}

impl DecisionThread {
    fn now(&self) -> Duration {
        CLOCK_BASE + self.start.elapsed()
    }

    /// Runs until the assigner stops and all slices are released.
    fn run(mut self) {
        let mut next_status = Instant::now() + Duration::from_secs(1);
        let mut next_batch_at = self.now();
        loop {
            let wait = next_batch_at.saturating_sub(self.now()).max(MIN_INPUT_WAIT);
            let mut inputs: Vec<Input> = Vec::new();
            let mut done: Vec<Sender<()>> = Vec::new();
            match self.inbox.recv_timeout(wait) {
                Ok(first) => {
                    let more: Vec<_> = self.inbox.try_iter().take(MAX_QUEUED_INPUTS).collect();
                    for (input, done_sender) in std::iter::once(first).chain(more) {
                        self.note_proxy_name(&input);
                        if let Input::HistoryPersisted { seq } = &input {
                            self.persisted_seq = *seq;
                        }
                        inputs.push(input);
                        done.extend(done_sender);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // Lists of servers go first in the batch; all of them are passed on, since a failure may follow a list.
            inputs.splice(0..0, self.roster.try_iter());
            if self.to_history_writer.is_none()
                && self.persisted_seq < self.core.history_recorder().last_seq()
            {
                // Without a file every update counts as persisted.
                self.persisted_seq = self.core.history_recorder().last_seq();
                inputs.push(Input::HistoryPersisted { seq: self.persisted_seq });
            }
            self.take_requests(&mut inputs);
            self.core.set_wall_clock(unix_ms());
            let now = self.now();
            let started_at = Instant::now();
            let effects = self.core.handle(now, inputs);
            let elapsed_us = started_at.elapsed().as_micros() as u64;
            self.status.batches += 1;
            self.status.batch_us_sum += elapsed_us;
            self.status.batch_us_most = self.status.batch_us_most.max(elapsed_us);
            self.execute(effects);
            self.send_ready_answers();
            for done_sender in done {
                // The sender of the input may have stopped waiting.
                let _ = done_sender.try_send(());
            }
            next_batch_at = self.core.next_wake().min(self.send_messages());
            if self.to_history_writer.is_none()
                && self.persisted_seq < self.core.history_recorder().last_seq()
            {
                next_batch_at = self.now();
            }
            self.check_acks();
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

    /// Remembers the name of a proxy that joins.
    fn note_proxy_name(&mut self, input: &Input) {
        if let Input::ProxyJoined { proxy, .. } = input {
            let id = self.core.proxy_id(proxy);
            self.proxy_names.entry(id).or_insert_with(|| proxy.clone());
        }
    }

    /// Queues a history update for the file, merged with what the queue had no room for before.
    fn persist(&mut self, update: Option<NumberedUpdate>) {
        let Some(to_history_writer) = &self.to_history_writer else { return };
        let mut next = self.pending_update.take();
        NumberedUpdate::put(&mut next, update);
        self.pending_update = next
            .and_then(|update| to_history_writer.try_send(update).err())
            .map(|refused| refused.into_inner());
    }

    /// Takes operators' requests; one for the proxies is answered here, the others become inputs.
    fn take_requests(&mut self, inputs: &mut Vec<Input>) {
        for (request, answer_sender) in self.requests.try_iter().take(MAX_OPERATOR_REQUESTS) {
            if request == OperatorRequest::Proxies {
                let (current, now) = (self.current_version(), self.now());
                let proxies = self.acked_versions.lines(now, current);
                // The operator may have disconnected.
                let _ = answer_sender.try_send(OperatorResponse::Proxies { current, proxies });
                continue;
            }
            self.last_request_id += 1;
            self.answer_senders.insert(self.last_request_id, answer_sender);
            inputs.push(Input::OperatorRequest { id: self.last_request_id, request });
        }
    }

    /// Sends the answers whose history update is persisted.
    fn send_ready_answers(&mut self) {
        let persisted_seq = if self.to_history_writer.is_some() { self.persisted_seq } else { u64::MAX };
        let (ready, later) = std::mem::take(&mut self.pending_answers)
            .into_iter()
            .partition(|(_, seq, _)| *seq <= persisted_seq);
        self.pending_answers = later;
        for (id, _, answer) in ready {
            if let Some(answer_sender) = self.answer_senders.remove(&id) {
                let _ = answer_sender.try_send(answer);
            }
        }
        // While the file can't be written, these operators have already been told that no answer came in time: the
        // oldest answers are dropped.
        while self.pending_answers.len() > MAX_OPERATOR_REQUESTS * 4 {
            let (id, ..) = self.pending_answers.remove(0);
            self.answer_senders.remove(&id);
        }
    }

    /// The number of the current version.
    fn current_version(&self) -> u64 {
        self.core.history_recorder().history().current().id().number
    }

    /// Checks, at intervals, which proxies have acknowledged everything.
    fn check_acks(&mut self) {
        let now = self.now();
        if now < self.next_ack_check {
            return;
        }
        self.next_ack_check = now + ACK_CHECK_INTERVAL;
        // Tables that are withheld for the history file have been sent to no proxy.
        let all_published = self.core.history_recorder().withheld_count() == 0;
        let (proxy_names, channel, hub) = (&self.proxy_names, &self.channel, &self.hub);
        let acked_all = self.core.joined_streams().keys().filter_map(|id| {
            let name = proxy_names.get(id)?;
            Some((name.clone(), all_published && !channel.has_queued(*id) && hub.has_acked_all(name)))
        });
        let current = self.core.history_recorder().history().current().id().number;
        self.acked_versions.update(now, current, acked_all);
    }

    /// Carries out the effects of a batch.
    fn execute(&mut self, effects: Effects) {
        effects.log.iter().for_each(|text| info!(target: "whinhill::module", "{text}"));
        effects.left_proxies.iter().for_each(|proxy| self.channel.remove_proxy(*proxy));
        for (proxy, interval) in &effects.report_intervals {
            self.hub.set_report_interval(self.core.proxy_name(*proxy), *interval);
        }
        self.publish(&effects);
        self.persist(effects.history_update);
        self.pending_answers.extend(effects.answers);
        if !effects.changed.is_empty() || effects.ack_seq.is_some() {
            let joined = self.core.joined_streams().keys().copied();
            self.channel.push(
                joined,
                &effects.changed,
                effects.ack_seq,
                effects.lines_per_proxy,
                effects.safety,
            );
        }
        // Only the newest grant of a slice counts: the publisher ignores the store's answer to an older one.
        self.unsent_grants.extend(effects.grants.into_iter().map(|grant| (grant.slice, grant)));
        while let Some((slice, grant)) = self.unsent_grants.pop_first() {
            if let Err(refused) = self.grants.try_send(grant) {
                // The custody thread is behind; the next batch tries again.
                self.unsent_grants.insert(slice, refused.into_inner());
                break;
            }
        }
        effects.probes.into_iter().for_each(|server| self.prober.probe(server));
    }

    /// Writes changed tables into the cache, and announces acquired and released slices to all streams at once.
    fn publish(&self, effects: &Effects) {
        if effects.changed.is_empty() && effects.acquired.is_empty() && effects.released.is_empty() {
            return;
        }
        let service = &self.hub.service;
        let mut announced = Vec::new();
        {
            let mut cache = self.hub.cache.write().unwrap_or_else(PoisonError::into_inner);
            for slice in &effects.released {
                for method in 0..service.methods.len() {
                    let name = self.hub.cluster_name(*slice, method);
                    cache.remove(Kind::Cluster, name);
                    cache.remove(Kind::Endpoints, name);
                    announced.push(name.clone());
                }
            }
            for slice in effects.acquired.iter().chain(&effects.changed) {
                let Some(table) = self.core.publisher().published().get(slice) else { continue };
                for method in 0..service.methods.len() {
                    let name = self.hub.cluster_name(*slice, method);
                    if effects.acquired.contains(slice) {
                        cache.set(Kind::Cluster, name, service.cluster(*slice, method));
                        announced.push(name.clone());
                    }
                    let entry = service.endpoints(*slice, method, table);
                    cache.set(Kind::Endpoints, name, entry);
                }
            }
        }
        if !announced.is_empty() {
            self.hub.notify_all(&announced);
        }
    }

    /// Delivers the messages that may be sent now; returns when to call this again.
    fn send_messages(&mut self) -> Duration {
        loop {
            let now = self.now();
            self.hub.set_orders_queued(self.channel.queued_lines() > 0);
            match self.channel.next(now) {
                None => return Duration::MAX,
                Some(Err(at)) => return at,
                Some(Ok((proxy, message))) => {
                    if let Some(name) = self.proxy_names.get(&proxy) {
                        self.hub.deliver(name, &message);
                    }
                }
            }
        }
    }

    /// Updates the status and writes it to its file.
    fn write_status(&mut self) {
        let get = Counters::get;
        self.status.uptime_ms = self.start.elapsed().as_millis() as u64;
        self.status.slices = self.core.publisher().published().len() as u64;
        self.status.proxies = self.core.joined_streams().len() as u64;
        self.status.handovers = self.core.grants_ordered();
        self.status.nacks = get(&self.counters.nacks);
        self.status.streams = get(&self.counters.streams);
        self.status.stale_acks = get(&self.counters.stale);
        self.status.differing = get(&self.counters.differing);
        self.status.lines_sent = self.channel.lines_sent();
        self.status.backlog = self.channel.queued_lines();
        (self.status.full_lines_sent, self.status.full_sets_waited) = self.hub.full_sets();
        self.status.versions = self.core.history_recorder().history().current().id().number;
        self.status.history_kb = (self.core.history_recorder().history().estimated_bytes() / 1024) as u64;
        self.status.backlog_most = self.channel.max_queued_lines();
        self.status.grants_waiting = self.core.publisher().pending_grants() as u64;
        self.status.bytes_sent = get(&self.counters.bytes);
        self.status.store_failures = get(&self.counters.store_failures);
        let (ledger, queued_tries, stats) = self.core.load_reports();
        self.status.reports_offered = ledger.offered;
        self.status.reports_given = ledger.given;
        self.status.reports_waiting = queued_tries;
        self.status.reports_late = ledger.late;
        self.status.reports_doubted = ledger.doubted;
        self.status.reports_heard_percent = (stats.coverage * 1000.0).round() / 10.0;
        self.status.reports_lag_ms_most = stats.max_lag.as_millis() as u64;
        let [_, _, silent, cut] = stats.proxies_by_state;
        (self.status.proxies_silent, self.status.proxies_cut) = (silent as u64, cut as u64);
        let (ack_latency, full_ack_latency) = self.core.ack_latencies();
        let quantile = |of: &hdrhistogram::Histogram<u64>, q: f64| of.value_at_quantile(q);
        (self.status.answer_us_p50, self.status.answer_us_p99) =
            (quantile(ack_latency, 0.5), quantile(ack_latency, 0.99));
        (self.status.all_us_p50, self.status.all_us_p99) =
            (quantile(full_ack_latency, 0.5), quantile(full_ack_latency, 0.99));
        (self.status.cpu_ms, self.status.rss_kb) = process_figures();
        let Some(file) = &self.status_file else { return };
        self.status.history_failures = get(&self.counters.history_failures);
        self.status.status_lost = file.lost();
        self.status.told_unkept = self.core.history_recorder().published_unpersisted();
        file.write(serde_json::to_string(&self.status).unwrap_or_default());
    }
}
