//! What the tests of the platform's front share: the assigner as a process, and small stand-ins of relay, discovery
//! and collector. Each test file uses a part of it.
#![allow(dead_code)]

pub mod config;
pub mod discovery;
pub mod relay;
pub mod running;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Within this everything that is waited for has happened, on a busy machine too.
pub const WITHIN: Duration = Duration::from_secs(20);

/// Both ends of the platform's streams send one at least each second or two.
const SIGN_OF_LIFE_EVERY: Duration = Duration::from_millis(500);

/// Sends the same bytes now and then on the stream that is there at that time, for as long as anybody holds it.
pub fn send_signs_of_life(stream: &Arc<Mutex<Option<TcpStream>>>, sign: String) {
    let stream = Arc::downgrade(stream);
    thread::spawn(move || {
        while let Some(stream) = stream.upgrade() {
            if let Some(stream) = stream.lock().unwrap().as_mut() {
                let _ = stream.write_all(sign.as_bytes());
            }
            drop(stream);
            thread::sleep(SIGN_OF_LIFE_EVERY);
        }
    });
}

/// What the stand-ins saw.
#[derive(Debug, PartialEq)]
pub enum Saw {
    Watch,
    Orders(String),
    List,
}

pub fn wait_for(saw: &Receiver<Saw>, what: &str, wanted: impl Fn(&Saw) -> bool) {
    let (until, mut seen) = (Instant::now() + WITHIN, Vec::new());
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let next = saw.recv_timeout(left).unwrap_or_else(|_| panic!("never seen: {what}; seen: {seen:#?}"));
        if wanted(&next) {
            return;
        }
        seen.push(next);
    }
}

pub fn ask_alive(addr: SocketAddr) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(b"{\"@type\":\"probe\"}\n").unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    line
}

pub fn orders_with(part: &'static str) -> impl Fn(&Saw) -> bool {
    move |saw| matches!(saw, Saw::Orders(orders) if orders.contains(part))
}

pub fn granted(saw: &Saw) -> bool {
    orders_with("put,0,s-1,1")(saw) || orders_with("put,0,s-2,1")(saw)
}

/// An address at which nobody listens.
pub fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub fn collect(addr: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(WITHIN)).unwrap();
    stream.write_all(b"{\"@type\":\"agent\",\"site\":\"a\"}\n{\"@type\":\"probe\"}\n").unwrap();
    stream
}
