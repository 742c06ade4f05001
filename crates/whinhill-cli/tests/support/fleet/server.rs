//! A stand-in for a server that answers probes. The test changes its behavior while it runs.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The answer to a probe.
const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 29\r\n\r\ninflight=2,queue=0,util=0.400";

/// How a server handles probes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeBehavior {
    Answers,
    /// Answers each probe after a delay.
    AnswersAfter(Duration),
    /// Accepts connections and sends nothing on them.
    Unresponsive,
    /// Leaves the next probe without an answer, and answers those after it.
    DropsNextProbe,
    /// Resets each connection once it has received a request.
    Resets,
    /// Has closed its listener, as if its process had ended: connects are refused.
    Refuses,
}

/// A probe that arrived.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedProbe {
    pub at: Instant,
    pub is_answered: bool,
}

#[derive(Debug)]
struct State {
    behavior: ProbeBehavior,
    probes: Vec<ReceivedProbe>,
}

/// A server on a port of loopback.
pub struct Server {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Server {
    /// Starts a server that answers every probe at once.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State { behavior: ProbeBehavior::Answers, probes: Vec::new() }));
        let listener_state = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if listener_state.lock().unwrap().behavior == ProbeBehavior::Refuses {
                    return;
                }
                let state = listener_state.clone();
                thread::spawn(move || serve(stream, &state));
            }
        });
        Server { addr, state }
    }

    /// Changes the behavior; returns when it changed.
    pub fn set_behavior(&self, behavior: ProbeBehavior) -> Instant {
        self.state.lock().unwrap().behavior = behavior;
        let changed_at = Instant::now();
        if behavior == ProbeBehavior::Refuses {
            // The listener blocks in accept: this connection wakes it, and then it closes.
            let _ = TcpStream::connect(self.addr);
        }
        changed_at
    }

    /// All probes that have arrived so far.
    pub fn probes(&self) -> Vec<ReceivedProbe> {
        self.state.lock().unwrap().probes.clone()
    }
}

fn serve(stream: TcpStream, state: &Mutex<State>) {
    let mut request = String::new();
    let mut reader = BufReader::new(&stream);
    if !matches!(reader.read_line(&mut request), Ok(1..)) {
        return;
    }
    let behavior = {
        let mut state = state.lock().unwrap();
        let behavior = state.behavior;
        let is_answered = matches!(behavior, ProbeBehavior::Answers | ProbeBehavior::AnswersAfter(_));
        state.probes.push(ReceivedProbe { at: Instant::now(), is_answered });
        if behavior == ProbeBehavior::DropsNextProbe {
            state.behavior = ProbeBehavior::Answers;
        }
        behavior
    };
    match behavior {
        ProbeBehavior::Answers => answer(&stream),
        ProbeBehavior::AnswersAfter(delay) => {
            thread::sleep(delay);
            answer(&stream);
        }
        ProbeBehavior::Unresponsive | ProbeBehavior::DropsNextProbe => hold_open(&stream),
        ProbeBehavior::Resets | ProbeBehavior::Refuses => reset(&stream),
    }
}

fn answer(mut stream: &TcpStream) {
    let _ = stream.write_all(ANSWER.as_bytes());
}

/// Keeps the connection open until the other side closes it.
fn hold_open(stream: &TcpStream) {
    let mut lines = BufReader::new(stream).lines();
    while let Some(Ok(_)) = lines.next() {}
}

/// Makes the close reset the connection: a socket with a linger time of zero sends RST.
fn reset(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
