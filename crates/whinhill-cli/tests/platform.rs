//! The assigner on the platform as a process, with stand-ins for the relay, discovery and a collector: start, grants,
//! lost connections to the relay, new configurations, and the end.

mod support;

use std::fs;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use support::config::{config, config_with_sockets};
use support::discovery::{start_discovery, start_discovery_with, two_server_list};
use support::relay::{Behavior, Relay};
use support::running::AssignerProcess;
use support::{
    connect_collector, is_grant, orders_containing, probe_assigner, unused_address, wait_for_event,
    StandInEvent, WAIT_TIMEOUT,
};

#[test]
fn relay_reconnect_and_config_reload_keep_assigner_serving_until_sigterm() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, events) = channel();
    let discovery = start_discovery(sender.clone());
    // The relay's line names an owner that discovery does not list: the slice must get another.
    let relay = Relay::start("s-gone", sender.clone());
    fs::write(&path, config(relay.addr, discovery)).unwrap();
    let (mut assigner, addr) = AssignerProcess::start(&path);
    assert_eq!(probe_assigner(addr), "{\"@type\":\"alive\"}\n");
    wait_for_event(&events, "a grant", is_grant);

    // A collector joins. A peer that speaks HTTP has its connection closed.
    let mut collector = TcpStream::connect(addr).unwrap();
    collector.write_all(b"{\"@type\":\"agent\",\"site\":\"a\"}\n").unwrap();
    let mut http_peer = TcpStream::connect(addr).unwrap();
    http_peer.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    let _ = http_peer.set_read_timeout(Some(WAIT_TIMEOUT));
    let mut answer = Vec::new();
    let _ = http_peer.read_to_end(&mut answer);

    // The new watch stream names the first owner again, so the slice is evaluated and granted again.
    relay.close_connections();
    wait_for_event(&events, "a watch of the relay after its connections were closed", |event| {
        *event == StandInEvent::RelayWatchOpened
    });
    wait_for_event(&events, "a grant after the connections were closed", is_grant);

    // A file that cannot be parsed changes nothing; a valid one changes the address of the relay.
    fs::write(&path, "{").unwrap();
    assigner.signal(Signal::HUP);
    assert_eq!(probe_assigner(addr), "{\"@type\":\"alive\"}\n");
    let new_relay = Relay::start("s-gone", sender);
    fs::write(&path, config(new_relay.addr, discovery)).unwrap();
    assigner.signal(Signal::HUP);
    wait_for_event(&events, "a watch of the new relay", |event| *event == StandInEvent::RelayWatchOpened);
    wait_for_event(&events, "a grant at the new relay", is_grant);

    // Two signals, the second before the first is handled.
    assigner.signal(Signal::HUP);
    assigner.signal(Signal::HUP);
    assert_eq!(probe_assigner(addr), "{\"@type\":\"alive\"}\n");

    assigner.signal(Signal::TERM);
    assert!(assigner.process.wait().unwrap().success());
}

/// The configuration changes the address of the relay while a call to the former one is unanswered: the orders of that
/// call must not be lost.
#[test]
fn call_pending_at_config_reload_is_resent_to_new_relay() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, events) = channel();
    let discovery = start_discovery(sender.clone());
    let unresponsive_relay = Relay::start_with("s-gone", Behavior::Unresponsive, sender.clone());
    fs::write(&path, config(unresponsive_relay.addr, discovery)).unwrap();
    let (assigner, _) = AssignerProcess::start(&path);
    let stops_all_rpcs = orders_containing("gate,0,look+book,0.000,0");
    wait_for_event(&events, "a call at the first relay", &stops_all_rpcs);
    let (sender, events) = channel();
    let new_relay = Relay::start("s-gone", sender);
    fs::write(&path, config(new_relay.addr, discovery)).unwrap();
    assigner.signal(Signal::HUP);
    wait_for_event(&events, "the same orders at the new relay", &stops_all_rpcs);
    wait_for_event(&events, "a grant at the new relay", is_grant);
}

