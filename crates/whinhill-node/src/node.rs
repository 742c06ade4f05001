//! The assigner's state, and the exchange with the decision module (`whinhill::Assigner`): it takes
//! batches of events and returns orders.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Duration;

use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use tracing::{debug, info, trace, warn};
use whinhill::interface::{Event, ListKind, Order, SliceId};
use whinhill::Assigner;
use whinhill_names::Names;
use whinhill_platform::config::PlatformConfig;
use whinhill_platform::discovery::VersionTracker;
use whinhill_platform::peer::MAX_MESSAGE_BYTES;
use whinhill_platform::relay::calls::CallQueue;
use whinhill_platform::relay::orders::RelayOrder;
use whinhill_platform::relay::watch::RelayWatch;
use whinhill_platform::roster::Roster;
use whinhill_platform::supported_settings;
use whinhill_starts::StartTimes;

use crate::accepting::AcceptedClient;
use crate::clock::Clock;
use crate::connections::{Connections, Id};
use crate::deadlines::{DeadlineKind, Deadlines};
use crate::failure_log::FailureLog;
use crate::limits::*;
use crate::probe_queue::ProbeQueue;
use crate::probes::PostponedProbe;
use crate::startup_retry::{read_config_with_retry, retry_at_startup};
use crate::status_log::Counters;
use crate::NodeError;

/// The poll token of the listener.
pub const LISTENER: Token = Token(usize::MAX - 1);
/// The poll token of the signal handler.
pub const SIGNALS: Token = Token(usize::MAX - 2);
/// The log target of every event for the decision module and of its orders for the relay. `--log-level
/// whinhill::trace=debug` leaves out reports, probe results, acknowledgements and timer events; `=trace` includes
/// them, and the relay watch as its bytes arrive. Servers are identified by index; the `server` lines map indices to
/// names.
pub const TRACE: &str = "whinhill::trace";
/// Bytes read from a socket in one call.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Poll events handled in one call of the poll.
pub const MAX_EVENTS_PER_POLL: usize = 256;

