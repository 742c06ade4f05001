//! Serves the streams of all proxies. A table stream has two threads, a reader and a writer; a load report stream has
//! one. No thread decides anything: what a stream must send follows from its state machine and the cache.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender};
use prost::Message;
use tracing::{debug, info, warn};
use whinhill_transport::{CallError, Code, MessageReader, MessageWriter, ServerCall, Trailers, Workers};
use whinhill_xds::mapping::Service;
use whinhill_xds::{proto, Cache, Kind, Reply, Request, RequestOutcome, ServerStream, Variant, LRS_PATH};

use crate::channel::ProxyMessage;
use crate::core::Input;
use crate::custody_thread::CustodyLease;
use crate::full_set_pacer::{FullSetPacer, PendingSend};
use crate::status::Counters;

/// How often a thread that waits for a peer checks whether its stream has ended. Anything more urgent wakes it.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The write lease is renewed this often in the time that it lasts.
const HEARTBEATS_PER_WRITE_LEASE: u32 = 5;
/// The stack size of each stream's threads.
const STREAM_STACK_BYTES: usize = 192 << 10;
/// Delay before a lease renewal is retried that could not be sent because a response was due or unacknowledged.
const HEARTBEAT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// A stream is closed when the proxy reads nothing for this long.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// The first message, which names the proxy, must arrive within this time.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest name or zone that is accepted.
const MAX_NAME_BYTES: usize = 200;
/// Distinct names in the life of the process, for each proxy that may be connected: replaced proxies have new names.
const MAX_NAMES_PER_PROXY: usize = 64;

/// The decision thread's input queue. A sender that needs to know when its input was handled adds a channel for that.
pub type Inputs = Sender<(Input, Option<Sender<()>>)>;

/// A proxy's table stream, shared by its two threads.
struct Stream {
    id: u64,
    proxy: String,
    state: Mutex<ServerStream>,
    /// Wakes the writer.
    wake: Sender<()>,
    closed: AtomicBool,
    /// A safety order is among the changes to send, so they are not paced.
    safety_pending: AtomicBool,
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
        // If the channel is full, the writer is about to wake anyway.
        let _ = self.wake.try_send(());
    }
}

/// All streams, and what their threads share.
pub struct Hub {
    /// The service whose tables are sent.
    pub service: Arc<Service>,
    /// The resources that all streams send.
    pub cache: RwLock<Cache>,
    /// The table stream of each connected proxy.
    streams: Mutex<BTreeMap<String, Arc<Stream>>>,
    /// Names that proxies have used. The decision thread keeps state for each, so their number is bounded.
    proxy_names: Mutex<BTreeSet<String>>,
    last_stream_id: AtomicU64,
    inputs: Inputs,
    workers: Workers,
    counters: Arc<Counters>,
    custody_lease: Arc<CustodyLease>,
    start: Instant,
    clock_base: Duration,
    ack_timeout: Duration,
    max_proxies: usize,
    report_period: Duration,
    /// Report intervals of proxies that differ from `report_period`.
    report_intervals: Mutex<BTreeMap<String, Duration>>,
    stop: AtomicBool,
    /// The names of all clusters, by slice and method, in one copy that all streams share.
    cluster_names: Vec<Arc<str>>,
    full_set_pacer: Mutex<FullSetPacer>,
    /// Whether orders are queued in the channel.
    orders_queued: AtomicBool,
}

/// Limits and periods of a [`Hub`].
pub struct HubConfig {
    /// A stream is closed when an ack sequence number stays unacknowledged for this long.
    pub ack_timeout: Duration,
    pub max_proxies: usize,
    pub report_period: Duration,
    /// The rate at which full sets are sent, in lines per second.
    pub full_lines_per_s: f64,
    pub start: Instant,
    /// The assigner's clock at `start`.
    pub clock_base: Duration,
}

impl Hub {
    /// A hub without streams.
    pub fn new(
        service: Arc<Service>,
        inputs: Inputs,
        counters: Arc<Counters>,
        custody_lease: Arc<CustodyLease>,
        config: HubConfig,
    ) -> Self {
        // Reader and writer of a table stream, and one thread for load reports.
        let workers = Workers::new("stream", config.max_proxies * 3 + 8, STREAM_STACK_BYTES);
        let methods_of = |slice| (0..service.methods.len()).map(move |method| (slice, method));
        let all = (0..service.slices).flat_map(methods_of);
        let cluster_names = all.map(|(slice, method)| service.cluster_name(slice, method).into()).collect();
        Hub {
            cluster_names,
            full_set_pacer: Mutex::new(FullSetPacer::new(config.full_lines_per_s)),
            orders_queued: AtomicBool::new(false),
            service,
            cache: RwLock::default(),
            streams: Mutex::default(),
            proxy_names: Mutex::default(),
            last_stream_id: AtomicU64::new(0),
            inputs,
            workers,
            counters,
            custody_lease,
            start: config.start,
            clock_base: config.clock_base,
            ack_timeout: config.ack_timeout,
            max_proxies: config.max_proxies,
            report_period: config.report_period,
            report_intervals: Mutex::default(),
            stop: AtomicBool::new(false),
        }
    }

