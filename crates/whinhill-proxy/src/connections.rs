//! Decides which connection to a server an RPC uses and when another one is opened. No I/O and no clock: connections
//! are numbers, times are durations since the start.
//!
//! A new connection carries only a few RPCs (a server may accept and never read). Its limit doubles each time it has
//! answered as many RPCs as the limit, up to the maximum for a connection. A connection that hangs therefore holds few
//! RPCs, and the others use connections that have answered. Servers are not classified as healthy or unhealthy: a
//! server that can't be reached is tried again, but not by every RPC at once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Identifies a connection within one proxy.
pub type ConnectionId = u64;

/// How a proxy keeps its connections to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PoolLimits {
    /// The most connections to one server, including those being opened.
    pub connections_most: usize,
    /// The most connections to all servers together; beyond that, the connection that has been idle longest is closed
    /// for a new one. The process's file descriptor limit must leave room for them and for its clients' connections.
    pub all_most: usize,
    /// The most RPCs in flight on one connection.
    pub streams_most: usize,
    /// The most RPCs in flight on a new connection that has not answered yet.
    pub streams_first: usize,
    /// A connection that is not open after this time counts as failed, in milliseconds.
    pub connect_within_ms: u64,
    /// A connection without RPCs is closed after this time, in milliseconds.
    pub idle_ms: u64,
    /// The delay before the next attempt after a first failed one, in milliseconds; it doubles with each failure.
    pub again_after_ms: u64,
    /// The longest such delay, in milliseconds.
    pub again_after_most_ms: u64,
}

impl Default for PoolLimits {
    fn default() -> Self {
        PoolLimits {
            connections_most: 4,
            all_most: 600,
            streams_most: 100,
            streams_first: 16,
            connect_within_ms: 500,
            idle_ms: 60_000,
            again_after_ms: 50,
            again_after_most_ms: 1000,
        }
    }
}

/// What an RPC that needs a connection to a server must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Use this connection; the RPC counts as in flight there until [`Connections::rpc_ended`].
    Use(ConnectionId),
    /// Open another connection, then report the result with [`Connections::opened`], [`Connections::open_failed`] or
    /// [`Connections::open_not_attempted`].
    Open,
    /// No connection has capacity and none may be opened now: the limit of the server or of all servers is reached,
    /// another RPC is opening the first one, or the delay after a failure lasts and others are open. Ask again after a
    /// change.
    Wait,
    /// No connection is open and none may be opened now, after a failure or because too many servers are connected to:
    /// there is nothing to wait for.
    Unavailable,
}

/// An open connection.
#[derive(Clone, Debug)]
struct Connection {
    id: ConnectionId,
    in_flight: usize,
    /// The current limit of RPCs in flight.
    max_in_flight: usize,
    /// Answers until the limit doubles.
    answers_until_growth: usize,
    /// When its last RPC ended.
    idle_since: Duration,
}

/// The connections to one server.
#[derive(Clone, Debug, Default)]
struct Server {
    open: Vec<Connection>,
    /// Connections that are being opened.
    opening: usize,
    /// Failed attempts since the last successful one.
    failures: u32,
    /// No attempt is made before this time.
    retry_at: Duration,
}

/// All connections of a proxy to its servers.
#[derive(Debug)]
pub struct Connections {
    limits: PoolLimits,
    servers: HashMap<Arc<str>, Server>,
    max_servers: usize,
    last_id: ConnectionId,
    /// Removed to make room for others, and not yet closed.
    evicted: Vec<ConnectionId>,
}

impl Connections {
    /// No connections; `max_servers` limits the servers connected to at the same time.
    pub fn new(limits: PoolLimits, max_servers: usize) -> Self {
        Connections { limits, servers: HashMap::new(), max_servers, last_id: 0, evicted: Vec::new() }
    }

