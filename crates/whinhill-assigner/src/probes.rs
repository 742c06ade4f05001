//! Probes by `grpc.health.v1`, with the server's own figures (ORCA) where it tells them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam_channel::Sender;
use prost::Message;
use tracing::{debug, warn};
use whinhill::interface::{LoadReport, Probe};
use whinhill_tables::ServerName;
use whinhill_transport::{CallError, Client, Code, Drivers, Limits, NeverRan, CALL_STACK};
use whinhill_xds::proto::{HealthCheckRequest, HealthCheckResponse, OrcaLoadReport};
use whinhill_xds::{unbase64, HEALTH_PATH, ORCA_TRAILER};

use crate::core::Input;
use crate::probes::queue::{ProbeQueue, Pushed};
use crate::reports::read_load;

const WITHIN: Duration = Duration::from_millis(800);
/// Probes under way at a time, each on its thread.
const MOST: usize = 32;
/// Servers that wait for a probe at a time: as many as the inputs' channel holds results.
const WAITING_MOST: usize = 8192;
/// After this long without a server to probe, a thread ends.
const IDLE: Duration = Duration::from_secs(5);
const SERVING: i32 = 1;

/// Probes servers on threads of its own; no call waits for a server. The threads end with it.
pub struct Prober(Arc<Asker>);

impl Prober {
    pub fn new(drivers: Drivers, inputs: Sender<(Input, Option<Sender<()>>)>) -> Self {
        Prober(Arc::new(Asker {
            rounds: Mutex::new(Rounds {
                queue: ProbeQueue::new(WAITING_MOST),
                threads: 0,
                idle: 0,
                over: false,
            }),
            pushed: Condvar::new(),
            drivers,
            clients: Mutex::default(),
            inputs,
        }))
    }

    /// Probes a server now, or as soon as another probe has ended.
    pub fn probe(&self, server: ServerName) {
        let mut rounds = self.0.rounds();
        if rounds.queue.push(server.clone()) == Pushed::Full {
            return warn!(%server, "a server is not probed: {WAITING_MOST} wait already");
        }
        if rounds.queue.waiting() <= rounds.idle {
            self.0.pushed.notify_one();
        } else if rounds.threads < MOST {
            rounds.threads += 1;
            drop(rounds);
            self.start_thread();
        }
    }

    fn start_thread(&self) {
        let asker = self.0.clone();
        let thread = thread::Builder::new().name("probe".to_string()).stack_size(CALL_STACK);
        if let Err(error) = thread.spawn(move || asker.run()) {
            // What waits is left to the other threads, or to the one that the next order starts.
            self.0.rounds().threads -= 1;
            warn!(%error, "no thread for a probe");
        }
    }
}

impl Drop for Prober {
    fn drop(&mut self) {
        self.0.rounds().over = true;
        self.0.pushed.notify_all();
    }
}

/// What waits, and the threads that take it.
struct Rounds {
    queue: ProbeQueue,
    threads: usize,
    /// Threads that wait for a server.
    idle: usize,
    over: bool,
}

/// What the threads share.
struct Asker {
    rounds: Mutex<Rounds>,
    pushed: Condvar,
    drivers: Drivers,
    clients: Mutex<HashMap<ServerName, Client>>,
    inputs: Sender<(Input, Option<Sender<()>>)>,
}

impl Asker {
    fn run(&self) {
        while let Some(server) = self.next() {
            let asked = self.ask(&server);
            // Before the result is told: the order to ask again that may follow it is a new one.
            self.rounds().queue.ended(&server);
            match asked {
                Some((result, load)) => self.tell(server, result, load),
                None => debug!(%server, "a server was not asked: the fault is this machine's"),
            }
        }
    }

