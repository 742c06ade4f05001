//! Unresponsive servers: from the missed probe to the levels and lines that are published to proxies.

use std::collections::BTreeSet;

use super::super::tests::{assigner_with, endpoint, report_tries, secs};
use super::*;

/// Delivers the result of a probe of a server at a time in seconds; returns the orders.
fn deliver_probe_result(assigner: &mut Assigner, at: f64, server: usize, result: ProbeOutcome) -> Vec<Order> {
    assigner.handle(
        secs(at),
        &[Event::Probed { endpoint: endpoint(server), result, load: LoadReport::default() }],
    )
}

/// Lets a server miss two probes and have no ok answers reported until that is conclusive.
fn make_unresponsive(assigner: &mut Assigner, server: usize) {
    let since = assigner.now.as_secs_f64() + 0.1;
    deliver_probe_result(assigner, since, server, ProbeOutcome::Unanswered);
    deliver_probe_result(assigner, since + 0.3, server, ProbeOutcome::Unanswered);
    assigner.now += HALF_OPEN_DELAY + assigner.half_life * (REPORT_LAG_INTERVALS + 1);
    assigner.evaluate_health();
}

/// An assigner that may probe, with one slice for each server, in the middle of a period.
fn assigner_with_probing(servers: usize) -> Assigner {
    let owners: Vec<(usize, f64)> = (0..servers).map(|server| (server, 10.0)).collect();
    let mut assigner = assigner_with(servers, &owners);
    assigner.cfg.may_probe = true;
    assigner.next_probes_at = secs(100.5);
    assigner.now = secs(100.0);
    assigner
}

/// The slices, shares and methods of the levels among some orders.
fn ordered_levels(orders: &[Order]) -> Vec<(SliceId, f64, MethodMask)> {
    let level = |order: &Order| match order {
        Order::Level { slice, level, methods, .. } => Some((*slice, *level, *methods)),
        _ => None,
    };
    orders.iter().filter_map(level).collect()
}

fn orders_probe(orders: &[Order], server: usize) -> bool {
    orders.contains(&Order::Probe { endpoint: endpoint(server) })
}

/// Whether a handover has stopped all RPCs of the slice, by levels that its owner's line has now.
fn has_stopped_all_rpcs(assigner: &Assigner, id: SliceId) -> bool {
    let slice = &assigner.slices[id];
    slice.handover.as_ref().is_some_and(|handover| handover.stop == StopStage::AllRpcs)
        && slice.published_levels.iter().all(|level| *level == 0.0)
}

#[test]
fn server_that_misses_probe_is_rejected_and_probed_again_at_once() {
    let mut assigner = assigner_with_probing(4);
    let orders = deliver_probe_result(&mut assigner, 100.1, 0, ProbeOutcome::Unanswered);
    assert!(orders_probe(&orders, 0));
    // One order for all methods.
    assert_eq!(ordered_levels(&orders), [(0, 0.0, 0b11)]);
    assert!(!has_stopped_all_rpcs(&assigner, 0));
    let orders = deliver_probe_result(&mut assigner, 100.2, 0, ProbeOutcome::Ok);
    assert_eq!(ordered_levels(&orders), [(0, 1.0, 0b11)]);
    assert_eq!(assigner.servers[0].unhealthy_until, None);
}

#[test]
fn suspected_server_loses_slices_once_no_ok_answers_are_reported() {
    let mut assigner = assigner_with_probing(4);
    make_unresponsive(&mut assigner, 0);
    assert!(assigner.servers[0].unhealthy_until.is_some());
    let at = assigner.now;
    assigner.handle(at, &[Event::Timer]);
    assert!(has_stopped_all_rpcs(&assigner, 0));
}

#[test]
fn server_that_answers_rpcs_but_no_probes_keeps_slices() {
    let mut assigner = assigner_with_probing(4);
    for at in [100.1, 101.0, 102.0, 103.0] {
        assigner.now = secs(at);
        report_tries(&mut assigner, 0, 20, 0, 0.1);
        deliver_probe_result(&mut assigner, at, 0, ProbeOutcome::Unanswered);
        assert!(assigner.slices[0].rejects_all);
    }
    // The RPCs of this report were answered after the first missed probe.
    assigner.now = secs(103.2);
    report_tries(&mut assigner, 0, 20, 0, 0.1);
    deliver_probe_result(&mut assigner, 103.2, 0, ProbeOutcome::Unanswered);
    assert!(!assigner.slices[0].rejects_all);
    assert_eq!(assigner.servers[0].unhealthy_until, None);
}

