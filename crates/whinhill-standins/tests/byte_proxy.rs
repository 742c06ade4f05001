//! The link as a proxy of bytes: pieces, and the end of one side alone.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use whinhill_standins::link::Link;

const WITHIN: Duration = Duration::from_secs(10);

/// Reads until the other side ends, tells what each read found, and then answers.
fn server(answer: &'static [u8]) -> (SocketAddr, thread::JoinHandle<Vec<Vec<u8>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let served = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(WITHIN)).unwrap();
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
fn it_passes_the_end_of_one_side_on_and_carries_the_answer() {
    let (addr, served) = server(b"an answer");
    let link = Link::start(addr, |_| {}).unwrap();
    link.half_close(true);
    let mut stream = TcpStream::connect(link.addr()).unwrap();
    stream.set_read_timeout(Some(WITHIN)).unwrap();
    stream.write_all(b"a request").unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert_eq!((answer.as_str(), served.join().unwrap().concat()), ("an answer", b"a request".to_vec()));
}

#[test]
fn it_cuts_a_stream_into_pieces_and_loses_none() {
    let (addr, served) = server(b"an answer in pieces");
    let link = Link::start(addr, |_| {}).unwrap();
    link.half_close(true);
    link.cut_into_pieces(2);
    let mut stream = TcpStream::connect(link.addr()).unwrap();
    stream.set_read_timeout(Some(WITHIN)).unwrap();
    let request: Vec<u8> = (0..200).collect();
    stream.write_all(&request).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let reads = served.join().unwrap();
    assert_eq!((answer.as_str(), reads.concat()), ("an answer in pieces", request));
    assert!(reads.len() > 10, "{} reads", reads.len());
}
