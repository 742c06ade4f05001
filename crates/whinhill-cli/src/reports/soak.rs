//! Simulated proxies report over real streams what they would have met, through a script of hard cases. What the
//! module would be told is held against what is true; the former intake, oldest first, takes the same reports.
//!
//! Counts are even, with a phase of its own for each proxy and slice, so that what swings was not drawn.

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
use whinhill::interface::{Ep, Event};
use whinhill_assigner::{event, process_figures_of, read_report, Names};
use whinhill_reports::{Hearing, Intake, Key, Limits as Intaking};
use whinhill_transport::{
    Client, Code, Drivers, Limits, Listener, MessageWriter, PendingAnswer, ServerCall, Trailers, Workers,
};
use whinhill_xds::mapping::{address, Effect, Method, Service};
use whinhill_xds::proto::{self, span};
use whinhill_xds::LRS_PATH;

use super::former;
use crate::Failed;

#[derive(Args)]
pub struct SoakArgs {
    #[arg(long, default_value_t = 500)]
    proxies: usize,
    #[arg(long, default_value_t = 143)]
    servers: usize,
    #[arg(long, default_value_t = 900)]
    slices: usize,
    /// Slices that each proxy tells of.
    #[arg(long, default_value_t = 100)]
    tells: usize,
    /// Between two reports of a proxy. The script takes 170 of them.
    #[arg(long, default_value_t = 500)]
    period_ms: u64,
    #[arg(long, default_value_t = 1200)]
    lines_per_s: u32,
    /// RPCs a second in all.
    #[arg(long, default_value_t = 400_000.0)]
    rate: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Only the object.
    #[arg(long)]
    json: bool,
}

/// The script, in periods since the start.
const STEADY: u64 = 25;
const BACKLOG: (u64, u64) = (25, 85);
const CUT: (u64, u64) = (105, 114);
const LIAR: (u64, u64) = (125, 129);
const SILENT: (u64, u64) = (140, 155);
const END: u64 = 170;
/// How long after an event weights may still be off, in periods.
const AFTER: u64 = 10;
/// The module's picture forgets by this much a line, as its measures do.
const NEW: f64 = 0.3;

/// How one intake did.
#[derive(Debug, Default, Serialize)]
struct Figures {
    lines_to_module_most_per_s: f64,
    /// The furthest that any server's share of the load went from the truth, by event.
    weight_swing_most: f64,
    swing_steady: f64,
    swing_backlog: f64,
    swing_cut: f64,
    swing_liar: f64,
    swing_silent: f64,
    /// The furthest that the whole load went from the truth while a tenth was silent.
    silent_total_off: f64,
    /// The longest time after an event until all shares were within 5% for good, in milliseconds.
    settled_ms: f64,
}

#[derive(Debug, Serialize)]
struct Soaked {
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
    /// Processor time of the whole run, proxies and all, in cores; and of the deciding thread alone.
    cores: f64,
    deciding_share: f64,
    ledger: String,
    now: Figures,
    oldest_first: Figures,
}

enum Heard {
    Opened(usize),
    Closed(usize),
    Report(usize, Instant, Box<proto::LoadStatsRequest>),
}

/// What the module would hold of the load, by its lines alone.
#[derive(Default)]
struct Picture {
    rates: BTreeMap<Key, f64>,
    figures: Figures,
    lines: Vec<(Duration, usize)>,
}

fn failed(error: &dyn std::fmt::Display) -> Failed {
    Failed::Running(error.to_string())
}

struct Fleet {
    service: Service,
    args: Settings,
    /// For each proxy the slices that it tells of, with the RPCs a period of each.
    tells: Vec<Vec<(usize, f64)>>,
    /// The true share of each server.
    truth: Vec<f64>,
}

#[derive(Clone, Copy)]
struct Settings {
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

impl Fleet {
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
            hold: Duration::from_millis(300),
            try_factor: 1.0,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
        let a_period = args.rate * args.period_ms as f64 / 1e3;
        let (mut tells, mut truth) = (Vec::new(), vec![0.0; args.servers]);
        for proxy in 0..args.proxies {
            let mut slices: Vec<(usize, f64)> = sample(&mut rng, args.slices - 1, args.tells)
                .iter()
                .map(|slice| (slice + 1, a_period * 0.72 / (args.proxies * args.tells) as f64))
                .collect();
            // Slice 0 carries 28% of all, from five proxies only.
            if proxy < 5 {
                slices.push((0, a_period * 0.28 / 5.0));
            }
            slices.iter().for_each(|(slice, rate)| truth[slice % args.servers] += rate / a_period);
            tells.push(slices);
        }
        let args = Settings {
            proxies: args.proxies,
            servers: args.servers,
            period: Duration::from_millis(args.period_ms),
            lines_per_s: args.lines_per_s,
            seed: args.seed,
            rate: args.rate,
        };
        Fleet { service, args, tells, truth }
    }

