//! The roster: the list of servers, published as a JSON5 file, some time after it is true.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use whinhill_assigner::{RosterEntry, RosterFile, RosterState};

use crate::record::{Recorder, Seen};

pub struct RosterStandIn {
    path: PathBuf,
    servers: Mutex<BTreeMap<SocketAddr, RosterEntry>>,
    record: Recorder,
}

impl RosterStandIn {
    pub fn new(path: &Path, record: &Recorder) -> Self {
        RosterStandIn { path: path.to_path_buf(), servers: Mutex::default(), record: record.clone() }
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Changes the list and publishes it whole.
    pub fn change(&self, act: impl FnOnce(&mut BTreeMap<SocketAddr, RosterEntry>)) -> io::Result<()> {
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let before = servers.clone();
        act(&mut servers);
        let file = RosterFile { servers: servers.values().cloned().collect() };
        let text = serde_json::to_string(&file)?;
        let beside = self.path.with_extension("new");
        fs::write(&beside, text)?;
        for addr in before.keys().chain(servers.keys()) {
            let state = |list: &BTreeMap<SocketAddr, RosterEntry>| list.get(addr).map(|entry| entry.state);
            if state(&before) != state(&servers) {
                let server: Arc<str> = addr.to_string().into();
                self.record.note(Seen::Listed { server, state: state(&servers) });
            }
        }
        fs::rename(beside, &self.path)
    }

    /// Leaves a file cut in half where the list should be, as a writer that died would.
    pub fn write_half(&self) -> io::Result<()> {
        let text = fs::read_to_string(&self.path)?;
        fs::write(&self.path, &text[..text.len() / 2])
    }

    /// Writes what is true again.
    pub fn mend(&self) -> io::Result<()> {
        self.change(|_| {})
    }
}

/// An entry as the roster would write it now.
pub fn entry(addr: SocketAddr, zone: &str, size: f64, started_now: bool) -> RosterEntry {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64);
    let started_unix_ms = started_now.then_some(now);
    RosterEntry { addr, zone: zone.to_string(), state: RosterState::Ready, size, started_unix_ms }
}
