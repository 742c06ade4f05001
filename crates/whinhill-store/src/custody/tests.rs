use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

const TTL: Duration = Duration::from_millis(1000);
const MARGIN: Duration = Duration::from_millis(200);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn identity(name: &str, incarnation: u64) -> Identity {
    Identity { name: name.to_string(), incarnation }
}

fn custody(name: &str, incarnation: u64) -> Custody {
    let peers = vec!["a".to_string(), "b".to_string()];
    Custody::new(CustodyConfig {
        identity: identity(name, incarnation),
        peers,
        slices: 8,
        ttl: TTL,
        lease_margin: MARGIN,
        max_slices_per_round: 8,
    })
}

/// A model of the store, with its own clock.
#[derive(Default)]
struct ModelStore {
    liveness: BTreeMap<String, (u64, Duration)>,
    records: Vec<Option<Record>>,
}

impl ModelStore {
    fn alive(&self, now: Duration) -> Vec<Identity> {
        let live = self.liveness.iter().filter(|(_, (_, expires))| now < *expires);
        live.map(|(name, (incarnation, _))| identity(name, *incarnation)).collect()
    }

    fn swap(&mut self, swaps: &[Swap]) -> bool {
        let unchanged = swaps.iter().all(|swap| self.records[swap.slice] == swap.expected);
        for swap in swaps.iter().filter(|_| unchanged) {
            let old = self.records[swap.slice].as_ref().map_or((0, 0), |r| (r.epoch, r.number));
            assert!((swap.new.epoch, swap.new.number) > old, "a record went backwards");
            self.records[swap.slice] = Some(swap.new.clone());
        }
        unchanged
    }
}

/// Runs one round of an assigner against the model at the store's time `now`.
fn run_round(c: &mut Custody, store: &mut ModelStore, now: Duration) {
    let me = c.config().identity.clone();
    c.expire(now);
    match store.liveness.get(&me.name).filter(|(_, expires)| now < *expires) {
        Some((incarnation, _)) if *incarnation != me.incarnation => return,
        _ => {}
    }
    if store
        .liveness
        .get(&me.name)
        .is_none_or(|(incarnation, expires)| *incarnation != me.incarnation || now >= *expires)
    {
        c.on_lease_lost();
    }
    store.liveness.insert(me.name.clone(), (me.incarnation, now + TTL));
    c.on_lease_renewed(now);
    let (_, claims) = c.reconcile(now, &store.alive(now), &store.records.clone());
    let releases = c.pending_releases();
    if !releases.is_empty() && store.swap(&releases) {
        c.on_released(&releases);
    }
    if !claims.is_empty() && store.swap(&claims) {
        c.on_claimed(now, &claims);
    }
}

#[test]
fn holder_expires_before_another_assigner_can_claim() {
    let (mut a, mut b) = (custody("a", 1), custody("b", 2));
    let mut store = ModelStore { records: vec![None; 8], ..ModelStore::default() };
    run_round(&mut a, &mut store, ms(0));
    assert_eq!(a.held_count(), 8);
    // a can't reach the store any more; b runs a round every 10 ms.
    let mut first_claim = None;
    for at in (0..3000).step_by(10) {
        run_round(&mut b, &mut store, ms(at));
        a.expire(ms(at));
        if b.held_count() > 0 && first_claim.is_none() {
            first_claim = Some(at);
        }
        assert!(b.held_count() == 0 || a.held_count() == 0, "both have custody at {at}");
    }
    assert_eq!(first_claim, Some(1000));
}

#[test]
fn assigner_paused_past_its_lease_end_holds_nothing() {
    let mut a = custody("a", 1);
    let mut store = ModelStore { records: vec![None; 8], ..ModelStore::default() };
    run_round(&mut a, &mut store, ms(0));
    let grant = a.grant_swap(3, 1, "s").unwrap();
    assert_eq!(a.expire(ms(799)), []);
    assert_eq!(a.expire(ms(800)).len(), 8);
    assert_eq!(a.grant_swap(3, 1, "s"), None);
    // The reply to a grant that arrives now must not restore custody.
    a.on_granted(&grant);
    assert!(!a.holds(3));
}

