//! Who is in charge of what: the deciding part, without I/O or clock.
//!
//! An assigner's charge rests on its sign of life in the store, which ends by itself. The holder judges the end
//! from the time at which it *sent* the last renewal, and a margin earlier than the store can: so it has let go
//! before any other can see the sign gone. Nobody takes from one that is alive; the one in charge gives up, in
//! order, what another living assigner should have. Every change of custody raises the slice's epoch.

use std::collections::BTreeMap;
use std::time::Duration;

use whinhill::interface::SliceId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::record::{Identity, Record};
use crate::store::Swap;

#[derive(Clone, Debug)]
pub struct CustodyConfig {
    pub me: Identity,
    /// All assigners of the service, this one among them.
    pub peers: Vec<String>,
    pub slices: usize,
    /// How long a sign of life lasts in the store.
    pub ttl: Duration,
    /// How much earlier the holder takes it for ended: clocks that run unevenly, and a pause before a send.
    pub margin: Duration,
    /// Slices given up or claimed in one round.
    pub step: usize,
}

/// What has changed, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    Given { slice: SliceId, epoch: u64, owner: Option<String> },
    Taken { slice: SliceId },
}

#[derive(Debug)]
pub struct Custody {
    config: CustodyConfig,
    /// Until when our charge counts, by our clock.
    until: Option<Duration>,
    /// What is ours, as the store holds it.
    ours: BTreeMap<SliceId, Record>,
    /// Slices that are being given up: no longer ours, but the store does not know yet.
    leaving: BTreeMap<SliceId, Record>,
    /// The greatest epoch of each slice ever seen: one that the store has forgotten must not come again.
    epochs: Vec<u64>,
}

impl Custody {
    pub fn new(config: CustodyConfig) -> Self {
        let epochs = vec![0; config.slices];
        Custody { config, until: None, ours: BTreeMap::new(), leaving: BTreeMap::new(), epochs }
    }

    pub fn config(&self) -> &CustodyConfig {
        &self.config
    }

    /// Until when everything of ours may be acted on; `None` without a charge.
    pub fn until(&self) -> Option<Duration> {
        self.until
    }

    pub fn holds(&self, slice: SliceId) -> bool {
        self.ours.contains_key(&slice)
    }

    pub fn count(&self) -> usize {
        self.ours.len()
    }

    /// The sign of life was renewed by a command sent at `sent`.
    pub fn renewed(&mut self, sent: Duration) {
        let until = sent + self.config.ttl.saturating_sub(self.config.margin);
        self.until = Some(self.until.map_or(until, |old| old.max(until)));
    }

    /// The sign is gone or another's: all is lost at once.
    pub fn lost(&mut self) -> Vec<Told> {
        self.until = None;
        self.leaving.clear();
        std::mem::take(&mut self.ours).into_keys().map(|slice| Told::Taken { slice }).collect()
    }

    /// What has ended by our own clock.
    pub fn expire(&mut self, now: Duration) -> Vec<Told> {
        match self.until {
            Some(until) if now >= until => self.lost(),
            _ => Vec::new(),
        }
    }

    /// Looks at what the store holds, as read by a question sent at `now`. Returns what is ours no longer, and
    /// the swaps by which others' slices would become ours.
    pub fn read(
        &mut self,
        now: Duration,
        alive: &[Identity],
        records: &[Option<Record>],
    ) -> (Vec<Told>, Vec<Swap>) {
        let mut told = self.expire(now);
        if self.until.is_none() || !alive.contains(&self.config.me) {
            return (told, Vec::new());
        }
        let mut claims = Vec::new();
        for (slice, record) in records.iter().enumerate().take(self.config.slices) {
            let seen = record.as_ref().map_or(0, |record| record.epoch);
            self.epochs[slice] = self.epochs[slice].max(seen);
            if let Some(mine) = self.ours.get(&slice) {
                // Somebody has written over it, or the store has forgotten it: then it is not ours to act on.
                if record
                    .as_ref()
                    .is_none_or(|r| r.epoch != mine.epoch || r.holder.as_ref() != Some(&self.config.me))
                {
                    self.ours.remove(&slice);
                    told.push(Told::Taken { slice });
                }
                continue;
            }
            // What names us though we have let go of it (an outcome was unknown) is claimed again, in a new epoch.
            let dropped = |holder: &Identity| *holder == self.config.me && !self.leaving.contains_key(&slice);
            let holder = record.as_ref().and_then(|r| r.holder.as_ref());
            let free = holder.is_none_or(|holder| !alive.contains(holder) || dropped(holder));
            if free && self.preferred(slice, alive) && claims.len() < self.config.step {
                let owner = record.as_ref().and_then(|r| r.owner.clone());
                let holder = Some(self.config.me.clone());
                let new = Record { epoch: self.epochs[slice] + 1, number: 0, holder, owner };
                claims.push(Swap { slice, expected: record.clone(), new });
            }
        }
        let spare: Vec<SliceId> =
            self.ours.keys().copied().filter(|slice| !self.preferred(*slice, alive)).collect();
        for slice in spare.into_iter().take(self.config.step.saturating_sub(self.leaving.len())) {
            if let Some(record) = self.ours.remove(&slice) {
                self.leaving.insert(slice, record);
                told.push(Told::Taken { slice });
            }
        }
        (told, claims)
    }

