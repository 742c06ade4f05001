//! The streams of all proxies: two threads each, one that reads and one that writes. Neither decides anything:
//! what a stream must say is in its state machine and the cache.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender};
use prost::Message;
use tracing::{debug, info, warn};
use whinhill_transport::{CallError, Code, MessageReader, MessageWriter, ServerCall, Trailers, Workers};
use whinhill_xds::mapping::Service;
use whinhill_xds::{proto, Cache, Heard, Kind, Reply, Request, ServerStream, Variant, LRS_PATH};

use crate::channel::Parcel;
use crate::core::Input;
use crate::joins::{Due, Joins};
use crate::status::Counters;
use crate::stewards::Charge;

/// How often a thread that waits for a peer looks whether its stream has ended. What must happen sooner wakes it.
const LOOK: Duration = Duration::from_millis(500);
/// When to try a renewal again that could not be sent: something was due or unanswered.
const AGAIN: Duration = Duration::from_millis(50);
/// A proxy that takes nothing in for this long has lost its stream.
const WRITE_WITHIN: Duration = Duration::from_secs(3);
/// The first message names the proxy; it must come within this.
const FIRST_WITHIN: Duration = Duration::from_secs(2);
/// A name or zone longer than this is refused.
const NAME_MOST: usize = 200;
/// Names over a run, for each proxy that may be connected: proxies that are replaced come under new ones.
const NAMES_A_PROXY: usize = 64;

pub type Inputs = Sender<(Input, Option<Sender<()>>)>;

struct Stream {
    id: u64,
    proxy: String,
    state: Mutex<ServerStream>,
    wake: Sender<()>,
    closed: AtomicBool,
    /// A safety order is among what is due: it waits for no pace.
    urgent: AtomicBool,
}

impl Stream {
    fn state(&self) -> MutexGuard<'_, ServerStream> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        self.wake();
    }

    fn wake(&self) {
        // A full channel means that it will wake anyway.
        let _ = self.wake.try_send(());
    }
}

pub struct Hub {
    pub service: Arc<Service>,
    pub cache: RwLock<Cache>,
    streams: Mutex<BTreeMap<String, Arc<Stream>>>,
    /// Names that proxies have come under. Each is remembered by the decisions, so their number is bounded.
    names: Mutex<BTreeSet<String>>,
    ids: AtomicU64,
    inputs: Inputs,
    workers: Workers,
    counters: Arc<Counters>,
    charge: Arc<Charge>,
    start: Instant,
    base: Duration,
    answer_within: Duration,
    proxies_most: usize,
    report_every: Duration,
    /// Proxies that are to report at another pace.
    paces: Mutex<BTreeMap<String, Duration>>,
    stop: AtomicBool,
    /// The names of all clusters, by slice and method, in the one copy that all streams share.
    clusters: Vec<Arc<str>>,
    joins: Mutex<Joins>,
    /// Whether orders wait in the channel.
    orders_wait: AtomicBool,
}

pub struct HubConfig {
    pub answer_within: Duration,
    pub proxies_most: usize,
    pub report_every: Duration,
    /// The pace of full sets.
    pub full_lines_per_s: f64,
    pub start: Instant,
    pub base: Duration,
}

impl Hub {
    pub fn new(
        service: Arc<Service>,
        inputs: Inputs,
        counters: Arc<Counters>,
        charge: Arc<Charge>,
        config: HubConfig,
    ) -> Self {
        // Reader and writer of a table stream, and one thread for load reports.
        let workers = Workers::new("stream", config.proxies_most * 3 + 8, 192 << 10);
        let names = |slice| (0..service.methods.len()).map(move |method| (slice, method));
        let all = (0..service.slices).flat_map(names);
        let clusters = all.map(|(slice, method)| service.cluster_name(slice, method).into()).collect();
        Hub {
            clusters,
            joins: Mutex::new(Joins::new(config.full_lines_per_s)),
            orders_wait: AtomicBool::new(false),
            service,
            cache: RwLock::default(),
            streams: Mutex::default(),
            names: Mutex::default(),
            ids: AtomicU64::new(0),
            inputs,
            workers,
            counters,
            charge,
            start: config.start,
            base: config.base,
            answer_within: config.answer_within,
            proxies_most: config.proxies_most,
            report_every: config.report_every,
            paces: Mutex::default(),
            stop: AtomicBool::new(false),
        }
    }

