//! The streams to one assigner: ADS receives tables, LRS sends load reports. Each has its own thread and is reopened
//! after a failure, with growing, randomised delays.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use prost::Message;
use tracing::{info, warn};
use whinhill_transport::{
    stream_limits, CallError, Client, Drivers, Limits, MessageWriter, Reached, ReconnectDelay,
};
use whinhill_xds::mapping::{read_assignment, Assignment};
use whinhill_xds::proto::{self, from_proto_duration};
use whinhill_xds::{ClientStream, Kind, Request, Response, Update, Variant, LRS_PATH};

use crate::proxy::InjectedFaults;
use crate::shared::{lock, Shared};
use crate::table::{Applied, Source};

/// How often a waiting thread checks whether the proxy is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for writing one message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// The interval between load reports until the assigner sets another.
const DEFAULT_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The shortest interval between load reports that an assigner may set.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// The longest interval between load reports that an assigner may set.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// What the streams to one assigner need.
pub struct AssignerStreams {
    pub shared: Arc<Shared>,
    pub source: Source,
    /// The assigner's name.
    pub assigner: String,
    pub addr: SocketAddr,
    /// How the proxy identifies itself.
    pub node: proto::Node,
    pub variant: Variant,
    pub limits: Limits,
    pub drivers: Drivers,
    pub injected_faults: InjectedFaults,
    /// Number of following replies with endpoints to reject whatever they contain, for tests.
    pub replies_to_reject: Arc<AtomicU64>,
}

