//! Each test builds the state that it needs and calls one function.

use super::*;

const SETTINGS: &str = "discovery=subscribe rules.mustAskIn=10000 caps.mayProbe=0 classes.count=2 \
    classes.0.objective=1000 classes.0.points=1 classes.1.objective=1000 classes.1.points=5 \
    familyInfo.mutating=false,true familyInfo.retryDefault=0 familyInfo.period=1000 familyInfo.writeLease=4000 \
    familyInfo.inFlightMax=1200 rules.stopSendingWithin=2000 familyInfo.transitMax=800 rules.warmAfter=10000 \
    rules.coldFrom=0.2 rules.fallMultiple=3 familyInfo.overhead=8 familyInfo.linesPerS=4000 \
    familyInfo.backlog=6000 familyInfo.messagesMost=0 familyInfo.reloadSpan=10000 familyInfo.shards=";

pub(super) fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

pub(super) fn ep(index: usize) -> Ep {
    Ep { index, stable: (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) }
}

/// An assigner at 100 s: ready servers, two joined proxies, and a slice for each owner named, with a demand.
pub(super) fn fleet(servers: usize, slices: &[(usize, f64)]) -> Assigner {
    let text = format!("{SETTINGS}{}", slices.len());
    let pairs = text.split_whitespace().map(|p| p.split_once('=').unwrap());
    let settings = Settings(pairs.map(|(k, v)| (k.to_string(), v.to_string())).collect());
    let mut a = Assigner::new(&settings, 7).unwrap();
    a.now = s(100.0);
    a.next_period_at = s(101.0);
    a.subscription.request_at = Some(s(200.0));
    for index in 0..servers {
        *a.server_mut(ep(index)) = Server {
            endpoint: ep(index),
            listed_status: Listed::Ready,
            seen_serving: true,
            size: 1.0,
            last_ok_at: a.now,
            ..Server::default()
        };
    }
    a.proxies = [0, 1].map(|id| (id, Proxy { zone: 0, joined: true, state_since: s(0.0) })).into();
    for (slice, (owner, demand)) in a.slices.iter_mut().zip(slices) {
        let sum = demand * a.cfg.period.as_secs_f64() / std::f64::consts::LN_2;
        *slice = Slice {
            in_custody: true,
            owner: Some(*owner),
            demand: DecayingSum { value: sum, updated_at: a.now },
            published_levels: vec![1.0, 1.0],
            ..Slice::default()
        };
    }
    a.rank_servers();
    a
}

fn grants(orders: &[Order]) -> Vec<(SliceId, usize)> {
    let grant = |o: &Order| match o {
        Order::Grant { slice, ep } => Some((*slice, ep.index)),
        _ => None,
    };
    orders.iter().filter_map(grant).collect()
}

fn ack(proxy: ProxyId, mark: u16) -> Event {
    Event::Acked { proxy, mark, way: s(0.3) }
}

fn entry(index: usize, listed: Listed) -> Entry {
    Entry { ep: ep(index), zone: 0, listed, size: 1.0, started: None }
}

fn list(entries: Vec<Entry>) -> Event {
    Event::List { kind: ListKind::Changes, entries }
}

/// Starts moving slice 0 from server 0 to server 1.
fn moving() -> Assigner {
    let mut a = fleet(3, &[(0, 1.0)]);
    a.start_handover(0, Some(1), false);
    let orders = a.handle(s(100.0), &[Event::Timer]);
    let stop = Order::Level { slice: 0, share: 0.0, methods: 2, tries: 0 };
    assert!(orders.contains(&stop) && orders.contains(&Order::Mark { mark: 1 }));
    a
}

#[test]
fn a_move_waits_for_every_ack_and_for_writes_to_settle() {
    let mut a = moving();
    a.handle(s(100.4), &[ack(0, 1)]);
    assert_eq!(grants(&a.handle(s(102.0), &[Event::Timer])), []);
    a.handle(s(102.5), &[Event::Acked { proxy: 1, mark: 1, way: s(2.2) }]);
    assert_eq!(grants(&a.handle(s(103.3), &[Event::Timer])), []);
    let orders = a.handle(s(103.5), &[Event::Timer]);
    assert_eq!(grants(&orders), [(0, 1)]);
    assert!(orders.contains(&Order::Level { slice: 0, share: 1.0, methods: 2, tries: 0 }));
}

#[test]
fn a_lost_proxy_holds_the_grant_until_its_lease_ends() {
    let mut a = moving();
    a.handle(s(100.5), &[ack(0, 1), Event::Left { proxy: 1 }]);
    assert_eq!(grants(&a.handle(s(105.6), &[Event::Timer])), []);
    assert_eq!(grants(&a.handle(s(105.8), &[Event::Timer])), [(0, 1)]);
}

#[test]
fn a_proxy_that_joins_mid_move_must_hear_of_it_first() {
    let mut a = moving();
    let orders = a.handle(s(100.5), &[ack(0, 1), ack(1, 1), Event::Joined { proxy: 2, zone: 0 }]);
    assert!(orders.contains(&Order::Mark { mark: 2 }));
    assert_eq!(grants(&a.handle(s(103.0), &[Event::Timer])), []);
    assert_eq!(grants(&a.handle(s(104.5), &[Event::Acked { proxy: 2, mark: 2, way: s(0.4) }])), [(0, 1)]);
}

#[test]
fn proxies_that_restart_one_after_the_other_do_not_hold_a_line_away() {
    let mut a = moving();
    a.handle(s(100.1), &[list(vec![entry(0, Listed::Gone)]), ack(0, 1), ack(1, 1)]);
    for (at, proxy) in [(100.5, 0), (101.0, 1)] {
        a.handle(s(at), &[Event::Left { proxy }, Event::Joined { proxy, zone: 0 }]);
    }
    assert_eq!(grants(&a.handle(s(101.4), &[Event::Timer])), [(0, 1)]);
}

#[test]
fn an_owner_dead_mid_move_loses_its_line_at_once() {
    let mut a = moving();
    let orders = a.handle(s(100.1), &[list(vec![entry(0, Listed::Gone)])]);
    assert!(orders.contains(&Order::Revoke { slice: 0, ep: ep(0) }));
}

