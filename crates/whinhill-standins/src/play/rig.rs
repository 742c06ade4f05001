//! A day's fleet without its load and its troubles, for measurements.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::PoisonError;

use super::{Fleet, PlayError};
use crate::day::Day;
use crate::running::{ProxyFigures, RunningProxy};

/// A day's fleet without its load and its troubles, for measurements.
pub struct Rig<'a>(Fleet<'a>);

impl Rig<'_> {
    pub fn proxies(&self) -> Vec<SocketAddr> {
        let front = self.0.front.lock().unwrap_or_else(PoisonError::into_inner);
        front.iter().map(|(_, addr)| *addr).collect()
    }

    pub fn servers(&self) -> Vec<SocketAddr> {
        let servers = self.0.servers.iter().filter_map(|slot| slot.server.as_ref());
        servers.filter_map(|server| server.name().parse().ok()).collect()
    }

    /// The first proxy's process, where it is one, and what it says of itself.
    pub fn first_proxy(&self) -> Option<(u32, ProxyFigures)> {
        match self.0.proxies.first()?.running.as_ref()? {
            running @ RunningProxy::Process { child, .. } => Some((child.id(), running.figures())),
            RunningProxy::Thread(_) => None,
        }
    }

    /// Whether servers take RPCs and answer none.
    pub fn silence(&self, silent: bool) {
        for server in self.0.servers.iter().filter_map(|slot| slot.server.as_ref()) {
            server.set_faults(|faults| faults.silent = silent);
        }
    }

    /// Breaks every table stream: proxies open them again, and in state of the world are told all anew.
    pub fn break_streams(&self) {
        for link in self.0.proxies.iter().flat_map(|proxy| &proxy.links) {
            link.cut(true);
            link.cut(false);
        }
    }
}

/// Starts a day's fleet, hands it to `act`, and stops it.
pub fn with_fleet<T>(
    day: &Day,
    program: &Path,
    out: &Path,
    act: impl FnOnce(&Rig<'_>) -> T,
) -> Result<T, PlayError> {
    let mut rig = Rig(Fleet::start(day, program, out)?);
    let result = act(&rig);
    rig.0.stop();
    Ok(result)
}
