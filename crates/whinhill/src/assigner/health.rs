//! Judging servers: which are sick, and what each was learned to do.
//!
//! Reports are judged each period; probes as they come (`suspicion`): a suspected server that misses another one is
//! sick at once, and its slices leave.

use super::*;

impl Assigner {
    /// Whether a zone's proxies have all left lately, or are just back: then the path is broken, and slices
    /// stay for as long as their move would take. Harm: if the servers died too, they leave so much later.
    pub(super) fn cut_off(&self, zone: ZoneId) -> bool {
        let (gone, back) = (self.cfg.move_time * CUT_OFF_MOVES, self.half * 2);
        let mut there = self.proxies.values().filter(|p| p.zone == zone).peekable();
        there.peek().is_some() && there.all(|p| self.now < p.since + if p.joined { back } else { gone })
    }

    /// The period's judgement of all servers.
    pub(super) fn judge(&mut self) {
        self.find_usual_service();
        for (server, symptoms) in self.symptoms().into_iter().enumerate() {
            self.learn_limit(server, &symptoms);
        }
        self.judge_health();
    }

    /// Calls servers sick, and lets recovered ones back to prove themselves.
    pub(super) fn judge_health(&mut self) {
        let ready = self.ready().count();
        let mut sick = self.ready().filter(|s| s.sick.is_some()).count();
        let unreachable = self.unreachable_zones();
        for (i, symptoms) in self.symptoms().into_iter().enumerate() {
            let reachable = !unreachable.contains(&self.servers[i].zone);
            let may_be_sick = reachable && (sick + 1) as f64 <= SICK_MOST * ready as f64;
            sick += usize::from(self.judge_server(i, &symptoms, reachable, may_be_sick));
        }
    }

    /// Judges one server; whether it has just been called sick.
    fn judge_server(&mut self, i: usize, symptoms: &Symptoms, reachable: bool, may_be_sick: bool) -> bool {
        let now = self.now;
        let Symptoms { aborts, quiet, silent, silence, .. } = *symptoms;
        let found_dead = self.is_found_dead(&self.servers[i]);
        let server = &mut self.servers[i];
        // Where it was shut out, answers to the few RPCs that are let in are waited for.
        let answers_due =
            server.silent_since.is_none_or(|since| now >= since + HALF_OPEN_AFTER + self.half * REPORTS_LAG);
        let unheard = found_dead || silence > self.half && (!server.suspected || answers_due);
        let dead = server.unanswered >= DEAD_AFTER && unheard && !server.probes_mislead;
        if server.dropped && (quiet || dead || aborts) && reachable {
            (server.listed, server.dropped, server.told) = (Listed::Gone, false, now);
        }
        if usable(server) && may_be_sick && (aborts || silent || dead) {
            server.call_sick(now, now + if aborts || silent { SICK_FOR } else { UNANSWERED_FOR });
            self.log_sick(i, symptoms);
            return true;
        }
        self.let_back(i);
        false
    }

    /// Lets a server back that was sick for long enough and answers probes, or turns out to have served all along.
    fn let_back(&mut self, i: usize) {
        let (now, half) = (self.now, self.half);
        let server = &mut self.servers[i];
        let Some(until) = server.sick.filter(|until| now >= *until) else { return };
        let served = server.served_while_called_sick(SICK.0, ENOUGH) && now >= until + SICK_FOR.max(half * 3);
        if server.unanswered > 0 && !served {
            return;
        }
        server.probes_mislead = server.unanswered > 0;
        server.suspected = false;
        (server.sick, server.proven, server.last_ok) = (None, server.probes_mislead, now);
        (server.tries, server.lost) = (Sum::default(), Sum::default());
        self.out.push(Order::Log { text: format!("server {i} back, to prove itself") });
    }

    /// Finds the time of service from which a server is slow against its peers.
    fn find_usual_service(&mut self) {
        // In a release many are slow that will not stay so, and moves only add to it.
        let calm = !self.servers.iter().any(|s| s.listed == Listed::Draining || self.ramp(s) < 1.0);
        let usual = middle(self.ready().filter(|_| calm).filter_map(|s| s.service).collect());
        self.slow = usual.map_or(f64::MAX, |usual| SLOWER * usual);
    }

