use rand::seq::IndexedRandom;
use rand::Rng;

use super::*;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn line(slice: usize, tries: u64) -> Line {
    let figures = Figures { tries, oks: tries, wait_ms: tries as f64, ..Figures::default() };
    Line { key: Key::Came { slice, method: 0 }, figures }
}

fn told(proxy: ProxyId, stretch: f64, lines: Vec<Line>) -> Told {
    Told { proxy, zone: 0, stretch: Some(s(stretch)), strange: 0, lines }
}

/// Proxies that have told of 100 tries a second each, of a slice of their own and a common one, for so long.
fn fleet(proxies: ProxyId, seconds: u32) -> Intake {
    let mut intake = Intake::new(Limits::default(), 1);
    (0..proxies).for_each(|proxy| intake.opened(s(0.0), proxy, 0));
    (1..=seconds).for_each(|at| second(&mut intake, at, 0..proxies));
    intake
}

/// One more second in which these proxies report.
fn second(intake: &mut Intake, at: u32, proxies: std::ops::Range<ProxyId>) {
    for proxy in proxies {
        // Not all at once, and no two reports alike.
        let now = f64::from(at) + f64::from(proxy % 100) / 1000.0;
        let lines = vec![line(0, 80), line(1 + proxy as usize, 20 + u64::from(at % 7))];
        intake.take(s(now), told(proxy, 1.0, lines));
    }
}

fn rate(given: &[Given], slice: usize) -> Option<f64> {
    let one = given.iter().find(|given| given.key == Key::Came { slice, method: 0 })?;
    Some(one.figures.tries as f64 / one.span.as_secs_f64())
}

/// The common slice's rate over the next seconds, as the module is given it, while `each` tells in them.
fn rates(intake: &mut Intake, from: u32, to: u32, mut each: impl FnMut(&mut Intake, u32)) -> Vec<f64> {
    let next = |at| {
        each(intake, at);
        rate(&intake.give(s(f64::from(at) + 0.95)), 0)
    };
    (from..=to).filter_map(next).collect()
}

fn conserved(intake: &Intake) -> bool {
    intake.waiting() == intake.recount() && intake.ledger().conserved(intake.waiting())
}

#[test]
fn what_is_told_evenly_is_given_evenly() {
    let mut intake = fleet(50, 10);
    intake.give(s(10.95));
    let found = rates(&mut intake, 11, 30, |intake, at| second(intake, at, 0..50));
    assert_eq!(found.len(), 20);
    assert!(found.iter().all(|rate| (rate - 4000.0).abs() < 40.0), "{found:?}");
    assert!(conserved(&intake));
}

#[test]
fn a_minutes_backlog_from_one_proxy_swings_nothing() {
    let mut intake = fleet(500, 10);
    intake.give(s(10.95));
    // Proxy 0 says nothing for a minute, then all at once.
    let mut found = rates(&mut intake, 11, 70, |intake, at| second(intake, at, 1..500));
    for at in 11..=70 {
        intake.take(s(70.96), told(0, 1.0, vec![line(0, 80), line(1, 20 + at % 7)]));
    }
    found.extend(rates(&mut intake, 71, 80, |intake, at| second(intake, at, 0..500)));
    assert!(found.iter().all(|rate| (rate / 40_000.0 - 1.0).abs() < 0.02), "{found:?}");
    assert!(intake.ledger().late > 3000 && conserved(&intake), "{:?}", intake.ledger());
}

#[test]
fn a_silent_third_is_unknown_and_not_idle_and_a_quiet_one_is() {
    let mut intake = fleet(300, 10);
    intake.give(s(10.95));
    let found = rates(&mut intake, 11, 40, |intake, at| second(intake, at, 100..300));
    assert!(found.iter().all(|rate| (rate / 24_000.0 - 1.0).abs() < 0.05), "{found:?}");
    assert_eq!(intake.hearing(s(41.0), 0), Some(Hearing::Silent));
    assert_eq!(intake.shown().proxies, [200, 0, 100, 0]);
    // They return together, with a report of thirty seconds each.
    for proxy in 0..100 {
        intake.take(s(41.0), told(proxy, 30.0, vec![line(0, 80 * 30)]));
    }
    let found =
        rates(&mut intake, 41, 50, |intake, at| second(intake, at, if at == 41 { 100..300 } else { 0..300 }));
    assert!(found.iter().all(|rate| (rate / 24_000.0 - 1.0).abs() < 0.05), "{found:?}");
    // One that says that nothing came is believed.
    let found = rates(&mut intake, 51, 80, |intake, at| {
        second(intake, at, 100..300);
        (0..100).for_each(|proxy| intake.take(s(f64::from(at)), told(proxy, 1.0, Vec::new())));
    });
    assert!((found.last().unwrap() / 16_000.0 - 1.0).abs() < 0.05, "{found:?}");
    assert_eq!(intake.hearing(s(81.0), 0), Some(Hearing::Quiet));
    intake.closed(s(81.0), 0);
    assert_eq!(intake.hearing(s(81.0), 0), Some(Hearing::Cut));
    assert!(conserved(&intake));
}

#[test]
fn a_cut_proxy_that_alone_tells_of_a_slice_is_vouched_for_and_then_let_go() {
    let mut intake = fleet(100, 10);
    intake.give(s(10.95));
    intake.closed(s(11.0), 0);
    let mut of_slice = Vec::new();
    for at in 11..=40 {
        second(&mut intake, at, 1..100);
        let given = intake.give(s(f64::from(at) + 0.95));
        // Slice 1 is told of by proxy 0 alone: some 23 tries a second.
        of_slice.push(rate(&given, 1).unwrap_or(0.0));
    }
    assert!(of_slice[1..9].iter().all(|rate| (rate - 23.0).abs() < 4.0), "{of_slice:?}");
    assert_eq!(of_slice[20..], [0.0; 10]);
    assert!(conserved(&intake));
}

