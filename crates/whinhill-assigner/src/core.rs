//! The assigner's logic without threads: it takes inputs and returns the effects to carry out. No I/O, no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;

use whinhill::interface::{
    EndpointId, Event, Health, ListKind, ListedStatus, LoadReport, Order, ProbeOutcome, ProxyId, ServerEntry,
    SettingsError, SliceId,
};
use whinhill_reports::{IntakeStats, Ledger, ReportAggregator, ReportingState};
use whinhill_store::CustodyEvent;
use whinhill_tables::rollback::{Rollback, ServerStatus, ServerView};
use whinhill_tables::{History, PendingGrant, ServerName, TablePublisher, TableSet};
use whinhill_xds::mapping::Service;
use whinhill_xds::proto;

use crate::config::AssignerConfig;
use crate::history_recorder::{HistoryRecorder, NumberedUpdate, RecordedBatch};
use crate::name_index::NameIndex;
use crate::operator_api::{LoadReportStatus, OperatorRequest, OperatorResponse, ProxyLoadStatus};
use crate::reports::{read_report, to_event};
use crate::roster::{RosterEntry, RosterState};

/// An event that the assigner reacts to.
#[derive(Clone, Debug)]
pub enum Input {
    /// A whole list of servers, its kind, and the wall-clock time at which it was read.
    Roster { kind: ListKind, entries: Vec<RosterEntry>, unix_ms: u64 },
    /// The last list is still current: its source was read, or responds, and has no change.
    RosterUnchanged,
    /// A proxy opened a table stream.
    ProxyJoined { proxy: String, zone: String, stream: u64 },
    /// A proxy's table stream ended.
    ProxyLeft { proxy: String, stream: u64 },
    /// A proxy acknowledged a sequence number.
    Acked { proxy: String, stream: u64, ack_seq: u16 },
    /// A proxy's load report.
    Report { proxy: String, zone: String, report: proto::LoadStatsRequest },
    /// A load report stream opened: from now on the proxy is expected to report.
    ReportStreamOpened { proxy: String, zone: String },
    /// A load report stream ended.
    ReportStreamClosed { proxy: String },
    /// A probe of a server ended.
    ProbeCompleted { server: ServerName, result: ProbeOutcome, load: LoadReport },
    /// Slices were acquired or released.
    Custody { events: Vec<CustodyEvent> },
    /// The store holds a grant.
    GrantStored { grant: PendingGrant },
    /// The history file holds every update up to this number.
    HistoryPersisted { seq: u64 },
    /// An operator's request; the answer carries the same id.
    OperatorRequest { id: u64, request: OperatorRequest },
}

/// What the caller must do, in this order: write tables into the cache, announce acquired and released slices at
/// once, queue changes and the ack sequence number in the channel, send grants to the store.
#[derive(Debug, Default)]
pub struct Effects {
    /// Slices whose table changed.
    pub changed: BTreeSet<SliceId>,
    /// Slices of which this assigner now has custody.
    pub acquired: BTreeSet<SliceId>,
    /// Slices of which this assigner no longer has custody.
    pub released: BTreeSet<SliceId>,
    /// Whether the changes contain safety orders: a stop of writes or the removal of a line.
    pub safety: bool,
    /// The sequence number that the proxies must acknowledge, if any.
    pub ack_seq: Option<u16>,
    /// Lines that the changes add to the message for each proxy.
    pub lines_per_proxy: u32,
    /// Grants for the store.
    pub grants: Vec<PendingGrant>,
    /// Servers to probe.
    pub probes: Vec<ServerName>,
    /// Proxies whose table stream ended or was replaced.
    pub left_proxies: Vec<ProxyId>,
    /// New report intervals of proxies.
    pub report_intervals: Vec<(ProxyId, Duration)>,
    /// Whether the module asked for the list of servers. Nothing needs to be done: the thread that reads the list
    /// follows its source by itself, and retries after a failure.
    pub fetch_roster: bool,
    /// What the history file must persist.
    pub history_update: Option<NumberedUpdate>,
    /// Answers to operators: request id, number of the history update that must be persisted first, and answer.
    pub answers: Vec<(u64, u64, OperatorResponse)>,
    /// Lines for the log.
    pub log: Vec<String>,
}