    /// What the measures say of each server now.
    fn symptoms(&mut self) -> Vec<Symptoms> {
        let (now, half) = (self.now, self.half);
        let sum = |f: fn(&Server) -> &Sum| -> f64 { self.servers.iter().map(|s| f(s).read(now, half)).sum() };
        let (all_tries, all_lost) = (sum(|s| &s.tries), sum(|s| &s.lost));
        let expected = self.let_in_rates();
        // Whether reports come of most servers, and of most from which some are due: of those without slices of ours
        // nothing is heard.
        let answers_due = |expected: &f64| expected * half.as_secs_f64() >= 1.0;
        let due: Vec<&Server> =
            self.servers.iter().zip(&expected).filter(|(_, due)| answers_due(due)).map(|(s, _)| s).collect();
        let is_heard = |server: &&Server| now < server.last_ok + half * 2;
        let heard_of_due = due.iter().copied().filter(is_heard).count();
        let some_come = heard_of_due > 0 && heard_of_due * 2 >= due.len();
        let most_come = self.servers.iter().filter(is_heard).count() * 2 > self.ready().count();
        let limit = LATE * self.cfg.mean_soft;
        let queue_waits: Vec<f64> =
            self.servers.iter().map(|server| self.queue_wait(server).unwrap_or(0.0)).collect();
        let find = |((server, expected), queue_wait): ((&mut Server, f64), f64)| {
            let wait = server.wait(now, half);
            server.base = wait.map(|w| server.base.map_or(w, |base| (base * 1.01).min(w))).or(server.base);
            let wait = wait.unwrap_or(0.0);
            let (late, slow) = (wait.max(queue_wait) > limit, wait > WAITING * server.base.unwrap_or(wait));
            let (tries, lost) = (server.tries.read(now, half), server.lost.read(now, half));
            let others = (all_lost - lost) / (all_tries - tries).max(1.0);
            let share = lost / tries.max(1.0);
            let silence = now.saturating_sub(server.last_ok);
            // Where ok answers wait, lost tries tell of too much load, which moves and levels answer.
            let busy = server.cpu.is_some_and(|(cpu, at)| cpu > BUSY && now < at + half * 3);
            let loaded = (late || slow || busy) && silence < half * 2;
            let aborts = tries >= ENOUGH && share > SICK.0.max(SICK.1 * others) && !loaded;
            let quiet = silence > half * 2 && most_come;
            let due = expected * silence.as_secs_f64();
            let overdue = silence > half.mul_f64(ANSWERS_OVERDUE);
            let hangs = due > HANGS && server.takes_in(now, half * 3, ENOUGH);
            let silent = overdue && (most_come && due > 2.0 * ENOUGH || some_come && hangs);
            Symptoms { tries, share, others, silence, wait, late, slow, loaded, aborts, quiet, silent }
        };
        self.servers.iter_mut().zip(expected).zip(queue_waits).map(find).collect()
    }

    /// Late or lost answers: a server can do a little less than it did, and more while that binds in time.
    fn learn_limit(&mut self, i: usize, symptoms: &Symptoms) {
        let (now, half) = (self.now, self.half);
        let server = &mut self.servers[i];
        let Symptoms { wait, share, .. } = symptoms;
        // By the utilisation law: times what it does, as long as it is not busy.
        let cpu = server.cpu.filter(|(_, at)| now < *at + half * 3).map_or(BUSY, |(cpu, _)| cpu);
        let idle = (BUSY / cpu.max(1e-3)).min(LIMIT_STEP.2);
        server.loaded = symptoms.loaded;
        server.late = symptoms.late || *share > SICK.0 / 2.0 && symptoms.slow;
        let due = server.limited.is_none_or(|at| now >= at + half * LIMIT_SHOWS);
        if server.late && symptoms.tries >= ENOUGH && usable(server) && due {
            let served = server.oks.rate(now, half);
            let text = format!("server {i} limited to {served:.1}: wait {wait:.2} s, lost {share:.2}");
            self.out.extend(server.limit.is_none().then_some(Order::Log { text }));
            (server.limit, server.limited) = (Some(served * LIMIT_STEP.0), Some(now));
        } else if !server.late && server.line > 0.0 {
            let usable = server.oks.rate(now, half) * idle;
            server.limit = server.limit.map(|limit| (limit * LIMIT_STEP.1).max(usable));
        }
    }
}

/// Whether slices may go there now.
pub(super) fn takes_slices(server: &Server) -> bool {
    usable(server) && !server.suspected
}

/// Whether slices may stay there.
pub(super) fn usable(server: &Server) -> bool {
    server.listed == Listed::Ready && server.sick.is_none()
}

#[cfg(test)]
mod tests;