#[test]
fn restarted_assigner_regains_its_share_in_a_new_epoch() {
    let (mut a, mut b) = (custody("a", 1), custody("b", 2));
    let mut store = ModelStore { records: vec![None; 8], ..ModelStore::default() };
    for at in [0, 100, 200, 300] {
        run_round(&mut a, &mut store, ms(at));
        run_round(&mut b, &mut store, ms(at + 50));
    }
    let a_share = a.held_count();
    assert!(a_share > 0 && a_share < 8 && b.held_count() == 8 - a_share);
    let mut at = 350;
    while b.held_count() < 8 {
        at += 50;
        run_round(&mut b, &mut store, ms(at));
        assert!(at < 3000);
    }
    let mut restarted = custody("a", 9);
    for step in 0..10 {
        run_round(&mut restarted, &mut store, ms(at + step * 100));
        run_round(&mut b, &mut store, ms(at + step * 100 + 50));
    }
    assert_eq!((restarted.held_count(), b.held_count()), (a_share, 8 - a_share));
    let epoch = |slice: &SliceId| store.records[*slice].as_ref().unwrap().epoch;
    assert!(restarted.held.keys().all(|slice| epoch(slice) == 3));
}

#[test]
fn unknown_swap_outcome_drops_the_slice_until_it_is_claimed_again() {
    let mut a = custody("a", 1);
    let mut store = ModelStore { records: vec![None; 8], ..ModelStore::default() };
    run_round(&mut a, &mut store, ms(0));
    let grant = a.grant_swap(3, 1, "s").unwrap();
    assert_eq!(a.on_unknown_outcome(std::slice::from_ref(&grant)), [CustodyEvent::Released { slice: 3 }]);
    store.swap(&[grant]);
    assert!(!a.holds(3));
    // The record still names this assigner, in an epoch that it dropped. It claims the slice again in a new epoch,
    // with the owner that the store turns out to hold.
    run_round(&mut a, &mut store, ms(100));
    let record = store.records[3].clone().unwrap();
    assert_eq!((a.holds(3), record.epoch, record.owner.as_deref()), (true, 2, Some("s")));
}

#[test]
fn epochs_are_not_reused_after_the_store_lost_its_records() {
    let mut a = custody("a", 1);
    let mut store = ModelStore { records: vec![None; 8], ..ModelStore::default() };
    run_round(&mut a, &mut store, ms(0));
    store = ModelStore { records: vec![None; 8], ..ModelStore::default() };
    run_round(&mut a, &mut store, ms(100));
    run_round(&mut a, &mut store, ms(200));
    assert!(store.records.iter().flatten().all(|r| r.epoch == 2), "{:?}", store.records);
}

/// Assigners stop, pause and restart in an order drawn from a seed. No slice may ever have two holders.
#[test]
fn random_pauses_and_restarts_never_give_a_slice_two_holders() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut store = ModelStore { records: vec![None; 8], ..ModelStore::default() };
        let mut all = [custody("a", 1), custody("b", 2)];
        let (mut now, mut incarnation) = (0, 10);
        for step in 0..400 {
            now += rng.random_range(1..150);
            let index = rng.random_range(0..2);
            match rng.random_range(0..20) {
                0 => {
                    incarnation += 1;
                    all[index] = custody(["a", "b"][index], incarnation);
                }
                1..4 => now += rng.random_range(0..900),
                _ => run_round(&mut all[index], &mut store, ms(now)),
            }
            all.iter_mut().for_each(|c| drop(c.expire(ms(now))));
            let held_twice = (0..8).find(|slice| all.iter().all(|c| c.holds(*slice)));
            assert_eq!(held_twice, None, "seed {seed}, step {step}");
        }
    }
}