/// An ack sequence number that is followed until the last proxy has acknowledged it.
struct FollowedAck {
    ack_seq: u16,
    ordered_at: Duration,
    /// Proxies that have yet to acknowledge it.
    awaited: BTreeSet<ProxyId>,
}

/// The assigner's state: the decision module, the published tables, load reports and history.
pub struct Core {
    module: whinhill::Assigner,
    names: NameIndex,
    publisher: TablePublisher,
    reports: ReportAggregator,
    service: Arc<Service>,
    /// The stream of each proxy that has joined.
    joined_streams: BTreeMap<ProxyId, u64>,
    /// When the module wants to be called next.
    next_wake: Duration,
    /// When each ack sequence number was ordered that may still be acknowledged.
    ack_seq_ordered_at: BTreeMap<u16, Duration>,
    /// The last acknowledgement that the current batch requested: its orders are published as the batch ends.
    published_ack_seq: Option<u16>,
    followed_ack: Option<FollowedAck>,
    /// Microseconds from an order to its acknowledgement by one proxy.
    ack_latency: Histogram<u64>,
    /// Microseconds from an order to its acknowledgement by the last proxy.
    full_ack_latency: Histogram<u64>,
    /// Sabotage: treat each ack sequence number as acknowledged at once.
    skip_ack_wait: bool,
    /// Whether a first list of servers has arrived.
    list_received: bool,
    /// Events from before the first list; the module gets them together with that list.
    events_before_first_list: Vec<Event>,
    grants_ordered: u64,
    /// The report interval that each proxy was last told.
    report_intervals: BTreeMap<ProxyId, Duration>,
    /// Too little load is reported to decide anything on it.
    load_unknown: bool,
    history_recorder: HistoryRecorder,
    /// How long an owner is withheld for the history file at most.
    max_withhold: Duration,
    /// The wall-clock time of this batch.
    unix_ms: u64,
    /// Requests of this batch that are still to be answered, with their ids.
    operator_requests: Vec<(u64, OperatorRequest)>,
}

/// Server health and handovers as the module knows them, for rollbacks.
struct ModuleServerView<'a> {
    module: &'a whinhill::Assigner,
    names: &'a NameIndex,
}

impl ServerView for ModuleServerView<'_> {
    fn server_status(&self, server: &str) -> ServerStatus {
        match self.names.known_index(server).map(|index| self.module.health(index)) {
            None => ServerStatus::Unknown,
            Some(Health::Ready) => ServerStatus::Ready,
            Some(Health::Cold) => ServerStatus::Cold,
            Some(Health::Sick) => ServerStatus::Sick,
            Some(Health::Draining) => ServerStatus::Draining,
            Some(Health::Gone) => ServerStatus::Gone,
        }
    }

    fn has_handover(&self, slice: SliceId) -> bool {
        self.module.has_handover(slice)
    }
}

impl Core {
    /// A core with an empty history; `seed` seeds all its random choices.
    pub fn new(config: &AssignerConfig, seed: u64) -> Result<Self, SettingsError> {
        let service = Arc::new(config.service.to_service());
        let writes = service.methods.iter().map(|method| method.writes).collect();
        Ok(Core {
            module: whinhill::Assigner::new(&config.to_module_settings(), seed)?,
            names: NameIndex::new(&config.zones),
            publisher: TablePublisher::new(service.slices, writes, config.service.tries),
            reports: ReportAggregator::new(
                whinhill_reports::Limits {
                    period: Duration::from_millis(config.report_period_ms),
                    lines_per_s: config.report_lines_per_s,
                    ..whinhill_reports::Limits::default()
                },
                seed,
            ),
            report_intervals: BTreeMap::new(),
            load_unknown: false,
            service,
            joined_streams: BTreeMap::new(),
            next_wake: Duration::ZERO,
            ack_seq_ordered_at: BTreeMap::new(),
            published_ack_seq: None,
            followed_ack: None,
            ack_latency: latency_histogram(),
            full_ack_latency: latency_histogram(),
            skip_ack_wait: config.sabotage.skips_the_wait,
            list_received: false,
            events_before_first_list: Vec::new(),
            grants_ordered: 0,
            history_recorder: HistoryRecorder::new(
                History::new(config.history.to_limits(), 0, TableSet::new()),
                Vec::new(),
                max_withhold(config),
                Duration::ZERO,
                0,
            ),
            max_withhold: max_withhold(config),
            unix_ms: 0,
            operator_requests: Vec::new(),
        })
    }

