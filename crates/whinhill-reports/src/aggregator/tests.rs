use rand::seq::IndexedRandom;
use rand::Rng;

use super::*;

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn line(slice: usize, tries: u64) -> Line {
    let figures = Figures { tries, ok: tries, wait_ms: tries as f64, ..Figures::default() };
    Line { key: Key::Slice { slice, method: 0 }, figures }
}

fn report(proxy: ProxyId, interval: f64, lines: Vec<Line>) -> Report {
    Report { proxy, zone: 0, interval: Some(secs(interval)), unresolved_lines: 0, lines }
}

/// An aggregator after `seconds` reports of each proxy, of some 100 tries per second: 80 of a common slice, and the
/// others of a slice of its own.
fn aggregator_after(proxies: ProxyId, seconds: u32) -> ReportAggregator {
    let mut aggregator = ReportAggregator::new(Limits::default(), 1);
    (0..proxies).for_each(|proxy| aggregator.stream_opened(secs(0.0), proxy, 0));
    (1..=seconds).for_each(|at| report_second(&mut aggregator, at, 0..proxies));
    aggregator
}

/// Adds the reports of these proxies for one second.
fn report_second(aggregator: &mut ReportAggregator, at: u32, proxies: std::ops::Range<ProxyId>) {
    for proxy in proxies {
        // Reports arrive spread over time, and consecutive ones differ.
        let now = f64::from(at) + f64::from(proxy % 100) / 1000.0;
        let lines = vec![line(0, 80), line(1 + proxy as usize, 20 + u64::from(at % 7))];
        aggregator.add_report(secs(now), report(proxy, 1.0, lines));
    }
}

fn rate(given: &[MergedLine], slice: usize) -> Option<f64> {
    let one = given.iter().find(|given| given.key == Key::Slice { slice, method: 0 })?;
    Some(one.figures.tries as f64 / one.interval.as_secs_f64())
}

/// The common slice's rate in the output of each second from `from` to `to`; `each` adds the second's reports.
fn rates(
    aggregator: &mut ReportAggregator,
    from: u32,
    to: u32,
    mut each: impl FnMut(&mut ReportAggregator, u32),
) -> Vec<f64> {
    let next = |at| {
        each(aggregator, at);
        rate(&aggregator.output_due_lines(secs(f64::from(at) + 0.95)), 0)
    };
    (from..=to).filter_map(next).collect()
}

fn conserved(aggregator: &ReportAggregator) -> bool {
    aggregator.held_tries() == aggregator.count_held_tries()
        && aggregator.ledger().conserved(aggregator.held_tries())
}

#[test]
fn constant_load_is_output_as_a_constant_rate() {
    let mut aggregator = aggregator_after(50, 10);
    aggregator.output_due_lines(secs(10.95));
    let found = rates(&mut aggregator, 11, 30, |aggregator, at| report_second(aggregator, at, 0..50));
    assert_eq!(found.len(), 20);
    assert!(found.iter().all(|rate| (rate - 4000.0).abs() < 40.0), "{found:?}");
    assert!(conserved(&aggregator));
}

#[test]
fn backlog_of_a_minute_from_one_proxy_does_not_change_rates() {
    let mut aggregator = aggregator_after(500, 10);
    aggregator.output_due_lines(secs(10.95));
    // Proxy 0 sends nothing for a minute, and then all reports at once.
    let mut found = rates(&mut aggregator, 11, 70, |aggregator, at| report_second(aggregator, at, 1..500));
    for at in 11..=70 {
        aggregator.add_report(secs(70.96), report(0, 1.0, vec![line(0, 80), line(1, 20 + at % 7)]));
    }
    found.extend(rates(&mut aggregator, 71, 80, |aggregator, at| report_second(aggregator, at, 0..500)));
    assert!(found.iter().all(|rate| (rate / 40_000.0 - 1.0).abs() < 0.02), "{found:?}");
    assert!(aggregator.ledger().late > 3000 && conserved(&aggregator), "{:?}", aggregator.ledger());
}

