//! The one road by which an owner changes: stop, every proxy's answer or lease end, settle, grant.

use super::*;

impl Assigner {
    /// Stops a slice's writes at its owner, or with `cut` all, and awaits every proxy; or grants at once.
    pub(super) fn start_handover(&mut self, id: SliceId, to: Option<usize>, cut: bool) {
        if !self.cfg.fence_writes && !cut {
            return to.into_iter().for_each(|to| self.grant(id, to));
        }
        let (mark, lease) = (self.channel.last_ack_seq + 1, self.cfg.write_lease);
        (self.channel.ack_wanted, self.channel.reserved_orders) = (true, self.channel.reserved_orders + 1);
        let guarded = self.cfg.fence_writes;
        let due = ProxyAck { state: AckState::Pending(mark), lease_ends_at: None };
        let away = |since| ProxyAck { state: AckState::Disconnected, lease_ends_at: Some(since + lease) };
        let awaited = |p: &Proxy| if p.joined { due } else { away(p.state_since) };
        let awaits = self.proxies.iter().filter(|_| guarded).map(|(id, p)| (*id, awaited(p)));
        let awaits = awaits.filter(|(_, awaited)| awaited.lease_ends_at.is_none_or(|end| end > self.now));
        let quiet = self.unknown_proxies_write_until(self.slices[id].acquired_at);
        let handover = Handover {
            acks: awaits.collect(),
            acked_writes_end_at: quiet,
            destination: to,
            stop_ack_seq: mark,
            started_at: self.now,
            ..Handover::default()
        };
        self.slices[id].handover = Some(handover);
        // Where levels are not followed, only the line's end stops writes.
        if cut || self.cfg.admission == Admission::Off {
            self.revoke_line(id);
        }
    }

    /// Until when a proxy that never joined here may write by what a slice's former assigner told it. Once
    /// all that there are have joined, their answers tell, given after they have read the store. Guards
    /// against a lease without an owner at each planned restart. Harm: none known while the count is true.
    pub(super) fn unknown_proxies_write_until(&self, given: Duration) -> Duration {
        if self.joined_proxies() >= self.cfg.total_proxies {
            Duration::ZERO
        } else {
            given + self.cfg.write_lease
        }
    }

    pub(super) fn revoke_line(&mut self, id: SliceId) {
        let Slice { handover: Some(handover), owner: Some(owner), .. } = &mut self.slices[id] else { return };
        (handover.revoked, handover.revoked_at) = (true, Some(self.now));
        self.output.push(Order::Revoke { slice: id, ep: self.servers[*owner].endpoint });
    }

    /// A proxy that joins holds what it held; it must hear of every handover under way before the grant, unless its
    /// lease ends sooner.
    pub(super) fn proxy_joined(&mut self, proxy: ProxyId, zone: ZoneId) {
        self.proxies.insert(proxy, Proxy { zone, joined: true, state_since: self.now });
        self.channel.tuning_ack_seq = None;
        let owned = self.slices.iter_mut().filter(|s| s.owner.is_some() && self.cfg.fence_writes);
        for handover in owned.filter_map(|s| s.handover.as_mut()) {
            let known = handover.acks.get(&proxy);
            let has_answered = known.is_some_and(|awaited| awaited.state == AckState::Acknowledged);
            if !handover.revoked || !has_answered {
                let lease_ends = known.and_then(|awaited| awaited.lease_ends_at);
                handover
                    .acks
                    .insert(proxy, ProxyAck { state: AckState::NotNotified, lease_ends_at: lease_ends });
            }
        }
    }

    /// A proxy that leaves before it has answered writes for a lease.
    pub(super) fn proxy_left(&mut self, proxy: ProxyId) {
        let (now, lease_end) = (self.now, self.now + self.cfg.write_lease);
        let zone = self.proxies.get(&proxy).map_or(usize::MAX, |p| p.zone);
        self.proxies.insert(proxy, Proxy { zone, joined: false, state_since: now });
        for handover in self.slices.iter_mut().filter_map(|s| s.handover.as_mut()) {
            let awaited =
                handover.acks.get_mut(&proxy).filter(|awaited| awaited.state != AckState::Acknowledged);
            if let Some(awaited) = awaited {
                awaited.state = AckState::Disconnected;
                awaited.lease_ends_at.get_or_insert(lease_end);
                handover.last_wait_ended = Some((proxy, WaitEnd::Disconnected(now)));
            }
        }
    }

    /// Tells proxies that joined of the handovers under way, those of one tick together.
    pub(super) fn notify_joined_proxies(&mut self) {
        for handover in self.slices.iter_mut().filter_map(|s| s.handover.as_mut()) {
            for untold in handover.acks.values_mut().filter(|awaited| awaited.state == AckState::NotNotified)
            {
                untold.state = AckState::Pending(self.channel.last_ack_seq + 1);
                self.channel.ack_wanted = true;
            }
        }
    }

