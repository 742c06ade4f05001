//! One HTTP/2 connection: handshake, incoming streams, keep-alive, idle timeout. Polled by its driver, or by a
//! thread that has just used it (`polling.rs`).

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use crossbeam_channel::Sender;
use h2::{client, server, Ping, PingPong, Reason, RecvStream};
use http::{HeaderName, HeaderValue, Request};
use tracing::{debug, warn};

use crate::budget::{ConnectionShare, MemoryBudget, Reservation};
use crate::call::ServerCall;
use crate::limits::Limits;
use crate::socket::{ReadShare, Socket};

/// A connection's flow-control window is this many times a stream's.
const CONNECTION_WINDOW_FACTOR: u32 = 16;
/// Bytes that a header field takes in memory besides its name and value.
const HEADER_FIELD_BYTES: usize = 200;
/// A head is held up to three times: as received, as forwarded, and as sent in a try.
const HEAD_COPIES: usize = 3;

/// Receives each incoming call. It runs on the thread that polls the connection and must not block.
pub type Handler = Arc<dyn Fn(ServerCall) + Send + Sync>;

type RequestSender = client::SendRequest<Bytes>;

/// The stage of a connection, at the server's end (`Accepting`, `Serving`) or the client's (`Opening`,
/// `Calling`).
enum Role {
    Accepting(server::Handshake<Socket, Bytes>, Handler),
    Serving(server::Connection<Socket, Bytes>, Handler),
    Opening(Pin<Box<dyn Future<Output = ClientHandshake> + Send>>, Sender<Result<RequestSender, h2::Error>>),
    Calling(client::Connection<Socket, Bytes>),
}

type ClientHandshake = Result<(RequestSender, client::Connection<Socket, Bytes>), h2::Error>;

/// State that a client's handle shares with its connection.
#[derive(Clone, Debug)]
pub struct SharedState {
    /// Calls in flight.
    pub streams: Arc<AtomicUsize>,
    /// Total of calls begun. Many of them begin and end between two ticks, so that `streams` never shows them.
    calls_begun: Arc<AtomicU64>,
    /// Reads that returned data.
    pub read_count: Arc<AtomicU64>,
    /// When the last of these reads took place, on the clock of [`micros_now`].
    pub last_read_at: Arc<AtomicU64>,
    /// The connection is to be aborted.
    pub aborted: Arc<AtomicBool>,
    /// A driver has registered the socket.
    owned_by_driver: Arc<AtomicBool>,
}

impl SharedState {
    /// Until something is read, silence counts from the creation of the connection: not from the start of the
    /// process, which would have a fresh connection aborted as silent, nor from the first use of [`micros_now`].
    pub fn new(read_count: Arc<AtomicU64>) -> Self {
        SharedState {
            streams: Arc::default(),
            calls_begun: Arc::default(),
            read_count,
            last_read_at: Arc::new(AtomicU64::new(micros_now())),
            aborted: Arc::default(),
            owned_by_driver: Arc::default(),
        }
    }

    /// Whether a driver has registered the socket. Until then nothing can have been sent or read.
    pub fn is_owned_by_driver(&self) -> bool {
        self.owned_by_driver.load(Ordering::Acquire)
    }

    /// Counts a call as in flight until the returned guard is dropped.
    pub fn begin_call(&self) -> CountGuard {
        self.calls_begun.fetch_add(1, Ordering::Relaxed);
        CountGuard::new(&self.streams)
    }
}

/// Microseconds since the first call of this function in the process (monotonic).
pub fn micros_now() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_micros() as u64
}

