//! Probes of servers, bounded in number and time.

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
        self.probing += 1;
        self.counts.probes += 1;
        let kind = Kind::Probe { ep, probing: Probing::default() };
        if self.connect(addr, kind, &probe::request(addr), PROBE_WITHIN).is_none() {
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

    /// Its connection ended, or its time did.
    pub fn probe_ended(&mut self, key: usize) {
        let Some(Connection { kind: Kind::Probe { ep, probing }, .. }) = self.connections.get(key) else {
            return;
        };
        let (ep, (result, load)) = (*ep, probing.ended());
        self.probed(key, ep, result, load);
    }

    fn probed(&mut self, key: usize, ep: Ep, result: Probe, load: LoadReport) {
        self.close(key);
        self.counts.probes_unanswered += u64::from(result == Probe::Unanswered);
        self.pending.push(Event::Probed { ep, result, load });
    }
}