    pub(super) fn proxy_acked(&mut self, proxy: ProxyId, mark: u16, way: Duration) {
        let mark = self
            .channel
            .last_ack_seq
            .saturating_sub((self.channel.last_ack_seq as u16).wrapping_sub(mark).into());
        self.channel.tuning_ack_seq = self.channel.tuning_ack_seq.filter(|tuned| *tuned > mark);
        // Messages leave in order: what was sent before the answered one has left.
        self.channel.queued_messages.retain(|(sent, ..)| *sent >= mark);
        self.channel.queued_lines = self.channel.queued_lines.min(self.channel.unacked_lines());
        self.channel.last_acked_seq = self.channel.last_acked_seq.max(mark);
        // The stop was carried out, and has left for all once what is not known to have left has.
        let sent = self.now + self.max_send_time(self.channel.unacked_lines());
        let took_effect = self.channel.took_effect_at(mark, way, self.now);
        for handover in self.slices.iter_mut().filter_map(|s| s.handover.as_mut()) {
            if handover.stop_ack_seq < mark
                || handover.stop_ack_seq == mark && handover.stop_sent_by.is_none()
            {
                handover.stop_sent_by = Some(handover.stop_sent_by.map_or(sent, |before| before.min(sent)));
            }
            let is_due =
                |awaited: &&mut ProxyAck| matches!(awaited.state, AckState::Pending(due) if due <= mark);
            if let Some(awaited) = handover.acks.get_mut(&proxy).filter(is_due) {
                awaited.state = AckState::Acknowledged;
                handover.last_wait_ended = Some((proxy, WaitEnd::Acknowledged(self.now)));
                handover.acked_writes_end_at = handover.acked_writes_end_at.max(took_effect);
            }
        }
    }

    /// Has all proxies answer again where some have not in time: their answers may have been lost, and those of others
    /// tell that what was sent before has left.
    pub(super) fn request_overdue_acks(&mut self) {
        let waits = |s: &Slice| s.handover.as_ref().is_some_and(Handover::awaits_acks);
        let is_time = self.now >= self.channel.last_ack_request_at() + self.cfg.max_transit;
        if is_time && self.channel_is_below(GRANT_STOP_FILL) && self.slices.iter().any(waits) {
            self.channel.ack_wanted = true;
        }
    }

    /// Grants what has settled: nobody writes to the old owner, and what it had in hand has ended.
    pub(super) fn grant_settled_slices(&mut self) {
        let (mut view, open) = (None, self.channel_is_below(GRANT_START_FILL));
        for id in 0..self.slices.len() {
            let slice = &self.slices[id];
            let Some(handover) = slice.handover.as_ref() else { continue };
            let overdue = handover.revoked_at.is_some_and(|at| {
                self.now >= at + self.cfg.max_time_without_line.mul_f64(URGENT_GRANT_FRACTION)
            });
            let room = if overdue { DRAIN_STOP_FILL } else { GRANT_STOP_FILL };
            if !open && !overdue {
                continue;
            }
            // One given without an owner waits for answers, or a lease: then nobody writes by old word.
            let given = slice.owner.is_none() && self.cfg.fence_writes;
            let most = if given { slice.acquired_at + self.cfg.write_lease } else { Duration::MAX };
            let quiet = handover
                .writes_end_at(self.cfg.max_transit, self.cfg.write_lease)
                .map_or(most, |end| end.min(most));
            if self.now < quiet.saturating_add(self.cfg.settle_time) || !self.channel_is_below(room) {
                continue;
            }
            let wanted = handover.destination.filter(|to| accepts_slices(&self.servers[*to]));
            let stays = slice.owner.filter(|o| usable(&self.servers[*o]) && !handover.revoked);
            let last = slice.owner.filter(|o| self.servers[*o].listed_status == Listed::Ready);
            let elsewhere = || self.destination(id, view.get_or_insert_with(|| self.load_snapshot()));
            let Some(to) = wanted.or(stays).or_else(elsewhere).or(last) else { continue };
            let is_late_choice = wanted.or(stays).is_none();
            if let Some(view) = &mut view {
                view.reserve(to, view.demand[id] * view.load_per_demand[to]);
                is_late_choice.then(|| self.log_late_choice(id, to, view));
            }
            self.grant(id, to);
        }
    }

    pub(super) fn grant(&mut self, id: SliceId, to: usize) {
        self.record_grant(id, to);
        let slice = &mut self.slices[id];
        let cut = slice.handover.take().is_some_and(|h| h.revoked);
        let former = slice.owner.filter(|o| *o != to && !cut);
        let new = cut || slice.owner != Some(to);
        (slice.owner, slice.movable_from) = (Some(to), self.now + MOVE_COOLDOWN);
        // The first answers show only after the grant's way and a part of a report's stretch.
        self.servers[to].last_ok_at = self.now + self.cfg.max_transit + self.half_life / 2;
        let server = &mut self.servers[to];
        let is_idle = server.tries.read(self.now, self.half_life) < MAX_IDLE_TRIES
            && server.granted_while_idle_at.is_none();
        server.granted_while_idle_at = if is_idle { Some(self.now) } else { server.granted_while_idle_at };
        self.channel.reserved_orders += self.cfg.methods.len();
        self.output.extend(new.then_some(Order::Grant { slice: id, ep: self.servers[to].endpoint }));
        // Where slices are not exclusive that is one more line beside the former owner's.
        let ends = former.filter(|_| !self.cfg.exclusive);
        self.output.extend(ends.map(|o| Order::Revoke { slice: id, ep: self.servers[o].endpoint }));
    }
}

#[cfg(test)]
mod property;
#[cfg(test)]
mod tests;