#[test]
fn a_destination_dead_mid_move_is_replaced_or_the_owner_keeps_the_slice() {
    let mut a = moving();
    a.handle(s(100.1), &[list(vec![entry(1, Listed::Gone)]), ack(0, 1), ack(1, 1)]);
    let orders = a.handle(s(102.0), &[Event::Timer]);
    assert_eq!(grants(&orders), []);
    assert!(orders.contains(&Order::Level { slice: 0, share: 1.0, methods: 2, tries: 0 }));
    assert_eq!(a.slices[0].owner, Some(0));
}

#[test]
fn a_sick_owner_gets_its_slice_back_when_no_other_server_is_ready() {
    let mut a = moving();
    a.servers[0].unhealthy_until = Some(s(200.0));
    a.handle(s(100.1), &[Event::Timer]);
    let alone = list(vec![entry(1, Listed::Gone), entry(2, Listed::Gone)]);
    a.handle(s(100.5), &[alone, ack(0, 1), ack(1, 1)]);
    assert_eq!(grants(&a.handle(s(102.5), &[Event::Timer])), [(0, 0)]);
}

#[test]
fn a_slice_taken_away_mid_move_is_not_granted() {
    let mut a = moving();
    a.handle(s(100.1), &[Event::Taken { slice: 0 }, ack(0, 1), ack(1, 1)]);
    assert_eq!(grants(&a.handle(s(110.0), &[Event::Timer])), []);
}

#[test]
fn a_slice_given_without_an_owner_waits_a_lease() {
    let mut a = fleet(2, &[(0, 1.0)]);
    a.handle(s(100.0), &[Event::Given { slice: 0 }]);
    assert_eq!(grants(&a.handle(s(105.1), &[Event::Timer])), []);
    assert_eq!(grants(&a.handle(s(105.3), &[Event::Timer])).len(), 1);
}

/// A list that empties binds like any other, and must not leave the assigner without a way back.
#[test]
fn after_a_list_that_empties_the_next_ready_server_gets_the_slices() {
    let mut a = fleet(2, &[(0, 1.0)]);
    let empty = Event::List { kind: ListKind::Full, entries: vec![] };
    assert!(a.handle(s(100.0), &[empty]).contains(&Order::Revoke { slice: 0, ep: ep(0) }));
    a.handle(s(100.5), &[ack(0, 1), ack(1, 1)]);
    assert_eq!(grants(&a.handle(s(103.0), &[Event::Timer])), []);
    let back = Event::List { kind: ListKind::Full, entries: vec![entry(1, Listed::Ready)] };
    assert_eq!(grants(&a.handle(s(103.1), &[back])), [(0, 1)]);
}

/// A day that replaces every server under a new name must not fill the tables with those that are gone.
#[test]
fn an_index_goes_to_another_server_once_nothing_names_the_former() {
    let mut a = fleet(3, &[(0, 1.0)]);
    assert!(!a.is_done_with(0) && !a.is_done_with(1), "one owns, one is ready");
    a.handle(s(100.0), &[list(vec![entry(0, Listed::Gone), entry(1, Listed::Gone)])]);
    assert!(!a.is_done_with(0) && a.is_done_with(1), "the first still owns");
    a.servers[1].learned_limit = Some(1.0);
    let other = Ep { index: 1, stable: 77 };
    let entry = Entry { ep: other, ..entry(1, Listed::Ready) };
    a.handle(s(100.1), &[list(vec![entry])]);
    assert_eq!(
        (a.servers[1].endpoint, a.servers[1].learned_limit, a.servers[1].seen_serving),
        (other, None, false)
    );
    assert!(a.rendezvous_order.iter().all(|order| order.len() == 3));
}

/// At a planned restart a slice without an owner would wait a lease twice, at each assigner that takes it over.
#[test]
fn a_slice_given_without_an_owner_waits_for_answers_where_all_proxies_are_known() {
    for (all, granted) in [(2, true), (3, false)] {
        let mut a = fleet(2, &[(0, 1.0)]);
        a.cfg.total_proxies = all;
        assert!(a.handle(s(100.0), &[Event::Given { slice: 0 }]).contains(&Order::Mark { mark: 1 }));
        a.handle(s(100.5), &[ack(0, 1)]);
        assert_eq!(grants(&a.handle(s(101.9), &[Event::Timer])), [], "one has not answered");
        assert_eq!(grants(&a.handle(s(102.0), &[ack(1, 1)])).len() == 1, granted, "of {all} proxies");
    }
}

#[test]
fn a_moves_take_over_needs_no_lease_where_all_proxies_answer() {
    let mut a = fleet(2, &[(0, 1.0)]);
    a.cfg.total_proxies = 2;
    a.handle(s(100.0), &[Event::Given { slice: 0 }, Event::Stored { slice: 0, ep: ep(0) }]);
    a.handle(s(100.1), &[list(vec![entry(0, Listed::Gone)])]);
    assert_eq!(grants(&a.handle(s(101.0), &[ack(0, 1), ack(1, 1)])), []);
    assert_eq!(grants(&a.handle(s(102.3), &[Event::Timer])), [(0, 1)]);
}

#[test]
fn after_a_restart_a_stored_owner_stays_and_its_move_waits_a_lease() {
    let mut a = fleet(2, &[(0, 1.0)]);
    a.handle(s(100.0), &[Event::Given { slice: 0 }, Event::Stored { slice: 0, ep: ep(0) }]);
    a.handle(s(100.1), &[list(vec![entry(0, Listed::Gone)])]);
    assert_eq!(grants(&a.handle(s(101.0), &[ack(0, 1), ack(1, 1)])), []);
    assert_eq!(grants(&a.handle(s(105.1), &[Event::Timer])), []);
    assert_eq!(grants(&a.handle(s(105.3), &[Event::Timer])), [(0, 1)]);
}

#[test]
fn a_drain_stops_writes_first_and_reads_within_the_grace() {
    let mut a = fleet(2, &[(0, 1.0)]);
    let orders = a.handle(s(100.0), &[list(vec![entry(0, Listed::Draining)])]);
    assert!(orders.contains(&Order::Level { slice: 0, share: 0.0, methods: 2, tries: 0 }));
    assert!(!orders.contains(&Order::Revoke { slice: 0, ep: ep(0) }));
    let orders = a.handle(s(100.9), &[Event::Timer]);
    assert!(orders.contains(&Order::Revoke { slice: 0, ep: ep(0) }));
}

