//! What a proxy may send where: tables of all assigners together, write leases, levels. No I/O, no clock.
//!
//! Two rules keep writes at one owner. An older epoch never replaces a newer one, from whichever assigner it
//! comes. And writes go on only within a lease, reckoned from the time at which we last *answered* the assigner
//! before it renewed: it has heard that answer, so it sent the renewal later, and no message held up on its way
//! can make the lease end after the assigner takes it for ended.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use whinhill::interface::{MethodId, SliceId};
use whinhill_tables::Version;
use whinhill_xds::mapping::{Assignment, Service};

use crate::pick::{pick, Draws, Pick};

/// An assigner, counted in the order of the configuration.
pub type Source = usize;

/// Where an RPC goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Route {
    /// To this server; `tries` says when it may be tried again elsewhere.
    Send { server: Arc<str>, tries: u8, version: Version },
    /// Nobody serves it now, or writes have no lease: it may wait for the hold.
    Wait(Refusal),
    /// Pushed back at once.
    Refuse(Refusal),
}

/// Why an RPC is pushed back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The level shuts it out.
    Level,
    /// The slice has no line.
    NoLine,
    /// The write lease has ended, or was never given.
    NoLease,
}

impl Refusal {
    pub fn name(self) -> &'static str {
        match self {
            Refusal::Level => "level",
            Refusal::NoLine => "no-line",
            Refusal::NoLease => "no-lease",
        }
    }
}

/// What became of an assignment that came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    New,
    /// It lets nothing in any more, which the one before did: what waits or can be stopped is to end.
    Shut,
    /// A newer epoch is held: it binds nobody here.
    Older {
        held: Version,
    },
}

/// Why an assignment can't be: its reply must be rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Conflict {
    #[error("slice {slice}: epoch {epoch} is held from another assigner")]
    TwoInCharge { slice: SliceId, epoch: u64 },
    #[error("slice {slice}: {to} after {from} of the same epoch")]
    Backwards { slice: SliceId, from: Version, to: Version },
}

#[derive(Clone, Debug)]
struct Held {
    source: Source,
    version: Version,
    lines: Vec<(Arc<str>, u32)>,
    share: f64,
    tries: u8,
    /// Set once the assigner has withdrawn it: its writes end then, whatever the assigner renews.
    frozen: Option<Duration>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    /// When we last answered on the lease's resource.
    asked: Option<Duration>,
    until: Option<Duration>,
}

#[derive(Debug)]
pub struct Table {
    service: Arc<Service>,
    slots: Vec<Option<Held>>,
    /// The greatest epoch of each slice that was ever held.
    epochs: Vec<u64>,
    leases: Vec<Lease>,
    older: u64,
    pick: Pick,
}

impl Table {
    pub fn new(service: Arc<Service>, sources: usize, pick: Pick) -> Self {
        let slots = vec![None; service.slices * service.methods.len()];
        let epochs = vec![0; service.slices];
        Table { service, slots, epochs, leases: vec![Lease::default(); sources], older: 0, pick }
    }

    fn slot(&self, slice: SliceId, method: MethodId) -> usize {
        slice * self.service.methods.len() + method
    }

    /// Whether an assignment may be applied at all; checked for a whole reply before any of it is.
    pub fn check(&self, source: Source, new: &Assignment) -> Result<(), Conflict> {
        let (slice, to) = (new.slice, new.version);
        match &self.slots[self.slot(slice, new.method)] {
            Some(held) if held.version.epoch == to.epoch && held.source != source => {
                Err(Conflict::TwoInCharge { slice, epoch: to.epoch })
            }
            Some(held) if held.version.epoch == to.epoch && to < held.version => {
                Err(Conflict::Backwards { slice, from: held.version, to })
            }
            _ => Ok(()),
        }
    }

