//! A non-blocking socket with the I/O traits that `h2` requires.
//!
//! A write never blocks: data that the socket does not accept stays in `h2`, which bounds it by flow control,
//! and the connection goes on reading meanwhile. So two peers can't deadlock with both of them blocked in a
//! write.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use whinhill_errors::is_buffer_shortage;

/// A byte stream that can carry a connection: a plain socket now, possibly TLS later.
pub trait Wire: Read + Write + Send {
    /// The socket that carries the stream.
    fn socket(&self) -> &TcpStream;
}

impl Wire for TcpStream {
    fn socket(&self) -> &TcpStream {
        self
    }
}

/// What one poll of a connection may still read.
#[derive(Debug, Default)]
pub struct ReadShare {
    left: AtomicUsize,
    /// A read found nothing left of the share.
    exhausted: AtomicBool,
}

impl ReadShare {
    /// Begins a poll that may read up to `bytes`.
    pub fn renew(&self, bytes: usize) {
        self.left.store(bytes, Ordering::Relaxed);
        self.exhausted.store(false, Ordering::Relaxed);
    }

    /// Whether the poll would have read more.
    pub fn is_exhausted(&self) -> bool {
        self.exhausted.load(Ordering::Relaxed)
    }
}

/// A non-blocking socket as `AsyncRead` and `AsyncWrite`.
pub struct Socket {
    wire: Box<dyn Wire>,
    read_share: Arc<ReadShare>,
    /// Number of reads that returned data; the connection derives from it how long the peer has been silent.
    read_count: Arc<AtomicU64>,
    /// The socket is to be closed abortively.
    aborted: Arc<AtomicBool>,
}

impl Socket {
    /// `read_count` counts the reads that return data; with `aborted` set, dropping the socket closes it
    /// abortively.
    pub fn new(wire: Box<dyn Wire>, read_count: Arc<AtomicU64>, aborted: Arc<AtomicBool>) -> Self {
        Socket { wire, read_share: Arc::default(), read_count, aborted }
    }

    /// What the current poll may still read; the connection renews it for each poll.
    pub fn read_share(&self) -> Arc<ReadShare> {
        self.read_share.clone()
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.aborted.load(Ordering::Relaxed) {
            // After an ordinary close the system goes on trying to deliver written data for minutes. An abortive
            // close discards it: nothing of an aborted connection may arrive later.
            let _ = set_socket_linger(self.wire.socket(), Some(Duration::ZERO));
        }
    }
}

/// Maps errors that pass by themselves (would block, short of memory or buffers) to `Pending`. The operation is
/// retried on the next event or the driver's next tick, which polls every connection.
fn pending_if_transient<T>(result: io::Result<T>) -> Poll<io::Result<T>> {
    match result {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock || is_buffer_shortage(&error) => {
            Poll::Pending
        }
        other => Poll::Ready(other),
    }
}

/// Repeats an operation while a signal interrupts it.
fn retry_interrupted<T>(mut operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match operation() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Readiness is edge-triggered and the driver polls the whole connection on each event, so no waker has
        // to be stored here.
        let left = self.read_share.left.load(Ordering::Relaxed);
        if left == 0 {
            self.read_share.exhausted.store(true, Ordering::Relaxed);
            return Poll::Pending;
        }
        let size = buf.remaining().min(left);
        let read = retry_interrupted(|| self.wire.read(buf.initialize_unfilled_to(size)));
        if let Ok(count @ 1..) = read {
            self.read_share.left.store(left - count, Ordering::Relaxed);
            self.read_count.fetch_add(1, Ordering::Relaxed);
        }
        pending_if_transient(read.map(|count| buf.advance(count)))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        pending_if_transient(retry_interrupted(|| self.wire.write(data)))
    }

    fn poll_flush(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        pending_if_transient(retry_interrupted(|| self.wire.flush()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.wire.socket().shutdown(Shutdown::Write) {
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Poll::Ready(Ok(())),
            other => pending_if_transient(other),
        }
    }
}
