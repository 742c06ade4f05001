//! Streams between proxies and assigners: they break, fall silent, come back, and lose the answers to marks.
//!
//! A proxy whose stream is lost goes on with what it holds, writes for the write lease only, and reads the store within
//! a second once the stream is back. Messages that were on their way to it are lost.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::Rng;

use super::page::{READS_STORE_WITHIN, SLICES, WRITE_LEASE, ZONES};
use super::sabotage::Sabotage;
use super::world::{Effect, Table, World};

/// What happens to streams of one assigner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamTrouble {
    /// Some are reset, and back soon.
    Reset,
    /// One is silent and goes on as if nothing had been.
    Silent,
    /// One is silent, breaks, and is back.
    SilentThenGone,
    /// One breaks and is back again and again, each second.
    Flapping,
    /// All are reset one after the other.
    Restarts,
    /// Those of a zone are reset at once.
    Zone,
    /// One proxy's answers to marks are lost.
    LostAnswers,
    /// One proxy's answers to marks come late.
    LateAnswers,
}

/// All of them.
pub const STREAM_TROUBLES: [StreamTrouble; 8] = [
    StreamTrouble::Reset,
    StreamTrouble::Silent,
    StreamTrouble::SilentThenGone,
    StreamTrouble::Flapping,
    StreamTrouble::Restarts,
    StreamTrouble::Zone,
    StreamTrouble::LostAnswers,
    StreamTrouble::LateAnswers,
];

/// Part of the streams that are reset at a time.
const RESET_PART: f64 = 0.25;
/// The relay notices a broken stream within this.
const NOTICED_WITHIN: Duration = Duration::from_millis(2600);
/// A broken stream is back within this.
const BACK_WITHIN: Duration = Duration::from_secs(2);
/// A stream that flaps stands for so long, and is away for so long.
const FLAP_STANDS: Duration = Duration::from_millis(500);
const FLAP_AWAY: Duration = Duration::from_millis(500);
/// Between two of a series of restarts.
const RESTARTS_EVERY: Duration = Duration::from_millis(300);
/// Answers come late by this.
const ANSWERS_LATE: Duration = Duration::from_millis(2500);

/// The proxy whose stream is lost where marks are sabotaged.
const SABOTAGED: usize = 0;

/// How a stream stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    #[default]
    Up,
    /// It is lost, whether the relay has noticed or not.
    Lost,
}

/// A proxy's stream to one assigner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stream {
    pub state: State,
    /// The assigner was told that the proxy has left.
    pub left: bool,
    /// The proxy reads the store then.
    pub reads_at: Option<Duration>,
    /// Answers to marks are lost, or late, until then.
    pub answers_lost_until: Duration,
    pub answers_late_until: Duration,
    /// It goes on where it fell silent: the last mark reaches it with all that waited.
    owes_answer: bool,
    /// Each loss has a number of its own; what was planned for an earlier one no longer happens.
    losses: u32,
}

/// What is planned for a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Lose,
    Notice,
    Return,
    /// It goes on without a word.
    Resume,
}

/// A step that is due at a time, for the loss with a number.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    at: Duration,
    proxy: usize,
    node: usize,
    step: Step,
    /// `None`: whatever has happened.
    loss: Option<u32>,
}

/// A proxy's answer to a mark, on its way to the assigner.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    at: Duration,
    proxy: usize,
    node: usize,
    mark: u16,
    /// From the order until it took effect.
    way: Duration,
}

impl World {
    /// Whether a proxy counts as joined to the holder of a slice.
    pub fn is_joined(&self, proxy: usize, slice: usize) -> bool {
        let holder = self.slices[slice].holder;
        holder.is_some_and(|node| self.streams[proxy][node].state == State::Up)
    }

    /// Whether a proxy sends writes of a slice: its stream stands, or its lease runs.
    pub fn may_write(&self, proxy: usize, slice: usize) -> bool {
        self.write_leases[proxy][slice].is_none_or(|end| self.now() < end)
    }

