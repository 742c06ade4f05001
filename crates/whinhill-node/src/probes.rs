//! Probes of servers, bounded in number and time.

use std::net::SocketAddr;
use std::time::Duration;

use whinhill::interface::{Ep, Event, LoadReport, Probe};
use whinhill_platform::probe::{self, Probing};

use crate::connection::{Connection, Kind};
use crate::limits::*;
use crate::node::Node;

impl Node {
    /// Where too many are under way the server is left for the next period.
    pub fn probe(&mut self, ep: Ep) {
        let Some(addr) = self.addrs.get(ep.index).copied().flatten() else { return };
        if self.probing >= PROBES_MOST {
            self.counts.probes_left += 1;
            return;
        }
        self.counts.probes += 1;
        self.open_probe(ep, addr, Probing::default(), PROBE_WITHIN);
    }

    fn open_probe(&mut self, ep: Ep, addr: SocketAddr, probing: Probing, within: Duration) {
        self.probing += 1;
        let kind = Kind::Probe { ep, probing };
        if self.connect(addr, kind, &probe::request(addr), within).is_none() {
            // Nothing is known of the server: it is ours that failed.
            self.probing -= 1;
        }
    }

    pub fn probe_bytes(&mut self, key: usize, bytes: &[u8]) {
        let Some(Connection { kind: Kind::Probe { ep, probing }, .. }) = self.connections.get_mut(key) else {
            return;
        };
        let ep = *ep;
        if let Some((result, load)) = probing.take(bytes) {
            self.probed(key, ep, result, load);
        }
    }

    /// Its connection ended.
    pub fn probe_ended(&mut self, key: usize) {
        let now = self.clock.now();
        let Some(Connection { kind: Kind::Probe { ep, probing }, opened, .. }) =
            self.connections.get_mut(key)
        else {
            return;
        };
        let (ep, left) = (*ep, PROBE_WITHIN.saturating_sub(now.saturating_sub(*opened)));
        if let Some((result, load)) = probing.ended() {
            return self.probed(key, ep, result, load);
        }
        let probing = std::mem::take(probing);
        match self.addrs.get(ep.index).copied().flatten().filter(|_| !left.is_zero()) {
            Some(addr) => {
                self.close(key);
                self.counts.probes_again += 1;
                self.open_probe(ep, addr, probing, left);
            }
            None => self.probed(key, ep, Probe::Unanswered, LoadReport::default()),
        }
    }

    /// Its time ended.
    pub fn probe_timed_out(&mut self, key: usize) {
        if let Some(Connection { kind: Kind::Probe { ep, .. }, .. }) = self.connections.get(key) {
            self.probed(key, *ep, Probe::Unanswered, LoadReport::default());
        }
    }

    fn probed(&mut self, key: usize, ep: Ep, result: Probe, load: LoadReport) {
        self.close(key);
        self.counts.probes_unanswered += u64::from(result == Probe::Unanswered);
        self.pending.push(Event::Probed { ep, result, load });
    }
}
