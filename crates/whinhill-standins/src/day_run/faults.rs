//! The faults of a day: how each begins and ends.

use std::time::Duration;

use rand::seq::SliceRandom;
use rustix::process::Signal;
use tracing::info;

use super::error::io_at;
use super::schedule::{Action, FollowUps};
use super::{ms, DayRunError, Fleet};
use crate::day::FaultKind;
use crate::hops::Selection;
use crate::running::RunningProxy;

/// How long a draining server stays beyond the drain grace and the settle time before it is replaced.
const DRAIN_MARGIN_MS: u64 = 300;

impl Fleet<'_> {
    /// Begins a fault. Returns the actions that end it.
    pub(super) fn begin_fault(
        &mut self,
        fault: FaultKind,
        duration: Duration,
    ) -> Result<FollowUps, DayRunError> {
        info!(trouble = ?fault, "a fault begins");
        let mut on = Vec::new();
        match &fault {
            FaultKind::Release { part, at_a_time } => return Ok(self.release(*part, *at_a_time, duration)),
            FaultKind::KillAssigner { which } => self.kill_assigner(*which),
            FaultKind::StallAssigner { which } => self.signal_assigner(*which, Signal::STOP, false),
            FaultKind::KillProxies { part } => {
                on = self.draw_part(*part, self.proxies.len());
                on.iter().for_each(|&number| self.kill_proxy(number));
            }
            FaultKind::Link { between, near, far, fault } => {
                let (nears, fars) = self.day.end_counts(*between);
                let (near, far) = (self.select(*near, nears), self.select(*far, fars));
                self.set_link_fault(*between, *fault, &near, &far, true);
                return Ok(vec![(duration, Action::EndLinkFault(*between, *fault, near, far))]);
            }
            FaultKind::RollBack { seconds } => self.roll_back(Duration::from_secs_f64(*seconds)),
            FaultKind::StoreDown {} => self.store.set_down(true),
            FaultKind::RejectTables { part } => self.reject_tables(*part),
            FaultKind::SlowServers { part, .. }
            | FaultKind::SilentServers { part }
            | FaultKind::FailingServers { part, .. }
            | FaultKind::AnswersLost { part, .. } => {
                on = self.draw_part(*part, self.servers.len());
                self.set_server_faults(&fault, &on, true);
            }
            FaultKind::Burst { times } => self.rate.set_factor(*times),
            FaultKind::RosterDown {} => {
                self.roster.set_down(true);
                self.roster.write_truncated().map_err(io_at("the roster"))?;
            }
            FaultKind::RosterDrops { part } => {
                on = self.draw_part(*part, self.servers.len());
                self.unlist(&on)?;
            }
        }
        Ok(vec![(duration, Action::EndFault(fault, on))])
    }

    /// Ends a fault of the parts with the numbers `on`.
    pub(super) fn end_fault(&mut self, fault: &FaultKind, on: &[usize]) -> Result<(), DayRunError> {
        match fault {
            FaultKind::KillAssigner { which } => self.start_assigner(*which)?,
            FaultKind::StallAssigner { which } => self.signal_assigner(*which, Signal::CONT, true),
            FaultKind::KillProxies { .. } => on.iter().try_for_each(|&number| self.start_proxy(number))?,
            FaultKind::StoreDown {} => self.store.set_down(false),
            FaultKind::SlowServers { .. }
            | FaultKind::SilentServers { .. }
            | FaultKind::FailingServers { .. }
            | FaultKind::AnswersLost { .. } => self.set_server_faults(fault, on, false),
            FaultKind::Burst { .. } => self.rate.set_factor(1.0),
            FaultKind::RosterDown {} => {
                self.roster.set_down(false);
                self.roster.republish().map_err(io_at("the roster"))?;
            }
            FaultKind::RosterDrops { .. } => self.list(on, false)?,
            FaultKind::RollBack { .. } => {}
            FaultKind::Release { .. } | FaultKind::Link { .. } | FaultKind::RejectTables { .. } => {}
        }
        Ok(())
    }

    /// Schedules the replacement of a part of the servers, `at_a_time` of them together, each group after its drain.
    fn release(&mut self, part: f64, at_a_time: usize, duration: Duration) -> FollowUps {
        let all = self.draw_part(part, self.servers.len());
        let groups: Vec<Vec<usize>> = all.chunks(at_a_time.max(1)).map(<[usize]>::to_vec).collect();
        let step = duration / groups.len() as u32;
        let drain_time = ms(self.day.rules.grace_ms + self.day.service.settle_ms + DRAIN_MARGIN_MS);
        let mut actions = FollowUps::new();
        for (index, group) in groups.into_iter().enumerate() {
            let at = step * index as u32;
            actions.push((at, Action::Drain(group.clone())));
            actions.push((at + drain_time, Action::Replace(group)));
        }
        actions
    }

    /// Makes a part of the proxies reject their next tables, once each.
    fn reject_tables(&mut self, part: f64) {
        for number in self.draw_part(part, self.proxies.len()) {
            if let Some(proxy) = self.proxies[number].running.as_ref().and_then(RunningProxy::as_thread) {
                proxy.reject_next_replies(1);
            }
        }
    }

    /// The numbers of the selected parts, out of `of`.
    fn select(&mut self, pick: Selection, of: usize) -> Vec<usize> {
        match pick {
            Selection::All => (0..of).collect(),
            Selection::Part(part) => self.draw_part(part, of),
            Selection::One(which) => vec![which],
        }
    }

    /// Draws a fraction of `of` parts at random, at least one. Returns their numbers in ascending order.
    fn draw_part(&mut self, part: f64, of: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..of).collect();
        all.shuffle(&mut self.rng);
        all.truncate(((part * of as f64).round() as usize).clamp(1, of));
        all.sort_unstable();
        all
    }
}