    /// Locks the streams.
    fn streams(&self) -> MutexGuard<'_, BTreeMap<String, Arc<Stream>>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts a call; runs on a driver thread.
    pub fn accept(self: &Arc<Self>, call: ServerCall) {
        let full =
            |call: ServerCall| call.refuse(Code::ResourceExhausted, "too many streams", Trailers::new());
        let variant = Variant::from_path(call.path());
        if variant.is_none() && call.path() != LRS_PATH {
            return call.refuse(Code::Unimplemented, "no such method", Trailers::new());
        }
        if self.stop.load(Ordering::Relaxed) {
            return call.refuse(Code::Unavailable, "the assigner stops", Trailers::new());
        }
        if self.streams().len() >= self.max_proxies {
            return full(call);
        }
        let hub = self.clone();
        let serve = move |call: ServerCall| {
            let peer = call.peer;
            let result = match variant {
                Some(variant) => hub.serve_tables(call, variant),
                None => hub.serve_reports(call),
            };
            if let Err(error) = result {
                debug!(%peer, %error, "stream ended");
            }
        };
        self.workers.run_with(call, serve, full);
    }

    /// Serves a load report stream until it ends.
    fn serve_reports(&self, call: ServerCall) -> Result<(), CallError> {
        let (mut reader, mut writer) = call.open()?;
        let malformed = |_| CallError::Malformed("a message that is none of the protocol's");
        let first = reader.recv(FIRST_MESSAGE_TIMEOUT)?.ok_or(CallError::Malformed("no first message"))?;
        let first = proto::LoadStatsRequest::decode(first).map_err(malformed)?;
        let node = first.node.unwrap_or_default();
        let (proxy, zone) = (node.id, node.locality.map(|l| l.zone).unwrap_or_default());
        if proxy.is_empty() || proxy.len() > MAX_NAME_BYTES || zone.len() > MAX_NAME_BYTES {
            let message = "the first message must name a node";
            return writer.close(Code::InvalidArgument, message, Trailers::new());
        }
        if !self.admit_name(&proxy) {
            return writer.close(Code::ResourceExhausted, "too many names of proxies", Trailers::new());
        }
        let _open_stream = OpenReportStream::begin(self, &proxy, &zone);
        let mut current = self.report_period;
        writer.send(&report_interval_response(current).encode_to_vec(), WRITE_TIMEOUT)?;
        while !self.stop.load(Ordering::Relaxed) {
            let wanted = self.report_interval(&proxy);
            if wanted != std::mem::replace(&mut current, wanted) {
                writer.send(&report_interval_response(current).encode_to_vec(), WRITE_TIMEOUT)?;
            }
            let message = match reader.recv(POLL_INTERVAL) {
                Err(CallError::Deadline(_)) => continue,
                other => match other? {
                    Some(message) => message,
                    None => break,
                },
            };
            let report = proto::LoadStatsRequest::decode(message).map_err(malformed)?;
            let input = Input::Report { proxy: proxy.clone(), zone: zone.clone(), report };
            if self.inputs.send_timeout((input, None), WRITE_TIMEOUT).is_err() {
                break;
            }
        }
        writer.close(Code::Ok, "", Trailers::new())
    }

    /// The report interval of a proxy.
    fn report_interval(&self, proxy: &str) -> Duration {
        let intervals = self.report_intervals.lock().unwrap_or_else(PoisonError::into_inner);
        intervals.get(proxy).copied().unwrap_or(self.report_period)
    }

    /// Sets the report interval of a proxy. Its load report stream sends it after the next report or poll. The number
    /// of entries is bounded by the number of admitted names.
    pub fn set_report_interval(&self, proxy: &str, interval: Duration) {
        let mut intervals = self.report_intervals.lock().unwrap_or_else(PoisonError::into_inner);
        if interval == self.report_period {
            intervals.remove(proxy);
        } else {
            intervals.insert(proxy.to_string(), interval);
        }
    }

