//! Decides what the proxy may send where, from the tables, write leases and levels of all assigners. No I/O, no clock.
//!
//! Two rules keep the writes of a slice at one owner. An older epoch never replaces a newer one, no matter which
//! assigner sends it. And writes are sent only within a lease that counts from the time at which the proxy last
//! *answered* the assigner before the renewal: the assigner received that answer before it sent the renewal, so a
//! delayed message can't make the lease end here later than the assigner assumes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use whinhill::interface::{MethodId, SliceId};
use whinhill_tables::Version;
use whinhill_xds::mapping::{Assignment, Service};

use crate::pick::{pick_server, Draws, Pick};

/// An assigner, by its position in the configuration.
pub type Source = usize;

/// The decision for an RPC.
#[derive(Clone, Debug, PartialEq)]
pub enum Route {
    /// Send it to this server; `tries` is the table's retry setting (see
    /// `RetryState::retry_setting` in `retry.rs`).
    Send { server: Arc<str>, tries: u8, version: Version },
    /// No server has the slice now, or writes have no lease: the RPC may wait for the service's hold time.
    Wait(Refusal),
    /// Push it back at once.
    Refuse(Refusal),
}

/// Why an RPC is pushed back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The level doesn't admit it.
    Level,
    /// The slice's table has no line.
    NoLine,
    /// The write lease has ended or was never granted.
    NoLease,
}

impl Refusal {
    /// The reason as clients see it.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::Level => "level",
            Refusal::NoLine => "no-line",
            Refusal::NoLease => "no-lease",
        }
    }
}

/// Result of applying an assignment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The assignment is in force.
    Updated,
    /// It is in force and admits nothing, unlike the one before: RPCs that wait or can be stopped must end.
    Closed,
    /// It was ignored, because a newer epoch is in force.
    OlderEpoch { held: Version },
}

/// Why an assignment is invalid; the whole reply must then be rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Conflict {
    /// Another assigner has published the same epoch.
    #[error("slice {slice}: epoch {epoch} is held from another assigner")]
    SameEpochElsewhere { slice: SliceId, epoch: u64 },
    /// The version is lower than the one in force, in the same epoch.
    #[error("slice {slice}: {to} after {from} of the same epoch")]
    VersionRegression { slice: SliceId, from: Version, to: Version },
}

/// The table in force for a slice and method.
#[derive(Clone, Debug)]
struct HeldTable {
    source: Source,
    version: Version,
    /// Servers and their weights.
    lines: Vec<(Arc<str>, u32)>,
    /// The share of RPCs that is admitted.
    share: f64,
    /// The retry setting, from 0 to 3: see `RetryState::retry_setting` in `retry.rs`.
    tries: u8,
    /// Set once the assigner has withdrawn the table: the end of the lease at that time. Writes end then, whatever the
    /// assigner renews.
    withdrawn_lease_end: Option<Duration>,
}

/// The write lease from one assigner.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    /// When the proxy last requested or acknowledged the lease's resource on the current stream.
    requested_at: Option<Duration>,
    expires_at: Option<Duration>,
}

/// The tables in force, by slice and method, and the write leases of all assigners.
#[derive(Debug)]
pub struct RoutingTable {
    service: Arc<Service>,
    /// By slice and method, see [`RoutingTable::index`].
    tables: Vec<Option<HeldTable>>,
    /// The highest epoch of each slice that was ever in force.
    epochs: Vec<u64>,
    /// By source.
    leases: Vec<Lease>,
    older_epoch_count: u64,
    pick: Pick,
}

impl RoutingTable {
    /// No tables and no leases, for `sources` assigners.
    pub fn new(service: Arc<Service>, sources: usize, pick: Pick) -> Self {
        let tables = vec![None; service.slices * service.methods.len()];
        let epochs = vec![0; service.slices];
        RoutingTable {
            service,
            tables,
            epochs,
            leases: vec![Lease::default(); sources],
            older_epoch_count: 0,
            pick,
        }
    }

    /// The index of a slice and method in `tables`.
    fn index(&self, slice: SliceId, method: MethodId) -> usize {
        slice * self.service.methods.len() + method
    }

    /// Checks that an assignment may be applied. All assignments of a reply are checked before any is applied.
    pub fn check(&self, source: Source, new: &Assignment) -> Result<(), Conflict> {
        let (slice, to) = (new.slice, new.version);
        match &self.tables[self.index(slice, new.method)] {
            Some(held) if held.version.epoch == to.epoch && held.source != source => {
                Err(Conflict::SameEpochElsewhere { slice, epoch: to.epoch })
            }
            Some(held) if held.version.epoch == to.epoch && to < held.version => {
                Err(Conflict::VersionRegression { slice, from: held.version, to })
            }
            _ => Ok(()),
        }
    }