#[test]
fn suspected_server_has_no_headroom() {
    let mut assigner = assigner_with_probing(3);
    deliver_probe_result(&mut assigner, 100.1, 1, ProbeOutcome::Unanswered);
    assert_eq!(assigner.load_snapshot().headroom[1], 0.0);
}

#[test]
fn probe_queued_behind_rpcs_does_not_count_as_unresponsive() {
    let mut assigner = assigner_with_probing(4);
    assigner.servers[0].baseline_wait = Some(0.1);
    report_tries(&mut assigner, 0, 20, 0, 0.6);
    assigner.evaluate_servers();
    let orders = deliver_probe_result(&mut assigner, 100.1, 0, ProbeOutcome::Unanswered);
    assert_eq!(ordered_levels(&orders), []);
    deliver_probe_result(&mut assigner, 100.4, 0, ProbeOutcome::Unanswered);
    assert_eq!(assigner.servers[0].unhealthy_until, None);
}

#[test]
fn unresponsive_zone_is_rejected_before_its_servers_become_unhealthy() {
    let mut assigner = assigner_with_probing(4);
    (0..2).for_each(|server| assigner.servers[server].zone = 1);
    for at in [100.1, 100.4] {
        (0..2).for_each(|server| {
            drop(deliver_probe_result(&mut assigner, at, server, ProbeOutcome::Unanswered))
        });
    }
    assert!(assigner.slices[..2].iter().all(|slice| slice.rejects_all && slice.handover.is_none()));
    // The zone's proxies stay connected, so the servers themselves have failed.
    assigner.now = secs(100.1) + HALF_OPEN_DELAY + assigner.half_life * REPORT_LAG_INTERVALS;
    (2..4).for_each(|server| report_tries(&mut assigner, server, 20, 0, 0.1));
    assigner.evaluate_health();
    assert!(assigner.servers[..2].iter().all(|server| server.unhealthy_until.is_some()));
    assert!(assigner.servers[2..].iter().all(|server| server.unhealthy_until.is_none()));
}

#[test]
fn server_that_served_while_unhealthy_is_readmitted_and_its_probes_are_ignored() {
    let mut assigner = assigner_with_probing(4);
    make_unresponsive(&mut assigner, 0);
    assert!(assigner.servers[0].unhealthy_until.is_some());
    // Late reports show that the RPCs sent before its line was revoked were answered.
    report_tries(&mut assigner, 0, 40, 0, 0.1);
    assigner.now += PROBE_UNHEALTHY_DURATION + UNHEALTHY_DURATION;
    assigner.evaluate_health();
    assert_eq!(assigner.servers[0].unhealthy_until, None);
    let at = assigner.now.as_secs_f64();
    (1..4).for_each(|step| {
        drop(deliver_probe_result(&mut assigner, at + f64::from(step) * 0.1, 0, ProbeOutcome::Unanswered))
    });
    assert_eq!(assigner.servers[0].unhealthy_until, None);
    assert!(!assigner.servers[0].suspected);
}

#[test]
fn server_that_lost_tries_stays_unhealthy_until_it_answers() {
    let mut assigner = assigner_with_probing(4);
    make_unresponsive(&mut assigner, 0);
    report_tries(&mut assigner, 0, 40, 20, 0.1);
    assigner.now += PROBE_UNHEALTHY_DURATION + UNHEALTHY_DURATION;
    assigner.evaluate_health();
    assert!(assigner.servers[0].unhealthy_until.is_some());
}

#[test]
fn servers_are_probed_three_times_a_period_and_less_often_when_rpcs_are_few() {
    let rounds = |rpcs: f64| {
        let mut assigner = assigner_with_probing(4);
        assigner.method_rpcs[0].add(assigner.now, assigner.half_life, rpcs, assigner.half_life);
        let mut rounds = BTreeSet::new();
        for tick in 0..20 {
            let at = 101.0 + f64::from(tick) * 0.05;
            if orders_probe(&assigner.handle(secs(at), &[Event::Timer]), 3) {
                rounds.insert(tick);
            }
        }
        rounds.len()
    };
    assert_eq!((rounds(1e6), rounds(90.0), rounds(1.0)), (3, 2, 1));
}