    /// Continues with the history and the rollbacks that were read from the file.
    pub fn restore(&mut self, history: History, rollbacks: Vec<Rollback>, now: Duration, unix_ms: u64) {
        self.history_recorder = HistoryRecorder::new(history, rollbacks, self.max_withhold, now, unix_ms);
    }

    /// Sets the wall-clock time, which only stamps history entries for readers.
    pub fn set_wall_clock(&mut self, unix_ms: u64) {
        self.unix_ms = unix_ms;
    }

    /// The published sets and the rollbacks.
    pub fn history_recorder(&self) -> &HistoryRecorder {
        &self.history_recorder
    }

    /// The service whose tables this assigner publishes.
    pub fn service(&self) -> &Arc<Service> {
        &self.service
    }

    /// The published tables.
    pub fn publisher(&self) -> &TablePublisher {
        &self.publisher
    }

    /// The table stream of each proxy that has joined.
    pub fn joined_streams(&self) -> &BTreeMap<ProxyId, u64> {
        &self.joined_streams
    }

    /// Grants ordered since the start.
    pub fn grants_ordered(&self) -> u64 {
        self.grants_ordered
    }

    /// Report lines since the start that name an unknown cluster or server.
    pub fn unresolved_report_lines(&self) -> u64 {
        self.reports.ledger().strange
    }

    /// When to call [`Core::handle`] next even if nothing happens.
    pub fn next_wake(&self) -> Duration {
        self.history_recorder.next_release().map_or(self.next_wake, |release| release.min(self.next_wake))
    }

    /// The id of a proxy by its name.
    pub fn proxy_id(&mut self, name: &str) -> ProxyId {
        self.names.proxy_id(name)
    }

    /// The name of a proxy by its id.
    pub fn proxy_name(&self, id: ProxyId) -> &str {
        self.names.proxy_name(id)
    }

    /// Processes all inputs up to `now` and returns what the caller must do.
    pub fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Effects {
        let mut effects = Effects::default();
        let mut granted = BTreeSet::new();
        let mut events = std::mem::take(&mut self.events_before_first_list);
        for input in inputs {
            self.apply_input(now, input, &mut events, &mut effects, &mut granted);
        }
        let overdue = self.history_recorder.release_overdue(now);
        let overdue_count = overdue.len();
        effects.lines_per_proxy += overdue_count as u32;
        effects.changed.extend(overdue);
        self.decide(now, events, &mut effects);
        self.record_history(now, granted, &mut effects);
        if overdue_count > 0 {
            effects
                .log
                .push(format!("{overdue_count} owners are published before the history file has them"));
        }
        effects
    }

