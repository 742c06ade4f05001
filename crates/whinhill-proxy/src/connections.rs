//! Which connection to a server an RPC takes, and when another is opened. No I/O, no clock: connections are numbers
//! here, times are spans since the start.
//!
//! A connection that has not said a word yet takes a few RPCs only (a server may accept and never read), then twice
//! as many with each as many answers, up to what a connection takes. So one that hangs holds little, and the rest
//! goes over those that have proven themselves. No server is judged: who can't be reached is tried again, but not
//! by every RPC at once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub type ConnectionId = u64;

/// How a proxy keeps its connections to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct PoolLimits {
    /// Connections to one server, those being opened among them.
    pub connections_most: usize,
    /// Connections to all servers; past it the one that was idle longest is closed for a new one. The process's
    /// limit of file descriptors must leave room for them beside its clients' connections.
    pub all_most: usize,
    /// RPCs in hand on one connection.
    pub streams_most: usize,
    /// RPCs in hand on a new one that has not answered yet.
    pub streams_first: usize,
    /// A connection that is not open by then counts as refused, in milliseconds.
    pub connect_within_ms: u64,
    /// A connection without RPCs is closed after this, in milliseconds.
    pub idle_ms: u64,
    /// After a failed opening the next waits this long at first, twice as long each time, in milliseconds.
    pub again_after_ms: u64,
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

/// What an RPC that wants a server is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// Go on this one; it is counted as in hand there until [`Connections::done`].
    Use(ConnectionId),
    /// Open one more and say what became of it: [`Connections::opened`] or [`Connections::refused`].
    Open,
    /// All are full, or being opened by others: ask again after a change.
    Wait,
    /// None could be opened just now.
    Refused,
}

#[derive(Clone, Debug)]
struct One {
    id: ConnectionId,
    in_hand: usize,
    /// RPCs that it takes now, and answers until it takes twice as many.
    takes: usize,
    until_more: usize,
    idle_since: Duration,
}

#[derive(Clone, Debug, Default)]
struct Server {
    open: Vec<One>,
    opening: usize,
    failures: u32,
    again_at: Duration,
}

/// All connections of a proxy.
#[derive(Debug)]
pub struct Connections {
    limits: PoolLimits,
    servers: HashMap<Arc<str>, Server>,
    servers_most: usize,
    last: ConnectionId,
    /// Let go to make room, and not yet closed.
    let_go: Vec<ConnectionId>,
}

impl Connections {
    /// `servers_most` bounds the servers that are connected to at a time.
    pub fn new(limits: PoolLimits, servers_most: usize) -> Self {
        Connections { limits, servers: HashMap::new(), servers_most, last: 0, let_go: Vec::new() }
    }

    /// The fullest connection that has room: the others may then fall idle and end. `opens` where the RPC may open
    /// one more.
    pub fn take(&mut self, now: Duration, server: &Arc<str>) -> Take {
        if !self.servers.contains_key(server) {
            if self.servers.len() >= self.servers_most {
                self.servers.retain(|_, one| !one.open.is_empty() || one.opening > 0 || now < one.again_at);
            }
            if self.servers.len() >= self.servers_most {
                return Take::Refused;
            }
        }
        let (limits, one) = (self.limits, self.servers.entry(server.clone()).or_default());
        let with_room = one.open.iter_mut().filter(|c| c.in_hand < c.takes);
        if let Some(found) = with_room.max_by_key(|c| (c.in_hand, std::cmp::Reverse(c.id))) {
            found.in_hand += 1;
            return Take::Use(found.id);
        }
        if one.open.len() + one.opening >= limits.connections_most {
            return Take::Wait;
        }
        if now < one.again_at {
            // Those that stand will have room again; with none there is nothing to wait for.
            return if one.open.is_empty() { Take::Refused } else { Take::Wait };
        }
        // One opening at a time while none stands: a crowd that finds a server away opens one connection, not many.
        if one.opening > 0 && one.open.is_empty() {
            return Take::Wait;
        }
        if !self.make_room() {
            return Take::Wait;
        }
        self.servers.entry(server.clone()).or_default().opening += 1;
        Take::Open
    }

    /// Room for one more connection; false while each carries an RPC.
    fn make_room(&mut self) -> bool {
        let all: usize = self.servers.values().map(|server| server.open.len() + server.opening).sum();
        if all < self.limits.all_most {
            return true;
        }
        let idle = self.servers.iter().flat_map(|(name, server)| {
            let idle = server.open.iter().filter(|one| one.in_hand == 0);
            idle.map(move |one| (one.idle_since, one.id, name))
        });
        let Some((_, id, name)) = idle.min().map(|(since, id, name)| (since, id, name.clone())) else {
            return false;
        };
        self.ended(&name, id);
        self.let_go.push(id);
        true
    }

