//! What stands, for whoever asks: tools, logs, and whoever keeps names for indices. No decisions.

use super::*;

/// A handover that took longer is logged with its grant.
const MIN_LOGGED_HANDOVER_TIME: Duration = Duration::from_secs(1);
/// Proxies that a summary names at most.
const MAX_SUMMARY_PROXIES: usize = 5;

/// Slices that leave, by their owner and where they go.
pub(super) type Departures = BTreeMap<(usize, Option<usize>), Vec<SliceId>>;

impl Assigner {
    /// How a server stands, for whoever asks.
    pub fn health(&self, server: usize) -> Health {
        match self.servers.get(server) {
            Some(s) if s.listed_status == Listed::Draining => Health::Draining,
            Some(s) if s.listed_status == Listed::Ready && s.unhealthy_until.is_some() => Health::Sick,
            Some(s) if s.listed_status == Listed::Ready && self.slow_start_factor(s) < 1.0 => Health::Cold,
            Some(s) if s.listed_status == Listed::Ready => Health::Ready,
            _ => Health::Gone,
        }
    }

    /// Whether a handover of the slice is under way.
    pub fn moving(&self, slice: SliceId) -> bool {
        self.slices.get(slice).is_some_and(|s| s.handover.is_some())
    }

    /// The handovers under way, and what has ended.
    pub fn handovers(&self) -> HandoverSummary {
        let mut under_way: Vec<&Handover> = self.slices.iter().filter_map(|s| s.handover.as_ref()).collect();
        under_way.sort_by_key(|handover| handover.started_at);
        let mut awaited = Vec::new();
        for (proxy, one) in under_way.iter().flat_map(|handover| &handover.acks) {
            if one.state != AckState::Acknowledged
                && !awaited.contains(proxy)
                && awaited.len() < MAX_SUMMARY_PROXIES
            {
                awaited.push(*proxy);
            }
        }
        let cut: Vec<Duration> = under_way.iter().filter_map(|handover| handover.revoked_at).collect();
        HandoverSummary {
            under_way: under_way.len(),
            without_line: cut.len(),
            without_line_for: cut.iter().min().map_or(Duration::ZERO, |at| self.now.saturating_sub(*at)),
            awaited,
            granted: self.grant_count,
            longest: self.longest_handover,
        }
    }

    /// Counts a handover that ends with a grant, and logs one that took long: what was waited for last.
    pub(super) fn record_grant(&mut self, slice: SliceId, to: usize) {
        let Some(handover) = &self.slices[slice].handover else { return };
        let (now, began) = (self.now, handover.started_at);
        let took = now.saturating_sub(began);
        self.grant_count += 1;
        self.longest_handover = self.longest_handover.max(took);
        if took <= MIN_LOGGED_HANDOVER_TIME {
            return;
        }
        let last = match handover.last_wait_ended {
            Some((proxy, WaitEnd::Acknowledged(at))) => {
                format!("proxy {proxy} answered last, after {:.1?}", at.saturating_sub(began))
            }
            Some((proxy, WaitEnd::Disconnected(at))) => {
                format!("proxy {proxy} left, after {:.1?}", at.saturating_sub(began))
            }
            None => "no answer was awaited".to_string(),
        };
        let unheard = handover.acks.values().filter(|one| one.state != AckState::Acknowledged).count();
        let without_line = handover.revoked_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let from = self.slices[slice].owner.map_or("none".to_string(), |owner| owner.to_string());
        let text = format!(
            "slice {slice} granted from {from} to {to} after {took:.1?}, {without_line:.1?} without a line: {last}; {unheard} unheard"
        );
        self.output.push(Order::Log { text });
    }

    /// What is believed of each server's load, for whoever asks: a part of its capacity.
    pub fn loads(&self) -> Vec<f64> {
        self.load_snapshot().loads
    }

    /// Lines thought to wait in the channel.
    pub fn channel_lines(&self) -> f64 {
        self.channel.queued_lines
    }

    /// The owner of a slice of ours.
    pub fn owner(&self, slice: SliceId) -> Option<usize> {
        self.slices.get(slice).and_then(|s| s.owner)
    }

    /// Whether nothing here names a server any more, so that its index may be given to another.
    pub fn is_done_with(&self, server: usize) -> bool {
        let named = |s: &Slice| {
            s.owner == Some(server) || s.handover.as_ref().is_some_and(|h| h.destination == Some(server))
        };
        let planned = self.plan.pending_batches.iter().flatten().any(|m| m.1 == server);
        let wished = self.plan.requested_moves.values().any(|to| *to == server);
        self.health(server) == Health::Gone && !planned && !wished && !self.slices.iter().any(named)
    }

    /// Logs which slices have left their owners, why, and how full the servers are to which they go.
    pub(super) fn log_departures(&mut self, departures: &Departures, view: Option<&LoadSnapshot>) {
        let Some(view) = view else { return };
        for ((from, to), slices) in departures {
            let reason = match self.health(*from) {
                Health::Draining => "draining",
                Health::Gone => "gone",
                Health::Sick => "sick",
                Health::Cold | Health::Ready => "over its cold budget",
            };
            let to = to.map_or("no server has room".to_string(), |to| self.describe_load(to, view));
            self.output.push(Order::Log { text: format!("slices {slices:?} leave {from}, {reason}: {to}") });
        }
    }

    /// Logs where a slice goes whose destination was chosen with its grant.
    pub(super) fn log_late_choice(&mut self, slice: SliceId, to: usize, view: &LoadSnapshot) {
        let text =
            format!("slice {slice} is granted for want of room elsewhere: {}", self.describe_load(to, view));
        self.output.push(Order::Log { text });
    }

    fn describe_load(&self, server: usize, view: &LoadSnapshot) -> String {
        let (load, room) = (view.loads[server].max(view.own_loads[server]), view.headroom[server]);
        format!("to {server}, load {load:.2}, room {room:.2}")
    }

    /// Logs why a server is called sick.
    pub(super) fn log_unhealthy(&mut self, server: usize, symptoms: &Symptoms) {
        let Symptoms {
            tries,
            lost_fraction: share,
            others_lost_fraction: others,
            since_last_ok: silence,
            ..
        } = symptoms;
        let losses = format!("lost {share:.2} of {tries:.0}, others {others:.2}");
        let probes = self.servers[server].unanswered_probes;
        let text =
            format!("server {server} sick: {losses}, no ok for {silence:.1?}, probes unanswered {probes}");
        self.output.push(Order::Log { text });
    }
}