#[test]
fn silent_proxies_are_extrapolated_and_quiet_ones_count_as_idle() {
    let mut aggregator = aggregator_after(300, 10);
    aggregator.output_due_lines(secs(10.95));
    let found = rates(&mut aggregator, 11, 40, |aggregator, at| report_second(aggregator, at, 100..300));
    assert!(found.iter().all(|rate| (rate / 24_000.0 - 1.0).abs() < 0.05), "{found:?}");
    assert_eq!(aggregator.reporting_state(secs(41.0), 0), Some(ReportingState::Unresponsive));
    assert_eq!(aggregator.stats().proxies_by_state, [200, 0, 100, 0]);
    // The silent proxies return at the same time, each with a report of thirty seconds.
    for proxy in 0..100 {
        aggregator.add_report(secs(41.0), report(proxy, 30.0, vec![line(0, 80 * 30)]));
    }
    let found = rates(&mut aggregator, 41, 50, |aggregator, at| {
        report_second(aggregator, at, if at == 41 { 100..300 } else { 0..300 })
    });
    assert!(found.iter().all(|rate| (rate / 24_000.0 - 1.0).abs() < 0.05), "{found:?}");
    // Reports without load are accepted.
    let found = rates(&mut aggregator, 51, 80, |aggregator, at| {
        report_second(aggregator, at, 100..300);
        (0..100).for_each(|proxy| aggregator.add_report(secs(f64::from(at)), report(proxy, 1.0, Vec::new())));
    });
    assert!((found.last().unwrap() / 16_000.0 - 1.0).abs() < 0.05, "{found:?}");
    assert_eq!(aggregator.reporting_state(secs(81.0), 0), Some(ReportingState::Idle));
    aggregator.stream_closed(secs(81.0), 0);
    assert_eq!(aggregator.reporting_state(secs(81.0), 0), Some(ReportingState::Disconnected));
    assert!(conserved(&aggregator));
}

#[test]
fn slice_of_a_disconnected_proxy_is_estimated_for_a_while_and_then_dropped() {
    let mut aggregator = aggregator_after(100, 10);
    aggregator.output_due_lines(secs(10.95));
    aggregator.stream_closed(secs(11.0), 0);
    let mut of_slice = Vec::new();
    for at in 11..=40 {
        report_second(&mut aggregator, at, 1..100);
        let given = aggregator.output_due_lines(secs(f64::from(at) + 0.95));
        // Only proxy 0 reports slice 1: some 23 tries per second.
        of_slice.push(rate(&given, 1).unwrap_or(0.0));
    }
    assert!(of_slice[1..9].iter().all(|rate| (rate - 23.0).abs() < 4.0), "{of_slice:?}");
    assert_eq!(of_slice[20..], [0.0; 10]);
    assert!(conserved(&aggregator));
}

#[test]
fn too_little_coverage_stops_output_and_loses_nothing() {
    let mut aggregator = aggregator_after(100, 10);
    aggregator.output_due_lines(secs(10.95));
    let found = rates(&mut aggregator, 11, 20, |aggregator, at| report_second(aggregator, at, 0..10));
    // Only the tenth second is output, which all proxies have reported.
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(aggregator.stats().coverage < 0.25 && aggregator.held_tries() > 0 && conserved(&aggregator));
    let found = rates(&mut aggregator, 21, 35, |aggregator, at| report_second(aggregator, at, 0..100));
    assert!(!found.is_empty() && conserved(&aggregator));
}

#[test]
fn outlier_is_accepted_in_part_and_counted() {
    let mut aggregator = aggregator_after(500, 10);
    aggregator.output_due_lines(secs(10.95));
    let found = rates(&mut aggregator, 11, 12, |aggregator, at| {
        report_second(aggregator, at, 1..500);
        aggregator.add_report(
            secs(f64::from(at)),
            report(0, 1.0, vec![line(0, 8000), line(1, 2000 + u64::from(at))]),
        );
    });
    assert!(found.iter().all(|rate| (rate / 40_000.0 - 1.0).abs() < 0.02), "{found:?}");
    assert!(aggregator.ledger().doubted > 10_000 && conserved(&aggregator));
}

#[test]
fn duplicate_report_counts_once() {
    let mut aggregator = aggregator_after(10, 3);
    let duplicate = report(3, 1.0, vec![line(0, 77)]);
    aggregator.add_report(secs(4.0), duplicate.clone());
    aggregator.stream_closed(secs(4.1), 3);
    aggregator.stream_opened(secs(4.2), 3, 0);
    aggregator.add_report(secs(4.3), duplicate);
    assert_eq!(aggregator.ledger().repeated, 77);
    assert!(conserved(&aggregator));
}