    /// What a proxy met in `periods` that end with the `at`th, times over.
    fn report(
        &self,
        proxy: usize,
        at: u64,
        periods: u64,
        times: f64,
        stretch: Duration,
    ) -> proto::LoadStatsRequest {
        let phase = |slice: usize| {
            let mixed = (proxy as u64 * 1_000_003 + slice as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (mixed >> 11) as f64 / (1u64 << 53) as f64
        };
        let clusters = self.tells[proxy].iter().filter_map(|(slice, rate)| {
            let upto = |at: u64| (rate * times * at as f64 + phase(*slice)).floor() as u64;
            let tries = upto(at) - upto(at.saturating_sub(periods));
            (tries > 0).then(|| self.cluster(*slice, &server_name(slice % self.args.servers), tries, stretch))
        });
        proto::LoadStatsRequest { node: None, cluster_stats: clusters.collect() }
    }

    fn cluster(&self, slice: usize, server: &str, tries: u64, stretch: Duration) -> proto::ClusterStats {
        let met = proto::UpstreamEndpointStats {
            address: Some(address(server)),
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
                upstream_endpoint_stats: vec![met],
                total_issued_requests: tries,
                total_successful_requests: tries,
                ..Default::default()
            }],
            load_report_interval: Some(span(stretch)),
            ..Default::default()
        }
    }

    fn silent(&self, proxy: usize, at: u64) -> bool {
        let within = |(from, to): (u64, u64)| from < at && at <= to;
        (proxy == 9 && within(BACKLOG)) || (proxy % 10 == 4 && within(SILENT))
    }

    fn cut(&self, proxy: usize, at: u64) -> bool {
        proxy.is_multiple_of(3) && CUT.0 < at && at <= CUT.1
    }

    /// What a proxy sends at the end of a period.
    fn script(&self, proxy: usize, at: u64) -> Vec<proto::LoadStatsRequest> {
        let period = self.args.period;
        if self.silent(proxy, at) || self.cut(proxy, at) {
            return Vec::new();
        }
        let one = |at| self.report(proxy, at, 1, 1.0, period);
        match (proxy, at) {
            // A minute's worth of ordinary reports at once.
            (9, at) if at == BACKLOG.1 + 1 => (BACKLOG.0 + 1..=at).map(one).collect(),
            (7, at) if LIAR.0 < at && at <= LIAR.1 => vec![self.report(proxy, at, 1, 100.0, period)],
            // Stretches of nothing and of an hour.
            (11, 60..70) => vec![self.report(proxy, at, 1, 1.0, Duration::ZERO)],
            (12, 60..70) => vec![self.report(proxy, at, 1, 1.0, Duration::from_secs(3600))],
            // Ten thousand names of servers that nobody has heard of.
            (13, 70) => {
                let strange =
                    |k: usize| self.cluster(1, &format!("127.2.{}.{}:1", k / 250, k % 250 + 1), 1, period);
                vec![proto::LoadStatsRequest {
                    node: None,
                    cluster_stats: (0..10_000).map(strange).collect(),
                }]
            }
            // The first one after a cut tells of all of it.
            (proxy, at) if self.cut(proxy, at - 1) => {
                let periods = at - CUT.0;
                vec![self.report(proxy, at, periods, 1.0, period * periods as u32)]
            }
            (proxy, at) if self.silent(proxy, at - 1) => {
                let periods = at - SILENT.0;
                vec![self.report(proxy, at, periods, 1.0, period * periods as u32)]
            }
            _ => vec![one(at)],
        }
    }
}

