//! The assigner on the platform as a process, with small stand-ins of relay, discovery and collector: it starts,
//! grants, survives a cut relay and a new configuration, and ends in time.

mod support;

use std::fs;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use support::config::{config, config_with};
use support::discovery::{discovery, discovery_with, list};
use support::relay::{Does, Relay};
use support::running::Running;
use support::{ask_alive, collect, granted, nobody, orders_with, wait_for, Saw, WITHIN};

#[test]
fn it_serves_through_a_cut_relay_and_a_new_configuration_and_ends_in_time() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, saw) = channel();
    let discovery = discovery(sender.clone());
    // The store names an owner that discovery does not list: the slice must be given another.
    let relay = Relay::start("s-gone", sender.clone());
    fs::write(&path, config(relay.addr, discovery)).unwrap();
    let (mut running, addr) = Running::start(&path);
    assert_eq!(ask_alive(addr), "{\"@type\":\"alive\"}\n");
    wait_for(&saw, "a grant", granted);

    // A collector's report is taken, a stranger's HTTP is answered by a close.
    let mut collector = TcpStream::connect(addr).unwrap();
    collector.write_all(b"{\"@type\":\"agent\",\"site\":\"a\"}\n").unwrap();
    let mut stranger = TcpStream::connect(addr).unwrap();
    stranger.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    let _ = stranger.set_read_timeout(Some(WITHIN));
    let mut answer = Vec::new();
    let _ = stranger.read_to_end(&mut answer);

    // The news come back. They name the first owner again, so the slice is judged, and granted, anew.
    relay.cut();
    wait_for(&saw, "a watch of the relay after the cut", |saw| *saw == Saw::Watch);
    wait_for(&saw, "a grant after the cut", granted);

    // A broken file changes nothing; a new one moves the relay.
    fs::write(&path, "{").unwrap();
    running.signal(Signal::HUP);
    assert_eq!(ask_alive(addr), "{\"@type\":\"alive\"}\n");
    let moved = Relay::start("s-gone", sender);
    fs::write(&path, config(moved.addr, discovery)).unwrap();
    running.signal(Signal::HUP);
    wait_for(&saw, "a watch of the new relay", |saw| *saw == Saw::Watch);
    wait_for(&saw, "a grant at the new relay", granted);

    // Two in a row, the second before the first is done with.
    running.signal(Signal::HUP);
    running.signal(Signal::HUP);
    assert_eq!(ask_alive(addr), "{\"@type\":\"alive\"}\n");

    running.signal(Signal::TERM);
    assert!(running.0.wait().unwrap().success());
}

/// The configuration moves the relay while a call waits for its answer there: its orders must not be lost.
#[test]
fn a_call_that_a_new_configuration_overtakes_is_sent_again_at_the_new_address() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, saw) = channel();
    let discovery = discovery(sender.clone());
    let mute = Relay::start_with("s-gone", Does::Nothing, sender.clone());
    fs::write(&path, config(mute.addr, discovery)).unwrap();
    let (running, _) = Running::start(&path);
    let revoked = orders_with("put,0,s-gone,0");
    wait_for(&saw, "a call at the first relay", &revoked);
    let (sender, saw) = channel();
    let next = Relay::start("s-gone", sender);
    fs::write(&path, config(next.addr, discovery)).unwrap();
    running.signal(Signal::HUP);
    wait_for(&saw, "the same orders at the next relay", &revoked);
    wait_for(&saw, "a grant at the next relay", granted);
}

/// A call is carried out and its answer lost, over and over. Its orders would fill the channel twice over, so that
/// each is sent again only when the time for which the rules wait is over, and not at once.
#[test]
fn a_call_in_doubt_that_would_fill_the_channel_is_not_sent_again_at_once() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, saw) = channel();
    let discovery = discovery(sender.clone());
    let mute = Relay::start_with("s-gone", Does::Nothing, sender);
    let narrow = [("backlog\":60000.0", "backlog\":6.0"), ("linesPerS\":40000.0", "linesPerS\":1.0")];
    let narrow = narrow.iter().chain(&[("overhead\":8.0", "overhead\":1.0")]);
    let wide = config(mute.addr, discovery);
    fs::write(&path, narrow.fold(wide, |text, (from, to)| text.replace(from, to))).unwrap();
    let (_running, _) = Running::start(&path);
    let revoked = orders_with("put,0,s-gone,0");
    wait_for(&saw, "a call", &revoked);
    let first = Instant::now();
    wait_for(&saw, "the same call", &revoked);
    // On a new connection the answer is waited for 0.5 s, and then room for 0.5 s.
    assert!(first.elapsed() >= Duration::from_millis(950), "{:?}", first.elapsed());
}

