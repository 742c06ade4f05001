//! What the module remembers. Types only: no decisions.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::assigner::{REPORTS_LAG, TRUST_HALVES};
use crate::interface::{Entry, Ep, Listed, ProxyId, SliceId, ZoneId};

/// A sum that halves every `half`, brought up to date when it is read. What a report tells counts as spread
/// over its stretch, up to one `half`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sum {
    pub value: f64,
    pub at: Duration,
}

impl Sum {
    pub fn read(&self, now: Duration, half: Duration) -> f64 {
        self.value * 0.5f64.powf(now.saturating_sub(self.at).as_secs_f64() / half.as_secs_f64())
    }

    /// What came in a second.
    pub fn rate(&self, now: Duration, half: Duration) -> f64 {
        self.read(now, half) * std::f64::consts::LN_2 / half.as_secs_f64()
    }

    pub fn add(&mut self, now: Duration, half: Duration, x: f64, span: Duration) {
        let fade = |age: Duration| 0.5f64.powf(age.as_secs_f64() / half.as_secs_f64());
        let age = span.clamp(Duration::from_millis(1), half).as_secs_f64() / half.as_secs_f64();
        let mean = (1.0 - 0.5f64.powf(age)) / (age * 0.5);
        *self = Sum { value: self.value * fade(now.saturating_sub(self.at)) + x * mean, at: now };
    }
}

/// The middle one of some values.
pub fn middle<T: Copy + PartialOrd>(mut values: Vec<T>) -> Option<T> {
    values.sort_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
    values.get(values.len() / 2).copied()
}

#[derive(Clone, Debug, Default)]
pub struct Server {
    pub ep: Ep,
    pub zone: ZoneId,
    pub listed: Listed,
    pub size: f64,
    pub started: Option<Duration>,
    /// When we were told that it drains or is gone.
    pub told: Duration,
    /// The list has dropped it, but it serves.
    pub dropped: bool,
    /// It was seen to serve, or the store names it as an owner.
    pub proven: bool,
    pub tries: Sum,
    pub lost: Sum,
    /// Of the answers that were ok: their number, and their waits in seconds.
    pub oks: Sum,
    pub waits: Sum,
    pub last_ok: Duration,
    /// The least mean wait seen: what it takes when little else is there.
    pub base: Option<f64>,
    /// Time of service as reported, in seconds.
    pub service: Option<f64>,
    pub cpu: Option<(f64, Duration)>,
    /// RPCs that it holds as reported, and when; and how many it held when an ok answer was told of last.
    pub in_hand: Option<(f64, Duration)>,
    pub in_hand_at_ok: f64,
    /// RPCs that wait there for each that is worked on, as reported, and when.
    pub queue: Option<(f64, Duration)>,
    pub unanswered: u32,
    /// When the probe under way was ordered, and the first of those that were not answered.
    pub probe_ordered: Option<Duration>,
    pub silent_since: Option<Duration>,
    /// RPCs a second that we let in there when it missed the first, and since when it is shut out.
    pub rate_at_miss: f64,
    pub shut_at: Option<Duration>,
    /// What each of the last batches of reports told of it.
    pub answers: VecDeque<Answers>,
    /// When it was granted a slice and had no RPCs of ours before.
    pub granted_idle: Option<Duration>,
    /// Probes that it answered of late, and times that it missed some and turned out well.
    pub probes_answered: Sum,
    pub probes_missed: Sum,
    /// Misses in a row that make it suspected, and whether it is: then it is shut out.
    pub misses_to_suspect: u32,
    pub suspected: bool,
    /// None of its zone answers probes.
    pub zone_silent: bool,
    /// Its probes are not answered though it answers RPCs.
    pub probes_mislead: bool,
    pub sick: Option<Duration>,
    /// When it was called sick last, and what was told of it since.
    pub called_sick: Duration,
    pub tries_since: u64,
    pub lost_since: u64,
    /// Whether its answers come late or are lost.
    pub late: bool,
    /// Whether ok answers wait there: then lost tries and probes tell of load.
    pub loaded: bool,
    /// Work a second that it was learned to do, and when that was last cut.
    pub limit: Option<f64>,
    pub limited: Option<Duration>,
    /// The part of the work offered that is shut out.
    pub shut_out: f64,
    /// How many methods, from the least critical up, are shut out; the fraction is the next one's share.
    pub line: f64,
}

