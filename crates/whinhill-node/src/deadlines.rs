//! All deadlines in one queue, one for each thing that has one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use whinhill_platform::relay::news::Place;

use crate::connections::Id;

/// What a deadline is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// Events are handed to the module.
    Batch,
    /// The module asked to be woken.
    Wake,
    /// News were quiet.
    News(Place),
    /// News are asked for again.
    OpenNews,
    /// A call may start.
    Call,
    /// Accepting goes on after it failed.
    Accept,
    /// Every socket is looked at, whatever the poll has told.
    Look,
    /// The configuration is read again after it could not be.
    Config,
    /// Discovery is asked again after a connect that failed at once.
    Watch,
    /// And for the whole list.
    Fetch,
    /// Probes whose connects failed at once are made again.
    Probes,
    /// The state is logged.
    Status,
    /// What the module believes is logged.
    Beliefs,
    /// The end, after SIGTERM, comes a step further.
    End,
    /// A connection has taken too long.
    Connection(Id),
    /// The poll is asked again to tell of a connection.
    Register(Id),
    /// A connection is looked at again, without the poll's having told of it.
    Transfer(Id),
}

#[derive(Debug, Default)]
pub struct Deadlines {
    at: BTreeMap<Due, Duration>,
    queue: BTreeSet<(Duration, Due)>,
}

impl Deadlines {
    /// Sets a deadline in place of an earlier one for the same.
    pub fn set(&mut self, due: Due, at: Duration) {
        self.clear(due);
        self.at.insert(due, at);
        self.queue.insert((at, due));
    }

    /// Sets a deadline unless an earlier one stands.
    pub fn set_by(&mut self, due: Due, at: Duration) {
        if self.at.get(&due).is_none_or(|earlier| at < *earlier) {
            self.set(due, at);
        }
    }

    /// Has one that stands come no earlier.
    pub fn put_off(&mut self, due: Due, at: Duration) {
        if self.at.get(&due).is_some_and(|earlier| *earlier < at) {
            self.set(due, at);
        }
    }

    pub fn is_set(&self, due: Due) -> bool {
        self.at.contains_key(&due)
    }

    pub fn clear(&mut self, due: Due) {
        if let Some(at) = self.at.remove(&due) {
            self.queue.remove(&(at, due));
        }
    }

    pub fn next_at(&self) -> Option<Duration> {
        self.queue.first().map(|(at, _)| *at)
    }

    /// Takes the one for this if it still stands at that time.
    pub fn pop_at(&mut self, due: Due, at: Duration) -> bool {
        let stands = self.at.get(&due) == Some(&at);
        if stands {
            self.clear(due);
        }
        stands
    }

    /// Whether any is due.
    pub fn is_due(&self, now: Duration) -> bool {
        self.next_at().is_some_and(|at| at <= now)
    }

    /// Takes the first one that is due.
    pub fn pop(&mut self, now: Duration) -> Option<Due> {
        let (at, due) = *self.queue.first().filter(|(at, _)| *at <= now)?;
        self.queue.remove(&(at, due));
        self.at.remove(&due);
        Some(due)
    }
}

#[cfg(test)]
mod tests;
