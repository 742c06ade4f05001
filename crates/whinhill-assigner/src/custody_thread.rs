//! The thread that talks to the shared store: it renews the liveness key, keeps custody and stores grants. Each step
//! is one exchange with a time limit.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use tracing::{info, warn};
use whinhill_store::{Custody, CustodyEvent, Outcome, Store, StoreError, Swap};
use whinhill_tables::PendingGrant;

use crate::core::Input;
use crate::status::Counters;

/// Grants that are sent to the store in one exchange.
const MAX_GRANTS_PER_EXCHANGE: usize = 256;
/// The liveness key is renewed this often in the time that it lasts.
const RENEWALS_PER_TTL: u32 = 4;
/// How often the thread checks for a stop and for the end of its lease while no grant arrives.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The end of this assigner's custody lease, on its clock in microseconds, shared with threads that must not act
/// after it; 0 without a lease.
#[derive(Debug, Default)]
pub struct CustodyLease(AtomicU64);

impl CustodyLease {
    /// Sets the end of the lease; `None`: there is no lease.
    pub fn set(&self, until: Option<Duration>) {
        self.0.store(until.map_or(0, |until| until.as_micros() as u64), Ordering::Release);
    }

    /// Whether the lease is valid.
    pub fn holds(&self, now: Duration) -> bool {
        (now.as_micros() as u64) < self.0.load(Ordering::Acquire)
    }
}

/// What the custody thread works with.
pub struct CustodyThread {
    pub store: Box<dyn Store>,
    pub custody: Custody,
    pub lease: Arc<CustodyLease>,
    pub grants: Receiver<PendingGrant>,
    pub inputs: Sender<(Input, Option<Sender<()>>)>,
    pub counters: Arc<Counters>,
    pub stop: Arc<AtomicBool>,
    pub start: Instant,
    /// The assigner's clock at `start`.
    pub clock_base: Duration,
    /// Whether the store has this incarnation's liveness key.
    pub registered: bool,
    /// False from a failed exchange until the liveness key is renewed again; only changes are logged.
    pub store_healthy: bool,
    /// Whether any list of servers has been passed on yet.
    pub list_published: Arc<AtomicBool>,
}

impl CustodyThread {
    fn now(&self) -> Duration {
        self.clock_base + self.start.elapsed()
    }

