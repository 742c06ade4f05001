//! The roster: the list of servers, published as a JSON5 file and, to whoever subscribes, as one EDS resource.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use prost::Message;
use whinhill_assigner::{RosterEntry, RosterFile, RosterState};
use whinhill_transport::{CallError, Code, Drivers, Limits, Listener, ServerCall, Trailers, Workers};
use whinhill_xds::mapping::{address, FILTER};
use whinhill_xds::proto::{self, metadata, number};
use whinhill_xds::{Cache, Entry, Kind, Request, ServerStream, Variant};

use crate::record::{Recorder, Seen};

/// The name under which the fleet is served.
pub const RESOURCE: &str = "fleet";

/// Serves the list by ADS, incremental: an upstream control plane as small as can be.
struct Upstream {
    cache: RwLock<Cache>,
    version: std::sync::atomic::AtomicU64,
    down: AtomicBool,
}

impl Upstream {
    fn publish(&self, roster: &RosterFile) {
        let line = |entry: &RosterEntry| proto::LocalityLbEndpoints {
            locality: Some(proto::Locality { zone: entry.zone.clone(), ..Default::default() }),
            lb_endpoints: vec![proto::LbEndpoint {
                endpoint: Some(proto::Endpoint { address: Some(address(&entry.addr.to_string())) }),
                health_status: match entry.state {
                    RosterState::Ready => proto::HealthStatus::Healthy as i32,
                    RosterState::Draining => proto::HealthStatus::Draining as i32,
                },
                metadata: Some(metadata(
                    FILTER,
                    std::iter::once(("size", number(entry.size)))
                        .chain(entry.started_unix_ms.map(|at| ("started_unix_ms", number(at as f64)))),
                )),
                load_balancing_weight: None,
            }],
            load_balancing_weight: None,
        };
        let endpoints = roster.servers.iter().map(line).collect();
        let assignment =
            proto::ClusterLoadAssignment { cluster_name: RESOURCE.to_string(), endpoints, policy: None };
        let version = self.version.fetch_add(1, Ordering::Relaxed).to_string().into();
        let entry = Entry { version, body: assignment.encode_to_vec().into(), ttl: None };
        self.cache.write().unwrap_or_else(PoisonError::into_inner).set(Kind::Endpoints, RESOURCE, entry);
    }

    fn serve(&self, call: ServerCall) -> Result<(), CallError> {
        let within = Duration::from_secs(2);
        let (mut reader, mut writer) = call.open()?;
        let mut stream = ServerStream::new(Variant::Incremental, &[]);
        let mut told = 0;
        while !self.down.load(Ordering::Relaxed) {
            match reader.recv(Duration::from_millis(20)) {
                Err(CallError::Deadline(_)) => {}
                Ok(None) => break,
                other => {
                    let message = other?.unwrap_or_default();
                    let request = Request::decode(Variant::Incremental, &message)
                        .map_err(|_| CallError::Malformed("a message that is none of the protocol's"))?;
                    let cache = self.cache.read().unwrap_or_else(PoisonError::into_inner);
                    stream.hear(&request, &cache).map_err(|error| CallError::Reset(error.to_string()))?;
                }
            }
            let replies: Vec<Vec<u8>> = {
                let cache = self.cache.read().unwrap_or_else(PoisonError::into_inner);
                if std::mem::replace(&mut told, cache.revision()) != cache.revision() {
                    stream.changed(Kind::Endpoints, &RESOURCE.into());
                }
                std::iter::from_fn(|| stream.next(&cache)).map(|reply| reply.encode()).collect()
            };
            replies.iter().try_for_each(|reply| writer.send(reply, within))?;
        }
        writer.close(Code::Unavailable, "the roster is away", Trailers::new())
    }
}

pub struct RosterStandIn {
    upstream: Arc<Upstream>,
    listener: Option<Listener>,
    path: PathBuf,
    servers: Mutex<BTreeMap<SocketAddr, RosterEntry>>,
    record: Recorder,
}

impl RosterStandIn {
    pub fn new(path: &Path, record: &Recorder) -> Self {
        let upstream = Upstream { cache: RwLock::default(), version: 1.into(), down: AtomicBool::new(false) };
        RosterStandIn {
            upstream: Arc::new(upstream),
            listener: None,
            path: path.to_path_buf(),
            servers: Mutex::default(),
            record: record.clone(),
        }
    }

    /// Serves the list by xDS too, from now on.
    pub fn listen(&mut self, drivers: &Drivers, workers: &Workers) -> io::Result<SocketAddr> {
        let (upstream, workers) = (self.upstream.clone(), workers.clone());
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = Listener::start("roster", any, Limits::default(), drivers, move |call| {
            if Variant::of_path(call.path()) != Some(Variant::Incremental)
                || upstream.down.load(Ordering::Relaxed)
            {
                return call.refuse(
                    Code::Unavailable,
                    "only the incremental variant is spoken here",
                    Trailers::new(),
                );
            }
            let upstream = upstream.clone();
            // Without a thread the call is dropped, and with it reset.
            let _ = workers.run(move || drop(upstream.serve(call)));
        })?;
        let addr = listener.addr();
        self.listener = Some(listener);
        Ok(addr)
    }

    /// Ends all streams and refuses new ones, or serves again.
    pub fn set_down(&self, down: bool) {
        self.upstream.down.store(down, Ordering::Relaxed);
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Changes the list and publishes it whole.
    pub fn change(&self, act: impl FnOnce(&mut BTreeMap<SocketAddr, RosterEntry>)) -> io::Result<()> {
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let before = servers.clone();
        act(&mut servers);
        let file = RosterFile { servers: servers.values().cloned().collect() };
        let text = serde_json::to_string(&file)?;
        let beside = self.path.with_extension("new");
        fs::write(&beside, text)?;
        for addr in before.keys().chain(servers.keys()) {
            let state = |list: &BTreeMap<SocketAddr, RosterEntry>| list.get(addr).map(|entry| entry.state);
            if state(&before) != state(&servers) {
                let server: Arc<str> = addr.to_string().into();
                self.record.note(Seen::Listed { server, state: state(&servers) });
            }
        }
        self.upstream.publish(&file);
        fs::rename(beside, &self.path)
    }

    /// Leaves a file cut in half where the list should be, as a writer that died would.
    pub fn write_half(&self) -> io::Result<()> {
        let text = fs::read_to_string(&self.path)?;
        fs::write(&self.path, &text[..text.len() / 2])
    }

    /// Writes what is true again.
    pub fn mend(&self) -> io::Result<()> {
        self.change(|_| {})
    }
}

/// An entry as the roster would write it now.
pub fn entry(addr: SocketAddr, zone: &str, size: f64, started_now: bool) -> RosterEntry {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64);
    let started_unix_ms = started_now.then_some(now);
    RosterEntry { addr, zone: zone.to_string(), state: RosterState::Ready, size, started_unix_ms }
}