/// Reports that came together, and the longest stretch that they cover.
#[derive(Clone, Copy, Debug)]
pub struct ReportBatch {
    pub at: Duration,
    pub span: Duration,
}

/// What one batch of reports told of a server.
#[derive(Clone, Copy, Debug)]
pub struct Answers {
    /// When the batch began to come in.
    pub at: Duration,
    pub tries: f64,
    pub oks: f64,
}

impl Server {
    /// The entry of a list that drops it.
    pub fn gone(&self) -> Entry {
        Entry { ep: self.ep, zone: self.zone, listed: Listed::Gone, size: self.size, started: self.started }
    }

    /// Counts what proxies met here.
    pub fn meet(&mut self, now: Duration, half: Duration, met: (u64, u64), wait: Duration, span: Duration) {
        let oks = met.0.saturating_sub(met.1) as f64;
        self.tries_since = self.tries_since.saturating_add(met.0);
        self.lost_since = self.lost_since.saturating_add(met.1);
        self.tries.add(now, half, met.0 as f64, span);
        self.lost.add(now, half, met.1 as f64, span);
        self.oks.add(now, half, oks, span);
        self.waits.add(now, half, oks * wait.as_secs_f64(), span);
        if oks > 0.0 {
            (self.last_ok, self.proven) = (self.last_ok.max(now), true);
            // A last answer that crosses the report does not explain all that it holds.
            let in_hand = self.in_hand.map_or(0.0, |(in_hand, _)| in_hand);
            self.in_hand_at_ok = in_hand.min(self.in_hand_at_ok + oks);
            self.probes_mislead |= self.silent_since.is_some_and(|since| now >= since + half * REPORTS_LAG);
        }
    }

    /// Notes what a batch of reports told.
    pub fn note_answers(&mut self, at: Duration, tries: u64, lost: u64, most: usize) {
        let (tries, oks) = (tries as f64, tries.saturating_sub(lost) as f64);
        match self.answers.back_mut().filter(|last| last.at == at) {
            Some(last) => {
                last.tries += tries;
                last.oks += oks;
            }
            None => self.answers.push_back(Answers { at, tries, oks }),
        }
        if self.answers.len() > most {
            self.answers.pop_front();
        }
    }

    /// A probe was answered: what it missed before was chance, or is over.
    pub fn answer_probe(&mut self, now: Duration) {
        if self.unanswered > 0 {
            self.probes_missed.add(now, TRUST_HALVES, 1.0, Duration::ZERO);
        }
        self.probes_answered.add(now, TRUST_HALVES, 1.0, Duration::ZERO);
        (self.unanswered, self.silent_since, self.probes_mislead) = (0, None, false);
    }

    /// The share of its probes that it missed of late though it was well.
    pub fn miss_rate(&self, now: Duration) -> f64 {
        let missed = self.probes_missed.read(now, TRUST_HALVES);
        missed / (missed + self.probes_answered.read(now, TRUST_HALVES) + 1.0)
    }

    /// It is sick from now on, and left alone until a time.
    pub fn call_sick(&mut self, now: Duration, until: Duration) {
        (self.sick, self.called_sick) = (Some(until), now);
        (self.tries_since, self.lost_since) = (0, 0);
    }

    /// Whether what was told since it was called sick shows that it went on answering RPCs: at least `enough`, of
    /// which less than `share` were lost.
    pub fn served_while_called_sick(&self, share: f64, enough: f64) -> bool {
        let (tries, lost) = (self.tries_since as f64, self.lost_since as f64);
        tries >= enough && lost < share * tries
    }

    /// Whether it has taken in RPCs since an ok answer was told of last, as reported lately: so many, and as many as it
    /// held then.
    pub fn takes_in(&self, now: Duration, fresh: Duration, most: f64) -> bool {
        let in_hand = self.in_hand.filter(|(_, at)| now < *at + fresh);
        in_hand.is_some_and(|(in_hand, _)| in_hand - self.in_hand_at_ok > most.max(self.in_hand_at_ok))
    }

    /// Mean wait of an ok answer in seconds.
    pub fn wait(&self, now: Duration, half: Duration) -> Option<f64> {
        let oks = self.oks.read(now, half);
        (oks >= 1.0).then(|| self.waits.read(now, half) / oks)
    }
}

