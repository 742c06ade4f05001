//! A faulty link: a TCP relay on loopback that can delay bytes, stall one or both directions, break connections in the
//! middle of a message, read slowly, split the stream into small pieces, or forward a half-close.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The settings and counters of one direction of a link.
#[derive(Debug, Default)]
struct DirectionState {
    delay_us: AtomicU64,
    /// No bytes are forwarded; connections stay open.
    stalled: AtomicBool,
    /// Bytes after which a connection breaks; negative: never.
    break_after_bytes: AtomicI64,
    /// Bytes forwarded so far.
    carried_bytes: AtomicU64,
    /// The rate at which bytes are forwarded; 0: unlimited.
    bytes_per_s: AtomicU64,
    /// The size of the pieces in which bytes are forwarded; 0: as they were read.
    piece_bytes: AtomicUsize,
}

struct Inner {
    /// Where connections go. It changes when the target process starts again at another address.
    target: Mutex<SocketAddr>,
    /// From the side that opened the connection.
    forward: DirectionState,
    /// Towards that side.
    backward: DirectionState,
    /// New connections are closed at once.
    down: AtomicBool,
    /// When one side ends its stream, only this direction ends.
    pass_half_close: AtomicBool,
    stop: AtomicBool,
    sockets: Mutex<Vec<TcpStream>>,
    /// Called with true for each connection that reaches the target, and with false when it ends.
    on_connection: Box<dyn Fn(bool) + Send + Sync>,
}

/// One or both directions of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From the side that opened the connection to the target.
    To,
    /// From the target to the side that opened the connection.
    Back,
    #[default]
    Both,
}

/// A running link. Dropping it breaks its connections.
pub struct Link {
    addr: SocketAddr,
    inner: Arc<Inner>,
}

/// The pause between two pieces of a stream, long enough that the receiver reads each by itself.
const PIECE_INTERVAL: Duration = Duration::from_micros(200);
/// Stack of a link's threads.
const STACK_BYTES: usize = 96 << 10;
/// Most bytes that are read at a time.
const CHUNK_BYTES: usize = 16 << 10;

impl Link {
    /// Starts a link to `target`. `on_connection` is called with true for each connection that reaches the target, and
    /// with false when it ends.
    pub fn start(
        target: SocketAddr,
        on_connection: impl Fn(bool) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let direction =
            || DirectionState { break_after_bytes: AtomicI64::new(-1), ..DirectionState::default() };
        let inner = Arc::new(Inner {
            target: Mutex::new(target),
            forward: direction(),
            backward: direction(),
            down: AtomicBool::new(false),
            pass_half_close: AtomicBool::new(false),
            stop: AtomicBool::new(false),
            sockets: Mutex::default(),
            on_connection: Box::new(on_connection),
        });
        let accepting = inner.clone();
        thread::Builder::new().name("link".into()).stack_size(STACK_BYTES).spawn(move || {
            for client_side in listener.incoming().map_while(Result::ok) {
                if accepting.stop.load(Ordering::Relaxed) {
                    return;
                }
                if !accepting.down.load(Ordering::Relaxed) {
                    // If the target can't be reached, the client's connection closes.
                    let _ = accepting.clone().relay(client_side);
                }
            }
        })?;
        Ok(Link { addr, inner })
    }

    /// The address at which the link accepts connections.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn directions(&self, direction: Direction) -> impl Iterator<Item = &DirectionState> {
        let to = (direction != Direction::Back).then_some(&self.inner.forward);
        to.into_iter().chain((direction != Direction::To).then_some(&self.inner.backward))
    }

    /// Sets where new connections go.
    pub fn set_target(&self, target: SocketAddr) {
        *self.inner.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Sets the delay of each direction.
    pub fn set_delay(&self, delay: Duration) {
        self.directions(Direction::Both)
            .for_each(|state| state.delay_us.store(delay.as_micros() as u64, Ordering::Relaxed));
    }

    /// Stops forwarding in a direction, or resumes it.
    pub fn set_stalled(&self, direction: Direction, stalled: bool) {
        self.directions(direction).for_each(|state| state.stalled.store(stalled, Ordering::Relaxed));
    }

    /// Limits a direction to so many bytes a second, as a slow reader would; 0: unlimited.
    pub fn limit_rate(&self, direction: Direction, bytes_per_s: u64) {
        self.directions(direction).for_each(|state| state.bytes_per_s.store(bytes_per_s, Ordering::Relaxed));
    }

    /// Forwards both directions in pieces of so many bytes; 0: as they were read.
    pub fn set_piece_bytes(&self, bytes: usize) {
        self.directions(Direction::Both).for_each(|state| state.piece_bytes.store(bytes, Ordering::Relaxed));
    }

    /// Sets whether the end of one direction is forwarded while the other goes on until it ends too. Otherwise the end
    /// of one direction ends the whole connection.
    pub fn forward_half_close(&self, pass_half_close: bool) {
        self.inner.pass_half_close.store(pass_half_close, Ordering::Relaxed);
    }

    /// Breaks all connections and refuses new ones, or accepts connections again.
    pub fn set_down(&self, down: bool) {
        self.inner.down.store(down, Ordering::Relaxed);
        if down {
            self.inner.break_all();
        }
    }

    /// Breaks a connection once `bytes` more have come back from the target, possibly in the middle of a message.
    pub fn break_after_bytes(&self, bytes: u64) {
        self.inner.backward.break_after_bytes.store(bytes as i64, Ordering::Relaxed);
    }

    /// Bytes forwarded to the target, and back from it.
    pub fn carried_bytes(&self) -> (u64, u64) {
        (
            self.inner.forward.carried_bytes.load(Ordering::Relaxed),
            self.inner.backward.carried_bytes.load(Ordering::Relaxed),
        )
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.inner.stop.store(true, Ordering::Relaxed);
        self.inner.break_all();
        drop(TcpStream::connect_timeout(&self.addr, Duration::from_millis(200)));
    }
}

