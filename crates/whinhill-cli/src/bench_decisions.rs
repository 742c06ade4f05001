//! `whinhill bench decisions`: what the module costs at a fleet's size, by events made up in place of a fleet.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use clap::Args;
use serde::Serialize;
use whinhill::interface::{Entry, Ep, Event, ListKind, Listed, LoadReport, Order, Settings};
use whinhill::Assigner;
use whinhill_assigner::process_figures_of;
use whinhill_names::Names;
use whinhill_platform::discovery::Asking;
use whinhill_platform::relay::news::{News, Owed, Place};

use crate::Failed;

#[derive(Args)]
pub struct DecisionsBench {
    #[arg(long, default_value_t = 2400)]
    proxies: u32,
    #[arg(long, default_value_t = 200)]
    servers: usize,
    #[arg(long, default_value_t = 900)]
    slices: usize,
    /// How often every server is replaced.
    #[arg(long, default_value_t = 10)]
    releases: usize,
}

/// Times are of the machine that measures, memory is the process's.
#[derive(Debug, Serialize)]
struct Figures {
    proxies: u32,
    servers: usize,
    slices: usize,
    /// Reading what the platform's relay tells first: all proxies, all slices and their lines.
    news_ms: f64,
    /// Reading discovery's whole list.
    list_ms: f64,
    /// The module's batch with the first list, all proxies, all slices and their lines.
    start_ms: f64,
    steady: Batches,
    releases: Batches,
    /// Resident memory after the first and the last release, in KiB.
    memory_kb_first: u64,
    memory_kb_last: u64,
}

#[derive(Debug, Default, Serialize)]
struct Batches {
    count: usize,
    us_p50: u64,
    us_p99: u64,
    us_most: u64,
    /// Processor time against the time that the events stand for.
    share_of_core: f64,
    orders: u64,
}

const ZONES: usize = 3;
const METHODS: usize = 2;
const PERIOD: Duration = Duration::from_millis(200);
/// Batches of a period: the module asks to be woken so often while much is under way.
const BATCHES: u32 = 4;
const STEADY_PERIODS: usize = 100;
/// Parts of the fleet that a release replaces one after the other, and the periods between them.
const PARTS: usize = 10;
const PERIODS_A_PART: usize = 10;

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

/// The fleet that the module is told of.
struct Fleet<'a> {
    args: &'a DecisionsBench,
    module: Assigner,
    now: Duration,
    /// By place: how many servers have had it, and whether one is there.
    places: Vec<(u64, bool)>,
    marks: BTreeSet<u16>,
    took: Vec<Duration>,
    orders: u64,
}

