//! The reference against which lost and refused RPCs are compared: a policy that sees the true
//! state of all servers one second late and orders its own tables for the same proxies and slices.
//!
//! It has the constraints of an assigner: orders take as long to reach the proxies, and writes are
//! granted at a new server only once all proxies have applied the stop and the writes in flight
//! have ended.
//!
//! When a server becomes unhealthy, the reference places on it the same slices as the tested plane
//! has there. So the comparison does not depend on luck of placement.

use std::collections::VecDeque;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::data_plane::{Plane, COLD_SLOWDOWN};
use super::parameters::{CLASSES, DECISION_INTERVAL, SLICES, WARM_UP_DURATION};
use super::state::{Condition, PlatformState, Server, Status, Table, INITIAL_TABLE, WORKERS};
use super::timing::Timing;
use super::traffic::{expected_rate, MEAN_WORK};

/// Delay with which the policy sees the state of servers.
const OBSERVATION_DELAY: Duration = Duration::from_secs(1);
/// The fraction of a server's capacity up to which slices are placed on it, and up to which RPCs
/// are admitted.
const PLACEMENT_FRACTION: f64 = 0.7;
const ADMISSION_FRACTION: f64 = 0.9;
/// A server with a queue this long has no capacity for more.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(500);
/// Smaller differences of a level cause no order.
const LEVEL_STEP: f64 = 0.05;

/// The capacity of a cold server in RPCs per second.
const COLD_CAPACITY: f64 = WORKERS as f64 * 1e3 / (MEAN_WORK.as_millis() as f64 * COLD_SLOWDOWN as f64);

/// The capacity of each server in RPCs per second.
type Capacities = Vec<f64>;

/// The state of the servers as the policy saw it at a time.
struct Observation {
    at: Duration,
    capacities: Capacities,
    load_factor: f64,
}

/// The server of a slice, its level, and a pending grant of writes.
#[derive(Clone, Copy, Default)]
struct Owner {
    server: Option<usize>,
    level: f64,
    /// Until when writes are stopped.
    grant_at: Option<Duration>,
}

/// A table on its way to a proxy.
struct InTransit {
    due: Duration,
    proxy: usize,
    slice: usize,
    table: Table,
}

/// The reference policy and its tables.
pub struct ReferencePolicy {
    pub tables: Vec<Vec<Table>>,
    owners: Vec<Owner>,
    observations: VecDeque<Observation>,
    in_transit: Vec<InTransit>,
    /// By proxy: when the last order reaches it.
    last_due: Vec<Duration>,
    timing: Timing,
    random: ChaCha8Rng,
    next_round: Duration,
    /// Servers that became unhealthy before this time have been handled by
    /// [`Self::align_with_tested_plane`].
    aligned_until: Duration,
}

impl ReferencePolicy {
    /// Creates a policy that has ordered nothing yet.
    pub fn new(proxies: usize, seed: u64, timing: Timing) -> Self {
        ReferencePolicy {
            timing,
            tables: vec![vec![INITIAL_TABLE; SLICES]; proxies],
            owners: vec![Owner { level: 1.0, ..Owner::default() }; SLICES],
            observations: VecDeque::new(),
            in_transit: Vec::new(),
            last_due: vec![Duration::ZERO; proxies],
            random: ChaCha8Rng::seed_from_u64(seed ^ 0x07ac1e),
            next_round: Duration::ZERO,
            aligned_until: Duration::ZERO,
        }
    }

    /// Whether all proxies have a line for each slice.
    pub fn is_ready(&self) -> bool {
        self.tables.iter().flatten().all(|table| table.server.is_some())
    }

    /// Observes the servers, decides, and applies the orders that are due.
    pub fn update(&mut self, platform: &PlatformState) {
        let now = platform.now();
        self.align_with_tested_plane(platform, now);
        if now >= self.next_round {
            self.next_round = now + DECISION_INTERVAL;
            let capacities = platform.servers.iter().map(|server| capacity(server, now)).collect();
            self.observations.push_back(Observation {
                at: now,
                capacities,
                load_factor: platform.load_factor,
            });
            self.decide(now, platform.servers.len());
        }
        self.apply_due(now);
    }

    /// Gives a server that has just become unhealthy the same slices as in the tested plane.
    fn align_with_tested_plane(&mut self, platform: &PlatformState, now: Duration) {
        let since = std::mem::replace(&mut self.aligned_until, now);
        let is_new = |server: &usize| platform.servers[*server].unhealthy_since.is_some_and(|at| at >= since);
        let newly_unhealthy: Vec<usize> = (0..platform.servers.len()).filter(is_new).collect();
        for slice in 0..SLICES {
            let Some(own) = self.owners[slice].server else { continue };
            let Some(tested_server) = platform.slices[slice].line.filter(|server| *server != own) else {
                continue;
            };
            let may_place = newly_unhealthy.contains(&tested_server)
                || platform.servers[tested_server].condition == Condition::Well;
            if may_place && (newly_unhealthy.contains(&tested_server) || newly_unhealthy.contains(&own)) {
                self.place_at(slice, tested_server);
            }
        }
    }

    fn place_at(&mut self, slice: usize, server: usize) {
        self.owners[slice].server = Some(server);
        self.tables.iter_mut().for_each(|tables| tables[slice].server = Some(server));
        let orders = self.in_transit.iter_mut().filter(|order| order.slice == slice);
        orders.for_each(|order| order.table.server = Some(server));
    }

