//! `whinhill load`: RPCs at a set rate, open loop. An RPC's time counts from when it was due, not from when a thread
//! was free to send it, so that a target that stands still is seen by all who would have come meanwhile.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use clap::Args;
use crossbeam_channel::{bounded, Receiver};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use whinhill_transport::{grpc_timeout, CallError, Client, Code, Drivers, Limits};

use crate::Failed;

#[derive(Args)]
pub struct LoadArgs {
    /// Where RPCs go: a proxy, or a server direct.
    #[arg(long)]
    pub to: SocketAddr,
    /// A second target, sent every other RPC in the same run: what the first adds is told against it.
    #[arg(long)]
    pub against: Option<SocketAddr>,
    /// The method's path.
    #[arg(long)]
    pub path: String,
    /// RPCs a second, in all.
    #[arg(long, default_value_t = 200.0)]
    pub rate: f64,
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// What is sent in the first seconds is not counted.
    #[arg(long, default_value_t = 1.0)]
    pub warm_up: f64,
    /// Keys, drawn evenly, in the header `whinhill-key`.
    #[arg(long, default_value_t = 1000)]
    pub keys: u64,
    /// Bytes of a message.
    #[arg(long, default_value_t = 64)]
    pub bytes: usize,
    #[arg(long, default_value_t = 2000)]
    pub deadline_ms: u64,
    /// RPCs in hand at a time; those due beyond wait, and their wait counts.
    #[arg(long, default_value_t = 256)]
    pub in_hand: usize,
    /// Connections to each target.
    #[arg(long, default_value_t = 4)]
    pub connections: usize,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// A header to send along, as `name=value`: what a server wants that a proxy would add.
    #[arg(long = "header", value_parser = header)]
    pub headers: Vec<(String, String)>,
    /// Only the object.
    #[arg(long)]
    pub json: bool,
}

fn header(text: &str) -> Result<(String, String), String> {
    let (name, value) = text.split_once('=').ok_or("name=value is expected")?;
    Ok((name.to_ascii_lowercase(), value.to_string()))
}

/// Reasons of failures that are told apart; the rest are counted together.
const REASONS_MOST: usize = 8;
/// Up to a minute in microseconds, to three digits.
const LONGEST_US: u64 = 60_000_000;
/// RPCs that may be due and unsent before the run gives up on more: ten seconds of a high rate.
const DUE_MOST: usize = 100_000;
const STACK: usize = whinhill_transport::CALL_STACK;

struct Target {
    addr: SocketAddr,
    clients: Vec<Mutex<Option<Client>>>,
    sent: AtomicU64,
    ok: AtomicU64,
    pushed_back: AtomicU64,
    late: AtomicU64,
    failed: AtomicU64,
    reasons: Mutex<BTreeMap<String, u64>>,
    micros: Mutex<Histogram<u64>>,
}

struct Due {
    at: Instant,
    target: usize,
    key: u64,
    number: u64,
    connection: usize,
    counts: bool,
}

#[derive(Debug, Serialize)]
pub struct TargetFigures {
    pub to: SocketAddr,
    pub sent: u64,
    pub ok: u64,
    pub pushed_back: u64,
    /// Not answered by the deadline.
    pub late: u64,
    pub failed: u64,
    /// What failed, by the first words of the reason.
    pub reasons: BTreeMap<String, u64>,
    pub p50_us: u64,
    pub p90_us: u64,
    pub p99_us: u64,
    pub p999_us: u64,
    pub max_us: u64,
}

#[derive(Debug, Serialize)]
pub struct Added {
    pub p50_us: i64,
    pub p99_us: i64,
    pub p999_us: i64,
}

#[derive(Debug, Serialize)]
pub struct Figures {
    pub rate: f64,
    pub seconds: f64,
    /// Due but never sent, since too many were waiting.
    pub not_sent: u64,
    pub targets: Vec<TargetFigures>,
    /// What the first target adds to the second.
    pub added: Option<Added>,
}

