//! Handovers, the only way in which a slice's owner changes: writes are stopped, every proxy acknowledges that or its
//! write lease ends, the writes in flight end, and the slice is granted.

use super::*;

impl Assigner {
    /// Stops writes to a slice at its owner, or with `stop_all` all RPCs, and waits for every proxy. Where writes are not
    /// fenced and not all RPCs are to be stopped, grants the slice at once.
    pub(super) fn start_handover(&mut self, id: SliceId, to: Option<usize>, stop_all: bool) {
        if !self.cfg.fence_writes && !stop_all {
            return to.into_iter().for_each(|to| self.grant(id, to));
        }
        let stop_ack_seq = self.channel.last_ack_seq + 1;
        self.channel.ack_wanted = true;
        self.channel.reserved_orders += 1;
        let (is_fenced, lease) = (self.cfg.fence_writes, self.cfg.write_lease);
        let ack_of = |proxy: &Proxy| match proxy.joined {
            true => ProxyAck { state: AckState::Pending(stop_ack_seq), lease_ends_at: None },
            false => {
                let left_at = proxy.state_since.max(self.proxy_updates_lost_at);
                ProxyAck { state: AckState::Disconnected, lease_ends_at: Some(left_at + lease) }
            }
        };
        let acks = self.proxies.iter().filter(|_| is_fenced).map(|(id, proxy)| (*id, ack_of(proxy)));
        let acks = acks.filter(|(_, ack)| ack.lease_ends_at.is_none_or(|end| end > self.now)).collect();
        let handover = Handover {
            acks,
            acked_writes_end_at: self.unknown_proxies_write_until(self.slices[id].acquired_at),
            destination: to,
            stop_ack_seq,
            started_at: self.now,
            ..Handover::default()
        };
        self.slices[id].handover = Some(handover);
        self.record_handover_start(id);
        // Where proxies do not apply levels, writes end only with the line.
        if stop_all || self.cfg.admission == Admission::Off {
            self.stop_all_rpcs(id);
        }
    }

    /// Until when a proxy that has never joined this assigner may write by what the former assigner of a slice had
    /// published. Once all proxies that exist have joined, their acknowledgements suffice, since they give them after
    /// they have read the store. Without this, a slice would lack an owner for a lease at each planned restart. No
    /// fault of it is known as long as the number of proxies in the settings is right. The same holds for a proxy whose
    /// join and break have gone unreported since.
    pub(super) fn unknown_proxies_write_until(&self, acquired_at: Duration) -> Duration {
        if self.joined_proxies() >= self.cfg.total_proxies {
            Duration::ZERO
        } else {
            acquired_at.max(self.proxy_updates_lost_at) + self.cfg.write_lease
        }
    }

    /// Stops all RPCs to the owner in a handover: by levels, which are ordered later in this reply, or where proxies do
    /// not apply levels, by revoking the owner's line.
    pub(super) fn stop_all_rpcs(&mut self, id: SliceId) {
        let Slice { handover: Some(handover), owner: Some(owner), .. } = &mut self.slices[id] else { return };
        handover.all_stopped_at = Some(self.now);
        if self.cfg.admission != Admission::Off {
            handover.stop = StopStage::AllRpcs;
            return;
        }
        handover.stop = StopStage::NoLine;
        self.output.push(Order::Revoke { slice: id, endpoint: self.servers[*owner].endpoint });
    }

    /// The store now holds all orders up to the request of an acknowledgement, of whose sequence number `low_bits` are
    /// the low 16 bits: a proxy whose joining is reported from now on reads them. Whoever feeds the assigner calls this
    /// only once that is proved. That the orders were given, or sent, is no proof, nor is an answer while a proxy may
    /// have joined earlier and be reported later.
    pub fn note_orders_stored(&mut self, low_bits: u16) {
        let ack_seq = self.channel.issued_ack_seq(low_bits);
        self.channel.stored_ack_seq = self.channel.stored_ack_seq.max(ack_seq);
    }

    /// The relay has answered the call that carried the orders up to the request of an acknowledgement, of whose sequence
    /// number `low_bits` are the low 16 bits: they are in the channel.
    pub fn note_orders_answered(&mut self, low_bits: u16) {
        let ack_seq = self.channel.issued_ack_seq(low_bits);
        let sent_by = self.now + self.max_send_time(self.channel.unacked_lines());
        let handovers = self.slices.iter_mut().filter_map(|slice| slice.handover.as_mut());
        for handover in handovers.filter(|handover| handover.stop_ack_seq <= ack_seq) {
            handover.answered_stop_sent_by.get_or_insert(sent_by);
        }
    }