    /// The server that this thread is to ask; `None` once the thread is to end.
    fn next(&self) -> Option<ServerName> {
        let mut rounds = self.rounds();
        rounds.idle += 1;
        let nothing_to_do = |rounds: &mut Rounds| !rounds.over && rounds.queue.waiting() == 0;
        let waited = self.pushed.wait_timeout_while(rounds, IDLE, nothing_to_do);
        rounds = waited.unwrap_or_else(PoisonError::into_inner).0;
        rounds.idle -= 1;
        let next = if rounds.over { None } else { rounds.queue.next() };
        rounds.threads -= usize::from(next.is_none());
        next
    }

    /// Tells a result, once the inputs have room for it: a probe thread may wait.
    fn tell(&self, server: ServerName, result: Probe, load: LoadReport) {
        debug!(%server, ?result, "a server was asked");
        if self.inputs.send((Input::Probed { server, result, load }, None)).is_err() {
            debug!("a result is not told: the decision thread has ended");
        }
    }

    fn rounds(&self) -> MutexGuard<'_, Rounds> {
        self.rounds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// `None` where the server was not asked: that tells nothing of it.
    fn ask(&self, server: &ServerName) -> Option<(Probe, LoadReport)> {
        Some(match self.check(server) {
            Err(CallError::NeverRan(NeverRan::NotTried)) => return None,
            Ok((HealthCheckResponse { status: SERVING }, load)) => (Probe::Ok, load),
            Ok((_, load)) => (Probe::PushedBack, load),
            Err(
                CallError::Status { code: Code::Unavailable | Code::ResourceExhausted, .. }
                | CallError::NeverRan(NeverRan::RefusedStream),
            ) => (Probe::PushedBack, LoadReport::default()),
            Err(CallError::Status { .. } | CallError::Malformed(_) | CallError::TooLarge { .. }) => {
                (Probe::Aborted, LoadReport::default())
            }
            Err(_) => (Probe::Unanswered, LoadReport::default()),
        })
    }

    fn check(&self, server: &ServerName) -> Result<(HealthCheckResponse, LoadReport), CallError> {
        if let Some(client) = self.held(server) {
            match check_by(&client) {
                // Ended in good order before, by the server's limits for instance: it was not asked.
                Err(CallError::NeverRan(NeverRan::NeverWritten | NeverRan::AboveGoAway)) => {}
                result => return result,
            }
        }
        check_by(&self.connect(server)?)
    }

    fn clients(&self) -> MutexGuard<'_, HashMap<ServerName, Client>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection to the server that stands, as far as is known.
    fn held(&self, server: &ServerName) -> Option<Client> {
        self.clients().get(server).filter(|client| client.alive()).cloned()
    }

    fn connect(&self, server: &ServerName) -> Result<Client, CallError> {
        let addr: SocketAddr =
            server.parse().map_err(|_| CallError::Malformed("a server's name is its address"))?;
        let limits = Limits { handshake: WITHIN, idle: Duration::from_secs(10), ..Limits::default() };
        let client = Client::connect(addr, limits, &self.drivers)?;
        let mut clients = self.clients();
        clients.retain(|_, client| client.alive());
        clients.insert(server.clone(), client.clone());
        Ok(client)
    }
}

/// Asks by a connection that stands.
fn check_by(client: &Client) -> Result<(HealthCheckResponse, LoadReport), CallError> {
    let request = HealthCheckRequest::default().encode_to_vec();
    let (answer, trailers) = client.unary(HEALTH_PATH, &[], request.into(), WITHIN)?;
    let answer = HealthCheckResponse::decode(answer).map_err(|_| CallError::Malformed("a health answer"))?;
    let told = trailers.get(ORCA_TRAILER).and_then(|value| value.to_str().ok()).and_then(unbase64);
    let told = told.and_then(|bytes| OrcaLoadReport::decode(&bytes[..]).ok()).unwrap_or_default();
    let mut load = LoadReport::default();
    if told.cpu_utilization > 0.0 {
        load.cpu = Some(told.cpu_utilization);
    }
    told.named_metrics.iter().for_each(|(name, value)| read_load(&mut load, name, *value));
    Ok((answer, load))
}

mod queue;
#[cfg(test)]
mod tests;
