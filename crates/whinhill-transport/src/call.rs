//! The calls of a client and a server as ordinary threads use them. Every wait blocks and has a time limit.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use crossbeam_channel::bounded;
use h2::client::{ResponseFuture, SendRequest};
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::uri::Authority;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use tracing::{debug, warn};
use whinhill_errors::{
    is_connection_accept_error, is_local_connect_error, is_resource_shortage, retry_while_temporary,
};

use crate::blocking::{block_on, poll_until};
use crate::budget::{MemoryBudget, Reservation};
use crate::connection::{
    micros_now, CallGuard, CallSlot, CountGuard, Handler, ListenerShutdown, ListenerSlot, SharedState,
};
use crate::error::{CallError, Code, NeverRan};
use crate::limits::{Limits, CALLS_FRACTION, MESSAGES_FRACTION};
use crate::polling::PollScope;
use crate::reconnect::Reached;
use crate::Drivers;

/// The headers that end a call.
pub type Trailers = HeaderMap;

/// Length of the prefix of a gRPC message: a compression flag and four bytes of size.
pub(crate) const PREFIX_LEN: usize = 5;
/// How often a draining listener checks whether its connections have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// For how long starting or stopping a listener is retried while the system is short of descriptors or memory.
const LISTEN_RETRY_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after an accept that failed for a reason that passes by itself.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Stack size of a listener's accept thread in bytes.
const ACCEPT_STACK: usize = 64 << 10;
/// Minimum time between two log lines about refused connections.
const REFUSED_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// For how long a connect is retried that failed for local reasons. A small part of any deadline, since the
/// caller may have another server to try.
const CONNECT_RETRY_TIMEOUT: Duration = Duration::from_millis(100);

/// Reads the messages of one direction of a call.
pub struct MessageReader {
    body: RecvStream,
    buffer: BytesMut,
    max_message: usize,
    /// Memory for the buffer, at the server's end.
    reservation: Option<Reservation>,
}

/// A buffer grows by doubling.
const BUFFER_GROWTH_FACTOR: usize = 2;

/// Reserves memory for a buffer of parts of messages. Fails if the connection already holds its share.
fn reserve_buffer(reservation: &mut Reservation, size: usize) -> Result<(), CallError> {
    if reservation.resize(size * BUFFER_GROWTH_FACTOR) {
        Ok(())
    } else {
        Err(CallError::NoMemory { size })
    }
}

impl MessageReader {
    /// Waits for the next message; `None` at the end of the direction.
    pub fn recv(&mut self, timeout: Duration) -> Result<Option<Bytes>, CallError> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(message) = self.next_buffered()? {
                if let Some(reservation) = &mut self.reservation {
                    reservation.resize(self.buffer.len() * BUFFER_GROWTH_FACTOR);
                }
                return Ok(Some(message));
            }
            let chunk =
                poll_until(deadline, |cx| self.body.poll_data(cx)).ok_or(CallError::Deadline(timeout))?;
            match chunk {
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(CallError::Malformed("the stream ends within a message")),
                Some(Err(error)) => return Err(CallError::from_h2(error, true)),
                Some(Ok(chunk)) => {
                    if let Some(reservation) = &mut self.reservation {
                        reserve_buffer(reservation, self.buffer.len() + chunk.len())?;
                    }
                    self.buffer.extend_from_slice(&chunk);
                    // The buffer is bounded by the limit on a message, so the window may be reopened at once.
                    let released = self.body.flow_control().release_capacity(chunk.len());
                    released.map_err(|error| CallError::from_h2(error, true))?;
                }
            }
        }
    }

    /// The next message, if it is in the buffer as a whole.
    fn next_buffered(&mut self) -> Result<Option<Bytes>, CallError> {
        if self.buffer.len() < PREFIX_LEN {
            return Ok(None);
        }
        if self.buffer[0] != 0 {
            return Err(CallError::Malformed("a compressed message, though no encoding was agreed"));
        }
        let size =
            u32::from_be_bytes([self.buffer[1], self.buffer[2], self.buffer[3], self.buffer[4]]) as usize;
        if size > self.max_message {
            return Err(CallError::TooLarge { size, max: self.max_message });
        }
        if self.buffer.len() < PREFIX_LEN + size {
            return Ok(None);
        }
        self.buffer.advance(PREFIX_LEN);
        Ok(Some(self.buffer.split_to(size).freeze()))
    }

    /// The trailers that end the call; reads and drops any messages that are left.
    pub fn trailers(&mut self, timeout: Duration) -> Result<Trailers, CallError> {
        let deadline = Instant::now() + timeout;
        while self.recv(deadline.saturating_duration_since(Instant::now()))?.is_some() {}
        let trailers =
            poll_until(deadline, |cx| self.body.poll_trailers(cx)).ok_or(CallError::Deadline(timeout))?;
        Ok(trailers.map_err(|error| CallError::from_h2(error, true))?.unwrap_or_default())
    }
}

