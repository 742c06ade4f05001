//! One connection that speaks RESP2: commands out in one write, answers in as many.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::encode::extend_encode;
pub use redis_protocol::resp2::types::BytesFrame as Frame;

use whinhill_errors::{is_local, is_short_of_memory, until_had};

use crate::store::StoreFault;

/// The longest answer taken in: far over the records of any deployment.
const ANSWER_MOST: usize = 64 << 20;
/// Between two attempts of a transfer that fell short: little against the time of an exchange.
const AGAIN: Duration = Duration::from_millis(5);

/// The last connect within a time may take at least this.
const CONNECT_LEAST: Duration = Duration::from_millis(1);

pub struct Connection {
    stream: TcpStream,
    held: BytesMut,
}

/// A failed exchange, and whether the store may have seen the commands.
pub struct Failed {
    pub fault: StoreFault,
    pub sent: bool,
}

/// A command in the form that the protocol asks for: an array of bulk strings.
pub fn command(words: &[&str]) -> Frame {
    Frame::Array(
        words.iter().map(|word| Frame::BulkString(Bytes::copy_from_slice(word.as_bytes()))).collect(),
    )
}

impl Connection {
    pub fn open(addr: SocketAddr, within: Duration) -> Result<Self, StoreFault> {
        Self::open_by(addr, within, |left| TcpStream::connect_timeout(&addr, left))
    }

    fn open_by(
        addr: SocketAddr,
        within: Duration,
        mut connect: impl FnMut(Duration) -> std::io::Result<TcpStream>,
    ) -> Result<Self, StoreFault> {
        let unreachable = |error: std::io::Error| StoreFault::Unreachable(format!("{addr}: {error}"));
        let started = Instant::now();
        let left = || within.saturating_sub(started.elapsed()).max(CONNECT_LEAST);
        let stream = until_had(within, is_local, || connect(left())).map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        Ok(Connection { stream, held: BytesMut::new() })
    }

    /// Sends commands and reads one answer for each. After a failure the connection is out of step and must be
    /// dropped: a late answer would be taken for a later command's.
    pub fn exchange(&mut self, commands: &[Frame], within: Duration) -> Result<Vec<Frame>, Failed> {
        let until = Instant::now() + within;
        let mut out = BytesMut::new();
        for frame in commands {
            let encoded = extend_encode(&mut out, frame, false);
            encoded.map_err(|error| Failed { fault: StoreFault::Refused(error.to_string()), sent: false })?;
        }
        if !self.held.is_empty() {
            let fault = StoreFault::OutOfStep(format!("{} bytes before the question", self.held.len()));
            return Err(Failed { fault, sent: false });
        }
        // Part of it may have arrived even where the write fails.
        let lost = |error: std::io::Error| Failed { fault: io_fault(&error, within), sent: true };
        self.stream.set_write_timeout(Some(within)).map_err(lost)?;
        self.write_until(&out, until).map_err(lost)?;
        let mut answers = Vec::with_capacity(commands.len());
        while answers.len() < commands.len() {
            match decode_bytes_mut(&mut self.held) {
                Ok(Some((frame, _, _))) => answers.push(frame),
                Ok(None) => self.fill(until, within).map_err(|fault| Failed { fault, sent: true })?,
                Err(error) => {
                    return Err(Failed { fault: StoreFault::OutOfStep(error.to_string()), sent: true })
                }
            }
        }
        if !self.held.is_empty() {
            let fault = StoreFault::OutOfStep(format!("{} bytes after the last answer", self.held.len()));
            return Err(Failed { fault, sent: true });
        }
        Ok(answers)
    }

    /// Writes all, and goes on after a write that falls short while there is time.
    fn write_until(&mut self, mut out: &[u8], until: Instant) -> std::io::Result<()> {
        while !out.is_empty() {
            match self.stream.write(out) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => out = &out[count..],
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if is_short_of_memory(&error) && Instant::now() < until => thread::sleep(AGAIN),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn fill(&mut self, until: Instant, within: Duration) -> Result<(), StoreFault> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(StoreFault::Timeout(within));
        }
        if self.held.len() > ANSWER_MOST {
            return Err(StoreFault::OutOfStep(format!("an answer over {ANSWER_MOST} bytes")));
        }
        let mut chunk = [0; 64 << 10];
        self.stream.set_read_timeout(Some(left)).map_err(|error| io_fault(&error, within))?;
        match self.stream.read(&mut chunk) {
            Ok(0) => Err(StoreFault::Unreachable("the store closed the connection".into())),
            Ok(count) => {
                self.held.extend_from_slice(&chunk[..count]);
                Ok(())
            }
            // Whoever fills goes on while there is time.
            Err(error) if error.kind() == ErrorKind::Interrupted => Ok(()),
            Err(error) if is_short_of_memory(&error) => {
                thread::sleep(AGAIN);
                Ok(())
            }
            Err(error) => Err(io_fault(&error, within)),
        }
    }
}

fn io_fault(error: &std::io::Error, within: Duration) -> StoreFault {
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => StoreFault::Timeout(within),
        _ => StoreFault::Unreachable(error.to_string()),
    }
}

#[cfg(test)]
mod tests;
