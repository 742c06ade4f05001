//! One socket, its purpose, and its unwritten output.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use socket2::SockRef;
use whinhill::interface::EndpointId;
use whinhill_errors::is_buffer_shortage;
use whinhill_platform::discovery::DiscoveryRequest;
use whinhill_platform::lines::LineBuffer;
use whinhill_platform::peer::Peer;
use whinhill_platform::probe::ProbeExchange;

use crate::pending_answers::PendingAnswers;

/// Limit of output that waits for the peer to read. Requests of this process have the size of a relay call at most.
const MAX_UNWRITTEN_BYTES: usize = 128 * 1024;

/// What a connection is for.
pub enum ConnectionKind {
    /// A client of the assigner's address.
    Client { peer: Peer, stage: ClientStage },
    /// A client that was sent its last answer. What it still sends is read and discarded, so that closing does not
    /// reset the connection before the client has read the answer.
    Closing { discarded: usize },
    /// The stream of updates from the relay.
    RelayWatch,
    /// Calls to the relay; carries the answer read so far.
    RelayCalls(LineBuffer),
    /// A request to discovery: a watch or a fetch.
    Discovery(DiscoveryRequest),
    /// A probe of a server.
    Probe {
        endpoint: EndpointId,
        exchange: ProbeExchange,
        /// When the probe counts as unanswered.
        deadline: Duration,
    },
}

/// How far a client is on its way to its last answer. A connection is closed right after an answer wherever
/// possible; otherwise a client that has just sent a request would lose it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientStage {
    /// It is served.
    Open,
    /// It was sent an error for being silent for too long, and may still send one request.
    Warned,
    /// Other clients need its slot; it is closed after its next answer.
    CloseAfterAnswer,
    /// Its last answer was sent; its connection ends once everything that had arrived by then is answered.
    LastAnswerSent,
}

/// The result of a read.
#[derive(Debug)]
pub enum ReadOutcome {
    /// This many bytes were read.
    Bytes(usize),
    /// The peer has closed its side.
    End,
    /// The system reports that nothing can be read now.
    WouldBlock,
    /// The system lacks memory or buffers; the call says nothing about the peer.
    Shortage(io::Error),
}

/// The result of writing output.
#[derive(Debug)]
pub enum WriteOutcome {
    /// Everything was written.
    Complete,
    /// The socket accepts no more for now; the rest is written later.
    WouldBlock,
    /// The connection is not established yet.
    NotConnected,
    /// As for [`ReadOutcome::Shortage`].
    Shortage(io::Error),
}

/// One socket with its state.
pub struct Connection {
    pub kind: ConnectionKind,
    /// When it was opened; used to order connections by age.
    pub opened_at: Duration,
    /// Whether the peer has sent anything.
    pub has_received: bool,
    /// When a client last sent anything; before that, when it connected.
    pub last_received_at: Duration,
    /// When the client last sent a request for a sign of life.
    pub last_request_at: Option<Duration>,
    /// Rechecks of the socket that remain although the poll reports nothing.
    pub rechecks_left: u32,
    /// Something was read before the poll reported it.
    pub read_before_event: bool,
    /// The last read failed for want of resources.
    pub last_read_failed: bool,
    /// The socket was rechecked after it accepted no more output, and has accepted none since.
    pub rechecked_for_output: bool,
    /// It is not read until its output is written.
    pub paused_for_output: bool,
    /// How often its timeout was postponed for that reason.
    pub timeout_postponements: u32,
    /// Requests whose answers have not been written completely.
    pub pending_answers: PendingAnswers,
    /// The peer's address.
    pub remote: SocketAddr,
    /// Whether it was ever established.
    established: bool,
    /// Whether the sending side was shut down.
    write_shut_down: bool,
    stream: TcpStream,
    /// Output; the first `written_bytes` of it were written.
    write_buffer: Vec<u8>,
    written_bytes: usize,
}

impl Connection {
    fn new(
        stream: TcpStream,
        remote: SocketAddr,
        kind: ConnectionKind,
        initial_output: &[u8],
        now: Duration,
    ) -> Self {
        Connection {
            kind,
            opened_at: now,
            has_received: false,
            last_received_at: now,
            last_request_at: None,
            rechecks_left: 0,
            read_before_event: false,
            last_read_failed: false,
            rechecked_for_output: false,
            paused_for_output: false,
            timeout_postponements: 0,
            pending_answers: PendingAnswers::default(),
            remote,
            established: false,
            write_shut_down: false,
            stream,
            write_buffer: initial_output.to_vec(),
            written_bytes: 0,
        }
    }

    /// A connection that was accepted from a client. `max_message_bytes`: the largest message of a collector.
    pub fn accepted(stream: TcpStream, remote: SocketAddr, max_message_bytes: usize, now: Duration) -> Self {
        let kind = ConnectionKind::Client { peer: Peer::new(max_message_bytes), stage: ClientStage::Open };
        Connection { established: true, ..Self::new(stream, remote, kind, &[], now) }
    }

    /// Starts to connect; `initial_output` is written as soon as the connection is established.
    pub fn connect(
        addr: SocketAddr,
        kind: ConnectionKind,
        initial_output: &[u8],
        now: Duration,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        // Calls are small, and each waits for the answer to the one before.
        let _ = stream.set_nodelay(true);
        Ok(Self::new(stream, addr, kind, initial_output, now))
    }

