//! An assigner's configuration, read whole and checked whole before anything starts.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use whinhill::interface::Settings;
use whinhill_xds::mapping::{Effect, Method, Service};

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub path: String,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.what)
    }
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AssignerConfig {
    /// This assigner's name; the same at every start.
    pub name: String,
    /// The names of all assigners of the service, this one among them.
    pub peers: Vec<String>,
    /// Where proxies connect.
    pub listen: SocketAddr,
    /// The zone that it stands in.
    pub zone: String,
    /// All zones.
    pub zones: Vec<String>,
    pub service: ServiceConfig,
    pub rules: RulesConfig,
    pub channel: ChannelConfig,
    pub roster: RosterConfig,
    pub store: StoreConfig,
    pub custody: CustodySettings,
    /// How often load reports are gathered, in milliseconds.
    pub report_period_ms: u64,
    /// Report lines a second that the decisions are given; what is over waits and adds up.
    #[serde(default = "report_lines")]
    pub report_lines_per_s: u32,
    /// Whether servers are probed by `grpc.health.v1` once a report period.
    #[serde(default)]
    pub probes: bool,
    /// Streams without an answer to a mark for this long are ended, in milliseconds.
    #[serde(default = "answer_within")]
    pub answer_within_ms: u64,
    /// Proxies that may be connected at a time.
    #[serde(default = "proxies_most")]
    pub proxies_most: usize,
    /// Where the last list of servers is kept.
    #[serde(default)]
    pub state_dir: Option<PathBuf>,
    /// Where operators connect (`whinhill table`); nobody is listened to without it.
    #[serde(default)]
    pub operators: Option<SocketAddr>,
    /// What is kept of the sets that were published, in `state_dir`, or in memory without one.
    #[serde(default)]
    pub history: HistoryConfig,
    /// Where a line of figures is written each second, as JSON.
    #[serde(default)]
    pub status_file: Option<PathBuf>,
    /// The seed of all chance. Without one it is drawn at the start.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Faults put in on purpose, for rehearsals.
    #[serde(default)]
    pub sabotage: Sabotage,
}

fn report_lines() -> u32 {
    1000
}

fn answer_within() -> u64 {
    6000
}

fn proxies_most() -> usize {
    1024
}

/// Past any of these limits the oldest versions go; those marked good stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct HistoryConfig {
    pub versions: usize,
    pub bytes: usize,
    /// In hours in which an assigner ran.
    pub hours: u64,
}

impl Default for HistoryConfig {
    fn default() -> Self {
        HistoryConfig { versions: 20_000, bytes: 64 << 20, hours: 72 }
    }
}