/// A view in which a unit of demand is a unit of load, and every server offers all its room.
fn plain_view(a: &Assigner) -> LoadSnapshot {
    let demand = a.demand();
    let loads = a.demand_by_server(&demand, |s| s.owner);
    let rooms = loads.iter().map(|l| (HOT_LOAD - l).max(0.0)).collect();
    let average = loads.iter().sum::<f64>() / loads.len() as f64;
    LoadSnapshot {
        own_loads: loads.clone(),
        load_per_demand: vec![1.0; loads.len()],
        loads,
        headroom: rooms,
        demand,
        average_load: average,
        ..LoadSnapshot::default()
    }
}

#[test]
fn elimination_moves_the_least_demand_that_cools_the_hot_server() {
    let a = fleet(3, &[(0, 0.5), (0, 0.3), (0, 0.2), (1, 0.3), (2, 0.3)]);
    let moves = a.greedy_moves(&plain_view(&a), HOT_LOAD, false).unwrap();
    assert_eq!(moves.iter().map(|m| m.0).collect::<Vec<_>>(), [2]);
}

#[test]
fn skew_alone_moves_nothing_while_no_answers_wait() {
    let mut a = fleet(3, &[(0, 0.9), (0, 0.9), (1, 0.3), (2, 0.3)]);
    (0..2 * MIN_SKEWED_ROUNDS).for_each(|_| a.make_plan());
    assert!(a.plan.pending_batches.is_empty());
    met(&mut a, 0, 40, 0, 0.4);
    a.servers[0].baseline_wait = Some(0.1);
    (0..MIN_SKEWED_ROUNDS).for_each(|_| a.make_plan());
    assert!(!a.plan.pending_batches.is_empty());
}

#[test]
fn leveling_finds_nothing_to_do_in_a_level_fleet() {
    let a = fleet(3, &[(0, 0.3), (1, 0.3), (2, 0.3)]);
    assert_eq!(a.greedy_moves(&plain_view(&a), 0.33, false), Some(vec![]));
}

#[test]
fn mitigation_cuts_overload_where_elimination_cannot() {
    let a = fleet(2, &[(0, 0.55), (0, 0.55), (0, 0.5), (1, 0.2)]);
    let view = plain_view(&a);
    assert_eq!(a.greedy_moves(&view, HOT_LOAD, false), None);
    let moves = a.greedy_moves(&view, HOT_LOAD, true).unwrap();
    assert_eq!(moves.len(), 1);
    assert_eq!(moves[0].1, 1);
}

#[test]
fn a_destination_gets_no_more_than_its_room() {
    let a = fleet(2, &[(0, 0.5), (0, 0.4), (1, 0.1)]);
    let mut view = plain_view(&a);
    view.headroom[1] = 0.35;
    assert_eq!(a.greedy_moves(&view, HOT_LOAD, false), None);
}

#[test]
fn batches_run_sinks_first_and_cycles_break_at_the_least_loaded() {
    let a = fleet(3, &[(0, 0.5), (1, 0.3), (2, 0.1)]);
    let view = plain_view(&a);
    let batches = a.order_into_batches(vec![(0, 1), (1, 2)], &view);
    assert_eq!(batches, [vec![(1, 2)], vec![(0, 1)]]);
    let batches = a.order_into_batches(vec![(0, 1), (1, 2), (2, 0)], &view);
    assert_eq!(batches[0], [(1, 2)]);
}

#[test]
fn a_batch_waits_for_the_one_before() {
    let mut a = fleet(3, &[(0, 0.5), (1, 0.3)]);
    a.plan.pending_batches = [vec![(1, 2)], vec![(0, 1)]].into();
    a.run_next_batch();
    a.run_next_batch();
    assert!(a.slices[1].handover.is_some() && a.slices[0].handover.is_none());
    a.slices[1].handover = None;
    a.run_next_batch();
    assert!(a.slices[0].handover.is_some());
}

#[test]
fn a_stale_report_of_an_idle_server_attracts_nothing() {
    let mut a = fleet(2, &[(0, 0.5), (1, 0.5)]);
    a.servers[0].cpu = Some((0.5, a.now));
    a.servers[1].cpu = Some((0.05, a.now));
    assert!(a.load_snapshot().headroom[1] > 0.5);
    a.servers[1].cpu = Some((0.05, s(90.0)));
    assert!(a.load_snapshot().headroom[1] < 0.4);
}

#[test]
fn a_restarted_owner_is_let_no_more_than_its_cold_budget_at_once() {
    let mut a = fleet(4, &[(0, 0.3), (0, 0.3), (0, 0.3), (1, 0.3), (2, 0.3), (3, 0.3)]);
    let cold = Entry { started: Some(s(99.9)), ..entry(0, Listed::Ready) };
    let orders = a.handle(s(100.0), &[list(vec![cold])]);
    let shut = |id: SliceId| {
        orders.iter().any(|o| match o {
            Order::Level { slice, share, .. } => *slice == id && *share < 1.0,
            Order::Revoke { slice, .. } => *slice == id,
            _ => false,
        })
    };
    assert!((0..3).all(shut));
}

#[test]
fn a_cold_owner_over_its_budget_hands_slices_on_at_once() {
    let mut a = fleet(4, &[(0, 3.0), (0, 3.0), (1, 3.0), (2, 3.0), (3, 1.0)]);
    a.servers[0].started_at = Some(s(99.9));
    a.evacuate();
    let moved = a.slices.iter().filter(|s| s.handover.as_ref().is_some_and(|h| h.revoked)).count();
    assert!(moved > 0 && a.slices[2].handover.is_none());
}

#[test]
fn idle_slices_do_not_crowd_onto_a_cold_server() {
    let mut a = fleet(2, &[(0, 0.0), (0, 0.0), (0, 0.0), (0, 0.0), (1, 4.0), (1, 4.0)]);
    a.servers[0].started_at = Some(s(99.0));
    assert_eq!(a.load_snapshot().headroom[0], 0.0);
}

#[test]
fn no_batch_starts_while_the_channel_is_filled() {
    let mut a = fleet(3, &[(0, 0.5), (1, 0.3)]);
    a.plan.pending_batches = [vec![(1, 2)]].into();
    a.channel.queued_lines = 3000.0;
    a.run_next_batch();
    assert!(a.slices[1].handover.is_none());
}

#[test]
fn levels_wait_while_the_channel_is_filled_but_a_stop_does_not() {
    let mut a = fleet(3, &[(0, 0.5), (1, 0.3)]);
    a.channel.queued_lines = 3000.0;
    a.servers[0].criticality_cutoff = 0.5;
    a.start_handover(1, Some(2), false);
    a.order_levels(true);
    assert_eq!(a.output, [Order::Level { slice: 1, share: 0.0, methods: 2, tries: 0 }]);
}

