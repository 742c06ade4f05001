//! Shares of greedy connections and of newcomers.

use super::*;

#[test]
fn connection_alone_gets_an_eighth_for_calls_and_gives_back_what_it_drops() {
    let share = MemoryBudget::new(800, 0).share();
    let held: Vec<Reservation> = std::iter::from_fn(|| share.reserve_call(10)).collect();
    assert_eq!(held.len(), 10);
    drop(held);
    assert!(share.reserve_call(100).is_some());
}

#[test]
fn newcomer_is_served_after_hundreds_of_connections_have_taken_all_they_could_get() {
    let budget = MemoryBudget::new(3_000 * 10, 0);
    let mut held = Vec::new();
    let mut greedy = Vec::new();
    for _ in 0..900 {
        let share = budget.share();
        held.extend(std::iter::from_fn(|| share.reserve_call(10)));
        greedy.push(share);
    }
    assert!(budget.share().reserve_call(10).is_some());
    assert!(lock(&budget.calls.usage).used <= 3_000 * 10);
}

#[test]
fn message_buffers_grow_while_as_much_is_left_and_shrink_always() {
    let share = MemoryBudget::new(0, 100).share();
    let mut buffer = share.message_buffer();
    assert!(buffer.resize(50));
    assert!(!buffer.resize(51));
    assert!(buffer.resize(20));
    assert!(share.message_buffer().resize(30));
    drop(buffer);
    assert!(share.message_buffer().resize(50));
}
