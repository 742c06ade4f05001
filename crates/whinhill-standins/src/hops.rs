//! The links of a day: which parts they connect, which faults they can have, and the links between proxies and
//! servers, which are created when a proxy first connects to a server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tracing::warn;
use whinhill_proxy::Dial;

use crate::link::{Direction, Link};

/// Two kinds of parts that communicate; the first one opens the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Hop {
    ClientsProxies,
    ProxiesServers,
    ProxiesAssigners,
    AssignersStore,
    /// Exists only where the roster is served by EDS.
    AssignersRoster,
}

/// Which of the parts at one end of a hop are meant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Pick")]
pub enum Selection {
    #[default]
    All,
    /// That fraction of them, drawn at random; at least one.
    Part(f64),
    /// The one with this number.
    One(usize),
}

/// A fault of a link.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum LinkFault {
    /// It forwards nothing in one or both directions; connections stay open.
    Cut {
        #[serde(default)]
        way: Direction,
    },
    /// It delays all bytes by so many milliseconds, in each direction.
    Delay { ms: u64 },
    /// It forwards so many bytes a second from the far end to the near one.
    Slow { bytes_per_s: u64 },
    /// A connection breaks after so many more bytes from the far end, possibly in the middle of a message.
    Break { after_bytes: u64 },
    /// Connections are broken and new ones refused.
    Down {},
}

impl LinkFault {
    /// Sets the fault on a link, or removes it. `usual_delay` is the link's delay without a fault.
    pub fn apply(self, link: &Link, begins: bool, usual_delay: Duration) {
        match self {
            LinkFault::Cut { way } => link.set_stalled(way, begins),
            LinkFault::Delay { ms } => {
                link.set_delay(if begins { Duration::from_millis(ms) } else { usual_delay });
            }
            LinkFault::Slow { bytes_per_s } => {
                link.limit_rate(Direction::Back, if begins { bytes_per_s } else { 0 });
            }
            LinkFault::Break { after_bytes } if begins => link.break_after_bytes(after_bytes),
            LinkFault::Break { .. } => {}
            LinkFault::Down {} => link.set_down(begins),
        }
    }

    /// Whether the fault lasts for a time. During it the audit excuses the parts behind the link, as messages may not
    /// have reached them.
    pub fn lasts(self) -> bool {
        !matches!(self, LinkFault::Break { .. })
    }
}

/// Links and lasting faults, by proxy number and server address.
#[derive(Default)]
struct LinkTable {
    links: HashMap<(usize, SocketAddr), Link>,
    faults: HashMap<(usize, SocketAddr), LinkFault>,
}

/// One link for each pair of a proxy and a server between which a connection was made.
#[derive(Clone, Default)]
pub struct ServerLinks(Arc<Mutex<LinkTable>>);

impl ServerLinks {
    /// Makes a proxy connect to servers through links, which are created when first needed.
    pub fn dial(&self, proxy: usize) -> Dial {
        let table = self.0.clone();
        Dial(Some(Arc::new(move |server| {
            let lock = || table.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(link) = lock().links.get(&(proxy, server)) {
                return link.addr();
            }
            // A proxy opens one connection to a server at a time, so no other thread creates the same link meanwhile.
            match Link::start(server, |_| {}) {
                Ok(link) => {
                    let mut table = lock();
                    if let Some(fault) = table.faults.get(&(proxy, server)) {
                        fault.apply(&link, true, Duration::ZERO);
                    }
                    let addr = link.addr();
                    table.links.insert((proxy, server), link);
                    addr
                }
                Err(error) => {
                    warn!(%error, "no link to a server: the proxy connects directly");
                    server
                }
            }
        })))
    }

    /// Begins or ends a fault of the link between a proxy and a server, also of one that is created later.
    pub fn set(&self, proxy: usize, server: SocketAddr, fault: LinkFault, begins: bool) {
        let mut table = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if begins && fault.lasts() {
            table.faults.insert((proxy, server), fault);
        } else {
            table.faults.remove(&(proxy, server));
        }
        if let Some(link) = table.links.get(&(proxy, server)) {
            fault.apply(link, begins, Duration::ZERO);
        }
    }
}
