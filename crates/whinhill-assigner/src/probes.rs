//! Probes servers by `grpc.health.v1`, and reads the load that a server reports with its answer (ORCA).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam_channel::Sender;
use prost::Message;
use tracing::{debug, warn};
use whinhill::interface::{LoadReport, ProbeOutcome};
use whinhill_tables::ServerName;
use whinhill_transport::{CallError, Client, Code, Drivers, Limits, NeverRan, CALL_STACK};
use whinhill_xds::proto::{HealthCheckRequest, HealthCheckResponse, OrcaLoadReport};
use whinhill_xds::{decode_base64, HEALTH_PATH, ORCA_TRAILER};

use crate::core::Input;
use crate::probes::queue::{ProbeQueue, Pushed};
use crate::reports::read_load;

/// The timeout of connecting and of the call.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Probes that may be in flight, each on its own thread.
const MAX_THREADS: usize = 32;
/// Servers that may be queued for a probe: as many as the input queue holds results.
const MAX_QUEUED: usize = 8192;
/// A thread ends after this long without a server to probe.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The status `SERVING` of `grpc.health.v1`.
const SERVING: i32 = 1;

/// Probes servers on threads of its own; no method waits for a server. The threads end when this is dropped.
pub struct Prober(Arc<Shared>);

impl Prober {
    /// A prober that sends its results to `inputs`.
    pub fn new(drivers: Drivers, inputs: Sender<(Input, Option<Sender<()>>)>) -> Self {
        Prober(Arc::new(Shared {
            pool: Mutex::new(Pool {
                queue: ProbeQueue::new(MAX_QUEUED),
                threads: 0,
                idle: 0,
                stopping: false,
            }),
            queue_changed: Condvar::new(),
            drivers,
            clients: Mutex::default(),
            inputs,
        }))
    }

    /// Probes a server now, or as soon as a thread is free.
    pub fn probe(&self, server: ServerName) {
        let mut pool = self.0.pool();
        if pool.queue.push(server.clone()) == Pushed::Full {
            return warn!(%server, "a server is not probed: {MAX_QUEUED} are queued already");
        }
        if pool.queue.queued() <= pool.idle {
            self.0.queue_changed.notify_one();
        } else if pool.threads < MAX_THREADS {
            pool.threads += 1;
            drop(pool);
            self.start_thread();
        }
    }

    /// Starts one more probe thread.
    fn start_thread(&self) {
        let shared = self.0.clone();
        let thread = thread::Builder::new().name("probe".to_string()).stack_size(CALL_STACK);
        if let Err(error) = thread.spawn(move || shared.run()) {
            // Queued servers are left to the other threads, or to the thread that the next request starts.
            self.0.pool().threads -= 1;
            warn!(%error, "no thread for a probe");
        }
    }
}

impl Drop for Prober {
    fn drop(&mut self) {
        self.0.pool().stopping = true;
        self.0.queue_changed.notify_all();
    }
}

/// The queue and the threads that serve it.
struct Pool {
    queue: ProbeQueue,
    threads: usize,
    /// Threads that wait for a server to probe.
    idle: usize,
    stopping: bool,
}

/// State that the threads share.
struct Shared {
    pool: Mutex<Pool>,
    queue_changed: Condvar,
    drivers: Drivers,
    clients: Mutex<HashMap<ServerName, Client>>,
    inputs: Sender<(Input, Option<Sender<()>>)>,
}

impl Shared {
    /// Probes servers until the thread is to end.
    fn run(&self) {
        while let Some(server) = self.next() {
            let outcome = self.probe(&server);
            // Before the result is sent: a request to probe again that follows the result must not be taken for part of
            // this probe.
            self.pool().queue.finished(&server);
            match outcome {
                Some((result, load)) => self.send_result(server, result, load),
                None => debug!(%server, "a server was not asked: the fault is this machine's"),
            }
        }
    }

