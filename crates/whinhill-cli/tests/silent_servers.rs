//! Servers that become unresponsive, overloaded or healthy again, with an assigner process and a forced order of
//! events. The tests measure the time from the fault to the order at the relay that keeps RPCs away from the server.

#[path = "support/fleet/mod.rs"]
mod fleet;
mod support;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use fleet::collectors::RpcBehavior;
use fleet::relay::ReceivedOrder;
use fleet::server::ProbeBehavior;
use fleet::{
    rpcs_blocked_at, server_name, server_zone, wait_until, Fleet, FleetSize, Trace, EVENT_TIMEOUT, PERIOD,
    ZONES,
};

/// Maximum time from a fault to the order that keeps RPCs away. The p99 of the time until the last RPC is sent there
/// must be under 1 s (issue 40); the rest of that second is the order's transit.
const MAX_ORDER_DELAY: Duration = Duration::from_millis(900);
/// Maximum time from a report of losses or waits to the order that follows from it.
const MAX_REACTION_DELAY: Duration = PERIOD.saturating_add(Duration::from_millis(500));
/// Maximum time until the slices of a server that answers again are served again.
const MAX_RECOVERY_DELAY: Duration = Duration::from_secs(2);
/// How long a test observes that no slice is moved.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);
/// Times of a fault as fractions of the time between two probes. Among them are just after a probe, half-way, and 50 ms
/// before the next.
const PHASES: [f64; 8] = [0.02, 0.15, 0.3, 0.4, 0.5, 0.65, 0.8, 0.95];
/// A large fleet, in which every server must be probed.
const LARGE: FleetSize = FleetSize { servers: 60, proxies_per_zone: 4 };
/// The number of periods over which probes are counted. Each server must be probed in at least all but one of them.
const PROBED_PERIODS: u32 = 5;
/// The size of most tests.
const SMALL: FleetSize = FleetSize { servers: 12, proxies_per_zone: 4 };
/// The size of the fleets in the incident.
const INCIDENT: FleetSize = FleetSize { servers: 32, proxies_per_zone: 50 };
/// The server that fails in tests with one failing server.
const FAILING_SERVER: usize = 4;

/// Lets one test run at a time, so that the load of the others does not distort the measured times.
fn lock_for_test() -> MutexGuard<'static, ()> {
    static TEST_LOCK: Mutex<()> = Mutex::new(());
    TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a case at each phase at once, each in a fleet of its own: they mostly wait.
fn at_each_phase<T: Send>(size: FleetSize, run: impl Fn(&Fleet, f64) -> T + Sync) -> Vec<T> {
    let _lock = lock_for_test();
    let run = |phase| run(&Fleet::start(size), phase);
    thread::scope(|scope| {
        let runs: Vec<_> = PHASES.iter().map(|phase| scope.spawn(move || run(*phase))).collect();
        runs.into_iter().map(|run| run.join().unwrap()).collect()
    })
}

/// Makes some servers fail at a phase between probes, in how they treat probes and RPCs; returns a trace for each.
fn fail_at_phase(
    fleet: &Fleet,
    phase: f64,
    servers: &[usize],
    behaviors: (ProbeBehavior, fn(Instant) -> RpcBehavior),
) -> Vec<Trace> {
    fleet.wait_for_phase(servers[0], phase);
    fail_now(fleet, phase, servers, behaviors)
}

/// Makes some servers fail at once; returns a trace for each.
fn fail_now(
    fleet: &Fleet,
    phase: f64,
    servers: &[usize],
    behaviors: (ProbeBehavior, fn(Instant) -> RpcBehavior),
) -> Vec<Trace> {
    let slices = fleet.slices_of(servers);
    let since = Instant::now();
    for server in servers {
        fleet.servers[*server].set_behavior(behaviors.0);
        fleet.collectors.set_behavior(*server, behaviors.1(since));
    }
    slices.iter().map(|(server, slices)| fleet.trace(*server, slices, phase, since)).collect()
}

/// Prints the traces, and returns those whose order arrived too late.
fn late_traces(case: &str, traces: Vec<Trace>) -> Vec<String> {
    let is_late = |trace: &Trace| trace.rpcs_blocked.is_none_or(|time| time > MAX_ORDER_DELAY);
    traces.iter().for_each(|trace| println!("{case}: {trace}"));
    traces.iter().filter(|trace| is_late(trace)).map(|trace| format!("{case}: {trace}")).collect()
}

