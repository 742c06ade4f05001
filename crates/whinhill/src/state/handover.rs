//! The state of handovers: what is known of each proxy, and which handovers of a slice follow one another.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::interface::{HandoverTotals, ProxyId};

/// A handover in progress: writes to the owner are stopped, and every proxy must be known to have stopped them before
/// the next grant.
#[derive(Clone, Debug, Default)]
pub struct Handover {
    /// The proxies whose acknowledgement the grant waits for, or has waited for.
    pub acks: BTreeMap<ProxyId, ProxyAck>,
    /// From then on, neither a proxy that has acknowledged nor one that has never joined this assigner sends writes to
    /// the old owner.
    pub acked_writes_end_at: Duration,
    /// The acknowledgement requested with the message that stops writes.
    pub stop_ack_seq: u64,
    /// By when that message has left the channel to every proxy; known once an acknowledgement shows that it was sent.
    pub stop_sent_by: Option<Duration>,
    /// The same by the answer to the call with the message. It counts once an acknowledgement shows that the channel
    /// sends at all.
    pub answered_stop_sent_by: Option<Duration>,
    /// Which RPCs are stopped at the old owner.
    pub stop: StopStage,
    /// The server that is to own the slice; `None`: it is chosen with the grant.
    pub destination: Option<usize>,
    /// When writes were stopped.
    pub started_at: Duration,
    /// When all RPCs were stopped; for a slice that was acquired without a line, when it was acquired.
    pub all_stopped_at: Option<Duration>,
    /// The proxy whose wait ended last, and what ended it.
    pub last_wait_ended: Option<(ProxyId, WaitEnd)>,
}

/// Which RPCs of its slice a handover has stopped at the old owner, and how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StopStage {
    /// Levels reject writes.
    #[default]
    Writes,
    /// Levels reject all RPCs. The owner's line stays until the grant replaces it, so that no proxy lacks a line.
    AllRpcs,
    /// The slice has no line: the owner's was revoked, or the slice was acquired without one.
    NoLine,
}

/// What a handover knows of one proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProxyAck {
    pub state: AckState,
    /// When its write lease ends, if its stream broke before it acknowledged. The lease counts from the last break
    /// before which the proxy may have read a store without the stop: one that comes back later reads the stop, and
    /// writes no more, whether its stream breaks again or not.
    pub lease_ends_at: Option<Duration>,
}

/// Whether a proxy has acknowledged that it sends no more writes to the old owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AckState {
    /// It has yet to be notified: it joined during the handover, or it was joined when the slice was acquired.
    NotNotified,
    /// It must acknowledge this sequence number or a later one.
    Pending(u64),
    /// Its stream is broken.
    Disconnected,
    Acknowledged,
}

impl Handover {
    /// From when on no proxy sends writes to the old owner; `None`: that is not known yet. A proxy that has not
    /// acknowledged lost its stream before the stop could arrive, or has applied it: its writes end a lease after that
    /// at the latest.
    pub fn writes_end_at(&self, max_transit: Duration, lease: Duration) -> Option<Duration> {
        let latest = self.stop_sent_by.map(|sent_by| sent_by + max_transit + lease);
        let unacknowledged = self.acks.values().filter(|ack| ack.state != AckState::Acknowledged);
        let mut leases = unacknowledged.map(|ack| ack.lease_ends_at);
        let leases_end = leases.try_fold(Duration::ZERO, |end, lease_end| Some(end.max(lease_end?)));
        let known_end = leases_end.map(|end| end.max(self.acked_writes_end_at));
        // The latest end holds for every proxy: what is learned late of one must not extend the wait beyond it.
        match (known_end, latest) {
            (Some(known_end), Some(latest)) => Some(known_end.min(latest)),
            (Some(known_end), None) => Some(known_end),
            (None, latest) => latest,
        }
    }

    /// Whether all RPCs are stopped, not only writes.
    pub fn stops_all(&self) -> bool {
        self.stop != StopStage::Writes
    }

    /// Whether the slice has no line.
    pub fn has_no_line(&self) -> bool {
        self.stop == StopStage::NoLine
    }

    /// For how long all RPCs have been stopped.
    pub fn time_all_stopped(&self, now: Duration) -> Duration {
        self.all_stopped_at.map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }

    /// For how long the slice has had no line.
    pub fn time_without_line(&self, now: Duration) -> Duration {
        if self.has_no_line() {
            self.time_all_stopped(now)
        } else {
            Duration::ZERO
        }
    }

    /// Whether a joined proxy has yet to acknowledge.
    pub fn awaits_acks(&self) -> bool {
        self.acks.values().any(|ack| matches!(ack.state, AckState::NotNotified | AckState::Pending(_)))
    }
}

/// What ended a handover's wait for a proxy, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitEnd {
    Acknowledged(Duration),
    /// Its stream broke: from then on its write lease is waited for.
    Disconnected(Duration),
}

/// Handovers of one slice, each of which started soon after the former one's grant: a proxy that was away at the grants
/// between them has not seen them.
#[derive(Clone, Copy, Debug, Default)]
pub struct HandoverSeries {
    /// The number of handovers.
    pub length: usize,
    /// When the first of them started.
    pub began_at: Duration,
    /// For how long all RPCs were stopped in those of them that have ended.
    pub all_stopped: Duration,
    /// For how long the slice had no line in them.
    pub without_line: Duration,
    /// When the last of them ended with a grant.
    pub granted_at: Duration,
}

impl HandoverSeries {
    /// Counts a handover that starts now. It continues the series if the last grant is at most `max_gap` ago.
    pub fn start_handover(&mut self, now: Duration, max_gap: Duration) {
        if self.length == 0 || now > self.granted_at + max_gap {
            *self = HandoverSeries { began_at: now, ..HandoverSeries::default() };
        }
        self.length += 1;
    }

    /// Counts the grant that ends a handover.
    pub fn end_handover(&mut self, now: Duration, handover: &Handover) {
        self.granted_at = now;
        self.all_stopped += handover.time_all_stopped(now);
        self.without_line += handover.time_without_line(now);
    }
}

impl HandoverTotals {
    /// Counts a handover that ended with a grant, and the series that it belongs to.
    pub(crate) fn record(&mut self, took: Duration, series: &HandoverSeries) {
        self.grants += 1;
        self.longest_duration = self.longest_duration.max(took);
        self.longest_series = self.longest_series.max(series.length);
        self.most_time_all_stopped = self.most_time_all_stopped.max(series.all_stopped);
        self.most_time_without_line = self.most_time_without_line.max(series.without_line);
    }
}