#[test]
fn budget_goes_to_the_greatest_changes_and_then_to_the_oldest_lines() {
    let mut aggregator = ReportAggregator::new(Limits { lines_per_s: 5, ..Limits::default() }, 1);
    aggregator.stream_opened(secs(0.0), 0, 0);
    let mut given = BTreeSet::new();
    for at in 1..=20u32 {
        let lines = (0..40).map(|slice| line(slice, if slice == 33 { 900 } else { 10 })).collect();
        aggregator.add_report(secs(f64::from(at)), report(0, 1.0, lines));
        let now = aggregator.output_due_lines(secs(f64::from(at) + 0.9));
        assert!(now.len() <= 5, "{at}: {}", now.len());
        if at == 2 {
            assert!(rate(&now, 33).is_some_and(|rate| rate > 800.0));
        }
        given.extend(now.iter().map(|given| given.key));
    }
    assert_eq!(given.len(), 40, "every line is output");
    assert!(conserved(&aggregator));
}

#[test]
fn keys_are_bounded_and_dropped_tries_are_counted() {
    let mut aggregator =
        ReportAggregator::new(Limits { max_keys: 100, max_report_lines: 10_000, ..Limits::default() }, 1);
    aggregator.add_report(secs(1.0), report(0, 1.0, (0..10_000).map(|slice| line(slice, 1)).collect()));
    assert_eq!((aggregator.keys(), aggregator.ledger().foreign), (100, 9_900));
    aggregator.drop_slice(5);
    assert!(aggregator.keys() == 99 && conserved(&aggregator));
}

#[test]
fn proxy_with_great_lag_gets_a_longer_interval() {
    let mut aggregator = aggregator_after(3, 10);
    assert_eq!(aggregator.reporting_interval(0), secs(1.0));
    for at in 1..=3 {
        aggregator.add_report(secs(16.0), report(0, 1.0, vec![line(0, 80 + at)]));
    }
    assert_eq!((aggregator.reporting_interval(0), aggregator.reporting_interval(1)), (secs(2.0), secs(1.0)));
}

/// Random calls in random order: all tries are accounted for and the budget holds at every step.
#[test]
fn random_calls_conserve_tries_and_keep_the_budget() {
    let run = |seed: u64, steps: usize| -> Result<(), String> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let limits = Limits { lines_per_s: 20, max_report_lines: 16, max_keys: 60, ..Limits::default() };
        let (mut aggregator, mut now, mut last) = (ReportAggregator::new(limits, seed), 0.0, None);
        for step in 0..steps {
            now += *[0.0, 0.01, 0.3, 1.0, 7.0].choose(&mut rng).unwrap();
            let proxy = rng.random_range(0..12);
            match rng.random_range(0..10) {
                0 => aggregator.stream_opened(secs(now), proxy, proxy as usize % 2),
                1 => aggregator.stream_closed(secs(now), proxy),
                2 => aggregator.drop_slice(rng.random_range(0..80)),
                3 => last.iter().cloned().for_each(|duplicate| aggregator.add_report(secs(now), duplicate)),
                4 | 5 => {
                    let before = aggregator.ledger().given;
                    let given = aggregator.output_due_lines(secs(now));
                    if given.len() > 20 || (given.is_empty() && aggregator.ledger().given != before) {
                        return Err(format!("step {step}: {} lines", given.len()));
                    }
                }
                _ => {
                    let count = rng.random_range(0..40);
                    let lines =
                        (0..count).map(|_| line(rng.random_range(0..80), rng.random_range(0..50))).collect();
                    let interval = *[0.0, 0.001, 0.5, 1.0, 30.0, 3600.0].choose(&mut rng).unwrap();
                    let one = Report { zone: proxy as usize % 2, ..report(proxy, interval, lines) };
                    aggregator.add_report(secs(now), one.clone());
                    last = Some(one);
                }
            }
            if !conserved(&aggregator) {
                return Err(format!(
                    "step {step}: {:?}, waiting {}",
                    aggregator.ledger(),
                    aggregator.held_tries()
                ));
            }
        }
        Ok(())
    };
    for seed in 0..400 {
        if let Err(why) = run(seed, 150) {
            let shortest = (0..=150).find(|steps| run(seed, *steps).is_err());
            panic!("seed {seed} fails after {shortest:?} steps: {why}");
        }
    }
}
