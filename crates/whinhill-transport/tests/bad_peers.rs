//! Connections of misbehaving peers are closed, and other connections are unaffected.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use whinhill_transport::{
    CallError, Client, Code, Drivers, Limits, Listener, NeverRan, ServerCall, Trailers,
};

const TIMEOUT: Duration = Duration::from_secs(10);

fn limits() -> Limits {
    Limits {
        max_message: 64 << 10,
        max_headers: 4 << 10,
        max_connections: 4,
        handshake: Duration::from_millis(300),
        ..Limits::default()
    }
}

/// Echoes a message. `/refuse` is refused with REFUSED_STREAM, `/hold` is never answered.
fn echo(mut call: ServerCall) {
    match call.path() {
        "/refuse" => call.refuse_stream(),
        "/hold" => {
            thread::spawn(move || {
                let _ = call.message(TIMEOUT);
                while !call.cancelled() {
                    thread::park_timeout(Duration::from_millis(5));
                }
            });
        }
        _ => {
            thread::spawn(move || match call.message(TIMEOUT) {
                Ok(message) => drop(call.answer(&message, Trailers::new(), TIMEOUT)),
                Err(error) => call.refuse(Code::InvalidArgument, &error.to_string(), Trailers::new()),
            });
        }
    }
}

fn server(drivers: &Drivers) -> Listener {
    Listener::start("test", "127.0.0.1:0".parse().unwrap(), limits(), drivers, echo).unwrap()
}

/// Writes `bytes` and waits for the server to close the connection.
fn closed_after(addr: SocketAddr, bytes: &[u8]) -> bool {
    let mut socket = TcpStream::connect(addr).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    // The server may close before it has read everything, which is what the test expects.
    let _ = socket.write_all(bytes);
    let mut sink = [0; 4096];
    loop {
        match socket.read(&mut sink) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => return !matches!(error.kind(), std::io::ErrorKind::WouldBlock),
        }
    }
}

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// An HTTP/2 frame (RFC 9113, 4.1).
fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let size = (payload.len() as u32).to_be_bytes();
    let mut out = vec![size[1], size[2], size[3], kind, flags];
    out.extend(stream.to_be_bytes());
    out.extend(payload);
    out
}

#[test]
fn invalid_or_silent_peers_are_closed_and_others_are_unaffected() {
    let drivers = Drivers::start("test", 1).unwrap();
    let listener = server(&drivers);
    let healthy = Client::connect(listener.addr(), limits(), &drivers).unwrap();
    let settings = [PREFACE, &frame(4, 0, 0, &[])].concat();
    // A header block that never ends: HEADERS without END_HEADERS, then CONTINUATION frames without an end.
    let mut endless_headers = [settings.clone(), frame(1, 0, 1, &[0x82; 100])].concat();
    (0..64).for_each(|_| endless_headers.extend(frame(9, 0, 1, &[0x40; 4096])));
    let partial_frame = [settings.as_slice(), &[0, 0, 100, 0]].concat();
    let oversized_frame = [settings.as_slice(), &frame(0, 0, 1, &[0; 20 << 10])].concat();
    for input in [
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        endless_headers,
        oversized_frame,
        Vec::new(),
        PREFACE[..10].to_vec(),
    ] {
        assert!(closed_after(listener.addr(), &input), "{:?}", &input[..input.len().min(40)]);
        let (answer, _) = healthy.unary("/echo", &[], Bytes::from_static(b"still here"), TIMEOUT).unwrap();
        assert_eq!(&answer[..], b"still here");
    }
    // A partial frame after a valid handshake is not an error yet; it must only not affect other connections.
    let mut slow = TcpStream::connect(listener.addr()).unwrap();
    slow.write_all(&partial_frame).unwrap();
    assert!(healthy.unary("/echo", &[], Bytes::from_static(b"x"), TIMEOUT).is_ok());
}

#[test]
fn connections_over_the_limit_are_refused_until_one_ends() {
    let drivers = Drivers::start("test", 1).unwrap();
    let listener = server(&drivers);
    let connect = || Client::connect(listener.addr(), limits(), &drivers);
    let is_usable = |client: &Client| client.unary("/echo", &[], Bytes::from_static(b"x"), TIMEOUT).is_ok();
    let held: Vec<Client> = (0..4).map(|_| connect().unwrap()).collect();
    assert!(held.iter().all(is_usable));
    assert_eq!(listener.connections(), 4);
    assert!(!connect().is_ok_and(|client| is_usable(&client)));
    drop(held);
    let deadline = Instant::now() + TIMEOUT;
    while !connect().is_ok_and(|client| is_usable(&client)) {
        assert!(Instant::now() < deadline, "no connection was accepted after the others had ended");
        thread::yield_now();
    }
}

