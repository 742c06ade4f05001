//! Every decision of the control plane. [`Assigner::handle`] is the one entry point: it takes all that
//! happened at one time and returns what is to be done, in order; one call's orders become one message
//! for each proxy. The types stand in `interface.rs`, the reasons and the sources in `docs/design.md`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::interface::*;
use crate::settings::{Admission, Config, Method};
use crate::state::{
    middle, Answer, Awaited, Channel, Following, Handover, Heard, Move, Plan, Proxy, ReportBatch, Server,
    Slice, Sum, Symptoms, View,
};

mod admission;
mod channel;
mod evacuation;
mod handover;
mod health;
mod list;
mod load;
mod plan;
mod reports;
mod resent;
mod shown;
mod suspicion;
#[cfg(test)]
mod tests;
mod tuning;

use health::{takes_slices, usable};
use tuning::*;
pub(crate) use tuning::{REPORTS_LAG, TRUST_HALVES};

/// Every decision of one assigner, and what it remembers.
pub struct Assigner {
    cfg: Config,
    rng: ChaCha8Rng,
    now: Duration,
    servers: Vec<Server>,
    proxies: BTreeMap<ProxyId, Proxy>,
    slices: Vec<Slice>,
    orders: Vec<Vec<usize>>,
    /// RPCs that came for our slices, by method.
    came: Vec<Sum>,
    /// The usual stretch of a report, in which measures halve.
    half: Duration,
    /// The last batches of reports, oldest first, and how late they come in seconds, once that is known.
    reports: VecDeque<ReportBatch>,
    report_lag: Option<f64>,
    /// Time of service in seconds from which a server counts as slow against its peers.
    slow: f64,
    next_period: Duration,
    next_probes: Duration,
    list: Following,
    plan: Plan,
    channel: Channel,
    /// Handovers that ended with a grant, and the longest that one took.
    granted: u64,
    longest_handover: Duration,
    out: Vec<Order>,
}

impl Assigner {
    pub fn new(settings: &Settings, seed: u64) -> Result<Self, SettingsError> {
        let cfg = Config::read(settings)?;
        Ok(Assigner {
            slices: vec![Slice::default(); settings.get("familyInfo.shards")?],
            orders: vec![Vec::new(); settings.get("familyInfo.shards")?],
            came: vec![Sum::default(); cfg.methods.len()],
            half: cfg.period,
            cfg,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            servers: Vec::new(),
            proxies: BTreeMap::new(),
            reports: VecDeque::new(),
            report_lag: None,
            slow: f64::MAX,
            next_period: Duration::ZERO,
            next_probes: Duration::ZERO,
            list: Following::default(),
            plan: Plan::default(),
            channel: Channel::default(),
            granted: 0,
            longest_handover: Duration::ZERO,
            out: Vec::new(),
        })
    }

    /// Takes all that happened at `now` and returns the orders, safety first.
    pub fn handle(&mut self, now: Duration, events: &[Event]) -> Vec<Order> {
        self.now = now;
        // Where more is told than the feed carries, reports come late, each for a longer stretch.
        let spans: Vec<Duration> = events.iter().filter_map(Event::span).collect();
        let told = !spans.is_empty() && now + self.cfg.period.mul_f64(PERIOD.0) >= self.next_period;
        let usual = (spans.len() > self.ready().count()).then(|| middle(spans)).flatten();
        self.half = usual.map_or(self.half, |usual| usual.max(self.cfg.period));
        events.iter().for_each(|event| self.take(event));
        if self.orders.first().is_some_and(|order| order.len() < self.servers.len()) {
            self.rank();
        }
        // Asks for changes of the list after a failure, and when nothing has come for long.
        if self.list.ask_at.is_some_and(|at| now >= at) {
            self.out.extend(self.cfg.watch.then_some(Order::Watch));
            self.list.ask_at = Some(now + self.cfg.must_ask / 2);
        }
        self.weigh_probes();
        let period = told || now >= self.next_period;
        if period {
            self.next_period = now + self.cfg.period.mul_f64(PERIOD.1);
            self.judge();
            self.make_plan();
        }
        if self.order_probes(period) && !period {
            self.judge_health();
        }
        if now >= self.channel.wake && self.has_room(0.5) {
            self.tell_joined();
        }
        self.ask_again();
        self.evacuate();
        self.advance();
        self.run_batches();
        let draws = period || self.out.iter().any(|order| matches!(order, Order::Grant { .. }));
        if draws && self.cfg.admission == Admission::Share {
            self.draw_lines();
        }
        self.order_levels(period);
        self.close()
    }

    fn take(&mut self, event: &Event) {
        let (now, half) = (self.now, self.half);
        event.span().into_iter().for_each(|span| self.note_report(span));
        match event {
            Event::List { kind, entries } => self.take_list(*kind, entries),
            Event::Met { ep, tries, lost, wait, load, span, .. } => {
                self.server(*ep).meet(now, half, (*tries, *lost), *wait, *span);
                let batch = self.reports.back().map_or(now, |batch| batch.at);
                self.server(*ep).note_answers(batch, *tries, *lost, BATCHES);
                self.take_load(*ep, load);
            }
            Event::Demand { slice, method, rpcs, span, .. } => {
                let work = self.work(*method) * *rpcs as f64;
                self.came[*method].add(now, half, *rpcs as f64, *span);
                self.slices[*slice].demand.add(now, half, work, *span);
            }
            Event::Probed { ep, result, load } => {
                self.take_probe(*ep, *result);
                self.take_load(*ep, load);
            }
            Event::Joined { proxy, zone } => self.join(*proxy, *zone),
            Event::Left { proxy } => self.leave(*proxy),
            Event::Acked { proxy, mark, way } => self.acked(*proxy, *mark, *way),
            Event::Given { slice } => {
                let joined = self.proxies.iter().filter(|(_, p)| p.joined && self.cfg.guarded);
                let untold = Awaited { answer: Answer::Untold, lease_ends: None };
                let awaits = joined.map(|(id, _)| (*id, untold)).collect();
                // Its line may still be told.
                let line = self.now + self.cfg.way_most;
                let quiet = if self.cfg.guarded { self.unheard_until(self.now) } else { line };
                self.slices[*slice] = Slice {
                    ours: true,
                    given: self.now,
                    handover: Some(Handover {
                        awaits,
                        quiet,
                        cut: true,
                        began: self.now,
                        cut_at: Some(self.now),
                        ..Handover::default()
                    }),
                    stays: self.now + self.cfg.lease + self.cfg.settle,
                    told: vec![1.0; self.cfg.methods.len()],
                    ..Slice::default()
                };
            }
            Event::Taken { slice } => self.slices[*slice] = Slice::default(),
            Event::Stored { slice, ep } => {
                // What we heard of an owner before its slice was ours says little: it is judged afresh.
                let first = self.now + self.cfg.way_most + self.half;
                let server = self.server(*ep);
                (server.proven, server.sick, server.last_ok) = (true, None, server.last_ok.max(first));
                let owner = Some(server.ep.index);
                (self.slices[*slice].owner, self.slices[*slice].handover) = (owner, None);
            }
            Event::Wished { slice, to } => {
                let to = self.server(*to).ep.index;
                self.plan.wishes.insert(*slice, to);
            }
            Event::Timer => {}
        }
    }
}
