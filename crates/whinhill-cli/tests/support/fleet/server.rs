//! A server that answers probes, and whose behaviour the test switches at a given moment.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 29\r\n\r\ninflight=2,queue=0,util=0.400";

/// What a server does with probes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    Answers,
    /// Answers each after a while.
    AnswersAfter(Duration),
    /// Takes connections and says nothing on them.
    Nothing,
    /// Leaves the next probe without an answer, and answers those that follow.
    LosesTheNext,
    /// Resets connections once they have asked.
    Resets,
    /// Its process is gone: connects are refused from now on.
    Refuses,
}

/// A probe as it arrived.
#[derive(Clone, Copy, Debug)]
pub struct Probed {
    pub at: Instant,
    pub is_answered: bool,
}

#[derive(Debug)]
struct State {
    does: Does,
    probes: Vec<Probed>,
}

pub struct Server {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Server {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State { does: Does::Answers, probes: Vec::new() }));
        let kept = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if kept.lock().unwrap().does == Does::Refuses {
                    return;
                }
                let state = kept.clone();
                thread::spawn(move || serve(stream, &state));
            }
        });
        Server { addr, state }
    }

    /// From now on it does this; the moment of the switch.
    pub fn switch(&self, does: Does) -> Instant {
        self.state.lock().unwrap().does = does;
        let switched = Instant::now();
        if does == Does::Refuses {
            // The listener waits for somebody, and closes when it has looked.
            let _ = TcpStream::connect(self.addr);
        }
        switched
    }

    pub fn probes(&self) -> Vec<Probed> {
        self.state.lock().unwrap().probes.clone()
    }
}

fn serve(stream: TcpStream, state: &Mutex<State>) {
    let mut request = String::new();
    let mut reader = BufReader::new(&stream);
    if !matches!(reader.read_line(&mut request), Ok(1..)) {
        return;
    }
    let does = {
        let mut state = state.lock().unwrap();
        let does = state.does;
        let is_answered = matches!(does, Does::Answers | Does::AnswersAfter(_));
        state.probes.push(Probed { at: Instant::now(), is_answered });
        if does == Does::LosesTheNext {
            state.does = Does::Answers;
        }
        does
    };
    match does {
        Does::Answers => answer(&stream),
        Does::AnswersAfter(time) => {
            thread::sleep(time);
            answer(&stream);
        }
        Does::Nothing | Does::LosesTheNext => hold(&stream),
        Does::Resets | Does::Refuses => reset(&stream),
    }
}

fn answer(mut stream: &TcpStream) {
    let _ = stream.write_all(ANSWER.as_bytes());
}

/// Keeps the connection open until the other side ends it.
fn hold(stream: &TcpStream) {
    let mut lines = BufReader::new(stream).lines();
    while let Some(Ok(_)) = lines.next() {}
}

/// A socket that is closed without lingering resets its connection.
fn reset(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
