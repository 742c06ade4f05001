//! The end of an assigner: from SIGTERM until the platform's earliest kill its address is served as before, and then
//! for as long as somebody asks, up to a bound.

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use whinhill_standins::platform::clients::{Clients, Ending, Plan, Request};

use support::config::{config, configured};
use support::nobody;
use support::running::Running;

/// The platform kills a process no sooner than this after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// No connection ends for the signal's sake before.
const SERVED_FOR: Duration = Duration::from_millis(750);
/// A request that was sent later than this before the kill may be cut by it.
const CUT_WITHIN: Duration = Duration::from_millis(20);
/// Clients that were told to stop have had their answers within this.
const ANSWER_WITHIN: Duration = Duration::from_secs(3);

fn start_clients(addr: SocketAddr, clients: usize, never_look: usize, seed: u64) -> Clients {
    let think_most = Duration::from_millis(50);
    Clients::start(addr, Plan { clients, never_look, think_most, answer_within: ANSWER_WITHIN, seed })
        .unwrap()
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Kills the process at the platform's earliest; until when requests had to be answered.
fn kill(running: &mut Running, terminated: Instant) -> Instant {
    sleep_until(terminated + KILL_AFTER);
    let killed = Instant::now();
    running.signal(Signal::KILL);
    running.0.wait().unwrap();
    // Where this machine was late with the kill, the process may have begun to end.
    killed.min(terminated + SERVED_FOR)
}

/// What came of the requests of clients that never look for the other side's end.
struct Outcome {
    /// Sent well before a moment, and those of them that got no answer.
    owed: usize,
    lost: Vec<Request>,
    /// Sent later, and not answered.
    cut: usize,
    /// Each client was to keep its first connection until then.
    reconnected: usize,
}

/// Stops so many clients, and judges what they sent until a moment.
fn outcome_until(until: Instant, clients: Clients, count: usize, what: &str) -> Outcome {
    let owed_until = until.saturating_duration_since(clients.started).saturating_sub(CUT_WITHIN);
    let (owed, late): (Vec<Request>, Vec<Request>) =
        clients.stop().into_iter().partition(|request| request.written <= owed_until);
    let connections: BTreeSet<_> = owed.iter().map(|request| request.local).collect();
    let outcome = Outcome {
        owed: owed.len(),
        reconnected: connections.len().saturating_sub(count),
        lost: owed.into_iter().filter(|request| request.ending != Ending::Answered).collect(),
        cut: late.iter().filter(|request| !request.ending.is_answer()).count(),
    };
    let Outcome { owed, lost, cut, reconnected } = &outcome;
    println!("{what}: {owed} owed, {} lost, {reconnected} reconnected; {cut} later ones cut", lost.len());
    assert!(*owed > count, "{what}: {owed} requests of {count} clients");
    outcome
}

impl Outcome {
    fn check(&self, what: &str) {
        let first = &self.lost[..self.lost.len().min(5)];
        assert!(self.lost.is_empty(), "{what}: {} lost, the first: {first:#?}", self.lost.len());
        assert_eq!(self.reconnected, 0, "{what}: connections were closed by us");
    }
}

/// Clients that go on asking on their open connections, whatever the process does, lose nothing to its end before
/// the kill. A crowd is there already, or comes with the signals.
#[test]
fn clients_that_never_look_for_the_end_are_answered_until_the_kill() {
    let mut outcomes = Vec::new();
    for seed in 0..9 {
        let (_folder, path) = configured(&config(nobody(), nobody()));
        let (mut running, addr) = Running::start(&path);
        // As many as there are places before the signals.
        let standing = if seed % 3 == 1 { 180 } else { 40 };
        let clients = start_clients(addr, standing, standing, seed);
        thread::sleep(Duration::from_millis(600));
        let terminated = running.send_series(seed);
        let crowd = (seed % 3 == 0).then(|| start_clients(addr, 200, 200, seed + 100));
        let until = kill(&mut running, terminated);
        outcomes.push(outcome_until(until, clients, standing, &format!("seed {seed}")));
        outcomes
            .extend(crowd.map(|crowd| outcome_until(until, crowd, 200, &format!("seed {seed}, its crowd"))));
    }
    outcomes.iter().for_each(|outcome| outcome.check("nine seeds"));
}