#[test]
fn server_that_pushes_probes_back_is_not_rejected() {
    let mut assigner = assigner_with_probing(4);
    deliver_probe_result(&mut assigner, 100.1, 0, ProbeOutcome::Unanswered);
    for at in [100.2, 100.5, 100.8, 101.1, 102.0, 103.0] {
        deliver_probe_result(&mut assigner, at, 0, ProbeOutcome::PushedBack);
    }
    (1..4).for_each(|server| report_tries(&mut assigner, server, 20, 0, 0.1));
    assigner.evaluate_health();
    let unhealthy_until = assigner.servers[0].unhealthy_until;
    assert!(
        !assigner.slices[0].rejects_all && unhealthy_until.is_none(),
        "it answered six times; rejects_all {}, unhealthy until {unhealthy_until:?}",
        assigner.slices[0].rejects_all
    );
}

/// Like `server_that_answers_rpcs_but_no_probes_keeps_slices`, but the reports cover only RPCs that were admitted.
#[test]
fn server_that_answers_admitted_rpcs_but_no_probes_keeps_slices() {
    let mut assigner = assigner_with_probing(4);
    let mut admits_reads = [true; 4];
    let mut unhealthy_after_s = None;
    for tick in 1..200 {
        let at = 100.0 + f64::from(tick) * 0.1;
        assigner.now = secs(at);
        // Reports come each second and cover the second before.
        if tick % 10 == 0 {
            for (server, admits_reads) in admits_reads.iter_mut().enumerate() {
                let reads_level = assigner.slices[server].published_levels[0];
                if std::mem::replace(admits_reads, reads_level > 0.0) {
                    report_tries(&mut assigner, server, (20.0 * reads_level).ceil() as u64, 0, 0.1);
                }
            }
            assigner.next_period_at = secs(at);
        }
        for server in 0..4 {
            let result = if server == 0 { ProbeOutcome::Unanswered } else { ProbeOutcome::Ok };
            if tick % 5 == 0 {
                deliver_probe_result(&mut assigner, at, server, result);
            }
        }
        if assigner.servers[0].unhealthy_until.is_some() {
            unhealthy_after_s.get_or_insert(at - 100.0);
        }
    }
    assert_eq!(unhealthy_after_s, None, "marked unhealthy after this many seconds");
}

#[test]
fn unresponsive_server_that_drains_is_sent_nothing_at_once() {
    let mut assigner = assigner_with_probing(4);
    deliver_probe_result(&mut assigner, 100.1, 0, ProbeOutcome::Unanswered);
    let entry = ServerEntry {
        endpoint: endpoint(0),
        zone: 0,
        status: ListedStatus::Draining,
        size: 1.0,
        started: None,
    };
    let orders =
        assigner.handle(secs(100.2), &[Event::List { kind: ListKind::Changes, entries: vec![entry] }]);
    // Its levels were 0 before, and stay so in the handover.
    assert_eq!(ordered_levels(&orders), []);
    assert!(has_stopped_all_rpcs(&assigner, 0));
}

#[test]
fn unresponsive_zone_stays_healthy_although_one_server_was_unhealthy_before() {
    let mut assigner = assigner_with_probing(8);
    (0..4).for_each(|server| assigner.servers[server].zone = 1);
    assigner.servers[0].unanswered_probes = 9;
    assigner.servers[0].unresponsive_since = Some(secs(60.0));
    assigner.servers[0].mark_unhealthy(secs(61.0), secs(110.0));
    for server in 1..4 {
        assigner.servers[server].last_ok_at = secs(98.0);
        deliver_probe_result(&mut assigner, 100.1, server, ProbeOutcome::Unanswered);
        deliver_probe_result(&mut assigner, 100.4, server, ProbeOutcome::Unanswered);
    }
    (4..8).for_each(|server| report_tries(&mut assigner, server, 20, 0, 0.1));
    assigner.evaluate_health();
    assert!(
        assigner.servers[1..4].iter().all(|server| server.unhealthy_until.is_none()),
        "within {ZONE_CONFIRMATION_TIME:?}"
    );
}

