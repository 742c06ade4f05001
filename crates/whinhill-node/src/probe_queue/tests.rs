//! Each test plays one server's or one round's probes.

use super::*;

fn ep(index: usize) -> Ep {
    Ep { index, stable: index as u64 }
}

#[test]
fn no_server_is_left_out_of_a_round_that_does_not_fit_at_once() {
    let mut queue = ProbeQueue::new(2);
    assert!((0..5).all(|index| queue.push(ep(index))));
    let mut probed = Vec::new();
    while let Some(next) = queue.next() {
        queue.opened(next.index);
        probed.push(next.index);
        if !queue.has_room() {
            queue.closed(probed[probed.len() - 2]);
        }
    }
    assert_eq!(probed, [0, 1, 2, 3, 4]);
}

#[test]
fn a_server_that_is_being_asked_is_not_asked_again() {
    let mut queue = ProbeQueue::new(2);
    assert!(queue.push(ep(0)));
    assert!(!queue.push(ep(0)));
    let next = queue.next().unwrap();
    queue.opened(next.index);
    assert!(!queue.push(ep(0)));
    queue.closed(0);
    assert!(queue.push(ep(0)));
}

#[test]
fn a_server_whose_connect_is_to_be_made_again_is_not_asked_twice() {
    let mut queue = ProbeQueue::new(2);
    queue.postpone(0, true);
    assert!(!queue.push(ep(0)));
    queue.postpone(0, false);
    assert!(queue.push(ep(0)));
}
