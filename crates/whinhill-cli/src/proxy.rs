//! `whinhill proxy`: reads a proxy's configuration and runs the proxy.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use whinhill_assigner::{ConfigError, ServiceConfig, StatusFile};
use whinhill_proxy::{Dial, InjectedFaults, Pick, PoolLimits, Proxy, ProxyConfig};
use whinhill_standins::running::ProxyFigures;
use whinhill_transport::{Drivers, Limits, Workers, DEFAULT_MEMORY};
use whinhill_xds::Variant;

use crate::{config, lifecycle, CommandError};

/// Configuration file of a proxy.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ProxyFile {
    /// This proxy's unique name.
    pub id: String,
    /// The zone in which the proxy runs.
    pub zone: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// The service, with the same values as in the assigners' configuration.
    pub service: ServiceConfig,
    /// The assigners to which the proxy connects.
    pub assigners: Vec<AssignerAddress>,
    /// Whether to receive tables with the state-of-the-world variant of xDS instead of the incremental one.
    #[serde(default)]
    pub state_of_the_world: bool,
    /// How to pick among the lines of a slice.
    #[serde(default)]
    pub pick: Pick,
    /// Limits and times of the connection pool.
    #[serde(default)]
    pub pool: PoolLimits,
    /// Maximum bytes of one message.
    #[serde(default = "default_max_message")]
    pub message_most: usize,
    /// Maximum bytes of a request's or an answer's body, all messages together.
    #[serde(default = "default_max_body")]
    pub body_most: u64,
    /// Maximum bytes of an RPC's headers, as HTTP/2 counts them.
    #[serde(default = "default_max_headers")]
    pub headers_most: u32,
    /// The memory of the process, in megabytes. RPCs in flight may take half of it, 64 KiB and three times
    /// its head each, and their requests a quarter. A client connection that holds its share is refused further RPCs.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
    /// Maximum RPCs in flight; RPCs above this are pushed back at once.
    #[serde(default = "default_max_in_flight")]
    pub in_hand_most: usize,
    /// Number of threads that drive connections.
    #[serde(default = "default_drivers")]
    pub drivers: usize,
    /// Seed of the proxy's random choices.
    #[serde(default)]
    pub seed: u64,
    /// File to which a line of figures is written five times a second.
    #[serde(default)]
    pub status_file: Option<PathBuf>,
}

/// Name and address of an assigner.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "AssignerAt")]
pub struct AssignerAddress {
    pub name: String,
    pub addr: SocketAddr,
}

fn default_max_message() -> usize {
    4 << 20
}

fn default_max_body() -> u64 {
    64 << 20
}

fn default_max_headers() -> u32 {
    16 << 10
}

fn default_memory_mb() -> usize {
    DEFAULT_MEMORY >> 20
}

/// Memory in bytes that an RPC is reckoned to take besides its head and its request: a thread's stack and the data in
/// windows.
const RPC_MEMORY: usize = 64 << 10;
/// Flow-control window of an RPC in bytes, each way.
const RPC_WINDOW: u32 = 32 << 10;

fn default_max_in_flight() -> usize {
    2048
}

fn default_drivers() -> usize {
    2
}

