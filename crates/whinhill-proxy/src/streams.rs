//! The streams to one assigner: tables in (ADS), figures out (LRS). Each has a thread; each is opened again
//! after a failure, later each time, with chance in it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use prost::Message;
use tracing::{info, warn};
use whinhill_transport::{CallError, Client, Drivers, Limits, MessageWriter};
use whinhill_xds::mapping::{read_assignment, Assignment};
use whinhill_xds::proto::{self, read_span};
use whinhill_xds::{ClientStream, Kind, Request, Response, Update, Variant, LRS_PATH};

use crate::proxy::Sabotage;
use crate::shared::{lock, Shared};
use crate::table::{Applied, Source};

/// The pause after a first failure, and the longest.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));
/// How often a waiting thread looks whether it must stop.
const LOOK: Duration = Duration::from_millis(500);
const WRITE_WITHIN: Duration = Duration::from_secs(3);
/// The time between reports until the assigner names another.
const REPORT_EVERY: Duration = Duration::from_secs(1);

pub struct Streams {
    pub shared: Arc<Shared>,
    pub source: Source,
    pub assigner: String,
    pub addr: SocketAddr,
    pub node: proto::Node,
    pub variant: Variant,
    pub limits: Limits,
    pub drivers: Drivers,
    pub sabotage: Sabotage,
    /// Replies to reject, whatever they hold: for days that rehearse it.
    pub reject: Arc<AtomicU64>,
}

/// Why a stream ended.
#[derive(Debug, thiserror::Error)]
enum Ended {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("a message that is none of the protocol's: {0}")]
    Decode(#[from] prost::DecodeError),
    #[error(transparent)]
    Update(#[from] whinhill_xds::UpdateError),
    #[error("the assigner ended the stream")]
    Closed,
}

/// The pauses between a stream and the next: twice as long after each failure, spread so that not all come at once.
struct BackOff<'a> {
    shared: &'a Shared,
    next: Duration,
}

impl<'a> BackOff<'a> {
    fn new(shared: &'a Shared) -> Self {
        BackOff { shared, next: BACK_OFF.0 }
    }

    /// A stream that began then has failed. Whether it had stood for long: then pauses are short again.
    fn stood(&mut self, began: Instant) -> bool {
        let stood = began.elapsed() > BACK_OFF.1;
        if stood {
            self.next = BACK_OFF.0;
        }
        stood
    }

    /// Pauses. False if the proxy stops.
    fn pause(&mut self) -> bool {
        let wait = self.next.mul_f64(0.5 + self.shared.draw());
        self.next = (self.next * 2).min(BACK_OFF.1);
        self.shared.pause(wait)
    }
}

impl Streams {
    /// Follows tables until the proxy stops.
    pub fn follow(self) {
        let mut client = ClientStream::new(self.variant, self.node.clone());
        client.tell_holdings();
        client.subscribe(Kind::Cluster, true, BTreeSet::new());
        let service = self.shared.service.clone();
        let listeners: BTreeSet<String> = [false, true].map(|writes| service.listener_name(writes)).into();
        client.subscribe(Kind::Listener, false, listeners.clone());
        client.subscribe(Kind::Route, false, listeners);
        let mut back_off = BackOff::new(&self.shared);
        while !self.shared.stopping() {
            let began = Instant::now();
            let error = match self.stream(&mut client) {
                Ok(()) => return,
                Err(error) => error,
            };
            self.shared.change(|table| table.stream_lost(self.source));
            self.shared.counts.reconnects.fetch_add(1, Ordering::Relaxed);
            if back_off.stood(began) {
                info!(proxy = %self.node.id, assigner = %self.assigner, %error, "table stream lost");
            }
            if !back_off.pause() {
                return;
            }
        }
    }

