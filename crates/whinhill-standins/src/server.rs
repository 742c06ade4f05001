//! The stand-in for a server of the service: cores, a queue, a warm-up and faults. It records the start and the end of
//! each execution.

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
use whinhill_xds::{encode_base64, HEALTH_PATH, ORCA_TRAILER};

use crate::recorder::{Event, Recorder};

/// The current faults of a server.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The factor by which work takes longer; values below 1 count as 1.
    pub slowdown: f64,
    /// Accepts RPCs and answers none.
    pub silent: bool,
    /// The share of RPCs that fail at once.
    pub error_share: f64,
    /// The method whose RPCs fail; `None`: all methods.
    pub error_method: Option<usize>,
    /// The share of answers that are lost after the work is done.
    pub lost_answer_share: f64,
    /// Seconds for which one write in twenty goes on after its work, cancelled or not, without an answer. Used to
    /// rehearse the audit.
    pub uncancellable_write_s: f64,
}

/// The configuration of a server.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    pub listen: SocketAddr,
    pub cores: usize,
    /// Work in core-seconds that a core does in a second.
    pub speed: f64,
    /// Whether it starts cold.
    pub cold: bool,
    /// The share of its full capacity that it has when it starts cold.
    pub cold_capacity: f64,
    /// How long it then takes to reach its full capacity.
    pub warm_up: Duration,
    /// Most RPCs that wait for a core.
    pub max_queue: usize,
    /// Mean work of each method, in core-seconds.
    pub mean_work: Vec<f64>,
    pub service: Arc<Service>,
    pub seed: u64,
}

struct State {
    /// RPCs that are executed.
    busy: usize,
    /// RPCs that wait for a core.
    queued: usize,
    rng: ChaCha8Rng,
    faults: Faults,
}

struct Inner {
    name: Arc<str>,
    config: ServerConfig,
    started: Instant,
    state: Mutex<State>,
    /// Notified when a core becomes free.
    core_freed: Condvar,
    recorder: Recorder,
    served: AtomicU64,
}

/// A running server. Dropping it ends it at once: its connections break and unfinished work is lost.
pub struct ServerStandIn {
    inner: Arc<Inner>,
    _listener: Listener,
    _drivers: Drivers,
}

impl ServerStandIn {
    /// Starts a server that serves RPCs on the threads of `workers`.
    pub fn start(config: ServerConfig, workers: &Workers, recorder: &Recorder) -> io::Result<Self> {
        // The server has its own driver, so that dropping the server ends its connections, as the end of a process
        // would.
        let drivers = Drivers::start("server", 1)?;
        let inner_cell: Arc<std::sync::OnceLock<Arc<Inner>>> = Arc::default();
        let (cell_for_calls, pool) = (inner_cell.clone(), workers.clone());
        let limits = Limits { max_connections: 1024, idle: Duration::from_secs(30), ..Limits::default() };
        let listener = Listener::start("server", config.listen, limits, &drivers, move |call| {
            let Some(inner) = cell_for_calls.get().cloned() else { return call.refuse_stream() };
            pool.run_with(call, move |call| inner.serve(call), ServerCall::refuse_stream);
        })?;
        let name: Arc<str> = listener.addr().to_string().into();
        let rng = ChaCha8Rng::seed_from_u64(config.seed);
        let capacity = config.cores as f64 * config.speed;
        recorder.add(Event::ServerStarted { server: name.clone(), cold: config.cold, capacity });
        let state = State { busy: 0, queued: 0, rng, faults: Faults::default() };
        let inner = Arc::new(Inner {
            name,
            config,
            started: Instant::now(),
            state: Mutex::new(state),
            core_freed: Condvar::new(),
            recorder: recorder.clone(),
            served: AtomicU64::new(0),
        });
        let _ = inner_cell.set(inner.clone());
        Ok(ServerStandIn { inner, _listener: listener, _drivers: drivers })
    }

    /// Its name: the address at which it listens.
    pub fn name(&self) -> &Arc<str> {
        &self.inner.name
    }

    /// The number of RPCs that it has answered.
    pub fn served(&self) -> u64 {
        self.inner.served.load(Ordering::Relaxed)
    }

    /// Changes its faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.inner.state().faults);
    }
}

impl Inner {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The share of its full capacity that it has now.
    fn capacity_share(&self) -> f64 {
        if !self.config.cold {
            return 1.0;
        }
        let age = self.started.elapsed().as_secs_f64() / self.config.warm_up.as_secs_f64().max(1e-3);
        (self.config.cold_capacity + (1.0 - self.config.cold_capacity) * age).min(1.0)
    }

