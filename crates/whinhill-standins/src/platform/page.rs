//! Figures of the platform's pages that the soak plays and audits by, each with its source.

use std::time::Duration;

/// SIGKILL follows SIGTERM no sooner (protocol page, "Figures").
pub const KILL_AFTER: Duration = Duration::from_millis(700);
/// Former addresses close their connections so long after SIGHUP (page of the days that count, "New
/// configurations and restarts").
pub const FORMER_ADDRESSES: Duration = Duration::from_millis(1500);
/// Time limits wait so long after SIGHUP (same place), and after a break of the news (protocol page, "The rules on
/// sockets").
pub const WAIT_AFTER_BREAK: Duration = Duration::from_secs(4);
/// Time limits wait so long after a call that was broken, and after one that fell silent (same place).
pub const WAIT_AFTER_BROKEN_CALL: Duration = Duration::from_millis(500);
pub const WAIT_AFTER_SILENT_CALL: Duration = Duration::from_millis(1500);
/// Time limits are extended by this (same place).
pub const SLACK: Duration = Duration::from_millis(300);
/// And start no earlier than this after an assigner's first answer (same place).
pub const AFTER_FIRST_ANSWER: Duration = Duration::from_secs(1);
/// Whatever discovery has to tell counts as told no later (protocol page, "Figures").
pub const TOLD_WITHIN: Duration = Duration::from_secs(6);
/// A sign of life of a watch, and of the news (protocol page).
pub const WATCH_SIGN_EVERY: Duration = Duration::from_secs(2);
pub const NEWS_SIGN_EVERY: Duration = Duration::from_secs(1);
/// Up to this after its time an answer only earns nothing; later it is lost (standing test, "The whole fleet").
pub const LOST_AFTER: Duration = Duration::from_millis(500);
/// Nine in ten restarted assigners are ready within this (standing test, "The gate").
pub const READY_WITHIN: Duration = Duration::from_secs(10);
/// Descriptors and memory of an assigner on the days that count (page of the days that count, "Score").
pub const SOCKETS: usize = 256;
pub const MEMORY_MB: u64 = 32;

/// The pages give the answer to `probe` no time of its own. Ours for the soak: a second, beyond pauses of the
/// process.
pub const ANSWER_WITHIN: Duration = Duration::from_secs(1);

/// The site that is played: our own figures in the settings' names.
pub const ZONES: [&str; 3] = ["north", "south", "east"];
pub const SLICES: usize = 24;
/// Proxies in most runs, and in those that are many.
pub const PROXIES: usize = 12;
pub const PROXIES_MOST: usize = 150;
pub const PERIOD: Duration = Duration::from_millis(500);
/// The rule on proxies without a line, and on drains.
pub const EMPTY_FOR: Duration = Duration::from_secs(8);
pub const STOP_SENDING_WITHIN: Duration = Duration::from_millis(3000);
/// After its start a server is cold for so long.
pub const WARM_AFTER: Duration = Duration::from_secs(6);
/// A proxy whose stream was lost sends writes for so long.
pub const WRITE_LEASE: Duration = Duration::from_millis(2000);
/// A proxy reads the store within this once it has a stream (wire page, `dialled_in`).
pub const READS_STORE_WITHIN: Duration = Duration::from_secs(1);
/// A write that a proxy took in ends within this.
pub const IN_FLIGHT_MOST: Duration = Duration::from_millis(400);
/// Between two decisions.
pub const ROUND: Duration = Duration::from_millis(50);
/// The rule on cold servers.
pub const FALL: Duration = Duration::from_millis(1500);
pub const FALL_MULTIPLE: f64 = 3.0;
/// The channel: lines a second, lines that a message costs beside its own, and lines that may wait.
pub const LINES_PER_S: f64 = 20_000.0;
pub const OVERHEAD_LINES: usize = 8;
pub const BACKLOG: f64 = 40_000.0;
/// A proxy without a line holds an RPC for so long.
pub const HOLD: Duration = Duration::from_millis(300);

/// A class of RPCs.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    pub writes: bool,
    pub objective: Duration,
    pub deadline: Duration,
}

pub const CLASSES: [Class; 2] = [
    Class {
        name: "look",
        writes: false,
        objective: Duration::from_millis(1000),
        deadline: Duration::from_millis(3000),
    },
    Class {
        name: "book",
        writes: true,
        objective: Duration::from_millis(800),
        deadline: Duration::from_millis(1500),
    },
];

/// The settings as the configuration file has them, for so many proxies.
pub fn settings(proxies: usize) -> serde_json::Value {
    let classes: Vec<_> = CLASSES
        .iter()
        .map(|class| {
            serde_json::json!({
                "name": class.name,
                "objective": class.objective.as_millis() as u64,
                "deadline": class.deadline.as_millis() as u64,
                "points": if class.writes { 5.0 } else { 1.0 },
            })
        })
        .collect();
    serde_json::json!({
        "discovery": "subscribe", "round": ROUND.as_millis() as f64, "zones": ZONES, "caps": {"mayProbe": true}, "classes": classes,
        "report": {"fields": ["util", "inflight", "queue"], "source": "probe"},
        "rules": {
            "mustAskIn": 10_000.0, "stopSendingWithin": STOP_SENDING_WITHIN.as_millis() as u64,
            "warmAfter": WARM_AFTER.as_millis() as u64, "coldFrom": 0.3, "fall": FALL.as_millis() as f64,
            "fallMultiple": FALL_MULTIPLE,
        },
        "familyInfo": {
            "shards": SLICES, "dataPlaneSize": proxies, "mutating": CLASSES.map(|class| class.writes),
            "retryDefault": 0, "period": PERIOD.as_millis() as u64, "writeLease": WRITE_LEASE.as_millis() as f64, "inFlightMax": IN_FLIGHT_MOST.as_millis() as f64,
            "transitMax": 200.0, "overhead": OVERHEAD_LINES as f64, "linesPerS": LINES_PER_S, "backlog": BACKLOG, "messagesMost": 0,
            "reloadSpan": 10_000.0, "emptyFor": EMPTY_FOR.as_millis() as u64, "hold": HOLD.as_millis() as u64,
            "oneOwner": true, "admission": "share",
        },
    })
}
