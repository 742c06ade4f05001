//! Turns the module's orders into published tables.
//!
//! A grant is published only after it is stored: an assigner that takes the slice over later must find in the store
//! any owner that a proxy may have seen. Orders that arrive for the same slice meanwhile are merged into its table and
//! published together with the grant, so a proxy never sees a grant without its levels. Merging is safe because a
//! proxy obeys the newest table, not each step: until the grant is published, it holds a table whose writes are
//! stopped.

use std::collections::{BTreeMap, BTreeSet};

use whinhill::interface::{MethodMask, Order, SliceId};

use crate::check::{find_violations, Violation};
use crate::table::{ServerName, SliceTable, TableSet, Version};

/// A grant that must be stored before it is published.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingGrant {
    /// The slice that is granted.
    pub slice: SliceId,
    /// The epoch of the slice's custody.
    pub epoch: u64,
    /// The new owner.
    pub owner: ServerName,
    /// Distinguishes this grant from others of the same slice.
    pub ticket: u64,
}

/// The outcome of one batch of orders.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BatchOutcome {
    /// Slices whose published table has changed.
    pub slices: BTreeSet<SliceId>,
    /// Whether the batch had a safety order: one that stopped writes or revoked an owner.
    pub safety: bool,
    /// Grants to store. See [`TablePublisher::grant_stored`].
    pub grants: Vec<PendingGrant>,
    /// Why nothing was published, if the tables break rules.
    pub violations: Vec<Violation>,
}

/// Publishes tables: holds the desired tables, and the published ones that may lag behind them.
#[derive(Debug)]
pub struct TablePublisher {
    slices: usize,
    /// Whether each method writes.
    writes: Vec<bool>,
    /// The retry policy of new tables.
    tries: u8,
    /// The last number given to a version.
    number: u64,
    desired: TableSet,
    published: TableSet,
    /// The ticket of the last grant of each slice, as long as the grant is not stored.
    pending: BTreeMap<SliceId, u64>,
    /// The last ticket given to a grant.
    last_ticket: u64,
    /// The servers that may own a slice.
    known_servers: BTreeSet<ServerName>,
}

impl TablePublisher {
    /// Creates a publisher without slices. `writes` tells for each method whether it writes.
    pub fn new(slices: usize, writes: Vec<bool>, tries: u8) -> Self {
        TablePublisher {
            slices,
            writes,
            tries,
            number: 0,
            desired: TableSet::new(),
            published: TableSet::new(),
            pending: BTreeMap::new(),
            last_ticket: 0,
            known_servers: BTreeSet::new(),
        }
    }

    /// The published tables: those that proxies may see.
    pub fn published(&self) -> &TableSet {
        &self.published
    }

    /// The number of methods.
    pub fn method_count(&self) -> usize {
        self.writes.len()
    }

    /// Adds a server that a list or the store has named. Only such servers may own a slice.
    pub fn add_known_server(&mut self, server: ServerName) {
        self.known_servers.insert(server);
    }

    /// Begins custody of a slice, with the owner that the store holds.
    pub fn acquire_slice(&mut self, slice: SliceId, epoch: u64, owner: Option<ServerName>) {
        self.number += 1;
        let version = Version { epoch, number: self.number };
        self.known_servers.extend(owner.clone());
        let table = SliceTable { version, owner, shares: vec![1.0; self.writes.len()], tries: self.tries };
        self.desired.insert(slice, table.clone());
        self.published.insert(slice, table);
        self.pending.remove(&slice);
    }

    /// Ends custody of a slice. Its table is no longer published here.
    pub fn release_slice(&mut self, slice: SliceId) {
        self.desired.remove(&slice);
        self.published.remove(&slice);
        self.pending.remove(&slice);
    }

    /// Applies one batch of orders. `name` maps an endpoint's index to its server. Orders for slices without custody
    /// are ignored: custody may have ended while they were decided.
    pub fn apply(&mut self, orders: &[Order], name: impl Fn(usize) -> Option<ServerName>) -> BatchOutcome {
        let mut outcome = BatchOutcome::default();
        self.number += 1;
        for order in orders {
            match order {
                Order::Grant { slice, endpoint } => {
                    let (Some(table), Some(owner)) = (self.desired.get_mut(slice), name(endpoint.index))
                    else {
                        continue;
                    };
                    table.owner = Some(owner.clone());
                    self.last_ticket += 1;
                    self.pending.insert(*slice, self.last_ticket);
                    let (epoch, ticket) = (table.version.epoch, self.last_ticket);
                    outcome.grants.push(PendingGrant { slice: *slice, epoch, owner, ticket });
                }
                Order::Revoke { slice, .. } => {
                    let Some(table) = self.desired.get_mut(slice) else { continue };
                    table.owner = None;
                    // A revocation need not be stored. It also cancels a grant that is not published yet.
                    self.pending.remove(slice);
                    outcome.slices.insert(*slice);
                    outcome.safety = true;
                }
                Order::Level { slice, level, methods, tries } => {
                    let Some(table) = self.desired.get_mut(slice) else { continue };
                    outcome.safety |= set_shares(table, *level, *methods, &self.writes);
                    table.tries = *tries;
                    outcome.slices.insert(*slice);
                }
                Order::RequestAck { .. } | Order::WatchList | Order::FetchList | Order::Probe { .. } => {}
                Order::Wake { .. } | Order::Log { .. } => {}
            }
        }
        outcome.grants.retain(|grant| self.pending.get(&grant.slice) == Some(&grant.ticket));
        let publishable: Vec<SliceId> =
            outcome.slices.iter().copied().filter(|slice| !self.pending.contains_key(slice)).collect();
        outcome.slices.clear();
        self.publish(&publishable, &mut outcome);
        outcome
    }

    /// Publishes the slice of a grant that is now stored. If the slice has a newer grant, nothing changes.
    pub fn grant_stored(&mut self, grant: &PendingGrant) -> BatchOutcome {
        let mut outcome = BatchOutcome::default();
        if self.pending.get(&grant.slice) == Some(&grant.ticket) {
            self.pending.remove(&grant.slice);
            self.number += 1;
            self.publish(&[grant.slice], &mut outcome);
        }
        outcome
    }

    /// The number of slices whose grant is not stored yet.
    pub fn pending_grants(&self) -> usize {
        self.pending.len()
    }

    /// Publishes the desired tables of `slices` as a new version, all of them or, if they break a rule, none.
    fn publish(&mut self, slices: &[SliceId], outcome: &mut BatchOutcome) {
        let mut next = TableSet::new();
        for slice in slices {
            let Some(table) = self.desired.get_mut(slice) else { continue };
            table.version.number = self.number;
            next.insert(*slice, table.clone());
        }
        let known = |server: &str| self.known_servers.contains(server);
        outcome.violations = find_violations(&self.published, &next, self.slices, &self.writes, known);
        if outcome.violations.is_empty() {
            outcome.slices.extend(next.keys());
            self.published.append(&mut next);
        }
    }
}

/// Sets the share of the methods in the mask; a mask of 0 stands for all methods. Returns true if this stops a
/// method that writes.
fn set_shares(table: &mut SliceTable, share: f64, methods: MethodMask, writes: &[bool]) -> bool {
    let mut stopped = false;
    for (method, current) in table.shares.iter_mut().enumerate() {
        if methods == 0 || methods & (1 << method) != 0 {
            *current = share;
            stopped |= share == 0.0 && writes.get(method).copied().unwrap_or(true);
        }
    }
    stopped
}

#[cfg(test)]
mod tests;
