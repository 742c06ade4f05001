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
    a.now += HALF_OPEN_DELAY + a.half_life * (REPORT_LAG_INTERVALS + 1);
    a.evaluate_health();
}

/// Servers with a slice each that may be probed, in the middle of a period.
fn probed_fleet(servers: usize) -> Assigner {
    let owners: Vec<(usize, f64)> = (0..servers).map(|server| (server, 10.0)).collect();
    let mut a = fleet(servers, &owners);
    a.cfg.may_probe = true;
    a.next_probes_at = s(100.5);
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
    assert_eq!(a.servers[0].unhealthy_until, None);
}

#[test]
fn a_suspected_server_loses_its_slices_once_no_ok_answers_are_told_of() {
    let mut a = probed_fleet(4);
    fall_silent(&mut a, 0);
    assert!(a.servers[0].unhealthy_until.is_some());
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
        assert!(a.slices[0].rejects_all);
    }
    // What is told of now was answered after the first missed probe.
    a.now = s(103.2);
    met(&mut a, 0, 20, 0, 0.1);
    probed(&mut a, 103.2, 0, Probe::Unanswered);
    assert!(!a.slices[0].rejects_all);
    assert_eq!(a.servers[0].unhealthy_until, None);
}

#[test]
fn no_slice_goes_to_a_suspected_server() {
    let mut a = probed_fleet(3);
    probed(&mut a, 100.1, 1, Probe::Unanswered);
    assert_eq!(a.load_snapshot().headroom[1], 0.0);
}

#[test]
fn a_probe_that_waits_behind_rpcs_is_no_silence() {
    let mut a = probed_fleet(4);
    a.servers[0].baseline_wait = Some(0.1);
    met(&mut a, 0, 20, 0, 0.6);
    a.evaluate_servers();
    let orders = probed(&mut a, 100.1, 0, Probe::Unanswered);
    assert_eq!(shares(&orders), []);
    probed(&mut a, 100.4, 0, Probe::Unanswered);
    assert_eq!(a.servers[0].unhealthy_until, None);
}

#[test]
fn a_zone_that_falls_silent_is_shut_out_first_and_its_slices_stay() {
    let mut a = probed_fleet(4);
    (0..2).for_each(|server| a.servers[server].zone = 1);
    for at in [100.1, 100.4] {
        (0..2).for_each(|server| drop(probed(&mut a, at, server, Probe::Unanswered)));
    }
    assert!(a.slices[..2].iter().all(|slice| slice.rejects_all && slice.handover.is_none()));
    // Its proxies stay: then it is the servers.
    a.now = s(100.1) + HALF_OPEN_DELAY + a.half_life * REPORT_LAG_INTERVALS;
    (2..4).for_each(|server| met(&mut a, server, 20, 0, 0.1));
    a.evaluate_health();
    assert!(a.servers[..2].iter().all(|server| server.unhealthy_until.is_some()));
    assert!(a.servers[2..].iter().all(|server| server.unhealthy_until.is_none()));
}

#[test]
fn a_server_that_served_all_along_comes_back_and_its_probes_count_no_more() {
    let mut a = probed_fleet(4);
    fall_silent(&mut a, 0);
    assert!(a.servers[0].unhealthy_until.is_some());
    // Late reports tell that what was sent until its line ended was answered.
    met(&mut a, 0, 40, 0, 0.1);
    a.now += PROBE_UNHEALTHY_DURATION + UNHEALTHY_DURATION;
    a.evaluate_health();
    assert_eq!(a.servers[0].unhealthy_until, None);
    let at = a.now.as_secs_f64();
    (1..4).for_each(|i| drop(probed(&mut a, at + f64::from(i) * 0.1, 0, Probe::Unanswered)));
    assert_eq!(a.servers[0].unhealthy_until, None);
    assert!(!a.servers[0].suspected);
}

#[test]
fn a_server_that_lost_what_was_sent_stays_away_until_it_answers() {
    let mut a = probed_fleet(4);
    fall_silent(&mut a, 0);
    met(&mut a, 0, 40, 20, 0.1);
    a.now += PROBE_UNHEALTHY_DURATION + UNHEALTHY_DURATION;
    a.evaluate_health();
    assert!(a.servers[0].unhealthy_until.is_some());
}

