//! The link as a TCP proxy: splitting the stream into pieces, and forwarding a half-close.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use whinhill_standins::link::Link;

const TIMEOUT: Duration = Duration::from_secs(10);

/// A server that reads until the client ends its stream, and then answers. The thread returns the bytes of each read.
fn start_server(answer: &'static [u8]) -> (SocketAddr, thread::JoinHandle<Vec<Vec<u8>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let served = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let (mut reads, mut buffer) = (Vec::new(), [0; 4096]);
        loop {
            match stream.read(&mut buffer).unwrap() {
                0 => break,
                count => reads.push(buffer[..count].to_vec()),
            }
        }
        stream.write_all(answer).unwrap();
        reads
    });
    (addr, served)
}

#[test]
fn half_close_is_forwarded_and_the_answer_still_arrives() {
    let (addr, served) = start_server(b"an answer");
    let link = Link::start(addr, |_| {}).unwrap();
    link.forward_half_close(true);
    let mut stream = TcpStream::connect(link.addr()).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(b"a request").unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert_eq!((answer.as_str(), served.join().unwrap().concat()), ("an answer", b"a request".to_vec()));
}

#[test]
fn stream_is_split_into_pieces_without_loss() {
    let (addr, served) = start_server(b"an answer in pieces");
    let link = Link::start(addr, |_| {}).unwrap();
    link.forward_half_close(true);
    link.set_piece_bytes(2);
    let mut stream = TcpStream::connect(link.addr()).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let request: Vec<u8> = (0..200).collect();
    stream.write_all(&request).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let reads = served.join().unwrap();
    assert_eq!((answer.as_str(), reads.concat()), ("an answer in pieces", request));
    assert!(reads.len() > 10, "{} reads", reads.len());
}