/// Why a stream failed.
#[derive(Debug, thiserror::Error)]
enum StreamError {
    /// Connecting, sending or receiving failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// A message can't be decoded.
    #[error("malformed message: {0}")]
    Decode(#[from] prost::DecodeError),
    /// A reply violates the protocol.
    #[error(transparent)]
    Update(#[from] whinhill_xds::UpdateError),
    /// The assigner ended the stream.
    #[error("the assigner ended the stream")]
    Closed,
}

impl AssignerStreams {
    /// Receives and applies tables until the proxy stops.
    pub fn run_table_stream(self) {
        let mut client = ClientStream::new(self.variant, self.node.clone());
        client.send_holdings_hash();
        client.subscribe(Kind::Cluster, true, BTreeSet::new());
        let service = self.shared.service.clone();
        let listeners: BTreeSet<String> = [false, true].map(|writes| service.listener_name(writes)).into();
        client.subscribe(Kind::Listener, false, listeners.clone());
        client.subscribe(Kind::Route, false, listeners);
        let mut delay = ReconnectDelay::default();
        while !self.shared.stopping() {
            let (started, mut reached) = (Instant::now(), Reached::Nobody);
            let error = match self.follow_tables(&mut client, &mut reached) {
                Ok(()) => return,
                Err(error) => error,
            };
            self.shared.change_table(|table| table.stream_lost(self.source));
            self.shared.counts.reconnects.fetch_add(1, Ordering::Relaxed);
            let lasted = started.elapsed();
            if ReconnectDelay::was_long(lasted) {
                info!(proxy = %self.node.id, assigner = %self.assigner, %error, "table stream lost");
            }
            if !self.shared.sleep(delay.after_failure(reached, lasted, self.shared.random())) {
                return;
            }
        }
    }

    /// Runs one table stream until it fails or the proxy stops; `reached` is set to how far it came.
    fn follow_tables(&self, client: &mut ClientStream, reached: &mut Reached) -> Result<(), StreamError> {
        let connection = Client::connect(self.addr, stream_limits(&self.limits), &self.drivers)?;
        let result = self.follow_tables_on(&connection, client);
        *reached = connection.reached();
        result
    }

    fn follow_tables_on(&self, connection: &Client, client: &mut ClientStream) -> Result<(), StreamError> {
        let (mut writer, pending) = connection.call(self.variant.path(), &[], self.limits.handshake)?;
        for request in client.open() {
            self.send(&mut writer, &request)?;
        }
        let mut reader = pending.head(self.limits.handshake)?.reader;
        loop {
            if self.shared.stopping() {
                writer.finish()?;
                return Ok(());
            }
            let message = match reader.recv(STOP_CHECK_INTERVAL) {
                Err(CallError::Deadline(_)) => continue,
                other => other?.ok_or(StreamError::Closed)?,
            };
            let response = Response::decode(self.variant, &message)?;
            let update = client.decode_reply(&response)?;
            for request in self.handle_update(client, &update) {
                self.send(&mut writer, &request)?;
            }
        }
    }

    /// Sends a request, and notes the time if it concerns the write lease.
    fn send(&self, writer: &mut MessageWriter, request: &Request) -> Result<(), StreamError> {
        let url = match request {
            Request::StateOfTheWorld(request) => &request.type_url,
            Request::Incremental(request) => &request.type_url,
        };
        // Noted before sending: the lease must not count from a time later than the request was sent.
        if url == Kind::Route.type_url() {
            self.shared.change_table(|table| table.lease_requested(self.source, self.shared.now()));
        }
        writer.send(&request.encode(), WRITE_TIMEOUT)?;
        Ok(())
    }

    /// Applies a reply completely or not at all, and returns the requests to send for it.
    fn handle_update(&self, client: &mut ClientStream, update: &Update) -> Vec<Request> {
        match self.apply(update) {
            Ok(()) => {
                self.shared.counts.applied.fetch_add(1, Ordering::Relaxed);
                let mut requests = vec![client.accept(update)];
                if update.kind == Kind::Cluster {
                    let names = client.versions(Kind::Cluster).keys().cloned().collect();
                    requests.extend(client.subscribe(Kind::Endpoints, false, names));
                }
                requests
            }
            Err(reason) => {
                self.shared.counts.rejected.fetch_add(1, Ordering::Relaxed);
                warn!(proxy = %self.node.id, assigner = %self.assigner, nonce = %update.nonce, %reason, "tables rejected");
                vec![client.reject(update, &reason)]
            }
        }
    }

    /// Applies a reply completely, or returns the reason for its rejection.
    fn apply(&self, update: &Update) -> Result<(), String> {
        if let Some(fault) = &update.error {
            return Err(fault.clone());
        }
        let (shared, source) = (&self.shared, self.source);
        let service = &shared.service;
        match update.kind {
            Kind::Endpoints => {
                let with_body = update.resources.iter().filter_map(|r| Some((r, r.body.as_ref()?)));
                let decoded = with_body.map(|(r, body)| read_assignment(service, &r.name, &r.version, body));
                let assignments: Vec<Assignment> =
                    decoded.collect::<Result<_, _>>().map_err(|error| error.to_string())?;
                let decrement = |left: u64| left.checked_sub(1);
                if !assignments.is_empty()
                    && self
                        .replies_to_reject
                        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
                        .is_ok()
                {
                    return Err("rejected by order of the day's script".to_string());
                }
                let closed = shared.change_table(|table| {
                    let mut closed = Vec::new();
                    for assignment in &assignments {
                        table.check(source, assignment).map_err(|conflict| conflict.to_string())?;
                    }
                    for assignment in &assignments {
                        if self.injected_faults.ignores_closed_tables
                            && (assignment.share == 0.0 || assignment.lines.is_empty())
                        {
                            continue;
                        }
                        if table.apply(source, assignment) == Applied::Closed {
                            closed.push((assignment.slice, assignment.method));
                        }
                    }
                    for name in &update.removed {
                        if let Some((slice, method)) = service.parse_cluster_name(name) {
                            table.withdraw(source, slice, method);
                        }
                    }
                    Ok::<_, String>(closed)
                })?;
                // Stopped after the change, so that reads admitted by a later table are not affected.
                let stopped: usize =
                    closed.into_iter().map(|slice_method| shared.reads_in_flight.stop(slice_method)).sum();
                shared.counts.stopped.fetch_add(stopped as u64, Ordering::Relaxed);
                Ok(())
            }
            Kind::Cluster => {
                for resource in &update.resources {
                    if service.parse_cluster_name(&resource.name).is_none() {
                        let slices = service.slices;
                        return Err(format!(
                            "{}: names no slice and method of {slices} slices",
                            resource.name
                        ));
                    }
                }
                shared.change_table(|table| {
                    for (slice, method) in
                        update.removed.iter().filter_map(|name| service.parse_cluster_name(name))
                    {
                        table.withdraw(source, slice, method);
                    }
                });
                Ok(())
            }
            Kind::Route => {
                let writes = service.listener_name(true);
                for resource in update.resources.iter().filter(|r| r.name == writes) {
                    let ttl = resource.ttl.unwrap_or(service.write_lease).min(service.write_lease);
                    shared.change_table(|table| table.lease_renewed(source, ttl));
                }
                Ok(())
            }
            Kind::Listener => Ok(()),
        }
    }

    /// Sends load reports until the proxy stops.
    pub fn run_report_stream(self) {
        let mut delay = ReconnectDelay::default();
        while !self.shared.stopping() {
            let (started, mut reached) = (Instant::now(), Reached::Nobody);
            if self.send_reports(&mut reached).is_ok() {
                return;
            }
            let lasted = started.elapsed();
            if !self.shared.sleep(delay.after_failure(reached, lasted, self.shared.random())) {
                return;
            }
        }
    }

    /// Runs one load report stream until it fails or the proxy stops; `reached` is set to how far it came.
    fn send_reports(&self, reached: &mut Reached) -> Result<(), StreamError> {
        let connection = Client::connect(self.addr, stream_limits(&self.limits), &self.drivers)?;
        let result = self.send_reports_on(&connection);
        *reached = connection.reached();
        result
    }

    fn send_reports_on(&self, connection: &Client) -> Result<(), StreamError> {
        let (mut writer, pending) = connection.call(LRS_PATH, &[], self.limits.handshake)?;
        let first = proto::LoadStatsRequest { node: Some(self.node.clone()), cluster_stats: Vec::new() };
        writer.send(&first.encode_to_vec(), WRITE_TIMEOUT)?;
        let mut reader = pending.head(self.limits.handshake)?.reader;
        let mut interval = DEFAULT_REPORT_INTERVAL;
        let mut next = Instant::now() + interval;
        loop {
            if self.shared.stopping() {
                writer.finish()?;
                return Ok(());
            }
            let left = next.saturating_duration_since(Instant::now());
            match reader.recv(left.min(STOP_CHECK_INTERVAL)) {
                Err(CallError::Deadline(_)) => {}
                Ok(Some(message)) => {
                    let response = proto::LoadStatsResponse::decode(message)?;
                    let requested = response.load_reporting_interval.as_ref().and_then(from_proto_duration);
                    interval = requested.unwrap_or(interval).clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL);
                    next = next.min(Instant::now() + interval);
                }
                other => return Err(other?.map_or(StreamError::Closed, |_| StreamError::Closed)),
            }
            if Instant::now() >= next {
                next += interval;
                let now = self.shared.now();
                let (pending, report) = {
                    let mut stats = lock(&self.shared.load_stats);
                    let pending = stats.take_report(self.source, now);
                    let report = stats.to_proto(&pending, &self.shared.service);
                    (pending, report)
                };
                if let Err(error) = writer.send(&report.encode_to_vec(), WRITE_TIMEOUT) {
                    // An incomplete message can't be decoded: none of the report was delivered.
                    lock(&self.shared.load_stats).restore_report(pending);
                    return Err(error.into());
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use whinhill_xds::mapping::Service;
    use whinhill_xds::Received;

    use super::*;
    use crate::pick::{Draws, Pick};
    use crate::table::tests::{s, service};
    use crate::table::{Refusal, Route};

    fn streams() -> AssignerStreams {
        AssignerStreams {
            shared: Arc::new(Shared::new(service(), 1, 1, Pick::ByWeight)),
            source: 0,
            assigner: "a".into(),
            addr: ([127, 0, 0, 1], 9).into(),
            node: proto::Node::default(),
            variant: Variant::Incremental,
            limits: Limits::default(),
            drivers: Drivers::start("streams", 1).unwrap(),
            injected_faults: InjectedFaults::default(),
            replies_to_reject: Arc::default(),
        }
    }

    /// A reply with every table of a service with this number of slices, all with one owner.
    fn tables(slices: usize, kind: Kind) -> Update {
        let service = Service { slices, ..(*service()).clone() };
        let table = whinhill_tables::SliceTable {
            version: whinhill_tables::Version { epoch: 5, number: 1 },
            owner: Some("127.0.0.1:7000".into()),
            shares: vec![1.0, 1.0],
            tries: 0,
        };
        let resource = |(slice, method)| {
            let entry = match kind {
                Kind::Cluster => service.cluster(slice, method),
                _ => service.endpoints(slice, method, &table),
            };
            let (name, version) = (service.cluster_name(slice, method), entry.version.to_string());
            Received { name, version, ttl: None, body: Some(entry.body) }
        };
        let all = (0..slices).flat_map(|slice| [(slice, 0), (slice, 1)]);
        let resources = all.map(resource).collect();
        let (nonce, set_version) = ("1".to_string(), "1".to_string());
        Update { kind, nonce, set_version, resources, removed: Vec::new(), error: None }
    }

    fn route(streams: &AssignerStreams) -> Route {
        let draws = Draws { level: 0.0, first: 0.0, second: 0.0 };
        streams.shared.read_table(|table| table.route(s(1.0), 1, 0, draws, |_| 0))
    }

    #[test]
    fn tables_for_another_slice_count_are_rejected_by_name_and_old_ones_stay() {
        let streams = streams();
        for kind in [Kind::Cluster, Kind::Endpoints] {
            let reason = streams.apply(&tables(3, kind)).unwrap_err();
            assert!(reason.contains("t/0.3/look"), "{reason}");
        }
        assert_eq!(route(&streams), Route::Wait(Refusal::NoLine));
        streams.apply(&tables(2, Kind::Cluster)).unwrap();
        streams.apply(&tables(2, Kind::Endpoints)).unwrap();
        assert!(matches!(route(&streams), Route::Send { .. }));
        assert!(streams.apply(&tables(3, Kind::Endpoints)).is_err());
        assert!(matches!(route(&streams), Route::Send { .. }));
    }

    #[test]
    fn reply_with_one_malformed_table_changes_nothing() {
        let streams = streams();
        let mut update = tables(2, Kind::Endpoints);
        update.resources[3].body = Some(bytes::Bytes::from_static(b"\xff"));
        let reason = streams.apply(&update).unwrap_err();
        assert!(reason.contains("t/1.2/book"), "{reason}");
        assert_eq!(route(&streams), Route::Wait(Refusal::NoLine));
    }
}
