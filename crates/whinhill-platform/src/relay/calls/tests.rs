use super::*;
use whinhill::interface::Settings;

const MS: Duration = Duration::from_millis(1);

fn names() -> Names {
    let pairs = [("classes.count", "1"), ("classes.0.name", "look"), ("familyInfo.shards", "9")];
    Names::new(&Settings(pairs.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect()))
}

fn line(slice: SliceId, server: &str, on: bool) -> RelayOrder {
    RelayOrder::Line { slice, server: server.to_string(), on }
}

fn next_call(calls: &mut CallQueue, now: Duration) -> String {
    calls.next_call(now, &names()).unwrap_or_default()
}

#[test]
fn one_call_is_in_flight_and_orders_are_sent_in_sequence() {
    let mut calls = CallQueue::default();
    calls.push(MS, [line(1, "a", true), RelayOrder::Mark(1)]);
    assert_eq!(next_call(&mut calls, MS), "APPLY put,1,a,1;fence,1,1\r\n");
    calls.push(MS * 2, [line(2, "b", true)]);
    assert_eq!(next_call(&mut calls, MS * 2), "");
    assert_eq!(calls.on_answer(MS * 3, b"OK 2"), CallOutcome::Applied);
    assert_eq!(calls.take_confirmed(), [ConfirmedLine { slice: 1, server: "a".to_string(), on: true }]);
    assert_eq!(next_call(&mut calls, MS * 3), "APPLY put,2,b,1\r\n");
}

/// If the connection breaks after the last byte of a call, its grant or revoke may have been applied. The same orders
/// are sent again before any later one.
#[test]
fn call_with_unknown_outcome_is_resent_before_later_orders() {
    for on in [true, false] {
        let mut calls = CallQueue::default();
        calls.push(MS, [line(1, "a", on)]);
        let first = next_call(&mut calls, MS);
        calls.push(MS * 2, [RelayOrder::Mark(7)]);
        assert_eq!(calls.on_connection_lost(MS * 300, true), CallOutcome::Unknown);
        assert_eq!(calls.unknown_outcomes, 1);
        let again = next_call(&mut calls, MS * 300);
        assert_eq!(again, format!("{};fence,7,1\r\n", first.trim_end()));
    }
}

/// A slice is released and acquired again while the outcome of a call is unknown: the old owner must not be set again.
#[test]
fn orders_of_released_slice_are_not_resent() {
    let mut calls = CallQueue::default();
    calls.push(MS, [line(1, "a", true), line(2, "b", true)]);
    next_call(&mut calls, MS);
    calls.push(MS, [line(1, "c", false)]);
    calls.drop_orders_of(1);
    assert_eq!(calls.on_connection_lost(MS * 2, true), CallOutcome::Unknown);
    assert_eq!(next_call(&mut calls, MS * 2), "APPLY put,2,b,1\r\n");
}

#[test]
fn partly_applied_call_drops_the_rejected_order() {
    for applied in [0, 1] {
        let mut calls = CallQueue::default();
        calls.push(MS, [line(0, "a", true), line(1, "b", true), line(2, "c", true)]);
        next_call(&mut calls, MS);
        let outcome = calls.on_answer(MS * 2, format!("OK {applied}").as_bytes());
        let rejected = ["a", "b"][applied];
        assert_eq!(outcome, CallOutcome::PartlyApplied { rejected: line(applied, rejected, true) });
        assert_eq!(calls.take_confirmed().len(), applied);
        let rest = ["APPLY put,1,b,1;put,2,c,1\r\n", "APPLY put,2,c,1\r\n"][applied];
        assert_eq!(next_call(&mut calls, MS * 2), rest);
    }
}

#[test]
fn malformed_answer_leaves_the_outcome_unknown() {
    for answer in [b"OK".as_slice(), b"OK 9", b"OK -1", b"\xff\xfe", b""] {
        let mut calls = CallQueue::default();
        calls.push(MS, [line(1, "a", true)]);
        next_call(&mut calls, MS);
        assert_eq!(calls.on_answer(MS * 2, answer), CallOutcome::Unknown);
    }
}

#[test]
fn refused_call_is_resent_after_a_delay() {
    let mut calls = CallQueue::default();
    calls.push(MS, [line(1, "a", true)]);
    next_call(&mut calls, MS);
    assert!(matches!(calls.on_answer(MS, b"ERR throttled"), CallOutcome::NotApplied { .. }));
    assert_eq!((next_call(&mut calls, MS * 50), calls.next_call_at()), (String::new(), Some(MS * 101)));
    assert_eq!(next_call(&mut calls, MS * 101), "APPLY put,1,a,1\r\n");
}