impl Target {
    fn new(addr: SocketAddr, connections: usize) -> Result<Self, Failed> {
        let micros = Histogram::new_with_bounds(1, LONGEST_US, 3);
        Ok(Target {
            addr,
            clients: (0..connections).map(|_| Mutex::default()).collect(),
            sent: AtomicU64::new(0),
            ok: AtomicU64::new(0),
            pushed_back: AtomicU64::new(0),
            late: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            reasons: Mutex::default(),
            micros: Mutex::new(micros.map_err(|error| Failed::Running(error.to_string()))?),
        })
    }

    fn client(&self, place: usize, drivers: &Drivers) -> Result<Client, CallError> {
        {
            let held = self.clients[place].lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(client) = held.as_ref().filter(|client| client.alive()) {
                return Ok(client.clone());
            }
        }
        // Two may connect at once; the later one's connection is kept.
        let client = Client::connect(self.addr, Limits::default(), drivers)?;
        *self.clients[place].lock().unwrap_or_else(PoisonError::into_inner) = Some(client.clone());
        Ok(client)
    }

    fn note(&self, reason: &str) {
        let mut reasons = self.reasons.lock().unwrap_or_else(PoisonError::into_inner);
        let short: String = reason.chars().take(60).collect();
        let fits = reasons.len() < REASONS_MOST || reasons.contains_key(&short);
        *reasons.entry(if fits { short } else { "others".to_string() }).or_insert(0) += 1;
    }

    fn read(&self) -> TargetFigures {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let micros = self.micros.lock().unwrap_or_else(PoisonError::into_inner);
        let at = |quantile: f64| micros.value_at_quantile(quantile);
        TargetFigures {
            to: self.addr,
            sent: get(&self.sent),
            ok: get(&self.ok),
            pushed_back: get(&self.pushed_back),
            late: get(&self.late),
            failed: get(&self.failed),
            reasons: self.reasons.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            p50_us: at(0.5),
            p90_us: at(0.9),
            p99_us: at(0.99),
            p999_us: at(0.999),
            max_us: micros.max(),
        }
    }
}

struct Sender {
    targets: Arc<Vec<Target>>,
    due: Receiver<Due>,
    drivers: Drivers,
    path: String,
    message: Vec<u8>,
    headers: Vec<(&'static str, String)>,
    deadline: Duration,
}

impl Sender {
    fn run(self) {
        for due in &self.due {
            let target = &self.targets[due.target];
            let result = self.call(target, &due);
            if !due.counts {
                continue;
            }
            target.sent.fetch_add(1, Ordering::Relaxed);
            let counter = match &result {
                Ok(()) => &target.ok,
                Err(CallError::Status { code: Code::Unavailable | Code::ResourceExhausted, .. }) => {
                    &target.pushed_back
                }
                Err(CallError::Deadline(_) | CallError::Status { code: Code::DeadlineExceeded, .. }) => {
                    &target.late
                }
                Err(error) => {
                    target.note(&error.to_string());
                    &target.failed
                }
            };
            counter.fetch_add(1, Ordering::Relaxed);
            if result.is_ok() {
                let micros = due.at.elapsed().as_micros() as u64;
                target.micros.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(micros);
            }
        }
    }

