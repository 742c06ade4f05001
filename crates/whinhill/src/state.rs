//! The state that an assigner keeps between calls: types and their bookkeeping, without decisions.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::assigner::{PROBE_MEMORY_HALF_LIFE, REPORT_LAG_INTERVALS};
use crate::interface::{EndpointId, ListedStatus, ServerEntry, SliceId, ZoneId};

mod handover;

pub use handover::{AckState, Handover, HandoverSeries, ProxyAck, StopStage, WaitEnd};

/// A sum that decays exponentially, brought up to date when it is read or added to.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    /// The sum at `updated_at`.
    pub value: f64,
    /// When something was last added.
    pub updated_at: Duration,
}

impl DecayingSum {
    /// The sum at `now`.
    pub fn read(&self, now: Duration, half_life: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.value * 0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
    }

    /// What was added per second of late.
    pub fn rate(&self, now: Duration, half_life: Duration) -> f64 {
        self.read(now, half_life) * std::f64::consts::LN_2 / half_life.as_secs_f64()
    }

    /// Adds an amount that a report covers. It counts as spread evenly over the report's interval, up to one half-life.
    pub fn add(&mut self, now: Duration, half_life: Duration, amount: f64, interval: Duration) {
        let decay = |age: Duration| 0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64());
        let interval = interval.clamp(Duration::from_millis(1), half_life);
        let half_lives = interval.as_secs_f64() / half_life.as_secs_f64();
        // The mean decay over the interval in relation to that over one half-life: a report that covers one half-life
        // counts in full.
        let weight = (1.0 - 0.5f64.powf(half_lives)) / (half_lives * 0.5);
        let decayed = self.value * decay(now.saturating_sub(self.updated_at));
        *self = DecayingSum { value: decayed + amount * weight, updated_at: now };
    }
}

/// The median of some values; the upper one of the middle two where their number is even.
pub fn median<T: Copy + PartialOrd>(mut values: Vec<T>) -> Option<T> {
    values.sort_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
    values.get(values.len() / 2).copied()
}

