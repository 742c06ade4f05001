//! Clients that send RPCs at a given rate in an open loop: the next RPC never waits for an earlier one. Clients retry
//! only as far as the method allows it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use whinhill_proxy::KEY_HEADER;
use whinhill_transport::{CallError, Client, Code, Drivers, Limits, NeverRan, Workers};
use whinhill_xds::mapping::{Effect, Service};

use crate::day::Load;
use crate::recorder::{Event, Recorder};

/// Delay before a client retries an RPC.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// With less time than this left until its deadline an RPC is not retried.
const MIN_TIME_TO_RETRY: Duration = Duration::from_millis(60);

/// Names and addresses of the proxies over which clients are spread.
pub type ProxyAddrs = Arc<Mutex<Vec<(Arc<str>, SocketAddr)>>>;

/// What clients count.
#[derive(Default)]
pub struct Counters {
    /// RPCs, each counted once.
    pub rpcs: AtomicU64,
    /// RPCs with a successful final answer.
    pub ok: AtomicU64,
    /// Those of them that were answered within the soft deadline.
    pub in_time: AtomicU64,
    /// Tries of all RPCs by clients.
    pub tries: AtomicU64,
    /// RPCs that were not sent because no thread was free.
    pub not_sent: AtomicU64,
    /// RPCs whose final answer was a failure, by reason.
    pub failures: Mutex<BTreeMap<String, u64>>,
}

/// Sends the load of a day.
pub struct LoadGenerator {
    pub service: Arc<Service>,
    pub load: Load,
    pub proxies: ProxyAddrs,
    pub recorder: Recorder,
    pub drivers: Drivers,
    pub workers: Workers,
    pub seed: u64,
    /// The current rate, in thousandths of the load's rate.
    pub rate: Arc<AtomicU64>,
    pub stop: Arc<AtomicBool>,
    pub counters: Arc<Counters>,
    pub latencies_us: Arc<Mutex<Histogram<u64>>>,
}

/// Sends single RPCs; shared by the threads that do so.
struct RpcSender {
    service: Arc<Service>,
    proxies: ProxyAddrs,
    recorder: Recorder,
    drivers: Drivers,
    clients: Mutex<HashMap<SocketAddr, Client>>,
    counters: Arc<Counters>,
    latencies_us: Arc<Mutex<Histogram<u64>>>,
    retries: Vec<u32>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LoadGenerator {
    /// Sends RPCs until it is stopped, then waits for those in flight.
    pub fn run(self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let sender = Arc::new(RpcSender {
            service: self.service.clone(),
            proxies: self.proxies.clone(),
            recorder: self.recorder.clone(),
            drivers: self.drivers.clone(),
            clients: Mutex::default(),
            counters: self.counters.clone(),
            latencies_us: self.latencies_us.clone(),
            retries: self.load.mix.iter().map(|mix| mix.retries).collect(),
        });
        let shares: f64 = self.load.mix.iter().map(|mix| mix.share).sum();
        let (mut due, mut number) = (Instant::now(), 0u64);
        let in_flight = Arc::new(AtomicU64::new(0));
        while !self.stop.load(Ordering::Relaxed) {
            let rps = self.load.rps * self.rate.load(Ordering::Relaxed) as f64 / 1000.0;
            if rps <= 0.0 {
                thread::park_timeout(Duration::from_millis(20));
                due = Instant::now();
                continue;
            }
            // Arrivals form a Poisson process. An RPC that is late is sent at once; its latency counts from its due
            // time.
            let gap = -(1.0 - rng.random::<f64>()).ln() / rps;
            due += Duration::from_secs_f64(gap.min(1.0));
            while let Some(left) = due.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
                thread::park_timeout(left);
            }
            let mut remaining_share = rng.random::<f64>() * shares;
            let method = self.load.mix.iter().position(|mix| {
                remaining_share -= mix.share;
                remaining_share < 0.0
            });
            let method = method.unwrap_or(0);
            // Some keys are used more often than others: the square of a uniform draw favours low numbers.
            let key = (rng.random::<f64>().powi(2) * self.load.keys as f64) as u64;
            number += 1;
            let (rpc, due, proxy_choice) = (number, due, rng.random::<u64>());
            self.counters.rpcs.fetch_add(1, Ordering::Relaxed);
            in_flight.fetch_add(1, Ordering::Relaxed);
            let (sender, in_flight_rpcs) = (sender.clone(), in_flight.clone());
            let sent = self.workers.run(move || {
                sender.call(rpc, method, key, due, proxy_choice);
                in_flight_rpcs.fetch_sub(1, Ordering::Relaxed);
            });
            if sent.is_err() {
                in_flight.fetch_sub(1, Ordering::Relaxed);
                self.counters.not_sent.fetch_add(1, Ordering::Relaxed);
            }
        }
        let max_deadline = self.service.methods.iter().map(|m| m.deadline).max().unwrap_or_default();
        let until = Instant::now() + max_deadline * 2;
        while in_flight.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            thread::park_timeout(Duration::from_millis(10));
        }
    }
}

