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
use whinhill::interface::{Entry, Event, ListKind, Listed, Order};
use whinhill::Assigner;
use whinhill_names::Names;
use whinhill_platform::config::PlatformConfig;
use whinhill_platform::discovery::Version;
use whinhill_platform::relay::calls::Calls;
use whinhill_platform::relay::news::News;
use whinhill_platform::relay::orders::RelayOrder;
use whinhill_platform::roster::Roster;
use whinhill_starts::{Reading, Starts};

use crate::accepting::NextClient;
use crate::clock::Clock;
use crate::connections::{Connections, Id};
use crate::deadlines::{Deadlines, Due};
use crate::failures::FailureLog;
use crate::limits::*;
use crate::probes::Again;
use crate::report::Counts;
use crate::starting::{read_until_had, until_had};
use crate::NodeError;

/// What the poll calls the listener, and the signals.
pub const LISTENER: Token = Token(usize::MAX - 1);
pub const SIGNALS: Token = Token(usize::MAX - 2);
/// The log target of all that the module hears and orders: `--log-level whinhill::trace=debug` without reports,
/// probes and answers, `=trace` with them. Servers are named by their indices, which the `server` lines explain.
const TRACE: &str = "whinhill::trace";
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
    path: PathBuf,
    /// Until when a file that cannot be read is tried again, and whether that was told.
    config_until: Duration,
    config_fails: bool,
    pub config: PlatformConfig,
    pub names: Names,
    /// Where each server listens, by its index.
    pub addrs: Vec<Option<SocketAddr>>,
    /// Servers that no list names any more, and since when.
    gone: BTreeMap<usize, Duration>,
    listed: BTreeSet<usize>,
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
    pub probing: usize,
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
        let mut node = Node {
            names: Names::new(&config.settings),
            version: Version::new(known.version),
            starts: Starts::default(),
            peers_most: config.limits.sockets.saturating_sub(RESERVED).max(8),
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
            probing: 0,
            probes_again: Vec::new(),
            peers: 0,
            strangers: 0,
            counts: Counts::default(),
            log_dropped,
            longest_pause: Duration::ZERO,
            ending: None,
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

    pub fn take_signals(&mut self) {
        let signals: Vec<i32> = self.signals.pending().collect();
        for signal in signals {
            if signal == SIGHUP {
                self.read_config_until_had();
            } else {
                self.begin_end();
            }
        }
    }

    /// The configuration is to be read again, from now on until it could be read.
    pub fn read_config_until_had(&mut self) {
        if self.ending.is_some() {
            return;
        }
        self.config_until = self.clock.now() + CONFIG_WITHIN;
        self.config_fails = false;
        self.read_config();
    }

    /// A new configuration moves discovery and relay; a bad one leaves the old in force. Where the file cannot be
    /// read at all that may pass, and no second signal tells of it.
    pub fn read_config(&mut self) {
        let new = match crate::read(&self.path) {
            Ok(new) => new,
            Err(error) => {
                if !std::mem::replace(&mut self.config_fails, true) {
                    warn!("the configuration in force stays: {error}");
                }
                let now = self.clock.now();
                if matches!(error, NodeError::Read { .. }) && now < self.config_until {
                    self.deadlines.set(Due::Config, now + CONFIG_AGAIN);
                }
                return;
            }
        };
        info!(discovery = %new.discovery, relay = %new.relay, "new configuration");
        if new.discovery != self.config.discovery {
            self.config.discovery = new.discovery;
            self.move_watch();
        }
        if new.relay != self.config.relay {
            self.config.relay = new.relay;
            self.move_relay();
        }
    }

    /// A list for the module.
    pub fn push_list(&mut self, kind: ListKind, list: &Roster) {
        let mut entries = Vec::with_capacity(list.servers.len());
        if list.whole {
            self.listed.clear();
        }
        for server in &list.servers {
            let ep = self.names.ep(&server.name);
            if self.addrs.get(ep.index).copied().flatten() != Some(server.addr) {
                debug!(target: TRACE, "server {} is {} at {}", ep.index, server.name, server.addr);
            }
            self.addrs.resize(self.addrs.len().max(ep.index + 1), None);
            self.addrs[ep.index] = Some(server.addr);
            match server.listed {
                Listed::Gone => self.listed.remove(&ep.index),
                _ => self.listed.insert(ep.index),
            };
            let reading = Reading { now: self.clock.now(), wall: self.clock.wall() };
            let started = self.starts.started(reading, &server.name, server.started_ms);
            let zone = self.names.zone(&server.zone);
            entries.push(Entry { ep, zone, listed: server.listed, size: server.size, started });
        }
        self.pending.push(Event::List { kind, entries });
    }

    /// Lets servers go that have been off the list for long and that nothing names any more: where each server
    /// is replaced under a new name, those that are gone would pile up.
    pub fn let_go(&mut self) {
        let now = self.clock.now();
        let unlisted: BTreeSet<usize> = self.names.servers().filter(|i| !self.listed.contains(i)).collect();
        self.gone.retain(|index, _| unlisted.contains(index));
        for index in unlisted {
            let since = *self.gone.entry(index).or_insert(now);
            if now >= since + LET_GO_AFTER && self.assigner.is_done_with(index) {
                self.names.let_go(index);
                self.gone.remove(&index);
                self.addrs.get_mut(index).into_iter().for_each(|addr| *addr = None);
                self.counts.let_go += 1;
            }
        }
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
