//! Constants of the simulated site and the limits of the audit, with their sources.

use std::time::Duration;

use super::site::{DiscoveryMode, SiteSettings};

/// Least time from SIGTERM to SIGKILL (protocol page, "Figures").
pub const KILL_DELAY: Duration = Duration::from_millis(700);
/// Time from SIGHUP until former addresses close their connections (operators' page on scored runs,
/// "New configurations and restarts").
pub const FORMER_ADDRESS_LIFETIME: Duration = Duration::from_millis(1500);
/// Time limits are suspended for this time after SIGHUP (same place) and after a break of the
/// relay's watch (protocol page, "The rules on sockets").
pub const SUSPENSION_AFTER_BREAK: Duration = Duration::from_secs(4);
/// Time limits are suspended for this time after a call that broke, or that got no answer (same
/// place).
pub const SUSPENSION_AFTER_BROKEN_CALL: Duration = Duration::from_millis(500);
pub const SUSPENSION_AFTER_SILENT_CALL: Duration = Duration::from_millis(1500);
/// Added to each time limit (same place).
pub const TIME_LIMIT_SLACK: Duration = Duration::from_millis(300);
/// Time limits start no earlier than this after an assigner's first answer (same place).
pub const GRACE_AFTER_FIRST_ANSWER: Duration = Duration::from_secs(1);
/// A change of the server list counts as known to an assigner after this time at the latest
/// (protocol page, "Figures").
pub const MAX_DISCOVERY_DELAY: Duration = Duration::from_secs(6);
/// Keepalive intervals of the discovery watch and of the relay's watch (protocol page).
pub const DISCOVERY_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
pub const RELAY_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// An answer that is later than its deadline by up to this time earns nothing; one that is later
/// still is lost (standing test, "The whole fleet").
pub const LOST_THRESHOLD: Duration = Duration::from_millis(500);
/// Nine in ten restarted assigners must be ready within this time (standing test, "The gate").
pub const MAX_READY_TIME: Duration = Duration::from_secs(10);
/// Limits of descriptors and memory of an assigner on scored runs (operators' page on scored runs,
/// "Score").
pub const MAX_DESCRIPTORS: usize = 256;
pub const MAX_MEMORY_MB: u64 = 32;

/// Limit for the answer to `probe`. The platform specifies none; the soak allows one second beyond
/// pauses of the process.
pub const MAX_ANSWER_TIME: Duration = Duration::from_secs(1);

/// The simulated site. These values are the soak's own choice and are named as in the settings.
pub const ZONES: [&str; 3] = ["north", "south", "east"];
pub const SLICES: usize = 24;
/// The number of proxies in most runs, and in runs with many proxies.
pub const PROXIES: usize = 12;
pub const MANY_PROXIES: usize = 150;
/// Interval between the collectors' reports.
pub const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// For this time after its start a server is cold.
pub const WARM_UP_DURATION: Duration = Duration::from_secs(6);
/// A proxy reads the store within this time once it has a stream (wire page, `dialled_in`).
pub const MAX_STORE_READ_DELAY: Duration = Duration::from_secs(1);
/// Interval between two decisions.
pub const DECISION_INTERVAL: Duration = Duration::from_millis(50);
/// The budget of cold servers: its interval, and the factor of the capacity.
pub const COLD_BUDGET_INTERVAL: Duration = Duration::from_millis(1500);
pub const COLD_BUDGET_FACTOR: f64 = 3.0;
/// The channel: its rate, the extra lines that each message costs, and the most lines that may be
/// queued.
pub const CHANNEL_LINES_PER_S: f64 = 20_000.0;
pub const MESSAGE_OVERHEAD_LINES: usize = 8;
pub const MAX_CHANNEL_BACKLOG: f64 = 40_000.0;
/// How long a proxy without a line holds an RPC.
pub const MAX_HOLD_TIME: Duration = Duration::from_millis(300);

/// A class of RPCs.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Its name in settings and orders.
    pub name: &'static str,
    /// Whether its RPCs write.
    pub writes: bool,
    /// The soft deadline.
    pub objective: Duration,
    /// The deadline.
    pub deadline: Duration,
}

/// The classes of RPCs of the simulated site: reads and writes.
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

/// The settings of the configuration file for a site with this many proxies. Without a subscription there is no limit
/// on the time without a request.
pub fn settings(proxies: usize, site: &SiteSettings) -> serde_json::Value {
    let timing = site.timing.timing();
    let must_ask_in_ms = (site.discovery == DiscoveryMode::Subscribe).then_some(10_000.0);
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
        "discovery": site.discovery, "round": DECISION_INTERVAL.as_millis() as f64, "zones": ZONES, "caps": {"mayProbe": site.probes}, "classes": classes,
        "report": {"fields": ["util", "inflight", "queue"], "source": site.report_source},
        "rules": {
            "mustAskIn": must_ask_in_ms, "goneIsAdvice": site.gone_is_advice, "stopSendingWithin": timing.max_stop_sending_time.as_millis() as u64,
            "warmAfter": WARM_UP_DURATION.as_millis() as u64, "coldFrom": 0.3, "fall": COLD_BUDGET_INTERVAL.as_millis() as f64,
            "fallMultiple": COLD_BUDGET_FACTOR,
        },
        "familyInfo": {
            "shards": SLICES, "dataPlaneSize": proxies, "mutating": CLASSES.map(|class| class.writes),
            "retryDefault": 0, "period": REPORT_PERIOD.as_millis() as u64, "writeLease": timing.write_lease.as_millis() as f64, "inFlightMax": timing.max_in_flight_time.as_millis() as f64,
            "transitMax": timing.stated_max_transit.as_secs_f64() * 1e3, "overhead": MESSAGE_OVERHEAD_LINES as f64, "linesPerS": CHANNEL_LINES_PER_S, "backlog": MAX_CHANNEL_BACKLOG, "messagesMost": 0,
            "reloadSpan": 10_000.0, "emptyFor": timing.max_time_without_line.as_millis() as u64, "hold": MAX_HOLD_TIME.as_millis() as u64,
            "oneOwner": true, "admission": site.admission,
        },
    })
}
