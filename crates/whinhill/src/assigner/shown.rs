//! What stands, for whoever asks: tools, logs, and whoever keeps names for indices. No decisions.

use super::*;

/// A handover that took longer is logged with its grant.
const LOGGED_FROM: Duration = Duration::from_secs(1);
/// Proxies that a summary names at most.
const AWAITED_MOST: usize = 5;

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

    /// The handovers under way, and what has ended.
    pub fn handovers(&self) -> HandoverSummary {
        let mut under_way: Vec<&Handover> = self.slices.iter().filter_map(|s| s.handover.as_ref()).collect();
        under_way.sort_by_key(|handover| handover.began);
        let mut awaited = Vec::new();
        for (proxy, one) in under_way.iter().flat_map(|handover| &handover.awaits) {
            if one.answer != Answer::Given && !awaited.contains(proxy) && awaited.len() < AWAITED_MOST {
                awaited.push(*proxy);
            }
        }
        let cut: Vec<Duration> = under_way.iter().filter_map(|handover| handover.cut_at).collect();
        HandoverSummary {
            under_way: under_way.len(),
            without_line: cut.len(),
            without_line_for: cut.iter().min().map_or(Duration::ZERO, |at| self.now.saturating_sub(*at)),
            awaited,
            granted: self.granted,
            longest: self.longest_handover,
        }
    }

    /// Counts a handover that ends with a grant, and logs one that took long: what was waited for last.
    pub(super) fn note_granted(&mut self, slice: SliceId, to: usize) {
        let Some(handover) = &self.slices[slice].handover else { return };
        let (now, began) = (self.now, handover.began);
        let took = now.saturating_sub(began);
        self.granted += 1;
        self.longest_handover = self.longest_handover.max(took);
        if took <= LOGGED_FROM {
            return;
        }
        let last = match handover.last_heard {
            Some((proxy, Heard::Answer(at))) => {
                format!("proxy {proxy} answered last, after {:.1?}", at.saturating_sub(began))
            }
            Some((proxy, Heard::Left(at))) => {
                format!("proxy {proxy} left, after {:.1?}", at.saturating_sub(began))
            }
            None => "no answer was awaited".to_string(),
        };
        let unheard = handover.awaits.values().filter(|one| one.answer != Answer::Given).count();
        let without_line = handover.cut_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let from = self.slices[slice].owner.map_or("none".to_string(), |owner| owner.to_string());
        let text = format!(
            "slice {slice} granted from {from} to {to} after {took:.1?}, {without_line:.1?} without a line: {last}; {unheard} unheard"
        );
        self.out.push(Order::Log { text });
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