impl Fleet<'_> {
    fn ep(&self, place: usize) -> Ep {
        Ep { index: place, stable: self.places[place].0 * 1_000_003 + place as u64 }
    }

    fn entry(&self, place: usize, listed: Listed) -> Entry {
        let started = (self.places[place].0 > 0).then_some(self.now);
        Entry { ep: self.ep(place), zone: place % ZONES, listed, size: 1.0, started }
    }

    fn handle(&mut self, events: &[Event]) {
        let began = Instant::now();
        let orders = self.module.handle(self.now, events);
        self.took.push(began.elapsed());
        self.orders += orders.len() as u64;
        self.marks.extend(orders.iter().filter_map(|order| match order {
            Order::Mark { mark } => Some(*mark),
            _ => None,
        }));
    }

    fn start(&mut self) {
        let entries = |fleet: &Self| {
            (0..fleet.args.servers).map(|place| fleet.entry(place, Listed::Ready)).collect::<Vec<_>>()
        };
        let list = |kind| Event::List { kind, entries: entries(self) };
        let mut events = vec![list(ListKind::Stored), list(ListKind::Full)];
        events.extend(
            (0..self.args.proxies).map(|proxy| Event::Joined { proxy, zone: proxy as usize % ZONES }),
        );
        for slice in 0..self.args.slices {
            let ep = self.ep(slice % self.args.servers);
            events.extend([Event::Given { slice }, Event::Stored { slice, ep }]);
        }
        self.handle(&events);
    }

    fn met_at(&self, place: usize, zone: usize) -> Event {
        Event::Met {
            ep: self.ep(place),
            zone,
            tries: 8,
            lost: 0,
            wait: Duration::from_millis(20),
            span: PERIOD,
            load: LoadReport::default(),
        }
    }

    /// What proxies met in a period, by zone and server, and what came for each slice.
    fn reports(&self) -> Vec<Event> {
        let there = self.places.iter().enumerate().filter(|(_, (_, there))| *there).map(|(place, _)| place);
        let met = there.flat_map(|place| (0..ZONES).map(move |zone| (place, zone)));
        let demand = |slice: usize, method: usize| Event::Demand {
            slice,
            method,
            rpcs: 2 + (slice % 7) as u64,
            lost: 0,
            span: PERIOD,
        };
        let demands =
            (0..self.args.slices).flat_map(|slice| (0..METHODS).map(move |method| demand(slice, method)));
        met.map(|(place, zone)| self.met_at(place, zone)).chain(demands).collect()
    }

    fn period(&mut self) {
        self.now += PERIOD / BATCHES;
        let reports = self.reports();
        self.handle(&reports);
        for _ in 1..BATCHES {
            self.now += PERIOD / BATCHES;
            let way = PERIOD / BATCHES;
            let marks = std::mem::take(&mut self.marks);
            let answered = marks
                .into_iter()
                .flat_map(|mark| (0..self.args.proxies).map(move |proxy| Event::Acked { proxy, mark, way }));
            let events: Vec<Event> = answered.chain([Event::Timer]).collect();
            self.handle(&events);
        }
    }

    /// Replaces every server, a part at a time: one more of each place comes, and the former one drains and goes.
    fn release(&mut self) {
        let servers = self.args.servers;
        for part in 0..PARTS {
            let former: Vec<usize> = (0..self.places.len())
                .filter(|place| self.places[*place].1 && place % PARTS == part)
                .collect();
            let mut changes: Vec<Entry> =
                former.iter().map(|place| self.entry(*place, Listed::Draining)).collect();
            for place in former.iter().map(|place| (place + servers) % (2 * servers)) {
                self.places[place] = (self.places[place].0 + 1, true);
                changes.push(self.entry(place, Listed::Ready));
            }
            self.handle(&[Event::List { kind: ListKind::Changes, entries: changes }]);
            (0..PERIODS_A_PART).for_each(|_| self.period());
            let gone = former.iter().map(|place| self.entry(*place, Listed::Gone)).collect();
            former.iter().for_each(|place| self.places[*place].1 = false);
            self.handle(&[Event::List { kind: ListKind::Changes, entries: gone }]);
        }
    }

    /// The figures of the batches since the last call, which stood for so much time.
    fn batches(&mut self, since: Duration) -> Batches {
        let mut took = std::mem::take(&mut self.took);
        took.sort_unstable();
        let us = |share: f64| {
            let place = (took.len() as f64 * share) as usize;
            took.get(place.min(took.len().saturating_sub(1))).map_or(0, |took| took.as_micros() as u64)
        };
        let all: Duration = took.iter().sum();
        Batches {
            count: took.len(),
            us_p50: us(0.5),
            us_p99: us(0.99),
            us_most: us(1.0),
            share_of_core: all.as_secs_f64() / (self.now - since).as_secs_f64().max(1e-9),
            orders: std::mem::take(&mut self.orders),
        }
    }
}

