//! Streams between proxies and assigners: they break, are silent, return, and lose
//! acknowledgements.
//!
//! A proxy whose stream is lost keeps its tables, sends writes only for the write lease, and reads
//! the store within a second once the stream is back. Messages in transit to it are lost.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::Rng;

use super::parameters::{MAX_STORE_READ_DELAY, SLICES, ZONES};
use super::sabotage::Sabotage;
use super::state::{Effect, PlatformState, Table};

/// What happens to the streams of one assigner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamTrouble {
    /// Some streams are reset and soon return.
    Reset,
    /// One stream is silent and then resumes as if nothing had happened.
    Silent,
    /// One stream is silent, breaks, and returns.
    SilentThenGone,
    /// One stream breaks and returns each second.
    Flapping,
    /// All streams are reset one after the other.
    Restarts,
    /// All streams of a zone are reset at once.
    Zone,
    /// Acknowledgements of one proxy are lost.
    LostAnswers,
    /// Acknowledgements of one proxy come late.
    LateAnswers,
}

/// All kinds of stream trouble.
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

/// The fraction of the streams that are reset at once.
const RESET_FRACTION: f64 = 0.25;
/// The longest time until the relay notices a broken stream.
const MAX_NOTICE_DELAY: Duration = Duration::from_millis(2600);
/// The longest time from when the relay has noticed a broken stream until it returns.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(2);
/// How long a flapping stream is up, and how long it is down.
const FLAP_UP_TIME: Duration = Duration::from_millis(500);
const FLAP_DOWN_TIME: Duration = Duration::from_millis(500);
/// Time between two resets in a series of restarts.
const RESTART_INTERVAL: Duration = Duration::from_millis(300);
/// Delay of late acknowledgements.
const ACK_DELAY: Duration = Duration::from_millis(2500);

/// The proxy whose stream is lost when acknowledgements are sabotaged.
const SABOTAGED_PROXY: usize = 0;

/// Whether a stream is up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StreamState {
    #[default]
    Up,
    /// The stream is lost, whether or not the relay has noticed.
    Lost,
}

/// A proxy's stream to one assigner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stream {
    pub state: StreamState,
    /// The assigner was notified that the proxy has left.
    pub left: bool,
    /// When the proxy reads the store.
    pub store_read_at: Option<Duration>,
    /// Acknowledgements are lost, or late, until then.
    pub acks_lost_until: Duration,
    pub acks_late_until: Duration,
    /// The stream resumes after a silence: the proxy then receives the last acknowledgement request
    /// with all that was queued.
    ack_pending: bool,
    /// The number of losses so far. A step that was planned for an earlier loss is skipped.
    losses: u32,
}

/// A planned step of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamStep {
    Lose,
    Notice,
    Return,
    /// The stream resumes without a notification.
    Resume,
}

/// A step with its due time and the loss that it belongs to.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStep {
    at: Duration,
    proxy: usize,
    node: usize,
    step: StreamStep,
    /// `None` if the step applies to any loss.
    loss: Option<u32>,
}

/// A proxy's acknowledgement on its way to the assigner.
#[derive(Clone, Copy, Debug)]
pub struct Ack {
    at: Duration,
    proxy: usize,
    node: usize,
    ack_seq: u16,
    /// Time from sending the order until it took effect.
    transit: Duration,
}

impl PlatformState {
    /// Whether a proxy counts as joined to the holder of a slice.
    pub fn is_joined(&self, proxy: usize, slice: usize) -> bool {
        let holder = self.slices[slice].holder;
        holder.is_some_and(|node| self.streams[proxy][node].state == StreamState::Up)
    }

    /// Whether a proxy may send writes of a slice: its stream is up, or its write lease has not
    /// expired.
    pub fn may_write(&self, proxy: usize, slice: usize) -> bool {
        self.write_leases[proxy][slice].is_none_or(|end| self.now() < end)
    }