/// Writes the messages of one direction of a call, waiting for the peer's flow-control window.
pub struct MessageWriter {
    stream: SendStream<Bytes>,
    _guard: StreamGuard,
}

/// What a call's writer holds until it is dropped.
enum StreamGuard {
    /// At the server's end.
    Incoming { _slot: CallSlot },
    /// At the client's end.
    Outgoing { _count_guard: CountGuard },
}

/// A message with its prefix.
fn frame_message(message: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(PREFIX_LEN + message.len());
    frame.put_u8(0);
    frame.put_u32(message.len() as u32);
    frame.put_slice(message);
    frame.freeze()
}

impl MessageWriter {
    /// Sends one message, waiting for the peer's window. After a failure in the middle of a message the call is
    /// unusable and the caller must end it.
    pub fn send(&mut self, message: &[u8], timeout: Duration) -> Result<(), CallError> {
        let deadline = Instant::now() + timeout;
        let mut remaining = frame_message(message);
        while !remaining.is_empty() {
            self.stream.reserve_capacity(remaining.len());
            if self.stream.capacity() == 0 {
                let capacity = poll_until(deadline, |cx| self.stream.poll_capacity(cx))
                    .ok_or(CallError::Deadline(timeout))?;
                match capacity {
                    Some(Ok(_)) => {}
                    Some(Err(error)) => return Err(CallError::from_h2(error, true)),
                    None => return Err(CallError::Reset("the stream is closed".into())),
                }
            }
            let part = self.stream.capacity().min(remaining.len());
            let chunk = remaining.split_to(part);
            self.stream.send_data(chunk, false).map_err(|error| CallError::from_h2(error, true))?;
        }
        Ok(())
    }

    /// Ends the client's direction of the call.
    pub fn finish(&mut self) -> Result<(), CallError> {
        self.stream.send_data(Bytes::new(), true).map_err(|error| CallError::from_h2(error, true))
    }

    /// Ends the server's direction, and with it the call.
    pub fn close(&mut self, code: Code, message: &str, extra: Trailers) -> Result<(), CallError> {
        let trailers = status_headers(code, message, extra);
        self.stream.send_trailers(trailers).map_err(|error| CallError::from_h2(error, true))
    }

    /// Resets the stream, which ends the call at both ends.
    pub fn reset(&mut self, reason: Reason) {
        self.stream.send_reset(reason);
    }
}

/// Headers that hold a status and a message (made plain printable ASCII).
pub(crate) fn status_headers(code: Code, message: &str, mut extra: Trailers) -> HeaderMap {
    extra.insert(HeaderName::from_static("grpc-status"), HeaderValue::from(code.number()));
    if !message.is_empty() {
        let plain: String =
            message.chars().map(|c| if (' '..='~').contains(&c) && c != '%' { c } else { ' ' }).collect();
        if let Ok(value) = HeaderValue::from_str(&plain) {
            extra.insert(HeaderName::from_static("grpc-message"), value);
        }
    }
    extra
}

/// An incoming call.
pub struct ServerCall {
    /// The head of the request.
    pub head: http::request::Parts,
    /// Address of the client.
    pub peer: SocketAddr,
    /// When the head of the request arrived.
    pub received_at: Instant,
    pub(crate) body: RecvStream,
    pub(crate) respond: SendResponse<Bytes>,
    max_message: usize,
    guard: CallGuard,
}

impl ServerCall {
    pub(crate) fn new(
        request: Request<RecvStream>,
        respond: SendResponse<Bytes>,
        peer: SocketAddr,
        max_message: usize,
        guard: CallGuard,
    ) -> Self {
        let (head, body) = request.into_parts();
        ServerCall { head, peer, received_at: Instant::now(), body, respond, max_message, guard }
    }

