//! Clients that keep sending requests on open connections: each request gets its final answer, despite signals, many
//! clients and transient errors of reads and writes.

mod support;

use std::collections::BTreeSet;
use std::path::Path;
use std::thread;
use std::time::Duration;

use whinhill_standins::platform::clients::{ClientPlan, Clients, Request, RequestCounts};

use support::config::{config, write_config};
use support::running::AssignerProcess;
use support::unused_address;

/// Minimum time from SIGTERM until the platform kills a process.
const MIN_KILL_DELAY: Duration = Duration::from_millis(700);
/// A request sent less than this before the kill may go unanswered.
const UNANSWERED_BEFORE_KILL: Duration = Duration::from_millis(20);
/// Maximum wait for the answers of clients after they were told to stop.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// The plan of clients that check for a close of the connection before each request.
fn plan(clients: usize, seed: u64) -> ClientPlan {
    ClientPlan {
        clients,
        never_check: 0,
        half_close: 0,
        max_think_time: Duration::from_millis(50),
        answer_timeout: ANSWER_TIMEOUT,
        seed,
    }
}

/// The requests that got no final answer.
fn unanswered(requests: &[Request]) -> Vec<&Request> {
    requests.iter().filter(|request| !request.ending.is_answer()).collect()
}

/// Runs clients against an assigner with failing system calls for a time; returns their requests.
fn run_clients(path: &Path, faults: &str, clients: usize, time: Duration) -> Vec<Request> {
    let (_assigner, addr) = AssignerProcess::start_with_faults(path, faults);
    let clients = Clients::start(addr, plan(clients, 1)).unwrap();
    thread::sleep(time);
    clients.stop()
}

/// The process gets SIGHUP and SIGTERM in series, and is killed at the earliest time that the platform allows. It must
/// not end before, and requests sent before the kill must be answered.
#[test]
fn requests_before_kill_are_answered_despite_series_of_signals() {
    for seed in 0..6 {
        let extra_clients = if seed % 3 == 0 { 200 } else { 0 };
        let (_folder, path) = write_config(&config(unused_address(), unused_address()));
        let (mut assigner, addr) = AssignerProcess::start(&path);
        let clients = Clients::start(addr, plan(40 + extra_clients, seed)).unwrap();
        thread::sleep(Duration::from_millis(600));
        let sigterm_at = assigner.send_signal_series(seed);
        thread::sleep(MIN_KILL_DELAY.saturating_sub(sigterm_at.elapsed()));
        assert!(
            assigner.process.try_wait().unwrap().is_none(),
            "seed {seed}: the process ended before the kill"
        );
        let kill = assigner.kill();
        let killed_at = kill.at - kill.starved_for - clients.started;
        let requests = clients.stop();
        let (early, late): (Vec<Request>, Vec<Request>) = requests
            .into_iter()
            .partition(|request| request.written_at + UNANSWERED_BEFORE_KILL <= killed_at);
        println!("seed {seed}: {} requests, {} later ones unanswered", early.len(), unanswered(&late).len());
        assert!(early.len() > 100, "seed {seed}: {} requests", early.len());
        assert!(unanswered(&early).is_empty(), "seed {seed}: unanswered: {:#?}", unanswered(&early));
    }
}

/// Some reads and writes fail for want of memory or buffers. This says nothing about the other side, so no connection
/// may be closed for it.
#[test]
fn transient_read_and_write_errors_lose_no_answer() {
    let schedules =
        ["write=ENOBUFS@0.3", "read=ENOBUFS|ENOMEM@0.05 write=ENOBUFS|ENOMEM@0.05", "read=ENOMEM@0.2"];
    let (_folder, path) = write_config(&config(unused_address(), unused_address()));
    for faults in schedules {
        let requests = run_clients(&path, faults, 40, Duration::from_secs(2));
        println!("{faults}: {:?}", RequestCounts::from_requests(&requests));
        assert!(unanswered(&requests).is_empty(), "{faults}: {:?}", RequestCounts::from_requests(&requests));
    }
}

/// System calls report that they would block although data or buffer space is available. Answers may be late by at most
/// a tenth of a second, or by a second where most accepts fail.
#[test]
fn spurious_would_block_delays_answers_within_bounds() {
    let schedules = [
        ("read=EAGAIN@0.1 write=EAGAIN@0.1", 100),
        ("read=EAGAIN@0.6 write=EAGAIN@0.6", 100),
        ("read=EAGAIN|short@0.6 write=EAGAIN|short@0.6 accept=EAGAIN@0.6", 100),
        ("accept=EAGAIN@0.97", 1000),
    ];
    let (_folder, path) = write_config(&config(unused_address(), unused_address()));
    // The slowest answer without faults, on the machine as busy as it is now.
    let slowest_without_faults =
        RequestCounts::from_requests(&run_clients(&path, "", 40, Duration::from_secs(2))).slowest;
    for (faults, max_delay_ms) in schedules {
        let requests = run_clients(&path, faults, 40, Duration::from_secs(2));
        println!("{faults}: {:?}", RequestCounts::from_requests(&requests));
        assert!(unanswered(&requests).is_empty(), "{faults}: {:?}", RequestCounts::from_requests(&requests));
        let slowest = RequestCounts::from_requests(&requests).slowest;
        assert!(
            slowest < slowest_without_faults + Duration::from_millis(max_delay_ms),
            "{faults}: {slowest:?}, without faults {slowest_without_faults:?}"
        );
    }
}

/// A client that keeps sending requests must not be refused for not having joined. Requests of twice as many clients as
/// there are connection slots must be answered too.
#[test]
fn more_active_clients_than_places_are_all_answered() {
    let (_folder, path) = write_config(&config(unused_address(), unused_address()));
    let (_assigner, addr) = AssignerProcess::start(&path);
    let few_clients = Clients::start(addr, plan(60, 1)).unwrap();
    thread::sleep(Duration::from_secs(3));
    let requests = few_clients.stop();
    let counts = RequestCounts::from_requests(&requests);
    assert_eq!((counts.refused, counts.unanswered), (0, 0), "{counts:?}: {:#?}", unanswered(&requests));
    // Each client still used its first connection.
    let connections: BTreeSet<_> = requests.iter().map(|request| request.local_addr).collect();
    assert_eq!(connections.len(), 60);
    let many_clients = Clients::start(addr, plan(400, 2)).unwrap();
    thread::sleep(Duration::from_secs(3));
    let requests = many_clients.stop();
    let counts = RequestCounts::from_requests(&requests);
    assert!(unanswered(&requests).is_empty(), "{counts:?}: {:#?}", unanswered(&requests));
    assert!(counts.slowest < Duration::from_secs(2), "{counts:?}");
}

/// All connection slots are taken and answers wait to be written: no connection may be closed before its answer has
/// been sent.
#[test]
fn more_clients_than_places_are_answered_despite_blocked_writes() {
    let (_folder, path) = write_config(&config(unused_address(), unused_address()));
    let requests = run_clients(&path, "read=EAGAIN@0.5 write=EAGAIN@0.5", 300, Duration::from_secs(2));
    assert!(unanswered(&requests).is_empty(), "{:?}", RequestCounts::from_requests(&requests));
}
