//! The decisions of the control plane. [`Assigner::handle`] is the one entry point that decides: it takes all that
//! happened at one time and returns the orders to carry out, in sequence. The orders of one call become one message
//! for each proxy. The types of events and orders are in `interface.rs`, the reasons and sources in `docs/design.md`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::interface::*;
use crate::settings::{Admission, Config, Method, NEVER};
use crate::state::{
    median, AckState, Channel, DecayingSum, Handover, HandoverSeries, ListSubscription, LoadSnapshot, Move,
    Plan, Proxy, ProxyAck, ReportBatch, Server, Slice, StopStage, Symptoms, WaitEnd,
};

mod admission;
mod channel;
mod evacuation;
mod handover;
mod handover_log;
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

/// Makes every decision of one assigner, and keeps the state that it needs for that.
pub struct Assigner {
    cfg: Config,
    rng: ChaCha8Rng,
    /// The time of the current call, or of the last one.
    now: Duration,
    /// By endpoint index.
    servers: Vec<Server>,
    /// The proxies that have joined at least once.
    proxies: BTreeMap<ProxyId, Proxy>,
    /// Until when joins and breaks of proxies may have gone unreported.
    proxy_updates_lost_at: Duration,
    slices: Vec<Slice>,
    /// For each slice, the servers' indices in its rendezvous order, the same at every assigner.
    rendezvous_order: Vec<Vec<usize>>,
    /// RPCs that came for the slices in custody, by method.
    method_rpcs: Vec<DecayingSum>,
    /// The usual reporting interval; it is the half-life of the measures.
    half_life: Duration,
    /// The last batches of reports, oldest first.
    report_batches: VecDeque<ReportBatch>,
    /// How late reports come, in seconds; `None` until that is learned.
    report_lag_s: Option<f64>,
    /// Service time in seconds from which a server is slow in comparison with its peers.
    slow_service_time: f64,
    /// When the next period's work is due; reports may start it earlier, and their absence delays it.
    next_period_at: Duration,
    next_probes_at: Duration,
    subscription: ListSubscription,
    plan: Plan,
    channel: Channel,
    handover_totals: HandoverTotals,
    /// The orders of the current call.
    output: Vec<Order>,
}

