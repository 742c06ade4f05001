//! The one road by which an owner changes: stop, every proxy's answer or lease end, settle, grant.

use super::*;

impl Assigner {
    /// Stops a slice's writes at its owner, or with `cut` all, and awaits every proxy; or grants at once.
    pub(super) fn stop(&mut self, id: SliceId, to: Option<usize>, cut: bool) {
        if !self.cfg.guarded && !cut {
            return to.into_iter().for_each(|to| self.grant(id, to));
        }
        let (mark, lease) = (self.channel.marks + 1, self.cfg.lease);
        (self.channel.mark_wanted, self.channel.due) = (true, self.channel.due + 1);
        let guarded = self.cfg.guarded;
        let due = Awaited { answer: Answer::Due(mark), lease_ends: None };
        let away = |since| Awaited { answer: Answer::Away, lease_ends: Some(since + lease) };
        let awaited = |p: &Proxy| if p.joined { due } else { away(p.since) };
        let awaits = self.proxies.iter().filter(|_| guarded).map(|(id, p)| (*id, awaited(p)));
        let awaits = awaits.filter(|(_, awaited)| awaited.lease_ends.is_none_or(|end| end > self.now));
        let quiet = self.unheard_until(self.slices[id].given);
        let handover = Handover {
            awaits: awaits.collect(),
            quiet,
            to,
            stop_mark: mark,
            began: self.now,
            ..Handover::default()
        };
        self.slices[id].handover = Some(handover);
        // Where levels are not followed, only the line's end stops writes.
        if cut || self.cfg.admission == Admission::Off {
            self.cut(id);
        }
    }

    /// Until when a proxy that never joined here may write by what a slice's former assigner told it. Once
    /// all that there are have joined, their answers tell, given after they have read the store. Guards
    /// against a lease without an owner at each planned restart. Harm: none known while the count is true.
    pub(super) fn unheard_until(&self, given: Duration) -> Duration {
        if self.joined() >= self.cfg.proxies {
            Duration::ZERO
        } else {
            given + self.cfg.lease
        }
    }

    pub(super) fn cut(&mut self, id: SliceId) {
        let Slice { handover: Some(handover), owner: Some(owner), .. } = &mut self.slices[id] else { return };
        (handover.cut, handover.cut_at) = (true, Some(self.now));
        self.out.push(Order::Revoke { slice: id, ep: self.servers[*owner].ep });
    }

    /// A proxy that joins holds what it held; it must hear of every handover under way before the grant, unless its
    /// lease ends sooner.
    pub(super) fn join(&mut self, proxy: ProxyId, zone: ZoneId) {
        self.proxies.insert(proxy, Proxy { zone, joined: true, since: self.now });
        self.channel.tuned = None;
        let owned = self.slices.iter_mut().filter(|s| s.owner.is_some() && self.cfg.guarded);
        for handover in owned.filter_map(|s| s.handover.as_mut()) {
            let known = handover.awaits.get(&proxy);
            let has_answered = known.is_some_and(|awaited| awaited.answer == Answer::Given);
            if !handover.cut || !has_answered {
                let lease_ends = known.and_then(|awaited| awaited.lease_ends);
                handover.awaits.insert(proxy, Awaited { answer: Answer::Untold, lease_ends });
            }
        }
    }

    /// A proxy that leaves before it has answered writes for a lease.
    pub(super) fn leave(&mut self, proxy: ProxyId) {
        let (now, lease_end) = (self.now, self.now + self.cfg.lease);
        let zone = self.proxies.get(&proxy).map_or(usize::MAX, |p| p.zone);
        self.proxies.insert(proxy, Proxy { zone, joined: false, since: now });
        for handover in self.slices.iter_mut().filter_map(|s| s.handover.as_mut()) {
            let awaited = handover.awaits.get_mut(&proxy).filter(|awaited| awaited.answer != Answer::Given);
            if let Some(awaited) = awaited {
                awaited.answer = Answer::Away;
                awaited.lease_ends.get_or_insert(lease_end);
                handover.last_heard = Some((proxy, Heard::Left(now)));
            }
        }
    }

    /// Tells proxies that joined of the handovers under way, those of one tick together.
    pub(super) fn tell_joined(&mut self) {
        for handover in self.slices.iter_mut().filter_map(|s| s.handover.as_mut()) {
            for untold in handover.awaits.values_mut().filter(|awaited| awaited.answer == Answer::Untold) {
                untold.answer = Answer::Due(self.channel.marks + 1);
                self.channel.mark_wanted = true;
            }
        }
    }