    /// Registers the socket with the poll.
    pub fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        registry.register(&mut self.stream, token, Interest::READABLE | Interest::WRITABLE)
    }

    /// Removes the socket from the poll.
    pub fn deregister(&mut self, registry: &Registry) {
        // Fails if the poll never had the socket.
        let _ = registry.deregister(&mut self.stream);
    }

    /// Writes what the socket accepts now; the rest is written when the socket is writable. Fails if the peer
    /// leaves too much unread or the connection is broken.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<WriteOutcome> {
        if self.unwritten_bytes() + bytes.len() > MAX_UNWRITTEN_BYTES {
            return Err(io::Error::other("the peer leaves too much output unread"));
        }
        self.write_buffer.drain(..self.written_bytes);
        self.written_bytes = 0;
        self.write_buffer.extend_from_slice(bytes);
        self.flush()
    }

    /// As [`Connection::send`], for an answer after which the sending side is shut down. Answer and end leave
    /// together, so that a client that has the answer cannot send a request before it sees the end (tcp(7),
    /// TCP_CORK).
    pub fn send_before_shutdown(&mut self, bytes: &[u8]) -> io::Result<WriteOutcome> {
        // If it fails, the end only leaves a little later.
        let _ = SockRef::from(&self.stream).set_tcp_cork(true);
        self.send(bytes)
    }

    /// Sends what was held back by [`Connection::send_before_shutdown`], since the end does not follow yet.
    pub fn uncork(&mut self) {
        let _ = SockRef::from(&self.stream).set_tcp_cork(false);
    }

    /// Writes the remaining output. Fails if the connection is broken.
    pub fn flush(&mut self) -> io::Result<WriteOutcome> {
        while self.written_bytes < self.write_buffer.len() {
            match self.stream.write(&self.write_buffer[self.written_bytes..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.established = true;
                    self.rechecked_for_output = false;
                    self.written_bytes += n;
                    self.pending_answers.note_written(n);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(WriteOutcome::WouldBlock),
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return Ok(WriteOutcome::NotConnected),
                Err(e) if is_buffer_shortage(&e) => return Ok(WriteOutcome::Shortage(e)),
                Err(e) => return Err(e),
            }
        }
        // Most connections write little and seldom.
        self.write_buffer = Vec::new();
        self.written_bytes = 0;
        Ok(WriteOutcome::Complete)
    }

    /// Number of bytes of output that wait for the peer to read.
    pub fn unwritten_bytes(&self) -> usize {
        self.write_buffer.len() - self.written_bytes
    }

    /// Whether messages were received and not parsed, because others had their turn first.
    pub fn has_unparsed_messages(&self) -> bool {
        matches!(&self.kind, ConnectionKind::Client { peer, .. } if peer.has_unparsed_messages())
    }

    /// Whether what it receives becomes events for the module without a bound of its own.
    pub fn produces_events(&self) -> bool {
        self.has_joined() || matches!(self.kind, ConnectionKind::RelayWatch)
    }

    /// Whether all output was written.
    pub fn all_written(&self) -> bool {
        self.write_buffer.is_empty()
    }

    /// Shuts down the sending side once all output was written; the peer may still send. Done once only, since each
    /// call makes the poll report the socket again.
    pub fn shut_down_writes(&mut self) {
        if self.all_written() && !std::mem::replace(&mut self.write_shut_down, true) {
            // Fails if the peer has closed the connection already.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    /// Reads and discards what has arrived, up to a limit.
    pub fn discard(&mut self, max_bytes: usize) {
        let (mut buffer, mut left) = ([0; 4096], max_bytes);
        while let Ok(ReadOutcome::Bytes(n)) = self.read(&mut buffer) {
            left = left.saturating_sub(n);
            if left == 0 {
                return;
            }
        }
    }

    /// Reads once. Fails if the connection is broken.
    pub fn read(&mut self, buffer: &mut [u8]) -> io::Result<ReadOutcome> {
        self.last_read_failed = false;
        loop {
            match self.stream.read(buffer) {
                Ok(0) => return Ok(ReadOutcome::End),
                Ok(n) => {
                    self.has_received = true;
                    self.timeout_postponements = 0;
                    return Ok(ReadOutcome::Bytes(n));
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    return Ok(ReadOutcome::WouldBlock);
                }
                Err(e) if is_buffer_shortage(&e) => {
                    self.last_read_failed = true;
                    return Ok(ReadOutcome::Shortage(e));
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Whether the connection was ever established.
    pub fn was_established(&self) -> bool {
        self.established
    }

    /// Whether it is a client of the assigner's address.
    pub fn is_client(&self) -> bool {
        matches!(self.kind, ConnectionKind::Client { .. } | ConnectionKind::Closing { .. })
    }

    /// Whether it is a client that has joined as a collector.
    pub fn has_joined(&self) -> bool {
        matches!(&self.kind, ConnectionKind::Client { peer, .. } if peer.has_joined())
    }

    /// Whether it is a client that has not joined.
    pub fn is_unjoined_client(&self) -> bool {
        matches!(&self.kind, ConnectionKind::Client { peer, .. } if !peer.has_joined())
    }

    /// Whether a client has sent a part of a message and not its end.
    pub fn has_partial_message(&self) -> bool {
        matches!(&self.kind, ConnectionKind::Client { peer, .. } if peer.has_partial_message())
    }

    /// Whether it is a client that was sent its last answer and the end of the connection.
    pub fn is_closing_and_written(&self) -> bool {
        matches!(self.kind, ConnectionKind::Closing { .. }) && self.all_written()
    }

    /// What the connection is for, as logged.
    pub fn purpose(&self) -> &'static str {
        match &self.kind {
            ConnectionKind::Client { peer, .. } if peer.has_joined() => "collector",
            ConnectionKind::Client { .. } => "client",
            ConnectionKind::Closing { .. } => "refused client",
            ConnectionKind::RelayWatch => "news",
            ConnectionKind::RelayCalls(_) => "calls",
            ConnectionKind::Discovery(request) if request.is_watch() => "watch",
            ConnectionKind::Discovery(_) => "list",
            ConnectionKind::Probe { .. } => "probe",
        }
    }
}