impl Assigner {
    /// An assigner without any servers, proxies or slices; `seed` starts its random draws.
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
            proxy_updates_lost_at: Duration::ZERO,
            report_batches: VecDeque::new(),
            report_lag_s: None,
            slow_service_time: f64::MAX,
            next_period_at: Duration::ZERO,
            next_probes_at: Duration::ZERO,
            subscription: ListSubscription::default(),
            plan: Plan::default(),
            channel: Channel::default(),
            handover_totals: HandoverTotals::default(),
            output: Vec::new(),
        })
    }

    /// Makes the assigner watch the list, and request it again after failures, also where the settings say that its
    /// changes come by themselves. A front that is told of changes only on request needs this.
    pub fn with_list_watch(mut self) -> Self {
        self.cfg.watch_list = true;
        if self.cfg.max_list_request_interval == NEVER {
            self.cfg.max_list_request_interval = DEFAULT_LIST_REQUEST_INTERVAL;
        }
        self
    }

    /// Applies all that happened at `now` and returns the orders to carry out, in sequence: for one slice, grants and
    /// revokes come before levels.
    pub fn handle(&mut self, now: Duration, events: &[Event]) -> Vec<Order> {
        self.now = now;
        let intervals: Vec<Duration> = events.iter().filter_map(Event::interval).collect();
        let reports_start_period = !intervals.is_empty()
            && now + self.cfg.period.mul_f64(EARLY_PERIOD_FRACTION) >= self.next_period_at;
        // When there is more to report than the stream from the collectors carries, reports come late, and each covers
        // a longer interval: the half-life follows their median interval. A call with no more reports than ready
        // servers says nothing about that.
        let has_many_reports = intervals.len() > self.ready_servers().count();
        let usual_interval = has_many_reports.then(|| median(intervals)).flatten();
        self.half_life = usual_interval.map_or(self.half_life, |interval| interval.max(self.cfg.period));

        events.iter().for_each(|event| self.apply_event(event));
        if self.rendezvous_order.first().is_some_and(|order| order.len() < self.servers.len()) {
            self.rank_servers();
        }
        // Requests the list after a failure, and when nothing has come for long.
        if self.subscription.request_at.is_some_and(|at| now >= at) {
            self.output.extend(self.cfg.watch_list.then_some(Order::WatchList));
            self.subscription.request_at = Some(now + self.cfg.max_list_request_interval / 2);
        }
        self.update_suspicions();
        let is_period = reports_start_period || now >= self.next_period_at;
        if is_period {
            self.next_period_at = now + self.cfg.period.mul_f64(PERIOD_TIMEOUT_FACTOR);
            self.evaluate_servers();
            self.make_plan();
        }
        let has_probed = self.order_probes(is_period);
        if has_probed && !is_period {
            self.evaluate_health();
        }

        if now >= self.channel.wake_at && self.channel_is_below(NOTIFY_FILL) {
            self.notify_joined_proxies();
        }
        self.request_overdue_acks();
        self.evacuate();
        self.grant_settled_slices();
        self.run_next_batch();
        let has_granted = || self.output.iter().any(|order| matches!(order, Order::Grant { .. }));
        if (is_period || has_granted()) && self.cfg.admission == Admission::Share {
            self.set_criticality_cutoffs();
        }
        self.order_levels(is_period);
        self.finish_reply()
    }

    fn apply_event(&mut self, event: &Event) {
        let (now, half_life) = (self.now, self.half_life);
        event.interval().into_iter().for_each(|interval| self.record_report(interval));
        match event {
            Event::List { kind, entries } => self.apply_list(*kind, entries),
            Event::TryReport { endpoint, tries, lost, mean_wait, load, interval, .. } => {
                self.server_mut(*endpoint).record_tries(
                    now,
                    half_life,
                    (*tries, *lost),
                    *mean_wait,
                    *interval,
                );
                let batch_began_at = self.report_batches.back().map_or(now, |batch| batch.began_at);
                let server = self.server_mut(*endpoint);
                server.record_batch_answers(batch_began_at, *tries, *lost, REMEMBERED_BATCHES);
                self.apply_load_report(*endpoint, load);
            }
            Event::Demand { slice, method, rpcs, interval, .. } => {
                let work = self.work_per_rpc(*method) * *rpcs as f64;
                self.method_rpcs[*method].add(now, half_life, *rpcs as f64, *interval);
                self.slices[*slice].demand.add(now, half_life, work, *interval);
            }
            Event::Probed { endpoint, result, load } => {
                self.apply_probe_result(*endpoint, *result);
                self.apply_load_report(*endpoint, load);
            }
            Event::ProxyJoined { proxy, zone } => self.proxy_joined(*proxy, *zone),
            Event::ProxyLeft { proxy } => self.proxy_left(*proxy),
            Event::LevelsLost => self.slices.iter_mut().for_each(|slice| slice.levels_uncertain = true),
            Event::ProxyUpdatesLost => self.apply_lost_proxy_updates(),
            Event::Acked { proxy, ack_seq, transit } => self.proxy_acked(*proxy, *ack_seq, *transit),
            Event::SliceAcquired { slice } => self.acquire_slice(*slice),
            Event::SliceReleased { slice } => self.slices[*slice] = Slice::default(),
            Event::StoredOwner { slice, endpoint } => self.restore_owner(*slice, *endpoint),
            Event::MoveRequested { slice, destination } => {
                let destination = self.server_mut(*destination).endpoint.index;
                self.plan.requested_moves.insert(*slice, destination);
            }
            Event::Timer => {}
        }
    }

    /// Custody of a slice was acquired. Unless the store names its owner, a handover without a line finds one.
    fn acquire_slice(&mut self, slice: SliceId) {
        let joined = self.proxies.iter().filter(|(_, proxy)| proxy.joined && self.cfg.fence_writes);
        let not_notified = ProxyAck { state: AckState::NotNotified, lease_ends_at: None };
        let acks = joined.map(|(id, _)| (*id, not_notified)).collect();
        // A line that the former assigner has published may still be in transit.
        let former_line_arrives_by = self.now + self.cfg.max_transit;
        let acked_writes_end_at = if self.cfg.fence_writes {
            self.unknown_proxies_write_until(self.now)
        } else {
            former_line_arrives_by
        };
        self.slices[slice] = Slice {
            in_custody: true,
            acquired_at: self.now,
            handover: Some(Handover {
                acks,
                acked_writes_end_at,
                stop: StopStage::NoLine,
                started_at: self.now,
                all_stopped_at: Some(self.now),
                ..Handover::default()
            }),
            movable_from: self.now + self.cfg.write_lease + self.cfg.settle_time,
            published_levels: vec![1.0; self.cfg.methods.len()],
            ..Slice::default()
        };
    }

    /// The store names the owner of a slice that was just acquired: it keeps the slice.
    fn restore_owner(&mut self, slice: SliceId, endpoint: EndpointId) {
        // What was known of the owner before custody of its slice says little: its health is evaluated afresh.
        let first_answer_by = self.now + self.cfg.max_transit + self.half_life;
        let server = self.server_mut(endpoint);
        server.seen_serving = true;
        server.unhealthy_until = None;
        server.last_ok_at = server.last_ok_at.max(first_answer_by);
        let owner = Some(server.endpoint.index);
        self.slices[slice].owner = owner;
        self.slices[slice].handover = None;
    }
}