    /// Applies an assignment that passed [`RoutingTable::check`].
    pub fn apply(&mut self, source: Source, new: &Assignment) -> Applied {
        let index = self.index(new.slice, new.method);
        if new.version.epoch < self.epochs[new.slice] {
            self.older_epoch_count += 1;
            let held = Version { epoch: self.epochs[new.slice], number: 0 };
            return Applied::OlderEpoch { held };
        }
        self.epochs[new.slice] = new.version.epoch;
        let lines = new.lines.iter().map(|(server, weight)| (Arc::from(server.as_str()), *weight)).collect();
        let (version, share, tries) = (new.version, new.share, new.tries);
        let was_open = self.tables[index].as_ref().is_some_and(|held| held.share > 0.0);
        self.tables[index] =
            Some(HeldTable { source, version, lines, share, tries, withdrawn_lease_end: None });
        if was_open && share <= 0.0 {
            Applied::Closed
        } else {
            Applied::Updated
        }
    }

    /// The assigner no longer publishes a slice and method. Reads continue with the old table until another one
    /// arrives; writes continue until the lease in force at the withdrawal ends.
    pub fn withdraw(&mut self, source: Source, slice: SliceId, method: MethodId) {
        let until = self.leases[source].expires_at.unwrap_or_default();
        let index = self.index(slice, method);
        if let Some(held) = self.tables[index].as_mut().filter(|held| held.source == source) {
            held.withdrawn_lease_end.get_or_insert(until);
        }
    }

    /// The proxy is about to request or acknowledge the resource that carries the write lease.
    pub fn lease_requested(&mut self, source: Source, now: Duration) {
        self.leases[source].requested_at = Some(now);
    }

    /// The write lease was granted or renewed, for `ttl` from the last request.
    pub fn lease_renewed(&mut self, source: Source, ttl: Duration) {
        let lease = &mut self.leases[source];
        let expires_at = lease.requested_at.map(|requested_at| requested_at + ttl);
        lease.expires_at = lease.expires_at.max(expires_at);
    }

    /// The stream was lost, and its requests will not be answered. The lease remains until its end.
    pub fn stream_lost(&mut self, source: Source) {
        self.leases[source].requested_at = None;
    }

    /// Until when writes may be sent according to an assigner's tables.
    pub fn lease_until(&self, source: Source) -> Option<Duration> {
        self.leases[source].expires_at
    }

    /// Decides where an RPC goes now; `in_flight` returns the number of this proxy's tries in flight to a server.
    pub fn route(
        &self,
        now: Duration,
        slice: SliceId,
        method: MethodId,
        draws: Draws,
        in_flight: impl Fn(&str) -> u32,
    ) -> Route {
        let Some(held) = &self.tables[self.index(slice, method)] else { return Route::Wait(Refusal::NoLine) };
        if draws.level >= held.share {
            return Route::Refuse(Refusal::Level);
        }
        if self.service.methods[method].writes && !self.may_write(now, held) {
            return Route::Wait(Refusal::NoLease);
        }
        match pick_server(self.pick, &held.lines, draws, in_flight) {
            Some(server) => Route::Send { server: server.clone(), tries: held.tries, version: held.version },
            None => Route::Wait(Refusal::NoLine),
        }
    }

    /// Whether writes may be sent by a table now.
    fn may_write(&self, now: Duration, held: &HeldTable) -> bool {
        // A newer epoch replaces the tables of a slice one method at a time: until then, a method's table is valid for
        // as long as the lease from its own assigner.
        let until = held.withdrawn_lease_end.or(self.leases[held.source].expires_at);
        until.is_some_and(|until| now < until)
    }

    /// Whether a write may still be sent by the table version that chose its server: the last check before the first
    /// byte.
    pub fn may_still_write(&self, now: Duration, slice: SliceId, method: MethodId, version: Version) -> bool {
        let held = self.tables[self.index(slice, method)].as_ref();
        held.is_some_and(|held| held.version == version && held.share > 0.0 && self.may_write(now, held))
    }

    /// The assigner that receives the load reports of a slice and method.
    pub fn source_of(&self, slice: SliceId, method: MethodId) -> Option<Source> {
        self.tables[self.index(slice, method)].as_ref().map(|held| held.source)
    }

    /// Number of assignments ignored because of their older epoch.
    pub fn older_epoch_count(&self) -> u64 {
        self.older_epoch_count
    }

    /// The versions in force, by slice and method.
    pub fn versions(&self) -> BTreeMap<(SliceId, MethodId), Version> {
        let methods = self.service.methods.len();
        let held =
            self.tables.iter().enumerate().filter_map(|(index, held)| Some((index, held.as_ref()?.version)));
        held.map(|(index, version)| ((index / methods, index % methods), version)).collect()
    }
}

#[cfg(test)]
mod model;
#[cfg(test)]
pub mod tests;
