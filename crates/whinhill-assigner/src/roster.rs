//! Reads the list of servers from a watched JSON5 file, or from an upstream control plane as one EDS resource. When the
//! source fails or stops responding, this is reported, and the last list stays in effect.

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
use whinhill_transport::{stream_limits, CallError, Client, Drivers, Limits, Reached, ReconnectDelay};
use whinhill_xds::mapping::{server_name, METADATA_KEY};
use whinhill_xds::{proto, ClientStream, Kind, Response, Update, Variant};

use crate::config::RosterConfig;
use crate::core::Input;
use crate::last_list::Mailbox;
use crate::wall_clock::unix_ms;

/// The state of a server on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum RosterState {
    Ready,
    Draining,
}

/// A server on the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RosterEntry {
    pub addr: SocketAddr,
    pub zone: String,
    pub state: RosterState,
    /// The capacity relative to other servers; it has no unit.
    #[serde(default = "default_size")]
    pub size: f64,
    /// When the server last started, in milliseconds since 1970; absent: long ago.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_unix_ms: Option<u64>,
}

fn default_size() -> f64 {
    1.0
}

/// The list file. A server that is not in it is gone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RosterFile {
    pub servers: Vec<RosterEntry>,
}

/// Parses a list and describes what is wrong with it. A truncated list is not valid JSON5, so it is rejected as a
/// whole.
pub fn read_roster(text: &str) -> Result<RosterFile, String> {
    let roster: RosterFile = json5::from_str(text).map_err(|error| error.to_string())?;
    let mut addrs = BTreeSet::new();
    for entry in &roster.servers {
        if !addrs.insert(entry.addr) {
            return Err(format!("server {} stands twice", entry.addr));
        }
        if !entry.size.is_finite() || entry.size <= 0.0 {
            return Err(format!("server {}: size {} must be over 0", entry.addr, entry.size));
        }
    }
    Ok(roster)
}

/// How often the file is read.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// A file that can't be read counts as failed after this long; it is also the timeout of exchanges on an EDS stream.
const FAILURE_DELAY: Duration = Duration::from_secs(3);
/// How often an unchanged list is reported as current: often compared to the 15 s within which a new server is listed.
const CURRENT_INTERVAL: Duration = Duration::from_secs(1);

/// What the thread that reads the list works with.
pub struct RosterFeed {
    pub config: RosterConfig,
    /// The list that a former incarnation stored.
    pub last_list: RosterFile,
    /// Where the newest list is stored.
    pub mailbox: Option<Mailbox>,
    pub inputs: Sender<Input>,
    pub stop: Arc<AtomicBool>,
    pub drivers: Drivers,
    pub node: String,
    /// Set once a list has been published; a stored list counts if it has servers. Until then no custody is claimed,
    /// since the module treats an owner that is on no list as gone.
    pub list_published: Arc<AtomicBool>,
}

impl RosterFeed {
    /// Publishes the stored list, then follows the source until the assigner stops.
    pub fn run(mut self) {
        let last = std::mem::take(&mut self.last_list);
        info!(servers = last.servers.len(), "started from the last list");
        let has_list = !last.servers.is_empty();
        let stored = Input::Roster { kind: ListKind::Stored, entries: last.servers, unix_ms: unix_ms() };
        if self.inputs.send(stored).is_err() {
            return;
        }
        self.list_published.store(has_list, Ordering::Release);
        match self.config.clone() {
            RosterConfig::File { path } => self.follow_file(&path),
            RosterConfig::Eds { addr, resource } => self.follow_eds(addr, &resource),
        }
    }

    fn is_stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Sends a list to the decision thread, then stores it.
    fn publish(&self, roster: RosterFile) {
        // Sent before it is stored: with a stalled disk a drain was published up to 3 s late, after its grace period.
        let (entries, unix_ms) = (roster.servers.clone(), unix_ms());
        // This fails only after the decision thread has ended; then this thread ends at its next check.
        let _ = self.inputs.send(Input::Roster { kind: ListKind::Full, entries, unix_ms });
        self.list_published.store(true, Ordering::Release);
        if let Some(mailbox) = &self.mailbox {
            mailbox.put(roster);
        }
    }

    /// Reports at intervals that the last list is still current.
    fn publish_unchanged(&self, last_unchanged_at: &mut Instant) {
        if last_unchanged_at.elapsed() >= CURRENT_INTERVAL {
            *last_unchanged_at = Instant::now();
            let _ = self.inputs.send(Input::RosterUnchanged);
        }
    }

    /// Reports that the source has failed.
    fn publish_failure(&self) {
        let _ = self.inputs.send(Input::Roster { kind: ListKind::Failed, entries: Vec::new(), unix_ms: 0 });
    }

