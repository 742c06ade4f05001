//! A queue of deadlines with at most one for each kind.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use whinhill_platform::relay::watch::WatchSlot;

use crate::connections::Id;

/// What happens when a deadline is reached. Deadlines for the same instant are handled in the order of the
/// variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineKind {
    /// Pending events are handed to the module.
    Batch,
    /// The module asked to be woken.
    Wake,
    /// A relay watch has been silent.
    RelayWatch(WatchSlot),
    /// The relay watch is opened again.
    ReopenRelayWatch,
    /// A relay call may start.
    RelayCall,
    /// The listen queue is checked again.
    RetryAccept,
    /// Every socket is checked, whatever the poll has reported.
    CheckAllSockets,
    /// The configuration is read again after a failure.
    RetryConfig,
    /// The discovery watch is opened again after a connect that failed immediately.
    RetryDiscoveryWatch,
    /// The whole server list is requested again after such a failure.
    RetryFetch,
    /// Probes whose connects failed immediately are retried.
    RetryProbes,
    /// The status is logged.
    LogStatus,
    /// The module's view of servers and slices is logged.
    LogBeliefs,
    /// The next step of the shutdown.
    ShutdownStep,
    /// A connection has reached its time limit.
    ConnectionTimeout(Id),
    /// Registration of a connection with the poll is retried.
    RetryRegister(Id),
    /// A connection is checked although the poll has reported nothing.
    Recheck(Id),
}

/// All deadlines, by kind and in order of time.
#[derive(Debug, Default)]
pub struct Deadlines {
    by_kind: BTreeMap<DeadlineKind, Duration>,
    queue: BTreeSet<(Duration, DeadlineKind)>,
}

impl Deadlines {
    /// Sets the deadline, replacing an earlier one of the same kind.
    pub fn set(&mut self, kind: DeadlineKind, at: Duration) {
        self.clear(kind);
        self.by_kind.insert(kind, at);
        self.queue.insert((at, kind));
    }

    /// Sets the deadline unless one of the same kind is set for an earlier time.
    pub fn set_if_earlier(&mut self, kind: DeadlineKind, at: Duration) {
        if self.by_kind.get(&kind).is_none_or(|earlier| at < *earlier) {
            self.set(kind, at);
        }
    }

    /// Moves a deadline that is set for a time before `at` to `at`.
    pub fn postpone(&mut self, kind: DeadlineKind, at: Duration) {
        if self.by_kind.get(&kind).is_some_and(|earlier| *earlier < at) {
            self.set(kind, at);
        }
    }

    /// Whether a deadline of this kind is set.
    pub fn is_set(&self, kind: DeadlineKind) -> bool {
        self.by_kind.contains_key(&kind)
    }

    /// Removes the deadline of this kind.
    pub fn clear(&mut self, kind: DeadlineKind) {
        if let Some(at) = self.by_kind.remove(&kind) {
            self.queue.remove(&(at, kind));
        }
    }

    /// The time of the first deadline.
    pub fn next_at(&self) -> Option<Duration> {
        self.queue.first().map(|(at, _)| *at)
    }

    /// Removes the deadline of this kind if it is set for exactly this time; returns whether it was.
    pub fn pop_if_at(&mut self, kind: DeadlineKind, at: Duration) -> bool {
        let is_set_then = self.by_kind.get(&kind) == Some(&at);
        if is_set_then {
            self.clear(kind);
        }
        is_set_then
    }

    /// Whether any deadline is due.
    pub fn any_due(&self, now: Duration) -> bool {
        self.next_at().is_some_and(|at| at <= now)
    }

    /// Removes and returns the first deadline that is due.
    pub fn pop_due(&mut self, now: Duration) -> Option<DeadlineKind> {
        let (at, kind) = *self.queue.first().filter(|(at, _)| *at <= now)?;
        self.queue.remove(&(at, kind));
        self.by_kind.remove(&kind);
        Some(kind)
    }
}

#[cfg(test)]
mod tests;
