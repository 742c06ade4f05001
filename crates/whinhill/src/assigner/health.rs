//! Judging servers: which are sick, and what each was learned to do.
//!
//! Reports are judged each period; probes as they come (`suspicion`): a suspected server that misses another one is
//! sick at once, and its slices leave.

use super::*;

impl Assigner {
    /// Whether a zone's proxies have all left lately, or are just back: then the path is broken, and slices
    /// stay for as long as their move would take. Harm: if the servers died too, they leave so much later.
    pub(super) fn is_zone_disconnected(&self, zone: ZoneId) -> bool {
        let (gone, back) = (self.cfg.fenced_move_time * DISCONNECTED_ZONE_MOVES, self.half_life * 2);
        let mut there = self.proxies.values().filter(|p| p.zone == zone).peekable();
        there.peek().is_some() && there.all(|p| self.now < p.state_since + if p.joined { back } else { gone })
    }

    /// The period's judgement of all servers.
    pub(super) fn evaluate_servers(&mut self) {
        self.update_slow_service_time();
        for (server, symptoms) in self.measure_symptoms().into_iter().enumerate() {
            self.learn_limit(server, &symptoms);
        }
        self.evaluate_health();
    }

    /// Calls servers sick, and lets recovered ones back to prove themselves.
    pub(super) fn evaluate_health(&mut self) {
        let ready = self.ready_servers().count();
        let mut sick = self.ready_servers().filter(|s| s.unhealthy_until.is_some()).count();
        let unreachable = self.unreachable_zones();
        for (i, symptoms) in self.measure_symptoms().into_iter().enumerate() {
            let reachable = !unreachable.contains(&self.servers[i].zone);
            let may_be_sick = reachable && (sick + 1) as f64 <= MAX_UNHEALTHY_FRACTION * ready as f64;
            sick += usize::from(self.evaluate_server_health(i, &symptoms, reachable, may_be_sick));
        }
    }

    /// Judges one server; whether it has just been called sick.
    fn evaluate_server_health(
        &mut self,
        i: usize,
        symptoms: &Symptoms,
        reachable: bool,
        may_be_sick: bool,
    ) -> bool {
        let now = self.now;
        let Symptoms {
            failing: aborts,
            no_recent_answers: quiet,
            answers_overdue: silent,
            since_last_ok: silence,
            ..
        } = *symptoms;
        let found_dead = self.is_confirmed_dead(&self.servers[i]);
        let server = &mut self.servers[i];
        // Where it was shut out, answers to the few RPCs that are let in are waited for.
        let answers_due = server
            .unresponsive_since
            .is_none_or(|since| now >= since + HALF_OPEN_DELAY + self.half_life * REPORT_LAG_INTERVALS);
        let unheard = found_dead || silence > self.half_life && (!server.suspected || answers_due);
        let dead = server.unanswered_probes >= DEAD_AFTER_MISSES && unheard && !server.probes_unreliable;
        if server.dropped_from_list && (quiet || dead || aborts) && reachable {
            (server.listed_status, server.dropped_from_list, server.not_ready_since) =
                (Listed::Gone, false, now);
        }
        if usable(server) && may_be_sick && (aborts || silent || dead) {
            server.mark_unhealthy(
                now,
                now + if aborts || silent { UNHEALTHY_DURATION } else { PROBE_UNHEALTHY_DURATION },
            );
            self.log_unhealthy(i, symptoms);
            return true;
        }
        self.readmit(i);
        false
    }

    /// Lets a server back that was sick for long enough and answers probes, or turns out to have served all along.
    fn readmit(&mut self, i: usize) {
        let (now, half) = (self.now, self.half_life);
        let server = &mut self.servers[i];
        let Some(until) = server.unhealthy_until.filter(|until| now >= *until) else { return };
        let served = server.served_while_unhealthy(UNHEALTHY_LOST_FRACTION, MIN_TRIES)
            && now >= until + UNHEALTHY_DURATION.max(half * 3);
        if server.unanswered_probes > 0 && !served {
            return;
        }
        server.probes_unreliable = server.unanswered_probes > 0;
        server.suspected = false;
        (server.unhealthy_until, server.seen_serving, server.last_ok_at) =
            (None, server.probes_unreliable, now);
        (server.tries, server.lost_tries) = (DecayingSum::default(), DecayingSum::default());
        self.output.push(Order::Log { text: format!("server {i} back, to prove itself") });
    }

    /// Finds the time of service from which a server is slow against its peers.
    fn update_slow_service_time(&mut self) {
        // In a release many are slow that will not stay so, and moves only add to it.
        let calm = !self
            .servers
            .iter()
            .any(|s| s.listed_status == Listed::Draining || self.slow_start_factor(s) < 1.0);
        let usual = median(self.ready_servers().filter(|_| calm).filter_map(|s| s.service_time).collect());
        self.slow_service_time = usual.map_or(f64::MAX, |usual| SLOW_SERVICE_FACTOR * usual);
    }

