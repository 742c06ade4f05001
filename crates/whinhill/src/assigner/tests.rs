//! Tests of the assigner's decisions. Each builds the state that it needs and mostly calls one function.

use super::*;

/// Settings of most tests; the number of slices is appended.
const SETTINGS: &str = "discovery=subscribe rules.mustAskIn=10000 caps.mayProbe=0 classes.count=2 \
    classes.0.objective=1000 classes.0.points=1 classes.1.objective=1000 classes.1.points=5 \
    familyInfo.mutating=false,true familyInfo.retryDefault=0 familyInfo.period=1000 familyInfo.writeLease=4000 \
    familyInfo.inFlightMax=1200 rules.stopSendingWithin=2000 familyInfo.transitMax=800 rules.warmAfter=10000 \
    rules.coldFrom=0.2 rules.fallMultiple=3 familyInfo.overhead=8 familyInfo.linesPerS=4000 \
    familyInfo.backlog=6000 familyInfo.messagesMost=0 familyInfo.reloadSpan=10000 familyInfo.shards=";

/// Shorthand for a duration in seconds.
pub(super) fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// The endpoint of a server, with a stable id made from its index.
pub(super) fn endpoint(index: usize) -> EndpointId {
    EndpointId { index, stable_id: (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) }
}

/// An assigner at 100 s with ready servers, two joined proxies, and one slice for each pair of an owner and a demand.
pub(super) fn assigner_with(servers: usize, slices: &[(usize, f64)]) -> Assigner {
    let text = format!("{SETTINGS}{}", slices.len());
    let pairs = text.split_whitespace().map(|pair| pair.split_once('=').unwrap());
    let settings = Settings(pairs.map(|(path, value)| (path.to_string(), value.to_string())).collect());
    let mut assigner = Assigner::new(&settings, 7).unwrap();
    assigner.now = secs(100.0);
    assigner.next_period_at = secs(101.0);
    assigner.subscription.request_at = Some(secs(200.0));
    for index in 0..servers {
        *assigner.server_mut(endpoint(index)) = Server {
            endpoint: endpoint(index),
            listed_status: ListedStatus::Ready,
            seen_serving: true,
            size: 1.0,
            last_ok_at: assigner.now,
            ..Server::default()
        };
    }
    assigner.proxies = [0, 1].map(|id| (id, Proxy { zone: 0, joined: true, state_since: secs(0.0) })).into();
    for (slice, (owner, demand)) in assigner.slices.iter_mut().zip(slices) {
        let sum = demand * assigner.cfg.period.as_secs_f64() / std::f64::consts::LN_2;
        *slice = Slice {
            in_custody: true,
            owner: Some(*owner),
            demand: DecayingSum { value: sum, updated_at: assigner.now },
            published_levels: vec![1.0, 1.0],
            ..Slice::default()
        };
    }
    assigner.rank_servers();
    assigner
}

/// The slices and servers of the grants among some orders.
fn grants(orders: &[Order]) -> Vec<(SliceId, usize)> {
    let grant = |order: &Order| match order {
        Order::Grant { slice, endpoint } => Some((*slice, endpoint.index)),
        _ => None,
    };
    orders.iter().filter_map(grant).collect()
}

/// Whether some orders reject all RPCs of a slice by levels, reads too, and leave its line.
pub(super) fn stop_all_rpcs(orders: &[Order], id: SliceId) -> bool {
    let rejects_reads = |order: &Order| match order {
        Order::Level { slice, level, methods, .. } => *slice == id && *level == 0.0 && methods & 1 != 0,
        _ => false,
    };
    orders.iter().any(rejects_reads) && !orders.iter().any(|order| revokes_line(order, id))
}

/// Whether an order revokes the line of a slice.
pub(super) fn revokes_line(order: &Order, id: SliceId) -> bool {
    matches!(order, Order::Revoke { slice, .. } if *slice == id)
}

/// An ack whose message took effect after 0.3 s.
fn ack(proxy: ProxyId, ack_seq: u16) -> Event {
    Event::Acked { proxy, ack_seq, transit: secs(0.3) }
}

/// A list entry of a server, in zone 0 and started long ago.
fn list_entry(index: usize, status: ListedStatus) -> ServerEntry {
    ServerEntry { endpoint: endpoint(index), zone: 0, status, size: 1.0, started: None }
}

/// A list update with some entries.
fn list_changes(entries: Vec<ServerEntry>) -> Event {
    Event::List { kind: ListKind::Changes, entries }
}

/// An assigner that has started to move slice 0 from server 0 to server 1.
fn assigner_with_handover() -> Assigner {
    let mut assigner = assigner_with(3, &[(0, 1.0)]);
    assigner.start_handover(0, Some(1), false);
    let orders = assigner.handle(secs(100.0), &[Event::Timer]);
    let write_stop = Order::Level { slice: 0, level: 0.0, methods: 2, tries: 0 };
    assert!(orders.contains(&write_stop) && orders.contains(&Order::RequestAck { ack_seq: 1 }));
    assigner
}

#[test]
fn move_waits_for_every_ack_and_settle_time_before_grant() {
    let mut assigner = assigner_with_handover();
    assigner.handle(secs(100.4), &[ack(0, 1)]);
    assert_eq!(grants(&assigner.handle(secs(102.0), &[Event::Timer])), []);
    assigner.handle(secs(102.5), &[Event::Acked { proxy: 1, ack_seq: 1, transit: secs(2.2) }]);
    assert_eq!(grants(&assigner.handle(secs(103.3), &[Event::Timer])), []);
    let orders = assigner.handle(secs(103.5), &[Event::Timer]);
    assert_eq!(grants(&orders), [(0, 1)]);
    assert!(orders.contains(&Order::Level { slice: 0, level: 1.0, methods: 2, tries: 0 }));
}

#[test]
fn grant_waits_for_write_lease_of_disconnected_proxy() {
    let mut assigner = assigner_with_handover();
    assigner.handle(secs(100.5), &[ack(0, 1), Event::ProxyLeft { proxy: 1 }]);
    assert_eq!(grants(&assigner.handle(secs(105.6), &[Event::Timer])), []);
    assert_eq!(grants(&assigner.handle(secs(105.8), &[Event::Timer])), [(0, 1)]);
}

#[test]
fn grant_waits_for_ack_of_proxy_that_joins_during_handover() {
    let mut assigner = assigner_with_handover();
    let orders =
        assigner.handle(secs(100.5), &[ack(0, 1), ack(1, 1), Event::ProxyJoined { proxy: 2, zone: 0 }]);
    assert!(orders.contains(&Order::RequestAck { ack_seq: 2 }));
    assert_eq!(grants(&assigner.handle(secs(103.0), &[Event::Timer])), []);
    assert_eq!(
        grants(&assigner.handle(secs(104.5), &[Event::Acked { proxy: 2, ack_seq: 2, transit: secs(0.4) }])),
        [(0, 1)]
    );
}

#[test]
fn acknowledged_proxies_that_restart_do_not_delay_grant() {
    let mut assigner = assigner_with_handover();
    assigner
        .handle(secs(100.1), &[list_changes(vec![list_entry(0, ListedStatus::Gone)]), ack(0, 1), ack(1, 1)]);
    for (at, proxy) in [(100.5, 0), (101.0, 1)] {
        assigner.handle(secs(at), &[Event::ProxyLeft { proxy }, Event::ProxyJoined { proxy, zone: 0 }]);
    }
    assert_eq!(grants(&assigner.handle(secs(101.4), &[Event::Timer])), [(0, 1)]);
}

