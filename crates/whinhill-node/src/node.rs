//! The assigner's state, and what passes between it and the module: events in batches, orders, lists.

use std::collections::{BTreeMap, BTreeSet};
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
use whinhill::interface::{Event, ListKind, Order};
use whinhill::Assigner;
use whinhill_names::Names;
use whinhill_platform::config::PlatformConfig;
use whinhill_platform::discovery::Version;
use whinhill_platform::relay::calls::Calls;
use whinhill_platform::relay::news::News;
use whinhill_platform::relay::orders::RelayOrder;
use whinhill_platform::roster::Roster;
use whinhill_starts::Starts;

use crate::accepting::NextClient;
use crate::clock::Clock;
use crate::connections::{Connections, Id};
use crate::deadlines::{Deadlines, Due};
use crate::failures::FailureLog;
use crate::limits::*;
use crate::probe_queue::ProbeQueue;
use crate::probes::Again;
use crate::report::Counts;
use crate::starting::{read_until_had, until_had};
use crate::NodeError;

/// What the poll calls the listener, and the signals.
pub const LISTENER: Token = Token(usize::MAX - 1);
pub const SIGNALS: Token = Token(usize::MAX - 2);
/// The log target of all that the module hears and orders: `--log-level whinhill::trace=debug` without reports,
/// probes and answers, `=trace` with them. Servers are named by their indices, which the `server` lines explain.
pub const TRACE: &str = "whinhill::trace";
/// Bytes read at a time.
const BUFFER: usize = 64 * 1024;
/// Events taken at a time.
pub const EVENTS_MOST: usize = 256;

pub(crate) struct Node {
    pub poll: Poll,
    /// Until the end has come.
    pub listener: Option<TcpListener>,
    /// Accepted, and without a place yet.
    pub next_client: Option<NextClient>,
    /// Looks that are still made at the listen queue though it seems empty.
    pub accept_looks_left: u32,
    pub signals: Signals,
    pub clock: Clock,
    pub deadlines: Deadlines,
    pub connections: Connections,
    pub buffer: Vec<u8>,
    pub events: Events,
    pub poll_failures: u32,
    /// Connections with more to read than one turn allows.
    pub unread: Vec<Id>,
    pub path: PathBuf,
    /// Until when a file that cannot be read is tried again, and whether that was told.
    pub config_until: Duration,
    pub config_fails: bool,
    pub config: PlatformConfig,
    pub names: Names,
    /// Where each server listens, by its index.
    pub addrs: Vec<Option<SocketAddr>>,
    /// Servers that no list names any more, and since when.
    pub gone: BTreeMap<usize, Duration>,
    pub listed: BTreeSet<usize>,
    pub assigner: Assigner,
    pub pending: Vec<Event>,
    pub last_batch: Duration,
    pub round: Duration,
    pub calls: Calls,
    pub calls_at: Option<Id>,
    pub calls_used: Duration,
    /// The connection for calls leads to a former address: it serves the call under way and no other.
    pub calls_moved: bool,
    pub news: News,
    pub news_at: Option<Id>,
    /// The news at a new address, while those of the former go on.
    pub news_next_at: Option<Id>,
    /// `news_at` leads to a former address.
    pub news_moved: bool,
    pub news_again: Duration,
    pub version: Version,
    pub starts: Starts,
    /// The relay is not asked before discovery has told a list.
    pub news_await_list: bool,
    pub watch_at: Option<Id>,
    /// Whether the last word of discovery, and of the relay's news, was a failure: told once, when it changes.
    pub discovery_fails: bool,
    pub news_fail: bool,
    pub probes: ProbeQueue,
    /// Probes whose connects failed at once, to be made again.
    pub probes_again: Vec<Again>,
    /// Whoever connected and is connected, and those of them who have not joined.
    pub peers: usize,
    pub strangers: usize,
    pub peers_most: usize,
    pub counts: Counts,
    /// Lines that the log has lost.
    pub log_dropped: Arc<AtomicU64>,
    /// The longest that anything due has waited since the last status: for the work of one turn, or for the
    /// processor.
    pub longest_pause: Duration,
    /// Since when the end was asked for.
    pub ending: Option<Duration>,
    /// Relay, discovery and servers have no connection of ours any more.
    pub paths_closed: bool,
    /// Each answer is the last on its connection.
    pub last_answers: bool,
    /// Until when reads are followed by further looks: a call has been wrong of late.
    pub look_closely_until: Duration,
    pub failures: FailureLog,
}

