//! What stands, for whoever asks: tools, logs, and whoever keeps names for indices. No decisions.

use super::*;

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
}