#[test]
fn owner_gone_during_handover_is_sent_nothing_at_once() {
    let mut assigner = assigner_with_handover();
    let orders = assigner.handle(secs(100.1), &[list_changes(vec![list_entry(0, ListedStatus::Gone)])]);
    assert!(stop_all_rpcs(&orders, 0), "{orders:?}");
}

#[test]
fn destination_gone_during_handover_leaves_slice_at_owner() {
    let mut assigner = assigner_with_handover();
    assigner
        .handle(secs(100.1), &[list_changes(vec![list_entry(1, ListedStatus::Gone)]), ack(0, 1), ack(1, 1)]);
    let orders = assigner.handle(secs(102.0), &[Event::Timer]);
    assert_eq!(grants(&orders), []);
    assert!(orders.contains(&Order::Level { slice: 0, level: 1.0, methods: 2, tries: 0 }));
    assert_eq!(assigner.slices[0].owner, Some(0));
}

#[test]
fn unhealthy_owner_regains_slice_when_no_other_server_is_ready() {
    let mut assigner = assigner_with_handover();
    assigner.servers[0].unhealthy_until = Some(secs(200.0));
    assigner.handle(secs(100.1), &[Event::Timer]);
    let others_gone =
        list_changes(vec![list_entry(1, ListedStatus::Gone), list_entry(2, ListedStatus::Gone)]);
    assigner.handle(secs(100.5), &[others_gone, ack(0, 1), ack(1, 1)]);
    // Its line has stayed, so that only the levels change.
    let orders = assigner.handle(secs(102.5), &[Event::Timer]);
    assert!(orders.contains(&Order::Level { slice: 0, level: 1.0, methods: 3, tries: 0 }), "{orders:?}");
    assert_eq!((grants(&orders), assigner.owner(0), assigner.has_handover(0)), (vec![], Some(0), false));
}

#[test]
fn slice_released_during_handover_is_not_granted() {
    let mut assigner = assigner_with_handover();
    assigner.handle(secs(100.1), &[Event::SliceReleased { slice: 0 }, ack(0, 1), ack(1, 1)]);
    assert_eq!(grants(&assigner.handle(secs(110.0), &[Event::Timer])), []);
}

#[test]
fn slice_acquired_without_owner_waits_for_write_lease() {
    let mut assigner = assigner_with(2, &[(0, 1.0)]);
    assigner.handle(secs(100.0), &[Event::SliceAcquired { slice: 0 }]);
    assert_eq!(grants(&assigner.handle(secs(105.1), &[Event::Timer])), []);
    assert_eq!(grants(&assigner.handle(secs(105.3), &[Event::Timer])).len(), 1);
}

/// An empty list takes effect like any other; the assigner must recover when servers are listed again.
#[test]
fn next_ready_server_gets_slices_after_empty_list() {
    let mut assigner = assigner_with(2, &[(0, 1.0)]);
    let empty = Event::List { kind: ListKind::Full, entries: vec![] };
    assert!(stop_all_rpcs(&assigner.handle(secs(100.0), &[empty]), 0));
    assigner.handle(secs(100.5), &[ack(0, 1), ack(1, 1)]);
    assert_eq!(grants(&assigner.handle(secs(103.0), &[Event::Timer])), []);
    let server_back = Event::List { kind: ListKind::Full, entries: vec![list_entry(1, ListedStatus::Ready)] };
    assert_eq!(grants(&assigner.handle(secs(103.1), &[server_back])), [(0, 1)]);
}

/// When all servers are replaced under new names, the state of the gone ones must not pile up.
#[test]
fn index_of_gone_server_is_reused_once_it_owns_no_slice() {
    let mut assigner = assigner_with(3, &[(0, 1.0)]);
    assert!(
        !assigner.can_reuse_index(0) && !assigner.can_reuse_index(1),
        "server 0 owns a slice, server 1 is ready"
    );
    assigner.handle(
        secs(100.0),
        &[list_changes(vec![list_entry(0, ListedStatus::Gone), list_entry(1, ListedStatus::Gone)])],
    );
    assert!(!assigner.can_reuse_index(0) && assigner.can_reuse_index(1), "server 0 still owns a slice");
    assigner.servers[1].learned_limit = Some(1.0);
    let other_endpoint = EndpointId { index: 1, stable_id: 77 };
    let entry = ServerEntry { endpoint: other_endpoint, ..list_entry(1, ListedStatus::Ready) };
    assigner.handle(secs(100.1), &[list_changes(vec![entry])]);
    assert_eq!(
        (assigner.servers[1].endpoint, assigner.servers[1].learned_limit, assigner.servers[1].seen_serving),
        (other_endpoint, None, false)
    );
    assert!(assigner.rendezvous_order.iter().all(|order| order.len() == 3));
}

/// In a planned restart of assigners, a slice without an owner must not wait for a write lease at each assigner that
/// acquires it.
#[test]
fn slice_acquired_without_owner_is_granted_after_all_known_proxies_ack() {
    for (total_proxies, granted) in [(2, true), (3, false)] {
        let mut assigner = assigner_with(2, &[(0, 1.0)]);
        assigner.cfg.total_proxies = total_proxies;
        assert!(assigner
            .handle(secs(100.0), &[Event::SliceAcquired { slice: 0 }])
            .contains(&Order::RequestAck { ack_seq: 1 }));
        assigner.handle(secs(100.5), &[ack(0, 1)]);
        assert_eq!(
            grants(&assigner.handle(secs(101.9), &[Event::Timer])),
            [],
            "one proxy has not acknowledged"
        );
        assert_eq!(
            grants(&assigner.handle(secs(102.0), &[ack(1, 1)])).len() == 1,
            granted,
            "of {total_proxies} proxies"
        );
    }
}

#[test]
fn move_of_acquired_slice_needs_no_lease_when_all_known_proxies_ack() {
    let mut assigner = assigner_with(2, &[(0, 1.0)]);
    assigner.cfg.total_proxies = 2;
    assigner.handle(
        secs(100.0),
        &[Event::SliceAcquired { slice: 0 }, Event::StoredOwner { slice: 0, endpoint: endpoint(0) }],
    );
    assigner.handle(secs(100.1), &[list_changes(vec![list_entry(0, ListedStatus::Gone)])]);
    assert_eq!(grants(&assigner.handle(secs(101.0), &[ack(0, 1), ack(1, 1)])), []);
    assert_eq!(grants(&assigner.handle(secs(102.3), &[Event::Timer])), [(0, 1)]);
}

#[test]
fn move_of_acquired_slice_waits_for_lease_when_proxy_count_is_unknown() {
    let mut assigner = assigner_with(2, &[(0, 1.0)]);
    assigner.handle(
        secs(100.0),
        &[Event::SliceAcquired { slice: 0 }, Event::StoredOwner { slice: 0, endpoint: endpoint(0) }],
    );
    assigner.handle(secs(100.1), &[list_changes(vec![list_entry(0, ListedStatus::Gone)])]);
    assert_eq!(grants(&assigner.handle(secs(101.0), &[ack(0, 1), ack(1, 1)])), []);
    assert_eq!(grants(&assigner.handle(secs(105.1), &[Event::Timer])), []);
    assert_eq!(grants(&assigner.handle(secs(105.3), &[Event::Timer])), [(0, 1)]);
}

