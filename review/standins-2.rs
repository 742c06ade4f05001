//! Stand-ins of the second review, with the standard library alone: a gRPC server that records each RPC, a client that
//! sends one RPC after another, and the check of the records.
//!
//!   standins-2 server NAME RECORD            listens on a free port of 127.0.0.1, prints the address
//!   standins-2 client NAME ADDR RECORD PATH KEY[,KEY...] INTERVAL_MS
//!   standins-2 path ADDR CUT                 a way to ADDR, prints its address; cut off while the file CUT exists
//!   standins-2 port                          prints a free port below those that systems give out by themselves
//!   standins-2 check RECORD FROM_MS          judges the arrivals of writes from a time on
//!   standins-2 last RECORD                   prints the server that the last write reached
//!
//! Both ends speak as much of HTTP/2 as unary gRPC calls need. Header blocks are written as literals; those that are
//! received are not decoded, since the body of each request names the RPC.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const GOAWAY: u8 = 7;
const WINDOW_UPDATE: u8 = 8;
const END_STREAM: u8 = 1;
const ACK: u8 = 1;
const END_HEADERS: u8 = 4;
/// Entries of the static table of header compression (RFC 7541, appendix A), each by its number with the high bit set.
const METHOD_POST: u8 = 128 + 3;
const SCHEME_HTTP: u8 = 128 + 6;
const STATUS_200: u8 = 128 + 8;

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis())
}

fn record(file: &Mutex<File>, line: &str) {
    let _ = file.lock().unwrap().write_all(format!("{} {line}\n", unix_ms()).as_bytes());
}

fn open_record(path: &str) -> Arc<Mutex<File>> {
    Arc::new(Mutex::new(OpenOptions::new().create(true).append(true).open(path).expect("the record")))
}

struct Frame {
    kind: u8,
    flags: u8,
    stream: u32,
    body: Vec<u8>,
}

fn read_frame(from: &mut TcpStream) -> io::Result<Frame> {
    let mut head = [0; 9];
    from.read_exact(&mut head)?;
    let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
    let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    Ok(Frame { kind: head[3], flags: head[4], stream, body })
}

fn frame(kind: u8, flags: u8, stream: u32, body: &[u8]) -> Vec<u8> {
    let mut out = (body.len() as u32).to_be_bytes()[1..].to_vec();
    out.extend([kind, flags]);
    out.extend(stream.to_be_bytes());
    out.extend(body);
    out
}

/// A header as a literal that is not added to the table, without compression.
fn literal(out: &mut Vec<u8>, name: &str, value: &str) {
    assert!(name.len() < 127 && value.len() < 127);
    out.push(0);
    out.push(name.len() as u8);
    out.extend(name.as_bytes());
    out.push(value.len() as u8);
    out.extend(value.as_bytes());
}

fn grpc_message(body: &[u8]) -> Vec<u8> {
    let mut out = vec![0];
    out.extend((body.len() as u32).to_be_bytes());
    out.extend(body);
    out
}

/// The server: answers each RPC after 20 ms with its own message.
fn serve(name: &str, path: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    println!("{}", listener.local_addr().unwrap());
    let log = open_record(path);
    for stream in listener.incoming().map_while(Result::ok) {
        let (name, log) = (name.to_string(), log.clone());
        thread::spawn(move || serve_connection(stream, &name, &log));
    }
}

