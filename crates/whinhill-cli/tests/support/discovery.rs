//! Discovery: one that answers each call with the same list of two servers, and one that tells changes.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

use super::{send_signs_of_life, Saw, WITHIN};

/// The head of an answer whose body comes in chunks.
const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Answers each call with a first list, and then tells on the newest watch what the test has it tell, with signs of
/// life between.
pub struct Discovery {
    pub addr: SocketAddr,
    watches: Receiver<TcpStream>,
    watch: Arc<Mutex<Option<TcpStream>>>,
}

impl Discovery {
    pub fn start(first: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (sender, watches) = channel();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut request = String::new();
                let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut request);
                let _ = write!(stream, "{HEAD}{}", chunk(&first));
                let _ = sender.send(stream);
            }
        });
        let watch: Arc<Mutex<Option<TcpStream>>> = Arc::default();
        send_signs_of_life(&watch, chunk(""));
        Discovery { addr, watches, watch }
    }

    /// Waits until a watch is open.
    pub fn wait_for_watch(&self) {
        *self.watch.lock().unwrap() = Some(self.watches.recv_timeout(WITHIN).expect("a watch"));
    }

    /// From now on lists are told on the newest watch of those that were opened meanwhile.
    pub fn use_newest_watch(&self) {
        self.wait_for_watch();
        while let Ok(watch) = self.watches.try_recv() {
            *self.watch.lock().unwrap() = Some(watch);
        }
    }

    /// Whether it was asked since a watch was last waited for.
    pub fn is_watched_again(&self) -> bool {
        self.watches.try_recv().is_ok()
    }

    /// Tells a list.
    pub fn tell(&self, list: &str) {
        self.send(&chunk(list));
    }

    /// Sends bytes as they are.
    pub fn send(&self, bytes: &str) {
        self.watch.lock().unwrap().as_mut().expect("a watch is open").write_all(bytes.as_bytes()).unwrap();
    }
}

/// A line of a chunked answer.
pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// A list, whole or of changes.
pub fn list_of(version: u64, whole: bool, servers: &[String]) -> String {
    format!(r#"{{"index":{version},"snapshot":{whole},"endpoints":[{}]}}"#, servers.join(","))
}

/// The entry of a server that started at a Unix time in milliseconds; 0: long ago.
pub fn entry(name: &str, status: &str, since_ms: i64) -> String {
    format!(
        r#"{{"name":"{name}","address":"127.0.0.1:9","zone":"a","type":"m","group":0,"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
    )
}

/// Two servers, both ready; each call is answered by the whole list, and a watch then stays open.
pub fn discovery(saw: Sender<Saw>) -> SocketAddr {
    discovery_with(["SERVING"; 2], saw)
}

pub fn discovery_with(status: [&'static str; 2], saw: Sender<Saw>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut open = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let mut first = String::new();
            let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut first);
            let _ = write!(stream, "{HEAD}{}", chunk(&list(status)));
            let _ = saw.send(Saw::List);
            open.push(stream);
        }
    });
    addr
}

pub fn list(status: [&str; 2]) -> String {
    list_of(7, true, &[entry("s-1", status[0], 0), entry("s-2", status[1], 0)])
}
