//! Health evaluation: which servers are unhealthy, and how much work each was learned to be able to do.
//!
//! Reports are evaluated each period, and probes as they come (`suspicion.rs`): a suspected server that misses another
//! probe is unhealthy at once, and its slices leave.

use super::*;

impl Assigner {
    /// Whether a zone's proxies have all left lately, or have just come back: then the path to the zone is broken, and
    /// its slices stay for as long as a move there and back would take. If its servers have failed too, their slices
    /// leave so much later.
    pub(super) fn is_zone_disconnected(&self, zone: ZoneId) -> bool {
        let time_after_leaving = self.cfg.fenced_move_time * DISCONNECTED_ZONE_MOVES;
        let time_after_joining = self.half_life * 2;
        let mut proxies = self.proxies.values().filter(|proxy| proxy.zone == zone).peekable();
        let has_changed_lately = |proxy: &Proxy| {
            let lately = if proxy.joined { time_after_joining } else { time_after_leaving };
            self.now < proxy.state_since + lately
        };
        proxies.peek().is_some() && proxies.all(has_changed_lately)
    }

    /// The period's evaluation of all servers: their limits and their health.
    pub(super) fn evaluate_servers(&mut self) {
        self.update_slow_service_time();
        for (server, symptoms) in self.measure_symptoms().into_iter().enumerate() {
            self.learn_limit(server, &symptoms);
        }
        self.evaluate_health();
    }

    /// Marks servers unhealthy, and readmits those that have recovered.
    pub(super) fn evaluate_health(&mut self) {
        let ready = self.ready_servers().count();
        let mut unhealthy = self.ready_servers().filter(|s| s.unhealthy_until.is_some()).count();
        let unreachable_zones = self.unreachable_zones();
        for (i, symptoms) in self.measure_symptoms().into_iter().enumerate() {
            let is_reachable = !unreachable_zones.contains(&self.servers[i].zone);
            let may_be_unhealthy =
                is_reachable && (unhealthy + 1) as f64 <= MAX_UNHEALTHY_FRACTION * ready as f64;
            let is_marked = self.evaluate_server_health(i, &symptoms, is_reachable, may_be_unhealthy);
            unhealthy += usize::from(is_marked);
        }
    }

    /// Evaluates one server; returns whether it was marked unhealthy now.
    fn evaluate_server_health(
        &mut self,
        i: usize,
        symptoms: &Symptoms,
        is_reachable: bool,
        may_be_unhealthy: bool,
    ) -> bool {
        let now = self.now;
        let is_confirmed_dead = self.is_confirmed_dead(&self.servers[i]);
        let server = &mut self.servers[i];
        // Answers to the few RPCs that are admitted to a suspected server are waited for.
        let half_open_for = HALF_OPEN_DELAY + self.half_life * REPORT_LAG_INTERVALS;
        let are_answers_due = server.unresponsive_since.is_none_or(|since| now >= since + half_open_for);
        let has_no_answers = is_confirmed_dead
            || symptoms.since_last_ok > self.half_life && (!server.suspected || are_answers_due);
        let is_dead =
            server.unanswered_probes >= DEAD_AFTER_MISSES && has_no_answers && !server.probes_unreliable;
        let has_stopped_serving = symptoms.no_recent_answers || is_dead || symptoms.failing;
        if server.dropped_from_list && has_stopped_serving && is_reachable {
            server.listed_status = ListedStatus::Gone;
            server.dropped_from_list = false;
            server.not_ready_since = now;
        }
        let is_unhealthy_by_rpcs = symptoms.failing || symptoms.answers_overdue;
        if usable(server) && may_be_unhealthy && (is_unhealthy_by_rpcs || is_dead) {
            let duration = if is_unhealthy_by_rpcs { UNHEALTHY_DURATION } else { PROBE_UNHEALTHY_DURATION };
            server.mark_unhealthy(now, now + duration);
            self.log_unhealthy(i, symptoms);
            return true;
        }
        self.readmit(i);
        false
    }