    /// The path of the method, `/package.Service/Method`.
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// The value of a request header, if it is there and printable ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Answers with a status only. Does not block.
    pub fn refuse(self, code: Code, message: &str, extra: Trailers) {
        let _scope = PollScope::begin();
        // Moved into the scope of the `PollScope`: dropping the call wakes its connection too.
        let mut call = self;
        call.answer_alone(StatusCode::OK, status_headers(code, message, extra));
    }

    /// Resets the stream with REFUSED_STREAM, which proves to the client that nothing ran.
    pub fn refuse_stream(mut self) {
        self.respond.send_reset(Reason::REFUSED_STREAM);
    }

    /// Sends the head of the answer; from now on messages may go both ways.
    pub fn open(self) -> Result<(MessageReader, MessageWriter), CallError> {
        let ServerCall { mut respond, body, max_message, guard, .. } = self;
        let mut response = Response::new(());
        response.headers_mut().insert("content-type", HeaderValue::from_static("application/grpc"));
        let stream =
            respond.send_response(response, false).map_err(|error| CallError::from_h2(error, true))?;
        let CallGuard { message_buffer, slot } = guard;
        let reader =
            MessageReader { body, buffer: BytesMut::new(), max_message, reservation: Some(message_buffer) };
        Ok((reader, MessageWriter { stream, _guard: StreamGuard::Incoming { _slot: slot } }))
    }

    /// Reads the only message of a unary call. The call can still be refused afterwards.
    pub fn message(&mut self, timeout: Duration) -> Result<Bytes, CallError> {
        // Reads the body directly instead of through a `MessageReader`: the body stays with the call.
        let deadline = Instant::now() + timeout;
        let mut buffer = BytesMut::new();
        loop {
            let Some(chunk) = poll_until(deadline, |cx| self.body.poll_data(cx)) else {
                return Err(CallError::Deadline(timeout));
            };
            let Some(chunk) = chunk else { break };
            let chunk = chunk.map_err(|error| CallError::from_h2(error, true))?;
            if buffer.len() + chunk.len() > PREFIX_LEN + self.max_message {
                return Err(CallError::TooLarge { size: buffer.len() + chunk.len(), max: self.max_message });
            }
            reserve_buffer(&mut self.guard.message_buffer, buffer.len() + chunk.len())?;
            buffer.extend_from_slice(&chunk);
            let released = self.body.flow_control().release_capacity(chunk.len());
            released.map_err(|error| CallError::from_h2(error, true))?;
        }
        if buffer.len() < PREFIX_LEN || buffer[0] != 0 {
            return Err(CallError::Malformed("not one uncompressed gRPC message"));
        }
        let size = u32::from_be_bytes([buffer[1], buffer[2], buffer[3], buffer[4]]) as usize;
        if buffer.len() != PREFIX_LEN + size {
            return Err(CallError::Malformed("the length of the message is not what its prefix says"));
        }
        Ok(buffer.split_off(PREFIX_LEN).freeze())
    }

    /// Answers a unary call: the message, status OK and `extra` trailers.
    pub fn answer(self, message: &[u8], extra: Trailers, timeout: Duration) -> Result<(), CallError> {
        let _scope = PollScope::begin();
        let (_, mut writer) = self.open()?;
        writer.send(message, timeout)?;
        writer.close(Code::Ok, "", extra)
    }

    /// Reserves memory for the parts of its messages that are held. Fails if the connection already holds its share.
    pub(crate) fn reserve_message_buffer(&mut self, size: usize) -> Result<(), CallError> {
        if self.guard.message_buffer.resize(size) {
            Ok(())
        } else {
            Err(CallError::NoMemory { size })
        }
    }

    /// Whether the client has cancelled the call or disconnected.
    pub fn cancelled(&mut self) -> bool {
        poll_until(Instant::now(), |cx| self.respond.poll_reset(cx)).is_some()
    }
}

