//! Clients that take more than their share at the xDS address of an assigner, as a process of its own, and how soon a proxy
//! has its first resources beside them.

mod support;

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use prost::Message;
use whinhill_proxy::{Dial, InjectedFaults, Pick, PoolLimits, Proxy, ProxyConfig};
use whinhill_transport::{Client, Drivers, Limits, Workers, CALL_STACK};
use whinhill_xds::mapping::{Effect, Method, Service};
use whinhill_xds::{proto, Variant, LRS_PATH};

use support::flood::peak_memory;
use support::http2::{self, Body};
use support::{unused_address, wait_until};

/// The longest time until a proxy has its first resources: by as much may an answer be late.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// The memory that the assigner may take.
const MEMORY_LIMIT: usize = 192 << 20;
/// Proxies that are started beside the crowd, one after another.
const PROXIES: usize = 8;
const SERVICE: &str = r#"{ name: "booking", slices: 4, write_lease_ms: 1500, settle_ms: 500, hold_ms: 300, tries: 1,
  methods: [ { name: "look", path: "/booking.Rates/Look", effect: "idempotent", criticality: 1, soft_deadline_ms: 500,
  deadline_ms: 2000 } ] }"#;

/// An assigner process, which is killed when the value is dropped.
struct RunningAssigner {
    process: Child,
    addr: SocketAddr,
    _folder: tempfile::TempDir,
    _turn: MutexGuard<'static, ()>,
}

/// The tests of this file take turns: each uses several cores.
static TURN: Mutex<()> = Mutex::new(());

