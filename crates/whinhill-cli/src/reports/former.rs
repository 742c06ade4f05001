//! The intake as it was before: the baseline of the soak. It reckons by arrival, believes everybody, and gives what
//! came first.
//!
//! What is over the cap is not dropped but waits and adds up, each line for the stretch that it then covers;
//! the oldest go first.

use std::collections::BTreeMap;
use std::time::Duration;

use whinhill::interface::{Ep, Event, LoadReport, MethodId, SliceId, ZoneId};
use whinhill_xds::mapping::{server_name, Service};
use whinhill_xds::proto;

use whinhill_assigner::Names;

#[derive(Clone, Debug, Default)]
struct Sum {
    tries: u64,
    lost: u64,
    /// When the first figure in it came, and the stretch that the first report covered.
    since: Option<Duration>,
    first: Duration,
}

impl Sum {
    fn begin(&mut self, now: Duration, span: Duration) {
        if self.since.is_none() {
            (self.since, self.first) = (Some(now), span);
        }
    }

    fn span(&self, now: Duration) -> Duration {
        self.first + now.saturating_sub(self.since.unwrap_or(now))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Met { server: usize, zone: ZoneId },
    Came { slice: SliceId, method: MethodId },
}

#[derive(Debug)]
pub struct Intake {
    sums: BTreeMap<Key, Sum>,
    lines_per_s: u32,
    period: Duration,
    next: Duration,
    /// A stretch over this says that a proxy's clock stood still or jumped.
    span_most: Duration,
}

impl Intake {
    pub fn new(lines_per_s: u32, period: Duration) -> Self {
        Intake { sums: BTreeMap::new(), lines_per_s, period, next: Duration::ZERO, span_most: period * 20 }
    }

    /// Takes one proxy's report. Clusters that can't be made out and servers that no list has named are passed over
    /// and counted: so what is held is bounded by slices, and by servers times zones.
    pub fn take(
        &mut self,
        now: Duration,
        zone: ZoneId,
        report: &proto::LoadStatsRequest,
        service: &Service,
        names: &Names,
    ) -> usize {
        let mut strange = 0;
        for cluster in &report.cluster_stats {
            let Some((slice, method)) = service.of_cluster_name(&cluster.cluster_name) else {
                strange += 1;
                continue;
            };
            // A cluster may be told of for the work that is out alone: that nothing came is no news of its demand.
            let issued = cluster.upstream_locality_stats.iter().map(|l| l.total_issued_requests).sum::<u64>();
            if issued + cluster.total_dropped_requests == 0 {
                continue;
            }
            let told = cluster.load_report_interval.as_ref().and_then(proto::read_span);
            let span = told.unwrap_or(self.period).clamp(Duration::from_millis(1), self.span_most);
            let came = self.sums.entry(Key::Came { slice, method }).or_default();
            came.begin(now, span);
            came.tries += cluster.total_dropped_requests;
            for locality in &cluster.upstream_locality_stats {
                came.tries += locality.total_issued_requests;
                came.lost += locality.total_error_requests;
            }
            let servers = cluster.upstream_locality_stats.iter().flat_map(|l| &l.upstream_endpoint_stats);
            for server in servers.filter(|server| server.total_issued_requests > 0) {
                let name = server.address.as_ref().and_then(server_name);
                let Some(server_index) = name.and_then(|name| names.known(&name)) else {
                    strange += 1;
                    continue;
                };
                let key = Key::Met { server: server_index, zone };
                let met = self.sums.entry(key).or_default();
                met.begin(now, span);
                met.tries += server.total_issued_requests;
                met.lost += server.total_error_requests.min(server.total_issued_requests);
            }
        }
        strange
    }

    /// What the module is given now: once a period, the oldest sums first, up to the cap.
    pub fn give(&mut self, now: Duration, names: &Names, ep: impl Fn(usize) -> Ep) -> Vec<Event> {
        if now < self.next {
            return Vec::new();
        }
        self.next = now + self.period;
        let most = (f64::from(self.lines_per_s) * self.period.as_secs_f64()).ceil() as usize;
        let mut keys: Vec<(Duration, Key)> =
            self.sums.iter().filter_map(|(key, sum)| Some((sum.since?, *key))).collect();
        keys.sort_unstable();
        let mut events = Vec::with_capacity(keys.len().min(most));
        for (_, key) in keys.into_iter().take(most) {
            let Some(sum) = self.sums.remove(&key) else { continue };
            let span = sum.span(now);
            events.push(match key {
                Key::Came { slice, method } => {
                    Event::Demand { slice, method, rpcs: sum.tries, lost: sum.lost.min(sum.tries), span }
                }
                Key::Met { server, zone } => {
                    debug_assert!(server < names.servers());
                    Event::Met {
                        ep: ep(server),
                        zone,
                        tries: sum.tries,
                        lost: sum.lost,
                        wait: Duration::ZERO,
                        span,
                        load: LoadReport::default(),
                    }
                }
            });
        }
        events
    }
}
