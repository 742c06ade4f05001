//! SWAT's three stages, and the batches that carry a plan out.

use super::*;

impl Assigner {
    /// The ready servers beside the owner, in the slice's hash order, alike at every assigner.
    pub(super) fn other_candidates(&self, id: SliceId) -> impl Iterator<Item = usize> + '_ {
        let fit = move |i: &usize| {
            Some(*i) != self.slices[id].owner && self.servers[*i].listed_status == Listed::Ready
        };
        self.rendezvous_order[id].iter().copied().filter(fit)
    }

    pub(super) fn is_movable(&self, slice: &Slice) -> bool {
        slice.handover.is_none() && slice.owner.is_some() && self.now >= slice.movable_from
    }

    /// The greedy pass: moves that bring every server of ours under `limit`, with little demand moved.
    /// With `partly`, it keeps what it found even if some servers stay above.
    pub(super) fn greedy_moves(&self, view: &LoadSnapshot, limit: f64, partly: bool) -> Option<Vec<Move>> {
        let (mut loads, mut rooms) = (view.loads.clone(), view.headroom.clone());
        let (mut moves, mut stuck) = (Vec::<Move>::new(), vec![false; loads.len()]);
        loop {
            let fit = |i: &usize| {
                !stuck[*i] && loads[*i] > limit && self.servers[*i].listed_status == Listed::Ready
            };
            let over = self.slices.iter().filter_map(|s| s.owner).filter(fit);
            let over = over.min_by(|a, b| loads[*b].total_cmp(&loads[*a]).then(b.cmp(a)));
            let Some(from) = over else { return Some(moves) };
            let mut best: Option<((u8, f64), Move)> = None;
            for (id, slice) in self.slices.iter().enumerate() {
                let moved = moves.iter().any(|(s, _)| *s == id);
                if !self.is_movable(slice) || slice.owner != Some(from) || moved || view.demand[id] <= 0.0 {
                    continue;
                }
                // The least demand that does it; where none does, the most.
                let off = view.demand[id] * view.load_per_demand[from];
                let cost = if off >= loads[from] - limit { (0, off) } else { (1, -off) };
                for to in self.other_candidates(id).take(HASH_CANDIDATES) {
                    let add = self.added_load(view, id, to);
                    let fits =
                        accepts_slices(&self.servers[to]) && add <= rooms[to] && loads[to] + add <= limit;
                    if fits && best.is_none_or(|(least, _)| cost < least) {
                        best = Some((cost, (id, to)));
                    }
                }
            }
            match best {
                Some((_, (id, to))) => {
                    loads[from] -= view.demand[id] * view.load_per_demand[from];
                    loads[to] += view.demand[id] * view.load_per_demand[to];
                    rooms[to] -= self.added_load(view, id, to);
                    moves.push((id, to));
                }
                None if partly => stuck[from] = true,
                None => return None,
            }
        }
    }

    /// SWAT's three stages in order; the first that finds moves fills the batches.
    pub(super) fn make_plan(&mut self) {
        if !self.plan.running_batch.is_empty()
            || !self.plan.pending_batches.is_empty()
            || self.should_postpone()
        {
            return;
        }
        let view = self.load_snapshot();
        let wished = self.take_fitting_requests(&view);
        if !wished.is_empty() {
            self.output.push(Order::Log { text: format!("wishes: {} moves", wished.len()) });
            // An operator's word goes before the time that a moved slice stays.
            wished.iter().for_each(|(id, _)| self.slices[*id].movable_from = self.now);
            self.plan.pending_batches = self.order_into_batches(wished, &view);
            return;
        }
        let fit = || view.loads.iter().zip(&self.servers).filter(|(_, s)| usable(s) && s.seen_serving);
        let hot = fit().any(|(load, _)| *load > HOT_LOAD);
        let off = |load: f64| (load - view.average_load).abs() > SKEW_FRACTION * view.average_load;
        let skewed = fit().any(|(load, _)| off(*load)) && fit().any(|(_, s)| self.has_queueing(s));
        self.plan.skewed_rounds = if skewed { self.plan.skewed_rounds + 1 } else { 0 };
        let find =
            |limit: f64, partly| self.greedy_moves(&view, limit, partly).filter(|moves| !moves.is_empty());
        let level = || {
            LEVELING_TARGET_FACTORS.iter().find_map(|t| find((t * view.average_load).min(HOT_LOAD), false))
        };
        let cool = |partly| if hot { find(HOT_LOAD, partly) } else { None };
        let leveling = (self.plan.skewed_rounds >= MIN_SKEWED_ROUNDS).then(level).flatten();
        let found = leveling.map(|moves| ("leveling", moves));
        let found = found.or_else(|| cool(false).map(|moves| ("elimination", moves)));
        let found = found.or_else(|| cool(true).map(|moves| ("mitigation", moves)));
        let Some((stage, moves)) = found else { return };
        let text = format!("{stage}: {} moves, average {:.2}", moves.len(), view.average_load);
        self.output.push(Order::Log { text });
        (self.plan.skewed_rounds, self.plan.pending_batches) = (0, self.order_into_batches(moves, &view));
    }

    /// A proxy that left lately stalls the writes of what moves to its lease's end, so plans are postponed; not for
    /// ever, since some proxies may be away at any time.
    fn should_postpone(&mut self) -> bool {
        let is_away = |proxy: &Proxy| !proxy.joined && self.now < proxy.state_since + self.cfg.write_lease;
        let some_away = self.proxies.values().any(is_away);
        self.plan.postponed_rounds = if some_away { self.plan.postponed_rounds.saturating_add(1) } else { 0 };
        (1..=MAX_POSTPONED_ROUNDS).contains(&self.plan.postponed_rounds)
    }

    /// Wishes that fit now. What doesn't is let go: whoever wished may wish again.
    pub(super) fn take_fitting_requests(&mut self, view: &LoadSnapshot) -> Vec<Move> {
        let (mut rooms, wishes) = (view.headroom.clone(), std::mem::take(&mut self.plan.requested_moves));
        let fits = |(id, to): &Move| {
            let (slice, server, add) =
                (&self.slices[*id], &self.servers[*to], self.added_load(view, *id, *to));
            let free = slice.handover.is_none() && slice.owner.is_some_and(|owner| owner != *to);
            let fits = free && accepts_slices(server) && server.seen_serving && add <= rooms[*to];
            rooms[*to] -= if fits { add } else { 0.0 };
            fits
        };
        wishes.into_iter().filter(fits).collect()
    }

    /// Sinks first; a cycle breaks at the server least loaded after its incoming moves.
    pub(super) fn order_into_batches(
        &self,
        mut moves: Vec<Move>,
        view: &LoadSnapshot,
    ) -> VecDeque<Vec<Move>> {
        let mut batches = VecDeque::new();
        while !moves.is_empty() {
            let leaves = |i: usize| moves.iter().any(|(s, _)| self.slices[*s].owner == Some(i));
            let mut sinks: Vec<usize> = moves.iter().map(|m| m.1).filter(|to| !leaves(*to)).collect();
            if sinks.is_empty() {
                let after = |i: usize| -> f64 {
                    let incoming = moves.iter().filter(|m| m.1 == i);
                    view.loads[i] + incoming.map(|m| view.demand[m.0] * view.load_per_demand[i]).sum::<f64>()
                };
                sinks.extend(moves.iter().map(|m| m.1).min_by(|a, b| after(*a).total_cmp(&after(*b))));
            }
            let (now, later) = moves.into_iter().partition(|m| sinks.contains(&m.1));
            batches.push_back(now);
            moves = later;
        }
        batches
    }

    /// Starts a batch once the one before is done.
    pub(super) fn run_next_batch(&mut self) {
        self.plan.running_batch.retain(|id| self.slices[*id].handover.is_some());
        if !self.plan.running_batch.is_empty() || !self.channel_is_below(PLAN_START_FILL) {
            return;
        }
        let Some(moves) = self.plan.pending_batches.pop_front() else { return };
        for (slice, to) in moves {
            if self.is_movable(&self.slices[slice]) && accepts_slices(&self.servers[to]) {
                self.start_handover(slice, Some(to), false);
                self.plan.running_batch.push(slice);
            }
        }
    }
}

#[cfg(test)]
mod tests;
