//! Admission control: the limits and cold budgets of servers, and the levels that keep them.

use super::*;

/// The share of a method that admits all its RPCs; a store resets levels to it.
const ADMIT_ALL_SHARE: f64 = 1.0;

impl Assigner {
    /// The work a second that each server can do: as learned there, else as much for its size as the others do.
    pub(super) fn server_limits(&self) -> Vec<f64> {
        let ready = || self.servers.iter().filter(|s| usable(s));
        let learned_by_size: Vec<f64> =
            ready().filter_map(|s| s.learned_limit.map(|limit| limit / s.size)).collect();
        let is_learned_widely = learned_by_size.len() * 4 > ready().count();
        let median_limit = is_learned_widely.then(|| median(learned_by_size)).flatten();
        // A server that is not overloaded can do at least what it does.
        let rate_by_size = |s: &Server| s.ok_answers.rate(self.now, self.half_life) / s.size;
        let achieved = ready().filter(|s| !s.overloaded).map(rate_by_size);
        let usual_limit = median_limit.map_or(f64::INFINITY, |median| achieved.fold(median, f64::max));
        self.servers.iter().map(|s| s.learned_limit.unwrap_or(usual_limit * s.size)).collect()
    }

    /// Sets which methods each server rejects, the least critical first: as many as keep it within its limit, and
    /// within its budget while it is cold.
    pub(super) fn set_criticality_cutoffs(&mut self) {
        let snapshot = self.load_snapshot();
        let offered_work = self.demand_by_server(&snapshot.demand, |s| s.owner);
        let work = |m: &usize| self.method_rpcs[*m].read(self.now, self.half_life) * self.work_per_rpc(*m);
        let method_work: Vec<f64> = self.cfg.methods_by_criticality.iter().map(work).collect();
        let all_work = method_work.iter().sum::<f64>().max(1e-9);
        for (i, offered) in offered_work.into_iter().enumerate() {
            let cold_budget =
                self.is_cold(i).then(|| snapshot.cold_budgets[i] / snapshot.load_per_demand[i].max(1e-9));
            let limit = cold_budget.map_or(snapshot.limits[i], |budget| budget.min(snapshot.limits[i]));
            let limit = limit * self.queue_drain_factor(i);
            let mut excess = (1.0 - limit / offered.max(1e-9)).clamp(0.0, MAX_REJECTED_FRACTION);
            self.servers[i].rejected_fraction = excess;
            let mut cutoff = 0.0;
            for method_share in method_work.iter().map(|work| (work / all_work).max(1e-9)) {
                cutoff += (excess / method_share).clamp(0.0, 1.0);
                excess -= method_share;
            }
            // Half of the most critical method's RPCs are admitted whatever the limit is.
            self.servers[i].criticality_cutoff = cutoff.min(method_work.len() as f64 - 0.5);
        }
    }

    /// The fraction of its limit that a server gets while its queue is too long.
    fn queue_drain_factor(&self, server: usize) -> f64 {
        let wait = self.estimated_queue_wait(&self.servers[server]).unwrap_or(0.0);
        let excess_wait = (wait - LATE_WAIT_FRACTION * self.cfg.mean_soft_deadline_s).max(0.0);
        (1.0 - excess_wait / QUEUE_DRAIN_TIME.as_secs_f64()).max(0.0)
    }

    /// Load that the slices in custody may bring a cold server, given the load that it reports and the part of it that
    /// this assigner's slices sent, if it reports any. The report includes what other assigners' slices bring: above
    /// `HOT_LOAD` all assigners cut their part alike, and below it each takes a part of what is left.
    pub(super) fn reported_cold_budget(&self, report: Option<(f64, f64)>) -> f64 {
        let unreported_budget = self.unreported_cold_budget();
        let Some((reported_load, sent_load)) = report else { return unreported_budget };
        let left = HOT_LOAD - reported_load;
        let our_part = self.custody_fraction().powf(COLD_REMAINDER_EXPONENT);
        let budget =
            if left >= 0.0 { sent_load + left * our_part } else { sent_load * HOT_LOAD / reported_load };
        budget.max(unreported_budget)
    }

    /// Load that the slices in custody may bring a cold server of whose load nothing is known.
    pub(super) fn unreported_cold_budget(&self) -> f64 {
        (self.cfg.collapse_multiple * COLD_COLLAPSE_FRACTION).min(MAX_COLD_LOAD)
            * self.custody_fraction().powf(COLD_SHARE_EXPONENT)
    }