/// Takes in reports as the assigner's streams do.
fn listen(drivers: &Drivers, workers: &Workers, to: Sender<Heard>) -> std::io::Result<Listener> {
    let workers = workers.clone();
    // Longer than any silence of the script.
    let within = Duration::from_secs(600);
    let serve = move |call: ServerCall, to: Sender<Heard>| {
        let Ok((mut reader, mut writer)) = call.open() else { return };
        let first = reader.recv(within).ok().flatten();
        let first = first.and_then(|first| proto::LoadStatsRequest::decode(first).ok());
        let Some(proxy) = first.and_then(|f| f.node).and_then(|node| node.id.parse::<usize>().ok()) else {
            return;
        };
        let _ = to.send(Heard::Opened(proxy));
        while let Ok(Some(message)) = reader.recv(within) {
            let came = Instant::now();
            let Ok(report) = proto::LoadStatsRequest::decode(message) else { break };
            if to.send(Heard::Report(proxy, came, Box::new(report))).is_err() {
                break;
            }
        }
        let _ = to.send(Heard::Closed(proxy));
        let _ = writer.close(Code::Ok, "", Trailers::new());
    };
    let limits = Limits { message_most: 16 << 20, ..Limits::default() };
    Listener::start("soak", ([127, 0, 0, 1], 0).into(), limits, drivers, move |call| {
        let to = to.clone();
        workers.hand(call, move |call| serve(call, to), |call| call.refuse_unseen());
    })
}

/// Plays some of the proxies: each reports at its own moment of the period.
fn proxies(
    fleet: &Fleet,
    which: &[usize],
    at: SocketAddr,
    drivers: &Drivers,
    start: Instant,
) -> Result<(), Failed> {
    let within = Duration::from_secs(10);
    let limits = Limits { message_most: 16 << 20, ..Limits::default() };
    let client = Client::connect(at, limits, drivers).map_err(|error| failed(&error))?;
    // The answer is kept with its stream: who drops it gives the call up.
    let open = |proxy: usize| -> Result<(MessageWriter, PendingAnswer), Failed> {
        let (mut writer, pending) = client.call(LRS_PATH, &[], within).map_err(|error| failed(&error))?;
        let node = proto::Node { id: proxy.to_string(), ..Default::default() };
        let first = proto::LoadStatsRequest { node: Some(node), cluster_stats: Vec::new() };
        writer.send(&first.encode_to_vec(), within).map_err(|error| failed(&error))?;
        Ok((writer, pending))
    };
    let mut writers: BTreeMap<usize, (MessageWriter, PendingAnswer)> = BTreeMap::new();
    for period in 1..=END {
        for (place, proxy) in which.iter().enumerate() {
            let share = place as f64 / which.len() as f64;
            let due = start + fleet.args.period.mul_f64(period as f64 - 1.0 + share);
            while let Some(left) = due.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
                thread::park_timeout(left);
            }
            if fleet.cut(*proxy, period) {
                writers.remove(proxy);
                continue;
            }
            for report in fleet.script(*proxy, period) {
                let (writer, _) = match writers.entry(*proxy) {
                    std::collections::btree_map::Entry::Occupied(held) => held.into_mut(),
                    std::collections::btree_map::Entry::Vacant(free) => free.insert(open(*proxy)?),
                };
                writer.send(&report.encode_to_vec(), within).map_err(|error| failed(&error))?;
            }
        }
    }
    Ok(())
}

impl Picture {
    fn take(&mut self, now: Duration, events: &[Event], truth: &[f64], period: u64, rate: f64) {
        self.lines.push((now, events.len()));
        for event in events {
            if let Event::Met { ep, zone, tries, span, .. } = event {
                let rate = *tries as f64 / span.as_secs_f64().max(1e-3);
                let held = self.rates.entry(Key::Met { server: ep.index, zone: *zone }).or_insert(rate);
                *held += (rate - *held) * NEW;
            }
        }
        // After the end proxies leave one by one, each at its moment.
        if !(STEADY - 8..END).contains(&period) {
            return;
        }
        let mut shares = vec![0.0; truth.len()];
        let mut all = 0.0;
        for (key, rate) in &self.rates {
            if let Key::Met { server, .. } = key {
                shares[*server] += rate;
                all += rate;
            }
        }
        let off = |share: &f64, truth: &f64| (share / f64::max(all, 1e-9) / truth.max(1e-9) - 1.0).abs();
        let swing = shares.iter().zip(truth).map(|(share, truth)| off(share, truth)).fold(0.0, f64::max);
        let figures = &mut self.figures;
        let by_event = [
            (BACKLOG, &mut figures.swing_backlog),
            (CUT, &mut figures.swing_cut),
            (LIAR, &mut figures.swing_liar),
            (SILENT, &mut figures.swing_silent),
        ];
        let mut calm = true;
        for ((from, to), most) in by_event {
            if from <= period && period <= to + AFTER {
                *most = most.max(swing);
                calm = false;
            }
        }
        if calm {
            figures.swing_steady = figures.swing_steady.max(swing);
        }
        figures.weight_swing_most = figures.weight_swing_most.max(swing);
        if SILENT.0 + 2 < period && period <= SILENT.1 {
            figures.silent_total_off = figures.silent_total_off.max((all / rate - 1.0).abs());
        }
        let last_end =
            [BACKLOG, CUT, LIAR, SILENT].into_iter().map(|(_, to)| to + 1).rfind(|to| *to <= period);
        // While another event is under way, what is off is not the last one's.
        let under_way =
            [BACKLOG, CUT, LIAR, SILENT].into_iter().any(|(from, to)| from <= period && period <= to);
        if let (true, Some(end)) = (swing > 0.05 && !under_way, last_end) {
            // The first moment of that period.
            let began = now.mul_f64(end as f64 / (period as f64 + 1.0));
            figures.settled_ms = figures.settled_ms.max((now.saturating_sub(began)).as_secs_f64() * 1e3);
        }
    }

