//! The store: strings, expiry, WATCH and MULTI over RESP2, as the public command pages describe them.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::encode::extend_encode;
use redis_protocol::resp2::types::BytesFrame as Frame;
use whinhill_store::Record;

use crate::record::{Recorder, Seen};

#[derive(Default)]
struct Data {
    values: HashMap<String, (Bytes, Option<Instant>)>,
    /// Raised by every change of a key, for WATCH.
    versions: HashMap<String, u64>,
    changes: u64,
}

impl Data {
    fn get(&mut self, key: &str) -> Option<Bytes> {
        let ended = self.values.get(key).is_some_and(|(_, ends)| ends.is_some_and(|at| Instant::now() >= at));
        if ended {
            self.values.remove(key);
            self.touch(key);
        }
        self.values.get(key).map(|(value, _)| value.clone())
    }

    fn touch(&mut self, key: &str) {
        self.changes += 1;
        self.versions.insert(key.to_string(), self.changes);
    }

    fn version(&mut self, key: &str) -> u64 {
        self.get(key);
        self.versions.get(key).copied().unwrap_or(0)
    }
}

struct Inner {
    data: Mutex<Data>,
    down: AtomicBool,
    stop: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    record: Recorder,
}

pub struct StoreStandIn {
    addr: SocketAddr,
    inner: Arc<Inner>,
}

impl StoreStandIn {
    pub fn start(addr: SocketAddr, record: &Recorder) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let inner = Arc::new(Inner {
            data: Mutex::default(),
            down: AtomicBool::new(false),
            stop: AtomicBool::new(false),
            connections: Mutex::default(),
            record: record.clone(),
        });
        let held = inner.clone();
        thread::Builder::new().name("store".into()).stack_size(64 << 10).spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if held.stop.load(Ordering::Relaxed) {
                    return;
                }
                if held.down.load(Ordering::Relaxed) {
                    continue;
                }
                if let Ok(copy) = stream.try_clone() {
                    held.connections.lock().unwrap_or_else(PoisonError::into_inner).push(copy);
                }
                let inner = held.clone();
                let thread = thread::Builder::new().name("store-conn".into()).stack_size(256 << 10);
                // Without a thread the connection closes, as with a store that is full.
                let _ = thread.spawn(move || drop(inner.serve(stream)));
            }
        })?;
        Ok(StoreStandIn { addr, inner })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Breaks all connections and refuses new ones, or serves again.
    pub fn set_down(&self, down: bool) {
        self.inner.down.store(down, Ordering::Relaxed);
        if down {
            self.inner.break_connections();
        }
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.inner.data();
        data.values.insert(key.to_string(), (Bytes::copy_from_slice(value.as_bytes()), None));
        data.touch(key);
        self.inner.note(key, value);
    }
}

impl Drop for StoreStandIn {
    fn drop(&mut self) {
        self.inner.stop.store(true, Ordering::Relaxed);
        self.inner.break_connections();
        drop(TcpStream::connect_timeout(&self.addr, Duration::from_millis(200)));
    }
}

fn simple(text: &'static str) -> Frame {
    Frame::SimpleString(Bytes::from_static(text.as_bytes()))
}

fn error(text: String) -> Frame {
    Frame::Error(text.into())
}