#[test]
fn only_orders_that_block_all_rpcs_of_a_slice_count_as_blocking() {
    let at = Instant::now();
    let cases: [(&[&str], Option<usize>); 12] = [
        (&["put,7,s-4,0"], Some(0)),
        (&["put,7,s-5,1"], Some(0)),
        (&["eject,s-4"], Some(0)),
        (&["gate,7,*,0.000,0"], Some(0)),
        (&["gate,7,look+book,0.000,0"], Some(0)),
        (&["gate,7,book,0.000,0", "gate,7,look,0.000,0"], Some(1)),
        (&["gate,7,book,0.000,0", "gate,7,book,1.000,0", "gate,7,look,0.000,0"], None),
        (&["gate,7,look,0.050,0", "gate,7,book,0.000,0"], None),
        (&["put,8,s-4,0", "gate,8,*,0.000,0"], None),
        (&["put,7,s-4,1", "put,7,s-5,0"], None),
        (&["eject,s-5", "uneject,s-4"], None),
        (&["fence,7,1", "fence,8,1", "put,7,s-4,0"], Some(2)),
    ];
    for (orders, wanted) in cases {
        let received = |(ms, order): (usize, &&str)| ReceivedOrder {
            at: at + Duration::from_millis(ms as u64),
            order: order.to_string(),
        };
        let received: Vec<ReceivedOrder> = orders.iter().enumerate().map(received).collect();
        assert_eq!(rpcs_blocked_at(&received, 4, 7), wanted.map(|ms| received[ms].at), "{orders:?}");
    }
}