/// Calls are executed and their answers are lost, over and over, so their outcome is unknown. Sent twice, the orders
/// would overfill the channel. Each call must be resent only after the wait that the rules prescribe, not at once.
#[test]
fn call_with_unknown_outcome_that_would_fill_channel_is_not_resent_at_once() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, events) = channel();
    let discovery = start_discovery(sender.clone());
    let unresponsive_relay = Relay::start_with("s-gone", Behavior::Unresponsive, sender);
    let small_channel = [("backlog\":60000.0", "backlog\":6.0"), ("linesPerS\":40000.0", "linesPerS\":1.0")];
    let small_channel = small_channel.iter().chain(&[("overhead\":8.0", "overhead\":1.0")]);
    let base_config = config(unresponsive_relay.addr, discovery);
    fs::write(&path, small_channel.fold(base_config, |text, (from, to)| text.replace(from, to))).unwrap();
    let (_assigner, _) = AssignerProcess::start(&path);
    let stops_all_rpcs = orders_containing("gate,0,look+book,0.000,0");
    wait_for_event(&events, "a call", &stops_all_rpcs);
    let first_seen = Instant::now();
    wait_for_event(&events, "the same call", &stops_all_rpcs);
    // On a new connection the assigner waits 0.5 s for the answer, and then 0.5 s for headroom in the channel.
    assert!(first_seen.elapsed() >= Duration::from_millis(950), "resent after {:?}", first_seen.elapsed());
}

/// The address of the relay changes during a handover, and the new relay never completes its state. Until it does, the
/// updates of the former watch stream count: its ack must let the handover go on, and the grant must go to the new
/// relay.
#[test]
fn former_watch_stream_is_used_until_new_relay_has_sent_its_state() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, events) = channel();
    let discovery = start_discovery(sender.clone());
    let former_relay = Relay::start_with("s-gone", Behavior::WithholdsAcks, sender);
    fs::write(&path, config(former_relay.addr, discovery)).unwrap();
    let (assigner, _) = AssignerProcess::start(&path);
    wait_for_event(&events, "an ack request", orders_containing("fence,1,1"));
    let (sender, events) = channel();
    let new_relay = Relay::start_with("s-gone", Behavior::SendsStateForever, sender);
    fs::write(&path, config(new_relay.addr, discovery)).unwrap();
    assigner.signal(Signal::HUP);
    assigner.wait_for_log("new configuration");
    former_relay.send_update("* ack 0 1 1.0\r\n");
    wait_for_event(&events, "a grant at the new relay", is_grant);
}

/// The watch stream breaks before it has carried the ack for a stop of all RPCs. The ack must be requested again, or the
/// slice stays stopped.
#[test]
fn ack_lost_with_watch_stream_is_requested_again() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, events) = channel();
    let discovery = start_discovery(sender.clone());
    let relay = Relay::start_with("s-gone", Behavior::LosesAck, sender);
    fs::write(&path, config(relay.addr, discovery)).unwrap();
    let (_assigner, _) = AssignerProcess::start(&path);
    wait_for_event(&events, "the first watch", |event| *event == StandInEvent::RelayWatchOpened);
    wait_for_event(&events, "an ack request whose ack is lost", orders_containing("fence,"));
    // No grant may follow before the ack has arrived.
    let is_watch_or_grant =
        |event: &StandInEvent| *event == StandInEvent::RelayWatchOpened || is_grant(event);
    let mut seen = StandInEvent::ListSent;
    while !is_watch_or_grant(&seen) {
        seen = events.recv_timeout(WAIT_TIMEOUT).expect("no watch stream after the break");
    }
    assert_eq!(seen, StandInEvent::RelayWatchOpened);
    wait_for_event(&events, "another ack request", orders_containing("fence,"));
    wait_for_event(&events, "a grant", is_grant);
}

