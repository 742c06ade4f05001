//! Clients that keep asking on open connections: each request gets its final answer, through signals, crowds and
//! transfers that fail for a moment.

mod support;

use std::collections::BTreeSet;
use std::path::Path;
use std::thread;
use std::time::Duration;

use whinhill_standins::platform::clients::{Clients, Plan, Request, Tally};

use support::config::{config, configured};
use support::nobody;
use support::running::Running;

/// The platform kills a process no sooner than this after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// A request that was sent later than this before the kill may be cut by it.
const CUT_WITHIN: Duration = Duration::from_millis(20);
/// Clients that were told to stop have had their answers within this.
const ANSWER_WITHIN: Duration = Duration::from_secs(3);

fn plan(clients: usize, seed: u64) -> Plan {
    Plan {
        clients,
        never_look: 0,
        half_close: 0,
        think_most: Duration::from_millis(50),
        answer_within: ANSWER_WITHIN,
        seed,
    }
}

/// Those that got no final answer.
fn unanswered(requests: &[Request]) -> Vec<&Request> {
    requests.iter().filter(|request| !request.ending.is_answer()).collect()
}

/// Clients ask for a time while nothing else happens but what the faults do.
fn ask_for(path: &Path, faults: &str, clients: usize, time: Duration) -> Vec<Request> {
    let (_running, addr) = Running::start_with_faults(path, faults);
    let clients = Clients::start(addr, plan(clients, 1)).unwrap();
    thread::sleep(time);
    clients.stop()
}

/// SIGHUP and SIGTERM come in series, and the process is killed at the page's earliest, which it does not end before.
/// Whoever has asked shortly before has an answer.
#[test]
fn requests_are_answered_through_series_of_signals() {
    for seed in 0..6 {
        let crowd = if seed % 3 == 0 { 200 } else { 0 };
        let (_folder, path) = configured(&config(nobody(), nobody()));
        let (mut running, addr) = Running::start(&path);
        let clients = Clients::start(addr, plan(40 + crowd, seed)).unwrap();
        thread::sleep(Duration::from_millis(600));
        let terminated = running.send_series(seed);
        thread::sleep(KILL_AFTER.saturating_sub(terminated.elapsed()));
        assert!(running.0.try_wait().unwrap().is_none(), "seed {seed}: it ended before the kill");
        let kill = running.kill();
        let killed = kill.at - kill.starved - clients.started;
        let requests = clients.stop();
        let (owed, late): (Vec<Request>, Vec<Request>) =
            requests.into_iter().partition(|request| request.written + CUT_WITHIN <= killed);
        println!("seed {seed}: {} owed, {} later ones cut", owed.len(), unanswered(&late).len());
        assert!(owed.len() > 100, "seed {seed}: {} requests", owed.len());
        assert!(unanswered(&owed).is_empty(), "seed {seed}: {:#?}", unanswered(&owed));
    }
}

/// The system is short of memory or buffers at some transfers: that says nothing of the other side.
#[test]
fn transfers_that_fail_for_a_moment_cost_no_answer() {
    let schedules =
        ["write=ENOBUFS@0.3", "read=ENOBUFS|ENOMEM@0.05 write=ENOBUFS|ENOMEM@0.05", "read=ENOMEM@0.2"];
    let (_folder, path) = configured(&config(nobody(), nobody()));
    for faults in schedules {
        let requests = ask_for(&path, faults, 40, Duration::from_secs(2));
        println!("{faults}: {:?}", Tally::of(&requests));
        assert!(unanswered(&requests).is_empty(), "{faults}: {:?}", Tally::of(&requests));
    }
}

/// Calls say that they would block though there is something to take, or room to write. Answers are no later than
/// by a tenth of a second, or by a second where hardly a call accepts.
#[test]
fn answers_are_soon_though_calls_say_that_they_would_block() {
    let schedules = [
        ("read=EAGAIN@0.1 write=EAGAIN@0.1", 100),
        ("read=EAGAIN@0.6 write=EAGAIN@0.6", 100),
        ("read=EAGAIN|short@0.6 write=EAGAIN|short@0.6 accept=EAGAIN@0.6", 100),
        ("accept=EAGAIN@0.97", 1000),
    ];
    let (_folder, path) = configured(&config(nobody(), nobody()));
    // What the machine itself costs at this moment.
    let plain = Tally::of(&ask_for(&path, "", 40, Duration::from_secs(2))).slowest;
    for (faults, later_ms) in schedules {
        let requests = ask_for(&path, faults, 40, Duration::from_secs(2));
        println!("{faults}: {:?}", Tally::of(&requests));
        assert!(unanswered(&requests).is_empty(), "{faults}: {:?}", Tally::of(&requests));
        let slowest = Tally::of(&requests).slowest;
        assert!(slowest < plain + Duration::from_millis(later_ms), "{faults}: {slowest:?}, plain {plain:?}");
    }
}

/// Whoever keeps asking is not refused for not having joined, and requests in a crowd of twice as many clients as
/// there are places are answered too.
#[test]
fn a_crowd_of_clients_that_keep_asking_is_answered() {
    let (_folder, path) = configured(&config(nobody(), nobody()));
    let (_running, addr) = Running::start(&path);
    let few = Clients::start(addr, plan(60, 1)).unwrap();
    thread::sleep(Duration::from_secs(3));
    let requests = few.stop();
    let tally = Tally::of(&requests);
    assert_eq!((tally.refused, tally.unanswered), (0, 0), "{tally:?}: {:#?}", unanswered(&requests));
    // Each went on using its first connection.
    let connections: BTreeSet<_> = requests.iter().map(|request| request.local).collect();
    assert_eq!(connections.len(), 60);
    let crowd = Clients::start(addr, plan(400, 2)).unwrap();
    thread::sleep(Duration::from_secs(3));
    let requests = crowd.stop();
    let tally = Tally::of(&requests);
    assert!(unanswered(&requests).is_empty(), "{tally:?}: {:#?}", unanswered(&requests));
    assert!(tally.slowest < Duration::from_secs(2), "{tally:?}");
}

/// Places are short, and answers wait to be written: no connection ends before its answer has left.
#[test]
fn a_crowd_is_answered_though_writes_would_block() {
    let (_folder, path) = configured(&config(nobody(), nobody()));
    let requests = ask_for(&path, "read=EAGAIN@0.5 write=EAGAIN@0.5", 300, Duration::from_secs(2));
    assert!(unanswered(&requests).is_empty(), "{:?}", Tally::of(&requests));
}