    fn stream(&self, client: &mut ClientStream) -> Result<(), Ended> {
        let connection = Client::connect(self.addr, self.limits.clone(), &self.drivers)?;
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
            let message = match reader.recv(LOOK) {
                Err(CallError::Deadline(_)) => continue,
                other => other?.ok_or(Ended::Closed)?,
            };
            let response = Response::decode(self.variant, &message)?;
            let update = client.hear(&response)?;
            for request in self.take(client, &update) {
                self.send(&mut writer, &request)?;
            }
        }
    }

    fn send(&self, writer: &mut MessageWriter, request: &Request) -> Result<(), Ended> {
        let url = match request {
            Request::StateOfTheWorld(request) => &request.type_url,
            Request::Incremental(request) => &request.type_url,
        };
        // Before it is sent: the lease must not be reckoned from a time later than the send.
        if url == Kind::Route.type_url() {
            self.shared.change(|table| table.lease_asked(self.source, self.shared.now()));
        }
        writer.send(&request.encode(), WRITE_WITHIN)?;
        Ok(())
    }

    /// Applies a reply whole or not at all, and returns what is to be sent for it.
    fn take(&self, client: &mut ClientStream, update: &Update) -> Vec<Request> {
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

    fn apply(&self, update: &Update) -> Result<(), String> {
        if let Some(fault) = &update.fault {
            return Err(fault.clone());
        }
        let (shared, source) = (&self.shared, self.source);
        let service = &shared.service;
        match update.kind {
            Kind::Endpoints => {
                let with_body = update.resources.iter().filter_map(|r| Some((r, r.body.as_ref()?)));
                let read = with_body.map(|(r, body)| read_assignment(service, &r.name, &r.version, body));
                let assignments: Vec<Assignment> =
                    read.collect::<Result<_, _>>().map_err(|error| error.to_string())?;
                let to_reject = |left: u64| left.checked_sub(1);
                if !assignments.is_empty()
                    && self.reject.fetch_update(Ordering::Relaxed, Ordering::Relaxed, to_reject).is_ok()
                {
                    return Err("rejected by order of the day's script".to_string());
                }
                let shut = shared.change(|table| {
                    let mut shut = Vec::new();
                    for assignment in &assignments {
                        table.check(source, assignment).map_err(|conflict| conflict.to_string())?;
                    }
                    for assignment in &assignments {
                        if self.sabotage.ignores_stops
                            && (assignment.share == 0.0 || assignment.lines.is_empty())
                        {
                            continue;
                        }
                        if table.apply(source, assignment) == Applied::Shut {
                            shut.push((assignment.slice, assignment.method));
                        }
                    }
                    for name in &update.removed {
                        if let Some((slice, method)) = service.of_cluster_name(name) {
                            table.withdrawn(source, slice, method);
                        }
                    }
                    Ok::<_, String>(shut)
                })?;
                // After the change: what is let in by a later table is not concerned.
                let stopped: usize = shut.into_iter().map(|about| shared.in_hand.stop(about)).sum();
                shared.counts.stopped.fetch_add(stopped as u64, Ordering::Relaxed);
                Ok(())
            }
            Kind::Cluster => {
                for resource in &update.resources {
                    if service.of_cluster_name(&resource.name).is_none() {
                        let slices = service.slices;
                        return Err(format!(
                            "{}: names no slice and method of {slices} slices",
                            resource.name
                        ));
                    }
                }
                shared.change(|table| {
                    for (slice, method) in
                        update.removed.iter().filter_map(|name| service.of_cluster_name(name))
                    {
                        table.withdrawn(source, slice, method);
                    }
                });
                Ok(())
            }
            Kind::Route => {
                let writes = service.listener_name(true);
                for resource in update.resources.iter().filter(|r| r.name == writes) {
                    let ttl = resource.ttl.unwrap_or(service.write_lease).min(service.write_lease);
                    shared.change(|table| table.lease_renewed(source, ttl));
                }
                Ok(())
            }
            Kind::Listener => Ok(()),
        }
    }

    /// Tells what was met until the proxy stops.
    pub fn report(self) {
        let mut back_off = BackOff::new(&self.shared);
        while !self.shared.stopping() {
            let began = Instant::now();
            if self.report_stream().is_ok() {
                return;
            }
            back_off.stood(began);
            if !back_off.pause() {
                return;
            }
        }
    }

    fn report_stream(&self) -> Result<(), Ended> {
        let connection = Client::connect(self.addr, self.limits.clone(), &self.drivers)?;
        let (mut writer, pending) = connection.call(LRS_PATH, &[], self.limits.handshake)?;
        let first = proto::LoadStatsRequest { node: Some(self.node.clone()), cluster_stats: Vec::new() };
        writer.send(&first.encode_to_vec(), WRITE_WITHIN)?;
        let mut reader = pending.head(self.limits.handshake)?.reader;
        let mut every = REPORT_EVERY;
        let mut next = Instant::now() + every;
        loop {
            if self.shared.stopping() {
                writer.finish()?;
                return Ok(());
            }
            let left = next.saturating_duration_since(Instant::now());
            match reader.recv(left.min(LOOK)) {
                Err(CallError::Deadline(_)) => {}
                Ok(Some(message)) => {
                    let told = proto::LoadStatsResponse::decode(message)?;
                    let asked = told.load_reporting_interval.as_ref().and_then(read_span);
                    every = asked.unwrap_or(every).clamp(Duration::from_millis(50), Duration::from_secs(60));
                    next = next.min(Instant::now() + every);
                }
                other => return Err(other?.map_or(Ended::Closed, |_| Ended::Closed)),
            }
            if Instant::now() >= next {
                next += every;
                let now = self.shared.now();
                let (taken, report) = {
                    let mut met = lock(&self.shared.met);
                    let taken = met.take(self.source, now);
                    let report = met.report(&taken, &self.shared.service);
                    (taken, report)
                };
                if let Err(error) = writer.send(&report.encode_to_vec(), WRITE_WITHIN) {
                    // A part of a message tells nothing: none of it has been told.
                    lock(&self.shared.met).put_back(taken);
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

    fn streams() -> Streams {
        Streams {
            shared: Arc::new(Shared::new(service(), 1, 1, Pick::ByWeight)),
            source: 0,
            assigner: "a".into(),
            addr: ([127, 0, 0, 1], 9).into(),
            node: proto::Node::default(),
            variant: Variant::Incremental,
            limits: Limits::default(),
            drivers: Drivers::start("streams", 1).unwrap(),
            sabotage: Sabotage::default(),
            reject: Arc::default(),
        }
    }

    /// Every table of a service of so many slices, with one owner.
    fn tables(slices: usize, kind: Kind) -> Update {
        let service = Service { slices, ..(*service()).clone() };
        let table = whinhill_tables::SliceTable {
            version: whinhill_tables::Version { epoch: 5, number: 1 },
            owner: Some("127.0.0.1:7000".into()),
            shares: vec![1.0, 1.0],
            tries: 0,
        };
        let one = |(slice, method)| {
            let entry = match kind {
                Kind::Cluster => service.cluster(slice, method),
                _ => service.endpoints(slice, method, &table),
            };
            let (name, version) = (service.cluster_name(slice, method), entry.version.to_string());
            Received { name, version, ttl: None, body: Some(entry.body) }
        };
        let all = (0..slices).flat_map(|slice| [(slice, 0), (slice, 1)]);
        let resources = all.map(one).collect();
        let (nonce, set_version) = ("1".to_string(), "1".to_string());
        Update { kind, nonce, set_version, resources, removed: Vec::new(), fault: None }
    }

    fn look(streams: &Streams) -> Route {
        let draws = Draws { level: 0.0, first: 0.0, second: 0.0 };
        streams.shared.read(|table| table.route(s(1.0), 1, 0, draws, |_| 0))
    }

    #[test]
    fn tables_by_another_slice_count_are_rejected_by_name_and_the_former_stand() {
        let streams = streams();
        for kind in [Kind::Cluster, Kind::Endpoints] {
            let reason = streams.apply(&tables(3, kind)).unwrap_err();
            assert!(reason.contains("t/0.3/look"), "{reason}");
        }
        assert_eq!(look(&streams), Route::Wait(Refusal::NoLine));
        streams.apply(&tables(2, Kind::Cluster)).unwrap();
        streams.apply(&tables(2, Kind::Endpoints)).unwrap();
        assert!(matches!(look(&streams), Route::Send { .. }));
        assert!(streams.apply(&tables(3, Kind::Endpoints)).is_err());
        assert!(matches!(look(&streams), Route::Send { .. }));
    }

    #[test]
    fn a_reply_with_one_bad_table_changes_nothing() {
        let streams = streams();
        let mut half = tables(2, Kind::Endpoints);
        half.resources[3].body = Some(bytes::Bytes::from_static(b"\xff"));
        let reason = streams.apply(&half).unwrap_err();
        assert!(reason.contains("t/1.2/book"), "{reason}");
        assert_eq!(look(&streams), Route::Wait(Refusal::NoLine));
    }
}
