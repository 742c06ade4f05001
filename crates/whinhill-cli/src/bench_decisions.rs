//! `whinhill bench decisions`: measures the cost of the decision module (crate `whinhill`) at a fleet's size, with
//! synthetic events instead of a fleet.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use clap::Args;
use serde::Serialize;
use whinhill::interface::{
    EndpointId, Event, ListKind, ListedStatus, LoadReport, Order, ServerEntry, Settings,
};
use whinhill::Assigner;
use whinhill_assigner::process_cpu_and_memory;
use whinhill_names::Names;
use whinhill_platform::discovery::DiscoveryRequest;
use whinhill_platform::relay::line_orders::PendingWork;
use whinhill_platform::relay::watch::{RelayWatch, WatchSlot};

use crate::CommandError;

/// Arguments of `whinhill bench decisions`.
#[derive(Args)]
pub struct DecisionsBench {
    /// Number of proxies.
    #[arg(long, default_value_t = 2400)]
    proxies: u32,
    /// Number of servers.
    #[arg(long, default_value_t = 200)]
    servers: usize,
    /// Number of slices.
    #[arg(long, default_value_t = 900)]
    slices: usize,
    /// Number of releases, each of which replaces every server.
    #[arg(long, default_value_t = 10)]
    releases: usize,
}

/// Figures of the benchmark, as they are printed. Memory is that of this process.
#[derive(Debug, Serialize)]
struct Figures {
    proxies: u32,
    servers: usize,
    slices: usize,
    /// Time to read the relay's first messages: all proxies, all slices and their lines.
    news_ms: f64,
    /// Time to read the full list of discovery.
    list_ms: f64,
    /// Time of the module's batch with the first list, all proxies, all slices and their lines.
    start_ms: f64,
    steady: BatchFigures,
    releases: BatchFigures,
    /// Resident memory after the first and the last release, in KiB.
    memory_kb_first: u64,
    memory_kb_last: u64,
}

/// Figures of a series of batches.
#[derive(Debug, Default, Serialize)]
struct BatchFigures {
    count: usize,
    us_p50: u64,
    us_p99: u64,
    us_most: u64,
    /// Time spent in the module divided by the simulated time.
    share_of_core: f64,
    orders: u64,
}

/// Number of zones.
const ZONE_COUNT: usize = 3;
/// Number of methods of the service.
const METHOD_COUNT: usize = 2;
/// Simulated period of load reports.
const REPORT_PERIOD: Duration = Duration::from_millis(200);
/// Batches per period: the module asks to be woken this often while many handovers are in progress.
const BATCHES_PER_PERIOD: u32 = 4;
/// Periods measured without changes of the list.
const STEADY_PERIODS: usize = 100;
/// Number of parts of the fleet that a release replaces one after the other, and the periods per part.
const RELEASE_PARTS: usize = 10;
const PERIODS_PER_PART: usize = 10;

/// Settings of the module, apart from those that depend on the arguments.
const SETTINGS: &[(&str, &str)] = &[
    ("discovery", "subscribe"),
    ("caps.mayProbe", "0"),
    ("classes.count", "2"),
    ("classes.0.objective", "1000"),
    ("classes.0.points", "1"),
    ("classes.1.objective", "800"),
    ("classes.1.points", "5"),
    ("rules.stopSendingWithin", "3000"),
    ("rules.warmAfter", "8000"),
    ("rules.coldFrom", "0.2"),
    ("rules.fallMultiple", "3"),
    ("familyInfo.mutating", "0,1"),
    ("familyInfo.retryDefault", "0"),
    ("familyInfo.period", "200"),
    ("familyInfo.writeLease", "2000"),
    ("familyInfo.inFlightMax", "500"),
    ("familyInfo.transitMax", "100"),
    ("familyInfo.overhead", "8"),
    ("familyInfo.linesPerS", "400000"),
    ("familyInfo.backlog", "600000"),
    ("familyInfo.messagesMost", "0"),
    ("familyInfo.reloadSpan", "10000"),
];

/// A place in the list that successive servers take.
struct ServerSlot {
    /// Number of times that a release has put a new server here.
    incarnation: u64,
    /// Whether a server is there now.
    present: bool,
}

/// The fleet that the events describe to the module.
struct SimulatedFleet<'a> {
    args: &'a DecisionsBench,
    module: Assigner,
    now: Duration,
    slots: Vec<ServerSlot>,
    /// Acknowledgements that the module has requested.
    ack_seqs: BTreeSet<u16>,
    batch_times: Vec<Duration>,
    orders: u64,
}

