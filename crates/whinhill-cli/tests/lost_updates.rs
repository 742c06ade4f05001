//! Joins and breaks of proxies that the relay watch does not report, because it was broken at the time.

mod support;

use std::thread;
use std::time::Duration;

use support::config::{config, write_config};
use support::discovery::{list_json, server_json, Discovery};
use support::running::AssignerProcess;
use support::storing_relay::{Refusal, StoringRelay};
use support::wait_until;

/// The settings that a handover waits by.
const WRITE_LEASE: Duration = Duration::from_millis(1500);
const MAX_IN_FLIGHT: Duration = Duration::from_millis(50);

/// Guards against two owners of a slice: a proxy whose lease had ended came back while the watch was broken, read the
/// store, and broke off again; after that no handover waited for its lease, since nothing of it had been reported.
#[test]
fn lease_of_a_proxy_that_came_and_left_unreported_is_waited_for() {
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

    relay.send_update("* bye 1");
    thread::sleep(WRITE_LEASE + MAX_IN_FLIGHT);
    relay.store().other_proxies.clear();
    relay.break_watch();
    process.wait_for_log("relay watch synchronized");
    let broke_at = relay.store().state_sent_at.unwrap();
    discovery.send_list(&list_json(8, false, &[server_json("s-old", "DRAINING", 0)]));
    wait_until("a grant", || relay.store().line_set_at.is_some());
    let granted_after = relay.store().line_set_at.unwrap() - broke_at;
    assert!(granted_after >= WRITE_LEASE + MAX_IN_FLIGHT, "{granted_after:?}");
}
