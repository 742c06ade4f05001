//! Slices that leave their owners outside of plans, and where they go.

use super::*;

impl Assigner {
    /// Slices whose owner is gone, draining or sick leave at once, and, where there is room for them, those
    /// that bring a cold one over its budget: they may come into demand sooner than levels tell.
    pub(super) fn evacuate(&mut self) {
        // After a drain is told, reads may stay as long as their end still arrives within the grace, behind
        // what waits in the channel. Where that would fill the channel, or time is short, they end at once.
        let (guarded, out) = (self.cfg.guarded, |o: usize| self.servers[o].listed != Listed::Ready);
        let drains = self.slices.iter().filter(|s| s.owner.is_some_and(out));
        let uncut = drains.filter(|s| s.handover.as_ref().is_none_or(|h| !h.cut)).count();
        let lines = self.channel.lines + self.lines(if guarded { 2 * uncut } else { uncut });
        let behind = Duration::from_secs_f64(lines / self.cfg.lines_per_s);
        let lead = self.cfg.grace.saturating_sub(self.cfg.way_most.mul_f64(DRAIN_WAYS) + behind);
        let short = lines > PLAN_ROOM * self.cfg.backlog || lead < self.cfg.way_most / 2;
        let heads = HEADS * self.cfg.head * self.joined() as f64 / self.cfg.backlog;
        let from = DRAIN_ROOM.0.min(DRAIN_ROOM.1 - heads).max(LEAVE_ROOM.1);
        let (mut view, drain, leave) = (None, self.has_room(from), self.has_room(LEAVE_ROOM.0));
        let mut departures = BTreeMap::new();
        for id in 0..self.slices.len() {
            let Some(owner) = self.slices[id].owner else { continue };
            let server = &self.servers[owner];
            let (well, listed) = (usable(server), server.listed);
            let late = self.now >= server.told + lead;
            let cut = listed != Listed::Draining || server.sick.is_some() || server.suspected || short;
            let cut = if guarded { cut } else { listed != Listed::Ready && late };
            match &self.slices[id].handover {
                Some(moving) if well || moving.cut => {}
                Some(_) if cut || late => self.cut(id),
                None if drain && listed != Listed::Ready && self.has_room(DRAIN_ROOM.1)
                    || leave && (!well || self.cold(owner)) && self.has_room(LEAVE_ROOM.1) =>
                {
                    let v: &mut View = view.get_or_insert_with(|| self.view());
                    // Where none has room it is chosen with the grant, when more is known of those that have started.
                    let to = self.candidate(id, v).or_else(|| self.destination(id, v).filter(|_| !guarded));
                    let add = to.map_or(0.0, |to| self.add(v, id, to));
                    let over = v.own[owner] > self.cold_budget() && to.is_some_and(|to| v.rooms[to] >= add);
                    if !well || over {
                        v.own[owner] -= v.demand[id] * v.units[owner];
                        if let Some(to) = to {
                            v.place(to, add);
                        }
                        departures.entry((owner, to)).or_insert_with(Vec::new).push(id);
                        self.stop(id, to, cut);
                    }
                }
                _ => {}
            }
        }
        self.log_departures(&departures, view.as_ref());
    }

    /// Where a slice that must leave goes: the less loaded of its first usable candidates, walking on in its hash
    /// order past those without room.
    pub(super) fn candidate(&self, id: SliceId, view: &View) -> Option<usize> {
        let add = |i: &usize| self.add(view, id, *i);
        let fits = |i: &usize| takes_slices(&self.servers[*i]) && view.rooms[*i] >= add(i);
        let least = |a: &usize, b: &usize| (view.loads[*a] + add(a)).total_cmp(&(view.loads[*b] + add(b)));
        self.others(id).filter(fits).take(CANDIDATES).min_by(least)
    }

    /// The same, or where no server has room any that is ready, by weighted rendezvous hashing: slices of all
    /// assigners spread as capacity is free, though none knows what the others move. Levels let in what each can do;
    /// where there are none to hold a cold server to its budget, the least loaded warm one.
    pub(super) fn destination(&self, id: SliceId, view: &View) -> Option<usize> {
        let spreads = self.cfg.admission == Admission::Share;
        let unfit = |i: &usize| {
            let server = &self.servers[*i];
            (!takes_slices(server), !server.proven || !spreads && self.cold(*i))
        };
        let score = |i: &usize| {
            let server = &self.servers[*i];
            let load = view.loads[*i].max(view.own[*i]);
            if !spreads {
                return load + self.add(view, id, *i);
            }
            let free = (1.0 - load).max(FREE_LEAST);
            let draw = (server.ep.weight(id) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            -draw.ln() / (free * self.ramp(server) * server.size)
        };
        let best = |a: &usize, b: &usize| unfit(a).cmp(&unfit(b)).then(score(a).total_cmp(&score(b)));
        self.candidate(id, view).or_else(|| self.others(id).min_by(best))
    }
}

#[cfg(test)]
mod tests;