/// What is known of a server.
#[derive(Clone, Debug, Default)]
pub struct Server {
    pub endpoint: EndpointId,
    pub zone: ZoneId,
    /// What the list says of it; still `Ready` where the list dropped it and `dropped_from_list` is set.
    pub listed_status: ListedStatus,
    /// Its capacity in comparison with other servers' sizes.
    pub size: f64,
    /// When its process started; `None`: long ago.
    pub started_at: Option<Duration>,
    /// When it ceased to be ready: the list said that it drains or is gone.
    pub not_ready_since: Duration,
    /// The list has dropped it, but it serves.
    pub dropped_from_list: bool,
    /// It was seen to serve, or the store names it as an owner.
    pub seen_serving: bool,
    /// Tries that proxies sent there.
    pub tries: DecayingSum,
    /// Those of the tries that were lost.
    pub lost_tries: DecayingSum,
    /// Ok answers.
    pub ok_answers: DecayingSum,
    /// The sum of the waits for ok answers, in seconds.
    pub ok_wait_seconds: DecayingSum,
    /// When an ok answer was last reported, or by when the first one is expected.
    pub last_ok_at: Duration,
    /// The least mean wait seen, in seconds: the wait when there is little load.
    pub baseline_wait: Option<f64>,
    /// The time of service that it reports, in seconds.
    pub service_time: Option<f64>,
    /// The busy fraction of its cores, smoothed, and when it was reported.
    pub cpu: Option<(f64, Duration)>,
    /// RPCs in flight there, and when that was reported.
    pub in_flight: Option<(f64, Duration)>,
    /// How many of them there were when an ok answer was last reported.
    pub in_flight_at_last_ok: f64,
    /// RPCs queued there for each one in service, and when that was reported.
    pub queued_per_running: Option<(f64, Duration)>,
    /// Consecutive probes without an answer.
    pub unanswered_probes: u32,
    /// When the probe in flight was ordered.
    pub probe_ordered_at: Option<Duration>,
    /// When the first of the consecutive unanswered probes was ordered.
    pub unresponsive_since: Option<Duration>,
    /// Work a second that was admitted there when it missed that probe.
    pub admitted_rate_at_miss: f64,
    /// Since when it has been suspected, which keeps RPCs away from it.
    pub suspected_since: Option<Duration>,
    /// What each of the last batches of reports said of it, oldest first.
    pub batch_answers: VecDeque<BatchAnswers>,
    /// When it was granted a slice while it had none of this assigner's RPCs, until the report lag is learned from it.
    pub granted_while_idle_at: Option<Duration>,
    /// Probes that it answered of late.
    pub probes_answered: DecayingSum,
    /// How often of late it answered again after a miss.
    pub recovered_misses: DecayingSum,
    /// Consecutive misses from which it is suspected.
    pub misses_to_suspect: u32,
    /// Its missed probes make it likely that it has failed: its slices' RPCs are rejected, and it gets no slices.
    pub suspected: bool,
    /// No healthy server of its zone answers probes.
    pub zone_unresponsive: bool,
    /// It answers RPCs though it does not answer probes.
    pub probes_unreliable: bool,
    /// Until when it stays unhealthy at least; `None`: it is healthy.
    pub unhealthy_until: Option<Duration>,
    /// When it was last marked unhealthy. Only for debug output.
    pub marked_unhealthy_at: Duration,
    /// Tries that were reported since then.
    pub tries_since_unhealthy: u64,
    /// Lost tries that were reported since then.
    pub lost_since_unhealthy: u64,
    /// Its answers come late, or are lost while they are slow.
    pub overloaded: bool,
    /// Ok answers come, but late, or its cores are busy: lost tries and missed probes are signs of load then.
    pub under_load: bool,
    /// Work a second that it was learned to be able to do. It is learned from the rate of its ok answers, each of which
    /// counts as one average RPC.
    pub learned_limit: Option<f64>,
    /// When that limit was last lowered.
    pub limit_reduced_at: Option<Duration>,
    /// The fraction of the work offered that is rejected.
    pub rejected_fraction: f64,
    /// How many methods, from the least critical on, are rejected; the fraction is the share of the next one.
    pub criticality_cutoff: f64,
}

/// Reports that came together.
#[derive(Clone, Copy, Debug)]
pub struct ReportBatch {
    /// When the first of them came.
    pub began_at: Duration,
    /// The longest interval that one of them covers.
    pub interval: Duration,
}

/// What one batch of reports said of a server.
#[derive(Clone, Copy, Debug)]
pub struct BatchAnswers {
    /// When the first report of the batch came.
    pub batch_began_at: Duration,
    /// Tries that the reports of the batch count.
    pub tries: f64,
    /// Tries that were not lost.
    pub oks: f64,
}

impl Server {
    /// The entry of a list that drops the server.
    pub fn gone_entry(&self) -> ServerEntry {
        ServerEntry {
            endpoint: self.endpoint,
            zone: self.zone,
            status: ListedStatus::Gone,
            size: self.size,
            started: self.started_at,
        }
    }

    /// Counts tries that proxies report, with their mean wait.
    pub fn record_tries(
        &mut self,
        now: Duration,
        half_life: Duration,
        (tries, lost): (u64, u64),
        mean_wait: Duration,
        interval: Duration,
    ) {
        let oks = tries.saturating_sub(lost) as f64;
        self.tries_since_unhealthy = self.tries_since_unhealthy.saturating_add(tries);
        self.lost_since_unhealthy = self.lost_since_unhealthy.saturating_add(lost);
        self.tries.add(now, half_life, tries as f64, interval);
        self.lost_tries.add(now, half_life, lost as f64, interval);
        self.ok_answers.add(now, half_life, oks, interval);
        self.ok_wait_seconds.add(now, half_life, oks * mean_wait.as_secs_f64(), interval);
        if oks > 0.0 {
            self.last_ok_at = self.last_ok_at.max(now);
            self.seen_serving = true;
            // A few last answers that cross the load report do not account for all RPCs that it holds.
            let in_flight = self.in_flight.map_or(0.0, |(in_flight, _)| in_flight);
            self.in_flight_at_last_ok = in_flight.min(self.in_flight_at_last_ok + oks);
            self.probes_unreliable |=
                self.unresponsive_since.is_some_and(|since| now >= since + half_life * REPORT_LAG_INTERVALS);
        }
    }

