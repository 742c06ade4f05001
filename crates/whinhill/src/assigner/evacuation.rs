//! Slices that leave their owners outside of plans, and where they go.

use super::*;

impl Assigner {
    /// Slices whose owner is gone, draining or sick leave at once, and, where there is room for them, those
    /// that bring a cold one over its budget: they may come into demand sooner than levels tell.
    pub(super) fn evacuate(&mut self) {
        // After a drain is told, reads may stay as long as their end still arrives within the grace, behind
        // what waits in the channel. Where that would fill the channel, or time is short, they end at once.
        let (guarded, out) =
            (self.cfg.fence_writes, |o: usize| self.servers[o].listed_status != Listed::Ready);
        let drains = self.slices.iter().filter(|s| s.owner.is_some_and(out));
        let uncut = drains.filter(|s| s.handover.as_ref().is_none_or(|h| !h.revoked)).count();
        let lines = self.channel.queued_lines + self.message_lines(if guarded { 2 * uncut } else { uncut });
        let behind = Duration::from_secs_f64(lines / self.cfg.lines_per_s);
        let lead =
            self.cfg.drain_grace.saturating_sub(self.cfg.max_transit.mul_f64(DRAIN_TRANSIT_FACTOR) + behind);
        let short = lines > PLAN_START_FILL * self.cfg.max_backlog_lines || lead < self.cfg.max_transit / 2;
        let heads = MIN_DRAIN_MESSAGES * self.cfg.message_overhead_lines * self.joined_proxies() as f64
            / self.cfg.max_backlog_lines;
        let from = DRAIN_START_FILL.min(DRAIN_STOP_FILL - heads).max(LEAVE_STOP_FILL);
        let (mut view, drain, leave) =
            (None, self.channel_is_below(from), self.channel_is_below(LEAVE_START_FILL));
        let mut departures = BTreeMap::new();
        for id in 0..self.slices.len() {
            let Some(owner) = self.slices[id].owner else { continue };
            let server = &self.servers[owner];
            let (well, listed) = (usable(server), server.listed_status);
            let late = self.now >= server.not_ready_since + lead;
            let cut =
                listed != Listed::Draining || server.unhealthy_until.is_some() || server.suspected || short;
            let cut = if guarded { cut } else { listed != Listed::Ready && late };
            match &self.slices[id].handover {
                Some(moving) if well || moving.revoked => {}
                Some(_) if cut || late => self.revoke_line(id),
                None if drain && listed != Listed::Ready && self.channel_is_below(DRAIN_STOP_FILL)
                    || leave && (!well || self.is_cold(owner)) && self.channel_is_below(LEAVE_STOP_FILL) =>
                {
                    let v: &mut LoadSnapshot = view.get_or_insert_with(|| self.load_snapshot());
                    // Where none has room it is chosen with the grant, when more is known of those that have started.
                    let to = self
                        .destination_with_headroom(id, v)
                        .or_else(|| self.destination(id, v).filter(|_| !guarded));
                    let add = to.map_or(0.0, |to| self.added_load(v, id, to));
                    let over = v.own_loads[owner] > self.unreported_cold_budget()
                        && to.is_some_and(|to| v.headroom[to] >= add);
                    if !well || over {
                        v.own_loads[owner] -= v.demand[id] * v.load_per_demand[owner];
                        if let Some(to) = to {
                            v.reserve(to, add);
                        }
                        departures.entry((owner, to)).or_insert_with(Vec::new).push(id);
                        self.start_handover(id, to, cut);
                    }
                }
                _ => {}
            }
        }
        self.log_departures(&departures, view.as_ref());
    }

    /// Where a slice that must leave goes: the less loaded of its first usable candidates, walking on in its hash
    /// order past those without room.
    pub(super) fn destination_with_headroom(&self, id: SliceId, view: &LoadSnapshot) -> Option<usize> {
        let add = |i: &usize| self.added_load(view, id, *i);
        let fits = |i: &usize| accepts_slices(&self.servers[*i]) && view.headroom[*i] >= add(i);
        let least = |a: &usize, b: &usize| (view.loads[*a] + add(a)).total_cmp(&(view.loads[*b] + add(b)));
        self.other_candidates(id).filter(fits).take(HASH_CANDIDATES).min_by(least)
    }

    /// The same, or where no server has room any that is ready, by weighted rendezvous hashing: slices of all
    /// assigners spread as capacity is free, though none knows what the others move. Levels let in what each can do;
    /// where there are none to hold a cold server to its budget, the least loaded warm one.
    pub(super) fn destination(&self, id: SliceId, view: &LoadSnapshot) -> Option<usize> {
        let spreads = self.cfg.admission == Admission::Share;
        let unfit = |i: &usize| {
            let server = &self.servers[*i];
            (!accepts_slices(server), !server.seen_serving || !spreads && self.is_cold(*i))
        };
        let score = |i: &usize| {
            let server = &self.servers[*i];
            let load = view.loads[*i].max(view.own_loads[*i]);
            if !spreads {
                return load + self.added_load(view, id, *i);
            }
            let free = (1.0 - load).max(MIN_FREE_FRACTION);
            let draw = (server.endpoint.weight(id) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            -draw.ln() / (free * self.slow_start_factor(server) * server.size)
        };
        let best = |a: &usize, b: &usize| unfit(a).cmp(&unfit(b)).then(score(a).total_cmp(&score(b)));
        self.destination_with_headroom(id, view).or_else(|| self.other_candidates(id).min_by(best))
    }
}

#[cfg(test)]
mod tests;
