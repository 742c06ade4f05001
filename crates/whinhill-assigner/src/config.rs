//! An assigner's configuration. It is read and checked completely before anything starts.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use whinhill::interface::Settings;
use whinhill_xds::mapping::{Effect, Method, Service};

/// An error in a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The path of the setting.
    pub path: String,
    /// What is wrong with it.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// The configuration of an assigner.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AssignerConfig {
    /// This assigner's name, which must stay the same over restarts.
    pub name: String,
    /// The names of all assigners of the service, this one among them.
    pub peers: Vec<String>,
    /// Where proxies connect.
    pub listen: SocketAddr,
    /// This assigner's zone.
    pub zone: String,
    /// All zones.
    pub zones: Vec<String>,
    pub service: ServiceConfig,
    pub rules: RulesConfig,
    pub channel: ChannelConfig,
    pub roster: RosterConfig,
    pub store: StoreConfig,
    pub custody: CustodySettings,
    /// How often proxies report load, in milliseconds.
    pub report_period_ms: u64,
    /// Report lines per second that are passed on to the decision module; further ones are queued and added up.
    #[serde(default = "default_report_lines_per_s")]
    pub report_lines_per_s: u32,
    /// Whether servers are probed by `grpc.health.v1` once a report period.
    #[serde(default)]
    pub probes: bool,
    /// A stream is closed when an ack sequence number stays unacknowledged for this long, in milliseconds.
    #[serde(default = "default_answer_within_ms")]
    pub answer_within_ms: u64,
    /// The most proxies that may be connected.
    #[serde(default = "default_proxies_most")]
    pub proxies_most: usize,
    /// The folder for the last list of servers and the history.
    #[serde(default)]
    pub state_dir: Option<PathBuf>,
    /// Where operators connect (`whinhill table`); without it there is no listener for operators.
    #[serde(default)]
    pub operators: Option<SocketAddr>,
    /// Limits of the history of published sets, which is in `state_dir`, or in memory without one.
    #[serde(default)]
    pub history: HistoryConfig,
    /// The file to which a status line is written each second, as JSON.
    #[serde(default)]
    pub status_file: Option<PathBuf>,
    /// The seed of all random choices. Without one it is chosen at random at the start.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Faults injected on purpose, to test that they are detected.
    #[serde(default)]
    pub sabotage: Sabotage,
}

fn default_report_lines_per_s() -> u32 {
    1000
}

fn default_answer_within_ms() -> u64 {
    6000
}

fn default_proxies_most() -> usize {
    1024
}

/// Limits of the history. Beyond any of them the oldest versions are dropped, except those marked good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct HistoryConfig {
    pub versions: usize,
    pub bytes: usize,
    /// The age of the oldest version, in hours in which an assigner ran.
    pub hours: u64,
}

impl Default for HistoryConfig {
    fn default() -> Self {
        HistoryConfig { versions: 20_000, bytes: 64 << 20, hours: 72 }
    }
}

impl HistoryConfig {
    /// The limits in the form that the history takes.
    pub fn to_limits(&self) -> whinhill_tables::Limits {
        whinhill_tables::Limits {
            entries: self.versions,
            bytes: self.bytes,
            age: Duration::from_secs(self.hours * 3600),
        }
    }
}

/// Faults that are injected on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Sabotage {
    /// Treats each ack sequence number as acknowledged by every proxy at once, and waits neither for write leases to
    /// end nor for writes to settle.
    pub skips_the_wait: bool,
}

/// The service and its methods.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    pub name: String,
    pub slices: usize,
    pub methods: Vec<MethodConfig>,
    /// How long a proxy still sends writes after it last heard from the assigner that has custody, in milliseconds.
    pub write_lease_ms: u64,
    /// A write that a proxy has accepted ends within this time, in milliseconds.
    pub settle_ms: u64,
    /// How long an RPC waits for a slice's owner, in milliseconds.
    pub hold_ms: u64,
    /// Retries: 0 none; 1 one if the first try provably never ran; 2 one, and 3 two, after any failure.
    #[serde(default)]
    pub tries: u8,
    /// With `tries` 2 and 3, a try that may be followed by another waits this many soft deadlines for its answer.
    #[serde(default = "default_try_factor")]
    pub try_factor: f64,
}

fn default_try_factor() -> f64 {
    1.0
}

/// Whether a method may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum MethodEffect {
    // Plain comments: doc comments of the variants would change the published schema.
    // It may be repeated.
    Idempotent,
    // Repeats within a window are dropped by the servers.
    Tokened,
    // It must not be repeated after it may have run.
    NonIdempotent,
}

/// A method of the service.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct MethodConfig {
    pub name: String,
    /// The RPC's path, `/package.Service/Method`.
    pub path: String,
    #[serde(default)]
    pub writes: bool,
    pub effect: MethodEffect,
    pub criticality: f64,
    pub soft_deadline_ms: u64,
    pub deadline_ms: u64,
}