#[test]
fn chance_miss_elsewhere_does_not_readmit_disconnected_zone() {
    let mut assigner = assigner_with_probing(9);
    (0..5).for_each(|server| assigner.servers[server].zone = 1);
    (0..5).for_each(|server| {
        drop(deliver_probe_result(&mut assigner, 100.1, server, ProbeOutcome::Unanswered))
    });
    assert!(assigner.slices[..5].iter().all(|slice| slice.rejects_all));
    let orders = deliver_probe_result(&mut assigner, 100.2, 8, ProbeOutcome::Unanswered);
    assert!(assigner.slices[..5].iter().all(|slice| slice.rejects_all), "{:?}", ordered_levels(&orders));
}

#[test]
fn suspected_server_is_no_destination_when_no_server_has_headroom() {
    let mut assigner = assigner_with_probing(4);
    deliver_probe_result(&mut assigner, 100.1, 1, ProbeOutcome::Unanswered);
    let mut snapshot = assigner.load_snapshot();
    snapshot.headroom = vec![0.0; 4];
    snapshot.loads = vec![1.0, 0.1, 1.0, 1.0];
    assert_ne!(assigner.destination(0, &snapshot), Some(1));
}

#[test]
fn batch_starts_no_move_to_suspected_server() {
    let mut assigner = assigner_with_probing(4);
    assigner.plan.pending_batches.push_back(vec![(0, 1)]);
    deliver_probe_result(&mut assigner, 100.1, 1, ProbeOutcome::Unanswered);
    assert!(assigner.slices[0].handover.is_none());
}

#[test]
fn no_levels_are_ordered_for_suspected_server_when_admission_is_off() {
    let mut assigner = assigner_with_probing(4);
    assigner.cfg.admission = Admission::Off;
    assert_eq!(ordered_levels(&deliver_probe_result(&mut assigner, 100.1, 0, ProbeOutcome::Unanswered)), []);
}

/// 200 servers that miss up to 0.8 % of their probes by chance, with three rounds of probes a second, must not fill
/// the channel with levels.
#[test]
fn chance_misses_leave_channel_capacity_for_drains() {
    use rand::{Rng, SeedableRng};
    let owners: Vec<(usize, f64)> = (0..180).map(|slice| (slice % 180, 10.0)).collect();
    for (joined, miss_probability) in [(480, 0.0), (480, 0.001), (480, 0.003), (480, 0.008)] {
        let mut assigner = assigner_with(200, &owners);
        (assigner.cfg.may_probe, assigner.cfg.max_backlog_lines, assigner.cfg.lines_per_s) =
            (true, 61100.0, 40700.0);
        assigner.proxies =
            (0..joined).map(|id| (id, Proxy { zone: 0, joined: true, state_since: secs(0.0) })).collect();
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
        let message_overhead_fill =
            MIN_DRAIN_MESSAGES * assigner.cfg.message_overhead_lines * assigner.joined_proxies() as f64
                / assigner.cfg.max_backlog_lines;
        let drain_start_fill =
            DRAIN_START_FILL.min(DRAIN_STOP_FILL - message_overhead_fill).max(LEAVE_STOP_FILL);
        let (mut lines, mut blocked_ticks, mut rejected_slices, mut repeats, mut acks) =
            (0.0, 0, 0, Vec::new(), VecDeque::new());
        let mut longest_blocked = 0;
        let mut blocked_in_a_row = 0;
        let ticks = 300;
        for tick in 0..ticks {
            let at = 100.0 + f64::from(tick) * 0.0333;
            // A tenth of the servers is probed each thirtieth of a second, and each missed probe is repeated.
            let scheduled: Vec<usize> = (0..20).map(|i| (tick as usize % 10) * 20 + i).collect();
            let repeats_now: Vec<usize> = std::mem::take(&mut repeats);
            let mut events = Vec::new();
            for server in scheduled.into_iter().chain(repeats_now) {
                let missed = rng.random_range(0.0..1.0) < miss_probability;
                let result = if missed { ProbeOutcome::Unanswered } else { ProbeOutcome::Ok };
                repeats.extend(missed.then_some(server));
                events.push(Event::Probed {
                    endpoint: endpoint(server),
                    result,
                    load: LoadReport::default(),
                });
            }
            if tick % 30 == 0 {
                (0..200).for_each(|server| report_tries(&mut assigner, server, 20, 0, 0.1));
            }
            // Every proxy acknowledges after 0.4 s.
            while acks.front().is_some_and(|(sent, _)| tick >= sent + 12) {
                let (_, ack_seq) = acks.pop_front().unwrap();
                events.extend((0..joined).map(|proxy| Event::Acked { proxy, ack_seq, transit: secs(0.4) }));
            }
            assigner.now = secs(at);
            let is_blocked = !assigner.channel_is_below(drain_start_fill);
            let orders = assigner.handle(secs(at), &events);
            acks.extend(orders.iter().filter_map(|order| match order {
                Order::RequestAck { ack_seq } => Some((tick, *ack_seq)),
                _ => None,
            }));
            blocked_in_a_row = if is_blocked { blocked_in_a_row + 1 } else { 0 };
            longest_blocked = longest_blocked.max(blocked_in_a_row);
            let line_orders = orders.iter().filter(|order| order.uses_channel_line()).count();
            lines += if line_orders > 0 {
                (line_orders as f64 + assigner.cfg.message_overhead_lines) * joined as f64
            } else {
                0.0
            };
            blocked_ticks += i32::from(is_blocked);
            rejected_slices += assigner.slices.iter().filter(|slice| slice.rejects_all).count();
        }
        let rejected = rejected_slices as f64 / f64::from(ticks) / 180.0;
        println!("missed {miss_probability}: {:.0} lines/s of 40700, drains blocked {blocked_ticks} of {ticks} ticks (longest {longest_blocked}, 33 ms each), slices rejected {rejected:.4}, drain_start_fill {drain_start_fill:.2}", lines / 10.0);
        assert!(
            lines / 10.0 < 0.2 * assigner.cfg.lines_per_s,
            "{lines} lines in 10 s for chance misses of {miss_probability}"
        );
    }
}