#[test]
fn tuning_waits_for_the_ack_of_the_last() {
    let mut a = fleet(1, &[(0, 0.5)]);
    a.servers[0].criticality_cutoff = 0.5;
    a.order_levels(true);
    a.finish_reply();
    a.servers[0].criticality_cutoff = 0.2;
    a.order_levels(true);
    assert!(a.output.is_empty());
    a.proxy_acked(0, 1, s(0.3));
    a.order_levels(true);
    assert_eq!(a.output, [Order::Level { slice: 0, share: 0.8, methods: 1, tries: 0 }]);
}

/// Gives a server `tries` of which `lost` failed, and waits of `wait` seconds for the others.
pub(super) fn met(a: &mut Assigner, server: usize, tries: u64, lost: u64, wait: f64) {
    let load = LoadReport::default();
    a.apply_event(&Event::Met { ep: ep(server), zone: 0, tries, lost, wait: s(wait), span: s(1.0), load });
}

#[test]
fn a_server_that_aborts_is_sick_but_an_overloaded_one_is_not() {
    let mut a = fleet(5, &[]);
    (0..3).for_each(|i| met(&mut a, i, 40, 0, 0.1));
    met(&mut a, 3, 40, 20, 0.1);
    met(&mut a, 4, 40, 20, 0.45);
    a.servers[4].baseline_wait = Some(0.1);
    a.evaluate_servers();
    assert!(a.servers[3].unhealthy_until.is_some());
    assert!(a.servers[4].unhealthy_until.is_none());
}

#[test]
fn no_more_than_half_of_the_servers_are_held_sick() {
    let mut a = fleet(6, &[]);
    (0..5).for_each(|i| met(&mut a, i, 40, 40, 0.1));
    met(&mut a, 5, 4000, 0, 0.1);
    a.evaluate_servers();
    assert_eq!(a.servers.iter().filter(|s| s.unhealthy_until.is_some()).count(), 3);
}

#[test]
fn a_silent_owner_is_sick_only_if_its_peers_answer() {
    let mut a = fleet(4, &[(0, 60.0), (1, 60.0), (2, 60.0), (3, 60.0)]);
    a.now = s(103.0);
    a.evaluate_servers();
    assert!(a.servers.iter().all(|s| s.unhealthy_until.is_none()));
    (1..4).for_each(|i| met(&mut a, i, 20, 0, 0.1));
    a.evaluate_servers();
    assert!(a.servers[0].unhealthy_until.is_some());
}

#[test]
fn a_cold_server_that_must_take_slices_is_let_no_more_than_its_budget() {
    let mut a = fleet(2, &[(0, 20.0), (1, 20.0)]);
    a.method_rpcs.iter_mut().for_each(|sum| sum.add(a.now, a.half_life, 30.0, a.half_life));
    a.servers[0].started_at = Some(a.now);
    a.set_criticality_cutoffs();
    // It counts as at half its load, in a fifth of its capacity: 2.5 against its budget.
    let over = 1.0 - a.unreported_cold_budget() / 2.5;
    assert!(
        (a.servers[0].criticality_cutoff - 2.0 * over).abs() < 0.01,
        "{}",
        a.servers[0].criticality_cutoff
    );
    assert_eq!(a.servers[1].criticality_cutoff, 0.0);
}

#[test]
fn where_nothing_is_learned_lost_tries_cut_what_a_cold_server_is_let() {
    let shut_out = |lost: u64| {
        let mut a = fleet(3, &[(0, 20.0), (1, 20.0), (2, 20.0)]);
        a.servers[0].started_at = Some(s(95.0));
        (1..3).for_each(|server| met(&mut a, server, 20, lost, 0.1));
        a.set_criticality_cutoffs();
        a.servers[0].rejected_fraction
    };
    assert!(shut_out(0) < 0.01, "{}", shut_out(0));
    assert!(shut_out(12) > 0.3, "{}", shut_out(12));
}

#[test]
fn servers_of_a_zone_whose_proxies_all_left_are_cut_off_not_sick() {
    let mut a = fleet(3, &[(0, 1e5), (1, 1e5), (2, 1e5)]);
    a.servers[0].zone = 1;
    a.proxies.insert(2, Proxy { zone: 1, joined: false, state_since: s(100.0) });
    for (at, sick) in [(110.0, false), (111.0, true)] {
        a.now = s(at);
        (1..3).for_each(|i| met(&mut a, i, 20, 0, 0.1));
        a.evaluate_servers();
        assert_eq!(a.servers[0].unhealthy_until.is_some(), sick);
    }
}

/// Reports came 0.55 s before the period's work each time, and failing servers kept their slices so much longer.
#[test]
fn servers_are_judged_as_reports_come_and_without_them_a_little_later() {
    let failing = Event::Met {
        ep: ep(0),
        zone: 0,
        tries: 20,
        lost: 20,
        wait: Duration::ZERO,
        span: s(1.0),
        load: LoadReport::default(),
    };
    let period = |a: &mut Assigner, at: f64, event: &Event| {
        let before = a.next_period_at;
        a.handle(s(at), std::slice::from_ref(event));
        a.next_period_at != before
    };
    let mut a = fleet(3, &[(0, 300.0), (1, 300.0), (2, 300.0)]);
    a.handle(s(101.0), &[Event::Timer]);
    assert!(!period(&mut a, 101.7, &failing), "too soon after the last");
    assert!(!period(&mut a, 102.0, &Event::Timer), "reports may come yet");
    assert!(period(&mut a, 102.1, &failing) && a.servers[0].unhealthy_until.is_some());
    // From then on they meet, though one comes a little early.
    assert!(period(&mut a, 103.05, &failing));
    assert!(!period(&mut a, 104.2, &Event::Timer) && period(&mut a, 104.4, &Event::Timer));
}

#[test]
fn a_gap_in_which_we_stood_still_makes_nobody_sick() {
    let mut a = fleet(4, &[(0, 60.0), (1, 60.0), (2, 60.0), (3, 60.0)]);
    a.handle(s(100.0), &[Event::Timer]);
    a.handle(s(108.0), &[Event::Timer]);
    assert!(a.servers.iter().all(|s| s.unhealthy_until.is_none()));
}