#[test]
fn drain_stops_writes_first_and_all_rpcs_within_grace() {
    let mut assigner = assigner_with(2, &[(0, 1.0)]);
    let orders = assigner.handle(secs(100.0), &[list_changes(vec![list_entry(0, ListedStatus::Draining)])]);
    assert!(orders.contains(&Order::Level { slice: 0, level: 0.0, methods: 2, tries: 0 }));
    assert!(!stop_all_rpcs(&orders, 0) && !orders.iter().any(|order| revokes_line(order, 0)));
    let orders = assigner.handle(secs(100.9), &[Event::Timer]);
    assert!(stop_all_rpcs(&orders, 0), "{orders:?}");
}

/// A snapshot in which a unit of demand is a unit of load and every server offers all its headroom.
fn unit_load_snapshot(assigner: &Assigner) -> LoadSnapshot {
    let demand = assigner.demand();
    let loads = assigner.demand_by_server(&demand, |slice| slice.owner);
    let headroom = loads.iter().map(|load| (HOT_LOAD - load).max(0.0)).collect();
    let average_load = loads.iter().sum::<f64>() / loads.len() as f64;
    LoadSnapshot {
        own_loads: loads.clone(),
        load_per_demand: vec![1.0; loads.len()],
        loads,
        headroom,
        demand,
        average_load,
        ..LoadSnapshot::default()
    }
}

#[test]
fn elimination_moves_least_demand_that_cools_hot_server() {
    let assigner = assigner_with(3, &[(0, 0.5), (0, 0.3), (0, 0.2), (1, 0.3), (2, 0.3)]);
    let moves = assigner.greedy_moves(&unit_load_snapshot(&assigner), HOT_LOAD, false).unwrap();
    assert_eq!(moves.iter().map(|(slice, _)| *slice).collect::<Vec<_>>(), [2]);
}

#[test]
fn skew_starts_no_moves_until_answers_queue() {
    let mut assigner = assigner_with(3, &[(0, 0.9), (0, 0.9), (1, 0.3), (2, 0.3)]);
    (0..2 * MIN_SKEWED_ROUNDS).for_each(|_| assigner.make_plan());
    assert!(assigner.plan.pending_batches.is_empty());
    report_tries(&mut assigner, 0, 40, 0, 0.4);
    assigner.servers[0].baseline_wait = Some(0.1);
    (0..MIN_SKEWED_ROUNDS).for_each(|_| assigner.make_plan());
    assert!(!assigner.plan.pending_batches.is_empty());
}

#[test]
fn leveling_finds_no_moves_when_loads_are_equal() {
    let assigner = assigner_with(3, &[(0, 0.3), (1, 0.3), (2, 0.3)]);
    assert_eq!(assigner.greedy_moves(&unit_load_snapshot(&assigner), 0.33, false), Some(vec![]));
}

#[test]
fn mitigation_reduces_overload_when_elimination_fails() {
    let assigner = assigner_with(2, &[(0, 0.55), (0, 0.55), (0, 0.5), (1, 0.2)]);
    let snapshot = unit_load_snapshot(&assigner);
    assert_eq!(assigner.greedy_moves(&snapshot, HOT_LOAD, false), None);
    let moves = assigner.greedy_moves(&snapshot, HOT_LOAD, true).unwrap();
    assert_eq!(moves.len(), 1);
    assert_eq!(moves[0].1, 1);
}

#[test]
fn move_that_exceeds_destination_headroom_is_not_planned() {
    let assigner = assigner_with(2, &[(0, 0.5), (0, 0.4), (1, 0.1)]);
    let mut snapshot = unit_load_snapshot(&assigner);
    snapshot.headroom[1] = 0.35;
    assert_eq!(assigner.greedy_moves(&snapshot, HOT_LOAD, false), None);
}

#[test]
fn batches_start_at_sinks_and_cycles_break_at_least_loaded_server() {
    let assigner = assigner_with(3, &[(0, 0.5), (1, 0.3), (2, 0.1)]);
    let snapshot = unit_load_snapshot(&assigner);
    let batches = assigner.order_into_batches(vec![(0, 1), (1, 2)], &snapshot);
    assert_eq!(batches, [vec![(1, 2)], vec![(0, 1)]]);
    let batches = assigner.order_into_batches(vec![(0, 1), (1, 2), (2, 0)], &snapshot);
    assert_eq!(batches[0], [(1, 2)]);
}

#[test]
fn batch_waits_until_previous_batch_is_done() {
    let mut assigner = assigner_with(3, &[(0, 0.5), (1, 0.3)]);
    assigner.plan.pending_batches = [vec![(1, 2)], vec![(0, 1)]].into();
    assigner.run_next_batch();
    assigner.run_next_batch();
    assert!(assigner.slices[1].handover.is_some() && assigner.slices[0].handover.is_none());
    assigner.slices[1].handover = None;
    assigner.run_next_batch();
    assert!(assigner.slices[0].handover.is_some());
}

#[test]
fn stale_report_of_idle_server_adds_no_headroom() {
    let mut assigner = assigner_with(2, &[(0, 0.5), (1, 0.5)]);
    assigner.servers[0].cpu = Some((0.5, assigner.now));
    assigner.servers[1].cpu = Some((0.05, assigner.now));
    assert!(assigner.load_snapshot().headroom[1] > 0.5);
    assigner.servers[1].cpu = Some((0.05, secs(90.0)));
    assert!(assigner.load_snapshot().headroom[1] < 0.4);
}

#[test]
fn restarted_owner_is_limited_to_cold_budget_at_once() {
    let mut assigner = assigner_with(4, &[(0, 0.3), (0, 0.3), (0, 0.3), (1, 0.3), (2, 0.3), (3, 0.3)]);
    let cold = ServerEntry { started: Some(secs(99.9)), ..list_entry(0, ListedStatus::Ready) };
    let orders = assigner.handle(secs(100.0), &[list_changes(vec![cold])]);
    let is_limited = |id: SliceId| {
        orders.iter().any(|order| match order {
            Order::Level { slice, level, .. } => *slice == id && *level < 1.0,
            _ => false,
        })
    };
    assert!((0..3).all(is_limited));
}

#[test]
fn cold_owner_over_budget_starts_handovers_at_once() {
    let mut assigner = assigner_with(4, &[(0, 3.0), (0, 3.0), (1, 3.0), (2, 3.0), (3, 1.0)]);
    assigner.servers[0].started_at = Some(secs(99.9));
    assigner.evacuate();
    let stopped_slices = assigner
        .slices
        .iter()
        .filter(|slice| slice.handover.as_ref().is_some_and(|handover| handover.stops_all()))
        .count();
    assert!(stopped_slices > 0 && assigner.slices[2].handover.is_none());
}

#[test]
fn idle_slices_use_up_headroom_of_cold_server() {
    let mut assigner = assigner_with(2, &[(0, 0.0), (0, 0.0), (0, 0.0), (0, 0.0), (1, 4.0), (1, 4.0)]);
    assigner.servers[0].started_at = Some(secs(99.0));
    assert_eq!(assigner.load_snapshot().headroom[0], 0.0);
}

#[test]
fn batch_does_not_start_while_channel_is_half_full() {
    let mut assigner = assigner_with(3, &[(0, 0.5), (1, 0.3)]);
    assigner.plan.pending_batches = [vec![(1, 2)]].into();
    assigner.channel.queued_lines = 3000.0;
    assigner.run_next_batch();
    assert!(assigner.slices[1].handover.is_none());
}

