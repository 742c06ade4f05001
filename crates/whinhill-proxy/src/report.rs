//! Statistics of tries by server, slice and method, for the load reports to assigners (LRS v3).

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use whinhill::interface::{MethodId, SliceId};
use whinhill_xds::mapping::{server_address, Service};
use whinhill_xds::proto::{self, to_proto_duration};

use crate::table::Source;

/// Load metric: total latency of ok answers in milliseconds, with their number.
const WAIT_METRIC: &str = "wait_ms";
/// Load metric: tries that the server sent back without running them, with a time for the next attempt.
const PUSHED_BACK_METRIC: &str = "pushed_back";
/// The most servers whose own load reports are kept.
const MAX_SERVERS: usize = 4096;
/// Maximum number of named metrics kept from a server's load report; which ones is arbitrary if it has more.
const MAX_NAMED_METRICS: usize = 8;

/// The outcome of a try, for load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryResult {
    /// Answered with the status ok.
    Ok,
    /// The server sent it back without running it.
    PushedBack,
    /// Failed, unanswered or ended by the proxy.
    Lost,
}

/// Tries of one slice and method at one server.
#[derive(Clone, Debug, Default, PartialEq)]
struct ServerStats {
    tries: u64,
    ok: u64,
    pushed_back: u64,
    /// Total latency of the ok answers.
    ok_latency: Duration,
}

/// RPCs and tries of one slice and method since the last report.
#[derive(Clone, Debug, Default, PartialEq)]
struct SliceStats {
    /// RPCs that the level didn't admit.
    dropped: u64,
    /// Limited by the number of owners that the slice has had since the last report.
    by_server: BTreeMap<Arc<str>, ServerStats>,
    /// RPCs for which no server or connection was available in time.
    hold_expired: u64,
}

/// Number of tries in flight, by server.
type InFlightByServer = BTreeMap<Arc<str>, u64>;

/// Statistics taken out for one report.
#[derive(Debug)]
pub struct PendingReport {
    source: Source,
    since: Duration,
    until: Duration,
    by_slice: BTreeMap<(SliceId, MethodId), SliceStats>,
}

/// Statistics since the last report, by the assigner that receives them.
#[derive(Debug)]
pub struct LoadStats {
    by_slice: Vec<BTreeMap<(SliceId, MethodId), SliceStats>>,
    /// Start of the interval of the next report, by assigner, on the proxy's clock.
    since: Vec<Duration>,
    /// Tries in flight, by the assigner to which their end will be reported. Limited by the RPCs in flight.
    in_flight: Vec<BTreeMap<(SliceId, MethodId), InFlightByServer>>,
    /// The last load report of each server (ORCA).
    server_loads: HashMap<Arc<str>, BTreeMap<String, f64>>,
}

impl LoadStats {
    /// Empty statistics for `sources` assigners.
    pub fn new(sources: usize) -> Self {
        LoadStats {
            by_slice: vec![BTreeMap::new(); sources],
            since: vec![Duration::ZERO; sources],
            in_flight: vec![BTreeMap::new(); sources],
            server_loads: HashMap::new(),
        }
    }

    /// The statistics of a slice and method since the last report.
    fn slice_stats(&mut self, source: Source, slice: SliceId, method: MethodId) -> &mut SliceStats {
        self.by_slice[source].entry((slice, method)).or_default()
    }

    /// Records an RPC that the level didn't admit.
    pub fn record_dropped(&mut self, source: Source, slice: SliceId, method: MethodId) {
        self.slice_stats(source, slice, method).dropped += 1;
    }

    /// Records an RPC that found no server within the hold time, or for which this machine could open no connection.
    pub fn record_hold_expired(&mut self, source: Source, slice: SliceId, method: MethodId) {
        self.slice_stats(source, slice, method).hold_expired += 1;
    }

    /// A try begins; [`LoadStats::try_ended`] or [`LoadStats::try_not_sent`] must follow, with the same source.
    pub fn try_started(&mut self, source: Source, slice_method: (SliceId, MethodId), server: &Arc<str>) {
        let by_server = self.in_flight[source].entry(slice_method).or_default();
        *by_server.entry(server.clone()).or_default() += 1;
    }