    /// Serves a table stream until it ends.
    fn serve_tables(self: &Arc<Self>, call: ServerCall, variant: Variant) -> Result<(), CallError> {
        let (mut reader, mut writer) = call.open()?;
        let malformed = |_| CallError::Malformed("a message that is none of the protocol's");
        let first = reader.recv(FIRST_MESSAGE_TIMEOUT)?.ok_or(CallError::Malformed("no first message"))?;
        let first = Request::decode(variant, &first).map_err(malformed)?;
        let node = first.node().cloned().unwrap_or_default();
        let zone = node.locality.map(|l| l.zone).unwrap_or_default();
        if node.id.is_empty() || node.id.len() > MAX_NAME_BYTES || zone.len() > MAX_NAME_BYTES {
            return writer.close(
                Code::InvalidArgument,
                "the first message must name a node",
                Trailers::new(),
            );
        }
        if !self.admit_name(&node.id) {
            warn!(proxy = %node.id, most = self.max_proxies * MAX_NAMES_PER_PROXY, "too many names of proxies: refused");
            return writer.close(Code::ResourceExhausted, "too many names of proxies", Trailers::new());
        }
        let (wake, woken) = bounded(1);
        let stream = Arc::new(Stream {
            id: self.last_stream_id.fetch_add(1, Ordering::Relaxed) + 1,
            proxy: node.id.clone(),
            state: Mutex::new(ServerStream::new(variant, &node.client_features)),
            wake,
            closed: AtomicBool::new(false),
            safety_pending: AtomicBool::new(false),
        });
        Counters::add(&self.counters.streams, 1);
        // Of two streams of one proxy the older is closed: the proxy can only be reading the newer one.
        let old = self.streams().insert(node.id.clone(), stream.clone());
        if let Some(old) = old {
            info!(proxy = %node.id, old = old.id, new = stream.id, "a second stream: the older is closed");
            old.close();
        }
        debug!(proxy = %node.id, stream = stream.id, ?variant, "table stream opened");
        self.send_input(Input::ProxyJoined { proxy: node.id.clone(), zone, stream: stream.id });
        let (hub, write_stream) = (self.clone(), stream.clone());
        let mut no_thread = false;
        self.workers.run_with(
            writer,
            move |writer| hub.write_responses(&write_stream, writer, &woken),
            |_| no_thread = true,
        );
        let result = match no_thread {
            false => self.read_requests(&stream, &mut reader, first, variant),
            true => Err(CallError::Reset("no thread is free to write".into())),
        };
        stream.close();
        {
            let mut streams = self.streams();
            if streams.get(&stream.proxy).is_some_and(|held| held.id == stream.id) {
                streams.remove(&stream.proxy);
            }
        }
        self.send_input(Input::ProxyLeft { proxy: stream.proxy.clone(), stream: stream.id });
        result
    }

    /// Admits a proxy's name if it is known or the number of names is below its limit.
    fn admit_name(&self, name: &str) -> bool {
        let mut names = self.proxy_names.lock().unwrap_or_else(PoisonError::into_inner);
        if !names.contains(name) && names.len() >= self.max_proxies * MAX_NAMES_PER_PROXY {
            return false;
        }
        names.insert(name.to_string());
        true
    }

    /// Queues an input for the decision thread.
    fn send_input(&self, input: Input) {
        // This fails only after the decision thread has ended; then the stream ends too.
        let _ = self.inputs.send((input, None));
    }

    /// Reads a table stream's requests until it ends.
    fn read_requests(
        &self,
        stream: &Arc<Stream>,
        reader: &mut MessageReader,
        first: Request,
        variant: Variant,
    ) -> Result<(), CallError> {
        self.handle_request(stream, &first)?;
        loop {
            if stream.closed.load(Ordering::Relaxed) || self.stop.load(Ordering::Relaxed) {
                return Ok(());
            }
            let message = match reader.recv(POLL_INTERVAL) {
                Err(CallError::Deadline(_)) => continue,
                other => match other? {
                    Some(message) => message,
                    None => return Ok(()),
                },
            };
            let request = Request::decode(variant, &message)
                .map_err(|_| CallError::Malformed("a message that is none of the protocol's"))?;
            self.handle_request(stream, &request)?;
        }
    }

