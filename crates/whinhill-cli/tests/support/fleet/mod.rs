//! A fleet around one assigner process: servers that answer probes, a relay with proxies in three zones, collectors
//! and discovery, all over loopback. The test injects a fault at a chosen time. The time from the fault to the orders
//! that keep RPCs away from the server is measured at the relay.

pub mod collectors;
pub mod relay;
pub mod server;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use tempfile::TempDir;

use crate::support::config::write_config;
use crate::support::discovery::{list_json, server_json, Discovery};
use crate::support::running::{assigner_command, AssignerProcess};
use collectors::Collectors;
use relay::{ReceivedOrder, Relay};
use server::Server;

/// The reporting period of the settings.
pub const PERIOD: Duration = Duration::from_secs(1);
/// The deadline of each class.
pub const DEADLINES: [Duration; 2] = [Duration::from_millis(4000), Duration::from_millis(1200)];
/// The mean of the soft deadlines.
pub const MEAN_SOFT_DEADLINE: Duration = Duration::from_secs(1);
/// The zones, one collector in each.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// The classes of RPCs.
pub const CLASSES: [&str; 2] = ["look", "book"];
/// Slices that each server owns at the start.
const SLICES_PER_SERVER: usize = 2;
/// Maximum wait for an event. An event that has not occurred by then counts as not occurring.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(12);
/// Interval at which a wait checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Probes of the first server after which the fleet is warmed up: by then the module has had reports of each server and
/// each slice for longer than it needs before it accepts them.
const WARMUP_PROBES: usize = 6;

/// The name of a server by its index. The assigner's log uses the same index.
pub fn server_name(server: usize) -> String {
    format!("s-{server}")
}

/// The zone of a server. Servers are spread over the zones round-robin.
pub fn server_zone(server: usize) -> &'static str {
    ZONES[server % ZONES.len()]
}

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub servers: usize,
    pub proxies_per_zone: usize,
}

/// An assigner process with its stand-ins.
pub struct Fleet {
    pub servers: Vec<Server>,
    pub relay: Relay,
    pub collectors: Collectors,
    log: Log,
    _discovery: Discovery,
    _assigner: AssignerProcess,
    _folder: TempDir,
}

/// The assigner's log with the times at which its lines were read.
type Log = Arc<Mutex<Vec<(Instant, String)>>>;

impl Fleet {
    /// Starts a fleet, and waits until it is warmed up with all servers healthy.
    pub fn start(size: FleetSize) -> Self {
        let servers: Vec<Server> = (0..size.servers).map(|_| Server::start()).collect();
        let entries: Vec<String> =
            servers.iter().enumerate().map(|(index, server)| server_entry(index, server)).collect();
        let list = list_json(1, true, &entries);
        let discovery = Discovery::start(list.clone());
        let proxies = size.proxies_per_zone * ZONES.len();
        let zones: BTreeMap<usize, &str> = (0..proxies).map(|id| (id, ZONES[id % ZONES.len()])).collect();
        let slices = SLICES_PER_SERVER * servers.len();
        let relay =
            Relay::start(zones, (0..slices).map(|slice| server_name(slice % servers.len())).collect());
        let config_text = config(&relay, &discovery, &list, (slices, proxies));
        let (folder, path) = write_config(&config_text);
        let (mut assigner, addr) =
            AssignerProcess::spawn(assigner_command("info,whinhill::trace=trace"), &path);
        let log = timestamp_log(&mut assigner);
        discovery.wait_for_watch();
        let collectors = Collectors::start(addr, &relay, servers.len());
        let fleet = Fleet {
            servers,
            relay,
            collectors,
            log,
            _discovery: discovery,
            _assigner: assigner,
            _folder: folder,
        };
        fleet.wait_for_warmup();
        fleet
    }

    /// Waits until the first server was probed often enough.
    fn wait_for_warmup(&self) {
        let is_warmed_up = || self.servers[0].probes().len() >= WARMUP_PROBES;
        assert!(wait_until(2 * EVENT_TIMEOUT, is_warmed_up).is_some(), "the first server is not probed");
    }

    /// Waits for the next probe of a server, and then for a fraction of the time between its last two probes.
    pub fn wait_for_phase(&self, server: usize, phase: f64) {
        let probes_before = self.servers[server].probes().len();
        let probed = || self.servers[server].probes().len() > probes_before;
        assert!(wait_until(EVENT_TIMEOUT, probed).is_some(), "no probe of server {server}");
        let probes = self.servers[server].probes();
        let [before, last] = [probes[probes.len() - 2].at, probes[probes.len() - 1].at];
        let at = last + last.duration_since(before).min(PERIOD).mul_f64(phase);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    }

    /// The time from `since` to the last of the orders that keep the RPCs of some slices away from their servers; none
    /// if the RPCs of a slice are not kept away in time.
    pub fn time_until_rpcs_blocked(
        &self,
        slices: &[(usize, Vec<usize>)],
        since: Instant,
    ) -> Option<Duration> {
        let blocked_at = || {
            let orders = self.relay.orders_since(since);
            let pairs =
                slices.iter().flat_map(|(server, slices)| slices.iter().map(|slice| (*server, *slice)));
            pairs
                .map(|(server, slice)| rpcs_blocked_at(&orders, server, slice))
                .collect::<Option<Vec<Instant>>>()
        };
        wait_until(EVENT_TIMEOUT.saturating_sub(since.elapsed()), || blocked_at().is_some())?;
        blocked_at()?.into_iter().max().map(|at| at.saturating_duration_since(since))
    }

