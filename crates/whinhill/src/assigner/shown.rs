//! What stands, for whoever asks: tools, logs, and whoever keeps names for indices. No decisions.

use super::*;

/// Slices that leave, by their owner and where they go.
pub(super) type Departures = BTreeMap<(usize, Option<usize>), Vec<SliceId>>;

impl Assigner {
    /// How a server stands, for whoever asks.
    pub fn health(&self, server: usize) -> Health {
        match self.servers.get(server) {
            Some(s) if s.listed == Listed::Draining => Health::Draining,
            Some(s) if s.listed == Listed::Ready && s.sick.is_some() => Health::Sick,
            Some(s) if s.listed == Listed::Ready && self.ramp(s) < 1.0 => Health::Cold,
            Some(s) if s.listed == Listed::Ready => Health::Ready,
            _ => Health::Gone,
        }
    }

    /// Whether a handover of the slice is under way.
    pub fn moving(&self, slice: SliceId) -> bool {
        self.slices.get(slice).is_some_and(|s| s.handover.is_some())
    }

    /// What is believed of each server's load, for whoever asks: a part of its capacity.
    pub fn loads(&self) -> Vec<f64> {
        self.view().loads
    }

    /// Lines thought to wait in the channel.
    pub fn channel_lines(&self) -> f64 {
        self.channel.lines
    }

    /// The owner of a slice of ours.
    pub fn owner(&self, slice: SliceId) -> Option<usize> {
        self.slices.get(slice).and_then(|s| s.owner)
    }

    /// Whether nothing here names a server any more, so that its index may be given to another.
    pub fn is_done_with(&self, server: usize) -> bool {
        let named =
            |s: &Slice| s.owner == Some(server) || s.handover.as_ref().is_some_and(|h| h.to == Some(server));
        let planned = self.plan.batches.iter().flatten().any(|m| m.1 == server);
        let wished = self.plan.wishes.values().any(|to| *to == server);
        self.health(server) == Health::Gone && !planned && !wished && !self.slices.iter().any(named)
    }

    /// Logs which slices have left their owners, why, and how full the servers are to which they go.
    pub(super) fn log_departures(&mut self, departures: &Departures, view: Option<&View>) {
        let Some(view) = view else { return };
        for ((from, to), slices) in departures {
            let reason = match self.health(*from) {
                Health::Draining => "draining",
                Health::Gone => "gone",
                Health::Sick => "sick",
                Health::Cold | Health::Ready => "over its cold budget",
            };
            let to = to.map_or("no server has room".to_string(), |to| self.how_full(to, view));
            self.out.push(Order::Log { text: format!("slices {slices:?} leave {from}, {reason}: {to}") });
        }
    }

    /// Logs where a slice goes whose destination was chosen with its grant.
    pub(super) fn log_late_choice(&mut self, slice: SliceId, to: usize, view: &View) {
        let text =
            format!("slice {slice} is granted for want of room elsewhere: {}", self.how_full(to, view));
        self.out.push(Order::Log { text });
    }

    fn how_full(&self, server: usize, view: &View) -> String {
        let (load, room) = (view.loads[server].max(view.own[server]), view.rooms[server]);
        format!("to {server}, load {load:.2}, room {room:.2}")
    }

    /// Logs why a server is called sick.
    pub(super) fn log_sick(&mut self, server: usize, symptoms: &Symptoms) {
        let Symptoms { tries, share, others, silence, .. } = symptoms;
        let losses = format!("lost {share:.2} of {tries:.0}, others {others:.2}");
        let probes = self.servers[server].unanswered;
        let text =
            format!("server {server} sick: {losses}, no ok for {silence:.1?}, probes unanswered {probes}");
        self.out.push(Order::Log { text });
    }
}