impl ProxyFile {
    /// Returns all errors of the configuration.
    pub fn validate(&self) -> Vec<ConfigError> {
        let mut errors = Vec::new();
        let mut require = |valid: bool, path: &str, message: &str| {
            if !valid {
                errors.push(ConfigError { path: path.to_string(), message: message.to_string() });
            }
        };
        require(!self.id.is_empty() && self.id.len() <= 200, "id", "expected 1 to 200 bytes");
        require(!self.assigners.is_empty(), "assigners", "expected at least one");
        require((1..=65_534).contains(&self.service.slices), "service.slices", "expected 1 to 65534");
        require(!self.service.methods.is_empty(), "service.methods", "expected at least one");
        require((16..=1 << 20).contains(&self.memory_mb), "memory_mb", "expected 16 to 1048576");
        require((1..=65_536).contains(&self.in_hand_most), "in_hand_most", "expected 1 to 65536");
        require((1..=1 << 30).contains(&self.message_most), "message_most", "expected 1 to 1073741824");
        require(
            self.body_most >= self.message_most as u64,
            "body_most",
            "must not be less than message_most",
        );
        require((1024..=1 << 20).contains(&self.headers_most), "headers_most", "expected 1024 to 1048576");
        let pool = &self.pool;
        let pool_range = 1..=1024;
        require(pool_range.contains(&pool.connections_most), "pool.connections_most", "expected 1 to 1024");
        require(
            (pool.connections_most..=1_000_000).contains(&pool.all_most),
            "pool.all_most",
            "expected connections_most to 1000000",
        );
        require(pool_range.contains(&pool.streams_most), "pool.streams_most", "expected 1 to 1024");
        require(
            (1..=pool.streams_most).contains(&pool.streams_first),
            "pool.streams_first",
            "expected 1 to streams_most",
        );
        require(
            (1..=60_000).contains(&pool.connect_within_ms),
            "pool.connect_within_ms",
            "expected 1 to 60000",
        );
        require(pool.idle_ms >= 100, "pool.idle_ms", "expected at least 100");
        require(
            pool.again_after_ms >= 1 && pool.again_after_ms <= pool.again_after_most_ms,
            "pool.again_after_ms",
            "expected 1 to again_after_most_ms",
        );
        require((1..=64).contains(&self.drivers), "drivers", "expected 1 to 64");
        errors
    }
}

/// Runs the proxy until SIGTERM or SIGINT.
pub fn run(path: &Path, ready_file: Option<&Path>) -> Result<(), CommandError> {
    let file: ProxyFile = config::read_file(path, ProxyFile::validate)?;
    let stop = lifecycle::stop_on_signal()?;
    let drivers = Drivers::start(&file.id, file.drivers).map_err(CommandError::runtime)?;
    let workers = Workers::new("rpc", file.in_hand_most, whinhill_transport::CALL_STACK);
    let config = ProxyConfig {
        id: file.id,
        zone: file.zone,
        listen: file.listen,
        service: Arc::new(file.service.to_service()),
        assigners: file.assigners.into_iter().map(|assigner| (assigner.name, assigner.addr)).collect(),
        variant: if file.state_of_the_world { Variant::StateOfTheWorld } else { Variant::Incremental },
        write_timeout: Duration::from_millis(file.service.settle_ms),
        limits: Limits {
            max_message: file.message_most,
            max_headers: file.headers_most,
            memory: file.memory_mb << 20,
            call_memory: RPC_MEMORY,
            window: RPC_WINDOW,
            ..Limits::default()
        },
        seed: file.seed,
        dial: Dial::default(),
        pool_limits: file.pool,
        max_body_bytes: file.body_most,
        pick: file.pick,
        injected_faults: InjectedFaults::default(),
    };
    let mut proxy = Proxy::start(config, &drivers, &workers).map_err(CommandError::runtime)?;
    if let Some(addr) = proxy.addr() {
        tracing::info!(id = proxy.id(), %addr, "proxy listening");
        lifecycle::write_ready_file(ready_file, addr, &stop)?;
    }
    let Some(path) = file.status_file else {
        lifecycle::wait_until_stopped(&stop);
        drain(&mut proxy);
        return Ok(());
    };
    let status = StatusFile::start(&path).map_err(CommandError::runtime)?;
    loop {
        let stopped = lifecycle::wait_for(&stop, Duration::from_millis(200));
        let line = serde_json::to_string(&ProxyFigures::of(&proxy)).unwrap_or_default();
        status.write(line);
        if stopped {
            drain(&mut proxy);
            return Ok(());
        }
    }
}

/// Waits for RPCs in flight before the process ends, and logs how many were left.
fn drain(proxy: &mut Proxy) {
    let left = proxy.drain();
    tracing::info!(id = proxy.id(), left, "proxy stopped");
}
