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
    median, AckState, Channel, DecayingSum, Handover, ListSubscription, LoadSnapshot, Move, Plan, Proxy,
    ProxyAck, ReportBatch, Server, Slice, Symptoms, WaitEnd,
};

mod admission;
mod channel;
mod evacuation;
mod handover;
mod health;
mod introspection;
mod list;
mod load;
mod plan;
mod reports;
mod resend;
mod suspicion;
#[cfg(test)]
mod tests;
mod tuning;

use health::{accepts_slices, usable};
use tuning::*;
pub(crate) use tuning::{PROBE_MEMORY_HALF_LIFE, REPORT_LAG_INTERVALS};

/// Every decision of one assigner, and what it remembers.
pub struct Assigner {
    cfg: Config,
    rng: ChaCha8Rng,
    now: Duration,
    servers: Vec<Server>,
    proxies: BTreeMap<ProxyId, Proxy>,
    slices: Vec<Slice>,
    rendezvous_order: Vec<Vec<usize>>,
    /// RPCs that came for our slices, by method.
    method_rpcs: Vec<DecayingSum>,
    /// The usual stretch of a report, in which measures halve.
    half_life: Duration,
    /// The last batches of reports, oldest first, and how late they come in seconds, once that is known.
    report_batches: VecDeque<ReportBatch>,
    report_lag_s: Option<f64>,
    /// Time of service in seconds from which a server counts as slow against its peers.
    slow_service_time: f64,
    next_period_at: Duration,
    next_probes_at: Duration,
    subscription: ListSubscription,
    plan: Plan,
    channel: Channel,
    /// Handovers that ended with a grant, and the longest that one took.
    grant_count: u64,
    longest_handover: Duration,
    output: Vec<Order>,
}

impl Assigner {
    pub fn new(settings: &Settings, seed: u64) -> Result<Self, SettingsError> {
        let cfg = Config::read(settings)?;
        Ok(Assigner {
            slices: vec![Slice::default(); settings.get("familyInfo.shards")?],
            rendezvous_order: vec![Vec::new(); settings.get("familyInfo.shards")?],
            method_rpcs: vec![DecayingSum::default(); cfg.methods.len()],
            half_life: cfg.period,
            cfg,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            servers: Vec::new(),
            proxies: BTreeMap::new(),
            report_batches: VecDeque::new(),
            report_lag_s: None,
            slow_service_time: f64::MAX,
            next_period_at: Duration::ZERO,
            next_probes_at: Duration::ZERO,
            subscription: ListSubscription::default(),
            plan: Plan::default(),
            channel: Channel::default(),
            grant_count: 0,
            longest_handover: Duration::ZERO,
            output: Vec::new(),
        })
    }

    /// Takes all that happened at `now` and returns the orders, safety first.
    pub fn handle(&mut self, now: Duration, events: &[Event]) -> Vec<Order> {
        self.now = now;
        // Where more is told than the feed carries, reports come late, each for a longer stretch.
        let spans: Vec<Duration> = events.iter().filter_map(Event::span).collect();
        let told =
            !spans.is_empty() && now + self.cfg.period.mul_f64(EARLY_PERIOD_FRACTION) >= self.next_period_at;
        let usual = (spans.len() > self.ready_servers().count()).then(|| median(spans)).flatten();
        self.half_life = usual.map_or(self.half_life, |usual| usual.max(self.cfg.period));
        events.iter().for_each(|event| self.apply_event(event));
        if self.rendezvous_order.first().is_some_and(|order| order.len() < self.servers.len()) {
            self.rank_servers();
        }
        // Asks for changes of the list after a failure, and when nothing has come for long.
        if self.subscription.request_at.is_some_and(|at| now >= at) {
            self.output.extend(self.cfg.watch_list.then_some(Order::Watch));
            self.subscription.request_at = Some(now + self.cfg.max_list_request_interval / 2);
        }
        self.update_suspicions();
        let period = told || now >= self.next_period_at;
        if period {
            self.next_period_at = now + self.cfg.period.mul_f64(PERIOD_TIMEOUT_FACTOR);
            self.evaluate_servers();
            self.make_plan();
        }
        if self.order_probes(period) && !period {
            self.evaluate_health();
        }
        if now >= self.channel.wake_at && self.channel_is_below(NOTIFY_FILL) {
            self.notify_joined_proxies();
        }
        self.request_overdue_acks();
        self.evacuate();
        self.grant_settled_slices();
        self.run_next_batch();
        let draws = period || self.output.iter().any(|order| matches!(order, Order::Grant { .. }));
        if draws && self.cfg.admission == Admission::Share {
            self.set_criticality_cutoffs();
        }
        self.order_levels(period);
        self.finish_reply()
    }