    /// Chooses the connection with the most RPCs in flight that has room for another, so that the others may go idle
    /// and be closed; if none has room, decides whether to open another connection or to wait.
    pub fn place(&mut self, now: Duration, server: &Arc<str>) -> Placement {
        if !self.servers.contains_key(server) {
            if self.servers.len() >= self.max_servers {
                self.servers
                    .retain(|_, entry| !entry.open.is_empty() || entry.opening > 0 || now < entry.retry_at);
            }
            if self.servers.len() >= self.max_servers {
                return Placement::Unavailable;
            }
        }
        let (limits, entry) = (self.limits, self.servers.entry(server.clone()).or_default());
        let with_capacity = entry.open.iter_mut().filter(|c| c.in_flight < c.max_in_flight);
        if let Some(found) = with_capacity.max_by_key(|c| (c.in_flight, std::cmp::Reverse(c.id))) {
            found.in_flight += 1;
            return Placement::Use(found.id);
        }
        if entry.open.len() + entry.opening >= limits.connections_most {
            return Placement::Wait;
        }
        if now < entry.retry_at {
            // Open connections will have room again; without any there is nothing to wait for.
            return if entry.open.is_empty() { Placement::Unavailable } else { Placement::Wait };
        }
        // Only one attempt at a time while no connection is open: many RPCs to an unreachable server then open one
        // connection, not many.
        if entry.opening > 0 && entry.open.is_empty() {
            return Placement::Wait;
        }
        if !self.ensure_capacity() {
            return Placement::Wait;
        }
        self.servers.entry(server.clone()).or_default().opening += 1;
        Placement::Open
    }

    /// Makes room for one more connection within the limit for all servers, by removing the connection that has been
    /// idle longest. False if every connection carries an RPC.
    fn ensure_capacity(&mut self) -> bool {
        let total: usize = self.servers.values().map(|server| server.open.len() + server.opening).sum();
        if total < self.limits.all_most {
            return true;
        }
        let idle = self.servers.iter().flat_map(|(name, server)| {
            let idle = server.open.iter().filter(|connection| connection.in_flight == 0);
            idle.map(move |connection| (connection.idle_since, connection.id, name))
        });
        let Some((_, id, name)) = idle.min().map(|(since, id, name)| (since, id, name.clone())) else {
            return false;
        };
        self.remove(&name, id);
        self.evicted.push(id);
        true
    }

    /// Connections removed to make room since the last call; the caller must close them.
    pub fn take_evicted(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.evicted)
    }

    /// A connection was opened; the RPC that opened it is in flight on it.
    pub fn opened(&mut self, now: Duration, server: &Arc<str>) -> ConnectionId {
        self.last_id += 1;
        let (id, limits) = (self.last_id, self.limits);
        let entry = self.servers.entry(server.clone()).or_default();
        entry.opening = entry.opening.saturating_sub(1);
        (entry.failures, entry.retry_at) = (0, Duration::ZERO);
        let max_in_flight = limits.streams_first.clamp(1, limits.streams_most.max(1));
        entry.open.push(Connection {
            id,
            in_flight: 1,
            max_in_flight,
            answers_until_growth: max_in_flight,
            idle_since: now,
        });
        id
    }

    /// No connection was attempted, for a reason on this machine: that doesn't delay the next attempt.
    pub fn open_not_attempted(&mut self, server: &Arc<str>) {
        if let Some(entry) = self.servers.get_mut(server) {
            entry.opening = entry.opening.saturating_sub(1);
        }
    }

    /// A connection could not be opened: the next attempt is delayed.
    pub fn open_failed(&mut self, now: Duration, server: &Arc<str>) {
        let limits = self.limits;
        let Some(entry) = self.servers.get_mut(server) else { return };
        entry.opening = entry.opening.saturating_sub(1);
        // The cap of 16 keeps the shift within the type; `again_after_most_ms` limits the delay.
        let delay = limits.again_after_ms.saturating_mul(1 << entry.failures.min(16));
        entry.failures = entry.failures.saturating_add(1);
        entry.retry_at = now + Duration::from_millis(delay.min(limits.again_after_most_ms));
    }

    /// An RPC on a connection has ended; `answered`: it received an answer.
    pub fn rpc_ended(&mut self, now: Duration, server: &Arc<str>, id: ConnectionId, answered: bool) {
        let limit = self.limits.streams_most.max(1);
        let Some(connection) = self.find(server, id) else { return };
        connection.in_flight = connection.in_flight.saturating_sub(1);
        connection.idle_since = now;
        if answered && connection.max_in_flight < limit {
            connection.answers_until_growth = connection.answers_until_growth.saturating_sub(1);
            if connection.answers_until_growth == 0 {
                connection.max_in_flight = (connection.max_in_flight * 2).min(limit);
                connection.answers_until_growth = connection.max_in_flight;
            }
        }
    }

    /// Removes a connection that has ended; no RPC uses it any more.
    pub fn remove(&mut self, server: &Arc<str>, id: ConnectionId) {
        if let Some(entry) = self.servers.get_mut(server) {
            entry.open.retain(|c| c.id != id);
        }
    }

    /// Removes and returns the connections that were idle for too long, and removes servers without connections.
    pub fn remove_idle(&mut self, now: Duration) -> Vec<(Arc<str>, ConnectionId)> {
        let max_idle = Duration::from_millis(self.limits.idle_ms);
        let mut ended = Vec::new();
        self.servers.retain(|name, server| {
            server.open.retain(|connection| {
                let idle = connection.in_flight == 0 && now.saturating_sub(connection.idle_since) >= max_idle;
                if idle {
                    ended.push((name.clone(), connection.id));
                }
                !idle
            });
            !server.open.is_empty() || server.opening > 0 || now < server.retry_at
        });
        ended
    }

    /// An open connection.
    fn find(&mut self, server: &Arc<str>, id: ConnectionId) -> Option<&mut Connection> {
        self.servers.get_mut(server)?.open.iter_mut().find(|connection| connection.id == id)
    }

    /// Number of open connections, and of RPCs in flight on them.
    pub fn usage(&self) -> (usize, usize) {
        let all = self.servers.values().flat_map(|server| &server.open);
        all.fold((0, 0), |(count, in_flight), connection| (count + 1, in_flight + connection.in_flight))
    }
}