    /// Applies a trouble to streams of an assigner for a time.
    pub fn apply_stream_trouble(&mut self, node: usize, trouble: StreamTrouble, time: Duration) {
        let now = self.now();
        let all: Vec<usize> = (0..self.proxies).collect();
        let drawn = self.random.random_range(0..self.proxies);
        match trouble {
            StreamTrouble::Reset => {
                let count = (self.proxies as f64 * RESET_FRACTION).ceil() as usize;
                let some: Vec<usize> = all.choose_multiple(&mut self.random, count).copied().collect();
                some.into_iter().for_each(|proxy| self.reset_stream(proxy, node, now));
            }
            StreamTrouble::Zone => {
                let zone = self.random.random_range(0..ZONES.len());
                let in_zone = all.into_iter().filter(|proxy| proxy % ZONES.len() == zone);
                in_zone.for_each(|proxy| self.reset_stream(proxy, node, now));
            }
            StreamTrouble::Restarts => {
                for (index, proxy) in all.into_iter().enumerate() {
                    self.reset_stream(proxy, node, now + RESTART_INTERVAL * index as u32);
                }
            }
            StreamTrouble::Flapping => {
                let mut at = now;
                while at < now + time {
                    self.plan(at, drawn, node, StreamStep::Lose);
                    self.plan(at, drawn, node, StreamStep::Notice);
                    self.plan(at + FLAP_DOWN_TIME, drawn, node, StreamStep::Return);
                    at += FLAP_DOWN_TIME + FLAP_UP_TIME;
                }
            }
            StreamTrouble::Silent => {
                self.lose_stream(drawn, node);
                self.plan_for_loss(now + time, drawn, node, StreamStep::Resume);
            }
            StreamTrouble::SilentThenGone => {
                self.lose_stream(drawn, node);
                self.plan_for_loss(now + time, drawn, node, StreamStep::Notice);
                self.plan_for_loss(now + time + FLAP_DOWN_TIME, drawn, node, StreamStep::Return);
            }
            StreamTrouble::LostAnswers => self.streams[drawn][node].acks_lost_until = now + time,
            StreamTrouble::LateAnswers => self.streams[drawn][node].acks_late_until = now + time,
        }
    }

    /// Loses a stream, which is noticed at once and returns at a time.
    pub(super) fn lose_stream_until(&mut self, proxy: usize, node: usize, back: Duration) {
        let now = self.now();
        self.plan(now, proxy, node, StreamStep::Lose);
        self.plan(now, proxy, node, StreamStep::Notice);
        self.plan(back, proxy, node, StreamStep::Return);
    }

    /// Plans that a stream breaks, is noticed and returns.
    fn reset_stream(&mut self, proxy: usize, node: usize, at: Duration) {
        let noticed_at = at + self.random.random_range(Duration::ZERO..MAX_NOTICE_DELAY);
        let back = noticed_at + self.random.random_range(Duration::from_millis(100)..MAX_RETURN_DELAY);
        self.plan(at, proxy, node, StreamStep::Lose);
        self.plan(noticed_at, proxy, node, StreamStep::Notice);
        self.plan(back, proxy, node, StreamStep::Return);
    }

    fn plan(&mut self, at: Duration, proxy: usize, node: usize, step: StreamStep) {
        self.planned.push(PlannedStep { at, proxy, node, step, loss: None });
    }

    fn plan_for_loss(&mut self, at: Duration, proxy: usize, node: usize, step: StreamStep) {
        let loss = Some(self.streams[proxy][node].losses);
        self.planned.push(PlannedStep { at, proxy, node, step, loss });
    }

    /// Performs the planned steps that are due.
    pub(super) fn run_planned_steps(&mut self) {
        let now = self.now();
        let mut due: Vec<PlannedStep> = self.planned.extract_if(.., |planned| planned.at <= now).collect();
        due.sort_by_key(|planned| planned.at);
        for PlannedStep { proxy, node, step, loss, .. } in due {
            let stream = self.streams[proxy][node];
            if loss.is_some_and(|loss| loss != stream.losses) {
                continue;
            }
            match step {
                StreamStep::Lose => self.lose_stream(proxy, node),
                StreamStep::Notice => self.notice_loss(proxy, node),
                StreamStep::Return if stream.left => self.rejoin(proxy, node),
                StreamStep::Resume if stream.state == StreamState::Lost && !stream.left => {
                    self.streams[proxy][node].ack_pending = true;
                    self.bring_up(proxy, node);
                }
                StreamStep::Return | StreamStep::Resume => {}
            }
        }
        for proxy in 0..self.proxies {
            for node in 0..self.nodes.len() {
                let store_read_at = &mut self.streams[proxy][node].store_read_at;
                if store_read_at.take_if(|at| *at <= now).is_some() {
                    self.read_store(proxy, node);
                }
            }
        }
    }

    fn lose_stream(&mut self, proxy: usize, node: usize) {
        let now = self.now();
        let stream = &mut self.streams[proxy][node];
        if stream.state == StreamState::Lost {
            return;
        }
        (stream.state, stream.store_read_at, stream.ack_pending) = (StreamState::Lost, None, false);
        stream.losses += 1;
        self.note(format!("proxy {proxy} loses its stream to n{node}"));
        self.drop_messages(proxy, node);
        for slice in (0..SLICES).filter(|slice| self.slices[*slice].holder == Some(node)).collect::<Vec<_>>()
        {
            self.start_lease(proxy, slice, now);
        }
    }

    /// Starts a write lease; one that already runs is not extended.
    pub(super) fn start_lease(&mut self, proxy: usize, slice: usize, from: Duration) {
        let lease_end = from + self.site.timing.timing().write_lease;
        self.write_leases[proxy][slice].get_or_insert(lease_end);
    }

