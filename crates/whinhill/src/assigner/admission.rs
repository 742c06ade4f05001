//! What servers are let in: limits, cold budgets and levels.

use super::*;

impl Assigner {
    /// The work a second that each server can do: as learned there, else as learned at the others.
    pub(super) fn limits(&self) -> Vec<f64> {
        let ready = || self.servers.iter().filter(|s| usable(s));
        let learned: Vec<f64> = ready().filter_map(|s| s.limit.map(|limit| limit / s.size)).collect();
        let median = (learned.len() * 4 > ready().count()).then(|| middle(learned)).flatten();
        let shown = ready().filter(|s| !s.late).map(|s| s.oks.rate(self.now, self.half) / s.size);
        let usual = median.map_or(f64::INFINITY, |median| shown.fold(median, f64::max));
        self.servers.iter().map(|s| s.limit.unwrap_or(usual * s.size)).collect()
    }

    /// Draws each server's line of criticality by its limit, and by its budget while it is cold.
    pub(super) fn draw_lines(&mut self) {
        let view = self.view();
        let offered = self.demand_by(&view.demand, |s| s.owner);
        let work = |m: &usize| self.came[*m].read(self.now, self.half) * self.work(*m);
        let works: Vec<f64> = self.cfg.ranks.iter().map(work).collect();
        let all = works.iter().sum::<f64>().max(1e-9);
        for (i, offered) in offered.into_iter().enumerate() {
            let budget = self.cold(i).then(|| view.cold_budgets[i] / view.units[i].max(1e-9));
            let limit = budget.map_or(view.limits[i], |budget| budget.min(view.limits[i]));
            let limit = limit * self.drained_part(i);
            let mut over = (1.0 - limit / offered.max(1e-9)).clamp(0.0, 0.9);
            self.servers[i].shut_out = over;
            let mut line = 0.0;
            for part in works.iter().map(|work| (work / all).max(1e-9)) {
                line += (over / part).clamp(0.0, 1.0);
                over -= part;
            }
            self.servers[i].line = line.min(works.len() as f64 - 0.5);
        }
    }

    /// The part of its limit that a server is let while its queue is too long.
    fn drained_part(&self, server: usize) -> f64 {
        let wait = self.queue_wait(&self.servers[server]).unwrap_or(0.0);
        let too_long = (wait - LATE * self.cfg.mean_soft).max(0.0);
        (1.0 - too_long / DRAIN_QUEUE_WITHIN.as_secs_f64()).max(0.0)
    }

    /// Load that our slices may be let bring a cold server that reports how busy it is, and what of ours was sent
    /// there. What others bring shows in the report: all cut alike what is too much, and each takes a part of what
    /// is left.
    pub(super) fn cold_budget_by_report(&self, report: Option<(f64, f64)>) -> f64 {
        let unseen = self.cold_budget();
        let Some((cpu, sent)) = report else { return unseen };
        let left = THRESHOLD - cpu;
        let part = self.our_share().powf(COLD_LEFT);
        let seen = if left >= 0.0 { sent + left * part } else { sent * THRESHOLD / cpu };
        seen.max(unseen)
    }

    /// Load that our slices may bring a cold server of whose load nothing is known.
    pub(super) fn cold_budget(&self) -> f64 {
        (self.cfg.fall_multiple * COLD.0).min(COLD.1) * self.our_share().powf(COLD.2)
    }

    /// Orders the shares that differ from what proxies were told: none of the writes during a handover, nothing at
    /// a suspected owner. What only tunes waits for a period and an ack of the last: the slowest of channels must
    /// not fill.
    pub(super) fn order_levels(&mut self, period: bool) {
        let open = period && self.channel.tuned.is_none();
        for id in 0..self.slices.len() {
            let Some(owner) = self.slices[id].owner else { continue };
            let shut = self.is_shut(id, owner);
            let wanted = self.wanted_levels(id, owner, shut, (period, open));
            for (share, methods) in changed_levels(&self.slices[id].told, &wanted) {
                let all = self.cfg.admission == Admission::Rate && share > 0.0;
                let share = if all { ALL_LET_IN } else { share };
                self.out.push(Order::Level { slice: id, share, methods, tries: self.cfg.tries });
                if open {
                    (self.channel.mark_wanted, self.channel.tuned) = (true, Some(self.channel.marks + 1));
                }
            }
            (self.slices[id].told, self.slices[id].shut) = (wanted, shut);
        }
    }

    /// Whether a slice is to be shut out, as its owner is suspected. Both ways it changes only with room in the
    /// channel, since a whole zone may be suspected at once.
    fn is_shut(&self, id: SliceId, owner: usize) -> bool {
        let slice = &self.slices[id];
        let cut = slice.handover.as_ref().is_some_and(|handover| handover.cut);
        let suspected = self.servers[owner].suspected && self.cfg.admission != Admission::Off;
        match slice.shut {
            _ if cut => false,
            true => suspected || !self.has_room(GRANT_ROOM.1),
            false => suspected && self.has_room(LEAVE_ROOM.1),
        }
    }

    /// Nothing is let in at a suspected owner at first; then a few RPCs that do not write, whose answers tell more than
    /// probes do.
    fn levels_shut_out(&self, id: SliceId, owner: usize) -> Vec<f64> {
        let Server { silent_since, zone_silent, .. } = self.servers[owner];
        let passed = silent_since.is_some_and(|since| self.now >= since + HALF_OPEN_AFTER);
        // Of a zone whose path is cut nothing is to be learned.
        let half_open = passed && !zone_silent;
        let level = |method: &Method| if half_open && !method.writes { HALF_OPEN } else { 0.0 };
        let wanted: Vec<f64> = self.cfg.methods.iter().map(level).collect();
        // Nothing hangs on the few that are let in but what is known of the server.
        let waits = self.slices[id].shut && !self.has_room(LEAVE_ROOM.0);
        if waits {
            self.slices[id].told.clone()
        } else {
            wanted
        }
    }

    /// The share of each method that is to be let in for a slice. `period`: its work is done; `open`: and levels may
    /// be tuned.
    fn wanted_levels(&self, id: SliceId, owner: usize, shut: bool, (period, open): (bool, bool)) -> Vec<f64> {
        let slice = &self.slices[id];
        if shut {
            return self.levels_shut_out(id, owner);
        }
        let moving = slice.handover.as_ref().filter(|_| self.cfg.guarded);
        let (stopped, cut) = moving.map_or((false, false), |handover| (true, handover.cut));
        let line = self.servers[owner].line;
        let cold = period && self.cold(owner) && self.has_room(0.5);
        let tune = slice.stays == self.now + STAY || cold || open && self.has_room(LEAVE_ROOM.0);
        let mut wanted = slice.told.clone();
        for (rank, method) in self.cfg.ranks.iter().enumerate() {
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