#[test]
fn every_server_is_probed_three_times_a_period_unless_that_costs_too_many_rpcs() {
    let rounds = |rpcs: f64| {
        let mut a = probed_fleet(4);
        a.method_rpcs[0].add(a.now, a.half_life, rpcs, a.half_life);
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

#[test]
fn a_server_that_sends_a_probe_back_is_not_shut_out() {
    let mut a = probed_fleet(4);
    probed(&mut a, 100.1, 0, Probe::Unanswered);
    for at in [100.2, 100.5, 100.8, 101.1, 102.0, 103.0] {
        probed(&mut a, at, 0, Probe::PushedBack);
    }
    (1..4).for_each(|i| met(&mut a, i, 20, 0, 0.1));
    a.evaluate_health();
    let sick = a.servers[0].unhealthy_until;
    assert!(
        !a.slices[0].rejects_all && sick.is_none(),
        "it answered six times; shut {}, sick {sick:?}",
        a.slices[0].rejects_all
    );
}

/// As above, but with nothing told of RPCs that were not let in.
#[test]
fn a_server_that_serves_what_is_let_in_and_answers_no_probe_keeps_its_slices() {
    let mut a = probed_fleet(4);
    let mut let_in = [true; 4];
    let mut silent_until_sick = None;
    for tick in 1..200 {
        let at = 100.0 + f64::from(tick) * 0.1;
        a.now = s(at);
        // Reports each second, of the second before.
        if tick % 10 == 0 {
            for (server, let_in) in let_in.iter_mut().enumerate() {
                let reads = a.slices[server].published_levels[0];
                if std::mem::replace(let_in, reads > 0.0) {
                    met(&mut a, server, (20.0 * reads).ceil() as u64, 0, 0.1);
                }
            }
            a.next_period_at = s(at);
        }
        for server in 0..4 {
            let result = if server == 0 { Probe::Unanswered } else { Probe::Ok };
            if tick % 5 == 0 {
                probed(&mut a, at, server, result);
            }
        }
        if a.servers[0].unhealthy_until.is_some() {
            silent_until_sick.get_or_insert(at - 100.0);
        }
    }
    assert_eq!(silent_until_sick, None, "called sick after so many seconds");
}

#[test]
fn a_silent_server_that_is_to_drain_gets_no_reads_again() {
    let mut a = probed_fleet(4);
    probed(&mut a, 100.1, 0, Probe::Unanswered);
    let entry = Entry { ep: ep(0), zone: 0, listed: Listed::Draining, size: 1.0, started: None };
    let orders = a.handle(s(100.2), &[Event::List { kind: ListKind::Changes, entries: vec![entry] }]);
    // Its line ends in the same message.
    assert!(loses_line(&orders, 0, 0), "{:?}", shares(&orders));
}

#[test]
fn a_zone_that_falls_silent_is_spared_though_one_of_its_servers_was_sick_before() {
    let mut a = probed_fleet(8);
    (0..4).for_each(|server| a.servers[server].zone = 1);
    a.servers[0].unanswered_probes = 9;
    a.servers[0].unresponsive_since = Some(s(60.0));
    a.servers[0].mark_unhealthy(s(61.0), s(110.0));
    for server in 1..4 {
        a.servers[server].last_ok_at = s(98.0);
        probed(&mut a, 100.1, server, Probe::Unanswered);
        probed(&mut a, 100.4, server, Probe::Unanswered);
    }
    (4..8).for_each(|server| met(&mut a, server, 20, 0, 0.1));
    a.evaluate_health();
    assert!(
        a.servers[1..4].iter().all(|server| server.unhealthy_until.is_none()),
        "within {ZONE_CONFIRMATION_TIME:?}"
    );
}

#[test]
fn one_chance_miss_elsewhere_does_not_open_a_zone_that_is_cut() {
    let mut a = probed_fleet(9);
    (0..5).for_each(|server| a.servers[server].zone = 1);
    (0..5).for_each(|server| drop(probed(&mut a, 100.1, server, Probe::Unanswered)));
    assert!(a.slices[..5].iter().all(|slice| slice.rejects_all));
    let orders = probed(&mut a, 100.2, 8, Probe::Unanswered);
    assert!(a.slices[..5].iter().all(|slice| slice.rejects_all), "{:?}", shares(&orders));
}

#[test]
fn where_nothing_fits_a_slice_does_not_go_to_a_suspected_server() {
    let mut a = probed_fleet(4);
    probed(&mut a, 100.1, 1, Probe::Unanswered);
    let mut view = a.load_snapshot();
    view.headroom = vec![0.0; 4];
    view.loads = vec![1.0, 0.1, 1.0, 1.0];
    assert_ne!(a.destination(0, &view), Some(1));
}

#[test]
fn no_batch_starts_a_move_to_a_suspected_server() {
    let mut a = probed_fleet(4);
    a.plan.pending_batches.push_back(vec![(0, 1)]);
    probed(&mut a, 100.1, 1, Probe::Unanswered);
    assert!(a.slices[0].handover.is_none());
}

#[test]
fn where_levels_are_not_followed_none_are_ordered_for_suspected_servers() {
    let mut a = probed_fleet(4);
    a.cfg.admission = Admission::Off;
    assert_eq!(shares(&probed(&mut a, 100.1, 0, Probe::Unanswered)), []);
}

/// 200 servers that each miss one probe of a hundred by chance, at a pace of 3 rounds a second.
#[test]
fn chance_misses_leave_the_channel_room_for_drains() {
    use rand::{Rng, SeedableRng};
    let owners: Vec<(usize, f64)> = (0..180).map(|slice| (slice % 180, 10.0)).collect();
    for (joined, share_missed) in [(480, 0.0), (480, 0.001), (480, 0.003), (480, 0.008)] {
        let mut a = fleet(200, &owners);
        (a.cfg.may_probe, a.cfg.max_backlog_lines, a.cfg.lines_per_s) = (true, 61100.0, 40700.0);
        a.proxies =
            (0..joined).map(|id| (id, Proxy { zone: 0, joined: true, state_since: s(0.0) })).collect();
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
        let heads = MIN_DRAIN_MESSAGES * a.cfg.message_overhead_lines * a.joined_proxies() as f64
            / a.cfg.max_backlog_lines;
        let from = DRAIN_START_FILL.min(DRAIN_STOP_FILL - heads).max(LEAVE_STOP_FILL);
        let (mut lines, mut blocked, mut shut, mut again, mut acks) =
            (0.0, 0, 0, Vec::new(), VecDeque::new());
        let mut longest = 0;
        let mut row = 0;
        let ticks = 300;
        for tick in 0..ticks {
            let at = 100.0 + f64::from(tick) * 0.0333;
            // A tenth of the fleet each thirtieth of a second, and those that are asked again.
            let asked: Vec<usize> = (0..20).map(|i| (tick as usize % 10) * 20 + i).collect();
            let again_now: Vec<usize> = std::mem::take(&mut again);
            let mut events = Vec::new();
            for server in asked.into_iter().chain(again_now) {
                let missed = rng.random_range(0.0..1.0) < share_missed;
                let result = if missed { Probe::Unanswered } else { Probe::Ok };
                again.extend(missed.then_some(server));
                events.push(Event::Probed { ep: ep(server), result, load: LoadReport::default() });
            }
            if tick % 30 == 0 {
                (0..200).for_each(|server| met(&mut a, server, 20, 0, 0.1));
            }
            // Every proxy answers after 0.4 s.
            while acks.front().is_some_and(|(sent, _)| tick >= sent + 12) {
                let (_, mark) = acks.pop_front().unwrap();
                events.extend((0..joined).map(|proxy| Event::Acked { proxy, mark, way: s(0.4) }));
            }
            a.now = s(at);
            let blocked_now = !a.channel_is_below(from);
            let orders = a.handle(s(at), &events);
            acks.extend(orders.iter().filter_map(|o| match o {
                Order::Mark { mark } => Some((tick, *mark)),
                _ => None,
            }));
            row = if blocked_now { row + 1 } else { 0 };
            longest = longest.max(row);
            let costs = orders.iter().filter(|o| o.costs_a_line()).count();
            lines +=
                if costs > 0 { (costs as f64 + a.cfg.message_overhead_lines) * joined as f64 } else { 0.0 };
            blocked += i32::from(blocked_now);
            shut += a.slices.iter().filter(|slice| slice.rejects_all).count();
        }
        let shut = shut as f64 / f64::from(ticks) / 180.0;
        println!("missed {share_missed}: {:.0} lines/s of 40700, drains blocked {blocked} of {ticks} ticks (longest {longest}, 33 ms each), slices shut {shut:.4}, from {from:.2}", lines / 10.0);
        assert!(
            lines / 10.0 < 0.2 * a.cfg.lines_per_s,
            "{lines} lines in 10 s for chance misses of {share_missed}"
        );
    }
}

#[test]
fn a_zone_that_is_let_in_again_leaves_the_channel_room_for_drains_to_start() {
    let owners: Vec<(usize, f64)> = (0..180).map(|slice| (slice, 10.0)).collect();
    let mut a = fleet(200, &owners);
    (a.cfg.may_probe, a.cfg.max_backlog_lines, a.cfg.lines_per_s) = (true, 61100.0, 40700.0);
    a.proxies = (0..480).map(|id| (id, Proxy { zone: 0, joined: true, state_since: s(0.0) })).collect();
    (0..95).for_each(|server| a.servers[server].zone = 1);
    a.next_probes_at = s(200.0);
    let all = |result| -> Vec<Event> {
        (0..95).map(|server| Event::Probed { ep: ep(server), result, load: LoadReport::default() }).collect()
    };
    let mut at = 100.1;
    let acked = |orders: &[Order]| -> Vec<Event> {
        let marks = orders.iter().filter_map(|o| match o {
            Order::Mark { mark } => Some(*mark),
            _ => None,
        });
        marks.flat_map(|mark| (0..480).map(move |proxy| Event::Acked { proxy, mark, way: s(0.4) })).collect()
    };
    let mut answers = acked(&a.handle(s(at), &all(Probe::Unanswered)));
    for _ in 0..12 {
        at += 0.4;
        answers.push(Event::Timer);
        answers = acked(&a.handle(s(at), &answers));
    }
    let shut = a.slices.iter().filter(|slice| slice.rejects_all).count();
    // Answers to marks come 0.4 s after them.
    let mut later: Vec<(f64, Vec<Event>)> = Vec::new();
    at += 0.1;
    later.push((at + 0.4, acked(&a.handle(s(at), &all(Probe::Ok)))));
    let open = shut - a.slices.iter().filter(|slice| slice.rejects_all).count();
    at += 0.05;
    let entry = Entry { ep: ep(150), zone: 0, listed: Listed::Draining, size: 1.0, started: None };
    let orders = a.handle(s(at), &[Event::List { kind: ListKind::Changes, entries: vec![entry] }]);
    later.push((at + 0.4, acked(&orders)));
    let started = |a: &Assigner| a.slices[150].handover.is_some();
    let mut waited = 0.0;
    while !started(&a) && waited < 10.0 {
        waited += 0.05;
        let mut events = vec![Event::Timer];
        later.retain(|(due, answers)| {
            let waits = *due > at + waited;
            events.extend(if waits { vec![] } else { answers.clone() });
            waits
        });
        let orders = a.handle(s(at + waited), &events);
        later.push((at + waited + 0.4, acked(&orders)));
    }
    assert!(waited == 0.0, "shut {shut}, opened {open}; the drain starts {waited:.2} s after it was told");
}

#[test]
fn where_probing_is_not_allowed_nobody_is_probed_or_suspected() {
    let mut a = probed_fleet(4);
    a.cfg.may_probe = false;
    let orders = probed(&mut a, 100.1, 0, Probe::Unanswered);
    assert!(!is_probed(&orders, 0) && shares(&orders).is_empty(), "{orders:?}");
}

/// A stretch of reports: RPCs come for each slice, and are answered by all servers but those named.
fn stretch(a: &mut Assigner, at: f64, silent: &[usize]) {
    let span = s(1.0);
    let mut events = Vec::new();
    for (slice, owner) in a.slices.iter().enumerate().filter_map(|(id, s)| Some((id, s.owner?))) {
        events.push(Event::Demand { slice, method: 0, rpcs: 10, lost: 0, span });
        let tries = if silent.contains(&owner) { 0 } else { 10 };
        let load = LoadReport::default();
        events.push(Event::Met { ep: ep(owner), zone: 0, tries, lost: 0, wait: s(0.1), span, load });
    }
    a.handle(s(at), &events);
}

/// Probes of all servers are answered; the one that hangs tells of so many RPCs in hand.
fn answered_probes(a: &mut Assigner, at: f64, hanging: usize, in_hand: f64) {
    let load = |server| {
        let in_hand = if server == hanging { in_hand } else { 1.0 };
        LoadReport { in_hand: Some(in_hand), waiting: Some(0.0), cpu: Some(0.1), service: None }
    };
    let probed = |server| Event::Probed { ep: ep(server), result: Probe::Ok, load: load(server) };
    let events: Vec<Event> = (0..a.servers.len()).map(probed).collect();
    a.handle(s(at), &events);
}

/// Guards against a server that answers probes and no RPC and keeps its slices until callers' deadlines have passed.
#[test]
fn a_server_that_takes_rpcs_in_and_answers_none_is_sick_within_two_stretches() {
    let mut a = probed_fleet(4);
    stretch(&mut a, 101.0, &[]);
    answered_probes(&mut a, 101.1, 0, 1.0);
    stretch(&mut a, 102.0, &[0]);
    answered_probes(&mut a, 102.1, 0, 11.0);
    answered_probes(&mut a, 102.4, 0, 14.0);
    assert!(a.servers[0].unhealthy_until.is_some());
    assert!(a.servers[1..].iter().all(|server| server.unhealthy_until.is_none()));
}

/// Guards against an assigner that hears of few servers, since it has few slices, and believes of none that it hangs
/// though the server tells so.
#[test]
fn servers_without_slices_do_not_hide_that_one_is_silent() {
    let mut a = probed_fleet(9);
    a.slices[3..].iter_mut().for_each(|slice| *slice = Slice::default());
    stretch(&mut a, 101.0, &[]);
    answered_probes(&mut a, 101.1, 0, 1.0);
    for at in [102.0, 103.0, 104.0] {
        stretch(&mut a, at, &[0]);
        answered_probes(&mut a, at + 0.4, 0, (at - 101.0) * 10.0);
    }
    assert!(a.servers[0].unhealthy_until.is_some());
    assert!(a.servers[1..].iter().all(|server| server.unhealthy_until.is_none()));
}

/// Guards against a server that is called silent since we refuse what would be sent there.
#[test]
fn no_answer_is_due_of_rpcs_that_are_refused() {
    let mut a = probed_fleet(4);
    stretch(&mut a, 101.0, &[]);
    a.slices[0].published_levels = vec![0.0, 0.0];
    for number in 0..4 {
        stretch(&mut a, 102.0 + f64::from(number), &[0]);
        a.slices[0].published_levels = vec![0.0, 0.0];
    }
    assert_eq!(a.servers[0].unhealthy_until, None);
}

/// A fleet in which it is known how late reports come: one server had no RPCs until a grant at 100 s.
fn fleet_with_known_lag(lag: f64) -> Assigner {
    let mut a = probed_fleet(4);
    a.servers[3].granted_while_idle_at = Some(s(100.0));
    // A report tells of the second that ended so long before it.
    let first_tells = (1.0 - lag.fract()) * 10.0;
    for number in 0..4 {
        let at = 101.0 + f64::from(number);
        let tries = match f64::from(number) - lag.floor() {
            before if before < 0.0 => 0,
            0.0 => first_tells as u64,
            _ => 10,
        };
        let met = |server: usize, tries| Event::Met {
            ep: ep(server),
            zone: 0,
            tries,
            lost: 0,
            wait: s(0.1),
            span: s(1.0),
            load: LoadReport::default(),
        };
        let mut events: Vec<Event> = (0..3).map(|server| met(server, 10)).collect();
        events.extend((tries > 0).then(|| met(3, tries)));
        events.extend((0..4).map(|slice| Event::Demand {
            slice,
            method: 0,
            rpcs: 10,
            lost: 0,
            span: s(1.0),
        }));
        a.handle(s(at), &events);
    }
    a
}

/// Server 0 misses the probes that are ordered at 104.1 s, and is shut out when that is found.
fn miss_probes(a: &mut Assigner) {
    answered_probes(a, 104.05, 0, 1.0);
    a.next_probes_at = s(104.1);
    a.handle(s(104.1), &[Event::Timer]);
    for at in [104.8, 104.9] {
        probed(a, at, 0, Probe::Unanswered);
    }
    assert!(a.slices[0].rejects_all);
}

/// Guards against slices of a server that answers RPCs and no probe being shut out, or moved, for stretches.
#[test]
fn answers_since_a_missed_probe_open_a_server_with_the_first_report() {
    let mut a = fleet_with_known_lag(0.0);
    miss_probes(&mut a);
    stretch(&mut a, 105.0, &[]);
    assert!(!a.slices[0].rejects_all);
    assert_eq!(a.servers[0].unhealthy_until, None);
}

/// Guards against slices of a silent server that stay shut, and refused, long after it could be known.
#[test]
fn no_answers_since_a_missed_probe_move_slices_with_the_first_report() {
    let mut a = fleet_with_known_lag(0.0);
    miss_probes(&mut a);
    stretch(&mut a, 105.0, &[0]);
    a.handle(s(105.1), &[Event::Timer]);
    a.handle(s(105.4), &[Event::Timer]);
    assert!(a.servers[0].unhealthy_until.is_some());
    assert!(a.slices[0].handover.is_some());
}

/// Guards against answers from before a server died being taken for its life where reports come late.
#[test]
fn answers_told_late_are_not_taken_for_answers_since_a_missed_probe() {
    let mut a = fleet_with_known_lag(1.5);
    miss_probes(&mut a);
    stretch(&mut a, 105.0, &[]);
    assert!(a.slices[0].rejects_all);
}
