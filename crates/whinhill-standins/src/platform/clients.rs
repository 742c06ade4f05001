//! Closed-loop clients of an assigner's address. Each sends a liveness probe, waits for the answer,
//! thinks, and repeats on the same connection while that is open. Some never check whether it is.
//!
//! Every request is recorded with its outcome as seen at the client's side of the socket.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The liveness probe, and the answer to it without the end of the line.
const PROBE: &[u8] = b"{\"@type\":\"probe\"}\n";
const ALIVE: &[u8] = b"{\"@type\":\"alive\"}";
/// The longest message that a client reads; all valid messages are short.
const MAX_MESSAGE_LEN: usize = 256;
/// Without this limit a connect to an address that drops packets would take minutes to fail.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a client reconnects after a failed connect, so that a crowd does not keep a
/// processor busy.
const RECONNECT_DELAY: Duration = Duration::from_millis(10);
/// Stack size of a client thread, which handles one short message at a time.
const STACK_SIZE: usize = 128 << 10;

/// How many clients there are and how they behave.
#[derive(Clone, Copy, Debug)]
pub struct ClientPlan {
    pub clients: usize,
    /// The first `never_check` clients never check whether the peer has closed the connection before
    /// they send a request.
    pub never_check: usize,
    /// The last `half_close` clients close their side of the connection after each request.
    pub half_close: usize,
    /// Before each request a client waits for a time drawn uniformly from zero to this.
    pub max_think_time: Duration,
    /// A request without an answer within this time counts as unanswered.
    pub answer_timeout: Duration,
    pub seed: u64,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The expected answer came.
    Answered,
    /// Another message came: the assigner refused the client.
    Refused,
    /// The peer closed the connection without an answer.
    EndOfStream,
    /// The connection broke.
    Reset,
    /// Nothing came within [`ClientPlan::answer_timeout`].
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
    /// The client's end of the connection, as the assigner's log names it.
    pub local_addr: SocketAddr,
    /// How many requests the connection had carried before.
    pub earlier_requests: u32,
    /// When the connection was open and when the request was sent, since the start of the clients.
    pub connected_at: Duration,
    pub sent_at: Duration,
    /// When the system had accepted all of the request or had refused it.
    pub written_at: Duration,
    /// The client never checks whether the peer has closed the connection.
    pub never_checks: bool,
    pub took: Duration,
    pub ending: Ending,
}

/// Clients that run until they are stopped.
pub struct Clients {
    /// The times of requests are relative to this.
    pub started: Instant,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Request>>>,
}

impl Clients {
    /// Starts the clients of a plan. Fails if a thread cannot be started.
    pub fn start(addr: SocketAddr, plan: ClientPlan) -> io::Result<Self> {
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
            let builder = thread::Builder::new().name("client".into()).stack_size(STACK_SIZE);
            clients.threads.push(builder.spawn(move || client.run())?);
        }
        Ok(clients)
    }

    /// Tells each client to end after its pending request.
    pub fn finish(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Whether all clients have ended.
    pub fn is_finished(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }

    /// Stops the clients, waits for them and returns all requests in the order in which they were
    /// sent.
    pub fn stop(mut self) -> Vec<Request> {
        self.finish();
        let joined = self.threads.drain(..).flat_map(|thread| thread.join().unwrap_or_default());
        let mut requests: Vec<Request> = joined.collect();
        requests.sort_by_key(|request| request.sent_at);
        requests
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Counts of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    pub requests: usize,
    pub refused: usize,
    pub unanswered: usize,
    pub slowest: Duration,
}

impl RequestCounts {
    /// Counts requests by their endings; `slowest` considers only answered ones.
    pub fn from_requests(requests: &[Request]) -> Self {
        let count = |wanted: fn(Ending) -> bool| requests.iter().filter(|r| wanted(r.ending)).count();
        let answered = requests.iter().filter(|r| r.ending.is_answer());
        RequestCounts {
            requests: requests.len(),
            refused: count(|ending| ending == Ending::Refused),
            unanswered: count(|ending| !ending.is_answer()),
            slowest: answered.map(|r| r.took).max().unwrap_or_default(),
        }
    }
}

/// One client thread.
struct Client {
    number: usize,
    addr: SocketAddr,
    plan: ClientPlan,
    started: Instant,
    stop: Arc<AtomicBool>,
    random: ChaCha8Rng,
    requests: Vec<Request>,
}

impl Client {
    fn run(mut self) -> Vec<Request> {
        while !self.is_stopped() {
            match TcpStream::connect_timeout(&self.addr, CONNECT_TIMEOUT) {
                Ok(stream) => drop(self.use_connection(stream)),
                Err(_) => thread::sleep(RECONNECT_DELAY),
            }
        }
        self.requests
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn never_checks(&self) -> bool {
        self.number < self.plan.never_check
    }

    fn half_closes(&self) -> bool {
        self.number + self.plan.half_close >= self.plan.clients
    }

    /// Sends requests on one connection until that ends or the clients are stopped.
    fn use_connection(&mut self, mut stream: TcpStream) -> io::Result<()> {
        let (local_addr, connected_at) = (stream.local_addr()?, self.started.elapsed());
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.plan.answer_timeout))?;
        for earlier_requests in 0.. {
            let think = self.random.random_range(Duration::ZERO..=self.plan.max_think_time);
            thread::sleep(think);
            if self.is_stopped() || !self.never_checks() && !is_open_and_idle(&stream)? {
                break;
            }
            let sent_at = self.started.elapsed();
            let mut send_result = stream.write_all(PROBE);
            if send_result.is_ok() && self.half_closes() {
                send_result = stream.shutdown(Shutdown::Write);
            }
            let written_at = self.started.elapsed();
            let ending = match send_result {
                Ok(()) => read_ending(&mut stream),
                // The client had no other way to learn that the connection was gone.
                Err(_) if self.never_checks() => Ending::Reset,
                // A request that could not be sent does not count.
                Err(error) => return Err(error),
            };
            let (client, never_checks) = (self.number, self.never_checks());
            let took = self.started.elapsed() - sent_at;
            let request = Request {
                client,
                local_addr,
                earlier_requests,
                connected_at,
                sent_at,
                written_at,
                never_checks,
                took,
                ending,
            };
            self.requests.push(request);
            if ending != Ending::Answered || self.half_closes() {
                break;
            }
        }
        Ok(())
    }
}

/// Whether the peer has neither closed the connection nor sent unsolicited data.
fn is_open_and_idle(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    Ok(matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock))
}

/// Reads one message and classifies it.
fn read_ending(stream: &mut TcpStream) -> Ending {
    let (mut message, mut byte) = (Vec::new(), [0]);
    while message.len() < MAX_MESSAGE_LEN {
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