/// How one direction of a connection ended.
enum PumpEnd {
    /// The sender ended its stream and all of it was forwarded.
    SenderClosed,
    /// The link broke the connection, or it ended without forwarding a half-close.
    Broken,
}

/// Writes data in pieces of so many bytes, with a pause between them; 0: at once.
fn write_in_pieces(mut to: &TcpStream, data: &[u8], piece: usize) -> io::Result<()> {
    if piece == 0 {
        return to.write_all(data);
    }
    for (number, piece) in data.chunks(piece).enumerate() {
        if number > 0 {
            thread::sleep(PIECE_INTERVAL);
        }
        to.write_all(piece)?;
    }
    Ok(())
}

impl Inner {
    fn break_all(&self) {
        for socket in self.sockets.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Connects to the target and starts a thread for each direction.
    fn relay(self: Arc<Self>, client_side: TcpStream) -> io::Result<()> {
        let target = *self.target.lock().unwrap_or_else(PoisonError::into_inner);
        let target_side = TcpStream::connect_timeout(&target, Duration::from_secs(1))?;
        client_side.set_nodelay(true)?;
        target_side.set_nodelay(true)?;
        (self.on_connection)(true);
        let (ended, half_ended) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        {
            let mut sockets = self.sockets.lock().unwrap_or_else(PoisonError::into_inner);
            sockets.retain(|socket| socket.peer_addr().is_ok());
            sockets.extend([client_side.try_clone()?, target_side.try_clone()?]);
        }
        let directions =
            [(client_side.try_clone()?, target_side.try_clone()?, true), (target_side, client_side, false)];
        for (from, to, is_forward) in directions {
            let (inner, ended, half_ended) = (self.clone(), ended.clone(), half_ended.clone());
            let thread = thread::Builder::new().name("link-way".into()).stack_size(STACK_BYTES);
            thread.spawn(move || {
                let state = if is_forward { &inner.forward } else { &inner.backward };
                let outcome = inner.pump(state, &from, &to);
                if matches!(outcome, Ok(PumpEnd::SenderClosed)) && !half_ended.swap(true, Ordering::Relaxed) {
                    // The other direction goes on until it ends.
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
                if !ended.swap(true, Ordering::Relaxed) {
                    (inner.on_connection)(false);
                }
            })?;
        }
        Ok(())
    }

    /// Forwards one direction until it ends.
    fn pump(&self, state: &DirectionState, mut from: &TcpStream, mut to: &TcpStream) -> io::Result<PumpEnd> {
        from.set_read_timeout(Some(Duration::from_millis(5)))?;
        let mut in_transit: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
        let (mut chunk, mut sender_closed) = ([0; CHUNK_BYTES], false);
        loop {
            if sender_closed && in_transit.is_empty() {
                return Ok(PumpEnd::SenderClosed);
            }
            // The chunks in transit are limited; beyond the limit the sender's TCP window closes.
            let slow = state.bytes_per_s.load(Ordering::Relaxed) > 0;
            if in_transit.len() < if slow { 2 } else { 64 } && !sender_closed {
                // At a limited rate only small chunks are read, so that the rate is even.
                let read_size = if slow { 512 } else { CHUNK_BYTES };
                match from.read(&mut chunk[..read_size]) {
                    Ok(0) if self.pass_half_close.load(Ordering::Relaxed) => sender_closed = true,
                    Ok(0) => return Ok(PumpEnd::Broken),
                    Ok(count) => {
                        let delay = Duration::from_micros(state.delay_us.load(Ordering::Relaxed));
                        in_transit.push_back((Instant::now() + delay, chunk[..count].to_vec()));
                    }
                    Err(error)
                        if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                    Err(error) => return Err(error),
                }
            } else {
                thread::park_timeout(Duration::from_millis(5));
                // If the sender reset its connection, the bytes in transit must not be delivered any more.
                if let Some(error) = from.take_error()? {
                    return Err(error);
                }
            }
            while !state.stalled.load(Ordering::Relaxed)
                && in_transit.front().is_some_and(|(due, _)| *due <= Instant::now())
            {
                let Some((_, data)) = in_transit.pop_front() else { break };
                let left = state.break_after_bytes.load(Ordering::Relaxed);
                if left >= 0 {
                    let count = data.len().min(left as usize);
                    to.write_all(&data[..count])?;
                    if count < data.len() {
                        state.break_after_bytes.store(-1, Ordering::Relaxed);
                        return Ok(PumpEnd::Broken);
                    }
                    state.break_after_bytes.store(left - count as i64, Ordering::Relaxed);
                } else {
                    write_in_pieces(to, &data, state.piece_bytes.load(Ordering::Relaxed))?;
                }
                state.carried_bytes.fetch_add(data.len() as u64, Ordering::Relaxed);
                let rate = state.bytes_per_s.load(Ordering::Relaxed);
                if rate > 0 {
                    thread::sleep(Duration::from_secs_f64(data.len() as f64 / rate as f64));
                }
            }
        }
    }
}