/// What the measures say of one server against its peers.
#[derive(Clone, Copy, Debug)]
pub struct Symptoms {
    /// Tries of late, and the share of them that was lost there and at the others.
    pub tries: f64,
    pub share: f64,
    pub others: f64,
    /// Since the last ok answer was told of.
    pub silence: Duration,
    /// Mean wait of an ok answer in seconds, and whether that is late, or slow by the server's own measure.
    pub wait: f64,
    pub late: bool,
    pub slow: bool,
    /// Ok answers come, and wait: lost tries and probes tell of too much load.
    pub loaded: bool,
    /// It loses tries that others would not lose.
    pub aborts: bool,
    /// No ok answers, while others have them.
    pub quiet: bool,
    /// No ok answers, although some were due.
    pub silent: bool,
}

#[derive(Clone, Copy, Debug)]
pub struct Proxy {
    pub zone: ZoneId,
    pub joined: bool,
    /// When it joined or left.
    pub since: Duration,
}

/// A handover under way: the owner's writes are stopped, and every proxy must be known to have stopped.
#[derive(Clone, Debug, Default)]
pub struct Handover {
    pub awaits: BTreeMap<ProxyId, Awaited>,
    /// No proxy that has answered sends writes to the old owner after this.
    pub quiet: Duration,
    /// The mark in the message that stops writes; by when that has left the channel to every proxy, once an answer
    /// has told that it was carried out.
    pub stop_mark: u64,
    pub stop_sent: Option<Duration>,
    /// The owner's line is taken away, so reads have stopped too.
    pub cut: bool,
    pub to: Option<usize>,
    /// When writes were stopped, and when the line was taken away; a slice that comes without one never had it.
    pub began: Duration,
    pub cut_at: Option<Duration>,
    /// The proxy that was waited for last, and what ended the wait.
    pub last_heard: Option<(ProxyId, Heard)>,
}

/// What a handover awaits of one proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Awaited {
    pub answer: Answer,
    /// When its write lease ends, where its stream broke before it answered. The lease is the first break's: a proxy
    /// that comes back writes no longer by a table that it held before.
    pub lease_ends: Option<Duration>,
}

/// A proxy's answer in a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It has yet to be told of the handover.
    Untold,
    /// It must answer this mark.
    Due(u64),
    /// It is away.
    Away,
    Given,
}

impl Handover {
    /// After when no proxy sends writes to the old owner; `None`: that is not known yet. A proxy that has not answered
    /// lost its stream before the stop could arrive, or has applied it: its writes end a lease after that at the latest.
    pub fn writes_end(&self, way_most: Duration, lease: Duration) -> Option<Duration> {
        let latest = self.stop_sent.map(|sent| sent + way_most + lease);
        let unheard = self.awaits.values().filter(|awaited| awaited.answer != Answer::Given);
        let mut leases = unheard.map(|awaited| awaited.lease_ends);
        let leases = leases.try_fold(Duration::ZERO, |end, lease| Some(end.max(lease?)));
        // What is told late of a proxy makes it no later for any.
        let heard = leases.map(|leases| leases.max(self.quiet));
        heard.map_or(latest, |heard| Some(latest.map_or(heard, |latest| heard.min(latest))))
    }

    /// Whether a proxy that is joined has yet to answer.
    pub fn awaits_answers(&self) -> bool {
        self.awaits.values().any(|awaited| matches!(awaited.answer, Answer::Untold | Answer::Due(_)))
    }
}

/// What ended a handover's wait for a proxy's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    Answer(Duration),
    /// Its stream broke.
    Left(Duration),
}

/// One that is not ours has neither owner nor handover.
#[derive(Clone, Debug, Default)]
pub struct Slice {
    pub ours: bool,
    pub given: Duration,
    pub owner: Option<usize>,
    pub handover: Option<Handover>,
    pub stays: Duration,
    /// Work that came, by method's soft deadline.
    pub demand: Sum,
    /// The shares that proxies were told, by method.
    pub told: Vec<f64>,
    /// All its methods are shut out, as its owner is suspected.
    pub shut: bool,
}

impl Slice {
    /// The share of its RPCs that proxies were told to let in, by the method that is let in most.
    pub fn let_in(&self) -> f64 {
        self.told.iter().copied().fold(0.0, f64::max).min(1.0)
    }
}

