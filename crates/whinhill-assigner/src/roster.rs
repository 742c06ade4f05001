//! The list of servers: from a watched JSON5 file, or from an upstream control plane as one EDS resource. A feed
//! that fails or falls silent is told as such; the list that was held stays.

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use prost::Message;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tracing::{info, warn};
use whinhill::interface::ListKind;
use whinhill_transport::{CallError, Client, Drivers, Limits};
use whinhill_xds::mapping::{server_name, FILTER};
use whinhill_xds::{proto, ClientStream, Kind, Response, Update, Variant};

use crate::config::RosterConfig;
use crate::core::Input;
use crate::last_list::Mailbox;
use crate::wall::unix_ms;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum RosterState {
    Ready,
    Draining,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RosterEntry {
    pub addr: SocketAddr,
    pub zone: String,
    pub state: RosterState,
    /// To be compared with other servers' sizes; it has no unit.
    #[serde(default = "one")]
    pub size: f64,
    /// When it last started, in milliseconds since 1970; absent: long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_unix_ms: Option<u64>,
}

fn one() -> f64 {
    1.0
}

/// The file: a server that is not in it is gone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RosterFile {
    pub servers: Vec<RosterEntry>,
}

/// Reads a roster and names what is wrong with it. One that is cut short is no JSON5, so it is refused whole.
pub fn read_roster(text: &str) -> Result<RosterFile, String> {
    let roster: RosterFile = json5::from_str(text).map_err(|error| error.to_string())?;
    let mut seen = BTreeSet::new();
    for entry in &roster.servers {
        if !seen.insert(entry.addr) {
            return Err(format!("server {} stands twice", entry.addr));
        }
        if !entry.size.is_finite() || entry.size <= 0.0 {
            return Err(format!("server {}: size {} must be over 0", entry.addr, entry.size));
        }
    }
    Ok(roster)
}

/// How often the file is looked at.
const LOOK: Duration = Duration::from_millis(100);
/// A file that can't be read, and a stream that is silent, count as failed after this.
const SILENT: Duration = Duration::from_secs(3);
/// How often an unchanged list is told to be current: often against the 15 s within which a new server is listed.
const CURRENT_EVERY: Duration = Duration::from_secs(1);
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

pub struct Feed {
    pub config: RosterConfig,
    /// The list that a former life kept, and where the newest goes to be kept.
    pub last: RosterFile,
    pub keeping: Option<Mailbox>,
    pub inputs: Sender<Input>,
    pub stop: Arc<AtomicBool>,
    pub drivers: Drivers,
    pub node: String,
    /// Set once a list has been told: until then no custody is asked for, since to the module an owner that no
    /// list names is gone.
    pub listed: Arc<AtomicBool>,
}

impl Feed {
    /// Tells the last list, then follows the feed until the assigner stops.
    pub fn run(mut self) {
        let last = std::mem::take(&mut self.last);
        info!(servers = last.servers.len(), "started from the last list");
        let known = !last.servers.is_empty();
        let stored = Input::Roster { kind: ListKind::Stored, entries: last.servers, unix_ms: unix_ms() };
        if self.inputs.send(stored).is_err() {
            return;
        }
        self.listed.store(known, Ordering::Release);
        match self.config.clone() {
            RosterConfig::File { path } => self.follow_file(&path),
            RosterConfig::Eds { addr, resource } => self.follow_eds(addr, &resource),
        }
    }

    fn stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn tell(&self, roster: RosterFile) {
        // Told first: a drain that waited for a stalled disk was told up to 3 s late, after its grace.
        let (entries, unix_ms) = (roster.servers.clone(), unix_ms());
        // The decision thread has ended: then so do we, at the next look.
        let _ = self.inputs.send(Input::Roster { kind: ListKind::Full, entries, unix_ms });
        self.listed.store(true, Ordering::Release);
        if let Some(mailbox) = &self.keeping {
            mailbox.put(roster);
        }
    }

    /// The list that was told last still stands; said now and then.
    fn is_current(&self, told: &mut Instant) {
        if told.elapsed() >= CURRENT_EVERY {
            *told = Instant::now();
            let _ = self.inputs.send(Input::RosterIsCurrent);
        }
    }

    fn failed(&self) {
        let _ = self.inputs.send(Input::Roster { kind: ListKind::Failed, entries: Vec::new(), unix_ms: 0 });
    }

    fn follow_file(&self, path: &Path) {
        let (mut held, mut good, mut told_bad) = (String::new(), Instant::now(), false);
        let mut current = Instant::now();
        while !self.stopping() {
            let read = fs::read_to_string(path).map_err(|error| error.to_string());
            match read.and_then(|text| {
                if text == held {
                    Ok(None)
                } else {
                    read_roster(&text).map(|r| Some((text, r)))
                }
            }) {
                Ok(new) => {
                    (good, told_bad) = (Instant::now(), false);
                    if let Some((text, roster)) = new {
                        held = text;
                        self.tell(roster);
                    } else {
                        self.is_current(&mut current);
                    }
                }
                // A file half written is whole again in a moment; only one that stays bad is a failure.
                Err(error) if good.elapsed() > SILENT && !told_bad => {
                    told_bad = true;
                    warn!(path = %path.display(), %error, "the roster can't be read; the last list stands");
                    self.failed();
                }
                Err(_) => {}
            }
            std::thread::park_timeout(LOOK);
        }
    }