    /// Gives up everything, in an orderly stop.
    pub fn leave(&mut self) -> Vec<Told> {
        let ours = std::mem::take(&mut self.ours);
        let told = ours.keys().map(|slice| Told::Taken { slice: *slice }).collect();
        self.leaving.extend(ours);
        told
    }

    /// The swaps that tell the store what was given up. To be done only once nobody here acts on those slices.
    pub fn releases(&self) -> Vec<Swap> {
        let release = |(slice, record): (&SliceId, &Record)| Swap {
            slice: *slice,
            expected: Some(record.clone()),
            new: Record { number: record.number + 1, holder: None, ..record.clone() },
        };
        self.leaving.iter().take(self.config.step).map(release).collect()
    }

    /// The releases are done, or the records were not what we thought: both ways they are not ours.
    pub fn released(&mut self, swaps: &[Swap]) {
        swaps.iter().for_each(|swap| drop(self.leaving.remove(&swap.slice)));
    }

    /// Claims that the store has taken, at `now`.
    pub fn claimed(&mut self, now: Duration, swaps: &[Swap]) -> Vec<Told> {
        if self.until.is_none_or(|until| now >= until) {
            return Vec::new();
        }
        let mut told = Vec::new();
        for Swap { slice, new, .. } in swaps {
            self.epochs[*slice] = self.epochs[*slice].max(new.epoch);
            self.ours.insert(*slice, new.clone());
            told.push(Told::Given { slice: *slice, epoch: new.epoch, owner: new.owner.clone() });
        }
        told
    }

    /// The swap by which the store learns of a new owner; `None` if the slice is not ours in that epoch.
    pub fn grant(&self, slice: SliceId, epoch: u64, owner: &str) -> Option<Swap> {
        let record = self.ours.get(&slice).filter(|record| record.epoch == epoch)?;
        let new = Record { number: record.number + 1, owner: Some(owner.to_string()), ..record.clone() };
        Some(Swap { slice, expected: Some(record.clone()), new })
    }

    pub fn granted(&mut self, swap: &Swap) {
        if let Some(record) = self.ours.get_mut(&swap.slice).filter(|record| record.epoch == swap.new.epoch) {
            record.clone_from(&swap.new);
        }
    }

    /// Nobody knows whether these were done: the slices are not ours to act on until the store tells.
    pub fn unknown(&mut self, swaps: &[Swap]) -> Vec<Told> {
        let lost = swaps.iter().filter(|swap| self.ours.remove(&swap.slice).is_some());
        lost.map(|swap| Told::Taken { slice: swap.slice }).collect()
    }

    /// Whether a slice should be ours among the living: by rendezvous, so that few change hands with each
    /// assigner that comes or goes.
    fn preferred(&self, slice: SliceId, alive: &[Identity]) -> bool {
        let weight = |name: &str| (xxh3_64_with_seed(name.as_bytes(), slice as u64), name.to_string());
        let mine = weight(&self.config.me.name);
        alive.iter().all(|other| other.name == self.config.me.name || weight(&other.name) < mine)
    }
}

#[cfg(test)]
mod tests;