    fn apply_due(&mut self, now: Duration) {
        let (due, later) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|order| order.due <= now);
        self.in_transit = later;
        let due: Vec<InTransit> = due;
        for order in due {
            self.tables[order.proxy][order.slice] = order.table;
        }
    }

    fn decide(&mut self, now: Duration, servers: usize) {
        while self.observations.get(1).is_some_and(|seen| seen.at + OBSERVATION_DELAY <= now) {
            self.observations.pop_front();
        }
        let Some(observation) = self.observations.front().filter(|seen| seen.at + OBSERVATION_DELAY <= now)
        else {
            return;
        };
        let (mut capacities, load_factor) = (observation.capacities.clone(), observation.load_factor);
        // A server that the policy has not observed yet, but that has slices by the orders in the
        // tested plane, counts as cold.
        let unseen = capacities.len()..servers;
        let has_slices = |server| self.owners.iter().any(|owner| owner.server == Some(server));
        capacities.extend(unseen.map(|server| if has_slices(server) { COLD_CAPACITY } else { 0.0 }));
        let rates: Vec<f64> = (0..SLICES).map(|slice| expected_rate(slice) * load_factor).collect();
        self.place(now, &capacities, &rates);
        self.set_levels(now, &capacities, &rates);
    }

    fn loads(&self, servers: usize, rates: &[f64]) -> Vec<f64> {
        let mut loads = vec![0.0; servers];
        for (owner, rate) in self.owners.iter().zip(rates) {
            owner.server.into_iter().for_each(|server| loads[server] += rate);
        }
        loads
    }

    /// Moves slices off servers without capacity, and off full servers if another has headroom.
    fn place(&mut self, now: Duration, capacities: &[f64], rates: &[f64]) {
        let mut loads = self.loads(capacities.len(), rates);
        let headroom = |loads: &[f64], server: usize| capacities[server] * PLACEMENT_FRACTION - loads[server];
        for (slice, rate) in rates.iter().enumerate() {
            let able = (0..capacities.len()).filter(|server| capacities[*server] > 0.0);
            let best = able.max_by(|a, b| headroom(&loads, *a).total_cmp(&headroom(&loads, *b)));
            let Some(best) = best else { return };
            let from = self.owners[slice].server;
            let moves = match from {
                None => true,
                Some(from) if from == best => false,
                Some(from) if capacities[from] <= 0.0 => true,
                // A slice moves only where it fits; otherwise it would keep moving.
                Some(from) => headroom(&loads, from) < 0.0 && headroom(&loads, best) >= *rate,
            };
            if moves {
                from.into_iter().for_each(|from| loads[from] -= rate);
                loads[best] += rate;
                self.move_to(now, slice, best);
            }
        }
    }

    /// Stops writes and moves reads. Writes are granted once all proxies have acknowledged and the
    /// former server's writes have ended.
    fn move_to(&mut self, now: Duration, slice: usize, server: usize) {
        let is_first = self.owners[slice].server.replace(server).is_none();
        self.owners[slice].grant_at = (!is_first).then_some(Duration::MAX);
        let acked_at = self.order(now, slice);
        if !is_first {
            self.owners[slice].grant_at = Some(acked_at + self.timing.max_in_flight_time);
        }
    }

    fn set_levels(&mut self, now: Duration, capacities: &[f64], rates: &[f64]) {
        let loads = self.loads(capacities.len(), rates);
        for slice in 0..SLICES {
            let Some(server) = self.owners[slice].server else { continue };
            let level =
                (capacities[server] * ADMISSION_FRACTION / loads[server].max(f64::MIN_POSITIVE)).min(1.0);
            let owner = &mut self.owners[slice];
            let granted = owner.grant_at.take_if(|at| *at <= now).is_some();
            let returns_to_full = level >= 1.0 && owner.level < 1.0;
            let changed = returns_to_full || (level - owner.level).abs() >= LEVEL_STEP;
            if changed {
                owner.level = level;
            }
            if changed || granted {
                self.order(now, slice);
            }
        }
    }

    /// Sends a slice's table to all proxies and returns when the last of them has it.
    fn order(&mut self, now: Duration, slice: usize) -> Duration {
        let Owner { server, level, grant_at } = self.owners[slice];
        let stopped = |class: usize| CLASSES[class].writes && grant_at.is_some();
        let levels = std::array::from_fn(|class| if stopped(class) { 0.0 } else { level });
        let table = Table { server, levels, as_of: now };
        for proxy in 0..self.tables.len() {
            let due = (now + self.timing.draw_transit(&mut self.random)).max(self.last_due[proxy]);
            self.last_due[proxy] = due;
            self.in_transit.push(InTransit { due, proxy, slice, table });
        }
        self.last_due.iter().copied().max().unwrap_or(now)
    }
}

/// The capacity of a server in RPCs per second, reduced as its queue in the reference plane grows.
fn capacity(server: &Server, now: Duration) -> f64 {
    let times = match server.condition {
        _ if server.status != Status::Ready => return 0.0,
        Condition::Silent | Condition::Hang | Condition::Reset | Condition::Dead => return 0.0,
        Condition::Well | Condition::Mute => 1,
        Condition::Slow(times) => times,
    };
    let cold = server.started.is_some_and(|at| now < at + WARM_UP_DURATION);
    let work = MEAN_WORK * times * if cold { COLD_SLOWDOWN } else { 1 };
    let free = server.workers[Plane::Reference as usize].iter().min().copied().unwrap_or_default();
    let wait = free.saturating_sub(now).as_secs_f64() / MAX_QUEUE_TIME.as_secs_f64();
    WORKERS as f64 / work.as_secs_f64() * (1.0 - wait).max(0.0)
}
