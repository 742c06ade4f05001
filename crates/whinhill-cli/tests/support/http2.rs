//! A client that writes HTTP/2 frames (RFC 9113) by hand, and so may stop anywhere.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;

/// Frame types.
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
/// Flags of a HEADERS frame.
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

/// Whether a head ends its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// Nothing follows.
    Empty,
    /// More is to come.
    Unended,
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let size = (payload.len() as u32).to_be_bytes();
    let mut out = vec![size[1], size[2], size[3], kind, flags];
    out.extend(stream.to_be_bytes());
    out.extend(payload);
    out
}

/// Encodes a string of fewer than 127 bytes without compression (RFC 7541, 5.2).
fn string(text: &str) -> Vec<u8> {
    [&[text.len() as u8], text.as_bytes()].concat()
}

/// Encodes a field that no table keeps (RFC 7541, 6.2.2).
fn field(name: &str, value: &str) -> Vec<u8> {
    [vec![0], string(name), string(value)].concat()
}

/// The head of a gRPC request with `extra_fields` short fields besides those that a request needs.
pub fn request_head(stream: u32, path: &str, extra_fields: usize, body: Body) -> Vec<u8> {
    // Indices of the static table: POST, http, and the names of :path and :authority.
    let mut block = vec![0x83, 0x86, 0x04];
    block.extend(string(path));
    block.push(0x01);
    block.extend(string("proxy"));
    block.extend(field("content-type", "application/grpc"));
    block.extend(field("te", "trailers"));
    block.extend(field("whinhill-key", "k"));
    for number in 0..extra_fields {
        block.extend(field(&format!("a{number}"), "b"));
    }
    let flags = END_HEADERS | if body == Body::Empty { END_STREAM } else { 0 };
    frame(HEADERS, flags, stream, &block)
}

/// A ping.
pub fn ping() -> Vec<u8> {
    frame(PING, 0, 0, &[0; 8])
}

/// Connects, sends the preface and reads whatever comes.
pub fn connect(addr: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n").unwrap();
    stream.write_all(&frame(SETTINGS, 0, 0, &[])).unwrap();
    let mut reader = stream.try_clone().unwrap();
    thread::spawn(move || {
        let mut buffer = [0; 16384];
        while reader.read(&mut buffer).is_ok_and(|count| count > 0) {}
    });
    stream
}

/// A DATA frame of up to 16,384 bytes that does not end its stream.
pub fn data(stream: u32, bytes: &[u8]) -> Vec<u8> {
    frame(DATA, 0, stream, bytes)
}
