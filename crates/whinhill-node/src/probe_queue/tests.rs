//! Each test covers the probes of one server or of one round.

use super::*;

fn endpoint(index: usize) -> EndpointId {
    EndpointId { index, stable_id: index as u64 }
}

#[test]
fn round_larger_than_the_limit_probes_every_server() {
    let mut queue = ProbeQueue::new(2);
    assert!((0..5).all(|index| queue.push(endpoint(index))));
    let mut probed = Vec::new();
    while let Some(next) = queue.pop_next() {
        queue.add_connection(next.index);
        probed.push(next.index);
        if !queue.has_capacity() {
            queue.remove_connection(probed[probed.len() - 2]);
        }
    }
    assert_eq!(probed, [0, 1, 2, 3, 4]);
}

#[test]
fn server_being_probed_is_not_queued_again() {
    let mut queue = ProbeQueue::new(2);
    assert!(queue.push(endpoint(0)));
    assert!(!queue.push(endpoint(0)));
    let next = queue.pop_next().unwrap();
    queue.add_connection(next.index);
    assert!(!queue.push(endpoint(0)));
    queue.remove_connection(0);
    assert!(queue.push(endpoint(0)));
}

#[test]
fn server_with_a_postponed_probe_is_not_queued_again() {
    let mut queue = ProbeQueue::new(2);
    queue.set_postponed(0, true);
    assert!(!queue.push(endpoint(0)));
    queue.set_postponed(0, false);
    assert!(queue.push(endpoint(0)));
}