impl HistoryConfig {
    pub fn limits(&self) -> whinhill_tables::Limits {
        whinhill_tables::Limits {
            entries: self.versions,
            bytes: self.bytes,
            age: Duration::from_secs(self.hours * 3600),
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Sabotage {
    /// Answers its own marks at once, as if every proxy had, and lets neither leases end nor writes settle.
    pub skips_the_wait: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    pub name: String,
    pub slices: usize,
    pub methods: Vec<MethodConfig>,
    /// How long a proxy still sends writes after it last heard from the assigner in charge, in milliseconds.
    pub write_lease_ms: u64,
    /// A write that a proxy has taken in ends within this time.
    pub settle_ms: u64,
    /// How long an RPC waits for a slice's owner.
    pub hold_ms: u64,
    /// The way of trying again: 0 none; 1 one after proof that the first never ran; 2 one and 3 two after any failure.
    #[serde(default)]
    pub tries: u8,
    /// With 2 and 3 a try that may be followed by another waits so many soft deadlines for its answer.
    #[serde(default = "try_factor")]
    pub try_factor: f64,
}

fn try_factor() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum MethodEffect {
    Idempotent,
    Tokened,
    NonIdempotent,
}

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

/// The figures of the five rules, times in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RulesConfig {
    /// A proxy is never without a line for longer.
    pub empty_ms: u64,
    /// Sending to a draining or gone server stops within this.
    pub grace_ms: u64,
    /// A server is warm this long after its start.
    pub warm_after_ms: u64,
    /// The part of its capacity that it starts at.
    pub cold_from: f64,
    /// Sent this many times what it can do ...
    pub fall_multiple: f64,
    /// ... for this long, a cold server falls over.
    pub fall_ms: u64,
    /// Whether a server that the list only drops need not leave the tables.
    #[serde(default)]
    pub gone_is_advice: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ChannelConfig {
    pub lines_per_s: f64,
    /// Lines that a message costs beside its own.
    pub head: u32,
    /// Lines that may wait.
    pub backlog: f64,
    /// The longest time from the channel to a proxy, in milliseconds.
    pub way_most_ms: u64,
    /// The pace of full sets, for proxies that join; ten times `lines_per_s` without it.
    #[serde(default)]
    pub full_lines_per_s: Option<f64>,
}

impl ChannelConfig {
    pub fn full_lines_per_s(&self) -> f64 {
        self.full_lines_per_s.unwrap_or(self.lines_per_s * 10.0)
    }
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum RosterConfig {
    /// A JSON5 file, looked at again and again.
    File { path: PathBuf },
    /// An upstream control plane that serves the fleet as one EDS resource.
    Eds { addr: SocketAddr, resource: String },
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct StoreConfig {
    pub addr: SocketAddr,
    #[serde(default = "prefix")]
    pub prefix: String,
    /// Each exchange ends within this, in milliseconds.
    #[serde(default = "exchange_within")]
    pub within_ms: u64,
}

fn prefix() -> String {
    "whinhill".to_string()
}

fn exchange_within() -> u64 {
    500
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CustodySettings {
    /// How long a sign of life lasts in the store, in milliseconds.
    pub ttl_ms: u64,
    /// How much earlier the holder takes it for ended.
    pub margin_ms: u64,
    /// Slices that change hands in one round.
    #[serde(default = "step")]
    pub step: usize,
}

fn step() -> usize {
    128
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

impl ServiceConfig {
    pub fn service(&self) -> Service {
        let method = |m: &MethodConfig| Method {
            name: m.name.clone(),
            path: m.path.clone(),
            writes: m.writes,
            effect: match m.effect {
                MethodEffect::Idempotent => Effect::Idempotent,
                MethodEffect::Tokened => Effect::Tokened,
                MethodEffect::NonIdempotent => Effect::NonIdempotent,
            },
            soft_deadline: ms(m.soft_deadline_ms),
            deadline: ms(m.deadline_ms),
        };
        Service {
            name: self.name.clone(),
            slices: self.slices,
            methods: self.methods.iter().map(method).collect(),
            write_lease: ms(self.write_lease_ms),
            hold: ms(self.hold_ms),
            try_factor: self.try_factor,
        }
    }
}

struct Checker(Vec<Fault>);

impl Checker {
    fn must(&mut self, holds: bool, path: &str, what: &str) {
        if !holds {
            self.0.push(Fault { path: path.to_string(), what: what.to_string() });
        }
    }
}

impl AssignerConfig {
    /// Every fault that can be seen without starting anything.
    pub fn check(&self) -> Vec<Fault> {
        let mut c = Checker(Vec::new());
        let plain = |name: &str| {
            !name.is_empty() && name.chars().all(|ch| ch.is_ascii_alphanumeric() || "-_.".contains(ch))
        };
        c.must(plain(&self.name), "name", "letters, digits, - _ . are expected");
        c.must(self.peers.contains(&self.name), "peers", "this assigner's own name is missing");
        c.must(self.zones.contains(&self.zone), "zone", "is not among zones");
        let s = &self.service;
        c.must(plain(&s.name), "service.name", "letters, digits, - _ . are expected");
        c.must((1..=65_534).contains(&s.slices), "service.slices", "1 to 65534 are expected");
        c.must((1..=32).contains(&s.methods.len()), "service.methods", "1 to 32 are expected");
        c.must(s.tries <= 3, "service.tries", "0 to 3 is expected");
        c.must(
            s.try_factor > 0.0 && s.try_factor <= 100.0,
            "service.try_factor",
            "over 0 up to 100 is expected",
        );
        c.must(s.hold_ms < s.write_lease_ms, "service.hold_ms", "must be under write_lease_ms");
        for (k, m) in s.methods.iter().enumerate() {
            let at = |field: &str| format!("service.methods[{k}].{field}");
            c.must(plain(&m.name), &at("name"), "letters, digits, - _ . are expected");
            let path = m.path.strip_prefix('/').and_then(|rest| rest.split_once('/'));
            c.must(
                path.is_some_and(|(a, b)| !a.is_empty() && !b.is_empty()),
                &at("path"),
                "/package.Service/Method is expected",
            );
            c.must(m.soft_deadline_ms > 0, &at("soft_deadline_ms"), "must be over 0");
            c.must(
                m.soft_deadline_ms <= m.deadline_ms,
                &at("deadline_ms"),
                "must not be under soft_deadline_ms",
            );
            c.must(m.criticality.is_finite() && m.criticality > 0.0, &at("criticality"), "must be over 0");
            let twin = s.methods.iter().take(k).any(|other| other.name == m.name || other.path == m.path);
            c.must(!twin, &at("name"), "name or path stands twice");
        }
        let r = &self.rules;
        c.must(
            (0.0..=1.0).contains(&r.cold_from) && r.cold_from > 0.0,
            "rules.cold_from",
            "over 0 and up to 1 is expected",
        );
        c.must(
            r.fall_multiple.is_finite() && r.fall_multiple >= 1.0,
            "rules.fall_multiple",
            "1 or more is expected",
        );
        c.must(r.grace_ms > self.channel.way_most_ms, "rules.grace_ms", "must be over channel.way_most_ms");
        let ch = &self.channel;
        c.must(self.channel.full_lines_per_s() > 0.0, "channel.full_lines_per_s", "must be over 0");
        c.must(ch.lines_per_s.is_finite() && ch.lines_per_s > 0.0, "channel.lines_per_s", "must be over 0");
        c.must(
            ch.backlog.is_finite() && ch.backlog >= ch.lines_per_s / 10.0,
            "channel.backlog",
            "at least a tenth of lines_per_s is expected",
        );
        c.must(self.report_period_ms >= 50, "report_period_ms", "50 or more is expected");
        c.must(self.report_lines_per_s > 0, "report_lines_per_s", "must be over 0");
        c.must(self.proxies_most > 0, "proxies_most", "must be over 0");
        let k = &self.custody;
        c.must(k.margin_ms * 10 >= k.ttl_ms, "custody.margin_ms", "a tenth of ttl_ms at least is expected");
        c.must(
            k.ttl_ms >= 3 * self.store.within_ms / 2 + k.margin_ms,
            "custody.ttl_ms",
            "1.5 times store.within_ms and the margin at least are expected",
        );
        c.must(k.step > 0, "custody.step", "must be over 0");
        c.0
    }

    /// The settings in the form that the module reads.
    pub fn settings(&self) -> Settings {
        let mut map = BTreeMap::new();
        let mut set = |path: &str, value: String| drop(map.insert(path.to_string(), value));
        let me = self.peers.iter().position(|peer| *peer == self.name).unwrap_or(0);
        set("me", me.to_string());
        set("peersTotal", self.peers.len().to_string());
        // The feed pushes changes by itself; after a failure it goes on trying.
        set("discovery", "automatic".to_string());
        set("caps.mayProbe", self.probes.to_string());
        let s = &self.service;
        set("classes.count", s.methods.len().to_string());
        for (k, m) in s.methods.iter().enumerate() {
            set(&format!("classes.{k}.name"), m.name.clone());
            set(&format!("classes.{k}.objective"), m.soft_deadline_ms.to_string());
            set(&format!("classes.{k}.points"), m.criticality.to_string());
        }
        let writes: Vec<String> = s.methods.iter().map(|m| m.writes.to_string()).collect();
        set("familyInfo.mutating", writes.join(","));
        set("familyInfo.shards", s.slices.to_string());
        set("familyInfo.retryDefault", s.tries.to_string());
        let waits = |ms: u64| if self.sabotage.skips_the_wait { 0 } else { ms };
        set("familyInfo.writeLease", waits(s.write_lease_ms).to_string());
        set("familyInfo.inFlightMax", waits(s.settle_ms).to_string());
        set("familyInfo.period", self.report_period_ms.to_string());
        set("familyInfo.transitMax", self.channel.way_most_ms.to_string());
        set("familyInfo.overhead", self.channel.head.to_string());
        set("familyInfo.linesPerS", self.channel.lines_per_s.to_string());
        set("familyInfo.backlog", self.channel.backlog.to_string());
        set("familyInfo.messagesMost", "0".to_string());
        set("familyInfo.reloadSpan", "10000".to_string());
        let r = &self.rules;
        set("familyInfo.emptyFor", r.empty_ms.to_string());
        set("rules.stopSendingWithin", r.grace_ms.to_string());
        set("rules.warmAfter", r.warm_after_ms.to_string());
        set("rules.coldFrom", r.cold_from.to_string());
        set("rules.fallMultiple", r.fall_multiple.to_string());
        set("rules.fall", r.fall_ms.to_string());
        set("rules.goneIsAdvice", r.gone_is_advice.to_string());
        Settings(map)
    }
}