#[test]
fn level_tuning_waits_for_channel_but_write_stop_does_not() {
    let mut assigner = assigner_with(3, &[(0, 0.5), (1, 0.3)]);
    assigner.channel.queued_lines = 3000.0;
    assigner.servers[0].criticality_cutoff = 0.5;
    assigner.start_handover(1, Some(2), false);
    assigner.order_levels(true);
    assert_eq!(assigner.output, [Order::Level { slice: 1, level: 0.0, methods: 2, tries: 0 }]);
}

#[test]
fn level_tuning_waits_for_ack_of_previous_tuning() {
    let mut assigner = assigner_with(1, &[(0, 0.5)]);
    assigner.servers[0].criticality_cutoff = 0.5;
    assigner.order_levels(true);
    assigner.finish_reply();
    assigner.servers[0].criticality_cutoff = 0.2;
    assigner.order_levels(true);
    assert!(assigner.output.is_empty());
    assigner.proxy_acked(0, 1, secs(0.3));
    assigner.order_levels(true);
    assert_eq!(assigner.output, [Order::Level { slice: 0, level: 0.8, methods: 1, tries: 0 }]);
}

/// Reports `tries` at a server, of which `lost` failed and the others were answered after `wait` seconds.
pub(super) fn report_tries(assigner: &mut Assigner, server: usize, tries: u64, lost: u64, wait: f64) {
    let load = LoadReport::default();
    assigner.apply_event(&Event::TryReport {
        endpoint: endpoint(server),
        zone: 0,
        tries,
        lost,
        mean_wait: secs(wait),
        interval: secs(1.0),
        load,
    });
}

#[test]
fn failing_server_becomes_unhealthy_but_overloaded_one_does_not() {
    let mut assigner = assigner_with(5, &[]);
    (0..3).for_each(|server| report_tries(&mut assigner, server, 40, 0, 0.1));
    report_tries(&mut assigner, 3, 40, 20, 0.1);
    report_tries(&mut assigner, 4, 40, 20, 0.45);
    assigner.servers[4].baseline_wait = Some(0.1);
    assigner.evaluate_servers();
    assert!(assigner.servers[3].unhealthy_until.is_some());
    assert!(assigner.servers[4].unhealthy_until.is_none());
}

#[test]
fn at_most_half_of_servers_are_marked_unhealthy() {
    let mut assigner = assigner_with(6, &[]);
    (0..5).for_each(|server| report_tries(&mut assigner, server, 40, 40, 0.1));
    report_tries(&mut assigner, 5, 4000, 0, 0.1);
    assigner.evaluate_servers();
    assert_eq!(assigner.servers.iter().filter(|server| server.unhealthy_until.is_some()).count(), 3);
}

#[test]
fn unresponsive_owner_becomes_unhealthy_only_if_peers_answer() {
    let mut assigner = assigner_with(4, &[(0, 60.0), (1, 60.0), (2, 60.0), (3, 60.0)]);
    assigner.now = secs(103.0);
    assigner.evaluate_servers();
    assert!(assigner.servers.iter().all(|server| server.unhealthy_until.is_none()));
    (1..4).for_each(|server| report_tries(&mut assigner, server, 20, 0, 0.1));
    assigner.evaluate_servers();
    assert!(assigner.servers[0].unhealthy_until.is_some());
}

#[test]
fn cold_server_with_slices_is_limited_to_its_budget() {
    let mut assigner = assigner_with(2, &[(0, 20.0), (1, 20.0)]);
    assigner
        .method_rpcs
        .iter_mut()
        .for_each(|sum| sum.add(assigner.now, assigner.half_life, 30.0, assigner.half_life));
    assigner.servers[0].started_at = Some(assigner.now);
    assigner.set_criticality_cutoffs();
    // The server is assumed to be half loaded and has a fifth of its capacity: a load of 2.5, against its budget.
    let rejected = 1.0 - assigner.unreported_cold_budget() / 2.5;
    assert!(
        (assigner.servers[0].criticality_cutoff - 2.0 * rejected).abs() < 0.01,
        "{}",
        assigner.servers[0].criticality_cutoff
    );
    assert_eq!(assigner.servers[1].criticality_cutoff, 0.0);
}

#[test]
fn lost_tries_limit_cold_server_when_no_limit_is_learned() {
    let rejected_fraction = |lost: u64| {
        let mut assigner = assigner_with(3, &[(0, 20.0), (1, 20.0), (2, 20.0)]);
        assigner.servers[0].started_at = Some(secs(95.0));
        (1..3).for_each(|server| report_tries(&mut assigner, server, 20, lost, 0.1));
        assigner.set_criticality_cutoffs();
        assigner.servers[0].rejected_fraction
    };
    assert!(rejected_fraction(0) < 0.01, "{}", rejected_fraction(0));
    assert!(rejected_fraction(12) > 0.3, "{}", rejected_fraction(12));
}

#[test]
fn server_in_disconnected_zone_becomes_unhealthy_only_after_delay() {
    let mut assigner = assigner_with(3, &[(0, 1e5), (1, 1e5), (2, 1e5)]);
    assigner.servers[0].zone = 1;
    assigner.proxies.insert(2, Proxy { zone: 1, joined: false, state_since: secs(100.0) });
    for (at, unhealthy) in [(110.0, false), (111.0, true)] {
        assigner.now = secs(at);
        (1..3).for_each(|server| report_tries(&mut assigner, server, 20, 0, 0.1));
        assigner.evaluate_servers();
        assert_eq!(assigner.servers[0].unhealthy_until.is_some(), unhealthy);
    }
}

/// When reports came 0.55 s before each periodic evaluation, failing servers kept their slices that much longer.
#[test]
fn servers_are_evaluated_when_reports_come_or_after_timeout() {
    let failing = Event::TryReport {
        endpoint: endpoint(0),
        zone: 0,
        tries: 20,
        lost: 20,
        mean_wait: Duration::ZERO,
        interval: secs(1.0),
        load: LoadReport::default(),
    };
    let runs_period = |assigner: &mut Assigner, at: f64, event: &Event| {
        let before = assigner.next_period_at;
        assigner.handle(secs(at), std::slice::from_ref(event));
        assigner.next_period_at != before
    };
    let mut assigner = assigner_with(3, &[(0, 300.0), (1, 300.0), (2, 300.0)]);
    assigner.handle(secs(101.0), &[Event::Timer]);
    assert!(!runs_period(&mut assigner, 101.7, &failing), "too soon after the last period");
    assert!(!runs_period(&mut assigner, 102.0, &Event::Timer), "reports may still come");
    assert!(runs_period(&mut assigner, 102.1, &failing) && assigner.servers[0].unhealthy_until.is_some());
    // From then on the evaluation coincides with the reports, even if one comes slightly early.
    assert!(runs_period(&mut assigner, 103.05, &failing));
    assert!(
        !runs_period(&mut assigner, 104.2, &Event::Timer) && runs_period(&mut assigner, 104.4, &Event::Timer)
    );
}

#[test]
fn pause_of_assigner_makes_no_server_unhealthy() {
    let mut assigner = assigner_with(4, &[(0, 60.0), (1, 60.0), (2, 60.0), (3, 60.0)]);
    assigner.handle(secs(100.0), &[Event::Timer]);
    assigner.handle(secs(108.0), &[Event::Timer]);
    assert!(assigner.servers.iter().all(|server| server.unhealthy_until.is_none()));
}

