//! One connection: handshake, streams taken in, keep-alive, idle end. Polled by its driver only.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use crossbeam_channel::Sender;
use h2::{client, server, Ping, PingPong};
use tracing::{debug, warn};

use crate::call::ServerCall;
use crate::limits::Limits;
use crate::socket::Socket;

/// Takes each call that comes in. It runs on a driver thread and must not block.
pub type Handler = Arc<dyn Fn(ServerCall) + Send + Sync>;

type Request = client::SendRequest<Bytes>;

enum Role {
    Accepting(server::Handshake<Socket, Bytes>, Handler),
    Serving(server::Connection<Socket, Bytes>, Handler),
    Opening(Pin<Box<dyn Future<Output = OpenedPair> + Send>>, Sender<Result<Request, h2::Error>>),
    Calling(client::Connection<Socket, Bytes>),
}

type OpenedPair = Result<(Request, client::Connection<Socket, Bytes>), h2::Error>;

/// What the handle of a client's connection shares with the connection.
#[derive(Clone, Debug)]
pub struct Line {
    /// Calls under way.
    pub streams: Arc<AtomicUsize>,
    /// Calls that were begun, of which many are over before anybody looks.
    begun: Arc<AtomicU64>,
    /// Reads that brought something, and when the last did, in microseconds after the process's first look.
    pub reads: Arc<AtomicU64>,
    pub read_at: Arc<AtomicU64>,
    /// It is to be broken off.
    pub severed: Arc<AtomicBool>,
    /// A driver holds its socket.
    taken_on: Arc<AtomicBool>,
}

impl Line {
    /// A connection on which nothing was read yet is silent since now: neither since the process's start, which
    /// would sever a fresh connection, nor since somebody's first look at the clock.
    pub fn new(reads: Arc<AtomicU64>) -> Self {
        Line {
            streams: Arc::default(),
            begun: Arc::default(),
            reads,
            read_at: Arc::new(AtomicU64::new(micros_now())),
            severed: Arc::default(),
            taken_on: Arc::default(),
        }
    }

    /// Whether a driver holds its socket. Until then nothing can have been sent, nor read.
    pub fn is_taken_on(&self) -> bool {
        self.taken_on.load(Ordering::Acquire)
    }

    /// Counts a call from now until what is returned is dropped.
    pub fn begin_call(&self) -> Counted {
        self.begun.fetch_add(1, Ordering::Relaxed);
        Counted::one_more(&self.streams)
    }
}

/// The process's own clock, in microseconds.
pub fn micros_now() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_micros() as u64
}

/// Counts something that is alive for as long as this is.
pub struct Counted(Arc<AtomicUsize>);

