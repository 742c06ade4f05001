//! The failure detector that works by probes: which servers are suspected.
//!
//! A server that misses probes is suspected as soon as that is unlikely of a healthy server: levels reject its slices'
//! RPCs, and it is probed again, until it answers or another miss makes it unhealthy (`health.rs`). How many misses
//! that takes follows from how often healthy servers have missed probes of late.

use super::*;

/// Healthy ready servers of a zone, counted by whether they have missed their last probe.
#[derive(Clone, Copy, Default)]
struct ZoneProbes {
    missed: usize,
    answered: usize,
}

impl Assigner {
    /// Orders probes of every ready server if it is time to, several times a period; returns whether it was.
    pub(super) fn order_probes(&mut self, is_period: bool) -> bool {
        if !self.cfg.may_probe || !is_period && self.now < self.next_probes_at {
            return false;
        }
        self.next_probes_at = self.now + self.cfg.period / self.probe_rounds();
        for server in self.servers.iter_mut().filter(|s| s.listed_status == ListedStatus::Ready) {
            server.probe_ordered_at.get_or_insert(self.now);
            self.output.push(Order::Probe { endpoint: server.endpoint });
        }
        true
    }

    /// Rounds of probes in a period: fewer where probes would be too many in comparison with RPCs.
    fn probe_rounds(&self) -> u32 {
        let our_rate = self.method_rpcs.iter().map(|rpcs| rpcs.rate(self.now, self.half_life)).sum::<f64>();
        let total_rate = our_rate / self.custody_fraction().max(1e-3);
        let ready = self.servers.iter().filter(|s| s.listed_status == ListedStatus::Ready).count();
        let round_rate = (ready * self.cfg.total_assigners) as f64 / self.cfg.period.as_secs_f64();
        let affordable = (MAX_PROBES_PER_RPC * total_rate / round_rate.max(1e-9)) as u32;
        if our_rate > 0.0 {
            affordable.clamp(1, MAX_PROBE_ROUNDS)
        } else {
            MAX_PROBE_ROUNDS
        }
    }

    /// Takes the result of a probe; a server that misses one is probed again at once, until it has missed
    /// `DEAD_AFTER_MISSES` in a row.
    pub(super) fn apply_probe_result(&mut self, endpoint: EndpointId, result: ProbeOutcome) {
        let (now, may_probe, period) = (self.now, self.cfg.may_probe, self.cfg.period);
        let is_first_miss =
            result == ProbeOutcome::Unanswered && self.server_mut(endpoint).unresponsive_since.is_none();
        let admitted_rate = if is_first_miss { self.admitted_rates()[endpoint.index] } else { 0.0 };
        let server = self.server_mut(endpoint);
        // A probe is taken to have been ordered at most a period ago.
        let earliest = now.saturating_sub(period);
        let ordered_at = server.probe_ordered_at.take().map_or(now, |at| at.max(earliest));
        match result {
            ProbeOutcome::Ok | ProbeOutcome::Aborted | ProbeOutcome::PushedBack => {
                server.record_probe_answer(now);
                server.seen_serving |= result == ProbeOutcome::Ok;
            }
            ProbeOutcome::Unanswered => {
                server.unanswered_probes += 1;
                if is_first_miss {
                    server.unresponsive_since = Some(ordered_at);
                    server.admitted_rate_at_miss = admitted_rate;
                }
                server.probe_ordered_at = Some(now);
                let probes_again = may_probe
                    && server.unanswered_probes < DEAD_AFTER_MISSES
                    && server.listed_status == ListedStatus::Ready;
                self.output.extend(probes_again.then_some(Order::Probe { endpoint }));
            }
        }
    }