#[test]
fn unresponsive_owner_is_replaced_despite_absent_proxy_and_late_ack() {
    let mut assigner = assigner_with(4, &[(0, 300.0), (1, 300.0), (2, 300.0), (3, 300.0)]);
    assigner.handle(secs(102.0), &[Event::ProxyLeft { proxy: 1 }]);
    assigner.now = secs(103.3);
    (1..4).for_each(|server| report_tries(&mut assigner, server, 20, 0, 0.1));
    let orders = assigner.handle(secs(103.3), &[Event::Timer]);
    assert!(stop_all_rpcs(&orders, 0), "{orders:?}");
    // The lease of the absent proxy ends at 106 s, the stop took effect at the other one at 106.5 s, and writes in
    // flight end within 1.2 s.
    (1..4).for_each(|server| report_tries(&mut assigner, server, 20, 0, 0.1));
    assigner.handle(secs(107.0), &[Event::Acked { proxy: 0, ack_seq: 1, transit: secs(3.2) }]);
    assert_eq!(grants(&assigner.handle(secs(107.6), &[Event::Timer])), []);
    assert_eq!(grants(&assigner.handle(secs(107.8), &[Event::Timer])).len(), 1);
}

#[test]
fn overloaded_server_rejects_least_critical_method_first() {
    let mut assigner = assigner_with(1, &[(0, 40.0)]);
    assigner
        .method_rpcs
        .iter_mut()
        .for_each(|sum| sum.add(assigner.now, assigner.half_life, 30.0, assigner.half_life));
    report_tries(&mut assigner, 0, 40, 0, 0.9);
    assigner.evaluate_servers();
    assigner.set_criticality_cutoffs();
    assigner.order_levels(true);
    // The server answered 40 RPCs in a half-life of 1 s: ln 2 * 40 = 27.7 a second. Nine tenths of that are 25 of the 40
    // that come.
    assert_eq!(assigner.output.pop(), Some(Order::Level { slice: 0, level: 0.25, methods: 1, tries: 0 }));
}

/// Guards against a pushed list that is watched where changes come by themselves, and against one that is not watched
/// where nothing comes unasked.
#[test]
fn pushed_list_is_watched_only_for_a_front_that_must_ask() {
    let stored = [Event::List { kind: ListKind::Stored, entries: vec![] }];
    let failed = [Event::List { kind: ListKind::Failed, entries: vec![] }];
    let mut pushed = assigner_with_settings(&[("discovery", "automatic")]);
    pushed.cfg.max_list_request_interval = NEVER;
    for (at, events) in [(100.0, &stored), (101.0, &failed), (200.0, &[Event::Timer])] {
        assert!(!pushed.handle(secs(at), events).contains(&Order::WatchList));
    }
    let mut asking = pushed.with_list_watch();
    assert!(asking.handle(secs(300.0), &stored).contains(&Order::WatchList));
    let quiet_until = secs(300.0) + DEFAULT_LIST_REQUEST_INTERVAL / 2;
    assert!(asking.handle(quiet_until, &[Event::Timer]).contains(&Order::WatchList));
}

#[test]
fn failed_list_request_is_retried_later() {
    let mut assigner = assigner_with(1, &[]);
    let failed = Event::List { kind: ListKind::Failed, entries: vec![] };
    assert!(!assigner.handle(secs(100.0), &[failed]).contains(&Order::WatchList));
    assert!(assigner.handle(secs(101.0), &[Event::Timer]).contains(&Order::WatchList));
}

#[test]
fn same_events_give_same_orders() {
    let run = || {
        let mut assigner = assigner_with_handover();
        let mut orders = assigner.handle(
            secs(100.4),
            &[ack(0, 1), ack(1, 1), list_changes(vec![list_entry(2, ListedStatus::Gone)])],
        );
        orders.extend(assigner.handle(secs(102.0), &[Event::Timer]));
        orders
    };
    assert_eq!(run(), run());
}

#[test]
fn late_reports_mark_no_server_unhealthy_and_move_no_slice() {
    let owners: Vec<(usize, f64)> = (0..40).map(|id| (id % 8, 5.0)).collect();
    let mut assigner = assigner_with(8, &owners);
    // Each report covers four periods and arrives after the next four.
    for round in 0..20u32 {
        let mut events = vec![Event::Timer];
        for id in (0..40).filter(|id| id % 4 == round as usize % 4) {
            let (endpoint, interval, mean_wait) = (endpoint(id % 8), secs(4.0), secs(0.1));
            events.push(Event::Demand { slice: id, method: 0, rpcs: 20, lost: 0, interval });
            let load = LoadReport::default();
            events.push(Event::TryReport {
                endpoint,
                zone: 0,
                tries: 20,
                lost: 0,
                mean_wait,
                interval,
                load,
            });
        }
        let orders = assigner.handle(secs(101.0 + f64::from(round)), &events);
        let is_expected = |order: &Order| matches!(order, Order::Wake { .. } | Order::WatchList);
        assert!(orders.iter().all(is_expected), "{orders:?}");
    }
    assert_eq!(assigner.half_life, secs(4.0));
    assert!((assigner.demand()[0] - 5.0).abs() < 2.5, "{:?}", assigner.demand());
}

#[test]
fn report_counts_as_spread_over_its_interval() {
    let (mut long, mut short, half_life) = (DecayingSum::default(), DecayingSum::default(), secs(1.0));
    long.add(secs(100.0), half_life, 10.0, secs(0.5));
    short.add(secs(100.0), half_life, 10.0, secs(0.001));
    let first = long.read(secs(100.0), half_life);
    assert!(first < short.read(secs(100.0), half_life));
    long.add(secs(101.0), half_life, 0.0, half_life);
    assert!((long.read(secs(102.0), half_life) * 4.0 - first).abs() < 1e-9);
}

/// An assigner whose servers 0 to 3 own slices with demand, and its orders after a list of the given kind removes the
/// servers in `gone`.
fn remove_from_list(is_advisory: bool, gone: &[usize], kind: ListKind) -> (Assigner, Vec<Order>) {
    let mut assigner = assigner_with(4, &[(0, 60.0), (1, 60.0), (2, 60.0), (3, 60.0)]);
    assigner.cfg.gone_is_advisory = is_advisory;
    let entries = match kind {
        ListKind::Changes => gone.iter().map(|server| list_entry(*server, ListedStatus::Gone)).collect(),
        _ => (0..4)
            .filter(|server| !gone.contains(server))
            .map(|server| list_entry(server, ListedStatus::Ready))
            .collect(),
    };
    let orders = assigner.handle(secs(100.0), &[Event::List { kind, entries }]);
    (assigner, orders)
}

#[test]
fn advisory_removal_keeps_serving_server_and_removes_unresponsive_one() {
    for kind in [ListKind::Changes, ListKind::Full] {
        let (mut assigner, orders) = remove_from_list(true, &[0, 1, 2], kind);
        assert!((0..assigner.slices.len()).all(|id| !stop_all_rpcs(&orders, id)), "{orders:?}");
        assert!(!orders.iter().any(|order| matches!(order, Order::Revoke { .. })));
        assigner.now = secs(103.0);
        (1..4).for_each(|server| report_tries(&mut assigner, server, 20, 0, 0.1));
        assigner.evaluate_servers();
        let statuses: Vec<ListedStatus> =
            assigner.servers.iter().map(|server| server.listed_status).collect();
        assert_eq!(
            statuses,
            [ListedStatus::Gone, ListedStatus::Ready, ListedStatus::Ready, ListedStatus::Ready]
        );
    }
}

