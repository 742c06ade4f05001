//! Queries of the current state, for tools, logs and whoever maps names to indices, and the texts of log orders. There
//! are no decisions here.

use super::*;

/// A handover that took longer is logged with its grant.
const MIN_LOGGED_HANDOVER_TIME: Duration = Duration::from_secs(1);
/// The largest number of proxies that a summary names.
const MAX_SUMMARY_PROXIES: usize = 5;

/// Slices that leave their owners, by their owner and their destination, if that was chosen.
pub(super) type Departures = BTreeMap<(usize, Option<usize>), Vec<SliceId>>;

impl Assigner {
    /// A server's health; `Gone` for an unknown index.
    pub fn health(&self, server: usize) -> Health {
        match self.servers.get(server) {
            Some(s) if s.listed_status == ListedStatus::Draining => Health::Draining,
            Some(s) if s.listed_status == ListedStatus::Ready && s.unhealthy_until.is_some() => Health::Sick,
            Some(s) if s.listed_status == ListedStatus::Ready && self.slow_start_factor(s) < 1.0 => {
                Health::Cold
            }
            Some(s) if s.listed_status == ListedStatus::Ready => Health::Ready,
            _ => Health::Gone,
        }
    }

    /// Whether a handover of the slice is in progress.
    pub fn has_handover(&self, slice: SliceId) -> bool {
        self.slices.get(slice).is_some_and(|s| s.handover.is_some())
    }

    /// The handovers in progress, and totals of those that have ended.
    pub fn handover_summary(&self) -> HandoverSummary {
        let mut in_progress: Vec<&Handover> =
            self.slices.iter().filter_map(|s| s.handover.as_ref()).collect();
        in_progress.sort_by_key(|handover| handover.started_at);
        let mut awaited_proxies = Vec::new();
        for (proxy, ack) in in_progress.iter().flat_map(|handover| &handover.acks) {
            let is_pending = ack.state != AckState::Acknowledged;
            if is_pending && !awaited_proxies.contains(proxy) && awaited_proxies.len() < MAX_SUMMARY_PROXIES {
                awaited_proxies.push(*proxy);
            }
        }
        let revoked: Vec<Duration> = in_progress.iter().filter_map(|handover| handover.revoked_at).collect();
        let first_revoked = revoked.iter().min();
        HandoverSummary {
            in_progress: in_progress.len(),
            without_line: revoked.len(),
            longest_without_line: first_revoked.map_or(Duration::ZERO, |at| self.now.saturating_sub(*at)),
            awaited_proxies,
            granted_count: self.grant_count,
            longest_duration: self.longest_handover,
        }
    }

    /// Counts a handover that ends with a grant, and logs one that took long, with what it waited for last.
    pub(super) fn record_grant(&mut self, slice: SliceId, to: usize) {
        let Some(handover) = &self.slices[slice].handover else { return };
        let (now, started_at) = (self.now, handover.started_at);
        let took = now.saturating_sub(started_at);
        self.grant_count += 1;
        self.longest_handover = self.longest_handover.max(took);
        if took <= MIN_LOGGED_HANDOVER_TIME {
            return;
        }
        let last_wait = match handover.last_wait_ended {
            Some((proxy, WaitEnd::Acknowledged(at))) => {
                format!("proxy {proxy} acknowledged last, after {:.1?}", at.saturating_sub(started_at))
            }
            Some((proxy, WaitEnd::Disconnected(at))) => {
                format!("proxy {proxy} disconnected last, after {:.1?}", at.saturating_sub(started_at))
            }
            None => "no proxy was waited for".to_string(),
        };
        let pending = self.describe_pending_acks(handover);
        let without_line = handover.revoked_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let from = self.slices[slice].owner.map_or("none".to_string(), |owner| format!("server {owner}"));
        let text = format!(
            "slice {slice} handed over from {from} to server {to} in {took:.1?}, {without_line:.1?} of it without a line: {last_wait}; {pending}"
        );
        self.output.push(Order::Log { text });
    }

