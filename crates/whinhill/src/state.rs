//! What the module remembers. Types only: no decisions.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::assigner::{PROBE_MEMORY_HALF_LIFE, REPORT_LAG_INTERVALS};
use crate::interface::{Entry, Ep, Listed, ProxyId, SliceId, ZoneId};

/// A sum that halves every `half`, brought up to date when it is read. What a report tells counts as spread
/// over its stretch, up to one `half`.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    pub value: f64,
    pub updated_at: Duration,
}

impl DecayingSum {
    pub fn read(&self, now: Duration, half: Duration) -> f64 {
        self.value * 0.5f64.powf(now.saturating_sub(self.updated_at).as_secs_f64() / half.as_secs_f64())
    }

    /// What came in a second.
    pub fn rate(&self, now: Duration, half: Duration) -> f64 {
        self.read(now, half) * std::f64::consts::LN_2 / half.as_secs_f64()
    }

    pub fn add(&mut self, now: Duration, half: Duration, x: f64, span: Duration) {
        let fade = |age: Duration| 0.5f64.powf(age.as_secs_f64() / half.as_secs_f64());
        let age = span.clamp(Duration::from_millis(1), half).as_secs_f64() / half.as_secs_f64();
        let mean = (1.0 - 0.5f64.powf(age)) / (age * 0.5);
        *self = DecayingSum {
            value: self.value * fade(now.saturating_sub(self.updated_at)) + x * mean,
            updated_at: now,
        };
    }
}

/// The middle one of some values.
pub fn median<T: Copy + PartialOrd>(mut values: Vec<T>) -> Option<T> {
    values.sort_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
    values.get(values.len() / 2).copied()
}

#[derive(Clone, Debug, Default)]
pub struct Server {
    pub endpoint: Ep,
    pub zone: ZoneId,
    pub listed_status: Listed,
    pub size: f64,
    pub started_at: Option<Duration>,
    /// When we were told that it drains or is gone.
    pub not_ready_since: Duration,
    /// The list has dropped it, but it serves.
    pub dropped_from_list: bool,
    /// It was seen to serve, or the store names it as an owner.
    pub seen_serving: bool,
    pub tries: DecayingSum,
    pub lost_tries: DecayingSum,
    /// Of the answers that were ok: their number, and their waits in seconds.
    pub ok_answers: DecayingSum,
    pub ok_wait_seconds: DecayingSum,
    pub last_ok_at: Duration,
    /// The least mean wait seen: what it takes when little else is there.
    pub baseline_wait: Option<f64>,
    /// Time of service as reported, in seconds.
    pub service_time: Option<f64>,
    pub cpu: Option<(f64, Duration)>,
    /// RPCs that it holds as reported, and when; and how many it held when an ok answer was told of last.
    pub in_flight: Option<(f64, Duration)>,
    pub in_flight_at_last_ok: f64,
    /// RPCs that wait there for each that is worked on, as reported, and when.
    pub queued_per_running: Option<(f64, Duration)>,
    pub unanswered_probes: u32,
    /// When the probe under way was ordered, and the first of those that were not answered.
    pub probe_ordered_at: Option<Duration>,
    pub unresponsive_since: Option<Duration>,
    /// RPCs a second that we let in there when it missed the first, and since when it is shut out.
    pub admitted_rate_at_miss: f64,
    pub suspected_since: Option<Duration>,
    /// What each of the last batches of reports told of it.
    pub batch_answers: VecDeque<BatchAnswers>,
    /// When it was granted a slice and had no RPCs of ours before.
    pub granted_while_idle_at: Option<Duration>,
    /// Probes that it answered of late, and times that it missed some and turned out well.
    pub probes_answered: DecayingSum,
    pub recovered_misses: DecayingSum,
    /// Misses in a row that make it suspected, and whether it is: then it is shut out.
    pub misses_to_suspect: u32,
    pub suspected: bool,
    /// None of its zone answers probes.
    pub zone_unresponsive: bool,
    /// Its probes are not answered though it answers RPCs.
    pub probes_unreliable: bool,
    pub unhealthy_until: Option<Duration>,
    /// When it was called sick last, and what was told of it since.
    pub marked_unhealthy_at: Duration,
    pub tries_since_unhealthy: u64,
    pub lost_since_unhealthy: u64,
    /// Whether its answers come late or are lost.
    pub overloaded: bool,
    /// Whether ok answers wait there: then lost tries and probes tell of load.
    pub under_load: bool,
    /// Work a second that it was learned to do, and when that was last cut.
    pub learned_limit: Option<f64>,
    pub limit_reduced_at: Option<Duration>,
    /// The part of the work offered that is shut out.
    pub rejected_fraction: f64,
    /// How many methods, from the least critical up, are shut out; the fraction is the next one's share.
    pub criticality_cutoff: f64,
}

