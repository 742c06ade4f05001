//! One socket, what it is for, and what is still to be written on it.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use socket2::SockRef;
use whinhill::interface::Ep;
use whinhill_errors::is_short_of_memory;
use whinhill_platform::discovery::Asking;
use whinhill_platform::lines::Lines;
use whinhill_platform::peer::Peer;
use whinhill_platform::probe::Probing;

use crate::answers::Answers;

/// Bytes that may wait for a peer to read them. Ours are requests of a call's size at most.
const OUT_MOST: usize = 128 * 1024;

pub enum Kind {
    Client {
        peer: Peer,
        stage: Stage,
    },
    /// A client that has had its last answer: what it still sends is read and thrown away, so that the close does
    /// not reset the connection under that answer.
    Closing {
        discarded: usize,
    },
    News,
    Calls(Lines),
    Asking(Asking),
    Probe {
        ep: Ep,
        probing: Probing,
        /// When its time is over.
        until: Duration,
    },
}

/// How far a client is on its way to its last answer. A connection ends right after an answer wherever possible: a
/// client that has just asked would lose its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Open,
    /// It was told that it has been silent for too long, and may still ask once.
    Warned,
    /// Others wait for its place: it gives it up with its next answer.
    Leaving,
    /// It has had its last answer; its connection ends once all that had arrived by then is answered.
    Answered,
}

/// What a read found.
#[derive(Debug)]
pub enum Incoming {
    Bytes(usize),
    /// The other side has ended.
    End,
    /// Nothing for now, by the system's word.
    Blocked,
    /// The system was short of something: the call says nothing of the other side.
    Short(io::Error),
}

/// What became of what was to be written.
#[derive(Debug)]
pub enum Outgoing {
    Written,
    /// The rest waits for room.
    Blocked,
    /// The connection is not up yet.
    NotConnected,
    /// As for [`Incoming::Short`].
    Short(io::Error),
}

pub struct Connection {
    pub kind: Kind,
    /// When it was opened, for its age alone.
    pub opened: Duration,
    /// Whether the other side has sent anything, and when it last did.
    pub heard: bool,
    pub heard_at: Duration,
    /// When it last asked for a sign of life.
    pub asked_at: Option<Duration>,
    /// Looks that are still made at the socket though the poll tells nothing.
    pub looks_left: u32,
    /// Something was read before the poll told of it.
    pub read_untold: bool,
    /// The last read failed for want of something.
    pub read_failed: bool,
    /// How often its deadline was put off for that.
    pub postponed: u32,
    /// Requests that wait for their answers to be written.
    pub answers: Answers,
    /// The other side's address.
    pub remote: SocketAddr,
    /// Whether it was ever up.
    up: bool,
    /// Whether our side has ended.
    ended: bool,
    stream: TcpStream,
    out: Vec<u8>,
    written: usize,
}

impl Connection {
    fn new(stream: TcpStream, remote: SocketAddr, kind: Kind, first: &[u8], now: Duration) -> Self {
        Connection {
            kind,
            opened: now,
            heard: false,
            heard_at: now,
            asked_at: None,
            looks_left: 0,
            read_untold: false,
            read_failed: false,
            postponed: 0,
            answers: Answers::default(),
            remote,
            up: false,
            ended: false,
            stream,
            out: first.to_vec(),
            written: 0,
        }
    }

    pub fn accepted(stream: TcpStream, remote: SocketAddr, now: Duration) -> Self {
        let kind = Kind::Client { peer: Peer::default(), stage: Stage::Open };
        Connection { up: true, ..Self::new(stream, remote, kind, &[], now) }
    }

    /// Starts to connect; `first` is written as soon as it is up.
    pub fn connect(addr: SocketAddr, kind: Kind, first: &[u8], now: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        // Calls are small and each waits for its answer.
        let _ = stream.set_nodelay(true);
        Ok(Self::new(stream, addr, kind, first, now))
    }