#[test]
fn binding_removal_stops_rpcs_at_once() {
    let (_, orders) = remove_from_list(false, &[0], ListKind::Full);
    assert!(stop_all_rpcs(&orders, 0), "{orders:?}");
}

#[test]
fn empty_list_and_list_of_unknown_servers_stop_nothing_when_removal_is_advisory() {
    for unknown in [None, Some(9)] {
        let mut assigner = assigner_with(2, &[(0, 1.0), (1, 1.0)]);
        assigner.cfg.gone_is_advisory = true;
        let entries = unknown.map(|server| list_entry(server, ListedStatus::Ready)).into_iter().collect();
        let orders = assigner.handle(secs(100.0), &[Event::List { kind: ListKind::Full, entries }]);
        assert!(!orders.iter().any(|order| matches!(order, Order::Revoke { .. } | Order::Grant { .. })));
        assert!((0..2).all(|id| !stop_all_rpcs(&orders, id)), "{orders:?}");
    }
}

#[test]
fn unconfirmed_server_gets_nothing_before_probe_answer_or_few_slices_without_probes() {
    let mut assigner = assigner_with(3, &[(0, 1.0), (0, 1.0), (0, 1.0), (0, 1.0), (1, 1.0)]);
    (assigner.servers[2].seen_serving, assigner.cfg.may_probe) = (false, true);
    assert_eq!(assigner.load_snapshot().headroom[2], 0.0);
    assigner.apply_event(&Event::Probed {
        endpoint: endpoint(2),
        result: ProbeOutcome::Ok,
        load: LoadReport::default(),
    });
    assert!(assigner.load_snapshot().headroom[2] > 0.0);
    (assigner.servers[2].seen_serving, assigner.cfg.may_probe) = (false, false);
    assert!(assigner.load_snapshot().headroom[2] > 0.0);
    assigner.slices.iter_mut().take(MAX_UNCONFIRMED_SLICES as usize).for_each(|slice| slice.owner = Some(2));
    assert_eq!(assigner.load_snapshot().headroom[2], 0.0);
}

#[test]
fn ack_removes_earlier_messages_from_channel_estimate() {
    let mut assigner = assigner_with_handover();
    assigner.channel.queued_lines = 5000.0;
    assigner.channel.queued_messages = [(0, 4000.0, assigner.now), (1, 20.0, assigner.now)].into();
    assigner.proxy_acked(0, 1, secs(0.3));
    assert_eq!(assigner.channel.queued_lines, 20.0);
}

#[test]
fn grants_beyond_channel_capacity_wait_for_next_message() {
    let mut assigner = assigner_with(2, &[(0, 0.1); 40]);
    (0..40).for_each(|id| assigner.start_handover(id, Some(1), true));
    assigner.slices.iter_mut().for_each(|slice| slice.handover.as_mut().unwrap().acks.clear());
    (assigner.output, assigner.channel.reserved_orders) = (Vec::new(), 0);
    (assigner.channel.queued_lines, assigner.cfg.max_backlog_lines) = (0.0, 200.0);
    assigner.grant_settled_slices();
    let granted = grants(&assigner.output).len();
    assert!(granted > 0 && granted < 40, "{granted}");
}

#[test]
fn drain_of_too_many_slices_for_grace_stops_all_rpcs_at_once() {
    let mut assigner = assigner_with(2, &[(0, 0.01); 700]);
    let orders = assigner.handle(secs(100.0), &[list_changes(vec![list_entry(0, ListedStatus::Draining)])]);
    assert!(stop_all_rpcs(&orders, 0), "{orders:?}");
    // One line for each slice, for all methods.
    assert!(!orders.iter().any(|order| matches!(order, Order::Level { methods, .. } if *methods != 3)));
}

#[test]
fn stored_owner_of_acquired_slice_is_evaluated_anew() {
    let mut assigner = assigner_with(4, &[(0, 60.0), (1, 60.0), (2, 60.0), (3, 60.0)]);
    assigner.servers[0].last_ok_at = secs(0.0);
    assigner.servers[0].unhealthy_until = Some(secs(300.0));
    assigner.apply_event(&Event::SliceAcquired { slice: 0 });
    assigner.apply_event(&Event::StoredOwner { slice: 0, endpoint: endpoint(0) });
    assigner.evaluate_servers();
    assert!(usable(&assigner.servers[0]));
}

#[test]
fn server_slower_than_peers_counts_as_queueing_except_during_release() {
    let mut assigner = assigner_with(5, &[(0, 40.0), (1, 40.0), (2, 40.0), (3, 40.0), (4, 40.0)]);
    assigner.servers.iter_mut().for_each(|server| server.service_time = Some(0.1));
    assigner.servers[0].service_time = Some(1.0);
    (0..5)
        .for_each(|server| report_tries(&mut assigner, server, 20, 0, if server == 0 { 1.2 } else { 0.12 }));
    assigner.evaluate_servers();
    let queueing: Vec<bool> = assigner.servers.iter().map(|server| assigner.has_queueing(server)).collect();
    assert_eq!(queueing, [true, false, false, false, false]);
    assigner.servers[4].started_at = Some(assigner.now);
    assigner.evaluate_servers();
    assert!(!assigner.has_queueing(&assigner.servers[0]));
}

#[test]
fn probes_logs_and_list_requests_use_no_channel_lines() {
    let mut assigner = assigner_with(2, &[(0, 1.0)]);
    let orders_without_lines =
        [Order::Probe { endpoint: endpoint(0) }, Order::Log { text: String::new() }, Order::WatchList];
    assigner.output = orders_without_lines.iter().cycle().take(3000).cloned().collect();
    assert!(assigner.channel_is_below(PLAN_START_FILL));
    assigner.output = vec![Order::Grant { slice: 0, endpoint: endpoint(0) }; 3000];
    assert!(!assigner.channel_is_below(DRAIN_STOP_FILL));
}

/// Requests to move slice 0 to server 1; returns the destination of the handover that the next plan starts, if any.
fn destination_after_request(mut assigner: Assigner) -> Option<Option<usize>> {
    assigner.handle(secs(100.0), &[Event::MoveRequested { slice: 0, destination: endpoint(1) }]);
    assigner.handle(secs(101.0), &[Event::Timer]);
    assert!(assigner.plan.requested_moves.is_empty());
    assigner.slices[0].handover.as_ref().map(|handover| handover.destination)
}

#[test]
fn requested_move_is_planned_despite_move_cooldown() {
    let mut assigner = assigner_with(3, &[(0, 0.2), (0, 0.8), (1, 1.0), (2, 1.0)]);
    assigner.slices[0].movable_from = secs(500.0);
    assert_eq!(destination_after_request(assigner), Some(Some(1)));
}

#[test]
fn requested_move_without_headroom_or_to_unusable_server_is_dropped() {
    let outcome = |change: &dyn Fn(&mut Assigner)| {
        let mut assigner = assigner_with(3, &[(0, 0.2), (0, 0.8), (1, 1.0), (2, 1.0)]);
        change(&mut assigner);
        destination_after_request(assigner)
    };
    assert_eq!(outcome(&|assigner| assigner.servers[1].unhealthy_until = Some(secs(500.0))), None);
    assert_eq!(outcome(&|assigner| assigner.servers[1].listed_status = ListedStatus::Draining), None);
    assert_eq!(outcome(&|assigner| assigner.servers[1].seen_serving = false), None);
    // The learned limit is below the demand of the slice.
    let at_full_server = outcome(&|assigner| {
        assigner.servers[1].learned_limit = Some(0.5);
        assigner.servers[1].limit_reduced_at = Some(assigner.now);
    });
    assert_eq!(at_full_server, None);
}

