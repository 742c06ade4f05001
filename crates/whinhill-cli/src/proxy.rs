//! `whinhill proxy`: reads its configuration and runs it.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use whinhill_assigner::{Fault, ServiceConfig, StatusFile};
use whinhill_proxy::{Dial, Pick, PoolLimits, Proxy, ProxyConfig, Sabotage};
use whinhill_standins::running::ProxyFigures;
use whinhill_transport::{Drivers, Limits, Workers};
use whinhill_xds::Variant;

use crate::{config, until_stopped, Failed};

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ProxyFile {
    /// This proxy's name; no other may have it.
    pub id: String,
    pub zone: String,
    pub listen: SocketAddr,
    /// The same as the assigners'.
    pub service: ServiceConfig,
    pub assigners: Vec<AssignerAt>,
    /// Whether tables come as state of the world; incremental otherwise.
    #[serde(default)]
    pub state_of_the_world: bool,
    /// How it picks among a slice's lines.
    #[serde(default)]
    pub pick: Pick,
    /// Connections to one server.
    #[serde(default)]
    pub pool: PoolLimits,
    /// Bytes of one message.
    #[serde(default = "message_most")]
    pub message_most: usize,
    /// Bytes of a request's or an answer's body, all messages together.
    #[serde(default = "body_most")]
    pub body_most: u64,
    /// Bytes of an RPC's headers, as HTTP/2 counts them.
    #[serde(default = "headers_most")]
    pub headers_most: u32,
    /// RPCs in hand at a time; what is over is pushed back at once.
    #[serde(default = "in_hand_most")]
    pub in_hand_most: usize,
    /// Threads that turn connections.
    #[serde(default = "drivers")]
    pub drivers: usize,
    #[serde(default)]
    pub seed: u64,
    /// A line of figures is written there five times a second.
    #[serde(default)]
    pub status_file: Option<PathBuf>,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AssignerAt {
    pub name: String,
    pub addr: SocketAddr,
}

fn message_most() -> usize {
    4 << 20
}

fn body_most() -> u64 {
    64 << 20
}

fn headers_most() -> u32 {
    16 << 10
}

fn in_hand_most() -> usize {
    2048
}

fn drivers() -> usize {
    2
}

impl ProxyFile {
    pub fn check(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut must = |holds: bool, path: &str, what: &str| {
            if !holds {
                faults.push(Fault { path: path.to_string(), what: what.to_string() });
            }
        };
        must(!self.id.is_empty() && self.id.len() <= 200, "id", "1 to 200 bytes are expected");
        must(!self.assigners.is_empty(), "assigners", "one at least is expected");
        must((1..=65_534).contains(&self.service.slices), "service.slices", "1 to 65534 are expected");
        must(!self.service.methods.is_empty(), "service.methods", "one at least is expected");
        must((1..=65_536).contains(&self.in_hand_most), "in_hand_most", "1 to 65536 is expected");
        must((1..=1 << 30).contains(&self.message_most), "message_most", "1 to 1073741824 is expected");
        must(self.body_most >= self.message_most as u64, "body_most", "must not be under message_most");
        must((1024..=1 << 20).contains(&self.headers_most), "headers_most", "1024 to 1048576 is expected");
        let pool = &self.pool;
        let places = 1..=1024;
        must(places.contains(&pool.connections_most), "pool.connections_most", "1 to 1024 is expected");
        must(
            (pool.connections_most..=1_000_000).contains(&pool.all_most),
            "pool.all_most",
            "connections_most to 1000000 is expected",
        );
        must(places.contains(&pool.streams_most), "pool.streams_most", "1 to 1024 is expected");
        must(
            (1..=pool.streams_most).contains(&pool.streams_first),
            "pool.streams_first",
            "1 to streams_most is expected",
        );
        must(
            (1..=60_000).contains(&pool.connect_within_ms),
            "pool.connect_within_ms",
            "1 to 60000 is expected",
        );
        must(pool.idle_ms >= 100, "pool.idle_ms", "100 at least is expected");
        must(
            pool.again_after_ms >= 1 && pool.again_after_ms <= pool.again_after_most_ms,
            "pool.again_after_ms",
            "1 to again_after_most_ms is expected",
        );
        must((1..=64).contains(&self.drivers), "drivers", "1 to 64 is expected");
        faults
    }
}

pub fn run(path: &Path, ready_file: Option<&Path>) -> Result<(), Failed> {
    let file: ProxyFile = config::read(path, ProxyFile::check)?;
    let stop = until_stopped::listen()?;
    let failed = |error: &dyn std::fmt::Display| Failed::Running(error.to_string());
    let drivers = Drivers::start(&file.id, file.drivers).map_err(|error| failed(&error))?;
    let workers = Workers::new("rpc", file.in_hand_most, whinhill_transport::CALL_STACK);
    let config = ProxyConfig {
        id: file.id,
        zone: file.zone,
        listen: file.listen,
        service: Arc::new(file.service.service()),
        assigners: file.assigners.into_iter().map(|a| (a.name, a.addr)).collect(),
        variant: if file.state_of_the_world { Variant::StateOfTheWorld } else { Variant::Incremental },
        settle: Duration::from_millis(file.service.settle_ms),
        limits: Limits {
            message_most: file.message_most,
            headers_most: file.headers_most,
            ..Limits::default()
        },
        seed: file.seed,
        dial: Dial::default(),
        pool: file.pool,
        body_most: file.body_most,
        pick: file.pick,
        sabotage: Sabotage::default(),
    };
    let mut proxy = Proxy::start(config, &drivers, &workers).map_err(|error| failed(&error))?;
    if let Some(addr) = proxy.addr() {
        tracing::info!(id = proxy.id(), %addr, "proxy listens");
        until_stopped::say_ready(ready_file, addr, &stop)?;
    }
    let Some(path) = file.status_file else {
        until_stopped::wait(&stop);
        drain(&mut proxy);
        return Ok(());
    };
    let status = StatusFile::start(&path).map_err(|error| failed(&error))?;
    loop {
        let stopped = until_stopped::wait_for(&stop, Duration::from_millis(200));
        let line = serde_json::to_string(&ProxyFigures::of(&proxy)).unwrap_or_default();
        status.write(line);
        if stopped {
            drain(&mut proxy);
            return Ok(());
        }
    }
}

/// RPCs in hand finish before the process ends.
fn drain(proxy: &mut Proxy) {
    let left = proxy.drain();
    tracing::info!(id = proxy.id(), left, "proxy ends");
}
