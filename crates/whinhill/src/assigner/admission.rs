//! What servers are let in: limits, cold budgets and levels.

use super::*;

impl Assigner {
    /// The work a second that each server can do: as learned there, else as learned at the others.
    pub(super) fn server_limits(&self) -> Vec<f64> {
        let ready = || self.servers.iter().filter(|s| usable(s));
        let learned: Vec<f64> = ready().filter_map(|s| s.learned_limit.map(|limit| limit / s.size)).collect();
        let median = (learned.len() * 4 > ready().count()).then(|| median(learned)).flatten();
        let shown =
            ready().filter(|s| !s.overloaded).map(|s| s.ok_answers.rate(self.now, self.half_life) / s.size);
        let usual = median.map_or(f64::INFINITY, |median| shown.fold(median, f64::max));
        self.servers.iter().map(|s| s.learned_limit.unwrap_or(usual * s.size)).collect()
    }

    /// Draws each server's line of criticality by its limit, and by its budget while it is cold.
    pub(super) fn set_criticality_cutoffs(&mut self) {
        let view = self.load_snapshot();
        let offered = self.demand_by_server(&view.demand, |s| s.owner);
        let work = |m: &usize| self.method_rpcs[*m].read(self.now, self.half_life) * self.work_per_rpc(*m);
        let works: Vec<f64> = self.cfg.methods_by_criticality.iter().map(work).collect();
        let all = works.iter().sum::<f64>().max(1e-9);
        for (i, offered) in offered.into_iter().enumerate() {
            let budget = self.is_cold(i).then(|| view.cold_budgets[i] / view.load_per_demand[i].max(1e-9));
            let limit = budget.map_or(view.limits[i], |budget| budget.min(view.limits[i]));
            let limit = limit * self.queue_drain_factor(i);
            let mut over = (1.0 - limit / offered.max(1e-9)).clamp(0.0, 0.9);
            self.servers[i].rejected_fraction = over;
            let mut line = 0.0;
            for part in works.iter().map(|work| (work / all).max(1e-9)) {
                line += (over / part).clamp(0.0, 1.0);
                over -= part;
            }
            self.servers[i].criticality_cutoff = line.min(works.len() as f64 - 0.5);
        }
    }

    /// The part of its limit that a server is let while its queue is too long.
    fn queue_drain_factor(&self, server: usize) -> f64 {
        let wait = self.estimated_queue_wait(&self.servers[server]).unwrap_or(0.0);
        let too_long = (wait - LATE_WAIT_FRACTION * self.cfg.mean_soft_deadline_s).max(0.0);
        (1.0 - too_long / QUEUE_DRAIN_TIME.as_secs_f64()).max(0.0)
    }

    /// Load that our slices may be let bring a cold server that reports how busy it is, and what of ours was sent
    /// there. What others bring shows in the report: all cut alike what is too much, and each takes a part of what
    /// is left.
    pub(super) fn reported_cold_budget(&self, report: Option<(f64, f64)>) -> f64 {
        let unseen = self.unreported_cold_budget();
        let Some((cpu, sent)) = report else { return unseen };
        let left = HOT_LOAD - cpu;
        let part = self.custody_fraction().powf(COLD_REMAINDER_EXPONENT);
        let seen = if left >= 0.0 { sent + left * part } else { sent * HOT_LOAD / cpu };
        seen.max(unseen)
    }

    /// Load that our slices may bring a cold server of whose load nothing is known.
    pub(super) fn unreported_cold_budget(&self) -> f64 {
        (self.cfg.collapse_multiple * COLD_COLLAPSE_FRACTION).min(MAX_COLD_LOAD)
            * self.custody_fraction().powf(COLD_SHARE_EXPONENT)
    }