fn serve_connection(mut stream: TcpStream, name: &str, log: &Arc<Mutex<File>>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut preface = [0; 24];
    stream.read_exact(&mut preface)?;
    if preface != PREFACE {
        return Ok(());
    }
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    let send = move |writer: &Mutex<TcpStream>, bytes: &[u8]| writer.lock().unwrap().write_all(bytes);
    send(&writer, &frame(SETTINGS, 0, 0, &[]))?;
    let mut bodies: BTreeMap<u32, Vec<u8>> = BTreeMap::new();
    loop {
        let got = read_frame(&mut stream)?;
        match got.kind {
            SETTINGS if got.flags & ACK == 0 => send(&writer, &frame(SETTINGS, ACK, 0, &[]))?,
            PING if got.flags & ACK == 0 => send(&writer, &frame(PING, ACK, 0, &got.body))?,
            GOAWAY => return Ok(()),
            RST_STREAM => drop(bodies.remove(&got.stream)),
            HEADERS => drop(bodies.insert(got.stream, Vec::new())),
            DATA => {
                if !got.body.is_empty() {
                    let more = (got.body.len() as u32).to_be_bytes();
                    send(&writer, &frame(WINDOW_UPDATE, 0, 0, &more))?;
                }
                bodies.entry(got.stream).or_default().extend(&got.body);
            }
            _ => {}
        }
        if matches!(got.kind, DATA | HEADERS) && got.flags & END_STREAM != 0 {
            let body = bodies.remove(&got.stream).unwrap_or_default();
            let message = body.get(5..).unwrap_or_default().to_vec();
            let text = String::from_utf8_lossy(&message).into_owned();
            let is_rpc = text.starts_with("rpc ");
            if is_rpc {
                record(log, &format!("run server={name} {text}"));
            }
            let (writer, log, name, id) = (writer.clone(), log.clone(), name.to_string(), got.stream);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(if is_rpc { 20 } else { 1 }));
                // Anything else is a health check, whose answer says that the server serves.
                let answer = if is_rpc { message } else { vec![8, 1] };
                let (mut head, mut trailers) = (vec![STATUS_200], Vec::new());
                literal(&mut head, "content-type", "application/grpc");
                literal(&mut trailers, "grpc-status", "0");
                let mut out = frame(HEADERS, END_HEADERS, id, &head);
                out.extend(frame(DATA, 0, id, &grpc_message(&answer)));
                out.extend(frame(HEADERS, END_HEADERS | END_STREAM, id, &trailers));
                if is_rpc {
                    record(&log, &format!("end server={name} {text}"));
                }
                let _ = writer.lock().unwrap().write_all(&out);
            });
        }
    }
}

/// The client: sends an RPC each interval on one connection and records what came of it.
fn send_rpcs(name: &str, addr: &str, log: &str, path: &str, key: &str, interval: Duration) {
    let log = open_record(log);
    let mut number = 0;
    loop {
        let result = TcpStream::connect(addr)
            .and_then(|stream| send_on(stream, name, &log, path, key, interval, &mut number));
        if let Err(error) = result {
            record(&log, &format!("client={name} connection: {error}"));
        }
        thread::sleep(Duration::from_millis(200));
    }
}

fn send_on(
    mut stream: TcpStream,
    name: &str,
    log: &Arc<Mutex<File>>,
    path: &str,
    key: &str,
    interval: Duration,
    number: &mut u32,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    let mut opening = PREFACE.to_vec();
    opening.extend(frame(SETTINGS, 0, 0, &[]));
    writer.lock().unwrap().write_all(&opening)?;
    let rpcs: Arc<Mutex<BTreeMap<u32, (u32, bool)>>> = Arc::default();
    let (reading, answers, read_log, who) = (rpcs.clone(), writer.clone(), log.clone(), name.to_string());
    thread::spawn(move || -> io::Result<()> {
        loop {
            let got = read_frame(&mut stream)?;
            match got.kind {
                SETTINGS if got.flags & ACK == 0 => {
                    answers.lock().unwrap().write_all(&frame(SETTINGS, ACK, 0, &[]))?
                }
                PING if got.flags & ACK == 0 => {
                    answers.lock().unwrap().write_all(&frame(PING, ACK, 0, &got.body))?
                }
                DATA if !got.body.is_empty() => {
                    let more = (got.body.len() as u32).to_be_bytes();
                    answers.lock().unwrap().write_all(&frame(WINDOW_UPDATE, 0, 0, &more))?;
                    if let Some(rpc) = reading.lock().unwrap().get_mut(&got.stream) {
                        rpc.1 = true;
                    }
                }
                _ => {}
            }
            let ends = matches!(got.kind, DATA | HEADERS) && got.flags & END_STREAM != 0 || got.kind == RST_STREAM;
            if let Some((rpc, answered)) = ends.then(|| reading.lock().unwrap().remove(&got.stream)).flatten() {
                let what = if answered { "answered" } else { "refused" };
                record(&read_log, &format!("{what} rpc {who}-{rpc}"));
            }
        }
    });
    let mut next = Instant::now();
    for id in (1..).step_by(2) {
        *number += 1;
        let mut head = vec![METHOD_POST, SCHEME_HTTP];
        literal(&mut head, ":path", path);
        literal(&mut head, ":authority", "proxy");
        literal(&mut head, "content-type", "application/grpc");
        literal(&mut head, "te", "trailers");
        literal(&mut head, "grpc-timeout", "1000m");
        literal(&mut head, "whinhill-key", key);
        literal(&mut head, "whinhill-rpc", &number.to_string());
        let message = grpc_message(format!("rpc {name}-{number}").as_bytes());
        rpcs.lock().unwrap().insert(id, (*number, false));
        let mut out = frame(HEADERS, END_HEADERS, id, &head);
        out.extend(frame(DATA, END_STREAM, id, &message));
        record(log, &format!("sent rpc {name}-{number}"));
        writer.lock().unwrap().write_all(&out)?;
        next += interval;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    Ok(())
}

/// A way to another address. While the file `cut` exists nothing passes: what connections carry that stood before waits
/// until it is gone, and connections that are made meanwhile never come up.
fn pass_on(addr: &str, cut: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    println!("{}", listener.local_addr().unwrap());
    for near in listener.incoming().map_while(Result::ok) {
        let (addr, cut) = (addr.to_string(), cut.to_string());
        thread::spawn(move || -> io::Result<()> {
            if std::path::Path::new(&cut).exists() {
                return io::copy(&mut &near, &mut io::sink()).map(drop);
            }
            let far = TcpStream::connect(&addr)?;
            let (near_copy, far_copy, cut_copy) = (near.try_clone()?, far.try_clone()?, cut.clone());
            thread::spawn(move || carry(near_copy, far_copy, &cut_copy));
            carry(far, near, &cut)
        });
    }
}

fn carry(mut from: TcpStream, mut to: TcpStream, cut: &str) -> io::Result<()> {
    let mut buffer = [0; 16384];
    loop {
        let read = from.read(&mut buffer);
        while std::path::Path::new(cut).exists() {
            thread::sleep(Duration::from_millis(10));
        }
        match read {
            Ok(count) if count > 0 => to.write_all(&buffer[..count])?,
            _ => return to.shutdown(std::net::Shutdown::Both),
        }
    }
}

/// The arrivals of writes at servers, in order: time and server.
fn arrivals(path: &str) -> Vec<(u64, String)> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let arrival = |line: &str| {
        let mut words = line.split(' ');
        let at = words.next()?.parse().ok()?;
        if words.next()? != "run" {
            return None;
        }
        Some((at, words.next()?.strip_prefix("server=")?.to_string()))
    };
    let mut all: Vec<(u64, String)> = text.lines().filter_map(arrival).collect();
    all.sort_by_key(|(at, _)| *at);
    all
}