    /// Something happens to streams of an assigner for a time.
    pub fn trouble_streams(&mut self, node: usize, trouble: StreamTrouble, time: Duration) {
        let now = self.now();
        let all: Vec<usize> = (0..self.proxies).collect();
        let one = self.random.random_range(0..self.proxies);
        match trouble {
            StreamTrouble::Reset => {
                let count = (self.proxies as f64 * RESET_PART).ceil() as usize;
                let some: Vec<usize> = all.choose_multiple(&mut self.random, count).copied().collect();
                some.into_iter().for_each(|proxy| self.reset_stream(proxy, node, now));
            }
            StreamTrouble::Zone => {
                let zone = self.random.random_range(0..ZONES.len());
                let here = all.into_iter().filter(|proxy| proxy % ZONES.len() == zone);
                here.for_each(|proxy| self.reset_stream(proxy, node, now));
            }
            StreamTrouble::Restarts => {
                for (place, proxy) in all.into_iter().enumerate() {
                    self.reset_stream(proxy, node, now + RESTARTS_EVERY * place as u32);
                }
            }
            StreamTrouble::Flapping => {
                let mut at = now;
                while at < now + time {
                    self.plan(at, one, node, Step::Lose);
                    self.plan(at, one, node, Step::Notice);
                    self.plan(at + FLAP_AWAY, one, node, Step::Return);
                    at += FLAP_AWAY + FLAP_STANDS;
                }
            }
            StreamTrouble::Silent => {
                self.lose_stream(one, node);
                self.plan_for_loss(now + time, one, node, Step::Resume);
            }
            StreamTrouble::SilentThenGone => {
                self.lose_stream(one, node);
                self.plan_for_loss(now + time, one, node, Step::Notice);
                self.plan_for_loss(now + time + FLAP_AWAY, one, node, Step::Return);
            }
            StreamTrouble::LostAnswers => self.streams[one][node].answers_lost_until = now + time,
            StreamTrouble::LateAnswers => self.streams[one][node].answers_late_until = now + time,
        }
    }

    /// A stream breaks, is noticed and comes back.
    fn reset_stream(&mut self, proxy: usize, node: usize, at: Duration) {
        let noticed = at + self.random.random_range(Duration::ZERO..NOTICED_WITHIN);
        let back = noticed + self.random.random_range(Duration::from_millis(100)..BACK_WITHIN);
        self.plan(at, proxy, node, Step::Lose);
        self.plan(noticed, proxy, node, Step::Notice);
        self.plan(back, proxy, node, Step::Return);
    }

    fn plan(&mut self, at: Duration, proxy: usize, node: usize, step: Step) {
        self.planned.push(Planned { at, proxy, node, step, loss: None });
    }

    fn plan_for_loss(&mut self, at: Duration, proxy: usize, node: usize, step: Step) {
        let loss = Some(self.streams[proxy][node].losses);
        self.planned.push(Planned { at, proxy, node, step, loss });
    }

    /// Does what is due to streams.
    pub(super) fn step_streams(&mut self) {
        let now = self.now();
        let mut due: Vec<Planned> = self.planned.extract_if(.., |planned| planned.at <= now).collect();
        due.sort_by_key(|planned| planned.at);
        for Planned { proxy, node, step, loss, .. } in due {
            let stream = self.streams[proxy][node];
            if loss.is_some_and(|loss| loss != stream.losses) {
                continue;
            }
            match step {
                Step::Lose => self.lose_stream(proxy, node),
                Step::Notice => self.notice(proxy, node),
                Step::Return if stream.left => self.join(proxy, node),
                Step::Resume if stream.state == State::Lost && !stream.left => {
                    self.streams[proxy][node].owes_answer = true;
                    self.come_up(proxy, node);
                }
                Step::Return | Step::Resume => {}
            }
        }
        for proxy in 0..self.proxies {
            for node in 0..self.nodes.len() {
                let reads_at = &mut self.streams[proxy][node].reads_at;
                if reads_at.take_if(|at| *at <= now).is_some() {
                    self.read_store(proxy, node);
                }
            }
        }
    }

    fn lose_stream(&mut self, proxy: usize, node: usize) {
        let now = self.now();
        let stream = &mut self.streams[proxy][node];
        if stream.state == State::Lost {
            return;
        }
        (stream.state, stream.reads_at, stream.owes_answer) = (State::Lost, None, false);
        stream.losses += 1;
        self.note(format!("proxy {proxy} loses its stream to n{node}"));
        self.lose_messages(proxy, node);
        for slice in (0..SLICES).filter(|slice| self.slices[*slice].holder == Some(node)).collect::<Vec<_>>()
        {
            self.start_lease(proxy, slice, now);
        }
    }

    /// A write lease that runs already is not made longer.
    pub(super) fn start_lease(&mut self, proxy: usize, slice: usize, from: Duration) {
        let lease = &mut self.write_leases[proxy][slice];
        lease.get_or_insert(from + WRITE_LEASE);
    }

