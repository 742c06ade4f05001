//! How soon a proxy asks an assigner again that was silent.

use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use whinhill_proxy::{Dial, InjectedFaults, Pick, PoolLimits, Proxy, ProxyConfig};
use whinhill_transport::{Drivers, Limits, Workers, CALL_STACK};
use whinhill_xds::mapping::Service;
use whinhill_xds::Variant;

/// How long the assigner is silent: what it has to tell counts as told after 6 s.
const SILENCE: Duration = Duration::from_millis(6300);
/// The longest time between two attempts of a stream: the 6 s less the 4 s in which the silence of an open stream is
/// noticed.
const MAX_GAP: Duration = Duration::from_secs(2);
/// The streams of a proxy to an assigner, one for tables and one for reports.
const STREAMS: usize = 2;

fn service() -> Service {
    Service {
        name: "t".into(),
        slices: 2,
        methods: Vec::new(),
        write_lease: Duration::from_secs(4),
        max_owner_wait: Duration::from_millis(300),
        try_factor: 1.0,
    }
}

fn start_proxy(assigner: SocketAddr) -> Proxy {
    let config = ProxyConfig {
        id: "p".into(),
        zone: "a".into(),
        listen: "127.0.0.1:0".parse().unwrap(),
        service: Arc::new(service()),
        assigners: vec![("n0".into(), assigner)],
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
    let drivers = Drivers::start("silent", 1).unwrap();
    Proxy::start(config, &drivers, &Workers::new("rpc", 4, CALL_STACK)).unwrap()
}

/// Accepts connections and never writes; sends the time of each.
fn silent_assigner() -> (SocketAddr, Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (sender, attempts) = channel();
    thread::spawn(move || {
        let mut silent = Vec::new();
        for stream in listener.incoming().flatten() {
            silent.push(stream);
            let _ = sender.send(Instant::now());
        }
    });
    (addr, attempts)
}

/// Guards against a stream that waits in full for an assigner that sends nothing, and so asks it again long after its
/// return.
#[test]
fn assigner_that_was_silent_is_asked_again_soon_after_its_return() {
    let (addr, attempts) = silent_assigner();
    let _proxy = start_proxy(addr);
    thread::sleep(SILENCE);
    let returned_at = Instant::now();
    let before = attempts.try_iter().count();
    thread::sleep(MAX_GAP);
    let after: Vec<Duration> = attempts.try_iter().map(|at| at.duration_since(returned_at)).collect();
    println!("attempts during the silence: {before}, after the return: {after:?}");
    assert!(after.len() >= STREAMS, "{after:?}");
}
