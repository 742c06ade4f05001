use super::*;

const HOUR: i64 = 3_600_000;
/// Unix time in milliseconds at monotonic time 0, as long as no clock is stepped.
const EPOCH: i64 = 1_700_000_000_000;

/// Both clocks, with the wall clock stepped by `wall_offset_ms`.
fn reading(now_ms: u64, wall_offset_ms: i64) -> ClockReading {
    let wall = EPOCH + now_ms as i64 + wall_offset_ms;
    ClockReading { monotonic: Duration::from_millis(now_ms), wall: Duration::from_millis(wall as u64) }
}

/// The timestamp of a start at a monotonic time, by a clock that was stepped by `offset_ms`.
fn stamp(started_ms: u64, offset_ms: i64) -> u64 {
    (EPOCH + started_ms as i64 + offset_ms) as u64
}

/// Starts whose list was current at 100 s, with the local clock stepped by `offset_ms`.
fn starts_with_current_list(offset_ms: i64) -> StartTimes {
    let mut starts = StartTimes::default();
    starts.start_time(reading(100_000, offset_ms), "old", 0);
    starts.set_list_current(Duration::from_secs(100));
    starts
}

fn started_ms(starts: &mut StartTimes, reading: ClockReading, stamp: u64) -> u128 {
    starts.start_time(reading, "s", stamp).unwrap().as_millis()
}

#[test]
fn timestamp_without_clock_step_gives_exact_start() {
    let mut starts = starts_with_current_list(0);
    assert_eq!(started_ms(&mut starts, reading(102_000, 0), stamp(99_000, 0)), 99_000);
    assert_eq!(starts.start_time(reading(102_000, 0), "long", 0), None);
}

/// A clock step of seconds or hours, here or at the servers, before or after the list was last current, must not make
/// a server that started 3 s ago older than it is, nor move its start into the future.
#[test]
fn clock_steps_make_new_server_neither_older_nor_started_in_the_future() {
    let offsets_ms = [-HOUR, -20_000, -5_000, 0, 5_000, 20_000, HOUR];
    for (before, after) in offsets_ms.iter().flat_map(|before| offsets_ms.map(|after| (*before, after))) {
        // The server's clock is not stepped, or is stepped together with the local one.
        for server_offset in [before, after] {
            let mut starts = starts_with_current_list(before);
            let start = started_ms(&mut starts, reading(102_000, after), stamp(99_000, server_offset));
            assert!((99_000..=102_000).contains(&start), "{before} {after} {server_offset}: {start}");
        }
    }
}

/// Only the servers' clock was stepped, by more than the time after its start in which a server is listed.
#[test]
fn clock_step_at_servers_only_does_not_make_new_server_old() {
    for server_offset in [-HOUR, -20_000, 5_000, HOUR] {
        let start =
            started_ms(&mut starts_with_current_list(0), reading(102_000, 0), stamp(99_000, server_offset));
        assert_eq!(start, 102_000, "{server_offset}");
    }
}

#[test]
fn recorded_start_stays_after_later_clock_steps() {
    let mut starts = starts_with_current_list(0);
    let first = started_ms(&mut starts, reading(102_000, 0), stamp(99_000, 0));
    for offset_ms in [-HOUR, HOUR, 5_000] {
        starts.set_list_current(Duration::from_secs(150));
        assert_eq!(started_ms(&mut starts, reading(160_000, offset_ms), stamp(99_000, 0)), first);
    }
    // A new timestamp means that the server was restarted.
    starts.set_list_current(Duration::from_secs(159));
    assert_eq!(started_ms(&mut starts, reading(160_000, 0), stamp(158_000, 0)), 158_000);
}

/// Only the clock bounds the timestamps of the first list. Even so, no start lies in the future.
#[test]
fn first_list_is_converted_with_current_offset_alone() {
    let mut starts = StartTimes::default();
    assert_eq!(started_ms(&mut starts, reading(500_000, 0), stamp(100_000, 0)), 100_000);
    let mut starts = StartTimes::default();
    assert_eq!(started_ms(&mut starts, reading(500_000, -HOUR), stamp(499_000, 0)), 500_000);
}

/// While discovery is down, a server may have started at any time since the list was last current.
#[test]
fn list_that_was_long_outdated_allows_older_starts() {
    let mut starts = starts_with_current_list(0);
    assert_eq!(started_ms(&mut starts, reading(400_000, 0), stamp(110_000, 0)), 110_000);
}

#[test]
fn recorded_starts_and_clock_offsets_are_bounded() {
    let mut starts = starts_with_current_list(0);
    for server in 0..MAX_RECORDED_STARTS as u64 * 2 {
        starts.start_time(reading(100_000 + server * 1000, server as i64 * 1000), &format!("s-{server}"), 1);
    }
    assert_eq!((starts.recorded.len(), starts.order.len()), (MAX_RECORDED_STARTS, MAX_RECORDED_STARTS));
    assert!(starts.clock_offsets_ms.len() <= MAX_CLOCK_OFFSETS);
}
