//! Calls as ordinary threads use them: each wait blocks and has an end.

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
use whinhill_errors::{is_local, is_of_one_connection, is_scarce, until_had};

use crate::connection::{micros_now, Admitted, Counted, Ending, Handler, Line};
use crate::error::{CallError, Code, NeverRan};
use crate::limits::Limits;
use crate::park::{wait, wait_for};
use crate::turning::Turn;
use crate::Drivers;

/// The header map that ends a call.
pub type Trailers = HeaderMap;

pub(crate) const PREFIX: usize = 5;
/// How often a draining listener looks whether its connections have ended.
const DRAIN_LOOKS: Duration = Duration::from_millis(10);
/// How long a system short of descriptors or memory may keep a listener from its start or its end.
const LISTEN_WITHIN: Duration = Duration::from_secs(5);
/// Between two accepts while the first fails for what passes by itself.
const ACCEPT_AGAIN: Duration = Duration::from_millis(10);
/// How long a connect that reaches nobody is made again: a small part of any deadline, since whoever waits for it may
/// have somebody else to ask.
const CONNECT_AGAIN_WITHIN: Duration = Duration::from_millis(100);

/// Reads messages of one direction of a call.
pub struct MessageReader {
    body: RecvStream,
    held: BytesMut,
    most: usize,
}

impl MessageReader {
    /// The next message; `None` at the end of the direction.
    pub fn recv(&mut self, within: Duration) -> Result<Option<Bytes>, CallError> {
        let until = Instant::now() + within;
        loop {
            if let Some(message) = self.framed()? {
                return Ok(Some(message));
            }
            let chunk = wait(until, |cx| self.body.poll_data(cx)).ok_or(CallError::Deadline(within))?;
            match chunk {
                None if self.held.is_empty() => return Ok(None),
                None => return Err(CallError::Malformed("the stream ends within a message")),
                Some(Err(error)) => return Err(CallError::of(error, true)),
                Some(Ok(chunk)) => {
                    self.held.extend_from_slice(&chunk);
                    // What is held is bounded by the message's limit, so the window may open again at once.
                    let released = self.body.flow_control().release_capacity(chunk.len());
                    released.map_err(|error| CallError::of(error, true))?;
                }
            }
        }
    }

    fn framed(&mut self) -> Result<Option<Bytes>, CallError> {
        if self.held.len() < PREFIX {
            return Ok(None);
        }
        if self.held[0] != 0 {
            return Err(CallError::Malformed("a compressed message, though no encoding was agreed"));
        }
        let size = u32::from_be_bytes([self.held[1], self.held[2], self.held[3], self.held[4]]) as usize;
        if size > self.most {
            return Err(CallError::TooLarge { size, most: self.most });
        }
        if self.held.len() < PREFIX + size {
            return Ok(None);
        }
        self.held.advance(PREFIX);
        Ok(Some(self.held.split_to(size).freeze()))
    }

    /// What ends the call, after the last message.
    pub fn trailers(&mut self, within: Duration) -> Result<Trailers, CallError> {
        let until = Instant::now() + within;
        while self.recv(until.saturating_duration_since(Instant::now()))?.is_some() {}
        let trailers = wait(until, |cx| self.body.poll_trailers(cx)).ok_or(CallError::Deadline(within))?;
        Ok(trailers.map_err(|error| CallError::of(error, true))?.unwrap_or_default())
    }
}

/// Writes messages of one direction of a call, waiting for the peer's window.
pub struct MessageWriter {
    stream: SendStream<Bytes>,
    _counted: Counted,
}

fn framed(message: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(PREFIX + message.len());
    frame.put_u8(0);
    frame.put_u32(message.len() as u32);
    frame.put_slice(message);
    frame.freeze()
}

