//! One socket, what it is for, and what is still to be written on it.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use whinhill::interface::Ep;
use whinhill_platform::discovery::Asking;
use whinhill_platform::lines::Lines;
use whinhill_platform::peer::Peer;
use whinhill_platform::probe::Probing;

/// Bytes that may wait for a peer to read them. Ours are requests of a call's size at most.
const OUT_MOST: usize = 128 * 1024;

pub enum Kind {
    Peer(Peer),
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
    },
}

pub struct Connection {
    pub kind: Kind,
    /// When it was opened, for its age alone.
    pub opened: Duration,
    /// Whether the other side has sent anything.
    pub heard: bool,
    /// Whether our side has ended.
    ended: bool,
    stream: TcpStream,
    out: Vec<u8>,
    written: usize,
}

impl Connection {
    pub fn accepted(stream: TcpStream, now: Duration) -> Self {
        Connection {
            kind: Kind::Peer(Peer::default()),
            opened: now,
            heard: false,
            ended: false,
            stream,
            out: Vec::new(),
            written: 0,
        }
    }

    /// Starts to connect; `first` is written as soon as it is up.
    pub fn connect(addr: SocketAddr, kind: Kind, first: &[u8], now: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        // Calls are small and each waits for its answer.
        let _ = stream.set_nodelay(true);
        Ok(Connection {
            kind,
            opened: now,
            heard: false,
            ended: false,
            stream,
            out: first.to_vec(),
            written: 0,
        })
    }

    pub fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        registry.register(&mut self.stream, token, Interest::READABLE | Interest::WRITABLE)
    }

    pub fn deregister(&mut self, registry: &Registry) {
        // It fails where the poll never had it.
        let _ = registry.deregister(&mut self.stream);
    }

    /// Writes what the socket takes now; the rest goes when it can be written again.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.out.len() - self.written + bytes.len() > OUT_MOST {
            return Err(io::Error::other("the peer does not read"));
        }
        self.out.extend_from_slice(bytes);
        self.flush()
    }

    pub fn flush(&mut self) -> io::Result<()> {
        while self.written < self.out.len() {
            match self.stream.write(&self.out[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    return Ok(());
                }
                Err(e) => return Err(e),
            }
        }
        self.out.clear();
        self.written = 0;
        Ok(())
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
        while let Ok(Some(n)) = self.read(&mut buffer) {
            left = left.saturating_sub(n);
            if n == 0 || left == 0 {
                return;
            }
        }
    }

    /// `None`: nothing to read now.
    pub fn read(&mut self, buffer: &mut [u8]) -> io::Result<Option<usize>> {
        loop {
            match self.stream.read(buffer) {
                Ok(n) => {
                    self.heard |= n > 0;
                    return Ok(Some(n));
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    return Ok(None);
                }
                Err(e) => return Err(e),
            }
        }
    }

    pub fn joined(&self) -> bool {
        matches!(&self.kind, Kind::Peer(peer) if peer.joined())
    }
}
