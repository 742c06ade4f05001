//! Decides which slices an assigner has custody of. No I/O and no clock.
//!
//! Custody is held under a lease: the assigner's liveness key in the store, which expires unless it is renewed. The
//! holder computes the end of its lease from the time at which it *sent* the last renewal, and subtracts a margin,
//! so it stops acting before any other assigner can see the key expire. A slice is never taken from a live holder;
//! the holder itself releases the slices that another live assigner should have. Every change of custody raises the
//! slice's epoch.

use std::collections::BTreeMap;
use std::time::Duration;

use whinhill::interface::SliceId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::record::{Identity, Record};
use crate::store::Swap;

/// Settings of [`Custody`].
#[derive(Clone, Debug)]
pub struct CustodyConfig {
    /// This assigner.
    pub identity: Identity,
    /// The names of all assigners of the service, including this one.
    pub peers: Vec<String>,
    /// The number of slices.
    pub slices: usize,
    /// How long the liveness key lasts in the store after a renewal.
    pub ttl: Duration,
    /// How much earlier the holder ends its lease. Covers clock drift and a pause between taking the send time and
    /// sending.
    pub lease_margin: Duration,
    /// The maximum number of slices released, and the maximum number claimed, in one round.
    pub max_slices_per_round: usize,
}

/// A change of custody, for the part of the assigner that decides about slices. Events are in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CustodyEvent {
    /// Custody of a slice was acquired, in a new epoch and with the owner that the store holds.
    Acquired { slice: SliceId, epoch: u64, owner: Option<String> },
    /// Custody of a slice has ended.
    Released { slice: SliceId },
}

/// The slices that this assigner has custody of, and the lease under which it has them.
#[derive(Debug)]
pub struct Custody {
    config: CustodyConfig,
    /// The end of the lease on the local clock; `None` without a lease.
    lease_end: Option<Duration>,
    /// The slices held, with their records as stored.
    held: BTreeMap<SliceId, Record>,
    /// Slices that are no longer held, but whose release is not stored yet.
    releasing: BTreeMap<SliceId, Record>,
    /// The greatest epoch ever seen of each slice, so that no epoch is used twice if the store loses its records.
    max_epochs: Vec<u64>,
}

impl Custody {
    /// Creates a custody state without a lease and without slices.
    pub fn new(config: CustodyConfig) -> Self {
        let max_epochs = vec![0; config.slices];
        Custody { config, lease_end: None, held: BTreeMap::new(), releasing: BTreeMap::new(), max_epochs }
    }

    /// The settings given to [`Custody::new`].
    pub fn config(&self) -> &CustodyConfig {
        &self.config
    }

    /// The end of the lease: until then the held slices may be acted on. `None` without a lease.
    pub fn lease_end(&self) -> Option<Duration> {
        self.lease_end
    }

    /// Whether this assigner has custody of a slice.
    pub fn holds(&self, slice: SliceId) -> bool {
        self.held.contains_key(&slice)
    }

    /// The number of slices held.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Extends the lease after a successful renewal that was sent at `sent`.
    pub fn on_lease_renewed(&mut self, sent: Duration) {
        let lease_end = sent + self.config.ttl.saturating_sub(self.config.lease_margin);
        self.lease_end = Some(self.lease_end.map_or(lease_end, |old| old.max(lease_end)));
    }

    /// Ends the lease and drops all slices at once: the liveness key is gone or belongs to another incarnation.
    pub fn on_lease_lost(&mut self) -> Vec<CustodyEvent> {
        self.lease_end = None;
        self.releasing.clear();
        std::mem::take(&mut self.held).into_keys().map(|slice| CustodyEvent::Released { slice }).collect()
    }

    /// Drops all slices if the lease has ended by the local clock.
    pub fn expire(&mut self, now: Duration) -> Vec<CustodyEvent> {
        match self.lease_end {
            Some(lease_end) if now >= lease_end => self.on_lease_lost(),
            _ => Vec::new(),
        }
    }