/// The lines of newly acquired slices, which proxies read from the store, do not pass through the channel of this
/// assigner. After it had acquired 878 slices at once, an ack came after 0.5 s; their lines would have taken 4.8 s.
#[test]
fn acquired_slices_use_no_channel_lines() {
    let mut assigner = assigner_with(2, &[(0, 1.0); 4000]);
    let acquired = (0..4000).flat_map(|slice| {
        [Event::SliceAcquired { slice }, Event::StoredOwner { slice, endpoint: endpoint(0) }]
    });
    let orders = assigner.handle(secs(100.1), &acquired.collect::<Vec<_>>());
    assert!(
        assigner.channel_is_below(PLAN_START_FILL) && !orders.iter().any(Order::uses_channel_line),
        "{}",
        assigner.queued_lines()
    );
}

/// A channel once ran eight times slower than its settings say. An overdue ack must raise the estimate of the queued
/// lines long before the queue is full.
#[test]
fn overdue_ack_raises_estimate_of_queued_lines() {
    let mut assigner = assigner_with(2, &[(0, 1.0); 4]);
    assigner.channel.last_ack_seq = 1;
    assigner.channel.queued_messages = [(0, 2000.0, assigner.now), (1, 1500.0, assigner.now)].into();
    (assigner.channel.queued_lines, assigner.channel.updated_at) = (3500.0, assigner.now);
    assigner.handle(secs(100.7), &[Event::Timer]);
    assert!((assigner.queued_lines() - 2800.0).abs() < 1.0, "{}", assigner.queued_lines());
    assigner.handle(secs(100.9), &[Event::Timer]);
    assert!((assigner.queued_lines() - 3450.0).abs() < 1.0, "{}", assigner.queued_lines());
    assigner.handle(secs(101.9), &[Event::Timer]);
    assert!((assigner.queued_lines() - 3200.0).abs() < 1.0, "{}", assigner.queued_lines());
    assigner.handle(secs(102.0), &[Event::Acked { proxy: 1, ack_seq: 1, transit: secs(1.9) }]);
    assert!(assigner.queued_lines() <= 1500.0, "{}", assigner.queued_lines());
}

/// An assigner with three servers and two slices, and with some settings changed.
fn assigner_with_settings(pairs: &[(&str, &str)]) -> Assigner {
    let mut assigner = assigner_with(3, &[(0, 1.0), (1, 1.0)]);
    let text = format!("{SETTINGS}2");
    let mut settings: BTreeMap<String, String> = text
        .split_whitespace()
        .map(|pair| pair.split_once('=').unwrap())
        .map(|(path, value)| (path.to_string(), value.to_string()))
        .collect();
    settings.extend(pairs.iter().map(|(path, value)| (path.to_string(), value.to_string())));
    assigner.cfg = Config::read(&Settings(settings)).unwrap();
    assigner
}

/// Drains server 0 and returns the first orders.
fn drain_server_0(assigner: &mut Assigner) -> Vec<Order> {
    let entry = ServerEntry {
        endpoint: endpoint(0),
        zone: 0,
        status: ListedStatus::Draining,
        size: 1.0,
        started: None,
    };
    assigner.handle(secs(100.1), &[Event::List { kind: ListKind::Changes, entries: vec![entry] }])
}

/// When slices are not exclusive, a grant adds a line and the line of the former owner must be revoked as well. A drain
/// once left that line in place. The move need not wait for acks, as the slice always has an owner.
#[test]
fn drain_of_non_exclusive_slice_moves_it_at_once_and_revokes_old_line() {
    let mut assigner =
        assigner_with_settings(&[("familyInfo.oneOwner", "0"), ("familyInfo.admission", "off")]);
    let orders = drain_server_0(&mut assigner);
    let Some((0, to)) = grants(&orders).first().copied() else { panic!("{orders:?}") };
    assert!(to != 0 && orders.contains(&Order::Revoke { slice: 0, endpoint: endpoint(0) }), "{orders:?}");
    assert!(!orders.iter().any(|order| matches!(order, Order::Level { .. })), "{orders:?}");
    assert_eq!((assigner.owner(0), assigner.has_handover(0)), (Some(to), false));
}

/// A planned move must revoke the old line too, and does not stop writes.
#[test]
fn planned_move_of_non_exclusive_slice_revokes_old_line_and_stops_no_writes() {
    let mut assigner = assigner_with_settings(&[("familyInfo.oneOwner", "0")]);
    assigner.plan.pending_batches = [vec![(0, 2)]].into();
    let orders = assigner.handle(secs(100.1), &[Event::Timer]);
    assert_eq!(grants(&orders), [(0, 2)]);
    assert!(orders.contains(&Order::Revoke { slice: 0, endpoint: endpoint(0) }), "{orders:?}");
    assert!(!orders.iter().any(|order| matches!(order, Order::Level { level: 0.0, .. })), "{orders:?}");
}

/// In a release with all slices at one assigner, moves must wait for channel capacity.
#[test]
fn moves_of_non_exclusive_slices_stop_when_channel_is_full() {
    let mut assigner =
        assigner_with_settings(&[("familyInfo.oneOwner", "0"), ("familyInfo.admission", "off")]);
    assigner.slices = vec![assigner.slices[0].clone(); 2000];
    assigner.rendezvous_order = vec![Vec::new(); 2000];
    let first_orders = drain_server_0(&mut assigner).len();
    assert!((1000..1500).contains(&first_orders), "{first_orders}");
    for tick in 2..20 {
        assigner.handle(secs(100.0 + 0.1 * f64::from(tick)), &[Event::Timer]);
        assert!(assigner.queued_lines() < assigner.cfg.max_backlog_lines, "{}", assigner.queued_lines());
    }
}

/// When proxies do not follow levels, only revoking the line stops writes.
#[test]
fn exclusive_slice_has_line_revoked_before_grant_when_admission_is_off() {
    let mut assigner =
        assigner_with_settings(&[("familyInfo.oneOwner", "1"), ("familyInfo.admission", "off")]);
    assigner.start_handover(0, Some(2), false);
    let orders = assigner.handle(secs(100.1), &[Event::Timer]);
    assert!(
        orders.contains(&Order::Revoke { slice: 0, endpoint: endpoint(0) }) && grants(&orders).is_empty()
    );
}

/// When levels are rates, a share of 1.0 must not be sent as a rate of one RPC a second.
#[test]
fn full_admission_is_far_more_than_one_rpc_when_levels_are_rates() {
    let mut assigner = assigner_with_settings(&[("familyInfo.admission", "rate")]);
    assigner.servers[0].learned_limit = Some(0.1);
    assigner.start_handover(0, Some(2), false);
    let orders = assigner.handle(secs(100.1), &[Event::Timer]);
    let levels = |orders: &[Order]| -> Vec<f64> {
        let level_of =
            |order: &Order| if let Order::Level { level, .. } = order { Some(*level) } else { None };
        orders.iter().filter_map(level_of).collect()
    };
    assert_eq!(levels(&orders), [0.0]);
    let acks = [0, 1].map(|proxy| Event::Acked { proxy, ack_seq: 1, transit: secs(0.1) });
    assigner.handle(secs(100.3), &acks);
    let orders = assigner.handle(secs(102.0), &[Event::Timer]);
    assert_eq!((grants(&orders), levels(&orders)), (vec![(0, 2)], vec![LEVEL_ADMIT_ALL]));
}