    /// Each of some servers with the slices that it owns.
    pub fn slices_of(&self, servers: &[usize]) -> Vec<(usize, Vec<usize>)> {
        servers.iter().map(|server| (*server, self.relay.slices_of(&server_name(*server)))).collect()
    }

    /// The time from `since` to the first log line that contains all of `parts`.
    pub fn time_to_log(&self, since: Instant, parts: &[&str]) -> Option<Duration> {
        let log = self.log.lock().unwrap();
        let has_all_parts =
            |(at, line): &&(Instant, String)| *at >= since && parts.iter().all(|part| line.contains(part));
        log.iter().find(has_all_parts).map(|(at, _)| at.duration_since(since))
    }

    /// Whether a slice has a line at a server that is not ejected, and no class is rejected for it.
    pub fn is_served(&self, slice: usize, since: Instant) -> bool {
        let lines = self.relay.lines();
        let Some(server) = &lines[slice] else { return false };
        let (mut is_ejected, mut rejected_classes) = (false, Vec::new());
        for received in self.relay.orders_since(since) {
            let words: Vec<&str> = received.order.split(',').collect();
            match words[..] {
                ["eject", out] if out == server => is_ejected = true,
                ["uneject", back] if back == server => is_ejected = false,
                ["gate", target, classes, share, ..] if matches_slice(target, slice) => {
                    update_rejected_classes(&mut rejected_classes, classes, share)
                }
                _ => {}
            }
        }
        !is_ejected && rejected_classes.is_empty()
    }

    /// Measures the stages from a fault at `since` until RPCs are kept away from a server and its slices are served
    /// again.
    pub fn trace(&self, server: usize, slices: &[usize], phase: f64, since: Instant) -> Trace {
        let server_slices = (server, slices.to_vec());
        let rpcs_blocked = self.time_until_rpcs_blocked(&[server_slices], since);
        let is_served = || slices.iter().all(|slice| self.is_served(*slice, since));
        let served_again =
            rpcs_blocked.and_then(|_| wait_until(EVENT_TIMEOUT, is_served)).map(|_| since.elapsed());
        let time_since_fault = |at: &Instant| at.saturating_duration_since(since);
        let probes = self.servers[server].probes();
        let unanswered = probes.iter().filter(|probe| probe.at >= since && !probe.is_answered);
        let unanswered_probes: Vec<Duration> = unanswered.map(|probe| time_since_fault(&probe.at)).collect();
        let log = self.log.lock().unwrap();
        let lines_with = |parts: &[&str]| -> Vec<&(Instant, String)> {
            log.iter()
                .filter(|(at, line)| *at >= since && parts.iter().all(|part| line.contains(part)))
                .collect()
        };
        let probe_failures = lines_with(&["event Probed", &format!("index: {server},"), "Unanswered"]);
        let probe_failures: Vec<Duration> =
            probe_failures.iter().map(|(at, _)| time_since_fault(at)).collect();
        let marked_unhealthy = lines_with(&[&format!("server {server} sick")]).first().map(|(at, line)| {
            (time_since_fault(at), line.rsplit("sick: ").next().unwrap_or_default().to_string())
        });
        let loss_reported = self.collectors.loss_reported(server).map(|at| time_since_fault(&at));
        let first_report = self.collectors.first_report(server).map(|at| time_since_fault(&at));
        Trace {
            server,
            phase,
            unanswered_probes,
            probe_failures,
            loss_reported,
            first_report,
            marked_unhealthy,
            rpcs_blocked,
            served_again,
        }
    }
}

/// The times of the stages after a fault, counted from the fault; none where a stage was not seen.
#[derive(Clone, Debug)]
pub struct Trace {
    pub server: usize,
    /// The time of the fault, as a fraction of the time between two probes.
    pub phase: f64,
    /// When the probes arrived that got no answer.
    pub unanswered_probes: Vec<Duration>,
    /// When the module was notified of probes without an answer.
    pub probe_failures: Vec<Duration>,
    /// When a report first contained a loss.
    pub loss_reported: Option<Duration>,
    /// When the first report since the fault left.
    pub first_report: Option<Duration>,
    /// When the log first called the server sick, and the reason that it gave.
    pub marked_unhealthy: Option<(Duration, String)>,
    /// When the last order had arrived that keeps RPCs away from the server.
    pub rpcs_blocked: Option<Duration>,
    /// When all slices were seen to be served again.
    pub served_again: Option<Duration>,
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |time: Option<Duration>| time.map_or("-".to_string(), |time| time.as_millis().to_string());
        let first_three = |times: &[Duration]| {
            let times: Vec<String> = times.iter().take(3).map(|time| ms(Some(*time))).collect();
            times.join("+")
        };
        let (marked_unhealthy, reason) = self.marked_unhealthy.clone().unzip();
        write!(
            f,
            "server {} at phase {:.2}: unanswered probes {} probe failures {} loss reported {} unhealthy {} ({}) RPCs blocked {} served again {} ms",
            self.server,
            self.phase,
            first_three(&self.unanswered_probes),
            first_three(&self.probe_failures),
            ms(self.loss_reported),
            ms(marked_unhealthy),
            reason.unwrap_or_default(),
            ms(self.rpcs_blocked),
            ms(self.served_again)
        )
    }
}