#[test]
fn a_silent_owner_listed_ready_leaves_though_a_proxy_is_away_and_another_acks_late() {
    let mut a = fleet(4, &[(0, 300.0), (1, 300.0), (2, 300.0), (3, 300.0)]);
    a.handle(s(102.0), &[Event::Left { proxy: 1 }]);
    a.now = s(103.3);
    (1..4).for_each(|i| met(&mut a, i, 20, 0, 0.1));
    let orders = a.handle(s(103.3), &[Event::Timer]);
    assert!(orders.contains(&Order::Revoke { slice: 0, ep: ep(0) }));
    // The absent proxy's lease ends at 106, the other's answer tells of 106.5, and writes settle in 1.2 s.
    (1..4).for_each(|i| met(&mut a, i, 20, 0, 0.1));
    a.handle(s(107.0), &[Event::Acked { proxy: 0, mark: 1, way: s(3.2) }]);
    assert_eq!(grants(&a.handle(s(107.6), &[Event::Timer])), []);
    assert_eq!(grants(&a.handle(s(107.8), &[Event::Timer])).len(), 1);
}

#[test]
fn an_overloaded_server_is_let_less_of_the_least_critical_method_first() {
    let mut a = fleet(1, &[(0, 40.0)]);
    a.method_rpcs.iter_mut().for_each(|sum| sum.add(a.now, a.half_life, 30.0, a.half_life));
    met(&mut a, 0, 40, 0, 0.9);
    a.evaluate_servers();
    a.set_criticality_cutoffs();
    a.order_levels(true);
    // It did 40 in a half-life of 1 s: ln 2 * 40 = 27.7 a second; nine tenths are 25 of the 40 that come.
    assert_eq!(a.output.pop(), Some(Order::Level { slice: 0, share: 0.25, methods: 1, tries: 0 }));
}

#[test]
fn a_failed_call_is_asked_again_later() {
    let mut a = fleet(1, &[]);
    let failed = Event::List { kind: ListKind::Failed, entries: vec![] };
    assert!(!a.handle(s(100.0), &[failed]).contains(&Order::Watch));
    assert!(a.handle(s(101.0), &[Event::Timer]).contains(&Order::Watch));
}

#[test]
fn the_same_events_give_the_same_orders() {
    let run = || {
        let mut a = moving();
        let mut orders = a.handle(s(100.4), &[ack(0, 1), ack(1, 1), list(vec![entry(2, Listed::Gone)])]);
        orders.extend(a.handle(s(102.0), &[Event::Timer]));
        orders
    };
    assert_eq!(run(), run());
}

#[test]
fn a_feed_that_lags_makes_nobody_sick_late_or_moved() {
    let owners: Vec<(usize, f64)> = (0..40).map(|id| (id % 8, 5.0)).collect();
    let mut a = fleet(8, &owners);
    // Each report covers four periods and comes when the next four have passed.
    for round in 0..20u32 {
        let mut events = vec![Event::Timer];
        for id in (0..40).filter(|id| id % 4 == round as usize % 4) {
            let (ep, span, wait) = (ep(id % 8), s(4.0), s(0.1));
            events.push(Event::Demand { slice: id, method: 0, rpcs: 20, lost: 0, span });
            let load = LoadReport::default();
            events.push(Event::Met { ep, zone: 0, tries: 20, lost: 0, wait, span, load });
        }
        let orders = a.handle(s(101.0 + f64::from(round)), &events);
        let harmless = |o: &Order| matches!(o, Order::Wake { .. } | Order::Watch);
        assert!(orders.iter().all(harmless), "{orders:?}");
    }
    assert_eq!(a.half_life, s(4.0));
    assert!((a.demand()[0] - 5.0).abs() < 2.5, "{:?}", a.demand());
}

#[test]
fn a_report_of_a_long_stretch_counts_as_spread_over_it() {
    let (mut long, mut short, half) = (DecayingSum::default(), DecayingSum::default(), s(1.0));
    long.add(s(100.0), half, 10.0, s(0.5));
    short.add(s(100.0), half, 10.0, s(0.001));
    let first = long.read(s(100.0), half);
    assert!(first < short.read(s(100.0), half));
    long.add(s(101.0), half, 0.0, half);
    assert!((long.read(s(102.0), half) * 4.0 - first).abs() < 1e-9);
}

/// Servers 0 to 3 own slices with demand; the list drops those named, in full or by changes.
fn dropped(advice: bool, gone: &[usize], kind: ListKind) -> (Assigner, Vec<Order>) {
    let mut a = fleet(4, &[(0, 60.0), (1, 60.0), (2, 60.0), (3, 60.0)]);
    a.cfg.gone_is_advisory = advice;
    let entries = match kind {
        ListKind::Changes => gone.iter().map(|i| entry(*i, Listed::Gone)).collect(),
        _ => (0..4).filter(|i| !gone.contains(i)).map(|i| entry(i, Listed::Ready)).collect(),
    };
    let orders = a.handle(s(100.0), &[Event::List { kind, entries }]);
    (a, orders)
}

#[test]
fn where_gone_is_advice_a_dropped_server_that_serves_stays_and_a_silent_one_goes() {
    for kind in [ListKind::Changes, ListKind::Full] {
        let (mut a, orders) = dropped(true, &[0, 1, 2], kind);
        assert!(!orders.iter().any(|o| matches!(o, Order::Revoke { .. })));
        a.now = s(103.0);
        (1..4).for_each(|i| met(&mut a, i, 20, 0, 0.1));
        a.evaluate_servers();
        let listed: Vec<Listed> = a.servers.iter().map(|s| s.listed_status).collect();
        assert_eq!(listed, [Listed::Gone, Listed::Ready, Listed::Ready, Listed::Ready]);
    }
}

#[test]
fn where_gone_binds_a_dropped_server_loses_its_slices_at_once() {
    let (_, orders) = dropped(false, &[0], ListKind::Full);
    assert!(orders.contains(&Order::Revoke { slice: 0, ep: ep(0) }));
}

#[test]
fn an_empty_list_and_one_of_only_unknown_servers_empty_no_table_that_serves() {
    for unknown in [None, Some(9)] {
        let mut a = fleet(2, &[(0, 1.0), (1, 1.0)]);
        a.cfg.gone_is_advisory = true;
        let entries = unknown.map(|i| entry(i, Listed::Ready)).into_iter().collect();
        let orders = a.handle(s(100.0), &[Event::List { kind: ListKind::Full, entries }]);
        assert!(!orders.iter().any(|o| matches!(o, Order::Revoke { .. } | Order::Grant { .. })));
    }
}