    fn call(&self, target: &Target, due: &Due) -> Result<(), CallError> {
        let left = self.deadline.saturating_sub(due.at.elapsed());
        if left.is_zero() {
            return Err(CallError::Deadline(self.deadline));
        }
        let client = target.client(due.connection, &self.drivers)?;
        let mut headers = vec![
            ("whinhill-key", format!("key-{}", due.key)),
            ("whinhill-rpc", due.number.to_string()),
            ("grpc-timeout", grpc_timeout(left)),
        ];
        headers.extend(self.headers.iter().cloned());
        client.unary(&self.path, &headers, self.message.clone().into(), left).map(drop)
    }
}

pub fn run(args: &LoadArgs) -> Result<(), Failed> {
    let figures = measure(args)?;
    if !args.json {
        for t in &figures.targets {
            println!(
                "{}: {} sent, {} ok, {} pushed back, {} late, {} failed; p50 {} us, p99 {} us, p99.9 {} us, most {} us",
                t.to, t.sent, t.ok, t.pushed_back, t.late, t.failed, t.p50_us, t.p99_us, t.p999_us, t.max_us
            );
        }
    }
    let text = serde_json::to_string(&figures).map_err(|error| Failed::Running(error.to_string()))?;
    println!("{text}");
    Ok(())
}

pub fn measure(args: &LoadArgs) -> Result<Figures, Failed> {
    let sane = args.rate > 0.0 && args.rate <= 200_000.0 && args.seconds > 0.0 && args.warm_up >= 0.0;
    let bounded_by = (1..=10_000).contains(&args.in_hand) && (1..=1000).contains(&args.connections);
    if !sane || !bounded_by || args.keys == 0 || !args.path.starts_with('/') {
        return Err(Failed::Usage(
            "expected: rate up to 200000, seconds and keys over 0, in-hand up to 10000, connections up to 1000, a path with a leading /".into(),
        ));
    }
    let failed = |error: &dyn std::fmt::Display| Failed::Running(error.to_string());
    let drivers = Drivers::start("load", 2).map_err(|error| failed(&error))?;
    let all: Vec<SocketAddr> = [Some(args.to), args.against].into_iter().flatten().collect();
    let targets =
        all.iter().map(|addr| Target::new(*addr, args.connections)).collect::<Result<Vec<_>, _>>()?;
    let targets = Arc::new(targets);
    // Few, once a run, and wanted to its end.
    let named =
        |(name, value): &(String, String)| (&*Box::leak(name.clone().into_boxed_str()), value.clone());
    let headers: Vec<(&'static str, String)> = args.headers.iter().map(named).collect();
    let (give, take) = bounded(DUE_MOST);
    let mut threads = Vec::new();
    for number in 0..args.in_hand {
        let sender = Sender {
            targets: targets.clone(),
            due: take.clone(),
            drivers: drivers.clone(),
            path: args.path.clone(),
            message: vec![b'x'; args.bytes],
            headers: headers.clone(),
            deadline: Duration::from_millis(args.deadline_ms),
        };
        let thread = thread::Builder::new().name(format!("load-{number}")).stack_size(STACK);
        threads.push(thread.spawn(move || sender.run()).map_err(|error| failed(&error))?);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let start = Instant::now();
    let (counted_from, end) = (args.warm_up, args.warm_up + args.seconds);
    let (mut at, mut number, mut not_sent) = (0.0, 0usize, 0);
    while at < end {
        // Gaps of a Poisson stream.
        at += -(1.0 - rng.random::<f64>()).ln() / args.rate;
        let due = start + Duration::from_secs_f64(at);
        while let Some(left) = due.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
            thread::park_timeout(left);
        }
        number += 1;
        let counts = at >= counted_from && at < end;
        let (target, connection) = (number % targets.len(), rng.random_range(0..args.connections));
        let one = Due {
            at: due,
            target,
            key: rng.random_range(0..args.keys),
            number: number as u64,
            connection,
            counts,
        };
        not_sent += u64::from(give.try_send(one).is_err() && counts);
    }
    drop(give);
    for thread in threads {
        // One that panicked has said so.
        let _ = thread.join();
    }
    let targets: Vec<TargetFigures> = targets.iter().map(Target::read).collect();
    let added = match &targets[..] {
        [to, against] => {
            let more = |of: fn(&TargetFigures) -> u64| of(to) as i64 - of(against) as i64;
            Some(Added {
                p50_us: more(|t| t.p50_us),
                p99_us: more(|t| t.p99_us),
                p999_us: more(|t| t.p999_us),
            })
        }
        _ => None,
    };
    Ok(Figures { rate: args.rate, seconds: args.seconds, not_sent, targets, added })
}
