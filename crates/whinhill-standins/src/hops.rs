//! The links of a day: which parts they stand between, what they do to what they carry, and the ones between
//! proxies and servers, which come and go with the servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tracing::warn;
use whinhill_proxy::Dial;

use crate::link::{Direction, Link};

/// Two parts that speak to each other; the nearer one opens the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Hop {
    ClientsProxies,
    ProxiesServers,
    ProxiesAssigners,
    AssignersStore,
    /// Where the roster is served by EDS.
    AssignersRoster,
}

/// Some of the parts at one end of a hop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Pick {
    #[default]
    All,
    /// So large a part, drawn; one at least.
    Part(f64),
    One(usize),
}

/// What a link does to what it carries.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum LinkFault {
    /// It carries nothing, one way or both; connections stand.
    Cut {
        #[serde(default)]
        way: Direction,
    },
    /// It carries so much later, each way.
    Delay { ms: u64 },
    /// What comes back is read at so many bytes a second.
    Slow { bytes_per_s: u64 },
    /// It breaks after so many more bytes have come back, in the middle of whatever is under way.
    Break { after_bytes: u64 },
    /// Connections end and none is let through.
    Down {},
}

impl LinkFault {
    /// Sets it, or takes it away again.
    pub fn apply(self, link: &Link, begins: bool, usual_delay: Duration) {
        match self {
            LinkFault::Cut { way } => link.stall(way, begins),
            LinkFault::Delay { ms } => {
                link.set_delay(if begins { Duration::from_millis(ms) } else { usual_delay });
            }
            LinkFault::Slow { bytes_per_s } => {
                link.slow(Direction::Back, if begins { bytes_per_s } else { 0 });
            }
            LinkFault::Break { after_bytes } if begins => link.break_after(after_bytes),
            LinkFault::Break { .. } => {}
            LinkFault::Down {} => link.cut(begins),
        }
    }

    /// Whether it goes on for a time, in which nobody behind it can be held to what it was not told.
    pub fn lasts(self) -> bool {
        !matches!(self, LinkFault::Break { .. })
    }
}

#[derive(Default)]
struct Pairs {
    links: HashMap<(usize, SocketAddr), Link>,
    faults: HashMap<(usize, SocketAddr), LinkFault>,
}

/// One link for each proxy and server that have spoken.
#[derive(Clone, Default)]
pub struct ToServers(Arc<Mutex<Pairs>>);

impl ToServers {
    /// How a proxy connects to servers: through links that are made when first needed.
    pub fn dial(&self, proxy: usize) -> Dial {
        let pairs = self.0.clone();
        Dial(Some(Arc::new(move |server| {
            let lock = || pairs.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(link) = lock().links.get(&(proxy, server)) {
                return link.addr();
            }
            // A proxy connects to a server once at a time, so nobody else makes the same link meanwhile.
            match Link::start(server, |_| {}) {
                Ok(link) => {
                    let mut pairs = lock();
                    if let Some(fault) = pairs.faults.get(&(proxy, server)) {
                        fault.apply(&link, true, Duration::ZERO);
                    }
                    let addr = link.addr();
                    pairs.links.insert((proxy, server), link);
                    addr
                }
                Err(error) => {
                    warn!(%error, "no link to a server: the proxy connects directly");
                    server
                }
            }
        })))
    }

    pub fn set(&self, proxy: usize, server: SocketAddr, fault: LinkFault, begins: bool) {
        let mut pairs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if begins && fault.lasts() {
            pairs.faults.insert((proxy, server), fault);
        } else {
            pairs.faults.remove(&(proxy, server));
        }
        if let Some(link) = pairs.links.get(&(proxy, server)) {
            fault.apply(link, begins, Duration::ZERO);
        }
    }
}
