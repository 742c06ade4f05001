//! The reference by which lost and refused RPCs are judged: a policy inside the harness that sees the true state of
//! all servers one second late, and orders tables of its own for the same proxies and slices.
//!
//! It is bound by what binds an assigner: orders take the same ways to the proxies, and writes are granted at a new
//! server only once all proxies have applied the stop and what was in flight has settled.
//!
//! When a server falls ill the reference has the very slices there that the judged world has there, so that no luck of
//! placement is judged.

use std::collections::VecDeque;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::page::{CLASSES, IN_FLIGHT_MOST, ROUND, SLICES, WARM_AFTER};
use super::plane::{Plane, COLD};
use super::traffic::{expected_rate, MEAN_WORK};
use super::world::{draw_way, Condition, Server, Status, Table, World, OPEN, WORKERS};

/// So late it sees what servers are.
const SEES_AFTER: Duration = Duration::from_secs(1);
/// The part of a server's capacity up to which slices are placed, and RPCs let in.
const PLACED: f64 = 0.7;
const LET_IN: f64 = 0.9;
/// A server whose queue is so long takes nothing new.
const WAIT_MOST: Duration = Duration::from_millis(500);
/// A level that differs by less is left as it is.
const LEVEL_STEP: f64 = 0.05;

/// RPCs a second that a cold server can do.
const COLD_CAPACITY: f64 = WORKERS as f64 * 1e3 / (MEAN_WORK.as_millis() as f64 * COLD as f64);

/// What one server can do, in RPCs a second.
type Capacities = Vec<f64>;

struct Sight {
    at: Duration,
    capacities: Capacities,
    rate_times: f64,
}

#[derive(Clone, Copy, Default)]
struct Owner {
    server: Option<usize>,
    level: f64,
    /// Writes are stopped until then.
    grant_at: Option<Duration>,
}

struct Travelling {
    due: Duration,
    proxy: usize,
    slice: usize,
    table: Table,
}

/// The oracle and its tables.
pub struct Oracle {
    pub tables: Vec<Vec<Table>>,
    owners: Vec<Owner>,
    seen: VecDeque<Sight>,
    travelling: Vec<Travelling>,
    /// By proxy, when the last order reaches it.
    last_due: Vec<Duration>,
    random: ChaCha8Rng,
    next_round: Duration,
    /// Servers that fell ill before have been met.
    met_until: Duration,
}

impl Oracle {
    /// It has ordered nothing yet.
    pub fn new(proxies: usize, seed: u64) -> Self {
        Oracle {
            tables: vec![vec![OPEN; SLICES]; proxies],
            owners: vec![Owner { level: 1.0, ..Owner::default() }; SLICES],
            seen: VecDeque::new(),
            travelling: Vec::new(),
            last_due: vec![Duration::ZERO; proxies],
            random: ChaCha8Rng::seed_from_u64(seed ^ 0x07ac1e),
            next_round: Duration::ZERO,
            met_until: Duration::ZERO,
        }
    }

    /// Whether all proxies have a line for each slice.
    pub fn is_ready(&self) -> bool {
        self.tables.iter().flatten().all(|table| table.server.is_some())
    }

    /// Looks, decides and applies what is due.
    pub fn play(&mut self, world: &World) {
        let now = world.now();
        self.meet_new_ills(world, now);
        if now >= self.next_round {
            self.next_round = now + ROUND;
            let capacities = world.servers.iter().map(|server| capacity(server, now)).collect();
            self.seen.push_back(Sight { at: now, capacities, rate_times: world.rate_times });
            self.decide(now, world.servers.len());
        }
        self.apply_due(now);
    }

    /// A server that has just fallen ill has the same slices as in the judged world.
    fn meet_new_ills(&mut self, world: &World, now: Duration) {
        let since = std::mem::replace(&mut self.met_until, now);
        let is_new = |server: &usize| world.servers[*server].unwell_since.is_some_and(|at| at >= since);
        let new: Vec<usize> = (0..world.servers.len()).filter(is_new).collect();
        for slice in 0..SLICES {
            let Some(own) = self.owners[slice].server else { continue };
            let Some(judged) = world.slices[slice].line.filter(|judged| *judged != own) else { continue };
            let may_stand = new.contains(&judged) || world.servers[judged].condition == Condition::Well;
            if may_stand && (new.contains(&judged) || new.contains(&own)) {
                self.stand_at(slice, judged);
            }
        }
    }

    fn stand_at(&mut self, slice: usize, server: usize) {
        self.owners[slice].server = Some(server);
        self.tables.iter_mut().for_each(|tables| tables[slice].server = Some(server));
        let travelling = self.travelling.iter_mut().filter(|order| order.slice == slice);
        travelling.for_each(|order| order.table.server = Some(server));
    }

    fn apply_due(&mut self, now: Duration) {
        let (due, later) =
            std::mem::take(&mut self.travelling).into_iter().partition(|order| order.due <= now);
        self.travelling = later;
        let due: Vec<Travelling> = due;
        for order in due {
            self.tables[order.proxy][order.slice] = order.table;
        }
    }

