//! How soon discovery and the relay are asked again while they are silent, and how discovery is spared while it refuses
//! calls.

mod support;

use std::net::TcpListener;
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};

use support::config::{config, write_config};
use support::cut_discovery::{Behaviour, CutDiscovery};
use support::discovery::{list_json, server_json};
use support::relay::Relay;
use support::running::AssignerProcess;
use support::wait_until;

/// The longest time between two attempts to open the relay watch. The platform's time limits wait 4 s while the relay
/// breaks off its news: silence is noticed after 1.8 s, the state is complete with the relay's first sign of life, up to
/// 1 s later, and a call takes up to 0.25 s.
const MAX_WATCH_GAP: Duration = Duration::from_millis(4000 - 1800 - 1000 - 250);
/// For how long the relay is silent.
const RELAY_SILENCE: Duration = Duration::from_secs(5);
/// The longest time between two calls: the grace of drains less the longest transit of an order, in the settings of
/// these tests.
const MAX_CALL_GAP: Duration = Duration::from_millis(1000);
/// What the platform adds to every time limit.
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(300);
/// A watch that has been silent for this long counts as lost.
const WATCH_SILENCE: Duration = Duration::from_secs(3);
/// Least difference between the longest and the shortest sum of three gaps of assigners with different seeds.
const MIN_SPREAD: Duration = Duration::from_millis(20);
/// Time after which whatever discovery has to tell counts as told.
const TOLD_AFTER: Duration = Duration::from_secs(6);

fn start(behaviour: Behaviour, seed: u64) -> (CutDiscovery, AssignerProcess, tempfile::TempDir) {
    let list = list_json(1, true, &[server_json("s-1", "SERVING", 0)]);
    let discovery = CutDiscovery::start(list, behaviour);
    let relay = Relay::start("s-1", channel().0);
    relay.start_keep_alives();
    let text = config(relay.addr, discovery.addr)
        .replace("\"transitMax\":50.0", "\"transitMax\":1000.0")
        .replace("\"seed\":\"5\"", &format!("\"seed\":\"{seed:x}\""));
    let (folder, path) = write_config(&text);
    let (assigner, _) = AssignerProcess::start(&path);
    (discovery, assigner, folder)
}

fn gaps(times: &[Duration]) -> Vec<Duration> {
    times.windows(2).map(|pair| pair[1] - pair[0]).collect()
}

/// Guards against a discovery that is back after a silence and asked seconds later, since each call to it was waited for
/// in full and the pauses between calls had doubled.
#[test]
fn silent_discovery_is_asked_again_in_time_for_the_grace() {
    let (discovery, assigner, _folder) = start(Behaviour::Answer, 1);
    assigner.wait_for_log("server list received");
    let cut_at = Instant::now();
    discovery.set(Behaviour::CutOff);
    thread::sleep(WATCH_SILENCE + TOLD_AFTER);
    let returned_at = Instant::now();
    discovery.set(Behaviour::Answer);
    wait_until("discovery is called after its return", || !discovery.calls_since(returned_at).is_empty());
    let first_call = discovery.calls_since(returned_at)[0];
    let calls = discovery.calls_since(cut_at);
    println!("calls after the cut: {calls:?}; the first after the return: {first_call:?}");
    let limit = MAX_CALL_GAP + TIME_LIMIT_SLACK;
    assert!(calls[0] <= WATCH_SILENCE + limit, "{calls:?}");
    assert!(gaps(&calls).iter().all(|gap| *gap <= limit), "{calls:?}");
    assert!(first_call <= limit, "{first_call:?}");
    assigner.wait_for_log("discovery answers again");
}

/// Guards against a discovery that refuses calls because it is overrun and is called as often as a silent one: delays
/// double at first, never exceed what the grace allows once changes count as told, and are drawn at random.
#[test]
fn overrun_discovery_is_spared_at_first_and_asked_at_random_times() {
    let plays: Vec<_> = (1..4).map(|seed| start(Behaviour::Overrun, seed)).collect();
    let started_at = Instant::now();
    thread::sleep(2 * TOLD_AFTER);
    let mut late_gaps = Vec::new();
    for (discovery, ..) in &plays {
        let calls = discovery.calls_since(started_at - Duration::from_secs(1));
        let gaps = gaps(&calls);
        println!("calls: {calls:?}");
        assert!(gaps[0] >= Duration::from_millis(300) && gaps[1] >= Duration::from_millis(650), "{gaps:?}");
        let until_told = calls.iter().filter(|at| **at < calls[0] + WATCH_SILENCE).count();
        assert!(until_told <= 4, "{calls:?}");
        assert!(gaps[3..].iter().all(|gap| *gap <= MAX_CALL_GAP + TIME_LIMIT_SLACK), "{gaps:?}");
        assert!(gaps.iter().all(|gap| *gap >= Duration::from_millis(300)), "{gaps:?}");
        late_gaps.push(gaps[3..6].iter().sum::<Duration>());
    }
    let spread = late_gaps.iter().max().unwrap().abs_diff(*late_gaps.iter().min().unwrap());
    assert!(spread > MIN_SPREAD, "{late_gaps:?}");
}

/// Guards against a relay whose watch is asked for again ever later, although the attempts before reached nobody and each
/// was waited for in full.
#[test]
fn silent_relay_is_asked_again_without_growing_delays() {
    let list = list_json(1, true, &[server_json("s-1", "SERVING", 0)]);
    let discovery = CutDiscovery::start(list, Behaviour::Answer);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let relay = listener.local_addr().unwrap();
    let (attempt_sender, attempts) = channel();
    thread::spawn(move || {
        let mut silent = Vec::new();
        for stream in listener.incoming().flatten() {
            silent.push(stream);
            let _ = attempt_sender.send(Instant::now());
        }
    });
    let (_folder, path) = write_config(&config(relay, discovery.addr));
    let (_assigner, _) = AssignerProcess::start(&path);
    let started_at = attempts.recv_timeout(WATCH_SILENCE).unwrap();
    let mut times = vec![Duration::ZERO];
    while started_at.elapsed() < RELAY_SILENCE {
        match attempts.recv_timeout(RELAY_SILENCE.saturating_sub(started_at.elapsed())) {
            Ok(at) => times.push(at.duration_since(started_at)),
            Err(RecvTimeoutError::Timeout) => break,
            Err(RecvTimeoutError::Disconnected) => panic!("the relay ended"),
        }
    }
    println!("attempts: {times:?}");
    assert!(gaps(&times).iter().all(|gap| *gap <= MAX_WATCH_GAP), "{times:?}");
    assert!(*times.last().unwrap() + MAX_WATCH_GAP >= RELAY_SILENCE, "{times:?}");
}
