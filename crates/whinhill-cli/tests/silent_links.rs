//! Links that lose all data in one direction while their connections stay open, and connects that fail at once.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver};
use std::thread;

use whinhill_standins::link::{Direction, Link};

use support::config::{config, write_config};
use support::discovery::{list_json, server_json, Discovery};
use support::relay::Relay;
use support::running::{assigner_command_with_faults_and_log_level, AssignerProcess};
use support::{orders_containing, wait_for_event, StandInEvent};

/// The first list, with one server.
fn first_list() -> String {
    list_json(1, true, &[server_json("s-1", "SERVING", 0)])
}

/// The change that drains the first server and adds a second one.
fn list_change() -> String {
    list_json(2, false, &[server_json("s-2", "SERVING", 0), server_json("s-1", "DRAINING", 0)])
}

/// Discovery and a relay, and the events that the relay observed.
struct StandIns {
    discovery: Discovery,
    relay: Relay,
    events: Receiver<StandInEvent>,
}

impl StandIns {
    fn start(first_list: String) -> Self {
        let (sender, events) = channel();
        let (discovery, relay) = (Discovery::start(first_list), Relay::start("s-1", sender));
        relay.start_keep_alives();
        StandIns { discovery, relay, events }
    }

    /// Sends the change, and waits until the assigner follows it.
    fn send_change_and_wait_for_grant(&self) {
        self.discovery.send_list(&list_change());
        self.wait_for_grant();
    }

    fn wait_for_grant(&self) {
        wait_for_event(&self.events, "a grant to the second server", orders_containing("put,0,s-2,1"));
    }

    fn wait_for_relay_watch(&self) {
        wait_for_event(&self.events, "a watch stream at the relay", |event| {
            *event == StandInEvent::RelayWatchOpened
        });
    }
}

/// A link whose directions can be stalled.
fn link_to(addr: SocketAddr) -> Link {
    Link::start(addr, |_| {}).unwrap()
}

/// Closes the connections of a stalled link, and makes it forward again.
fn restore(link: &Link) {
    link.set_down(true);
    link.set_stalled(Direction::Back, false);
    link.set_down(false);
}

/// Data sent by the assigner is lost for a while, and the watch stream goes on: the outcome of the call is unknown, and
/// the call must be made again.
#[test]
fn call_lost_on_the_link_is_made_again() {
    let stand_ins = StandIns::start(first_list());
    let link = link_to(stand_ins.relay.addr);
    let (_folder, path) = write_config(&config(link.addr(), stand_ins.discovery.addr));
    let (assigner, _) = AssignerProcess::start(&path);
    stand_ins.discovery.wait_for_watch();
    stand_ins.wait_for_relay_watch();
    assigner.wait_for_log("relay watch synchronized");
    link.set_stalled(Direction::To, true);
    stand_ins.discovery.send_list(&list_change());
    assigner.wait_for_log("a call's outcome is unknown");
    link.set_stalled(Direction::To, false);
    stand_ins.wait_for_grant();
}

/// Neither answers nor watch updates arrive, while data sent by the assigner does. After a while the watch stream must
/// count as lost, and a new one must be opened on another connection.
#[test]
fn silent_watch_stream_of_relay_is_reopened() {
    let stand_ins = StandIns::start(first_list());
    let link = link_to(stand_ins.relay.addr);
    let (_folder, path) = write_config(&config(link.addr(), stand_ins.discovery.addr));
    let (assigner, _) = AssignerProcess::start(&path);
    stand_ins.discovery.wait_for_watch();
    assigner.wait_for_log("relay watch synchronized");
    link.set_stalled(Direction::Back, true);
    assigner.wait_for_log("relay watch lost");
    stand_ins.discovery.send_list(&list_change());
    link.set_stalled(Direction::Back, false);
    assigner.wait_for_log("relay watch synchronized");
    stand_ins.wait_for_grant();
}

/// Discovery's answers do not arrive. The watch must be abandoned and others opened, and the change arrives on the
/// first that is answered.
#[test]
fn silent_discovery_watch_is_reopened() {
    let stand_ins = StandIns::start(first_list());
    let link = link_to(stand_ins.discovery.addr);
    let (_folder, path) = write_config(&config(stand_ins.relay.addr, link.addr()));
    let (assigner, _) = AssignerProcess::start(&path);
    stand_ins.discovery.wait_for_watch();
    stand_ins.wait_for_relay_watch();
    link.set_stalled(Direction::Back, true);
    assigner.wait_for_log("discovery fails");
    restore(&link);
    assigner.wait_for_log("discovery answers again");
    stand_ins.discovery.use_newest_watch();
    stand_ins.send_change_and_wait_for_grant();
}

/// Starts a server that answers every probe.
fn probed_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = String::new();
            let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut request);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ninflight=7");
        }
    });
    addr
}

/// A connect that fails at once never reached the server. The probe must be made again, and the server must not count
/// as unresponsive.
#[test]
fn locally_failed_connects_do_not_count_as_unanswered_probes() {
    const PROBES: usize = 30;
    let server = server_json("s-1", "SERVING", 0).replace("127.0.0.1:9", &probed_server().to_string());
    let stand_ins = StandIns::start(list_json(1, true, &[server]));
    let text = config(stand_ins.relay.addr, stand_ins.discovery.addr)
        .replace(r#""mayProbe":false"#, r#""mayProbe":true"#);
    let (_folder, path) = write_config(&text);
    let faults = "seed=7 connect=EADDRNOTAVAIL|ENETUNREACH@0.6";
    let command = assigner_command_with_faults_and_log_level(faults, "info,whinhill::trace=trace");
    let (assigner, _) = AssignerProcess::spawn(command, &path);
    let probe_lines: Vec<String> =
        (0..PROBES).flat_map(|_| assigner.read_log_until("event Probed")).collect();
    assert_eq!(probe_lines.iter().find(|line| line.contains("Unanswered")), None, "{probe_lines:#?}");
}

/// The stored list is empty and discovery does not answer. A server that the relay names as an owner must keep its
/// line: without any list it is not known to be gone.
#[test]
fn line_is_kept_until_first_server_list_arrives() {
    let stand_ins = StandIns::start(first_list());
    let link = link_to(stand_ins.discovery.addr);
    link.set_stalled(Direction::Back, true);
    let (_folder, path) = write_config(&config(stand_ins.relay.addr, link.addr()));
    let (assigner, _) = AssignerProcess::start(&path);
    assigner.wait_for_log("discovery fails");
    let calls: Vec<StandInEvent> =
        stand_ins.events.try_iter().filter(|event| *event != StandInEvent::RelayWatchOpened).collect();
    assert_eq!(calls, []);
    restore(&link);
    assigner.wait_for_log("relay watch synchronized");
    stand_ins.discovery.use_newest_watch();
    stand_ins.send_change_and_wait_for_grant();
}
