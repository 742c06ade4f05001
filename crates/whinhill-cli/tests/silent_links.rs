//! Paths that go silent one way while their connections stand, and connects that fail at once.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver};
use std::thread;

use whinhill_standins::link::{Direction, Link};

use support::config::{config, configured};
use support::discovery::{entry, list_of, Discovery};
use support::relay::Relay;
use support::running::{command_with_faults_and_log, Running};
use support::{orders_with, wait_for, Saw};

/// A first list with one server, and the change that a drain of it and a second server make.
fn first() -> String {
    list_of(1, true, &[entry("s-1", "SERVING", 0)])
}

fn change() -> String {
    list_of(2, false, &[entry("s-2", "SERVING", 0), entry("s-1", "DRAINING", 0)])
}

/// Discovery and a relay that stand, and what they see.
struct Site {
    discovery: Discovery,
    relay: Relay,
    saw: Receiver<Saw>,
}

impl Site {
    fn start(first: String) -> Self {
        let (sender, saw) = channel();
        let (discovery, relay) = (Discovery::start(first), Relay::start("s-1", sender));
        relay.keep_alive();
        Site { discovery, relay, saw }
    }

    /// The change, told and followed.
    fn change(&self) {
        self.discovery.tell(&change());
        self.wait_for_grant();
    }

    fn wait_for_grant(&self) {
        wait_for(&self.saw, "a grant to the other server", orders_with("put,0,s-2,1"));
    }

    fn wait_for_news(&self) {
        wait_for(&self.saw, "the news", |saw| *saw == Saw::Watch);
    }
}

/// A path that can fall silent.
fn link_to(addr: SocketAddr) -> Link {
    Link::start(addr, |_| {}).unwrap()
}

/// Ends what stands on a silent path, and carries again.
fn mend(link: &Link) {
    link.cut(true);
    link.stall(Direction::Back, false);
    link.cut(false);
}

/// What the assigner sends vanishes for a while, and the news go on: the call is in doubt, and is made again.
#[test]
fn a_call_that_vanishes_on_the_way_is_made_again() {
    let site = Site::start(first());
    let link = link_to(site.relay.addr);
    let (_folder, path) = configured(&config(link.addr(), site.discovery.addr));
    let (running, _) = Running::start(&path);
    site.discovery.wait_for_watch();
    site.wait_for_news();
    running.wait_for_log("news of the relay stand");
    link.stall(Direction::To, true);
    site.discovery.tell(&change());
    running.wait_for_log("a call's outcome is unknown");
    link.stall(Direction::To, false);
    site.wait_for_grant();
}

/// Neither answers nor news arrive, while what the assigner sends does: after a while the news count as lost, and what
/// stands is told anew on another connection.
#[test]
fn news_that_fall_silent_are_asked_for_again() {
    let site = Site::start(first());
    let link = link_to(site.relay.addr);
    let (_folder, path) = configured(&config(link.addr(), site.discovery.addr));
    let (running, _) = Running::start(&path);
    site.discovery.wait_for_watch();
    running.wait_for_log("news of the relay stand");
    link.stall(Direction::Back, true);
    running.wait_for_log("no news of the relay");
    site.discovery.tell(&change());
    link.stall(Direction::Back, false);
    running.wait_for_log("news of the relay stand");
    site.wait_for_grant();
}

/// Discovery's answers do not arrive: the watch is given up, others are opened, and the change comes with the first
/// that is answered.
#[test]
fn a_watch_that_falls_silent_is_opened_again() {
    let site = Site::start(first());
    let link = link_to(site.discovery.addr);
    let (_folder, path) = configured(&config(site.relay.addr, link.addr()));
    let (running, _) = Running::start(&path);
    site.discovery.wait_for_watch();
    site.wait_for_news();
    link.stall(Direction::Back, true);
    running.wait_for_log("discovery fails");
    mend(&link);
    running.wait_for_log("discovery answers again");
    site.discovery.use_newest_watch();
    site.change();
}

/// A server that answers each question about its load.
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

/// A connect that fails at once has asked nobody: the probe is made again, and the server does not count as silent.
#[test]
fn a_server_is_not_silent_when_connects_to_it_fail_at_once() {
    const PROBES: usize = 30;
    let server = entry("s-1", "SERVING", 0).replace("127.0.0.1:9", &probed_server().to_string());
    let site = Site::start(list_of(1, true, &[server]));
    let text =
        config(site.relay.addr, site.discovery.addr).replace(r#""mayProbe":false"#, r#""mayProbe":true"#);
    let (_folder, path) = configured(&text);
    let faults = "seed=7 connect=EADDRNOTAVAIL|ENETUNREACH@0.6";
    let command = command_with_faults_and_log(faults, "info,whinhill::trace=trace");
    let (running, _) = Running::spawn(command, &path);
    let probed: Vec<String> = (0..PROBES).flat_map(|_| running.log_until("event Probed")).collect();
    assert_eq!(probed.iter().find(|line| line.contains("Unanswered")), None, "{probed:#?}");
}

/// The stored list is empty and discovery does not answer: a server that the relay names as an owner is not gone for
/// want of a list.
#[test]
fn no_line_is_ended_before_any_list_was_had() {
    let site = Site::start(first());
    let link = link_to(site.discovery.addr);
    link.stall(Direction::Back, true);
    let (_folder, path) = configured(&config(site.relay.addr, link.addr()));
    let (running, _) = Running::start(&path);
    running.wait_for_log("discovery fails");
    let ended: Vec<Saw> = site.saw.try_iter().filter(|saw| *saw != Saw::Watch).collect();
    assert_eq!(ended, []);
    mend(&link);
    running.wait_for_log("news of the relay stand");
    site.discovery.use_newest_watch();
    site.change();
}
