//! `whinhill load`: an open-loop load generator with a fixed rate. Latency is measured from the time at which an RPC
//! was due, not from when a thread was free to send it, so that a stall of the target shows in all RPCs due meanwhile.

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

use crate::CommandError;

/// Arguments of `whinhill load`.
#[derive(Args)]
pub struct LoadArgs {
    /// Address of the target: a proxy, or a server directly.
    #[arg(long)]
    pub to: SocketAddr,
    /// Second target, which gets every other RPC of the same run; the latency that the first adds is relative to it.
    #[arg(long)]
    pub against: Option<SocketAddr>,
    /// The method's path.
    #[arg(long)]
    pub path: String,
    /// RPCs per second, in total.
    #[arg(long, default_value_t = 200.0)]
    pub rate: f64,
    /// Seconds measured, after the warm-up.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Seconds at the start whose RPCs are not counted.
    #[arg(long, default_value_t = 1.0)]
    pub warm_up: f64,
    /// Number of keys, drawn uniformly, for the header `whinhill-key`.
    #[arg(long, default_value_t = 1000)]
    pub keys: u64,
    /// Bytes of each request message.
    #[arg(long, default_value_t = 64)]
    pub bytes: usize,
    /// Deadline of each RPC, from when it is due.
    #[arg(long, default_value_t = 2000)]
    pub deadline_ms: u64,
    /// Maximum RPCs in flight; further due RPCs wait, and their wait counts as latency.
    #[arg(long = "in-hand", value_name = "IN_HAND", default_value_t = 256)]
    pub in_flight: usize,
    /// Connections to each target.
    #[arg(long, default_value_t = 4)]
    pub connections: usize,
    /// Seed of the random intervals, keys and connections.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Header to send, as `name=value`; for instance one that a proxy would add for the server.
    #[arg(long = "header", value_parser = parse_header)]
    pub headers: Vec<(String, String)>,
    /// Print only the JSON object.
    #[arg(long)]
    pub json: bool,
}

/// Parses a `name=value` argument.
fn parse_header(text: &str) -> Result<(String, String), String> {
    let (name, value) = text.split_once('=').ok_or("expected name=value")?;
    Ok((name.to_ascii_lowercase(), value.to_string()))
}

/// Maximum distinct failure reasons counted separately; the others are counted together.
const MAX_REASONS: usize = 8;
/// Largest latency that the histograms record: a minute in microseconds, with three significant digits.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Maximum RPCs that are due and unsent, ten seconds of a high rate; further ones are not sent.
const MAX_DUE_RPCS: usize = 100_000;
/// Stack size of the sending threads.
const SENDER_STACK_BYTES: usize = whinhill_transport::CALL_STACK;

/// Connections to one target, and the counts and latencies of its RPCs.
struct Target {
    addr: SocketAddr,
    clients: Vec<Mutex<Option<Client>>>,
    sent: AtomicU64,
    ok: AtomicU64,
    pushed_back: AtomicU64,
    late: AtomicU64,
    failed: AtomicU64,
    reasons: Mutex<BTreeMap<String, u64>>,
    latencies_us: Mutex<Histogram<u64>>,
}

/// An RPC that is due.
struct DueRpc {
    due_at: Instant,
    target: usize,
    key: u64,
    number: u64,
    connection: usize,
    /// Whether the RPC counts, as those of the warm-up don't.
    counted: bool,
}

/// Counts and latencies of one target, without the warm-up.
#[derive(Debug, Serialize)]
pub struct TargetFigures {
    pub to: SocketAddr,
    pub sent: u64,
    pub ok: u64,
    /// RPCs answered with UNAVAILABLE or RESOURCE_EXHAUSTED.
    pub pushed_back: u64,
    /// RPCs not answered by the deadline.
    pub late: u64,
    pub failed: u64,
    /// Failed RPCs by the first 60 characters of the reason.
    pub reasons: BTreeMap<String, u64>,
    pub p50_us: u64,
    pub p90_us: u64,
    pub p99_us: u64,
    pub p999_us: u64,
    pub max_us: u64,
}

