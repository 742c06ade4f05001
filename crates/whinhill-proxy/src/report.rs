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
/// Tries that the server sent back unrun, with a time to come again.
const PUSHED_BACK: &str = "pushed_back";
/// Servers whose own figures are kept at a time.
const SERVERS_MOST: usize = 4096;

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Ok,
    /// The server sent it back.
    PushedBack,
    /// Aborted, unanswered, or cut short.
    Lost,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Tries {
    tries: u64,
    ok: u64,
    pushed_back: u64,
    wait: Duration,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Came {
    dropped: u64,
    /// By server; bounded by the owners that a slice has had since the last report.
    tries: BTreeMap<Arc<str>, Tries>,
    waited_out: u64,
}

/// Tries that are out, by server.
type OutAt = BTreeMap<Arc<str>, u64>;

/// What one report tells.
#[derive(Debug)]
pub struct Taken {
    source: Source,
    since: Duration,
    until: Duration,
    sums: BTreeMap<(SliceId, MethodId), Came>,
}

/// Sums since the last report, by the assigner that is in charge.
#[derive(Debug)]
pub struct Met {
    sums: Vec<BTreeMap<(SliceId, MethodId), Came>>,
    since: Vec<Duration>,
    /// Tries that are out, by whom their end will be told to. Bounded by the RPCs in hand.
    out: Vec<BTreeMap<(SliceId, MethodId), OutAt>>,
    /// What servers told of themselves last (ORCA).
    loads: HashMap<Arc<str>, BTreeMap<String, f64>>,
}

impl Met {
    pub fn new(sources: usize) -> Self {
        Met {
            sums: vec![BTreeMap::new(); sources],
            since: vec![Duration::ZERO; sources],
            out: vec![BTreeMap::new(); sources],
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

    /// One that found no server within the hold, or for which this machine had no connection to offer.
    pub fn waited_out(&mut self, source: Source, slice: SliceId, method: MethodId) {
        self.came(source, slice, method).waited_out += 1;
    }

    /// A try goes out; [`Met::tried`] follows, with the same source.
    pub fn begins(&mut self, source: Source, about: (SliceId, MethodId), server: &Arc<str>) {
        let of_slice = self.out[source].entry(about).or_default();
        *of_slice.entry(server.clone()).or_default() += 1;
    }

    /// It ended without having been sent: it counts for nothing.
    pub fn unsent(&mut self, source: Source, about: (SliceId, MethodId), server: &Arc<str>) {
        let Some(of_slice) = self.out[source].get_mut(&about) else { return };
        match of_slice.get_mut(server) {
            Some(out) if *out > 1 => *out -= 1,
            _ => drop(of_slice.remove(server)),
        }
        if of_slice.is_empty() {
            self.out[source].remove(&about);
        }
    }

    pub fn tried(
        &mut self,
        source: Source,
        (slice, method): (SliceId, MethodId),
        server: &Arc<str>,
        ended: Ended,
        wait: Duration,
    ) {
        self.unsent(source, (slice, method), server);
        let tries = self.came(source, slice, method).tries.entry(server.clone()).or_default();
        tries.tries += 1;
        match ended {
            Ended::Ok => {
                tries.ok += 1;
                tries.wait += wait;
            }
            Ended::PushedBack => tries.pushed_back += 1,
            Ended::Lost => {}
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

    /// Takes out what an assigner is to be told. It is told once at most: what a stream swallows is lost with it. Only
    /// a report that was not handed to its stream whole can't have been read, and comes back by [`Met::put_back`].
    pub fn take(&mut self, source: Source, now: Duration) -> Taken {
        let since = std::mem::replace(&mut self.since[source], now);
        let sums = std::mem::take(&mut self.sums[source]);
        Taken { source, since, until: now, sums }
    }

    /// Adds what could not be told to what came since.
    pub fn put_back(&mut self, taken: Taken) {
        self.since[taken.source] = self.since[taken.source].min(taken.since);
        for (about, before) in taken.sums {
            let came = self.sums[taken.source].entry(about).or_default();
            came.dropped += before.dropped;
            came.waited_out += before.waited_out;
            for (server, before) in before.tries {
                let tries = came.tries.entry(server).or_default();
                tries.tries += before.tries;
                tries.ok += before.ok;
                tries.pushed_back += before.pushed_back;
                tries.wait += before.wait;
            }
        }
    }

    /// What was taken out, as the protocol tells it.
    pub fn report(&self, taken: &Taken, service: &Service) -> proto::LoadStatsRequest {
        let nothing = Came::default();
        let out = &self.out[taken.source];
        let quiet = out.keys().filter(|about| !taken.sums.contains_key(about)).map(|about| (about, &nothing));
        let stretch = taken.until.saturating_sub(taken.since);
        let cluster_stats = taken.sums.iter().chain(quiet).map(|((slice, method), came)| {
            let out = out.get(&(*slice, *method));
            self.cluster(service.cluster_name(*slice, *method), came, out, stretch)
        });
        proto::LoadStatsRequest { node: None, cluster_stats: cluster_stats.collect() }
    }

    fn cluster(
        &self,
        cluster_name: String,
        came: &Came,
        out: Option<&OutAt>,
        stretch: Duration,
    ) -> proto::ClusterStats {
        let none = Tries::default();
        let out_at = |server: &Arc<str>| out.and_then(|out| out.get(server)).copied().unwrap_or(0);
        let only_out = out.into_iter().flat_map(BTreeMap::keys).filter(|s| !came.tries.contains_key(*s));
        let all = came.tries.iter().chain(only_out.map(|server| (server, &none)));
        let upstream_endpoint_stats = all.map(|(server, tries)| self.endpoint(server, tries, out_at(server)));
        let sum = |of: fn(&Tries) -> u64| came.tries.values().map(of).sum();
        let (issued, ok): (u64, u64) = (sum(|t| t.tries), sum(|t| t.ok));
        let dropped = [("level", came.dropped), ("hold", came.waited_out)];
        let dropped = dropped.into_iter().filter(|(_, count)| *count > 0);
        proto::ClusterStats {
            cluster_name,
            upstream_locality_stats: vec![proto::UpstreamLocalityStats {
                locality: None,
                total_successful_requests: ok,
                total_requests_in_progress: out.into_iter().flat_map(BTreeMap::values).sum(),
                total_error_requests: issued - ok,
                upstream_endpoint_stats: upstream_endpoint_stats.collect(),
                total_issued_requests: issued,
            }],
            total_dropped_requests: came.dropped + came.waited_out,
            load_report_interval: Some(span(stretch)),
            dropped_requests: dropped
                .map(|(category, count)| proto::DroppedRequests {
                    category: category.to_string(),
                    dropped_count: count,
                })
                .collect(),
        }
    }

    fn endpoint(&self, server: &Arc<str>, tries: &Tries, out: u64) -> proto::UpstreamEndpointStats {
        let wait = (tries.ok > 0).then(|| proto::EndpointLoadMetricStats {
            metric_name: WAIT.to_string(),
            num_requests_finished_with_metric: tries.ok,
            total_metric_value: tries.wait.as_secs_f64() * 1e3,
        });
        let pushed_back = (tries.pushed_back > 0).then(|| proto::EndpointLoadMetricStats {
            metric_name: PUSHED_BACK.to_string(),
            num_requests_finished_with_metric: tries.pushed_back,
            total_metric_value: tries.pushed_back as f64,
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
            total_requests_in_progress: out,
            total_error_requests: tries.tries - tries.ok,
            load_metric_stats: wait.into_iter().chain(pushed_back).chain(told).collect(),
            total_issued_requests: tries.tries,
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

    fn met() -> (Met, Arc<str>) {
        let (mut met, server): (Met, Arc<str>) = (Met::new(2), "127.0.0.1:7000".into());
        for ended in [Ended::Ok, Ended::Lost, Ended::PushedBack] {
            met.begins(0, (1, 0), &server);
            met.tried(0, (1, 0), &server, ended, s(0.01));
        }
        met.dropped(0, 1, 0);
        (met, server)
    }

    #[test]
    fn what_could_not_be_told_is_told_later_and_what_was_told_never_again() {
        let (mut met, server) = met();
        let unsent = met.take(0, s(1.0));
        assert_eq!(issued(&met.report(&unsent, &service())), 3);
        met.begins(0, (1, 0), &server);
        met.tried(0, (1, 0), &server, Ended::Ok, s(0.01));
        met.put_back(unsent);
        let taken = met.take(0, s(2.0));
        let report = met.report(&taken, &service());
        let cluster = &report.cluster_stats[0];
        assert_eq!((issued(&report), cluster.total_dropped_requests), (4, 1));
        // It covers both stretches.
        assert_eq!(cluster.load_report_interval.as_ref().and_then(proto::read_span), Some(s(2.0)));
        let told = met.take(0, s(3.0));
        assert!(met.report(&told, &service()).cluster_stats.is_empty());
    }

    #[test]
    fn work_out_and_push_backs_are_told_by_server() {
        let (mut met, server) = met();
        (0..2).for_each(|_| met.begins(0, (0, 1), &server));
        let taken = met.take(0, s(1.0));
        let report = met.report(&taken, &service());
        assert_eq!(report.cluster_stats.len(), 2);
        let of = |name: &str| report.cluster_stats.iter().find(|c| c.cluster_name == name).unwrap();
        let met_at = &of("t/1.2/look").upstream_locality_stats[0];
        let pushed_back = &met_at.upstream_endpoint_stats[0].load_metric_stats[1];
        assert_eq!((&*pushed_back.metric_name, pushed_back.total_metric_value), ("pushed_back", 1.0));
        assert_eq!((met_at.total_successful_requests, met_at.total_error_requests), (1, 2));
        let out_at = &of("t/0.2/book").upstream_locality_stats[0];
        assert_eq!((out_at.total_requests_in_progress, out_at.total_issued_requests), (2, 0));
        // What was not sent after all, and what ended, is out no more.
        met.unsent(0, (0, 1), &server);
        met.tried(0, (0, 1), &server, Ended::Ok, s(0.01));
        assert!(met.out.iter().all(BTreeMap::is_empty));
    }
}