    fn decide(&mut self, now: Duration, servers: usize) {
        while self.seen.get(1).is_some_and(|sight| sight.at + SEES_AFTER <= now) {
            self.seen.pop_front();
        }
        let Some(sight) = self.seen.front().filter(|sight| sight.at + SEES_AFTER <= now) else { return };
        let (mut capacities, rate_times) = (sight.capacities.clone(), sight.rate_times);
        // One that it has not seen yet, and that has slices by the judged world's orders, counts as cold.
        let unseen = capacities.len()..servers;
        let has_slices = |server| self.owners.iter().any(|owner| owner.server == Some(server));
        capacities.extend(unseen.map(|server| if has_slices(server) { COLD_CAPACITY } else { 0.0 }));
        let rates: Vec<f64> = (0..SLICES).map(|slice| expected_rate(slice) * rate_times).collect();
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

    /// Moves slices off servers that can do nothing, and off full ones where another has room.
    fn place(&mut self, now: Duration, capacities: &[f64], rates: &[f64]) {
        let mut loads = self.loads(capacities.len(), rates);
        let room = |loads: &[f64], server: usize| capacities[server] * PLACED - loads[server];
        for (slice, rate) in rates.iter().enumerate() {
            let able = (0..capacities.len()).filter(|server| capacities[*server] > 0.0);
            let best = able.max_by(|a, b| room(&loads, *a).total_cmp(&room(&loads, *b)));
            let Some(best) = best else { return };
            let from = self.owners[slice].server;
            let moves = match from {
                None => true,
                Some(from) if from == best => false,
                Some(from) if capacities[from] <= 0.0 => true,
                // What is moved has to fit, or it would move on and on.
                Some(from) => room(&loads, from) < 0.0 && room(&loads, best) >= *rate,
            };
            if moves {
                from.into_iter().for_each(|from| loads[from] -= rate);
                loads[best] += rate;
                self.move_to(now, slice, best);
            }
        }
    }

    /// Stops writes and moves reads. Writes are granted once all have answered and the former server's are settled.
    fn move_to(&mut self, now: Duration, slice: usize, server: usize) {
        let is_first = self.owners[slice].server.replace(server).is_none();
        self.owners[slice].grant_at = (!is_first).then_some(Duration::MAX);
        let answered = self.order(now, slice);
        if !is_first {
            self.owners[slice].grant_at = Some(answered + IN_FLIGHT_MOST);
        }
    }

    fn set_levels(&mut self, now: Duration, capacities: &[f64], rates: &[f64]) {
        let loads = self.loads(capacities.len(), rates);
        for slice in 0..SLICES {
            let Some(server) = self.owners[slice].server else { continue };
            let level = (capacities[server] * LET_IN / loads[server].max(f64::MIN_POSITIVE)).min(1.0);
            let owner = &mut self.owners[slice];
            let granted = owner.grant_at.take_if(|at| *at <= now).is_some();
            let is_whole = level >= 1.0 && owner.level < 1.0;
            let changed = is_whole || (level - owner.level).abs() >= LEVEL_STEP;
            if changed {
                owner.level = level;
            }
            if changed || granted {
                self.order(now, slice);
            }
        }
    }

    /// Sends a slice's table to all proxies; when the last has it.
    fn order(&mut self, now: Duration, slice: usize) -> Duration {
        let Owner { server, level, grant_at } = self.owners[slice];
        let stopped = |class: usize| CLASSES[class].writes && grant_at.is_some();
        let levels = std::array::from_fn(|class| if stopped(class) { 0.0 } else { level });
        let table = Table { server, levels, as_of: now };
        for proxy in 0..self.tables.len() {
            let due = (now + draw_way(&mut self.random)).max(self.last_due[proxy]);
            self.last_due[proxy] = due;
            self.travelling.push(Travelling { due, proxy, slice, table });
        }
        self.last_due.iter().copied().max().unwrap_or(now)
    }
}

/// RPCs a second that a server can do now, less where its queue in the reference is long.
fn capacity(server: &Server, now: Duration) -> f64 {
    let times = match server.condition {
        _ if server.status != Status::Ready => return 0.0,
        Condition::Silent | Condition::Hang | Condition::Reset | Condition::Dead => return 0.0,
        Condition::Well | Condition::Mute => 1,
        Condition::Slow(times) => times,
    };
    let cold = server.started.is_some_and(|at| now < at + WARM_AFTER);
    let work = MEAN_WORK * times * if cold { COLD } else { 1 };
    let free = server.workers[Plane::Reference as usize].iter().min().copied().unwrap_or_default();
    let wait = free.saturating_sub(now).as_secs_f64() / WAIT_MOST.as_secs_f64();
    WORKERS as f64 / work.as_secs_f64() * (1.0 - wait).max(0.0)
}