/// Increases a counter for as long as it lives.
pub struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    /// Increases the counter, unless it has reached `max`.
    pub fn try_new(count: &Arc<AtomicUsize>, max: usize) -> Option<Self> {
        let increment = |now: usize| (now < max).then_some(now + 1);
        count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment).ok()?;
        Some(CountGuard(count.clone()))
    }

    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        CountGuard(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The state of a listener's shutdown, shared with its connections.
#[derive(Debug, Default)]
pub struct ListenerShutdown {
    /// No further connections are accepted.
    pub stop: AtomicBool,
    /// Existing connections are shut down gracefully.
    pub draining: AtomicBool,
}

/// An accepted connection's place in its listener: counted there until dropped, and notified when the listener
/// drains.
pub struct ListenerSlot {
    _count_guard: CountGuard,
    shutdown: Arc<ListenerShutdown>,
    share: Arc<ConnectionShare>,
}

impl ListenerSlot {
    /// Takes a place, counted by `count_guard`.
    pub fn new(count_guard: CountGuard, shutdown: Arc<ListenerShutdown>, budget: &Arc<MemoryBudget>) -> Self {
        ListenerSlot { _count_guard: count_guard, shutdown, share: budget.share() }
    }
}

/// What an incoming call holds until it is dropped: it counts as in flight, and takes memory of its connection's share.
pub struct CallSlot {
    _count_guard: CountGuard,
    /// Memory for the call and its head.
    _reservation: Reservation,
}

/// An incoming call's slot, and the memory that parts of its messages take.
pub struct CallGuard {
    pub slot: CallSlot,
    pub message_buffer: Reservation,
}

impl CallGuard {
    /// `None` if the connection already holds its share of the memory.
    fn try_new(
        request: &Request<RecvStream>,
        share: &Arc<ConnectionShare>,
        limits: &Limits,
        shared_state: &SharedState,
    ) -> Option<Self> {
        let field = |(name, value): (&HeaderName, &HeaderValue)| {
            HEADER_FIELD_BYTES + name.as_str().len() + value.len()
        };
        let head: usize = request.headers().iter().map(field).sum();
        let reservation = share.reserve_call(limits.call_memory + HEAD_COPIES * head)?;
        let message_buffer = share.message_buffer();
        let slot = CallSlot { _count_guard: shared_state.begin_call(), _reservation: reservation };
        Some(CallGuard { slot, message_buffer })
    }
}

/// What follows a poll of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterPoll {
    /// It is polled again once something happens on it.
    Wait,
    /// It has more to read than its share of a turn, and is polled again after the others.
    PollAgain,
    /// It has ended.
    Drop,
}

/// An HTTP/2 connection at either end, with its keep-alive and idle timers.
pub struct Connection {
    role: Role,
    read_share: Arc<ReadShare>,
    peer: SocketAddr,
    limits: Limits,
    shared_state: SharedState,
    /// Value of `SharedState::read_count` at the end of the last poll.
    seen_reads: u64,
    created_at: Instant,
    last_read: Instant,
    /// The last tick at which a stream was open or a call had begun since the tick before.
    last_busy: Instant,
    /// `SharedState::calls_begun` at that tick.
    seen_calls_begun: u64,
    ping_pong: Option<PingPong>,
    /// When the ping was sent that is not answered yet.
    ping_sent_at: Option<Instant>,
    closing: bool,
    /// The peer has closed its side, perhaps behind data that is not read yet.
    peer_left: bool,
    /// A call was refused for want of memory, and that was logged.
    has_refused_calls: bool,
    slot: Option<ListenerSlot>,
}

impl Connection {
    /// The server's end, on an accepted socket.
    pub fn accepted(
        socket: Socket,
        peer: SocketAddr,
        read_count: Arc<AtomicU64>,
        limits: Limits,
        handler: Handler,
        slot: ListenerSlot,
    ) -> Self {
        let mut builder = server::Builder::new();
        builder
            .max_concurrent_streams(limits.max_streams)
            .max_header_list_size(limits.max_headers)
            .initial_window_size(limits.window)
            .initial_connection_window_size(limits.window.saturating_mul(CONNECTION_WINDOW_FACTOR))
            .max_concurrent_reset_streams(limits.max_streams as usize)
            .max_send_buffer_size(limits.window as usize);
        let read_share = socket.read_share();
        let role = Role::Accepting(builder.handshake(socket), handler);
        Connection::new(role, read_share, peer, limits, SharedState::new(read_count), Some(slot))
    }

