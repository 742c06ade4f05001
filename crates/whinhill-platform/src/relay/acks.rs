//! Requests for acks: when each was ordered and accepted, and what its answers prove.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Ack sequence numbers whose times are kept: far more than can await acknowledgement at a time.
const MAX_TRACKED_ACKS: usize = 1024;
/// Upper bound of a transit time that a proxy reports. Where it is not known which of several calls an acknowledgement
/// answers, the assigner is given at least this long a transit: longer than any real one, so that it takes the orders
/// to have taken effect just now.
pub(super) const MAX_TRANSIT: Duration = Duration::from_secs(3600);

/// When an ack was requested, and by when the call that carried the request had certainly been accepted, if it was.
/// That is unknown while the request is in flight, also for the second time.
#[derive(Clone, Copy, Debug)]
struct AckTimes {
    ack_seq: u16,
    ordered_at: Duration,
    accepted_at: Option<Duration>,
}

/// The requests for acks that calls carry.
#[derive(Debug, Default)]
pub struct AckTracker {
    times: VecDeque<AckTimes>,
    last_requested: Option<u16>,
    /// Requests in calls that the relay answered, and when it did, oldest first, until it is proved that their orders
    /// were stored before any join that has yet to be reported.
    answered: VecDeque<(u16, Duration)>,
    /// The newest of them since [`AckTracker::take_answered`] was last called.
    last_answered: Option<u16>,
    /// Requests whose orders are proved to be in the store since [`AckTracker::take_stored`] was last called.
    stored: BTreeSet<u16>,
}

impl AckTracker {
    /// Notes that an ack is requested for orders the first of which were given at `ordered_at`.
    pub(super) fn track(&mut self, ack_seq: u16, ordered_at: Duration) {
        self.times.retain(|times| times.ack_seq != ack_seq);
        self.times.push_back(AckTimes { ack_seq, ordered_at, accepted_at: None });
        if self.times.len() > MAX_TRACKED_ACKS {
            self.times.pop_front();
        }
        self.last_requested = Some(ack_seq);
    }

    /// The last ack that was requested.
    pub(super) fn last_requested(&self) -> Option<u16> {
        self.last_requested
    }

    /// Sets by when the call with a request had certainly been accepted, if it was; `None` while that is unknown.
    pub(super) fn set_accepted(&mut self, ack_seq: u16, accepted_at: Option<Duration>) {
        self.times
            .iter_mut()
            .filter(|times| times.ack_seq == ack_seq)
            .for_each(|times| times.accepted_at = accepted_at);
    }

    /// Notes that the relay answered the call with a request.
    pub(super) fn note_answered(&mut self, ack_seq: u16, now: Duration) {
        self.last_answered = Some(ack_seq);
        self.answered.push_back((ack_seq, now));
        if self.answered.len() > MAX_TRACKED_ACKS {
            self.answered.pop_front();
        }
    }

    /// Takes the newest request in a call that the relay has answered since the last call of this method. All orders
    /// before it were carried out.
    pub fn take_answered(&mut self) -> Option<u16> {
        self.last_answered.take()
    }

    /// Notes an ack that the relay watch reported in sequence with joins and breaks of proxies: the store had the
    /// orders up to its request before whatever is reported after it.
    pub fn note_acked_in_sequence(&mut self, ack_seq: u16) {
        self.stored.insert(ack_seq);
    }

    /// Takes the requests whose orders the store had before any proxy joined that has yet to be reported: a proxy has
    /// acknowledged them, or the relay answered the call at `answered_by` or earlier. An answer comes on another
    /// connection than joins do, so `answered_by` must be so long ago that joins before it have been reported.
    pub fn take_stored(&mut self, answered_by: Duration) -> BTreeSet<u16> {
        let is_old = |(_, at): &(u16, Duration)| *at <= answered_by;
        while let Some((ack_seq, _)) = self.answered.pop_front_if(|answered| is_old(answered)) {
            self.stored.insert(ack_seq);
        }
        std::mem::take(&mut self.stored)
    }

    /// The transit time from the assigner's order until its effect at a proxy. A proxy reports `transit`, the time from
    /// the call on. The time before the call, in the queue or in calls that had to be sent again, is added
    /// here; otherwise writes would be assumed to have ended before they have.
    pub fn transit_since_order(&self, now: Duration, ack_seq: u16, transit: Duration) -> Duration {
        let times = self.times.iter().find(|times| times.ack_seq == ack_seq);
        // A proxy may report any time. The bound keeps sums of it from overflowing.
        let transit = transit.min(MAX_TRANSIT);
        times.map_or(MAX_TRANSIT, |times| {
            times.accepted_at.unwrap_or(now).saturating_sub(times.ordered_at) + transit
        })
    }
}