/// The relay moves under a handover. What the former address still tells counts until the new one has told what
/// stands, which here it never does: the mark's answer must reach the handover, and the grant the new address.
#[test]
fn the_former_news_go_on_until_the_new_address_has_told_what_stands() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, saw) = channel();
    let discovery = discovery(sender.clone());
    let former = Relay::start_with("s-gone", Does::KeepsMarks, sender);
    fs::write(&path, config(former.addr, discovery)).unwrap();
    let (running, _) = Running::start(&path);
    wait_for(&saw, "a mark", orders_with("fence,1,1"));
    let (sender, saw) = channel();
    let next = Relay::start_with("s-gone", Does::TellsForEver, sender);
    fs::write(&path, config(next.addr, discovery)).unwrap();
    running.signal(Signal::HUP);
    running.wait_for_log("new configuration");
    former.tell("* ack 0 1 1.0\r\n");
    wait_for(&saw, "a grant at the new address", granted);
}

/// The last answer after a line was taken away is lost with the news: it must be asked for again, or the slice
/// has no owner for good.
#[test]
fn an_answer_lost_with_the_news_is_asked_for_again() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, saw) = channel();
    let discovery = discovery(sender.clone());
    let relay = Relay::start_with("s-gone", Does::LosesAnAnswer, sender);
    fs::write(&path, config(relay.addr, discovery)).unwrap();
    let (_running, _) = Running::start(&path);
    wait_for(&saw, "the first watch", |saw| *saw == Saw::Watch);
    wait_for(&saw, "a mark whose answer is lost", orders_with("fence,"));
    // Nothing is granted on what was never heard.
    let next = |saw: &Saw| *saw == Saw::Watch || granted(saw);
    let mut seen = Saw::List;
    while !next(&seen) {
        seen = saw.recv_timeout(WITHIN).expect("the news come back");
    }
    assert_eq!(seen, Saw::Watch);
    wait_for(&saw, "a mark again", orders_with("fence,"));
    wait_for(&saw, "a grant", granted);
}

/// A call is answered while the relay still tells what stood before it: that line is ours, not another's, and the
/// slice must not be given a second owner.
#[test]
fn what_the_relay_told_before_a_call_is_not_anothers_line() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, saw) = channel();
    let discovery = discovery(sender.clone());
    let relay = Relay::start_with("s-gone", Does::HoldsAGrant, sender);
    fs::write(&path, config(relay.addr, discovery)).unwrap();
    let (running, _) = Running::start(&path);
    wait_for(&saw, "a grant that is not answered at once", granted);
    let log = running.log_until("again=true");
    assert!(!log.iter().any(|line| line.contains("another line")), "{log:#?}");
}

/// The news break under a handover, and when they are back the line stands as it was. Somebody else may have had
/// the slice, whose levels were reset with it: writes must be stopped again before anybody else gets them.
#[test]
fn a_handover_that_the_news_broke_off_stops_writes_again() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, saw) = channel();
    let status = ["DRAINING", "SERVING"];
    let discovery = discovery_with(status, sender.clone());
    let relay = Relay::start_with("s-1", Does::LosesTheLevels, sender);
    let none = r#"{"index":0,"snapshot":true,"endpoints":[]}"#;
    fs::write(&path, config(relay.addr, discovery).replace(none, &list(status))).unwrap();
    let (_running, _) = Running::start(&path);
    wait_for(&saw, "a watch", |saw| *saw == Saw::Watch);
    let stops = orders_with("gate,0,book,0.000,0");
    wait_for(&saw, "writes stopped", &stops);
    wait_for(&saw, "a watch after the break", |saw| *saw == Saw::Watch);
    let mut seen = Saw::List;
    while !stops(&seen) && !granted(&seen) {
        seen = saw.recv_timeout(WITHIN).expect("writes stopped again, or a grant");
    }
    assert!(stops(&seen), "{seen:?}");
    wait_for(&saw, "a grant", granted);
}

/// A second answer would be taken for the next call's: that connection is not used again.
#[test]
fn a_relay_that_answers_twice_costs_its_connection_and_no_grant() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, saw) = channel();
    let discovery = discovery(sender.clone());
    let relay = Relay::start_with("s-gone", Does::AnswersTwice, sender);
    fs::write(&path, config(relay.addr, discovery)).unwrap();
    let (running, _) = Running::start(&path);
    running.wait_for_log("out of step");
    wait_for(&saw, "a grant", granted);
    // One for the news, one that was out of step, one for what followed.
    assert!(relay.streams.lock().unwrap().len() >= 3);
}