    /// Passes a request to the stream's state machine, and logs and counts the outcome.
    fn handle_request(&self, stream: &Arc<Stream>, request: &Request) -> Result<(), CallError> {
        let cache = self.cache.read().unwrap_or_else(PoisonError::into_inner);
        let (outcome, ack_seqs) = {
            let mut state = stream.state();
            let outcome = state.handle_request(request, &cache);
            (outcome, state.take_acked(&cache))
        };
        drop(cache);
        let proxy = &stream.proxy;
        match outcome {
            Ok(RequestOutcome::Nacked { kind, nonce, names, reason }) => {
                Counters::add(&self.counters.nacks, 1);
                warn!(%proxy, ?kind, nonce, resources = names.len(), first = names.first(), %reason, "tables rejected");
            }
            Ok(RequestOutcome::HashMismatch { kind, client_hash, server_hash }) => {
                Counters::add(&self.counters.differing, 1);
                warn!(%proxy, ?kind, theirs = format!("{client_hash:016x}"), ours = format!("{server_hash:016x}"), "a proxy holds other tables than it acknowledged: told the full set");
            }
            Ok(RequestOutcome::Stale { .. }) => Counters::add(&self.counters.stale, 1),
            Ok(_) => {}
            Err(error) => {
                warn!(%proxy, %error, "stream closed");
                return Err(CallError::Reset(error.to_string()));
            }
        }
        self.forward_acks(stream, ack_seqs);
        stream.wake();
        Ok(())
    }

    /// Passes acknowledged sequence numbers to the decision thread.
    fn forward_acks(&self, stream: &Stream, ack_seqs: Vec<u16>) {
        for ack_seq in ack_seqs {
            self.send_input(Input::Acked { proxy: stream.proxy.clone(), stream: stream.id, ack_seq });
        }
    }

    /// Writes a table stream's responses and lease renewals until it ends.
    fn write_responses(&self, stream: &Arc<Stream>, mut writer: MessageWriter, woken: &Receiver<()>) {
        let heartbeat_interval = self.service.write_lease / HEARTBEATS_PER_WRITE_LEASE;
        let listener = self.service.listener_name(true);
        let mut next_heartbeat = Instant::now() + heartbeat_interval;
        let mut all_acked_at = Instant::now();
        let (mut retry_in, mut waiting_since) = (POLL_INTERVAL, None);
        while !stream.closed.load(Ordering::Relaxed) && !self.stop.load(Ordering::Relaxed) {
            let until_heartbeat = next_heartbeat.saturating_duration_since(Instant::now());
            let _ = woken.recv_timeout(POLL_INTERVAL.min(until_heartbeat).min(retry_in));
            retry_in = POLL_INTERVAL;
            loop {
                if let Err(wait) = self.try_send(stream, &mut waiting_since) {
                    retry_in = wait;
                    break;
                }
                let (response, ack_seqs) = {
                    let cache = self.cache.read().unwrap_or_else(PoisonError::into_inner);
                    let mut state = stream.state();
                    let mut response = state.next_reply(&cache);
                    // The write lease is renewed only while this assigner's custody lease is valid; otherwise it
                    // runs out.
                    if response.is_none() && Instant::now() >= next_heartbeat {
                        if self.holds_custody() {
                            response = state.heartbeat(Kind::Route, &listener, &cache);
                        }
                        next_heartbeat = Instant::now()
                            + if response.is_some() { heartbeat_interval } else { HEARTBEAT_RETRY_DELAY };
                    }
                    let ack_seqs = state.take_acked(&cache);
                    if state.pending_names() == 0 {
                        stream.safety_pending.store(false, Ordering::Relaxed);
                    }
                    if state.pending_ack_count() == 0 {
                        all_acked_at = Instant::now();
                    }
                    (response, ack_seqs)
                };
                self.forward_acks(stream, ack_seqs);
                let Some(response) = response else { break };
                if let Err(error) = self.send(&mut writer, &response) {
                    debug!(proxy = %stream.proxy, %error, "writing to a stream failed");
                    return stream.close();
                }
            }
            if all_acked_at.elapsed() > self.ack_timeout {
                warn!(proxy = %stream.proxy, within = ?self.ack_timeout, "an ack sequence number was not acknowledged in time: stream closed");
                break;
            }
        }
        stream.close();
        // The peer may have disconnected already.
        let _ = writer.close(Code::Unavailable, "the stream ends here", Trailers::new());
    }

    /// Whether the responses due on a stream may be sent now; if not, how long to wait before the next attempt.
    /// `waiting_since` is when they began to wait, if they do.
    fn try_send(&self, stream: &Stream, waiting_since: &mut Option<Duration>) -> Result<(), Duration> {
        let now = self.clock_base + self.start.elapsed();
        let pending = PendingSend {
            lines: stream.state().pending_names(),
            safety: stream.safety_pending.load(Ordering::Relaxed),
            waiting_since: *waiting_since.get_or_insert(now),
            orders_queued: self.orders_queued.load(Ordering::Relaxed),
        };
        let result =
            self.full_set_pacer.lock().unwrap_or_else(PoisonError::into_inner).try_send(now, pending);
        if result.is_ok() {
            *waiting_since = None;
        }
        result
    }