#[test]
fn readmitted_zone_leaves_channel_capacity_for_drain_to_start() {
    let owners: Vec<(usize, f64)> = (0..180).map(|slice| (slice, 10.0)).collect();
    let mut assigner = assigner_with(200, &owners);
    (assigner.cfg.may_probe, assigner.cfg.max_backlog_lines, assigner.cfg.lines_per_s) =
        (true, 61100.0, 40700.0);
    assigner.proxies =
        (0..480).map(|id| (id, Proxy { zone: 0, joined: true, state_since: secs(0.0) })).collect();
    (0..95).for_each(|server| assigner.servers[server].zone = 1);
    assigner.next_probes_at = secs(200.0);
    let all_results = |result| -> Vec<Event> {
        (0..95)
            .map(|server| Event::Probed { endpoint: endpoint(server), result, load: LoadReport::default() })
            .collect()
    };
    let mut at = 100.1;
    let acks_of = |orders: &[Order]| -> Vec<Event> {
        let ack_seqs = orders.iter().filter_map(|order| match order {
            Order::RequestAck { ack_seq } => Some(*ack_seq),
            _ => None,
        });
        ack_seqs
            .flat_map(|ack_seq| {
                (0..480).map(move |proxy| Event::Acked { proxy, ack_seq, transit: secs(0.4) })
            })
            .collect()
    };
    let mut acks = acks_of(&assigner.handle(secs(at), &all_results(ProbeOutcome::Unanswered)));
    for _ in 0..12 {
        at += 0.4;
        acks.push(Event::Timer);
        acks = acks_of(&assigner.handle(secs(at), &acks));
    }
    let rejected = assigner.slices.iter().filter(|slice| slice.rejects_all).count();
    // Acks arrive 0.4 s after they are requested.
    let mut scheduled_acks: Vec<(f64, Vec<Event>)> = Vec::new();
    at += 0.1;
    scheduled_acks.push((at + 0.4, acks_of(&assigner.handle(secs(at), &all_results(ProbeOutcome::Ok)))));
    let readmitted = rejected - assigner.slices.iter().filter(|slice| slice.rejects_all).count();
    at += 0.05;
    let entry = ServerEntry {
        endpoint: endpoint(150),
        zone: 0,
        status: ListedStatus::Draining,
        size: 1.0,
        started: None,
    };
    let orders = assigner.handle(secs(at), &[Event::List { kind: ListKind::Changes, entries: vec![entry] }]);
    scheduled_acks.push((at + 0.4, acks_of(&orders)));
    let drain_started = |assigner: &Assigner| assigner.slices[150].handover.is_some();
    let mut waited_s = 0.0;
    while !drain_started(&assigner) && waited_s < 10.0 {
        waited_s += 0.05;
        let mut events = vec![Event::Timer];
        scheduled_acks.retain(|(due, acks)| {
            let is_pending = *due > at + waited_s;
            events.extend(if is_pending { vec![] } else { acks.clone() });
            is_pending
        });
        let orders = assigner.handle(secs(at + waited_s), &events);
        scheduled_acks.push((at + waited_s + 0.4, acks_of(&orders)));
    }
    assert!(
        waited_s == 0.0,
        "rejected {rejected}, readmitted {readmitted}; the drain starts {waited_s:.2} s after the update"
    );
}

