use super::*;

const HOUR: i64 = 3_600_000;
/// Unix time of monotonic 0 where no clock was stepped.
const EPOCH: i64 = 1_700_000_000_000;

fn reading(now_ms: u64, wall_off_ms: i64) -> Reading {
    let wall = EPOCH + now_ms as i64 + wall_off_ms;
    Reading { now: Duration::from_millis(now_ms), wall: Duration::from_millis(wall as u64) }
}

/// The stamp of a start at a monotonic time, by a clock that is off by so much.
fn stamp(started_ms: u64, off_ms: i64) -> u64 {
    (EPOCH + started_ms as i64 + off_ms) as u64
}

/// Starts whose list was current at 100 s with our clock at a standing.
fn current(off_ms: i64) -> Starts {
    let mut starts = Starts::default();
    starts.started(reading(100_000, off_ms), "old", 0);
    starts.list_is_current(Duration::from_secs(100));
    starts
}

fn started_ms(starts: &mut Starts, reading: Reading, stamp: u64) -> u128 {
    starts.started(reading, "s", stamp).unwrap().as_millis()
}

#[test]
fn stamps_are_read_by_the_clock_where_nothing_was_stepped() {
    let mut starts = current(0);
    assert_eq!(started_ms(&mut starts, reading(102_000, 0), stamp(99_000, 0)), 99_000);
    assert_eq!(starts.started(reading(102_000, 0), "long", 0), None);
}

/// Ours and theirs may be off by hours before or after the list was last current: a server that came up 3 s ago is
/// never taken to be older than it is, nor younger by more than those 3 s.
#[test]
fn a_new_server_is_neither_old_nor_from_the_future_whatever_was_stepped() {
    let offs = [-HOUR, -20_000, -5_000, 0, 5_000, 20_000, HOUR];
    for (before, after) in offs.iter().flat_map(|before| offs.map(|after| (*before, after))) {
        // Theirs is not stepped, or in step with ours.
        for theirs in [before, after] {
            let mut starts = current(before);
            let start = started_ms(&mut starts, reading(102_000, after), stamp(99_000, theirs));
            assert!((99_000..=102_000).contains(&start), "{before} {after} {theirs}: {start}");
        }
    }
}

/// Only the others' clock was stepped, by more than the time in which a new server is listed.
#[test]
fn a_step_that_only_others_made_does_not_make_a_new_server_old() {
    for theirs in [-HOUR, -20_000, 5_000, HOUR] {
        let start = started_ms(&mut current(0), reading(102_000, 0), stamp(99_000, theirs));
        assert_eq!(start, 102_000, "{theirs}");
    }
}

#[test]
fn a_start_once_read_stays_whatever_the_clock_does_later() {
    let mut starts = current(0);
    let first = started_ms(&mut starts, reading(102_000, 0), stamp(99_000, 0));
    for off in [-HOUR, HOUR, 5_000] {
        starts.list_is_current(Duration::from_secs(150));
        assert_eq!(started_ms(&mut starts, reading(160_000, off), stamp(99_000, 0)), first);
    }
    // A new stamp is a new start.
    starts.list_is_current(Duration::from_secs(159));
    assert_eq!(started_ms(&mut starts, reading(160_000, 0), stamp(158_000, 0)), 158_000);
}

/// At the start nothing bounds the first list's stamps but the clock; none lies in the future.
#[test]
fn the_first_list_is_read_by_the_clock_alone() {
    let mut starts = Starts::default();
    assert_eq!(started_ms(&mut starts, reading(500_000, 0), stamp(100_000, 0)), 100_000);
    let mut starts = Starts::default();
    assert_eq!(started_ms(&mut starts, reading(500_000, -HOUR), stamp(499_000, 0)), 500_000);
}

/// Discovery was away: who came up meanwhile may be as old as that.
#[test]
fn a_list_that_was_not_current_for_long_bounds_less() {
    let mut starts = current(0);
    assert_eq!(started_ms(&mut starts, reading(400_000, 0), stamp(110_000, 0)), 110_000);
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut starts = current(0);
    for server in 0..KNOWN_MOST as u64 * 2 {
        starts.started(reading(100_000 + server * 1000, server as i64 * 1000), &format!("s-{server}"), 1);
    }
    assert_eq!((starts.known.len(), starts.order.len()), (KNOWN_MOST, KNOWN_MOST));
    assert!(starts.standings.len() <= STANDINGS_MOST);
}
