//! The thread that speaks to the store: signs of life, custody, grants. Every act is one bounded exchange.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use tracing::{info, warn};
use whinhill_store::{Custody, Outcome, Store, StoreFault, Swap, Told};
use whinhill_tables::PendingGrant;

use crate::core::Input;
use crate::status::Counters;

/// Grants that go to the store in one exchange.
const GRANTS_AT_ONCE: usize = 256;

/// Until when our charge counts, on the assigner's clock, for whoever must not act past it.
#[derive(Debug, Default)]
pub struct Charge(AtomicU64);

impl Charge {
    pub fn set(&self, until: Option<Duration>) {
        self.0.store(until.map_or(0, |until| until.as_micros() as u64), Ordering::Release);
    }

    pub fn holds(&self, now: Duration) -> bool {
        (now.as_micros() as u64) < self.0.load(Ordering::Acquire)
    }
}

pub struct Steward {
    pub store: Box<dyn Store>,
    pub custody: Custody,
    pub charge: Arc<Charge>,
    pub grants: Receiver<PendingGrant>,
    pub inputs: Sender<(Input, Option<Sender<()>>)>,
    pub counters: Arc<Counters>,
    pub stop: Arc<AtomicBool>,
    pub start: Instant,
    /// The assigner's clock when `start` was taken.
    pub base: Duration,
    pub alive: bool,
    pub well: bool,
    /// Whether any list of servers has been told yet.
    pub listed: Arc<AtomicBool>,
}

impl Steward {
    fn now(&self) -> Duration {
        self.base + self.start.elapsed()
    }