/// The numbers of the five rules, times in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RulesConfig {
    /// The longest time that a proxy may have no line for a slice.
    pub empty_ms: u64,
    /// Sending to a draining or gone server stops within this time.
    pub grace_ms: u64,
    /// A server is warm this long after its start.
    pub warm_after_ms: u64,
    /// The part of its capacity that a cold server starts with.
    pub cold_from: f64,
    /// A cold server fails when it is sent this many times its capacity ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall_ms: u64,
    /// Whether a server that is merely missing from the list may stay in the tables.
    #[serde(default)]
    pub gone_is_advice: bool,
}

/// The channel to the proxies.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ChannelConfig {
    pub lines_per_s: f64,
    /// Lines that a message costs in addition to the lines in it.
    pub head: u32,
    /// Lines that may be queued.
    pub backlog: f64,
    /// The longest time from the channel to a proxy, in milliseconds.
    pub way_most_ms: u64,
    /// The rate of full sets, for proxies that join; without it ten times `lines_per_s`.
    #[serde(default)]
    pub full_lines_per_s: Option<f64>,
}

impl ChannelConfig {
    /// The rate of full sets, in lines per second.
    pub fn full_lines_per_s(&self) -> f64 {
        self.full_lines_per_s.unwrap_or(self.lines_per_s * 10.0)
    }
}

/// The source of the list of servers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum RosterConfig {
    /// A JSON5 file that is watched for changes.
    File { path: PathBuf },
    /// An upstream control plane that serves the fleet as one EDS resource.
    Eds { addr: SocketAddr, resource: String },
}

/// The shared store.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct StoreConfig {
    pub addr: SocketAddr,
    #[serde(default = "default_prefix")]
    pub prefix: String,
    /// The timeout of each exchange, in milliseconds.
    #[serde(default = "default_store_within_ms")]
    pub within_ms: u64,
}

fn default_prefix() -> String {
    "whinhill".to_string()
}

fn default_store_within_ms() -> u64 {
    500
}

/// The custody of slices.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CustodySettings {
    /// How long an assigner's liveness key lasts in the store, in milliseconds.
    pub ttl_ms: u64,
    /// How much earlier, in milliseconds, the assigner itself treats its custody as ended.
    pub margin_ms: u64,
    /// The most slices that are claimed or released in one round.
    #[serde(default = "default_step")]
    pub step: usize,
}

