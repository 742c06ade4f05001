//! Connections to servers, as [`Connections`] decides: opened by whoever needs one, shared by all RPCs to a server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use whinhill_transport::{CallError, Client, Drivers, Limits, NeverRan, Turn};

use crate::connections::{ConnectionId, Connections, PoolLimits, Take};
use crate::shared::lock;

/// Servers connected to at a time.
const SERVERS_MOST: usize = 4096;
/// How often idle connections are looked for, by whoever comes by.
const SWEEP: Duration = Duration::from_secs(1);

pub struct Pool {
    state: Mutex<State>,
    /// Something has room again, was opened, or could not be.
    settled: Condvar,
    limits: Limits,
    drivers: Drivers,
    dial: Dial,
    start: Instant,
}

struct State {
    decides: Connections,
    clients: HashMap<ConnectionId, Client>,
    waiting: usize,
    swept: Instant,
}

/// Where to connect for a server, if not to its own address: a relay beside the proxy, for one.
#[derive(Clone, Default)]
pub struct Dial(pub Option<Arc<dyn Fn(SocketAddr) -> SocketAddr + Send + Sync>>);

impl std::fmt::Debug for Dial {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_some() { "Dial(elsewhere)" } else { "Dial(direct)" })
    }
}

/// A place on a connection; it is given back when this ends.
pub struct Lease<'a> {
    pool: &'a Pool,
    server: Arc<str>,
    id: ConnectionId,
    pub client: Client,
    /// An answer has come on it.
    pub answered: bool,
}

impl Drop for Lease<'_> {
    fn drop(&mut self) {
        let pool = self.pool;
        let mut state = lock(&pool.state);
        state.decides.done(pool.now(), &self.server, self.id, self.answered);
        let gone = if self.client.alive() {
            None
        } else {
            state.decides.ended(&self.server, self.id);
            state.clients.remove(&self.id)
        };
        pool.tell(state);
        // Outside of the lock: the last handle of a connection ends it.
        drop(gone);
    }
}

impl Pool {
    pub fn new(limits: Limits, pool: PoolLimits, drivers: Drivers, dial: Dial) -> Self {
        let limits = Limits {
            handshake: Duration::from_millis(pool.connect_within_ms),
            idle: Duration::from_millis(pool.idle_ms),
            ..limits
        };
        let start = Instant::now();
        let decides = Connections::new(pool, SERVERS_MOST);
        let state = State { decides, clients: HashMap::new(), waiting: 0, swept: start };
        Pool { state: Mutex::new(state), settled: Condvar::new(), limits, drivers, dial, start }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn tell(&self, state: MutexGuard<'_, State>) {
        if state.waiting > 0 {
            self.settled.notify_all();
        }
    }

    /// A place on a connection to a server: on one that stands, a new one, or one that comes free in time.
    pub fn get(&self, server: &Arc<str>, until: Instant) -> Result<Lease<'_>, CallError> {
        let none = || CallError::NeverRan(NeverRan::NoConnection);
        // Getting one may take a while: what this thread has handed to other connections must not wait with it.
        Turn::flush();
        let mut state = lock(&self.state);
        if state.swept.elapsed() >= SWEEP {
            state = self.sweep(state);
        }
        loop {
            match state.decides.take(self.now(), server) {
                Take::Use(id) => {
                    let client = state.clients.get(&id).filter(|client| client.alive()).cloned();
                    if let Some(client) = client {
                        return Ok(Lease { pool: self, server: server.clone(), id, client, answered: false });
                    }
                    state.decides.ended(server, id);
                    state.clients.remove(&id);
                }
                Take::Open => break,
                Take::Refused => return Err(none()),
                Take::Wait => {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        return Err(none());
                    }
                    state.waiting += 1;
                    let waited = self.settled.wait_timeout(state, left);
                    state = waited.unwrap_or_else(PoisonError::into_inner).0;
                    state.waiting -= 1;
                }
            }
        }
        let let_go: Vec<Client> =
            state.decides.let_go().iter().filter_map(|id| state.clients.remove(id)).collect();
        drop(state);
        drop(let_go);
        let addr: Option<SocketAddr> = server.parse().ok();
        let addr = addr.map(|addr| self.dial.0.as_ref().map_or(addr, |dial| dial(addr)));
        let opened =
            addr.ok_or_else(none).and_then(|addr| Client::connect(addr, self.limits.clone(), &self.drivers));
        let mut state = lock(&self.state);
        let result = match opened {
            Ok(client) => {
                let id = state.decides.opened(self.now(), server);
                state.clients.insert(id, client.clone());
                Ok(Lease { pool: self, server: server.clone(), id, client, answered: false })
            }
            Err(error) => {
                match error.never_ran() {
                    Some(NeverRan::NotTried) => state.decides.not_tried(server),
                    _ => state.decides.refused(self.now(), server),
                }
                Err(error)
            }
        };
        self.tell(state);
        result
    }

    fn sweep<'a>(&'a self, mut state: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
        state.swept = Instant::now();
        let idle = state.decides.idle(self.now());
        let ended: Vec<_> = idle.iter().filter_map(|(_, id)| state.clients.remove(id)).collect();
        drop(state);
        drop(ended);
        lock(&self.state)
    }

    /// Connections that stand, and RPCs in hand on them.
    pub fn standing(&self) -> (usize, usize) {
        lock(&self.state).decides.standing()
    }
}
