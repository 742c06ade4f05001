//! A non-blocking socket in the shape that `h2` asks for.
//!
//! A write never blocks: what the socket does not take stays in `h2`, which bounds it by flow control, and the
//! connection goes on reading meanwhile. So two ends can't both stand in a write.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use whinhill_errors::is_short_of_memory;

/// What can carry a connection: a plain socket today, TLS over one later.
pub trait Wire: Read + Write + Send {
    fn socket(&self) -> &TcpStream;
}

impl Wire for TcpStream {
    fn socket(&self) -> &TcpStream {
        self
    }
}

pub struct Socket {
    wire: Box<dyn Wire>,
    /// Counts reads that brought something, for the connection's idea of a silent peer.
    reads: Arc<AtomicU64>,
    severed: Arc<AtomicBool>,
}

impl Socket {
    pub fn new(wire: Box<dyn Wire>, reads: Arc<AtomicU64>, severed: Arc<AtomicBool>) -> Self {
        Socket { wire, reads, severed }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.severed.load(Ordering::Relaxed) {
            // An ordinary close leaves what was written to the system, which goes on trying to deliver it for
            // minutes. An abortive one drops it: nothing of a severed connection may arrive later.
            let _ = set_socket_linger(self.wire.socket(), Some(Duration::ZERO));
        }
    }
}

/// What would block, or falls short of memory or buffers, is made again: on the next event, or with the driver's next
/// tick, which turns every connection.
fn ready<T>(result: io::Result<T>) -> Poll<io::Result<T>> {
    match result {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock || is_short_of_memory(&error) => {
            Poll::Pending
        }
        other => Poll::Ready(other),
    }
}

fn retry<T>(mut act: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match act() {
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
        // Readiness is edge-triggered and the driver polls the whole connection on each event, so there is no
        // waker to keep here.
        let read = retry(|| self.wire.read(buf.initialize_unfilled()));
        if matches!(read, Ok(count) if count > 0) {
            self.reads.fetch_add(1, Ordering::Relaxed);
        }
        ready(read.map(|count| buf.advance(count)))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        ready(retry(|| self.wire.write(data)))
    }

    fn poll_flush(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready(retry(|| self.wire.flush()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.wire.socket().shutdown(Shutdown::Write) {
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Poll::Ready(Ok(())),
            other => ready(other),
        }
    }
}