    /// Applies an assignment that passed [`Table::check`].
    pub fn apply(&mut self, source: Source, new: &Assignment) -> Applied {
        let slot = self.slot(new.slice, new.method);
        if new.version.epoch < self.epochs[new.slice] {
            self.older += 1;
            let held = Version { epoch: self.epochs[new.slice], number: 0 };
            return Applied::Older { held };
        }
        self.epochs[new.slice] = new.version.epoch;
        let lines = new.lines.iter().map(|(server, weight)| (Arc::from(server.as_str()), *weight)).collect();
        let (version, share, tries) = (new.version, new.share, new.tries);
        let open = self.slots[slot].as_ref().is_some_and(|held| held.share > 0.0);
        self.slots[slot] = Some(Held { source, version, lines, share, tries, frozen: None });
        if open && share <= 0.0 {
            Applied::Shut
        } else {
            Applied::New
        }
    }

    /// The assigner no longer tells of a slice and method. Reads go on by what is held until another table comes;
    /// writes for as long as the lease lasted when it was withdrawn.
    pub fn withdrawn(&mut self, source: Source, slice: SliceId, method: MethodId) {
        let until = self.leases[source].until.unwrap_or_default();
        let slot = self.slot(slice, method);
        if let Some(held) = self.slots[slot].as_mut().filter(|held| held.source == source) {
            held.frozen.get_or_insert(until);
        }
    }

    /// We ask for the resource that carries the write lease, or answer it.
    pub fn lease_asked(&mut self, source: Source, now: Duration) {
        self.leases[source].asked = Some(now);
    }

    /// It came, or was renewed.
    pub fn lease_renewed(&mut self, source: Source, ttl: Duration) {
        let lease = &mut self.leases[source];
        let until = lease.asked.map(|asked| asked + ttl);
        lease.until = lease.until.max(until);
    }

    /// The stream broke: what was asked on it is answered by nobody. The lease runs on to its end.
    pub fn stream_lost(&mut self, source: Source) {
        self.leases[source].asked = None;
    }

    /// Until when writes may go by an assigner's tables.
    pub fn lease_until(&self, source: Source) -> Option<Duration> {
        self.leases[source].until
    }

    /// Where an RPC goes now; `out` tells this proxy's own work out at a server.
    pub fn route(
        &self,
        now: Duration,
        slice: SliceId,
        method: MethodId,
        draws: Draws,
        out: impl Fn(&str) -> u32,
    ) -> Route {
        let Some(held) = &self.slots[self.slot(slice, method)] else { return Route::Wait(Refusal::NoLine) };
        if draws.level >= held.share {
            return Route::Refuse(Refusal::Level);
        }
        if self.service.methods[method].writes && !self.may_write(now, held) {
            return Route::Wait(Refusal::NoLease);
        }
        match pick(self.pick, &held.lines, draws, out) {
            Some(server) => Route::Send { server: server.clone(), tries: held.tries, version: held.version },
            None => Route::Wait(Refusal::NoLine),
        }
    }

    fn may_write(&self, now: Duration, held: &Held) -> bool {
        // A slice that another epoch has been seen for is no longer this table's, method by method.
        let until = held.frozen.or(self.leases[held.source].until);
        until.is_some_and(|until| now < until)
    }

    /// Whether a write drawn a moment ago may still be sent: the last look before its first byte.
    pub fn still(&self, now: Duration, slice: SliceId, method: MethodId, version: Version) -> bool {
        let held = self.slots[self.slot(slice, method)].as_ref();
        held.is_some_and(|held| held.version == version && held.share > 0.0 && self.may_write(now, held))
    }

    /// Which assigner a slice's figures go to.
    pub fn source_of(&self, slice: SliceId, method: MethodId) -> Option<Source> {
        self.slots[self.slot(slice, method)].as_ref().map(|held| held.source)
    }

    /// Assignments of an older epoch that came and were not obeyed.
    pub fn older(&self) -> u64 {
        self.older
    }

    /// Versions held, by slice and method, for listings.
    pub fn versions(&self) -> BTreeMap<(SliceId, MethodId), Version> {
        let methods = self.service.methods.len();
        let held =
            self.slots.iter().enumerate().filter_map(|(slot, held)| Some((slot, held.as_ref()?.version)));
        held.map(|(slot, version)| ((slot / methods, slot % methods), version)).collect()
    }
}

#[cfg(test)]
mod model;
#[cfg(test)]
pub mod tests;