impl MessageWriter {
    /// Sends one message as far as the peer's window opens in time. A failure in mid-message leaves the call
    /// unusable: the caller must end it.
    pub fn send(&mut self, message: &[u8], within: Duration) -> Result<(), CallError> {
        let until = Instant::now() + within;
        let mut left = framed(message);
        while !left.is_empty() {
            self.stream.reserve_capacity(left.len());
            if self.stream.capacity() == 0 {
                let room =
                    wait(until, |cx| self.stream.poll_capacity(cx)).ok_or(CallError::Deadline(within))?;
                match room {
                    Some(Ok(_)) => {}
                    Some(Err(error)) => return Err(CallError::of(error, true)),
                    None => return Err(CallError::Reset("the stream is closed".into())),
                }
            }
            let part = self.stream.capacity().min(left.len());
            let chunk = left.split_to(part);
            self.stream.send_data(chunk, false).map_err(|error| CallError::of(error, true))?;
        }
        Ok(())
    }

    /// Ends the client's direction.
    pub fn finish(&mut self) -> Result<(), CallError> {
        self.stream.send_data(Bytes::new(), true).map_err(|error| CallError::of(error, true))
    }

    /// Ends a server's direction, and with it the call.
    pub fn close(&mut self, code: Code, message: &str, extra: Trailers) -> Result<(), CallError> {
        let trailers = status(code, message, extra);
        self.stream.send_trailers(trailers).map_err(|error| CallError::of(error, true))
    }

    pub fn reset(&mut self, reason: Reason) {
        self.stream.send_reset(reason);
    }
}