    /// Reads the file again and again.
    fn follow_file(&self, path: &Path) {
        let (mut last_text, mut last_good_at, mut failure_published) = (String::new(), Instant::now(), false);
        let mut last_unchanged_at = Instant::now();
        while !self.is_stopping() {
            let text = fs::read_to_string(path).map_err(|error| error.to_string());
            match text.and_then(|text| {
                if text == last_text {
                    Ok(None)
                } else {
                    read_roster(&text).map(|r| Some((text, r)))
                }
            }) {
                Ok(new) => {
                    (last_good_at, failure_published) = (Instant::now(), false);
                    if let Some((text, roster)) = new {
                        last_text = text;
                        self.publish(roster);
                    } else {
                        self.publish_unchanged(&mut last_unchanged_at);
                    }
                }
                // A half-written file is complete a moment later; only one that stays unreadable is a failure.
                Err(error) if last_good_at.elapsed() > FAILURE_DELAY && !failure_published => {
                    failure_published = true;
                    warn!(path = %path.display(), %error, "the roster can't be read; the last list stands");
                    self.publish_failure();
                }
                Err(_) => {}
            }
            std::thread::park_timeout(POLL_INTERVAL);
        }
    }

    /// Keeps an EDS stream open.
    fn follow_eds(&self, addr: SocketAddr, resource: &str) {
        let node = proto::Node { id: self.node.clone(), ..Default::default() };
        let mut client = ClientStream::new(Variant::Incremental, node);
        client.subscribe(Kind::Endpoints, false, [resource.to_string()].into());
        let (mut delay, mut healthy) = (ReconnectDelay::default(), true);
        while !self.is_stopping() {
            let (started, mut reached, mut received_list) = (Instant::now(), Reached::Nobody, false);
            let ended = self.eds_stream(&mut client, addr, resource, &mut reached, &mut received_list);
            let Err(error) = ended else { return };
            healthy |= received_list;
            if std::mem::replace(&mut healthy, false) {
                warn!(%addr, %error, "the roster's stream is lost; the last list stands");
            }
            self.publish_failure();
            let until = Instant::now() + delay.after_failure(reached, started.elapsed(), rand::random());
            while !self.is_stopping() && Instant::now() < until {
                std::thread::park_timeout(POLL_INTERVAL.min(until.saturating_duration_since(Instant::now())));
            }
        }
    }

    /// Follows one EDS stream until it fails or the assigner stops.
    fn eds_stream(
        &self,
        client: &mut ClientStream,
        addr: SocketAddr,
        resource: &str,
        reached: &mut Reached,
        received_list: &mut bool,
    ) -> Result<(), CallError> {
        let limits = stream_limits(&Limits::default());
        let connection = Client::connect(addr, limits.clone(), &self.drivers)?;
        let result = self.eds_stream_on(&connection, client, &limits, resource, received_list);
        *reached = connection.reached();
        result
    }

    fn eds_stream_on(
        &self,
        connection: &Client,
        client: &mut ClientStream,
        limits: &Limits,
        resource: &str,
        received_list: &mut bool,
    ) -> Result<(), CallError> {
        let addr = connection.addr();
        let (mut writer, pending) = connection.call(client.variant().path(), &[], limits.handshake)?;
        for request in client.open() {
            writer.send(&request.encode(), FAILURE_DELAY)?;
        }
        let mut reader = pending.head(FAILURE_DELAY)?.reader;
        let mut last_unchanged_at = Instant::now();
        let malformed = |_| CallError::Malformed("a message that is none of the protocol's");
        while !self.is_stopping() {
            let message = match reader.recv(POLL_INTERVAL) {
                // No message is no failure while the connection answers pings: the list has not changed.
                Err(CallError::Deadline(_)) => {
                    if *received_list {
                        self.publish_unchanged(&mut last_unchanged_at);
                    }
                    continue;
                }
                other => other?.ok_or_else(|| CallError::Reset("the roster ended the stream".into()))?,
            };
            let response = Response::decode(client.variant(), &message).map_err(malformed)?;
            let update = client
                .decode_reply(&response)
                .map_err(|_| CallError::Malformed("an unknown resource type"))?;
            let answer = match parse_eds(&update, resource) {
                Ok(roster) => {
                    *received_list = true;
                    roster.into_iter().for_each(|roster| self.publish(roster));
                    client.accept(&update)
                }
                Err(reason) => {
                    warn!(%addr, %reason, "a list of servers was rejected");
                    client.reject(&update, &reason)
                }
            };
            writer.send(&answer.encode(), FAILURE_DELAY)?;
        }
        writer.finish()
    }
}

/// Reads the list from a cluster load assignment: health status, zone, and from the metadata size and start time.
fn parse_eds(update: &Update, resource: &str) -> Result<Option<RosterFile>, String> {
    if let Some(fault) = &update.error {
        return Err(fault.clone());
    }
    let Some(body) = update.resources.iter().filter(|r| r.name == resource).find_map(|r| r.body.as_ref())
    else {
        return Ok(None);
    };
    let assignment =
        proto::ClusterLoadAssignment::decode(body.as_ref()).map_err(|error| error.to_string())?;
    let mut servers = Vec::new();
    for locality in &assignment.endpoints {
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
            let number = |name| line.metadata.as_ref().and_then(|m| m.number(METADATA_KEY, name));
            let size = number("size").filter(|size| size.is_finite() && *size > 0.0).unwrap_or(1.0);
            let started_unix_ms = number("started_unix_ms").map(|at| at.max(0.0) as u64);
            servers.push(RosterEntry { addr, zone: zone.clone(), state, size, started_unix_ms });
        }
    }
    Ok(Some(RosterFile { servers }))
}

#[cfg(test)]
mod tests;
