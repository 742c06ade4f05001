//! The loop: waits, takes what came, hands the module its events and carries out its orders.

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

use crate::clock::Clock;
use crate::connection::{Connection, Kind};
use crate::connections::{Connections, Id};
use crate::deadlines::{Deadlines, Due};
use crate::limits::*;
use crate::peers::Refusal;
use crate::probes::Again;
use crate::report::Counts;
use crate::starting::until_had;
use crate::NodeError;

const LISTENER: Token = Token(usize::MAX - 1);
const SIGNALS: Token = Token(usize::MAX - 2);
/// The log target of all that the module hears and orders: `--log-level whinhill::trace=debug` without reports,
/// probes and answers, `=trace` with them. Servers are named by their indices, which the `server` lines explain.
const TRACE: &str = "whinhill::trace";
/// Bytes read at a time.
const BUFFER: usize = 64 * 1024;
/// Events taken at a time.
const EVENTS_MOST: usize = 256;
/// Looks for more of them before limits that have passed count: enough for as many connections as there may be.
const LOOKS_MOST: usize = 16;

pub(crate) struct Node {
    pub poll: Poll,
    pub listener: TcpListener,
    signals: Signals,
    pub clock: Clock,
    pub deadlines: Deadlines,
    pub connections: Connections,
    buffer: Vec<u8>,
    events: Events,
    poll_failures: u32,
    /// Connections with more to read than one turn allows.
    pub unread: Vec<Id>,
    path: PathBuf,
    pub config: PlatformConfig,
    pub names: Names,
    /// Where each server listens, by its index.
    pub addrs: Vec<Option<SocketAddr>>,
    /// Servers that no list names any more, and since when.
    gone: BTreeMap<usize, Duration>,
    listed: BTreeSet<usize>,
    pub assigner: Assigner,
    pub pending: Vec<Event>,
    last_batch: Duration,
    round: Duration,
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
    ending: bool,
    /// Calls in line have had their time to leave.
    out_of_time: bool,
}

