//! The threads that turn connections. Each holds some of them, sleeps until one has something to do, and
//! polls just that one. A thread that hands a call something to send may turn that connection itself: see `turning.rs`.

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
use whinhill_errors::{is_scarce, until_had};

use crate::connection::{Admitted, Connection, Handler, Line};
use crate::limits::Limits;
use crate::socket::Socket;
use crate::turning::{Turn, Turned};

const STACK: usize = 256 << 10;
/// How often clocks are looked at: the grain of every limit in time.
const TICK: Duration = Duration::from_millis(50);
/// How long a system short of descriptors or memory may keep a driver from its start.
const START_WITHIN: Duration = Duration::from_secs(5);
/// Sockets waiting to be taken on by a driver; further ones are refused.
const INBOX: usize = 4096;
const WAKE: Token = Token(usize::MAX);

/// Wakes the thread, and says which connection has something to do.
struct Bell {
    waker: mio::Waker,
    ready: Mutex<Vec<usize>>,
    rung: AtomicBool,
}

impl Bell {
    fn ring(&self, key: Option<usize>) {
        if let Some(key) = key {
            self.ready.lock().unwrap_or_else(PoisonError::into_inner).push(key);
        }
        if !self.rung.swap(true, Ordering::AcqRel) {
            // It fails only when the process is out of file descriptors; the tick then finds the work.
            let _ = self.waker.wake();
        }
    }