#[test]
fn a_server_never_seen_to_serve_gets_nothing_before_a_probe_is_answered_else_a_few_slices() {
    let mut a = fleet(3, &[(0, 1.0), (0, 1.0), (0, 1.0), (0, 1.0), (1, 1.0)]);
    (a.servers[2].seen_serving, a.cfg.may_probe) = (false, true);
    assert_eq!(a.load_snapshot().headroom[2], 0.0);
    a.apply_event(&Event::Probed { ep: ep(2), result: Probe::Ok, load: LoadReport::default() });
    assert!(a.load_snapshot().headroom[2] > 0.0);
    (a.servers[2].seen_serving, a.cfg.may_probe) = (false, false);
    assert!(a.load_snapshot().headroom[2] > 0.0);
    a.slices.iter_mut().take(MAX_UNCONFIRMED_SLICES as usize).for_each(|slice| slice.owner = Some(2));
    assert_eq!(a.load_snapshot().headroom[2], 0.0);
}

#[test]
fn an_answered_mark_tells_that_what_went_before_has_left_the_channel() {
    let mut a = moving();
    a.channel.queued_lines = 5000.0;
    a.channel.queued_messages = [(0, 4000.0, a.now), (1, 20.0, a.now)].into();
    a.proxy_acked(0, 1, s(0.3));
    assert_eq!(a.channel.queued_lines, 20.0);
}

#[test]
fn grants_that_the_channel_cannot_hold_wait_for_the_next_message() {
    let mut a = fleet(2, &[(0, 0.1); 40]);
    (0..40).for_each(|id| a.start_handover(id, Some(1), true));
    a.slices.iter_mut().for_each(|slice| slice.handover.as_mut().unwrap().acks.clear());
    (a.output, a.channel.reserved_orders) = (Vec::new(), 0);
    (a.channel.queued_lines, a.cfg.max_backlog_lines) = (0.0, 200.0);
    a.grant_settled_slices();
    let first = grants(&a.output).len();
    assert!(first > 0 && first < 40, "{first}");
}

#[test]
fn a_drain_of_more_slices_than_the_grace_has_time_for_takes_the_lines_away_at_once() {
    let mut a = fleet(2, &[(0, 0.01); 700]);
    let orders = a.handle(s(100.0), &[list(vec![entry(0, Listed::Draining)])]);
    assert!(orders.contains(&Order::Revoke { slice: 0, ep: ep(0) }));
    assert!(!orders.iter().any(|o| matches!(o, Order::Level { .. })));
}

#[test]
fn an_owner_taken_over_is_judged_afresh() {
    let mut a = fleet(4, &[(0, 60.0), (1, 60.0), (2, 60.0), (3, 60.0)]);
    a.servers[0].last_ok_at = s(0.0);
    a.servers[0].unhealthy_until = Some(s(300.0));
    a.apply_event(&Event::Given { slice: 0 });
    a.apply_event(&Event::Stored { slice: 0, ep: ep(0) });
    a.evaluate_servers();
    assert!(usable(&a.servers[0]));
}

#[test]
fn a_server_slower_than_its_peers_is_hot_whatever_its_own_usual_time_but_not_in_a_release() {
    let mut a = fleet(5, &[(0, 40.0), (1, 40.0), (2, 40.0), (3, 40.0), (4, 40.0)]);
    a.servers.iter_mut().for_each(|server| server.service_time = Some(0.1));
    a.servers[0].service_time = Some(1.0);
    (0..5).for_each(|i| met(&mut a, i, 20, 0, if i == 0 { 1.2 } else { 0.12 }));
    a.evaluate_servers();
    let waits: Vec<bool> = a.servers.iter().map(|server| a.has_queueing(server)).collect();
    assert_eq!(waits, [true, false, false, false, false]);
    a.servers[4].started_at = Some(a.now);
    a.evaluate_servers();
    assert!(!a.has_queueing(&a.servers[0]));
}

#[test]
fn probes_and_log_lines_take_no_room_in_the_channel() {
    let mut a = fleet(2, &[(0, 1.0)]);
    let local = [Order::Probe { ep: ep(0) }, Order::Log { text: String::new() }, Order::Watch];
    a.output = local.iter().cycle().take(3000).cloned().collect();
    assert!(a.channel_is_below(PLAN_START_FILL));
    a.output = vec![Order::Grant { slice: 0, ep: ep(0) }; 3000];
    assert!(!a.channel_is_below(DRAIN_STOP_FILL));
}

/// What a wish for slice 0 at server 1 comes to in the next plan.
fn wished(mut a: Assigner) -> Option<Option<usize>> {
    a.handle(s(100.0), &[Event::Wished { slice: 0, to: ep(1) }]);
    a.handle(s(101.0), &[Event::Timer]);
    assert!(a.plan.requested_moves.is_empty());
    a.slices[0].handover.as_ref().map(|handover| handover.destination)
}

#[test]
fn a_wish_is_a_move_of_the_next_plan_even_for_a_slice_that_would_stay() {
    let mut a = fleet(3, &[(0, 0.2), (0, 0.8), (1, 1.0), (2, 1.0)]);
    a.slices[0].movable_from = s(500.0);
    assert_eq!(wished(a), Some(Some(1)));
}

#[test]
fn a_wish_without_room_or_for_a_server_that_is_not_well_is_let_go() {
    let with = |act: &dyn Fn(&mut Assigner)| {
        let mut a = fleet(3, &[(0, 0.2), (0, 0.8), (1, 1.0), (2, 1.0)]);
        act(&mut a);
        wished(a)
    };
    assert_eq!(with(&|a| a.servers[1].unhealthy_until = Some(s(500.0))), None);
    assert_eq!(with(&|a| a.servers[1].listed_status = Listed::Draining), None);
    assert_eq!(with(&|a| a.servers[1].seen_serving = false), None);
    // It can do less than the slice brings.
    let full = with(&|a| {
        a.servers[1].learned_limit = Some(0.5);
        a.servers[1].limit_reduced_at = Some(a.now);
    });
    assert_eq!(full, None);
}