impl Node {
    pub fn start(path: &Path, log_dropped: Arc<AtomicU64>) -> Result<Self, NodeError> {
        let mut config = crate::read(path)?;
        let none = Roster { version: 0, whole: true, servers: Vec::new() };
        let known = std::mem::replace(&mut config.known, Ok(none.clone())).unwrap_or_else(|error| {
            warn!("the stored list cannot be used: {error}");
            none
        });
        let faulty = |source| NodeError::Settings { path: path.into(), source };
        let assigner = Assigner::new(&config.settings, config.seed).map_err(faulty)?;
        let round = config.settings.span("round").map_err(faulty)?;
        let io = |what| move |source| NodeError::Io { what, source };
        let poll = until_had("poll", Poll::new).map_err(io("poll"))?;
        let signals = until_had("signals", || {
            let mut signals = Signals::new([SIGHUP, SIGTERM, SIGINT])?;
            poll.registry().register(&mut signals, SIGNALS, Interest::READABLE)?;
            Ok(signals)
        });
        let signals = signals.map_err(io("signals"))?;
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
            listener,
            signals,
            clock,
            deadlines: Deadlines::default(),
            connections: Connections::default(),
            buffer: vec![0; BUFFER],
            events: Events::with_capacity(EVENTS_MOST),
            poll_failures: 0,
            unread: Vec::new(),
            path: path.into(),
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
            ending: false,
            out_of_time: false,
            config,
        };
        node.push_list(ListKind::Stored, &known);
        node.open_news();
        node.deadlines.set(Due::Status, node.clock.now() + STATUS_EVERY);
        node.deadlines.set(Due::Look, node.clock.now() + LOOK_EVERY);
        Ok(node)
    }

    pub fn serve(mut self) -> Result<(), NodeError> {
        loop {
            self.advance();
            if self.ending && self.calls.waiting() == 0 && !self.calls.under_way() {
                return self.leave();
            }
            self.turn(None)?;
            if self.out_of_time {
                return self.leave();
            }
        }
    }

    /// Waits for the next event or deadline, for a bounded time if one is given, and does all that is due then.
    pub fn turn(&mut self, most: Option<Duration>) -> Result<(), NodeError> {
        let now = self.clock.now();
        let next = self.deadlines.next_at().map(|at| at.saturating_sub(now));
        let wait = next.into_iter().chain(most).min();
        let wait = if self.unread.is_empty() { wait } else { Some(Duration::ZERO) };
        self.take_events(wait)?;
        let woken = self.clock.now();
        let looked = self.look_again()?;
        while let Some(due) = self.deadlines.pop(looked) {
            self.due(due);
        }
        let overslept = wait.map_or(Duration::ZERO, |wait| woken.saturating_sub(now + wait));
        let worked = self.clock.now().saturating_sub(woken);
        self.longest_pause = self.longest_pause.max(overslept).max(worked);
        Ok(())
    }

    /// Before a limit counts, all that had arrived by then is taken: the process may have stood still, in the poll
    /// or after it, for longer than others may be silent. The time of the last look.
    fn look_again(&mut self) -> Result<Duration, NodeError> {
        let mut looked = self.clock.now();
        for _ in 0..LOOKS_MOST {
            looked = self.clock.now();
            if !self.deadlines.is_due(looked) {
                break;
            }
            let taken = self.take_events(Some(Duration::ZERO))?;
            if taken < EVENTS_MOST && self.unread.is_empty() {
                break;
            }
        }
        Ok(looked)
    }

    /// Waits for events and takes them; how many there were.
    fn take_events(&mut self, wait: Option<Duration>) -> Result<usize, NodeError> {
        let mut events = std::mem::replace(&mut self.events, Events::with_capacity(0));
        let polled = self.poll.poll(&mut events, wait);
        self.counts.clock_steps += u64::from(self.clock.look_for_step());
        let mut taken = 0;
        match polled {
            Ok(()) => {
                self.poll_failures = 0;
                taken = events.iter().map(|event| self.take_event(event)).count();
            }
            Err(error) => self.poll_failed(error)?,
        }
        self.events = events;
        for id in std::mem::take(&mut self.unread) {
            self.readable(id);
        }
        Ok(taken)
    }

    fn take_event(&mut self, event: &mio::event::Event) {
        match event.token() {
            LISTENER => self.accept(ACCEPT_LOOKS, true),
            SIGNALS => self.take_signals(),
            token => {
                let id = Id::of(token);
                if event.is_writable() {
                    self.writable(id);
                }
                if event.is_readable() || event.is_read_closed() || event.is_error() {
                    self.readable(id);
                }
            }
        }
    }

    /// A signal is no failure, and nothing was lost with it: deadlines are looked at as after any wait.
    fn poll_failed(&mut self, error: io::Error) -> Result<(), NodeError> {
        if error.kind() == io::ErrorKind::Interrupted {
            self.counts.polls_interrupted += 1;
            return Ok(());
        }
        self.counts.polls_failed += 1;
        self.poll_failures += 1;
        if self.poll_failures < POLL_FAILURES_MOST {
            return Ok(());
        }
        Err(NodeError::Io { what: "poll", source: error })
    }

    /// Hands over a batch and starts a call where they are due.
    fn advance(&mut self) {
        if self.ending {
            self.deadlines.clear(Due::Batch);
        } else if !self.pending.is_empty() {
            let now = self.clock.now();
            let full = self.pending.len() >= BATCH_MOST;
            self.deadlines
                .set_by(Due::Batch, if full { now } else { now + GATHER }.max(self.last_batch + self.round));
        }
        self.start_call();
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Batch => self.batch(),
            Due::Wake => {
                self.pending.push(Event::Timer);
                self.deadlines.set(Due::Batch, self.clock.now().max(self.last_batch + self.round));
            }
            Due::News(place) => self.news_passed(place),
            Due::OpenNews => self.open_news(),
            Due::Call => {}
            Due::Accept => self.accept(ACCEPT_LOOKS, true),
            Due::Look => self.look_at_all(),
            Due::Status => self.report(),
            Due::Beliefs => self.report_beliefs(),
            Due::Connection(id) => self.timed_out(id),
            Due::Register(id) => self.register_client(id),
            Due::Watch => self.watch_again(),
            Due::Fetch => self.fetch(),
            Due::Probes => self.probe_again(),
            Due::End => self.out_of_time = true,
        }
    }

    fn batch(&mut self) {
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

    fn take_signals(&mut self) {
        let signals: Vec<i32> = self.signals.pending().collect();
        for signal in signals {
            if signal == SIGHUP {
                self.read_again();
            } else if !self.ending {
                info!(waiting = self.calls.waiting(), "told to end");
                self.ending = true;
                self.deadlines.set(Due::End, self.clock.now() + END_WITHIN);
            }
        }
    }

    /// A new configuration moves discovery and relay; a bad one leaves the old in force.
    fn read_again(&mut self) {
        let new = match crate::read(&self.path) {
            Ok(new) => new,
            Err(error) => return warn!("the configuration in force stays: {error}"),
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

    // Connections of every kind.

    /// Connects; `None` where that fails at once.
    pub fn connect(&mut self, addr: SocketAddr, kind: Kind, first: &[u8], within: Duration) -> Option<Id> {
        let now = self.clock.now();
        let connected = Connection::connect(addr, kind, first, now);
        let id = match connected {
            Ok(connection) => self.connections.insert(connection),
            Err(error) => {
                self.counts.connects_failed += 1;
                tracing::debug!(%addr, "connect: {error}");
                return None;
            }
        };
        if !self.register(id) {
            self.connections.remove(id);
            return None;
        }
        self.deadlines.set(Due::Connection(id), now + within);
        Some(id)
    }

    pub fn register(&mut self, id: Id) -> bool {
        let registry = self.poll.registry();
        let Some(connection) = self.connections.get_mut(id) else { return false };
        let Err(error) = connection.register(registry, id.token()) else { return true };
        // Or it would count as registered the next time.
        connection.deregister(registry);
        self.counts.registers_failed += 1;
        debug!(?id, "register: {error}");
        false
    }

    /// Closes a connection without a word to whoever it belonged to.
    pub fn close(&mut self, id: Id) -> Option<Connection> {
        let mut connection = self.connections.remove(id)?;
        connection.deregister(self.poll.registry());
        self.deadlines.clear(Due::Connection(id));
        self.deadlines.clear(Due::Register(id));
        match &connection.kind {
            Kind::Closing { .. } => self.peers -= 1,
            Kind::Peer(peer) => {
                self.peers -= 1;
                self.strangers -= usize::from(!peer.joined());
            }
            Kind::Probe { .. } => self.probing -= 1,
            _ => {}
        }
        for at in [&mut self.calls_at, &mut self.news_at, &mut self.news_next_at, &mut self.watch_at] {
            *at = at.filter(|at| *at != id);
        }
        Some(connection)
    }

    fn writable(&mut self, id: Id) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        match connection.flush() {
            Ok(()) if matches!(connection.kind, Kind::Closing { .. }) => connection.end_writing(),
            Ok(()) => {}
            Err(error) => self.broken(id, &error),
        }
    }

    /// A connection's transfer failed.
    fn broken(&mut self, id: Id, error: &io::Error) {
        self.counts.transfers_failed += 1;
        debug!(?id, "broken: {error}");
        match self.connections.get(id).map(|c| &c.kind) {
            // Nobody is left to answer.
            Some(Kind::Peer(_) | Kind::Closing { .. }) => drop(self.close(id)),
            _ => self.ended(id),
        }
    }

    pub fn readable(&mut self, id: Id) {
        let mut buffer = std::mem::take(&mut self.buffer);
        let mut reads = 0;
        while let Some(connection) = self.connections.get_mut(id) {
            if reads == READS_MOST {
                // Somebody who sends faster than we read must not keep the others waiting.
                self.unread.push(id);
                break;
            }
            reads += 1;
            match connection.read(&mut buffer) {
                Ok(None) => break,
                Ok(Some(0)) => {
                    self.ended(id);
                    break;
                }
                Err(error) => {
                    self.broken(id, &error);
                    break;
                }
                Ok(Some(n)) => self.bytes(id, &buffer[..n]),
            }
        }
        self.buffer = buffer;
    }

    fn bytes(&mut self, id: Id, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        match &mut connection.kind {
            Kind::Peer(_) => self.peer_bytes(id, bytes),
            Kind::Closing { .. } => self.discard(id, bytes.len()),
            Kind::News => self.news_bytes(id, bytes),
            Kind::Calls(_) => self.call_bytes(id, bytes),
            Kind::Asking(_) => self.discovery_bytes(id, bytes),
            Kind::Probe { .. } => self.probe_bytes(id, bytes),
        }
    }

    /// The other side closed or reset a connection, or it never came up.
    fn ended(&mut self, id: Id) {
        let Some(connection) = self.connections.get(id) else { return };
        match &connection.kind {
            Kind::Peer(_) => self.client_ended(id),
            // What is still to be written may be read; the deadline bounds it.
            Kind::Closing { .. } if !connection.all_written() => {}
            Kind::Closing { .. } => self.close_client(id),
            Kind::News => self.news_ended(id, "broken"),
            Kind::Calls(_) => self.call_lost("broken"),
            Kind::Asking(_) => self.discovery_ended(id),
            Kind::Probe { .. } => self.probe_ended(id),
        }
    }

    /// Looks at every socket without having been told to by the poll.
    fn look_at_all(&mut self) {
        self.accept(ACCEPT_LOOKS_UNTOLD, false);
        let all: Vec<Id> = self.connections.iter().map(|(id, _)| id).collect();
        all.into_iter().for_each(|id| self.look_at(id));
        self.deadlines.set(Due::Look, self.clock.now() + LOOK_EVERY);
    }

    /// Writes what is still to be written and reads what has arrived.
    pub fn look_at(&mut self, id: Id) {
        if self.connections.get(id).is_some_and(|c| !c.all_written()) {
            self.writable(id);
        }
        self.readable(id);
    }

    /// A connection's time is over, unless what has arrived gives it more or ends what it waits for.
    fn timed_out(&mut self, id: Id) {
        let now = self.clock.now();
        self.deadlines.set(Due::Connection(id), now);
        self.look_at(id);
        if !self.deadlines.pop_at(Due::Connection(id), now) {
            return;
        }
        let Some(connection) = self.connections.get(id) else { return };
        match &connection.kind {
            Kind::Peer(_) => self.refuse(id, Refusal::Silent),
            Kind::Closing { .. } => self.close_client(id),
            Kind::News => self.news_ended(id, "never came up"),
            Kind::Calls(_) => self.call_lost("silent"),
            Kind::Asking(_) => self.discovery_failed(id, "silent"),
            Kind::Probe { .. } => self.probe_timed_out(id),
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