/// An unreadable value must not count as absent, and an absent one must get the safe default.
#[test]
fn unreadable_settings_are_named_and_absent_ones_get_safe_values() {
    let cfg = |pairs: &[(&str, &str)]| -> Result<Config, SettingsError> {
        let text = format!("{SETTINGS}2");
        let mut all: BTreeMap<String, String> = text
            .split_whitespace()
            .map(|pair| pair.split_once('=').unwrap())
            .map(|(path, value)| (path.to_string(), value.to_string()))
            .collect();
        for (path, value) in pairs {
            match *value {
                "" => drop(all.remove(*path)),
                value => drop(all.insert(path.to_string(), value.to_string())),
            }
        }
        Config::read(&Settings(all))
    };
    let defaults = cfg(&[]).unwrap();
    assert!(defaults.exclusive && defaults.fence_writes && defaults.admission == Admission::Share);
    let non_exclusive =
        [("familyInfo.oneOwner", "0"), ("familyInfo.writeLease", ""), ("familyInfo.inFlightMax", "")];
    let non_exclusive = cfg(&non_exclusive).unwrap();
    assert!(!non_exclusive.fence_writes && non_exclusive.write_lease.is_zero());
    let read_only = cfg(&[("familyInfo.mutating", "0,0"), ("familyInfo.writeLease", "")]).unwrap();
    assert!(read_only.exclusive && !read_only.fence_writes);
    for (path, value) in [
        ("familyInfo.oneOwner", "maybe"),
        ("familyInfo.admission", "some"),
        ("familyInfo.writeLease", ""),
        ("familyInfo.inFlightMax", "-1"),
        ("familyInfo.dataPlaneSize", "many"),
        ("rules.mustAskIn", "soon"),
        ("rules.goneIsAdvice", "7"),
    ] {
        let error = cfg(&[(path, value)]).err().unwrap_or_else(|| panic!("{path}={value} was accepted"));
        assert_eq!(error.path, path);
    }
}

/// With a large message overhead and a small backlog, drains were sent a few slices a message and half the channel was
/// overhead: a drain ended 3.84 s after the list update, where 3.8 s are allowed.
#[test]
fn drain_waits_until_several_message_overheads_fit_channel() {
    for (fill, starts) in [(0.45, true), (0.65, false)] {
        let mut assigner =
            assigner_with_settings(&[("familyInfo.oneOwner", "0"), ("familyInfo.overhead", "260")]);
        (assigner.channel.queued_lines, assigner.channel.updated_at) =
            (fill * assigner.cfg.max_backlog_lines, secs(100.1));
        assert_eq!(drain_server_0(&mut assigner).iter().any(Order::uses_channel_line), starts, "fill {fill}");
    }
}

/// The slices of two release steps at one assigner, with a grant and a revoke each, are more than the channel carries
/// in the drain grace. Late in the grace, the remaining lines must be revoked first and granted afterwards.
#[test]
fn late_drain_of_non_exclusive_slices_revokes_before_it_grants() {
    let mut assigner =
        assigner_with_settings(&[("familyInfo.oneOwner", "0"), ("familyInfo.admission", "off")]);
    assigner.slices = vec![assigner.slices[0].clone(); 1000];
    assigner.rendezvous_order = vec![Vec::new(); 1000];
    let first = drain_server_0(&mut assigner);
    assert!(!grants(&first).is_empty());
    let revokes =
        |orders: &[Order]| orders.iter().filter(|order| matches!(order, Order::Revoke { .. })).count();
    let ack_seq = assigner.channel.last_ack_seq as u16;
    let later = assigner.handle(secs(101.9), &[Event::Acked { proxy: 0, ack_seq, transit: secs(0.1) }]);
    assert!(
        revokes(&later) > 100 && grants(&later).is_empty(),
        "{} {}",
        revokes(&later),
        grants(&later).len()
    );
    // No acks are awaited, so the slices are granted as soon as the channel has capacity.
    let orders = assigner.handle(
        secs(110.0),
        &[Event::Acked { proxy: 0, ack_seq: assigner.channel.last_ack_seq as u16, transit: secs(0.1) }],
    );
    assert!(!grants(&orders).is_empty() && revokes(&orders) == 0);
}

/// In a soak run, a call of 3275 lines was carried out, its answer was lost, and it was resent at once: 6550 lines were
/// queued, where 5800 are allowed.
#[test]
fn resent_call_waits_until_both_copies_fit_channel() {
    let mut assigner = assigner_with(2, &[(0, 1.0); 4]);
    (assigner.channel.queued_lines, assigner.channel.updated_at) = (3300.0, secs(100.0));
    assert!(!assigner.may_resend(1642) && assigner.may_resend(1000));
    assigner.handle(secs(101.0), &[Event::Timer]);
    assert!(assigner.may_resend(1500) && !assigner.may_resend(1642), "{}", assigner.queued_lines());
    let before = assigner.queued_lines();
    assigner.note_resent(secs(101.0), 100);
    assert_eq!(assigner.queued_lines() - before, 216.0);
}

/// In a soak run with a backlog of 44 lines a proxy and a message overhead of 12, the overhead of four messages never
/// fitted. A drain waited for an empty queue and ended 3.33 s after the list update, where 3.3 s are allowed.
#[test]
fn drain_on_narrow_channel_does_not_wait_for_empty_queue() {
    for (fill, starts) in [(0.3, true), (0.6, false)] {
        let mut assigner =
            assigner_with_settings(&[("familyInfo.oneOwner", "0"), ("familyInfo.overhead", "750")]);
        let first = drain_server_0(&mut assigner);
        assert!(first.iter().any(Order::uses_channel_line));
        assigner.servers[1].listed_status = ListedStatus::Draining;
        assigner.servers[1].not_ready_since = secs(100.1);
        (assigner.channel.queued_lines, assigner.channel.updated_at) =
            (fill * assigner.cfg.max_backlog_lines, secs(100.2));
        assigner.channel.queued_messages.clear();
        let orders = assigner.handle(secs(100.2), &[Event::Timer]);
        let stops = |order: &Order| matches!(order, Order::Revoke { .. } | Order::Level { level: 0.0, .. });
        assert_eq!(orders.iter().any(stops), starts, "fill {fill}");
    }
}

/// When acks are rarely requested, messages that left long ago must neither pile up nor count when an ack is overdue.
#[test]
fn transmitted_messages_are_forgotten_without_later_acks() {
    let mut assigner =
        assigner_with_settings(&[("familyInfo.oneOwner", "0"), ("familyInfo.admission", "off")]);
    for minute in 1..200 {
        let to = 1 + minute as usize % 2;
        assigner.plan.pending_batches = [vec![(0, to)]].into();
        assigner.slices[0].movable_from = Duration::ZERO;
        assigner.handle(secs(100.0 + 60.0 * f64::from(minute)), &[Event::Timer]);
    }
    assert!(
        assigner.channel.queued_messages.len() <= 2,
        "{} messages, {:.0} lines",
        assigner.channel.queued_messages.len(),
        assigner.channel.unacked_lines()
    );
}
