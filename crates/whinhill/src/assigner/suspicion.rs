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
        if !self.cfg.probes || !period && self.now < self.next_probes {
            return false;
        }
        self.next_probes = self.now + self.cfg.period / self.probe_rounds();
        for server in self.servers.iter_mut().filter(|s| s.listed == Listed::Ready) {
            server.probe_ordered.get_or_insert(self.now);
            self.out.push(Order::Probe { ep: server.ep });
        }
        true
    }

    /// Rounds of probes in a period: fewer where they would come to too large a part of the RPCs.
    fn probe_rounds(&self) -> u32 {
        let rpcs = self.came.iter().map(|came| came.rate(self.now, self.half)).sum::<f64>();
        let all_rpcs = rpcs / self.our_share().max(1e-3);
        let ready = self.servers.iter().filter(|s| s.listed == Listed::Ready).count();
        let round = (ready * self.cfg.assigners) as f64 / self.cfg.period.as_secs_f64();
        let paid = (PROBES_PER_RPC * all_rpcs / round.max(1e-9)) as u32;
        if rpcs > 0.0 {
            paid.clamp(1, PROBE_ROUNDS)
        } else {
            PROBE_ROUNDS
        }
    }

    /// Takes a probe's result; a server that does not answer is asked again at once.
    pub(super) fn take_probe(&mut self, ep: Ep, result: Probe) {
        let (now, probes, period) = (self.now, self.cfg.probes, self.cfg.period);
        let first_miss = result == Probe::Unanswered && self.server(ep).silent_since.is_none();
        let rate = if first_miss { self.let_in_rates()[ep.index] } else { 0.0 };
        let server = self.server(ep);
        let ordered = server.probe_ordered.take().map_or(now, |at| at.max(now.saturating_sub(period)));
        match result {
            Probe::Ok | Probe::Aborted | Probe::PushedBack => {
                server.answer_probe(now);
                server.proven |= result == Probe::Ok;
            }
            Probe::Unanswered => {
                server.unanswered += 1;
                if first_miss {
                    (server.silent_since, server.rate_at_miss) = (Some(ordered), rate);
                }
                server.probe_ordered = Some(now);
                let again = probes && server.unanswered < DEAD_AFTER && server.listed == Listed::Ready;
                self.out.extend(again.then_some(Order::Probe { ep }));
            }
        }
    }

    /// Draws from all probes so far which servers are suspected.
    pub(super) fn weigh_probes(&mut self) {
        if !self.cfg.probes {
            return;
        }
        let zones = self.probes_by_zone();
        let missed: usize = zones.values().map(|zone| zone.missed).sum();
        let ready: usize = missed + zones.values().map(|zone| zone.answered).sum::<usize>();
        let chance = FALSE_ALARMS / ready.max(1) as f64;
        let needed = misses_needed(self.miss_rate(), chance);
        let few = missed as f64 <= SUSPECTED_MOST * ready as f64;
        // A path that is cut silences whole zones and leaves others as they were.
        let some_zone_answers =
            zones.values().any(|zone| zone.answered > 0 && zone.missed * 2 <= zone.answered);
        let alive: Vec<bool> = self
            .servers
            .iter()
            .map(|s| self.evidence(s).is_some_and(|evidence| evidence.is_alive()))
            .collect();
        for (server, alive) in self.servers.iter_mut().zip(alive) {
            server.probes_mislead |= alive;
            server.misses_to_suspect = needed.max(misses_needed(server.miss_rate(self.now), chance));
            let zone = zones.get(&server.zone).copied().unwrap_or_default();
            let believed = few || some_zone_answers && zone.answered == 0;
            let misses = server.listed != Listed::Gone && server.unanswered >= server.misses_to_suspect;
            server.zone_silent = zone.answered == 0;
            server.suspected = misses && believed && !server.loaded && !server.probes_mislead;
            server.shut_at = server.suspected.then(|| server.shut_at.unwrap_or(self.now));
        }
    }

    /// The share of probes that servers missed of late that turned out well.
    fn miss_rate(&self) -> f64 {
        let sum = |f: fn(&Server) -> &Sum| -> f64 {
            self.servers.iter().map(|server| f(server).read(self.now, TRUST_HALVES)).sum()
        };
        let (missed, answered) = (sum(|s| &s.probes_missed), sum(|s| &s.probes_answered));
        missed / (missed + answered + 1.0)
    }

    fn probes_by_zone(&self) -> BTreeMap<ZoneId, ZoneProbes> {
        let mut zones: BTreeMap<ZoneId, ZoneProbes> = BTreeMap::new();
        // What is known to be silent, or not to answer probes, says nothing of a path.
        for server in self.ready().filter(|server| usable(server) && !server.probes_mislead) {
            let zone = zones.entry(server.zone).or_default();
            if server.unanswered > 0 {
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
        zones.into_iter().filter(|zone| self.cut_off(*zone) || self.falls_silent(*zone)).collect()
    }

    /// Whether all servers of a zone have just stopped answering probes: its proxies' streams may be about to
    /// break too, which tells a path from servers. Harm: a zone that dies is left so much later, shut out meanwhile.
    fn falls_silent(&self, zone: ZoneId) -> bool {
        let mut there = self.ready().filter(|s| s.zone == zone && usable(s)).peekable();
        let just = |s: &Server| s.silent_since.is_some_and(|since| self.now < since + ZONE_SETTLES);
        let others = self.ready().any(|s| s.zone != zone);
        others && there.peek().is_some() && there.all(just)
    }
}

/// Misses in a row that a server that is well has by such a chance at most, where it misses such a share of its probes.
fn misses_needed(miss_rate: f64, chance: f64) -> u32 {
    let needed = (chance.ln() / miss_rate.ln()).ceil();
    (needed as u32).clamp(1, MISSES_MOST)
}
