//! RPCs that clients send through the proxies: each is let in by its slice's level, sent by the proxy's table, and
//! answered as its server does. What came of them is added up by cause, and for the collectors' reports.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::page::{CLASSES, HOLD, LOST_AFTER, PROXIES, SLICES, ZONES};
use super::world::{Condition, World};

/// RPCs a second, of all classes and slices.
const RATE: f64 = 240.0;
/// Work of one RPC at a server that is well and warm.
const WORK: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(40));
/// The share of RPCs that write.
const WRITES: f64 = 0.3;
/// A cold server takes this many times as long.
const COLD: u32 = 2;

/// What became of RPCs, by cause.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Outcomes {
    pub offered: u64,
    pub in_time: u64,
    /// Answered after the soft deadline.
    pub late_overload: u64,
    pub late_slow: u64,
    /// Later than the deadline by more than the page allows, or never.
    pub lost_overload: u64,
    pub lost_silent: u64,
    /// Refused, with the promise that nothing ran.
    pub refused_level: u64,
    pub refused_no_owner: u64,
    pub refused_dead: u64,
}

/// What proxies of a zone met at a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Met {
    pub count: u64,
    pub fail: u64,
    pub sum_ms: f64,
}

/// What came for a slice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    pub count: u64,
    pub fail: u64,
}

/// Sums since the collectors last asked, by assigner.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    pub met: BTreeMap<(usize, usize), Met>,
    pub demand: BTreeMap<(usize, usize), Demand>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    until: Duration,
    slice: usize,
    proxy: usize,
    class: usize,
}

/// An answer, or the want of one, on its way back to the proxy that counts it.
#[derive(Clone, Copy, Debug)]
struct Returning {
    at: Duration,
    node: usize,
    /// The proxy's zone, and the server.
    key: (usize, usize),
    failed: bool,
    took: Duration,
}

/// The clients and what they have met.
pub struct Traffic {
    random: ChaCha8Rng,
    last: Duration,
    owed: f64,
    held: VecDeque<Held>,
    answers: Vec<Returning>,
    pub outcomes: Outcomes,
    pub sums: Vec<Sums>,
}

impl Traffic {
    /// No RPC yet.
    pub fn new(nodes: usize, seed: u64) -> Self {
        Traffic {
            random: ChaCha8Rng::seed_from_u64(seed ^ 0x7aff),
            last: Duration::ZERO,
            owed: 0.0,
            held: VecDeque::new(),
            answers: Vec::new(),
            outcomes: Outcomes::default(),
            sums: vec![Sums::default(); nodes],
        }
    }

    /// Plays what came since the last call.
    pub fn play(&mut self, world: &mut World) {
        let now = world.now();
        self.owed += RATE * now.saturating_sub(self.last).as_secs_f64();
        self.last = now;
        while self.owed >= 1.0 {
            self.owed -= 1.0;
            // A few slices are in demand.
            let slice = (self.random.random::<f64>().powi(2) * SLICES as f64) as usize;
            let proxy = self.random.random_range(0..PROXIES);
            let class = usize::from(self.random.random_bool(WRITES));
            self.outcomes.offered += 1;
            self.arrive(world, Held { until: now + HOLD, slice: slice.min(SLICES - 1), proxy, class });
        }
        for held in std::mem::take(&mut self.held) {
            self.arrive(world, held);
        }
        let sums = &mut self.sums;
        for answer in self.answers.iter().filter(|answer| answer.at <= now) {
            let met = sums[answer.node].met.entry(answer.key).or_default();
            met.count += 1;
            met.fail += u64::from(answer.failed);
            met.sum_ms += if answer.failed { 0.0 } else { answer.took.as_secs_f64() * 1e3 };
        }
        self.answers.retain(|answer| answer.at > now);
    }

    fn arrive(&mut self, world: &mut World, rpc: Held) {
        let now = world.now();
        let table = world.tables[rpc.proxy][rpc.slice];
        let Some(server) = table.server else {
            if now < rpc.until {
                self.held.push_back(rpc);
            } else {
                self.outcomes.refused_no_owner += 1;
                self.demand(world, rpc, true);
            }
            return;
        };
        if !self.random.random_bool(table.levels[rpc.class].clamp(0.0, 1.0)) {
            self.outcomes.refused_level += 1;
            self.demand(world, rpc, true);
            return;
        }
        self.demand(world, rpc, false);
        self.send(world, rpc, server);
    }

    fn demand(&mut self, world: &World, rpc: Held, failed: bool) {
        let Some(node) = world.slices[rpc.slice].holder else { return };
        let demand = self.sums[node].demand.entry((rpc.slice, rpc.class)).or_default();
        demand.count += 1;
        demand.fail += u64::from(failed);
    }

    fn send(&mut self, world: &mut World, rpc: Held, server: usize) {
        let (now, class) = (world.now(), CLASSES[rpc.class]);
        let cold = world.servers[server].started.is_some_and(|at| now < at + super::page::WARM_AFTER);
        let state = &mut world.servers[server];
        let (took, failed) = match state.condition {
            Condition::Dead => {
                self.outcomes.refused_dead += 1;
                (Duration::from_millis(1), true)
            }
            Condition::Silent => {
                self.outcomes.lost_silent += 1;
                (class.deadline, true)
            }
            Condition::Well | Condition::Slow(_) => {
                let slow = if let Condition::Slow(times) = state.condition { times } else { 1 };
                let work = self.random.random_range(WORK.0..WORK.1) * slow * if cold { COLD } else { 1 };
                let free = state.workers.iter_mut().min();
                let Some(free) = free else { return };
                *free = (*free).max(now) + work;
                let took = *free - now;
                match took {
                    took if took <= class.objective => self.outcomes.in_time += 1,
                    took if took > class.deadline + LOST_AFTER => self.outcomes.lost_overload += 1,
                    _ if slow > 1 => self.outcomes.late_slow += 1,
                    _ => self.outcomes.late_overload += 1,
                }
                (took.min(class.deadline), took > class.deadline)
            }
        };
        if let Some(node) = world.slices[rpc.slice].holder {
            let key = (rpc.proxy % ZONES.len(), server);
            self.answers.push(Returning { at: now + took, node, key, failed, took });
        }
    }
}
