//! Clients at a set rate, open loop: RPCs come when they come, whatever became of those before. Each repeats by
//! itself what its method allows, and nothing else.

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
use crate::record::{Recorder, Seen};

/// The proxies that a plain front layer would spread clients over.
pub type Front = Arc<Mutex<Vec<(Arc<str>, SocketAddr)>>>;

#[derive(Default)]
pub struct Totals {
    pub rpcs: AtomicU64,
    pub ok: AtomicU64,
    pub in_time: AtomicU64,
    pub tries: AtomicU64,
    pub not_sent: AtomicU64,
    /// Final failures by reason.
    pub failures: Mutex<BTreeMap<String, u64>>,
}

pub struct Clients {
    pub service: Arc<Service>,
    pub load: Load,
    pub front: Front,
    pub record: Recorder,
    pub drivers: Drivers,
    pub workers: Workers,
    pub seed: u64,
    /// Times the usual rate, in thousandths.
    pub rate: Arc<AtomicU64>,
    pub stop: Arc<AtomicBool>,
    pub totals: Arc<Totals>,
    pub micros: Arc<Mutex<Histogram<u64>>>,
}

struct Caller {
    service: Arc<Service>,
    front: Front,
    record: Recorder,
    drivers: Drivers,
    clients: Mutex<HashMap<SocketAddr, Client>>,
    totals: Arc<Totals>,
    micros: Arc<Mutex<Histogram<u64>>>,
    retries: Vec<u32>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Clients {
    /// Sends until it is stopped, then waits for what is under way.
    pub fn run(self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let caller = Arc::new(Caller {
            service: self.service.clone(),
            front: self.front.clone(),
            record: self.record.clone(),
            drivers: self.drivers.clone(),
            clients: Mutex::default(),
            totals: self.totals.clone(),
            micros: self.micros.clone(),
            retries: self.load.mix.iter().map(|mix| mix.retries).collect(),
        });
        let shares: f64 = self.load.mix.iter().map(|mix| mix.share).sum();
        let (mut due, mut number) = (Instant::now(), 0u64);
        let open = Arc::new(AtomicU64::new(0));
        while !self.stop.load(Ordering::Relaxed) {
            let rps = self.load.rps * self.rate.load(Ordering::Relaxed) as f64 / 1000.0;
            if rps <= 0.0 {
                thread::park_timeout(Duration::from_millis(20));
                due = Instant::now();
                continue;
            }
            // Gaps of a Poisson stream; what is late is sent at once, and counts from when it was due.
            let gap = -(1.0 - rng.random::<f64>()).ln() / rps;
            due += Duration::from_secs_f64(gap.min(1.0));
            while let Some(left) = due.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
                thread::park_timeout(left);
            }
            let mut left = rng.random::<f64>() * shares;
            let method = self.load.mix.iter().position(|mix| {
                left -= mix.share;
                left < 0.0
            });
            let method = method.unwrap_or(0);
            // Few keys are asked for often: the square of an even draw leans to the low ones.
            let key = (rng.random::<f64>().powi(2) * self.load.keys as f64) as u64;
            number += 1;
            let (rpc, came, pick) = (number, due, rng.random::<u64>());
            self.totals.rpcs.fetch_add(1, Ordering::Relaxed);
            open.fetch_add(1, Ordering::Relaxed);
            let (job, count) = (caller.clone(), open.clone());
            let sent = self.workers.run(move || {
                job.call(rpc, method, key, came, pick);
                count.fetch_sub(1, Ordering::Relaxed);
            });
            if sent.is_err() {
                open.fetch_sub(1, Ordering::Relaxed);
                self.totals.not_sent.fetch_add(1, Ordering::Relaxed);
            }
        }
        let longest = self.service.methods.iter().map(|m| m.deadline).max().unwrap_or_default();
        let until = Instant::now() + longest * 2;
        while open.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            thread::park_timeout(Duration::from_millis(10));
        }
    }
}

impl Caller {
    fn client(&self, addr: SocketAddr) -> Result<Client, CallError> {
        if let Some(client) = lock(&self.clients).get(&addr).filter(|client| client.alive()) {
            return Ok(client.clone());
        }
        let limits = Limits { handshake: Duration::from_secs(1), ..Limits::default() };
        let client = Client::connect(addr, limits, &self.drivers)?;
        lock(&self.clients).insert(addr, client.clone());
        Ok(client)
    }

    fn call(&self, rpc: u64, method: usize, key: u64, came: Instant, pick: u64) {
        let about = &self.service.methods[method];
        let key = format!("key-{key}");
        let slice = self.service.slice_of(key.as_bytes());
        let until = came + about.deadline;
        let mut tries = 0;
        let (proxy, result) = loop {
            let chosen = {
                let front = lock(&self.front);
                match front.len() {
                    0 => return,
                    count => front[(pick.wrapping_add(tries) % count as u64) as usize].clone(),
                }
            };
            let left = until.saturating_duration_since(Instant::now());
            self.totals.tries.fetch_add(1, Ordering::Relaxed);
            let headers = [(KEY_HEADER, key.clone()), ("whinhill-rpc", rpc.to_string())];
            let send = || {
                let client = self.client(chosen.1)?;
                client.unary(&about.path, &headers, Bytes::from_static(b"a request"), left)
            };
            // A connection that was just closed for idleness is no failure of the service: the client dials again.
            let result = match send() {
                Err(CallError::NeverRan(NeverRan::AboveGoAway | NeverRan::NeverWritten)) => send(),
                other => other,
            };
            tries += 1;
            let again = match &result {
                Ok(_) => false,
                Err(error) => about.effect == Effect::Idempotent || pushed_back(error),
            };
            let left = until.saturating_duration_since(Instant::now());
            if !again || tries > u64::from(self.retries[method]) || left < Duration::from_millis(60) {
                break (chosen.0, result);
            }
            thread::sleep(Duration::from_millis(50).min(left));
        };
        let took = came.elapsed();
        let ok = result.is_ok();
        let in_time = ok && took <= about.soft_deadline;
        let no_line =
            matches!(&result, Err(CallError::Status { message, .. }) if message.contains("no-line"));
        self.totals.ok.fetch_add(u64::from(ok), Ordering::Relaxed);
        self.totals.in_time.fetch_add(u64::from(in_time), Ordering::Relaxed);
        if let Err(error) = &result {
            let mut failures = lock(&self.totals.failures);
            let reason = reason(error);
            if failures.len() < REASONS || failures.contains_key(&reason) {
                *failures.entry(reason).or_default() += 1;
            }
        }
        if ok {
            // A value over the histogram's range counts as its highest.
            lock(&self.micros).saturating_record(took.as_micros() as u64);
        }
        self.record.note(Seen::Answered { rpc, proxy, slice, ok, in_time, no_line });
    }
}

/// Reasons of failures that are told apart at most.
const REASONS: usize = 64;

/// A failure in a few words, without what differs from RPC to RPC.
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

/// Whether nothing can have run: pushed back by the proxy itself, or proof that it never began.
fn pushed_back(error: &CallError) -> bool {
    match error {
        CallError::Status { code: Code::Unavailable, message } => message.contains("pushed back"),
        other => other.never_ran().is_some(),
    }
}
