//! Access to a day's fleet without its load and its faults, for measurements.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::PoisonError;

use super::{DayRunError, Fleet};
use crate::day::Day;
use crate::running::{ProxyFigures, RunningProxy};

/// A running fleet of a day, without the day's load and faults.
pub struct FleetHandle<'a>(Fleet<'a>);

impl FleetHandle<'_> {
    /// The addresses at which clients reach the proxies.
    pub fn proxy_addrs(&self) -> Vec<SocketAddr> {
        let proxy_addrs = self.0.proxy_addrs.lock().unwrap_or_else(PoisonError::into_inner);
        proxy_addrs.iter().map(|(_, addr)| *addr).collect()
    }

    /// The addresses of the servers that run.
    pub fn server_addrs(&self) -> Vec<SocketAddr> {
        let servers = self.0.servers.iter().filter_map(|slot| slot.server.as_ref());
        servers.filter_map(|server| server.name().parse().ok()).collect()
    }

    /// The process id and the figures of the first proxy, if it runs as a process.
    pub fn first_proxy_process(&self) -> Option<(u32, ProxyFigures)> {
        match self.0.proxies.first()?.running.as_ref()? {
            running @ RunningProxy::Process { child, .. } => Some((child.id(), running.figures())),
            RunningProxy::Thread(_) => None,
        }
    }

    /// Sets whether servers accept RPCs without answering them.
    pub fn set_servers_silent(&self, silent: bool) {
        for server in self.0.servers.iter().filter_map(|slot| slot.server.as_ref()) {
            server.set_faults(|faults| faults.silent = silent);
        }
    }

    /// Breaks every table stream once. Proxies open them again; with the state-of-the-world variant they are sent all
    /// tables again.
    pub fn break_table_streams(&self) {
        for link in self.0.proxies.iter().flat_map(|proxy| &proxy.links) {
            link.set_down(true);
            link.set_down(false);
        }
    }
}

/// Starts a day's fleet, calls `act` with it, and stops it.
pub fn with_fleet<T>(
    day: &Day,
    program: &Path,
    out: &Path,
    act: impl FnOnce(&FleetHandle<'_>) -> T,
) -> Result<T, DayRunError> {
    let mut fleet = FleetHandle(Fleet::start(day, program, out)?);
    let result = act(&fleet);
    fleet.0.stop();
    Ok(result)
}