    /// Updates which servers are suspected, by all probes so far.
    pub(super) fn update_suspicions(&mut self) {
        if !self.cfg.may_probe {
            return;
        }
        let zones = self.probes_by_zone();
        let missed: usize = zones.values().map(|zone| zone.missed).sum();
        let probed: usize = missed + zones.values().map(|zone| zone.answered).sum::<usize>();
        let max_chance = MAX_FALSE_ALARMS_PER_ROUND / probed.max(1) as f64;
        let fleet_misses_needed = misses_needed(self.fleet_false_miss_rate(), max_chance);
        let is_minority = missed as f64 <= MAX_SUSPECTED_FRACTION * probed as f64;
        // A broken path makes whole zones unresponsive and leaves other zones as they were.
        let some_zone_answers =
            zones.values().any(|zone| zone.answered > 0 && zone.missed * 2 <= zone.answered);
        let has_evidence_of_life = |s: &Server| self.evidence(s).is_some_and(|evidence| evidence.is_alive());
        let alive: Vec<bool> = self.servers.iter().map(has_evidence_of_life).collect();
        for (server, is_alive) in self.servers.iter_mut().zip(alive) {
            server.probes_unreliable |= is_alive;
            let misses_needed = misses_needed(server.false_miss_rate(self.now), max_chance);
            server.misses_to_suspect = fleet_misses_needed.max(misses_needed);
            let zone = zones.get(&server.zone).copied().unwrap_or_default();
            let are_misses_accepted = is_minority || some_zone_answers && zone.answered == 0;
            let has_missed = server.listed_status != ListedStatus::Gone
                && server.unanswered_probes >= server.misses_to_suspect;
            server.zone_unresponsive = zone.answered == 0;
            server.suspected =
                has_missed && are_misses_accepted && !server.under_load && !server.probes_unreliable;
            server.suspected_since = server.suspected.then(|| server.suspected_since.unwrap_or(self.now));
        }
    }

    /// The fraction of their probes that servers missed of late although they were healthy. One more answered probe is
    /// counted, so that the fraction is 0 before any probe.
    fn fleet_false_miss_rate(&self) -> f64 {
        let sum = |f: fn(&Server) -> &DecayingSum| -> f64 {
            self.servers.iter().map(|server| f(server).read(self.now, PROBE_MEMORY_HALF_LIFE)).sum()
        };
        let missed = sum(|s| &s.recovered_misses);
        let answered = sum(|s| &s.probes_answered);
        missed / (missed + answered + 1.0)
    }

    fn probes_by_zone(&self) -> BTreeMap<ZoneId, ZoneProbes> {
        let mut zones: BTreeMap<ZoneId, ZoneProbes> = BTreeMap::new();
        // Servers that are known to be unhealthy, or not to answer probes, are no evidence about a path.
        for server in self.ready_servers().filter(|server| usable(server) && !server.probes_unreliable) {
            let zone = zones.entry(server.zone).or_default();
            if server.unanswered_probes > 0 {
                zone.missed += 1;
            } else {
                zone.answered += 1;
            }
        }
        zones
    }

    /// Zones whose servers' missing answers say nothing about the servers, since the path to them is broken or may be.
    pub(super) fn unreachable_zones(&self) -> BTreeSet<ZoneId> {
        let zones: BTreeSet<ZoneId> = self.servers.iter().map(|s| s.zone).collect();
        let is_unreachable =
            |zone: &ZoneId| self.is_zone_disconnected(*zone) || self.just_became_unresponsive(*zone);
        zones.into_iter().filter(is_unreachable).collect()
    }

    /// Whether all servers of a zone have just stopped answering probes. The streams of its proxies may be about to
    /// break too, which would show that the path is broken and not the servers. If the zone itself has failed, its
    /// slices leave so much later, and their RPCs are rejected meanwhile.
    fn just_became_unresponsive(&self, zone: ZoneId) -> bool {
        let mut servers = self.ready_servers().filter(|s| s.zone == zone && usable(s)).peekable();
        let has_just_stopped =
            |s: &Server| s.unresponsive_since.is_some_and(|since| self.now < since + ZONE_CONFIRMATION_TIME);
        let has_other_zones = self.ready_servers().any(|s| s.zone != zone);
        has_other_zones && servers.peek().is_some() && servers.all(has_just_stopped)
    }
}

/// The number of consecutive misses that a healthy server, which misses this fraction of its probes, reaches with at
/// most this chance.
fn misses_needed(miss_rate: f64, max_chance: f64) -> u32 {
    let needed = (max_chance.ln() / miss_rate.ln()).ceil();
    (needed as u32).clamp(1, MAX_MISSES_TO_SUSPECT)
}
