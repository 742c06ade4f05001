//! A stand-in for the relay that keeps what calls order for one slice, and that can refuse calls or an order of one. Of
//! its proxies, proxy 0 acknowledges every ack request. It judges each new line: nobody may be sending writes to another
//! server.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use super::{send_keep_alives, serve_connections};

/// Between a break of the watch and the answer to a call in flight: less than the relay takes at most, and more than the
/// assigner takes to open another watch.
const ANSWER_DELAY: Duration = Duration::from_millis(45);

/// What the relay refuses. Each is refused only so often, then all is carried out.
#[derive(Clone, Copy)]
pub enum Refusal {
    /// So many calls that stop writes, with an error.
    Stops { left: usize },
    /// The first order that sets a line: the orders before it in the call are carried out, those behind it are not.
    FirstLine,
    /// The first call that sets a line: the watch breaks, and with it the assigner loses the slice, whose levels are
    /// reset. Orders for a slice that an assigner does not have count as taken and change nothing. It has the slice again
    /// on its next watch.
    FirstLineAsNotHeld,
    /// Nothing.
    Nothing,
}

/// What the store holds of the slice, and what was seen.
pub struct Store {
    pub line: Option<String>,
    pub writes_are_admitted: bool,
    pub reads_are_admitted: bool,
    pub refusal: Refusal,
    /// The joined proxies that the state names besides proxy 0.
    pub other_proxies: Vec<u32>,
    /// When the state was last sent.
    pub state_sent_at: Option<Instant>,
    /// When a line was last set.
    pub line_set_at: Option<Instant>,
    /// Lines that were set while writes went to another server.
    pub violations: Vec<String>,
    /// Servers to which a call admitted reads again, without setting their line.
    pub reopened: Vec<String>,
}

/// The relay of one assigner.
#[derive(Clone)]
pub struct StoringRelay {
    pub addr: SocketAddr,
    store: Arc<Mutex<Store>>,
    watch_stream: Arc<Mutex<Option<TcpStream>>>,
}

impl StoringRelay {
    /// Starts a relay; `line_server` is the server on the slice's line.
    pub fn start(line_server: &str, refusal: Refusal) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let line = Some(line_server.to_string());
        let store = Store {
            line,
            writes_are_admitted: true,
            reads_are_admitted: true,
            refusal,
            other_proxies: Vec::new(),
            state_sent_at: None,
            line_set_at: None,
            violations: Vec::new(),
            reopened: Vec::new(),
        };
        let relay = StoringRelay {
            addr: listener.local_addr().unwrap(),
            store: Arc::new(Mutex::new(store)),
            watch_stream: Arc::default(),
        };
        send_keep_alives(&relay.watch_stream, "*\r\n".to_string());
        let listener_relay = relay.clone();
        serve_connections(listener, move |stream| listener_relay.serve(stream));
        relay
    }

    /// The store.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap()
    }

    /// Sends a line on the watch stream.
    pub fn send_update(&self, update: &str) {
        let mut watch_stream = self.watch_stream.lock().unwrap();
        write!(watch_stream.as_mut().expect("no watch stream is open"), "{update}\r\n").unwrap();
    }

    /// Closes the watch stream.
    pub fn break_watch(&self) {
        if let Some(stream) = self.watch_stream.lock().unwrap().take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut out = stream.try_clone().unwrap();
        for request in BufReader::new(stream).lines().map_while(Result::ok) {
            if request == "WATCH" {
                let mut watch_stream = self.watch_stream.lock().unwrap();
                let _ = out.write_all(self.store().state_text().as_bytes());
                *watch_stream = Some(out.try_clone().unwrap());
            } else if let Some(orders) = request.strip_prefix("APPLY ") {
                let orders: Vec<&str> = orders.split(';').collect();
                if self.store().takes_as_not_held(&orders) {
                    self.break_watch();
                    thread::sleep(ANSWER_DELAY);
                    let _ = write!(out, "OK {}\r\n", orders.len());
                    continue;
                }
                let Some(applied) = self.store().carry_out_call(&orders) else {
                    let _ = out.write_all(b"ERR invalid\r\n");
                    continue;
                };
                let _ = write!(out, "OK {applied}\r\n");
                self.send_acks(&orders[..applied]);
            }
        }
    }

    fn send_acks(&self, orders: &[&str]) {
        let mut watch_stream = self.watch_stream.lock().unwrap();
        let Some(stream) = watch_stream.as_mut() else { return };
        for ack_request in orders.iter().filter_map(|order| order.strip_prefix("fence,")) {
            let ack_seq = ack_request.split(',').next().unwrap_or_default();
            let _ = write!(stream, "* ack 0 {ack_seq} 1.0\r\n");
        }
    }
}

