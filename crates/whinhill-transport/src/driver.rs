//! The threads that poll connections. Each driver owns some of the connections, sleeps until one has something
//! to do, and polls only that one. A thread that hands data to a call may poll the connection itself: see
//! `polling.rs`.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Wake, Waker};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender};
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token};
use tracing::error;
use whinhill_errors::{is_resource_shortage, retry_while_temporary};

use crate::connection::{AfterPoll, Connection, Handler, ListenerSlot, SharedState};
use crate::limits::Limits;
use crate::polling::{PollScope, Pollable};
use crate::socket::Socket;

/// Stack size of a driver thread in bytes.
const DRIVER_STACK: usize = 256 << 10;
/// Interval at which connections check their time limits: the resolution of each of those limits.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// For how long the start of a driver is retried while the system is short of descriptors or memory.
const START_RETRY_TIMEOUT: Duration = Duration::from_secs(5);
/// Capacity of a driver's queue of new sockets; further ones are refused.
const INBOX_CAPACITY: usize = 4096;
/// Token of wake-up events; other tokens are keys of connections.
const WAKE_TOKEN: Token = Token(usize::MAX);

/// Bytes that a driver reads in a turn, divided among the connections that are ready. A byte may stand for a header field.
const BYTES_PER_TURN: usize = 256 << 10;
/// Bounds of the number of bytes that one connection is read in a turn; then it is another connection's turn.
const BYTES_PER_CONNECTION: std::ops::RangeInclusive<usize> = (1 << 10)..=(8 << 10);

/// Wakes a driver thread and records which connections are ready to be polled.
struct DriverWaker {
    waker: mio::Waker,
    ready: Mutex<Vec<usize>>,
    /// A wake-up of the thread is pending: further ones need not wake it again.
    notified: AtomicBool,
    /// Bytes that each connection may be read in this turn.
    bytes_per_connection: AtomicUsize,
}

impl DriverWaker {
    fn notify(&self, key: Option<usize>) {
        if let Some(key) = key {
            self.ready.lock().unwrap_or_else(PoisonError::into_inner).push(key);
        }
        if !self.notified.swap(true, Ordering::AcqRel) {
            // This fails only when the process is out of file descriptors; the next tick then finds the ready
            // connections.
            let _ = self.waker.wake();
        }
    }

