//! Estimates of demand and load. Measures halve in a report's usual stretch: longer finds trouble late,
//! shorter is noise.

use super::*;

impl Assigner {
    /// Work of a method's RPC against the average: soft deadlines are the one hint at it.
    pub(super) fn work_per_rpc(&self, method: MethodId) -> f64 {
        self.cfg.methods[method].soft_deadline.as_secs_f64() / self.cfg.mean_soft_deadline_s.max(1e-6)
    }

    /// Work that comes in a second, in average RPCs; for a slice not heard of yet, the others' mean.
    pub(super) fn demand(&self) -> Vec<f64> {
        let heard = |s: &Slice| s.in_custody && self.now > s.acquired_at + self.half_life * 2;
        let rate = |s: &Slice| heard(s).then(|| s.demand.rate(self.now, self.half_life));
        let rates: Vec<Option<f64>> = self.slices.iter().map(rate).collect();
        let mean = rates.iter().flatten().sum::<f64>() / rates.iter().flatten().count().max(1) as f64;
        let or_mean =
            |(rate, s): (Option<f64>, &Slice)| rate.unwrap_or(if s.in_custody { mean } else { 0.0 });
        rates.into_iter().zip(&self.slices).map(or_mean).collect()
    }

    pub(super) fn demand_by_server(
        &self,
        demand: &[f64],
        place: impl Fn(&Slice) -> Option<usize>,
    ) -> Vec<f64> {
        let mut sums = vec![0.0; self.servers.len()];
        let placed = self.slices.iter().zip(demand).filter_map(|(s, demand)| Some((place(s)?, demand)));
        placed.for_each(|(place, demand)| sums[place] += demand);
        sums
    }

    /// Work a second that we let in at each server.
    pub(super) fn admitted_rates(&self) -> Vec<f64> {
        let demand = self.demand();
        let let_in: Vec<f64> = demand
            .iter()
            .zip(&self.slices)
            .map(|(demand, slice)| demand * slice.admitted_fraction())
            .collect();
        self.demand_by_server(&let_in, |slice| slice.owner.filter(|_| slice.handover.is_none()))
    }

    /// Our share of all slices.
    pub(super) fn custody_fraction(&self) -> f64 {
        self.slices.iter().filter(|s| s.in_custody).count() as f64 / self.slices.len().max(1) as f64
    }

    /// Present capacity as a part of the full one, at the slowest ramp that the rules allow.
    pub(super) fn slow_start_factor(&self, server: &Server) -> f64 {
        let Some(started) = server.started_at else { return 1.0 };
        let age = self.now.saturating_sub(started).as_secs_f64() / self.cfg.warm_up_time.as_secs_f64();
        (self.cfg.cold_capacity + (1.0 - self.cfg.cold_capacity) * age).min(1.0)
    }

    pub(super) fn is_cold(&self, server: usize) -> bool {
        self.slow_start_factor(&self.servers[server]) < 1.0
    }

    /// Whether answers wait at a server: without that it isn't hot, however its load compares.
    pub(super) fn has_queueing(&self, server: &Server) -> bool {
        let free =
            server.service_time.map(|service| service.min(self.slow_service_time)).or(server.baseline_wait);
        server
            .mean_wait(self.now, self.half_life)
            .zip(free)
            .is_some_and(|(wait, free)| wait > QUEUEING_WAIT_FACTOR * free)
    }

    /// How long an RPC that arrives now waits there in seconds, by the reported queue and Little's law.
    pub(super) fn estimated_queue_wait(&self, server: &Server) -> Option<f64> {
        let (rounds, at) = server.queued_per_running?;
        let service = server.service_time.or(server.baseline_wait)?;
        (self.now < at + self.cfg.period * 3).then_some(rounds * service)
    }