#[test]
fn message_over_the_limit_is_refused_with_the_limit_in_the_error() {
    let drivers = Drivers::start("test", 1).unwrap();
    let listener = server(&drivers);
    let client = Client::connect(listener.addr(), limits(), &drivers).unwrap();
    let error = client.unary("/echo", &[], Bytes::from(vec![7; 80 << 10]), TIMEOUT).unwrap_err();
    assert!(
        matches!(&error, CallError::Status { code: Code::InvalidArgument, message } if message.contains("65536")),
        "{error}"
    );
    assert!(client.unary("/echo", &[], Bytes::from(vec![7; 60 << 10]), TIMEOUT).is_ok());
}

#[test]
fn only_refused_stream_or_missing_connection_proves_that_nothing_ran() {
    let drivers = Drivers::start("test", 1).unwrap();
    let listener = server(&drivers);
    let client = Client::connect(listener.addr(), limits(), &drivers).unwrap();
    let refused = client.unary("/refuse", &[], Bytes::new(), TIMEOUT).unwrap_err();
    assert_eq!(refused.never_ran(), Some(NeverRan::RefusedStream));
    let held = client.unary("/hold", &[], Bytes::new(), Duration::from_millis(50)).unwrap_err();
    assert!(matches!(held, CallError::Deadline(_)) && held.never_ran().is_none());
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let unconnected = Client::connect(free, limits(), &drivers).err().unwrap();
    assert_eq!(unconnected.never_ran(), Some(NeverRan::NoConnection));
}

#[test]
fn peers_that_write_before_they_read_do_not_deadlock() {
    let drivers = Drivers::start("test", 1).unwrap();
    let large_limits = Limits { max_message: 1 << 20, window: 1 << 16, ..limits() };
    let write_then_read = |call: ServerCall| {
        thread::spawn(move || {
            let (mut reader, mut writer) = call.open().unwrap();
            (0..4).for_each(|_| writer.send(&vec![1; 200 << 10], TIMEOUT).unwrap());
            while reader.recv(TIMEOUT).unwrap().is_some() {}
            writer.close(Code::Ok, "", Trailers::new()).unwrap();
        });
    };
    let listener = Listener::start(
        "test",
        "127.0.0.1:0".parse().unwrap(),
        large_limits.clone(),
        &drivers,
        write_then_read,
    )
    .unwrap();
    let client = Client::connect(listener.addr(), large_limits, &drivers).unwrap();
    let (mut writer, pending) = client.call("/write-then-read", &[], TIMEOUT).unwrap();
    let reading = thread::spawn(move || {
        let mut opened = pending.head(TIMEOUT).unwrap();
        (0..4).filter(|_| opened.reader.recv(TIMEOUT).unwrap().is_some()).count()
    });
    (0..4).for_each(|_| writer.send(&vec![2; 200 << 10], TIMEOUT).unwrap());
    writer.finish().unwrap();
    assert_eq!(reading.join().unwrap(), 4);
}

#[test]
fn aborted_connection_is_reset_so_that_nothing_arrives_later() {
    let drivers = Drivers::start("severed", 1).unwrap();
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let long_handshake = Limits { handshake: TIMEOUT, ..Limits::default() };
    let client = Client::connect(silent.local_addr().unwrap(), long_handshake, &drivers).unwrap();
    let (mut peer, _) = silent.accept().unwrap();
    // Where nothing was read yet, silence counts from the connection's creation, whatever the age of the
    // process.
    assert!(client.time_since_last_read() < TIMEOUT);
    let brief = Duration::from_millis(20);
    let answer = client.unary("/hold", &[], Bytes::from_static(b"write"), brief);
    assert!(matches!(answer, Err(CallError::Deadline(_))), "{answer:?}");
    assert!(client.time_since_last_read() >= brief);
    client.abort();
    assert!(!client.is_alive());
    // An ordinary close would end gracefully, after delivering whatever was still in transit.
    peer.set_read_timeout(Some(TIMEOUT)).unwrap();
    let ended = peer.read_to_end(&mut Vec::new()).unwrap_err();
    assert_eq!(ended.kind(), std::io::ErrorKind::ConnectionReset);
}

/// Guards against an idle timer that misses short calls: calls that began and ended between two ticks did not
/// count as activity, so a connection used for one probe at a time was closed every ten seconds.
#[test]
fn connection_with_only_short_calls_is_not_idle() {
    let drivers = Drivers::start("idle", 1).unwrap();
    let listener = server(&drivers);
    let idle = Duration::from_millis(300);
    let client = Client::connect(listener.addr(), Limits { idle, ..limits() }, &drivers).unwrap();
    let started = Instant::now();
    while started.elapsed() < idle * 5 {
        let answer = client.unary("/echo", &[], Bytes::from_static(b"probe"), TIMEOUT);
        assert!(answer.is_ok(), "after {:?}: {answer:?}", started.elapsed());
        thread::sleep(Duration::from_millis(20));
    }
}
