//! The script of a day: fleet, load, seed and scheduled faults. Read from JSON5 and checked as a whole.
//!
//! The attribute `schemars(rename)` keeps the name of a type in the published schema where its Rust name differs.

use crate::hops::{Hop, LinkFault, Selection};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use whinhill_assigner::{ChannelConfig, ConfigError, CustodySettings, RulesConfig, ServiceConfig};

/// A scripted day.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Seed of all random draws of the day.
    pub seed: u64,
    /// How long load is sent, in seconds.
    pub seconds: f64,
    pub zones: Vec<String>,
    pub service: ServiceConfig,
    pub rules: RulesConfig,
    pub channel: ChannelConfig,
    pub custody: CustodySettings,
    pub report_period_ms: u64,
    #[serde(default)]
    pub probes: bool,
    /// How assigners learn of servers.
    #[serde(default)]
    pub roster: RosterSource,
    pub servers: Servers,
    pub proxies: ProxySettings,
    /// How many assigners run.
    pub assigners: usize,
    #[serde(default)]
    pub run: Run,
    /// Whether links stand between proxies and assigners, so that they can be cut. Measurements of a large fleet do
    /// without them, so that the links are not measured too; drains and missing lines can't be audited then.
    #[serde(default = "yes")]
    pub links: bool,
    /// One-way delay of every link between proxies and assigners, in milliseconds.
    #[serde(default)]
    pub link_delay_ms: u64,
    pub load: Load,
    #[serde(default)]
    pub faults: Vec<ScheduledFault>,
    /// Deliberately broken components, which the audit must detect.
    #[serde(default)]
    pub sabotage: Vec<Sabotage>,
}

fn yes() -> bool {
    true
}

/// Which parts run as processes of their own and which as threads of the day's process. Servers, clients, store and
/// roster always run as threads, so that their events are recorded on one clock.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Run {
    pub assigners: RunAs,
    pub proxies: RunAs,
}

impl Default for Run {
    fn default() -> Self {
        Run { assigners: RunAs::Processes, proxies: RunAs::Threads }
    }
}

/// How the parts of one kind run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum RunAs {
    Processes,
    Threads,
}

/// A deliberate defect of a component.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Sabotage {
    /// Proxies go on sending writes after their table has stopped them.
    ProxyIgnoresStops,
    /// Servers go on with some writes for seconds after these were cancelled.
    ServerHoldsOn,
    /// Assigners treat their acknowledgement requests as answered at once, and don't wait for writes to settle.
    AssignerSkipsWait,
}

/// Where assigners get the list of servers from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "RosterBy")]
pub enum RosterSource {
    /// A watched JSON5 file.
    #[default]
    File,
    /// An upstream control plane, over EDS.
    Eds,
}

/// The servers of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    pub count: usize,
    /// Cores of each server.
    pub cores: usize,
    /// Core-seconds of work that a core does in a second: of the slowest and of the fastest server.
    pub speed: [f64; 2],
    /// Most RPCs that a server queues.
    pub queue: usize,
}

/// The variant of the protocol that proxies use towards assigners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Speaks")]
pub enum ProtocolVariant {
    Incremental,
    StateOfTheWorld,
    /// Every other proxy uses the incremental variant.
    Both,
}

/// The proxies of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Proxies")]
pub struct ProxySettings {
    pub count: usize,
    pub speaks: ProtocolVariant,
}

/// The load that clients send.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// RPCs a second in an open loop, retries not counted.
    pub rps: f64,
    /// Number of different keys.
    pub keys: u64,
    /// The load of each method, in the order of the service's methods.
    pub mix: Vec<Mix>,
}

/// The load of one method.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Share of the RPCs, relative to the shares of the other methods.
    pub share: f64,
    /// Mean work of an RPC, in core-milliseconds.
    pub work_ms: f64,
    /// Most retries of an RPC by its client.
    #[serde(default)]
    pub retries: u32,
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Scheduled")]
pub struct ScheduledFault {
    /// When it begins, in seconds from the day's start.
    pub at_s: f64,
    /// How long it lasts, in seconds, if it is one that lasts.
    #[serde(default)]
    pub for_s: f64,
    pub what: FaultKind,
}

/// A fault or an operation that a script injects. `part` is a fraction of the parts concerned, drawn at random.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
#[schemars(rename = "Trouble")]
pub enum FaultKind {
    /// Servers are drained, stopped and replaced, `at_a_time` of them together, until that fraction is replaced.
    Release { part: f64, at_a_time: usize },
    /// The assigner's process is killed, and started again at the end.
    KillAssigner { which: usize },
    /// The assigner's process is stopped by a signal, and resumed at the end.
    StallAssigner { which: usize },
    /// Proxies are killed, and started again at the end.
    KillProxies { part: f64 },
    /// The links between some parts of one kind and some of another have a fault.
    Link {
        between: Hop,
        /// Which of the parts that open the connections.
        #[serde(default)]
        near: Selection,
        /// Which of the parts that accept them.
        #[serde(default)]
        far: Selection,
        fault: LinkFault,
    },
    /// The store breaks its connections and refuses new ones.
    StoreDown {},
    /// That fraction of the proxies rejects its next tables, once each.
    RejectTables { part: f64 },
    /// Servers work slower by the factor `times`.
    SlowServers { part: f64, times: f64 },
    /// Servers accept RPCs and don't answer.
    SilentServers { part: f64 },
    /// That share of a server's RPCs fails at once; only those of one method, if it is given.
    FailingServers { part: f64, share: f64, method: Option<usize> },
    /// That share of a server's answers is lost after the work is done.
    AnswersLost { part: f64, share: f64 },
    /// Clients send at `times` the day's rate.
    Burst { times: f64 },
    /// The roster's file is left half written. A roster served by EDS ends its streams and refuses new ones.
    RosterDown {},
    /// Operators request from every assigner a rollback of its owners to their state that many seconds earlier.
    RollBack { seconds: f64 },
    /// The roster drops that fraction of the servers, though they still serve.
    RosterDrops { part: f64 },
}