    fn ended(mut self) -> Figures {
        for (place, (from, _)) in self.lines.iter().enumerate() {
            let within = |(at, _): &&(Duration, usize)| *at < *from + Duration::from_secs(1);
            let sum: usize = self.lines[place..].iter().take_while(within).map(|(_, count)| count).sum();
            self.figures.lines_to_module_most_per_s = self.figures.lines_to_module_most_per_s.max(sum as f64);
        }
        self.figures
    }
}

struct Decided {
    now: Figures,
    oldest_first: Figures,
    conserved: bool,
    silent_read_as_idle: u64,
    reports: u64,
    lines: u64,
    intake: Histogram<u64>,
    busy: Duration,
    ledger: String,
}

/// The deciding thread: both intakes take every report; what either would tell the module is held to the truth.
fn decide(
    fleet: &Fleet,
    heard: &Receiver<Heard>,
    start: Instant,
    stop: &AtomicBool,
) -> Result<Decided, Failed> {
    let settings = fleet.args;
    let mut names = Names::new(&[]);
    for server in 0..settings.servers {
        names.ep(&server_name(server));
    }
    let zone = names.zone("z");
    let limits =
        Intaking { period: settings.period, lines_per_s: settings.lines_per_s, ..Intaking::default() };
    let mut intake = Intake::new(limits, settings.seed);
    let mut before = former::Intake::new(settings.lines_per_s, settings.period);
    let (mut now_picture, mut before_picture) = (Picture::default(), Picture::default());
    let ep = |index: usize| Ep { index, stable: 0 };
    let histogram = Histogram::new_with_bounds(1, 60_000_000, 3);
    let mut out = Decided {
        now: Figures::default(),
        oldest_first: Figures::default(),
        conserved: true,
        silent_read_as_idle: 0,
        reports: 0,
        lines: 0,
        intake: histogram.map_err(|error| failed(&error))?,
        busy: Duration::ZERO,
        ledger: String::new(),
    };
    let mut looked = 0;
    while !stop.load(Ordering::Relaxed) {
        let first = heard.recv_timeout(Duration::from_millis(20)).ok();
        let began = Instant::now();
        for one in first.into_iter().chain(heard.try_iter().take(256)) {
            let now = start.elapsed();
            match one {
                Heard::Opened(proxy) => intake.opened(now, proxy as u32, zone),
                Heard::Closed(proxy) => intake.closed(now, proxy as u32),
                Heard::Report(proxy, came, report) => {
                    let told = read_report(proxy as u32, zone, &report, &fleet.service, &names);
                    out.lines += told.lines.len() as u64;
                    out.reports += 1;
                    intake.take(now, told);
                    out.intake.saturating_record(came.elapsed().as_micros() as u64);
                    let own = Instant::now();
                    before.take(now, zone, &report, &fleet.service, &names);
                    out.busy = out.busy.saturating_sub(own.elapsed());
                }
            }
        }
        let now = start.elapsed();
        let given = intake.give(now);
        out.busy += began.elapsed();
        let period = (now.as_nanos() / settings.period.as_nanos()) as u64;
        let events: Vec<Event> = given.iter().map(|given| event(given, ep)).collect();
        if !events.is_empty() {
            now_picture.take(now, &events, &fleet.truth, period, settings.rate);
        }
        let events = before.give(now, &names, ep);
        if !events.is_empty() {
            before_picture.take(now, &events, &fleet.truth, period, settings.rate);
        }
        if period > looked {
            looked = period;
            out.conserved &=
                intake.waiting() == intake.recount() && intake.ledger().conserved(intake.waiting());
            let silent =
                (0..settings.proxies).filter(|proxy| fleet.silent(*proxy, period) && period > SILENT.0 + 5);
            let idle = |proxy: &usize| intake.hearing(now, *proxy as u32) == Some(Hearing::Quiet);
            out.silent_read_as_idle += silent.filter(idle).count() as u64;
        }
    }
    out.ledger = format!("{:?}", intake.ledger());
    (out.now, out.oldest_first) = (now_picture.ended(), before_picture.ended());
    Ok(out)
}