/// A call with a grant is answered while the relay still sends the state from before it. The line of that grant is the
/// assigner's own. It must not count as another assigner's, or the slice gets a second owner.
#[test]
fn state_from_before_pending_call_is_not_taken_as_another_assigners_line() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, events) = channel();
    let discovery = start_discovery(sender.clone());
    let relay = Relay::start_with("s-gone", Behavior::DelaysGrantAnswer, sender);
    fs::write(&path, config(relay.addr, discovery)).unwrap();
    let (assigner, _) = AssignerProcess::start(&path);
    wait_for_event(&events, "a grant whose answer is delayed", is_grant);
    let log = assigner.read_log_until("again=true");
    assert!(!log.iter().any(|line| line.contains("another line")), "{log:#?}");
}

/// The watch stream breaks during a handover, and the next one has the same line. Another assigner may have had the
/// slice meanwhile, which resets its levels: writes must be stopped again before another server gets them.
#[test]
fn handover_interrupted_by_lost_watch_stream_stops_writes_again() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, events) = channel();
    let status = ["DRAINING", "SERVING"];
    let discovery = start_discovery_with(status, sender.clone());
    let relay = Relay::start_with("s-1", Behavior::LosesAck, sender);
    let empty_list = r#"{"index":0,"snapshot":true,"endpoints":[]}"#;
    fs::write(&path, config(relay.addr, discovery).replace(empty_list, &two_server_list(status))).unwrap();
    let (_assigner, _) = AssignerProcess::start(&path);
    wait_for_event(&events, "a watch", |event| *event == StandInEvent::RelayWatchOpened);
    let stops_writes = orders_containing("book,0.000,0");
    wait_for_event(&events, "writes stopped", &stops_writes);
    wait_for_event(&events, "a watch after the break", |event| *event == StandInEvent::RelayWatchOpened);
    let mut seen = StandInEvent::ListSent;
    while !stops_writes(&seen) && !is_grant(&seen) {
        seen =
            events.recv_timeout(WAIT_TIMEOUT).expect("neither a stop of writes nor a grant after the break");
    }
    assert!(stops_writes(&seen), "{seen:?}");
    wait_for_event(&events, "a grant", is_grant);
}

/// The relay answers a call twice. The second answer would be read as that of the next call, so the connection must not
/// be used again.
#[test]
fn duplicate_relay_answer_closes_connection_and_loses_no_grant() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, events) = channel();
    let discovery = start_discovery(sender.clone());
    let relay = Relay::start_with("s-gone", Behavior::AnswersFirstTwice, sender);
    fs::write(&path, config(relay.addr, discovery)).unwrap();
    let (assigner, _) = AssignerProcess::start(&path);
    assigner.wait_for_log("unexpected answer");
    wait_for_event(&events, "a grant", is_grant);
    // One for the watch stream, one with the duplicate answer, one for the calls after it.
    assert!(relay.streams.lock().unwrap().len() >= 3);
}

/// File descriptors run out on a connect to the relay. Peers that are connected must still be served, and the relay
/// must be connected again once descriptors are free.
#[test]
fn connect_without_free_descriptors_keeps_peers_served_and_is_retried() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, events) = channel();
    let discovery = start_discovery(sender.clone());
    let relay = Relay::start("s-gone", sender);
    fs::write(&path, config(relay.addr, discovery)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
    command.args(["--log-level", "debug", "assigner", "--platform"]);
    let (assigner, addr) = AssignerProcess::spawn(command, &path);
    let mut collector = connect_collector(addr);
    collector.read_exact(&mut [0; 18]).unwrap();
    wait_for_event(&events, "a grant", is_grant);
    assigner.set_max_descriptors(3);
    relay.close_connections();
    assigner.wait_for_log("connect: Too many open files");
    collector.write_all(b"{\"@type\":\"probe\"}\n").unwrap();
    collector.read_exact(&mut [0; 18]).unwrap();
    assigner.set_max_descriptors(256);
    wait_for_event(&events, "a watch of the relay", |event| *event == StandInEvent::RelayWatchOpened);
    wait_for_event(&events, "a grant after the reconnect", is_grant);
}

#[test]
fn assigner_starts_and_stops_while_discovery_and_relay_are_down() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    fs::write(&path, config(unused_address(), unused_address())).unwrap();
    let (mut assigner, addr) = AssignerProcess::start(&path);
    assert_eq!(probe_assigner(addr), "{\"@type\":\"alive\"}\n");
    assigner.signal(Signal::TERM);
    assert!(assigner.process.wait().unwrap().success());
}