    fn take_ready(&self, into: &mut Vec<usize>) {
        self.notified.store(false, Ordering::Release);
        into.append(&mut self.ready.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

/// One connection, shared by its driver and the threads whose calls wake it.
struct SharedConnection {
    driver: Arc<DriverWaker>,
    key: usize,
    /// A poll is already due, by the thread that used the connection or by the driver: further wake-ups add none.
    queued: AtomicBool,
    /// Locked for one poll, which never blocks since sockets are non-blocking. Taken out once the connection has
    /// ended, because it stores wakers that refer to this object.
    connection: Mutex<Option<Connection>>,
    /// The connection ended while another thread polled it; its driver removes it.
    ended: AtomicBool,
}

impl Wake for SharedConnection {
    fn wake(self: Arc<Self>) {
        if !self.queued.swap(true, Ordering::AcqRel) {
            if let Err(shared) = PollScope::defer(self) {
                shared.driver.notify(Some(shared.key));
            }
        }
    }
}

impl SharedConnection {
    /// Polls the connection; false once it has ended.
    fn poll(self: &Arc<Self>, connection: &mut Connection) -> bool {
        self.queued.store(false, Ordering::Release);
        let waker = Waker::from(self.clone());
        let max_read = self.driver.bytes_per_connection.load(Ordering::Relaxed);
        let after = connection.poll(max_read, &mut Context::from_waker(&waker));
        if after == AfterPoll::PollAgain && !self.queued.swap(true, Ordering::AcqRel) {
            self.driver.notify(Some(self.key));
        }
        after != AfterPoll::Drop
    }
}

impl Pollable for SharedConnection {
    fn poll_on_this_thread(self: Arc<Self>) {
        let polled = match self.connection.try_lock() {
            Ok(mut connection) => connection.as_mut().map(|connection| self.poll(connection)),
            // The driver or another caller is polling it, and may already have passed the point where our data
            // would be written.
            Err(_) => None,
        };
        if polled == Some(false) {
            self.ended.store(true, Ordering::Release);
        }
        if polled != Some(true) {
            self.schedule_on_driver();
        }
    }

    fn schedule_on_driver(self: Arc<Self>) {
        self.driver.notify(Some(self.key));
    }
}

/// A command that waits to be carried out, and since when.
struct PendingCommand {
    command: Command,
    since: Instant,
}

/// What a driver thread is told to do.
enum Command {
    Accepted {
        socket: TcpStream,
        peer: SocketAddr,
        limits: Limits,
        handler: Handler,
        slot: ListenerSlot,
    },
    Opened {
        socket: TcpStream,
        peer: SocketAddr,
        limits: Limits,
        shared_state: SharedState,
        handshake_result: HandshakeSender,
    },
    Stop,
}

/// Where the result of a client's handshake is sent.
type HandshakeSender = Sender<Result<h2::client::SendRequest<bytes::Bytes>, h2::Error>>;

impl Command {
    /// The new socket and its handshake timeout; `None` for `Stop`.
    fn socket(&self) -> Option<(&TcpStream, Duration)> {
        match self {
            Command::Accepted { socket, limits, .. } | Command::Opened { socket, limits, .. } => {
                Some((socket, limits.handshake))
            }
            Command::Stop => None,
        }
    }
}

/// A connection that a driver owns, with its registered descriptor.
struct OwnedConnection {
    shared: Arc<SharedConnection>,
    fd: RawFd,
}

impl OwnedConnection {
    /// Polls the connection, after its time checks where a tick is due. False once it has ended.
    fn poll(&self, ticked: Option<Instant>) -> bool {
        let mut connection = self.shared.connection.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(connection) = connection.as_mut().filter(|_| !self.shared.ended.load(Ordering::Acquire))
        else {
            return false;
        };
        let in_time = ticked.is_none_or(|now| connection.tick(now));
        in_time && !connection.can_drop() && self.shared.poll(connection)
    }

    fn set_peer_left(&self) {
        let mut connection = self.shared.connection.lock().unwrap_or_else(PoisonError::into_inner);
        connection.iter_mut().for_each(Connection::set_peer_left);
    }

    /// Drops the connection, which closes its socket.
    fn close(self) {
        let ended = self.shared.connection.lock().unwrap_or_else(PoisonError::into_inner).take();
        // Dropped after the lock is released: this wakes tasks that wait on the connection's streams, and they
        // may wake the connection in turn.
        drop(ended);
    }
}

/// Handle to the driver threads of a process. Dropping the last handle ends the threads and all their
/// connections.
#[derive(Clone)]
pub struct Drivers(Arc<Inner>);

struct Inner {
    drivers: Vec<(Sender<Command>, Arc<DriverWaker>)>,
    next: AtomicUsize,
}

impl Drop for Inner {
    fn drop(&mut self) {
        for (inbox, driver) in &self.drivers {
            let _ = inbox.try_send(Command::Stop);
            driver.notify(None);
        }
    }
}

impl Drivers {
    /// Starts `threads` driver threads (at least one), named `{name}-h2-{number}`.
    pub fn start(name: &str, threads: usize) -> io::Result<Self> {
        let mut drivers = Vec::new();
        for number in 0..threads.max(1) {
            let (poll, waker) =
                retry_while_temporary(START_RETRY_TIMEOUT, is_resource_shortage, poll_with_waker)?;
            let driver = Arc::new(DriverWaker {
                waker,
                ready: Mutex::default(),
                notified: AtomicBool::new(false),
                bytes_per_connection: AtomicUsize::new(*BYTES_PER_CONNECTION.end()),
            });
            let (inbox, commands) = bounded(INBOX_CAPACITY);
            drivers.push((inbox, driver.clone()));
            let thread = thread::Builder::new().name(format!("{name}-h2-{number}")).stack_size(DRIVER_STACK);
            thread.spawn(move || {
                if let Err(error) = run_driver(poll, &driver, &commands) {
                    error!(%error, "driver thread failed; its connections are lost");
                }
            })?;
        }
        Ok(Drivers(Arc::new(Inner { drivers, next: AtomicUsize::new(0) })))
    }

    fn send(&self, command: Command) -> io::Result<()> {
        let index = self.0.next.fetch_add(1, Ordering::Relaxed) % self.0.drivers.len();
        let (inbox, driver) = &self.0.drivers[index];
        inbox.try_send(command).map_err(|_| io::Error::other("too many connections wait for a driver"))?;
        driver.notify(None);
        Ok(())
    }

    pub(crate) fn add_accepted(
        &self,
        socket: TcpStream,
        peer: SocketAddr,
        limits: Limits,
        handler: Handler,
        slot: ListenerSlot,
    ) -> io::Result<()> {
        self.send(Command::Accepted { socket, peer, limits, handler, slot })
    }

    pub(crate) fn add_opened(
        &self,
        socket: TcpStream,
        peer: SocketAddr,
        limits: Limits,
        shared_state: SharedState,
        handshake_result: HandshakeSender,
    ) -> io::Result<()> {
        self.send(Command::Opened { socket, peer, limits, shared_state, handshake_result })
    }
}

/// Creates the poll and its waker together: a poll whose waker could not be created can't be used with another
/// one.
fn poll_with_waker() -> io::Result<(Poll, mio::Waker)> {
    let poll = Poll::new()?;
    let waker = mio::Waker::new(poll.registry(), WAKE_TOKEN)?;
    Ok((poll, waker))
}

/// Creates the connection for a socket that has been registered.
fn create_connection(
    driver: &Arc<DriverWaker>,
    key: usize,
    fd: RawFd,
    command: Command,
) -> Option<OwnedConnection> {
    let connection = match command {
        Command::Stop => return None,
        Command::Accepted { socket, peer, limits, handler, slot } => {
            let read_count = Arc::new(AtomicU64::new(0));
            let socket = Socket::new(Box::new(socket), read_count.clone(), Arc::default());
            Connection::accepted(socket, peer, read_count, limits, handler, slot)
        }
        Command::Opened { socket, peer, limits, shared_state, handshake_result } => {
            let socket =
                Socket::new(Box::new(socket), shared_state.read_count.clone(), shared_state.aborted.clone());
            Connection::opened(socket, peer, limits, shared_state, handshake_result)
        }
    };
    let shared = SharedConnection {
        driver: driver.clone(),
        key,
        queued: AtomicBool::new(true),
        connection: Mutex::new(Some(connection)),
        ended: AtomicBool::new(false),
    };
    Some(OwnedConnection { shared: Arc::new(shared), fd })
}

/// Makes the socket non-blocking and registers it with the poll.
fn prepare(poll: &Poll, socket: &TcpStream, key: usize) -> io::Result<RawFd> {
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    let fd = socket.as_raw_fd();
    let interest = Interest::READABLE | Interest::WRITABLE;
    poll.registry().register(&mut SourceFd(&fd), Token(key), interest)?;
    Ok(fd)
}

/// The main loop of a driver thread.
fn run_driver(mut poll: Poll, driver: &Arc<DriverWaker>, inbox: &Receiver<Command>) -> io::Result<()> {
    let mut connections: Vec<Option<OwnedConnection>> = Vec::new();
    let mut free_keys: Vec<usize> = Vec::new();
    let mut ready_keys: Vec<usize> = Vec::new();
    let mut pending: Vec<PendingCommand> = Vec::new();
    let mut events = Events::with_capacity(1024);
    let mut next_tick = Instant::now() + TICK_INTERVAL;
    loop {
        let remaining = next_tick.saturating_duration_since(Instant::now());
        match poll.poll(&mut events, Some(remaining)) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            other => other?,
        }
        ready_keys.clear();
        for event in events.iter().filter(|event| event.token() != WAKE_TOKEN) {
            let key = event.token().0;
            ready_keys.push(key);
            if event.is_read_closed() || event.is_error() {
                connections.get(key).iter().copied().flatten().for_each(OwnedConnection::set_peer_left);
            }
        }
        driver.take_ready(&mut ready_keys);
        let now = Instant::now();
        pending.extend(inbox.try_iter().map(|command| PendingCommand { command, since: now }));
        for PendingCommand { command, since } in std::mem::take(&mut pending) {
            let Some((socket, timeout)) = command.socket() else {
                connections.into_iter().flatten().for_each(OwnedConnection::close);
                return Ok(());
            };
            let key = free_keys.pop().unwrap_or(connections.len());
            connections.resize_with(connections.len().max(key + 1), || None);
            match prepare(&poll, socket, key) {
                Ok(fd) => connections[key] = create_connection(driver, key, fd, command),
                Err(error) => {
                    free_keys.push(key);
                    if is_resource_shortage(&error) && since.elapsed() < timeout {
                        // Retried after the next event or tick.
                        pending.push(PendingCommand { command, since });
                    } else {
                        error!(%error, "failed to register a socket");
                    }
                    continue;
                }
            }
            ready_keys.push(key);
        }
        let ticked = now >= next_tick;
        if ticked {
            next_tick = now + TICK_INTERVAL;
            ready_keys.extend((0..connections.len()).filter(|key| connections[*key].is_some()));
        }
        ready_keys.sort_unstable();
        ready_keys.dedup();
        let bytes = BYTES_PER_TURN / ready_keys.len().max(1);
        let bytes = bytes.clamp(*BYTES_PER_CONNECTION.start(), *BYTES_PER_CONNECTION.end());
        driver.bytes_per_connection.store(bytes, Ordering::Relaxed);
        for key in ready_keys.drain(..) {
            let Some(one) = connections.get(key).and_then(Option::as_ref) else { continue };
            if !one.poll(ticked.then_some(now)) {
                // Deregister before the socket closes, so that a later socket with the same descriptor is not
                // confused with it.
                let _ = poll.registry().deregister(&mut SourceFd(&one.fd));
                connections[key].take().into_iter().for_each(OwnedConnection::close);
                free_keys.push(key);
            }
        }
    }
}
