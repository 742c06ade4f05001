//! Discovery with two servers.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::Sender;
use std::thread;

use super::Saw;

/// Discovery: two servers, both ready; each call is answered by the whole list, and a watch then stays open.
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
            let list = format!("{}\n", list(status));
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let _ = write!(stream, "{head}{:x}\r\n{list}\r\n", list.len());
            let _ = saw.send(Saw::List);
            open.push(stream);
        }
    });
    addr
}

pub fn list(status: [&str; 2]) -> String {
    let server = |name: &str, status: &str| {
        format!(
            r#"{{"name":"{name}","address":"127.0.0.1:9","zone":"a","type":"m","group":0,"status":"{status}","weight":1.0,"since_ms":0}}"#
        )
    };
    format!(
        r#"{{"index":7,"snapshot":true,"endpoints":[{},{}]}}"#,
        server("s-1", status[0]),
        server("s-2", status[1])
    )
}
