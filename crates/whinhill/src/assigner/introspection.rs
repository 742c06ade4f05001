//! Queries of the current state, for tools, logs and whoever maps names to indices, and the texts of log orders. There
//! are no decisions here.

use super::*;

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