impl Counted {
    /// One more, unless `most` are there already.
    pub fn take(count: &Arc<AtomicUsize>, most: usize) -> Option<Self> {
        let more = |now: usize| (now < most).then_some(now + 1);
        count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more).ok()?;
        Some(Counted(count.clone()))
    }

    fn one_more(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Counted(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// How far a listener is on its way to its end.
#[derive(Debug, Default)]
pub struct Ending {
    /// It takes nobody in any more.
    pub stop: AtomicBool,
    /// And ends the connections that stand, in good order.
    pub draining: AtomicBool,
}

/// A connection that a listener has taken in: it counts there, and learns when that listener drains.
pub struct Admitted {
    _counted: Counted,
    ending: Arc<Ending>,
}

impl Admitted {
    pub fn new(counted: Counted, ending: Arc<Ending>) -> Self {
        Admitted { _counted: counted, ending }
    }
}

pub struct Connection {
    role: Role,
    peer: SocketAddr,
    limits: Limits,
    line: Line,
    seen: u64,
    born: Instant,
    heard: Instant,
    /// When the last stream was there.
    busy: Instant,
    /// The calls that had been begun by then.
    begun_seen: u64,
    pings: Option<PingPong>,
    pinged: Option<Instant>,
    closing: bool,
    admitted: Option<Admitted>,
}

impl Connection {
    pub fn accepted(
        socket: Socket,
        peer: SocketAddr,
        reads: Arc<AtomicU64>,
        limits: Limits,
        handler: Handler,
        admitted: Admitted,
    ) -> Self {
        let mut builder = server::Builder::new();
        builder
            .max_concurrent_streams(limits.streams_most)
            .max_header_list_size(limits.headers_most)
            .initial_window_size(limits.window)
            .initial_connection_window_size(limits.window.saturating_mul(16))
            .max_concurrent_reset_streams(limits.streams_most as usize)
            .max_send_buffer_size(limits.message_most + (64 << 10));
        let role = Role::Accepting(builder.handshake(socket), handler);
        Connection::new(role, peer, limits, Line::new(reads), Some(admitted))
    }

    pub fn opened(
        socket: Socket,
        peer: SocketAddr,
        limits: Limits,
        line: Line,
        answer: Sender<Result<Request, h2::Error>>,
    ) -> Self {
        let mut builder = client::Builder::new();
        builder
            .enable_push(false)
            .max_header_list_size(limits.headers_most)
            .initial_window_size(limits.window)
            .initial_connection_window_size(limits.window.saturating_mul(16))
            .max_send_buffer_size(limits.message_most + (64 << 10));
        line.taken_on.store(true, Ordering::Release);
        let opening = async move { builder.handshake(socket).await };
        Connection::new(Role::Opening(Box::pin(opening), answer), peer, limits, line, None)
    }

    fn new(role: Role, peer: SocketAddr, limits: Limits, line: Line, admitted: Option<Admitted>) -> Self {
        let now = Instant::now();
        Connection {
            role,
            peer,
            limits,
            line,
            seen: 0,
            born: now,
            heard: now,
            busy: now,
            begun_seen: 0,
            pings: None,
            pinged: None,
            closing: false,
            admitted,
        }
    }

    /// Does all that can be done now. False once the connection has ended.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> bool {
        let reads = self.line.reads.load(Ordering::Relaxed);
        loop {
            match &mut self.role {
                Role::Accepting(handshake, handler) => match Pin::new(handshake).poll(cx) {
                    Poll::Pending => break,
                    Poll::Ready(Ok(mut connection)) => {
                        self.pings = connection.ping_pong();
                        self.role = Role::Serving(connection, handler.clone());
                    }
                    Poll::Ready(Err(error)) => return self.ended(&error.to_string()),
                },
                Role::Serving(connection, handler) => match connection.poll_accept(cx) {
                    Poll::Pending => break,
                    Poll::Ready(Some(Ok((request, respond)))) => {
                        let (most, counted) = (self.limits.message_most, self.line.begin_call());
                        handler(ServerCall::new(request, respond, self.peer, most, counted));
                    }
                    Poll::Ready(Some(Err(error))) => return self.ended(&error.to_string()),
                    Poll::Ready(None) => return self.ended("closed"),
                },
                Role::Opening(opening, answer) => match opening.as_mut().poll(cx) {
                    Poll::Pending => break,
                    Poll::Ready(Ok((request, mut connection))) => {
                        self.pings = connection.ping_pong();
                        // Whoever opened it may have stopped waiting; the connection then ends by itself.
                        let _ = answer.try_send(Ok(request));
                        self.role = Role::Calling(connection);
                    }
                    Poll::Ready(Err(error)) => {
                        let text = error.to_string();
                        let _ = answer.try_send(Err(error));
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
        if self.pinged.is_some() {
            if let Some(Poll::Ready(Ok(_))) = self.pings.as_mut().map(|pings| pings.poll_pong(cx)) {
                self.pinged = None;
            }
        }
        if reads != self.seen || self.line.reads.load(Ordering::Relaxed) != self.seen {
            self.seen = self.line.reads.load(Ordering::Relaxed);
            self.heard = Instant::now();
            self.line.read_at.store(micros_now(), Ordering::Relaxed);
        }
        true
    }

    fn ended(&self, why: &str) -> bool {
        // A peer that goes away in good order is no event; rubbish, a limit passed or a reset is one.
        if why == "closed" || self.closing {
            debug!(peer = %self.peer, why, "connection ended");
        } else {
            warn!(peer = %self.peer, why, "connection closed on an error");
        }
        false
    }

    /// Looks at the clocks. False if the connection must end.
    pub fn tick(&mut self, now: Instant) -> bool {
        let streams = self.line.streams.load(Ordering::Relaxed);
        if self.line.severed.load(Ordering::Relaxed) {
            warn!(peer = %self.peer, streams, "connection broken off: nothing was heard on it");
            return false;
        }
        let begun = self.line.begun.load(Ordering::Relaxed);
        if streams > 0 || begun != self.begun_seen {
            (self.busy, self.begun_seen) = (now, begun);
        }
        if matches!(self.role, Role::Accepting(..) | Role::Opening(..)) {
            if now.duration_since(self.born) > self.limits.handshake {
                warn!(peer = %self.peer, within = ?self.limits.handshake, "connection closed: no handshake");
                return false;
            }
            // A server that speaks only once spoken to is judged by its first settings below.
            return true;
        }
        if self.seen == 0 && now.duration_since(self.born) > self.limits.handshake {
            warn!(peer = %self.peer, within = ?self.limits.handshake, "connection closed: the peer says nothing");
            return false;
        }
        if let Some(pinged) = self.pinged {
            if self.heard > pinged {
                self.pinged = None;
            } else if now.duration_since(pinged) > self.limits.keep_alive_answer {
                let within = self.limits.keep_alive_answer;
                warn!(peer = %self.peer, ?within, streams, "connection closed: no answer to a ping");
                return false;
            }
        } else if now.duration_since(self.heard) > self.limits.keep_alive {
            let ping = self.pings.as_mut().map(|pings| pings.send_ping(Ping::opaque()));
            self.pinged = matches!(ping, Some(Ok(()))).then_some(now);
        }
        if streams == 0 && now.duration_since(self.busy) > self.limits.idle {
            debug!(peer = %self.peer, "idle connection closed");
            self.close();
        }
        if self.admitted.as_ref().is_some_and(|admitted| admitted.ending.draining.load(Ordering::Relaxed)) {
            self.close();
        }
        true
    }

    /// Ends it in good order: streams under way may finish.
    pub fn close(&mut self) {
        if self.closing {
            return;
        }
        self.closing = true;
        match &mut self.role {
            Role::Serving(connection, _) => connection.graceful_shutdown(),
            // It ends by itself once every handle is dropped; an idle one has none but the opener's.
            Role::Calling(_) => {}
            Role::Accepting(..) | Role::Opening(..) => {}
        }
    }

    /// A client's connection that is idle ends at once: it has no stream to lose.
    pub fn may_drop(&self) -> bool {
        self.closing && !matches!(self.role, Role::Serving(..))
    }
}
