//! Clients that take more than their share at the assigner's address, and what others meet beside them.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use support::config::{config_with_sockets, write_config};
use support::discovery::{list_json, server_json, Discovery};
use support::flood::{longest_probe, peak_memory, Flood, PROBE};
use support::relay::Relay;
use support::running::AssignerProcess;

/// The longest wait for an answer beside clients that send at full speed: by as much may an answer be late.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// The memory limit in the configuration.
const MEMORY_LIMIT: usize = 192 << 20;
/// For how long a client sends at full speed.
const FLOOD_TIME: Duration = Duration::from_secs(4);
const JOIN: &str = "{\"@type\":\"agent\",\"site\":\"a\"}\n";

/// An assigner that knows server s-1, with its stand-ins.
struct Started {
    assigner: AssignerProcess,
    addr: SocketAddr,
    _stand_ins: (Discovery, Relay, tempfile::TempDir),
    _turn: MutexGuard<'static, ()>,
}

/// The tests of this file take turns: each uses several cores.
static TURN: Mutex<()> = Mutex::new(());

fn start() -> Started {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let discovery = Discovery::start(list_json(1, true, &[server_json("s-1", "SERVING", 0)]));
    let relay = Relay::start("s-1", channel().0);
    relay.start_keep_alives();
    let text = config_with_sockets(relay.addr, discovery.addr, 1024)
        .replace("\"memory_mb\":64", &format!("\"memory_mb\":{}", MEMORY_LIMIT >> 20));
    let (folder, path) = write_config(&text);
    let (assigner, addr) = AssignerProcess::start(&path);
    discovery.wait_for_watch();
    assigner.wait_for_log("relay watch synchronized");
    Started { assigner, addr, _stand_ins: (discovery, relay, folder), _turn }
}

/// Probes beside clients that send at full speed; checks the longest wait and the memory.
fn check_beside(started: &Started, what: &str, floods: Vec<Flood>) {
    let wait = longest_probe(started.addr, FLOOD_TIME);
    let memory = peak_memory(started.assigner.process.id());
    println!("beside {what}: longest wait {wait:?}, memory {} MB", memory >> 20);
    drop(floods);
    assert!(memory < MEMORY_LIMIT, "{what}: {memory} bytes");
    assert!(wait <= MAX_WAIT, "{what}: {wait:?}");
}

fn report(number: u64) -> String {
    format!(
        "{{\"@type\":\"outcomes\",\"site\":\"a\",\"target\":\"s-1\",\"count\":{},\"fail\":0,\"mean\":41.7,\"over\":1000.0}}\n",
        number % 100
    )
}

/// Guards against one collector whose valid reports at full speed delay all other clients' answers and fill the memory.
#[test]
fn reports_at_full_speed_delay_no_other_client_and_fill_no_memory() {
    let started = start();
    check_beside(&started, "reports", vec![Flood::start(started.addr, JOIN, report)]);
}

/// Guards against one client whose probes at full speed delay all other clients' answers.
#[test]
fn probes_at_full_speed_delay_no_other_client() {
    let started = start();
    check_beside(&started, "probes", vec![Flood::start(started.addr, "", |_| PROBE.to_string())]);
}

/// Guards against one collector whose unsound messages at full speed delay all other clients' answers: empty objects, and
/// reports with ever new names.
#[test]
fn unsound_messages_at_full_speed_delay_no_other_client() {
    let started = start();
    check_beside(&started, "empty objects", vec![Flood::start(started.addr, JOIN, |_| "{}\n".to_string())]);
    let new_name = |number: u64| report(number).replace("s-1", &format!("name-{number}"));
    check_beside(&started, "new names", vec![Flood::start(started.addr, JOIN, new_name)]);
}

/// Guards against many clients that send at full speed together: each gets a small share of a turn.
#[test]
fn many_clients_at_full_speed_delay_no_other_client() {
    let started = start();
    let floods = (0..40).map(|_| Flood::start(started.addr, "", |_| PROBE.to_string())).collect();
    check_beside(&started, "40 clients with probes", floods);
}

/// Guards against hundreds of clients that read no answers, or stop within a message, and together fill the memory.
#[test]
fn hundreds_of_clients_that_stop_half_way_fill_no_memory() {
    let started = start();
    let probes = PROBE.repeat(30_000);
    let mut held = Vec::new();
    for number in 0..600 {
        let mut stream = TcpStream::connect(started.addr).unwrap();
        stream.set_nonblocking(true).unwrap();
        match number % 3 {
            0 => drop(stream.write(probes.as_bytes())),
            1 => drop(stream.write(&probes.as_bytes()[..64 * 1024 - 5])),
            _ => drop(stream.write(&[b'{'; 4000])),
        }
        held.push(stream);
    }
    for _ in 0..10 {
        for stream in &mut held {
            let _ = stream.write(probes.as_bytes());
        }
        thread::sleep(Duration::from_millis(50));
    }
    check_beside(&started, "600 clients that stop half way", Vec::new());
}
