//! One RESP2 connection. Commands are pipelined: all are sent in one write, then one reply is read for each.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::encode::extend_encode;
pub use redis_protocol::resp2::types::BytesFrame as Frame;

use whinhill_errors::{is_buffer_shortage, is_local_connect_error, retry_while_temporary};

use crate::store::StoreError;

/// The maximum number of buffered bytes before an incomplete reply is refused. Far more than the records of any
/// deployment.
const MAX_REPLY_BYTES: usize = 64 << 20;
/// The wait between two attempts of a read or write that failed for lack of memory. Short against an exchange.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// The minimum timeout of a connect attempt, also of the last one before the overall timeout.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(1);

/// A connection to the store.
pub struct Connection {
    stream: TcpStream,
    /// Bytes received and not yet decoded.
    received: BytesMut,
}

/// A failed exchange.
pub struct ExchangeError {
    /// Why it failed.
    pub fault: StoreError,
    /// Whether the store may have received the commands.
    pub may_have_arrived: bool,
}

/// Encodes a command as the protocol requires: an array of bulk strings.
pub fn command(words: &[&str]) -> Frame {
    Frame::Array(
        words.iter().map(|word| Frame::BulkString(Bytes::copy_from_slice(word.as_bytes()))).collect(),
    )
}

impl Connection {
    /// Connects within a timeout. An attempt that fails for a local reason is repeated until then.
    pub fn open(addr: SocketAddr, timeout: Duration) -> Result<Self, StoreError> {
        Self::open_with(addr, timeout, |timeout| TcpStream::connect_timeout(&addr, timeout))
    }

    /// As [`Connection::open`], with a given connect function; tests make it fail.
    fn open_with(
        addr: SocketAddr,
        timeout: Duration,
        mut connect: impl FnMut(Duration) -> std::io::Result<TcpStream>,
    ) -> Result<Self, StoreError> {
        let unreachable = |error: std::io::Error| StoreError::Unreachable(format!("{addr}: {error}"));
        let started = Instant::now();
        let remaining = || timeout.saturating_sub(started.elapsed()).max(MIN_CONNECT_TIMEOUT);
        let stream = retry_while_temporary(timeout, is_local_connect_error, || connect(remaining()))
            .map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        Ok(Connection { stream, received: BytesMut::new() })
    }

    /// Sends commands and reads one reply for each. After a failure the connection must be dropped: a late reply
    /// would be taken for the reply to a later command.
    pub fn exchange(&mut self, commands: &[Frame], timeout: Duration) -> Result<Vec<Frame>, ExchangeError> {
        let deadline = Instant::now() + timeout;
        let mut out = BytesMut::new();
        for frame in commands {
            let encoded = extend_encode(&mut out, frame, false);
            encoded.map_err(|error| ExchangeError {
                fault: StoreError::Refused(error.to_string()),
                may_have_arrived: false,
            })?;
        }
        if !self.received.is_empty() {
            let fault =
                StoreError::UnexpectedReply(format!("{} bytes before the command", self.received.len()));
            return Err(ExchangeError { fault, may_have_arrived: false });
        }
        // Some of the commands may have arrived even if the write fails.
        let unsure = |error: std::io::Error| ExchangeError {
            fault: io_error_to_fault(&error, timeout),
            may_have_arrived: true,
        };
        self.stream.set_write_timeout(Some(timeout)).map_err(unsure)?;
        self.write_all_by(&out, deadline).map_err(unsure)?;
        let mut replies = Vec::with_capacity(commands.len());
        while replies.len() < commands.len() {
            match decode_bytes_mut(&mut self.received) {
                Ok(Some((frame, _, _))) => replies.push(frame),
                Ok(None) => self
                    .read_some(deadline, timeout)
                    .map_err(|fault| ExchangeError { fault, may_have_arrived: true })?,
                Err(error) => {
                    return Err(ExchangeError {
                        fault: StoreError::UnexpectedReply(error.to_string()),
                        may_have_arrived: true,
                    })
                }
            }
        }
        if !self.received.is_empty() {
            let fault =
                StoreError::UnexpectedReply(format!("{} bytes after the last reply", self.received.len()));
            return Err(ExchangeError { fault, may_have_arrived: true });
        }
        Ok(replies)
    }

    /// Writes all of `out`. Partial writes are continued, and writes that fail for lack of memory are repeated until
    /// the deadline.
    fn write_all_by(&mut self, mut out: &[u8], deadline: Instant) -> std::io::Result<()> {
        while !out.is_empty() {
            match self.stream.write(out) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => out = &out[count..],
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if is_buffer_shortage(&error) && Instant::now() < deadline => {
                    thread::sleep(RETRY_DELAY)
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Performs one read into the buffer. Returns without data after an interrupt or a lack of memory; the caller
    /// repeats the call until the deadline.
    fn read_some(&mut self, deadline: Instant, timeout: Duration) -> Result<(), StoreError> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(StoreError::Timeout(timeout));
        }
        if self.received.len() > MAX_REPLY_BYTES {
            return Err(StoreError::UnexpectedReply(format!("a reply of more than {MAX_REPLY_BYTES} bytes")));
        }
        let mut chunk = [0; 64 << 10];
        self.stream.set_read_timeout(Some(remaining)).map_err(|error| io_error_to_fault(&error, timeout))?;
        match self.stream.read(&mut chunk) {
            Ok(0) => Err(StoreError::Unreachable("the store closed the connection".into())),
            Ok(count) => {
                self.received.extend_from_slice(&chunk[..count]);
                Ok(())
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => Ok(()),
            Err(error) if is_buffer_shortage(&error) => {
                thread::sleep(RETRY_DELAY);
                Ok(())
            }
            Err(error) => Err(io_error_to_fault(&error, timeout)),
        }
    }
}

/// The fault that an I/O error amounts to.
fn io_error_to_fault(error: &std::io::Error, timeout: Duration) -> StoreError {
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => StoreError::Timeout(timeout),
        _ => StoreError::Unreachable(error.to_string()),
    }
}

#[cfg(test)]
mod tests;