/// All state of the assigner process; its methods are spread over the modules of this crate.
pub(crate) struct Node {
    pub poll: Poll,
    /// `None` once shutdown has stopped listening.
    pub listener: Option<TcpListener>,
    /// A client that was accepted and waits for a connection slot.
    pub waiting_client: Option<AcceptedClient>,
    /// Remaining checks of the listen queue although it seems empty.
    pub accept_retries_left: u32,
    pub signals: Signals,
    pub clock: Clock,
    pub deadlines: Deadlines,
    pub connections: Connections,
    /// Reused for all reads.
    pub buffer: Vec<u8>,
    /// Reused for all polls.
    pub events: Events,
    /// Failures of the poll since it last succeeded.
    pub consecutive_poll_failures: u32,
    /// Connections with more to read than one turn of the loop allows.
    pub unread_connections: BTreeSet<Id>,
    /// Messages of each client that are handled in this turn.
    pub messages_per_connection: usize,
    /// Connections that are read on once the pending events are handed over.
    pub awaiting_batch: BTreeSet<Id>,
    /// Events for the next batch at which [`Node::awaiting_batch`] applies.
    pub max_pending_events: usize,
    /// The largest message of a collector, in bytes.
    pub max_message_bytes: usize,
    /// The configuration file.
    pub config_path: PathBuf,
    /// Until when a configuration file that cannot be read is retried.
    pub config_retry_until: Duration,
    /// Whether the current failure to read the configuration was logged.
    pub config_error_logged: bool,
    /// The configuration in force.
    pub config: PlatformConfig,
    pub names: Names,
    /// Each server's listening address, by server index.
    pub server_addrs: Vec<Option<SocketAddr>>,
    /// Servers that are on no list any more, and since when.
    pub unlisted_since: BTreeMap<usize, Duration>,
    /// Indices of the servers on the current list.
    pub listed_servers: BTreeSet<usize>,
    /// The decision module.
    pub assigner: Assigner,
    /// Events for the next batch.
    pub pending_events: Vec<Event>,
    /// A list of servers is among them.
    pub list_pending: bool,
    /// When the last batch was handed to the module.
    pub last_batch_at: Duration,
    /// Least time between two batches.
    pub round_duration: Duration,
    /// Orders for the relay, queued or in flight.
    pub relay_calls: CallQueue,
    /// Slices that count as acquired anew, and whose levels are not known until the next batch orders them.
    pub reacquired_slices: BTreeSet<SliceId>,
    pub call_connection: Option<Id>,
    /// When the call connection last carried a call or an answer.
    pub call_connection_used_at: Duration,
    /// The call connection leads to a former address: it finishes the call in flight and starts no other.
    pub call_connection_outdated: bool,
    /// What the relay has reported.
    pub relay_watch: RelayWatch,
    pub relay_watch_connection: Option<Id>,
    /// The watch connection to a new address, while the one to the former address still counts.
    pub next_relay_watch_connection: Option<Id>,
    /// `relay_watch_connection` leads to a former address.
    pub relay_watch_outdated: bool,
    /// Delay before the next attempt to open the relay watch.
    pub relay_watch_retry_delay: Duration,
    /// The version of the server list.
    pub list_version: VersionTracker,
    /// When servers started.
    pub server_starts: StartTimes,
    /// The relay watch is not opened before discovery has sent a list.
    pub relay_watch_awaits_list: bool,
    /// The connection of the discovery watch, or of the newest call for one.
    pub discovery_watch_connection: Option<Id>,
    /// The call before the newest, if it was not answered in time. It stays open, since a late answer counts.
    pub overdue_discovery_watch: Option<Id>,
    /// Whether the latest result of discovery was a failure; a failure is logged only when this changes.
    pub discovery_failing: bool,
    /// The same for the relay watch.
    pub relay_watch_failing: bool,
    pub probe_queue: ProbeQueue,
    /// Probes whose connects failed immediately and are retried.
    pub postponed_probes: Vec<PostponedProbe>,
    /// Connected clients.
    pub client_count: usize,
    /// Connected clients that have not joined and are not being closed.
    pub unjoined_count: usize,
    /// Connection slots for clients.
    pub max_clients: usize,
    pub counters: Counters,
    /// Number of log lines that were lost.
    pub log_dropped: Arc<AtomicU64>,
    /// The longest delay of anything due since the last status line, caused by the work of one turn or by waiting
    /// for the processor.
    pub longest_pause: Duration,
    /// When SIGTERM or SIGINT arrived.
    pub shutdown_started_at: Option<Duration>,
    /// All connections to relay, discovery and servers are closed.
    pub outgoing_closed: bool,
    /// Each connection is closed after its next answer.
    pub close_after_answer: bool,
    /// Until when every read is followed by rechecks, because a read has recently missed data.
    pub recheck_reads_until: Duration,
    pub failure_log: FailureLog,
}