    /// Counts tries under the batch in which they were reported, and keeps the last `max_batches` batches.
    pub fn record_batch_answers(
        &mut self,
        batch_began_at: Duration,
        tries: u64,
        lost: u64,
        max_batches: usize,
    ) {
        let (tries, oks) = (tries as f64, tries.saturating_sub(lost) as f64);
        match self.batch_answers.back_mut().filter(|last| last.batch_began_at == batch_began_at) {
            Some(last) => {
                last.tries += tries;
                last.oks += oks;
            }
            None => self.batch_answers.push_back(BatchAnswers { batch_began_at, tries, oks }),
        }
        if self.batch_answers.len() > max_batches {
            self.batch_answers.pop_front();
        }
    }

    /// A probe was answered: earlier misses were chance, or their cause is over.
    pub fn record_probe_answer(&mut self, now: Duration) {
        if self.unanswered_probes > 0 {
            self.recovered_misses.add(now, PROBE_MEMORY_HALF_LIFE, 1.0, Duration::ZERO);
        }
        self.probes_answered.add(now, PROBE_MEMORY_HALF_LIFE, 1.0, Duration::ZERO);
        self.unanswered_probes = 0;
        self.unresponsive_since = None;
        self.probes_unreliable = false;
    }

    /// The fraction of its probes that it missed of late although it was healthy. One more answered probe is counted,
    /// so that the fraction is 0 before any probe.
    pub fn false_miss_rate(&self, now: Duration) -> f64 {
        let missed = self.recovered_misses.read(now, PROBE_MEMORY_HALF_LIFE);
        missed / (missed + self.probes_answered.read(now, PROBE_MEMORY_HALF_LIFE) + 1.0)
    }

    /// Makes it unhealthy from now on, until `until` at least.
    pub fn mark_unhealthy(&mut self, now: Duration, until: Duration) {
        self.unhealthy_until = Some(until);
        self.marked_unhealthy_at = now;
        self.tries_since_unhealthy = 0;
        self.lost_since_unhealthy = 0;
    }

    /// Whether reports since it was marked unhealthy show that it went on answering RPCs: at least `min_tries`, of
    /// which a fraction below `max_lost_fraction` was lost.
    pub fn served_while_unhealthy(&self, max_lost_fraction: f64, min_tries: f64) -> bool {
        let (tries, lost) = (self.tries_since_unhealthy as f64, self.lost_since_unhealthy as f64);
        tries >= min_tries && lost < max_lost_fraction * tries
    }

    /// Whether a load report not older than `max_age` shows that it has accepted RPCs since its last ok answer: more
    /// than `min_rpcs`, and more than it held at that answer.
    pub fn accumulates_rpcs(&self, now: Duration, max_age: Duration, min_rpcs: f64) -> bool {
        let in_flight = self.in_flight.filter(|(_, at)| now < *at + max_age);
        in_flight.is_some_and(|(in_flight, _)| {
            in_flight - self.in_flight_at_last_ok > min_rpcs.max(self.in_flight_at_last_ok)
        })
    }

    /// Mean wait of an ok answer in seconds.
    pub fn mean_wait(&self, now: Duration, half_life: Duration) -> Option<f64> {
        let oks = self.ok_answers.read(now, half_life);
        (oks >= 1.0).then(|| self.ok_wait_seconds.read(now, half_life) / oks)
    }
}