    /// Runs until the assigner stops, then releases all slices in order.
    pub fn run(mut self) {
        let renewal_interval = self.custody.config().ttl / RENEWALS_PER_TTL;
        let mut next_renewal = Instant::now();
        while !self.stop.load(Ordering::Relaxed) {
            // First after each wait: a process that was paused past the end of its lease must not act on it.
            self.expire_custody();
            if Instant::now() >= next_renewal {
                next_renewal = Instant::now() + renewal_interval;
                self.renew_and_reconcile();
            }
            let wait = next_renewal.saturating_duration_since(Instant::now()).min(POLL_INTERVAL);
            match self.grants.recv_timeout(wait) {
                Ok(first) => {
                    let mut batch = vec![first];
                    batch.extend(self.grants.try_iter().take(MAX_GRANTS_PER_EXCHANGE - 1));
                    self.expire_custody();
                    self.store_grants(batch);
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        let events = self.custody.release_all();
        self.publish(events, true);
        self.store_releases();
        self.lease.set(None);
        let _ = self.store.deregister(&self.custody.config().identity.clone());
    }

    /// Drops all custody once the lease has ended by this assigner's own clock.
    fn expire_custody(&mut self) {
        let now = self.now();
        let ended = self.custody.expire(now);
        if !ended.is_empty() {
            warn!(slices = ended.len(), "custody lease expired: the store did not answer in time");
            self.registered = false;
        }
        self.publish(ended, false);
    }

    /// Sends custody events to the decision thread; with `wait`, waits until it no longer acts on released slices.
    fn publish(&mut self, events: Vec<CustodyEvent>, wait: bool) {
        self.lease.set(self.custody.lease_end());
        if events.is_empty() {
            return;
        }
        let (handled_sender, handled) = crossbeam_channel::bounded(1);
        if self.inputs.send((Input::Custody { events }, wait.then_some(handled_sender))).is_ok() && wait {
            // Releases wait for the decision thread's confirmation, but no longer than the liveness key lasts: it
            // then expires by itself.
            let _ = handled.recv_timeout(self.custody.config().ttl);
        }
        // On a stop the decision thread ends once no slice is held, so this is set only after it has the events.
        self.counters.slices.store(self.custody.held_count() as u64, Ordering::Relaxed);
    }

    /// Counts a failed exchange, and logs the first one after a success.
    fn log_failure(&mut self, what: &str, fault: &StoreError) {
        Counters::add(&self.counters.store_failures, 1);
        if std::mem::replace(&mut self.store_healthy, false) {
            warn!(what, %fault, "the store fails");
        }
    }

    /// Renews the liveness key, then compares the held slices with the store's records: releases and claims slices.
    fn renew_and_reconcile(&mut self) {
        // Without a list of servers nothing can be decided for a slice, and an assigner that is registered as alive is
        // assigned slices.
        if !self.list_published.load(Ordering::Acquire) {
            return;
        }
        let (identity, ttl) = (self.custody.config().identity.clone(), self.custody.config().ttl);
        let sent = self.now();
        let renewal = if self.registered {
            self.store.renew(&identity, ttl)
        } else {
            self.store.register(&identity, ttl)
        };
        match renewal {
            Outcome::Done(()) => {
                if !std::mem::replace(&mut self.registered, true) || !self.store_healthy {
                    info!(life = %identity, "liveness key is in the store");
                }
                self.store_healthy = true;
                self.custody.on_lease_renewed(sent);
                self.lease.set(self.custody.lease_end());
            }
            Outcome::NotDone(StoreError::LeaseLost) => {
                self.registered = false;
                let events = self.custody.on_lease_lost();
                warn!(slices = events.len(), "liveness key is gone from the store: all custody is lost");
                return self.publish(events, false);
            }
            Outcome::NotDone(fault) | Outcome::Unknown(fault) => {
                return self.log_failure("renewing the liveness key", &fault)
            }
        }
        let (peers, slices) = (self.custody.config().peers.clone(), self.custody.config().slices);
        let asked = self.now();
        match self.store.read(&peers, slices) {
            Outcome::Done((alive, records)) => {
                let (events, claims) = self.custody.reconcile(asked, &alive, &records);
                self.publish(events, true);
                self.store_releases();
                self.store_claims(&claims);
            }
            Outcome::NotDone(fault) | Outcome::Unknown(fault) => self.log_failure("reading", &fault),
        }
    }

    /// Stores the releases that the custody rules have pending.
    fn store_releases(&mut self) {
        let releases = self.custody.pending_releases();
        if releases.is_empty() {
            return;
        }
        match self.store.compare_and_swap(&releases) {
            Outcome::Done(true) => self.custody.on_released(&releases),
            // One of the records has changed meanwhile: each release is tried by itself.
            Outcome::Done(false) => {
                for release in &releases {
                    if let Outcome::Done(_) = self.store.compare_and_swap(std::slice::from_ref(release)) {
                        self.custody.on_released(std::slice::from_ref(release));
                    }
                }
            }
            Outcome::NotDone(fault) | Outcome::Unknown(fault) => self.log_failure("releasing slices", &fault),
        }
    }

    /// Claims slices in the store.
    fn store_claims(&mut self, claims: &[Swap]) {
        if claims.is_empty() {
            return;
        }
        let claimed = match self.store.compare_and_swap(claims) {
            Outcome::Done(true) => claims.to_vec(),
            Outcome::Done(false) => {
                let is_stored = |swap: &&Swap| {
                    self.store.compare_and_swap(std::slice::from_ref(*swap)) == Outcome::Done(true)
                };
                claims.iter().filter(is_stored).cloned().collect()
            }
            // A claim that was stored after all shows in the next reading.
            Outcome::NotDone(fault) | Outcome::Unknown(fault) => {
                self.log_failure("claiming slices", &fault);
                Vec::new()
            }
        };
        let now = self.now();
        let events = self.custody.on_claimed(now, &claimed);
        if !events.is_empty() {
            info!(slices = events.len(), ours = self.custody.held_count(), "custody acquired");
        }
        self.publish(events, false);
    }

    /// Stores grants; each becomes effective only once the store holds it.
    fn store_grants(&mut self, grants: Vec<PendingGrant>) {
        let mut swaps: Vec<(PendingGrant, Swap)> = Vec::new();
        let mut deferred = Vec::new();
        for grant in grants {
            // Two grants of one slice are stored one after the other: the second expects the record that the first
            // leaves.
            if swaps.iter().any(|(held, _)| held.slice == grant.slice) {
                deferred.push(grant);
            } else if let Some(swap) = self.custody.grant_swap(grant.slice, grant.epoch, &grant.owner) {
                swaps.push((grant, swap));
            }
        }
        let all: Vec<Swap> = swaps.iter().map(|(_, swap)| swap.clone()).collect();
        if !all.is_empty() {
            match self.store.compare_and_swap(&all) {
                Outcome::Done(true) => {
                    swaps.into_iter().for_each(|(grant, swap)| self.grant_stored(grant, &swap))
                }
                Outcome::Done(false) => {
                    let mut lost = Vec::new();
                    for (grant, swap) in swaps {
                        match self.store.compare_and_swap(std::slice::from_ref(&swap)) {
                            Outcome::Done(true) => self.grant_stored(grant, &swap),
                            _ => lost.push(swap),
                        }
                    }
                    self.release_after_unknown_outcome(&lost);
                }
                Outcome::NotDone(fault) | Outcome::Unknown(fault) => {
                    self.log_failure("storing grants", &fault);
                    self.release_after_unknown_outcome(&all);
                }
            }
        }
        if !deferred.is_empty() {
            self.store_grants(deferred);
        }
    }

    /// Passes a stored grant to the decision thread, if custody still holds.
    fn grant_stored(&mut self, grant: PendingGrant, swap: &Swap) {
        self.custody.on_granted(swap);
        // If the store's answer came after the end of the lease, the grant is not published.
        if self.custody.expire(self.now()).is_empty() && self.custody.holds(grant.slice) {
            let _ = self.inputs.send((Input::GrantStored { grant }, None));
        }
    }

    /// Releases the slices of grants that were not stored or whose outcome is unknown.
    fn release_after_unknown_outcome(&mut self, swaps: &[Swap]) {
        let events = self.custody.on_unknown_outcome(swaps);
        warn!(
            slices = events.len(),
            "grants were not stored, or their outcome is unknown: their slices are released"
        );
        self.publish(events, true);
    }
}