    /// The relay notices a lost stream and notifies the assigner.
    fn notice_loss(&mut self, proxy: usize, node: usize) {
        let stream = &mut self.streams[proxy][node];
        if stream.state == StreamState::Lost && !stream.left {
            stream.left = true;
            self.notify(node, &format!("* bye {proxy}\r\n"));
        }
    }

    fn rejoin(&mut self, proxy: usize, node: usize) {
        self.streams[proxy][node].left = false;
        let zone = ZONES[proxy % ZONES.len()];
        self.notify(node, &format!("* hello {proxy} {zone} 5.0 0\r\n"));
        self.bring_up(proxy, node);
    }

    fn bring_up(&mut self, proxy: usize, node: usize) {
        let read_delay = self.random.random_range(Duration::ZERO..MAX_STORE_READ_DELAY);
        let store_read_at = self.now() + read_delay;
        let stream = &mut self.streams[proxy][node];
        (stream.state, stream.store_read_at) = (StreamState::Up, Some(store_read_at));
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
        let ack_pending = std::mem::take(&mut self.streams[proxy][node].ack_pending);
        if let Some(ack_seq) = self.nodes[node].last_ack_seq.filter(|_| ack_pending) {
            self.send_ack(proxy, node, ack_seq, Duration::ZERO);
        }
    }

    pub(super) fn read_slice(&mut self, proxy: usize, slice: usize) {
        let (line, levels, now) = (self.slices[slice].line, self.slices[slice].levels, self.now());
        self.tables[proxy][slice] = Table { server: line, levels, as_of: now };
        self.write_leases[proxy][slice] = None;
    }

    /// Handles a change of a slice's holder: proxies whose stream to the new holder is up read the
    /// slice; the others continue for a write lease.
    pub(super) fn on_holder_change(&mut self, slice: usize) {
        let now = self.now();
        for proxy in 0..self.proxies {
            let stream = self.slices[slice].holder.map(|node| self.streams[proxy][node]);
            let reads = |stream: Stream| stream.state == StreamState::Up && stream.store_read_at.is_none();
            if stream.map_or(self.write_leases[proxy][slice].is_none(), reads) {
                self.read_slice(proxy, slice);
            } else {
                self.start_lease(proxy, slice, now);
            }
        }
    }

    /// A proxy sends an acknowledgement, unless its acknowledgements are currently lost.
    pub(super) fn send_ack(&mut self, proxy: usize, node: usize, ack_seq: u16, transit: Duration) {
        let (now, stream) = (self.now(), self.streams[proxy][node]);
        if now < stream.acks_lost_until {
            return;
        }
        let late = if now < stream.acks_late_until { ACK_DELAY } else { Duration::ZERO };
        self.acks.push(Ack { at: now + late, proxy, node, ack_seq, transit: transit + late });
    }

    /// If acknowledgements are sabotaged, one proxy loses its stream just before each order that
    /// stops writes.
    pub(super) fn lose_stream_before_stops(&mut self, node: usize, effects: &[Effect]) {
        let stops = |effect: &Effect| match effect {
            Effect::Level { share, .. } => *share == 0.0,
            Effect::Line { server, .. } => server.is_none(),
            Effect::AckRequest { .. } => false,
        };
        let is_up = self.streams[SABOTAGED_PROXY][node].state == StreamState::Up;
        if self.sabotage == Some(Sabotage::EarlyAnswers) && is_up && effects.iter().any(stops) {
            self.lose_stream(SABOTAGED_PROXY, node);
            let resumes_at = self.now() + self.site.timing.timing().write_lease;
            self.plan_for_loss(resumes_at, SABOTAGED_PROXY, node, StreamStep::Resume);
        }
    }

    /// If acknowledgements are sabotaged, a proxy acknowledges requests that do not reach it.
    pub(super) fn ack_unreceived(&mut self, proxy: usize, effects: &[Effect]) {
        if self.sabotage != Some(Sabotage::EarlyAnswers) {
            return;
        }
        for effect in effects {
            if let Effect::AckRequest { node, ack_seq } = *effect {
                self.send_ack(proxy, node, ack_seq, Duration::ZERO);
            }
        }
    }

    /// Delivers the acknowledgements that are due.
    pub(super) fn deliver_acks(&mut self) {
        let now = self.now();
        let due: Vec<Ack> = self.acks.extract_if(.., |answer| answer.at <= now).collect();
        for Ack { proxy, node, ack_seq, transit, .. } in due {
            if !self.streams[proxy][node].left {
                let transit = transit.as_secs_f64() * 1e3;
                self.notify(node, &format!("* ack {proxy} {ack_seq} {transit:.1}\r\n"));
            }
        }
    }
}