    /// The client's end, on a connected socket. `result` gets the result of the handshake.
    pub fn opened(
        socket: Socket,
        peer: SocketAddr,
        limits: Limits,
        shared_state: SharedState,
        result: Sender<Result<RequestSender, h2::Error>>,
    ) -> Self {
        let mut builder = client::Builder::new();
        builder
            .enable_push(false)
            .max_header_list_size(limits.max_headers)
            .initial_window_size(limits.window)
            .initial_connection_window_size(limits.window.saturating_mul(CONNECTION_WINDOW_FACTOR))
            .max_send_buffer_size(limits.window as usize);
        shared_state.owned_by_driver.store(true, Ordering::Release);
        let read_share = socket.read_share();
        let opening = async move { builder.handshake(socket).await };
        let role = Role::Opening(Box::pin(opening), result);
        Connection::new(role, read_share, peer, limits, shared_state, None)
    }

    fn new(
        role: Role,
        read_share: Arc<ReadShare>,
        peer: SocketAddr,
        limits: Limits,
        shared_state: SharedState,
        slot: Option<ListenerSlot>,
    ) -> Self {
        let now = Instant::now();
        Connection {
            role,
            read_share,
            peer,
            limits,
            shared_state,
            seen_reads: 0,
            created_at: now,
            last_read: now,
            last_busy: now,
            seen_calls_begun: 0,
            ping_pong: None,
            ping_sent_at: None,
            closing: false,
            peer_left: false,
            has_refused_calls: false,
            slot,
        }
    }

    /// The peer has closed its side. A server reads no further then: nobody waits for the answers to what was sent before,
    /// and a client that comes back may send it again.
    pub fn set_peer_left(&mut self) {
        self.peer_left = true;
    }

    /// Makes all progress that is possible without blocking and by reading up to `max_read` bytes.
    pub fn poll(&mut self, max_read: usize, cx: &mut Context<'_>) -> AfterPoll {
        if self.peer_left && matches!(self.role, Role::Accepting(..) | Role::Serving(..)) {
            return self.ended("closed");
        }
        self.read_share.renew(max_read);
        let read_count = self.shared_state.read_count.load(Ordering::Relaxed);
        loop {
            match &mut self.role {
                Role::Accepting(handshake, handler) => match Pin::new(handshake).poll(cx) {
                    Poll::Pending => break,
                    Poll::Ready(Ok(mut connection)) => {
                        self.ping_pong = connection.ping_pong();
                        self.role = Role::Serving(connection, handler.clone());
                    }
                    Poll::Ready(Err(error)) => return self.ended(&error.to_string()),
                },
                Role::Serving(connection, handler) => match connection.poll_accept(cx) {
                    Poll::Pending => break,
                    Poll::Ready(Some(Ok((request, mut respond)))) => {
                        let share = self.slot.as_ref().map(|slot| &slot.share);
                        let guard = share.and_then(|share| {
                            CallGuard::try_new(&request, share, &self.limits, &self.shared_state)
                        });
                        match guard {
                            Some(guard) => {
                                let max = self.limits.max_message;
                                handler(ServerCall::new(request, respond, self.peer, max, guard));
                            }
                            None => {
                                if !std::mem::replace(&mut self.has_refused_calls, true) {
                                    warn!(peer = %self.peer, "calls refused: the connection holds its share of the memory");
                                }
                                respond.send_reset(Reason::REFUSED_STREAM);
                            }
                        }
                    }
                    Poll::Ready(Some(Err(error))) => return self.ended(&error.to_string()),
                    Poll::Ready(None) => return self.ended("closed"),
                },
                Role::Opening(opening, result) => match opening.as_mut().poll(cx) {
                    Poll::Pending => break,
                    Poll::Ready(Ok((request, mut connection))) => {
                        self.ping_pong = connection.ping_pong();
                        // The opener may have stopped waiting; the connection then ends by itself.
                        let _ = result.try_send(Ok(request));
                        self.role = Role::Calling(connection);
                    }
                    Poll::Ready(Err(error)) => {
                        let text = error.to_string();
                        let _ = result.try_send(Err(error));
                        return self.ended(&text);
                    }
                },
                Role::Calling(connection) => match Pin::new(connection).poll(cx) {
                    Poll::Pending => break,
                    Poll::Ready(Ok(())) => return self.ended("closed"),
                    Poll::Ready(Err(error)) => return self.ended(&error.to_string()),
                },
            }
        }
        if self.ping_sent_at.is_some() {
            if let Some(Poll::Ready(Ok(_))) = self.ping_pong.as_mut().map(|ping_pong| ping_pong.poll_pong(cx))
            {
                self.ping_sent_at = None;
            }
        }
        if read_count != self.seen_reads
            || self.shared_state.read_count.load(Ordering::Relaxed) != self.seen_reads
        {
            self.seen_reads = self.shared_state.read_count.load(Ordering::Relaxed);
            self.last_read = Instant::now();
            self.shared_state.last_read_at.store(micros_now(), Ordering::Relaxed);
        }
        if self.read_share.is_exhausted() {
            AfterPoll::PollAgain
        } else {
            AfterPoll::Wait
        }
    }