    /// Connections that were let go for others since this was asked last: to be closed.
    pub fn let_go(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.let_go)
    }

    /// One was opened; the RPC that did is in hand there.
    pub fn opened(&mut self, now: Duration, server: &Arc<str>) -> ConnectionId {
        self.last += 1;
        let (id, limits) = (self.last, self.limits);
        let one = self.servers.entry(server.clone()).or_default();
        one.opening = one.opening.saturating_sub(1);
        (one.failures, one.again_at) = (0, Duration::ZERO);
        let takes = limits.streams_first.clamp(1, limits.streams_most.max(1));
        one.open.push(One { id, in_hand: 1, takes, until_more: takes, idle_since: now });
        id
    }

    /// None could be opened, for a reason of this machine's own: that is none to keep away from the server.
    pub fn not_tried(&mut self, server: &Arc<str>) {
        if let Some(one) = self.servers.get_mut(server) {
            one.opening = one.opening.saturating_sub(1);
        }
    }

    /// None could be opened.
    pub fn refused(&mut self, now: Duration, server: &Arc<str>) {
        let limits = self.limits;
        let Some(one) = self.servers.get_mut(server) else { return };
        one.opening = one.opening.saturating_sub(1);
        let after = limits.again_after_ms.saturating_mul(1 << one.failures.min(16));
        one.failures = one.failures.saturating_add(1);
        one.again_at = now + Duration::from_millis(after.min(limits.again_after_most_ms));
    }

    /// An RPC on a connection has ended; `answered` if an answer came on it.
    pub fn done(&mut self, now: Duration, server: &Arc<str>, id: ConnectionId, answered: bool) {
        let most = self.limits.streams_most.max(1);
        let Some(one) = self.find(server, id) else { return };
        one.in_hand = one.in_hand.saturating_sub(1);
        one.idle_since = now;
        if answered && one.takes < most {
            one.until_more = one.until_more.saturating_sub(1);
            if one.until_more == 0 {
                one.takes = (one.takes * 2).min(most);
                one.until_more = one.takes;
            }
        }
    }

    /// A connection was found ended: nothing goes on it any more.
    pub fn ended(&mut self, server: &Arc<str>, id: ConnectionId) {
        if let Some(one) = self.servers.get_mut(server) {
            one.open.retain(|c| c.id != id);
        }
    }

    /// Takes out the connections that nothing went on for too long, and forgets servers without any.
    pub fn idle(&mut self, now: Duration) -> Vec<(Arc<str>, ConnectionId)> {
        let after = Duration::from_millis(self.limits.idle_ms);
        let mut ended = Vec::new();
        self.servers.retain(|name, server| {
            server.open.retain(|one| {
                let idle = one.in_hand == 0 && now.saturating_sub(one.idle_since) >= after;
                if idle {
                    ended.push((name.clone(), one.id));
                }
                !idle
            });
            !server.open.is_empty() || server.opening > 0 || now < server.again_at
        });
        ended
    }

    fn find(&mut self, server: &Arc<str>, id: ConnectionId) -> Option<&mut One> {
        self.servers.get_mut(server)?.open.iter_mut().find(|one| one.id == id)
    }

    /// Connections that stand, and RPCs in hand on them.
    pub fn standing(&self) -> (usize, usize) {
        let all = self.servers.values().flat_map(|server| &server.open);
        all.fold((0, 0), |(count, in_hand), one| (count + 1, in_hand + one.in_hand))
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

    fn pool() -> (Connections, Arc<str>) {
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
    fn a_new_connection_takes_few_and_more_with_each_answer() {
        let (mut pool, a) = pool();
        assert_eq!(pool.take(ms(0), &a), Take::Open);
        let first = pool.opened(ms(0), &a);
        assert_eq!(pool.take(ms(0), &a), Take::Use(first));
        // Two in hand, and not a word yet: a second connection is opened, not a third RPC put on the first.
        assert_eq!(pool.take(ms(0), &a), Take::Open);
        let second = pool.opened(ms(0), &a);
        assert_eq!(pool.take(ms(0), &a), Take::Use(second));
        assert_eq!(pool.take(ms(0), &a), Take::Wait);
        (0..2).for_each(|_| pool.done(ms(1), &a, first, true));
        let taken: Vec<Take> = (0..5).map(|_| pool.take(ms(2), &a)).collect();
        assert_eq!(taken[..4], [Take::Use(first); 4]);
        assert_eq!(taken[4], Take::Wait);
        // One that ended without an answer proves nothing.
        (0..2).for_each(|_| pool.done(ms(3), &a, second, false));
        assert_eq!(pool.take(ms(3), &a), Take::Use(second));
        assert_eq!(pool.take(ms(3), &a), Take::Use(second));
        assert_eq!(pool.take(ms(3), &a), Take::Wait);
    }

    #[test]
    fn a_crowd_that_finds_a_server_away_opens_one_connection_and_then_waits_longer_each_time() {
        let (mut pool, a) = pool();
        assert_eq!(pool.take(ms(0), &a), Take::Open);
        assert_eq!(pool.take(ms(0), &a), Take::Wait);
        pool.refused(ms(10), &a);
        assert_eq!(pool.take(ms(11), &a), Take::Refused);
        assert_eq!(pool.take(ms(60), &a), Take::Open);
        pool.refused(ms(60), &a);
        assert_eq!((pool.take(ms(159), &a), pool.take(ms(160), &a)), (Take::Refused, Take::Open));
        pool.opened(ms(160), &a);
        pool.ended(&a, 1);
        assert_eq!(pool.take(ms(161), &a), Take::Open);
    }

    #[test]
    fn idle_connections_end_and_servers_are_bounded() {
        let (mut pool, a) = pool();
        for (k, server) in ["a:1", "b:1", "c:1"].into_iter().enumerate() {
            let server: Arc<str> = server.into();
            assert_eq!(pool.take(ms(0), &server), Take::Open);
            let id = pool.opened(ms(0), &server);
            if k < 2 {
                pool.done(ms(0), &server, id, true);
            }
        }
        let d: Arc<str> = "d:1".into();
        assert_eq!(pool.take(ms(5), &d), Take::Refused);
        assert_eq!(pool.idle(ms(999)), vec![]);
        assert_eq!(pool.idle(ms(1000)).len(), 2);
        assert_eq!((pool.standing(), pool.take(ms(1000), &d)), ((1, 1), Take::Open));
        assert_eq!(pool.take(ms(1000), &a), Take::Open);
    }

    #[test]
    fn past_the_bound_on_all_the_longest_idle_makes_room_and_none_that_carries() {
        let mut pool = Connections::new(PoolLimits { all_most: 2, ..Default::default() }, 10);
        let names: Vec<Arc<str>> = ["a:1", "b:1", "c:1"].map(Arc::from).into();
        let ids: Vec<ConnectionId> = (0..2)
            .map(|k| {
                assert_eq!(pool.take(ms(k), &names[k as usize]), Take::Open);
                pool.opened(ms(k), &names[k as usize])
            })
            .collect();
        assert_eq!((pool.take(ms(5), &names[2]), pool.let_go()), (Take::Wait, vec![]));
        pool.done(ms(6), &names[1], ids[1], true);
        pool.done(ms(7), &names[0], ids[0], true);
        assert_eq!((pool.take(ms(8), &names[2]), pool.let_go()), (Take::Open, vec![ids[1]]));
        assert_eq!(pool.take(ms(9), &names[0]), Take::Use(ids[0]));
    }

    /// Any order of events: no connection is over its bound, no server over its number, and every RPC that was let on
    /// a connection is let off again.
    #[test]
    fn bounds_hold_in_any_order_of_events() {
        for seed in 0..2000 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let (mut pool, _) = pool();
            let names: Vec<Arc<str>> = ["a:1", "b:1", "c:1", "d:1"].map(Arc::from).into();
            let (mut now, mut out, mut opening) = (0, Vec::new(), Vec::new());
            let mut open: Vec<(Arc<str>, ConnectionId)> = Vec::new();
            for step in 0..120 {
                now += rng.random_range(0..300);
                let server = names.choose(&mut rng).unwrap();
                match rng.random_range(0..9) {
                    0..=3 => match pool.take(ms(now), server) {
                        Take::Use(id) => out.push((server.clone(), id)),
                        Take::Open => {
                            opening.push(server.clone());
                            for gone in pool.let_go() {
                                let used = out.iter().any(|(_, id)| *id == gone);
                                assert!(!used, "seed {seed}, step {step}: let go under an RPC");
                                open.retain(|(_, id)| *id != gone);
                            }
                        }
                        Take::Wait | Take::Refused => {}
                    },
                    4 if !opening.is_empty() => {
                        let server = opening.swap_remove(0);
                        let id = pool.opened(ms(now), &server);
                        open.push((server.clone(), id));
                        out.push((server, id));
                    }
                    5 if !opening.is_empty() => {
                        let server = opening.swap_remove(0);
                        match rng.random_bool(0.5) {
                            true => pool.refused(ms(now), &server),
                            false => pool.not_tried(&server),
                        }
                    }
                    6 if !out.is_empty() => {
                        let (server, id) = out.swap_remove(rng.random_range(0..out.len()));
                        pool.done(ms(now), &server, id, rng.random_bool(0.7));
                    }
                    7 if !open.is_empty() && rng.random_bool(0.3) => {
                        let (server, id) = open.swap_remove(rng.random_range(0..open.len()));
                        pool.ended(&server, id);
                    }
                    8 => {
                        for idle in pool.idle(ms(now)) {
                            assert!(!out.contains(&idle), "seed {seed}, step {step}: closed under an RPC");
                            open.retain(|one| *one != idle);
                        }
                    }
                    _ => {}
                }
                for (name, server) in &pool.servers {
                    let context = format!("seed {seed}, step {step}, {name}");
                    assert!(server.open.len() + server.opening <= 2, "{context}");
                    for one in &server.open {
                        let really = out.iter().filter(|(_, id)| *id == one.id).count();
                        assert!(one.in_hand == really && really <= 8, "{context}: {one:?}, {really} out");
                    }
                }
                assert!(pool.servers.len() <= 3, "seed {seed}, step {step}");
                let all: usize = pool.servers.values().map(|s| s.open.len() + s.opening).sum();
                assert!(all <= 5, "seed {seed}, step {step}: {all} connections");
            }
        }
    }
}
