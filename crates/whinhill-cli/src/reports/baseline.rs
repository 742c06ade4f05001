//! The former intake of load reports, kept as the baseline of the soak. It uses arrival times, accepts every report,
//! and outputs the oldest sums first.
//!
//! Lines above the cap are not dropped: their sums keep growing, and each line is output with the interval that it
//! then covers.

use std::collections::BTreeMap;
use std::time::Duration;

use whinhill::interface::{EndpointId, Event, LoadReport, MethodId, SliceId, ZoneId};
use whinhill_xds::mapping::{server_name, Service};
use whinhill_xds::proto;

use whinhill_assigner::NameIndex;

/// Tries that are not yet output.
#[derive(Clone, Debug, Default)]
struct PendingSum {
    tries: u64,
    lost: u64,
    /// When the first report of the sum arrived, and the interval that this report covered.
    since: Option<Duration>,
    first_interval: Duration,
}

impl PendingSum {
    /// Notes the first report of the sum; later ones change nothing.
    fn begin(&mut self, now: Duration, interval: Duration) {
        if self.since.is_none() {
            (self.since, self.first_interval) = (Some(now), interval);
        }
    }

    /// The interval that the sum covers until `now`.
    fn interval(&self, now: Duration) -> Duration {
        self.first_interval + now.saturating_sub(self.since.unwrap_or(now))
    }
}

/// What a sum counts: tries by server and zone, or RPCs by slice and method. Sums that began at the same time are
/// output in the order of their keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Server { server: usize, zone: ZoneId },
    Slice { slice: SliceId, method: MethodId },
}

/// The baseline intake.
#[derive(Debug)]
pub struct BaselineIntake {
    sums: BTreeMap<Key, PendingSum>,
    lines_per_s: u32,
    period: Duration,
    next_output: Duration,
    /// Longer reported intervals are clamped: they mean that a proxy's clock stopped or jumped.
    max_interval: Duration,
}

impl BaselineIntake {
    /// Creates an intake that outputs at most `lines_per_s`, once per `period`.
    pub fn new(lines_per_s: u32, period: Duration) -> Self {
        BaselineIntake {
            sums: BTreeMap::new(),
            lines_per_s,
            period,
            next_output: Duration::ZERO,
            max_interval: period * 20,
        }
    }

    /// Adds one proxy's report. Clusters that can't be parsed and servers that no list has named are skipped and
    /// counted, so memory is bounded by the number of slices and methods, and by servers times zones.
    pub fn add_report(
        &mut self,
        now: Duration,
        zone: ZoneId,
        report: &proto::LoadStatsRequest,
        service: &Service,
        names: &NameIndex,
    ) -> usize {
        let mut unresolved = 0;
        for cluster in &report.cluster_stats {
            let Some((slice, method)) = service.parse_cluster_name(&cluster.cluster_name) else {
                unresolved += 1;
                continue;
            };
            // A cluster may be reported only for its work in flight, which says nothing about its demand.
            let issued = cluster
                .upstream_locality_stats
                .iter()
                .map(|locality| locality.total_issued_requests)
                .sum::<u64>();
            if issued + cluster.total_dropped_requests == 0 {
                continue;
            }
            let reported = cluster.load_report_interval.as_ref().and_then(proto::from_proto_duration);
            let interval = reported.unwrap_or(self.period).clamp(Duration::from_millis(1), self.max_interval);
            let demand = self.sums.entry(Key::Slice { slice, method }).or_default();
            demand.begin(now, interval);
            demand.tries += cluster.total_dropped_requests;
            for locality in &cluster.upstream_locality_stats {
                demand.tries += locality.total_issued_requests;
                demand.lost += locality.total_error_requests;
            }
            let servers =
                cluster.upstream_locality_stats.iter().flat_map(|locality| &locality.upstream_endpoint_stats);
            for server in servers.filter(|server| server.total_issued_requests > 0) {
                let name = server.address.as_ref().and_then(server_name);
                let Some(server_index) = name.and_then(|name| names.known_index(&name)) else {
                    unresolved += 1;
                    continue;
                };
                let key = Key::Server { server: server_index, zone };
                let server_sum = self.sums.entry(key).or_default();
                server_sum.begin(now, interval);
                server_sum.tries += server.total_issued_requests;
                server_sum.lost += server.total_error_requests.min(server.total_issued_requests);
            }
        }
        unresolved
    }

    /// Returns the lines due now: once per period, the oldest sums first, up to the cap.
    pub fn output_due(
        &mut self,
        now: Duration,
        names: &NameIndex,
        endpoint: impl Fn(usize) -> EndpointId,
    ) -> Vec<Event> {
        if now < self.next_output {
            return Vec::new();
        }
        self.next_output = now + self.period;
        let max_lines = (f64::from(self.lines_per_s) * self.period.as_secs_f64()).ceil() as usize;
        let mut keys: Vec<(Duration, Key)> =
            self.sums.iter().filter_map(|(key, sum)| Some((sum.since?, *key))).collect();
        keys.sort_unstable();
        let mut events = Vec::with_capacity(keys.len().min(max_lines));
        for (_, key) in keys.into_iter().take(max_lines) {
            let Some(sum) = self.sums.remove(&key) else { continue };
            let interval = sum.interval(now);
            events.push(match key {
                Key::Slice { slice, method } => {
                    Event::Demand { slice, method, rpcs: sum.tries, lost: sum.lost.min(sum.tries), interval }
                }
                Key::Server { server, zone } => {
                    debug_assert!(server < names.server_count());
                    Event::TryReport {
                        endpoint: endpoint(server),
                        zone,
                        tries: sum.tries,
                        lost: sum.lost,
                        mean_wait: Duration::ZERO,
                        interval,
                        load: LoadReport::default(),
                    }
                }
            });
        }
        events
    }
}
