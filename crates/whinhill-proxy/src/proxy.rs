//! Puts a proxy together and takes it apart.

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
use crate::shared::{Counts, Shared};
use crate::streams::Streams;

const STACK: usize = whinhill_transport::CALL_STACK;

/// Faults put in on purpose, so that an audit can be shown to find them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sabotage {
    /// Goes on by a table whose writes were stopped or whose line was taken away.
    pub ignores_stops: bool,
}

#[derive(Clone, Debug)]
pub struct ProxyConfig {
    pub id: String,
    pub zone: String,
    pub listen: SocketAddr,
    pub service: Arc<Service>,
    /// Names and addresses of all assigners.
    pub assigners: Vec<(String, SocketAddr)>,
    pub variant: Variant,
    /// A write ends within this time.
    pub settle: Duration,
    pub limits: Limits,
    pub seed: u64,
    pub dial: Dial,
    pub pool: PoolLimits,
    /// Bytes of a request's or an answer's body, all messages together.
    pub body_most: u64,
    pub pick: Pick,
    pub sabotage: Sabotage,
}

#[derive(Debug, thiserror::Error)]
pub enum ProxyError {
    #[error("proxy {id}: cannot listen on {addr}: {error}")]
    Listen { id: String, addr: SocketAddr, error: io::Error },
    #[error("proxy {id}: cannot start a thread: {error}")]
    Thread { id: String, error: io::Error },
}

/// A running proxy. Dropping it stops it: what it has in hand is finished.
pub struct Proxy {
    id: String,
    shared: Arc<Shared>,
    forwarder: Arc<Forwarder>,
    listener: Option<Listener>,
    threads: Vec<thread::JoinHandle<()>>,
    reject: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts one; `workers` carry its RPCs, `drivers` its connections. Both may serve many proxies.
    pub fn start(config: ProxyConfig, drivers: &Drivers, workers: &Workers) -> Result<Self, ProxyError> {
        let shared =
            Arc::new(Shared::new(config.service.clone(), config.assigners.len(), config.seed, config.pick));
        let reject = Arc::new(AtomicU64::new(0));
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
            let streams = || Streams {
                shared: shared.clone(),
                source,
                assigner: assigner.clone(),
                addr: *addr,
                node: node.clone(),
                variant: config.variant,
                limits: config.limits.clone(),
                drivers: drivers.clone(),
                sabotage: config.sabotage,
                reject: reject.clone(),
            };
            let (follow, report) = (streams(), streams());
            let spawn = |name: &str, run: Box<dyn FnOnce() + Send>| {
                let thread =
                    thread::Builder::new().name(format!("{}-{name}-{source}", config.id)).stack_size(STACK);
                thread.spawn(run).map_err(|error| ProxyError::Thread { id: config.id.clone(), error })
            };
            threads.push(spawn("ads", Box::new(move || follow.follow()))?);
            threads.push(spawn("lrs", Box::new(move || report.report()))?);
        }
        let forwarder = Arc::new(Forwarder {
            shared: shared.clone(),
            pool: Pool::new(config.limits.clone(), config.pool, drivers.clone(), config.dial.clone()),
            id: config.id.clone(),
            settle: config.settle,
            body: BodyLimits { message_most: config.limits.message_most, body_most: config.body_most },
        });
        let workers = workers.clone();
        let carries = forwarder.clone();
        let handler = move |call: ServerCall| {
            let forwarder = carries.clone();
            // What no worker can take is pushed back at once: a queue would only grow old.
            let full = |call: ServerCall| {
                let mut trailers = Trailers::new();
                trailers.insert(PUSHBACK_HEADER, http::HeaderValue::from_static("250"));
                call.refuse(Code::Unavailable, "pushed back: the proxy is full", trailers);
            };
            workers.hand(call, move |call| forwarder.carry(call), full);
        };
        let listener = Listener::start(&config.id, config.listen, config.limits.clone(), drivers, handler);
        let listener = listener.map_err(|error| ProxyError::Listen {
            id: config.id.clone(),
            addr: config.listen,
            error,
        })?;
        Ok(Proxy { id: config.id, shared, forwarder, listener: Some(listener), threads, reject })
    }

    pub fn id(&self) -> &str {
        &self.id
    }

    pub fn addr(&self) -> Option<SocketAddr> {
        self.listener.as_ref().map(Listener::addr)
    }

    pub fn counts(&self) -> &Counts {
        &self.shared.counts
    }

    /// How many slice tables it holds, and how many of an older epoch it has passed over.
    pub fn held(&self) -> (usize, u64) {
        self.shared.read(|table| (table.versions().len(), table.older()))
    }

    /// Connections to servers, and RPCs in hand on them.
    pub fn standing(&self) -> (usize, usize) {
        self.forwarder.pool.standing()
    }

    /// Takes no more RPCs in, and lets those in hand finish, for as long as a call may take. How many connections of
    /// clients were left then.
    pub fn drain(&mut self) -> usize {
        let Some(listener) = self.listener.take() else { return 0 };
        let deadlines = self.shared.service.methods.iter().map(|method| method.deadline);
        listener.drain(deadlines.max().unwrap_or_default())
    }

    /// Tells its threads to end, without waiting: many can then be dropped in the time of one.
    pub fn begin_stop(&self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }

    /// Has it reject the next `count` replies that hold endpoints.
    pub fn reject_next(&self, count: u64) {
        self.reject.store(count, Ordering::Relaxed);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.begin_stop();
        self.listener = None;
        for thread in self.threads.drain(..) {
            thread.thread().unpark();
            // A panic there has been logged by the thread; here only its end matters.
            let _ = thread.join();
        }
    }
}