/// Reports that came together, and the longest stretch that they cover.
#[derive(Clone, Copy, Debug)]
pub struct ReportBatch {
    pub began_at: Duration,
    pub interval: Duration,
}

/// What one batch of reports told of a server.
#[derive(Clone, Copy, Debug)]
pub struct BatchAnswers {
    /// When the batch began to come in.
    pub batch_began_at: Duration,
    pub tries: f64,
    pub oks: f64,
}

impl Server {
    /// The entry of a list that drops it.
    pub fn gone_entry(&self) -> Entry {
        Entry {
            ep: self.endpoint,
            zone: self.zone,
            listed: Listed::Gone,
            size: self.size,
            started: self.started_at,
        }
    }

    /// Counts what proxies met here.
    pub fn record_tries(
        &mut self,
        now: Duration,
        half: Duration,
        met: (u64, u64),
        wait: Duration,
        span: Duration,
    ) {
        let oks = met.0.saturating_sub(met.1) as f64;
        self.tries_since_unhealthy = self.tries_since_unhealthy.saturating_add(met.0);
        self.lost_since_unhealthy = self.lost_since_unhealthy.saturating_add(met.1);
        self.tries.add(now, half, met.0 as f64, span);
        self.lost_tries.add(now, half, met.1 as f64, span);
        self.ok_answers.add(now, half, oks, span);
        self.ok_wait_seconds.add(now, half, oks * wait.as_secs_f64(), span);
        if oks > 0.0 {
            (self.last_ok_at, self.seen_serving) = (self.last_ok_at.max(now), true);
            // A last answer that crosses the report does not explain all that it holds.
            let in_hand = self.in_flight.map_or(0.0, |(in_hand, _)| in_hand);
            self.in_flight_at_last_ok = in_hand.min(self.in_flight_at_last_ok + oks);
            self.probes_unreliable |=
                self.unresponsive_since.is_some_and(|since| now >= since + half * REPORT_LAG_INTERVALS);
        }
    }

    /// Notes what a batch of reports told.
    pub fn record_batch_answers(&mut self, at: Duration, tries: u64, lost: u64, most: usize) {
        let (tries, oks) = (tries as f64, tries.saturating_sub(lost) as f64);
        match self.batch_answers.back_mut().filter(|last| last.batch_began_at == at) {
            Some(last) => {
                last.tries += tries;
                last.oks += oks;
            }
            None => self.batch_answers.push_back(BatchAnswers { batch_began_at: at, tries, oks }),
        }
        if self.batch_answers.len() > most {
            self.batch_answers.pop_front();
        }
    }

    /// A probe was answered: what it missed before was chance, or is over.
    pub fn record_probe_answer(&mut self, now: Duration) {
        if self.unanswered_probes > 0 {
            self.recovered_misses.add(now, PROBE_MEMORY_HALF_LIFE, 1.0, Duration::ZERO);
        }
        self.probes_answered.add(now, PROBE_MEMORY_HALF_LIFE, 1.0, Duration::ZERO);
        (self.unanswered_probes, self.unresponsive_since, self.probes_unreliable) = (0, None, false);
    }

    /// The share of its probes that it missed of late though it was well.
    pub fn false_miss_rate(&self, now: Duration) -> f64 {
        let missed = self.recovered_misses.read(now, PROBE_MEMORY_HALF_LIFE);
        missed / (missed + self.probes_answered.read(now, PROBE_MEMORY_HALF_LIFE) + 1.0)
    }

    /// It is sick from now on, and left alone until a time.
    pub fn mark_unhealthy(&mut self, now: Duration, until: Duration) {
        (self.unhealthy_until, self.marked_unhealthy_at) = (Some(until), now);
        (self.tries_since_unhealthy, self.lost_since_unhealthy) = (0, 0);
    }

    /// Whether what was told since it was called sick shows that it went on answering RPCs: at least `enough`, of
    /// which less than `share` were lost.
    pub fn served_while_unhealthy(&self, share: f64, enough: f64) -> bool {
        let (tries, lost) = (self.tries_since_unhealthy as f64, self.lost_since_unhealthy as f64);
        tries >= enough && lost < share * tries
    }

    /// Whether it has taken in RPCs since an ok answer was told of last, as reported lately: so many, and as many as it
    /// held then.
    pub fn accumulates_rpcs(&self, now: Duration, fresh: Duration, most: f64) -> bool {
        let in_hand = self.in_flight.filter(|(_, at)| now < *at + fresh);
        in_hand.is_some_and(|(in_hand, _)| {
            in_hand - self.in_flight_at_last_ok > most.max(self.in_flight_at_last_ok)
        })
    }