impl Inner {
    fn data(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn break_connections(&self) {
        for stream in self.connections.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Writes down what the store took of a slice: what the auditor knows of owners and custody.
    fn note(&self, key: &str, value: &str) {
        let slice = key.rsplit_once("/slice/").and_then(|(_, slice)| slice.parse().ok());
        if let (Some(slice), Ok(record)) = (slice, value.parse::<Record>()) {
            let holder = record.holder.map(|holder| holder.name);
            let owner = record.owner.map(Into::into);
            self.record.note(Seen::Stored { slice, epoch: record.epoch, holder, owner });
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut held, mut out) = (BytesMut::new(), BytesMut::new());
        let mut chunk = [0; 16 << 10];
        let mut watched: BTreeMap<String, u64> = BTreeMap::new();
        let mut queued: Option<Vec<Vec<String>>> = None;
        loop {
            while let Some((frame, _, _)) =
                decode_bytes_mut(&mut held).map_err(|e| io::Error::other(e.to_string()))?
            {
                let words = words(&frame).unwrap_or_default();
                let answer = self.command(&words, &mut watched, &mut queued);
                extend_encode(&mut out, &answer, false).map_err(|e| io::Error::other(e.to_string()))?;
            }
            stream.write_all(&out)?;
            out.clear();
            match stream.read(&mut chunk)? {
                0 => return Ok(()),
                count => held.extend_from_slice(&chunk[..count]),
            }
        }
    }

    fn command(
        &self,
        words: &[String],
        watched: &mut BTreeMap<String, u64>,
        queued: &mut Option<Vec<Vec<String>>>,
    ) -> Frame {
        let Some((verb, args)) = words.split_first() else { return error("ERR an empty command".into()) };
        match (verb.to_ascii_uppercase().as_str(), queued.is_some()) {
            ("MULTI", false) => {
                *queued = Some(Vec::new());
                simple("OK")
            }
            ("DISCARD", true) => {
                *queued = None;
                watched.clear();
                simple("OK")
            }
            ("EXEC", true) => {
                let commands = queued.take().unwrap_or_default();
                let mut data = self.data();
                let same =
                    std::mem::take(watched).into_iter().all(|(key, version)| data.version(&key) == version);
                if !same {
                    return Frame::Null;
                }
                Frame::Array(commands.iter().map(|words| self.plain(words, &mut data)).collect())
            }
            (_, true) => {
                queued.get_or_insert_default().push(words.to_vec());
                simple("QUEUED")
            }
            ("WATCH", false) => {
                let mut data = self.data();
                for key in args {
                    let version = data.version(key);
                    watched.insert(key.clone(), version);
                }
                simple("OK")
            }
            ("UNWATCH", false) => {
                watched.clear();
                simple("OK")
            }
            _ => self.plain(words, &mut self.data()),
        }
    }

    fn plain(&self, words: &[String], data: &mut Data) -> Frame {
        let Some((verb, args)) = words.split_first() else { return error("ERR an empty command".into()) };
        let value = |value: Option<Bytes>| value.map_or(Frame::Null, Frame::BulkString);
        match (verb.to_ascii_uppercase().as_str(), args) {
            ("PING", _) => simple("PONG"),
            ("GET", [key]) => value(data.get(key)),
            ("MGET", keys) => Frame::Array(keys.iter().map(|key| value(data.get(key))).collect()),
            ("DEL", keys) => {
                let removed = keys.iter().filter(|key| data.get(key).is_some()).cloned().collect::<Vec<_>>();
                removed.iter().for_each(|key| {
                    data.values.remove(key);
                    data.touch(key);
                });
                Frame::Integer(removed.len() as i64)
            }
            ("SET", [key, new, options @ ..]) => {
                let (mut ends, mut absent) = (None, false);
                let mut options = options.iter();
                while let Some(option) = options.next() {
                    match option.to_ascii_uppercase().as_str() {
                        "NX" => absent = true,
                        "PX" => match options.next().and_then(|ms| ms.parse().ok()) {
                            Some(ms) => ends = Some(Instant::now() + Duration::from_millis(ms)),
                            None => return error("ERR value is not an integer or out of range".into()),
                        },
                        _ => return error("ERR syntax error".into()),
                    }
                }
                if absent && data.get(key).is_some() {
                    return Frame::Null;
                }
                data.values.insert(key.clone(), (Bytes::copy_from_slice(new.as_bytes()), ends));
                data.touch(key);
                self.note(key, new);
                simple("OK")
            }
            (verb, _) => error(format!("ERR unknown command or wrong number of arguments for '{verb}'")),
        }
    }
}

fn words(frame: &Frame) -> Option<Vec<String>> {
    let Frame::Array(frames) = frame else { return None };
    let word = |frame: &Frame| match frame {
        Frame::BulkString(bytes) => String::from_utf8(bytes.to_vec()).ok(),
        _ => None,
    };
    frames.iter().map(word).collect()
}