/// Difference of the latency quantiles of two targets.
#[derive(Debug, Serialize)]
pub struct Added {
    pub p50_us: i64,
    pub p99_us: i64,
    pub p999_us: i64,
}

/// Figures of a run.
#[derive(Debug, Serialize)]
pub struct Figures {
    pub rate: f64,
    pub seconds: f64,
    /// RPCs due but never sent because too many were waiting.
    pub not_sent: u64,
    pub targets: Vec<TargetFigures>,
    /// Latency that the first target adds relative to the second.
    pub added: Option<Added>,
}

impl Target {
    fn new(addr: SocketAddr, connections: usize) -> Result<Self, CommandError> {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        Ok(Target {
            addr,
            clients: (0..connections).map(|_| Mutex::default()).collect(),
            sent: AtomicU64::new(0),
            ok: AtomicU64::new(0),
            pushed_back: AtomicU64::new(0),
            late: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            reasons: Mutex::default(),
            latencies_us: Mutex::new(histogram.map_err(CommandError::runtime)?),
        })
    }

    /// The connection with the index `index`, reconnected if it has closed.
    fn client(&self, index: usize, drivers: &Drivers) -> Result<Client, CallError> {
        {
            let client = self.clients[index].lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(client) = client.as_ref().filter(|client| client.is_alive()) {
                return Ok(client.clone());
            }
        }
        // Two threads may connect at the same time; the connection stored last is kept.
        let client = Client::connect(self.addr, Limits::default(), drivers)?;
        *self.clients[index].lock().unwrap_or_else(PoisonError::into_inner) = Some(client.clone());
        Ok(client)
    }

    /// Counts a failure by the first 60 characters of its reason.
    fn count_reason(&self, reason: &str) {
        let mut reasons = self.reasons.lock().unwrap_or_else(PoisonError::into_inner);
        let short: String = reason.chars().take(60).collect();
        let separate = reasons.len() < MAX_REASONS || reasons.contains_key(&short);
        *reasons.entry(if separate { short } else { "others".to_string() }).or_insert(0) += 1;
    }

    fn figures(&self) -> TargetFigures {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let latencies_us = self.latencies_us.lock().unwrap_or_else(PoisonError::into_inner);
        let at = |quantile: f64| latencies_us.value_at_quantile(quantile);
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
            max_us: latencies_us.max(),
        }
    }
}

/// A thread that sends RPCs one at a time.
struct RpcSender {
    targets: Arc<Vec<Target>>,
    due_rpcs: Receiver<DueRpc>,
    drivers: Drivers,
    path: String,
    message: Vec<u8>,
    headers: Vec<(&'static str, String)>,
    deadline: Duration,
}

impl RpcSender {
    fn run(self) {
        for rpc in &self.due_rpcs {
            let target = &self.targets[rpc.target];
            let result = self.call(target, &rpc);
            if !rpc.counted {
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
                    target.count_reason(&error.to_string());
                    &target.failed
                }
            };
            counter.fetch_add(1, Ordering::Relaxed);
            if result.is_ok() {
                let latency_us = rpc.due_at.elapsed().as_micros() as u64;
                target
                    .latencies_us
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .saturating_record(latency_us);
            }
        }
    }

    fn call(&self, target: &Target, rpc: &DueRpc) -> Result<(), CallError> {
        let left = self.deadline.saturating_sub(rpc.due_at.elapsed());
        if left.is_zero() {
            return Err(CallError::Deadline(self.deadline));
        }
        let client = target.client(rpc.connection, &self.drivers)?;
        let mut headers = vec![
            ("whinhill-key", format!("key-{}", rpc.key)),
            ("whinhill-rpc", rpc.number.to_string()),
            ("grpc-timeout", grpc_timeout(left)),
        ];
        headers.extend(self.headers.iter().cloned());
        client.unary(&self.path, &headers, self.message.clone().into(), left).map(drop)
    }
}

