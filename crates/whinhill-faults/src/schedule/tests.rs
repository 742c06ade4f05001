use super::*;

fn parse(text: &str) -> Schedule {
    text.parse().unwrap()
}

#[test]
fn rule_applies_only_to_its_call_and_time() {
    let schedule = parse("accept=ENFILE:2-5");
    assert_eq!(schedule.fault(Call::Accept, 2.0, 1), Some(Fault::Error(libc::ENFILE)));
    assert_eq!(schedule.fault(Call::Accept, 1.9, 1), None);
    assert_eq!(schedule.fault(Call::Accept, 5.0, 1), None);
    assert_eq!(schedule.fault(Call::Connect, 3.0, 1), None);
}

#[test]
fn faults_have_the_given_frequency_and_repeat_with_the_same_seed() {
    let schedule = parse("seed=7 connect=EADDRNOTAVAIL|ENETUNREACH@0.3");
    let draw = |schedule: &Schedule| -> Vec<Option<Fault>> {
        (0..10_000).map(|count| schedule.fault(Call::Connect, 0.0, count)).collect()
    };
    let drawn = draw(&schedule);
    let count = |fault| drawn.iter().filter(|drawn| **drawn == fault).count();
    assert!((6_800..7_200).contains(&count(None)), "{}", count(None));
    assert!((1_350..1_650).contains(&count(Some(Fault::Error(libc::EADDRNOTAVAIL)))));
    assert_eq!(drawn, draw(&schedule));
    assert_ne!(drawn, draw(&parse("seed=8 connect=EADDRNOTAVAIL|ENETUNREACH@0.3")));
}

#[test]
fn shortened_calls_transfer_one_to_seven_bytes() {
    let schedule = parse("read=short");
    for count in 0..1_000 {
        let Some(Fault::Short(bytes)) = schedule.fault(Call::Read, 0.0, count) else { panic!("not short") };
        assert!((1..=7).contains(&bytes));
    }
}

#[test]
fn clock_steps_add_up() {
    let schedule = parse("clock=-3600:3,clock=+60:10");
    assert_eq!([0.0, 3.0, 10.0].map(|at| schedule.clock_offset(at)), [0, -3600, -3540]);
}

#[test]
fn invalid_parts_are_named_in_the_error() {
    for bad in
        ["accept", "accept=EWHAT", "sleep=EIO", "clock=5", "seed=x", "accept=ENFILE@x", "accept=ENFILE:3"]
    {
        assert_eq!(bad.parse::<Schedule>(), Err(ScheduleError(bad.to_string())));
    }
}