    pub fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        registry.register(&mut self.stream, token, Interest::READABLE | Interest::WRITABLE)
    }

    pub fn deregister(&mut self, registry: &Registry) {
        // It fails where the poll never had it.
        let _ = registry.deregister(&mut self.stream);
    }

    /// Writes what the socket takes now; the rest goes when it can be written again. Fails where the other side
    /// leaves too much unread, or the connection is broken.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<Outgoing> {
        if self.out.len() - self.written + bytes.len() > OUT_MOST {
            return Err(io::Error::other("the peer does not read"));
        }
        self.out.extend_from_slice(bytes);
        self.flush()
    }

    /// As [`Connection::send`], for an answer that the end of our side follows: both leave together, so that nobody
    /// who has the answer can ask before the end has come (tcp(7), TCP_CORK).
    pub fn send_with_end(&mut self, bytes: &[u8]) -> io::Result<Outgoing> {
        // Where it fails the end only follows a little later.
        let _ = SockRef::from(&self.stream).set_tcp_cork(true);
        self.send(bytes)
    }

    /// The end does not follow yet: what was sent must not wait for it.
    pub fn put_off_end(&mut self) {
        let _ = SockRef::from(&self.stream).set_tcp_cork(false);
    }

    /// Writes what is left. Fails where the connection is broken.
    pub fn flush(&mut self) -> io::Result<Outgoing> {
        while self.written < self.out.len() {
            match self.stream.write(&self.out[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.up = true;
                    self.written += n;
                    self.answers.written(n);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(Outgoing::Blocked),
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return Ok(Outgoing::NotConnected),
                Err(e) if is_short_of_memory(&e) => return Ok(Outgoing::Short(e)),
                Err(e) => return Err(e),
            }
        }
        self.out.clear();
        self.written = 0;
        Ok(Outgoing::Written)
    }

    /// Whether all that was given to write has left.
    pub fn all_written(&self) -> bool {
        self.out.is_empty()
    }

    /// Ends our side once all that was given to write has left; the other side may still send. Only once: it makes
    /// the poll tell of the socket again.
    pub fn end_writing(&mut self) {
        if self.all_written() && !std::mem::replace(&mut self.ended, true) {
            // It fails where the other side is gone already.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    /// Reads and throws away what has arrived, up to a bound.
    pub fn discard(&mut self, most: usize) {
        let (mut buffer, mut left) = ([0; 4096], most);
        while let Ok(Incoming::Bytes(n)) = self.read(&mut buffer) {
            left = left.saturating_sub(n);
            if left == 0 {
                return;
            }
        }
    }

    /// Reads once. Fails where the connection is broken.
    pub fn read(&mut self, buffer: &mut [u8]) -> io::Result<Incoming> {
        self.read_failed = false;
        loop {
            match self.stream.read(buffer) {
                Ok(0) => return Ok(Incoming::End),
                Ok(n) => {
                    self.heard = true;
                    self.postponed = 0;
                    return Ok(Incoming::Bytes(n));
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    return Ok(Incoming::Blocked);
                }
                Err(e) if is_short_of_memory(&e) => {
                    self.read_failed = true;
                    return Ok(Incoming::Short(e));
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Whether a connect of ours has come through.
    pub fn was_up(&self) -> bool {
        self.up
    }

    pub fn joined(&self) -> bool {
        matches!(&self.kind, Kind::Client { peer, .. } if peer.joined())
    }

    /// Whether it is a client that has not joined.
    pub fn is_stranger(&self) -> bool {
        matches!(&self.kind, Kind::Client { peer, .. } if !peer.joined())
    }

    /// Whether a client has sent a part of a message and not its end.
    pub fn is_unfinished(&self) -> bool {
        matches!(&self.kind, Kind::Client { peer, .. } if peer.unfinished())
    }

    /// Whether it is a client that has been sent all that it is owed, its last answer and our end.
    pub fn has_had_all(&self) -> bool {
        matches!(self.kind, Kind::Closing { .. }) && self.all_written()
    }

    /// What it is for, in the log.
    pub fn purpose(&self) -> &'static str {
        match &self.kind {
            Kind::Client { peer, .. } if peer.joined() => "collector",
            Kind::Client { .. } => "client",
            Kind::Closing { .. } => "refused client",
            Kind::News => "news",
            Kind::Calls(_) => "calls",
            Kind::Asking(asking) if asking.is_watch() => "watch",
            Kind::Asking(_) => "list",
            Kind::Probe { .. } => "probe",
        }
    }
}