#[test]
fn no_server_is_probed_or_suspected_when_probing_is_forbidden() {
    let mut assigner = assigner_with_probing(4);
    assigner.cfg.may_probe = false;
    let orders = deliver_probe_result(&mut assigner, 100.1, 0, ProbeOutcome::Unanswered);
    assert!(!orders_probe(&orders, 0) && ordered_levels(&orders).is_empty(), "{orders:?}");
}

/// Reports of one interval: RPCs come for each slice, and all servers but the `unresponsive` ones answer them.
fn report_interval(assigner: &mut Assigner, at: f64, unresponsive: &[usize]) {
    let interval = secs(1.0);
    let mut events = Vec::new();
    for (slice, owner) in
        assigner.slices.iter().enumerate().filter_map(|(id, slice)| Some((id, slice.owner?)))
    {
        events.push(Event::Demand { slice, method: 0, rpcs: 10, lost: 0, interval });
        let tries = if unresponsive.contains(&owner) { 0 } else { 10 };
        let load = LoadReport::default();
        events.push(Event::TryReport {
            endpoint: endpoint(owner),
            zone: 0,
            tries,
            lost: 0,
            mean_wait: secs(0.1),
            interval,
            load,
        });
    }
    assigner.handle(secs(at), &events);
}

/// Answers to probes of all servers, in which the hanging server reports `hanging_in_flight` RPCs in flight.
fn answer_probes(assigner: &mut Assigner, at: f64, hanging: usize, hanging_in_flight: f64) {
    let load = |server| {
        let in_flight = if server == hanging { hanging_in_flight } else { 1.0 };
        LoadReport { in_flight: Some(in_flight), queued: Some(0.0), cpu: Some(0.1), service_time: None }
    };
    let answer =
        |server| Event::Probed { endpoint: endpoint(server), result: ProbeOutcome::Ok, load: load(server) };
    let events: Vec<Event> = (0..assigner.servers.len()).map(answer).collect();
    assigner.handle(secs(at), &events);
}

/// A server that answers probes but no RPCs must not keep its slices until the deadlines of its RPCs have passed.
#[test]
fn server_that_accumulates_rpcs_without_answers_is_unhealthy_within_two_intervals() {
    let mut assigner = assigner_with_probing(4);
    report_interval(&mut assigner, 101.0, &[]);
    answer_probes(&mut assigner, 101.1, 0, 1.0);
    report_interval(&mut assigner, 102.0, &[0]);
    answer_probes(&mut assigner, 102.1, 0, 11.0);
    answer_probes(&mut assigner, 102.4, 0, 14.0);
    assert!(assigner.servers[0].unhealthy_until.is_some());
    assert!(assigner.servers[1..].iter().all(|server| server.unhealthy_until.is_none()));
}

/// An assigner with few slices gets reports of few servers. It must still detect a hanging server that reports a
/// growing number of RPCs in flight.
#[test]
fn servers_without_slices_do_not_hide_unresponsive_one() {
    let mut assigner = assigner_with_probing(9);
    assigner.slices[3..].iter_mut().for_each(|slice| *slice = Slice::default());
    report_interval(&mut assigner, 101.0, &[]);
    answer_probes(&mut assigner, 101.1, 0, 1.0);
    for at in [102.0, 103.0, 104.0] {
        report_interval(&mut assigner, at, &[0]);
        answer_probes(&mut assigner, at + 0.4, 0, (at - 101.0) * 10.0);
    }
    assert!(assigner.servers[0].unhealthy_until.is_some());
    assert!(assigner.servers[1..].iter().all(|server| server.unhealthy_until.is_none()));
}