    /// What a handover that ends without some acknowledgements relied on: the end of the last lease of these proxies,
    /// and the latest end of their writes by the time at which the stop was sent.
    fn describe_pending_acks(&self, handover: &Handover) -> String {
        let pending = handover.acks.values().filter(|ack| ack.state != AckState::Acknowledged);
        let count = pending.clone().count();
        let mut text = format!("{count} proxies have not acknowledged");
        let after_start = |at: Duration| at.saturating_sub(handover.started_at);
        if let Some(lease_end) = pending.filter_map(|ack| ack.lease_ends_at).max() {
            text += &format!(", the last lease of theirs ended after {:.2?}", after_start(lease_end));
        }
        if let Some(sent_by) = handover.stop_sent_by.filter(|_| count > 0) {
            let latest = sent_by + self.cfg.max_transit + self.cfg.write_lease;
            text += &format!(", by the stop their writes end after {:.2?}", after_start(latest));
        }
        text
    }

    /// The estimated load of each server, as a fraction of its present capacity.
    pub fn estimated_loads(&self) -> Vec<f64> {
        self.load_snapshot().loads
    }

    /// Lines that are estimated to be queued in the channel to the proxies.
    pub fn queued_lines(&self) -> f64 {
        self.channel.queued_lines
    }

    /// The index of the server that owns a slice in custody.
    pub fn owner(&self, slice: SliceId) -> Option<usize> {
        self.slices.get(slice).and_then(|s| s.owner)
    }

    /// Whether nothing refers to a server any more, so that its index may be reused for another one.
    pub fn can_reuse_index(&self, server: usize) -> bool {
        let is_named = |s: &Slice| {
            s.owner == Some(server) || s.handover.as_ref().is_some_and(|h| h.destination == Some(server))
        };
        let is_planned = self.plan.pending_batches.iter().flatten().any(|m| m.1 == server);
        let is_requested = self.plan.requested_moves.values().any(|to| *to == server);
        self.health(server) == Health::Gone
            && !is_planned
            && !is_requested
            && !self.slices.iter().any(is_named)
    }

    /// Logs which slices leave their owners, why, and how loaded their destinations are.
    pub(super) fn log_departures(&mut self, departures: &Departures, snapshot: Option<&LoadSnapshot>) {
        let Some(snapshot) = snapshot else { return };
        for ((from, to), slices) in departures {
            let reason = match self.health(*from) {
                Health::Draining => "draining",
                Health::Gone => "gone",
                Health::Sick => "sick",
                Health::Cold | Health::Ready => "over its cold budget",
            };
            let destination =
                to.map_or("no server has headroom".to_string(), |to| self.describe_destination(to, snapshot));
            let text = format!("slices {slices:?} leave server {from} ({reason}): {destination}");
            self.output.push(Order::Log { text });
        }
    }

    /// Logs the destination of a slice that was chosen with the grant.
    pub(super) fn log_late_choice(&mut self, slice: SliceId, to: usize, snapshot: &LoadSnapshot) {
        let destination = self.describe_destination(to, snapshot);
        let text = format!("slice {slice} gets its destination with the grant: {destination}");
        self.output.push(Order::Log { text });
    }

    fn describe_destination(&self, server: usize, snapshot: &LoadSnapshot) -> String {
        let load = snapshot.loads[server].max(snapshot.own_loads[server]);
        let headroom = snapshot.headroom[server];
        format!("to server {server}, load {load:.2}, headroom {headroom:.2}")
    }

    /// Logs why a server is marked unhealthy.
    pub(super) fn log_unhealthy(&mut self, server: usize, symptoms: &Symptoms) {
        let Symptoms { tries, lost_fraction, others_lost_fraction, since_last_ok, .. } = symptoms;
        let unanswered_probes = self.servers[server].unanswered_probes;
        let text = format!(
            "server {server} sick: lost fraction {lost_fraction:.2} of {tries:.0} tries, others {others_lost_fraction:.2}, no ok answer for {since_last_ok:.1?}, {unanswered_probes} probes unanswered"
        );
        self.output.push(Order::Log { text });
    }
}
