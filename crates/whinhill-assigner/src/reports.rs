//! Converts load reports from the wire to the aggregator's form, and the aggregator's lines to events of the module.
//! No I/O.

use std::time::Duration;

use whinhill::interface::{EndpointId, Event, LoadReport, ProxyId, ZoneId};
use whinhill_reports::{Figures, Key, Line, MergedLine, Report};
use whinhill_xds::mapping::{server_name, Service};
use whinhill_xds::proto;

use crate::name_index::NameIndex;

/// Reads one proxy's report. Unknown clusters and servers that were on no list are only counted, so that a peer can't
/// fill the assigner's memory with names.
pub fn read_report(
    proxy: ProxyId,
    zone: ZoneId,
    report: &proto::LoadStatsRequest,
    service: &Service,
    names: &NameIndex,
) -> Report {
    let mut reported = Report { proxy, zone, interval: None, unresolved_lines: 0, lines: Vec::new() };
    for cluster in &report.cluster_stats {
        let Some((slice, method)) = service.parse_cluster_name(&cluster.cluster_name) else {
            reported.unresolved_lines += 1;
            continue;
        };
        let interval = cluster.load_report_interval.as_ref().and_then(proto::from_proto_duration);
        reported.interval = reported.interval.max(interval);
        let mut demand = Figures { tries: cluster.total_dropped_requests, ..Figures::default() };
        for locality in &cluster.upstream_locality_stats {
            demand.tries += locality.total_issued_requests;
            demand.lost += locality.total_error_requests.min(locality.total_issued_requests);
        }
        // A cluster may be reported only for its work in flight; without new tries that is no report of its demand.
        if demand.tries > 0 {
            reported.lines.push(Line { key: Key::Slice { slice, method }, figures: demand });
        }
        let servers = cluster.upstream_locality_stats.iter().flat_map(|l| &l.upstream_endpoint_stats);
        for server in servers.filter(|server| server.total_issued_requests > 0) {
            let name = server.address.as_ref().and_then(server_name);
            let Some(server_index) = name.and_then(|name| names.known_index(&name)) else {
                reported.unresolved_lines += 1;
                continue;
            };
            let tries = server.total_issued_requests;
            let mut endpoint =
                Figures { tries, lost: server.total_error_requests.min(tries), ..Figures::default() };
            server.load_metric_stats.iter().for_each(|metric| read_metric(&mut endpoint, metric));
            reported.lines.push(Line { key: Key::Server { server: server_index, zone }, figures: endpoint });
        }
    }
    reported
}

/// The module's event for a line of the aggregator.
pub fn to_event(line: &MergedLine, endpoint: impl Fn(usize) -> EndpointId) -> Event {
    let (figures, interval) = (&line.figures, line.interval);
    match line.key {
        Key::Slice { slice, method } => {
            let lost = figures.lost.min(figures.tries);
            Event::Demand { slice, method, rpcs: figures.tries, lost, interval }
        }
        Key::Server { server, zone } => {
            let mean_wait_ms = if figures.ok > 0 { figures.wait_ms / figures.ok as f64 } else { 0.0 };
            let mean_wait = Duration::try_from_secs_f64(mean_wait_ms / 1e3).unwrap_or_default();
            let (tries, lost) = (figures.tries, figures.lost);
            Event::TryReport {
                endpoint: endpoint(server),
                zone,
                tries,
                lost,
                mean_wait,
                interval,
                load: figures.load,
            }
        }
    }
}

/// Adds one metric of a server to its figures.
fn read_metric(endpoint: &mut Figures, metric: &proto::EndpointLoadMetricStats) {
    let count = metric.num_requests_finished_with_metric;
    let value = metric.total_metric_value;
    if count == 0 || !value.is_finite() || value < 0.0 {
        return;
    }
    if metric.metric_name == "wait_ms" {
        endpoint.ok += count;
        endpoint.wait_ms += value;
    } else {
        read_load(&mut endpoint.load, &metric.metric_name, value / count as f64);
    }
}

/// Reads a figure that a server reports about itself; unknown names are ignored.
pub fn read_load(load: &mut LoadReport, name: &str, value: f64) {
    match name {
        "cpu" => load.cpu = Some(value),
        "in_hand" => load.in_flight = Some(value),
        "queue" => load.queued = Some(value),
        "service_ms" => load.service_time = Duration::try_from_secs_f64(value / 1e3).ok(),
        _ => {}
    }
}