    fn streams(&self) -> MutexGuard<'_, BTreeMap<String, Arc<Stream>>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a call; runs on a driver thread.
    pub fn accept(self: &Arc<Self>, call: ServerCall) {
        let full =
            |call: ServerCall| call.refuse(Code::ResourceExhausted, "too many streams", Trailers::new());
        let variant = Variant::of_path(call.path());
        if variant.is_none() && call.path() != LRS_PATH {
            return call.refuse(Code::Unimplemented, "no such method", Trailers::new());
        }
        if self.stop.load(Ordering::Relaxed) {
            return call.refuse(Code::Unavailable, "the assigner stops", Trailers::new());
        }
        if self.streams().len() >= self.proxies_most {
            return full(call);
        }
        let hub = self.clone();
        let serve = move |call: ServerCall| {
            let peer = call.peer;
            let result = match variant {
                Some(variant) => hub.tables(call, variant),
                None => hub.reports(call),
            };
            if let Err(error) = result {
                debug!(%peer, %error, "stream ended");
            }
        };
        self.workers.hand(call, serve, full);
    }

    fn reports(&self, call: ServerCall) -> Result<(), CallError> {
        let (mut reader, mut writer) = call.open()?;
        let bad = |_| CallError::Malformed("a message that is none of the protocol's");
        let first = reader.recv(FIRST_WITHIN)?.ok_or(CallError::Malformed("no first message"))?;
        let first = proto::LoadStatsRequest::decode(first).map_err(bad)?;
        let node = first.node.unwrap_or_default();
        let (proxy, zone) = (node.id, node.locality.map(|l| l.zone).unwrap_or_default());
        if proxy.is_empty() || proxy.len() > NAME_MOST || zone.len() > NAME_MOST {
            let what = "the first message must name a node";
            return writer.close(Code::InvalidArgument, what, Trailers::new());
        }
        if !self.admits(&proxy) {
            return writer.close(Code::ResourceExhausted, "too many names of proxies", Trailers::new());
        }
        let _expected = Reporting::begin(self, &proxy, &zone);
        let mut asked = self.report_every;
        writer.send(&report_every(asked).encode_to_vec(), WRITE_WITHIN)?;
        while !self.stop.load(Ordering::Relaxed) {
            let wanted = self.pace(&proxy);
            if wanted != std::mem::replace(&mut asked, wanted) {
                writer.send(&report_every(asked).encode_to_vec(), WRITE_WITHIN)?;
            }
            let message = match reader.recv(LOOK) {
                Err(CallError::Deadline(_)) => continue,
                other => match other? {
                    Some(message) => message,
                    None => break,
                },
            };
            let report = proto::LoadStatsRequest::decode(message).map_err(bad)?;
            let input = Input::Report { proxy: proxy.clone(), zone: zone.clone(), report };
            if self.inputs.send_timeout((input, None), WRITE_WITHIN).is_err() {
                break;
            }
        }
        writer.close(Code::Ok, "", Trailers::new())
    }

    /// How often a proxy is to report now.
    fn pace(&self, proxy: &str) -> Duration {
        let paces = self.paces.lock().unwrap_or_else(PoisonError::into_inner);
        paces.get(proxy).copied().unwrap_or(self.report_every)
    }

    /// Has a proxy report this often; it is told with its next report. Bounded by the names of proxies.
    pub fn set_pace(&self, proxy: &str, every: Duration) {
        let mut paces = self.paces.lock().unwrap_or_else(PoisonError::into_inner);
        if every == self.report_every {
            paces.remove(proxy);
        } else {
            paces.insert(proxy.to_string(), every);
        }
    }

