//! All deadlines in one queue, one for each thing that has one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What a deadline is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// Events are handed to the module.
    Batch,
    /// The module asked to be woken.
    Wake,
    /// News were quiet.
    News,
    /// News are asked for again.
    OpenNews,
    /// A call may start.
    Call,
    /// Accepting goes on after descriptors ran out.
    Accept,
    /// The state is logged.
    Status,
    /// What the module believes is logged.
    Beliefs,
    /// The end, after SIGTERM.
    End,
    /// A connection of this key has taken too long.
    Connection(usize),
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

    pub fn clear(&mut self, due: Due) {
        if let Some(at) = self.at.remove(&due) {
            self.queue.remove(&(at, due));
        }
    }

    pub fn next_at(&self) -> Option<Duration> {
        self.queue.first().map(|(at, _)| *at)
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
mod tests {
    use super::*;

    #[test]
    fn each_thing_has_one_deadline_and_the_earliest_comes_first() {
        let (mut deadlines, second) = (Deadlines::default(), Duration::from_secs(1));
        deadlines.set(Due::Connection(4), second);
        deadlines.set(Due::Wake, second * 2);
        deadlines.set_by(Due::Wake, second * 3);
        deadlines.set(Due::Connection(4), second * 4);
        deadlines.set(Due::Connection(5), second);
        deadlines.clear(Due::Connection(5));
        assert_eq!((deadlines.next_at(), deadlines.pop(second)), (Some(second * 2), None));
        let all: Vec<Due> = std::iter::from_fn(|| deadlines.pop(second * 9)).collect();
        assert_eq!(all, [Due::Wake, Due::Connection(4)]);
    }
}