    pub(super) fn acked(&mut self, proxy: ProxyId, mark: u16, way: Duration) {
        let mark = self.channel.marks.saturating_sub((self.channel.marks as u16).wrapping_sub(mark).into());
        self.channel.tuned = self.channel.tuned.filter(|tuned| *tuned > mark);
        // Messages leave in order: what was sent before the answered one has left.
        self.channel.sent.retain(|(sent, ..)| *sent >= mark);
        self.channel.lines = self.channel.lines.min(self.channel.unanswered());
        self.channel.answered = self.channel.answered.max(mark);
        // The stop was carried out, and has left for all once what is not known to have left has.
        let sent = self.now + self.longest_wait(self.channel.unanswered());
        let took_effect = self.channel.took_effect(mark, way, self.now);
        for handover in self.slices.iter_mut().filter_map(|s| s.handover.as_mut()) {
            if handover.stop_mark < mark || handover.stop_mark == mark && handover.stop_sent.is_none() {
                handover.stop_sent = Some(handover.stop_sent.map_or(sent, |before| before.min(sent)));
            }
            let is_due = |awaited: &&mut Awaited| matches!(awaited.answer, Answer::Due(due) if due <= mark);
            if let Some(awaited) = handover.awaits.get_mut(&proxy).filter(is_due) {
                awaited.answer = Answer::Given;
                handover.last_heard = Some((proxy, Heard::Answer(self.now)));
                handover.quiet = handover.quiet.max(took_effect);
            }
        }
    }

    /// Has all proxies answer again where some have not in time: their answers may have been lost, and those of others
    /// tell that what was sent before has left.
    pub(super) fn ask_again(&mut self) {
        let waits = |s: &Slice| s.handover.as_ref().is_some_and(Handover::awaits_answers);
        let is_time = self.now >= self.channel.marked_at() + self.cfg.way_most;
        if is_time && self.has_room(GRANT_ROOM.1) && self.slices.iter().any(waits) {
            self.channel.mark_wanted = true;
        }
    }

    /// Grants what has settled: nobody writes to the old owner, and what it had in hand has ended.
    pub(super) fn advance(&mut self) {
        let (mut view, open) = (None, self.has_room(GRANT_ROOM.0));
        for id in 0..self.slices.len() {
            let slice = &self.slices[id];
            let Some(handover) = slice.handover.as_ref() else { continue };
            let overdue =
                handover.cut_at.is_some_and(|at| self.now >= at + self.cfg.empty_for.mul_f64(EMPTY_PART));
            let room = if overdue { DRAIN_ROOM.1 } else { GRANT_ROOM.1 };
            if !open && !overdue {
                continue;
            }
            // One given without an owner waits for answers, or a lease: then nobody writes by old word.
            let given = slice.owner.is_none() && self.cfg.guarded;
            let most = if given { slice.given + self.cfg.lease } else { Duration::MAX };
            let quiet =
                handover.writes_end(self.cfg.way_most, self.cfg.lease).map_or(most, |end| end.min(most));
            if self.now < quiet.saturating_add(self.cfg.settle) || !self.has_room(room) {
                continue;
            }
            let wanted = handover.to.filter(|to| takes_slices(&self.servers[*to]));
            let stays = slice.owner.filter(|o| usable(&self.servers[*o]) && !handover.cut);
            let last = slice.owner.filter(|o| self.servers[*o].listed == Listed::Ready);
            let elsewhere = || self.destination(id, view.get_or_insert_with(|| self.view()));
            let Some(to) = wanted.or(stays).or_else(elsewhere).or(last) else { continue };
            let is_late_choice = wanted.or(stays).is_none();
            if let Some(view) = &mut view {
                view.place(to, view.demand[id] * view.units[to]);
                is_late_choice.then(|| self.log_late_choice(id, to, view));
            }
            self.grant(id, to);
        }
    }

    pub(super) fn grant(&mut self, id: SliceId, to: usize) {
        self.note_granted(id, to);
        let slice = &mut self.slices[id];
        let cut = slice.handover.take().is_some_and(|h| h.cut);
        let former = slice.owner.filter(|o| *o != to && !cut);
        let new = cut || slice.owner != Some(to);
        (slice.owner, slice.stays) = (Some(to), self.now + STAY);
        // The first answers show only after the grant's way and a part of a report's stretch.
        self.servers[to].last_ok = self.now + self.cfg.way_most + self.half / 2;
        let server = &mut self.servers[to];
        let is_idle = server.tries.read(self.now, self.half) < IDLE && server.granted_idle.is_none();
        server.granted_idle = if is_idle { Some(self.now) } else { server.granted_idle };
        self.channel.due += self.cfg.methods.len();
        self.out.extend(new.then_some(Order::Grant { slice: id, ep: self.servers[to].ep }));
        // Where slices are not exclusive that is one more line beside the former owner's.
        let ends = former.filter(|_| !self.cfg.exclusive);
        self.out.extend(ends.map(|o| Order::Revoke { slice: id, ep: self.servers[o].ep }));
    }
}

#[cfg(test)]
mod property;
#[cfg(test)]
mod tests;
