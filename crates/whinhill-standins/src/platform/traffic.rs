//! RPCs that clients send through the proxies, drawn once for both worlds. What the judged one met is added up for
//! the collectors' reports.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::cold::ColdAudit;
use super::oracle::Oracle;
use super::page::{HOLD, SLICES, ZONES};
use super::plane::{DataPlane, Plane, Rpc, Step};
use super::streams::State;
use super::world::World;
use super::writers::WriterAudit;

/// RPCs a second, of all classes and slices.
const RATE: f64 = 240.0;
/// Work of one RPC at a server that is well and warm, evenly spread.
const WORK: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(40));
pub const MEAN_WORK: Duration = Duration::from_millis(25);
/// The share of RPCs that write.
const WRITES: f64 = 0.3;
/// Slices are in demand by the square of an even draw.
const SKEW: f64 = 2.0;
/// Windows start this long after an assigner's first answer even where a proxy has no line yet.
const LINES_WITHIN: Duration = Duration::from_secs(3);

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

/// RPCs a second for a slice, where the load is as usual.
pub fn expected_rate(slice: usize) -> f64 {
    let below = |slice: usize| (slice as f64 / SLICES as f64).powf(1.0 / SKEW);
    RATE * (below(slice + 1) - below(slice))
}

/// The clients, and both worlds that they meet.
pub struct Traffic {
    random: ChaCha8Rng,
    last: Duration,
    owed: f64,
    answers: Vec<Returning>,
    oracle: Oracle,
    pub cold: ColdAudit,
    pub writers: WriterAudit,
    pub judged: DataPlane,
    pub reference: DataPlane,
    /// Windows have started.
    counts: bool,
    pub sums: Vec<Sums>,
}

impl Traffic {
    /// No RPC yet.
    pub fn new(nodes: usize, proxies: usize, seed: u64) -> Self {
        Traffic {
            random: ChaCha8Rng::seed_from_u64(seed ^ 0x7aff),
            last: Duration::ZERO,
            owed: 0.0,
            answers: Vec::new(),
            oracle: Oracle::new(proxies, seed),
            cold: ColdAudit::default(),
            writers: WriterAudit::default(),
            judged: DataPlane::new(Plane::Judged),
            reference: DataPlane::new(Plane::Reference),
            counts: false,
            sums: vec![Sums::default(); nodes],
        }
    }

    /// Plays what came since the last call.
    pub fn play(&mut self, world: &mut World) {
        self.oracle.play(world);
        self.start_windows(world);
        let arrivals = self.draw(world);
        for (rpc, step) in self.judged.play(world, None, &arrivals) {
            self.count(world, rpc, step);
        }
        self.reference.play(world, Some(&self.oracle.tables), &arrivals);
        self.pass_answers_on(world.now());
    }

    /// Windows start once an assigner is ready and all slices have servers.
    fn start_windows(&mut self, world: &World) {
        let now = world.now();
        let first = world.nodes.iter().filter_map(|node| node.first_answer).min();
        let Some(first) = first.filter(|_| !self.counts && self.oracle.is_ready()) else { return };
        let has_lines = world.tables.iter().flatten().all(|table| table.server.is_some());
        if has_lines || now >= first + LINES_WITHIN {
            self.counts = true;
            self.judged.tally.start(now);
            self.reference.tally.start(now);
        }
    }

    fn draw(&mut self, world: &World) -> Vec<Rpc> {
        let now = world.now();
        self.owed += RATE * world.rate_times * now.saturating_sub(self.last).as_secs_f64();
        self.last = now;
        let count = self.owed as usize;
        self.owed -= count as f64;
        (0..count).map(|_| self.draw_one(now, world.proxies)).collect()
    }

    fn draw_one(&mut self, now: Duration, proxies: usize) -> Rpc {
        let slice = (self.random.random::<f64>().powf(SKEW) * SLICES as f64) as usize;
        Rpc {
            arrived: now,
            held_until: now + HOLD,
            slice: slice.min(SLICES - 1),
            proxy: self.random.random_range(0..proxies),
            class: usize::from(self.random.random_bool(WRITES)),
            work: self.random.random_range(WORK.0..WORK.1),
            dice: self.random.random(),
        }
    }

    /// Adds up for the holder of the RPC's slice.
    fn count(&mut self, world: &World, rpc: Rpc, step: Step) {
        let Some(node) = world.slices[rpc.slice].holder else { return };
        if matches!(step, Step::Held) {
            return;
        }
        if let Step::Sent { server, took, .. } = step {
            self.cold.sent(world, &rpc, server);
            self.writers.sent(world, &rpc, server, took);
        }
        if world.streams[rpc.proxy][node].state == State::Lost {
            return;
        }
        let demand = self.sums[node].demand.entry((rpc.slice, rpc.class)).or_default();
        demand.count += 1;
        demand.fail += u64::from(matches!(step, Step::Refused));
        if let Step::Sent { server, took, failed } = step {
            let key = (rpc.proxy % ZONES.len(), server);
            self.answers.push(Returning { at: world.now() + took, node, key, failed, took });
        }
    }

    fn pass_answers_on(&mut self, now: Duration) {
        for answer in self.answers.extract_if(.., |answer| answer.at <= now) {
            let met = self.sums[answer.node].met.entry(answer.key).or_default();
            met.count += 1;
            met.fail += u64::from(answer.failed);
            met.sum_ms += if answer.failed { 0.0 } else { answer.took.as_secs_f64() * 1e3 };
        }
    }
}