    fn tables(self: &Arc<Self>, call: ServerCall, variant: Variant) -> Result<(), CallError> {
        let (mut reader, mut writer) = call.open()?;
        let bad = |_| CallError::Malformed("a message that is none of the protocol's");
        let first = reader.recv(FIRST_WITHIN)?.ok_or(CallError::Malformed("no first message"))?;
        let first = Request::decode(variant, &first).map_err(bad)?;
        let node = first.node().cloned().unwrap_or_default();
        let zone = node.locality.map(|l| l.zone).unwrap_or_default();
        if node.id.is_empty() || node.id.len() > NAME_MOST || zone.len() > NAME_MOST {
            return writer.close(
                Code::InvalidArgument,
                "the first message must name a node",
                Trailers::new(),
            );
        }
        if !self.admits(&node.id) {
            warn!(proxy = %node.id, most = self.proxies_most * NAMES_A_PROXY, "too many names of proxies: refused");
            return writer.close(Code::ResourceExhausted, "too many names of proxies", Trailers::new());
        }
        let (wake, woken) = bounded(1);
        let stream = Arc::new(Stream {
            id: self.ids.fetch_add(1, Ordering::Relaxed) + 1,
            proxy: node.id.clone(),
            state: Mutex::new(ServerStream::new(variant, &node.client_features)),
            wake,
            closed: AtomicBool::new(false),
            urgent: AtomicBool::new(false),
        });
        Counters::add(&self.counters.streams, 1);
        // Of two streams of one proxy the older loses: only the newer can be the one that it reads.
        let old = self.streams().insert(node.id.clone(), stream.clone());
        if let Some(old) = old {
            info!(proxy = %node.id, old = old.id, new = stream.id, "a second stream: the older is closed");
            old.close();
        }
        debug!(proxy = %node.id, stream = stream.id, ?variant, "table stream opened");
        self.tell(Input::Joined { proxy: node.id.clone(), zone, stream: stream.id });
        let (hub, writing) = (self.clone(), stream.clone());
        let mut no_thread = false;
        self.workers.hand(writer, move |writer| hub.write(&writing, writer, &woken), |_| no_thread = true);
        let result = match no_thread {
            false => self.read(&stream, &mut reader, first, variant),
            true => Err(CallError::Reset("no thread is free to write".into())),
        };
        stream.close();
        {
            let mut streams = self.streams();
            if streams.get(&stream.proxy).is_some_and(|held| held.id == stream.id) {
                streams.remove(&stream.proxy);
            }
        }
        self.tell(Input::Left { proxy: stream.proxy.clone(), stream: stream.id });
        result
    }

    /// Whether a proxy of that name may come: one that was here, or one more than there were.
    fn admits(&self, name: &str) -> bool {
        let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        if !names.contains(name) && names.len() >= self.proxies_most * NAMES_A_PROXY {
            return false;
        }
        names.insert(name.to_string());
        true
    }

    fn tell(&self, input: Input) {
        // The decision thread has ended: so will the stream.
        let _ = self.inputs.send((input, None));
    }

    fn read(
        &self,
        stream: &Arc<Stream>,
        reader: &mut MessageReader,
        first: Request,
        variant: Variant,
    ) -> Result<(), CallError> {
        self.hear(stream, &first)?;
        loop {
            if stream.closed.load(Ordering::Relaxed) || self.stop.load(Ordering::Relaxed) {
                return Ok(());
            }
            let message = match reader.recv(LOOK) {
                Err(CallError::Deadline(_)) => continue,
                other => match other? {
                    Some(message) => message,
                    None => return Ok(()),
                },
            };
            let request = Request::decode(variant, &message)
                .map_err(|_| CallError::Malformed("a message that is none of the protocol's"))?;
            self.hear(stream, &request)?;
        }
    }