    /// The next server to probe; `None` once the thread is to end.
    fn next(&self) -> Option<ServerName> {
        let mut pool = self.pool();
        pool.idle += 1;
        let is_idle = |pool: &mut Pool| !pool.stopping && pool.queue.queued() == 0;
        let waited = self.queue_changed.wait_timeout_while(pool, IDLE_TIMEOUT, is_idle);
        pool = waited.unwrap_or_else(PoisonError::into_inner).0;
        pool.idle -= 1;
        let next = if pool.stopping { None } else { pool.queue.next() };
        pool.threads -= usize::from(next.is_none());
        next
    }

    /// Sends a result, waiting while the input queue is full: a probe thread may block.
    fn send_result(&self, server: ServerName, result: ProbeOutcome, load: LoadReport) {
        debug!(%server, ?result, "a server was asked");
        if self.inputs.send((Input::ProbeCompleted { server, result, load }, None)).is_err() {
            debug!("a probe result is dropped: the decision thread has ended");
        }
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The outcome of a probe; `None` if the server was not asked, which says nothing about the server.
    fn probe(&self, server: &ServerName) -> Option<(ProbeOutcome, LoadReport)> {
        Some(match self.check(server) {
            Err(CallError::NeverRan(NeverRan::NotTried)) => return None,
            Ok((HealthCheckResponse { status: SERVING }, load)) => (ProbeOutcome::Ok, load),
            Ok((_, load)) => (ProbeOutcome::PushedBack, load),
            Err(
                CallError::Status { code: Code::Unavailable | Code::ResourceExhausted, .. }
                | CallError::NeverRan(NeverRan::RefusedStream),
            ) => (ProbeOutcome::PushedBack, LoadReport::default()),
            Err(CallError::Status { .. } | CallError::Malformed(_) | CallError::TooLarge { .. }) => {
                (ProbeOutcome::Aborted, LoadReport::default())
            }
            Err(_) => (ProbeOutcome::Unanswered, LoadReport::default()),
        })
    }

    /// Sends the health check, over the open connection if there is one.
    fn check(&self, server: &ServerName) -> Result<(HealthCheckResponse, LoadReport), CallError> {
        if let Some(client) = self.open_client(server) {
            match check_over(&client) {
                // The connection had been closed in order, for instance by the server's limits: the server was not
                // asked, so it is asked over a new connection.
                Err(CallError::NeverRan(NeverRan::NeverWritten | NeverRan::AboveGoAway)) => {}
                result => return result,
            }
        }
        check_over(&self.connect(server)?)
    }

    fn clients(&self) -> MutexGuard<'_, HashMap<ServerName, Client>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection to the server that is open, as far as is known.
    fn open_client(&self, server: &ServerName) -> Option<Client> {
        self.clients().get(server).filter(|client| client.is_alive()).cloned()
    }

    /// Opens a connection to the server, and drops closed ones.
    fn connect(&self, server: &ServerName) -> Result<Client, CallError> {
        let addr: SocketAddr =
            server.parse().map_err(|_| CallError::Malformed("a server's name is its address"))?;
        let limits = Limits { handshake: PROBE_TIMEOUT, idle: Duration::from_secs(10), ..Limits::default() };
        let client = Client::connect(addr, limits, &self.drivers)?;
        let mut clients = self.clients();
        clients.retain(|_, client| client.is_alive());
        clients.insert(server.clone(), client.clone());
        Ok(client)
    }
}

/// Sends the health check over a connection.
fn check_over(client: &Client) -> Result<(HealthCheckResponse, LoadReport), CallError> {
    let request = HealthCheckRequest::default().encode_to_vec();
    let (answer, trailers) = client.unary(HEALTH_PATH, &[], request.into(), PROBE_TIMEOUT)?;
    let answer = HealthCheckResponse::decode(answer).map_err(|_| CallError::Malformed("a health answer"))?;
    let orca = trailers.get(ORCA_TRAILER).and_then(|value| value.to_str().ok()).and_then(decode_base64);
    let orca = orca.and_then(|bytes| OrcaLoadReport::decode(&bytes[..]).ok()).unwrap_or_default();
    let mut load = LoadReport::default();
    if orca.cpu_utilization > 0.0 {
        load.cpu = Some(orca.cpu_utilization);
    }
    orca.named_metrics.iter().for_each(|(name, value)| read_load(&mut load, name, *value));
    Ok((answer, load))
}

mod queue;
#[cfg(test)]
mod tests;