    fn take(&self, into: &mut Vec<usize>) {
        self.rung.store(false, Ordering::Release);
        into.append(&mut self.ready.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

/// One connection, as whoever turns it finds it.
struct Ring {
    bell: Arc<Bell>,
    key: usize,
    queued: AtomicBool,
    /// Held for one poll, which never blocks: sockets are non-blocking. Taken out once it has ended, since it keeps
    /// wakers that hold this.
    connection: Mutex<Option<Connection>>,
    /// It ended in another thread's hands; its driver takes it down.
    ended: AtomicBool,
}

impl Wake for Ring {
    fn wake(self: Arc<Self>) {
        if !self.queued.swap(true, Ordering::AcqRel) {
            if let Err(ring) = Turn::later(self) {
                ring.bell.ring(Some(ring.key));
            }
        }
    }
}

impl Ring {
    fn poll(self: &Arc<Self>, connection: &mut Connection) -> bool {
        self.queued.store(false, Ordering::Release);
        let waker = Waker::from(self.clone());
        connection.poll(&mut Context::from_waker(&waker))
    }
}

impl Turned for Ring {
    fn turn(self: Arc<Self>) {
        let polled = match self.connection.try_lock() {
            Ok(mut connection) => connection.as_mut().map(|connection| self.poll(connection)),
            // Its driver, or another caller, is at it: it may be past what we have added.
            Err(_) => None,
        };
        if polled == Some(false) {
            self.ended.store(true, Ordering::Release);
        }
        if polled != Some(true) {
            self.hand_back();
        }
    }

    fn hand_back(self: Arc<Self>) {
        self.bell.ring(Some(self.key));
    }
}

/// A socket that is to be taken on, and since when.
struct Waiting {
    what: Adopt,
    since: Instant,
}

enum Adopt {
    Accepted { socket: TcpStream, peer: SocketAddr, limits: Limits, handler: Handler, admitted: Admitted },
    Opened { socket: TcpStream, peer: SocketAddr, limits: Limits, line: Line, answer: Answer },
    Stop,
}

type Answer = Sender<Result<h2::client::SendRequest<bytes::Bytes>, h2::Error>>;

impl Adopt {
    /// Its socket, and how long its handshake may take; `None` where the driver is to stop.
    fn socket(&self) -> Option<(&TcpStream, Duration)> {
        match self {
            Adopt::Accepted { socket, limits, .. } | Adopt::Opened { socket, limits, .. } => {
                Some((socket, limits.handshake))
            }
            Adopt::Stop => None,
        }
    }
}

struct Held {
    ring: Arc<Ring>,
    fd: RawFd,
}

impl Held {
    /// Turns it. False once it has ended.
    fn turn(&self, ticked: Option<Instant>) -> bool {
        let mut connection = self.ring.connection.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(connection) = connection.as_mut().filter(|_| !self.ring.ended.load(Ordering::Acquire))
        else {
            return false;
        };
        let in_time = ticked.is_none_or(|now| connection.tick(now));
        in_time && !connection.may_drop() && self.ring.poll(connection)
    }

    /// Closes it.
    fn close(self) {
        let taken = self.ring.connection.lock().unwrap_or_else(PoisonError::into_inner).take();
        // Outside of the lock: what waits on its streams is woken by this, and may wake it in turn.
        drop(taken);
    }
}

/// The driver threads of a process. Dropping the last handle ends them and every connection they hold.
#[derive(Clone)]
pub struct Drivers(Arc<Inner>);

struct Inner {
    drivers: Vec<(Sender<Adopt>, Arc<Bell>)>,
    next: AtomicUsize,
}

impl Drop for Inner {
    fn drop(&mut self) {
        for (inbox, bell) in &self.drivers {
            let _ = inbox.try_send(Adopt::Stop);
            bell.ring(None);
        }
    }
}

impl Drivers {
    /// Starts `threads` of them, named after `name`.
    pub fn start(name: &str, threads: usize) -> io::Result<Self> {
        let mut drivers = Vec::new();
        for number in 0..threads.max(1) {
            let (poll, waker) = until_had(START_WITHIN, is_scarce, poll_with_waker)?;
            let bell = Arc::new(Bell { waker, ready: Mutex::default(), rung: AtomicBool::new(false) });
            let (inbox, taken) = bounded(INBOX);
            drivers.push((inbox, bell.clone()));
            let thread = thread::Builder::new().name(format!("{name}-h2-{number}")).stack_size(STACK);
            thread.spawn(move || {
                if let Err(error) = turn(poll, &bell, &taken) {
                    error!(%error, "a driver thread ended; its connections are lost");
                }
            })?;
        }
        Ok(Drivers(Arc::new(Inner { drivers, next: AtomicUsize::new(0) })))
    }

    fn adopt(&self, what: Adopt) -> io::Result<()> {
        let place = self.0.next.fetch_add(1, Ordering::Relaxed) % self.0.drivers.len();
        let (inbox, bell) = &self.0.drivers[place];
        inbox.try_send(what).map_err(|_| io::Error::other("too many connections wait to be taken on"))?;
        bell.ring(None);
        Ok(())
    }

    pub(crate) fn accepted(
        &self,
        socket: TcpStream,
        peer: SocketAddr,
        limits: Limits,
        handler: Handler,
        admitted: Admitted,
    ) -> io::Result<()> {
        self.adopt(Adopt::Accepted { socket, peer, limits, handler, admitted })
    }

    pub(crate) fn opened(
        &self,
        socket: TcpStream,
        peer: SocketAddr,
        limits: Limits,
        line: Line,
        answer: Answer,
    ) -> io::Result<()> {
        self.adopt(Adopt::Opened { socket, peer, limits, line, answer })
    }
}

/// Both at once: a poll whose waker could not be made takes no other.
fn poll_with_waker() -> io::Result<(Poll, mio::Waker)> {
    let poll = Poll::new()?;
    let waker = mio::Waker::new(poll.registry(), WAKE)?;
    Ok((poll, waker))
}

/// Makes a connection of a socket that is prepared.
fn take_on(bell: &Arc<Bell>, key: usize, fd: RawFd, what: Adopt) -> Option<Held> {
    let connection = match what {
        Adopt::Stop => return None,
        Adopt::Accepted { socket, peer, limits, handler, admitted } => {
            let reads = Arc::new(AtomicU64::new(0));
            let socket = Socket::new(Box::new(socket), reads.clone(), Arc::default());
            Connection::accepted(socket, peer, reads, limits, handler, admitted)
        }
        Adopt::Opened { socket, peer, limits, line, answer } => {
            let socket = Socket::new(Box::new(socket), line.reads.clone(), line.severed.clone());
            Connection::opened(socket, peer, limits, line, answer)
        }
    };
    let ring = Ring {
        bell: bell.clone(),
        key,
        queued: AtomicBool::new(true),
        connection: Mutex::new(Some(connection)),
        ended: AtomicBool::new(false),
    };
    Some(Held { ring: Arc::new(ring), fd })
}

fn prepare(poll: &Poll, socket: &TcpStream, key: usize) -> io::Result<RawFd> {
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    let fd = socket.as_raw_fd();
    let interest = Interest::READABLE | Interest::WRITABLE;
    poll.registry().register(&mut SourceFd(&fd), Token(key), interest)?;
    Ok(fd)
}

fn turn(mut poll: Poll, bell: &Arc<Bell>, inbox: &Receiver<Adopt>) -> io::Result<()> {
    let mut held: Vec<Option<Held>> = Vec::new();
    let mut free: Vec<usize> = Vec::new();
    let mut due: Vec<usize> = Vec::new();
    let mut waiting: Vec<Waiting> = Vec::new();
    let mut events = Events::with_capacity(1024);
    let mut next_tick = Instant::now() + TICK;
    loop {
        let left = next_tick.saturating_duration_since(Instant::now());
        match poll.poll(&mut events, Some(left)) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            other => other?,
        }
        due.clear();
        due.extend(events.iter().map(|event| event.token()).filter(|t| *t != WAKE).map(|t| t.0));
        bell.take(&mut due);
        let now = Instant::now();
        waiting.extend(inbox.try_iter().map(|what| Waiting { what, since: now }));
        for Waiting { what, since } in std::mem::take(&mut waiting) {
            let Some((socket, within)) = what.socket() else {
                held.into_iter().flatten().for_each(Held::close);
                return Ok(());
            };
            let key = free.pop().unwrap_or(held.len());
            held.resize_with(held.len().max(key + 1), || None);
            match prepare(&poll, socket, key) {
                Ok(fd) => held[key] = take_on(bell, key, fd, what),
                Err(error) => {
                    free.push(key);
                    if is_scarce(&error) && since.elapsed() < within {
                        // Looked at again with the next event or tick.
                        waiting.push(Waiting { what, since });
                    } else {
                        error!(%error, "a socket could not be taken on");
                    }
                    continue;
                }
            }
            due.push(key);
        }
        let ticked = now >= next_tick;
        if ticked {
            next_tick = now + TICK;
            due.extend((0..held.len()).filter(|key| held[*key].is_some()));
        }
        due.sort_unstable();
        due.dedup();
        for key in due.drain(..) {
            let Some(one) = held.get(key).and_then(Option::as_ref) else { continue };
            if !one.turn(ticked.then_some(now)) {
                // Deregister before the socket closes, so that a later one of the same number is not confused with it.
                let _ = poll.registry().deregister(&mut SourceFd(&one.fd));
                held[key].take().into_iter().for_each(Held::close);
                free.push(key);
            }
        }
    }
}
