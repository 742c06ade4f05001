//! Judging servers: which are sick, and what each was learned to do.

use super::*;

impl Assigner {
    /// Whether a zone's proxies have all left lately, or are just back: then the path is broken, and slices
    /// stay for as long as their move would take. Harm: if the servers died too, they leave so much later.
    pub(super) fn cut_off(&self, zone: ZoneId) -> bool {
        let (gone, back) = (self.cfg.move_time, self.half * 2);
        let mut there = self.proxies.values().filter(|p| p.zone == zone).peekable();
        there.peek().is_some() && there.all(|p| self.now < p.since + if p.joined { back } else { gone })
    }

    /// Judges each server by several symptoms against its peers, and lets recovered ones back by steps.
    pub(super) fn judge(&mut self) {
        let (now, half) = (self.now, self.half);
        let sum = |f: fn(&Server) -> &Sum| -> f64 { self.servers.iter().map(|s| f(s).read(now, half)).sum() };
        let (all_tries, all_lost) = (sum(|s| &s.tries), sum(|s| &s.lost));
        let heard = self.servers.iter().filter(|s| now < s.last_ok + self.half * 2).count();
        let ready = self.ready().count();
        // In a release many are slow that will not stay so, and moves only add to it.
        let calm = !self.servers.iter().any(|s| s.listed == Listed::Draining || self.ramp(s) < 1.0);
        let usual = middle(self.ready().filter(|_| calm).filter_map(|s| s.service).collect());
        self.slow = usual.map_or(f64::MAX, |usual| SLOWER * usual);
        let mut sick = self.ready().filter(|s| s.sick.is_some()).count();
        let expected = self.demand_by(&self.demand(), |s| s.owner.filter(|_| s.handover.is_none()));
        for (i, expected) in expected.into_iter().enumerate() {
            let cut_off = self.cut_off(self.servers[i].zone);
            let server = &mut self.servers[i];
            let wait = server.wait(now, half);
            server.base = wait.map(|w| server.base.map_or(w, |base| (base * 1.01).min(w))).or(server.base);
            let wait = wait.unwrap_or(0.0);
            let (late, slow) =
                (wait > LATE * self.cfg.mean_soft, wait > WAITING * server.base.unwrap_or(wait));
            let (tries, lost) = (server.tries.read(now, half), server.lost.read(now, half));
            let others = (all_lost - lost) / (all_tries - tries).max(1.0);
            let share = lost / tries.max(1.0);
            let silence = now.saturating_sub(server.last_ok);
            // Where ok answers wait, lost tries tell of too much load, which moves and levels answer.
            let loaded = (late || slow) && silence < self.half * 2;
            let aborts = tries >= ENOUGH && share > SICK.0.max(SICK.1 * others) && !loaded;
            let quiet = silence > self.half * 2 && heard * 2 > ready;
            let silent = quiet && expected * silence.as_secs_f64() > 2.0 * ENOUGH;
            let dead = server.unanswered >= 2 && silence > self.half;
            // Late or lost answers: it can do a little less than it did, and more while that binds in time.
            server.late = late || share > SICK.0 / 2.0 && slow;
            if server.late && tries >= ENOUGH && usable(server) && now >= server.limited + half * 3 {
                let served = server.oks.rate(now, half);
                let text = format!("server {i} limited to {served:.1}: wait {wait:.2} s, lost {share:.2}");
                self.out.extend(server.limit.is_none().then_some(Order::Log { text }));
                (server.limit, server.limited) = (Some(served * LIMIT_STEP.0), now);
            } else if !server.late && server.line > 0.0 {
                server.limit = server.limit.map(|limit| limit * LIMIT_STEP.1);
            }
            if server.dropped && (quiet || dead || aborts) && !cut_off {
                (server.listed, server.dropped, server.told) = (Listed::Gone, false, now);
            }
            let bad = !cut_off && (aborts || silent || dead);
            if usable(server) && bad && (sick + 1) as f64 <= SICK_MOST * ready as f64 {
                sick += 1;
                server.sick = Some(now + SICK_FOR);
                let losses = format!("lost {share:.2} of {tries:.0}, others {others:.2}");
                let text = format!("server {i} sick: {losses}, no ok for {silence:.1?}");
                self.out.push(Order::Log { text });
            } else if server.sick.is_some_and(|until| now >= until && server.unanswered == 0) {
                (server.sick, server.proven, server.last_ok) = (None, false, now);
                (server.tries, server.lost) = (Sum::default(), Sum::default());
                self.out.push(Order::Log { text: format!("server {i} back, to prove itself") });
            }
        }
    }
}

/// Whether slices may go there.
pub(super) fn usable(server: &Server) -> bool {
    server.listed == Listed::Ready && server.sick.is_none()
}
