//! Converts a day of the operators' bench into a script with the same faults, of the same sizes and at the same times.
//! The fleet is scaled down to what one machine can run in real time.

use serde::Deserialize;
use whinhill_assigner::{
    ChannelConfig, CustodySettings, MethodConfig, MethodEffect, RulesConfig, ServiceConfig,
};

use crate::day::{
    Day, FaultKind, Load, Mix, ProtocolVariant, ProxySettings, RosterSource, Run, ScheduledFault, Servers,
};
use crate::hops::{Hop, LinkFault, Selection};
use crate::link::Direction;

/// Why a day of the bench could not be converted.
#[derive(Debug, thiserror::Error)]
pub enum FromBenchError {
    #[error("not a day of the bench: {0}")]
    Read(#[from] serde_json::Error),
    #[error("a day of another kind of system: {0}")]
    OtherFamily(String),
}

/// The fields that are read of a bench's day; times are in microseconds.
#[derive(Deserialize)]
struct BenchDay {
    family: String,
    noise: u64,
    length: f64,
    zones: Vec<String>,
    drain_grace: f64,
    fall_multiple: f64,
    fall_for: f64,
    classes: Vec<Class>,
    servers: Vec<serde_json::Value>,
    tiers: Vec<Tier>,
    troubles: Vec<BenchFault>,
    fam: FamilySettings,
    traffic: Traffic,
    clients: BenchClients,
}

/// A method of the service.
#[derive(Deserialize)]
struct Class {
    name: String,
    share: f64,
    work: f64,
    /// The soft deadline.
    aim: f64,
    deadline: f64,
    /// The criticality.
    worth: f64,
    effect: String,
    write: bool,
}

/// The warm-up that is stated for servers. The first tier's is used for all.
#[derive(Deserialize)]
struct Tier {
    /// The share of the full capacity at the start.
    stated_cold_from: f64,
    /// How long the warm-up takes.
    stated_cold: f64,
}

/// A fault of a bench's day.
#[derive(Deserialize)]
struct BenchFault {
    kind: String,
    at: f64,
    len: f64,
    size: f64,
    /// The parts that it affects.
    on: Vec<usize>,
    #[serde(default)]
    steps: Vec<serde_json::Value>,
    #[serde(default)]
    how: Option<String>,
}

/// The settings of the family of systems, `control`, whose days are converted.
#[derive(Deserialize)]
struct FamilySettings {
    /// Assigners; the sum of the entries is their number.
    controllers: Vec<usize>,
    /// The write lease.
    lease: f64,
    settle: f64,
    hold: f64,
    /// How long a proxy may be without a line.
    bare: f64,
    /// The period of load reports.
    period: f64,
    slices: usize,
    /// Becomes [`ServiceConfig::tries`].
    usual_how: u8,
}

#[derive(Deserialize)]
struct Traffic {
    load: f64,
}

#[derive(Deserialize)]
struct BenchClients {
    retries: u32,
}

/// Most servers of a converted day.
const MAX_SERVERS: usize = 12;
/// Proxies of a converted day.
const PROXY_COUNT: usize = 6;
/// Cores of each server.
const SERVER_CORES: usize = 2;

/// Converts a day as the bench prints it. Returns the script and the kinds of faults that have no counterpart here.
pub fn convert(text: &str) -> Result<(Day, Vec<String>), FromBenchError> {
    let bench: BenchDay = serde_json::from_str(text)?;
    if bench.family != "control" {
        return Err(FromBenchError::OtherFamily(bench.family));
    }
    let ms = |micros: f64| (micros / 1e3).round().max(1.0) as u64;
    let assigners = bench.fam.controllers.iter().sum::<usize>().clamp(1, 2);
    let servers = bench.servers.len().clamp(2, MAX_SERVERS);
    let slices = (bench.fam.slices * servers / bench.servers.len().max(1)).max(8);
    // Work is reduced to a tenth, so that a few cores serve as many RPCs at the same load.
    let shares: f64 = bench.classes.iter().map(|class| class.share).sum();
    let work = |class: &Class| (class.work / 1e4).max(1.0);
    let mean_work: f64 = bench.classes.iter().map(|class| class.share / shares * work(class)).sum();
    let rps = (bench.traffic.load * 0.6 * (servers * SERVER_CORES) as f64 / (mean_work / 1e3)).min(600.0);
    let method = |class: &Class| MethodConfig {
        name: class.name.clone(),
        path: format!("/bench.Day/{}", class.name),
        writes: class.write,
        effect: match class.effect.as_str() {
            "safe" => MethodEffect::Idempotent,
            "keyed" => MethodEffect::Tokened,
            _ => MethodEffect::NonIdempotent,
        },
        criticality: class.worth,
        soft_deadline_ms: ms(class.aim),
        deadline_ms: ms(class.deadline),
    };
    let mut unsupported = Vec::new();
    let mut faults = Vec::new();
    for fault in &bench.troubles {
        let affected = fault.on.len().max(1) as f64;
        let part = |of: usize| (affected / of.max(1) as f64).clamp(0.0, 1.0);
        let on_servers = part(bench.servers.len());
        let what = match (fault.kind.as_str(), fault.how.as_deref()) {
            ("deploy", _) => Some(FaultKind::Release {
                part: (fault.size * fault.steps.len().max(1) as f64).clamp(0.1, 1.0),
                at_a_time: ((fault.size * servers as f64).round() as usize).max(1),
            }),
            ("balancer_crash", _) if fault.on.len() <= 2 => Some(FaultKind::KillAssigner { which: 0 }),
            ("balancer_crash" | "counter_down", _) => Some(FaultKind::KillProxies { part: 0.3 }),
            ("balancer_stall", _) => Some(FaultKind::StallAssigner { which: 0 }),
            ("cut" | "zone_cut" | "reconnect", _) => Some(FaultKind::Link {
                between: Hop::ProxiesAssigners,
                near: Selection::Part(0.4),
                far: Selection::All,
                fault: LinkFault::Cut { way: Direction::Both },
            }),
            ("slow" | "ageing" | "neighbour" | "false_reports", _) => {
                Some(FaultKind::SlowServers { part: on_servers, times: fault.size.clamp(2.0, 10.0) })
            }
            ("vanish" | "hang", _) => Some(FaultKind::SilentServers { part: on_servers }),
            ("fast_errors", _) => {
                let share = fault.size.clamp(0.1, 1.0);
                Some(FaultKind::FailingServers { part: on_servers, share, method: None })
            }
            ("class_fail", _) => {
                let share = fault.size.clamp(0.1, 1.0);
                Some(FaultKind::FailingServers { part: on_servers, share, method: Some(0) })
            }
            ("answer_lost", _) => {
                Some(FaultKind::AnswersLost { part: on_servers, share: fault.size.clamp(0.1, 1.0) })
            }
            ("burst", _) => Some(FaultKind::Burst { times: fault.size.clamp(1.1, 3.0) }),
            ("discovery_down", _) => Some(FaultKind::RosterDown {}),
            ("wrong_list", Some("shrink")) => Some(FaultKind::RosterDrops { part: on_servers }),
            _ => None,
        };
        match what {
            Some(what) => faults.push(ScheduledFault { at_s: fault.at / 1e6, for_s: fault.len / 1e6, what }),
            None => unsupported.push(fault.kind.clone()),
        }
    }
    let tier = bench.tiers.first();
    let day = Day {
        run: Run::default(),
        seed: bench.noise,
        seconds: bench.length / 1e6,
        zones: bench.zones,
        service: ServiceConfig {
            name: "bench-day".into(),
            slices,
            methods: bench.classes.iter().map(method).collect(),
            write_lease_ms: ms(bench.fam.lease),
            settle_ms: ms(bench.fam.settle),
            hold_ms: ms(bench.fam.hold),
            tries: bench.fam.usual_how,
            try_factor: 1.0,
        },
        rules: RulesConfig {
            empty_ms: ms(bench.fam.bare),
            grace_ms: ms(bench.drain_grace),
            warm_after_ms: ms(tier.map_or(1e7, |tier| tier.stated_cold)),
            cold_from: tier.map_or(0.2, |tier| tier.stated_cold_from),
            fall_multiple: bench.fall_multiple,
            fall_ms: ms(bench.fall_for),
            gone_is_advice: false,
        },
        channel: ChannelConfig {
            lines_per_s: 20_000.0,
            head: 8,
            backlog: 20_000.0,
            way_most_ms: 300,
            full_lines_per_s: None,
        },
        custody: CustodySettings { ttl_ms: 2000, margin_ms: 400, step: 128 },
        report_period_ms: ms(bench.fam.period),
        probes: false,
        roster: RosterSource::File,
        servers: Servers { count: servers, cores: SERVER_CORES, speed: [0.8, 1.2], queue: 40 },
        proxies: ProxySettings { count: PROXY_COUNT, speaks: ProtocolVariant::Both },
        assigners,
        links: true,
        link_delay_ms: 10,
        load: Load {
            rps,
            keys: 4000,
            mix: bench
                .classes
                .iter()
                .map(|class| Mix { share: class.share, work_ms: work(class), retries: bench.clients.retries })
                .collect(),
        },
        faults,
        sabotage: Vec::new(),
    };
    Ok((day, unsupported))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The fields of a bench's day that are read.
    const DAY: &str = r#"{
        "family": "control", "noise": 5, "length": 20000000, "zones": ["a", "b"], "drain_grace": 2000000,
        "fall_multiple": 4, "fall_for": 2000000, "traffic": {"load": 0.9}, "clients": {"retries": 2},
        "tiers": [{"stated_cold_from": 0.2, "stated_cold": 15000000}],
        "servers": [{}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {}],
        "classes": [
            {"name": "r", "share": 0.6, "work": 300000, "aim": 1500000, "deadline": 5000000, "worth": 1, "effect": "safe", "write": false},
            {"name": "w", "share": 0.4, "work": 200000, "aim": 800000, "deadline": 1200000, "worth": 9, "effect": "unsafe", "write": true}],
        "fam": {"controllers": [2], "lease": 2500000, "settle": 1200000, "hold": 300000, "bare": 10000000, "period": 1000000, "slices": 100, "usual_how": 1},
        "troubles": [
            {"kind": "deploy", "at": 2000000, "len": 9000000, "size": 0.1, "on": [0], "steps": [{}, {}, {}]},
            {"kind": "balancer_crash", "at": 4000000, "len": 3000000, "size": 0, "on": [20]},
            {"kind": "slow", "at": 5000000, "len": 3000000, "size": 4, "on": [1, 2]},
            {"kind": "moonrise", "at": 6000000, "len": 1, "size": 0, "on": []}]
    }"#;

    #[test]
    fn faults_keep_kind_size_and_time_and_unsupported_kinds_are_listed() {
        let (day, unsupported) = convert(DAY).unwrap();
        assert_eq!((day.validate().len(), unsupported), (0, vec!["moonrise".to_string()]));
        assert_eq!((day.assigners, day.servers.count, day.service.slices), (2, 12, 60));
        let at: Vec<f64> = day.faults.iter().map(|fault| fault.at_s).collect();
        assert_eq!(at, [2.0, 4.0, 5.0]);
        assert!(matches!(day.faults[0].what, FaultKind::Release { part, .. } if (part - 0.3).abs() < 1e-9));
        assert!(
            matches!(day.faults[2].what, FaultKind::SlowServers { part, times: 4.0 } if (part - 0.1).abs() < 1e-9)
        );
        assert!(convert(r#"{"family": "other"}"#).is_err());
    }
}