/// What the measures say of one server in comparison with its peers.
#[derive(Clone, Copy, Debug)]
pub struct Symptoms {
    /// Tries of late.
    pub tries: f64,
    /// The fraction of them that was lost.
    pub lost_fraction: f64,
    /// The fraction of their tries that the other servers lost.
    pub others_lost_fraction: f64,
    /// Time since an ok answer was last reported.
    pub since_last_ok: Duration,
    /// Mean wait of an ok answer in seconds; 0 where there are none.
    pub mean_wait: f64,
    /// The mean wait, or the wait in the reported queue, is too long against the soft deadlines.
    pub late: bool,
    /// The mean wait is long against the server's baseline.
    pub slow: bool,
    /// Ok answers come, but late, or its cores are busy: lost tries and missed probes are signs of load then.
    pub under_load: bool,
    /// It loses tries that others would not lose.
    pub failing: bool,
    /// It has had no ok answers of late, while most other servers have.
    pub no_recent_answers: bool,
    /// It has had no ok answers although some should have come.
    pub answers_overdue: bool,
}

/// A proxy that has joined at least once.
#[derive(Clone, Copy, Debug)]
pub struct Proxy {
    pub zone: ZoneId,
    /// Its stream is open.
    pub joined: bool,
    /// When it joined or left.
    pub state_since: Duration,
}

/// A slice. One that is not in this assigner's custody has neither owner nor handover.
#[derive(Clone, Debug, Default)]
pub struct Slice {
    pub in_custody: bool,
    /// When custody of it was acquired.
    pub acquired_at: Duration,
    /// The index of the server that owns it.
    pub owner: Option<usize>,
    pub handover: Option<Handover>,
    /// Its last handovers, if they followed one another closely.
    pub handover_series: HandoverSeries,
    /// From when on a plan may move it.
    pub movable_from: Duration,
    /// Work that came for it; an RPC's work is taken to be in proportion to its method's soft deadline.
    pub demand: DecayingSum,
    /// The levels that proxies were sent, by method.
    pub published_levels: Vec<f64>,
    /// The store may have reset these levels: those that do not admit all are to be ordered again.
    pub levels_uncertain: bool,
    /// All its RPCs are rejected, or all but a few, because its owner is suspected.
    pub rejects_all: bool,
}

impl Slice {
    /// The fraction of its RPCs that the published levels admit, by the method that is admitted most.
    pub fn admitted_fraction(&self) -> f64 {
        self.published_levels.iter().copied().fold(0.0, f64::max).min(1.0)
    }
}

/// Estimates that plans and destinations are based on. Vectors are by server, but for `demand`. Loads are fractions
/// of a server's present capacity.
#[derive(Debug, Default)]
pub struct LoadSnapshot {
    pub loads: Vec<f64>,
    /// The part of the loads that the slices in custody make.
    pub own_loads: Vec<f64>,
    /// Load that may be added.
    pub headroom: Vec<f64>,
    /// Load that the slices in custody may bring while the server is cold.
    pub cold_budgets: Vec<f64>,
    /// Load that a unit of demand adds.
    pub load_per_demand: Vec<f64>,
    /// Each slice's demand: work a second.
    pub demand: Vec<f64>,
    /// Work a second that each server can do.
    pub limits: Vec<f64>,
    /// The demand that an idle slice counts for on a cold server.
    pub idle_slice_demand: f64,
    /// The mean load of the ready servers.
    pub average_load: f64,
}

impl LoadSnapshot {
    /// Accounts for a slice that is to go to `server` and brings this much load.
    pub fn reserve(&mut self, server: usize, load: f64) {
        self.loads[server] += load;
        self.own_loads[server] += load;
        self.headroom[server] -= load;
    }
}

/// A slice and the server that it goes to.
pub type Move = (SliceId, usize);

/// The state of the subscription to the list of servers.
#[derive(Debug, Default)]
pub struct ListSubscription {
    /// When to request the list again.
    pub request_at: Option<Duration>,
    /// Consecutive failures that discovery reported itself; calls that it did not answer are not counted.
    pub failures: u32,
    /// Since when no call has been answered with a list.
    pub failing_since: Option<Duration>,
}

/// A plan in progress, and the conditions for the next one.
#[derive(Debug, Default)]
pub struct Plan {
    /// Consecutive planning rounds that have seen skew.
    pub skewed_rounds: u32,
    /// Consecutive planning rounds in which proxies were away.
    pub postponed_rounds: u32,
    /// Batches of moves that have yet to start.
    pub pending_batches: VecDeque<Vec<Move>>,
    /// The slices that the batch in progress moves.
    pub running_batch: Vec<SliceId>,
    /// Moves that operators request, until the next plan.
    pub requested_moves: BTreeMap<SliceId, usize>,
}