/// What proxies read of slices that are given to us does not pass through our channel: 878 came at once, and a mark
/// ordered then was answered after 0.5 s, where their lines would have taken 4.8 s.
#[test]
fn slices_given_leave_the_channel_as_it_was() {
    let mut a = fleet(2, &[(0, 1.0); 4000]);
    let given = (0..4000).flat_map(|slice| [Event::Given { slice }, Event::Stored { slice, ep: ep(0) }]);
    let orders = a.handle(s(100.1), &given.collect::<Vec<_>>());
    assert!(
        a.channel_is_below(PLAN_START_FILL) && !orders.iter().any(Order::costs_a_line),
        "{}",
        a.channel_lines()
    );
}

/// On a roll+mass day of another customer the channel ran eight times slower than stated: an answer that is
/// overdue says so, long before the queue is full.
#[test]
fn an_overdue_answer_tells_of_a_channel_slower_than_reckoned() {
    let mut a = fleet(2, &[(0, 1.0); 4]);
    a.channel.last_ack_seq = 1;
    a.channel.queued_messages = [(0, 2000.0, a.now), (1, 1500.0, a.now)].into();
    (a.channel.queued_lines, a.channel.updated_at) = (3500.0, a.now);
    a.handle(s(100.7), &[Event::Timer]);
    assert!((a.channel_lines() - 2800.0).abs() < 1.0, "{}", a.channel_lines());
    a.handle(s(100.9), &[Event::Timer]);
    assert!((a.channel_lines() - 3450.0).abs() < 1.0, "{}", a.channel_lines());
    a.handle(s(101.9), &[Event::Timer]);
    assert!((a.channel_lines() - 3200.0).abs() < 1.0, "{}", a.channel_lines());
    a.handle(s(102.0), &[Event::Acked { proxy: 1, mark: 1, way: s(1.9) }]);
    assert!(a.channel_lines() <= 1500.0, "{}", a.channel_lines());
}

fn with_settings(pairs: &[(&str, &str)]) -> Assigner {
    let mut a = fleet(3, &[(0, 1.0), (1, 1.0)]);
    let text = format!("{SETTINGS}2");
    let mut settings: BTreeMap<String, String> = text
        .split_whitespace()
        .map(|p| p.split_once('=').unwrap())
        .map(|(k, v)| (k.to_string(), v.to_string()))
        .collect();
    settings.extend(pairs.iter().map(|(k, v)| (k.to_string(), v.to_string())));
    a.cfg = Config::read(&Settings(settings)).unwrap();
    a
}

fn drained(a: &mut Assigner) -> Vec<Order> {
    let entry = Entry { ep: ep(0), zone: 0, listed: Listed::Draining, size: 1.0, started: None };
    a.handle(s(100.1), &[Event::List { kind: ListKind::Changes, entries: vec![entry] }])
}

/// Where slices are not exclusive, a grant is one more line: the former owner's stayed, and when it drained
/// nobody ended it. And nothing is to be waited for: the slice has an owner all the while.
#[test]
fn without_exclusive_owners_a_drain_moves_at_once_and_leaves_no_line() {
    let mut a = with_settings(&[("familyInfo.oneOwner", "0"), ("familyInfo.admission", "off")]);
    let orders = drained(&mut a);
    let Some((0, to)) = grants(&orders).first().copied() else { panic!("{orders:?}") };
    assert!(to != 0 && orders.contains(&Order::Revoke { slice: 0, ep: ep(0) }), "{orders:?}");
    assert!(!orders.iter().any(|o| matches!(o, Order::Level { .. })), "{orders:?}");
    assert_eq!((a.owner(0), a.moving(0)), (Some(to), false));
}

/// A planned move leaves no line behind either, and stops no writes.
#[test]
fn without_exclusive_owners_a_planned_move_leaves_no_line() {
    let mut a = with_settings(&[("familyInfo.oneOwner", "0")]);
    a.plan.pending_batches = [vec![(0, 2)]].into();
    let orders = a.handle(s(100.1), &[Event::Timer]);
    assert_eq!(grants(&orders), [(0, 2)]);
    assert!(orders.contains(&Order::Revoke { slice: 0, ep: ep(0) }), "{orders:?}");
    assert!(!orders.iter().any(|o| matches!(o, Order::Level { share: 0.0, .. })), "{orders:?}");
}

/// A release with everything on one assigner: moves wait for room, and none goes out past it.
#[test]
fn without_exclusive_owners_moves_stop_where_the_channel_is_full() {
    let mut a = with_settings(&[("familyInfo.oneOwner", "0"), ("familyInfo.admission", "off")]);
    a.slices = vec![a.slices[0].clone(); 2000];
    a.rendezvous_order = vec![Vec::new(); 2000];
    let first = drained(&mut a).len();
    assert!((1000..1500).contains(&first), "{first}");
    for tick in 2..20 {
        a.handle(s(100.0 + 0.1 * f64::from(tick)), &[Event::Timer]);
        assert!(a.channel_lines() < a.cfg.max_backlog_lines, "{}", a.channel_lines());
    }
}

/// Where levels are not followed, writes end only with the line.
#[test]
fn without_levels_an_exclusive_slice_is_cut_before_it_moves() {
    let mut a = with_settings(&[("familyInfo.oneOwner", "1"), ("familyInfo.admission", "off")]);
    a.start_handover(0, Some(2), false);
    let orders = a.handle(s(100.1), &[Event::Timer]);
    assert!(orders.contains(&Order::Revoke { slice: 0, ep: ep(0) }) && grants(&orders).is_empty());
}

/// Where levels are rates, what was meant as all or nothing must not let one RPC a second in.
#[test]
fn where_levels_are_rates_all_is_far_more_than_one() {
    let mut a = with_settings(&[("familyInfo.admission", "rate")]);
    a.servers[0].learned_limit = Some(0.1);
    a.start_handover(0, Some(2), false);
    let orders = a.handle(s(100.1), &[Event::Timer]);
    let shares = |orders: &[Order]| -> Vec<f64> {
        let share = |o: &Order| if let Order::Level { share, .. } = o { Some(*share) } else { None };
        orders.iter().filter_map(share).collect()
    };
    assert_eq!(shares(&orders), [0.0]);
    let acks = [0, 1].map(|proxy| Event::Acked { proxy, mark: 1, way: s(0.1) });
    a.handle(s(100.3), &acks);
    let orders = a.handle(s(102.0), &[Event::Timer]);
    assert_eq!((grants(&orders), shares(&orders)), (vec![(0, 2)], vec![ALL_LET_IN]));
}