pub(crate) fn status(code: Code, message: &str, mut extra: Trailers) -> HeaderMap {
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

/// A call that came in.
pub struct ServerCall {
    pub head: http::request::Parts,
    pub peer: SocketAddr,
    pub came: Instant,
    pub(crate) body: RecvStream,
    pub(crate) respond: SendResponse<Bytes>,
    most: usize,
    counted: Counted,
}

impl ServerCall {
    pub(crate) fn new(
        request: Request<RecvStream>,
        respond: SendResponse<Bytes>,
        peer: SocketAddr,
        most: usize,
        counted: Counted,
    ) -> Self {
        let (head, body) = request.into_parts();
        ServerCall { head, peer, came: Instant::now(), body, respond, most, counted }
    }

    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Answers with a status alone, without waiting for anything.
    pub fn refuse(self, code: Code, message: &str, extra: Trailers) {
        let _turn = Turn::begin();
        // Within the turn: what a call drops wakes its connection too.
        let mut call = self;
        call.answer_alone(StatusCode::OK, status(code, message, extra));
    }

    /// Resets the stream with REFUSED_STREAM: proof for the client that nothing ran.
    pub fn refuse_unseen(mut self) {
        self.respond.send_reset(Reason::REFUSED_STREAM);
    }

    /// Opens the answer: messages may go both ways from now on.
    pub fn open(self) -> Result<(MessageReader, MessageWriter), CallError> {
        let ServerCall { mut respond, body, most, counted, .. } = self;
        let mut response = Response::new(());
        response.headers_mut().insert("content-type", HeaderValue::from_static("application/grpc"));
        let stream = respond.send_response(response, false).map_err(|error| CallError::of(error, true))?;
        let reader = MessageReader { body, held: BytesMut::new(), most };
        Ok((reader, MessageWriter { stream, _counted: counted }))
    }

    /// Reads the one message of a unary call. The answer can still be refused after it.
    pub fn message(&mut self, within: Duration) -> Result<Bytes, CallError> {
        // The reader is put together for the wait alone: the body stays with the call.
        let until = Instant::now() + within;
        let mut held = BytesMut::new();
        loop {
            let Some(chunk) = wait(until, |cx| self.body.poll_data(cx)) else {
                return Err(CallError::Deadline(within));
            };
            let Some(chunk) = chunk else { break };
            let chunk = chunk.map_err(|error| CallError::of(error, true))?;
            if held.len() + chunk.len() > PREFIX + self.most {
                return Err(CallError::TooLarge { size: held.len() + chunk.len(), most: self.most });
            }
            held.extend_from_slice(&chunk);
            let released = self.body.flow_control().release_capacity(chunk.len());
            released.map_err(|error| CallError::of(error, true))?;
        }
        if held.len() < PREFIX || held[0] != 0 {
            return Err(CallError::Malformed("not one uncompressed gRPC message"));
        }
        let size = u32::from_be_bytes([held[1], held[2], held[3], held[4]]) as usize;
        if held.len() != PREFIX + size {
            return Err(CallError::Malformed("the length of the message is not what its prefix says"));
        }
        Ok(held.split_off(PREFIX).freeze())
    }

    /// Answers a unary call whole.
    pub fn answer(self, message: &[u8], extra: Trailers, within: Duration) -> Result<(), CallError> {
        let _turn = Turn::begin();
        let (_, mut writer) = self.open()?;
        writer.send(message, within)?;
        writer.close(Code::Ok, "", extra)
    }

    /// Whether the client has cancelled it or gone away.
    pub fn cancelled(&mut self) -> bool {
        wait(Instant::now(), |cx| self.respond.poll_reset(cx)).is_some()
    }
}

/// Takes connections in. Dropping it stops that; connections that stand go on until their drivers end.
pub struct Listener {
    addr: SocketAddr,
    ending: Arc<Ending>,
    count: Arc<AtomicUsize>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Listener {
    /// Listens on `addr`; port 0 lets the system choose one. `handler` runs on a driver thread and must not block.
    pub fn start(
        name: &str,
        addr: SocketAddr,
        limits: Limits,
        drivers: &Drivers,
        handler: impl Fn(ServerCall) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let socket = until_had(LISTEN_WITHIN, is_scarce, || TcpListener::bind(addr))?;
        let addr = socket.local_addr()?;
        let (ending, count): (Arc<Ending>, _) = (Arc::default(), Arc::new(AtomicUsize::new(0)));
        let (ends, counter, drivers) = (ending.clone(), count.clone(), drivers.clone());
        let handler: Handler = Arc::new(handler);
        let builder = thread::Builder::new().name(format!("{name}-accept")).stack_size(64 << 10);
        let thread = builder.spawn(move || {
            // A refused crowd is one line a second, not one each.
            let (mut refused, mut told) = (0u64, Instant::now() - Duration::from_secs(1));
            loop {
                let accepted = socket.accept();
                if ends.stop.load(Ordering::Relaxed) {
                    break;
                }
                let taken = accepted.and_then(|(stream, peer)| {
                    let counted = Counted::take(&counter, limits.connections_most).ok_or_else(|| {
                        io::Error::other(format!("over {} connections", limits.connections_most))
                    })?;
                    let admitted = Admitted::new(counted, ends.clone());
                    drivers.accepted(stream, peer, limits.clone(), handler.clone(), admitted)
                });
                let Err(error) = taken else { continue };
                refused += 1;
                if told.elapsed() >= Duration::from_secs(1) {
                    warn!(%addr, %error, refused, "connection refused");
                    (refused, told) = (0, Instant::now());
                }
                // A process out of file descriptors fails at once, again and again: it must neither spin here nor
                // stop listening for good. What concerns one connection holds up no other.
                if error.raw_os_error().is_some() && !is_of_one_connection(&error) {
                    thread::park_timeout(ACCEPT_AGAIN);
                }
            }
            debug!(%addr, "listener ended");
        })?;
        Ok(Listener { addr, ending, count, thread: Some(thread) })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Connections that stand.
    pub fn connections(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}

impl Listener {
    /// Takes no more connections in, and ends those that stand in good order (GOAWAY, RFC 9113, 6.8): calls in hand
    /// may finish, later ones learn that they never ran. Waits until all have ended, or the time is up; how many
    /// are left then.
    pub fn drain(mut self, within: Duration) -> usize {
        let until = Instant::now() + within;
        self.stop_accepting();
        self.ending.draining.store(true, Ordering::Relaxed);
        while self.connections() > 0 && Instant::now() < until {
            thread::park_timeout(DRAIN_LOOKS);
        }
        self.connections()
    }

    fn stop_accepting(&mut self) {
        self.ending.stop.store(true, Ordering::Relaxed);
        // Wakes the accept; it sees the flag.
        let wake = || TcpStream::connect_timeout(&self.addr, Duration::from_secs(1));
        let woken = until_had(LISTEN_WITHIN, is_local, wake).is_ok();
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

/// One connection to a server, for many calls at a time.
#[derive(Clone)]
pub struct Client {
    request: Arc<Mutex<SendRequest<Bytes>>>,
    line: Line,
    dead: Arc<AtomicBool>,
    addr: SocketAddr,
    authority: Authority,
    most: usize,
}

/// A call whose answer is still to come.
pub struct PendingAnswer {
    future: ResponseFuture,
    most: usize,
    dead: Arc<AtomicBool>,
}

/// The answer's head is there: messages, then trailers.
pub struct Opened {
    pub head: http::response::Parts,
    pub reader: MessageReader,
}

impl PendingAnswer {
    pub fn head(self, within: Duration) -> Result<Opened, CallError> {
        let until = Instant::now() + within;
        let PendingAnswer { future, most, dead } = self;
        let answer = wait_for(until, future).ok_or(CallError::Deadline(within))?;
        let answer = answer.map_err(|error| {
            if error.is_io() || error.is_go_away() {
                dead.store(true, Ordering::Relaxed);
            }
            CallError::of(error, true)
        })?;
        let (head, body) = answer.into_parts();
        if head.status != StatusCode::OK {
            return Err(CallError::Malformed("the HTTP status is not 200"));
        }
        check(&head.headers)?;
        Ok(Opened { head, reader: MessageReader { body, held: BytesMut::new(), most } })
    }
}

/// The status that headers or trailers hold, if they hold one.
pub(crate) fn read_status(headers: &HeaderMap) -> Result<Option<Code>, CallError> {
    let Some(value) = headers.get("grpc-status") else { return Ok(None) };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    number
        .map(|number| Some(Code::from_number(number)))
        .ok_or(CallError::Malformed("grpc-status is no number"))
}

fn check(headers: &HeaderMap) -> Result<(), CallError> {
    match read_status(headers)? {
        None | Some(Code::Ok) => Ok(()),
        Some(code) => {
            let message = headers.get("grpc-message").and_then(|m| m.to_str().ok()).unwrap_or_default();
            Err(CallError::Status { code, message: message.to_string() })
        }
    }
}

/// A span in the form of the header `grpc-timeout`, in microseconds or, where those take over eight digits, milliseconds.
pub fn grpc_timeout(span: Duration) -> String {
    match span.as_micros() {
        micros @ 0..=99_999_999 => format!("{micros}u"),
        micros => format!("{}m", (micros / 1000).min(99_999_999)),
    }
}

impl Client {
    pub fn connect(addr: SocketAddr, limits: Limits, drivers: &Drivers) -> Result<Self, CallError> {
        let dial = || TcpStream::connect_timeout(&addr, limits.handshake);
        let socket = until_had(CONNECT_AGAIN_WITHIN, is_local, dial).map_err(|error| {
            CallError::NeverRan(if is_local(&error) { NeverRan::NotTried } else { NeverRan::NoConnection })
        })?;
        let (answer, opened) = bounded(1);
        let line = Line::new(Arc::default());
        let (most, within) = (limits.message_most, limits.handshake);
        let queued = drivers.opened(socket, addr, limits, line.clone(), answer);
        queued.map_err(|_| CallError::NeverRan(NeverRan::NotTried))?;
        let request = match opened.recv_timeout(within) {
            Ok(Ok(request)) => request,
            // No driver could take the socket on: nothing was said to the peer.
            Err(_) if !line.is_taken_on() => return Err(CallError::NeverRan(NeverRan::NotTried)),
            Ok(Err(_)) | Err(_) => return Err(CallError::NeverRan(NeverRan::NoConnection)),
        };
        let authority = addr.to_string().parse().map_err(|_| CallError::NeverRan(NeverRan::NoConnection))?;
        let request = Arc::new(Mutex::new(request));
        Ok(Client { request, line, dead: Arc::default(), addr, authority, most })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// False once a call has found the connection ended.
    pub fn alive(&self) -> bool {
        !self.dead.load(Ordering::Relaxed)
    }

    /// Calls under way.
    pub fn streams(&self) -> usize {
        self.line.streams.load(Ordering::Relaxed)
    }

    /// How long nothing has arrived on the connection, of any call.
    pub fn silent_for(&self) -> Duration {
        let last = self.line.read_at.load(Ordering::Relaxed);
        Duration::from_micros(micros_now().saturating_sub(last))
    }

    /// Breaks the connection off, so that nothing of it that is still under way can arrive later. Every call on it
    /// ends without an answer.
    pub fn sever(&self) {
        self.line.severed.store(true, Ordering::Relaxed);
        self.dead.store(true, Ordering::Relaxed);
    }

    /// Opens a call. Until this returns nothing was sent.
    pub fn call(
        &self,
        path: &str,
        headers: &[(&'static str, String)],
        within: Duration,
    ) -> Result<(MessageWriter, PendingAnswer), CallError> {
        let mut map = HeaderMap::with_capacity(headers.len() + 2);
        map.insert("content-type", HeaderValue::from_static("application/grpc"));
        map.insert("te", HeaderValue::from_static("trailers"));
        for (name, value) in headers {
            let value = HeaderValue::from_str(value).map_err(|_| CallError::Malformed("a header's value"))?;
            map.insert(*name, value);
        }
        let (stream, future, counted) = self.begin(path, map, within)?;
        let writer = MessageWriter { stream, _counted: counted };
        Ok((writer, PendingAnswer { future, most: self.most, dead: self.dead.clone() }))
    }

    pub(crate) fn begin(
        &self,
        path: &str,
        headers: HeaderMap,
        within: Duration,
    ) -> Result<(SendStream<Bytes>, ResponseFuture, Counted), CallError> {
        let mut uri = http::uri::Parts::default();
        uri.scheme = Some(http::uri::Scheme::HTTP);
        uri.authority = Some(self.authority.clone());
        uri.path_and_query = Some(path.parse().map_err(|_| CallError::Malformed("a path"))?);
        let uri = Uri::from_parts(uri).map_err(|_| CallError::Malformed("a path"))?;
        let mut request = Request::new(());
        (*request.method_mut(), *request.uri_mut(), *request.headers_mut()) = (Method::POST, uri, headers);
        // Counted first: a connection may end as idle only while nobody is about to use it.
        let counted = self.line.begin_call();
        let mut send = self.request.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let until = Instant::now() + within;
        let failed = |error: h2::Error| {
            self.dead.store(true, Ordering::Relaxed);
            CallError::of(error, false)
        };
        wait(until, |cx| send.poll_ready(cx))
            .ok_or(CallError::NeverRan(NeverRan::NeverWritten))?
            .map_err(failed)?;
        let (future, stream) = send.send_request(request, false).map_err(failed)?;
        Ok((stream, future, counted))
    }

    /// What an ended call says, and of the connection with it.
    pub(crate) fn failed(&self, error: h2::Error) -> CallError {
        if error.is_io() || error.is_go_away() {
            self.dead.store(true, Ordering::Relaxed);
        }
        CallError::of(error, true)
    }

    /// One message there, one back, and the trailers.
    pub fn unary(
        &self,
        path: &str,
        headers: &[(&'static str, String)],
        message: Bytes,
        within: Duration,
    ) -> Result<(Bytes, Trailers), CallError> {
        let _turn = Turn::begin();
        let until = Instant::now() + within;
        let left = || until.saturating_duration_since(Instant::now());
        let (mut writer, pending) = self.call(path, headers, within)?;
        let result = (|| {
            // A server may end the call before it has read all; only the answer's side tells how it ended.
            let written = writer.send(&message, left()).and_then(|()| writer.finish());
            let mut opened = match written {
                Err(error @ CallError::Deadline(_)) => return Err(error),
                _ => pending.head(left())?,
            };
            let answer = opened.reader.recv(left()).map_err(CallError::begun)?;
            let trailers = opened.reader.trailers(left()).map_err(CallError::begun)?;
            check(&trailers)?;
            Ok((answer.ok_or(CallError::Malformed("no message before the status"))?, trailers))
        })();
        match result {
            Err(CallError::Deadline(_)) => {
                writer.reset(Reason::CANCEL);
                Err(CallError::Deadline(within))
            }
            other => other,
        }
    }
}