    /// Compares the held slices with the store's content, read by a query sent at `now`. Returns the slices whose
    /// custody has ended, and the swaps that would claim further slices.
    pub fn reconcile(
        &mut self,
        now: Duration,
        alive: &[Identity],
        records: &[Option<Record>],
    ) -> (Vec<CustodyEvent>, Vec<Swap>) {
        let mut events = self.expire(now);
        if self.lease_end.is_none() || !alive.contains(&self.config.identity) {
            return (events, Vec::new());
        }
        let mut claims = Vec::new();
        for (slice, record) in records.iter().enumerate().take(self.config.slices) {
            let stored_epoch = record.as_ref().map_or(0, |record| record.epoch);
            self.max_epochs[slice] = self.max_epochs[slice].max(stored_epoch);
            if let Some(own) = self.held.get(&slice) {
                // The record was overwritten, or the store lost it: custody has ended.
                if record
                    .as_ref()
                    .is_none_or(|r| r.epoch != own.epoch || r.holder.as_ref() != Some(&self.config.identity))
                {
                    self.held.remove(&slice);
                    events.push(CustodyEvent::Released { slice });
                }
                continue;
            }
            // A record that still names this assigner, although it dropped the slice (after an unknown outcome), is
            // claimed again in a new epoch.
            let stale_own =
                |holder: &Identity| *holder == self.config.identity && !self.releasing.contains_key(&slice);
            let holder = record.as_ref().and_then(|r| r.holder.as_ref());
            let claimable = holder.is_none_or(|holder| !alive.contains(holder) || stale_own(holder));
            if claimable && self.is_preferred(slice, alive) && claims.len() < self.config.max_slices_per_round
            {
                let owner = record.as_ref().and_then(|r| r.owner.clone());
                let holder = Some(self.config.identity.clone());
                let new = Record { epoch: self.max_epochs[slice] + 1, number: 0, holder, owner };
                claims.push(Swap { slice, expected: record.clone(), new });
            }
        }
        let surplus: Vec<SliceId> =
            self.held.keys().copied().filter(|slice| !self.is_preferred(*slice, alive)).collect();
        for slice in
            surplus.into_iter().take(self.config.max_slices_per_round.saturating_sub(self.releasing.len()))
        {
            if let Some(record) = self.held.remove(&slice) {
                self.releasing.insert(slice, record);
                events.push(CustodyEvent::Released { slice });
            }
        }
        (events, claims)
    }

    /// Starts the release of all slices, for an orderly stop.
    pub fn release_all(&mut self) -> Vec<CustodyEvent> {
        let held = std::mem::take(&mut self.held);
        let events = held.keys().map(|slice| CustodyEvent::Released { slice: *slice }).collect();
        self.releasing.extend(held);
        events
    }

    /// The swaps that record pending releases. To be performed only once this assigner no longer acts on the slices.
    pub fn pending_releases(&self) -> Vec<Swap> {
        let release = |(slice, record): (&SliceId, &Record)| Swap {
            slice: *slice,
            expected: Some(record.clone()),
            new: Record { number: record.number + 1, holder: None, ..record.clone() },
        };
        self.releasing.iter().take(self.config.max_slices_per_round).map(release).collect()
    }

    /// Removes releases from the pending ones: they were stored, or their records differ from what was expected.
    /// Either way the slices are not held.
    pub fn on_released(&mut self, swaps: &[Swap]) {
        swaps.iter().for_each(|swap| drop(self.releasing.remove(&swap.slice)));
    }

    /// Acquires the slices of claims that the store has performed. Does nothing if the lease has ended at `now`.
    pub fn on_claimed(&mut self, now: Duration, swaps: &[Swap]) -> Vec<CustodyEvent> {
        if self.lease_end.is_none_or(|lease_end| now >= lease_end) {
            return Vec::new();
        }
        let mut events = Vec::new();
        for Swap { slice, new, .. } in swaps {
            self.max_epochs[*slice] = self.max_epochs[*slice].max(new.epoch);
            self.held.insert(*slice, new.clone());
            events.push(CustodyEvent::Acquired { slice: *slice, epoch: new.epoch, owner: new.owner.clone() });
        }
        events
    }

    /// The swap that stores a slice's new owner; `None` if the slice is not held in that epoch.
    pub fn grant_swap(&self, slice: SliceId, epoch: u64, owner: &str) -> Option<Swap> {
        let record = self.held.get(&slice).filter(|record| record.epoch == epoch)?;
        let new = Record { number: record.number + 1, owner: Some(owner.to_string()), ..record.clone() };
        Some(Swap { slice, expected: Some(record.clone()), new })
    }

    /// Notes that the swap of a grant was performed.
    pub fn on_granted(&mut self, swap: &Swap) {
        if let Some(record) = self.held.get_mut(&swap.slice).filter(|record| record.epoch == swap.new.epoch) {
            record.clone_from(&swap.new);
        }
    }

    /// Drops the slices of swaps with an unknown outcome. A later read of the store decides about them.
    pub fn on_unknown_outcome(&mut self, swaps: &[Swap]) -> Vec<CustodyEvent> {
        let dropped = swaps.iter().filter(|swap| self.held.remove(&swap.slice).is_some());
        dropped.map(|swap| CustodyEvent::Released { slice: swap.slice }).collect()
    }

    /// Whether this assigner should have a slice among the live ones. Rendezvous hashing keeps the number of slices
    /// that move small when an assigner joins or leaves.
    fn is_preferred(&self, slice: SliceId, alive: &[Identity]) -> bool {
        let weight = |name: &str| (xxh3_64_with_seed(name.as_bytes(), slice as u64), name.to_string());
        let own_weight = weight(&self.config.identity.name);
        alive.iter().all(|other| other.name == self.config.identity.name || weight(&other.name) < own_weight)
    }
}

#[cfg(test)]
mod tests;