#[test]
fn later_orders_replace_queued_ones_so_the_queue_is_bounded() {
    let mut calls = CallQueue::default();
    let level = |share| RelayOrder::Level { slice: 1, methods: 1, share, tries: 0 };
    for ack_seq in 0..100 {
        calls.push(
            MS * u32::from(ack_seq),
            [level(0.5), line(1, "a", true), line(1, "a", false), RelayOrder::Mark(ack_seq)],
        );
    }
    assert_eq!(next_call(&mut calls, MS), "APPLY gate,1,look,0.500,0;put,1,a,1;put,1,a,0;fence,99,1\r\n");
}

/// Another server's line must be replaced before this one is removed, so both orders stay.
#[test]
fn setting_and_removing_a_line_keeps_both_orders() {
    let mut calls = CallQueue::default();
    calls.push(MS, [line(1, "b", true)]);
    calls.push(MS, [line(1, "b", false)]);
    assert_eq!(next_call(&mut calls, MS), "APPLY put,1,b,1;put,1,b,0\r\n");
}

#[test]
fn many_orders_are_split_into_calls_in_order() {
    let mut calls = CallQueue::default();
    let name = "s".repeat(60);
    calls.push(MS, (0..2000).map(|slice| line(slice, &name, true)));
    calls.push(MS, [RelayOrder::Mark(1)]);
    let mut seen = 0;
    while calls.is_call_due(MS) {
        let text = next_call(&mut calls, MS);
        assert!(text.len() <= MAX_CALL_BYTES + 2);
        let orders = text.trim_end().split(';').count();
        seen += orders;
        assert_eq!(calls.on_answer(MS, format!("OK {orders}").as_bytes()), CallOutcome::Applied);
    }
    assert_eq!(seen, 2001);
}

/// Proxies stop writing when the order reaches them, not when it was queued. The transit must include the time in the
/// queue, or writes would be assumed to have ended too early.
#[test]
fn transit_counts_from_the_order() {
    let mut calls = CallQueue::default();
    calls.push(MS * 100, [RelayOrder::Mark(1)]);
    next_call(&mut calls, MS * 130);
    assert_eq!(calls.on_connection_lost(MS * 430, true), CallOutcome::Unknown);
    next_call(&mut calls, MS * 430);
    calls.on_answer(MS * 440, b"OK 1");
    assert_eq!(calls.acks.transit_since_order(MS * 600, 1, MS * 90), MS * 430);
    assert!(calls.acks.transit_since_order(MS * 600, 1, Duration::MAX) < MAX_TRANSIT * 2);
    calls.request_last_ack_again(MS * 700);
    assert!(calls.acks.transit_since_order(MS * 800, 1, MS * 90) >= MS * 800);
}

/// Where slices are not exclusive, a grant adds a line: the removal of the former owner's line must not get lost.
#[test]
fn removal_of_former_owners_line_survives_the_next_grant() {
    let mut calls = CallQueue::default();
    calls.push(MS, [line(1, "a", false), line(1, "b", true)]);
    calls.push(MS, [line(1, "c", true), line(1, "b", false)]);
    assert_eq!(next_call(&mut calls, MS), "APPLY put,1,a,0;put,1,c,1;put,1,b,0\r\n");
}

#[test]
fn orders_with_unknown_outcome_are_counted_until_resent() {
    let mut calls = CallQueue::default();
    calls.push(MS, [line(1, "a", true), line(2, "b", true)]);
    next_call(&mut calls, MS);
    calls.push(MS * 2, [line(3, "c", true)]);
    assert_eq!(calls.possibly_applied(), None);
    calls.on_connection_lost(MS * 9, true);
    assert_eq!(calls.possibly_applied(), Some((2, MS * 9)));
    calls.drop_orders_of(1);
    assert_eq!(calls.possibly_applied(), Some((1, MS * 9)));
    // The call was not sent: orders that may have been applied before still may have been.
    next_call(&mut calls, MS * 20);
    assert_eq!(calls.possibly_applied(), None);
    calls.on_connection_lost(MS * 21, false);
    assert_eq!(calls.possibly_applied(), Some((1, MS * 9)));
}

/// Guards against an answer that is taken for the proof that a proxy read the store after the call: the proxy may have
/// joined before it, and its joining be reported later.
#[test]
fn answer_proves_that_orders_are_stored_once_earlier_joins_have_been_reported() {
    let mut calls = CallQueue::default();
    calls.push(MS, [line(1, "a", false), RelayOrder::Mark(1)]);
    next_call(&mut calls, MS);
    assert!(calls.acks.take_stored(MS * 9).is_empty(), "sent, but not answered");
    assert_eq!(calls.on_connection_lost(MS * 2, true), CallOutcome::Unknown);
    assert!(calls.acks.take_stored(MS * 9).is_empty(), "the outcome is unknown");
    next_call(&mut calls, MS * 3);
    calls.on_answer(MS * 4, b"OK 2");
    assert!(calls.acks.take_stored(MS * 3).is_empty(), "joins before the call may not have been reported");
    assert_eq!(calls.acks.take_stored(MS * 4), [1].into());
    assert!(calls.acks.take_stored(MS * 9).is_empty(), "it was taken");
    calls.acks.note_acked_in_sequence(1);
    assert_eq!(calls.acks.take_stored(Duration::ZERO), [1].into());
}

