//! The roster stand-in: publishes the list of servers as a JSON5 file and as one EDS resource.

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
use whinhill_xds::mapping::{server_address, METADATA_KEY};
use whinhill_xds::proto::{self, metadata, number_value};
use whinhill_xds::{Cache, Entry, Kind, Request, ServerStream, Variant};

use crate::recorder::{Event, Recorder};

/// The name of the EDS resource that lists the fleet's servers.
pub const EDS_RESOURCE: &str = "fleet";

/// A minimal upstream control plane: serves the list over ADS, in the incremental variant only.
struct EdsServer {
    cache: RwLock<Cache>,
    version: std::sync::atomic::AtomicU64,
    down: AtomicBool,
}

impl EdsServer {
    fn publish(&self, roster: &RosterFile) {
        let line = |entry: &RosterEntry| proto::LocalityLbEndpoints {
            locality: Some(proto::Locality { zone: entry.zone.clone(), ..Default::default() }),
            lb_endpoints: vec![proto::LbEndpoint {
                endpoint: Some(proto::Endpoint { address: Some(server_address(&entry.addr.to_string())) }),
                health_status: match entry.state {
                    RosterState::Ready => proto::HealthStatus::Healthy as i32,
                    RosterState::Draining => proto::HealthStatus::Draining as i32,
                },
                metadata: Some(metadata(
                    METADATA_KEY,
                    std::iter::once(("size", number_value(entry.size)))
                        .chain(entry.started_unix_ms.map(|at| ("started_unix_ms", number_value(at as f64)))),
                )),
                load_balancing_weight: None,
            }],
            load_balancing_weight: None,
        };
        let endpoints = roster.servers.iter().map(line).collect();
        let assignment =
            proto::ClusterLoadAssignment { cluster_name: EDS_RESOURCE.to_string(), endpoints, policy: None };
        let version = self.version.fetch_add(1, Ordering::Relaxed).to_string().into();
        let entry = Entry { version, body: assignment.encode_to_vec().into(), ttl: None };
        self.cache.write().unwrap_or_else(PoisonError::into_inner).set(Kind::Endpoints, EDS_RESOURCE, entry);
    }

    fn serve(&self, call: ServerCall) -> Result<(), CallError> {
        let send_timeout = Duration::from_secs(2);
        let (mut reader, mut writer) = call.open()?;
        let mut stream = ServerStream::new(Variant::Incremental, &[]);
        let mut sent_revision = 0;
        while !self.down.load(Ordering::Relaxed) {
            match reader.recv(Duration::from_millis(20)) {
                Err(CallError::Deadline(_)) => {}
                Ok(None) => break,
                other => {
                    let message = other?.unwrap_or_default();
                    let request = Request::decode(Variant::Incremental, &message)
                        .map_err(|_| CallError::Malformed("a message that is none of the protocol's"))?;
                    let cache = self.cache.read().unwrap_or_else(PoisonError::into_inner);
                    stream
                        .handle_request(&request, &cache)
                        .map_err(|error| CallError::Reset(error.to_string()))?;
                }
            }
            let replies: Vec<Vec<u8>> = {
                let cache = self.cache.read().unwrap_or_else(PoisonError::into_inner);
                if std::mem::replace(&mut sent_revision, cache.revision()) != cache.revision() {
                    stream.resource_changed(Kind::Endpoints, &EDS_RESOURCE.into());
                }
                std::iter::from_fn(|| stream.next_reply(&cache)).map(|reply| reply.encode()).collect()
            };
            replies.iter().try_for_each(|reply| writer.send(reply, send_timeout))?;
        }
        writer.close(Code::Unavailable, "the roster is down", Trailers::new())
    }
}

/// A roster with its file and, if it listens, its EDS server.
pub struct RosterStandIn {
    eds: Arc<EdsServer>,
    listener: Option<Listener>,
    path: PathBuf,
    servers: Mutex<BTreeMap<SocketAddr, RosterEntry>>,
    recorder: Recorder,
}

impl RosterStandIn {
    /// An empty roster that will write its file to `path`.
    pub fn new(path: &Path, recorder: &Recorder) -> Self {
        let eds = EdsServer { cache: RwLock::default(), version: 1.into(), down: AtomicBool::new(false) };
        RosterStandIn {
            eds: Arc::new(eds),
            listener: None,
            path: path.to_path_buf(),
            servers: Mutex::default(),
            recorder: recorder.clone(),
        }
    }

    /// Serves the list over xDS too, from now on. Returns the address.
    pub fn listen(&mut self, drivers: &Drivers, workers: &Workers) -> io::Result<SocketAddr> {
        let (eds, workers) = (self.eds.clone(), workers.clone());
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = Listener::start("roster", any, Limits::default(), drivers, move |call| {
            if Variant::from_path(call.path()) != Some(Variant::Incremental)
                || eds.down.load(Ordering::Relaxed)
            {
                return call.refuse(
                    Code::Unavailable,
                    "only the incremental variant is spoken here",
                    Trailers::new(),
                );
            }
            let eds = eds.clone();
            // If no thread is free, the call is dropped and thereby reset.
            let _ = workers.run(move || drop(eds.serve(call)));
        })?;
        let addr = listener.addr();
        self.listener = Some(listener);
        Ok(addr)
    }

    /// Ends all EDS streams and refuses new ones, or serves again.
    pub fn set_down(&self, down: bool) {
        self.eds.down.store(down, Ordering::Relaxed);
    }

    /// The path of the roster's file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Changes the list and publishes all of it.
    pub fn update(&self, act: impl FnOnce(&mut BTreeMap<SocketAddr, RosterEntry>)) -> io::Result<()> {
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let before = servers.clone();
        act(&mut servers);
        let file = RosterFile { servers: servers.values().cloned().collect() };
        let text = serde_json::to_string(&file)?;
        let temporary = self.path.with_extension("new");
        fs::write(&temporary, text)?;
        for addr in before.keys().chain(servers.keys()) {
            let state = |list: &BTreeMap<SocketAddr, RosterEntry>| list.get(addr).map(|entry| entry.state);
            if state(&before) != state(&servers) {
                let server: Arc<str> = addr.to_string().into();
                self.recorder.add(Event::ServerListed { server, state: state(&servers) });
            }
        }
        self.eds.publish(&file);
        fs::rename(temporary, &self.path)
    }

    /// Replaces the file by its first half, as a writer that died would leave it.
    pub fn write_truncated(&self) -> io::Result<()> {
        let text = fs::read_to_string(&self.path)?;
        fs::write(&self.path, &text[..text.len() / 2])
    }

    /// Writes the complete file again.
    pub fn republish(&self) -> io::Result<()> {
        self.update(|_| {})
    }
}

/// A roster entry for a ready server. `started_now` sets its start time to the present.
pub fn new_entry(addr: SocketAddr, zone: &str, size: f64, started_now: bool) -> RosterEntry {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64);
    let started_unix_ms = started_now.then_some(now);
    RosterEntry { addr, zone: zone.to_string(), state: RosterState::Ready, size, started_unix_ms }
}
