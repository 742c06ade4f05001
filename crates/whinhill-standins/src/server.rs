//! A server of the service: cores, a queue, warming up, and faults. It writes down each execution begun and ended.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use http::HeaderValue;
use prost::Message;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use whinhill_transport::{Code, Drivers, Limits, Listener, ServerCall, Trailers, Workers};
use whinhill_xds::mapping::{Effect, Service};
use whinhill_xds::proto::{HealthCheckResponse, OrcaLoadReport};
use whinhill_xds::{base64, HEALTH_PATH, ORCA_TRAILER};

use crate::record::{Recorder, Seen};

#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Times slower; 0 counts as 1.
    pub slow: f64,
    /// Takes RPCs and answers none.
    pub silent: bool,
    /// The share of RPCs that fail at once, of one method or of all.
    pub errors: f64,
    pub errors_method: Option<usize>,
    /// The share of answers that are lost after the work was done.
    pub answers_lost: f64,
    /// Seconds for which one write in twenty goes on, whoever gives it up: for rehearsals.
    pub holds_on: f64,
}

#[derive(Clone, Debug)]
pub struct ServerConfig {
    pub listen: SocketAddr,
    pub cores: usize,
    /// Work in core-seconds that a core does in a second.
    pub speed: f64,
    pub cold: bool,
    pub cold_from: f64,
    pub warm_after: Duration,
    pub queue_most: usize,
    /// Mean work of each method, in core-seconds.
    pub work: Vec<f64>,
    pub service: Arc<Service>,
    pub seed: u64,
}

struct State {
    busy: usize,
    waiting: usize,
    rng: ChaCha8Rng,
    faults: Faults,
}

struct Inner {
    name: Arc<str>,
    config: ServerConfig,
    started: Instant,
    state: Mutex<State>,
    freed: Condvar,
    record: Recorder,
    served: AtomicU64,
}

/// A running server. Dropping it ends it at once: connections break, work is lost.
pub struct Server {
    inner: Arc<Inner>,
    _listener: Listener,
    _drivers: Drivers,
}

impl Server {
    pub fn start(config: ServerConfig, workers: &Workers, record: &Recorder) -> io::Result<Self> {
        // A driver of its own: when it is dropped its connections end with it, as with a process.
        let drivers = Drivers::start("server", 1)?;
        let cell: Arc<std::sync::OnceLock<Arc<Inner>>> = Arc::default();
        let (later, pool) = (cell.clone(), workers.clone());
        let limits = Limits { connections_most: 1024, idle: Duration::from_secs(30), ..Limits::default() };
        let listener = Listener::start("server", config.listen, limits, &drivers, move |call| {
            let Some(inner) = later.get().cloned() else { return call.refuse_unseen() };
            pool.hand(call, move |call| inner.serve(call), ServerCall::refuse_unseen);
        })?;
        let name: Arc<str> = listener.addr().to_string().into();
        let rng = ChaCha8Rng::seed_from_u64(config.seed);
        let capacity = config.cores as f64 * config.speed;
        record.note(Seen::Started { server: name.clone(), cold: config.cold, capacity });
        let state = State { busy: 0, waiting: 0, rng, faults: Faults::default() };
        let inner = Arc::new(Inner {
            name,
            config,
            started: Instant::now(),
            state: Mutex::new(state),
            freed: Condvar::new(),
            record: record.clone(),
            served: AtomicU64::new(0),
        });
        let _ = cell.set(inner.clone());
        Ok(Server { inner, _listener: listener, _drivers: drivers })
    }

    pub fn name(&self) -> &Arc<str> {
        &self.inner.name
    }

    pub fn served(&self) -> u64 {
        self.inner.served.load(Ordering::Relaxed)
    }

    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.inner.state().faults);
    }
}

impl Inner {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The part of its full capacity that it has now.
    fn ramp(&self) -> f64 {
        if !self.config.cold {
            return 1.0;
        }
        let age = self.started.elapsed().as_secs_f64() / self.config.warm_after.as_secs_f64().max(1e-3);
        (self.config.cold_from + (1.0 - self.config.cold_from) * age).min(1.0)
    }

    fn load(&self) -> Trailers {
        let state = self.state();
        let named = [("in_hand", (state.busy + state.waiting) as f64), ("queue", state.waiting as f64)];
        let cpu = state.busy as f64 / self.config.cores.max(1) as f64;
        drop(state);
        let named: HashMap<String, f64> = named.into_iter().map(|(k, v)| (k.to_string(), v)).collect();
        let report = OrcaLoadReport { cpu_utilization: cpu, named_metrics: named };
        let mut trailers = Trailers::new();
        if let Ok(value) = HeaderValue::from_str(&base64(&report.encode_to_vec())) {
            trailers.insert(ORCA_TRAILER, value);
        }
        trailers
    }