/// The estimated state of the channel to the proxies, which sends a limited number of lines a second.
#[derive(Debug, Default)]
pub struct Channel {
    /// The sequence number of the last acknowledgement that was requested.
    pub last_ack_seq: u64,
    /// This reply is to request an acknowledgement.
    pub ack_wanted: bool,
    /// The acknowledgement of the last levels that were only tuned, while it is pending.
    pub tuning_ack_seq: Option<u64>,
    /// Lines that are estimated to be queued at `updated_at`.
    pub queued_lines: f64,
    /// The messages that may not have left the channel, oldest first: the last sequence number issued up to and with
    /// the message, its lines, and when it was sent.
    pub queued_messages: VecDeque<(u64, f64, Duration)>,
    /// The last sequence number that any proxy has acknowledged.
    pub last_acked_seq: u64,
    /// The store holds all orders up to the request of this acknowledgement, and did so before any proxy joined that
    /// has yet to be reported. See [`crate::Assigner::note_orders_stored`].
    pub stored_ack_seq: u64,
    /// The next acknowledgement is overdue.
    pub ack_overdue: bool,
    /// Orders that will be added to this reply later, and count as queued already.
    pub reserved_orders: usize,
    /// When `queued_lines` was estimated.
    pub updated_at: Duration,
    /// When messages were sent lately.
    pub message_times: Vec<Duration>,
    /// The last sequence numbers and when each was requested, oldest first.
    pub ack_request_times: VecDeque<(u64, Duration)>,
    /// When the assigner next asks to be woken.
    pub wake_at: Duration,
}

/// Requested acknowledgements whose times are remembered: far more than can be pending at a time.
const MAX_ACK_REQUEST_TIMES: usize = 1024;

impl Channel {
    /// Issues the next sequence number.
    pub fn issue_ack_request(&mut self, now: Duration) {
        self.last_ack_seq += 1;
        self.ack_request_times.push_back((self.last_ack_seq, now));
        if self.ack_request_times.len() > MAX_ACK_REQUEST_TIMES {
            self.ack_request_times.pop_front();
        }
    }

    /// The last sequence number that was issued with these low 16 bits.
    pub fn issued_ack_seq(&self, low_bits: u16) -> u64 {
        let distance = (self.last_ack_seq as u16).wrapping_sub(low_bits);
        self.last_ack_seq.saturating_sub(distance.into())
    }

    /// When an acknowledgement was last requested.
    pub fn last_ack_request_at(&self) -> Duration {
        self.ack_request_times.back().map_or(Duration::ZERO, |(_, at)| *at)
    }

    /// When a message took effect at a proxy that acknowledges it now, given its transit time.
    pub fn took_effect_at(&self, ack_seq: u64, transit: Duration, now: Duration) -> Duration {
        let request = self.ack_request_times.iter().rev().find(|(requested, _)| *requested == ack_seq);
        request.map_or(now, |(_, at)| now.min(*at + transit))
    }

    /// Lines that no acknowledgement shows to have left the channel.
    pub fn unacked_lines(&self) -> f64 {
        self.queued_messages.iter().map(|(_, lines, _)| lines).sum()
    }

    /// Forgets the messages that have left: once no line is estimated to be queued, those that were sent before the
    /// first pending acknowledgement was requested.
    pub fn forget_transmitted_messages(&mut self) {
        if self.queued_lines <= 0.0 {
            let acked = self.last_acked_seq;
            self.queued_messages.retain(|(ack_seq, ..)| *ack_seq > acked);
        }
    }

    /// When the first acknowledgement was requested that no proxy has given yet.
    pub fn first_unacked_sent_at(&self) -> Option<Duration> {
        let is_unacked = |ack_seq: u64| ack_seq > self.last_acked_seq;
        self.queued_messages.iter().find(|(ack_seq, ..)| is_unacked(*ack_seq)).map(|(_, _, at)| *at)
    }
}
