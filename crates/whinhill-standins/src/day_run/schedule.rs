//! The schedule of a day: which action is due when, and which actions follow from it.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use super::load::{LoadResult, RunningLoad};
use super::{DayRunError, Fleet};
use crate::day::{Day, FaultKind};
use crate::hops::{Hop, LinkFault};

/// How often the schedule is checked for due actions.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// An action at a scheduled time.
#[derive(Clone, Debug)]
pub(super) enum Action {
    /// Begins a fault that lasts so long.
    BeginFault(FaultKind, Duration),
    /// Ends a fault of the parts with these numbers.
    EndFault(FaultKind, Vec<usize>),
    /// Ends a fault of the links between these near and far parts.
    EndLinkFault(Hop, LinkFault, Vec<usize>, Vec<usize>),
    /// Marks servers as draining.
    Drain(Vec<usize>),
    /// Replaces servers by cold ones.
    Replace(Vec<usize>),
}

/// The actions that follow from an action, each with its delay after it.
pub(super) type FollowUps = Vec<(Duration, Action)>;

/// The pending actions, ordered by time from the day's start, and at the same time by the order in which they were
/// added.
struct Schedule {
    actions: BTreeMap<(Duration, usize), Action>,
    next_seq: usize,
}

impl Schedule {
    fn of(day: &Day) -> Self {
        let mut schedule = Schedule { actions: BTreeMap::new(), next_seq: 0 };
        for fault in &day.faults {
            let duration = Duration::from_secs_f64(fault.for_s);
            schedule
                .add(Duration::from_secs_f64(fault.at_s), Action::BeginFault(fault.what.clone(), duration));
        }
        schedule
    }

    fn add(&mut self, at: Duration, action: Action) {
        self.actions.insert((at, self.next_seq), action);
        self.next_seq += 1;
    }

    /// Removes and returns the first action that is due at `now`, with its scheduled time.
    fn pop_due(&mut self, now: Duration) -> Option<(Duration, Action)> {
        let first = self.actions.first_entry().filter(|entry| entry.key().0 <= now)?;
        let ((at, _), action) = first.remove_entry();
        Some((at, action))
    }
}

impl Fleet<'_> {
    /// Runs the day's schedule under its load.
    pub(super) fn run(&mut self) -> Result<LoadResult, DayRunError> {
        let load = RunningLoad::start(self)?;
        let result = self.run_schedule();
        let load_result = load.stop();
        result.map(|()| load_result)
    }

    fn run_schedule(&mut self) -> Result<(), DayRunError> {
        let (start, end) = (Instant::now(), Duration::from_secs_f64(self.day.seconds));
        let mut schedule = Schedule::of(self.day);
        while start.elapsed() < end {
            let now = start.elapsed();
            while let Some((at, action)) = schedule.pop_due(now) {
                for (after, action) in self.perform(action)? {
                    schedule.add(at + after, action);
                }
            }
            thread::sleep(POLL_INTERVAL.min(end.saturating_sub(start.elapsed())));
        }
        Ok(())
    }

    fn perform(&mut self, action: Action) -> Result<FollowUps, DayRunError> {
        match action {
            Action::BeginFault(fault, duration) => return self.begin_fault(fault, duration),
            Action::EndLinkFault(hop, fault, near, far) => {
                self.set_link_fault(hop, fault, &near, &far, false)
            }
            Action::EndFault(fault, on) => self.end_fault(&fault, &on)?,
            Action::Drain(which) => self.drain(&which)?,
            Action::Replace(which) => self.replace(&which)?,
        }
        Ok(FollowUps::new())
    }
}
