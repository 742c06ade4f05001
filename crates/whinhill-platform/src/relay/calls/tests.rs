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

fn sent(calls: &mut Calls, now: Duration) -> String {
    calls.next_call(now, &names()).unwrap_or_default()
}

#[test]
fn one_call_at_a_time_and_none_overtakes() {
    let mut calls = Calls::default();
    calls.push(MS, [line(1, "a", true), RelayOrder::Mark(1)]);
    assert_eq!(sent(&mut calls, MS), "APPLY put,1,a,1;fence,1,1\r\n");
    calls.push(MS * 2, [line(2, "b", true)]);
    assert_eq!(sent(&mut calls, MS * 2), "");
    assert_eq!(calls.answered(MS * 3, b"OK 2"), Outcome::Done);
    assert_eq!(calls.take_confirmed(), [SetLine { slice: 1, server: "a".to_string(), on: true }]);
    assert_eq!(sent(&mut calls, MS * 3), "APPLY put,2,b,1\r\n");
}

/// A cut after the last byte leaves a grant or a revoke in doubt: the same is sent again, first.
#[test]
fn an_unknown_call_is_sent_again_before_later_ones() {
    for on in [true, false] {
        let mut calls = Calls::default();
        calls.push(MS, [line(1, "a", on)]);
        let first = sent(&mut calls, MS);
        calls.push(MS * 2, [RelayOrder::Mark(7)]);
        assert_eq!(calls.lost(MS * 300, true), Outcome::Unknown);
        assert_eq!(calls.unknown, 1);
        let again = sent(&mut calls, MS * 300);
        assert_eq!(again, format!("{};fence,7,1\r\n", first.trim_end()));
    }
}

/// A slice taken and given again while a call is in doubt: the old owner must not be set again.
#[test]
fn orders_of_a_slice_taken_away_are_not_sent_again() {
    let mut calls = Calls::default();
    calls.push(MS, [line(1, "a", true), line(2, "b", true)]);
    sent(&mut calls, MS);
    calls.push(MS, [line(1, "c", false)]);
    calls.forget(1);
    assert_eq!(calls.lost(MS * 2, true), Outcome::Unknown);
    assert_eq!(sent(&mut calls, MS * 2), "APPLY put,2,b,1\r\n");
}

#[test]
fn an_answer_short_of_what_was_sent_drops_the_order_at_fault() {
    for taken in [0, 1] {
        let mut calls = Calls::default();
        calls.push(MS, [line(0, "a", true), line(1, "b", true), line(2, "c", true)]);
        sent(&mut calls, MS);
        let outcome = calls.answered(MS * 2, format!("OK {taken}").as_bytes());
        let fault = ["a", "b"][taken];
        assert_eq!(outcome, Outcome::Short { dropped: line(taken, fault, true) });
        assert_eq!(calls.take_confirmed().len(), taken);
        let rest = ["APPLY put,1,b,1;put,2,c,1\r\n", "APPLY put,2,c,1\r\n"][taken];
        assert_eq!(sent(&mut calls, MS * 2), rest);
    }
}

#[test]
fn what_is_no_answer_leaves_the_call_in_doubt() {
    for answer in [b"OK".as_slice(), b"OK 9", b"OK -1", b"\xff\xfe", b""] {
        let mut calls = Calls::default();
        calls.push(MS, [line(1, "a", true)]);
        sent(&mut calls, MS);
        assert_eq!(calls.answered(MS * 2, answer), Outcome::Unknown);
    }
}

#[test]
fn a_call_turned_away_waits_and_goes_again() {
    let mut calls = Calls::default();
    calls.push(MS, [line(1, "a", true)]);
    sent(&mut calls, MS);
    assert!(matches!(calls.answered(MS, b"ERR throttled"), Outcome::NotDone { .. }));
    assert_eq!((sent(&mut calls, MS * 50), calls.due_at()), (String::new(), Some(MS * 101)));
    assert_eq!(sent(&mut calls, MS * 101), "APPLY put,1,a,1\r\n");
}

