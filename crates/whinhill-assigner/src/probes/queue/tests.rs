//! Each test plays one server's or one round's probes.

use super::*;

fn server(index: usize) -> ServerName {
    format!("10.0.0.{index}:80").as_str().into()
}

#[test]
fn servers_are_probed_in_the_order_in_which_they_came() {
    let mut queue = ProbeQueue::new(5);
    assert!((0..5).all(|index| queue.push(server(index)) == Pushed::Waits));
    let probed: Vec<ServerName> = std::iter::from_fn(|| queue.next()).collect();
    assert_eq!(probed, (0..5).map(server).collect::<Vec<_>>());
}

#[test]
fn a_server_that_waits_or_is_being_asked_does_not_wait_once_more() {
    let mut queue = ProbeQueue::new(5);
    assert_eq!(queue.push(server(0)), Pushed::Waits);
    assert_eq!(queue.push(server(0)), Pushed::Pending);
    assert_eq!(queue.next(), Some(server(0)));
    assert_eq!(queue.push(server(0)), Pushed::Pending);
    assert_eq!(queue.next(), None);
    queue.ended(&server(0));
    assert_eq!(queue.push(server(0)), Pushed::Waits);
    assert_eq!(queue.next(), Some(server(0)));
}

#[test]
fn a_full_queue_takes_no_server_until_one_has_left_it() {
    let mut queue = ProbeQueue::new(2);
    assert!((0..2).all(|index| queue.push(server(index)) == Pushed::Waits));
    assert_eq!(queue.push(server(2)), Pushed::Full);
    assert_eq!(queue.waiting(), 2);
    assert_eq!(queue.next(), Some(server(0)));
    assert_eq!(queue.push(server(2)), Pushed::Waits);
}