/// Runs the load and prints the figures.
pub fn run(args: &LoadArgs) -> Result<(), CommandError> {
    let figures = measure(args)?;
    if !args.json {
        for target in &figures.targets {
            println!(
                "{}: {} sent, {} ok, {} pushed back, {} late, {} failed; p50 {} us, p99 {} us, p99.9 {} us, max {} us",
                target.to,
                target.sent,
                target.ok,
                target.pushed_back,
                target.late,
                target.failed,
                target.p50_us,
                target.p99_us,
                target.p999_us,
                target.max_us
            );
        }
    }
    let text = serde_json::to_string(&figures).map_err(CommandError::runtime)?;
    println!("{text}");
    Ok(())
}

/// Runs the load and returns the figures.
pub fn measure(args: &LoadArgs) -> Result<Figures, CommandError> {
    let valid_load = args.rate > 0.0 && args.rate <= 200_000.0 && args.seconds > 0.0 && args.warm_up >= 0.0;
    let valid_limits = (1..=10_000).contains(&args.in_flight) && (1..=1000).contains(&args.connections);
    if !valid_load || !valid_limits || args.keys == 0 || !args.path.starts_with('/') {
        return Err(CommandError::Usage(
            "expected: rate up to 200000, seconds and keys over 0, in-hand up to 10000, connections up to 1000, a path with a leading /".into(),
        ));
    }
    let drivers = Drivers::start("load", 2).map_err(CommandError::runtime)?;
    let addrs: Vec<SocketAddr> = [Some(args.to), args.against].into_iter().flatten().collect();
    let targets =
        addrs.iter().map(|addr| Target::new(*addr, args.connections)).collect::<Result<Vec<_>, _>>()?;
    let targets = Arc::new(targets);
    // Header names must be static; these few are leaked once per run, which needs them until its end.
    let static_header =
        |(name, value): &(String, String)| (&*Box::leak(name.clone().into_boxed_str()), value.clone());
    let headers: Vec<(&'static str, String)> = args.headers.iter().map(static_header).collect();
    let (rpc_sender, rpc_receiver) = bounded(MAX_DUE_RPCS);
    let mut threads = Vec::new();
    for number in 0..args.in_flight {
        let sender = RpcSender {
            targets: targets.clone(),
            due_rpcs: rpc_receiver.clone(),
            drivers: drivers.clone(),
            path: args.path.clone(),
            message: vec![b'x'; args.bytes],
            headers: headers.clone(),
            deadline: Duration::from_millis(args.deadline_ms),
        };
        let thread = thread::Builder::new().name(format!("load-{number}")).stack_size(SENDER_STACK_BYTES);
        threads.push(thread.spawn(move || sender.run()).map_err(CommandError::runtime)?);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let start = Instant::now();
    let (counted_from, end) = (args.warm_up, args.warm_up + args.seconds);
    let (mut elapsed_s, mut number, mut not_sent) = (0.0, 0usize, 0);
    while elapsed_s < end {
        // Exponential intervals make a Poisson process.
        elapsed_s += -(1.0 - rng.random::<f64>()).ln() / args.rate;
        let due_at = start + Duration::from_secs_f64(elapsed_s);
        while let Some(left) = due_at.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
            thread::park_timeout(left);
        }
        number += 1;
        let counted = elapsed_s >= counted_from && elapsed_s < end;
        let (target, connection) = (number % targets.len(), rng.random_range(0..args.connections));
        let rpc = DueRpc {
            due_at,
            target,
            key: rng.random_range(0..args.keys),
            number: number as u64,
            connection,
            counted,
        };
        not_sent += u64::from(rpc_sender.try_send(rpc).is_err() && counted);
    }
    drop(rpc_sender);
    for thread in threads {
        // A panic has already been reported on standard error.
        let _ = thread.join();
    }
    let targets: Vec<TargetFigures> = targets.iter().map(Target::figures).collect();
    let added = match &targets[..] {
        [to, against] => {
            let difference = |figure: fn(&TargetFigures) -> u64| figure(to) as i64 - figure(against) as i64;
            Some(Added {
                p50_us: difference(|target| target.p50_us),
                p99_us: difference(|target| target.p99_us),
                p999_us: difference(|target| target.p999_us),
            })
        }
        _ => None,
    };
    Ok(Figures { rate: args.rate, seconds: args.seconds, not_sent, targets, added })
}