#[test]
fn failing_servers_get_no_rpcs_within_time_limit() {
    let quarter: Vec<usize> = (0..INCIDENT.servers).step_by(4).collect();
    type Case = (&'static str, FleetSize, Vec<usize>, (ProbeBehavior, fn(Instant) -> RpcBehavior));
    let cases: [Case; 5] = [
        (
            "one unresponsive",
            SMALL,
            vec![FAILING_SERVER],
            (ProbeBehavior::Unresponsive, RpcBehavior::Unresponsive),
        ),
        (
            "one unresponsive, losses not reported",
            SMALL,
            vec![FAILING_SERVER],
            (ProbeBehavior::Unresponsive, RpcBehavior::UnresponsiveUnreported),
        ),
        (
            "a quarter unresponsive",
            INCIDENT,
            quarter,
            (ProbeBehavior::Unresponsive, RpcBehavior::Unresponsive),
        ),
        ("connects refused", SMALL, vec![FAILING_SERVER], (ProbeBehavior::Refuses, RpcBehavior::Failures)),
        ("connections reset", SMALL, vec![FAILING_SERVER], (ProbeBehavior::Resets, RpcBehavior::Failures)),
    ];
    let late = cases.iter().flat_map(|(case, size, servers, behaviors)| {
        late_traces(
            case,
            at_each_phase(*size, |fleet, phase| fail_at_phase(fleet, phase, servers, *behaviors)).concat(),
        )
    });
    let late: Vec<String> = late.collect();
    assert!(late.is_empty(), "after {MAX_ORDER_DELAY:?}: {late:#?}");
}

#[test]
fn every_server_of_large_fleet_is_probed() {
    let _lock = lock_for_test();
    let fleet = Fleet::start(LARGE);
    let since = Instant::now();
    thread::sleep(PERIOD * PROBED_PERIODS);
    let probes =
        |server: usize| fleet.servers[server].probes().iter().filter(|probe| probe.at >= since).count();
    let counts: Vec<usize> = (0..LARGE.servers).map(probes).collect();
    println!("probes by server: {counts:?}");
    let unprobed: Vec<usize> =
        (0..LARGE.servers).filter(|server| counts[*server] + 1 < PROBED_PERIODS as usize).collect();
    assert!(unprobed.is_empty(), "servers without probes: {unprobed:?}");
}

/// A zone is cut off and its servers become unresponsive, while proxies of the other zones still send to them.
#[test]
fn unresponsive_servers_of_disconnected_zone_get_no_rpcs_within_time_limit() {
    let cut_off_zone = ZONES[2];
    let servers: Vec<usize> =
        (0..SMALL.servers).filter(|server| server_zone(*server) == cut_off_zone).collect();
    let traces = at_each_phase(SMALL, |fleet, phase| {
        fleet.wait_for_phase(servers[0], phase);
        fleet.relay.disconnect_proxies(cut_off_zone);
        fleet.collectors.disconnect_zone(cut_off_zone);
        fail_now(fleet, phase, &servers, (ProbeBehavior::Unresponsive, RpcBehavior::Unresponsive))
    });
    let late = late_traces("a zone disconnected", traces.concat());
    assert!(late.is_empty(), "after {MAX_ORDER_DELAY:?}: {late:#?}");
}

#[test]
fn slow_probe_answers_cost_no_slices() {
    const ANSWER_DELAY: Duration = Duration::from_millis(300);
    let blocking_orders = at_each_phase(SMALL, |fleet, phase| {
        fleet.wait_for_phase(FAILING_SERVER, phase);
        let slices = fleet.relay.slices_of(&server_name(FAILING_SERVER));
        let since = Instant::now();
        fleet.servers[FAILING_SERVER].set_behavior(ProbeBehavior::AnswersAfter(ANSWER_DELAY));
        fleet.collectors.set_behavior(FAILING_SERVER, RpcBehavior::AnswersAfter(ANSWER_DELAY));
        thread::sleep(OBSERVATION_TIME);
        let orders = fleet.relay.orders_since(since).into_iter().map(|received| received.order);
        orders
            .filter(|order| blocks_rpcs(order, &server_name(FAILING_SERVER), &slices))
            .collect::<Vec<String>>()
    });
    assert_eq!(blocking_orders.concat(), Vec::<String>::new());
}

/// Whether an order blocks RPCs to a server, or of a class of some slices.
fn blocks_rpcs(order: &str, server: &str, slices: &[usize]) -> bool {
    let words: Vec<&str> = order.split(',').collect();
    let is_selected = |slice: &str| slices.iter().any(|selected| selected.to_string() == slice);
    match words[..] {
        ["eject", out] => out == server,
        ["put", slice, at, on] => is_selected(slice) && (at == server) == (on == "0"),
        ["gate", slice, _, share, ..] => is_selected(slice) && share.parse::<f64>() == Ok(0.0),
        _ => false,
    }
}

/// Observes a server for a while; returns its slices that were given to other servers or are not served.
fn lost_slices(fleet: &Fleet, server: usize, since: Instant) -> Vec<String> {
    let slices = fleet.relay.slices_of(&server_name(server));
    thread::sleep(OBSERVATION_TIME);
    let orders = fleet.relay.orders_since(since).into_iter().map(|received| received.order);
    let moves = orders.filter(|order| {
        let words: Vec<&str> = order.split(',').collect();
        let is_selected = |slice: &str| slices.iter().any(|selected| selected.to_string() == slice);
        matches!(words[..], ["put", slice, at, on] if is_selected(slice) && at != server_name(server) && on != "0")
    });
    let unserved = slices.iter().filter(|slice| !fleet.is_served(**slice, since));
    moves.chain(unserved.map(|slice| format!("slice {slice} is not served"))).collect()
}

#[test]
fn one_lost_probe_moves_no_slice() {
    let moved = at_each_phase(SMALL, |fleet, phase| {
        fleet.wait_for_phase(FAILING_SERVER, phase);
        let since = fleet.servers[FAILING_SERVER].set_behavior(ProbeBehavior::DropsNextProbe);
        let moved = lost_slices(fleet, FAILING_SERVER, since);
        let probes = fleet.servers[FAILING_SERVER].probes();
        assert_eq!(probes.iter().filter(|probe| !probe.is_answered).count(), 1);
        moved
    });
    assert_eq!(moved.concat(), Vec::<String>::new());
}

#[test]
fn server_that_answers_rpcs_but_no_probes_keeps_its_slices() {
    let moved = at_each_phase(SMALL, |fleet, phase| {
        fleet.wait_for_phase(FAILING_SERVER, phase);
        let since = fleet.servers[FAILING_SERVER].set_behavior(ProbeBehavior::Unresponsive);
        lost_slices(fleet, FAILING_SERVER, since)
    });
    assert_eq!(moved.concat(), Vec::<String>::new());
}

/// The slices may be back at the server or at others; they only have to be served.
#[test]
fn slices_are_served_again_in_time_after_suspected_server_recovers() {
    let times = at_each_phase(SMALL, |fleet, phase| {
        fleet.wait_for_phase(FAILING_SERVER, phase);
        let slices = fleet.slices_of(&[FAILING_SERVER]);
        let since = fleet.servers[FAILING_SERVER].set_behavior(ProbeBehavior::Unresponsive);
        fleet.collectors.set_behavior(FAILING_SERVER, RpcBehavior::Unresponsive(since));
        let rpcs_blocked = fleet
            .time_until_rpcs_blocked(&slices, since)
            .expect("RPCs are not kept away from the unresponsive server");
        fleet.servers[FAILING_SERVER].set_behavior(ProbeBehavior::Answers);
        fleet.collectors.set_behavior(FAILING_SERVER, RpcBehavior::Answers);
        let recovery_time =
            wait_until(EVENT_TIMEOUT, || slices[0].1.iter().all(|slice| fleet.is_served(*slice, since)));
        println!("recovery: phase {phase}, RPCs blocked after {rpcs_blocked:?}, served again after {recovery_time:?}");
        recovery_time
    });
    let late = times.iter().filter(|time| time.is_none_or(|time| time > MAX_RECOVERY_DELAY)).count();
    assert_eq!(late, 0, "{times:?}");
}

/// The times from the first report of a loss until RPCs are kept away from the server. If they are kept away before a
/// loss is reported, the time counts from the first report since the fault, which shows that answers are missing.
fn reaction_times(case: &str, behavior: fn(Instant) -> RpcBehavior) -> Vec<Option<Duration>> {
    let traces = at_each_phase(SMALL, |fleet, phase| {
        fleet.wait_for_phase(FAILING_SERVER, phase);
        let slices = fleet.relay.slices_of(&server_name(FAILING_SERVER));
        let since = Instant::now();
        fleet.collectors.set_behavior(FAILING_SERVER, behavior(since));
        fleet.trace(FAILING_SERVER, &slices, phase, since)
    });
    traces.iter().for_each(|trace| println!("{case}: {trace}"));
    let reported = |trace: &Trace| trace.loss_reported.or(trace.first_report).unwrap_or_default();
    let reaction_time = |trace: &Trace| Some(trace.rpcs_blocked?.saturating_sub(reported(trace)));
    traces.iter().map(reaction_time).collect()
}

#[test]
fn server_that_answers_probes_but_loses_all_rpcs_is_avoided_in_time() {
    let failing = reaction_times("probes ok, RPCs fail at once", RpcBehavior::Failures);
    let hanging = reaction_times("probes ok, RPCs hang", RpcBehavior::Unresponsive);
    let times = [failing, hanging].concat();
    let late = times.iter().filter(|time| time.is_none_or(|time| time > MAX_REACTION_DELAY)).count();
    assert_eq!(late, 0, "{times:?}");
}

#[test]
fn overloaded_server_gets_less_load_in_time() {
    let times = at_each_phase(SMALL, |fleet, phase| {
        fleet.wait_for_phase(FAILING_SERVER, phase);
        let slices = fleet.relay.slices_of(&server_name(FAILING_SERVER));
        let since = Instant::now();
        fleet.collectors.set_behavior(FAILING_SERVER, RpcBehavior::Overload);
        let limiting_order = || {
            fleet
                .relay
                .orders_since(since)
                .into_iter()
                .find(|received| reduces_load(&received.order, &slices))
        };
        wait_until(EVENT_TIMEOUT, || limiting_order().is_some());
        let time = limiting_order().map(|received| received.at.duration_since(since));
        let loss_reported = fleet.collectors.loss_reported(FAILING_SERVER).map(|at| at.duration_since(since));
        let limited = fleet.time_to_log(since, &[&format!("server {FAILING_SERVER} limited")]);
        let order = limiting_order().map(|received| received.order);
        println!("overload: phase {phase}, loss reported {loss_reported:?}, limited {limited:?}, less load after {time:?} by {order:?}");
        time.zip(loss_reported).map(|(time, reported)| time.saturating_sub(reported))
    });
    let late = times.iter().filter(|time| time.is_none_or(|time| time > MAX_REACTION_DELAY)).count();
    assert_eq!(late, 0, "{times:?}");
}

/// Whether an order sets a level under 1 for one of some slices, or moves one of them.
fn reduces_load(order: &str, slices: &[usize]) -> bool {
    let words: Vec<&str> = order.split(',').collect();
    let is_selected = |slice: &str| slices.iter().any(|selected| selected.to_string() == slice);
    match words[..] {
        ["gate", slice, _, share, ..] => {
            is_selected(slice) && share.parse::<f64>().is_ok_and(|share| share < 1.0)
        }
        ["put", slice, ..] => is_selected(slice),
        _ => false,
    }
}
