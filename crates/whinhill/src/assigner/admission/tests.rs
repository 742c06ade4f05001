//! Admission at servers whose queues grow or drain, and at cold servers.

use super::super::tests::{assigner_with, endpoint, secs};
use super::*;

const PERIOD: f64 = 1.0;

/// The load report of a server with four cores: its RPCs in flight, and those of them that are queued.
fn load(in_flight: f64, queued: f64) -> LoadReport {
    let cpu = Some((in_flight - queued) / 4.0);
    LoadReport { cpu, in_flight: Some(in_flight), queued: Some(queued), service_time: None }
}

/// Runs one period in which server 0 answers `oks` RPCs after `wait` seconds each and then reports its load.
fn run_period(assigner: &mut Assigner, number: u32, oks: u64, wait: f64, load: LoadReport) -> Vec<Order> {
    let interval = secs(PERIOD);
    let tries = Event::TryReport {
        endpoint: endpoint(0),
        zone: 0,
        tries: oks,
        lost: 0,
        mean_wait: secs(wait),
        interval,
        load,
    };
    let demand = Event::Demand { slice: 0, method: 0, rpcs: 40, lost: 0, interval };
    let probed = Event::Probed { endpoint: endpoint(0), result: ProbeOutcome::Ok, load };
    assigner.handle(secs(101.0) + secs(PERIOD) * number, &[tries, demand, probed])
}

/// The lowest level that is ordered; 1.0 if none is.
fn lowest_level(orders: &[Order]) -> f64 {
    let levels = orders.iter().filter_map(|order| match order {
        Order::Level { level, .. } => Some(*level),
        _ => None,
    });
    levels.fold(1.0, f64::min)
}

/// A growing queue must lead to rejections before answers are late.
#[test]
fn reported_queue_lowers_level_before_answers_are_late() {
    let mut assigner = assigner_with(2, &[(0, 40.0)]);
    for number in 0..3 {
        assert_eq!(lowest_level(&run_period(&mut assigner, number, 40, 0.1, load(3.0, 0.0))), 1.0);
    }
    // The queue is six times what the server runs at once, at 0.1 s each; the RPCs answered so far were not queued.
    let orders = run_period(&mut assigner, 3, 40, 0.1, load(28.0, 24.0));
    assert!(lowest_level(&orders) < 0.9, "{orders:?}");
}

/// A server whose queue has drained must not be limited for several more periods.
#[test]
fn level_recovers_soon_after_queue_has_drained() {
    let mut assigner = assigner_with(2, &[(0, 40.0)]);
    for number in 0..3 {
        run_period(&mut assigner, number, 40, 0.1, load(3.0, 0.0));
    }
    run_period(&mut assigner, 3, 40, 0.1, load(44.0, 40.0));
    for number in 4..8 {
        let ack_seq = assigner.channel.last_ack_seq as u16;
        let acks = [0, 1].map(|proxy| Event::Acked { proxy, ack_seq, transit: secs(0.1) });
        assigner.handle(secs(100.5) + secs(PERIOD) * number, &acks);
        run_period(&mut assigner, number, 30, 0.1, load(2.0, 0.0));
    }
    let published = &assigner.slices[0].published_levels;
    assert!(published.iter().all(|level| *level >= 0.95), "{published:?}");
}

/// Slices that were granted after the last report of a cold server must not overload it.
#[test]
fn slice_just_granted_to_cold_server_is_admitted_only_in_part() {
    let mut assigner = assigner_with(2, &[(0, 20.0), (1, 40.0)]);
    assigner.servers[0].cpu = Some((0.5, assigner.now));
    assigner.servers[1].cpu = Some((0.1, assigner.now));
    assigner.servers[1].started_at = Some(assigner.now);
    let offered = assigner.load_snapshot().own_loads[1];
    assigner.set_criticality_cutoffs();
    let admitted = offered * (1.0 - assigner.servers[1].rejected_fraction);
    assert!(offered > MAX_COLD_LOAD && admitted <= MAX_COLD_LOAD, "{admitted:.2} of {offered:.2}");
}

/// Guards against a cold or overloaded server that gets more than its levels admit: the store had reset the levels of a
/// slice that was taken away and given back while the watch was broken, and the module counted them as published.
#[test]
fn levels_that_may_have_been_reset_are_ordered_again_once_the_channel_has_room() {
    let mut assigner = assigner_with(2, &[(0, 40.0), (1, 40.0)]);
    assigner.slices[0].published_levels = vec![0.4, 1.0];
    let orders_of = |assigner: &mut Assigner, at: f64, events: &[Event]| {
        let orders = assigner.handle(secs(at), events);
        orders.into_iter().filter(|order| matches!(order, Order::Level { .. })).collect::<Vec<_>>()
    };
    assert_eq!(orders_of(&mut assigner, 100.1, &[Event::Timer]), []);
    assigner.channel.queued_lines = 0.5 * assigner.cfg.max_backlog_lines;
    assert_eq!(orders_of(&mut assigner, 100.2, &[Event::LevelsLost]), [], "the channel is filled");
    assigner.channel.queued_lines = 0.0;
    let tries = assigner.cfg.tries;
    let again = Order::Level { slice: 0, level: 0.4, methods: 0b01, tries };
    assert_eq!(orders_of(&mut assigner, 100.3, &[Event::Timer]), [again]);
    assert_eq!(orders_of(&mut assigner, 100.4, &[Event::Timer]), [], "they were ordered");
}
