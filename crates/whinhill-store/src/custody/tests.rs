use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

const TTL: Duration = Duration::from_millis(1000);
const MARGIN: Duration = Duration::from_millis(200);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn identity(name: &str, life: u64) -> Identity {
    Identity { name: name.to_string(), life }
}

fn custody(name: &str, life: u64) -> Custody {
    let peers = vec!["a".to_string(), "b".to_string()];
    Custody::new(CustodyConfig {
        me: identity(name, life),
        peers,
        slices: 8,
        ttl: TTL,
        margin: MARGIN,
        step: 8,
    })
}

/// The store as it should be, with a clock of its own.
#[derive(Default)]
struct Model {
    lives: BTreeMap<String, (u64, Duration)>,
    records: Vec<Option<Record>>,
}

impl Model {
    fn alive(&self, now: Duration) -> Vec<Identity> {
        let living = self.lives.iter().filter(|(_, (_, ends))| now < *ends);
        living.map(|(name, (life, _))| identity(name, *life)).collect()
    }

    fn swap(&mut self, swaps: &[Swap]) -> bool {
        let same = swaps.iter().all(|swap| self.records[swap.slice] == swap.expected);
        for swap in swaps.iter().filter(|_| same) {
            let old = self.records[swap.slice].as_ref().map_or((0, 0), |r| (r.epoch, r.number));
            assert!((swap.new.epoch, swap.new.number) > old, "a record fell back");
            self.records[swap.slice] = Some(swap.new.clone());
        }
        same
    }
}

/// One round of an assigner at the store's time `now`; `lag` is how long each exchange takes.
fn round(c: &mut Custody, store: &mut Model, now: Duration) {
    let me = c.config().me.clone();
    c.expire(now);
    match store.lives.get(&me.name).filter(|(_, ends)| now < *ends) {
        Some((life, _)) if *life != me.life => return,
        _ => {}
    }
    if store.lives.get(&me.name).is_none_or(|(life, ends)| *life != me.life || now >= *ends) {
        c.lost();
    }
    store.lives.insert(me.name.clone(), (me.life, now + TTL));
    c.renewed(now);
    let (_, claims) = c.read(now, &store.alive(now), &store.records.clone());
    let releases = c.releases();
    if !releases.is_empty() && store.swap(&releases) {
        c.released(&releases);
    }
    if !claims.is_empty() && store.swap(&claims) {
        c.claimed(now, &claims);
    }
}

#[test]
fn the_holder_lets_go_before_another_can_claim() {
    let (mut a, mut b) = (custody("a", 1), custody("b", 2));
    let mut store = Model { records: vec![None; 8], ..Model::default() };
    round(&mut a, &mut store, ms(0));
    assert_eq!(a.count(), 8);
    // a is cut off; b looks again and again.
    let mut first = None;
    for at in (0..3000).step_by(10) {
        round(&mut b, &mut store, ms(at));
        a.expire(ms(at));
        if b.count() > 0 && first.is_none() {
            first = Some(at);
        }
        assert!(b.count() == 0 || a.count() == 0, "both in charge at {at}");
    }
    assert_eq!(first, Some(1000));
}

#[test]
fn an_assigner_that_stands_still_past_its_charge_wakes_without_one() {
    let mut a = custody("a", 1);
    let mut store = Model { records: vec![None; 8], ..Model::default() };
    round(&mut a, &mut store, ms(0));
    let grant = a.grant(3, 1, "s").unwrap();
    assert_eq!(a.expire(ms(799)), []);
    assert_eq!(a.expire(ms(800)).len(), 8);
    assert_eq!(a.grant(3, 1, "s"), None);
    // An answer that comes in the same moment gives it nothing back.
    a.granted(&grant);
    assert!(!a.holds(3));
}

#[test]
fn two_living_share_and_one_that_returns_gets_its_own_back_in_a_new_epoch() {
    let (mut a, mut b) = (custody("a", 1), custody("b", 2));
    let mut store = Model { records: vec![None; 8], ..Model::default() };
    for at in [0, 100, 200, 300] {
        round(&mut a, &mut store, ms(at));
        round(&mut b, &mut store, ms(at + 50));
    }
    let share = a.count();
    assert!(share > 0 && share < 8 && b.count() == 8 - share);
    let mut at = 350;
    while b.count() < 8 {
        at += 50;
        round(&mut b, &mut store, ms(at));
        assert!(at < 3000);
    }
    let mut again = custody("a", 9);
    for step in 0..10 {
        round(&mut again, &mut store, ms(at + step * 100));
        round(&mut b, &mut store, ms(at + step * 100 + 50));
    }
    assert_eq!((again.count(), b.count()), (share, 8 - share));
    let epoch = |slice: &SliceId| store.records[*slice].as_ref().unwrap().epoch;
    assert!(again.ours.keys().all(|slice| epoch(slice) == 3));
}

#[test]
fn what_the_store_may_or_may_not_have_done_is_not_ours() {
    let mut a = custody("a", 1);
    let mut store = Model { records: vec![None; 8], ..Model::default() };
    round(&mut a, &mut store, ms(0));
    let grant = a.grant(3, 1, "s").unwrap();
    assert_eq!(a.unknown(std::slice::from_ref(&grant)), [Told::Taken { slice: 3 }]);
    store.swap(&[grant]);
    assert!(!a.holds(3));
    // The store names us still, in an epoch that we have let go of: it is ours again in a new one, with the
    // owner that the store turns out to hold.
    round(&mut a, &mut store, ms(100));
    let record = store.records[3].clone().unwrap();
    assert_eq!((a.holds(3), record.epoch, record.owner.as_deref()), (true, 2, Some("s")));
}

#[test]
fn a_store_that_comes_back_empty_brings_no_epoch_again() {
    let mut a = custody("a", 1);
    let mut store = Model { records: vec![None; 8], ..Model::default() };
    round(&mut a, &mut store, ms(0));
    store = Model { records: vec![None; 8], ..Model::default() };
    round(&mut a, &mut store, ms(100));
    round(&mut a, &mut store, ms(200));
    assert!(store.records.iter().flatten().all(|r| r.epoch == 2), "{:?}", store.records);
}

/// Assigners that stop, stand still and return in an order drawn from a seed: a slice never has two in charge.
#[test]
fn no_slice_is_ever_in_two_hands() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut store = Model { records: vec![None; 8], ..Model::default() };
        let mut all = [custody("a", 1), custody("b", 2)];
        let (mut now, mut life) = (0, 10);
        for step in 0..400 {
            now += rng.random_range(1..150);
            let who = rng.random_range(0..2);
            match rng.random_range(0..20) {
                0 => {
                    life += 1;
                    all[who] = custody(["a", "b"][who], life);
                }
                1..4 => now += rng.random_range(0..900),
                _ => round(&mut all[who], &mut store, ms(now)),
            }
            all.iter_mut().for_each(|c| drop(c.expire(ms(now))));
            let twice = (0..8).find(|slice| all.iter().all(|c| c.holds(*slice)));
            assert_eq!(twice, None, "seed {seed}, step {step}");
        }
    }
}
