use super::*;
use whinhill::interface::EndpointId;

const WRITES: [bool; 2] = [false, true];

fn server(index: usize) -> Option<ServerName> {
    Some(format!("10.0.0.{index}:7").into())
}

fn endpoint(index: usize) -> EndpointId {
    EndpointId { index, stable_id: index as u64 }
}

fn keeper() -> Keeper {
    let mut keeper = Keeper::new(4, WRITES.to_vec(), 0);
    (0..3).for_each(|index| keeper.know(server(index).unwrap()));
    keeper.give(1, 5, server(0));
    keeper
}

fn stop_writes() -> Order {
    Order::Level { slice: 1, level: 0.0, methods: 2, tries: 0 }
}

fn open_writes() -> Order {
    Order::Level { slice: 1, level: 1.0, methods: 2, tries: 0 }
}

#[test]
fn grant_is_published_with_its_levels_once_it_is_stored() {
    let mut keeper = keeper();
    assert!(keeper.apply(&[stop_writes()], server).safety);
    let outcome = keeper.apply(&[Order::Grant { slice: 1, endpoint: endpoint(2) }, open_writes()], server);
    assert!(outcome.slices.is_empty());
    assert_eq!((keeper.published()[&1].owner.clone(), keeper.published()[&1].shares[1]), (server(0), 0.0));
    let outcome = keeper.granted(&outcome.grants[0]);
    assert!(outcome.slices.contains(&1));
    assert_eq!((keeper.published()[&1].owner.clone(), keeper.published()[&1].shares[1]), (server(2), 1.0));
}

#[test]
fn orders_after_an_unstored_grant_are_published_with_it() {
    let mut keeper = keeper();
    keeper.apply(&[stop_writes()], server);
    let first = keeper
        .apply(&[Order::Grant { slice: 1, endpoint: endpoint(1) }, open_writes()], server)
        .grants
        .remove(0);
    // The next move begins before the grant is stored, so the grant is published with its writes stopped.
    assert!(keeper.apply(&[stop_writes()], server).slices.is_empty());
    keeper.granted(&first);
    assert_eq!((keeper.published()[&1].owner.clone(), keeper.published()[&1].shares[1]), (server(1), 0.0));
    let second = keeper
        .apply(&[Order::Grant { slice: 1, endpoint: endpoint(2) }, open_writes()], server)
        .grants
        .remove(0);
    assert_eq!(keeper.granted(&first), BatchOutcome::default());
    assert!(keeper.granted(&second).faults.is_empty());
}

#[test]
fn owner_is_not_replaced_while_it_accepts_writes() {
    let mut keeper = keeper();
    let grant = keeper.apply(&[Order::Grant { slice: 1, endpoint: endpoint(2) }], server).grants.remove(0);
    let outcome = keeper.granted(&grant);
    assert!(
        matches!(&outcome.faults[..], [Violation::OwnerChangedWhileWritable { slice: 1, .. }]),
        "{outcome:?}"
    );
    assert_eq!(keeper.published()[&1].owner, server(0));
}

#[test]
fn every_violation_of_a_set_is_reported() {
    let last = keeper().published().clone();
    let mut next = last.clone();
    let table = next.get_mut(&1).unwrap();
    (table.version.number, table.shares[0]) = (0, f64::NAN);
    next.insert(9, SliceTable { owner: Some("nobody:1".into()), shares: vec![], ..last[&1].clone() });
    let violations = find_violations(&last, &next, 4, &WRITES, |name| name.starts_with("10."));
    let text: Vec<String> = violations.iter().map(Violation::to_string).collect();
    assert_eq!(violations.len(), 5, "{text:?}");
}

#[test]
fn slice_without_custody_ignores_orders_and_stored_grants() {
    let mut keeper = keeper();
    keeper.apply(&[stop_writes()], server);
    let grant = keeper.apply(&[Order::Grant { slice: 1, endpoint: endpoint(1) }], server).grants.remove(0);
    keeper.take(1);
    assert_eq!(keeper.granted(&grant), BatchOutcome::default());
    assert_eq!(keeper.apply(&[stop_writes()], server).slices.len(), 0);
    assert!(keeper.published().is_empty());
}
