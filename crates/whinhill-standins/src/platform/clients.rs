//! Clients of an assigner's address in a closed loop: each asks for a sign of life, waits for the answer, thinks, and
//! asks again on the same connection for as long as that stays open. Some never look whether it does.
//!
//! Every request is recorded with its ending, from the client's side of the socket alone.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PROBE: &[u8] = b"{\"@type\":\"probe\"}\n";
const ALIVE: &[u8] = b"{\"@type\":\"alive\"}";
/// The most that a client reads of one message: all that it can be sent are short.
const MESSAGE_MOST: usize = 256;
/// A connect to an address that drops packets would take minutes to fail.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);
/// A client whose connect failed tries again after this, so that a crowd does not keep a processor busy.
const RECONNECT_AFTER: Duration = Duration::from_millis(10);
/// A client thread reads and writes one short message at a time.
const STACK: usize = 128 << 10;

/// What the clients do.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub clients: usize,
    /// The first so many never look whether the other side has ended the connection before they ask on it.
    pub never_look: usize,
    /// The last so many end their side of the connection after each request.
    pub half_close: usize,
    /// Each thinks for a time drawn evenly from zero to this before it asks.
    pub think_most: Duration,
    /// An answer that takes longer counts as none.
    pub answer_within: Duration,
    pub seed: u64,
}

/// How a request ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The answer that was asked for.
    Answered,
    /// Another message: the assigner refuses the client.
    Refused,
    /// The connection ended in order, and without an answer.
    EndOfStream,
    /// The connection broke.
    Reset,
    /// Nothing came within the plan's time.
    Silent,
}

impl Ending {
    /// Whether the client got a final answer.
    pub fn is_answer(self) -> bool {
        matches!(self, Ending::Answered | Ending::Refused)
    }
}

/// One request that was sent.
#[derive(Clone, Debug)]
pub struct Request {
    pub client: usize,
    /// The client's end of the connection: the assigner's log names it.
    pub local: SocketAddr,
    /// How many requests the connection had carried before.
    pub earlier: u32,
    /// Since the clients were started: when the connection was there, and when the request was sent.
    pub opened: Duration,
    pub sent: Duration,
    /// When the system had taken all of it, or had refused to.
    pub written: Duration,
    /// The client never looks for the other side's end.
    pub never_looks: bool,
    pub took: Duration,
    pub ending: Ending,
}

/// Clients that run until they are stopped.
pub struct Clients {
    /// The times of requests count from then.
    pub started: Instant,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Request>>>,
}

impl Clients {
    /// Starts the clients of a plan. Fails where a thread cannot be started.
    pub fn start(addr: SocketAddr, plan: Plan) -> io::Result<Self> {
        let started = Instant::now();
        let mut clients = Clients { started, stop: Arc::default(), threads: Vec::new() };
        for number in 0..plan.clients {
            let client = Client {
                number,
                addr,
                plan,
                started,
                stop: clients.stop.clone(),
                random: ChaCha8Rng::seed_from_u64(plan.seed ^ (number as u64) << 32),
                requests: Vec::new(),
            };
            let builder = thread::Builder::new().name("client".into()).stack_size(STACK);
            clients.threads.push(builder.spawn(move || client.run())?);
        }
        Ok(clients)
    }

    /// Has each client end after the request that it waits for.
    pub fn finish(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Whether all have ended.
    pub fn is_finished(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }

    /// Has them end, waits for that, and returns all requests in the order in which they were sent.
    pub fn stop(mut self) -> Vec<Request> {
        self.finish();
        let joined = self.threads.drain(..).flat_map(|thread| thread.join().unwrap_or_default());
        let mut requests: Vec<Request> = joined.collect();
        requests.sort_by_key(|request| request.sent);
        requests
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Requests in figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub requests: usize,
    pub refused: usize,
    pub unanswered: usize,
    pub slowest: Duration,
}

impl Tally {
    /// Counts requests by their endings; the slowest is that of the answers.
    pub fn of(requests: &[Request]) -> Self {
        let count = |wanted: fn(Ending) -> bool| requests.iter().filter(|r| wanted(r.ending)).count();
        let answered = requests.iter().filter(|r| r.ending.is_answer());
        Tally {
            requests: requests.len(),
            refused: count(|ending| ending == Ending::Refused),
            unanswered: count(|ending| !ending.is_answer()),
            slowest: answered.map(|r| r.took).max().unwrap_or_default(),
        }
    }
}

struct Client {
    number: usize,
    addr: SocketAddr,
    plan: Plan,
    started: Instant,
    stop: Arc<AtomicBool>,
    random: ChaCha8Rng,
    requests: Vec<Request>,
}

impl Client {
    fn run(mut self) -> Vec<Request> {
        while !self.stopped() {
            match TcpStream::connect_timeout(&self.addr, CONNECT_WITHIN) {
                Ok(stream) => drop(self.use_connection(stream)),
                Err(_) => thread::sleep(RECONNECT_AFTER),
            }
        }
        self.requests
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn never_looks(&self) -> bool {
        self.number < self.plan.never_look
    }

    fn half_closes(&self) -> bool {
        self.number + self.plan.half_close >= self.plan.clients
    }

    /// Asks on one connection until that ends, or the clients are stopped.
    fn use_connection(&mut self, mut stream: TcpStream) -> io::Result<()> {
        let (local, opened) = (stream.local_addr()?, self.started.elapsed());
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.plan.answer_within))?;
        for earlier in 0.. {
            let think = self.random.random_range(Duration::ZERO..=self.plan.think_most);
            thread::sleep(think);
            if self.stopped() || !self.never_looks() && !is_quiet(&stream)? {
                break;
            }
            let sent = self.started.elapsed();
            let mut asked = stream.write_all(PROBE);
            if asked.is_ok() && self.half_closes() {
                asked = stream.shutdown(Shutdown::Write);
            }
            let written = self.started.elapsed();
            let ending = match asked {
                Ok(()) => read_ending(&mut stream),
                // It had no other way to learn that the connection is gone.
                Err(_) if self.never_looks() => Ending::Reset,
                // What could not be sent was never asked.
                Err(error) => return Err(error),
            };
            let (client, never_looks) = (self.number, self.never_looks());
            let took = self.started.elapsed() - sent;
            let request =
                Request { client, local, earlier, opened, sent, written, never_looks, took, ending };
            self.requests.push(request);
            if ending != Ending::Answered || self.half_closes() {
                break;
            }
        }
        Ok(())
    }
}

/// Whether the other side has neither ended the connection nor sent anything unasked.
fn is_quiet(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    Ok(matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock))
}

/// Reads one message and tells what it is.
fn read_ending(stream: &mut TcpStream) -> Ending {
    let (mut message, mut byte) = (Vec::new(), [0]);
    while message.len() < MESSAGE_MOST {
        match stream.read(&mut byte) {
            Ok(0) => return Ending::EndOfStream,
            Ok(_) if byte[0] == b'\n' => break,
            Ok(_) => message.push(byte[0]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Ending::Silent;
            }
            Err(_) => return Ending::Reset,
        }
    }
    if message == ALIVE {
        Ending::Answered
    } else {
        Ending::Refused
    }
}