/// Accepts connections. Dropping it stops that; existing connections remain until their drivers end.
pub struct Listener {
    addr: SocketAddr,
    shutdown: Arc<ListenerShutdown>,
    count: Arc<AtomicUsize>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Listener {
    /// Listens on `addr`; with port 0 the system chooses the port. `handler` runs on the thread that polls a
    /// connection and must not block.
    pub fn start(
        name: &str,
        addr: SocketAddr,
        limits: Limits,
        drivers: &Drivers,
        handler: impl Fn(ServerCall) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let socket =
            retry_while_temporary(LISTEN_RETRY_TIMEOUT, is_resource_shortage, || TcpListener::bind(addr))?;
        let addr = socket.local_addr()?;
        let (shutdown, count): (Arc<ListenerShutdown>, _) = (Arc::default(), Arc::new(AtomicUsize::new(0)));
        let (accept_shutdown, counter, drivers) = (shutdown.clone(), count.clone(), drivers.clone());
        let handler: Handler = Arc::new(handler);
        let fraction = |fraction: f64| (limits.memory as f64 * fraction) as usize;
        let budget = MemoryBudget::new(fraction(CALLS_FRACTION), fraction(MESSAGES_FRACTION));
        let builder = thread::Builder::new().name(format!("{name}-accept")).stack_size(ACCEPT_STACK);
        let thread = builder.spawn(move || {
            // Refused connections are logged at intervals, with their number, not each.
            let (mut refused, mut last_logged) = (0u64, Instant::now() - REFUSED_LOG_INTERVAL);
            loop {
                let accepted = socket.accept();
                if accept_shutdown.stop.load(Ordering::Relaxed) {
                    break;
                }
                let result = accepted.and_then(|(stream, peer)| {
                    let count_guard =
                        CountGuard::try_new(&counter, limits.max_connections).ok_or_else(|| {
                            io::Error::other(format!("over {} connections", limits.max_connections))
                        })?;
                    let slot = ListenerSlot::new(count_guard, accept_shutdown.clone(), &budget);
                    drivers.add_accepted(stream, peer, limits.clone(), handler.clone(), slot)
                });
                let Err(error) = result else { continue };
                refused += 1;
                if last_logged.elapsed() >= REFUSED_LOG_INTERVAL {
                    warn!(%addr, %error, refused, "connection refused");
                    (refused, last_logged) = (0, Instant::now());
                }
                // An accept in a process out of file descriptors fails at once, again and again: pause instead
                // of spinning, but keep listening. An error of a single connection does not delay the others.
                if error.raw_os_error().is_some() && !is_connection_accept_error(&error) {
                    thread::park_timeout(ACCEPT_RETRY_DELAY);
                }
            }
            debug!(%addr, "listener ended");
        })?;
        Ok(Listener { addr, shutdown, count, thread: Some(thread) })
    }

    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}

impl Listener {
    /// Accepts no more connections and shuts the existing ones down gracefully (GOAWAY, RFC 9113, 6.8): calls in
    /// flight may finish, and the clients of later ones learn that they never ran. Waits until all connections
    /// have ended or the time is up, and returns how many are left.
    pub fn drain(mut self, timeout: Duration) -> usize {
        let deadline = Instant::now() + timeout;
        self.stop_accepting();
        self.shutdown.draining.store(true, Ordering::Relaxed);
        while self.connections() > 0 && Instant::now() < deadline {
            thread::park_timeout(DRAIN_POLL_INTERVAL);
        }
        self.connections()
    }