#[test]
fn what_waits_is_replaced_by_what_follows_it_and_so_bounded() {
    let mut calls = Calls::default();
    let level = |share| RelayOrder::Level { slice: 1, methods: 1, share, tries: 0 };
    for mark in 0..100 {
        calls.push(
            MS * u32::from(mark),
            [level(0.5), line(1, "a", true), line(1, "a", false), RelayOrder::Mark(mark)],
        );
    }
    assert_eq!(sent(&mut calls, MS), "APPLY gate,1,look,0.500,0;put,1,a,1;put,1,a,0;fence,99,1\r\n");
}

/// The line of another server must be replaced before it is taken away: both orders stay.
#[test]
fn a_line_set_and_taken_away_is_both() {
    let mut calls = Calls::default();
    calls.push(MS, [line(1, "b", true)]);
    calls.push(MS, [line(1, "b", false)]);
    assert_eq!(sent(&mut calls, MS), "APPLY put,1,b,1;put,1,b,0\r\n");
}

#[test]
fn a_long_reply_is_split_and_keeps_its_order() {
    let mut calls = Calls::default();
    let name = "s".repeat(60);
    calls.push(MS, (0..2000).map(|slice| line(slice, &name, true)));
    calls.push(MS, [RelayOrder::Mark(1)]);
    let mut seen = 0;
    while calls.due(MS) {
        let text = sent(&mut calls, MS);
        assert!(text.len() <= CALL_MOST + 2);
        let orders = text.trim_end().split(';').count();
        seen += orders;
        assert_eq!(calls.answered(MS, format!("OK {orders}").as_bytes()), Outcome::Done);
    }
    assert_eq!(seen, 2001);
}

/// Writes settle from the time at which they stopped, not from the order that waited in line.
#[test]
fn an_answers_time_counts_from_the_order() {
    let mut calls = Calls::default();
    calls.push(MS * 100, [RelayOrder::Mark(1)]);
    sent(&mut calls, MS * 130);
    assert_eq!(calls.lost(MS * 430, true), Outcome::Unknown);
    sent(&mut calls, MS * 430);
    calls.answered(MS * 440, b"OK 1");
    assert_eq!(calls.since_order(MS * 600, 1, MS * 90), MS * 430);
    assert!(calls.since_order(MS * 600, 1, Duration::MAX) < LONG_AGO * 2);
    calls.mark_again(MS * 700);
    assert!(calls.since_order(MS * 800, 1, MS * 90) >= MS * 800);
}

/// Where slices are not exclusive a grant is one more line: the end of the former owner's must not get lost.
#[test]
fn the_end_of_a_former_owners_line_outlives_the_next_grant() {
    let mut calls = Calls::default();
    calls.push(MS, [line(1, "a", false), line(1, "b", true)]);
    calls.push(MS, [line(1, "c", true), line(1, "b", false)]);
    assert_eq!(sent(&mut calls, MS), "APPLY put,1,a,0;put,1,c,1;put,1,b,0\r\n");
}

#[test]
fn orders_in_doubt_are_told_until_they_leave_again() {
    let mut calls = Calls::default();
    calls.push(MS, [line(1, "a", true), line(2, "b", true)]);
    sent(&mut calls, MS);
    calls.push(MS * 2, [line(3, "c", true)]);
    assert_eq!(calls.in_doubt(), None);
    calls.lost(MS * 9, true);
    assert_eq!(calls.in_doubt(), Some((2, MS * 9)));
    calls.forget(1);
    assert_eq!(calls.in_doubt(), Some((1, MS * 9)));
    // It did not leave: what was in doubt before still is.
    sent(&mut calls, MS * 20);
    assert_eq!(calls.in_doubt(), None);
    calls.lost(MS * 21, false);
    assert_eq!(calls.in_doubt(), Some((1, MS * 9)));
}