    /// A proxy joins and still has the table that it had before: it must be notified of every handover in progress
    /// before the grant, unless its lease ends sooner. The lease of an earlier break says nothing where it may have read
    /// a store without the stop: then it writes to the old owner again, and its next break starts another lease.
    pub(super) fn proxy_joined(&mut self, proxy: ProxyId, zone: ZoneId) {
        self.proxies.insert(proxy, Proxy { zone, joined: true, state_since: self.now });
        self.channel.tuning_ack_seq = None;
        let stored_ack_seq = self.channel.stored_ack_seq;
        let owned = self.slices.iter_mut().filter(|slice| slice.owner.is_some() && self.cfg.fence_writes);
        for handover in owned.filter_map(|slice| slice.handover.as_mut()) {
            let known = handover.acks.get(&proxy);
            let has_acked = known.is_some_and(|ack| ack.state == AckState::Acknowledged);
            if !handover.stops_all() || !has_acked {
                let reads_stop = handover.stop_ack_seq <= stored_ack_seq;
                let lease_ends_at = known.and_then(|ack| ack.lease_ends_at).filter(|_| reads_stop);
                let ack = ProxyAck { state: AckState::NotNotified, lease_ends_at };
                handover.acks.insert(proxy, ack);
            }
        }
    }

    /// A proxy leaves. Where it has not acknowledged yet, it may write for a lease.
    pub(super) fn proxy_left(&mut self, proxy: ProxyId) {
        let now = self.now;
        let lease_end = now + self.cfg.write_lease;
        let zone = self.proxies.get(&proxy).map_or(usize::MAX, |p| p.zone);
        self.proxies.insert(proxy, Proxy { zone, joined: false, state_since: now });
        for handover in self.slices.iter_mut().filter_map(|slice| slice.handover.as_mut()) {
            let ack = handover.acks.get_mut(&proxy).filter(|ack| ack.state != AckState::Acknowledged);
            if let Some(ack) = ack {
                ack.state = AckState::Disconnected;
                ack.lease_ends_at.get_or_insert(lease_end);
                handover.last_wait_ended = Some((proxy, WaitEnd::Disconnected(now)));
            }
        }
    }

    /// Joins and breaks of proxies may have gone unreported until now: the leases of all that are not joined count from
    /// now, unless what they read since had the stop.
    pub(super) fn apply_lost_proxy_updates(&mut self) {
        self.proxy_updates_lost_at = self.now;
        let lease_end = self.now + self.cfg.write_lease;
        let unknown_end = self.unknown_proxies_write_until(self.now);
        let stored_ack_seq = self.channel.stored_ack_seq;
        let handovers = self.slices.iter_mut().filter_map(|slice| slice.handover.as_mut());
        for handover in handovers.filter(|handover| handover.stop_ack_seq > stored_ack_seq) {
            handover.acked_writes_end_at = handover.acked_writes_end_at.max(unknown_end);
            let disconnected = handover.acks.values_mut().filter(|ack| ack.state == AckState::Disconnected);
            disconnected.for_each(|ack| ack.lease_ends_at = Some(lease_end));
        }
    }

    /// Requests an acknowledgement from the proxies that have yet to be notified of a handover, those of one tick
    /// together.
    pub(super) fn notify_joined_proxies(&mut self) {
        for handover in self.slices.iter_mut().filter_map(|slice| slice.handover.as_mut()) {
            for ack in handover.acks.values_mut().filter(|ack| ack.state == AckState::NotNotified) {
                ack.state = AckState::Pending(self.channel.last_ack_seq + 1);
                self.channel.ack_wanted = true;
            }
        }
    }

    /// A proxy acknowledges a sequence number, of which it sends the low 16 bits.
    pub(super) fn proxy_acked(&mut self, proxy: ProxyId, low_bits: u16, transit: Duration) {
        let ack_seq = self.channel.issued_ack_seq(low_bits);
        self.channel.tuning_ack_seq = self.channel.tuning_ack_seq.filter(|tuning| *tuning > ack_seq);
        // Messages leave in order: what was sent before the acknowledged one has left.
        self.channel.queued_messages.retain(|(message_seq, ..)| *message_seq >= ack_seq);
        self.channel.queued_lines = self.channel.queued_lines.min(self.channel.unacked_lines());
        self.channel.last_acked_seq = self.channel.last_acked_seq.max(ack_seq);
        // The stop was carried out by this proxy. It has left for all proxies once all lines have left that are not
        // known to have left yet.
        let sent_by = self.now + self.max_send_time(self.channel.unacked_lines());
        let took_effect_at = self.channel.took_effect_at(ack_seq, transit, self.now);
        for handover in self.slices.iter_mut().filter_map(|slice| slice.handover.as_mut()) {
            let is_later = handover.stop_ack_seq < ack_seq;
            // Further acknowledgements of the stop itself say nothing of the messages queued behind it.
            let is_first_of_stop = handover.stop_ack_seq == ack_seq && handover.stop_sent_by.is_none();
            if is_later || is_first_of_stop {
                let known = [handover.stop_sent_by, handover.answered_stop_sent_by];
                handover.stop_sent_by = Some(known.into_iter().flatten().fold(sent_by, Duration::min));
            }
            let is_pending =
                |ack: &&mut ProxyAck| matches!(ack.state, AckState::Pending(pending) if pending <= ack_seq);
            if let Some(ack) = handover.acks.get_mut(&proxy).filter(is_pending) {
                ack.state = AckState::Acknowledged;
                handover.last_wait_ended = Some((proxy, WaitEnd::Acknowledged(self.now)));
                handover.acked_writes_end_at = handover.acked_writes_end_at.max(took_effect_at);
            }
        }
    }

