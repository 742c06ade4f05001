//! The stand-in for the store: strings, expiry, WATCH and MULTI over RESP2, after the public descriptions of the
//! commands.

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

use crate::recorder::{Event, Recorder};

#[derive(Default)]
struct Data {
    /// The value of each key, with the time at which it expires.
    values: HashMap<String, (Bytes, Option<Instant>)>,
    /// The number of the last change of each key, for WATCH.
    versions: HashMap<String, u64>,
    /// Changes of all keys so far.
    change_count: u64,
}

impl Data {
    fn get(&mut self, key: &str) -> Option<Bytes> {
        let expired = self
            .values
            .get(key)
            .is_some_and(|(_, expires_at)| expires_at.is_some_and(|at| Instant::now() >= at));
        if expired {
            self.values.remove(key);
            self.mark_changed(key);
        }
        self.values.get(key).map(|(value, _)| value.clone())
    }

    fn mark_changed(&mut self, key: &str) {
        self.change_count += 1;
        self.versions.insert(key.to_string(), self.change_count);
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
    recorder: Recorder,
}

/// A running store. Dropping it breaks its connections.
pub struct StoreStandIn {
    addr: SocketAddr,
    inner: Arc<Inner>,
}

impl StoreStandIn {
    /// Starts a store that listens at `addr`. Writes of slice records are recorded as events.
    pub fn start(addr: SocketAddr, recorder: &Recorder) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let inner = Arc::new(Inner {
            data: Mutex::default(),
            down: AtomicBool::new(false),
            stop: AtomicBool::new(false),
            connections: Mutex::default(),
            recorder: recorder.clone(),
        });
        let accepting = inner.clone();
        thread::Builder::new().name("store".into()).stack_size(64 << 10).spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if accepting.stop.load(Ordering::Relaxed) {
                    return;
                }
                if accepting.down.load(Ordering::Relaxed) {
                    continue;
                }
                if let Ok(copy) = stream.try_clone() {
                    accepting.connections.lock().unwrap_or_else(PoisonError::into_inner).push(copy);
                }
                let inner = accepting.clone();
                let thread = thread::Builder::new().name("store-conn".into()).stack_size(256 << 10);
                // If no thread can be started, the connection closes, as with a store at its limit of connections.
                let _ = thread.spawn(move || drop(inner.serve(stream)));
            }
        })?;
        Ok(StoreStandIn { addr, inner })
    }

    /// The address at which it listens.
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

    /// Sets a key that doesn't expire.
    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.inner.data();
        data.values.insert(key.to_string(), (Bytes::copy_from_slice(value.as_bytes()), None));
        data.mark_changed(key);
        self.inner.record_change(key, value);
    }
}

impl Drop for StoreStandIn {
    fn drop(&mut self) {
        self.inner.stop.store(true, Ordering::Relaxed);
        self.inner.break_connections();
        drop(TcpStream::connect_timeout(&self.addr, Duration::from_millis(200)));
    }
}

