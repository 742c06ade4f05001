//! `whinhill reports soak`: simulated proxies send load reports over real streams, through a script of failures. The
//! lines that the decision module would get are compared with the true load; a baseline intake, which outputs the
//! oldest sums first, gets the same reports.
//!
//! Loads are constant, with a phase for each proxy and slice, so that deviations are not due to random counts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use clap::Args;
use crossbeam_channel::{bounded, Receiver, Sender};
use hdrhistogram::Histogram;
use prost::Message;
use rand::seq::index::sample;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use whinhill::interface::{EndpointId, Event};
use whinhill_assigner::{process_cpu_and_memory, read_report, to_event, NameIndex};
use whinhill_reports::{Key, Limits as IntakeLimits, ReportAggregator, ReportingState};
use whinhill_transport::{
    Client, Code, Drivers, Limits, Listener, MessageWriter, PendingAnswer, ServerCall, Trailers, Workers,
};
use whinhill_xds::mapping::{server_address, Effect, Method, Service};
use whinhill_xds::proto::{self, to_proto_duration};
use whinhill_xds::LRS_PATH;

use super::baseline::BaselineIntake;
use crate::CommandError;

/// Arguments of `whinhill reports soak`.
#[derive(Args)]
pub struct SoakArgs {
    /// Number of proxies.
    #[arg(long, default_value_t = 500)]
    proxies: usize,
    /// Number of servers.
    #[arg(long, default_value_t = 143)]
    servers: usize,
    /// Number of slices.
    #[arg(long, default_value_t = 900)]
    slices: usize,
    /// Number of slices that each proxy reports.
    #[arg(long, default_value_t = 100)]
    tells: usize,
    /// Time between two reports of a proxy. The script takes 170 periods.
    #[arg(long, default_value_t = 500)]
    period_ms: u64,
    /// Maximum lines per second to the module.
    #[arg(long, default_value_t = 1200)]
    lines_per_s: u32,
    /// RPCs per second, in total.
    #[arg(long, default_value_t = 400_000.0)]
    rate: f64,
    /// Seed of the choice of slices and of the intake.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print only the JSON object.
    #[arg(long)]
    json: bool,
}

/// A phase of the script, in periods since the start: from the period after `after` to `last`.
#[derive(Clone, Copy)]
struct Phase {
    after: u64,
    last: u64,
}

impl Phase {
    fn contains(self, period: u64) -> bool {
        self.after < period && period <= self.last
    }
}

/// Last period before the failures begin; deviations are measured from 8 periods earlier.
const LAST_PERIOD_BEFORE_FAILURES: u64 = 25;
/// Proxy 9 sends no reports, then all of them at once.
const BACKLOG: Phase = Phase { after: 25, last: 85 };
/// Every third proxy is disconnected.
const DISCONNECTED: Phase = Phase { after: 105, last: 114 };
/// Proxy 7 reports a hundred times its tries.
const INFLATED: Phase = Phase { after: 125, last: 129 };
/// A tenth of the proxies sends no reports.
const SILENT: Phase = Phase { after: 140, last: 155 };
/// Last period of the script.
const END: u64 = 170;
/// Periods after a phase during which deviations are attributed to it.
const RECOVERY_PERIODS: u64 = 10;
/// Weight of a new line in the smoothed rates, as in the module's own estimates.
const SMOOTHING_FACTOR: f64 = 0.3;

/// Figures of one intake.
#[derive(Debug, Default, Serialize)]
struct Figures {
    lines_to_module_most_per_s: f64,
    /// Largest relative deviation of any server's share of the load from the truth: in all, and by phase.
    weight_swing_most: f64,
    swing_steady: f64,
    swing_backlog: f64,
    swing_cut: f64,
    swing_liar: f64,
    swing_silent: f64,
    /// Largest relative deviation of the total load from the truth while a tenth of the proxies was silent.
    silent_total_off: f64,
    /// Longest time after a phase, in milliseconds, until all shares stayed within 5% of the truth.
    settled_ms: f64,
}

/// Results of the soak, as they are printed.
#[derive(Debug, Serialize)]
struct SoakReport {
    proxies: usize,
    servers: usize,
    reports: u64,
    lines_offered: u64,
    lines_to_module_most_per_s: f64,
    conserved: bool,
    weight_swing_most: f64,
    settled_ms: f64,
    silent_read_as_idle: u64,
    memory_mb: f64,
    p99_intake_ms: f64,
    /// Processor time of the whole process, including the proxies, in cores; and the share of time that the intake
    /// thread was busy, without the baseline's adding of reports.
    cores: f64,
    deciding_share: f64,
    ledger: String,
    now: Figures,
    oldest_first: Figures,
}