    /// Orders the shares that differ from what proxies were told: none of the writes during a handover, nothing at
    /// a suspected owner. What only tunes waits for a period and an ack of the last: the slowest of channels must
    /// not fill.
    pub(super) fn order_levels(&mut self, period: bool) {
        let open = period && self.channel.tuning_ack_seq.is_none();
        for id in 0..self.slices.len() {
            let Some(owner) = self.slices[id].owner else { continue };
            let shut = self.should_reject_all(id, owner);
            let wanted = self.target_levels(id, owner, shut, (period, open));
            for (share, methods) in changed_levels(&self.slices[id].published_levels, &wanted) {
                let all = self.cfg.admission == Admission::Rate && share > 0.0;
                let share = if all { ALL_LET_IN } else { share };
                self.output.push(Order::Level { slice: id, share, methods, tries: self.cfg.tries });
                if open {
                    (self.channel.ack_wanted, self.channel.tuning_ack_seq) =
                        (true, Some(self.channel.last_ack_seq + 1));
                }
            }
            (self.slices[id].published_levels, self.slices[id].rejects_all) = (wanted, shut);
        }
    }

    /// Whether a slice is to be shut out, as its owner is suspected. Both ways it changes only with room in the
    /// channel, since a whole zone may be suspected at once.
    fn should_reject_all(&self, id: SliceId, owner: usize) -> bool {
        let slice = &self.slices[id];
        let cut = slice.handover.as_ref().is_some_and(|handover| handover.revoked);
        let suspected = self.servers[owner].suspected && self.cfg.admission != Admission::Off;
        match slice.rejects_all {
            _ if cut => false,
            true => suspected || !self.channel_is_below(GRANT_STOP_FILL),
            false => suspected && self.channel_is_below(LEAVE_STOP_FILL),
        }
    }

    /// Nothing is let in at a suspected owner at first; then a few RPCs that do not write, whose answers tell more than
    /// probes do.
    fn levels_while_suspected(&self, id: SliceId, owner: usize) -> Vec<f64> {
        let Server { unresponsive_since: silent_since, zone_unresponsive: zone_silent, .. } =
            self.servers[owner];
        let passed = silent_since.is_some_and(|since| self.now >= since + HALF_OPEN_DELAY);
        // Of a zone whose path is cut nothing is to be learned.
        let half_open = passed && !zone_silent;
        let level = |method: &Method| if half_open && !method.writes { HALF_OPEN_FRACTION } else { 0.0 };
        let wanted: Vec<f64> = self.cfg.methods.iter().map(level).collect();
        // Nothing hangs on the few that are let in but what is known of the server.
        let waits = self.slices[id].rejects_all && !self.channel_is_below(LEAVE_START_FILL);
        if waits {
            self.slices[id].published_levels.clone()
        } else {
            wanted
        }
    }

    /// The share of each method that is to be let in for a slice. `period`: its work is done; `open`: and levels may
    /// be tuned.
    fn target_levels(&self, id: SliceId, owner: usize, shut: bool, (period, open): (bool, bool)) -> Vec<f64> {
        let slice = &self.slices[id];
        if shut {
            return self.levels_while_suspected(id, owner);
        }
        let moving = slice.handover.as_ref().filter(|_| self.cfg.fence_writes);
        let (stopped, cut) = moving.map_or((false, false), |handover| (true, handover.revoked));
        let line = self.servers[owner].criticality_cutoff;
        let cold = period && self.is_cold(owner) && self.channel_is_below(COLD_TUNING_FILL);
        let tune = slice.movable_from == self.now + MOVE_COOLDOWN
            || cold
            || open && self.channel_is_below(LEAVE_START_FILL);
        let mut wanted = slice.published_levels.clone();
        for (rank, method) in self.cfg.methods_by_criticality.iter().enumerate() {
            let told = &mut wanted[*method];
            if stopped && !cut && self.cfg.methods[*method].writes {
                *told = 0.0;
            } else if tune && !cut || *told == 0.0 {
                *told = ((1.0 - (line - rank as f64)).clamp(0.0, 1.0) * 20.0).round() / 20.0;
            }
        }
        wanted
    }
}

/// The levels that differ from what was told, each with the methods that it is for.
fn changed_levels(told: &[f64], wanted: &[f64]) -> Vec<(f64, MethodMask)> {
    let mut levels: Vec<(f64, MethodMask)> = Vec::new();
    for (method, share) in wanted.iter().enumerate().filter(|(method, share)| told[*method] != **share) {
        match levels.iter_mut().find(|(other, _)| other == share) {
            Some((_, methods)) => *methods |= 1 << method,
            None => levels.push((*share, 1 << method)),
        }
    }
    levels
}

#[cfg(test)]
mod tests;
