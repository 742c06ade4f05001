use super::*;
use whinhill::interface::Ep;

const WRITES: [bool; 2] = [false, true];

fn server(index: usize) -> Option<ServerName> {
    Some(format!("10.0.0.{index}:7").into())
}

fn ep(index: usize) -> Ep {
    Ep { index, stable: index as u64 }
}

fn keeper() -> Keeper {
    let mut keeper = Keeper::new(4, WRITES.to_vec(), 0);
    (0..3).for_each(|index| keeper.know(server(index).unwrap()));
    keeper.give(1, 5, server(0));
    keeper
}

fn stop() -> Order {
    Order::Level { slice: 1, share: 0.0, methods: 2, tries: 0 }
}

fn open() -> Order {
    Order::Level { slice: 1, share: 1.0, methods: 2, tries: 0 }
}

#[test]
fn a_grant_is_told_with_its_levels_and_only_once_the_store_holds_it() {
    let mut keeper = keeper();
    assert!(keeper.apply(&[stop()], server).safety);
    let changed = keeper.apply(&[Order::Grant { slice: 1, ep: ep(2) }, open()], server);
    assert!(changed.slices.is_empty());
    assert_eq!((keeper.published()[&1].owner.clone(), keeper.published()[&1].shares[1]), (server(0), 0.0));
    let changed = keeper.granted(&changed.grants[0]);
    assert!(changed.slices.contains(&1));
    assert_eq!((keeper.published()[&1].owner.clone(), keeper.published()[&1].shares[1]), (server(2), 1.0));
}

#[test]
fn what_follows_an_unstored_grant_leaves_with_it() {
    let mut keeper = keeper();
    keeper.apply(&[stop()], server);
    let first = keeper.apply(&[Order::Grant { slice: 1, ep: ep(1) }, open()], server).grants.remove(0);
    // The next move begins before the store has answered: the grant leaves with its writes stopped.
    assert!(keeper.apply(&[stop()], server).slices.is_empty());
    keeper.granted(&first);
    assert_eq!((keeper.published()[&1].owner.clone(), keeper.published()[&1].shares[1]), (server(1), 0.0));
    let second = keeper.apply(&[Order::Grant { slice: 1, ep: ep(2) }, open()], server).grants.remove(0);
    assert_eq!(keeper.granted(&first), Changed::default());
    assert!(keeper.granted(&second).faults.is_empty());
}

#[test]
fn an_owner_is_not_replaced_while_it_takes_writes() {
    let mut keeper = keeper();
    let grant = keeper.apply(&[Order::Grant { slice: 1, ep: ep(2) }], server).grants.remove(0);
    let changed = keeper.granted(&grant);
    assert!(matches!(&changed.faults[..], [Fault::OwnerSkipped { slice: 1, .. }]), "{changed:?}");
    assert_eq!(keeper.published()[&1].owner, server(0));
}

#[test]
fn every_fault_of_a_set_is_named() {
    let last = keeper().published().clone();
    let mut next = last.clone();
    let table = next.get_mut(&1).unwrap();
    (table.version.number, table.shares[0]) = (0, f64::NAN);
    next.insert(9, SliceTable { owner: Some("nobody:1".into()), shares: vec![], ..last[&1].clone() });
    let faults = check(&last, &next, 4, &WRITES, |name| name.starts_with("10."));
    let text: Vec<String> = faults.iter().map(Fault::to_string).collect();
    assert_eq!(faults.len(), 5, "{text:?}");
}

#[test]
fn a_lost_slice_takes_no_orders_and_answers_no_grant() {
    let mut keeper = keeper();
    keeper.apply(&[stop()], server);
    let grant = keeper.apply(&[Order::Grant { slice: 1, ep: ep(1) }], server).grants.remove(0);
    keeper.take(1);
    assert_eq!(keeper.granted(&grant), Changed::default());
    assert_eq!(keeper.apply(&[stop()], server).slices.len(), 0);
    assert!(keeper.published().is_empty());
}
