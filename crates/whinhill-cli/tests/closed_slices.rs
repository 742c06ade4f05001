//! Slices whose RPCs are all rejected in a handover, while the line of a server that must be left stays.

mod support;

use std::thread;
use std::time::Duration;

use support::config::{config, write_config};
use support::discovery::{list_json, server_json, Discovery};
use support::running::AssignerProcess;
use support::storing_relay::{Refusal, StoringRelay};
use support::wait_until;

/// Longer than the test takes, so that the handover waits for a proxy that does not acknowledge.
const WRITE_LEASE: Duration = Duration::from_secs(20);
/// After a break of the watch, time for several calls.
const OBSERVATION_TIME: Duration = Duration::from_millis(500);

/// Guards against RPCs to a draining server behind its grace: after a break of the watch its slice is acquired afresh,
/// with all RPCs admitted, and the call with that left before the one that rejects them again (issue 77).
#[test]
fn break_of_watch_does_not_admit_rpcs_to_drained_server() {
    let relay = StoringRelay::start("s-old", Refusal::Nothing);
    relay.store().other_proxies = vec![1];
    let servers = ["s-old", "s-1"].map(|name| server_json(name, "SERVING", 0));
    let discovery = Discovery::start(list_json(7, true, &servers));
    let settings = config(relay.addr, discovery.addr)
        .replace("\"shards\":2", "\"shards\":2,\"dataPlaneSize\":2")
        .replace("\"writeLease\":100.0", &format!("\"writeLease\":{}", WRITE_LEASE.as_millis()));
    let (_folder, config_path) = write_config(&settings);
    let (process, _) = AssignerProcess::start(&config_path);
    discovery.wait_for_watch();
    process.wait_for_log("relay watch synchronized");

    discovery.send_list(&list_json(8, false, &[server_json("s-old", "DRAINING", 0)]));
    wait_until("all RPCs are rejected", || !relay.store().reads_are_admitted);
    relay.break_watch();
    process.wait_for_log("relay watch synchronized");
    thread::sleep(OBSERVATION_TIME);
    let store = relay.store();
    assert_eq!((store.line.as_deref(), store.reads_are_admitted), (Some("s-old"), false));
    assert_eq!(store.reopened, [""; 0]);
}
