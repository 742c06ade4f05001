//! Plans while proxies leave and join.

use super::super::tests::{assigner_with, endpoint, secs};
use super::*;

/// Runs periods with one hot and three nearly idle servers; proxy 1 is away for the first `away_s` seconds of each
/// second. Returns when writes to a slice of the hot server were first stopped.
fn time_to_first_stop(away_s: f64, periods: u32) -> Option<Duration> {
    let mut assigner = assigner_with(4, &[(0, 0.4), (0, 0.3), (0, 0.29), (1, 0.1), (2, 0.1), (3, 0.1)]);
    let started_at = assigner.now;
    for step in 0..20 * periods {
        let elapsed = Duration::from_millis(50) * step;
        let now = started_at + elapsed;
        let report = |server: usize| Event::TryReport {
            endpoint: endpoint(server),
            zone: 0,
            tries: 10,
            lost: 0,
            mean_wait: if server == 0 { secs(0.35) } else { secs(0.05) },
            interval: secs(1.0),
            load: LoadReport {
                cpu: Some(if server == 0 { 0.99 } else { 0.1 }),
                service_time: Some(secs(0.05)),
                ..LoadReport::default()
            },
        };
        let demand = |slice: usize| Event::Demand {
            slice,
            method: 0,
            rpcs: if slice < 3 { 40 } else { 10 },
            lost: 0,
            interval: secs(1.0),
        };
        let mut events = match elapsed.as_millis() % 1000 {
            0 if away_s > 0.0 => vec![Event::ProxyLeft { proxy: 1 }],
            at if away_s > 0.0 && at == secs(away_s).as_millis() => {
                vec![Event::ProxyJoined { proxy: 1, zone: 0 }]
            }
            _ => vec![Event::Timer],
        };
        if step % 20 == 10 {
            events.extend((0..4).map(report));
            events.extend((0..6).map(demand));
        }
        let orders = assigner.handle(now, &events);
        let is_write_stop = |order: &Order| matches!(order, Order::Level { slice: 0..3, level: 0.0, .. });
        if orders.iter().any(is_write_stop) {
            return Some(elapsed);
        }
    }
    None
}

#[test]
fn hot_server_is_relieved_while_proxies_stay_joined() {
    assert!(time_to_first_stop(0.0, 3).is_some());
}

/// Plans are postponed while proxies are away. A proxy that leaves and joins once a second must not postpone them
/// forever (issue 49).
#[test]
fn hot_server_is_relieved_while_proxy_leaves_and_joins_every_second() {
    assert!(time_to_first_stop(0.6, 3).is_some());
    assert!(time_to_first_stop(0.95, 3).is_some());
}
