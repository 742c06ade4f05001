//! What is let in at servers whose queues grow or drain.

use super::super::tests::{ep, fleet, s};
use super::*;

const PERIOD: f64 = 1.0;

/// What a server tells of its load: RPCs that it holds and those of them that wait, on four cores.
fn load(in_hand: f64, waiting: f64) -> LoadReport {
    let cpu = Some((in_hand - waiting) / 4.0);
    LoadReport { cpu, in_hand: Some(in_hand), waiting: Some(waiting), service: None }
}

/// A period in which the server answers so many RPCs in so many seconds each, then tells of its load.
fn period(assigner: &mut Assigner, number: u32, oks: u64, wait: f64, load: LoadReport) -> Vec<Order> {
    let span = s(PERIOD);
    let met = Event::Met { ep: ep(0), zone: 0, tries: oks, lost: 0, wait: s(wait), span, load };
    let demand = Event::Demand { slice: 0, method: 0, rpcs: 40, lost: 0, span };
    let probed = Event::Probed { ep: ep(0), result: Probe::Ok, load };
    assigner.handle(s(101.0) + s(PERIOD) * number, &[met, demand, probed])
}

/// The lowest share that is ordered.
fn least_level(orders: &[Order]) -> f64 {
    let levels = orders.iter().filter_map(|order| match order {
        Order::Level { share, .. } => Some(*share),
        _ => None,
    });
    levels.fold(1.0, f64::min)
}

/// Guards against a queue that grows until answers are late before anything is refused.
#[test]
fn a_queue_that_a_server_reports_is_cut_before_answers_come_late() {
    let mut assigner = fleet(2, &[(0, 40.0)]);
    for number in 0..3 {
        assert_eq!(least_level(&period(&mut assigner, number, 40, 0.1, load(3.0, 0.0))), 1.0);
    }
    // Six rounds of RPCs at 0.1 s each wait there; those that have been answered so far did not wait yet.
    let orders = period(&mut assigner, 3, 40, 0.1, load(28.0, 24.0));
    assert!(least_level(&orders) < 0.9, "{orders:?}");
}

/// Guards against a server that stays shut for periods after its queue has drained.
#[test]
fn what_an_idle_server_could_do_is_let_in_again_soon() {
    let mut assigner = fleet(2, &[(0, 40.0)]);
    for number in 0..3 {
        period(&mut assigner, number, 40, 0.1, load(3.0, 0.0));
    }
    period(&mut assigner, 3, 40, 0.1, load(44.0, 40.0));
    for number in 4..8 {
        let mark = assigner.channel.last_ack_seq as u16;
        let acks = [0, 1].map(|proxy| Event::Acked { proxy, mark, way: s(0.1) });
        assigner.handle(s(100.5) + s(PERIOD) * number, &acks);
        period(&mut assigner, number, 30, 0.1, load(2.0, 0.0));
    }
    let told = &assigner.slices[0].published_levels;
    assert!(told.iter().all(|share| *share >= 0.95), "{told:?}");
}

/// Guards against a cold server that is pushed over by slices that were granted after its last report.
#[test]
fn what_was_just_granted_to_a_cold_server_is_let_in_only_in_part() {
    let mut assigner = fleet(2, &[(0, 20.0), (1, 40.0)]);
    assigner.servers[0].cpu = Some((0.5, assigner.now));
    assigner.servers[1].cpu = Some((0.1, assigner.now));
    assigner.servers[1].started_at = Some(assigner.now);
    let offered = assigner.load_snapshot().own_loads[1];
    assigner.set_criticality_cutoffs();
    let let_in = offered * (1.0 - assigner.servers[1].rejected_fraction);
    assert!(offered > MAX_COLD_LOAD && let_in <= MAX_COLD_LOAD, "{let_in:.2} of {offered:.2}");
}