impl Store {
    /// What a watch stream begins with.
    fn state_text(&mut self) -> String {
        self.state_sent_at = Some(Instant::now());
        let proxies = std::iter::once(&0).chain(&self.other_proxies);
        let proxies: String = proxies.map(|proxy| format!("* hello {proxy} a 5 1\r\n")).collect();
        let line = self.line.iter().map(|server| format!("* line 0 {server} 1.0\r\n"));
        format!("OK\r\n{proxies}* lease 0 1\r\n{}*\r\n", line.collect::<String>())
    }

    /// Whether the slice has a line with one of some servers, and all its writes are admitted.
    pub fn is_served_by(&self, servers: &[&str]) -> bool {
        self.writes_are_admitted && self.line.as_deref().is_some_and(|line| servers.contains(&line))
    }

    /// Whether a call comes as the slice is not held.
    fn takes_as_not_held(&mut self, orders: &[&str]) -> bool {
        let sets_line = orders.iter().any(|order| order.starts_with("put,") && order.ends_with(",1"));
        if !sets_line || !matches!(self.refusal, Refusal::FirstLineAsNotHeld) {
            return false;
        }
        self.refusal = Refusal::Nothing;
        self.writes_are_admitted = true;
        true
    }

    /// Carries out a call, and notes a server to which it admits reads again.
    fn carry_out_call(&mut self, orders: &[&str]) -> Option<usize> {
        let (line, was_closed) = (self.line.clone(), !self.reads_are_admitted);
        let applied = self.carry_out(orders);
        let reopened =
            line.filter(|line| was_closed && self.reads_are_admitted && self.line.as_ref() == Some(line));
        self.reopened.extend(reopened);
        applied
    }

    /// Carries out a call; returns the number of orders that were taken, or `None` if it is refused with an error.
    fn carry_out(&mut self, orders: &[&str]) -> Option<usize> {
        if let Refusal::Stops { left } = &mut self.refusal {
            if *left > 0 && orders.iter().any(|order| is_stop(order)) {
                *left -= 1;
                return None;
            }
        }
        for (index, order) in orders.iter().enumerate() {
            let words: Vec<&str> = order.split(',').collect();
            match words[..] {
                ["put", _, _, "1"] if matches!(self.refusal, Refusal::FirstLine) => {
                    self.refusal = Refusal::Nothing;
                    return Some(index);
                }
                ["put", _, server, "1"] => {
                    self.line_set_at = Some(Instant::now());
                    let other = self.line.replace(server.to_string()).filter(|other| other != server);
                    if let Some(other) = other.filter(|_| self.writes_are_admitted) {
                        self.violations.push(format!("{server} while writes went to {other}"));
                    }
                }
                ["put", _, server, _] => self.line = self.line.take().filter(|line| line != server),
                ["gate", _, methods, level, _] => {
                    let is_admitted = level.parse::<f64>().unwrap() > 0.0;
                    let applies_to = |method: &str| methods.contains(method) || methods == "*";
                    if applies_to("book") {
                        self.writes_are_admitted = is_admitted;
                    }
                    if applies_to("look") {
                        self.reads_are_admitted = is_admitted;
                    }
                }
                _ => {}
            }
        }
        Some(orders.len())
    }
}

/// Whether an order stops writes.
fn is_stop(order: &str) -> bool {
    order.starts_with("put,") && order.ends_with(",0")
        || order.starts_with("gate,") && order.contains(",0.000,")
}