/// Whether a word of an order names a slice, or all slices.
fn matches_slice(word: &str, slice: usize) -> bool {
    word == "*" || word.parse() == Ok(slice)
}

/// Updates the classes that levels reject, for one `gate` order.
fn update_rejected_classes(rejected_classes: &mut Vec<&'static str>, classes: &str, share: &str) {
    let rejects_all = share.parse::<f64>() == Ok(0.0);
    let is_named = |class: &&str| classes == "*" || classes.split('+').any(|one| one == *class);
    rejected_classes.retain(|class| !is_named(class));
    rejected_classes.extend(CLASSES.into_iter().filter(|class| rejects_all && is_named(class)));
}

/// When the first order arrived that keeps the RPCs of a slice away from a server: the slice's line was removed or
/// given to another server, levels reject all classes, or the server is ejected at all proxies.
pub fn rpcs_blocked_at(orders: &[ReceivedOrder], server: usize, slice: usize) -> Option<Instant> {
    let (server, mut rejected_classes) = (server_name(server), Vec::new());
    for received in orders {
        let words: Vec<&str> = received.order.split(',').collect();
        let blocks_rpcs = match words[..] {
            ["eject", out] => out == server,
            ["put", target, at, on] => matches_slice(target, slice) && (at == server) == (on == "0"),
            ["gate", target, classes, share, ..] if matches_slice(target, slice) => {
                update_rejected_classes(&mut rejected_classes, classes, share);
                rejected_classes.len() == CLASSES.len()
            }
            _ => false,
        };
        if blocks_rpcs {
            return Some(received.at);
        }
    }
    None
}

/// Waits until a condition holds; returns how long that took, or none if it did not hold within `timeout`.
pub fn wait_until(timeout: Duration, holds: impl Fn() -> bool) -> Option<Duration> {
    let started = Instant::now();
    while !holds() {
        if started.elapsed() > timeout {
            return None;
        }
        thread::sleep(POLL_INTERVAL);
    }
    Some(started.elapsed())
}

/// Reads the log's lines from now on, and records when each was read.
fn timestamp_log(assigner: &mut AssignerProcess) -> Log {
    let lines = std::mem::replace(&mut assigner.log_lines, std::sync::mpsc::channel().1);
    let log = Log::default();
    let reader_log = log.clone();
    thread::spawn(move || {
        lines.into_iter().for_each(|line| reader_log.lock().unwrap().push((Instant::now(), line)))
    });
    log
}

/// The entry of a server in the list, with its address and zone.
fn server_entry(index: usize, server: &Server) -> String {
    let entry =
        server_json(&server_name(index), "SERVING", 0).replace("127.0.0.1:9", &server.addr.to_string());
    entry.replace(r#""zone":"a""#, &format!(r#""zone":"{}""#, server_zone(index)))
}

/// The assigner's configuration. The numbers are those of the example in the description of the wire protocol.
fn config(relay: &Relay, discovery: &Discovery, list: &str, (slices, proxies): (usize, usize)) -> String {
    let settings = serde_json::json!({
        "discovery": "subscribe", "round": 2.0, "zones": ZONES, "caps": {"mayProbe": true},
        "classes": [
            {"name": CLASSES[0], "objective": 1200.0, "deadline": DEADLINES[0].as_millis() as u64, "points": 1.0},
            {"name": CLASSES[1], "objective": 800.0, "deadline": DEADLINES[1].as_millis() as u64, "points": 5.0},
        ],
        "report": {"fields": ["util", "inflight", "queue"], "source": "probe"},
        "rules": {
            "mustAskIn": 10_000.0, "stopSendingWithin": 2700.0, "warmAfter": 17_000.0, "coldFrom": 0.16,
            "fall": 1500.0, "fallMultiple": 3.0,
        },
        "familyInfo": {
            "shards": slices, "dataPlaneSize": proxies, "mutating": [false, true],
            "retryDefault": 0, "period": PERIOD.as_millis() as u64, "writeLease": 4000.0, "inFlightMax": 1220.0,
            "transitMax": 977.5, "overhead": 8.0, "linesPerS": 40_700.0, "backlog": 61_100.0, "messagesMost": 0,
            "reloadSpan": 10_000.0, "emptyFor": 11_700.0, "hold": 300.0, "oneOwner": true, "admission": "share",
        },
    });
    let list: serde_json::Value = serde_json::from_str(list).unwrap();
    serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.addr.to_string(), "seed": "5",
        "distributor": {"address": relay.addr.to_string()},
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "known": list, "settings": settings,
    })
    .to_string()
}