    /// Requests another acknowledgement from all proxies where some are overdue: they may have been lost, and those of
    /// the other proxies show that what was sent before has left.
    pub(super) fn request_overdue_acks(&mut self) {
        let awaits_acks = |slice: &Slice| slice.handover.as_ref().is_some_and(Handover::awaits_acks);
        let is_time = self.now >= self.channel.last_ack_request_at() + self.cfg.max_transit;
        if is_time && self.channel_is_below(GRANT_STOP_FILL) && self.slices.iter().any(awaits_acks) {
            self.channel.ack_wanted = true;
        }
    }

    /// Grants the slices whose handover has settled: no proxy writes to the old owner any more, and the writes in
    /// flight there have ended.
    pub(super) fn grant_settled_slices(&mut self) {
        let mut snapshot = None;
        let grants_start = self.channel_is_below(GRANT_START_FILL);
        for id in 0..self.slices.len() {
            let slice = &self.slices[id];
            let Some(handover) = slice.handover.as_ref() else { continue };
            let urgent_after = self.cfg.max_time_without_line.mul_f64(URGENT_GRANT_FRACTION);
            let is_urgent = handover.all_stopped_at.is_some_and(|at| self.now >= at + urgent_after);
            let stop_fill = if is_urgent { DRAIN_STOP_FILL } else { GRANT_STOP_FILL };
            if !grants_start && !is_urgent {
                continue;
            }
            // A slice that was acquired without an owner waits for acknowledgements, or for a lease: after that no
            // proxy writes by what the former assigner had published.
            let has_no_owner = slice.owner.is_none() && self.cfg.fence_writes;
            let latest_end =
                if has_no_owner { slice.acquired_at + self.cfg.write_lease } else { Duration::MAX };
            let known_end = handover.writes_end_at(self.cfg.max_transit, self.cfg.write_lease);
            let writes_end_at = known_end.map_or(latest_end, |end| end.min(latest_end));
            let settled_at = writes_end_at.saturating_add(self.cfg.settle_time);
            if self.now < settled_at || !self.channel_is_below(stop_fill) {
                continue;
            }
            let planned = handover.destination.filter(|to| accepts_slices(&self.servers[*to]));
            let staying =
                slice.owner.filter(|owner| usable(&self.servers[*owner]) && !handover.has_no_line());
            let last_resort =
                slice.owner.filter(|owner| self.servers[*owner].listed_status == ListedStatus::Ready);
            let chosen_now = || self.destination(id, snapshot.get_or_insert_with(|| self.load_snapshot()));
            let to = planned.or(staying).or_else(chosen_now).or(last_resort);
            let Some(to) = to else { continue };
            let is_chosen_now = planned.or(staying).is_none();
            if let Some(snapshot) = &mut snapshot {
                snapshot.reserve(to, snapshot.demand[id] * snapshot.load_per_demand[to]);
                is_chosen_now.then(|| self.log_late_choice(id, to, snapshot));
            }
            self.grant(id, to);
        }
    }

    /// Makes a server the owner of a slice, and ends the slice's handover.
    pub(super) fn grant(&mut self, id: SliceId, to: usize) {
        self.record_grant(id, to);
        let slice = &mut self.slices[id];
        let has_no_line = slice.handover.take().is_some_and(|handover| handover.has_no_line());
        let former_owner = slice.owner.filter(|owner| *owner != to && !has_no_line);
        let needs_line = has_no_line || slice.owner != Some(to);
        slice.owner = Some(to);
        slice.movable_from = self.now + MOVE_COOLDOWN;
        let server = &mut self.servers[to];
        // The first answers are reported only after the grant's transit and a part of a reporting interval.
        server.last_ok_at = self.now + self.cfg.max_transit + self.half_life / 2;
        let is_idle = server.tries.read(self.now, self.half_life) < MAX_IDLE_TRIES;
        if is_idle && server.granted_while_idle_at.is_none() {
            server.granted_while_idle_at = Some(self.now);
        }
        // The slice's levels are ordered later in this reply.
        self.channel.reserved_orders += self.cfg.methods.len();
        let endpoint = self.servers[to].endpoint;
        self.output.extend(needs_line.then_some(Order::Grant { slice: id, endpoint }));
        // Where slices are not exclusive, the grant adds a line: the former owner's must be revoked.
        let revoked_owner = former_owner.filter(|_| !self.cfg.exclusive);
        let revoke = |owner: usize| Order::Revoke { slice: id, endpoint: self.servers[owner].endpoint };
        self.output.extend(revoked_owner.map(revoke));
    }
}

#[cfg(test)]
mod property;
#[cfg(test)]
mod tests;
