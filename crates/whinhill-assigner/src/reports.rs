//! Load reports as they come over the wire, as the intake takes them, and its lines as the module takes them. No I/O.

use std::time::Duration;

use whinhill::interface::{Ep, Event, LoadReport, ProxyId, ZoneId};
use whinhill_reports::{Figures, Given, Key, Line, Told};
use whinhill_xds::mapping::{server_name, Service};
use whinhill_xds::proto;

use crate::names::Names;

/// Reads one proxy's report. Clusters that can't be made out and servers that no list has named are counted: a peer
/// can't fill our books with names.
pub fn read_report(
    proxy: ProxyId,
    zone: ZoneId,
    report: &proto::LoadStatsRequest,
    service: &Service,
    names: &Names,
) -> Told {
    let mut told = Told { proxy, zone, stretch: None, strange: 0, lines: Vec::new() };
    for cluster in &report.cluster_stats {
        let Some((slice, method)) = service.of_cluster_name(&cluster.cluster_name) else {
            told.strange += 1;
            continue;
        };
        let stretch = cluster.load_report_interval.as_ref().and_then(proto::read_span);
        told.stretch = told.stretch.max(stretch);
        let mut came = Figures { tries: cluster.total_dropped_requests, ..Figures::default() };
        for locality in &cluster.upstream_locality_stats {
            came.tries += locality.total_issued_requests;
            came.lost += locality.total_error_requests.min(locality.total_issued_requests);
        }
        // A cluster may be told of for the work that is out alone: that nothing came is no news of its demand.
        if came.tries > 0 {
            told.lines.push(Line { key: Key::Came { slice, method }, figures: came });
        }
        let servers = cluster.upstream_locality_stats.iter().flat_map(|l| &l.upstream_endpoint_stats);
        for server in servers.filter(|server| server.total_issued_requests > 0) {
            let name = server.address.as_ref().and_then(server_name);
            let Some(server_index) = name.and_then(|name| names.known(&name)) else {
                told.strange += 1;
                continue;
            };
            let tries = server.total_issued_requests;
            let mut met =
                Figures { tries, lost: server.total_error_requests.min(tries), ..Figures::default() };
            server.load_metric_stats.iter().for_each(|metric| read_metric(&mut met, metric));
            told.lines.push(Line { key: Key::Met { server: server_index, zone }, figures: met });
        }
    }
    told
}

/// A line as the module is told it.
pub fn event(given: &Given, ep: impl Fn(usize) -> Ep) -> Event {
    let (figures, span) = (&given.figures, given.span);
    match given.key {
        Key::Came { slice, method } => {
            let lost = figures.lost.min(figures.tries);
            Event::Demand { slice, method, rpcs: figures.tries, lost, span }
        }
        Key::Met { server, zone } => {
            let wait = if figures.oks > 0 { figures.wait_ms / figures.oks as f64 } else { 0.0 };
            let wait = Duration::try_from_secs_f64(wait / 1e3).unwrap_or_default();
            let (tries, lost) = (figures.tries, figures.lost);
            Event::Met { ep: ep(server), zone, tries, lost, wait, span, load: figures.load }
        }
    }
}

fn read_metric(met: &mut Figures, metric: &proto::EndpointLoadMetricStats) {
    let count = metric.num_requests_finished_with_metric;
    let value = metric.total_metric_value;
    if count == 0 || !value.is_finite() || value < 0.0 {
        return;
    }
    if metric.metric_name == "wait_ms" {
        met.oks += count;
        met.wait_ms += value;
    } else {
        read_load(&mut met.load, &metric.metric_name, value / count as f64);
    }
}

/// A figure that a server tells of itself; names that we do not know are passed over.
pub fn read_load(load: &mut LoadReport, name: &str, value: f64) {
    match name {
        "cpu" => load.cpu = Some(value),
        "in_hand" => load.in_hand = Some(value),
        "queue" => load.waiting = Some(value),
        "service_ms" => load.service = Duration::try_from_secs_f64(value / 1e3).ok(),
        _ => {}
    }
}