impl SimulatedFleet<'_> {
    fn endpoint(&self, slot: usize) -> EndpointId {
        EndpointId { index: slot, stable_id: self.slots[slot].incarnation * 1_000_003 + slot as u64 }
    }

    fn entry(&self, slot: usize, status: ListedStatus) -> ServerEntry {
        let started = (self.slots[slot].incarnation > 0).then_some(self.now);
        ServerEntry { endpoint: self.endpoint(slot), zone: slot % ZONE_COUNT, status, size: 1.0, started }
    }

    /// Passes a batch to the module and notes its time, its orders and the acknowledgements that it requests.
    fn handle(&mut self, events: &[Event]) {
        let began = Instant::now();
        let orders = self.module.handle(self.now, events);
        self.batch_times.push(began.elapsed());
        self.orders += orders.len() as u64;
        self.ack_seqs.extend(orders.iter().filter_map(|order| match order {
            Order::RequestAck { ack_seq } => Some(*ack_seq),
            _ => None,
        }));
    }

    /// Passes the first batch: the list, all proxies and all slices.
    fn start(&mut self) {
        let entries = |fleet: &Self| {
            (0..fleet.args.servers).map(|slot| fleet.entry(slot, ListedStatus::Ready)).collect::<Vec<_>>()
        };
        let list = |kind| Event::List { kind, entries: entries(self) };
        let mut events = vec![list(ListKind::Stored), list(ListKind::Full)];
        events.extend(
            (0..self.args.proxies)
                .map(|proxy| Event::ProxyJoined { proxy, zone: proxy as usize % ZONE_COUNT }),
        );
        for slice in 0..self.args.slices {
            let endpoint = self.endpoint(slice % self.args.servers);
            events.extend([Event::SliceAcquired { slice }, Event::StoredOwner { slice, endpoint }]);
        }
        self.handle(&events);
    }

    /// What the proxies of a zone report of a server in a period.
    fn try_report(&self, slot: usize, zone: usize) -> Event {
        Event::TryReport {
            endpoint: self.endpoint(slot),
            zone,
            tries: 8,
            lost: 0,
            mean_wait: Duration::from_millis(20),
            interval: REPORT_PERIOD,
            load: LoadReport::default(),
        }
    }

    /// All load reports of a period: tries by server and zone, and demand by slice and method.
    fn reports(&self) -> Vec<Event> {
        let present = self.slots.iter().enumerate().filter(|(_, slot)| slot.present).map(|(slot, _)| slot);
        let servers = present.flat_map(|slot| (0..ZONE_COUNT).map(move |zone| (slot, zone)));
        let demand = |slice: usize, method: usize| Event::Demand {
            slice,
            method,
            rpcs: 2 + (slice % 7) as u64,
            lost: 0,
            interval: REPORT_PERIOD,
        };
        let demands = (0..self.args.slices)
            .flat_map(|slice| (0..METHOD_COUNT).map(move |method| demand(slice, method)));
        servers.map(|(slot, zone)| self.try_report(slot, zone)).chain(demands).collect()
    }

    /// Simulates a period: the reports, then timer batches with the acknowledgements of all proxies.
    fn run_period(&mut self) {
        self.now += REPORT_PERIOD / BATCHES_PER_PERIOD;
        let reports = self.reports();
        self.handle(&reports);
        for _ in 1..BATCHES_PER_PERIOD {
            self.now += REPORT_PERIOD / BATCHES_PER_PERIOD;
            let transit = REPORT_PERIOD / BATCHES_PER_PERIOD;
            let ack_seqs = std::mem::take(&mut self.ack_seqs);
            let acks = ack_seqs.into_iter().flat_map(|ack_seq| {
                (0..self.args.proxies).map(move |proxy| Event::Acked { proxy, ack_seq, transit })
            });
            let events: Vec<Event> = acks.chain([Event::Timer]).collect();
            self.handle(&events);
        }
    }

    /// Replaces every server, one part at a time: new servers join, and the former ones drain and leave.
    fn run_release(&mut self) {
        let servers = self.args.servers;
        for part in 0..RELEASE_PARTS {
            let former: Vec<usize> = (0..self.slots.len())
                .filter(|slot| self.slots[*slot].present && slot % RELEASE_PARTS == part)
                .collect();
            let mut changes: Vec<ServerEntry> =
                former.iter().map(|slot| self.entry(*slot, ListedStatus::Draining)).collect();
            for slot in former.iter().map(|slot| (slot + servers) % (2 * servers)) {
                self.slots[slot] =
                    ServerSlot { incarnation: self.slots[slot].incarnation + 1, present: true };
                changes.push(self.entry(slot, ListedStatus::Ready));
            }
            self.handle(&[Event::List { kind: ListKind::Changes, entries: changes }]);
            (0..PERIODS_PER_PART).for_each(|_| self.run_period());
            let gone = former.iter().map(|slot| self.entry(*slot, ListedStatus::Gone)).collect();
            former.iter().for_each(|slot| self.slots[*slot].present = false);
            self.handle(&[Event::List { kind: ListKind::Changes, entries: gone }]);
        }
    }

    /// Returns and resets the figures of the batches since the last call; `since` is when they began.
    fn take_figures(&mut self, since: Duration) -> BatchFigures {
        let mut times = std::mem::take(&mut self.batch_times);
        times.sort_unstable();
        let us = |share: f64| {
            let index = (times.len() as f64 * share) as usize;
            times.get(index.min(times.len().saturating_sub(1))).map_or(0, |time| time.as_micros() as u64)
        };
        let total: Duration = times.iter().sum();
        BatchFigures {
            count: times.len(),
            us_p50: us(0.5),
            us_p99: us(0.99),
            us_most: us(1.0),
            share_of_core: total.as_secs_f64() / (self.now - since).as_secs_f64().max(1e-9),
            orders: std::mem::take(&mut self.orders),
        }
    }
}