impl Node {
    pub fn start(path: &Path, log_dropped: Arc<AtomicU64>) -> Result<Self, NodeError> {
        // First of all: a signal that nobody waits for yet would end the process.
        let io = |what| move |source| NodeError::Io { what, source };
        let signals = until_had("signals", || Signals::new([SIGHUP, SIGTERM, SIGINT]));
        let mut signals = signals.map_err(io("signals"))?;
        let mut config = read_until_had(path)?;
        let none = Roster { version: 0, whole: true, servers: Vec::new() };
        let known = std::mem::replace(&mut config.known, Ok(none.clone())).unwrap_or_else(|error| {
            warn!("the stored list cannot be used: {error}");
            none
        });
        let faulty = |source| NodeError::Settings { path: path.into(), source };
        let assigner = Assigner::new(&config.settings, config.seed).map_err(faulty)?;
        let round = config.settings.span("round").map_err(faulty)?;
        let poll = until_had("poll", Poll::new).map_err(io("poll"))?;
        let registered = until_had("signals", || {
            let registered = poll.registry().register(&mut signals, SIGNALS, Interest::READABLE);
            // Or it would count as registered the next time.
            registered.inspect_err(|_| drop(poll.registry().deregister(&mut signals)))
        });
        registered.map_err(io("signals"))?;
        let addr = config.listen;
        let listen = |source| NodeError::Listen { addr, source };
        let listener = until_had("the address to listen on", || {
            let mut listener = TcpListener::bind(addr)?;
            poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
            Ok(listener)
        });
        let listener = listener.map_err(listen)?;
        let addr = listener.local_addr().map_err(listen)?;
        let clock = Clock::start();
        info!(
            name = config.name,
            %addr,
            sockets = config.limits.sockets,
            memory_mb = config.limits.memory_mb,
            servers = known.servers.len(),
            version = known.version,
            "assigner starts"
        );
        debug!(target: TRACE, "settings {:?}", config.settings.0);
        let probes_most = (config.limits.sockets / PROBES_PART).clamp(PROBES_MOST.0, PROBES_MOST.1);
        let mut node = Node {
            names: Names::new(&config.settings),
            version: Version::new(known.version),
            starts: Starts::default(),
            peers_most: config.limits.sockets.saturating_sub(RESERVED + probes_most).max(8),
            poll,
            listener: Some(listener),
            next_client: None,
            accept_looks_left: 0,
            signals,
            clock,
            deadlines: Deadlines::default(),
            connections: Connections::default(),
            buffer: vec![0; BUFFER],
            events: Events::with_capacity(EVENTS_MOST),
            poll_failures: 0,
            unread: Vec::new(),
            path: path.into(),
            config_until: Duration::ZERO,
            config_fails: false,
            addrs: Vec::new(),
            gone: BTreeMap::new(),
            listed: BTreeSet::new(),
            assigner,
            pending: Vec::new(),
            last_batch: Duration::ZERO,
            round,
            calls: Calls::default(),
            calls_at: None,
            calls_used: Duration::ZERO,
            calls_moved: false,
            news: News::default(),
            news_at: None,
            news_next_at: None,
            news_moved: false,
            news_again: NEWS_AGAIN.0,
            news_await_list: false,
            watch_at: None,
            discovery_fails: false,
            news_fail: false,
            probes: ProbeQueue::new(probes_most),
            probes_again: Vec::new(),
            peers: 0,
            strangers: 0,
            counts: Counts::default(),
            log_dropped,
            longest_pause: Duration::ZERO,
            ending: None,
            paths_closed: false,
            last_answers: false,
            look_closely_until: Duration::ZERO,
            failures: FailureLog::default(),
            config,
        };
        node.push_list(ListKind::Stored, &known);
        // To the module an owner that no list names is gone: it must hear of none before it has a list.
        node.news_await_list = known.servers.is_empty();
        node.open_news();
        node.deadlines.set(Due::Status, node.clock.now() + STATUS_EVERY);
        node.deadlines.set(Due::Look, node.clock.now() + LOOK_EVERY);
        Ok(node)
    }

    pub fn batch(&mut self) {
        let now = self.clock.now();
        self.last_batch = now;
        let events = std::mem::take(&mut self.pending);
        if events.is_empty() {
            return;
        }
        self.counts.batches += 1;
        events.iter().for_each(trace_event);
        let mut relay = Vec::new();
        for order in self.assigner.handle(now, &events) {
            match order {
                Order::Watch => self.watch(),
                Order::Fetch => self.fetch(),
                Order::Probe { ep } => self.probe(ep),
                // It asks anew only once the last one is due: that one may still stand where we are late.
                Order::Wake { after } => self.deadlines.set(Due::Wake, now + after),
                Order::Log { text } => info!("{text}"),
                other => {
                    debug!(target: TRACE, "order {other:?}");
                    let order = RelayOrder::of(&other, &self.names);
                    if let Some(RelayOrder::Line { slice, .. }) = order {
                        self.news.line_ordered(slice);
                    }
                    relay.extend(order);
                }
            }
        }
        self.calls.push(now, relay);
    }
}

fn trace_event(event: &Event) {
    match event {
        Event::Met { .. }
        | Event::Demand { .. }
        | Event::Probed { .. }
        | Event::Acked { .. }
        | Event::Timer => {
            trace!(target: TRACE, "event {event:?}");
        }
        _ => debug!(target: TRACE, "event {event:?}"),
    }
}
