//! Plans while proxies leave and come back.

use super::super::tests::{ep, fleet, s};
use super::*;

/// Plays periods of a hot server beside three idle ones; proxy 1 is away in the first part of each second. When a
/// slice of the hot server was first stopped.
fn relieved_after(away: f64, periods: u32) -> Option<Duration> {
    let mut a = fleet(4, &[(0, 0.4), (0, 0.3), (0, 0.29), (1, 0.1), (2, 0.1), (3, 0.1)]);
    let begin = a.now;
    for step in 0..20 * periods {
        let since = Duration::from_millis(50) * step;
        let now = begin + since;
        let report = |server: usize| Event::Met {
            ep: ep(server),
            zone: 0,
            tries: 10,
            lost: 0,
            wait: if server == 0 { s(0.35) } else { s(0.05) },
            span: s(1.0),
            load: LoadReport {
                cpu: Some(if server == 0 { 0.99 } else { 0.1 }),
                service: Some(s(0.05)),
                ..LoadReport::default()
            },
        };
        let demand = |slice: usize| Event::Demand {
            slice,
            method: 0,
            rpcs: if slice < 3 { 40 } else { 10 },
            lost: 0,
            span: s(1.0),
        };
        let mut events = match since.as_millis() % 1000 {
            0 if away > 0.0 => vec![Event::Left { proxy: 1 }],
            at if away > 0.0 && at == s(away).as_millis() => vec![Event::Joined { proxy: 1, zone: 0 }],
            _ => vec![Event::Timer],
        };
        if step % 20 == 10 {
            events.extend((0..4).map(report));
            events.extend((0..6).map(demand));
        }
        let orders = a.handle(now, &events);
        let stops = |order: &Order| matches!(order, Order::Level { slice: 0..3, share: 0.0, .. });
        if orders.iter().any(stops) {
            return Some(since);
        }
    }
    None
}

#[test]
fn a_hot_server_is_relieved_in_quiet_times() {
    assert!(relieved_after(0.0, 3).is_some());
}

/// Proxies that leave and join once a second leave no quiet time (issue 49).
#[test]
fn a_hot_server_is_relieved_though_proxies_leave_and_join() {
    assert!(relieved_after(0.6, 3).is_some());
    assert!(relieved_after(0.95, 3).is_some());
}
