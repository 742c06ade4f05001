//! Probes of servers, bounded in number and time.

use std::net::SocketAddr;
use std::time::Duration;

use whinhill::interface::{Ep, Event, LoadReport, Probe};
use whinhill_platform::probe::{self, Probing};

use crate::connection::{Connection, Kind};
use crate::connections::Id;
use crate::deadlines::Due;
use crate::limits::*;
use crate::node::Node;

/// A probe whose connect failed at once.
#[derive(Debug)]
pub struct Again {
    ep: Ep,
    probing: Probing,
    /// When its time is over.
    until: Duration,
}

impl Node {
    /// Probes a server now, or as soon as another probe has ended.
    pub fn probe(&mut self, ep: Ep) {
        self.counts.probes_left += u64::from(!self.probes.push(ep));
        self.start_probes();
    }

    fn start_probes(&mut self) {
        while let Some(ep) = self.probes.next() {
            let Some(addr) = self.addrs.get(ep.index).copied().flatten() else { continue };
            self.counts.probes += 1;
            let until = self.clock.now() + PROBE_WITHIN;
            if !self.open_probe(ep, addr, Probing::default(), until) {
                // The others would fare no better now.
                break;
            }
        }
    }

    fn open_probe(&mut self, ep: Ep, addr: SocketAddr, probing: Probing, until: Duration) -> bool {
        let (again, left) = (probing.clone(), until.saturating_sub(self.clock.now()));
        let kind = Kind::Probe { ep, probing, until };
        let opened = self.connect(addr, kind, &probe::request(addr), left).is_some();
        if opened {
            self.probes.opened(ep.index);
        } else {
            // Nothing is known of the server: it is ours that failed, and may not the next moment.
            self.postpone_probe(Again { ep, probing: again, until });
        }
        opened
    }

    fn postpone_probe(&mut self, again: Again) {
        self.probes.postpone(again.ep.index, true);
        self.probes_again.push(again);
        self.deadlines.set_by(Due::Probes, self.clock.now() + CONNECT_AGAIN);
    }

    /// Makes the probes again whose connects failed, as long as their time is not over, and then those that wait.
    pub fn probe_again(&mut self) {
        let now = self.clock.now();
        for again in std::mem::take(&mut self.probes_again) {
            let index = again.ep.index;
            self.probes.postpone(index, false);
            let Some(addr) = self.addrs.get(index).copied().flatten().filter(|_| now < again.until) else {
                continue;
            };
            if self.probes.has_room() {
                self.open_probe(again.ep, addr, again.probing, again.until);
            } else {
                self.postpone_probe(again);
            }
        }
        self.start_probes();
    }

    pub fn probe_bytes(&mut self, id: Id, bytes: &[u8]) {
        let Some(Connection { kind: Kind::Probe { ep, probing, .. }, .. }) = self.connections.get_mut(id)
        else {
            return;
        };
        let ep = *ep;
        if let Some((result, load)) = probing.take(bytes) {
            self.probed(id, ep, result, load);
        }
    }

    /// Its connection ended.
    pub fn probe_ended(&mut self, id: Id) {
        let now = self.clock.now();
        let Some(Connection { kind: Kind::Probe { ep, probing, until }, .. }) = self.connections.get_mut(id)
        else {
            return;
        };
        let (ep, until) = (*ep, *until);
        if let Some((result, load)) = probing.ended() {
            return self.probed(id, ep, result, load);
        }
        let probing = std::mem::take(probing);
        match self.addrs.get(ep.index).copied().flatten().filter(|_| now < until) {
            Some(addr) => {
                self.close(id);
                self.counts.probes_again += 1;
                self.open_probe(ep, addr, probing, until);
            }
            None => self.probed(id, ep, Probe::Unanswered, LoadReport::default()),
        }
    }

    /// Its time ended.
    pub fn probe_timed_out(&mut self, id: Id) {
        if let Some(Connection { kind: Kind::Probe { ep, .. }, .. }) = self.connections.get(id) {
            self.probed(id, *ep, Probe::Unanswered, LoadReport::default());
        }
    }

    fn probed(&mut self, id: Id, ep: Ep, result: Probe, load: LoadReport) {
        if let Some(connection) = self.close(id).filter(|_| result == Probe::Unanswered) {
            self.counts.probes_unanswered += 1;
            let name = self.names.server(ep.index).unwrap_or("-");
            let why =
                if connection.heard { "a probe's answer cannot be read" } else { "a probe is not answered" };
            self.failures.log_server(name, connection.remote, why);
        }
        self.pending.push(Event::Probed { ep, result, load });
        self.start_probes();
    }
}
