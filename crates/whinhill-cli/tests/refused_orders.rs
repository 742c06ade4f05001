//! Calls that the relay refuses, as a whole or from one order on: what was not carried out must not count as done.

mod support;

use support::config::{config, write_config};
use support::discovery::{list_json, server_json, Discovery};
use support::running::AssignerProcess;
use support::storing_relay::{Refusal, StoringRelay};
use support::wait_until;

const READY_SERVERS: [&str; 2] = ["s-1", "s-2"];

/// Starts an assigner at a relay whose slice must leave a server, and waits until another one serves it. Returns the
/// lines that were set while writes went to another server.
fn violations_of_a_handover(refusal: Refusal) -> Vec<String> {
    let relay = StoringRelay::start("s-old", refusal);
    let servers = ["s-old", "s-1", "s-2"].map(|name| server_json(name, "SERVING", 0));
    let discovery = Discovery::start(list_json(7, true, &servers));
    let settings =
        config(relay.addr, discovery.addr).replace("\"shards\":2", "\"shards\":2,\"dataPlaneSize\":1");
    let (_folder, config_path) = write_config(&settings);
    let (process, _) = AssignerProcess::start(&config_path);
    discovery.wait_for_watch();
    process.wait_for_log("relay watch synchronized");
    discovery.send_list(&list_json(8, false, &[server_json("s-old", "DRAINING", 0)]));
    wait_until("a ready server serves the slice", || relay.store().is_served_by(&READY_SERVERS));
    let violations = relay.store().violations.clone();
    violations
}

#[test]
fn handover_without_refusals_is_clean() {
    assert_eq!(violations_of_a_handover(Refusal::Nothing), [""; 0]);
}

/// Guards against two owners of a slice: the relay refused a new owner's line, the level behind it admitted writes to the
/// former owner again, and the next handover, from the server that was thought to be the owner, stopped none of them.
#[test]
fn refused_line_leaves_the_former_owner_in_place() {
    assert_eq!(violations_of_a_handover(Refusal::FirstLine), [""; 0]);
}

/// Guards against two owners of a slice: after five errors the call with the stop was dropped, and the acknowledgement of
/// a later request was taken for that of the stop.
#[test]
fn stop_that_was_dropped_after_errors_is_not_taken_for_acknowledged() {
    assert_eq!(violations_of_a_handover(Refusal::Stops { left: 5 }), [""; 0]);
}

/// Guards against a slice that stays at a server that drains: a call with the new owner's line was in flight as the watch
/// broke, and was answered although the relay had taken the slice away. The line counted as set, also against the state
/// that the next watch began with.
#[test]
fn line_that_was_answered_while_the_slice_was_not_held_does_not_count_as_set() {
    assert_eq!(violations_of_a_handover(Refusal::FirstLineAsNotHeld), [""; 0]);
}