/// Guards against writes that are taken to have ended too early: a call with an unknown outcome was sent again, and an
/// ack that came before the answer to that was counted from the time at which the first one could have been accepted.
#[test]
fn ack_of_a_call_in_flight_again_counts_from_now() {
    let mut calls = CallQueue::default();
    calls.push(MS * 100, [RelayOrder::Mark(1)]);
    next_call(&mut calls, MS * 100);
    assert_eq!(calls.on_connection_lost(MS * 300, true), CallOutcome::Unknown);
    assert_eq!(
        calls.acks.transit_since_order(MS * 400, 1, MS * 90),
        MS * 290,
        "only the first can have been accepted"
    );
    next_call(&mut calls, MS * 800);
    assert_eq!(calls.acks.transit_since_order(MS * 900, 1, MS * 90), MS * 890);
    calls.on_answer(MS * 910, b"OK 1");
    assert_eq!(calls.acks.transit_since_order(MS * 900, 1, MS * 90), MS * 900);
}

/// Guards against a slice of which it is not known what the store holds: after errors the orders of a call were dropped
/// that an earlier copy may have carried out.
#[test]
fn call_with_unknown_outcome_is_not_dropped_after_errors() {
    let mut calls = CallQueue::default();
    calls.push(MS, [line(1, "a", true)]);
    let first = next_call(&mut calls, MS);
    assert_eq!(calls.on_connection_lost(MS * 2, true), CallOutcome::Unknown);
    for attempt in 0..2 * MAX_ERRORS {
        let now = MS * (1000 * (attempt + 1));
        assert_eq!(next_call(&mut calls, now), first);
        calls.on_answer(now, b"ERR invalid");
    }
    assert_eq!((calls.dropped_orders, calls.take_out_of_step()), (0, BTreeSet::new()));
}

/// Guards against an acknowledgement that covers no stop at all: the stop was superseded by the removal of the line while
/// it waited, but its ack request stayed in front of that, and a call may end between the two.
#[test]
fn ack_request_of_a_superseded_order_follows_the_order_that_supersedes_it() {
    let level = |share| RelayOrder::Level { slice: 1, methods: 1, share, tries: 0 };
    for is_in_doubt in [false, true] {
        let mut calls = CallQueue::default();
        calls.push(MS, [level(0.0), RelayOrder::Mark(1)]);
        if is_in_doubt {
            next_call(&mut calls, MS);
        }
        calls.push(MS * 2, [line(1, "a", false), level(1.0)]);
        calls.on_connection_lost(MS * 3, true);
        let text = "APPLY put,1,a,0;gate,1,look,1.000,0;fence,1,1\r\n";
        assert_eq!(next_call(&mut calls, MS * 3), text, "in doubt: {is_in_doubt}");
    }
    // A request whose orders all stand stays where it is.
    let mut calls = CallQueue::default();
    calls.push(MS, [level(0.0), RelayOrder::Mark(1)]);
    calls.push(MS, [line(1, "a", false)]);
    assert_eq!(next_call(&mut calls, MS), "APPLY gate,1,look,0.000,0;fence,1,1;put,1,a,0\r\n");
}

/// Guards against hundreds of copies of a call within half a second: a connection that is reset at once had the call sent
/// again at once, and each copy counted as queued in the channel.
#[test]
fn calls_with_unknown_outcomes_in_a_row_are_sent_again_ever_later() {
    let mut calls = CallQueue::default();
    calls.push(MS, [line(1, "a", true)]);
    let mut sent_at = Vec::new();
    for now in (1..4000).map(|ms| MS * ms + Duration::from_micros(u64::from(ms) * 37 % 1000)) {
        if calls.next_call(now, &names()).is_some() {
            sent_at.push(now);
            calls.on_connection_lost(now, true);
        }
    }
    assert!((10..20).contains(&sent_at.len()), "{sent_at:?}");
    let gaps: Vec<Duration> = sent_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps[0] <= MS * 2 && gaps.iter().all(|gap| *gap <= MS * 502), "{gaps:?}");
    // An answer ends the series.
    let now = MS * 5000;
    next_call(&mut calls, now);
    calls.on_answer(now, b"OK 1");
    calls.push(now, [line(1, "b", true)]);
    next_call(&mut calls, now);
    calls.on_connection_lost(now, true);
    assert!(calls.is_call_due(now));
}
