//! Estimates of demand and load. Measures have the usual reporting interval as their half-life: with a longer one
//! trouble would be found late, with a shorter one measures would be noise.

use super::*;

impl Assigner {
    /// Work of a method's RPC in average RPCs. Soft deadlines are the only hint at it.
    pub(super) fn work_per_rpc(&self, method: MethodId) -> f64 {
        self.cfg.methods[method].soft_deadline.as_secs_f64() / self.cfg.mean_soft_deadline_s.max(1e-6)
    }

    /// Each slice's demand: the work that comes in a second, in average RPCs. A slice of which no reports can have come
    /// yet counts with the mean of the others.
    pub(super) fn demand(&self) -> Vec<f64> {
        let is_reported = |s: &Slice| s.in_custody && self.now > s.acquired_at + self.half_life * 2;
        let rate = |s: &Slice| is_reported(s).then(|| s.demand.rate(self.now, self.half_life));
        let rates: Vec<Option<f64>> = self.slices.iter().map(rate).collect();
        let mean = rates.iter().flatten().sum::<f64>() / rates.iter().flatten().count().max(1) as f64;
        let or_mean =
            |(rate, s): (Option<f64>, &Slice)| rate.unwrap_or(if s.in_custody { mean } else { 0.0 });
        rates.into_iter().zip(&self.slices).map(or_mean).collect()
    }

    /// Sums the demand of slices by the server at which `place` puts each.
    pub(super) fn demand_by_server(
        &self,
        demand: &[f64],
        place: impl Fn(&Slice) -> Option<usize>,
    ) -> Vec<f64> {
        let mut sums = vec![0.0; self.servers.len()];
        let placed = self.slices.iter().zip(demand).filter_map(|(s, demand)| Some((place(s)?, demand)));
        placed.for_each(|(server, demand)| sums[server] += demand);
        sums
    }

    /// Work a second that levels admit at each server, without slices in a handover.
    pub(super) fn admitted_rates(&self) -> Vec<f64> {
        let demand = self.demand();
        let slices = demand.iter().zip(&self.slices);
        let admitted: Vec<f64> = slices.map(|(demand, slice)| demand * slice.admitted_fraction()).collect();
        self.demand_by_server(&admitted, |slice| slice.owner.filter(|_| slice.handover.is_none()))
    }

    /// The fraction of all slices that are in this assigner's custody.
    pub(super) fn custody_fraction(&self) -> f64 {
        self.slices.iter().filter(|s| s.in_custody).count() as f64 / self.slices.len().max(1) as f64
    }

    /// A server's present capacity as a fraction of its full one, at the slowest warm-up that the rules allow.
    pub(super) fn slow_start_factor(&self, server: &Server) -> f64 {
        let Some(started_at) = server.started_at else { return 1.0 };
        let age = self.now.saturating_sub(started_at).as_secs_f64() / self.cfg.warm_up_time.as_secs_f64();
        (self.cfg.cold_capacity + (1.0 - self.cfg.cold_capacity) * age).min(1.0)
    }

    /// Whether a server is warming up.
    pub(super) fn is_cold(&self, server: usize) -> bool {
        self.slow_start_factor(&self.servers[server]) < 1.0
    }

    /// Whether answers are delayed by a queue at a server: without that it isn't hot, however its load compares.
    pub(super) fn has_queueing(&self, server: &Server) -> bool {
        let peer_service_time = server.service_time.map(|service| service.min(self.slow_service_time));
        let unqueued_wait = peer_service_time.or(server.baseline_wait);
        let mean_wait = server.mean_wait(self.now, self.half_life);
        let waits = mean_wait.zip(unqueued_wait);
        waits.is_some_and(|(wait, unqueued)| wait > QUEUEING_WAIT_FACTOR * unqueued)
    }

    /// How long an RPC that arrives now would be queued at a server, in seconds, by the reported queue and Little's
    /// law.
    pub(super) fn estimated_queue_wait(&self, server: &Server) -> Option<f64> {
        let (queued_per_running, reported_at) = server.queued_per_running?;
        let service_time = server.service_time.or(server.baseline_wait)?;
        (self.now < reported_at + self.cfg.period * 3).then_some(queued_per_running * service_time)
    }

