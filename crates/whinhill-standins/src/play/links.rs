//! Links between parts that carry badly for a while.

use std::time::Duration;

use super::{ms, Fleet};
use crate::hops::{Hop, LinkFault};
use crate::record::Seen;
use crate::server::Server;

impl Fleet<'_> {
    /// Lets links between some parts carry badly, or well again, and notes what the audit must know: whoever is
    /// told late is not held to what it was not told, and what was held up is not taken for sent late.
    pub(super) fn hamper(&self, hop: Hop, fault: LinkFault, near: &[usize], far: &[usize], begins: bool) {
        let usual = ms(self.day.link_delay_ms);
        let pairs = near.iter().flat_map(|&n| far.iter().map(move |&f| (n, f)));
        for (n, f) in pairs {
            match hop {
                Hop::ClientsProxies => {
                    self.proxies[f].front.iter().for_each(|link| fault.apply(link, begins, Duration::ZERO));
                }
                Hop::ProxiesAssigners => {
                    let Some(link) = self.proxies[n].links.get(f) else { continue };
                    fault.apply(link, begins, usual);
                    if fault.lasts() {
                        let (proxy, assigner) =
                            (self.proxies[n].id.clone(), self.assigners[f].name.as_str().into());
                        self.record.note(Seen::Cut { proxy, assigner, cut: begins });
                    }
                }
                Hop::ProxiesServers => {
                    let Some(server) = self.servers[f].server.as_ref().map(Server::name) else { continue };
                    let Ok(addr) = server.parse() else { continue };
                    self.to_servers.set(n, addr, fault, begins);
                    let (proxy, server) = (self.proxies[n].id.clone(), server.clone());
                    self.record.note(Seen::Hampered { proxy, server, hampered: begins && fault.lasts() });
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
