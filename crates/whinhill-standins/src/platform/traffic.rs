//! RPCs that clients send through the proxies, drawn once for both data planes. The outcomes in the
//! tested plane are summed for the collectors' reports.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::cold_budget::ColdBudgetAudit;
use super::data_plane::{DataPlane, Disposition, Plane, Rpc};
use super::parameters::{MAX_HOLD_TIME, SLICES, ZONES};
use super::reference::ReferencePolicy;
use super::state::PlatformState;
use super::streams::StreamState;
use super::timing::Timing;
use super::writers::WriterAudit;

/// RPCs per second, of all classes and slices.
const RPCS_PER_S: f64 = 240.0;
/// Range of the work of one RPC at a healthy and warm server, uniformly distributed, and its mean.
const MIN_WORK: Duration = Duration::from_millis(10);
const MAX_WORK: Duration = Duration::from_millis(40);
pub const MEAN_WORK: Duration = Duration::from_millis(25);
/// The fraction of RPCs that write.
const WRITE_FRACTION: f64 = 0.3;
/// The number of a slice is drawn as a uniform value to this power, so that lower numbers get more
/// load.
const POPULARITY_EXPONENT: f64 = 2.0;
/// Windows start this long after an assigner's first answer even if a proxy has no line yet.
const MAX_WAIT_FOR_LINES: Duration = Duration::from_secs(3);

/// The outcomes that the proxies of a zone had at a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerOutcomes {
    pub count: u64,
    pub fail: u64,
    pub sum_ms: f64,
}

/// The demand of a slice in one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    pub count: u64,
    pub fail: u64,
}

/// Sums for one assigner since the collectors' last report.
#[derive(Clone, Debug, Default)]
pub struct ReportSums {
    pub outcomes: BTreeMap<(usize, usize), ServerOutcomes>,
    pub demand: BTreeMap<(usize, usize), Demand>,
}

/// An answer or a failure on its way back to the proxy that counts it.
#[derive(Clone, Copy, Debug)]
struct ReturningAnswer {
    at: Duration,
    node: usize,
    /// The proxy's zone and the server.
    key: (usize, usize),
    failed: bool,
    took: Duration,
}

/// RPCs per second for a slice at the usual load.
pub fn expected_rate(slice: usize) -> f64 {
    let below = |slice: usize| (slice as f64 / SLICES as f64).powf(1.0 / POPULARITY_EXPONENT);
    RPCS_PER_S * (below(slice + 1) - below(slice))
}

/// The clients and both data planes.
pub struct Traffic {
    random: ChaCha8Rng,
    last_advance: Duration,
    rpc_credit: f64,
    answers: Vec<ReturningAnswer>,
    policy: ReferencePolicy,
    pub cold_budget: ColdBudgetAudit,
    pub writers: WriterAudit,
    pub tested: DataPlane,
    pub reference: DataPlane,
    /// The windows have started.
    windows_started: bool,
    pub report_sums: Vec<ReportSums>,
}

impl Traffic {
    /// Creates traffic without RPCs.
    pub fn new(nodes: usize, proxies: usize, seed: u64, timing: Timing) -> Self {
        Traffic {
            random: ChaCha8Rng::seed_from_u64(seed ^ 0x7aff),
            last_advance: Duration::ZERO,
            rpc_credit: 0.0,
            answers: Vec::new(),
            policy: ReferencePolicy::new(proxies, seed, timing),
            cold_budget: ColdBudgetAudit::default(),
            writers: WriterAudit::default(),
            tested: DataPlane::new(Plane::Tested),
            reference: DataPlane::new(Plane::Reference),
            windows_started: false,
            report_sums: vec![ReportSums::default(); nodes],
        }
    }

    /// Processes the RPCs that have arrived since the last call.
    pub fn advance(&mut self, platform: &mut PlatformState) {
        self.policy.update(platform);
        self.start_windows(platform);
        let arrivals = self.draw_arrivals(platform);
        for (rpc, disposition) in self.tested.process(platform, None, &arrivals) {
            self.account_for(platform, rpc, disposition);
        }
        self.reference.process(platform, Some(&self.policy.tables), &arrivals);
        self.deliver_answers(platform.now());
    }

    /// Starts the windows once an assigner is ready and all slices have servers.
    fn start_windows(&mut self, platform: &PlatformState) {
        let now = platform.now();
        let first = platform.nodes.iter().filter_map(|node| node.first_answer_at).min();
        let Some(first) = first.filter(|_| !self.windows_started && self.policy.is_ready()) else { return };
        let has_lines = platform.tables.iter().flatten().all(|table| table.server.is_some());
        if has_lines || now >= first + MAX_WAIT_FOR_LINES {
            self.windows_started = true;
            self.tested.counts.start(now);
            self.reference.counts.start(now);
        }
    }

    fn draw_arrivals(&mut self, platform: &PlatformState) -> Vec<Rpc> {
        let now = platform.now();
        self.rpc_credit +=
            RPCS_PER_S * platform.load_factor * now.saturating_sub(self.last_advance).as_secs_f64();
        self.last_advance = now;
        let count = self.rpc_credit as usize;
        self.rpc_credit -= count as f64;
        (0..count).map(|_| self.draw_rpc(now, platform.proxies)).collect()
    }

    fn draw_rpc(&mut self, now: Duration, proxies: usize) -> Rpc {
        let slice = (self.random.random::<f64>().powf(POPULARITY_EXPONENT) * SLICES as f64) as usize;
        Rpc {
            arrived: now,
            held_until: now + MAX_HOLD_TIME,
            slice: slice.min(SLICES - 1),
            proxy: self.random.random_range(0..proxies),
            class: usize::from(self.random.random_bool(WRITE_FRACTION)),
            work: self.random.random_range(MIN_WORK..MAX_WORK),
            admission_draw: self.random.random(),
        }
    }

    /// Adds an RPC to the sums of its slice's holder.
    fn account_for(&mut self, platform: &PlatformState, rpc: Rpc, disposition: Disposition) {
        let Some(node) = platform.slices[rpc.slice].holder else { return };
        if matches!(disposition, Disposition::Held) {
            return;
        }
        if let Disposition::Sent { server, took, .. } = disposition {
            self.cold_budget.record_sent(platform, &rpc, server);
            self.writers.record_sent(platform, &rpc, server, took);
        }
        if platform.streams[rpc.proxy][node].state == StreamState::Lost {
            return;
        }
        let demand = self.report_sums[node].demand.entry((rpc.slice, rpc.class)).or_default();
        demand.count += 1;
        demand.fail += u64::from(matches!(disposition, Disposition::Refused));
        if let Disposition::Sent { server, took, failed } = disposition {
            let key = (rpc.proxy % ZONES.len(), server);
            self.answers.push(ReturningAnswer { at: platform.now() + took, node, key, failed, took });
        }
    }

    fn deliver_answers(&mut self, now: Duration) {
        for answer in self.answers.extract_if(.., |answer| answer.at <= now) {
            let outcomes = self.report_sums[answer.node].outcomes.entry(answer.key).or_default();
            outcomes.count += 1;
            outcomes.fail += u64::from(answer.failed);
            outcomes.sum_ms += if answer.failed { 0.0 } else { answer.took.as_secs_f64() * 1e3 };
        }
    }
}