    /// Sets whether orders are queued in the channel, since full sets wait for them.
    pub fn set_orders_queued(&self, queued: bool) {
        self.orders_queued.store(queued, Ordering::Relaxed);
    }

    /// Lines of full sets sent so far, and how often sending one was delayed.
    pub fn full_sets(&self) -> (u64, u64) {
        self.full_set_pacer.lock().unwrap_or_else(PoisonError::into_inner).counts()
    }

    /// Whether this assigner's custody lease is valid.
    fn holds_custody(&self) -> bool {
        self.custody_lease.holds(self.clock_base + self.start.elapsed())
    }

    /// Writes one response.
    fn send(&self, writer: &mut MessageWriter, response: &Reply) -> Result<(), CallError> {
        let bytes = response.encode();
        Counters::add(&self.counters.bytes, bytes.len() as u64);
        writer.send(&bytes, WRITE_TIMEOUT)
    }

    /// Gives a message to a proxy's stream. The stream reads the tables from the cache when it writes.
    pub fn deliver(&self, proxy: &str, message: &ProxyMessage) {
        let Some(stream) = self.streams().get(proxy).cloned() else { return };
        let methods = self.service.methods.len();
        {
            let mut state = stream.state();
            // Set under the state's lock, as it is cleared: otherwise a writer that finds nothing due yet would clear
            // it.
            if message.safety {
                stream.safety_pending.store(true, Ordering::Relaxed);
            }
            for &slice in &message.slices {
                for method in 0..methods {
                    state.resource_changed(Kind::Endpoints, &self.cluster_names[slice * methods + method]);
                }
            }
            message.ack_seqs.iter().for_each(|ack_seq| state.request_ack(*ack_seq));
        }
        stream.wake();
    }

    /// The shared name of a cluster.
    pub fn cluster_name(&self, slice: usize, method: usize) -> &Arc<str> {
        &self.cluster_names[slice * self.service.methods.len() + method]
    }

    /// Notifies every stream at once of clusters that were added or removed with the custody of their slices.
    pub fn notify_all(&self, names: &[Arc<str>]) {
        let streams: Vec<Arc<Stream>> = self.streams().values().cloned().collect();
        for stream in streams {
            {
                let mut state = stream.state();
                for name in names {
                    state.resource_changed(Kind::Cluster, name);
                    state.resource_changed(Kind::Endpoints, name);
                }
            }
            stream.wake();
        }
    }

    /// Whether a proxy has acknowledged everything that the cache has for it.
    pub fn has_acked_all(&self, proxy: &str) -> bool {
        let Some(stream) = self.streams().get(proxy).cloned() else { return false };
        let cache = self.cache.read().unwrap_or_else(PoisonError::into_inner);
        let holds = stream.state().is_up_to_date(&cache);
        holds
    }

    /// The number of proxies that have a table stream.
    pub fn connected(&self) -> usize {
        self.streams().len()
    }

    /// Closes all streams in order.
    pub fn close(&self) {
        self.stop.store(true, Ordering::Relaxed);
        let streams: Vec<Arc<Stream>> = self.streams().values().cloned().collect();
        streams.iter().for_each(|stream| stream.close());
    }
}

/// The response that sets a proxy's report interval.
fn report_interval_response(interval: Duration) -> proto::LoadStatsResponse {
    proto::LoadStatsResponse {
        clusters: Vec::new(),
        load_reporting_interval: Some(proto::to_proto_duration(interval)),
        report_endpoint_granularity: true,
        send_all_clusters: true,
    }
}

/// An open load report stream. Dropping it reports the end of the stream, however it ends.
struct OpenReportStream<'a> {
    hub: &'a Hub,
    proxy: &'a str,
}

impl<'a> OpenReportStream<'a> {
    /// Reports that the stream opened.
    fn begin(hub: &'a Hub, proxy: &'a str, zone: &str) -> Self {
        hub.send_input(Input::ReportStreamOpened { proxy: proxy.to_string(), zone: zone.to_string() });
        OpenReportStream { hub, proxy }
    }
}

impl Drop for OpenReportStream<'_> {
    fn drop(&mut self) {
        self.hub.send_input(Input::ReportStreamClosed { proxy: self.proxy.to_string() });
    }
}