impl Day {
    /// Checks the script as a whole. Returns all errors that it finds.
    pub fn validate(&self) -> Vec<ConfigError> {
        let mut errors = Vec::new();
        let mut must = |holds: bool, path: String, what: &str| {
            if !holds {
                errors.push(ConfigError { path, message: what.to_string() });
            }
        };
        must(
            self.seconds > 0.0 && self.seconds <= 3600.0,
            "seconds".into(),
            "over 0 and up to 3600 is expected",
        );
        must(!self.zones.is_empty(), "zones".into(), "one at least is expected");
        must((1..=1000).contains(&self.servers.count), "servers.count".into(), "1 to 1000 is expected");
        must(self.servers.cores > 0, "servers.cores".into(), "must be over 0");
        let [low, high] = self.servers.speed;
        must(
            low > 0.0 && low <= high && high.is_finite(),
            "servers.speed".into(),
            "two rising figures over 0 are expected",
        );
        must((1..=1000).contains(&self.proxies.count), "proxies.count".into(), "1 to 1000 is expected");
        must((1..=16).contains(&self.assigners), "assigners".into(), "1 to 16 is expected");
        must(self.load.rps >= 0.0 && self.load.rps <= 20_000.0, "load.rps".into(), "0 to 20000 is expected");
        must(self.load.keys > 0, "load.keys".into(), "must be over 0");
        let methods = self.service.methods.len();
        must(self.load.mix.len() == methods, "load.mix".into(), "one entry for each method is expected");
        for (k, mix) in self.load.mix.iter().enumerate() {
            must(
                mix.share >= 0.0 && mix.work_ms > 0.0,
                format!("load.mix[{k}]"),
                "share from 0 and work_ms over 0 are expected",
            );
        }
        for (k, fault) in self.faults.iter().enumerate() {
            let path = format!("faults[{k}]");
            must(fault.at_s >= 0.0 && fault.for_s >= 0.0, path.clone(), "times from 0 are expected");
            must(fault.at_s <= self.seconds, path.clone(), "begins after the day's end");
            must(self.links || !self.needs_links(fault), path.clone(), "needs links");
            let assigner = match &fault.what {
                FaultKind::KillAssigner { which } | FaultKind::StallAssigner { which } => Some(*which),
                _ => None,
            };
            must(
                assigner.is_none_or(|which| which < self.assigners),
                path.clone(),
                "there is no such assigner",
            );
            must(
                assigner.is_none() || self.run.assigners == RunAs::Processes,
                path.clone(),
                "only a process can be killed or stand still: run.assigners must be \"processes\"",
            );
            must(
                !matches!(fault.what, FaultKind::RejectTables { .. }) || self.run.proxies == RunAs::Threads,
                path.clone(),
                "run.proxies must be \"threads\"",
            );
            if let FaultKind::Link { between, near, far, .. } = &fault.what {
                let (nears, fars) = self.end_counts(*between);
                for (end, pick, of) in [("near", near, nears), ("far", far, fars)] {
                    let fits = match pick {
                        Selection::All => true,
                        Selection::Part(part) => *part > 0.0 && *part <= 1.0,
                        Selection::One(which) => *which < of,
                    };
                    let what = format!("a part over 0 up to 1, or one below {of}, is expected");
                    must(fits, format!("{path}.{end}"), &what);
                }
                must(
                    *between != Hop::AssignersRoster || self.roster == RosterSource::Eds,
                    path.clone(),
                    "a roster by file has no link",
                );
                must(
                    *between != Hop::ProxiesServers || self.run.proxies == RunAs::Threads,
                    path,
                    "links to servers stand where run.proxies is \"threads\"",
                );
            }
        }
        errors
    }

    /// The number of parts at the near and at the far end of a hop.
    pub fn end_counts(&self, hop: Hop) -> (usize, usize) {
        match hop {
            Hop::ClientsProxies => (1, self.proxies.count),
            Hop::ProxiesServers => (self.proxies.count, self.servers.count),
            Hop::ProxiesAssigners => (self.proxies.count, self.assigners),
            Hop::AssignersStore | Hop::AssignersRoster => (self.assigners, 1),
        }
    }

    /// Whether any fault concerns the links of this hop. Relays are started only where they are needed.
    pub fn has_links(&self, hop: Hop) -> bool {
        let concerns_hop = |fault: &ScheduledFault| matches!(&fault.what, FaultKind::Link { between, .. } if *between == hop);
        self.faults.iter().any(concerns_hop)
    }

    fn needs_links(&self, fault: &ScheduledFault) -> bool {
        match &fault.what {
            FaultKind::Link { between, .. } => *between == Hop::ProxiesAssigners,
            // It listens at another address when it returns; proxies reach it there only by links.
            FaultKind::KillAssigner { .. } => fault.at_s + fault.for_s < self.seconds,
            _ => false,
        }
    }
}