    fn serve(&self, mut call: ServerCall) {
        let within = Duration::from_secs(2);
        if call.path() == HEALTH_PATH {
            if self.state().faults.silent {
                return self.hold(call);
            }
            let answer = HealthCheckResponse { status: 1 }.encode_to_vec();
            let _ = call.answer(&answer, self.load(), within);
            return;
        }
        let Some(method) = self.config.service.methods.iter().position(|m| m.path == call.path()) else {
            return call.refuse(Code::Unimplemented, "no such method", Trailers::new());
        };
        let number = |name: &str| call.header(name).and_then(|value| value.parse::<u64>().ok());
        let (Some(rpc), Some(slice)) = (number("whinhill-rpc"), number("whinhill-slice")) else {
            return call.refuse(Code::InvalidArgument, "the RPC names no slice", Trailers::new());
        };
        let slice = slice as usize;
        let proxy: Arc<str> = call.header("whinhill-proxy").unwrap_or("?").into();
        let about = &self.config.service.methods[method];
        let (write, once) = (about.writes, about.effect == Effect::NonIdempotent);
        let mean = self.config.work[method];
        let (work, faults, fails, loses) = {
            let mut state = self.state();
            let faults = state.faults.clone();
            let work = mean * state.rng.random_range(0.5..1.5);
            let concerned = faults.errors_method.is_none_or(|m| m == method);
            let fails = concerned && state.rng.random_bool(faults.errors.clamp(0.0, 1.0));
            let loses = state.rng.random_bool(faults.answers_lost.clamp(0.0, 1.0));
            (work, faults, fails, loses)
        };
        let server = self.name.clone();
        self.record.note(Seen::Arrived { server, rpc, slice, write, proxy, work: mean });
        if faults.silent {
            return self.hold(call);
        }
        if fails {
            return call.refuse(Code::Internal, "a fault put in", Trailers::new());
        }
        let Ok(message) = call.message(within) else { return };
        if !self.enter(&mut call) {
            return;
        }
        self.record.note(Seen::Began { server: self.name.clone(), rpc, slice, write, once });
        let slow = faults.slow.max(1.0);
        let mut done = self.work(&mut call, work, slow);
        if write && faults.holds_on > 0.0 && self.state().rng.random_bool(0.05) {
            thread::sleep(Duration::from_secs_f64(faults.holds_on));
            done = false;
        }
        // The end is written down before the core is free and the answer leaves.
        self.record.note(Seen::Ended { server: self.name.clone(), rpc, slice, write });
        self.state().busy -= 1;
        self.freed.notify_one();
        if done && !loses {
            self.served.fetch_add(1, Ordering::Relaxed);
            let _ = call.answer(&message, self.load(), within);
        } else if loses {
            self.hold(call);
        }
    }

    /// Keeps a call until its client gives it up.
    fn hold(&self, mut call: ServerCall) {
        let until = Instant::now() + Duration::from_secs(20);
        while !call.cancelled() && Instant::now() < until {
            thread::park_timeout(Duration::from_millis(20));
        }
    }

    /// Waits for a core. False if the queue is full, or the client has given up.
    fn enter(&self, call: &mut ServerCall) -> bool {
        let mut state = self.state();
        if state.waiting >= self.config.queue_most {
            drop(state);
            return false;
        }
        state.waiting += 1;
        while state.busy >= self.config.cores {
            let waited = self.freed.wait_timeout(state, Duration::from_millis(10));
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
            if state.busy >= self.config.cores {
                drop(state);
                let gone = call.cancelled();
                state = self.state();
                if gone {
                    state.waiting -= 1;
                    return false;
                }
            }
        }
        state.waiting -= 1;
        state.busy += 1;
        true
    }

    /// Works it off; a slice of time at a time, at the speed of the moment. False if it was cancelled on the way.
    fn work(&self, call: &mut ServerCall, work: f64, slow: f64) -> bool {
        let mut left = work;
        while left > 0.0 {
            let speed = self.config.speed * self.ramp() / slow;
            let step = (left / speed).min(0.01);
            let until = Instant::now() + Duration::from_secs_f64(step);
            while let Some(rest) = until.checked_duration_since(Instant::now()).filter(|rest| !rest.is_zero())
            {
                thread::park_timeout(rest);
            }
            left -= step * speed;
            if call.cancelled() {
                return false;
            }
        }
        true
    }
}