#[test]
fn with_too_little_heard_nothing_is_given_and_nothing_lost() {
    let mut intake = fleet(100, 10);
    intake.give(s(10.95));
    let found = rates(&mut intake, 11, 20, |intake, at| second(intake, at, 0..10));
    // The tenth second itself, which all have told of, and nothing after it.
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(intake.shown().heard < 0.25 && intake.waiting() > 0 && conserved(&intake));
    let found = rates(&mut intake, 21, 35, |intake, at| second(intake, at, 0..100));
    assert!(!found.is_empty() && conserved(&intake));
}

#[test]
fn a_liar_is_believed_in_part_and_told_of() {
    let mut intake = fleet(500, 10);
    intake.give(s(10.95));
    let found = rates(&mut intake, 11, 12, |intake, at| {
        second(intake, at, 1..500);
        intake.take(s(f64::from(at)), told(0, 1.0, vec![line(0, 8000), line(1, 2000 + u64::from(at))]));
    });
    assert!(found.iter().all(|rate| (rate / 40_000.0 - 1.0).abs() < 0.02), "{found:?}");
    assert!(intake.ledger().doubted > 10_000 && conserved(&intake));
}

#[test]
fn a_report_that_comes_again_counts_once() {
    let mut intake = fleet(10, 3);
    let again = told(3, 1.0, vec![line(0, 77)]);
    intake.take(s(4.0), again.clone());
    intake.closed(s(4.1), 3);
    intake.opened(s(4.2), 3, 0);
    intake.take(s(4.3), again);
    assert_eq!(intake.ledger().repeated, 77);
    assert!(conserved(&intake));
}

#[test]
fn the_budget_holds_and_goes_to_what_changes_most_and_then_to_what_waits_longest() {
    let mut intake = Intake::new(Limits { lines_per_s: 5, ..Limits::default() }, 1);
    intake.opened(s(0.0), 0, 0);
    let mut given = BTreeSet::new();
    for at in 1..=20u32 {
        let lines = (0..40).map(|slice| line(slice, if slice == 33 { 900 } else { 10 })).collect();
        intake.take(s(f64::from(at)), told(0, 1.0, lines));
        let now = intake.give(s(f64::from(at) + 0.9));
        assert!(now.len() <= 5, "{at}: {}", now.len());
        if at == 2 {
            assert!(rate(&now, 33).is_some_and(|rate| rate > 800.0));
        }
        given.extend(now.iter().map(|given| given.key));
    }
    assert_eq!(given.len(), 40, "every line has its turn");
    assert!(conserved(&intake));
}

#[test]
fn slices_and_servers_that_are_not_ours_are_counted_and_memory_is_bounded() {
    let mut intake =
        Intake::new(Limits { keys_most: 100, report_lines_most: 10_000, ..Limits::default() }, 1);
    intake.take(s(1.0), told(0, 1.0, (0..10_000).map(|slice| line(slice, 1)).collect()));
    assert_eq!((intake.keys(), intake.ledger().foreign), (100, 9_900));
    intake.drop_slice(5);
    assert!(intake.keys() == 99 && conserved(&intake));
}

#[test]
fn who_is_late_is_asked_for_less() {
    let mut intake = fleet(3, 10);
    assert_eq!(intake.interval(0), s(1.0));
    for at in 1..=3 {
        intake.take(s(16.0), told(0, 1.0, vec![line(0, 80 + at)]));
    }
    assert_eq!((intake.interval(0), intake.interval(1)), (s(2.0), s(1.0)));
}

/// Anything in any order: counts are conserved and the budget holds at every step.
#[test]
fn counts_are_conserved_whatever_comes() {
    let play = |seed: u64, steps: usize| -> Result<(), String> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let limits = Limits { lines_per_s: 20, report_lines_most: 16, keys_most: 60, ..Limits::default() };
        let (mut intake, mut now, mut last) = (Intake::new(limits, seed), 0.0, None);
        for step in 0..steps {
            now += *[0.0, 0.01, 0.3, 1.0, 7.0].choose(&mut rng).unwrap();
            let proxy = rng.random_range(0..12);
            match rng.random_range(0..10) {
                0 => intake.opened(s(now), proxy, proxy as usize % 2),
                1 => intake.closed(s(now), proxy),
                2 => intake.drop_slice(rng.random_range(0..80)),
                3 => last.iter().cloned().for_each(|again| intake.take(s(now), again)),
                4 | 5 => {
                    let before = intake.ledger().given;
                    let given = intake.give(s(now));
                    if given.len() > 20 || (given.is_empty() && intake.ledger().given != before) {
                        return Err(format!("step {step}: {} lines", given.len()));
                    }
                }
                _ => {
                    let count = rng.random_range(0..40);
                    let lines =
                        (0..count).map(|_| line(rng.random_range(0..80), rng.random_range(0..50))).collect();
                    let stretch = *[0.0, 0.001, 0.5, 1.0, 30.0, 3600.0].choose(&mut rng).unwrap();
                    let one = Told { zone: proxy as usize % 2, ..told(proxy, stretch, lines) };
                    intake.take(s(now), one.clone());
                    last = Some(one);
                }
            }
            if !conserved(&intake) {
                return Err(format!("step {step}: {:?}, waiting {}", intake.ledger(), intake.waiting()));
            }
        }
        Ok(())
    };
    for seed in 0..400 {
        if let Err(why) = play(seed, 150) {
            let shortest = (0..=150).find(|steps| play(seed, *steps).is_err());
            panic!("seed {seed} fails after {shortest:?} steps: {why}");
        }
    }
}