impl Drop for RunningAssigner {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Starts an assigner without a store: it serves the resources that do not change.
fn start_assigner() -> RunningAssigner {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str| folder.path().join(name);
    fs::write(path("roster.json5"), r#"{ servers: [{ addr: "127.0.0.1:9", zone: "z", state: "ready" }] }"#)
        .unwrap();
    let text = format!(
        r#"{{ name: "a", peers: ["a"], listen: "127.0.0.1:0", zone: "z", zones: ["z"], service: {SERVICE},
        rules: {{ empty_ms: 9000, grace_ms: 2000, warm_after_ms: 5000, cold_from: 0.2, fall_multiple: 3, fall_ms: 1500 }},
        channel: {{ lines_per_s: 10000, head: 8, backlog: 10000, way_most_ms: 200 }},
        roster: {{ file: {{ path: "{}" }} }}, store: {{ addr: "{}", within_ms: 300 }},
        custody: {{ ttl_ms: 1200, margin_ms: 200 }}, report_period_ms: 300 }}"#,
        path("roster.json5").display(),
        unused_address()
    );
    fs::write(path("assigner.json5"), text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
    command.args(["--log-level", "error", "assigner", "--config"]).arg(path("assigner.json5"));
    command.arg("--ready-file").arg(path("ready"));
    let process = command.stdout(Stdio::null()).spawn().unwrap();
    let read_addr = || fs::read_to_string(path("ready")).ok()?.parse().ok();
    wait_until("the assigner is ready", || read_addr().is_some());
    RunningAssigner { process, addr: read_addr().unwrap(), _folder: folder, _turn }
}

fn service() -> Service {
    let method = Method {
        name: "look".into(),
        path: "/booking.Rates/Look".into(),
        writes: false,
        effect: Effect::Idempotent,
        soft_deadline: Duration::from_millis(500),
        deadline: Duration::from_secs(2),
    };
    Service {
        name: "booking".into(),
        slices: 4,
        methods: vec![method],
        write_lease: Duration::from_millis(1500),
        max_owner_wait: Duration::from_millis(300),
        try_factor: 1.0,
    }
}

/// Starts a proxy; returns how long it took until it had applied a reply.
fn first_resources(assigner: SocketAddr, number: usize, drivers: &Drivers) -> Duration {
    let config = ProxyConfig {
        id: format!("proxy-{number}"),
        zone: "z".into(),
        listen: "127.0.0.1:0".parse().unwrap(),
        service: Arc::new(service()),
        assigners: vec![("a".into(), assigner)],
        variant: Variant::Incremental,
        write_timeout: Duration::from_secs(1),
        limits: Limits::default(),
        seed: 1,
        dial: Dial::default(),
        pool_limits: PoolLimits::default(),
        max_body_bytes: 1 << 20,
        pick: Pick::default(),
        injected_faults: InjectedFaults::default(),
    };
    let started = Instant::now();
    let proxy = Proxy::start(config, drivers, &Workers::new("rpc", 4, CALL_STACK)).unwrap();
    wait_until("the proxy has its first resources", || proxy.counters().applied.load(Ordering::Relaxed) > 0);
    started.elapsed()
}

fn check_beside(assigner: &RunningAssigner, what: &str) {
    let drivers = Drivers::start("proxies", 1).unwrap();
    let waits = (0..PROXIES).map(|number| first_resources(assigner.addr, number, &drivers));
    let wait = waits.max().unwrap();
    let memory = peak_memory(assigner.process.id());
    println!("beside {what}: longest wait {wait:?}, memory {} MB", memory >> 20);
    assert!(memory < MEMORY_LIMIT, "{what}: {memory} bytes");
    assert!(wait <= MAX_WAIT, "{what}: {wait:?}");
}

/// Guards against hundreds of clients whose unended streams with heads of very many short fields fill the memory and take
/// all threads.
#[test]
fn unended_streams_of_hundreds_of_clients_starve_no_proxy() {
    let assigner = start_assigner();
    let mut held = Vec::new();
    for _ in 0..300 {
        let mut stream = http2::connect(assigner.addr);
        for number in 0..30 {
            let path = Variant::Incremental.path();
            let _ = stream.write_all(&http2::request_head(2 * number + 1, path, 300, Body::Unended));
        }
        held.push(stream);
    }
    check_beside(&assigner, "300 clients with 30 unended streams of 300 fields");
}

/// Guards against hundreds of clients that stop half way through large messages and fill the memory.
#[test]
fn halves_of_large_messages_fill_no_memory() {
    let assigner = start_assigner();
    // The prefix of a message of 4 MB, of which a part follows.
    let mut part = vec![0; 15 << 10];
    part[1..5].copy_from_slice(&(4_000_000_u32).to_be_bytes());
    let rest = vec![0; 15 << 10];
    let mut held = Vec::new();
    for _ in 0..300 {
        let mut stream = http2::connect(assigner.addr);
        for number in 0..15 {
            let id = 2 * number + 1;
            let path = Variant::Incremental.path();
            let mut bytes = http2::request_head(id, path, 0, Body::Unended);
            bytes.extend(http2::data(id, &part));
            (0..3).for_each(|_| bytes.extend(http2::data(id, &rest)));
            let _ = stream.write_all(&bytes);
        }
        held.push(stream);
    }
    check_beside(&assigner, "300 clients with 15 halves of messages");
}

/// A report of load at clusters with ever new names.
fn report(number: u64) -> Vec<u8> {
    let node = proto::Node { id: "flood".into(), cluster: "booking".into(), ..Default::default() };
    let cluster = |index: u64| proto::ClusterStats {
        cluster_name: format!("booking/{}.4/name-{number}-{index}", index % 4),
        ..Default::default()
    };
    let cluster_stats = (0..100).map(cluster).collect();
    proto::LoadStatsRequest { node: Some(node), cluster_stats }.encode_to_vec()
}

/// Guards against one client whose load reports at full speed, with ever new names, delay all proxies and fill the memory.
#[test]
fn load_reports_at_full_speed_delay_no_proxy() {
    let assigner = start_assigner();
    let stop = Arc::new(AtomicBool::new(false));
    let (stopped, addr) = (stop.clone(), assigner.addr);
    let flood = thread::spawn(move || {
        let drivers = Drivers::start("flood", 1).unwrap();
        let timeout = Duration::from_secs(20);
        let client = Client::connect(addr, Limits::default(), &drivers).unwrap();
        let (mut writer, _pending) = client.call(LRS_PATH, &[], timeout).unwrap();
        let mut sent = 0;
        while !stopped.load(Ordering::Relaxed) && writer.send(&report(sent), timeout).is_ok() {
            sent += 1;
        }
        sent
    });
    thread::sleep(Duration::from_secs(2));
    check_beside(&assigner, "load reports at full speed");
    stop.store(true, Ordering::Relaxed);
    println!("{} reports were sent", flood.join().unwrap());
}