    fn follow_eds(&self, addr: SocketAddr, resource: &str) {
        let node = proto::Node { id: self.node.clone(), ..Default::default() };
        let mut client = ClientStream::new(Variant::Incremental, node);
        client.subscribe(Kind::Endpoints, false, [resource.to_string()].into());
        let (mut back_off, mut well) = (BACK_OFF.0, true);
        while !self.stopping() {
            let mut heard = false;
            let Err(error) = self.eds_stream(&mut client, addr, resource, &mut heard) else { return };
            if heard {
                (back_off, well) = (BACK_OFF.0, true);
            }
            if std::mem::replace(&mut well, false) {
                warn!(%addr, %error, "the roster's stream is lost; the last list stands");
            }
            self.failed();
            let until = Instant::now() + back_off;
            back_off = (back_off * 2).min(BACK_OFF.1);
            while !self.stopping() && Instant::now() < until {
                std::thread::park_timeout(LOOK.min(until.saturating_duration_since(Instant::now())));
            }
        }
    }

    fn eds_stream(
        &self,
        client: &mut ClientStream,
        addr: SocketAddr,
        resource: &str,
        heard: &mut bool,
    ) -> Result<(), CallError> {
        let limits = Limits { handshake: Duration::from_secs(1), ..Limits::default() };
        let connection = Client::connect(addr, limits.clone(), &self.drivers)?;
        let (mut writer, pending) = connection.call(client.variant().path(), &[], limits.handshake)?;
        for request in client.open() {
            writer.send(&request.encode(), SILENT)?;
        }
        let mut reader = pending.head(SILENT)?.reader;
        let mut current = Instant::now();
        let malformed = |_| CallError::Malformed("a message that is none of the protocol's");
        while !self.stopping() {
            let message = match reader.recv(LOOK) {
                // Silence is no failure while the connection answers pings: nothing has changed.
                Err(CallError::Deadline(_)) => {
                    if *heard {
                        self.is_current(&mut current);
                    }
                    continue;
                }
                other => other?.ok_or_else(|| CallError::Reset("the roster ended the stream".into()))?,
            };
            let response = Response::decode(client.variant(), &message).map_err(malformed)?;
            let update =
                client.hear(&response).map_err(|_| CallError::Malformed("an unknown resource type"))?;
            let answer = match read_eds(&update, resource) {
                Ok(roster) => {
                    *heard = true;
                    roster.into_iter().for_each(|roster| self.tell(roster));
                    client.accept(&update)
                }
                Err(reason) => {
                    warn!(%addr, %reason, "a list of servers was rejected");
                    client.reject(&update, &reason)
                }
            };
            writer.send(&answer.encode(), SILENT)?;
        }
        writer.finish()
    }
}

/// The fleet as one load assignment: health, zone, and in the metadata size and start.
fn read_eds(update: &Update, resource: &str) -> Result<Option<RosterFile>, String> {
    if let Some(fault) = &update.fault {
        return Err(fault.clone());
    }
    let Some(body) = update.resources.iter().filter(|r| r.name == resource).find_map(|r| r.body.as_ref())
    else {
        return Ok(None);
    };
    let read = proto::ClusterLoadAssignment::decode(body.as_ref()).map_err(|error| error.to_string())?;
    let mut servers = Vec::new();
    for locality in &read.endpoints {
        let zone = locality.locality.as_ref().map(|l| l.zone.clone()).unwrap_or_default();
        for line in &locality.lb_endpoints {
            let name = line.endpoint.as_ref().and_then(|e| e.address.as_ref()).and_then(server_name);
            let addr = name.and_then(|name| name.parse().ok()).ok_or("a server without an address")?;
            let state = match proto::HealthStatus::try_from(line.health_status) {
                Ok(proto::HealthStatus::Draining) => RosterState::Draining,
                Ok(
                    proto::HealthStatus::Healthy
                    | proto::HealthStatus::Unknown
                    | proto::HealthStatus::Degraded,
                ) => RosterState::Ready,
                _ => continue,
            };
            let number = |name| line.metadata.as_ref().and_then(|m| m.number(FILTER, name));
            let size = number("size").filter(|size| size.is_finite() && *size > 0.0).unwrap_or(1.0);
            let started_unix_ms = number("started_unix_ms").map(|at| at.max(0.0) as u64);
            servers.push(RosterEntry { addr, zone: zone.clone(), state, size, started_unix_ms });
        }
    }
    Ok(Some(RosterFile { servers }))
}

#[cfg(test)]
mod tests;