    /// Records the changes in the history, withholds owners that must be persisted first, and answers operators.
    fn record_history(&mut self, now: Duration, granted: BTreeSet<SliceId>, effects: &mut Effects) {
        let mut changed_slices: BTreeSet<SliceId> = granted.clone();
        for slices in [&effects.changed, &effects.acquired, &effects.released] {
            changed_slices.extend(slices);
        }
        // Recorded before any update is taken for persisting: the rollback that requested a grant is known only
        // until its requests are next evaluated.
        let published = self.publisher.published();
        let (unix_ms, cause) = (self.unix_ms, effects.log.first().cloned());
        self.history_recorder.record(RecordedBatch {
            now,
            unix_ms,
            published,
            changed_slices,
            granted,
            cause,
        });
        let server_view = ModuleServerView { module: &self.module, names: &self.names };
        for (id, request) in std::mem::take(&mut self.operator_requests) {
            // Only a request that changes something must be persisted before it is answered: with a full disk the
            // history can still be read.
            let changes_state = matches!(
                request,
                OperatorRequest::Rollback { dry_run: false, .. } | OperatorRequest::PinGood { .. }
            );
            let answer = match request {
                OperatorRequest::Reports => self.reports_answer(now),
                request => crate::operator_handler::answer(
                    &mut self.history_recorder,
                    published,
                    &server_view,
                    now,
                    request,
                ),
            };
            let required_seq = if changes_state { self.history_recorder.last_seq() } else { 0 };
            effects.answers.push((id, required_seq, answer));
        }
        let history_recorder = &self.history_recorder;
        effects.changed.retain(|slice| !history_recorder.is_withheld(*slice));
        effects.history_update = self.history_recorder.take_update();
    }

    /// Gives the module its events and carries out the orders that it returns.
    fn decide(&mut self, now: Duration, mut events: Vec<Event>, effects: &mut Effects) {
        let names = &self.names;
        let endpoint = |index: usize| {
            let stable_id =
                names.server_name(index).map_or(0, |name| xxhash_rust::xxh3::xxh3_64(name.as_bytes()));
            EndpointId { index, stable_id }
        };
        if self.list_received {
            let report_lines = self.reports.output_due_lines(now);
            events.extend(report_lines.iter().map(|line| to_event(line, endpoint)));
            let load_unknown = self.reports.is_coverage_too_low();
            if load_unknown != std::mem::replace(&mut self.load_unknown, load_unknown) {
                effects.log.push(load_state_message(load_unknown, self.reports.stats()));
            }
        }
        if now >= self.next_wake {
            events.push(Event::Timer);
        }
        if !self.list_received {
            events.retain(|event| *event != Event::Timer);
            self.events_before_first_list = events;
            return;
        }
        let server_view = ModuleServerView { module: &self.module, names };
        let (requested_moves, ended) =
            self.history_recorder.evaluate_rollbacks(now, self.publisher.published(), &server_view);
        effects.log.extend(ended);
        for (slice, server) in requested_moves {
            events.push(Event::MoveRequested { slice, destination: self.names.endpoint(&server) });
        }
        if events.is_empty() {
            return;
        }
        let published_before = self.published_ack_seq.take();
        let orders = self.module.handle(now, &events);
        // The orders of the batch before have been published: the tables of a proxy that joins from now on have them.
        published_before.into_iter().for_each(|ack_seq| self.module.note_orders_stored(ack_seq));
        self.execute(now, &orders, effects);
    }

