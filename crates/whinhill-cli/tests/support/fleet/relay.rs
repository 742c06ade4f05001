//! A relay with many slices in the assigner's charge and proxies that answer every mark at once. It notes when each
//! order came.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Instant;

use crate::support::send_signs_of_life;

/// An order in the protocol's words, and when it came.
#[derive(Clone, Debug)]
pub struct Came {
    pub at: Instant,
    pub order: String,
}

pub struct State {
    /// The proxies that are joined, with their zones.
    proxies: BTreeMap<usize, &'static str>,
    /// The server on each slice's line.
    lines: Vec<Option<String>>,
    orders: Vec<Came>,
}

#[derive(Clone)]
pub struct Relay {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    news: Arc<Mutex<Option<TcpStream>>>,
}

impl Relay {
    pub fn start(proxies: BTreeMap<usize, &'static str>, owners: Vec<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let lines = owners.into_iter().map(Some).collect();
        let relay = Relay {
            addr: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(State { proxies, lines, orders: Vec::new() })),
            news: Arc::default(),
        };
        send_signs_of_life(&relay.news, "*\r\n".to_string());
        let kept = relay.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let relay = kept.clone();
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

    pub fn lines(&self) -> Vec<Option<String>> {
        self.state().lines.clone()
    }

    /// The orders that came at a moment or after it.
    pub fn orders_since(&self, since: Instant) -> Vec<Came> {
        self.state().orders.iter().filter(|came| came.at >= since).cloned().collect()
    }

    /// All proxies of a zone leave.
    pub fn leave(&self, zone: &str) {
        let left: Vec<usize> = {
            let mut state = self.state();
            let left = state.proxies.iter().filter(|(_, of)| **of == zone).map(|(id, _)| *id).collect();
            state.proxies.retain(|_, of| *of != zone);
            left
        };
        let told: String = left.iter().map(|id| format!("* bye {id}\r\n")).collect();
        self.tell(&told);
    }

    fn tell(&self, news: &str) {
        if let Some(stream) = self.news.lock().unwrap().as_mut() {
            let _ = stream.write_all(news.as_bytes());
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut out = stream.try_clone().unwrap();
        for request in BufReader::new(stream).lines().map_while(Result::ok) {
            if request == "WATCH" {
                // Calls may follow at once, and whoever answers their marks must find the stream.
                let mut news = self.news.lock().unwrap();
                let _ = out.write_all(self.standing().as_bytes());
                *news = Some(out.try_clone().unwrap());
            } else if let Some(orders) = request.strip_prefix("APPLY ") {
                let orders: Vec<&str> = orders.split(';').collect();
                let acks = self.apply(&orders);
                let _ = out.write_all(format!("OK {}\r\n", orders.len()).as_bytes());
                self.tell(&acks);
            }
        }
    }

    /// What the news tell first.
    fn standing(&self) -> String {
        let state = self.state();
        let hellos = state.proxies.iter().map(|(id, zone)| format!("* hello {id} {zone} 60 1\r\n"));
        let leases = (0..state.lines.len()).map(|slice| format!("* lease {slice} 1\r\n"));
        let lines = state.lines.iter().enumerate();
        let lines =
            lines.filter_map(|(slice, server)| Some(format!("* line {slice} {} 1.0\r\n", server.as_ref()?)));
        let told: String = hellos.chain(leases).chain(lines).collect();
        format!("OK\r\n{told}*\r\n")
    }

    /// Takes orders; the answers to their marks.
    fn apply(&self, orders: &[&str]) -> String {
        let (at, mut state, mut acks) = (Instant::now(), self.state(), String::new());
        for order in orders {
            state.orders.push(Came { at, order: order.to_string() });
            let words: Vec<&str> = order.split(',').collect();
            match words[..] {
                ["put", slice, server, on] => {
                    state.lines[slice.parse::<usize>().unwrap()] = (on != "0").then(|| server.to_string());
                }
                ["fence", mark, _] => {
                    acks.extend(state.proxies.keys().map(|id| format!("* ack {id} {mark} 5.0\r\n")));
                }
                _ => {}
            }
        }
        acks
    }
}
