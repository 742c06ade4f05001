use super::*;

fn read(text: &str) -> Schedule {
    text.parse().unwrap()
}

#[test]
fn a_rule_holds_for_its_call_and_its_time_alone() {
    let schedule = read("accept=ENFILE:2-5");
    assert_eq!(schedule.fault(Call::Accept, 2.0, 1), Some(Fault::Error(libc::ENFILE)));
    assert_eq!(schedule.fault(Call::Accept, 1.9, 1), None);
    assert_eq!(schedule.fault(Call::Accept, 5.0, 1), None);
    assert_eq!(schedule.fault(Call::Connect, 3.0, 1), None);
}

#[test]
fn faults_come_as_often_as_the_chance_says_and_again_with_the_same_seed() {
    let schedule = read("seed=7 connect=EADDRNOTAVAIL|ENETUNREACH@0.3");
    let draw = |schedule: &Schedule| -> Vec<Option<Fault>> {
        (0..10_000).map(|count| schedule.fault(Call::Connect, 0.0, count)).collect()
    };
    let drawn = draw(&schedule);
    let count = |fault| drawn.iter().filter(|drawn| **drawn == fault).count();
    assert!((6_800..7_200).contains(&count(None)), "{}", count(None));
    assert!((1_350..1_650).contains(&count(Some(Fault::Error(libc::EADDRNOTAVAIL)))));
    assert_eq!(drawn, draw(&schedule));
    assert_ne!(drawn, draw(&read("seed=8 connect=EADDRNOTAVAIL|ENETUNREACH@0.3")));
}

#[test]
fn shortened_calls_move_a_byte_at_least() {
    let schedule = read("read=short");
    for count in 0..1_000 {
        let Some(Fault::Short(bytes)) = schedule.fault(Call::Read, 0.0, count) else { panic!("not short") };
        assert!((1..=7).contains(&bytes));
    }
}

#[test]
fn steps_of_the_clock_add_up() {
    let schedule = read("clock=-3600:3,clock=+60:10");
    assert_eq!([0.0, 3.0, 10.0].map(|at| schedule.clock_is_off(at)), [0, -3600, -3540]);
}

#[test]
fn what_is_no_schedule_is_named() {
    for bad in
        ["accept", "accept=EWHAT", "sleep=EIO", "clock=5", "seed=x", "accept=ENFILE@x", "accept=ENFILE:3"]
    {
        assert_eq!(bad.parse::<Schedule>(), Err(ScheduleError(bad.to_string())));
    }
}
