//! Plans: the three stages of the load balancing method SWAT (leveling, elimination, mitigation; source in
//! `docs/design.md`), and the batches that carry a plan out.

use super::*;

impl Assigner {
    /// The ready servers besides the owner, in the slice's rendezvous order, which is the same at every assigner.
    pub(super) fn other_candidates(&self, id: SliceId) -> impl Iterator<Item = usize> + '_ {
        let is_candidate = move |i: &usize| {
            Some(*i) != self.slices[id].owner && self.servers[*i].listed_status == ListedStatus::Ready
        };
        self.rendezvous_order[id].iter().copied().filter(is_candidate)
    }

    /// Whether a plan may move a slice now.
    pub(super) fn is_movable(&self, slice: &Slice) -> bool {
        slice.handover.is_none() && slice.owner.is_some() && self.now >= slice.movable_from
    }

    /// Finds, greedily, moves that bring the load of every server that owns slices in custody to `limit` at most, and
    /// move little demand. With `partly`, the moves found are returned even if some servers stay above the limit.
    pub(super) fn greedy_moves(
        &self,
        snapshot: &LoadSnapshot,
        limit: f64,
        partly: bool,
    ) -> Option<Vec<Move>> {
        let mut loads = snapshot.loads.clone();
        let mut headroom = snapshot.headroom.clone();
        let mut moves = Vec::<Move>::new();
        let mut is_stuck = vec![false; loads.len()];
        loop {
            let exceeds_limit = |i: &usize| {
                !is_stuck[*i] && loads[*i] > limit && self.servers[*i].listed_status == ListedStatus::Ready
            };
            let overloaded = self.slices.iter().filter_map(|s| s.owner).filter(exceeds_limit);
            let most_loaded = overloaded.min_by(|a, b| loads[*b].total_cmp(&loads[*a]).then(b.cmp(a)));
            let Some(from) = most_loaded else { return Some(moves) };
            let mut best: Option<((u8, f64), Move)> = None;
            for (id, slice) in self.slices.iter().enumerate() {
                let is_moved = moves.iter().any(|(moved, _)| *moved == id);
                let has_demand = snapshot.demand[id] > 0.0;
                if !self.is_movable(slice) || slice.owner != Some(from) || is_moved || !has_demand {
                    continue;
                }
                // The least demand that brings the server to the limit; if no slice does, the largest demand.
                let relief = snapshot.demand[id] * snapshot.load_per_demand[from];
                let cost = if relief >= loads[from] - limit { (0, relief) } else { (1, -relief) };
                for to in self.other_candidates(id).take(HASH_CANDIDATES) {
                    let load = self.added_load(snapshot, id, to);
                    let fits = accepts_slices(&self.servers[to])
                        && load <= headroom[to]
                        && loads[to] + load <= limit;
                    if fits && best.is_none_or(|(least_cost, _)| cost < least_cost) {
                        best = Some((cost, (id, to)));
                    }
                }
            }
            match best {
                Some((_, (id, to))) => {
                    loads[from] -= snapshot.demand[id] * snapshot.load_per_demand[from];
                    loads[to] += snapshot.demand[id] * snapshot.load_per_demand[to];
                    headroom[to] -= self.added_load(snapshot, id, to);
                    moves.push((id, to));
                }
                None if partly => is_stuck[from] = true,
                None => return None,
            }
        }
    }

    /// Makes a plan unless one is in progress: the moves that operators request, or those of the first stage of SWAT
    /// that finds any.
    pub(super) fn make_plan(&mut self) {
        let is_in_progress = !self.plan.running_batch.is_empty() || !self.plan.pending_batches.is_empty();
        if is_in_progress || self.should_postpone() {
            return;
        }
        let snapshot = self.load_snapshot();
        let requested = self.take_fitting_requests(&snapshot);
        if !requested.is_empty() {
            self.output.push(Order::Log { text: format!("requested: {} moves", requested.len()) });
            // A request of an operator overrides the time for which a moved slice stays.
            requested.iter().for_each(|(id, _)| self.slices[*id].movable_from = self.now);
            self.plan.pending_batches = self.order_into_batches(requested, &snapshot);
            return;
        }
        let usable_loads =
            || snapshot.loads.iter().zip(&self.servers).filter(|(_, s)| usable(s) && s.seen_serving);
        let is_hot = usable_loads().any(|(load, _)| *load > HOT_LOAD);
        let average = snapshot.average_load;
        let deviates = |load: f64| (load - average).abs() > SKEW_FRACTION * average;
        let is_skewed = usable_loads().any(|(load, _)| deviates(*load))
            && usable_loads().any(|(_, server)| self.has_queueing(server));
        self.plan.skewed_rounds = if is_skewed { self.plan.skewed_rounds + 1 } else { 0 };

        let find = |limit: f64, partly| {
            self.greedy_moves(&snapshot, limit, partly).filter(|moves| !moves.is_empty())
        };
        let level = || {
            LEVELING_TARGET_FACTORS.iter().find_map(|factor| find((factor * average).min(HOT_LOAD), false))
        };
        let cool = |partly| if is_hot { find(HOT_LOAD, partly) } else { None };
        let leveling = (self.plan.skewed_rounds >= MIN_SKEWED_ROUNDS).then(level).flatten();
        let found = leveling.map(|moves| ("leveling", moves));
        let found = found.or_else(|| cool(false).map(|moves| ("elimination", moves)));
        let found = found.or_else(|| cool(true).map(|moves| ("mitigation", moves)));
        let Some((stage, moves)) = found else { return };
        let text = format!("{stage}: {} moves, average load {average:.2}", moves.len());
        self.output.push(Order::Log { text });
        self.plan.skewed_rounds = 0;
        self.plan.pending_batches = self.order_into_batches(moves, &snapshot);
    }

    /// Whether plans wait now. A proxy that has left lately would stall the writes to moved slices until its lease
    /// ends, so plans are postponed; but not for ever, since some proxies may be away at any time.
    fn should_postpone(&mut self) -> bool {
        let is_away = |proxy: &Proxy| !proxy.joined && self.now < proxy.state_since + self.cfg.write_lease;
        let are_some_away = self.proxies.values().any(is_away);
        self.plan.postponed_rounds =
            if are_some_away { self.plan.postponed_rounds.saturating_add(1) } else { 0 };
        (1..=MAX_POSTPONED_ROUNDS).contains(&self.plan.postponed_rounds)
    }

    /// Takes the requested moves that fit now. The others are dropped: operators may request them again.
    pub(super) fn take_fitting_requests(&mut self, snapshot: &LoadSnapshot) -> Vec<Move> {
        let mut headroom = snapshot.headroom.clone();
        let requests = std::mem::take(&mut self.plan.requested_moves);
        let fits = |(id, to): &Move| {
            let (slice, server) = (&self.slices[*id], &self.servers[*to]);
            let load = self.added_load(snapshot, *id, *to);
            let is_free = slice.handover.is_none() && slice.owner.is_some_and(|owner| owner != *to);
            let fits = is_free && accepts_slices(server) && server.seen_serving && load <= headroom[*to];
            headroom[*to] -= if fits { load } else { 0.0 };
            fits
        };
        requests.into_iter().filter(fits).collect()
    }

    /// Orders moves into batches: moves to servers that give no slices away come first, so that a server gives before
    /// it takes. A cycle is broken at the server that would be the least loaded after its incoming moves.
    pub(super) fn order_into_batches(
        &self,
        mut moves: Vec<Move>,
        snapshot: &LoadSnapshot,
    ) -> VecDeque<Vec<Move>> {
        let mut batches = VecDeque::new();
        while !moves.is_empty() {
            let gives = |i: usize| moves.iter().any(|(slice, _)| self.slices[*slice].owner == Some(i));
            let mut sinks: Vec<usize> = moves.iter().map(|m| m.1).filter(|to| !gives(*to)).collect();
            if sinks.is_empty() {
                let load_after = |i: usize| -> f64 {
                    let incoming = moves.iter().filter(|m| m.1 == i);
                    let added = incoming.map(|m| snapshot.demand[m.0] * snapshot.load_per_demand[i]);
                    snapshot.loads[i] + added.sum::<f64>()
                };
                let destinations = moves.iter().map(|m| m.1);
                sinks.extend(destinations.min_by(|a, b| load_after(*a).total_cmp(&load_after(*b))));
            }
            let (batch, later) = moves.into_iter().partition(|m| sinks.contains(&m.1));
            batches.push_back(batch);
            moves = later;
        }
        batches
    }

    /// Starts the next batch once the one before is done and the channel has room.
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