    fn stop_accepting(&mut self) {
        self.shutdown.stop.store(true, Ordering::Relaxed);
        // Unblocks the accept, which then sees the flag.
        let wake = || TcpStream::connect_timeout(&self.addr, Duration::from_secs(1));
        let woken = retry_while_temporary(LISTEN_RETRY_TIMEOUT, is_local_connect_error, wake).is_ok();
        if let Some(thread) = self.thread.take().filter(|_| woken) {
            let _ = thread.join();
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        if self.thread.is_some() {
            self.stop_accepting();
        }
    }
}

/// One connection to a server, which carries many calls at a time.
#[derive(Clone)]
pub struct Client {
    request: Arc<Mutex<SendRequest<Bytes>>>,
    shared_state: SharedState,
    dead: Arc<AtomicBool>,
    addr: SocketAddr,
    authority: Authority,
    max_message: usize,
}

/// A call whose answer has not begun yet.
pub struct PendingAnswer {
    future: ResponseFuture,
    max_message: usize,
    dead: Arc<AtomicBool>,
}

/// A call whose answer has begun: its head, and the reader of its messages and trailers.
pub struct StartedAnswer {
    /// The head of the answer.
    pub head: http::response::Parts,
    /// Reader of the answer's messages and trailers.
    pub reader: MessageReader,
}

impl PendingAnswer {
    /// Waits for the head of the answer. Fails if it holds an error status.
    pub fn head(self, timeout: Duration) -> Result<StartedAnswer, CallError> {
        let deadline = Instant::now() + timeout;
        let PendingAnswer { future, max_message, dead } = self;
        let answer = block_on(deadline, future).ok_or(CallError::Deadline(timeout))?;
        let answer = answer.map_err(|error| {
            if error.is_io() || error.is_go_away() {
                dead.store(true, Ordering::Relaxed);
            }
            CallError::from_h2(error, true)
        })?;
        let (head, body) = answer.into_parts();
        if head.status != StatusCode::OK {
            return Err(CallError::Malformed("the HTTP status is not 200"));
        }
        check_status(&head.headers)?;
        Ok(StartedAnswer {
            head,
            reader: MessageReader { body, buffer: BytesMut::new(), max_message, reservation: None },
        })
    }
}

/// Parses the status in headers or trailers; `None` if they have none.
pub(crate) fn read_status(headers: &HeaderMap) -> Result<Option<Code>, CallError> {
    let Some(value) = headers.get("grpc-status") else { return Ok(None) };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    number
        .map(|number| Some(Code::from_number(number)))
        .ok_or(CallError::Malformed("grpc-status is no number"))
}

/// Fails if headers or trailers hold an error status.
fn check_status(headers: &HeaderMap) -> Result<(), CallError> {
    match read_status(headers)? {
        None | Some(Code::Ok) => Ok(()),
        Some(code) => {
            let message = headers.get("grpc-message").and_then(|m| m.to_str().ok()).unwrap_or_default();
            Err(CallError::Status { code, message: message.to_string() })
        }
    }
}

/// Formats a duration for the header `grpc-timeout`: in microseconds, or in milliseconds where microseconds
/// would need more than eight digits.
pub fn grpc_timeout(span: Duration) -> String {
    match span.as_micros() {
        micros @ 0..=99_999_999 => format!("{micros}u"),
        micros => format!("{}m", (micros / 1000).min(99_999_999)),
    }
}

impl Client {
    /// Connects to `addr` and waits for the HTTP/2 handshake, each for at most `limits.handshake`.
    pub fn connect(addr: SocketAddr, limits: Limits, drivers: &Drivers) -> Result<Self, CallError> {
        let dial = || TcpStream::connect_timeout(&addr, limits.handshake);
        let socket =
            retry_while_temporary(CONNECT_RETRY_TIMEOUT, is_local_connect_error, dial).map_err(|error| {
                CallError::NeverRan(if is_local_connect_error(&error) {
                    NeverRan::NotTried
                } else {
                    NeverRan::NoConnection
                })
            })?;
        let (result_sender, result_receiver) = bounded(1);
        let shared_state = SharedState::new(Arc::default());
        let (max_message, timeout) = (limits.max_message, limits.handshake);
        let queued = drivers.add_opened(socket, addr, limits, shared_state.clone(), result_sender);
        queued.map_err(|_| CallError::NeverRan(NeverRan::NotTried))?;
        let request = match result_receiver.recv_timeout(timeout) {
            Ok(Ok(request)) => request,
            // No driver could register the socket: nothing was sent to the peer.
            Err(_) if !shared_state.is_owned_by_driver() => {
                return Err(CallError::NeverRan(NeverRan::NotTried))
            }
            Ok(Err(_)) | Err(_) => return Err(CallError::NeverRan(NeverRan::NoConnection)),
        };
        let authority = addr.to_string().parse().map_err(|_| CallError::NeverRan(NeverRan::NoConnection))?;
        let request = Arc::new(Mutex::new(request));
        Ok(Client { request, shared_state, dead: Arc::default(), addr, authority, max_message })
    }

    /// The server's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// False once a call has found the connection ended, or it was aborted.
    pub fn is_alive(&self) -> bool {
        !self.dead.load(Ordering::Relaxed)
    }

    /// Number of calls in flight.
    pub fn active_calls(&self) -> usize {
        self.shared_state.streams.load(Ordering::Relaxed)
    }

    /// Whether anything was received from the peer.
    pub fn reached(&self) -> Reached {
        match self.shared_state.read_count.load(Ordering::Relaxed) {
            0 => Reached::Nobody,
            _ => Reached::Peer,
        }
    }

    /// How long nothing has arrived on the connection, for any of its calls.
    pub fn time_since_last_read(&self) -> Duration {
        let last = self.shared_state.last_read_at.load(Ordering::Relaxed);
        Duration::from_micros(micros_now().saturating_sub(last))
    }

