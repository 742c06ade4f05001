//! Destinations of slices whose server drains while no other server has headroom.

use super::super::tests::{assigner_with, endpoint, secs};
use super::*;

const ASSIGNERS: usize = 5;
/// Slices at the draining server; each assigner has one more slice, at the warm server.
const LEAVING: usize = 25;
const SLICES: usize = LEAVING + ASSIGNERS;
/// One server drains, one is warm and nearly full, and the others have just started.
const SERVERS: usize = 11;
const DRAINING: usize = 0;
const WARM: usize = 1;

/// One of five assigners, with every fifth slice. No server has headroom for the slices of the draining server.
fn one_of_five(number: usize) -> Assigner {
    let mut assigner = assigner_with(SERVERS, &[(DRAINING, 20.0); SLICES]);
    assigner.slices[LEAVING..].iter_mut().for_each(|slice| slice.owner = Some(WARM));
    for slice in (0..SLICES).filter(|slice| slice % ASSIGNERS != number) {
        assigner.slices[slice] = Slice::default();
    }
    for server in WARM + 1..SERVERS {
        assigner.servers[server].started_at = Some(assigner.now);
    }
    assigner.servers[DRAINING].listed_status = ListedStatus::Draining;
    assigner.servers[DRAINING].not_ready_since = assigner.now;
    assigner.servers[DRAINING].cpu = Some((0.9, assigner.now));
    assigner.servers[WARM].cpu = Some((0.75, assigner.now));
    assigner
}

/// Runs the drain of all slices; returns the servers that were granted them.
fn run_drain(assigner: &mut Assigner) -> Vec<usize> {
    let mut orders = assigner.handle(secs(100.0), &[Event::Timer]);
    let acks = [0, 1].map(|proxy| Event::Acked { proxy, ack_seq: 1, transit: secs(0.3) });
    orders.extend(assigner.handle(secs(100.3), &acks));
    orders.extend(assigner.handle(secs(101.6), &[Event::Timer]));
    let destinations = orders.iter().filter_map(|order| match order {
        Order::Grant { endpoint, .. } => Some(endpoint.index),
        _ => None,
    });
    destinations.collect()
}

/// In a release, the assigners must not all move the slices of draining servers to the one warm server, whatever its
/// load.
#[test]
fn slices_without_headroom_do_not_all_move_to_only_warm_server() {
    let granted: Vec<usize> = (0..ASSIGNERS).flat_map(|number| run_drain(&mut one_of_five(number))).collect();
    assert_eq!(granted.len(), LEAVING);
    for server in 0..SERVERS {
        let slices_here = granted.iter().filter(|granted| **granted == server).count();
        assert!(
            slices_here * 2 < LEAVING,
            "{slices_here} of {LEAVING} slices at server {server}: {granted:?}"
        );
    }
}

/// The destination must not be chosen before the servers that replace the drained ones have answered a probe.
#[test]
fn servers_confirmed_before_grant_become_destinations() {
    let mut assigner = one_of_five(0);
    assigner.servers[WARM + 1..].iter_mut().for_each(|server| server.seen_serving = false);
    let mut orders = assigner.handle(secs(100.0), &[Event::Timer]);
    let answer = |server| Event::Probed {
        endpoint: endpoint(server),
        result: ProbeOutcome::Ok,
        load: LoadReport::default(),
    };
    let answers: Vec<Event> = (WARM + 1..SERVERS).map(answer).collect();
    orders.extend(assigner.handle(secs(100.2), &answers));
    let granted = run_drain(&mut assigner);
    assert_eq!(granted.len(), LEAVING / ASSIGNERS);
    assert!(granted.iter().any(|server| *server != WARM), "{granted:?}");
}

/// Cold servers must not be overloaded when no level limits them to their budgets.
#[test]
fn slices_without_headroom_avoid_cold_servers_when_levels_are_no_shares() {
    for admission in [Admission::Off, Admission::Rate] {
        let mut assigner = one_of_five(0);
        assigner.cfg.admission = admission;
        let granted = run_drain(&mut assigner);
        assert_eq!(granted, [WARM; LEAVING / ASSIGNERS], "{admission:?}");
    }
}
