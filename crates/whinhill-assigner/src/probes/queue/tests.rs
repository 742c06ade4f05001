//! The order and bounds of the probe queue.

use super::*;

fn server(index: usize) -> ServerName {
    format!("10.0.0.{index}:80").as_str().into()
}

#[test]
fn servers_are_probed_in_the_order_of_their_requests() {
    let mut queue = ProbeQueue::new(5);
    assert!((0..5).all(|index| queue.push(server(index)) == Pushed::Queued));
    let probed: Vec<ServerName> = std::iter::from_fn(|| queue.next()).collect();
    assert_eq!(probed, (0..5).map(server).collect::<Vec<_>>());
}

#[test]
fn server_that_is_queued_or_being_probed_is_not_queued_again() {
    let mut queue = ProbeQueue::new(5);
    assert_eq!(queue.push(server(0)), Pushed::Queued);
    assert_eq!(queue.push(server(0)), Pushed::Pending);
    assert_eq!(queue.next(), Some(server(0)));
    assert_eq!(queue.push(server(0)), Pushed::Pending);
    assert_eq!(queue.next(), None);
    queue.finished(&server(0));
    assert_eq!(queue.push(server(0)), Pushed::Queued);
    assert_eq!(queue.next(), Some(server(0)));
}

#[test]
fn full_queue_accepts_no_server_until_one_has_left() {
    let mut queue = ProbeQueue::new(2);
    assert!((0..2).all(|index| queue.push(server(index)) == Pushed::Queued));
    assert_eq!(queue.push(server(2)), Pushed::Full);
    assert_eq!(queue.queued(), 2);
    assert_eq!(queue.next(), Some(server(0)));
    assert_eq!(queue.push(server(2)), Pushed::Queued);
}