    /// Orders the levels that differ from the published ones: among them 0 for writes during a handover, and for all
    /// RPCs to a suspected owner. Changes that merely tune wait for a period, and for the acknowledgement of the last
    /// tuning: otherwise they would fill a slow channel.
    pub(super) fn order_levels(&mut self, is_period: bool) {
        let may_tune = is_period && self.channel.tuning_ack_seq.is_none();
        for id in 0..self.slices.len() {
            let Some(owner) = self.slices[id].owner else { continue };
            let rejects_all = self.should_reject_all(id, owner);
            let levels = self.target_levels(id, owner, rejects_all, is_period, may_tune);
            let is_ordered_again =
                self.slices[id].levels_uncertain && self.channel_is_below(LEAVE_START_FILL);
            let is_known = |level: &f64| !is_ordered_again || *level == ADMIT_ALL_SHARE;
            let published = &self.slices[id].published_levels;
            let known: Vec<Option<f64>> = published.iter().map(|l| Some(*l).filter(is_known)).collect();
            for (level, methods) in changed_levels(&known, &levels) {
                let is_open_rate = self.cfg.admission == Admission::Rate && level > 0.0;
                let level = if is_open_rate { LEVEL_ADMIT_ALL } else { level };
                self.output.push(Order::Level { slice: id, level, methods, tries: self.cfg.tries });
                if may_tune {
                    self.channel.ack_wanted = true;
                    self.channel.tuning_ack_seq = Some(self.channel.last_ack_seq + 1);
                }
            }
            self.slices[id].published_levels = levels;
            self.slices[id].rejects_all = rejects_all;
            self.slices[id].levels_uncertain &= !is_ordered_again;
        }
    }

    /// Whether all RPCs of a slice are to be rejected because its owner is suspected. A whole zone may be suspected at
    /// once, so this changes either way only while the channel has room.
    fn should_reject_all(&self, id: SliceId, owner: usize) -> bool {
        let slice = &self.slices[id];
        let is_stopped = slice.handover.as_ref().is_some_and(|handover| handover.stops_all());
        let is_suspected = self.servers[owner].suspected && self.cfg.admission != Admission::Off;
        match slice.rejects_all {
            _ if is_stopped => false,
            true => is_suspected || !self.channel_is_below(GRANT_STOP_FILL),
            false => is_suspected && self.channel_is_below(LEAVE_STOP_FILL),
        }
    }

    /// The levels of a slice whose owner is suspected. All RPCs are rejected at first; after `HALF_OPEN_DELAY` a few
    /// that do not write are admitted, since their answers are better evidence than probes (a half-open circuit
    /// breaker).
    fn levels_while_suspected(&self, id: SliceId, owner: usize) -> Vec<f64> {
        let Server { unresponsive_since, zone_unresponsive, .. } = self.servers[owner];
        let has_waited = unresponsive_since.is_some_and(|since| self.now >= since + HALF_OPEN_DELAY);
        // RPCs into a zone whose path is broken would show nothing.
        let is_half_open = has_waited && !zone_unresponsive;
        let level = |method: &Method| if is_half_open && !method.writes { HALF_OPEN_FRACTION } else { 0.0 };
        let levels: Vec<f64> = self.cfg.methods.iter().map(level).collect();
        // The few RPCs only serve to learn about the server, so this change can wait until the channel has room.
        let waits_for_channel = self.slices[id].rejects_all && !self.channel_is_below(LEAVE_START_FILL);
        if waits_for_channel {
            self.slices[id].published_levels.clone()
        } else {
            levels
        }
    }

    /// The level that each method of a slice is to have. `is_period`: the period's work was done in this call;
    /// `may_tune`: moreover the last tuning has been acknowledged.
    fn target_levels(
        &self,
        id: SliceId,
        owner: usize,
        rejects_all: bool,
        is_period: bool,
        may_tune: bool,
    ) -> Vec<f64> {
        let slice = &self.slices[id];
        let stop = slice.handover.as_ref().map(|handover| handover.stop);
        if stop == Some(StopStage::AllRpcs) {
            return vec![0.0; self.cfg.methods.len()];
        }
        if rejects_all {
            return self.levels_while_suspected(id, owner);
        }
        let stops_writes = self.cfg.fence_writes && stop == Some(StopStage::Writes);
        let has_no_line = self.cfg.fence_writes && stop == Some(StopStage::NoLine);
        let cutoff = self.servers[owner].criticality_cutoff;
        let was_just_granted = slice.movable_from == self.now + MOVE_COOLDOWN;
        let tunes = was_just_granted
            || is_period && self.is_cold(owner) && self.channel_is_below(COLD_TUNING_FILL)
            || may_tune && self.channel_is_below(LEAVE_START_FILL);
        let mut levels = slice.published_levels.clone();
        for (rank, method) in self.cfg.methods_by_criticality.iter().enumerate() {
            let level = &mut levels[*method];
            if stops_writes && self.cfg.methods[*method].writes {
                *level = 0.0;
            } else if tunes && !has_no_line || *level == 0.0 {
                // Levels have steps of 1/20.
                *level = ((1.0 - (cutoff - rank as f64)).clamp(0.0, 1.0) * 20.0).round() / 20.0;
            }
        }
        levels
    }
}

/// The levels that differ from the published ones, as far as these are known, each with the methods that it applies to.
fn changed_levels(published: &[Option<f64>], levels: &[f64]) -> Vec<(f64, MethodMask)> {
    let mut changed: Vec<(f64, MethodMask)> = Vec::new();
    let differs = |(method, level): &(usize, &f64)| published[*method] != Some(**level);
    for (method, level) in levels.iter().enumerate().filter(differs) {
        match changed.iter_mut().find(|(other, _)| other == level) {
            Some((_, methods)) => *methods |= 1 << method,
            None => changed.push((*level, 1 << method)),
        }
    }
    changed
}

#[cfg(test)]
mod tests;
