//! A faulty link: a relay on loopback that delays, cuts one way or both, breaks in mid-message, reads slowly, cuts the
//! stream into small pieces, or passes the end of one side on and carries the other way still.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What a link does to one direction.
#[derive(Debug, Default)]
struct Way {
    delay_us: AtomicU64,
    /// Bytes stay where they are; connections stand.
    stalled: AtomicBool,
    /// Bytes after which the connections break; negative: never.
    breaks_after: AtomicI64,
    bytes: AtomicU64,
    /// Bytes a second that are read from the sender; 0: as many as come.
    rate: AtomicU64,
    /// Bytes that are passed on at a time; 0: as many as there are.
    piece: AtomicUsize,
}

struct Inner {
    /// Where connections go; a process that starts again may listen elsewhere.
    target: Mutex<SocketAddr>,
    to: Way,
    back: Way,
    down: AtomicBool,
    /// The end of one side is passed on alone.
    half_closes: AtomicBool,
    stop: AtomicBool,
    sockets: Mutex<Vec<TcpStream>>,
    /// Called with true for each connection that gets through, with false when it ends.
    watch: Box<dyn Fn(bool) + Send + Sync>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From the one that opened the connection.
    To,
    /// Towards it.
    Back,
    #[default]
    Both,
}

pub struct Link {
    addr: SocketAddr,
    inner: Arc<Inner>,
}

/// Between two pieces of a stream: enough that each is read by itself.
const PIECE_EVERY: Duration = Duration::from_micros(200);
const STACK: usize = 96 << 10;
const CHUNK: usize = 16 << 10;

impl Link {
    /// A link to `target`; `watch` is called with true for each connection that gets through, false when it ends.
    pub fn start(target: SocketAddr, watch: impl Fn(bool) + Send + Sync + 'static) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let way = || Way { breaks_after: AtomicI64::new(-1), ..Way::default() };
        let inner = Arc::new(Inner {
            target: Mutex::new(target),
            to: way(),
            back: way(),
            down: AtomicBool::new(false),
            half_closes: AtomicBool::new(false),
            stop: AtomicBool::new(false),
            sockets: Mutex::default(),
            watch: Box::new(watch),
        });
        let held = inner.clone();
        thread::Builder::new().name("link".into()).stack_size(STACK).spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                if held.stop.load(Ordering::Relaxed) {
                    return;
                }
                if !held.down.load(Ordering::Relaxed) {
                    // A target that is not there closes the near end, as its absence would.
                    let _ = held.clone().relay(near);
                }
            }
        })?;
        Ok(Link { addr, inner })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn ways(&self, direction: Direction) -> impl Iterator<Item = &Way> {
        let to = (direction != Direction::Back).then_some(&self.inner.to);
        to.into_iter().chain((direction != Direction::To).then_some(&self.inner.back))
    }

    pub fn set_target(&self, target: SocketAddr) {
        *self.inner.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    pub fn set_delay(&self, delay: Duration) {
        self.ways(Direction::Both)
            .for_each(|way| way.delay_us.store(delay.as_micros() as u64, Ordering::Relaxed));
    }

    /// Holds up all bytes of a direction, or lets them go on.
    pub fn stall(&self, direction: Direction, stalled: bool) {
        self.ways(direction).for_each(|way| way.stalled.store(stalled, Ordering::Relaxed));
    }

    /// Carries no more than so many bytes a second: a reader that is slow. 0: as many as come.
    pub fn slow(&self, direction: Direction, bytes_per_s: u64) {
        self.ways(direction).for_each(|way| way.rate.store(bytes_per_s, Ordering::Relaxed));
    }

    /// Passes both ways on in pieces of so many bytes; 0: whole.
    pub fn cut_into_pieces(&self, bytes: usize) {
        self.ways(Direction::Both).for_each(|way| way.piece.store(bytes, Ordering::Relaxed));
    }

    /// Passes the end of one side on and carries the other way until that ends too, or ends both at once.
    pub fn half_close(&self, half_closes: bool) {
        self.inner.half_closes.store(half_closes, Ordering::Relaxed);
    }

    /// Breaks all connections and refuses new ones, or carries again.
    pub fn cut(&self, down: bool) {
        self.inner.down.store(down, Ordering::Relaxed);
        if down {
            self.inner.break_all();
        }
    }

    /// Breaks what stands once `bytes` more have come back: in the middle of whatever is under way then.
    pub fn break_after(&self, bytes: u64) {
        self.inner.back.breaks_after.store(bytes as i64, Ordering::Relaxed);
    }

    /// Bytes carried to the target and back.
    pub fn carried(&self) -> (u64, u64) {
        (self.inner.to.bytes.load(Ordering::Relaxed), self.inner.back.bytes.load(Ordering::Relaxed))
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.inner.stop.store(true, Ordering::Relaxed);
        self.inner.break_all();
        drop(TcpStream::connect_timeout(&self.addr, Duration::from_millis(200)));
    }
}