    /// What the measures say of each server now.
    fn measure_symptoms(&mut self) -> Vec<Symptoms> {
        let (now, half) = (self.now, self.half_life);
        let sum = |f: fn(&Server) -> &DecayingSum| -> f64 {
            self.servers.iter().map(|s| f(s).read(now, half)).sum()
        };
        let (all_tries, all_lost) = (sum(|s| &s.tries), sum(|s| &s.lost_tries));
        let expected = self.admitted_rates();
        // Whether reports come of most servers, and of most from which some are due: of those without slices of ours
        // nothing is heard.
        let answers_due = |expected: &f64| expected * half.as_secs_f64() >= 1.0;
        let due: Vec<&Server> =
            self.servers.iter().zip(&expected).filter(|(_, due)| answers_due(due)).map(|(s, _)| s).collect();
        let is_heard = |server: &&Server| now < server.last_ok_at + half * 2;
        let heard_of_due = due.iter().copied().filter(is_heard).count();
        let some_come = heard_of_due > 0 && heard_of_due * 2 >= due.len();
        let most_come = self.servers.iter().filter(is_heard).count() * 2 > self.ready_servers().count();
        let limit = LATE_WAIT_FRACTION * self.cfg.mean_soft_deadline_s;
        let queue_waits: Vec<f64> =
            self.servers.iter().map(|server| self.estimated_queue_wait(server).unwrap_or(0.0)).collect();
        let find = |((server, expected), queue_wait): ((&mut Server, f64), f64)| {
            let wait = server.mean_wait(now, half);
            server.baseline_wait = wait
                .map(|w| server.baseline_wait.map_or(w, |base| (base * 1.01).min(w)))
                .or(server.baseline_wait);
            let wait = wait.unwrap_or(0.0);
            let (late, slow) = (
                wait.max(queue_wait) > limit,
                wait > QUEUEING_WAIT_FACTOR * server.baseline_wait.unwrap_or(wait),
            );
            let (tries, lost) = (server.tries.read(now, half), server.lost_tries.read(now, half));
            let others = (all_lost - lost) / (all_tries - tries).max(1.0);
            let share = lost / tries.max(1.0);
            let silence = now.saturating_sub(server.last_ok_at);
            // Where ok answers wait, lost tries tell of too much load, which moves and levels answer.
            let busy = server.cpu.is_some_and(|(cpu, at)| cpu > BUSY_CPU && now < at + half * 3);
            let loaded = (late || slow || busy) && silence < half * 2;
            let aborts = tries >= MIN_TRIES
                && share > UNHEALTHY_LOST_FRACTION.max(UNHEALTHY_LOST_FACTOR * others)
                && !loaded;
            let quiet = silence > half * 2 && most_come;
            let due = expected * silence.as_secs_f64();
            let overdue = silence > half.mul_f64(OVERDUE_ANSWER_INTERVALS);
            let hangs = due > HANGING_DUE_RPCS && server.accumulates_rpcs(now, half * 3, MIN_TRIES);
            let silent = overdue && (most_come && due > 2.0 * MIN_TRIES || some_come && hangs);
            Symptoms {
                tries,
                lost_fraction: share,
                others_lost_fraction: others,
                since_last_ok: silence,
                mean_wait: wait,
                late,
                slow,
                under_load: loaded,
                failing: aborts,
                no_recent_answers: quiet,
                answers_overdue: silent,
            }
        };
        self.servers.iter_mut().zip(expected).zip(queue_waits).map(find).collect()
    }

    /// Late or lost answers: a server can do a little less than it did, and more while that binds in time.
    fn learn_limit(&mut self, i: usize, symptoms: &Symptoms) {
        let (now, half) = (self.now, self.half_life);
        let server = &mut self.servers[i];
        let Symptoms { mean_wait: wait, lost_fraction: share, .. } = symptoms;
        // By the utilisation law: times what it does, as long as it is not busy.
        let cpu = server.cpu.filter(|(_, at)| now < *at + half * 3).map_or(BUSY_CPU, |(cpu, _)| cpu);
        let idle = (BUSY_CPU / cpu.max(1e-3)).min(MAX_LIMIT_INCREASE_FACTOR);
        server.under_load = symptoms.under_load;
        server.overloaded = symptoms.late || *share > UNHEALTHY_LOST_FRACTION / 2.0 && symptoms.slow;
        let due = server.limit_reduced_at.is_none_or(|at| now >= at + half * LIMIT_EFFECT_INTERVALS);
        if server.overloaded && symptoms.tries >= MIN_TRIES && usable(server) && due {
            let served = server.ok_answers.rate(now, half);
            let text = format!("server {i} limited to {served:.1}: wait {wait:.2} s, lost {share:.2}");
            self.output.extend(server.learned_limit.is_none().then_some(Order::Log { text }));
            (server.learned_limit, server.limit_reduced_at) =
                (Some(served * LIMIT_DECREASE_FACTOR), Some(now));
        } else if !server.overloaded && server.criticality_cutoff > 0.0 {
            let usable = server.ok_answers.rate(now, half) * idle;
            server.learned_limit =
                server.learned_limit.map(|limit| (limit * MIN_LIMIT_INCREASE_FACTOR).max(usable));
        }
    }
}

/// Whether slices may go there now.
pub(super) fn accepts_slices(server: &Server) -> bool {
    usable(server) && !server.suspected
}

/// Whether slices may stay there.
pub(super) fn usable(server: &Server) -> bool {
    server.listed_status == Listed::Ready && server.unhealthy_until.is_none()
}

#[cfg(test)]
mod tests;
