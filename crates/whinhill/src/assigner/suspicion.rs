//! Probes, and which servers are suspected by them.
//!
//! A server that misses probes is suspected as soon as that is unlikely of a server that is well: levels shut it out
//! and it is asked again, until it answers or another miss makes it sick (`health`). How many misses it takes follows
//! from how often probes have been missed of late by servers that turned out well.

use super::*;

/// How the probes of a zone's ready servers stand.
#[derive(Clone, Copy, Default)]
struct ZoneProbes {
    missed: usize,
    answered: usize,
}

impl Assigner {
    /// Probes every ready server, several times a period; whether it was time to.
    pub(super) fn order_probes(&mut self, period: bool) -> bool {
        if !self.cfg.may_probe || !period && self.now < self.next_probes_at {
            return false;
        }
        self.next_probes_at = self.now + self.cfg.period / self.probe_rounds();
        for server in self.servers.iter_mut().filter(|s| s.listed_status == Listed::Ready) {
            server.probe_ordered_at.get_or_insert(self.now);
            self.output.push(Order::Probe { ep: server.endpoint });
        }
        true
    }

    /// Rounds of probes in a period: fewer where they would come to too large a part of the RPCs.
    fn probe_rounds(&self) -> u32 {
        let rpcs = self.method_rpcs.iter().map(|came| came.rate(self.now, self.half_life)).sum::<f64>();
        let all_rpcs = rpcs / self.custody_fraction().max(1e-3);
        let ready = self.servers.iter().filter(|s| s.listed_status == Listed::Ready).count();
        let round = (ready * self.cfg.total_assigners) as f64 / self.cfg.period.as_secs_f64();
        let paid = (MAX_PROBES_PER_RPC * all_rpcs / round.max(1e-9)) as u32;
        if rpcs > 0.0 {
            paid.clamp(1, MAX_PROBE_ROUNDS)
        } else {
            MAX_PROBE_ROUNDS
        }
    }

    /// Takes a probe's result; a server that does not answer is asked again at once.
    pub(super) fn apply_probe_result(&mut self, ep: Ep, result: Probe) {
        let (now, probes, period) = (self.now, self.cfg.may_probe, self.cfg.period);
        let first_miss = result == Probe::Unanswered && self.server_mut(ep).unresponsive_since.is_none();
        let rate = if first_miss { self.admitted_rates()[ep.index] } else { 0.0 };
        let server = self.server_mut(ep);
        let ordered = server.probe_ordered_at.take().map_or(now, |at| at.max(now.saturating_sub(period)));
        match result {
            Probe::Ok | Probe::Aborted | Probe::PushedBack => {
                server.record_probe_answer(now);
                server.seen_serving |= result == Probe::Ok;
            }
            Probe::Unanswered => {
                server.unanswered_probes += 1;
                if first_miss {
                    (server.unresponsive_since, server.admitted_rate_at_miss) = (Some(ordered), rate);
                }
                server.probe_ordered_at = Some(now);
                let again = probes
                    && server.unanswered_probes < DEAD_AFTER_MISSES
                    && server.listed_status == Listed::Ready;
                self.output.extend(again.then_some(Order::Probe { ep }));
            }
        }
    }

    /// Draws from all probes so far which servers are suspected.
    pub(super) fn update_suspicions(&mut self) {
        if !self.cfg.may_probe {
            return;
        }
        let zones = self.probes_by_zone();
        let missed: usize = zones.values().map(|zone| zone.missed).sum();
        let ready: usize = missed + zones.values().map(|zone| zone.answered).sum::<usize>();
        let chance = MAX_FALSE_ALARMS_PER_ROUND / ready.max(1) as f64;
        let needed = misses_needed(self.fleet_false_miss_rate(), chance);
        let few = missed as f64 <= MAX_SUSPECTED_FRACTION * ready as f64;
        // A path that is cut silences whole zones and leaves others as they were.
        let some_zone_answers =
            zones.values().any(|zone| zone.answered > 0 && zone.missed * 2 <= zone.answered);
        let alive: Vec<bool> = self
            .servers
            .iter()
            .map(|s| self.evidence(s).is_some_and(|evidence| evidence.is_alive()))
            .collect();
        for (server, alive) in self.servers.iter_mut().zip(alive) {
            server.probes_unreliable |= alive;
            server.misses_to_suspect = needed.max(misses_needed(server.false_miss_rate(self.now), chance));
            let zone = zones.get(&server.zone).copied().unwrap_or_default();
            let believed = few || some_zone_answers && zone.answered == 0;
            let misses =
                server.listed_status != Listed::Gone && server.unanswered_probes >= server.misses_to_suspect;
            server.zone_unresponsive = zone.answered == 0;
            server.suspected = misses && believed && !server.under_load && !server.probes_unreliable;
            server.suspected_since = server.suspected.then(|| server.suspected_since.unwrap_or(self.now));
        }
    }

    /// The share of probes that servers missed of late that turned out well.
    fn fleet_false_miss_rate(&self) -> f64 {
        let sum = |f: fn(&Server) -> &DecayingSum| -> f64 {
            self.servers.iter().map(|server| f(server).read(self.now, PROBE_MEMORY_HALF_LIFE)).sum()
        };
        let (missed, answered) = (sum(|s| &s.recovered_misses), sum(|s| &s.probes_answered));
        missed / (missed + answered + 1.0)
    }

    fn probes_by_zone(&self) -> BTreeMap<ZoneId, ZoneProbes> {
        let mut zones: BTreeMap<ZoneId, ZoneProbes> = BTreeMap::new();
        // What is known to be silent, or not to answer probes, says nothing of a path.
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

    /// Zones whose servers say nothing of themselves: what is broken is the path to them.
    pub(super) fn unreachable_zones(&self) -> BTreeSet<ZoneId> {
        let zones: BTreeSet<ZoneId> = self.servers.iter().map(|s| s.zone).collect();
        zones
            .into_iter()
            .filter(|zone| self.is_zone_disconnected(*zone) || self.just_became_unresponsive(*zone))
            .collect()
    }

    /// Whether all servers of a zone have just stopped answering probes: its proxies' streams may be about to
    /// break too, which tells a path from servers. Harm: a zone that dies is left so much later, shut out meanwhile.
    fn just_became_unresponsive(&self, zone: ZoneId) -> bool {
        let mut there = self.ready_servers().filter(|s| s.zone == zone && usable(s)).peekable();
        let just =
            |s: &Server| s.unresponsive_since.is_some_and(|since| self.now < since + ZONE_CONFIRMATION_TIME);
        let others = self.ready_servers().any(|s| s.zone != zone);
        others && there.peek().is_some() && there.all(just)
    }
}

/// Misses in a row that a server that is well has by such a chance at most, where it misses such a share of its probes.
fn misses_needed(miss_rate: f64, chance: f64) -> u32 {
    let needed = (chance.ln() / miss_rate.ln()).ceil();
    (needed as u32).clamp(1, MAX_MISSES_TO_SUSPECT)
}