    /// A try ended without having been sent: it doesn't count.
    pub fn try_not_sent(&mut self, source: Source, slice_method: (SliceId, MethodId), server: &Arc<str>) {
        let Some(by_server) = self.in_flight[source].get_mut(&slice_method) else { return };
        match by_server.get_mut(server) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(by_server.remove(server)),
        }
        if by_server.is_empty() {
            self.in_flight[source].remove(&slice_method);
        }
    }

    /// A try ended, after `latency`.
    pub fn try_ended(
        &mut self,
        source: Source,
        (slice, method): (SliceId, MethodId),
        server: &Arc<str>,
        result: TryResult,
        latency: Duration,
    ) {
        self.try_not_sent(source, (slice, method), server);
        let server_stats =
            self.slice_stats(source, slice, method).by_server.entry(server.clone()).or_default();
        server_stats.tries += 1;
        match result {
            TryResult::Ok => {
                server_stats.ok += 1;
                server_stats.ok_latency += latency;
            }
            TryResult::PushedBack => server_stats.pushed_back += 1,
            TryResult::Lost => {}
        }
    }

    /// Stores a server's own load report.
    pub fn set_server_load(&mut self, server: &Arc<str>, report: &proto::OrcaLoadReport) {
        if self.server_loads.len() >= MAX_SERVERS && !self.server_loads.contains_key(server) {
            return;
        }
        let named =
            report.named_metrics.iter().take(MAX_NAMED_METRICS).map(|(name, value)| (name.clone(), *value));
        let mut load: BTreeMap<String, f64> = named.collect();
        if report.cpu_utilization > 0.0 {
            load.insert("cpu".to_string(), report.cpu_utilization);
        }
        self.server_loads.insert(server.clone(), load);
    }

    /// Takes out the statistics for an assigner's next report. They are reported at most once: a report lost with its
    /// stream is not repeated. Only a report that was not completely written to its stream can't have been read, and is
    /// returned with [`LoadStats::restore_report`].
    pub fn take_report(&mut self, source: Source, now: Duration) -> PendingReport {
        let since = std::mem::replace(&mut self.since[source], now);
        let by_slice = std::mem::take(&mut self.by_slice[source]);
        PendingReport { source, since, until: now, by_slice }
    }

    /// Adds the statistics of a report that could not be sent to those recorded since.
    pub fn restore_report(&mut self, pending: PendingReport) {
        self.since[pending.source] = self.since[pending.source].min(pending.since);
        for (slice_method, before) in pending.by_slice {
            let slice_stats = self.by_slice[pending.source].entry(slice_method).or_default();
            slice_stats.dropped += before.dropped;
            slice_stats.hold_expired += before.hold_expired;
            for (server, before) in before.by_server {
                let server_stats = slice_stats.by_server.entry(server).or_default();
                server_stats.tries += before.tries;
                server_stats.ok += before.ok;
                server_stats.pushed_back += before.pushed_back;
                server_stats.ok_latency += before.ok_latency;
            }
        }
    }

    /// The report as a protocol message, including the tries in flight now.
    pub fn to_proto(&self, pending: &PendingReport, service: &Service) -> proto::LoadStatsRequest {
        let no_stats = SliceStats::default();
        let in_flight = &self.in_flight[pending.source];
        let only_in_flight = in_flight
            .keys()
            .filter(|slice_method| !pending.by_slice.contains_key(slice_method))
            .map(|slice_method| (slice_method, &no_stats));
        let interval = pending.until.saturating_sub(pending.since);
        let cluster_stats =
            pending.by_slice.iter().chain(only_in_flight).map(|((slice, method), slice_stats)| {
                let in_flight = in_flight.get(&(*slice, *method));
                self.cluster(service.cluster_name(*slice, *method), slice_stats, in_flight, interval)
            });
        proto::LoadStatsRequest { node: None, cluster_stats: cluster_stats.collect() }
    }

    /// The statistics of one slice and method.
    fn cluster(
        &self,
        cluster_name: String,
        slice_stats: &SliceStats,
        in_flight: Option<&InFlightByServer>,
        interval: Duration,
    ) -> proto::ClusterStats {
        let no_tries = ServerStats::default();
        let in_flight_at =
            |server: &Arc<str>| in_flight.and_then(|by_server| by_server.get(server)).copied().unwrap_or(0);
        let only_in_flight = in_flight
            .into_iter()
            .flat_map(BTreeMap::keys)
            .filter(|s| !slice_stats.by_server.contains_key(*s));
        let all = slice_stats.by_server.iter().chain(only_in_flight.map(|server| (server, &no_tries)));
        let upstream_endpoint_stats =
            all.map(|(server, stats)| self.endpoint(server, stats, in_flight_at(server)));
        let sum = |field: fn(&ServerStats) -> u64| slice_stats.by_server.values().map(field).sum();
        let (issued, ok): (u64, u64) = (sum(|stats| stats.tries), sum(|stats| stats.ok));
        let dropped = [("level", slice_stats.dropped), ("hold", slice_stats.hold_expired)];
        let dropped = dropped.into_iter().filter(|(_, count)| *count > 0);
        proto::ClusterStats {
            cluster_name,
            upstream_locality_stats: vec![proto::UpstreamLocalityStats {
                locality: None,
                total_successful_requests: ok,
                total_requests_in_progress: in_flight.into_iter().flat_map(BTreeMap::values).sum(),
                total_error_requests: issued - ok,
                upstream_endpoint_stats: upstream_endpoint_stats.collect(),
                total_issued_requests: issued,
            }],
            total_dropped_requests: slice_stats.dropped + slice_stats.hold_expired,
            load_report_interval: Some(to_proto_duration(interval)),
            dropped_requests: dropped
                .map(|(category, count)| proto::DroppedRequests {
                    category: category.to_string(),
                    dropped_count: count,
                })
                .collect(),
        }
    }

    /// The statistics of one server.
    fn endpoint(
        &self,
        server: &Arc<str>,
        stats: &ServerStats,
        in_flight: u64,
    ) -> proto::UpstreamEndpointStats {
        let wait = (stats.ok > 0).then(|| proto::EndpointLoadMetricStats {
            metric_name: WAIT_METRIC.to_string(),
            num_requests_finished_with_metric: stats.ok,
            total_metric_value: stats.ok_latency.as_secs_f64() * 1e3,
        });
        let pushed_back = (stats.pushed_back > 0).then(|| proto::EndpointLoadMetricStats {
            metric_name: PUSHED_BACK_METRIC.to_string(),
            num_requests_finished_with_metric: stats.pushed_back,
            total_metric_value: stats.pushed_back as f64,
        });
        let reported = self.server_loads.get(server).into_iter().flatten();
        let reported = reported.map(|(name, value)| proto::EndpointLoadMetricStats {
            metric_name: name.clone(),
            num_requests_finished_with_metric: 1,
            total_metric_value: *value,
        });
        proto::UpstreamEndpointStats {
            address: Some(server_address(server)),
            total_successful_requests: stats.ok,
            total_requests_in_progress: in_flight,
            total_error_requests: stats.tries - stats.ok,
            load_metric_stats: wait.into_iter().chain(pushed_back).chain(reported).collect(),
            total_issued_requests: stats.tries,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::table::tests::{s, service};

    fn issued(report: &proto::LoadStatsRequest) -> u64 {
        report
            .cluster_stats
            .iter()
            .flat_map(|c| &c.upstream_locality_stats)
            .map(|l| l.total_issued_requests)
            .sum()
    }

    fn stats_with_three_tries() -> (LoadStats, Arc<str>) {
        let (mut stats, server): (LoadStats, Arc<str>) = (LoadStats::new(2), "127.0.0.1:7000".into());
        for result in [TryResult::Ok, TryResult::Lost, TryResult::PushedBack] {
            stats.try_started(0, (1, 0), &server);
            stats.try_ended(0, (1, 0), &server, result, s(0.01));
        }
        stats.record_dropped(0, 1, 0);
        (stats, server)
    }

    #[test]
    fn unsent_report_is_merged_into_the_next_and_sent_reports_are_not_repeated() {
        let (mut stats, server) = stats_with_three_tries();
        let unsent = stats.take_report(0, s(1.0));
        assert_eq!(issued(&stats.to_proto(&unsent, &service())), 3);
        stats.try_started(0, (1, 0), &server);
        stats.try_ended(0, (1, 0), &server, TryResult::Ok, s(0.01));
        stats.restore_report(unsent);
        let pending = stats.take_report(0, s(2.0));
        let report = stats.to_proto(&pending, &service());
        let cluster = &report.cluster_stats[0];
        assert_eq!((issued(&report), cluster.total_dropped_requests), (4, 1));
        // The report covers both intervals.
        assert_eq!(cluster.load_report_interval.as_ref().and_then(proto::from_proto_duration), Some(s(2.0)));
        let reported = stats.take_report(0, s(3.0));
        assert!(stats.to_proto(&reported, &service()).cluster_stats.is_empty());
    }

    #[test]
    fn tries_in_flight_and_push_backs_are_reported_by_server() {
        let (mut stats, server) = stats_with_three_tries();
        (0..2).for_each(|_| stats.try_started(0, (0, 1), &server));
        let pending = stats.take_report(0, s(1.0));
        let report = stats.to_proto(&pending, &service());
        assert_eq!(report.cluster_stats.len(), 2);
        let cluster = |name: &str| report.cluster_stats.iter().find(|c| c.cluster_name == name).unwrap();
        let locality = &cluster("t/1.2/look").upstream_locality_stats[0];
        let pushed_back = &locality.upstream_endpoint_stats[0].load_metric_stats[1];
        assert_eq!((&*pushed_back.metric_name, pushed_back.total_metric_value), ("pushed_back", 1.0));
        assert_eq!((locality.total_successful_requests, locality.total_error_requests), (1, 2));
        let other_locality = &cluster("t/0.2/book").upstream_locality_stats[0];
        assert_eq!((other_locality.total_requests_in_progress, other_locality.total_issued_requests), (2, 0));
        // Tries that were not sent and tries that ended are no longer in flight.
        stats.try_not_sent(0, (0, 1), &server);
        stats.try_ended(0, (0, 1), &server, TryResult::Ok, s(0.01));
        assert!(stats.in_flight.iter().all(BTreeMap::is_empty));
    }
}
