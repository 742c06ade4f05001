use super::*;
use whinhill::interface::EndpointId;

const WRITES: [bool; 2] = [false, true];

fn server(index: usize) -> Option<ServerName> {
    Some(format!("10.0.0.{index}:7").into())
}

fn endpoint(index: usize) -> EndpointId {
    EndpointId { index, stable_id: index as u64 }
}

fn new_publisher() -> TablePublisher {
    let mut publisher = TablePublisher::new(4, WRITES.to_vec(), 0);
    (0..3).for_each(|index| publisher.add_known_server(server(index).unwrap()));
    publisher.acquire_slice(1, 5, server(0));
    publisher
}

fn stop_writes() -> Order {
    Order::Level { slice: 1, level: 0.0, methods: 2, tries: 0 }
}

fn open_writes() -> Order {
    Order::Level { slice: 1, level: 1.0, methods: 2, tries: 0 }
}

#[test]
fn grant_is_published_with_its_levels_once_it_is_stored() {
    let mut publisher = new_publisher();
    assert!(publisher.apply(&[stop_writes()], server).safety);
    let outcome = publisher.apply(&[Order::Grant { slice: 1, endpoint: endpoint(2) }, open_writes()], server);
    assert!(outcome.slices.is_empty());
    assert_eq!(
        (publisher.published()[&1].owner.clone(), publisher.published()[&1].shares[1]),
        (server(0), 0.0)
    );
    let outcome = publisher.grant_stored(&outcome.grants[0]);
    assert!(outcome.slices.contains(&1));
    assert_eq!(
        (publisher.published()[&1].owner.clone(), publisher.published()[&1].shares[1]),
        (server(2), 1.0)
    );
}

#[test]
fn orders_after_an_unstored_grant_are_published_with_it() {
    let mut publisher = new_publisher();
    publisher.apply(&[stop_writes()], server);
    let first = publisher
        .apply(&[Order::Grant { slice: 1, endpoint: endpoint(1) }, open_writes()], server)
        .grants
        .remove(0);
    // The next move begins before the grant is stored, so the grant is published with its writes stopped.
    assert!(publisher.apply(&[stop_writes()], server).slices.is_empty());
    publisher.grant_stored(&first);
    assert_eq!(
        (publisher.published()[&1].owner.clone(), publisher.published()[&1].shares[1]),
        (server(1), 0.0)
    );
    let second = publisher
        .apply(&[Order::Grant { slice: 1, endpoint: endpoint(2) }, open_writes()], server)
        .grants
        .remove(0);
    assert_eq!(publisher.grant_stored(&first), BatchOutcome::default());
    assert!(publisher.grant_stored(&second).violations.is_empty());
}

#[test]
fn owner_is_not_replaced_while_it_accepts_writes() {
    let mut publisher = new_publisher();
    let grant = publisher.apply(&[Order::Grant { slice: 1, endpoint: endpoint(2) }], server).grants.remove(0);
    let outcome = publisher.grant_stored(&grant);
    assert!(
        matches!(&outcome.violations[..], [Violation::OwnerChangedWhileWritable { slice: 1, .. }]),
        "{outcome:?}"
    );
    assert_eq!(publisher.published()[&1].owner, server(0));
}

#[test]
fn every_violation_of_a_set_is_reported() {
    let last = new_publisher().published().clone();
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
    let mut publisher = new_publisher();
    publisher.apply(&[stop_writes()], server);
    let grant = publisher.apply(&[Order::Grant { slice: 1, endpoint: endpoint(1) }], server).grants.remove(0);
    publisher.release_slice(1);
    assert_eq!(publisher.grant_stored(&grant), BatchOutcome::default());
    assert_eq!(publisher.apply(&[stop_writes()], server).slices.len(), 0);
    assert!(publisher.published().is_empty());
}