    /// Runs until the assigner stops, and then gives everything up in order.
    pub fn run(mut self) {
        let every = self.custody.config().ttl / 4;
        let mut next = Instant::now();
        while !self.stop.load(Ordering::Relaxed) {
            // First of all after every wait: whoever stood still past its charge must not act on it.
            self.expire();
            if Instant::now() >= next {
                next = Instant::now() + every;
                self.round();
            }
            let left = next.saturating_duration_since(Instant::now()).min(Duration::from_millis(20));
            match self.grants.recv_timeout(left) {
                Ok(first) => {
                    let mut batch = vec![first];
                    batch.extend(self.grants.try_iter().take(GRANTS_AT_ONCE - 1));
                    self.expire();
                    self.grant(batch);
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        let told = self.custody.leave();
        self.tell(told, true);
        self.release();
        self.charge.set(None);
        let _ = self.store.vanish(&self.custody.config().me.clone());
    }

    /// Lets go of everything once our charge has ended by our own clock.
    fn expire(&mut self) {
        let now = self.now();
        let ended = self.custody.expire(now);
        if !ended.is_empty() {
            warn!(slices = ended.len(), "our charge has ended: the store was not heard in time");
            self.alive = false;
        }
        self.tell(ended, false);
    }

    /// Tells the decision thread; with `wait`, until it no longer acts on what was taken.
    fn tell(&mut self, told: Vec<Told>, wait: bool) {
        self.charge.set(self.custody.until());
        if told.is_empty() {
            return;
        }
        let (done, acted) = crossbeam_channel::bounded(1);
        if self.inputs.send((Input::Custody { told }, wait.then_some(done))).is_ok() && wait {
            // Without its word nothing is released: the sign of life then ends by itself.
            let _ = acted.recv_timeout(self.custody.config().ttl);
        }
        // The decision thread ends, in a stop, once nothing is ours: so only after it was told.
        self.counters.slices.store(self.custody.count() as u64, Ordering::Relaxed);
    }

    fn failed(&mut self, what: &str, fault: &StoreFault) {
        Counters::add(&self.counters.store_failures, 1);
        if std::mem::replace(&mut self.well, false) {
            warn!(what, %fault, "the store fails");
        }
    }

    fn round(&mut self) {
        // Without a list nothing could be decided about what we got, and whoever counts as alive is given slices.
        if !self.listed.load(Ordering::Acquire) {
            return;
        }
        let (me, ttl) = (self.custody.config().me.clone(), self.custody.config().ttl);
        let sent = self.now();
        let sign = if self.alive { self.store.renew(&me, ttl) } else { self.store.appear(&me, ttl) };
        match sign {
            Outcome::Done(()) => {
                if !std::mem::replace(&mut self.alive, true) || !self.well {
                    info!(life = %me, "the store has our sign of life");
                }
                self.well = true;
                self.custody.renewed(sent);
                self.charge.set(self.custody.until());
            }
            Outcome::NotDone(StoreFault::LifeLost) => {
                self.alive = false;
                let told = self.custody.lost();
                warn!(slices = told.len(), "our sign of life is gone from the store: all custody is lost");
                return self.tell(told, false);
            }
            Outcome::NotDone(fault) | Outcome::Unknown(fault) => return self.failed("sign of life", &fault),
        }
        let (peers, slices) = (self.custody.config().peers.clone(), self.custody.config().slices);
        let asked = self.now();
        match self.store.read(&peers, slices) {
            Outcome::Done((alive, records)) => {
                let (told, claims) = self.custody.read(asked, &alive, &records);
                self.tell(told, true);
                self.release();
                self.claim(&claims);
            }
            Outcome::NotDone(fault) | Outcome::Unknown(fault) => self.failed("reading", &fault),
        }
    }

    fn release(&mut self) {
        let releases = self.custody.releases();
        if releases.is_empty() {
            return;
        }
        match self.store.swap(&releases) {
            Outcome::Done(true) => self.custody.released(&releases),
            // Something else was written there: each is looked at by itself.
            Outcome::Done(false) => {
                for one in &releases {
                    if let Outcome::Done(_) = self.store.swap(std::slice::from_ref(one)) {
                        self.custody.released(std::slice::from_ref(one));
                    }
                }
            }
            Outcome::NotDone(fault) | Outcome::Unknown(fault) => self.failed("giving up slices", &fault),
        }
    }

    fn claim(&mut self, claims: &[Swap]) {
        if claims.is_empty() {
            return;
        }
        let taken = match self.store.swap(claims) {
            Outcome::Done(true) => claims.to_vec(),
            Outcome::Done(false) => {
                let one = |swap: &&Swap| self.store.swap(std::slice::from_ref(*swap)) == Outcome::Done(true);
                claims.iter().filter(one).cloned().collect()
            }
            // What was done after all shows at the next look.
            Outcome::NotDone(fault) | Outcome::Unknown(fault) => {
                self.failed("claiming slices", &fault);
                Vec::new()
            }
        };
        let now = self.now();
        let told = self.custody.claimed(now, &taken);
        if !told.is_empty() {
            info!(slices = told.len(), ours = self.custody.count(), "custody given");
        }
        self.tell(told, false);
    }

    fn grant(&mut self, grants: Vec<PendingGrant>) {
        let mut swaps: Vec<(PendingGrant, Swap)> = Vec::new();
        let mut later = Vec::new();
        for grant in grants {
            // Two of one slice go one after the other: the second expects what the first leaves.
            if swaps.iter().any(|(held, _)| held.slice == grant.slice) {
                later.push(grant);
            } else if let Some(swap) = self.custody.grant(grant.slice, grant.epoch, &grant.owner) {
                swaps.push((grant, swap));
            }
        }
        let all: Vec<Swap> = swaps.iter().map(|(_, swap)| swap.clone()).collect();
        if !all.is_empty() {
            match self.store.swap(&all) {
                Outcome::Done(true) => swaps.into_iter().for_each(|(grant, swap)| self.granted(grant, &swap)),
                Outcome::Done(false) => {
                    let mut lost = Vec::new();
                    for (grant, swap) in swaps {
                        match self.store.swap(std::slice::from_ref(&swap)) {
                            Outcome::Done(true) => self.granted(grant, &swap),
                            _ => lost.push(swap),
                        }
                    }
                    self.unknown(&lost);
                }
                Outcome::NotDone(fault) | Outcome::Unknown(fault) => {
                    self.failed("storing grants", &fault);
                    self.unknown(&all);
                }
            }
        }
        if !later.is_empty() {
            self.grant(later);
        }
    }

    fn granted(&mut self, grant: PendingGrant, swap: &Swap) {
        self.custody.granted(swap);
        // The answer may have come after our charge ended: then nobody is told.
        if self.custody.expire(self.now()).is_empty() && self.custody.holds(grant.slice) {
            let _ = self.inputs.send((Input::Granted { grant }, None));
        }
    }

    fn unknown(&mut self, swaps: &[Swap]) {
        let told = self.custody.unknown(swaps);
        warn!(
            slices = told.len(),
            "grants that the store did not take, or may not have: their slices are let go"
        );
        self.tell(told, true);
    }
}