/// What the plan works on: every server's load, room and cost, and each slice's demand.
#[derive(Debug, Default)]
pub struct View {
    pub loads: Vec<f64>,
    /// The part of the loads that our slices make.
    pub own: Vec<f64>,
    pub rooms: Vec<f64>,
    /// Load that our slices may bring each server while it is cold.
    pub cold_budgets: Vec<f64>,
    /// Load that a unit of demand adds.
    pub units: Vec<f64>,
    pub demand: Vec<f64>,
    /// Work a second that each server can do.
    pub limits: Vec<f64>,
    /// The demand for which an idle slice counts on a cold server.
    pub idle: f64,
    pub average: f64,
}

impl View {
    /// A slice that brings so much is to go there.
    pub fn place(&mut self, to: usize, add: f64) {
        self.loads[to] += add;
        self.own[to] += add;
        self.rooms[to] -= add;
    }
}

/// A slice and the server it goes to.
pub type Move = (SliceId, usize);

/// Following the list of servers.
#[derive(Debug, Default)]
pub struct Following {
    /// When to ask for it again.
    pub ask_at: Option<Duration>,
    /// How often that has failed in a row.
    pub failures: u32,
}

/// A plan under way: batches to come, and the one that runs.
#[derive(Debug, Default)]
pub struct Plan {
    /// Rounds in a row that have seen skew.
    pub skewed: u32,
    /// Rounds in a row in which proxies were away.
    pub postponed: u32,
    pub batches: VecDeque<Vec<Move>>,
    pub batch: Vec<SliceId>,
    /// Where operators want slices, until the next plan.
    pub wishes: BTreeMap<SliceId, usize>,
}

/// What the channel is thought to hold.
#[derive(Debug, Default)]
pub struct Channel {
    /// Marks set so far, and whether this reply needs one.
    pub marks: u64,
    pub mark_wanted: bool,
    /// The mark of the last levels that only tune, until it is answered.
    pub tuned: Option<u64>,
    /// Lines that wait, as reckoned at a time.
    pub lines: f64,
    /// Lines of the replies that may not have left yet, by the marks set until then, and when they were sent.
    pub sent: VecDeque<(u64, f64, Duration)>,
    /// The last mark that any proxy has answered, and whether the next one's answer is overdue.
    pub answered: u64,
    pub overdue: bool,
    /// Lines at a proxy that orders still to be written in this reply will need.
    pub due: usize,
    pub at: Duration,
    /// When messages were sent lately.
    pub messages: Vec<Duration>,
    /// The last marks and when each was set, oldest first.
    pub mark_times: VecDeque<(u64, Duration)>,
    pub wake: Duration,
}

/// Marks whose times are remembered: far more than can wait for their answers at a time.
const MARK_TIMES_MOST: usize = 1024;

impl Channel {
    /// Sets the next mark.
    pub fn set_mark(&mut self, now: Duration) {
        self.marks += 1;
        self.mark_times.push_back((self.marks, now));
        if self.mark_times.len() > MARK_TIMES_MOST {
            self.mark_times.pop_front();
        }
    }

    /// When the last mark was set.
    pub fn marked_at(&self) -> Duration {
        self.mark_times.back().map_or(Duration::ZERO, |(_, at)| *at)
    }

    /// When a mark's message took effect at a proxy that answers now, by the time that it took.
    pub fn took_effect(&self, mark: u64, way: Duration, now: Duration) -> Duration {
        let set = self.mark_times.iter().rev().find(|(set, _)| *set == mark);
        set.map_or(now, |(_, at)| now.min(*at + way))
    }

    /// Lines that no answer has told to have left.
    pub fn unanswered(&self) -> f64 {
        self.sent.iter().map(|(_, lines, _)| lines).sum()
    }

    /// Once nothing is reckoned to wait, what was sent before the first unanswered mark has left.
    pub fn forget_left(&mut self) {
        if self.lines <= 0.0 {
            let answered = self.answered;
            self.sent.retain(|(mark, ..)| *mark > answered);
        }
    }

    /// When the first mark was sent that no proxy has answered.
    pub fn answer_due(&self) -> Option<Duration> {
        self.sent.iter().find(|(mark, ..)| *mark > self.answered).map(|(_, _, at)| *at)
    }
}