fn default_step() -> usize {
    128
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

impl ServiceConfig {
    /// The service in the form that tables are built from.
    pub fn to_service(&self) -> Service {
        let to_method = |method: &MethodConfig| Method {
            name: method.name.clone(),
            path: method.path.clone(),
            writes: method.writes,
            effect: match method.effect {
                MethodEffect::Idempotent => Effect::Idempotent,
                MethodEffect::Tokened => Effect::Tokened,
                MethodEffect::NonIdempotent => Effect::NonIdempotent,
            },
            soft_deadline: ms(method.soft_deadline_ms),
            deadline: ms(method.deadline_ms),
        };
        Service {
            name: self.name.clone(),
            slices: self.slices,
            methods: self.methods.iter().map(to_method).collect(),
            write_lease: ms(self.write_lease_ms),
            max_owner_wait: ms(self.hold_ms),
            try_factor: self.try_factor,
        }
    }
}

/// Collects the errors of a configuration.
struct Checker(Vec<ConfigError>);

impl Checker {
    /// Adds an error unless the condition holds.
    fn require(&mut self, holds: bool, path: &str, message: &str) {
        if !holds {
            self.0.push(ConfigError { path: path.to_string(), message: message.to_string() });
        }
    }
}

impl AssignerConfig {
    /// All errors that can be found without starting anything.
    pub fn validate(&self) -> Vec<ConfigError> {
        let mut checker = Checker(Vec::new());
        let is_valid_name = |name: &str| {
            !name.is_empty() && name.chars().all(|ch| ch.is_ascii_alphanumeric() || "-_.".contains(ch))
        };
        checker.require(is_valid_name(&self.name), "name", "letters, digits, - _ . are expected");
        checker.require(self.peers.contains(&self.name), "peers", "this assigner's own name is missing");
        checker.require(self.zones.contains(&self.zone), "zone", "is not among zones");
        let service = &self.service;
        checker.require(is_valid_name(&service.name), "service.name", "letters, digits, - _ . are expected");
        checker.require((1..=65_534).contains(&service.slices), "service.slices", "1 to 65534 are expected");
        checker.require((1..=32).contains(&service.methods.len()), "service.methods", "1 to 32 are expected");
        checker.require(service.tries <= 3, "service.tries", "0 to 3 is expected");
        checker.require(
            service.try_factor > 0.0 && service.try_factor <= 100.0,
            "service.try_factor",
            "over 0 up to 100 is expected",
        );
        checker.require(
            service.hold_ms < service.write_lease_ms,
            "service.hold_ms",
            "must be under write_lease_ms",
        );
        for (index, method) in service.methods.iter().enumerate() {
            let field_path = |field: &str| format!("service.methods[{index}].{field}");
            checker.require(
                is_valid_name(&method.name),
                &field_path("name"),
                "letters, digits, - _ . are expected",
            );
            let path = method.path.strip_prefix('/').and_then(|rest| rest.split_once('/'));
            checker.require(
                path.is_some_and(|(service_path, method_path)| {
                    !service_path.is_empty() && !method_path.is_empty()
                }),
                &field_path("path"),
                "/package.Service/Method is expected",
            );
            checker.require(method.soft_deadline_ms > 0, &field_path("soft_deadline_ms"), "must be over 0");
            checker.require(
                method.soft_deadline_ms <= method.deadline_ms,
                &field_path("deadline_ms"),
                "must not be under soft_deadline_ms",
            );
            checker.require(
                method.criticality.is_finite() && method.criticality > 0.0,
                &field_path("criticality"),
                "must be over 0",
            );
            let is_duplicate = service
                .methods
                .iter()
                .take(index)
                .any(|other| other.name == method.name || other.path == method.path);
            checker.require(!is_duplicate, &field_path("name"), "name or path stands twice");
        }
        let rules = &self.rules;
        checker.require(
            (0.0..=1.0).contains(&rules.cold_from) && rules.cold_from > 0.0,
            "rules.cold_from",
            "over 0 and up to 1 is expected",
        );
        checker.require(
            rules.fall_multiple.is_finite() && rules.fall_multiple >= 1.0,
            "rules.fall_multiple",
            "1 or more is expected",
        );
        checker.require(
            rules.grace_ms > self.channel.way_most_ms,
            "rules.grace_ms",
            "must be over channel.way_most_ms",
        );
        let channel = &self.channel;
        checker.require(self.channel.full_lines_per_s() > 0.0, "channel.full_lines_per_s", "must be over 0");
        checker.require(
            channel.lines_per_s.is_finite() && channel.lines_per_s > 0.0,
            "channel.lines_per_s",
            "must be over 0",
        );
        checker.require(
            channel.backlog.is_finite() && channel.backlog >= channel.lines_per_s / 10.0,
            "channel.backlog",
            "at least a tenth of lines_per_s is expected",
        );
        checker.require(self.report_period_ms >= 50, "report_period_ms", "50 or more is expected");
        checker.require(self.report_lines_per_s > 0, "report_lines_per_s", "must be over 0");
        checker.require(self.proxies_most > 0, "proxies_most", "must be over 0");
        let custody = &self.custody;
        checker.require(
            custody.margin_ms * 10 >= custody.ttl_ms,
            "custody.margin_ms",
            "a tenth of ttl_ms at least is expected",
        );
        checker.require(
            custody.ttl_ms >= 3 * self.store.within_ms / 2 + custody.margin_ms,
            "custody.ttl_ms",
            "1.5 times store.within_ms and the margin at least are expected",
        );
        checker.require(custody.step > 0, "custody.step", "must be over 0");
        checker.0
    }

    /// The settings in the form that the module reads.
    pub fn to_module_settings(&self) -> Settings {
        let mut map = BTreeMap::new();
        let mut set = |path: &str, value: String| drop(map.insert(path.to_string(), value));
        let own_index = self.peers.iter().position(|peer| *peer == self.name).unwrap_or(0);
        set("me", own_index.to_string());
        set("peersTotal", self.peers.len().to_string());
        // The source pushes changes by itself, and retries after a failure.
        set("discovery", "automatic".to_string());
        set("caps.mayProbe", self.probes.to_string());
        let service = &self.service;
        set("classes.count", service.methods.len().to_string());
        for (index, method) in service.methods.iter().enumerate() {
            set(&format!("classes.{index}.name"), method.name.clone());
            set(&format!("classes.{index}.objective"), method.soft_deadline_ms.to_string());
            set(&format!("classes.{index}.points"), method.criticality.to_string());
        }
        let writes: Vec<String> = service.methods.iter().map(|method| method.writes.to_string()).collect();
        set("familyInfo.mutating", writes.join(","));
        set("familyInfo.shards", service.slices.to_string());
        set("familyInfo.retryDefault", service.tries.to_string());
        let unless_sabotaged = |ms: u64| if self.sabotage.skips_the_wait { 0 } else { ms };
        set("familyInfo.writeLease", unless_sabotaged(service.write_lease_ms).to_string());
        set("familyInfo.inFlightMax", unless_sabotaged(service.settle_ms).to_string());
        set("familyInfo.period", self.report_period_ms.to_string());
        set("familyInfo.transitMax", self.channel.way_most_ms.to_string());
        set("familyInfo.overhead", self.channel.head.to_string());
        set("familyInfo.linesPerS", self.channel.lines_per_s.to_string());
        set("familyInfo.backlog", self.channel.backlog.to_string());
        set("familyInfo.messagesMost", "0".to_string());
        set("familyInfo.reloadSpan", "10000".to_string());
        let rules = &self.rules;
        set("familyInfo.emptyFor", rules.empty_ms.to_string());
        set("rules.stopSendingWithin", rules.grace_ms.to_string());
        set("rules.warmAfter", rules.warm_after_ms.to_string());
        set("rules.coldFrom", rules.cold_from.to_string());
        set("rules.fallMultiple", rules.fall_multiple.to_string());
        set("rules.fall", rules.fall_ms.to_string());
        set("rules.goneIsAdvice", rules.gone_is_advice.to_string());
        Settings(map)
    }
}
