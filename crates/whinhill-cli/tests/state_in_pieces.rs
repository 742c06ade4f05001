//! The relay's state arrives in pieces: what has not arrived yet is not gone. Each test plays one way in which the
//! assigner learns of its slices, with exclusive slices and with shared ones.

mod support;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use tempfile::TempDir;

use support::config::{config, write_config};
use support::discovery::start_discovery;
use support::paced_relay::PacedRelay;
use support::running::AssignerProcess;
use support::wait_until;

/// Between the pieces of a state, as after two losses of one segment. Heartbeats come each second.
const PAUSE: Duration = Duration::from_millis(600);
/// How long no order for a line may follow: several times longer than a handover takes with the settings of the tests.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);

/// An assigner process and the files of its configuration.
struct Assigner {
    process: AssignerProcess,
    discovery: SocketAddr,
    config_path: PathBuf,
    is_exclusive: bool,
    _folder: TempDir,
}

impl Assigner {
    fn start(relay: &PacedRelay, is_exclusive: bool) -> Self {
        let discovery = start_discovery(channel().0);
        let (folder, config_path) = write_config(&config_for(relay, discovery, is_exclusive));
        let (process, _) = AssignerProcess::start(&config_path);
        Assigner { process, discovery, config_path, is_exclusive, _folder: folder }
    }

    /// Changes the address of the relay.
    fn move_to(&self, relay: &PacedRelay) {
        fs::write(&self.config_path, config_for(relay, self.discovery, self.is_exclusive)).unwrap();
        self.process.signal(Signal::HUP);
    }
}

fn config_for(relay: &PacedRelay, discovery: SocketAddr, is_exclusive: bool) -> String {
    let ownership = format!("\"shards\":2,\"oneOwner\":{is_exclusive}");
    config(relay.addr, discovery).replace("\"shards\":2", &ownership)
}

fn lines(servers: &[&str]) -> Vec<Vec<String>> {
    servers.iter().map(|server| vec![server.to_string()]).collect()
}

/// Starts an assigner whose slices have all got lines by its own orders.
fn start_with_lines_ordered(is_exclusive: bool) -> (PacedRelay, Assigner) {
    let relay = PacedRelay::start(lines(&["s-gone", "s-gone"]), is_exclusive, None);
    let assigner = Assigner::start(&relay, is_exclusive);
    let is_granted = |servers: &Vec<String>| servers.len() == 1 && servers[0] != "s-gone";
    wait_until("a grant of each slice", || relay.slices().iter().all(is_granted));
    relay.take_line_orders();
    (relay, assigner)
}

/// Checks that no line is ordered while the state arrives, nor for a time after it.
fn assert_lines_untouched(relay: &PacedRelay, states_sent: usize) {
    wait_until("the complete state", || relay.states_sent() == states_sent);
    thread::sleep(OBSERVATION_TIME);
    assert_eq!(relay.take_line_orders(), [""; 0]);
}

/// Guards against a second owner after the watch stream broke: slices whose lines came 600 ms late were taken for
/// slices without a line, and granted to other servers while proxies wrote to their owners.
#[test]
fn state_in_pieces_after_a_break_gives_no_slice_a_second_owner() {
    for is_exclusive in [true, false] {
        let (relay, _assigner) = start_with_lines_ordered(is_exclusive);
        relay.set_pause(PAUSE);
        relay.break_watch();
        assert_lines_untouched(&relay, 2);
    }
}

/// Guards against the same at a new address of the relay, while the watch stream at the former one goes on.
#[test]
fn state_in_pieces_at_a_new_address_gives_no_slice_a_second_owner() {
    for is_exclusive in [true, false] {
        let (former_relay, assigner) = start_with_lines_ordered(is_exclusive);
        let relay = PacedRelay::start(former_relay.slices(), is_exclusive, Some(PAUSE));
        assigner.move_to(&relay);
        assert_lines_untouched(&relay, 1);
    }
}

/// Guards against a second owner at a start: a slice was granted before its line had come.
#[test]
fn state_in_pieces_at_a_start_gives_no_slice_a_second_owner() {
    for is_exclusive in [true, false] {
        let relay = PacedRelay::start(lines(&["s-1", "s-2"]), is_exclusive, Some(PAUSE));
        let _assigner = Assigner::start(&relay, is_exclusive);
        assert_lines_untouched(&relay, 1);
    }
}

/// Guards against a second owner of a slice that another assigner had: it was granted before its line had come.
#[test]
fn slice_acquired_with_a_late_line_gets_no_second_owner() {
    for is_exclusive in [true, false] {
        let relay = PacedRelay::start(lines(&["s-1"]), is_exclusive, None);
        let _assigner = Assigner::start(&relay, is_exclusive);
        wait_until("the first state", || relay.states_sent() == 1);
        relay.grant_slice_in_pieces(&["s-2"], PAUSE);
        assert_lines_untouched(&relay, 1);
    }
}

/// Guards against a line that stays for good: where slices are shared, the second line of one came late, after a line
/// had been ordered for it, and was taken for our own.
#[test]
fn late_second_line_of_a_shared_slice_is_removed() {
    let relay = PacedRelay::start(lines(&["s-1"]), false, None);
    let _assigner = Assigner::start(&relay, false);
    wait_until("the first state", || relay.states_sent() == 1);
    relay.grant_slice_in_pieces(&["s-1", "s-2"], PAUSE);
    wait_until("the end of the second line", || relay.slices()[1] == ["s-1"]);
}