    fn hear(&self, stream: &Arc<Stream>, request: &Request) -> Result<(), CallError> {
        let cache = self.cache.read().unwrap_or_else(PoisonError::into_inner);
        let (heard, marks) = {
            let mut state = stream.state();
            let heard = state.hear(request, &cache);
            (heard, state.take_acked(&cache))
        };
        drop(cache);
        let proxy = &stream.proxy;
        match heard {
            Ok(Heard::Nacked { kind, nonce, names, reason }) => {
                Counters::add(&self.counters.nacks, 1);
                warn!(%proxy, ?kind, nonce, resources = names.len(), first = names.first(), %reason, "tables rejected");
            }
            Ok(Heard::Differs { kind, theirs, ours }) => {
                Counters::add(&self.counters.differing, 1);
                warn!(%proxy, ?kind, theirs = format!("{theirs:016x}"), ours = format!("{ours:016x}"), "a proxy holds other tables than it acknowledged: told the full set");
            }
            Ok(Heard::Stale { .. }) => Counters::add(&self.counters.stale, 1),
            Ok(_) => {}
            Err(error) => {
                warn!(%proxy, %error, "stream closed");
                return Err(CallError::Reset(error.to_string()));
            }
        }
        self.tell_acked(stream, marks);
        stream.wake();
        Ok(())
    }

    fn tell_acked(&self, stream: &Stream, marks: Vec<u16>) {
        for mark in marks {
            self.tell(Input::Acked { proxy: stream.proxy.clone(), stream: stream.id, mark });
        }
    }

    fn write(&self, stream: &Arc<Stream>, mut writer: MessageWriter, woken: &Receiver<()>) {
        let beat_every = self.service.write_lease / 5;
        let gate = self.service.listener_name(true);
        let mut next_beat = Instant::now() + beat_every;
        let mut answered = Instant::now();
        let (mut full_set_in, mut waits_since) = (LOOK, None);
        while !stream.closed.load(Ordering::Relaxed) && !self.stop.load(Ordering::Relaxed) {
            let until_beat = next_beat.saturating_duration_since(Instant::now());
            let _ = woken.recv_timeout(LOOK.min(until_beat).min(full_set_in));
            full_set_in = LOOK;
            loop {
                if let Err(wait) = self.may_send(stream, &mut waits_since) {
                    full_set_in = wait;
                    break;
                }
                let (response, marks) = {
                    let cache = self.cache.read().unwrap_or_else(PoisonError::into_inner);
                    let mut state = stream.state();
                    let mut response = state.next(&cache);
                    // The lease is renewed only while our charge holds; what was renewed before then runs out.
                    if response.is_none() && Instant::now() >= next_beat {
                        if self.charged() {
                            response = state.heartbeat(Kind::Route, &gate, &cache);
                        }
                        next_beat = Instant::now() + if response.is_some() { beat_every } else { AGAIN };
                    }
                    let marks = state.take_acked(&cache);
                    if state.due() == 0 {
                        stream.urgent.store(false, Ordering::Relaxed);
                    }
                    if state.marks_open() == 0 {
                        answered = Instant::now();
                    }
                    (response, marks)
                };
                self.tell_acked(stream, marks);
                let Some(response) = response else { break };
                if let Err(error) = self.send(&mut writer, &response) {
                    debug!(proxy = %stream.proxy, %error, "stream lost in a write");
                    return stream.close();
                }
            }
            if answered.elapsed() > self.answer_within {
                warn!(proxy = %stream.proxy, within = ?self.answer_within, "no answer to a mark: stream closed");
                break;
            }
        }
        stream.close();
        // The peer may be gone already.
        let _ = writer.close(Code::Unavailable, "the stream ends here", Trailers::new());
    }

    /// Whether what is due on a stream may be sent now. `since` is when it began to wait, if it does.
    fn may_send(&self, stream: &Stream, since: &mut Option<Duration>) -> Result<(), Duration> {
        let now = self.base + self.start.elapsed();
        let due = Due {
            lines: stream.state().due(),
            urgent: stream.urgent.load(Ordering::Relaxed),
            since: *since.get_or_insert(now),
            orders_wait: self.orders_wait.load(Ordering::Relaxed),
        };
        let may = self.joins.lock().unwrap_or_else(PoisonError::into_inner).take(now, due);
        if may.is_ok() {
            *since = None;
        }
        may
    }