/// Measures the time to read the relay's first messages.
fn time_relay_read(args: &DecisionsBench, settings: &Settings) -> Result<Duration, CommandError> {
    let zone = |proxy: u32| proxy as usize % ZONE_COUNT;
    let proxies = (0..args.proxies).map(|proxy| format!("* hello {proxy} z{} 20.5 1\r\n", zone(proxy)));
    let server = |slice: usize| slice % args.servers;
    let slices = (0..args.slices)
        .map(|slice| format!("* lease {slice} 1\r\n* line {slice} s-{:08x} 1.0\r\n", server(slice)));
    let text: String = std::iter::once("OK\r\n".to_string()).chain(proxies).chain(slices).collect();
    let (mut relay_watch, mut names, mut events) = (RelayWatch::default(), Names::new(settings), Vec::new());
    relay_watch.on_connected(WatchSlot::Current, Duration::ZERO);
    let began = Instant::now();
    let nothing_pending = |_| PendingWork::Nothing;
    relay_watch
        .receive(
            WatchSlot::Current,
            Duration::ZERO,
            text.as_bytes(),
            &mut names,
            nothing_pending,
            &mut events,
        )
        .map_err(CommandError::runtime)?;
    let took = began.elapsed();
    if relay_watch.proxy_count() != args.proxies as usize || relay_watch.slice_count() != args.slices {
        return Err(CommandError::Runtime(format!(
            "{} proxies and {} slices read",
            relay_watch.proxy_count(),
            relay_watch.slice_count()
        )));
    }
    Ok(took)
}

/// Measures the time to read the full list of discovery.
fn time_list_read(args: &DecisionsBench) -> Result<Duration, CommandError> {
    let server = |slot: usize| {
        format!(
            r#"{{"name":"s-{slot:08x}","address":"10.1.{}.{}:8081","zone":"z{}","type":"m2","group":3,"status":"SERVING","weight":1.0,"since_ms":0}}"#,
            slot / 250,
            slot % 250,
            slot % ZONE_COUNT
        )
    };
    let servers: Vec<String> = (0..args.servers).map(server).collect();
    let line = format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{}]}}\n", servers.join(","));
    let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len());
    let began = Instant::now();
    let answer = DiscoveryRequest::watch().receive(text.as_bytes());
    let took = began.elapsed();
    match answer.lists.first() {
        Some(list) if list.servers.len() == args.servers => Ok(took),
        _ => Err(CommandError::Runtime(format!("the list was not read: {:?}", answer.error))),
    }
}

/// Runs the benchmark and returns its figures.
pub fn measure(args: &DecisionsBench) -> Result<impl Serialize, CommandError> {
    if args.servers < RELEASE_PARTS || args.slices == 0 || args.releases == 0 {
        let usage = format!("expected at least {RELEASE_PARTS} servers, one slice and one release");
        return Err(CommandError::Usage(usage));
    }
    let mut settings: Settings =
        Settings(SETTINGS.iter().map(|(path, value)| (path.to_string(), value.to_string())).collect());
    settings.0.insert("familyInfo.shards".into(), args.slices.to_string());
    settings.0.insert("familyInfo.dataPlaneSize".into(), args.proxies.to_string());
    settings
        .0
        .insert("zones".into(), (0..ZONE_COUNT).map(|zone| format!("z{zone}")).collect::<Vec<_>>().join(","));
    let (relay_read, list_read) = (time_relay_read(args, &settings)?, time_list_read(args)?);
    let module = Assigner::new(&settings, 1).map_err(CommandError::runtime)?;
    let slots = (0..2 * args.servers)
        .map(|slot| ServerSlot { incarnation: 0, present: slot < args.servers })
        .collect();
    let now = Duration::from_secs(100);
    let mut fleet = SimulatedFleet {
        args,
        module,
        now,
        slots,
        ack_seqs: BTreeSet::new(),
        batch_times: Vec::new(),
        orders: 0,
    };
    fleet.start();
    let start_ms = fleet.batch_times.drain(..).sum::<Duration>().as_secs_f64() * 1e3;
    let since = fleet.now;
    (0..STEADY_PERIODS).for_each(|_| fleet.run_period());
    let steady = fleet.take_figures(since);
    let (since, mut memory_kb) = (fleet.now, Vec::new());
    for _ in 0..args.releases {
        fleet.run_release();
        memory_kb.push(process_cpu_and_memory("self").1);
    }
    Ok(Figures {
        proxies: args.proxies,
        servers: args.servers,
        slices: args.slices,
        news_ms: relay_read.as_secs_f64() * 1e3,
        list_ms: list_read.as_secs_f64() * 1e3,
        start_ms,
        steady,
        releases: fleet.take_figures(since),
        memory_kb_first: memory_kb.first().copied().unwrap_or(0),
        memory_kb_last: memory_kb.last().copied().unwrap_or(0),
    })
}