/// An event of a proxy's stream; a report has the time at which it was received.
enum StreamEvent {
    Opened(usize),
    Closed(usize),
    Report(usize, Instant, Box<proto::LoadStatsRequest>),
}

/// The load as the decision module would estimate it from its lines alone.
#[derive(Default)]
struct ModuleView {
    rates: BTreeMap<Key, f64>,
    figures: Figures,
    /// Times at which lines were output, and their numbers.
    lines: Vec<(Duration, usize)>,
}

/// The simulated proxies and their load.
struct SimulatedFleet {
    service: Service,
    settings: FleetSettings,
    /// By proxy: the slices that it reports, with the RPCs per period of each.
    rates: Vec<Vec<(usize, f64)>>,
    /// Each server's true share of the load.
    true_shares: Vec<f64>,
}

/// Parameters of the simulated fleet.
#[derive(Clone, Copy)]
struct FleetSettings {
    proxies: usize,
    servers: usize,
    period: Duration,
    lines_per_s: u32,
    seed: u64,
    rate: f64,
}

fn server_name(server: usize) -> String {
    format!("127.1.{}.{}:7000", server / 250, server % 250 + 1)
}

impl SimulatedFleet {
    fn new(args: &SoakArgs) -> Self {
        let method = Method {
            name: "look".into(),
            path: "/soak/Look".into(),
            writes: false,
            effect: Effect::Idempotent,
            soft_deadline: Duration::from_millis(500),
            deadline: Duration::from_secs(1),
        };
        let service = Service {
            name: "soak".into(),
            slices: args.slices,
            methods: vec![method],
            write_lease: Duration::from_secs(2),
            max_owner_wait: Duration::from_millis(300),
            try_factor: 1.0,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
        let rpcs_per_period = args.rate * args.period_ms as f64 / 1e3;
        let (mut rates, mut true_shares) = (Vec::new(), vec![0.0; args.servers]);
        for proxy in 0..args.proxies {
            let mut slices: Vec<(usize, f64)> = sample(&mut rng, args.slices - 1, args.tells)
                .iter()
                .map(|slice| (slice + 1, rpcs_per_period * 0.72 / (args.proxies * args.tells) as f64))
                .collect();
            // Slice 0 gets 28% of the load, from five proxies only.
            if proxy < 5 {
                slices.push((0, rpcs_per_period * 0.28 / 5.0));
            }
            slices
                .iter()
                .for_each(|(slice, rate)| true_shares[slice % args.servers] += rate / rpcs_per_period);
            rates.push(slices);
        }
        let settings = FleetSettings {
            proxies: args.proxies,
            servers: args.servers,
            period: Duration::from_millis(args.period_ms),
            lines_per_s: args.lines_per_s,
            seed: args.seed,
            rate: args.rate,
        };
        SimulatedFleet { service, settings, rates, true_shares }
    }

    /// A report of a proxy for the `periods` that end with `period`, with its tries multiplied by `factor`.
    fn report(
        &self,
        proxy: usize,
        period: u64,
        periods: u64,
        factor: f64,
        interval: Duration,
    ) -> proto::LoadStatsRequest {
        let phase = |slice: usize| {
            let hash = (proxy as u64 * 1_000_003 + slice as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (hash >> 11) as f64 / (1u64 << 53) as f64
        };
        let clusters = self.rates[proxy].iter().filter_map(|(slice, rate)| {
            let total_until = |period: u64| (rate * factor * period as f64 + phase(*slice)).floor() as u64;
            let tries = total_until(period) - total_until(period.saturating_sub(periods));
            (tries > 0)
                .then(|| self.cluster(*slice, &server_name(slice % self.settings.servers), tries, interval))
        });
        proto::LoadStatsRequest { node: None, cluster_stats: clusters.collect() }
    }

    /// The statistics of one slice and server in a report.
    fn cluster(&self, slice: usize, server: &str, tries: u64, interval: Duration) -> proto::ClusterStats {
        let endpoint = proto::UpstreamEndpointStats {
            address: Some(server_address(server)),
            total_issued_requests: tries,
            total_successful_requests: tries,
            load_metric_stats: vec![proto::EndpointLoadMetricStats {
                metric_name: "wait_ms".into(),
                num_requests_finished_with_metric: tries,
                total_metric_value: tries as f64 * 12.0,
            }],
            ..Default::default()
        };
        proto::ClusterStats {
            cluster_name: self.service.cluster_name(slice, 0),
            upstream_locality_stats: vec![proto::UpstreamLocalityStats {
                upstream_endpoint_stats: vec![endpoint],
                total_issued_requests: tries,
                total_successful_requests: tries,
                ..Default::default()
            }],
            load_report_interval: Some(to_proto_duration(interval)),
            ..Default::default()
        }
    }

    fn is_silent(&self, proxy: usize, period: u64) -> bool {
        (proxy == 9 && BACKLOG.contains(period)) || (proxy % 10 == 4 && SILENT.contains(period))
    }

    fn is_cut_off(&self, proxy: usize, period: u64) -> bool {
        proxy.is_multiple_of(3) && DISCONNECTED.contains(period)
    }

    /// The reports that a proxy sends at the end of a period.
    fn script(&self, proxy: usize, period: u64) -> Vec<proto::LoadStatsRequest> {
        let interval = self.settings.period;
        if self.is_silent(proxy, period) || self.is_cut_off(proxy, period) {
            return Vec::new();
        }
        let ordinary = |period| self.report(proxy, period, 1, 1.0, interval);
        match (proxy, period) {
            // All reports of the backlog at once.
            (9, period) if period == BACKLOG.last + 1 => (BACKLOG.after + 1..=period).map(ordinary).collect(),
            (7, period) if INFLATED.contains(period) => vec![self.report(proxy, period, 1, 100.0, interval)],
            // Intervals of zero and of an hour.
            (11, 60..70) => vec![self.report(proxy, period, 1, 1.0, Duration::ZERO)],
            (12, 60..70) => vec![self.report(proxy, period, 1, 1.0, Duration::from_secs(3600))],
            // Ten thousand unknown servers.
            (13, 70) => {
                let unknown_server = |index: usize| {
                    self.cluster(1, &format!("127.2.{}.{}:1", index / 250, index % 250 + 1), 1, interval)
                };
                vec![proto::LoadStatsRequest {
                    node: None,
                    cluster_stats: (0..10_000).map(unknown_server).collect(),
                }]
            }
            // The first report after a disconnection covers all of it.
            (proxy, period) if self.is_cut_off(proxy, period - 1) => {
                let periods = period - DISCONNECTED.after;
                vec![self.report(proxy, period, periods, 1.0, interval * periods as u32)]
            }
            (proxy, period) if self.is_silent(proxy, period - 1) => {
                let periods = period - SILENT.after;
                vec![self.report(proxy, period, periods, 1.0, interval * periods as u32)]
            }
            _ => vec![ordinary(period)],
        }
    }
}

/// Starts a listener that passes reports on, as the assigner's streams do.
fn start_listener(
    drivers: &Drivers,
    workers: &Workers,
    events: Sender<StreamEvent>,
) -> std::io::Result<Listener> {
    let workers = workers.clone();
    // Longer than any pause of the script.
    let timeout = Duration::from_secs(600);
    let serve = move |call: ServerCall, events: Sender<StreamEvent>| {
        let Ok((mut reader, mut writer)) = call.open() else { return };
        let first = reader.recv(timeout).ok().flatten();
        let first = first.and_then(|first| proto::LoadStatsRequest::decode(first).ok());
        let Some(proxy) =
            first.and_then(|request| request.node).and_then(|node| node.id.parse::<usize>().ok())
        else {
            return;
        };
        let _ = events.send(StreamEvent::Opened(proxy));
        while let Ok(Some(message)) = reader.recv(timeout) {
            let received_at = Instant::now();
            let Ok(report) = proto::LoadStatsRequest::decode(message) else { break };
            if events.send(StreamEvent::Report(proxy, received_at, Box::new(report))).is_err() {
                break;
            }
        }
        let _ = events.send(StreamEvent::Closed(proxy));
        let _ = writer.close(Code::Ok, "", Trailers::new());
    };
    let limits = Limits { max_message: 16 << 20, ..Limits::default() };
    Listener::start("soak", ([127, 0, 0, 1], 0).into(), limits, drivers, move |call| {
        let events = events.clone();
        workers.run_with(call, move |call| serve(call, events), |call| call.refuse_stream());
    })
}

/// Runs some of the proxies; their reports are spread over the period.
fn run_proxies(
    fleet: &SimulatedFleet,
    proxies: &[usize],
    addr: SocketAddr,
    drivers: &Drivers,
    start: Instant,
) -> Result<(), CommandError> {
    let timeout = Duration::from_secs(10);
    let limits = Limits { max_message: 16 << 20, ..Limits::default() };
    let client = Client::connect(addr, limits, drivers).map_err(CommandError::runtime)?;
    // The pending answer is kept with its stream: dropping it cancels the call.
    let open = |proxy: usize| -> Result<(MessageWriter, PendingAnswer), CommandError> {
        let (mut writer, pending) = client.call(LRS_PATH, &[], timeout).map_err(CommandError::runtime)?;
        let node = proto::Node { id: proxy.to_string(), ..Default::default() };
        let first = proto::LoadStatsRequest { node: Some(node), cluster_stats: Vec::new() };
        writer.send(&first.encode_to_vec(), timeout).map_err(CommandError::runtime)?;
        Ok((writer, pending))
    };
    let mut writers: BTreeMap<usize, (MessageWriter, PendingAnswer)> = BTreeMap::new();
    for period in 1..=END {
        for (index, proxy) in proxies.iter().enumerate() {
            let phase = index as f64 / proxies.len() as f64;
            let due = start + fleet.settings.period.mul_f64(period as f64 - 1.0 + phase);
            while let Some(left) = due.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
                thread::park_timeout(left);
            }
            if fleet.is_cut_off(*proxy, period) {
                writers.remove(proxy);
                continue;
            }
            for report in fleet.script(*proxy, period) {
                let (writer, _) = match writers.entry(*proxy) {
                    std::collections::btree_map::Entry::Occupied(entry) => entry.into_mut(),
                    std::collections::btree_map::Entry::Vacant(entry) => entry.insert(open(*proxy)?),
                };
                writer.send(&report.encode_to_vec(), timeout).map_err(CommandError::runtime)?;
            }
        }
    }
    Ok(())
}

impl ModuleView {
    /// Updates the estimates with the lines of an output and notes the deviations from the truth.
    fn update(&mut self, now: Duration, events: &[Event], true_shares: &[f64], period: u64, rate: f64) {
        self.lines.push((now, events.len()));
        for event in events {
            if let Event::TryReport { endpoint, zone, tries, interval, .. } = event {
                let rate = *tries as f64 / interval.as_secs_f64().max(1e-3);
                let smoothed =
                    self.rates.entry(Key::Server { server: endpoint.index, zone: *zone }).or_insert(rate);
                *smoothed += (rate - *smoothed) * SMOOTHING_FACTOR;
            }
        }
        // After the end, proxies leave one by one.
        if !(LAST_PERIOD_BEFORE_FAILURES - 8..END).contains(&period) {
            return;
        }
        let mut shares = vec![0.0; true_shares.len()];
        let mut total = 0.0;
        for (key, rate) in &self.rates {
            if let Key::Server { server, .. } = key {
                shares[*server] += rate;
                total += rate;
            }
        }
        let deviation =
            |share: &f64, truth: &f64| (share / f64::max(total, 1e-9) / truth.max(1e-9) - 1.0).abs();
        let swing =
            shares.iter().zip(true_shares).map(|(share, truth)| deviation(share, truth)).fold(0.0, f64::max);
        let figures = &mut self.figures;
        let swings_by_phase = [
            (BACKLOG, &mut figures.swing_backlog),
            (DISCONNECTED, &mut figures.swing_cut),
            (INFLATED, &mut figures.swing_liar),
            (SILENT, &mut figures.swing_silent),
        ];
        let mut steady = true;
        for (phase, max_swing) in swings_by_phase {
            if phase.after <= period && period <= phase.last + RECOVERY_PERIODS {
                *max_swing = max_swing.max(swing);
                steady = false;
            }
        }
        if steady {
            figures.swing_steady = figures.swing_steady.max(swing);
        }
        figures.weight_swing_most = figures.weight_swing_most.max(swing);
        if SILENT.after + 2 < period && period <= SILENT.last {
            figures.silent_total_off = figures.silent_total_off.max((total / rate - 1.0).abs());
        }
        let last_end = [BACKLOG, DISCONNECTED, INFLATED, SILENT]
            .into_iter()
            .map(|phase| phase.last + 1)
            .rfind(|end| *end <= period);
        // During another phase, deviations are not due to the last one.
        let in_progress = [BACKLOG, DISCONNECTED, INFLATED, SILENT]
            .into_iter()
            .any(|phase| phase.after <= period && period <= phase.last);
        if let (true, Some(end)) = (swing > 0.05 && !in_progress, last_end) {
            // The time at which that period began.
            let began = now.mul_f64(end as f64 / (period as f64 + 1.0));
            figures.settled_ms = figures.settled_ms.max((now.saturating_sub(began)).as_secs_f64() * 1e3);
        }
    }