pub fn run(args: &SoakArgs) -> Result<(), Failed> {
    let sane = (10..=5000).contains(&args.proxies) && (1..=10_000).contains(&args.servers);
    let told = args.slices > 1 && args.tells < args.slices && args.rate > 0.0 && args.lines_per_s > 0;
    if !sane || !told || !(50..=10_000).contains(&args.period_ms) {
        return Err(Failed::Usage(
            "expected: 10 to 5000 proxies, up to 10000 servers, tells under slices, a period of 50 to 10000 ms".into(),
        ));
    }
    let fleet = Arc::new(Fleet::new(args));
    let drivers = Drivers::start("soak", 2).map_err(|error| failed(&error))?;
    let workers = Workers::new("lrs", args.proxies + 8, 192 << 10);
    let (to, heard) = bounded(4096);
    let listener = listen(&drivers, &workers, to).map_err(|error| failed(&error))?;
    let start = Instant::now();
    let (stop, memory) = (AtomicBool::new(false), AtomicU64::new(0));
    let began = process_figures_of("self").0;
    let groups: Vec<Vec<usize>> =
        (0..8).map(|group| (0..args.proxies).filter(|proxy| proxy % 8 == group).collect()).collect();
    let decided = thread::scope(|scope| {
        let deciding = scope.spawn(|| decide(&fleet, &heard, start, &stop));
        let playing: Vec<_> = groups
            .iter()
            .map(|group| scope.spawn(|| proxies(&fleet, group, listener.addr(), &drivers, start)))
            .collect();
        let mut result = Ok(());
        for one in playing {
            memory.fetch_max(process_figures_of("self").1, Ordering::Relaxed);
            let ended = one.join().unwrap_or_else(|_| Err(Failed::Running("a player panicked".into())));
            result = result.and(ended);
        }
        memory.fetch_max(process_figures_of("self").1, Ordering::Relaxed);
        // What is still on its way is heard within a period or two.
        thread::sleep(fleet.args.period * 3);
        stop.store(true, Ordering::Relaxed);
        let decided =
            deciding.join().unwrap_or_else(|_| Err(Failed::Running("the decisions panicked".into())));
        result.and(decided)
    })?;
    let took = start.elapsed().as_secs_f64();
    let cpu = process_figures_of("self").0.saturating_sub(began) as f64 / 1e3;
    let soaked = Soaked {
        proxies: args.proxies,
        servers: args.servers,
        reports: decided.reports,
        lines_offered: decided.lines,
        lines_to_module_most_per_s: decided.now.lines_to_module_most_per_s,
        conserved: decided.conserved,
        weight_swing_most: decided.now.weight_swing_most,
        settled_ms: decided.now.settled_ms,
        silent_read_as_idle: decided.silent_read_as_idle,
        memory_mb: memory.load(Ordering::Relaxed) as f64 / 1024.0,
        p99_intake_ms: decided.intake.value_at_quantile(0.99) as f64 / 1e3,
        cores: cpu / took,
        deciding_share: decided.busy.as_secs_f64() / took,
        ledger: decided.ledger,
        now: decided.now,
        oldest_first: decided.oldest_first,
    };
    if !args.json {
        println!("{}", soaked.ledger);
        println!("now:          {:?}", soaked.now);
        println!("oldest first: {:?}", soaked.oldest_first);
    }
    println!("{}", serde_json::to_string(&soaked).map_err(|error| failed(&error))?);
    if soaked.conserved && soaked.silent_read_as_idle == 0 {
        Ok(())
    } else {
        Err(Failed::Running("counts were not conserved, or a silent proxy was read as idle".into()))
    }
}
