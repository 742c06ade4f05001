//! A day's script: fleet, load, seed, and faults by time. JSON5, checked whole.

use crate::hops::{Hop, LinkFault, Pick};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use whinhill_assigner::{ChannelConfig, CustodySettings, Fault, RulesConfig, ServiceConfig};

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Day {
    pub seed: u64,
    /// How long load is sent.
    pub seconds: f64,
    pub zones: Vec<String>,
    pub service: ServiceConfig,
    pub rules: RulesConfig,
    pub channel: ChannelConfig,
    pub custody: CustodySettings,
    pub report_period_ms: u64,
    #[serde(default)]
    pub probes: bool,
    /// How assigners hear of servers.
    #[serde(default)]
    pub roster: RosterBy,
    pub servers: Servers,
    pub proxies: Proxies,
    /// How many assigners run.
    pub assigners: usize,
    #[serde(default)]
    pub run: Run,
    /// Whether links stand between proxies and assigners, so that they can be cut. Without them a large fleet is
    /// measured itself, not its links; the audit of drains and lines then has nothing to go by.
    #[serde(default = "yes")]
    pub links: bool,
    /// One-way delay of every link between proxies and assigners, in milliseconds.
    #[serde(default)]
    pub link_delay_ms: u64,
    pub load: Load,
    #[serde(default)]
    pub faults: Vec<Scheduled>,
    /// Broken components put in on purpose: the audit must find them.
    #[serde(default)]
    pub sabotage: Vec<Sabotage>,
}

fn yes() -> bool {
    true
}

/// What runs as processes of their own, and what as threads of the day's. Servers, clients, store and roster always
/// are threads: what they see is recorded on one clock.
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum RunAs {
    Processes,
    Threads,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Sabotage {
    /// Every proxy goes on by tables whose writes were stopped.
    ProxyIgnoresStops,
    /// Servers go on with some writes for seconds after they were given up.
    ServerHoldsOn,
    /// Assigners take their own marks for answered at once, and let no write settle.
    AssignerSkipsWait,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum RosterBy {
    /// A watched JSON5 file.
    #[default]
    File,
    /// An upstream control plane, over EDS.
    Eds,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    pub count: usize,
    pub cores: usize,
    /// Core-seconds of work that a core does in a second: the slowest and the fastest server's.
    pub speed: [f64; 2],
    pub queue: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Speaks {
    Incremental,
    StateOfTheWorld,
    /// Every other proxy.
    Both,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Proxies {
    pub count: usize,
    pub speaks: Speaks,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First tries a second, open loop.
    pub rps: f64,
    pub keys: u64,
    /// By method, in the order of the service's: share of the RPCs, mean work in core-milliseconds, retries by clients.
    pub mix: Vec<Mix>,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    pub share: f64,
    pub work_ms: f64,
    #[serde(default)]
    pub retries: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Scheduled {
    pub at_s: f64,
    /// How long it lasts, where it lasts.
    #[serde(default)]
    pub for_s: f64,
    pub what: Trouble,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Trouble {
    /// Servers are drained, stopped and replaced, so many at a time, until that part is new.
    Release {
        part: f64,
        at_a_time: usize,
    },
    /// The process is killed outright, and started again at the end.
    KillAssigner {
        which: usize,
    },
    /// It stands still.
    StallAssigner {
        which: usize,
    },
    KillProxies {
        part: f64,
    },
    /// Links between some of one part and some of another carry badly.
    Link {
        between: Hop,
        /// Of those that open connections, and of those that take them.
        #[serde(default)]
        near: Pick,
        #[serde(default)]
        far: Pick,
        fault: LinkFault,
    },
    /// The store itself refuses everybody.
    StoreDown {},
    /// That part of the proxies rejects its next tables, once each.
    RejectTables {
        part: f64,
    },
    SlowServers {
        part: f64,
        times: f64,
    },
    SilentServers {
        part: f64,
    },
    /// Fails at once; one method only, if named.
    FailingServers {
        part: f64,
        share: f64,
        method: Option<usize>,
    },
    AnswersLost {
        part: f64,
        share: f64,
    },
    Burst {
        times: f64,
    },
    /// The roster's file is left half written; one that is served by EDS ends its streams and refuses new ones.
    RosterDown {},
    /// Operators have every assigner lead its owners back to where they were so long ago.
    RollBack {
        seconds: f64,
    },
    /// The roster leaves that part of the servers out, though they serve.
    RosterDrops {
        part: f64,
    },
}

impl Day {
    pub fn check(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut must = |holds: bool, path: String, what: &str| {
            if !holds {
                faults.push(Fault { path, what: what.to_string() });
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
                Trouble::KillAssigner { which } | Trouble::StallAssigner { which } => Some(*which),
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
                !matches!(fault.what, Trouble::RejectTables { .. }) || self.run.proxies == RunAs::Threads,
                path.clone(),
                "run.proxies must be \"threads\"",
            );
            if let Trouble::Link { between, near, far, .. } = &fault.what {
                let (nears, fars) = self.ends(*between);
                for (end, pick, of) in [("near", near, nears), ("far", far, fars)] {
                    let fits = match pick {
                        Pick::All => true,
                        Pick::Part(part) => *part > 0.0 && *part <= 1.0,
                        Pick::One(which) => *which < of,
                    };
                    let what = format!("a part over 0 up to 1, or one below {of}, is expected");
                    must(fits, format!("{path}.{end}"), &what);
                }
                must(
                    *between != Hop::AssignersRoster || self.roster == RosterBy::Eds,
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
        faults
    }

    /// How many parts are at the near and the far end of a hop.
    pub fn ends(&self, hop: Hop) -> (usize, usize) {
        match hop {
            Hop::ClientsProxies => (1, self.proxies.count),
            Hop::ProxiesServers => (self.proxies.count, self.servers.count),
            Hop::ProxiesAssigners => (self.proxies.count, self.assigners),
            Hop::AssignersStore | Hop::AssignersRoster => (self.assigners, 1),
        }
    }

    /// Whether any fault is one of links between two such parts: relays stand only where they are needed.
    pub fn has_links(&self, hop: Hop) -> bool {
        let named =
            |fault: &Scheduled| matches!(&fault.what, Trouble::Link { between, .. } if *between == hop);
        self.faults.iter().any(named)
    }

    fn needs_links(&self, fault: &Scheduled) -> bool {
        match &fault.what {
            Trouble::Link { between, .. } => *between == Hop::ProxiesAssigners,
            // It listens elsewhere when it returns; only links can follow it.
            Trouble::KillAssigner { .. } => fault.at_s + fault.for_s < self.seconds,
            _ => false,
        }
    }
}
