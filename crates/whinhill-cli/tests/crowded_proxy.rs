//! Clients that take more than their share at a proxy, as a process of its own, and what others meet beside them.

mod support;

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::Bytes;
use whinhill_transport::{Client, Drivers, Limits};

use support::flood::peak_memory;
use support::http2::{self, Body};
use support::{unused_address, wait_until};

/// The longest wait of another client's RPC, which the proxy refuses at once since it knows no such method: by as much may
/// an answer be late.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// The memory that the proxy may take.
const MEMORY_LIMIT: usize = 192 << 20;
/// For how long other clients' RPCs are watched.
const WATCH_TIME: Duration = Duration::from_secs(4);
/// Clients that send at full speed together.
const MANY_CLIENTS: usize = 20;
/// Time limit of an RPC.
const RPC_TIMEOUT: Duration = Duration::from_secs(20);
/// RPCs of this method are held, since the proxy has no table.
const HELD_PATH: &str = "/booking.Rates/Look";
const UNKNOWN_PATH: &str = "/booking.Rates/Unknown";

/// A proxy process, which is killed when the value is dropped.
struct RunningProxy {
    process: Child,
    addr: SocketAddr,
    _folder: tempfile::TempDir,
    _turn: MutexGuard<'static, ()>,
}

/// The tests of this file take turns: each uses several cores.
static TURN: Mutex<()> = Mutex::new(());

impl Drop for RunningProxy {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Starts a proxy whose assigner does not exist.
fn start_proxy() -> RunningProxy {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = tempfile::tempdir().unwrap();
    let (config, ready) = (folder.path().join("proxy.json5"), folder.path().join("ready"));
    let assigner = unused_address();
    let text = format!(
        r#"{{ id: "p0", zone: "z", listen: "127.0.0.1:0", assigners: [{{ name: "n0", addr: "{assigner}" }}], seed: 1,
        service: {{ name: "booking", slices: 4, write_lease_ms: 1500, settle_ms: 500, hold_ms: 20000, tries: 1,
        methods: [{{ name: "look", path: "{HELD_PATH}", effect: "idempotent", criticality: 1, soft_deadline_ms: 500,
        deadline_ms: 20000 }}] }} }}"#
    );
    fs::write(&config, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
    command.args(["--log-level", "error", "proxy", "--config"]).arg(&config).arg("--ready-file").arg(&ready);
    let process = command.stdout(Stdio::null()).spawn().unwrap();
    let read_addr = || fs::read_to_string(&ready).ok()?.parse().ok();
    wait_until("the proxy is ready", || read_addr().is_some());
    RunningProxy { process, addr: read_addr().unwrap(), _folder: folder, _turn }
}

/// Makes RPCs one after another, each on a connection of its own; returns the longest wait for an answer.
fn longest_rpc(addr: SocketAddr, time: Duration) -> Duration {
    let drivers = Drivers::start("client", 1).unwrap();
    let limits = Limits { handshake: RPC_TIMEOUT, ..Limits::default() };
    let until = Instant::now() + time;
    let mut longest = Duration::ZERO;
    while Instant::now() < until {
        let started = Instant::now();
        let client = Client::connect(addr, limits.clone(), &drivers).unwrap();
        let headers = [("whinhill-key", "k".to_string())];
        let error = client.unary(UNKNOWN_PATH, &headers, Bytes::from_static(b"x"), RPC_TIMEOUT).unwrap_err();
        assert!(error.to_string().contains("no such method"), "{error}");
        longest = longest.max(started.elapsed());
        thread::sleep(Duration::from_millis(10));
    }
    longest
}

fn check_beside(proxy: &RunningProxy, what: &str) {
    let wait = longest_rpc(proxy.addr, WATCH_TIME);
    let memory = peak_memory(proxy.process.id());
    println!("beside {what}: longest wait {wait:?}, memory {} MB", memory >> 20);
    assert!(memory < MEMORY_LIMIT, "{what}: {memory} bytes");
    assert!(wait <= MAX_WAIT, "{what}: {wait:?}");
}

/// Guards against hundreds of clients whose unended requests with heads of very many short fields fill the memory and take
/// all threads.
#[test]
fn unended_heads_of_many_fields_fill_no_memory_and_starve_nobody() {
    let proxy = start_proxy();
    let mut held = Vec::new();
    for _ in 0..300 {
        let mut stream = http2::connect(proxy.addr);
        for number in 0..30 {
            let head = http2::request_head(2 * number + 1, HELD_PATH, 300, Body::Unended);
            let _ = stream.write_all(&head);
        }
        held.push(stream);
    }
    check_beside(&proxy, "300 clients with 30 unended heads of 300 fields");
}

/// Clients that send at full speed until they are dropped.
struct Floods {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Floods {
    /// `next` makes what is sent next from the number of the stream that it may use.
    fn start(addr: SocketAddr, clients: usize, next: fn(u32) -> Vec<u8>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let send = |stop: Arc<AtomicBool>| {
            move || {
                while !stop.load(Ordering::Relaxed) {
                    send_until_refused(http2::connect(addr), &stop, next);
                }
            }
        };
        let threads = (0..clients).map(|_| thread::spawn(send(stop.clone()))).collect();
        Floods { stop, threads }
    }
}

/// Sends until the proxy closes the connection.
fn send_until_refused(mut stream: TcpStream, stop: &AtomicBool, next: fn(u32) -> Vec<u8>) {
    let mut number = 1;
    while !stop.load(Ordering::Relaxed) {
        let text: Vec<u8> = (0..50).flat_map(|offset| next(number + 2 * offset)).collect();
        number += 100;
        if stream.write_all(&text).is_err() {
            return;
        }
    }
}

impl Drop for Floods {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

/// Checks other clients' RPCs beside one client and beside many that send at full speed.
fn check_beside_floods(what: &str, next: fn(u32) -> Vec<u8>) {
    for clients in [1, MANY_CLIENTS] {
        let proxy = start_proxy();
        let _floods = Floods::start(proxy.addr, clients, next);
        check_beside(&proxy, &format!("{clients} clients with {what}"));
    }
}

/// Guards against clients whose pings at full speed delay all other clients.
#[test]
fn pings_at_full_speed_delay_no_other_client() {
    check_beside_floods("pings", |_| http2::ping());
}

/// Guards against clients whose requests under ever new names delay all other clients.
#[test]
fn requests_under_new_names_delay_no_other_client() {
    check_beside_floods("new names", |stream| {
        http2::request_head(stream, &format!("/s/m{stream}"), 20, Body::Empty)
    });
}

/// Guards against a client whose held requests at full speed take all threads, so that others are refused.
#[test]
fn held_requests_at_full_speed_starve_no_other_client() {
    let proxy = start_proxy();
    let held = |stream| http2::request_head(stream, HELD_PATH, 0, Body::Empty);
    let _floods = Floods::start(proxy.addr, 1, held);
    check_beside(&proxy, "held requests");
}

/// Guards against unended requests that take all threads: clients that each hold as many as they can.
#[test]
fn unended_requests_of_hundreds_of_clients_starve_nobody() {
    let proxy = start_proxy();
    let mut held = Vec::new();
    for _ in 0..300 {
        let mut stream = http2::connect(proxy.addr);
        for number in 0..100 {
            let _ = stream.write_all(&http2::request_head(2 * number + 1, HELD_PATH, 0, Body::Unended));
        }
        held.push(stream);
    }
    check_beside(&proxy, "300 clients with 100 unended requests");
}