/// Judges the writes of one slice: 1 if a former owner got some after a later one had taken some. Within 5 s no slice
/// changes its owner twice, since each hand-over waits for the settle time at least and a granted slice stays for 20 s:
/// so a server that gets a write, then another server, and then the first again, is a former owner.
fn check(path: &str, from_ms: u64) -> i32 {
    let all: Vec<(u64, String)> = arrivals(path).into_iter().filter(|(at, _)| *at >= from_ms).collect();
    let mut count: BTreeMap<&str, usize> = BTreeMap::new();
    all.iter().for_each(|(_, server)| *count.entry(server).or_default() += 1);
    println!("writes by server from {from_ms} on: {count:?}");
    let mut turns: Vec<(u64, &str)> = Vec::new();
    for (at, server) in &all {
        if turns.last().is_none_or(|(_, last)| last != server) {
            turns.push((*at, server));
        }
    }
    let returns: Vec<_> = turns.windows(3).filter(|w| w[0].1 == w[2].1 && w[2].0 - w[1].0 < 5000).collect();
    println!("changes of the server that a write reached: {}, returns within 5 s: {}", turns.len().max(1) - 1, returns.len());
    if let Some(first) = returns.first() {
        println!("first: {} until {}, then {}, then {} again at {}", first[0].1, first[1].0, first[1].1, first[2].1, first[2].0);
    }
    i32::from(!returns.is_empty())
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words[..] {
        ["server", name, log] => serve(name, log),
        ["client", name, addr, log, path, keys, ms] => {
            let interval = Duration::from_millis(ms.parse().expect("an interval"));
            thread::scope(|threads| {
                for key in keys.split(',') {
                    let name = if keys.contains(',') { format!("{name}-{key}") } else { name.to_string() };
                    threads.spawn(move || send_rpcs(&name, addr, log, path, key, interval));
                }
            });
        }
        ["path", addr, cut] => pass_on(addr, cut),
        ["port"] => {
            let from = std::process::id() as usize * 7;
            let mut ports = (from..).map(|number| 12_000 + (number % 18_000) as u16);
            let free = ports.find(|port| TcpListener::bind(("127.0.0.1", *port)).is_ok());
            println!("{}", free.expect("a free port"));
        }
        ["check", log, from] => std::process::exit(check(log, from.parse().expect("a time"))),
        ["last", log] => println!("{}", arrivals(log).last().map_or("", |(_, server)| server)),
        _ => {
            eprintln!("usage: see the head of the source");
            std::process::exit(2);
        }
    }
}
