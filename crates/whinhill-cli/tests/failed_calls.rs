//! Calls to the relay that fail while proxies break off and come back: which lease a grant waits for.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use tempfile::TempDir;

use support::config::{config, write_config};
use support::discovery::start_discovery;
use support::failing_relay::{CarriedOutCall, FailingRelay};
use support::running::AssignerProcess;
use support::{wait_until, WAIT_TIMEOUT};

/// The settings that a handover waits by.
const WRITE_LEASE: Duration = Duration::from_millis(1500);
const MAX_IN_FLIGHT: Duration = Duration::from_millis(100);
const MAX_TRANSIT: Duration = Duration::from_millis(200);
/// Longer than from the call to the last break: by then a proxy may not have applied the stop.
const LONG_MAX_TRANSIT: Duration = Duration::from_millis(1200);
/// Between a proxy's return and its next break: less than the lease, and more than a grant may lag on a busy machine.
const TIME_JOINED: Duration = Duration::from_millis(900);
/// By how much a grant may come later than the end of a lease: for a busy machine, and less than the bound by the stop
/// lies behind the lease where the transit is long.
const MAX_LAG: Duration = Duration::from_millis(700);

/// An assigner whose slice has a line that names a server which is gone.
struct Scene {
    relay: FailingRelay,
    calls: Receiver<CarriedOutCall>,
    _process: AssignerProcess,
    _folder: TempDir,
}

impl Scene {
    /// Starts the assigner; returns once it has tried to revoke the line, which failed.
    fn start(max_transit: Duration) -> Self {
        let (relay, calls) = FailingRelay::start("s-gone");
        let settings = config(relay.addr, start_discovery(channel().0))
            .replace("\"writeLease\":100.0", &format!("\"writeLease\":{}", WRITE_LEASE.as_millis()))
            .replace("\"inFlightMax\":50.0", &format!("\"inFlightMax\":{}", MAX_IN_FLIGHT.as_millis()))
            .replace("\"transitMax\":50.0", &format!("\"transitMax\":{}", max_transit.as_millis()));
        let (folder, config_path) = write_config(&settings);
        let (process, _) = AssignerProcess::start(&config_path);
        let scene = Scene { relay, calls, _process: process, _folder: folder };
        wait_until("a call", || scene.relay.failed_calls() > 0);
        scene
    }

    /// Waits for a call with an order that begins with `prefix`, and returns when it was carried out.
    fn wait_for_order(&self, prefix: &str, suffix: &str) -> Instant {
        loop {
            let call = self.calls.recv_timeout(WAIT_TIMEOUT).expect("no such call");
            if call.orders.split(';').any(|order| order.starts_with(prefix) && order.ends_with(suffix)) {
                return call.at;
            }
        }
    }

    fn wait_for_grant(&self) -> Instant {
        self.wait_for_order("put,0,s-", ",1")
    }
}

/// Guards against two owners of a slice: a proxy came back while calls failed, read a store without the stop, and broke
/// off again, but the lease of its first break ended the handover's wait.
#[test]
fn break_after_reading_a_store_without_the_stop_starts_another_lease() {
    let scene = Scene::start(MAX_TRANSIT);
    scene.relay.send_update("* bye 1");
    thread::sleep(Duration::from_millis(100));
    scene.relay.send_update("* hello 1 a 5 0");
    thread::sleep(TIME_JOINED);
    let broke_at = scene.relay.send_update("* bye 1");
    scene.relay.set_calls_fail(false);
    let granted_after = scene.wait_for_grant() - broke_at;
    assert!(granted_after >= WRITE_LEASE + MAX_IN_FLIGHT, "{granted_after:?}");
}

/// Guards against two owners of a slice: the report that a proxy came back was late, so that it followed the answer to
/// the call with the stop, although the proxy had read the store before that call.
#[test]
fn join_reported_after_the_answer_is_no_proof_that_the_store_had_the_stop() {
    let scene = Scene::start(LONG_MAX_TRANSIT);
    scene.relay.send_update("* bye 1");
    scene.relay.set_acks_are_sent(false);
    scene.relay.set_calls_fail(false);
    scene.wait_for_order("fence,", "");
    thread::sleep(Duration::from_millis(100));
    scene.relay.send_update("* hello 1 a 5 0");
    thread::sleep(TIME_JOINED);
    let broke_at = scene.relay.send_update("* bye 1");
    scene.relay.set_acks_are_sent(true);
    let granted_after = scene.wait_for_grant() - broke_at;
    assert!(granted_after >= WRITE_LEASE + MAX_IN_FLIGHT, "{granted_after:?}");
}

/// Guards against handovers that wait longer than they must, and without end: where the store had the stop before the
/// proxy came back, none of its later breaks starts another lease.
#[test]
fn breaks_after_reading_a_store_with_the_stop_start_no_other_lease() {
    let scene = Scene::start(LONG_MAX_TRANSIT);
    let broke_at = scene.relay.send_update("* bye 1");
    scene.relay.set_calls_fail(false);
    scene.wait_for_order("fence,", "");
    thread::sleep(Duration::from_millis(100));
    let is_granted = Arc::new(AtomicBool::new(false));
    let (relay, ends) = (scene.relay.clone(), is_granted.clone());
    let flapping = thread::spawn(move || {
        while !ends.load(Ordering::Relaxed) {
            for update in ["* hello 1 a 5 0", "* bye 1"] {
                relay.send_update(update);
                thread::sleep(Duration::from_millis(100));
            }
        }
    });
    let granted_after = scene.wait_for_grant() - broke_at;
    is_granted.store(true, Ordering::Relaxed);
    flapping.join().unwrap();
    let min_wait = WRITE_LEASE + MAX_IN_FLIGHT;
    assert!((min_wait..min_wait + MAX_LAG).contains(&granted_after), "{granted_after:?}");
}