/// Descriptors run out in a connect: who is connected is served on, and the relay is found again when some are free.
#[test]
fn out_of_descriptors_in_a_connect_it_serves_on_and_comes_back() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let (sender, saw) = channel();
    let discovery = discovery(sender.clone());
    let relay = Relay::start("s-gone", sender);
    fs::write(&path, config(relay.addr, discovery)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
    command.args(["--log-level", "debug", "assigner", "--platform"]);
    let (running, addr) = Running::spawn(command, &path);
    let mut collector = collect(addr);
    collector.read_exact(&mut [0; 18]).unwrap();
    wait_for(&saw, "a grant", granted);
    running.limit_descriptors(3);
    relay.cut();
    running.wait_for_log("connect: Too many open files");
    collector.write_all(b"{\"@type\":\"probe\"}\n").unwrap();
    collector.read_exact(&mut [0; 18]).unwrap();
    running.limit_descriptors(256);
    wait_for(&saw, "a watch of the relay", |saw| *saw == Saw::Watch);
    wait_for(&saw, "a grant after it", granted);
}

#[test]
fn it_starts_and_ends_while_discovery_and_relay_are_both_down() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    fs::write(&path, config(nobody(), nobody())).unwrap();
    let (mut running, addr) = Running::start(&path);
    assert_eq!(ask_alive(addr), "{\"@type\":\"alive\"}\n");
    running.signal(Signal::TERM);
    assert!(running.0.wait().unwrap().success());
}

/// Hundreds who say nothing must not cost a collector its place, by our own bound or by the system's.
#[test]
fn silent_crowds_are_closed_and_a_collector_keeps_its_place() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    fs::write(&path, config_with(nobody(), nobody(), 100)).unwrap();
    let starts = [Running::start as fn(&Path) -> _, |path| Running::start_with_descriptors(path, 40)];
    for start in starts {
        let (_running, addr) = start(&path);
        let mut collector = collect(addr);
        let crowd: Vec<TcpStream> = (0..300).map(|_| TcpStream::connect(addr).unwrap()).collect();
        let mut second = collect(addr);
        for stream in [&mut collector, &mut second] {
            let mut line = String::new();
            BufReader::new(stream).read_line(&mut line).unwrap();
            assert_eq!(line, "{\"@type\":\"alive\"}\n");
        }
        for mut stream in crowd {
            // An answer and an end, or a reset: but an end, and no wait without one.
            stream.set_read_timeout(Some(WITHIN)).unwrap();
            let ended = stream.read_to_end(&mut Vec::new()).map_err(|error| error.kind());
            assert!(matches!(ended, Ok(_) | Err(ErrorKind::ConnectionReset)), "{ended:?}");
        }
    }
}

/// The bound on a zone's collectors closed the one that had just joined, if it had connected first, and the
/// assigner fell over it.
#[test]
fn a_collector_that_connected_first_and_joins_last_stays() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    fs::write(&path, config(nobody(), nobody())).unwrap();
    let (_running, addr) = Running::start(&path);
    let mut first = TcpStream::connect(addr).unwrap();
    // Answered, so accepted after the first.
    let others: Vec<TcpStream> = (0..4)
        .map(|_| {
            let mut stream = collect(addr);
            stream.read_exact(&mut [0; 18]).unwrap();
            stream
        })
        .collect();
    first.set_read_timeout(Some(WITHIN)).unwrap();
    first.write_all(b"{\"@type\":\"agent\",\"site\":\"a\"}\n{\"@type\":\"probe\"}\n").unwrap();
    let mut line = String::new();
    BufReader::new(first).read_line(&mut line).unwrap();
    assert_eq!(line, "{\"@type\":\"alive\"}\n");
    assert_eq!(ask_alive(addr), "{\"@type\":\"alive\"}\n");
    drop(others);
}

#[test]
fn a_peer_that_never_reads_does_not_hold_up_the_others() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    fs::write(&path, config(nobody(), nobody())).unwrap();
    let (_running, addr) = Running::start(&path);
    let mut deaf = TcpStream::connect(addr).unwrap();
    deaf.set_write_timeout(Some(WITHIN)).unwrap();
    let many = b"{\"@type\":\"probe\"}\n".repeat(10_000);
    // It is closed when its time to join is over at the latest, or when its answers fill the bound.
    let closed = (0..100_000).any(|_| deaf.write_all(&many).is_err());
    assert!(closed);
    assert_eq!(ask_alive(addr), "{\"@type\":\"alive\"}\n");
}

#[test]
fn a_configuration_that_cannot_be_read_is_named_and_ends_with_2() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let whole = config("127.0.0.1:1".parse().unwrap(), "127.0.0.1:1".parse().unwrap());
    for (text, wanted) in [
        (whole.replace("\"writeLease\":100.0", "\"writeLease\":\"long\""), "familyInfo.writeLease"),
        (whole.replace("\"seed\":\"5\"", "\"seed\":\"?\""), "seed"),
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