    /// Splits each server's load over the slices it serves. Where servers don't report how busy they are, it
    /// is demand over the capacity learned; until any is learned, demand by size, at `ASSUMED_LOAD` on average.
    pub(super) fn load_snapshot(&self) -> LoadSnapshot {
        let (now, share, fresh) = (self.now, self.custody_fraction(), self.cfg.period * 3);
        // Loads count a slice where it is going, since reports lag; costs count it where it is served.
        let place = |s: &Slice| s.handover.as_ref().and_then(|h| h.destination).or(s.owner);
        let demand = self.demand();
        let owned = self.demand_by_server(&demand, place);
        let ready: Vec<&Server> = self.servers.iter().filter(|s| s.listed_status == Listed::Ready).collect();
        let count = ready.len().max(1) as f64;
        // A stale report is unknown, not idle. Of a server's load, our share of slices is taken to be ours.
        let told = |s: &Server| s.cpu.filter(|(_, at)| now < *at + fresh).map(|(cpu, _)| cpu);
        let busy = ready.iter().any(|s| told(s).is_some());
        let served = self.demand_by_server(&demand, |s| s.owner.filter(|_| s.handover.is_none()));
        let known = ready.iter().filter_map(|s| {
            let own = served[s.endpoint.index] * (1.0 - s.rejected_fraction) / s.size;
            told(s).or((!busy).then_some(ASSUMED_LOAD)).map(|load| (load * share, own))
        });
        let (loads, owns) = known.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let usual = if owns > 0.0 { loads / owns } else { 0.0 };
        // Lost tries show more load than that; a cold server must not learn it by falling (after a return
        // nothing else is known). Harm: where answers are lost for another reason, cold servers fill later.
        let sum = |f: fn(&Server) -> &DecayingSum| {
            ready.iter().map(|s| f(s).read(now, self.half_life)).sum::<f64>()
        };
        let served_part = 1.0 - sum(|s| &s.lost_tries) / sum(|s| &s.tries).max(1.0);
        let pressed = usual / served_part.clamp(MIN_SERVED_FRACTION, 1.0);
        let pad = USUAL_COST_DEMAND_FRACTION * owned.iter().sum::<f64>() / count;
        let idle =
            IDLE_SLICE_FRACTION * owned.iter().sum::<f64>() / (share * self.slices.len() as f64).max(1.0);
        let mut view = LoadSnapshot {
            demand,
            limits: self.server_limits(),
            idle_slice_demand: idle,
            ..LoadSnapshot::default()
        };
        let held = self.demand_by_server(&vec![1.0; self.slices.len()], place);
        for ((server, owned), held) in self.servers.iter().zip(&owned).zip(held) {
            let ramp = self.slow_start_factor(server);
            let let_in = owned * (1.0 - server.rejected_fraction);
            let unit = match (told(server), view.limits[server.endpoint.index]) {
                (Some(cpu), _) if ramp >= 1.0 => (cpu * share + usual * pad) / (let_in + pad).max(1e-9),
                (None, limit) if !busy && limit.is_finite() => 1.0 / limit.max(1e-9),
                _ => (if ramp < 1.0 && !busy { pressed } else { usual }) / server.size.max(1e-3),
            };
            let own = owned * unit / ramp;
            let untried = !server.seen_serving && (self.cfg.may_probe || held >= MAX_UNCONFIRMED_SLICES);
            let crowd = own.max(view.idle_slice_demand * held * unit / ramp);
            let load = own + told(server).unwrap_or(ASSUMED_LOAD) * (1.0 - share) / ramp;
            let load = if self.has_queueing(server) { load } else { load.min(HOT_LOAD) };
            let (part, most) = if ramp < 1.0 {
                (COLD_HEADROOM_FRACTION, self.unreported_cold_budget() - crowd)
            } else {
                (1.0, f64::MAX)
            };
            let room = ((HOT_LOAD / ramp - load) * part * share).clamp(0.0, most.max(0.0));
            // What has just been granted does not show in the report.
            let sent = server.tries.rate(now, self.half_life).min(let_in);
            let report = told(server).map(|cpu| (cpu, sent * unit / ramp));
            view.cold_budgets.push(self.reported_cold_budget(report));
            view.own_loads.push(own);
            view.loads.push(load);
            view.load_per_demand.push(unit / ramp);
            view.headroom.push(if accepts_slices(server) && !untried { room } else { 0.0 });
        }
        view.average_load = ready.iter().map(|s| view.loads[s.endpoint.index]).sum::<f64>() / count;
        view
    }

    /// Load that a slice brings a server. To a cold one even an idle slice counts: it may come into demand.
    pub(super) fn added_load(&self, view: &LoadSnapshot, id: SliceId, to: usize) -> f64 {
        let least = if self.is_cold(to) { view.idle_slice_demand } else { 0.0 };
        view.demand[id].max(least) * view.load_per_demand[to]
    }
}