    /// Mean wait of an ok answer in seconds.
    pub fn mean_wait(&self, now: Duration, half: Duration) -> Option<f64> {
        let oks = self.ok_answers.read(now, half);
        (oks >= 1.0).then(|| self.ok_wait_seconds.read(now, half) / oks)
    }
}

/// What the measures say of one server against its peers.
#[derive(Clone, Copy, Debug)]
pub struct Symptoms {
    /// Tries of late, and the share of them that was lost there and at the others.
    pub tries: f64,
    pub lost_fraction: f64,
    pub others_lost_fraction: f64,
    /// Since the last ok answer was told of.
    pub since_last_ok: Duration,
    /// Mean wait of an ok answer in seconds, and whether that is late, or slow by the server's own measure.
    pub mean_wait: f64,
    pub late: bool,
    pub slow: bool,
    /// Ok answers come, and wait: lost tries and probes tell of too much load.
    pub under_load: bool,
    /// It loses tries that others would not lose.
    pub failing: bool,
    /// No ok answers, while others have them.
    pub no_recent_answers: bool,
    /// No ok answers, although some were due.
    pub answers_overdue: bool,
}

#[derive(Clone, Copy, Debug)]
pub struct Proxy {
    pub zone: ZoneId,
    pub joined: bool,
    /// When it joined or left.
    pub state_since: Duration,
}

/// A handover under way: the owner's writes are stopped, and every proxy must be known to have stopped.
#[derive(Clone, Debug, Default)]
pub struct Handover {
    pub acks: BTreeMap<ProxyId, ProxyAck>,
    /// No proxy that has answered sends writes to the old owner after this.
    pub acked_writes_end_at: Duration,
    /// The mark in the message that stops writes; by when that has left the channel to every proxy, once an answer
    /// has told that it was carried out.
    pub stop_ack_seq: u64,
    pub stop_sent_by: Option<Duration>,
    /// The owner's line is taken away, so reads have stopped too.
    pub revoked: bool,
    pub destination: Option<usize>,
    /// When writes were stopped, and when the line was taken away; a slice that comes without one never had it.
    pub started_at: Duration,
    pub revoked_at: Option<Duration>,
    /// The proxy that was waited for last, and what ended the wait.
    pub last_wait_ended: Option<(ProxyId, WaitEnd)>,
}

/// What a handover awaits of one proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyAck {
    pub state: AckState,
    /// When its write lease ends, where its stream broke before it answered. The lease is the first break's: a proxy
    /// that comes back writes no longer by a table that it held before.
    pub lease_ends_at: Option<Duration>,
}

/// A proxy's answer in a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AckState {
    /// It has yet to be told of the handover.
    NotNotified,
    /// It must answer this mark.
    Pending(u64),
    /// It is away.
    Disconnected,
    Acknowledged,
}

impl Handover {
    /// After when no proxy sends writes to the old owner; `None`: that is not known yet. A proxy that has not answered
    /// lost its stream before the stop could arrive, or has applied it: its writes end a lease after that at the latest.
    pub fn writes_end_at(&self, way_most: Duration, lease: Duration) -> Option<Duration> {
        let latest = self.stop_sent_by.map(|sent| sent + way_most + lease);
        let unheard = self.acks.values().filter(|awaited| awaited.state != AckState::Acknowledged);
        let mut leases = unheard.map(|awaited| awaited.lease_ends_at);
        let leases = leases.try_fold(Duration::ZERO, |end, lease| Some(end.max(lease?)));
        // What is told late of a proxy makes it no later for any.
        let heard = leases.map(|leases| leases.max(self.acked_writes_end_at));
        heard.map_or(latest, |heard| Some(latest.map_or(heard, |latest| heard.min(latest))))
    }

    /// Whether a proxy that is joined has yet to answer.
    pub fn awaits_acks(&self) -> bool {
        self.acks
            .values()
            .any(|awaited| matches!(awaited.state, AckState::NotNotified | AckState::Pending(_)))
    }
}

/// What ended a handover's wait for a proxy's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitEnd {
    Acknowledged(Duration),
    /// Its stream broke.
    Disconnected(Duration),
}

/// One that is not ours has neither owner nor handover.
#[derive(Clone, Debug, Default)]
pub struct Slice {
    pub in_custody: bool,
    pub acquired_at: Duration,
    pub owner: Option<usize>,
    pub handover: Option<Handover>,
    pub movable_from: Duration,
    /// Work that came, by method's soft deadline.
    pub demand: DecayingSum,
    /// The shares that proxies were told, by method.
    pub published_levels: Vec<f64>,
    /// All its methods are shut out, as its owner is suspected.
    pub rejects_all: bool,
}

impl Slice {
    /// The share of its RPCs that proxies were told to let in, by the method that is let in most.
    pub fn admitted_fraction(&self) -> f64 {
        self.published_levels.iter().copied().fold(0.0, f64::max).min(1.0)
    }
}