    /// Logs why the connection ended; returns what `poll` returns then.
    fn ended(&self, why: &str) -> AfterPoll {
        // A graceful close is only a debug event; a protocol error, an exceeded limit or a reset is a warning.
        if why == "closed" || self.closing {
            debug!(peer = %self.peer, why, "connection ended");
        } else {
            warn!(peer = %self.peer, why, "connection closed on an error");
        }
        AfterPoll::Drop
    }

    /// Checks the time limits. False if the connection must end.
    pub fn tick(&mut self, now: Instant) -> bool {
        let streams = self.shared_state.streams.load(Ordering::Relaxed);
        if self.shared_state.aborted.load(Ordering::Relaxed) {
            warn!(peer = %self.peer, streams, "connection aborted: nothing was received on it");
            return false;
        }
        let calls_begun = self.shared_state.calls_begun.load(Ordering::Relaxed);
        if streams > 0 || calls_begun != self.seen_calls_begun {
            (self.last_busy, self.seen_calls_begun) = (now, calls_begun);
        }
        if matches!(self.role, Role::Accepting(..) | Role::Opening(..)) {
            if now.duration_since(self.created_at) > self.limits.handshake {
                warn!(peer = %self.peer, within = ?self.limits.handshake, "connection closed: the handshake timed out");
                return false;
            }
            // A server that sends nothing before the client has written passes here; below, it is checked that
            // it sends its settings in time.
            return true;
        }
        if self.seen_reads == 0 && now.duration_since(self.created_at) > self.limits.handshake {
            warn!(peer = %self.peer, within = ?self.limits.handshake, "connection closed: the peer sent nothing");
            return false;
        }
        if let Some(ping_sent_at) = self.ping_sent_at {
            if self.last_read > ping_sent_at {
                self.ping_sent_at = None;
            } else if now.duration_since(ping_sent_at) > self.limits.keep_alive_timeout {
                let within = self.limits.keep_alive_timeout;
                warn!(peer = %self.peer, ?within, streams, "connection closed: a ping was not answered");
                return false;
            }
        } else if now.duration_since(self.last_read) > self.limits.keep_alive {
            let ping = self.ping_pong.as_mut().map(|ping_pong| ping_pong.send_ping(Ping::opaque()));
            self.ping_sent_at = matches!(ping, Some(Ok(()))).then_some(now);
        }
        if streams == 0 && now.duration_since(self.last_busy) > self.limits.idle {
            debug!(peer = %self.peer, "idle connection closed");
            self.close();
        }
        if self.slot.as_ref().is_some_and(|slot| slot.shutdown.draining.load(Ordering::Relaxed)) {
            self.close();
        }
        true
    }

    /// Shuts down gracefully: streams that are open may finish.
    pub fn close(&mut self) {
        if self.closing {
            return;
        }
        self.closing = true;
        match &mut self.role {
            Role::Serving(connection, _) => connection.graceful_shutdown(),
            // A client's connection ends by itself once every handle is dropped; an idle one has no handles but
            // the opener's.
            Role::Calling(_) => {}
            Role::Accepting(..) | Role::Opening(..) => {}
        }
    }

    /// Whether a closing connection may be dropped at once: a client's idle connection has no stream to lose.
    pub fn can_drop(&self) -> bool {
        self.closing && !matches!(self.role, Role::Serving(..))
    }
}
