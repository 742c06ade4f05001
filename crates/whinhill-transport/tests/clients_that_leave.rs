//! Requests of clients that have closed their connections.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use whinhill_transport::{Client, Code, Drivers, Limits, Listener, ServerCall, Trailers};

const TIMEOUT: Duration = Duration::from_secs(10);
/// For how long the only driver is kept from reading.
const DRIVER_PAUSE: Duration = Duration::from_millis(300);
/// Requests that a client sends before it leaves.
const REQUESTS: u32 = 100;
/// The preface and an empty SETTINGS frame (RFC 9113, 3.4).
const OPENING: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

/// A HEADERS frame with the head of a request for the path `/run`, which ends it.
fn request(stream: u32) -> Vec<u8> {
    let block = [&[0x83, 0x86, 0x04, 4][..], b"/run", &[0x01, 1], b"h"].concat();
    let head = [0, 0, block.len() as u8, 1, 5];
    [&head[..], &stream.to_be_bytes(), &block].concat()
}

/// Guards against requests that are run after their client has closed its connection with them unread: it may send them
/// again, and they would run twice.
#[test]
fn requests_that_are_unread_when_their_client_leaves_are_not_run() {
    let drivers = Drivers::start("test", 1).unwrap();
    let run = Arc::new(AtomicUsize::new(0));
    let counter = run.clone();
    let handler = move |call: ServerCall| {
        match call.path() {
            "/pause" => thread::sleep(DRIVER_PAUSE),
            _ => drop(counter.fetch_add(1, Ordering::Relaxed)),
        }
        call.refuse(Code::Unavailable, "", Trailers::new());
    };
    let listener =
        Listener::start("test", "127.0.0.1:0".parse().unwrap(), Limits::default(), &drivers, handler)
            .unwrap();
    let client_drivers = Drivers::start("client", 1).unwrap();
    let other = Client::connect(listener.addr(), Limits::default(), &client_drivers).unwrap();
    let mut leaving = TcpStream::connect(listener.addr()).unwrap();
    leaving.write_all(OPENING).unwrap();
    assert!(other.unary("/run", &[], Bytes::new(), TIMEOUT).is_err());
    assert_eq!(run.load(Ordering::Relaxed), 1);
    let pausing = thread::spawn(move || other.unary("/pause", &[], Bytes::new(), TIMEOUT).is_err());
    thread::sleep(DRIVER_PAUSE / 3);
    let requests: Vec<u8> = (0..REQUESTS).flat_map(|number| request(2 * number + 1)).collect();
    leaving.write_all(&requests).unwrap();
    drop(leaving);
    assert!(pausing.join().unwrap());
    thread::sleep(DRIVER_PAUSE);
    assert_eq!(run.load(Ordering::Relaxed), 1, "requests were run after their client had left");
}
