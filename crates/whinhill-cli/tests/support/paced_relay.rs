//! A stand-in for the relay that keeps the lines which calls set, and that can deliver its state and its updates in two
//! pieces. One proxy acknowledges every ack request. Everything stays in order: acks and heartbeats follow the second
//! piece.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{send_keep_alives, serve_connections};

struct State {
    /// The servers on the lines of each slice in the assigner's custody.
    slices: Vec<Vec<String>>,
    /// Whether a new line of a slice replaces the former one.
    is_exclusive: bool,
    /// The pause before the last line of the state. Without one, the state comes in one piece with a heartbeat.
    pause: Option<Duration>,
    /// The orders for lines, as they stood in the calls.
    line_orders: Vec<String>,
    states_sent: usize,
}

/// The relay of one assigner.
#[derive(Clone)]
pub struct PacedRelay {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    watch_stream: Arc<Mutex<Option<TcpStream>>>,
}

impl PacedRelay {
    /// Starts a relay. `slices` are the servers on the lines of each slice.
    pub fn start(slices: Vec<Vec<String>>, is_exclusive: bool, pause: Option<Duration>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = State { slices, is_exclusive, pause, line_orders: Vec::new(), states_sent: 0 };
        let relay = PacedRelay {
            addr: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(state)),
            watch_stream: Arc::default(),
        };
        send_keep_alives(&relay.watch_stream, "*\r\n".to_string());
        let listener_relay = relay.clone();
        serve_connections(listener, move |stream| listener_relay.serve(stream));
        relay
    }

    /// The servers on the lines of each slice.
    pub fn slices(&self) -> Vec<Vec<String>> {
        self.state.lock().unwrap().slices.clone()
    }

    /// The orders for lines since the start or since the last call.
    pub fn take_line_orders(&self) -> Vec<String> {
        std::mem::take(&mut self.state.lock().unwrap().line_orders)
    }

    /// How many times the complete state was sent.
    pub fn states_sent(&self) -> usize {
        self.state.lock().unwrap().states_sent
    }

    /// Sets the pause in further deliveries of the state.
    pub fn set_pause(&self, pause: Duration) {
        self.state.lock().unwrap().pause = Some(pause);
    }

    /// Closes the watch stream.
    pub fn break_watch(&self) {
        if let Some(stream) = self.watch_stream.lock().unwrap().take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Grants custody of one more slice, and sends its lines after a pause.
    pub fn grant_slice_in_pieces(&self, servers: &[&str], pause: Duration) {
        let mut watch_stream = self.watch_stream.lock().unwrap();
        let slice = {
            let slices = &mut self.state.lock().unwrap().slices;
            slices.push(servers.iter().map(ToString::to_string).collect());
            slices.len() - 1
        };
        let stream = watch_stream.as_mut().expect("no watch stream is open");
        write!(stream, "* lease {slice} 1\r\n").unwrap();
        thread::sleep(pause);
        for server in servers {
            write!(stream, "* line {slice} {server} 1.0\r\n").unwrap();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut out = stream.try_clone().unwrap();
        for request in BufReader::new(stream).lines().map_while(Result::ok) {
            if request == "WATCH" {
                self.start_watch(&mut out);
            } else if let Some(orders) = request.strip_prefix("APPLY ") {
                let orders: Vec<&str> = orders.split(';').collect();
                let acks = self.apply(&orders);
                let _ = out.write_all(format!("OK {}\r\n", orders.len()).as_bytes());
                if let Some(stream) = self.watch_stream.lock().unwrap().as_mut() {
                    let _ = stream.write_all(acks.as_bytes());
                }
            }
        }
    }

    /// Sends the state. Acks and heartbeats wait for the stream until all of it has been sent.
    fn start_watch(&self, out: &mut TcpStream) {
        let mut watch_stream = self.watch_stream.lock().unwrap();
        let (slices, pause) = {
            let state = self.state.lock().unwrap();
            (state.slices.clone(), state.pause)
        };
        let lines = slices.iter().enumerate().flat_map(|(slice, servers)| {
            servers.iter().map(move |server| format!("* line {slice} {server} 1.0\r\n"))
        });
        let mut lines: Vec<String> = lines.collect();
        let last_line = lines.pop().unwrap_or_default();
        let leases: String = (0..slices.len()).map(|slice| format!("* lease {slice} 1\r\n")).collect();
        let _ = write!(out, "OK\r\n* hello 0 a 5 1\r\n{leases}{}", lines.concat());
        pause.into_iter().for_each(thread::sleep);
        let heartbeat = if pause.is_none() { "*\r\n" } else { "" };
        let _ = write!(out, "{last_line}{heartbeat}");
        self.state.lock().unwrap().states_sent += 1;
        *watch_stream = Some(out.try_clone().unwrap());
    }

    /// Applies orders; returns the acks of the proxy.
    fn apply(&self, orders: &[&str]) -> String {
        let (mut state, mut acks) = (self.state.lock().unwrap(), String::new());
        for order in orders {
            let words: Vec<&str> = order.split(',').collect();
            match words[..] {
                ["put", slice, server, on] => {
                    state.line_orders.push(order.to_string());
                    let (is_on, is_exclusive) = (on != "0", state.is_exclusive);
                    let servers = &mut state.slices[slice.parse::<usize>().unwrap()];
                    servers.retain(|other| other != server && !(is_on && is_exclusive));
                    servers.extend(is_on.then(|| server.to_string()));
                }
                ["fence", ack_seq, _] => acks.push_str(&format!("* ack 0 {ack_seq} 1.0\r\n")),
                _ => {}
            }
        }
        acks
    }
}