/// Hundreds of idle connections must not take a collector's place, whether the limit is the configured one or that of
/// the system.
#[test]
fn many_idle_connections_are_closed_and_collectors_stay_connected() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    fs::write(&path, config_with_sockets(unused_address(), unused_address(), 100)).unwrap();
    let starts = [AssignerProcess::start as fn(&Path) -> _, |path| {
        AssignerProcess::start_with_max_descriptors(path, 40)
    }];
    for start in starts {
        let (_assigner, addr) = start(&path);
        let mut collector = connect_collector(addr);
        let idle_connections: Vec<TcpStream> = (0..300).map(|_| TcpStream::connect(addr).unwrap()).collect();
        let mut second = connect_collector(addr);
        for stream in [&mut collector, &mut second] {
            let mut line = String::new();
            BufReader::new(stream).read_line(&mut line).unwrap();
            assert_eq!(line, "{\"@type\":\"alive\"}\n");
        }
        for mut stream in idle_connections {
            // Each connection must end, by an answer and a close or by a reset.
            stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
            let ended = stream.read_to_end(&mut Vec::new()).map_err(|error| error.kind());
            assert!(matches!(ended, Ok(_) | Err(ErrorKind::ConnectionReset)), "{ended:?}");
        }
    }
}

/// The limit on a zone's collectors must not close the one that has just joined when it was the first to connect. Such
/// a close once crashed the assigner.
#[test]
fn collector_that_connects_first_and_joins_last_stays_connected() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    fs::write(&path, config(unused_address(), unused_address())).unwrap();
    let (_assigner, addr) = AssignerProcess::start(&path);
    let mut first = TcpStream::connect(addr).unwrap();
    // Each was answered, so each was accepted after the first.
    let others: Vec<TcpStream> = (0..4)
        .map(|_| {
            let mut stream = connect_collector(addr);
            stream.read_exact(&mut [0; 18]).unwrap();
            stream
        })
        .collect();
    first.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    first.write_all(b"{\"@type\":\"agent\",\"site\":\"a\"}\n{\"@type\":\"probe\"}\n").unwrap();
    let mut line = String::new();
    BufReader::new(first).read_line(&mut line).unwrap();
    assert_eq!(line, "{\"@type\":\"alive\"}\n");
    assert_eq!(probe_assigner(addr), "{\"@type\":\"alive\"}\n");
    drop(others);
}

#[test]
fn peer_that_never_reads_does_not_delay_others() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    fs::write(&path, config(unused_address(), unused_address())).unwrap();
    let (_assigner, addr) = AssignerProcess::start(&path);
    let mut non_reading_peer = TcpStream::connect(addr).unwrap();
    non_reading_peer.set_write_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let probes = b"{\"@type\":\"probe\"}\n".repeat(10_000);
    // It is closed when its answers reach their limit, or at the latest when its time to join is over.
    let closed = (0..100_000).any(|_| non_reading_peer.write_all(&probes).is_err());
    assert!(closed);
    assert_eq!(probe_assigner(addr), "{\"@type\":\"alive\"}\n");
}

#[test]
fn invalid_configuration_is_reported_in_one_line_with_exit_code_2() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let valid_config = config("127.0.0.1:1".parse().unwrap(), "127.0.0.1:1".parse().unwrap());
    for (text, wanted) in [
        (valid_config.replace("\"writeLease\":100.0", "\"writeLease\":\"long\""), "familyInfo.writeLease"),
        (valid_config.replace("\"seed\":\"5\"", "\"seed\":\"?\""), "seed"),
        ("{".to_string(), "JSON"),
    ] {
        fs::write(&path, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
        let output = command.args(["assigner", "--platform"]).env("BALANCER_CONFIG", &path).output().unwrap();
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), log.lines().count()), (Some(2), 1), "{log}");
        assert!(log.contains(wanted) && log.contains("config.json"), "{log}");
    }
}
