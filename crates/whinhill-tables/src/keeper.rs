//! Turns orders into tables in versions.
//!
//! A grant is told to nobody before the store holds it: whoever takes the slice over later must read the owner
//! that any proxy may have been told. What follows on the same slice meanwhile is folded into its table and
//! leaves with it, so a proxy never sees a grant without the levels that belong to it. Folding is safe since a
//! proxy obeys the newest state, not each step: until the grant leaves, it holds a table whose writes are stopped.

use std::collections::{BTreeMap, BTreeSet};

use whinhill::interface::{MethodMask, Order, SliceId};

use crate::check::{check, Fault};
use crate::table::{ServerName, SliceTable, TableSet, Version};

/// A grant for the store to hold.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingGrant {
    pub slice: SliceId,
    pub epoch: u64,
    pub owner: ServerName,
    /// Tells this grant from others of the same slice.
    pub ticket: u64,
}

/// What one batch of orders changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changed {
    /// Slices whose published table is another one now. A safety order (writes stopped, a line taken away) is
    /// among them when `safety` is set.
    pub slices: BTreeSet<SliceId>,
    pub safety: bool,
    pub grants: Vec<PendingGrant>,
    pub faults: Vec<Fault>,
}

/// The tables as they are wanted, and as they are published.
#[derive(Debug)]
pub struct Keeper {
    slices: usize,
    writes: Vec<bool>,
    tries: u8,
    number: u64,
    wanted: TableSet,
    published: TableSet,
    /// Grants that the store does not hold yet: the last one of each slice.
    pending: BTreeMap<SliceId, u64>,
    tickets: u64,
    known: BTreeSet<ServerName>,
}

impl Keeper {
    /// `writes` tells for each method whether it writes.
    pub fn new(slices: usize, writes: Vec<bool>, tries: u8) -> Self {
        Keeper {
            slices,
            writes,
            tries,
            number: 0,
            wanted: TableSet::new(),
            published: TableSet::new(),
            pending: BTreeMap::new(),
            tickets: 0,
            known: BTreeSet::new(),
        }
    }

    /// What proxies may be told.
    pub fn published(&self) -> &TableSet {
        &self.published
    }

    pub fn methods(&self) -> usize {
        self.writes.len()
    }

    /// A server that a list or the store has named: only such may own a slice.
    pub fn know(&mut self, server: ServerName) {
        self.known.insert(server);
    }

    /// Custody of a slice begins, with the owner that the store holds.
    pub fn give(&mut self, slice: SliceId, epoch: u64, owner: Option<ServerName>) {
        self.number += 1;
        let version = Version { epoch, number: self.number };
        self.known.extend(owner.clone());
        let table = SliceTable { version, owner, shares: vec![1.0; self.writes.len()], tries: self.tries };
        self.wanted.insert(slice, table.clone());
        self.published.insert(slice, table);
        self.pending.remove(&slice);
    }

    /// Custody of a slice ends; its table is no longer ours to tell.
    pub fn take(&mut self, slice: SliceId) {
        self.wanted.remove(&slice);
        self.published.remove(&slice);
        self.pending.remove(&slice);
    }

    /// Takes one batch. `name` gives the server of an endpoint's index. Orders for slices that are not ours are
    /// passed over: custody may have ended while they were decided.
    pub fn apply(&mut self, orders: &[Order], name: impl Fn(usize) -> Option<ServerName>) -> Changed {
        let mut changed = Changed::default();
        self.number += 1;
        for order in orders {
            match order {
                Order::Grant { slice, ep } => {
                    let (Some(table), Some(owner)) = (self.wanted.get_mut(slice), name(ep.index)) else {
                        continue;
                    };
                    table.owner = Some(owner.clone());
                    self.tickets += 1;
                    self.pending.insert(*slice, self.tickets);
                    let (epoch, ticket) = (table.version.epoch, self.tickets);
                    changed.grants.push(PendingGrant { slice: *slice, epoch, owner, ticket });
                }
                Order::Revoke { slice, .. } => {
                    let Some(table) = self.wanted.get_mut(slice) else { continue };
                    table.owner = None;
                    // An end needs no store; it also ends a grant that nobody was told of.
                    self.pending.remove(slice);
                    changed.slices.insert(*slice);
                    changed.safety = true;
                }
                Order::Level { slice, share, methods, tries } => {
                    let Some(table) = self.wanted.get_mut(slice) else { continue };
                    changed.safety |= set_shares(table, *share, *methods, &self.writes);
                    table.tries = *tries;
                    changed.slices.insert(*slice);
                }
                Order::Mark { .. } | Order::Watch | Order::Fetch | Order::Probe { .. } => {}
                Order::Wake { .. } | Order::Log { .. } => {}
            }
        }
        changed.grants.retain(|grant| self.pending.get(&grant.slice) == Some(&grant.ticket));
        let free: Vec<SliceId> =
            changed.slices.iter().copied().filter(|slice| !self.pending.contains_key(slice)).collect();
        changed.slices.clear();
        self.publish(&free, &mut changed);
        changed
    }

    /// The store holds a grant: its slice may be told. An answer for an older grant of the slice changes nothing.
    pub fn granted(&mut self, grant: &PendingGrant) -> Changed {
        let mut changed = Changed::default();
        if self.pending.get(&grant.slice) == Some(&grant.ticket) {
            self.pending.remove(&grant.slice);
            self.number += 1;
            self.publish(&[grant.slice], &mut changed);
        }
        changed
    }

    /// Slices whose grant waits for the store.
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    fn publish(&mut self, slices: &[SliceId], changed: &mut Changed) {
        let mut next = TableSet::new();
        for slice in slices {
            let Some(table) = self.wanted.get_mut(slice) else { continue };
            table.version.number = self.number;
            next.insert(*slice, table.clone());
        }
        let known = |server: &str| self.known.contains(server);
        changed.faults = check(&self.published, &next, self.slices, &self.writes, known);
        if changed.faults.is_empty() {
            changed.slices.extend(next.keys());
            self.published.append(&mut next);
        }
    }
}

/// True if a writing method is stopped by it.
fn set_shares(table: &mut SliceTable, share: f64, methods: MethodMask, writes: &[bool]) -> bool {
    let mut stopped = false;
    for (method, told) in table.shares.iter_mut().enumerate() {
        if methods == 0 || methods & (1 << method) != 0 {
            *told = share;
            stopped |= share == 0.0 && writes.get(method).copied().unwrap_or(true);
        }
    }
    stopped
}

#[cfg(test)]
mod tests;