    /// Applies one input: updates the state and collects events for the module and effects.
    fn apply_input(
        &mut self,
        now: Duration,
        input: Input,
        events: &mut Vec<Event>,
        effects: &mut Effects,
        granted: &mut BTreeSet<SliceId>,
    ) {
        match input {
            Input::Roster { kind, entries, unix_ms } => {
                self.list_received = true;
                let entry = |entry: RosterEntry| self.server_entry(now, entry, unix_ms);
                let entries = entries.into_iter().map(entry).collect();
                if matches!(kind, ListKind::Full | ListKind::Changes) {
                    self.names.mark_list_current(now);
                }
                events.push(Event::List { kind, entries });
            }
            Input::RosterUnchanged => self.names.mark_list_current(now),
            Input::ProxyJoined { proxy, zone, stream } => {
                let (id, zone) = (self.names.proxy_id(&proxy), self.names.zone_id(&zone));
                if self.joined_streams.insert(id, stream).is_some() {
                    events.push(Event::ProxyLeft { proxy: id });
                    effects.left_proxies.push(id);
                }
                events.push(Event::ProxyJoined { proxy: id, zone });
            }
            // The end of a stream that a newer one has replaced does not mean that the proxy left.
            Input::ProxyLeft { proxy, stream } => {
                let id = self.names.proxy_id(&proxy);
                if self.joined_streams.get(&id) == Some(&stream) {
                    self.joined_streams.remove(&id);
                    self.record_ack_progress(id, None);
                    effects.left_proxies.push(id);
                    events.push(Event::ProxyLeft { proxy: id });
                }
            }
            Input::Acked { proxy, stream, ack_seq } => {
                let id = self.names.proxy_id(&proxy);
                let is_current_stream = self.joined_streams.get(&id) == Some(&stream);
                if let (Some(ordered_at), true) = (self.ack_seq_ordered_at.get(&ack_seq), is_current_stream) {
                    let transit = now.saturating_sub(*ordered_at);
                    events.push(Event::Acked { proxy: id, ack_seq, transit });
                    self.ack_latency.saturating_record(transit.as_micros() as u64);
                    self.record_ack_progress(id, Some((ack_seq, now)));
                }
            }
            Input::Report { proxy, zone, report } => {
                let (id, zone) = (self.names.proxy_id(&proxy), self.names.zone_id(&zone));
                let report = read_report(id, zone, &report, &self.service, &self.names);
                self.reports.add_report(now, report);
                let interval = self.reports.reporting_interval(id);
                // The interval outlives the proxy's streams: the hub sends it again on each new stream.
                let before = self.report_intervals.insert(id, interval).unwrap_or(self.reports.period());
                if before != interval {
                    effects.report_intervals.push((id, interval));
                }
            }
            Input::ReportStreamOpened { proxy, zone } => {
                let (id, zone) = (self.names.proxy_id(&proxy), self.names.zone_id(&zone));
                self.reports.stream_opened(now, id, zone);
            }
            Input::ReportStreamClosed { proxy } => {
                let id = self.names.proxy_id(&proxy);
                self.reports.stream_closed(now, id);
            }
            Input::ProbeCompleted { server, result, load } => {
                events.push(Event::Probed { endpoint: self.names.endpoint(&server), result, load });
            }
            Input::Custody { events: custody_events } => {
                for custody_event in custody_events {
                    self.apply_custody_event(custody_event, events, effects);
                }
            }
            Input::GrantStored { grant } => {
                let changed = self.publisher.grant_stored(&grant);
                effects
                    .log
                    .extend(changed.violations.iter().map(|violation| format!("not published: {violation}")));
                granted.extend(changed.slices);
            }
            Input::HistoryPersisted { seq } => {
                let publishable = self.history_recorder.on_persisted(seq);
                effects.lines_per_proxy += publishable.len() as u32;
                effects.changed.extend(publishable);
            }
            Input::OperatorRequest { id, request } => self.operator_requests.push((id, request)),
        }
    }

    /// What became of the reported tries, how many are queued, and the figures for operators.
    pub fn load_reports(&self) -> (&Ledger, u64, &IntakeStats) {
        (self.reports.ledger(), self.reports.held_tries(), self.reports.stats())
    }

    /// The answer to a request for the state of load reporting.
    fn reports_answer(&self, now: Duration) -> OperatorResponse {
        let (ledger, stats) = (*self.reports.ledger(), *self.reports.stats());
        let proxy_line =
            |(id, state, late, rate): (ProxyId, ReportingState, Duration, Option<f64>)| ProxyLoadStatus {
                proxy: self.names.proxy_name(id).to_string(),
                hearing: state.name().to_string(),
                late_ms: late.as_millis() as u64,
                tries_per_s: rate.unwrap_or(0.0),
            };
        OperatorResponse::Reports(Box::new(LoadReportStatus {
            reports: ledger.reports,
            offered: ledger.offered,
            given: ledger.given,
            waiting: self.reports.held_tries(),
            late: ledger.late,
            repeated: ledger.repeated,
            doubted: ledger.doubted,
            foreign: ledger.foreign,
            strange: ledger.strange,
            mended: ledger.mended,
            thinned: ledger.thinned,
            conserved: ledger.conserved(self.reports.held_tries()),
            lines_ready: stats.ready_lines,
            lines_given: stats.output_lines,
            lines_unsure: stats.held_back_lines,
            error_most: stats.max_relative_error,
            heard: stats.coverage,
            blind: self.load_unknown,
            lag_ms_middle: stats.median_lag.as_millis() as u64,
            lag_ms_most: stats.max_lag.as_millis() as u64,
            proxies: self.reports.proxies(now).into_iter().map(proxy_line).collect(),
        }))
    }