#[cfg(test)]
mod tests {
    use rand::seq::IndexedRandom;
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    use super::*;

    fn ms(count: u64) -> Duration {
        Duration::from_millis(count)
    }

    fn connections() -> (Connections, Arc<str>) {
        let limits = PoolLimits {
            connections_most: 2,
            streams_most: 8,
            streams_first: 2,
            all_most: 5,
            idle_ms: 1000,
            ..Default::default()
        };
        (Connections::new(limits, 3), "a:1".into())
    }

    #[test]
    fn new_connection_admits_few_rpcs_and_more_after_answers() {
        let (mut connections, a) = connections();
        assert_eq!(connections.place(ms(0), &a), Placement::Open);
        let first = connections.opened(ms(0), &a);
        assert_eq!(connections.place(ms(0), &a), Placement::Use(first));
        // Two RPCs in flight and no answer yet: a second connection is opened instead of a third RPC on the first.
        assert_eq!(connections.place(ms(0), &a), Placement::Open);
        let second = connections.opened(ms(0), &a);
        assert_eq!(connections.place(ms(0), &a), Placement::Use(second));
        assert_eq!(connections.place(ms(0), &a), Placement::Wait);
        (0..2).for_each(|_| connections.rpc_ended(ms(1), &a, first, true));
        let placements: Vec<Placement> = (0..5).map(|_| connections.place(ms(2), &a)).collect();
        assert_eq!(placements[..4], [Placement::Use(first); 4]);
        assert_eq!(placements[4], Placement::Wait);
        // RPCs that end without an answer don't raise the limit.
        (0..2).for_each(|_| connections.rpc_ended(ms(3), &a, second, false));
        assert_eq!(connections.place(ms(3), &a), Placement::Use(second));
        assert_eq!(connections.place(ms(3), &a), Placement::Use(second));
        assert_eq!(connections.place(ms(3), &a), Placement::Wait);
    }

    #[test]
    fn unreachable_server_then_one_attempt_at_a_time_with_growing_delay() {
        let (mut connections, a) = connections();
        assert_eq!(connections.place(ms(0), &a), Placement::Open);
        assert_eq!(connections.place(ms(0), &a), Placement::Wait);
        connections.open_failed(ms(10), &a);
        assert_eq!(connections.place(ms(11), &a), Placement::Unavailable);
        assert_eq!(connections.place(ms(60), &a), Placement::Open);
        connections.open_failed(ms(60), &a);
        assert_eq!(
            (connections.place(ms(159), &a), connections.place(ms(160), &a)),
            (Placement::Unavailable, Placement::Open)
        );
        connections.opened(ms(160), &a);
        connections.remove(&a, 1);
        assert_eq!(connections.place(ms(161), &a), Placement::Open);
    }

    #[test]
    fn idle_connections_are_removed_and_number_of_servers_is_limited() {
        let (mut connections, a) = connections();
        for (index, server) in ["a:1", "b:1", "c:1"].into_iter().enumerate() {
            let server: Arc<str> = server.into();
            assert_eq!(connections.place(ms(0), &server), Placement::Open);
            let id = connections.opened(ms(0), &server);
            if index < 2 {
                connections.rpc_ended(ms(0), &server, id, true);
            }
        }
        let d: Arc<str> = "d:1".into();
        assert_eq!(connections.place(ms(5), &d), Placement::Unavailable);
        assert_eq!(connections.remove_idle(ms(999)), vec![]);
        assert_eq!(connections.remove_idle(ms(1000)).len(), 2);
        assert_eq!((connections.usage(), connections.place(ms(1000), &d)), ((1, 1), Placement::Open));
        assert_eq!(connections.place(ms(1000), &a), Placement::Open);
    }

