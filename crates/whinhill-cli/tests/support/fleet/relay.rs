//! A stand-in for the relay, with many slices in the assigner's custody and proxies that acknowledge every ack request
//! at once. It records when each order arrived.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Instant;

use crate::support::send_keep_alives;

/// An order as it stood in the call, and when it arrived.
#[derive(Clone, Debug)]
pub struct ReceivedOrder {
    pub at: Instant,
    pub order: String,
}

/// The relay's view of proxies and slices.
pub struct State {
    /// The connected proxies with their zones.
    proxies: BTreeMap<usize, &'static str>,
    /// The server on the line of each slice; none where there is no line.
    lines: Vec<Option<String>>,
    orders: Vec<ReceivedOrder>,
}

/// A relay that answers every call.
#[derive(Clone)]
pub struct Relay {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    watch_stream: Arc<Mutex<Option<TcpStream>>>,
}

impl Relay {
    /// Starts a relay with these proxies and owners of the slices.
    pub fn start(proxies: BTreeMap<usize, &'static str>, owners: Vec<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let lines = owners.into_iter().map(Some).collect();
        let relay = Relay {
            addr: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(State { proxies, lines, orders: Vec::new() })),
            watch_stream: Arc::default(),
        };
        send_keep_alives(&relay.watch_stream, "*\r\n".to_string());
        let listener_relay = relay.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let relay = listener_relay.clone();
                thread::spawn(move || relay.serve(stream));
            }
        });
        relay
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// The slices whose line names a server.
    pub fn slices_of(&self, server: &str) -> Vec<usize> {
        let state = self.state();
        (0..state.lines.len()).filter(|slice| state.lines[*slice].as_deref() == Some(server)).collect()
    }

    /// The server on the line of each slice.
    pub fn lines(&self) -> Vec<Option<String>> {
        self.state().lines.clone()
    }

    /// The orders that arrived at `since` or later.
    pub fn orders_since(&self, since: Instant) -> Vec<ReceivedOrder> {
        self.state().orders.iter().filter(|received| received.at >= since).cloned().collect()
    }

    /// Reports that all proxies of a zone have disconnected.
    pub fn disconnect_proxies(&self, zone: &str) {
        let disconnected: Vec<usize> = {
            let mut state = self.state();
            let disconnected = state
                .proxies
                .iter()
                .filter(|(_, proxy_zone)| **proxy_zone == zone)
                .map(|(id, _)| *id)
                .collect();
            state.proxies.retain(|_, proxy_zone| *proxy_zone != zone);
            disconnected
        };
        let updates: String = disconnected.iter().map(|id| format!("* bye {id}\r\n")).collect();
        self.send_update(&updates);
    }

    fn send_update(&self, update: &str) {
        if let Some(stream) = self.watch_stream.lock().unwrap().as_mut() {
            let _ = stream.write_all(update.as_bytes());
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut out = stream.try_clone().unwrap();
        for request in BufReader::new(stream).lines().map_while(Result::ok) {
            if request == "WATCH" {
                // Calls may follow at once, and the threads that send their acks need the stream: it is locked until
                // set.
                let mut watch_stream = self.watch_stream.lock().unwrap();
                let _ = out.write_all(self.initial_state().as_bytes());
                *watch_stream = Some(out.try_clone().unwrap());
            } else if let Some(orders) = request.strip_prefix("APPLY ") {
                let orders: Vec<&str> = orders.split(';').collect();
                let acks = self.apply(&orders);
                let _ = out.write_all(format!("OK {}\r\n", orders.len()).as_bytes());
                self.send_update(&acks);
            }
        }
    }

    /// The state that a watch stream starts with.
    fn initial_state(&self) -> String {
        let state = self.state();
        let hellos = state.proxies.iter().map(|(id, zone)| format!("* hello {id} {zone} 60 1\r\n"));
        let leases = (0..state.lines.len()).map(|slice| format!("* lease {slice} 1\r\n"));
        let lines = state.lines.iter().enumerate();
        let lines =
            lines.filter_map(|(slice, server)| Some(format!("* line {slice} {} 1.0\r\n", server.as_ref()?)));
        let state: String = hellos.chain(leases).chain(lines).collect();
        format!("OK\r\n{state}*\r\n")
    }

    /// Applies orders; returns the acks of all proxies.
    fn apply(&self, orders: &[&str]) -> String {
        let (at, mut state, mut acks) = (Instant::now(), self.state(), String::new());
        for order in orders {
            state.orders.push(ReceivedOrder { at, order: order.to_string() });
            let words: Vec<&str> = order.split(',').collect();
            match words[..] {
                ["put", slice, server, on] => {
                    state.lines[slice.parse::<usize>().unwrap()] = (on != "0").then(|| server.to_string());
                }
                ["fence", ack_seq, _] => {
                    acks.extend(state.proxies.keys().map(|id| format!("* ack {id} {ack_seq} 5.0\r\n")));
                }
                _ => {}
            }
        }
        acks
    }
}