    /// Tells streams with full sets whether orders wait in the channel.
    pub fn orders_wait(&self, wait: bool) {
        self.orders_wait.store(wait, Ordering::Relaxed);
    }

    /// Lines of full sets so far, and how often one waited.
    pub fn full_sets(&self) -> (u64, u64) {
        self.joins.lock().unwrap_or_else(PoisonError::into_inner).counts()
    }

    fn charged(&self) -> bool {
        self.charge.holds(self.base + self.start.elapsed())
    }

    fn send(&self, writer: &mut MessageWriter, response: &Reply) -> Result<(), CallError> {
        let bytes = response.encode();
        Counters::add(&self.counters.bytes, bytes.len() as u64);
        writer.send(&bytes, WRITE_WITHIN)
    }

    /// Hands a parcel to a proxy's stream. The stream reads the tables from the cache when it writes.
    pub fn deliver(&self, proxy: &str, parcel: &Parcel) {
        let Some(stream) = self.streams().get(proxy).cloned() else { return };
        let methods = self.service.methods.len();
        {
            let mut state = stream.state();
            // Under the stream's lock, as its end is: else a writer that finds nothing due yet would undo it.
            if parcel.safety {
                stream.urgent.store(true, Ordering::Relaxed);
            }
            for &slice in &parcel.slices {
                for method in 0..methods {
                    state.changed(Kind::Endpoints, &self.clusters[slice * methods + method]);
                }
            }
            parcel.marks.iter().for_each(|mark| state.mark(*mark));
        }
        stream.wake();
    }

    /// The name of a cluster, shared.
    pub fn cluster(&self, slice: usize, method: usize) -> &Arc<str> {
        &self.clusters[slice * self.service.methods.len() + method]
    }

    /// Tells every stream at once of names that have come or gone with custody.
    pub fn announce(&self, names: &[Arc<str>]) {
        let streams: Vec<Arc<Stream>> = self.streams().values().cloned().collect();
        for stream in streams {
            {
                let mut state = stream.state();
                for name in names {
                    state.changed(Kind::Cluster, name);
                    state.changed(Kind::Endpoints, name);
                }
            }
            stream.wake();
        }
    }

    /// Whether a proxy has acknowledged all that there is for it.
    pub fn settled(&self, proxy: &str) -> bool {
        let Some(stream) = self.streams().get(proxy).cloned() else { return false };
        let cache = self.cache.read().unwrap_or_else(PoisonError::into_inner);
        let holds = stream.state().holds_all(&cache);
        holds
    }

    pub fn connected(&self) -> usize {
        self.streams().len()
    }

    /// Ends all streams in order.
    pub fn close(&self) {
        self.stop.store(true, Ordering::Relaxed);
        let streams: Vec<Arc<Stream>> = self.streams().values().cloned().collect();
        streams.iter().for_each(|stream| stream.close());
    }
}

fn report_every(every: Duration) -> proto::LoadStatsResponse {
    proto::LoadStatsResponse {
        clusters: Vec::new(),
        load_reporting_interval: Some(proto::span(every)),
        report_endpoint_granularity: true,
        send_all_clusters: true,
    }
}

/// A stream of reports that stands. Its end is told however it ends.
struct Reporting<'a> {
    hub: &'a Hub,
    proxy: &'a str,
}

impl<'a> Reporting<'a> {
    fn begin(hub: &'a Hub, proxy: &'a str, zone: &str) -> Self {
        hub.tell(Input::Reporting { proxy: proxy.to_string(), zone: zone.to_string() });
        Reporting { hub, proxy }
    }
}

impl Drop for Reporting<'_> {
    fn drop(&mut self) {
        self.hub.tell(Input::NoLongerReporting { proxy: self.proxy.to_string() });
    }
}
