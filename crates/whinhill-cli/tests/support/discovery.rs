//! Stand-ins for discovery: one that answers each call with the same list of two servers, and one that sends changes.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

use super::{send_keep_alives, StandInEvent, WAIT_TIMEOUT};

/// The head of a response with a chunked body.
const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Answers each call with a first list. Then it sends the updates of the test on the current watch, and keep-alives
/// in between.
pub struct Discovery {
    pub addr: SocketAddr,
    watches: Receiver<TcpStream>,
    current_watch: Arc<Mutex<Option<TcpStream>>>,
}

impl Discovery {
    /// Listens on a free port; `first` is the list that answers each call.
    pub fn start(first: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (watch_sender, watches) = channel();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut request = String::new();
                let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut request);
                let _ = write!(stream, "{RESPONSE_HEAD}{}", encode_chunk(&first));
                let _ = watch_sender.send(stream);
            }
        });
        let current_watch: Arc<Mutex<Option<TcpStream>>> = Arc::default();
        send_keep_alives(&current_watch, encode_chunk(""));
        Discovery { addr, watches, current_watch }
    }

    /// Waits until a watch is open, and makes it the current one.
    pub fn wait_for_watch(&self) {
        *self.current_watch.lock().unwrap() =
            Some(self.watches.recv_timeout(WAIT_TIMEOUT).expect("no watch was opened"));
    }

    /// Makes the newest of the watches opened meanwhile the current one.
    pub fn use_newest_watch(&self) {
        self.wait_for_watch();
        while let Ok(watch) = self.watches.try_recv() {
            *self.current_watch.lock().unwrap() = Some(watch);
        }
    }

    /// Whether a call has arrived since the last wait for a watch.
    pub fn has_new_watch(&self) -> bool {
        self.watches.try_recv().is_ok()
    }

    /// Sends a list on the current watch.
    pub fn send_list(&self, list: &str) {
        self.send_bytes(&encode_chunk(list));
    }

    /// Sends bytes unchanged on the current watch.
    pub fn send_bytes(&self, bytes: &str) {
        self.current_watch
            .lock()
            .unwrap()
            .as_mut()
            .expect("no watch is open")
            .write_all(bytes.as_bytes())
            .unwrap();
    }
}

/// Encodes a line as one chunk of a chunked response.
pub fn encode_chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// A list as JSON: a snapshot of all servers, or changes.
pub fn list_json(version: u64, is_snapshot: bool, servers: &[String]) -> String {
    format!(r#"{{"index":{version},"snapshot":{is_snapshot},"endpoints":[{}]}}"#, servers.join(","))
}

/// The entry of a server that started at `since_ms`, a Unix time in milliseconds; 0 stands for long ago.
pub fn server_json(name: &str, status: &str, since_ms: i64) -> String {
    format!(
        r#"{{"name":"{name}","address":"127.0.0.1:9","zone":"a","type":"m","group":0,"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
    )
}

/// Starts a discovery that lists two ready servers. It answers each call with the complete list and keeps the
/// connection open as a watch.
pub fn start_discovery(events: Sender<StandInEvent>) -> SocketAddr {
    start_discovery_with(["SERVING"; 2], events)
}

/// The same with the given status of each server.
pub fn start_discovery_with(status: [&'static str; 2], events: Sender<StandInEvent>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut open_watches = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let mut request = String::new();
            let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut request);
            let _ = write!(stream, "{RESPONSE_HEAD}{}", encode_chunk(&two_server_list(status)));
            let _ = events.send(StandInEvent::ListSent);
            open_watches.push(stream);
        }
    });
    addr
}

/// The list of the two servers with the given status of each.
pub fn two_server_list(status: [&str; 2]) -> String {
    list_json(7, true, &[server_json("s-1", status[0], 0), server_json("s-2", status[1], 0)])
}
