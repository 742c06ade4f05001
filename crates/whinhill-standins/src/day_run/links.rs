//! Temporary faults of the links between parts.

use std::time::Duration;

use super::{ms, Fleet};
use crate::hops::{Hop, LinkFault};
use crate::recorder::Event;
use crate::server::ServerStandIn;

impl Fleet<'_> {
    /// Begins or ends a fault of the links between the given parts, and records it for the audit. The audit excuses
    /// proxies that could not be notified, and does not count RPCs as sent late that a link has delayed.
    pub(super) fn set_link_fault(
        &self,
        hop: Hop,
        fault: LinkFault,
        near: &[usize],
        far: &[usize],
        begins: bool,
    ) {
        let usual_delay = ms(self.day.link_delay_ms);
        let pairs = near.iter().flat_map(|&n| far.iter().map(move |&f| (n, f)));
        for (n, f) in pairs {
            match hop {
                Hop::ClientsProxies => {
                    self.proxies[f]
                        .client_link
                        .iter()
                        .for_each(|link| fault.apply(link, begins, Duration::ZERO));
                }
                Hop::ProxiesAssigners => {
                    let Some(link) = self.proxies[n].links.get(f) else { continue };
                    fault.apply(link, begins, usual_delay);
                    if fault.lasts() {
                        let (proxy, assigner) =
                            (self.proxies[n].id.clone(), self.assigners[f].name.as_str().into());
                        self.recorder.add(Event::AssignerLinkCut { proxy, assigner, cut: begins });
                    }
                }
                Hop::ProxiesServers => {
                    let Some(server) = self.servers[f].server.as_ref().map(ServerStandIn::name) else {
                        continue;
                    };
                    let Ok(addr) = server.parse() else { continue };
                    self.server_links.set(n, addr, fault, begins);
                    let (proxy, server) = (self.proxies[n].id.clone(), server.clone());
                    self.recorder.add(Event::ServerLinkImpaired {
                        proxy,
                        server,
                        impaired: begins && fault.lasts(),
                    });
                }
                Hop::AssignersStore => fault.apply(&self.assigners[n].store_link, begins, Duration::ZERO),
                Hop::AssignersRoster => {
                    let link = self.assigners[n].roster_link.iter();
                    link.for_each(|link| fault.apply(link, begins, Duration::ZERO));
                }
            }
        }
    }
}