    /// Aborts the connection, so that no data still in transit on it can arrive later. Every call on it ends
    /// without an answer. This only sets flags: the connection's driver closes the socket at its next tick
    /// (`TICK_INTERVAL` in `driver.rs`).
    pub fn abort(&self) {
        self.shared_state.aborted.store(true, Ordering::Relaxed);
        self.dead.store(true, Ordering::Relaxed);
    }

    /// Opens a call. Nothing is sent before this returns.
    pub fn call(
        &self,
        path: &str,
        headers: &[(&'static str, String)],
        timeout: Duration,
    ) -> Result<(MessageWriter, PendingAnswer), CallError> {
        let mut map = HeaderMap::with_capacity(headers.len() + 2);
        map.insert("content-type", HeaderValue::from_static("application/grpc"));
        map.insert("te", HeaderValue::from_static("trailers"));
        for (name, value) in headers {
            let value = HeaderValue::from_str(value).map_err(|_| CallError::Malformed("a header's value"))?;
            map.insert(*name, value);
        }
        let (stream, future, count_guard) = self.begin(path, map, timeout)?;
        let writer = MessageWriter { stream, _guard: StreamGuard::Outgoing { _count_guard: count_guard } };
        Ok((writer, PendingAnswer { future, max_message: self.max_message, dead: self.dead.clone() }))
    }

    /// Sends the head of a request.
    pub(crate) fn begin(
        &self,
        path: &str,
        headers: HeaderMap,
        timeout: Duration,
    ) -> Result<(SendStream<Bytes>, ResponseFuture, CountGuard), CallError> {
        let mut uri = http::uri::Parts::default();
        uri.scheme = Some(http::uri::Scheme::HTTP);
        uri.authority = Some(self.authority.clone());
        uri.path_and_query = Some(path.parse().map_err(|_| CallError::Malformed("a path"))?);
        let uri = Uri::from_parts(uri).map_err(|_| CallError::Malformed("a path"))?;
        let mut request = Request::new(());
        (*request.method_mut(), *request.uri_mut(), *request.headers_mut()) = (Method::POST, uri, headers);
        // Counted first: a connection may end as idle only while nobody is about to use it.
        let count_guard = self.shared_state.begin_call();
        let mut send = self.request.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let deadline = Instant::now() + timeout;
        let failed = |error: h2::Error| {
            self.dead.store(true, Ordering::Relaxed);
            CallError::from_h2(error, false)
        };
        poll_until(deadline, |cx| send.poll_ready(cx))
            .ok_or(CallError::NeverRan(NeverRan::NeverWritten))?
            .map_err(failed)?;
        let (future, stream) = send.send_request(request, false).map_err(failed)?;
        Ok((stream, future, count_guard))
    }

    /// Converts the error of an ended call, and marks the connection as dead if the error says so.
    pub(crate) fn failed(&self, error: h2::Error) -> CallError {
        if error.is_io() || error.is_go_away() {
            self.dead.store(true, Ordering::Relaxed);
        }
        CallError::from_h2(error, true)
    }

    /// Makes a unary call: sends one message, and returns the answer's message and trailers.
    pub fn unary(
        &self,
        path: &str,
        headers: &[(&'static str, String)],
        message: Bytes,
        timeout: Duration,
    ) -> Result<(Bytes, Trailers), CallError> {
        let _scope = PollScope::begin();
        let deadline = Instant::now() + timeout;
        let remaining = || deadline.saturating_duration_since(Instant::now());
        let (mut writer, pending) = self.call(path, headers, timeout)?;
        let result = (|| {
            // A server may end the call before it has read the whole request, so a failed write is ignored: only
            // the answer tells how the call ended.
            let written = writer.send(&message, remaining()).and_then(|()| writer.finish());
            let mut opened = match written {
                Err(error @ CallError::Deadline(_)) => return Err(error),
                _ => pending.head(remaining())?,
            };
            let answer = opened.reader.recv(remaining()).map_err(CallError::after_head)?;
            let trailers = opened.reader.trailers(remaining()).map_err(CallError::after_head)?;
            check_status(&trailers)?;
            Ok((answer.ok_or(CallError::Malformed("no message before the status"))?, trailers))
        })();
        match result {
            Err(CallError::Deadline(_)) => {
                writer.reset(Reason::CANCEL);
                Err(CallError::Deadline(timeout))
            }
            other => other,
        }
    }
}