/// A server has no answers to report for RPCs that levels reject, so it must not be marked unhealthy for that.
#[test]
fn rejected_rpcs_do_not_make_server_unhealthy() {
    let mut assigner = assigner_with_probing(4);
    report_interval(&mut assigner, 101.0, &[]);
    assigner.slices[0].published_levels = vec![0.0, 0.0];
    for number in 0..4 {
        report_interval(&mut assigner, 102.0 + f64::from(number), &[0]);
        assigner.slices[0].published_levels = vec![0.0, 0.0];
    }
    assert_eq!(assigner.servers[0].unhealthy_until, None);
}

/// An assigner that has learned how late reports come, in seconds: server 3 had no RPCs until a grant at 100 s.
fn assigner_with_known_report_lag(lag: f64) -> Assigner {
    let mut assigner = assigner_with_probing(4);
    assigner.servers[3].granted_while_idle_at = Some(secs(100.0));
    // A report covers the second that ended `lag` seconds before it.
    let tries_in_first_report = (1.0 - lag.fract()) * 10.0;
    for number in 0..4 {
        let at = 101.0 + f64::from(number);
        let tries = match f64::from(number) - lag.floor() {
            before if before < 0.0 => 0,
            0.0 => tries_in_first_report as u64,
            _ => 10,
        };
        let report = |server: usize, tries| Event::TryReport {
            endpoint: endpoint(server),
            zone: 0,
            tries,
            lost: 0,
            mean_wait: secs(0.1),
            interval: secs(1.0),
            load: LoadReport::default(),
        };
        let mut events: Vec<Event> = (0..3).map(|server| report(server, 10)).collect();
        events.extend((tries > 0).then(|| report(3, tries)));
        events.extend((0..4).map(|slice| Event::Demand {
            slice,
            method: 0,
            rpcs: 10,
            lost: 0,
            interval: secs(1.0),
        }));
        assigner.handle(secs(at), &events);
    }
    assigner
}

/// Server 0 misses the probes ordered at 104.1 s and has all its RPCs rejected once that is detected.
fn miss_probes(assigner: &mut Assigner) {
    answer_probes(assigner, 104.05, 0, 1.0);
    assigner.next_probes_at = secs(104.1);
    assigner.handle(secs(104.1), &[Event::Timer]);
    for at in [104.8, 104.9] {
        deliver_probe_result(assigner, at, 0, ProbeOutcome::Unanswered);
    }
    assert!(assigner.slices[0].rejects_all);
}

/// Slices of a server that answers RPCs but no probes must not stay rejected, or move, for several report intervals.
#[test]
fn answers_after_missed_probe_readmit_server_with_first_report() {
    let mut assigner = assigner_with_known_report_lag(0.0);
    miss_probes(&mut assigner);
    report_interval(&mut assigner, 105.0, &[]);
    assert!(!assigner.slices[0].rejects_all);
    assert_eq!(assigner.servers[0].unhealthy_until, None);
}

/// Slices of an unresponsive server must move as soon as a report shows that it answers no RPCs either.
#[test]
fn missing_answers_after_missed_probe_move_slices_with_first_report() {
    let mut assigner = assigner_with_known_report_lag(0.0);
    miss_probes(&mut assigner);
    report_interval(&mut assigner, 105.0, &[0]);
    assigner.handle(secs(105.1), &[Event::Timer]);
    assigner.handle(secs(105.4), &[Event::Timer]);
    assert!(assigner.servers[0].unhealthy_until.is_some());
    assert!(assigner.slices[0].handover.is_some());
}

/// When reports come late, answers from before a server died must not count as a sign that it is alive.
#[test]
fn answers_reported_late_do_not_count_as_answers_after_missed_probe() {
    let mut assigner = assigner_with_known_report_lag(1.5);
    miss_probes(&mut assigner);
    report_interval(&mut assigner, 105.0, &[]);
    assert!(assigner.slices[0].rejects_all);
}