/// Times the reading of what the relay tells first.
fn read_news(args: &DecisionsBench, settings: &Settings) -> Result<Duration, Failed> {
    let zone = |proxy: u32| proxy as usize % ZONES;
    let proxies = (0..args.proxies).map(|proxy| format!("* hello {proxy} z{} 20.5 1\r\n", zone(proxy)));
    let server = |slice: usize| slice % args.servers;
    let slices = (0..args.slices)
        .map(|slice| format!("* lease {slice} 1\r\n* line {slice} s-{:08x} 1.0\r\n", server(slice)));
    let text: String = std::iter::once("OK\r\n".to_string()).chain(proxies).chain(slices).collect();
    let (mut news, mut names, mut told) = (News::default(), Names::new(settings), Vec::new());
    news.opened(Place::Current, Duration::ZERO);
    let began = Instant::now();
    let nothing = |_| Owed::Nothing;
    news.take(Place::Current, Duration::ZERO, text.as_bytes(), &mut names, nothing, &mut told)
        .map_err(|error| Failed::Running(error.to_string()))?;
    let took = began.elapsed();
    if news.proxies() != args.proxies as usize || news.slices() != args.slices {
        return Err(Failed::Running(format!("{} proxies and {} slices read", news.proxies(), news.slices())));
    }
    Ok(took)
}

/// Times the reading of discovery's whole list.
fn read_list(args: &DecisionsBench) -> Result<Duration, Failed> {
    let server = |place: usize| {
        format!(
            r#"{{"name":"s-{place:08x}","address":"10.1.{}.{}:8081","zone":"z{}","type":"m2","group":3,"status":"SERVING","weight":1.0,"since_ms":0}}"#,
            place / 250,
            place % 250,
            place % ZONES
        )
    };
    let servers: Vec<String> = (0..args.servers).map(server).collect();
    let line = format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{}]}}\n", servers.join(","));
    let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len());
    let began = Instant::now();
    let taken = Asking::watch().take(text.as_bytes());
    let took = began.elapsed();
    match taken.lists.first() {
        Some(list) if list.servers.len() == args.servers => Ok(took),
        _ => Err(Failed::Running(format!("no list was read: {:?}", taken.fault))),
    }
}

/// Measures, and returns the figures as they are printed.
pub fn measure(args: &DecisionsBench) -> Result<impl Serialize, Failed> {
    if args.servers < PARTS || args.slices == 0 || args.releases == 0 {
        let usage = format!("{PARTS} servers, a slice and a release or more are expected");
        return Err(Failed::Usage(usage));
    }
    let mut settings: Settings =
        Settings(SETTINGS.iter().map(|(path, value)| (path.to_string(), value.to_string())).collect());
    settings.0.insert("familyInfo.shards".into(), args.slices.to_string());
    settings.0.insert("familyInfo.dataPlaneSize".into(), args.proxies.to_string());
    settings
        .0
        .insert("zones".into(), (0..ZONES).map(|zone| format!("z{zone}")).collect::<Vec<_>>().join(","));
    let (news, list) = (read_news(args, &settings)?, read_list(args)?);
    let module = Assigner::new(&settings, 1).map_err(|error| Failed::Running(error.to_string()))?;
    let places = (0..2 * args.servers).map(|place| (0, place < args.servers)).collect();
    let now = Duration::from_secs(100);
    let mut fleet = Fleet { args, module, now, places, marks: BTreeSet::new(), took: Vec::new(), orders: 0 };
    fleet.start();
    let start_ms = fleet.took.drain(..).sum::<Duration>().as_secs_f64() * 1e3;
    let since = fleet.now;
    (0..STEADY_PERIODS).for_each(|_| fleet.period());
    let steady = fleet.batches(since);
    let (since, mut memory) = (fleet.now, Vec::new());
    for _ in 0..args.releases {
        fleet.release();
        memory.push(process_figures_of("self").1);
    }
    Ok(Figures {
        proxies: args.proxies,
        servers: args.servers,
        slices: args.slices,
        news_ms: news.as_secs_f64() * 1e3,
        list_ms: list.as_secs_f64() * 1e3,
        start_ms,
        steady,
        releases: fleet.batches(since),
        memory_kb_first: memory.first().copied().unwrap_or(0),
        memory_kb_last: memory.last().copied().unwrap_or(0),
    })
}
