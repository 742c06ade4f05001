//! A stand-in for the relay whose calls can fail: they are read, and neither carried out nor answered. One slice is in
//! the assigner's custody. Of two proxies, proxy 0 acknowledges ack requests while the test lets it, and proxy 1 never
//! does; the test reports its joins and breaks.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use super::{send_keep_alives, serve_connections};

/// A call that was carried out.
#[derive(Debug)]
pub struct CarriedOutCall {
    pub at: Instant,
    pub orders: String,
}

struct State {
    calls_fail: bool,
    acks_are_sent: bool,
    failed_calls: usize,
}

/// The relay of one assigner.
#[derive(Clone)]
pub struct FailingRelay {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    watch_stream: Arc<Mutex<Option<TcpStream>>>,
}

impl FailingRelay {
    /// Starts a relay whose calls fail; `line_server` is the server on the slice's line. Returns it and the calls that
    /// are carried out.
    pub fn start(line_server: &'static str) -> (Self, Receiver<CarriedOutCall>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (sender, calls) = channel();
        let relay = FailingRelay {
            addr: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(State { calls_fail: true, acks_are_sent: true, failed_calls: 0 })),
            watch_stream: Arc::default(),
        };
        send_keep_alives(&relay.watch_stream, "*\r\n".to_string());
        let listener_relay = relay.clone();
        serve_connections(listener, move |stream| listener_relay.serve(stream, line_server, &sender));
        (relay, calls)
    }

    /// How many calls have failed.
    pub fn failed_calls(&self) -> usize {
        self.state.lock().unwrap().failed_calls
    }

    /// Lets further calls fail, or be carried out.
    pub fn set_calls_fail(&self, calls_fail: bool) {
        self.state.lock().unwrap().calls_fail = calls_fail;
    }

    /// Whether proxy 0 acknowledges ack requests of further calls.
    pub fn set_acks_are_sent(&self, acks_are_sent: bool) {
        self.state.lock().unwrap().acks_are_sent = acks_are_sent;
    }

    /// Sends a line on the watch stream; returns when.
    pub fn send_update(&self, update: &str) -> Instant {
        let mut watch_stream = self.watch_stream.lock().unwrap();
        let stream = watch_stream.as_mut().expect("no watch stream is open");
        let at = Instant::now();
        write!(stream, "{update}\r\n").unwrap();
        at
    }

    fn serve(&self, stream: TcpStream, line_server: &str, calls: &Sender<CarriedOutCall>) {
        let mut out = stream.try_clone().unwrap();
        for request in BufReader::new(stream).lines().map_while(Result::ok) {
            if request == "WATCH" {
                let mut watch_stream = self.watch_stream.lock().unwrap();
                let proxies = "* hello 0 a 5 1\r\n* hello 1 a 5 1\r\n";
                let _ = write!(out, "OK\r\n{proxies}* lease 0 1\r\n* line 0 {line_server} 1.0\r\n*\r\n");
                *watch_stream = Some(out.try_clone().unwrap());
            } else if let Some(orders) = request.strip_prefix("APPLY ") {
                let acks_are_sent = {
                    let mut state = self.state.lock().unwrap();
                    state.failed_calls += usize::from(state.calls_fail);
                    if state.calls_fail {
                        continue;
                    }
                    state.acks_are_sent
                };
                let _ = calls.send(CarriedOutCall { at: Instant::now(), orders: orders.to_string() });
                let _ = write!(out, "OK {}\r\n", orders.split(';').count());
                if acks_are_sent {
                    self.send_acks(orders);
                }
            }
        }
    }

    fn send_acks(&self, orders: &str) {
        for ack_request in orders.split(';').filter_map(|order| order.strip_prefix("fence,")) {
            let ack_seq = ack_request.split(',').next().unwrap_or_default();
            self.send_update(&format!("* ack 0 {ack_seq} 1.0"));
        }
    }
}
