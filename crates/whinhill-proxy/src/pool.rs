//! Connections to servers, as decided by [`Connections`]: opened by the RPC that needs one, shared by all RPCs to a
//! server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use whinhill_transport::{CallError, Client, Drivers, Limits, NeverRan, PollScope};

use crate::connections::{ConnectionId, Connections, Placement, PoolLimits};
use crate::shared::lock;

/// The most servers connected to at the same time.
const MAX_SERVERS: usize = 4096;
/// How often idle connections are looked for, by the next RPC that needs a connection.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The connections of one proxy to its servers.
pub struct Pool {
    state: Mutex<State>,
    /// Signalled when a connection has room again, was opened, or could not be opened.
    availability_changed: Condvar,
    limits: Limits,
    drivers: Drivers,
    dial: Dial,
    start: Instant,
}

/// What the pool's lock guards.
struct State {
    connections: Connections,
    clients: HashMap<ConnectionId, Client>,
    waiters: usize,
    last_idle_check: Instant,
}

/// Maps a server's address to the address to connect to, for example that of a relay; without a function, to the
/// server's own address.
#[derive(Clone, Default)]
pub struct Dial(pub Option<Arc<dyn Fn(SocketAddr) -> SocketAddr + Send + Sync>>);

impl std::fmt::Debug for Dial {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_some() { "Dial(elsewhere)" } else { "Dial(direct)" })
    }
}

/// A connection on which one RPC is counted as in flight until this is dropped.
pub struct PooledConnection<'a> {
    pool: &'a Pool,
    server: Arc<str>,
    id: ConnectionId,
    pub client: Client,
    /// The RPC has received an answer.
    pub answered: bool,
}

impl Drop for PooledConnection<'_> {
    fn drop(&mut self) {
        let pool = self.pool;
        let mut state = lock(&pool.state);
        state.connections.rpc_ended(pool.now(), &self.server, self.id, self.answered);
        let closed = if self.client.is_alive() {
            None
        } else {
            state.connections.remove(&self.server, self.id);
            state.clients.remove(&self.id)
        };
        pool.notify_waiters(state);
        // Dropped outside the lock: dropping the last handle of a connection closes it.
        drop(closed);
    }
}

impl Pool {
    /// A pool without connections.
    pub fn new(limits: Limits, pool: PoolLimits, drivers: Drivers, dial: Dial) -> Self {
        let limits = Limits {
            handshake: Duration::from_millis(pool.connect_within_ms),
            idle: Duration::from_millis(pool.idle_ms),
            ..limits
        };
        let start = Instant::now();
        let connections = Connections::new(pool, MAX_SERVERS);
        let state = State { connections, clients: HashMap::new(), waiters: 0, last_idle_check: start };
        Pool { state: Mutex::new(state), availability_changed: Condvar::new(), limits, drivers, dial, start }
    }

    /// Time since the pool was created.
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Wakes the RPCs that wait for a connection, if any, and releases the lock.
    fn notify_waiters(&self, state: MutexGuard<'_, State>) {
        if state.waiters > 0 {
            self.availability_changed.notify_all();
        }
    }

    /// A connection to a server: an open one, a new one, or one that has room again before `until`.
    pub fn acquire(&self, server: &Arc<str>, until: Instant) -> Result<PooledConnection<'_>, CallError> {
        let no_connection = || CallError::NeverRan(NeverRan::NoConnection);
        // This may take a while, and what this thread has queued on other connections must not wait for it.
        PollScope::flush();
        let mut state = lock(&self.state);
        if state.last_idle_check.elapsed() >= IDLE_CHECK_INTERVAL {
            state = self.close_idle(state);
        }
        loop {
            match state.connections.place(self.now(), server) {
                Placement::Use(id) => {
                    let client = state.clients.get(&id).filter(|client| client.is_alive()).cloned();
                    if let Some(client) = client {
                        return Ok(PooledConnection {
                            pool: self,
                            server: server.clone(),
                            id,
                            client,
                            answered: false,
                        });
                    }
                    state.connections.remove(server, id);
                    state.clients.remove(&id);
                }
                Placement::Open => break,
                Placement::Unavailable => return Err(no_connection()),
                Placement::Wait => {
                    let remaining = until.saturating_duration_since(Instant::now());
                    if remaining.is_zero() {
                        return Err(no_connection());
                    }
                    state.waiters += 1;
                    let waited = self.availability_changed.wait_timeout(state, remaining);
                    state = waited.unwrap_or_else(PoisonError::into_inner).0;
                    state.waiters -= 1;
                }
            }
        }
        let evicted: Vec<Client> =
            state.connections.take_evicted().iter().filter_map(|id| state.clients.remove(id)).collect();
        drop(state);
        drop(evicted);
        let addr: Option<SocketAddr> = server.parse().ok();
        let addr = addr.map(|addr| self.dial.0.as_ref().map_or(addr, |dial| dial(addr)));
        let opened = addr
            .ok_or_else(no_connection)
            .and_then(|addr| Client::connect(addr, self.limits.clone(), &self.drivers));
        let mut state = lock(&self.state);
        let result = match opened {
            Ok(client) => {
                let id = state.connections.opened(self.now(), server);
                state.clients.insert(id, client.clone());
                Ok(PooledConnection { pool: self, server: server.clone(), id, client, answered: false })
            }
            Err(error) => {
                match error.never_ran() {
                    Some(NeverRan::NotTried) => state.connections.open_not_attempted(server),
                    _ => state.connections.open_failed(self.now(), server),
                }
                Err(error)
            }
        };
        self.notify_waiters(state);
        result
    }

    /// Closes idle connections, outside the lock.
    fn close_idle<'a>(&'a self, mut state: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
        state.last_idle_check = Instant::now();
        let idle = state.connections.remove_idle(self.now());
        let closed: Vec<_> = idle.iter().filter_map(|(_, id)| state.clients.remove(id)).collect();
        drop(state);
        drop(closed);
        lock(&self.state)
    }

    /// Number of open connections, and of RPCs in flight on them.
    pub fn usage(&self) -> (usize, usize) {
        lock(&self.state).connections.usage()
    }
}