impl Node {
    /// Reads the configuration, starts to listen and opens the relay watch.
    pub fn start(path: &Path, log_dropped: Arc<AtomicU64>) -> Result<Self, NodeError> {
        // Signal handlers come first: a signal without a handler would end the process.
        let signals = retry_at_startup("signals", || Signals::new([SIGHUP, SIGTERM, SIGINT]));
        let mut signals = signals.map_err(io_error("signals"))?;
        let mut config = read_config_with_retry(path)?;
        let empty_list = Roster { version: 0, is_full: true, servers: Vec::new() };
        let stored_list =
            std::mem::replace(&mut config.stored_list, Ok(empty_list.clone())).unwrap_or_else(|error| {
                warn!("the stored server list cannot be used: {error}");
                empty_list
            });
        supported_settings::check(&config.settings)
            .map_err(|source| NodeError::Unsupported { path: path.into(), source })?;
        let settings_error = |source| NodeError::Settings { path: path.into(), source };
        // On the platform nothing tells of changes unasked, whatever the setting `discovery` says.
        let assigner =
            Assigner::new(&config.settings, config.seed).map_err(settings_error)?.with_list_watch();
        let round_duration = config.settings.duration("round").map_err(settings_error)?;
        let poll = poll_with_signals(&mut signals)?;
        let (listener, addr) = listen(&poll, config.listen)?;
        let clock = Clock::start();
        info!(
            name = config.name,
            %addr,
            sockets = config.limits.sockets,
            memory_mb = config.limits.memory_mb,
            servers = stored_list.servers.len(),
            version = stored_list.version,
            "assigner starts"
        );
        debug!(target: TRACE, "settings {:?}", config.settings.0);
        let max_probes = (config.limits.sockets / SOCKETS_PER_PROBE).clamp(MIN_PROBE_LIMIT, MAX_PROBE_LIMIT);
        let names = Names::new(&config.settings);
        let max_message_bytes = max_message_bytes(config.limits.memory_mb, names.zone_count());
        let mut node = Node {
            names,
            list_version: VersionTracker::new(stored_list.version),
            server_starts: StartTimes::default(),
            max_clients: config
                .limits
                .sockets
                .saturating_sub(RESERVED_DESCRIPTORS + max_probes)
                .max(MIN_CLIENT_SLOTS),
            poll,
            listener: Some(listener),
            waiting_client: None,
            accept_retries_left: 0,
            signals,
            clock,
            deadlines: Deadlines::default(),
            connections: Connections::default(),
            buffer: vec![0; READ_BUFFER_BYTES],
            events: Events::with_capacity(MAX_EVENTS_PER_POLL),
            consecutive_poll_failures: 0,
            unread_connections: BTreeSet::new(),
            messages_per_connection: *MESSAGES_PER_CONNECTION.end(),
            awaiting_batch: BTreeSet::new(),
            max_pending_events: max_pending_events(config.limits.memory_mb),
            max_message_bytes,
            config_path: path.into(),
            config_retry_until: Duration::ZERO,
            config_error_logged: false,
            server_addrs: Vec::new(),
            unlisted_since: BTreeMap::new(),
            listed_servers: BTreeSet::new(),
            assigner,
            pending_events: Vec::new(),
            list_pending: false,
            last_batch_at: Duration::ZERO,
            round_duration,
            relay_calls: CallQueue::default(),
            reacquired_slices: BTreeSet::new(),
            call_connection: None,
            call_connection_used_at: Duration::ZERO,
            call_connection_outdated: false,
            relay_watch: RelayWatch::default(),
            relay_watch_connection: None,
            next_relay_watch_connection: None,
            relay_watch_outdated: false,
            relay_watch_retry_delay: MIN_RELAY_WATCH_RETRY_DELAY,
            relay_watch_awaits_list: false,
            discovery_watch_connection: None,
            overdue_discovery_watch: None,
            discovery_failing: false,
            relay_watch_failing: false,
            probe_queue: ProbeQueue::new(max_probes),
            postponed_probes: Vec::new(),
            client_count: 0,
            unjoined_count: 0,
            counters: Counters::default(),
            log_dropped,
            longest_pause: Duration::ZERO,
            shutdown_started_at: None,
            outgoing_closed: false,
            close_after_answer: false,
            recheck_reads_until: Duration::ZERO,
            failure_log: FailureLog::default(),
            config,
        };
        node.push_list(ListKind::Stored, &stored_list);
        // The module treats an owner that is on no list as gone, so it must not learn of owners before it has a
        // list.
        node.relay_watch_awaits_list = stored_list.servers.is_empty();
        node.open_relay_watch();
        node.deadlines.set(DeadlineKind::LogStatus, node.clock.now() + STATUS_INTERVAL);
        node.deadlines.set(DeadlineKind::CheckAllSockets, node.clock.now() + SOCKET_CHECK_INTERVAL);
        Ok(node)
    }