    /// Notes that a proxy acknowledged a sequence number or left, to measure how long the last acknowledgement takes.
    fn record_ack_progress(&mut self, proxy: ProxyId, acked: Option<(u16, Duration)>) {
        let Some(followed) = &mut self.followed_ack else { return };
        // Sequence numbers wrap; one that is not older than the followed one acknowledges it too.
        if acked.is_some_and(|(other, _)| other.wrapping_sub(followed.ack_seq) > u16::MAX / 2) {
            return;
        }
        followed.awaited.remove(&proxy);
        if followed.awaited.is_empty() {
            if let Some((_, now)) = acked {
                let latency = now.saturating_sub(followed.ordered_at);
                self.full_ack_latency.saturating_record(latency.as_micros() as u64);
            }
            self.followed_ack = None;
        }
    }

    /// Microseconds from an order to its acknowledgement by one proxy, and by the last of all proxies.
    pub fn ack_latencies(&self) -> (&Histogram<u64>, &Histogram<u64>) {
        (&self.ack_latency, &self.full_ack_latency)
    }

    /// The module's entry for a server of the list.
    fn server_entry(&mut self, now: Duration, entry: RosterEntry, unix_ms: u64) -> ServerEntry {
        let server: ServerName = entry.addr.to_string().into();
        self.publisher.add_known_server(server.clone());
        ServerEntry {
            endpoint: self.names.endpoint(&server),
            zone: self.names.zone_id(&entry.zone),
            status: match entry.state {
                RosterState::Ready => ListedStatus::Ready,
                RosterState::Draining => ListedStatus::Draining,
            },
            size: entry.size,
            started: self.names.start_time(&server, entry.started_unix_ms, unix_ms, now),
        }
    }

    /// Applies the acquisition or release of a slice.
    fn apply_custody_event(
        &mut self,
        custody_event: CustodyEvent,
        events: &mut Vec<Event>,
        effects: &mut Effects,
    ) {
        match custody_event {
            CustodyEvent::Acquired { slice, epoch, owner } => {
                let owner: Option<ServerName> = owner.map(Into::into);
                self.publisher.acquire_slice(slice, epoch, owner.clone());
                events.push(Event::SliceAcquired { slice });
                if let Some(owner) = owner {
                    events.push(Event::StoredOwner { slice, endpoint: self.names.endpoint(&owner) });
                }
                effects.released.remove(&slice);
                effects.acquired.insert(slice);
            }
            CustodyEvent::Released { slice } => {
                self.publisher.release_slice(slice);
                self.reports.drop_slice(slice);
                events.push(Event::SliceReleased { slice });
                effects.acquired.remove(&slice);
                effects.changed.remove(&slice);
                effects.released.insert(slice);
            }
        }
    }

    /// Removes from the tables, at once, owners that are draining or gone and have been replaced. For the module the
    /// grant itself removes the line, but here a grant waits for the store and the history file: with a stalled disk
    /// reads would go on past the grace period.
    fn revoke_leaving_owners(&mut self, orders: &[Order], effects: &mut Effects) {
        let (names, module, published) = (&mut self.names, &self.module, self.publisher.published());
        let revokes = orders.iter().filter_map(|order| {
            let Order::Grant { slice, .. } = order else { return None };
            let endpoint = names.endpoint(published.get(slice)?.owner.as_ref()?);
            let is_leaving = matches!(module.health(endpoint.index), Health::Draining | Health::Gone);
            is_leaving.then_some(Order::Revoke { slice: *slice, endpoint })
        });
        let revokes: Vec<Order> = revokes.collect();
        if revokes.is_empty() {
            return;
        }
        let outcome = self.publisher.apply(&revokes, |_| None);
        effects.log.extend(outcome.violations.iter().map(|violation| format!("not published: {violation}")));
        effects.lines_per_proxy += outcome.slices.len() as u32;
        effects.safety |= outcome.safety;
        effects.changed.extend(outcome.slices);
    }