    #[test]
    fn total_limit_reached_then_longest_idle_connection_is_evicted_and_never_a_busy_one() {
        let mut connections = Connections::new(PoolLimits { all_most: 2, ..Default::default() }, 10);
        let names: Vec<Arc<str>> = ["a:1", "b:1", "c:1"].map(Arc::from).into();
        let ids: Vec<ConnectionId> = (0..2)
            .map(|k| {
                assert_eq!(connections.place(ms(k), &names[k as usize]), Placement::Open);
                connections.opened(ms(k), &names[k as usize])
            })
            .collect();
        assert_eq!(
            (connections.place(ms(5), &names[2]), connections.take_evicted()),
            (Placement::Wait, vec![])
        );
        connections.rpc_ended(ms(6), &names[1], ids[1], true);
        connections.rpc_ended(ms(7), &names[0], ids[0], true);
        assert_eq!(
            (connections.place(ms(8), &names[2]), connections.take_evicted()),
            (Placement::Open, vec![ids[1]])
        );
        assert_eq!(connections.place(ms(9), &names[0]), Placement::Use(ids[0]));
    }

    /// Random orders of events: no connection, no server and no total exceeds its limit, and the RPCs counted on a
    /// connection are those that were placed on it and have not ended.
    #[test]
    fn random_events_then_limits_hold() {
        for seed in 0..2000 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let (mut connections, _) = connections();
            let names: Vec<Arc<str>> = ["a:1", "b:1", "c:1", "d:1"].map(Arc::from).into();
            let (mut now, mut in_flight, mut opening) = (0, Vec::new(), Vec::new());
            let mut open: Vec<(Arc<str>, ConnectionId)> = Vec::new();
            for step in 0..120 {
                now += rng.random_range(0..300);
                let server = names.choose(&mut rng).unwrap();
                match rng.random_range(0..9) {
                    0..=3 => match connections.place(ms(now), server) {
                        Placement::Use(id) => in_flight.push((server.clone(), id)),
                        Placement::Open => {
                            opening.push(server.clone());
                            for evicted in connections.take_evicted() {
                                let used = in_flight.iter().any(|(_, id)| *id == evicted);
                                assert!(!used, "seed {seed}, step {step}: evicted under an RPC");
                                open.retain(|(_, id)| *id != evicted);
                            }
                        }
                        Placement::Wait | Placement::Unavailable => {}
                    },
                    4 if !opening.is_empty() => {
                        let server = opening.swap_remove(0);
                        let id = connections.opened(ms(now), &server);
                        open.push((server.clone(), id));
                        in_flight.push((server, id));
                    }
                    5 if !opening.is_empty() => {
                        let server = opening.swap_remove(0);
                        match rng.random_bool(0.5) {
                            true => connections.open_failed(ms(now), &server),
                            false => connections.open_not_attempted(&server),
                        }
                    }
                    6 if !in_flight.is_empty() => {
                        let (server, id) = in_flight.swap_remove(rng.random_range(0..in_flight.len()));
                        connections.rpc_ended(ms(now), &server, id, rng.random_bool(0.7));
                    }
                    7 if !open.is_empty() && rng.random_bool(0.3) => {
                        let (server, id) = open.swap_remove(rng.random_range(0..open.len()));
                        connections.remove(&server, id);
                    }
                    8 => {
                        for idle in connections.remove_idle(ms(now)) {
                            assert!(
                                !in_flight.contains(&idle),
                                "seed {seed}, step {step}: closed under an RPC"
                            );
                            open.retain(|connection| *connection != idle);
                        }
                    }
                    _ => {}
                }
                for (name, server) in &connections.servers {
                    let context = format!("seed {seed}, step {step}, {name}");
                    assert!(server.open.len() + server.opening <= 2, "{context}");
                    for connection in &server.open {
                        let actual = in_flight.iter().filter(|(_, id)| *id == connection.id).count();
                        assert!(
                            connection.in_flight == actual && actual <= 8,
                            "{context}: {connection:?}, {actual} in flight"
                        );
                    }
                }
                assert!(connections.servers.len() <= 3, "seed {seed}, step {step}");
                let total: usize = connections.servers.values().map(|s| s.open.len() + s.opening).sum();
                assert!(total <= 5, "seed {seed}, step {step}: {total} connections");
            }
        }
    }
}
