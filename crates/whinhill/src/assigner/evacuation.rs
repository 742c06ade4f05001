//! Evacuation: slices that leave their owners outside of plans, and the choice of destinations.

use super::*;

/// For how long reads go on at draining servers.
struct DrainSchedule {
    /// From the list update to the stop of all RPCs.
    read_time: Duration,
    /// Reads go on at all: there is enough time for it, and the channel has room for the further orders. Otherwise all
    /// RPCs are stopped at once.
    may_read: bool,
}

impl Assigner {
    /// Starts the handover of slices whose owner is gone, draining or unhealthy, and, where another server has
    /// headroom for them, of slices that bring a cold owner over its budget: their demand may rise sooner than levels
    /// can follow.
    pub(super) fn evacuate(&mut self) {
        let is_fenced = self.cfg.fence_writes;
        let DrainSchedule { read_time, may_read } = self.drain_schedule();
        let drains_start = self.channel_is_below(self.drain_start_fill());
        let leaves_start = self.channel_is_below(LEAVE_START_FILL);

        let mut snapshot = None;
        let mut departures = BTreeMap::new();
        for id in 0..self.slices.len() {
            let Some(owner) = self.slices[id].owner else { continue };
            let server = &self.servers[owner];
            let (is_usable, status) = (usable(server), server.listed_status);
            let is_late = self.now >= server.not_ready_since + read_time;
            let may_read_on = status == ListedStatus::Draining
                && server.unhealthy_until.is_none()
                && !server.suspected
                && may_read;
            let stops_all = is_fenced && !may_read_on || status != ListedStatus::Ready && is_late;
            match &self.slices[id].handover {
                Some(handover) if is_usable || handover.stops_all() => {}
                Some(_) if stops_all || is_late => self.stop_all_rpcs(id),
                None if drains_start
                    && status != ListedStatus::Ready
                    && self.channel_is_below(DRAIN_STOP_FILL)
                    || leaves_start
                        && (!is_usable || self.is_cold(owner))
                        && self.channel_is_below(LEAVE_STOP_FILL) =>
                {
                    let snapshot: &mut LoadSnapshot = snapshot.get_or_insert_with(|| self.load_snapshot());
                    // In a fenced handover where no server has headroom, the destination is chosen with the grant: more
                    // is known by then of servers that have just started.
                    let to = self
                        .destination_with_headroom(id, snapshot)
                        .or_else(|| self.destination(id, snapshot).filter(|_| !is_fenced));
                    let load = to.map_or(0.0, |to| self.added_load(snapshot, id, to));
                    let exceeds_budget = snapshot.own_loads[owner] > self.unreported_cold_budget()
                        && to.is_some_and(|to| snapshot.headroom[to] >= load);
                    if !is_usable || exceeds_budget {
                        snapshot.own_loads[owner] -= snapshot.demand[id] * snapshot.load_per_demand[owner];
                        if let Some(to) = to {
                            snapshot.reserve(to, load);
                        }
                        departures.entry((owner, to)).or_insert_with(Vec::new).push(id);
                        self.start_handover(id, to, stops_all);
                    }
                }
                _ => {}
            }
        }
        self.log_departures(&departures, snapshot.as_ref());
    }

    /// For how long reads may go on at draining servers: the order that stops them must still arrive within the grace,
    /// behind what is queued in the channel.
    fn drain_schedule(&self) -> DrainSchedule {
        let is_not_ready = |owner: usize| self.servers[owner].listed_status != ListedStatus::Ready;
        let leaving = self.slices.iter().filter(|slice| slice.owner.is_some_and(is_not_ready));
        let slices_to_stop = leaving.filter(|s| s.handover.as_ref().is_none_or(|h| !h.stops_all())).count();
        let orders = if self.cfg.fence_writes { 2 * slices_to_stop } else { slices_to_stop };
        let lines = self.channel.queued_lines + self.message_lines(orders);
        let send_time = Duration::from_secs_f64(lines / self.cfg.lines_per_s);
        let end_time = self.cfg.max_transit.mul_f64(DRAIN_TRANSIT_FACTOR) + send_time;
        let read_time = self.cfg.drain_grace.saturating_sub(end_time);
        let fits_channel = lines <= PLAN_START_FILL * self.cfg.max_backlog_lines;
        DrainSchedule { read_time, may_read: fits_channel && read_time >= self.cfg.max_transit / 2 }
    }

    /// The fill below which drains start. Several message overheads must fit between it and the fill at which they
    /// stop: otherwise drains go out a few slices a message, and overheads take much of the channel. On a channel where
    /// they fit nowhere, drains must not wait for an empty queue either.
    fn drain_start_fill(&self) -> f64 {
        let overheads = MIN_DRAIN_MESSAGES * self.cfg.message_overhead_lines * self.joined_proxies() as f64
            / self.cfg.max_backlog_lines;
        DRAIN_START_FILL.min(DRAIN_STOP_FILL - overheads).max(LEAVE_STOP_FILL)
    }

    /// The destination of a slice that must leave: of the first servers in its rendezvous order that take slices and
    /// have headroom for it, the least loaded one.
    pub(super) fn destination_with_headroom(&self, id: SliceId, snapshot: &LoadSnapshot) -> Option<usize> {
        let added = |i: &usize| self.added_load(snapshot, id, *i);
        let fits = |i: &usize| accepts_slices(&self.servers[*i]) && snapshot.headroom[*i] >= added(i);
        let by_load = |a: &usize, b: &usize| {
            (snapshot.loads[*a] + added(a)).total_cmp(&(snapshot.loads[*b] + added(b)))
        };
        self.other_candidates(id).filter(fits).take(HASH_CANDIDATES).min_by(by_load)
    }

    /// The destination of a slice that must leave, also where no server has headroom. Then any ready server is chosen
    /// by weighted rendezvous hashing: the slices of all assigners spread in proportion to free capacity, though none
    /// of them knows what the others move, and levels admit what each server can do. Where levels are not shares,
    /// nothing would keep a cold server within its budget: then the least loaded warm server is chosen.
    pub(super) fn destination(&self, id: SliceId, snapshot: &LoadSnapshot) -> Option<usize> {
        let levels_are_shares = self.cfg.admission == Admission::Share;
        // Servers that accept no slices come last; before them those not seen to serve, and cold ones where levels are
        // not shares.
        let unfit = |i: &usize| {
            let server = &self.servers[*i];
            (!accepts_slices(server), !server.seen_serving || !levels_are_shares && self.is_cold(*i))
        };
        let score = |i: &usize| {
            let server = &self.servers[*i];
            let load = snapshot.loads[*i].max(snapshot.own_loads[*i]);
            if !levels_are_shares {
                return load + self.added_load(snapshot, id, *i);
            }
            let free = (1.0 - load).max(MIN_FREE_FRACTION);
            let draw = (server.endpoint.rendezvous_weight(id) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            -draw.ln() / (free * self.slow_start_factor(server) * server.size)
        };
        let by_fitness_and_score =
            |a: &usize, b: &usize| unfit(a).cmp(&unfit(b)).then(score(a).total_cmp(&score(b)));
        self.destination_with_headroom(id, snapshot)
            .or_else(|| self.other_candidates(id).min_by(by_fitness_and_score))
    }
}

#[cfg(test)]
mod tests;