    /// Readmits a server that was unhealthy for long enough, if it answers probes or turns out to have served all the
    /// while.
    fn readmit(&mut self, i: usize) {
        let (now, half_life) = (self.now, self.half_life);
        let server = &mut self.servers[i];
        let Some(until) = server.unhealthy_until.filter(|until| now >= *until) else { return };
        let has_served = server.served_while_unhealthy(UNHEALTHY_LOST_FRACTION, MIN_TRIES)
            && now >= until + UNHEALTHY_DURATION.max(half_life * 3);
        if server.unanswered_probes > 0 && !has_served {
            return;
        }
        server.probes_unreliable = server.unanswered_probes > 0;
        server.suspected = false;
        server.unhealthy_until = None;
        server.seen_serving = server.probes_unreliable;
        server.last_ok_at = now;
        server.tries = DecayingSum::default();
        server.lost_tries = DecayingSum::default();
        self.output.push(Order::Log { text: format!("server {i} readmitted on probation") });
    }

    /// Updates the service time from which a server is slow in comparison with its peers.
    fn update_slow_service_time(&mut self) {
        // During a release many servers are slow for a short time only, and moves would add to their load.
        let is_release = self
            .servers
            .iter()
            .any(|s| s.listed_status == ListedStatus::Draining || self.slow_start_factor(s) < 1.0);
        let service_times = self.ready_servers().filter(|_| !is_release).filter_map(|s| s.service_time);
        let usual = median(service_times.collect());
        self.slow_service_time = usual.map_or(f64::MAX, |usual| SLOW_SERVICE_FACTOR * usual);
    }

    /// What the measures say of each server now. Updates the servers' baseline waits, too.
    fn measure_symptoms(&mut self) -> Vec<Symptoms> {
        let (now, half_life) = (self.now, self.half_life);
        let sum = |f: fn(&Server) -> &DecayingSum| -> f64 {
            self.servers.iter().map(|s| f(s).read(now, half_life)).sum()
        };
        let all_tries = sum(|s| &s.tries);
        let all_lost = sum(|s| &s.lost_tries);
        let expected_rates = self.admitted_rates();

        // Missing answers are a sign of failure only if reports come: from most servers, or at least from half of those
        // from which answers are due. Nothing is reported of servers without slices in custody.
        let is_answer_due = |expected_rate: &f64| expected_rate * half_life.as_secs_f64() >= 1.0;
        let rates = self.servers.iter().zip(&expected_rates);
        let due: Vec<&Server> = rates.filter(|(_, rate)| is_answer_due(rate)).map(|(s, _)| s).collect();
        let has_answered = |server: &&Server| now < server.last_ok_at + half_life * 2;
        let due_and_answered = due.iter().copied().filter(has_answered).count();
        let half_of_due_answer = due_and_answered > 0 && due_and_answered * 2 >= due.len();
        let most_answer = self.servers.iter().filter(has_answered).count() * 2 > self.ready_servers().count();

        let max_wait = LATE_WAIT_FRACTION * self.cfg.mean_soft_deadline_s;
        let queue_waits: Vec<f64> =
            self.servers.iter().map(|server| self.estimated_queue_wait(server).unwrap_or(0.0)).collect();
        let symptoms = |((server, expected_rate), queue_wait): ((&mut Server, f64), f64)| {
            let mean_wait = server.mean_wait(now, half_life);
            // The least mean wait; it may rise by 1% with each evaluation.
            let baseline =
                mean_wait.map(|wait| server.baseline_wait.map_or(wait, |base| (base * 1.01).min(wait)));
            server.baseline_wait = baseline.or(server.baseline_wait);
            let mean_wait = mean_wait.unwrap_or(0.0);
            let late = mean_wait.max(queue_wait) > max_wait;
            let slow = mean_wait > QUEUEING_WAIT_FACTOR * server.baseline_wait.unwrap_or(mean_wait);
            let tries = server.tries.read(now, half_life);
            let lost = server.lost_tries.read(now, half_life);
            let others_lost_fraction = (all_lost - lost) / (all_tries - tries).max(1.0);
            let lost_fraction = lost / tries.max(1.0);
            let since_last_ok = now.saturating_sub(server.last_ok_at);
            // Where ok answers are delayed, lost tries are a sign of overload, which moves and levels deal with.
            let is_busy = server.cpu.is_some_and(|(cpu, at)| cpu > BUSY_CPU && now < at + half_life * 3);
            let under_load = (late || slow || is_busy) && since_last_ok < half_life * 2;
            let max_lost_fraction = UNHEALTHY_LOST_FRACTION.max(UNHEALTHY_LOST_FACTOR * others_lost_fraction);
            let failing = tries >= MIN_TRIES && lost_fraction > max_lost_fraction && !under_load;
            let no_recent_answers = since_last_ok > half_life * 2 && most_answer;
            let expected_answers = expected_rate * since_last_ok.as_secs_f64();
            let is_overdue = since_last_ok > half_life.mul_f64(OVERDUE_ANSWER_INTERVALS);
            let hangs =
                expected_answers > HANGING_DUE_RPCS && server.accumulates_rpcs(now, half_life * 3, MIN_TRIES);
            let answers_overdue = is_overdue
                && (most_answer && expected_answers > 2.0 * MIN_TRIES || half_of_due_answer && hangs);
            Symptoms {
                tries,
                lost_fraction,
                others_lost_fraction,
                since_last_ok,
                mean_wait,
                late,
                slow,
                under_load,
                failing,
                no_recent_answers,
                answers_overdue,
            }
        };
        self.servers.iter_mut().zip(expected_rates).zip(queue_waits).map(symptoms).collect()
    }

