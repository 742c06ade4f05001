//! Silence of servers: from the probe that is missed to what proxies are told.

use std::collections::BTreeSet;

use super::super::tests::{ep, fleet, met, s};
use super::*;

/// Reports of a server's probe, at a time.
fn probed(a: &mut Assigner, at: f64, server: usize, result: Probe) -> Vec<Order> {
    a.handle(s(at), &[Event::Probed { ep: ep(server), result, load: LoadReport::default() }])
}

/// A server misses probes, and nothing is told of ok answers for a period.
fn fall_silent(a: &mut Assigner, server: usize) {
    let since = a.now.as_secs_f64() + 0.1;
    probed(a, since, server, Probe::Unanswered);
    probed(a, since + 0.3, server, Probe::Unanswered);
    a.now += a.half + s(0.5);
    a.judge_health();
}

/// Servers with a slice each that may be probed, in the middle of a period.
fn probed_fleet(servers: usize) -> Assigner {
    let owners: Vec<(usize, f64)> = (0..servers).map(|server| (server, 10.0)).collect();
    let mut a = fleet(servers, &owners);
    a.cfg.probes = true;
    a.next_probes = s(100.5);
    a.now = s(100.0);
    a
}

fn shares(orders: &[Order]) -> Vec<(SliceId, f64, MethodMask)> {
    let level = |order: &Order| match order {
        Order::Level { slice, share, methods, .. } => Some((*slice, *share, *methods)),
        _ => None,
    };
    orders.iter().filter_map(level).collect()
}

fn is_probed(orders: &[Order], server: usize) -> bool {
    orders.contains(&Order::Probe { ep: ep(server) })
}

fn loses_line(orders: &[Order], slice: SliceId, server: usize) -> bool {
    orders.contains(&Order::Revoke { slice, ep: ep(server) })
}

#[test]
fn a_server_that_misses_a_probe_is_shut_out_and_asked_again_at_once() {
    let mut a = probed_fleet(4);
    let orders = probed(&mut a, 100.1, 0, Probe::Unanswered);
    assert!(is_probed(&orders, 0));
    // One line for all methods.
    assert_eq!(shares(&orders), [(0, 0.0, 0b11)]);
    assert!(!loses_line(&orders, 0, 0));
    let orders = probed(&mut a, 100.2, 0, Probe::Ok);
    assert_eq!(shares(&orders), [(0, 1.0, 0b11)]);
    assert_eq!(a.servers[0].sick, None);
}

#[test]
fn a_suspected_server_loses_its_slices_once_no_ok_answers_are_told_of() {
    let mut a = probed_fleet(4);
    fall_silent(&mut a, 0);
    assert!(a.servers[0].sick.is_some());
    let at = a.now;
    assert!(loses_line(&a.handle(at, &[Event::Timer]), 0, 0));
}

#[test]
fn a_server_that_serves_and_answers_no_probe_keeps_its_slices() {
    let mut a = probed_fleet(4);
    for at in [100.1, 101.0, 102.0, 103.0] {
        a.now = s(at);
        met(&mut a, 0, 20, 0, 0.1);
        probed(&mut a, at, 0, Probe::Unanswered);
        assert!(a.slices[0].shut);
    }
    // What is told of now was answered after the first missed probe.
    a.now = s(103.2);
    met(&mut a, 0, 20, 0, 0.1);
    probed(&mut a, 103.2, 0, Probe::Unanswered);
    assert!(!a.slices[0].shut);
    assert_eq!(a.servers[0].sick, None);
}

#[test]
fn no_slice_goes_to_a_suspected_server() {
    let mut a = probed_fleet(3);
    probed(&mut a, 100.1, 1, Probe::Unanswered);
    assert_eq!(a.view().rooms[1], 0.0);
}

#[test]
fn a_probe_that_waits_behind_rpcs_is_no_silence() {
    let mut a = probed_fleet(4);
    a.servers[0].base = Some(0.1);
    met(&mut a, 0, 20, 0, 0.6);
    a.judge();
    let orders = probed(&mut a, 100.1, 0, Probe::Unanswered);
    assert_eq!(shares(&orders), []);
    probed(&mut a, 100.4, 0, Probe::Unanswered);
    assert_eq!(a.servers[0].sick, None);
}

#[test]
fn a_zone_that_falls_silent_is_shut_out_first_and_its_slices_stay() {
    let mut a = probed_fleet(4);
    (0..2).for_each(|server| a.servers[server].zone = 1);
    for at in [100.1, 100.4] {
        (0..2).for_each(|server| drop(probed(&mut a, at, server, Probe::Unanswered)));
    }
    assert!(a.slices[..2].iter().all(|slice| slice.shut && slice.handover.is_none()));
    // Its proxies stay: then it is the servers.
    a.now = s(100.1) + ZONE_SETTLES;
    (2..4).for_each(|server| met(&mut a, server, 20, 0, 0.1));
    a.judge_health();
    assert!(a.servers[..2].iter().all(|server| server.sick.is_some()));
    assert!(a.servers[2..].iter().all(|server| server.sick.is_none()));
}

#[test]
fn a_server_that_served_all_along_comes_back_and_its_probes_count_no_more() {
    let mut a = probed_fleet(4);
    fall_silent(&mut a, 0);
    assert!(a.servers[0].sick.is_some());
    // Late reports tell that what was sent until its line ended was answered.
    met(&mut a, 0, 40, 0, 0.1);
    a.now += UNANSWERED_FOR + SICK_FOR;
    a.judge_health();
    assert_eq!(a.servers[0].sick, None);
    let at = a.now.as_secs_f64();
    (1..4).for_each(|i| drop(probed(&mut a, at + f64::from(i) * 0.1, 0, Probe::Unanswered)));
    assert_eq!(a.servers[0].sick, None);
    assert!(!a.servers[0].suspected);
}

#[test]
fn a_server_that_lost_what_was_sent_stays_away_until_it_answers() {
    let mut a = probed_fleet(4);
    fall_silent(&mut a, 0);
    met(&mut a, 0, 40, 20, 0.1);
    a.now += UNANSWERED_FOR + SICK_FOR;
    a.judge_health();
    assert!(a.servers[0].sick.is_some());
}

#[test]
fn every_server_is_probed_three_times_a_period_unless_that_costs_too_many_rpcs() {
    let rounds = |rpcs: f64| {
        let mut a = probed_fleet(4);
        a.came[0].add(a.now, a.half, rpcs, a.half);
        let mut rounds = BTreeSet::new();
        for tick in 0..20 {
            let at = 101.0 + f64::from(tick) * 0.05;
            if is_probed(&a.handle(s(at), &[Event::Timer]), 3) {
                rounds.insert(tick);
            }
        }
        rounds.len()
    };
    assert_eq!((rounds(1e6), rounds(90.0), rounds(1.0)), (3, 2, 1));
}