/// How one way of a connection came to its end.
enum Pumped {
    /// All that the sender sent before its end was passed on.
    ToTheEnd,
    Broken,
}

fn write_in_pieces(mut to: &TcpStream, data: &[u8], piece: usize) -> io::Result<()> {
    if piece == 0 {
        return to.write_all(data);
    }
    for (number, piece) in data.chunks(piece).enumerate() {
        if number > 0 {
            thread::sleep(PIECE_EVERY);
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

    fn relay(self: Arc<Self>, near: TcpStream) -> io::Result<()> {
        let target = *self.target.lock().unwrap_or_else(PoisonError::into_inner);
        let far = TcpStream::connect_timeout(&target, Duration::from_secs(1))?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        (self.watch)(true);
        let (ended, one_ended) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        {
            let mut sockets = self.sockets.lock().unwrap_or_else(PoisonError::into_inner);
            sockets.retain(|socket| socket.peer_addr().is_ok());
            sockets.extend([near.try_clone()?, far.try_clone()?]);
        }
        let pairs = [(near.try_clone()?, far.try_clone()?, true), (far, near, false)];
        for (from, to, forth) in pairs {
            let (inner, ended, one_ended) = (self.clone(), ended.clone(), one_ended.clone());
            let thread = thread::Builder::new().name("link-way".into()).stack_size(STACK);
            thread.spawn(move || {
                let way = if forth { &inner.to } else { &inner.back };
                let pumped = inner.pump(way, &from, &to);
                if matches!(pumped, Ok(Pumped::ToTheEnd)) && !one_ended.swap(true, Ordering::Relaxed) {
                    // The other way is carried on until it ends.
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
                if !ended.swap(true, Ordering::Relaxed) {
                    (inner.watch)(false);
                }
            })?;
        }
        Ok(())
    }

    fn pump(&self, way: &Way, mut from: &TcpStream, mut to: &TcpStream) -> io::Result<Pumped> {
        from.set_read_timeout(Some(Duration::from_millis(5)))?;
        let mut waiting: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
        let (mut chunk, mut from_ended) = ([0; CHUNK], false);
        loop {
            if from_ended && waiting.is_empty() {
                return Ok(Pumped::ToTheEnd);
            }
            // What is on its way is bounded: past it the sender's own window closes.
            let slow = way.rate.load(Ordering::Relaxed) > 0;
            if waiting.len() < if slow { 2 } else { 64 } && !from_ended {
                // A slow reader takes little at a time, so that its rate is even.
                let most = if slow { 512 } else { CHUNK };
                match from.read(&mut chunk[..most]) {
                    Ok(0) if self.half_closes.load(Ordering::Relaxed) => from_ended = true,
                    Ok(0) => return Ok(Pumped::Broken),
                    Ok(count) => {
                        let delay = Duration::from_micros(way.delay_us.load(Ordering::Relaxed));
                        waiting.push_back((Instant::now() + delay, chunk[..count].to_vec()));
                    }
                    Err(error)
                        if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                    Err(error) => return Err(error),
                }
            } else {
                thread::park_timeout(Duration::from_millis(5));
                // A sender that has broken off wants nothing of this delivered any more.
                if let Some(error) = from.take_error()? {
                    return Err(error);
                }
            }
            while !way.stalled.load(Ordering::Relaxed)
                && waiting.front().is_some_and(|(due, _)| *due <= Instant::now())
            {
                let Some((_, data)) = waiting.pop_front() else { break };
                let left = way.breaks_after.load(Ordering::Relaxed);
                if left >= 0 {
                    let part = data.len().min(left as usize);
                    to.write_all(&data[..part])?;
                    if part < data.len() {
                        way.breaks_after.store(-1, Ordering::Relaxed);
                        return Ok(Pumped::Broken);
                    }
                    way.breaks_after.store(left - part as i64, Ordering::Relaxed);
                } else {
                    write_in_pieces(to, &data, way.piece.load(Ordering::Relaxed))?;
                }
                way.bytes.fetch_add(data.len() as u64, Ordering::Relaxed);
                let rate = way.rate.load(Ordering::Relaxed);
                if rate > 0 {
                    thread::sleep(Duration::from_secs_f64(data.len() as f64 / rate as f64));
                }
            }
        }
    }
}
