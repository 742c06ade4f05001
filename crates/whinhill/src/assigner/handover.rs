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
        let absent = self.proxies.values().filter(|p| !p.joined).map(|p| p.since + lease).max();
        let joined = self.proxies.iter().filter(|(_, p)| p.joined && self.cfg.guarded);
        let awaits = joined.map(|(id, _)| (*id, Some(mark)));
        let quiet = absent.unwrap_or_default().max(self.unheard_until(self.slices[id].given));
        let handover = Handover {
            awaits: awaits.collect(),
            ordered: self.now,
            quiet,
            to,
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

    /// A proxy that joins holds what it held; it must hear of every handover under way before the grant.
    pub(super) fn join(&mut self, proxy: ProxyId, zone: ZoneId) {
        self.proxies.insert(proxy, Proxy { zone, joined: true, since: self.now });
        self.channel.tuned = None;
        let owned = self.slices.iter_mut().filter(|s| s.owner.is_some() && self.cfg.guarded);
        for handover in owned.filter_map(|s| s.handover.as_mut()) {
            if !handover.cut || handover.awaits.get(&proxy) != Some(&None) {
                handover.awaits.insert(proxy, Some(u64::MAX));
            }
        }
    }

    /// Tells proxies that joined of the handovers under way, those of one tick together.
    pub(super) fn tell_joined(&mut self) {
        for handover in self.slices.iter_mut().filter_map(|s| s.handover.as_mut()) {
            for untold in handover.awaits.values_mut().filter(|mark| **mark == Some(u64::MAX)) {
                *untold = Some(self.channel.marks + 1);
                (handover.ordered, self.channel.mark_wanted) = (self.now, true);
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
        for handover in self.slices.iter_mut().filter_map(|s| s.handover.as_mut()) {
            let awaited = handover.awaits.get_mut(&proxy).filter(|m| m.is_some_and(|m| m <= mark));
            if let Some(awaited) = awaited {
                *awaited = None;
                handover.last_heard = Some((proxy, Heard::Answer(self.now)));
                handover.quiet = handover.quiet.max(self.now.min(handover.ordered + way));
            }
        }
    }

    /// Grants what has settled: nobody writes to the old owner, and what it had in hand has ended.
    pub(super) fn advance(&mut self) {
        let (mut view, open) = (None, self.has_room(GRANT_ROOM.0));
        for id in 0..self.slices.len() {
            let slice = &self.slices[id];
            let Some(handover) = slice.handover.as_ref().filter(|_| open) else { continue };
            let waits = handover.awaits.values().any(Option::is_some);
            // One given without an owner waits for answers, or a lease: then nobody writes by old word.
            let given = slice.owner.is_none() && self.cfg.guarded;
            let most = if given { slice.given + self.cfg.lease } else { Duration::MAX };
            let quiet = if waits { most } else { handover.quiet.min(most) };
            if self.now < quiet.saturating_add(self.cfg.settle) || !self.has_room(GRANT_ROOM.1) {
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
