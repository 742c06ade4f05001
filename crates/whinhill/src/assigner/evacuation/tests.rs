//! Where slices go when servers leave and no other has room.

use super::super::tests::{ep, fleet, s};
use super::*;

const ASSIGNERS: usize = 5;
/// Slices that leave, and one that each assigner has at the warm server.
const LEAVING: usize = 25;
const SLICES: usize = LEAVING + ASSIGNERS;
/// One drains, one is warm and nearly full, and the others have just started.
const SERVERS: usize = 11;
const DRAINING: usize = 0;
const WARM: usize = 1;

/// One of five assigners: it has each fifth slice, and no server has room for what leaves the one that drains.
fn one_of_five(number: usize) -> Assigner {
    let mut assigner = fleet(SERVERS, &[(DRAINING, 20.0); SLICES]);
    assigner.slices[LEAVING..].iter_mut().for_each(|slice| slice.owner = Some(WARM));
    for slice in (0..SLICES).filter(|slice| slice % ASSIGNERS != number) {
        assigner.slices[slice] = Slice::default();
    }
    for server in WARM + 1..SERVERS {
        assigner.servers[server].started_at = Some(assigner.now);
    }
    assigner.servers[DRAINING].listed_status = Listed::Draining;
    assigner.servers[DRAINING].not_ready_since = assigner.now;
    assigner.servers[DRAINING].cpu = Some((0.9, assigner.now));
    assigner.servers[WARM].cpu = Some((0.75, assigner.now));
    assigner
}

/// Lets the drain of all slices take its way; the grants.
fn drained(assigner: &mut Assigner) -> Vec<usize> {
    let mut orders = assigner.handle(s(100.0), &[Event::Timer]);
    let acks = [0, 1].map(|proxy| Event::Acked { proxy, mark: 1, way: s(0.3) });
    orders.extend(assigner.handle(s(100.3), &acks));
    orders.extend(assigner.handle(s(101.6), &[Event::Timer]));
    let granted = orders.iter().filter_map(|order| match order {
        Order::Grant { ep, .. } => Some(ep.index),
        _ => None,
    });
    granted.collect()
}

/// Guards against assigners that all send what leaves a release to the one warm server, whatever it has already.
#[test]
fn slices_without_room_do_not_crowd_onto_the_only_warm_server() {
    let granted: Vec<usize> = (0..ASSIGNERS).flat_map(|number| drained(&mut one_of_five(number))).collect();
    assert_eq!(granted.len(), LEAVING);
    for server in 0..SERVERS {
        let here = granted.iter().filter(|granted| **granted == server).count();
        assert!(here * 2 < LEAVING, "{here} of {LEAVING} slices at server {server}: {granted:?}");
    }
}

/// Guards against a destination that was chosen before the servers that replace the drained ones had answered a probe.
#[test]
fn servers_that_are_seen_to_serve_before_the_grant_count_as_destinations() {
    let mut assigner = one_of_five(0);
    assigner.servers[WARM + 1..].iter_mut().for_each(|server| server.seen_serving = false);
    let mut orders = assigner.handle(s(100.0), &[Event::Timer]);
    let answered = |server| Event::Probed { ep: ep(server), result: Probe::Ok, load: LoadReport::default() };
    let answers: Vec<Event> = (WARM + 1..SERVERS).map(answered).collect();
    orders.extend(assigner.handle(s(100.2), &answers));
    let granted = drained(&mut assigner);
    assert_eq!(granted.len(), LEAVING / ASSIGNERS);
    assert!(granted.iter().any(|server| *server != WARM), "{granted:?}");
}

/// Guards against cold servers that are pushed over where no level holds them to their budgets.
#[test]
fn without_levels_slices_that_fit_nowhere_stay_away_from_cold_servers() {
    for admission in [Admission::Off, Admission::Rate] {
        let mut assigner = one_of_five(0);
        assigner.cfg.admission = admission;
        let granted = drained(&mut assigner);
        assert_eq!(granted, [WARM; LEAVING / ASSIGNERS], "{admission:?}");
    }
}