/// What the plan works on: every server's load, room and cost, and each slice's demand.
#[derive(Debug, Default)]
pub struct LoadSnapshot {
    pub loads: Vec<f64>,
    /// The part of the loads that our slices make.
    pub own_loads: Vec<f64>,
    pub headroom: Vec<f64>,
    /// Load that our slices may bring each server while it is cold.
    pub cold_budgets: Vec<f64>,
    /// Load that a unit of demand adds.
    pub load_per_demand: Vec<f64>,
    pub demand: Vec<f64>,
    /// Work a second that each server can do.
    pub limits: Vec<f64>,
    /// The demand for which an idle slice counts on a cold server.
    pub idle_slice_demand: f64,
    pub average_load: f64,
}

impl LoadSnapshot {
    /// A slice that brings so much is to go there.
    pub fn reserve(&mut self, to: usize, add: f64) {
        self.loads[to] += add;
        self.own_loads[to] += add;
        self.headroom[to] -= add;
    }
}

/// A slice and the server it goes to.
pub type Move = (SliceId, usize);

/// ListSubscription the list of servers.
#[derive(Debug, Default)]
pub struct ListSubscription {
    /// When to ask for it again.
    pub request_at: Option<Duration>,
    /// How often that has failed in a row.
    pub failures: u32,
}

/// A plan under way: batches to come, and the one that runs.
#[derive(Debug, Default)]
pub struct Plan {
    /// Rounds in a row that have seen skew.
    pub skewed_rounds: u32,
    /// Rounds in a row in which proxies were away.
    pub postponed_rounds: u32,
    pub pending_batches: VecDeque<Vec<Move>>,
    pub running_batch: Vec<SliceId>,
    /// Where operators want slices, until the next plan.
    pub requested_moves: BTreeMap<SliceId, usize>,
}

/// What the channel is thought to hold.
#[derive(Debug, Default)]
pub struct Channel {
    /// Marks set so far, and whether this reply needs one.
    pub last_ack_seq: u64,
    pub ack_wanted: bool,
    /// The mark of the last levels that only tune, until it is answered.
    pub tuning_ack_seq: Option<u64>,
    /// Lines that wait, as reckoned at a time.
    pub queued_lines: f64,
    /// Lines of the replies that may not have left yet, by the marks set until then, and when they were sent.
    pub queued_messages: VecDeque<(u64, f64, Duration)>,
    /// The last mark that any proxy has answered, and whether the next one's answer is overdue.
    pub last_acked_seq: u64,
    pub ack_overdue: bool,
    /// Lines at a proxy that orders still to be written in this reply will need.
    pub reserved_orders: usize,
    pub updated_at: Duration,
    /// When messages were sent lately.
    pub message_times: Vec<Duration>,
    /// The last marks and when each was set, oldest first.
    pub ack_request_times: VecDeque<(u64, Duration)>,
    pub wake_at: Duration,
}

/// Marks whose times are remembered: far more than can wait for their answers at a time.
const MAX_ACK_REQUEST_TIMES: usize = 1024;

impl Channel {
    /// Sets the next mark.
    pub fn issue_ack_request(&mut self, now: Duration) {
        self.last_ack_seq += 1;
        self.ack_request_times.push_back((self.last_ack_seq, now));
        if self.ack_request_times.len() > MAX_ACK_REQUEST_TIMES {
            self.ack_request_times.pop_front();
        }
    }

    /// When the last mark was set.
    pub fn last_ack_request_at(&self) -> Duration {
        self.ack_request_times.back().map_or(Duration::ZERO, |(_, at)| *at)
    }

    /// When a mark's message took effect at a proxy that answers now, by the time that it took.
    pub fn took_effect_at(&self, mark: u64, way: Duration, now: Duration) -> Duration {
        let set = self.ack_request_times.iter().rev().find(|(set, _)| *set == mark);
        set.map_or(now, |(_, at)| now.min(*at + way))
    }

    /// Lines that no answer has told to have left.
    pub fn unacked_lines(&self) -> f64 {
        self.queued_messages.iter().map(|(_, lines, _)| lines).sum()
    }

    /// Once nothing is reckoned to wait, what was sent before the first unanswered mark has left.
    pub fn forget_transmitted_messages(&mut self) {
        if self.queued_lines <= 0.0 {
            let answered = self.last_acked_seq;
            self.queued_messages.retain(|(mark, ..)| *mark > answered);
        }
    }

    /// When the first mark was sent that no proxy has answered.
    pub fn first_unacked_sent_at(&self) -> Option<Duration> {
        self.queued_messages.iter().find(|(mark, ..)| *mark > self.last_acked_seq).map(|(_, _, at)| *at)
    }
}