fn simple_string(text: &'static str) -> Frame {
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

    /// Records the write of a slice's record. From these events the auditor knows owners and custody.
    fn record_change(&self, key: &str, value: &str) {
        let slice = key.rsplit_once("/slice/").and_then(|(_, slice)| slice.parse().ok());
        if let (Some(slice), Ok(record)) = (slice, value.parse::<Record>()) {
            let holder = record.holder.map(|holder| holder.name);
            let owner = record.owner.map(Into::into);
            self.recorder.add(Event::RecordStored { slice, epoch: record.epoch, holder, owner });
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut buffer, mut out) = (BytesMut::new(), BytesMut::new());
        let mut chunk = [0; 16 << 10];
        let mut watched: BTreeMap<String, u64> = BTreeMap::new();
        let mut transaction: Option<Vec<Vec<String>>> = None;
        loop {
            while let Some((frame, _, _)) =
                decode_bytes_mut(&mut buffer).map_err(|e| io::Error::other(e.to_string()))?
            {
                let words = command_words(&frame).unwrap_or_default();
                let answer = self.handle_command(&words, &mut watched, &mut transaction);
                extend_encode(&mut out, &answer, false).map_err(|e| io::Error::other(e.to_string()))?;
            }
            stream.write_all(&out)?;
            out.clear();
            match stream.read(&mut chunk)? {
                0 => return Ok(()),
                count => buffer.extend_from_slice(&chunk[..count]),
            }
        }
    }

    /// Handles one command of a connection, whose watched keys and open transaction are given.
    fn handle_command(
        &self,
        words: &[String],
        watched: &mut BTreeMap<String, u64>,
        transaction: &mut Option<Vec<Vec<String>>>,
    ) -> Frame {
        let Some((command, args)) = words.split_first() else { return error("ERR an empty command".into()) };
        match (command.to_ascii_uppercase().as_str(), transaction.is_some()) {
            ("MULTI", false) => {
                *transaction = Some(Vec::new());
                simple_string("OK")
            }
            ("DISCARD", true) => {
                *transaction = None;
                watched.clear();
                simple_string("OK")
            }
            ("EXEC", true) => {
                let commands = transaction.take().unwrap_or_default();
                let mut data = self.data();
                let unchanged =
                    std::mem::take(watched).into_iter().all(|(key, version)| data.version(&key) == version);
                if !unchanged {
                    return Frame::Null;
                }
                Frame::Array(commands.iter().map(|words| self.execute(words, &mut data)).collect())
            }
            (_, true) => {
                transaction.get_or_insert_default().push(words.to_vec());
                simple_string("QUEUED")
            }
            ("WATCH", false) => {
                let mut data = self.data();
                for key in args {
                    let version = data.version(key);
                    watched.insert(key.clone(), version);
                }
                simple_string("OK")
            }
            ("UNWATCH", false) => {
                watched.clear();
                simple_string("OK")
            }
            _ => self.execute(words, &mut self.data()),
        }
    }

    /// Executes a command outside of the transaction commands.
    fn execute(&self, words: &[String], data: &mut Data) -> Frame {
        let Some((command, args)) = words.split_first() else { return error("ERR an empty command".into()) };
        let value = |value: Option<Bytes>| value.map_or(Frame::Null, Frame::BulkString);
        match (command.to_ascii_uppercase().as_str(), args) {
            ("PING", _) => simple_string("PONG"),
            ("GET", [key]) => value(data.get(key)),
            ("MGET", keys) => Frame::Array(keys.iter().map(|key| value(data.get(key))).collect()),
            ("DEL", keys) => {
                let removed = keys.iter().filter(|key| data.get(key).is_some()).cloned().collect::<Vec<_>>();
                removed.iter().for_each(|key| {
                    data.values.remove(key);
                    data.mark_changed(key);
                });
                Frame::Integer(removed.len() as i64)
            }
            ("SET", [key, new, options @ ..]) => {
                let (mut expires_at, mut only_if_absent) = (None, false);
                let mut options = options.iter();
                while let Some(option) = options.next() {
                    match option.to_ascii_uppercase().as_str() {
                        "NX" => only_if_absent = true,
                        "PX" => match options.next().and_then(|ms| ms.parse().ok()) {
                            Some(ms) => expires_at = Some(Instant::now() + Duration::from_millis(ms)),
                            None => return error("ERR value is not an integer or out of range".into()),
                        },
                        _ => return error("ERR syntax error".into()),
                    }
                }
                if only_if_absent && data.get(key).is_some() {
                    return Frame::Null;
                }
                data.values.insert(key.clone(), (Bytes::copy_from_slice(new.as_bytes()), expires_at));
                data.mark_changed(key);
                self.record_change(key, new);
                simple_string("OK")
            }
            (command, _) => {
                error(format!("ERR unknown command or wrong number of arguments for '{command}'"))
            }
        }
    }
}

/// The words of a command; `None` if the frame is not an array of strings.
fn command_words(frame: &Frame) -> Option<Vec<String>> {
    let Frame::Array(frames) = frame else { return None };
    let word = |frame: &Frame| match frame {
        Frame::BulkString(bytes) => String::from_utf8(bytes.to_vec()).ok(),
        _ => None,
    };
    frames.iter().map(word).collect()
}
