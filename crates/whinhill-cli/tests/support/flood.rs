//! Clients that send at full speed, and what others meet beside them.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Bytes that a flooding client hands to its socket at a time.
const WRITE_BYTES: usize = 256 * 1024;
/// A probe of the assigner's address.
pub const PROBE: &str = "{\"@type\":\"probe\"}\n";
/// Time limit of any answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// A client that sends at full speed until it is dropped, and reads all answers.
pub struct Flood {
    stop: Arc<AtomicBool>,
    stream: TcpStream,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Sends `first`, and then lines: `line` is called with ever new numbers.
    pub fn start(addr: SocketAddr, first: &str, line: impl Fn(u64) -> String) -> Self {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.write_all(first.as_bytes()).unwrap();
        let mut text = String::new();
        let mut number = 0;
        while text.len() < WRITE_BYTES {
            text.push_str(&line(number));
            number += 1;
        }
        let stop = Arc::new(AtomicBool::new(false));
        let (mut writer, mut reader, stopped) =
            (stream.try_clone().unwrap(), stream.try_clone().unwrap(), stop.clone());
        let writing = thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) && writer.write_all(text.as_bytes()).is_ok() {}
        });
        let reading = thread::spawn(move || {
            let mut buffer = [0; 65536];
            while reader.read(&mut buffer).is_ok_and(|count| count > 0) {}
        });
        Flood { stop, stream, threads: vec![writing, reading] }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.stream.shutdown(Shutdown::Both);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

/// Sends probes one after another for a time, each on a connection of its own; returns the longest wait for an answer.
pub fn longest_probe(addr: SocketAddr, time: Duration) -> Duration {
    let until = Instant::now() + time;
    let mut longest = Duration::ZERO;
    while Instant::now() < until {
        let started = Instant::now();
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        stream.write_all(PROBE.as_bytes()).unwrap();
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).unwrap();
        assert!(line.contains("alive"), "{line:?}");
        longest = longest.max(started.elapsed());
        thread::sleep(Duration::from_millis(10));
    }
    longest
}

/// The most memory that a process has held so far, in bytes.
pub fn peak_memory(process: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() * 1024
}