    /// Trailers with the server's current load, as an ORCA report.
    fn load_report(&self) -> Trailers {
        let state = self.state();
        let metrics = [("in_hand", (state.busy + state.queued) as f64), ("queue", state.queued as f64)];
        let cpu = state.busy as f64 / self.config.cores.max(1) as f64;
        drop(state);
        let metrics: HashMap<String, f64> = metrics.into_iter().map(|(k, v)| (k.to_string(), v)).collect();
        let report = OrcaLoadReport { cpu_utilization: cpu, named_metrics: metrics };
        let mut trailers = Trailers::new();
        if let Ok(value) = HeaderValue::from_str(&encode_base64(&report.encode_to_vec())) {
            trailers.insert(ORCA_TRAILER, value);
        }
        trailers
    }

    fn serve(&self, mut call: ServerCall) {
        let timeout = Duration::from_secs(2);
        if call.path() == HEALTH_PATH {
            if self.state().faults.silent {
                return self.hold_until_cancelled(call);
            }
            let answer = HealthCheckResponse { status: 1 }.encode_to_vec();
            let _ = call.answer(&answer, self.load_report(), timeout);
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
        let method_spec = &self.config.service.methods[method];
        let (write, once) = (method_spec.writes, method_spec.effect == Effect::NonIdempotent);
        let mean_work = self.config.mean_work[method];
        let (work, faults, fails, loses_answer) = {
            let mut state = self.state();
            let faults = state.faults.clone();
            let work = mean_work * state.rng.random_range(0.5..1.5);
            let affects_method = faults.error_method.is_none_or(|m| m == method);
            let fails = affects_method && state.rng.random_bool(faults.error_share.clamp(0.0, 1.0));
            let loses_answer = state.rng.random_bool(faults.lost_answer_share.clamp(0.0, 1.0));
            (work, faults, fails, loses_answer)
        };
        let server = self.name.clone();
        self.recorder.add(Event::RpcArrived { server, rpc, slice, write, proxy, work: mean_work });
        if faults.silent {
            return self.hold_until_cancelled(call);
        }
        if fails {
            return call.refuse(Code::Internal, "a fault put in", Trailers::new());
        }
        let Ok(message) = call.message(timeout) else { return };
        if !self.acquire_core(&mut call) {
            return;
        }
        self.recorder.add(Event::ExecutionStarted { server: self.name.clone(), rpc, slice, write, once });
        let slowdown = faults.slowdown.max(1.0);
        let mut completed = self.execute(&mut call, work, slowdown);
        if write && faults.uncancellable_write_s > 0.0 && self.state().rng.random_bool(0.05) {
            thread::sleep(Duration::from_secs_f64(faults.uncancellable_write_s));
            completed = false;
        }
        // The end is recorded before the core becomes free and the answer is sent, so that no later write seems to
        // overlap this one.
        self.recorder.add(Event::ExecutionEnded { server: self.name.clone(), rpc, slice, write });
        self.state().busy -= 1;
        self.core_freed.notify_one();
        if completed && !loses_answer {
            self.served.fetch_add(1, Ordering::Relaxed);
            let _ = call.answer(&message, self.load_report(), timeout);
        } else if loses_answer {
            self.hold_until_cancelled(call);
        }
    }

    /// Keeps a call open, without an answer, until its client cancels it; at most 20 seconds.
    fn hold_until_cancelled(&self, mut call: ServerCall) {
        let until = Instant::now() + Duration::from_secs(20);
        while !call.cancelled() && Instant::now() < until {
            thread::park_timeout(Duration::from_millis(20));
        }
    }

    /// Waits for a core. False if the queue is full or the client has cancelled the call.
    fn acquire_core(&self, call: &mut ServerCall) -> bool {
        let mut state = self.state();
        if state.queued >= self.config.max_queue {
            drop(state);
            return false;
        }
        state.queued += 1;
        while state.busy >= self.config.cores {
            let waited = self.core_freed.wait_timeout(state, Duration::from_millis(10));
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
            if state.busy >= self.config.cores {
                drop(state);
                let cancelled = call.cancelled();
                state = self.state();
                if cancelled {
                    state.queued -= 1;
                    return false;
                }
            }
        }
        state.queued -= 1;
        state.busy += 1;
        true
    }

    /// Executes the work of a call in steps of at most 10 ms, each at the current speed. False if the call was
    /// cancelled.
    fn execute(&self, call: &mut ServerCall, work: f64, slowdown: f64) -> bool {
        let mut left = work;
        while left > 0.0 {
            let speed = self.config.speed * self.capacity_share() / slowdown;
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