impl RpcSender {
    /// An open connection to a proxy.
    fn client(&self, addr: SocketAddr) -> Result<Client, CallError> {
        if let Some(client) = lock(&self.clients).get(&addr).filter(|client| client.is_alive()) {
            return Ok(client.clone());
        }
        let limits = Limits { handshake: Duration::from_secs(1), ..Limits::default() };
        let client = Client::connect(addr, limits, &self.drivers)?;
        lock(&self.clients).insert(addr, client.clone());
        Ok(client)
    }

    /// Sends one RPC with its retries, and records its final answer.
    fn call(&self, rpc: u64, method: usize, key: u64, due: Instant, proxy_choice: u64) {
        let method_spec = &self.service.methods[method];
        let key = format!("key-{key}");
        let slice = self.service.slice_of(key.as_bytes());
        let until = due + method_spec.deadline;
        let mut tries = 0;
        let (proxy, result) = loop {
            let chosen = {
                let proxies = lock(&self.proxies);
                match proxies.len() {
                    // No proxy is up: the RPC is counted in `rpcs` and gets no answer.
                    0 => return,
                    count => proxies[(proxy_choice.wrapping_add(tries) % count as u64) as usize].clone(),
                }
            };
            let left = until.saturating_duration_since(Instant::now());
            self.counters.tries.fetch_add(1, Ordering::Relaxed);
            let headers = [(KEY_HEADER, key.clone()), ("whinhill-rpc", rpc.to_string())];
            let send = || {
                let client = self.client(chosen.1)?;
                client.unary(&method_spec.path, &headers, Bytes::from_static(b"a request"), left)
            };
            // A connection that was just closed for being idle is no failure of the service: the client reconnects.
            let result = match send() {
                Err(CallError::NeverRan(NeverRan::AboveGoAway | NeverRan::NeverWritten)) => send(),
                other => other,
            };
            tries += 1;
            let may_retry = match &result {
                Ok(_) => false,
                Err(error) => method_spec.effect == Effect::Idempotent || cannot_have_run(error),
            };
            let left = until.saturating_duration_since(Instant::now());
            if !may_retry || tries > u64::from(self.retries[method]) || left < MIN_TIME_TO_RETRY {
                break (chosen.0, result);
            }
            thread::sleep(RETRY_DELAY.min(left));
        };
        let took = due.elapsed();
        let ok = result.is_ok();
        let in_time = ok && took <= method_spec.soft_deadline;
        let no_line =
            matches!(&result, Err(CallError::Status { message, .. }) if message.contains("no-line"));
        self.counters.ok.fetch_add(u64::from(ok), Ordering::Relaxed);
        self.counters.in_time.fetch_add(u64::from(in_time), Ordering::Relaxed);
        if let Err(error) = &result {
            let mut failures = lock(&self.counters.failures);
            let reason = reason(error);
            if failures.len() < MAX_REASONS || failures.contains_key(&reason) {
                *failures.entry(reason).or_default() += 1;
            }
        }
        if ok {
            // Latencies above the histogram's range count as its maximum.
            lock(&self.latencies_us).saturating_record(took.as_micros() as u64);
        }
        self.recorder.add(Event::RpcAnswered { rpc, proxy, slice, ok, in_time, no_line });
    }
}

/// Most distinct reasons of failures that are counted; failures with any further reason appear in no count.
const MAX_REASONS: usize = 64;

/// A short description of a failure, without details that differ from RPC to RPC.
fn reason(error: &CallError) -> String {
    match error {
        CallError::Status { code, message } => {
            format!("{code:?}: {}", message.chars().take(40).collect::<String>())
        }
        CallError::Deadline(_) => "deadline at the client".to_string(),
        CallError::NeverRan(proof) => format!("never ran: {proof:?}"),
        _ => "stream or connection lost".to_string(),
    }
}

/// Whether the RPC can't have been executed: the proxy pushed it back, or the error proves that it never ran.
fn cannot_have_run(error: &CallError) -> bool {
    match error {
        CallError::Status { code: Code::Unavailable, message } => message.contains("pushed back"),
        other => other.never_ran().is_some(),
    }
}