    /// Estimates every server's load and what a unit of demand adds to it, by splitting a server's load over the slices
    /// that it serves. Where servers don't report how busy they are, the load is demand over the learned capacity;
    /// until any capacity is learned, it is demand over size, scaled to `ASSUMED_LOAD` on average.
    pub(super) fn load_snapshot(&self) -> LoadSnapshot {
        let now = self.now;
        let custody_fraction = self.custody_fraction();
        let max_report_age = self.cfg.period * 3;
        // Loads count a slice at its destination, since reports lag; load per demand counts it where it is served.
        let place = |s: &Slice| s.handover.as_ref().and_then(|h| h.destination).or(s.owner);
        let demand = self.demand();
        let placed_demand = self.demand_by_server(&demand, place);
        let ready: Vec<&Server> =
            self.servers.iter().filter(|s| s.listed_status == ListedStatus::Ready).collect();
        let ready_count = ready.len().max(1) as f64;
        // A server with a stale report is of unknown load, not idle.
        let reported_cpu =
            |s: &Server| s.cpu.filter(|(_, at)| now < *at + max_report_age).map(|(cpu, _)| cpu);
        let has_cpu_reports = ready.iter().any(|s| reported_cpu(s).is_some());

        // The usual load per demand. Of a server's load, a part as large as the fraction of slices in custody is taken
        // to come from those slices.
        let served_demand = self.demand_by_server(&demand, |s| s.owner.filter(|_| s.handover.is_none()));
        let known = ready.iter().filter_map(|s| {
            let admitted = served_demand[s.endpoint.index] * (1.0 - s.rejected_fraction) / s.size;
            let load = reported_cpu(s).or((!has_cpu_reports).then_some(ASSUMED_LOAD));
            load.map(|load| (load * custody_fraction, admitted))
        });
        let (known_load, known_demand) =
            known.fold((0.0, 0.0), |(loads, demands), (load, demand)| (loads + load, demands + demand));
        let usual_unit = if known_demand > 0.0 { known_load / known_demand } else { 0.0 };
        // Lost tries show that the load is larger than that. A cold server must not show it by collapsing, and nothing
        // else is known after a restart of this assigner, which has learned no capacity yet. Where tries are lost for
        // another reason, cold servers get their load later than they could.
        let sum = |f: fn(&Server) -> &DecayingSum| {
            ready.iter().map(|s| f(s).read(now, self.half_life)).sum::<f64>()
        };
        let served_fraction = 1.0 - sum(|s| &s.lost_tries) / sum(|s| &s.tries).max(1.0);
        let cold_unit = usual_unit / served_fraction.clamp(MIN_SERVED_FRACTION, 1.0);

        let usual_cost_demand = USUAL_COST_DEMAND_FRACTION * placed_demand.iter().sum::<f64>() / ready_count;
        let slices_in_custody = (custody_fraction * self.slices.len() as f64).max(1.0);
        let idle_slice_demand = IDLE_SLICE_FRACTION * placed_demand.iter().sum::<f64>() / slices_in_custody;
        let mut snapshot = LoadSnapshot {
            demand,
            limits: self.server_limits(),
            idle_slice_demand,
            ..LoadSnapshot::default()
        };
        let slice_counts = self.demand_by_server(&vec![1.0; self.slices.len()], place);
        for ((server, placed), slice_count) in self.servers.iter().zip(&placed_demand).zip(slice_counts) {
            let ramp = self.slow_start_factor(server);
            let is_cold = ramp < 1.0;
            let cpu = reported_cpu(server);
            let admitted = placed * (1.0 - server.rejected_fraction);
            // Load per demand at full capacity.
            let unit = match (cpu, snapshot.limits[server.endpoint.index]) {
                (Some(cpu), _) if !is_cold => {
                    (cpu * custody_fraction + usual_unit * usual_cost_demand)
                        / (admitted + usual_cost_demand).max(1e-9)
                }
                (None, limit) if !has_cpu_reports && limit.is_finite() => 1.0 / limit.max(1e-9),
                _ => {
                    (if is_cold && !has_cpu_reports { cold_unit } else { usual_unit }) / server.size.max(1e-3)
                }
            };
            let own_load = placed * unit / ramp;
            let others_load = cpu.unwrap_or(ASSUMED_LOAD) * (1.0 - custody_fraction) / ramp;
            let load = own_load + others_load;
            let load = if self.has_queueing(server) { load } else { load.min(HOT_LOAD) };

            let idle_load = snapshot.idle_slice_demand * slice_count * unit / ramp;
            let own_load_if_busy = own_load.max(idle_load);
            let (offered_fraction, max_headroom) = if is_cold {
                (COLD_HEADROOM_FRACTION, self.unreported_cold_budget() - own_load_if_busy)
            } else {
                (1.0, f64::MAX)
            };
            let headroom = ((HOT_LOAD / ramp - load) * offered_fraction * custody_fraction)
                .clamp(0.0, max_headroom.max(0.0));
            let may_hold_more =
                server.seen_serving || !self.cfg.may_probe && slice_count < MAX_UNCONFIRMED_SLICES;
            // What was just granted does not show in the report yet.
            let sent = server.tries.rate(now, self.half_life).min(admitted);
            let report = cpu.map(|cpu| (cpu, sent * unit / ramp));

            snapshot.cold_budgets.push(self.reported_cold_budget(report));
            snapshot.own_loads.push(own_load);
            snapshot.loads.push(load);
            snapshot.load_per_demand.push(unit / ramp);
            let has_headroom = accepts_slices(server) && may_hold_more;
            snapshot.headroom.push(if has_headroom { headroom } else { 0.0 });
        }
        snapshot.average_load =
            ready.iter().map(|s| snapshot.loads[s.endpoint.index]).sum::<f64>() / ready_count;
        snapshot
    }

    /// Load that a slice brings a server. On a cold server even an idle slice counts, since its demand may rise.
    pub(super) fn added_load(&self, snapshot: &LoadSnapshot, id: SliceId, to: usize) -> f64 {
        let min_demand = if self.is_cold(to) { snapshot.idle_slice_demand } else { 0.0 };
        snapshot.demand[id].max(min_demand) * snapshot.load_per_demand[to]
    }
}