    /// Computes the maximum line rate and returns the figures.
    fn finish(mut self) -> Figures {
        for (index, (from, _)) in self.lines.iter().enumerate() {
            let within_a_second = |(at, _): &&(Duration, usize)| *at < *from + Duration::from_secs(1);
            let sum: usize =
                self.lines[index..].iter().take_while(within_a_second).map(|(_, count)| count).sum();
            self.figures.lines_to_module_most_per_s = self.figures.lines_to_module_most_per_s.max(sum as f64);
        }
        self.figures
    }
}

/// Results of both intakes.
struct IntakeResults {
    now: Figures,
    oldest_first: Figures,
    conserved: bool,
    silent_read_as_idle: u64,
    reports: u64,
    lines: u64,
    intake_us: Histogram<u64>,
    busy: Duration,
    ledger: String,
}

/// The intake thread: passes every report to both intakes, and compares the lines that each outputs with the truth.
fn run_intakes(
    fleet: &SimulatedFleet,
    stream_events: &Receiver<StreamEvent>,
    start: Instant,
    stop: &AtomicBool,
) -> Result<IntakeResults, CommandError> {
    let settings = fleet.settings;
    let mut names = NameIndex::new(&[]);
    for server in 0..settings.servers {
        names.endpoint(&server_name(server));
    }
    let zone = names.zone_id("z");
    let limits = IntakeLimits {
        period: settings.period,
        lines_per_s: settings.lines_per_s,
        ..IntakeLimits::default()
    };
    let mut aggregator = ReportAggregator::new(limits, settings.seed);
    let mut baseline = BaselineIntake::new(settings.lines_per_s, settings.period);
    let (mut current_view, mut baseline_view) = (ModuleView::default(), ModuleView::default());
    let endpoint = |index: usize| EndpointId { index, stable_id: 0 };
    let histogram = Histogram::new_with_bounds(1, 60_000_000, 3);
    let mut results = IntakeResults {
        now: Figures::default(),
        oldest_first: Figures::default(),
        conserved: true,
        silent_read_as_idle: 0,
        reports: 0,
        lines: 0,
        intake_us: histogram.map_err(CommandError::runtime)?,
        busy: Duration::ZERO,
        ledger: String::new(),
    };
    let mut checked_period = 0;
    while !stop.load(Ordering::Relaxed) {
        let first = stream_events.recv_timeout(Duration::from_millis(20)).ok();
        let began = Instant::now();
        for event in first.into_iter().chain(stream_events.try_iter().take(256)) {
            let now = start.elapsed();
            match event {
                StreamEvent::Opened(proxy) => aggregator.stream_opened(now, proxy as u32, zone),
                StreamEvent::Closed(proxy) => aggregator.stream_closed(now, proxy as u32),
                StreamEvent::Report(proxy, received_at, report) => {
                    let report_lines = read_report(proxy as u32, zone, &report, &fleet.service, &names);
                    results.lines += report_lines.lines.len() as u64;
                    results.reports += 1;
                    aggregator.add_report(now, report_lines);
                    results.intake_us.saturating_record(received_at.elapsed().as_micros() as u64);
                    let baseline_began = Instant::now();
                    baseline.add_report(now, zone, &report, &fleet.service, &names);
                    results.busy = results.busy.saturating_sub(baseline_began.elapsed());
                }
            }
        }
        let now = start.elapsed();
        let lines = aggregator.output_due_lines(now);
        results.busy += began.elapsed();
        let period = (now.as_nanos() / settings.period.as_nanos()) as u64;
        let events: Vec<Event> = lines.iter().map(|line| to_event(line, endpoint)).collect();
        if !events.is_empty() {
            current_view.update(now, &events, &fleet.true_shares, period, settings.rate);
        }
        let events = baseline.output_due(now, &names, endpoint);
        if !events.is_empty() {
            baseline_view.update(now, &events, &fleet.true_shares, period, settings.rate);
        }
        if period > checked_period {
            checked_period = period;
            results.conserved &= aggregator.held_tries() == aggregator.count_held_tries()
                && aggregator.ledger().conserved(aggregator.held_tries());
            let silent = (0..settings.proxies)
                .filter(|proxy| fleet.is_silent(*proxy, period) && period > SILENT.after + 5);
            let read_as_idle =
                |proxy: &usize| aggregator.reporting_state(now, *proxy as u32) == Some(ReportingState::Idle);
            results.silent_read_as_idle += silent.filter(read_as_idle).count() as u64;
        }
    }
    results.ledger = format!("{:?}", aggregator.ledger());
    (results.now, results.oldest_first) = (current_view.finish(), baseline_view.finish());
    Ok(results)
}

/// Runs the soak and prints its results; fails if counts were not conserved or a silent proxy was read as idle.
pub fn run(args: &SoakArgs) -> Result<(), CommandError> {
    let valid_fleet = (10..=5000).contains(&args.proxies) && (1..=10_000).contains(&args.servers);
    let valid_load = args.slices > 1 && args.tells < args.slices && args.rate > 0.0 && args.lines_per_s > 0;
    if !valid_fleet || !valid_load || !(50..=10_000).contains(&args.period_ms) {
        return Err(CommandError::Usage(
            "expected: 10 to 5000 proxies, up to 10000 servers, tells under slices, a period of 50 to 10000 ms".into(),
        ));
    }
    let fleet = Arc::new(SimulatedFleet::new(args));
    let drivers = Drivers::start("soak", 2).map_err(CommandError::runtime)?;
    let workers = Workers::new("lrs", args.proxies + 8, 192 << 10);
    let (event_sender, stream_events) = bounded(4096);
    let listener = start_listener(&drivers, &workers, event_sender).map_err(CommandError::runtime)?;
    let start = Instant::now();
    let (stop, memory_kb) = (AtomicBool::new(false), AtomicU64::new(0));
    let cpu_ms_before = process_cpu_and_memory("self").0;
    let groups: Vec<Vec<usize>> =
        (0..8).map(|group| (0..args.proxies).filter(|proxy| proxy % 8 == group).collect()).collect();
    let results = thread::scope(|scope| {
        let intake_thread = scope.spawn(|| run_intakes(&fleet, &stream_events, start, &stop));
        let proxy_threads: Vec<_> = groups
            .iter()
            .map(|group| scope.spawn(|| run_proxies(&fleet, group, listener.addr(), &drivers, start)))
            .collect();
        let mut result = Ok(());
        for proxy_thread in proxy_threads {
            memory_kb.fetch_max(process_cpu_and_memory("self").1, Ordering::Relaxed);
            let ended = proxy_thread
                .join()
                .unwrap_or_else(|_| Err(CommandError::Runtime("a proxy thread panicked".into())));
            result = result.and(ended);
        }
        memory_kb.fetch_max(process_cpu_and_memory("self").1, Ordering::Relaxed);
        // Reports in transit arrive within a period or two.
        thread::sleep(fleet.settings.period * 3);
        stop.store(true, Ordering::Relaxed);
        let intakes = intake_thread
            .join()
            .unwrap_or_else(|_| Err(CommandError::Runtime("the intake thread panicked".into())));
        result.and(intakes)
    })?;
    let elapsed_s = start.elapsed().as_secs_f64();
    let cpu_s = process_cpu_and_memory("self").0.saturating_sub(cpu_ms_before) as f64 / 1e3;
    let report = SoakReport {
        proxies: args.proxies,
        servers: args.servers,
        reports: results.reports,
        lines_offered: results.lines,
        lines_to_module_most_per_s: results.now.lines_to_module_most_per_s,
        conserved: results.conserved,
        weight_swing_most: results.now.weight_swing_most,
        settled_ms: results.now.settled_ms,
        silent_read_as_idle: results.silent_read_as_idle,
        memory_mb: memory_kb.load(Ordering::Relaxed) as f64 / 1024.0,
        p99_intake_ms: results.intake_us.value_at_quantile(0.99) as f64 / 1e3,
        cores: cpu_s / elapsed_s,
        deciding_share: results.busy.as_secs_f64() / elapsed_s,
        ledger: results.ledger,
        now: results.now,
        oldest_first: results.oldest_first,
    };
    if !args.json {
        println!("{}", report.ledger);
        println!("now:          {:?}", report.now);
        println!("oldest first: {:?}", report.oldest_first);
    }
    println!("{}", serde_json::to_string(&report).map_err(CommandError::runtime)?);
    if report.conserved && report.silent_read_as_idle == 0 {
        Ok(())
    } else {
        Err(CommandError::Runtime("counts were not conserved, or a silent proxy was read as idle".into()))
    }
}