    fn apply_event(&mut self, event: &Event) {
        let (now, half) = (self.now, self.half_life);
        event.span().into_iter().for_each(|span| self.record_report(span));
        match event {
            Event::List { kind, entries } => self.apply_list(*kind, entries),
            Event::Met { ep, tries, lost, wait, load, span, .. } => {
                self.server_mut(*ep).record_tries(now, half, (*tries, *lost), *wait, *span);
                let batch = self.report_batches.back().map_or(now, |batch| batch.began_at);
                self.server_mut(*ep).record_batch_answers(batch, *tries, *lost, REMEMBERED_BATCHES);
                self.apply_load_report(*ep, load);
            }
            Event::Demand { slice, method, rpcs, span, .. } => {
                let work = self.work_per_rpc(*method) * *rpcs as f64;
                self.method_rpcs[*method].add(now, half, *rpcs as f64, *span);
                self.slices[*slice].demand.add(now, half, work, *span);
            }
            Event::Probed { ep, result, load } => {
                self.apply_probe_result(*ep, *result);
                self.apply_load_report(*ep, load);
            }
            Event::Joined { proxy, zone } => self.proxy_joined(*proxy, *zone),
            Event::Left { proxy } => self.proxy_left(*proxy),
            Event::Acked { proxy, mark, way } => self.proxy_acked(*proxy, *mark, *way),
            Event::Given { slice } => {
                let joined = self.proxies.iter().filter(|(_, p)| p.joined && self.cfg.fence_writes);
                let untold = ProxyAck { state: AckState::NotNotified, lease_ends_at: None };
                let awaits = joined.map(|(id, _)| (*id, untold)).collect();
                // Its line may still be told.
                let line = self.now + self.cfg.max_transit;
                let quiet =
                    if self.cfg.fence_writes { self.unknown_proxies_write_until(self.now) } else { line };
                self.slices[*slice] = Slice {
                    in_custody: true,
                    acquired_at: self.now,
                    handover: Some(Handover {
                        acks: awaits,
                        acked_writes_end_at: quiet,
                        revoked: true,
                        started_at: self.now,
                        revoked_at: Some(self.now),
                        ..Handover::default()
                    }),
                    movable_from: self.now + self.cfg.write_lease + self.cfg.settle_time,
                    published_levels: vec![1.0; self.cfg.methods.len()],
                    ..Slice::default()
                };
            }
            Event::Taken { slice } => self.slices[*slice] = Slice::default(),
            Event::Stored { slice, ep } => {
                // What we heard of an owner before its slice was ours says little: it is judged afresh.
                let first = self.now + self.cfg.max_transit + self.half_life;
                let server = self.server_mut(*ep);
                (server.seen_serving, server.unhealthy_until, server.last_ok_at) =
                    (true, None, server.last_ok_at.max(first));
                let owner = Some(server.endpoint.index);
                (self.slices[*slice].owner, self.slices[*slice].handover) = (owner, None);
            }
            Event::Wished { slice, to } => {
                let to = self.server_mut(*to).endpoint.index;
                self.plan.requested_moves.insert(*slice, to);
            }
            Event::Timer => {}
        }
    }
}
