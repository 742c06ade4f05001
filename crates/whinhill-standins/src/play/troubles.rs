//! The troubles of a day: how each begins and ends.

use std::time::Duration;

use rand::seq::SliceRandom;
use rustix::process::Signal;
use tracing::info;

use super::error::io_at;
use super::script::{Act, Following};
use super::{ms, Fleet, PlayError};
use crate::day::Trouble;
use crate::hops::Pick;
use crate::running::RunningProxy;

/// Beside the grace and the settle time, how long a server stays that is about to be replaced.
const DRAIN_SLACK_MS: u64 = 300;

impl Fleet<'_> {
    /// Begins a trouble; what ends it follows.
    pub(super) fn begin(&mut self, trouble: Trouble, lasts: Duration) -> Result<Following, PlayError> {
        info!(?trouble, "begins");
        let mut on = Vec::new();
        match &trouble {
            Trouble::Release { part, at_a_time } => return Ok(self.release(*part, *at_a_time, lasts)),
            Trouble::KillAssigner { which } => self.kill_assigner(*which),
            Trouble::StallAssigner { which } => self.signal_assigner(*which, Signal::STOP, false),
            Trouble::KillProxies { part } => {
                on = self.draw(*part, self.proxies.len());
                on.iter().for_each(|&number| self.kill_proxy(number));
            }
            Trouble::Link { between, near, far, fault } => {
                let (nears, fars) = self.day.ends(*between);
                let (near, far) = (self.pick(*near, nears), self.pick(*far, fars));
                self.hamper(*between, *fault, &near, &far, true);
                return Ok(vec![(lasts, Act::Mend(*between, *fault, near, far))]);
            }
            Trouble::RollBack { seconds } => self.roll_back(Duration::from_secs_f64(*seconds)),
            Trouble::StoreDown {} => self.store.set_down(true),
            Trouble::RejectTables { part } => self.reject_tables(*part),
            Trouble::SlowServers { part, .. }
            | Trouble::SilentServers { part }
            | Trouble::FailingServers { part, .. }
            | Trouble::AnswersLost { part, .. } => {
                on = self.draw(*part, self.servers.len());
                self.set_server_faults(&trouble, &on, true);
            }
            Trouble::Burst { times } => self.rate.set_times(*times),
            Trouble::RosterDown {} => {
                self.roster.set_down(true);
                self.roster.write_half().map_err(io_at("the roster"))?;
            }
            Trouble::RosterDrops { part } => {
                on = self.draw(*part, self.servers.len());
                self.unlist(&on)?;
            }
        }
        Ok(vec![(lasts, Act::End(trouble, on))])
    }

    /// Ends a trouble that is on some parts.
    pub(super) fn end(&mut self, trouble: &Trouble, on: &[usize]) -> Result<(), PlayError> {
        match trouble {
            Trouble::KillAssigner { which } => self.start_assigner(*which)?,
            Trouble::StallAssigner { which } => self.signal_assigner(*which, Signal::CONT, true),
            Trouble::KillProxies { .. } => on.iter().try_for_each(|&number| self.start_proxy(number))?,
            Trouble::StoreDown {} => self.store.set_down(false),
            Trouble::SlowServers { .. }
            | Trouble::SilentServers { .. }
            | Trouble::FailingServers { .. }
            | Trouble::AnswersLost { .. } => self.set_server_faults(trouble, on, false),
            Trouble::Burst { .. } => self.rate.set_times(1.0),
            Trouble::RosterDown {} => {
                self.roster.set_down(false);
                self.roster.mend().map_err(io_at("the roster"))?;
            }
            Trouble::RosterDrops { .. } => self.list(on, false)?,
            Trouble::RollBack { .. } => {}
            Trouble::Release { .. } | Trouble::Link { .. } | Trouble::RejectTables { .. } => {}
        }
        Ok(())
    }

    /// Replaces a part of the servers, some at a time, each after its drain.
    fn release(&mut self, part: f64, at_a_time: usize, lasts: Duration) -> Following {
        let all = self.draw(part, self.servers.len());
        let groups: Vec<Vec<usize>> = all.chunks(at_a_time.max(1)).map(<[usize]>::to_vec).collect();
        let step = lasts / groups.len() as u32;
        let drained = ms(self.day.rules.grace_ms + self.day.service.settle_ms + DRAIN_SLACK_MS);
        let mut acts = Following::new();
        for (turn, group) in groups.into_iter().enumerate() {
            let at = step * turn as u32;
            acts.push((at, Act::Drain(group.clone())));
            acts.push((at + drained, Act::Replace(group)));
        }
        acts
    }

    /// Has a part of the proxies reject the next tables that they are told.
    fn reject_tables(&mut self, part: f64) {
        for number in self.draw(part, self.proxies.len()) {
            if let Some(proxy) = self.proxies[number].running.as_ref().and_then(RunningProxy::thread) {
                proxy.reject_next(1);
            }
        }
    }

    fn pick(&mut self, pick: Pick, of: usize) -> Vec<usize> {
        match pick {
            Pick::All => (0..of).collect(),
            Pick::Part(part) => self.draw(part, of),
            Pick::One(which) => vec![which],
        }
    }

    /// Draws a part of a fleet, one at least.
    fn draw(&mut self, part: f64, of: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..of).collect();
        all.shuffle(&mut self.rng);
        all.truncate(((part * of as f64).round() as usize).clamp(1, of));
        all.sort_unstable();
        all
    }
}