    /// Learns a server's limit. Late or lost answers show that it can do a little less than it did; without them, it
    /// can do a little more each period, as long as the limit makes it reject RPCs.
    fn learn_limit(&mut self, i: usize, symptoms: &Symptoms) {
        let (now, half_life) = (self.now, self.half_life);
        let server = &mut self.servers[i];
        let Symptoms { mean_wait, lost_fraction, .. } = symptoms;
        // By the utilization law, throughput can grow by this factor until the cores are busy.
        let cpu = server.cpu.filter(|(_, at)| now < *at + half_life * 3).map_or(BUSY_CPU, |(cpu, _)| cpu);
        let growth_factor = (BUSY_CPU / cpu.max(1e-3)).min(MAX_LIMIT_INCREASE_FACTOR);
        server.under_load = symptoms.under_load;
        server.overloaded = symptoms.late || *lost_fraction > UNHEALTHY_LOST_FRACTION / 2.0 && symptoms.slow;
        let has_last_cut_shown =
            server.limit_reduced_at.is_none_or(|at| now >= at + half_life * LIMIT_EFFECT_INTERVALS);
        let has_enough_tries = symptoms.tries >= MIN_TRIES;
        if server.overloaded && has_enough_tries && usable(server) && has_last_cut_shown {
            let rate = server.ok_answers.rate(now, half_life);
            let text = format!(
                "server {i} limited: {rate:.1} ok answers/s, mean wait {mean_wait:.2} s, lost fraction {lost_fraction:.2}"
            );
            self.output.extend(server.learned_limit.is_none().then_some(Order::Log { text }));
            server.learned_limit = Some(rate * LIMIT_DECREASE_FACTOR);
            server.limit_reduced_at = Some(now);
        } else if !server.overloaded && server.criticality_cutoff > 0.0 {
            let possible_rate = server.ok_answers.rate(now, half_life) * growth_factor;
            let grown = |limit: f64| (limit * MIN_LIMIT_INCREASE_FACTOR).max(possible_rate);
            server.learned_limit = server.learned_limit.map(grown);
        }
    }
}

/// Whether slices may go to the server now.
pub(super) fn accepts_slices(server: &Server) -> bool {
    usable(server) && !server.suspected
}

/// Whether slices may stay at the server.
pub(super) fn usable(server: &Server) -> bool {
    server.listed_status == ListedStatus::Ready && server.unhealthy_until.is_none()
}

#[cfg(test)]
mod tests;