    /// Hands all pending events to the module and carries out or queues the orders it returns.
    pub fn handle_batch(&mut self) {
        let now = self.clock.now();
        self.last_batch_at = now;
        let events = std::mem::take(&mut self.pending_events);
        self.list_pending = false;
        self.unread_connections.append(&mut self.awaiting_batch);
        if events.is_empty() {
            return;
        }
        self.counters.batches += 1;
        events.iter().for_each(trace_event);
        let mut relay_orders = self.take_admit_all_orders();
        for order in self.assigner.handle(now, &events) {
            match order {
                Order::WatchList => self.start_discovery_watch(),
                Order::FetchList => self.fetch_server_list(),
                Order::Probe { endpoint } => self.queue_probe(endpoint),
                // The module asks again only once its last wake-up is due. That one may still be set where this
                // process is late, and is replaced.
                Order::Wake { after } => self.deadlines.set(DeadlineKind::Wake, now + after),
                Order::Log { text } => info!("{text}"),
                other => {
                    debug!(target: TRACE, "order {other:?}");
                    let order = RelayOrder::from_order(&other, &self.names);
                    if let Some(RelayOrder::Line { slice, server, .. }) = &order {
                        self.relay_watch.note_line_ordered(*slice, server);
                    }
                    relay_orders.extend(order);
                }
            }
        }
        self.relay_calls.push(now, relay_orders);
        if let Some(ack_seq) = self.relay_calls.acks.take_answered() {
            self.assigner.note_orders_answered(ack_seq);
        }
        // Joins that were reported before these proofs have been handed to the module.
        for ack_seq in self.relay_calls.acks.take_stored(self.relay_watch.received_all_until()) {
            self.assigner.note_orders_stored(ack_seq);
        }
    }
}

fn io_error(what: &'static str) -> impl FnOnce(io::Error) -> NodeError {
    move |source| NodeError::Io { what, source }
}

/// A poll that reports signals.
fn poll_with_signals(signals: &mut Signals) -> Result<Poll, NodeError> {
    let poll = retry_at_startup("poll", Poll::new).map_err(io_error("poll"))?;
    let registered = retry_at_startup("signals", || {
        let registered = poll.registry().register(signals, SIGNALS, Interest::READABLE);
        // Otherwise the next attempt would find it registered already.
        registered.inspect_err(|_| drop(poll.registry().deregister(signals)))
    });
    registered.map_err(io_error("signals"))?;
    Ok(poll)
}

/// Listens on `addr`; returns the listener and its address, whose port the system may have chosen.
fn listen(poll: &Poll, addr: SocketAddr) -> Result<(TcpListener, SocketAddr), NodeError> {
    let listen_error = |source| NodeError::Listen { addr, source };
    let listener = retry_at_startup("the address to listen on", || {
        let mut listener = TcpListener::bind(addr)?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        Ok(listener)
    });
    let listener = listener.map_err(listen_error)?;
    let listening_addr = listener.local_addr().map_err(listen_error)?;
    Ok((listener, listening_addr))
}

/// Bytes in a megabyte of the memory limit.
const MEGABYTE: f64 = (1 << 20) as f64;

fn max_pending_events(memory_mb: f64) -> usize {
    let bytes = memory_mb * MEGABYTE * PENDING_EVENTS_FRACTION;
    (bytes as usize / std::mem::size_of::<Event>()).max(MAX_BATCH_EVENTS)
}

/// The largest message of a collector, so that those of all zones' collectors together stay within their part of the
/// memory.
fn max_message_bytes(memory_mb: f64, zones: usize) -> usize {
    let bytes = memory_mb * MEGABYTE * PARTIAL_MESSAGES_FRACTION;
    let collectors = zones.max(1) * MAX_COLLECTORS_PER_ZONE;
    (bytes as usize / collectors).clamp(MIN_MESSAGE_BYTES, MAX_MESSAGE_BYTES)
}

fn trace_event(event: &Event) {
    match event {
        Event::TryReport { .. }
        | Event::Demand { .. }
        | Event::Probed { .. }
        | Event::Acked { .. }
        | Event::Timer => {
            trace!(target: TRACE, "event {event:?}");
        }
        _ => debug!(target: TRACE, "event {event:?}"),
    }
}