    /// The relay notices a lost stream and tells the assigner.
    fn notice(&mut self, proxy: usize, node: usize) {
        let stream = &mut self.streams[proxy][node];
        if stream.state == State::Lost && !stream.left {
            stream.left = true;
            self.tell(node, &format!("* bye {proxy}\r\n"));
        }
    }

    fn join(&mut self, proxy: usize, node: usize) {
        self.streams[proxy][node].left = false;
        let zone = ZONES[proxy % ZONES.len()];
        self.tell(node, &format!("* hello {proxy} {zone} 5.0 0\r\n"));
        self.come_up(proxy, node);
    }

    fn come_up(&mut self, proxy: usize, node: usize) {
        let within = self.random.random_range(Duration::ZERO..READS_STORE_WITHIN);
        let reads_at = self.now() + within;
        let stream = &mut self.streams[proxy][node];
        (stream.state, stream.reads_at) = (State::Up, Some(reads_at));
        self.note(format!("proxy {proxy} has its stream to n{node} back"));
    }

    /// A proxy reads the tables of an assigner's slices.
    fn read_store(&mut self, proxy: usize, node: usize) {
        for slice in 0..SLICES {
            if self.slices[slice].holder == Some(node) {
                self.read_slice(proxy, slice);
            }
        }
        self.note(format!("proxy {proxy} has read the store of n{node}"));
        let owes = std::mem::take(&mut self.streams[proxy][node].owes_answer);
        if let Some(mark) = self.nodes[node].last_mark.filter(|_| owes) {
            self.answer_mark(proxy, node, mark, Duration::ZERO);
        }
    }

    pub(super) fn read_slice(&mut self, proxy: usize, slice: usize) {
        let (line, levels, now) = (self.slices[slice].line, self.slices[slice].levels, self.now());
        self.tables[proxy][slice] = Table { server: line, levels, as_of: now };
        self.write_leases[proxy][slice] = None;
    }

    /// A slice has changed hands: proxies whose streams to its holder stand read it; the others go on for a lease.
    pub(super) fn hand_over(&mut self, slice: usize) {
        let now = self.now();
        for proxy in 0..self.proxies {
            let stream = self.slices[slice].holder.map(|node| self.streams[proxy][node]);
            let reads = |stream: Stream| stream.state == State::Up && stream.reads_at.is_none();
            if stream.map_or(self.write_leases[proxy][slice].is_none(), reads) {
                self.read_slice(proxy, slice);
            } else {
                self.start_lease(proxy, slice, now);
            }
        }
    }

    /// A proxy answers a mark.
    pub(super) fn answer_mark(&mut self, proxy: usize, node: usize, mark: u16, way: Duration) {
        let (now, stream) = (self.now(), self.streams[proxy][node]);
        if now < stream.answers_lost_until {
            return;
        }
        let late = if now < stream.answers_late_until { ANSWERS_LATE } else { Duration::ZERO };
        self.answers.push(Answer { at: now + late, proxy, node, mark, way: way + late });
    }

    /// Where marks are sabotaged one proxy loses its stream just before each order that stops writes.
    pub(super) fn lose_stops(&mut self, node: usize, effects: &[Effect]) {
        let stops = |effect: &Effect| match effect {
            Effect::Level { share, .. } => *share == 0.0,
            Effect::Line { server, .. } => server.is_none(),
            Effect::Mark { .. } => false,
        };
        let stands = self.streams[SABOTAGED][node].state == State::Up;
        if self.sabotage == Some(Sabotage::EarlyAnswers) && stands && effects.iter().any(stops) {
            self.lose_stream(SABOTAGED, node);
            self.plan_for_loss(self.now() + WRITE_LEASE, SABOTAGED, node, Step::Resume);
        }
    }

    /// Where marks are sabotaged a proxy answers those that do not reach it.
    pub(super) fn answer_unread_marks(&mut self, proxy: usize, effects: &[Effect]) {
        if self.sabotage != Some(Sabotage::EarlyAnswers) {
            return;
        }
        for effect in effects {
            if let Effect::Mark { node, mark } = *effect {
                self.answer_mark(proxy, node, mark, Duration::ZERO);
            }
        }
    }

    /// Tells answers that are due.
    pub(super) fn tell_answers(&mut self) {
        let now = self.now();
        let due: Vec<Answer> = self.answers.extract_if(.., |answer| answer.at <= now).collect();
        for Answer { proxy, node, mark, way, .. } in due {
            if !self.streams[proxy][node].left {
                let way = way.as_secs_f64() * 1e3;
                self.tell(node, &format!("* ack {proxy} {mark} {way:.1}\r\n"));
            }
        }
    }
}