    /// Applies the module's orders to the tables and collects the effects.
    fn execute(&mut self, now: Duration, orders: &[Order], effects: &mut Effects) {
        self.revoke_leaving_owners(orders, effects);
        let names = &self.names;
        let changed = self.publisher.apply(orders, |index| names.server_name(index));
        effects.log.extend(changed.violations.iter().map(|violation| format!("not published: {violation}")));
        effects.changed.extend(changed.slices);
        effects.safety |= changed.safety;
        self.grants_ordered += changed.grants.len() as u64;
        effects.grants.extend(changed.grants);
        for order in orders {
            match order {
                Order::RequestAck { ack_seq } => {
                    self.published_ack_seq = Some(*ack_seq);
                    self.ack_seq_ordered_at.insert(*ack_seq, now);
                    if self.followed_ack.is_none() {
                        let awaited = self.joined_streams.keys().copied().collect();
                        self.followed_ack = Some(FollowedAck { ack_seq: *ack_seq, ordered_at: now, awaited });
                    }
                    effects.ack_seq = Some(*ack_seq);
                    // No proxy acknowledges a sequence number that is this old.
                    let old = ack_seq.wrapping_sub(30_000);
                    self.ack_seq_ordered_at.remove(&old);
                }
                Order::WatchList | Order::FetchList => effects.fetch_roster = true,
                Order::Probe { endpoint } => effects.probes.extend(names.server_name(endpoint.index)),
                Order::Wake { after } => self.next_wake = now + *after,
                Order::Log { text } => effects.log.push(with_server_names(text, names)),
                Order::Grant { .. } | Order::Revoke { .. } | Order::Level { .. } => {}
            }
            // A grant's line is counted when it is sent, once the store holds the grant.
            let uses_line = order.uses_channel_line() && !matches!(order, Order::Grant { .. });
            effects.lines_per_proxy += u32::from(uses_line);
        }
        if let (Some(ack_seq), true) = (effects.ack_seq, self.skip_ack_wait) {
            let acks: Vec<Event> = self
                .joined_streams
                .keys()
                .map(|proxy| Event::Acked { proxy: *proxy, ack_seq, transit: Duration::ZERO })
                .collect();
            let more = self.module.handle(now, &acks);
            self.skip_ack_wait = false;
            self.execute(now, &more, effects);
            self.skip_ack_wait = true;
        }
    }
}

/// A histogram of microseconds up to one minute, with two significant digits.
fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 2).unwrap_or_else(|_| unreachable!("the bounds are constants"))
}

/// The log line for when reported load becomes too little to decide on, or enough again.
fn load_state_message(load_unknown: bool, stats: &IntakeStats) -> String {
    let [heard, quiet, silent, cut] = stats.proxies_by_state;
    let state =
        if load_unknown { "too little is heard: nothing is decided on it" } else { "enough is heard again" };
    format!(
        "load reports: {state}; {:.0}% of the expected load, {heard} proxies heard, {quiet} quiet, {silent} silent, {cut} cut",
        stats.coverage * 100.0
    )
}

/// Replaces the server index at the start of one of the module's log lines by the server's address.
fn with_server_names(text: &str, names: &NameIndex) -> String {
    let Some(rest) = text.strip_prefix("server ") else { return text.to_string() };
    let (number, rest) = rest.split_once(' ').unwrap_or((rest, ""));
    match number.parse().ok().and_then(|index| names.server_name(index)) {
        Some(name) => format!("server {name} {rest}"),
        None => text.to_string(),
    }
}

/// How long a new owner is withheld for the history file: a small part of the time that a proxy may lack an owner.
fn max_withhold(config: &AssignerConfig) -> Duration {
    const DIVISOR: u64 = 10;
    Duration::from_millis(config.rules.empty_ms / DIVISOR)
}

#[cfg(test)]
mod tests;
