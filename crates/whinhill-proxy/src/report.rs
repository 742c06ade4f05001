//! What a proxy met, by server, slice and method, as load reports (LRS v3) tell it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use whinhill::interface::{MethodId, SliceId};
use whinhill_xds::mapping::{address, Service};
use whinhill_xds::proto::{self, span};

use crate::table::Source;

/// The mean wait of ok answers, in milliseconds.
pub const WAIT: &str = "wait_ms";
/// Servers whose own figures are kept at a time.
const SERVERS_MOST: usize = 4096;

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Ok,
    Lost,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Tries {
    tries: u64,
    ok: u64,
    wait: Duration,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Came {
    dropped: u64,
    /// By server; bounded by the owners that a slice has had since the last report.
    tries: BTreeMap<Arc<str>, Tries>,
    waited_out: u64,
}

/// Sums since the last report, by the assigner that is in charge.
#[derive(Debug)]
pub struct Met {
    sums: Vec<BTreeMap<(SliceId, MethodId), Came>>,
    since: Vec<Duration>,
    /// What servers told of themselves last (ORCA).
    loads: HashMap<Arc<str>, BTreeMap<String, f64>>,
}

impl Met {
    pub fn new(sources: usize) -> Self {
        Met {
            sums: vec![BTreeMap::new(); sources],
            since: vec![Duration::ZERO; sources],
            loads: HashMap::new(),
        }
    }

    fn came(&mut self, source: Source, slice: SliceId, method: MethodId) -> &mut Came {
        self.sums[source].entry((slice, method)).or_default()
    }

    /// An RPC that its level shut out.
    pub fn dropped(&mut self, source: Source, slice: SliceId, method: MethodId) {
        self.came(source, slice, method).dropped += 1;
    }

    /// One that found no server within the hold.
    pub fn waited_out(&mut self, source: Source, slice: SliceId, method: MethodId) {
        self.came(source, slice, method).waited_out += 1;
    }

    pub fn tried(
        &mut self,
        source: Source,
        (slice, method): (SliceId, MethodId),
        server: &Arc<str>,
        ended: Ended,
        wait: Duration,
    ) {
        let tries = self.came(source, slice, method).tries.entry(server.clone()).or_default();
        tries.tries += 1;
        if ended == Ended::Ok {
            tries.ok += 1;
            tries.wait += wait;
        }
    }

    pub fn load(&mut self, server: &Arc<str>, report: &proto::OrcaLoadReport) {
        if self.loads.len() >= SERVERS_MOST && !self.loads.contains_key(server) {
            return;
        }
        let named = report.named_metrics.iter().take(8).map(|(name, value)| (name.clone(), *value));
        let mut load: BTreeMap<String, f64> = named.collect();
        if report.cpu_utilization > 0.0 {
            load.insert("cpu".to_string(), report.cpu_utilization);
        }
        self.loads.insert(server.clone(), load);
    }

    /// Takes out what an assigner is to be told; what it never hears of is gone with its stream, and told twice never.
    pub fn take(&mut self, source: Source, now: Duration, service: &Service) -> proto::LoadStatsRequest {
        let stretch = now.saturating_sub(std::mem::replace(&mut self.since[source], now));
        let sums = std::mem::take(&mut self.sums[source]);
        let one = |((slice, method), came): ((SliceId, MethodId), Came)| {
            let stats = came.tries.iter().map(|(server, tries)| self.endpoint(server, tries)).collect();
            let sum = |of: fn(&Tries) -> u64| came.tries.values().map(of).sum();
            let issued: u64 = sum(|t| t.tries);
            let ok: u64 = sum(|t| t.ok);
            let dropped = |category: &str, count: u64| {
                (count > 0)
                    .then(|| proto::DroppedRequests { category: category.to_string(), dropped_count: count })
            };
            proto::ClusterStats {
                cluster_name: service.cluster_name(slice, method),
                upstream_locality_stats: vec![proto::UpstreamLocalityStats {
                    locality: None,
                    total_successful_requests: ok,
                    total_requests_in_progress: 0,
                    total_error_requests: issued - ok,
                    upstream_endpoint_stats: stats,
                    total_issued_requests: issued,
                }],
                total_dropped_requests: came.dropped + came.waited_out,
                load_report_interval: Some(span(stretch)),
                dropped_requests: dropped("level", came.dropped)
                    .into_iter()
                    .chain(dropped("hold", came.waited_out))
                    .collect(),
            }
        };
        let cluster_stats = sums.into_iter().map(one).collect();
        proto::LoadStatsRequest { node: None, cluster_stats }
    }

    fn endpoint(&self, server: &Arc<str>, tries: &Tries) -> proto::UpstreamEndpointStats {
        let wait = (tries.ok > 0).then(|| proto::EndpointLoadMetricStats {
            metric_name: WAIT.to_string(),
            num_requests_finished_with_metric: tries.ok,
            total_metric_value: tries.wait.as_secs_f64() * 1e3,
        });
        let told = self.loads.get(server).into_iter().flatten();
        let told = told.map(|(name, value)| proto::EndpointLoadMetricStats {
            metric_name: name.clone(),
            num_requests_finished_with_metric: 1,
            total_metric_value: *value,
        });
        proto::UpstreamEndpointStats {
            address: Some(address(server)),
            total_successful_requests: tries.ok,
            total_requests_in_progress: 0,
            total_error_requests: tries.tries - tries.ok,
            load_metric_stats: wait.into_iter().chain(told).collect(),
            total_issued_requests: tries.tries,
        }
    }
}
