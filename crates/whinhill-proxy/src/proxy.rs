//! Starts, drains and stops a proxy.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use whinhill_transport::{BodyLimits, Code, Drivers, Limits, Listener, ServerCall, Trailers, Workers};
use whinhill_xds::mapping::Service;
use whinhill_xds::{proto, Variant};

use crate::connections::PoolLimits;
use crate::forward::{Forwarder, PUSHBACK_HEADER};
use crate::pick::Pick;
use crate::pool::{Dial, Pool};
use crate::shared::{ProxyCounters, Shared};
use crate::streams::AssignerStreams;

/// Stack size of the threads that run the streams to assigners.
const STREAM_STACK_SIZE: usize = whinhill_transport::CALL_STACK;

/// Deliberate faults, to show that an audit detects them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InjectedFaults {
    /// Ignores assignments that admit nothing or have no line, and goes on using the previous table.
    pub ignores_closed_tables: bool,
}

/// Configuration of a proxy.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// Name towards assigners and servers.
    pub id: String,
    pub zone: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    pub service: Arc<Service>,
    /// The names and addresses of all assigners.
    pub assigners: Vec<(String, SocketAddr)>,
    /// State-of-the-world or incremental xDS.
    pub variant: Variant,
    /// Timeout of a write: assigners rely on every write ending within this time.
    pub write_timeout: Duration,
    pub limits: Limits,
    /// Seeds the proxy's random numbers.
    pub seed: u64,
    pub dial: Dial,
    pub pool_limits: PoolLimits,
    /// The largest body of a request or answer, all messages together, in bytes.
    pub max_body_bytes: u64,
    pub pick: Pick,
    pub injected_faults: InjectedFaults,
}

/// Why a proxy can't start.
#[derive(Debug, thiserror::Error)]
pub enum ProxyError {
    /// The address can't be listened on.
    #[error("proxy {id}: cannot listen on {addr}: {error}")]
    Listen { id: String, addr: SocketAddr, error: io::Error },
    /// A thread for a stream can't be started.
    #[error("proxy {id}: cannot start a thread: {error}")]
    Thread { id: String, error: io::Error },
}

/// A running proxy. Dropping it stops it; RPCs in flight are finished.
pub struct Proxy {
    id: String,
    shared: Arc<Shared>,
    forwarder: Arc<Forwarder>,
    listener: Option<Listener>,
    threads: Vec<thread::JoinHandle<()>>,
    replies_to_reject: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts a proxy; `workers` handle its RPCs, `drivers` its connections. Both may be shared by many proxies.
    pub fn start(config: ProxyConfig, drivers: &Drivers, workers: &Workers) -> Result<Self, ProxyError> {
        let shared =
            Arc::new(Shared::new(config.service.clone(), config.assigners.len(), config.seed, config.pick));
        let replies_to_reject = Arc::new(AtomicU64::new(0));
        let locality = proto::Locality { zone: config.zone.clone(), ..Default::default() };
        let node = proto::Node {
            id: config.id.clone(),
            cluster: config.service.name.clone(),
            locality: Some(locality),
            user_agent_name: "whinhill-proxy".to_string(),
            ..Default::default()
        };
        let mut threads = Vec::new();
        for (source, (assigner, addr)) in config.assigners.iter().enumerate() {
            let streams = || AssignerStreams {
                shared: shared.clone(),
                source,
                assigner: assigner.clone(),
                addr: *addr,
                node: node.clone(),
                variant: config.variant,
                limits: config.limits.clone(),
                drivers: drivers.clone(),
                injected_faults: config.injected_faults,
                replies_to_reject: replies_to_reject.clone(),
            };
            let (for_tables, for_reports) = (streams(), streams());
            let spawn = |name: &str, run: Box<dyn FnOnce() + Send>| {
                let thread = thread::Builder::new()
                    .name(format!("{}-{name}-{source}", config.id))
                    .stack_size(STREAM_STACK_SIZE);
                thread.spawn(run).map_err(|error| ProxyError::Thread { id: config.id.clone(), error })
            };
            threads.push(spawn("ads", Box::new(move || for_tables.run_table_stream()))?);
            threads.push(spawn("lrs", Box::new(move || for_reports.run_report_stream()))?);
        }
        let forwarder = Arc::new(Forwarder {
            shared: shared.clone(),
            pool: Pool::new(config.limits.clone(), config.pool_limits, drivers.clone(), config.dial.clone()),
            id: config.id.clone(),
            write_timeout: config.write_timeout,
            body: BodyLimits { max_message: config.limits.max_message, max_body: config.max_body_bytes },
        });
        let workers = workers.clone();
        let handler_forwarder = forwarder.clone();
        let handler = move |call: ServerCall| {
            let forwarder = handler_forwarder.clone();
            // Without a free worker an RPC is pushed back at once: in a queue it would only lose time.
            let reject_when_full = |call: ServerCall| {
                let mut trailers = Trailers::new();
                // As `PUSHBACK_DELAY` of `forward.rs`, in milliseconds.
                trailers.insert(PUSHBACK_HEADER, http::HeaderValue::from_static("250"));
                call.refuse(Code::Unavailable, "pushed back: the proxy is full", trailers);
            };
            workers.run_with(call, move |call| forwarder.handle(call), reject_when_full);
        };
        let listener = Listener::start(&config.id, config.listen, config.limits.clone(), drivers, handler);
        let listener = listener.map_err(|error| ProxyError::Listen {
            id: config.id.clone(),
            addr: config.listen,
            error,
        })?;
        Ok(Proxy { id: config.id, shared, forwarder, listener: Some(listener), threads, replies_to_reject })
    }

    /// The proxy's name.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Where the proxy listens; `None` once it has been drained.
    pub fn addr(&self) -> Option<SocketAddr> {
        self.listener.as_ref().map(Listener::addr)
    }

    /// Counters since the start.
    pub fn counters(&self) -> &ProxyCounters {
        &self.shared.counts
    }

    /// Number of tables that it holds, one for each slice and method, and of assignments ignored because of an older
    /// epoch.
    pub fn table_counts(&self) -> (usize, u64) {
        self.shared.read_table(|table| (table.versions().len(), table.older_epoch_count()))
    }

    /// Number of connections to servers, and of RPCs in flight on them.
    pub fn connection_usage(&self) -> (usize, usize) {
        self.forwarder.pool.usage()
    }

    /// Accepts no more RPCs and lets those in flight finish, for as long as the longest method deadline. Returns the
    /// number of client connections that were left then.
    pub fn drain(&mut self) -> usize {
        let Some(listener) = self.listener.take() else { return 0 };
        let deadlines = self.shared.service.methods.iter().map(|method| method.deadline);
        listener.drain(deadlines.max().unwrap_or_default())
    }

    /// Tells its threads to end, without waiting, so that many proxies can stop at the same time before each is dropped.
    pub fn begin_stop(&self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }

    /// Makes the proxy reject the next `count` replies that contain endpoints.
    pub fn reject_next_replies(&self, count: u64) {
        self.replies_to_reject.store(count, Ordering::Relaxed);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.begin_stop();
        self.listener = None;
        for thread in self.threads.drain(..) {
            thread.thread().unpark();
            // The thread has logged its own panic, if any; only its end matters here.
            let _ = thread.join();
        }
    }
}
