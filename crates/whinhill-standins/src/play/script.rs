//! The script of a day: what is done when, and what follows from it.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use super::load::{Load, Measured};
use super::{Fleet, PlayError};
use crate::day::{Day, Trouble};
use crate::hops::{Hop, LinkFault};

/// How often it is looked whether something is due.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Something to do at a time, and to undo at another.
#[derive(Clone, Debug)]
pub(super) enum Act {
    Begin(Trouble, Duration),
    End(Trouble, Vec<usize>),
    /// A link fault between these.
    Mend(Hop, LinkFault, Vec<usize>, Vec<usize>),
    Drain(Vec<usize>),
    Replace(Vec<usize>),
}

/// What follows from an act, and how long after it.
pub(super) type Following = Vec<(Duration, Act)>;

/// What is still to be done, by the time from the day's start, and among those of one time in the order of their coming.
struct Schedule {
    acts: BTreeMap<(Duration, usize), Act>,
    turn: usize,
}

impl Schedule {
    fn of(day: &Day) -> Self {
        let mut schedule = Schedule { acts: BTreeMap::new(), turn: 0 };
        for fault in &day.faults {
            let lasts = Duration::from_secs_f64(fault.for_s);
            schedule.add(Duration::from_secs_f64(fault.at_s), Act::Begin(fault.what.clone(), lasts));
        }
        schedule
    }

    fn add(&mut self, at: Duration, act: Act) {
        self.acts.insert((at, self.turn), act);
        self.turn += 1;
    }

    /// The next act that is due, and when it was.
    fn take_due(&mut self, now: Duration) -> Option<(Duration, Act)> {
        let first = self.acts.first_entry().filter(|entry| entry.key().0 <= now)?;
        let ((at, _), act) = first.remove_entry();
        Some((at, act))
    }
}

impl Fleet<'_> {
    /// Plays the whole day under its load.
    pub(super) fn run(&mut self) -> Result<Measured, PlayError> {
        let load = Load::start(self)?;
        let result = self.follow_script();
        let measured = load.stop();
        result.map(|()| measured)
    }

    fn follow_script(&mut self) -> Result<(), PlayError> {
        let (start, end) = (Instant::now(), Duration::from_secs_f64(self.day.seconds));
        let mut schedule = Schedule::of(self.day);
        while start.elapsed() < end {
            let now = start.elapsed();
            while let Some((at, act)) = schedule.take_due(now) {
                for (after, act) in self.act(act)? {
                    schedule.add(at + after, act);
                }
            }
            thread::sleep(LOOK_EVERY.min(end.saturating_sub(start.elapsed())));
        }
        Ok(())
    }

    fn act(&mut self, act: Act) -> Result<Following, PlayError> {
        match act {
            Act::Begin(trouble, lasts) => return self.begin(trouble, lasts),
            Act::Mend(hop, fault, near, far) => self.hamper(hop, fault, &near, &far, false),
            Act::End(trouble, on) => self.end(&trouble, &on)?,
            Act::Drain(which) => self.drain(&which)?,
            Act::Replace(which) => self.replace(&which)?,
        }
        Ok(Following::new())
    }
}