/// A value that a rule rests on is never taken for absent when it cannot be read, and absent ones are the safe ones.
#[test]
fn settings_of_other_customers_are_read_or_named() {
    let cfg = |pairs: &[(&str, &str)]| -> Result<Config, SettingsError> {
        let text = format!("{SETTINGS}2");
        let mut all: BTreeMap<String, String> = text
            .split_whitespace()
            .map(|p| p.split_once('=').unwrap())
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .collect();
        for (path, value) in pairs {
            match *value {
                "" => drop(all.remove(*path)),
                value => drop(all.insert(path.to_string(), value.to_string())),
            }
        }
        Config::read(&Settings(all))
    };
    let safe = cfg(&[]).unwrap();
    assert!(safe.exclusive && safe.fence_writes && safe.admission == Admission::Share);
    let free = [("familyInfo.oneOwner", "0"), ("familyInfo.writeLease", ""), ("familyInfo.inFlightMax", "")];
    let free = cfg(&free).unwrap();
    assert!(!free.fence_writes && free.write_lease.is_zero());
    let reads = cfg(&[("familyInfo.mutating", "0,0"), ("familyInfo.writeLease", "")]).unwrap();
    assert!(reads.exclusive && !reads.fence_writes);
    for (path, value) in [
        ("familyInfo.oneOwner", "maybe"),
        ("familyInfo.admission", "some"),
        ("familyInfo.writeLease", ""),
        ("familyInfo.inFlightMax", "-1"),
        ("familyInfo.dataPlaneSize", "many"),
        ("rules.mustAskIn", "soon"),
        ("rules.goneIsAdvice", "7"),
    ] {
        let error = cfg(&[(path, value)]).err().unwrap_or_else(|| panic!("{path}={value} was taken"));
        assert_eq!(error.path, path);
    }
}

/// With long heads against a short backlog drains went out a few slices a message, and half the channel was heads:
/// a drain ended 3.84 s after it was told, where 3.8 s are allowed.
#[test]
fn a_drain_waits_for_room_that_several_heads_fit() {
    for (filled, goes) in [(0.45, true), (0.65, false)] {
        let mut a = with_settings(&[("familyInfo.oneOwner", "0"), ("familyInfo.overhead", "260")]);
        (a.channel.queued_lines, a.channel.updated_at) = (filled * a.cfg.max_backlog_lines, s(100.1));
        assert_eq!(drained(&mut a).iter().any(Order::costs_a_line), goes, "filled {filled}");
    }
}

/// Two release steps' slices on one assigner are more than the channel carries in the grace if each takes a grant
/// and an end: in time, what is left ends first, and the grants follow.
#[test]
fn without_exclusive_owners_a_late_drain_ends_its_line_first() {
    let mut a = with_settings(&[("familyInfo.oneOwner", "0"), ("familyInfo.admission", "off")]);
    a.slices = vec![a.slices[0].clone(); 1000];
    a.rendezvous_order = vec![Vec::new(); 1000];
    let first = drained(&mut a);
    assert!(!grants(&first).is_empty());
    let ends = |orders: &[Order]| orders.iter().filter(|o| matches!(o, Order::Revoke { .. })).count();
    let marks = a.channel.last_ack_seq as u16;
    let later = a.handle(s(101.9), &[Event::Acked { proxy: 0, mark: marks, way: s(0.1) }]);
    assert!(ends(&later) > 100 && grants(&later).is_empty(), "{} {}", ends(&later), grants(&later).len());
    // Nothing is awaited: they are granted as soon as there is room.
    let orders =
        a.handle(s(110.0), &[Event::Acked { proxy: 0, mark: a.channel.last_ack_seq as u16, way: s(0.1) }]);
    assert!(!grants(&orders).is_empty() && ends(&orders) == 0);
}

/// On a soak of another customer a call of 3275 lines was carried out, its answer was lost, and it was sent again at
/// once: 6550 lines waited where 5800 may.
#[test]
fn a_call_sent_again_waits_until_both_fit_the_channel() {
    let mut a = fleet(2, &[(0, 1.0); 4]);
    (a.channel.queued_lines, a.channel.updated_at) = (3300.0, s(100.0));
    assert!(!a.may_send_again(1642) && a.may_send_again(1000));
    a.handle(s(101.0), &[Event::Timer]);
    assert!(a.may_send_again(1500) && !a.may_send_again(1642), "{}", a.channel_lines());
    let before = a.channel_lines();
    a.sent_again(s(101.0), 100);
    assert_eq!(a.channel_lines() - before, 216.0);
}

/// On a soak with 44 lines a proxy and a head of 12, four heads fit nowhere: a drain waited for an empty queue and
/// ended 3.33 s after it was told, where 3.3 s are allowed.
#[test]
fn a_drain_on_a_narrow_channel_does_not_wait_for_an_empty_queue() {
    for (filled, goes) in [(0.3, true), (0.6, false)] {
        let mut a = with_settings(&[("familyInfo.oneOwner", "0"), ("familyInfo.overhead", "750")]);
        let first = drained(&mut a);
        assert!(first.iter().any(Order::costs_a_line));
        a.servers[1].listed_status = Listed::Draining;
        a.servers[1].not_ready_since = s(100.1);
        (a.channel.queued_lines, a.channel.updated_at) = (filled * a.cfg.max_backlog_lines, s(100.2));
        a.channel.queued_messages.clear();
        let orders = a.handle(s(100.2), &[Event::Timer]);
        assert_eq!(orders.iter().any(|o| matches!(o, Order::Revoke { .. })), goes, "filled {filled}");
    }
}

/// Where marks are rare, messages that left long ago must neither pile up nor count when an answer is overdue.
#[test]
fn messages_that_have_left_are_forgotten_though_no_mark_follows() {
    let mut a = with_settings(&[("familyInfo.oneOwner", "0"), ("familyInfo.admission", "off")]);
    for minute in 1..200 {
        let to = 1 + minute as usize % 2;
        a.plan.pending_batches = [vec![(0, to)]].into();
        a.slices[0].movable_from = Duration::ZERO;
        a.handle(s(100.0 + 60.0 * f64::from(minute)), &[Event::Timer]);
    }
    assert!(
        a.channel.queued_messages.len() <= 2,
        "{} messages, {:.0} lines",
        a.channel.queued_messages.len(),
        a.channel.unacked_lines()
    );
}
