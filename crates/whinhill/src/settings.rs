//! The settings that the module works by, read once. No decisions.

use std::time::Duration;

use crate::interface::{Settings, SettingsError};

pub struct Method {
    pub soft: Duration,
    pub criticality: f64,
    pub writes: bool,
}

/// How proxies follow levels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A level is the share that is let in.
    Share,
    /// A level is the RPCs a second that each proxy lets in.
    Rate,
    /// Levels are not followed.
    Off,
}

pub struct Config {
    pub watch: bool,
    pub must_ask: Duration,
    /// A server that the list only drops need not leave the tables.
    pub gone_is_advice: bool,
    pub probes: bool,
    pub methods: Vec<Method>,
    /// The methods, least critical first.
    pub ranks: Vec<usize>,
    /// In seconds.
    pub mean_soft: f64,
    pub tries: u8,
    pub period: Duration,
    /// A slice has one line, and writes go to one server at a time.
    pub exclusive: bool,
    /// Writes to a slice must have ended at one owner before the next gets any.
    pub guarded: bool,
    pub admission: Admission,
    pub lease: Duration,
    /// All that there are, across all assigners.
    pub proxies: usize,
    /// All that there are, this one with them.
    pub assigners: usize,
    pub settle: Duration,
    /// For how long a proxy may have no line.
    pub empty_for: Duration,
    /// How long a guarded move of a slice takes.
    pub move_time: Duration,
    pub grace: Duration,
    pub way_most: Duration,
    pub warm_after: Duration,
    pub cold_from: f64,
    pub fall_multiple: f64,
    pub head: f64,
    pub lines_per_s: f64,
    pub backlog: f64,
    pub messages_most: usize,
    pub messages_span: Duration,
}

impl Config {
    pub fn read(settings: &Settings) -> Result<Self, SettingsError> {
        let writes = settings.flags("familyInfo.mutating")?;
        let method = |k: usize| {
            Ok(Method {
                soft: settings.span(&format!("classes.{k}.objective"))?,
                criticality: settings.get(&format!("classes.{k}.points"))?,
                writes: writes.get(k).copied().unwrap_or(true),
            })
        };
        let watch = settings.get::<String>("discovery")? == "subscribe";
        let methods: Vec<Method> =
            (0..settings.get("classes.count")?).map(method).collect::<Result<_, _>>()?;
        let mean_soft =
            methods.iter().map(|m| m.soft.as_secs_f64()).sum::<f64>() / methods.len().max(1) as f64;
        let mut ranks: Vec<usize> = (0..methods.len()).collect();
        ranks.sort_by(|a, b| methods[*a].criticality.total_cmp(&methods[*b].criticality));
        let exclusive = settings.optional(settings.flag("familyInfo.oneOwner"))?.unwrap_or(true);
        let guarded = exclusive && methods.iter().any(|m| m.writes);
        let admission = match settings.optional(settings.get::<String>("familyInfo.admission"))?.as_deref() {
            None | Some("share") => Admission::Share,
            Some("rate") => Admission::Rate,
            Some("off") => Admission::Off,
            Some(other) => {
                let (path, value) = ("familyInfo.admission".to_string(), Some(other.to_string()));
                return Err(SettingsError { path, value });
            }
        };
        // Where nothing is guarded these say nothing, and may be absent.
        let guard = |path: &str| match guarded {
            true => settings.span(path),
            false => Ok(settings.optional(settings.span(path))?.unwrap_or_default()),
        };
        let (lease, settle) = (guard("familyInfo.writeLease")?, guard("familyInfo.inFlightMax")?);
        let waits = |time: Duration| if guarded { time } else { Duration::ZERO };
        // Absent where nothing need be asked: then never.
        let never = Duration::from_secs(u64::from(u32::MAX));
        Ok(Config {
            watch,
            must_ask: settings.optional(settings.span("rules.mustAskIn"))?.unwrap_or(never),
            gone_is_advice: settings.optional(settings.flag("rules.goneIsAdvice"))?.unwrap_or(false),
            probes: settings.flag("caps.mayProbe")?,
            methods,
            ranks,
            mean_soft,
            tries: settings.get("familyInfo.retryDefault")?,
            period: settings.span("familyInfo.period")?.max(Duration::from_millis(1)),
            exclusive,
            guarded,
            admission,
            lease: waits(lease),
            move_time: lease + settle,
            // Absent where nobody counts them: then some may always be unheard of.
            proxies: settings.optional(settings.get("familyInfo.dataPlaneSize"))?.unwrap_or(usize::MAX),
            assigners: settings.optional(settings.get("peersTotal"))?.unwrap_or(1),
            settle: waits(settle),
            empty_for: settings.optional(settings.span("familyInfo.emptyFor"))?.unwrap_or(never),
            grace: settings.span("rules.stopSendingWithin")?,
            way_most: settings.span("familyInfo.transitMax")?,
            warm_after: settings.span("rules.warmAfter")?.max(Duration::from_millis(1)),
            cold_from: settings.get("rules.coldFrom")?,
            fall_multiple: settings.get("rules.fallMultiple")?,
            head: settings.get("familyInfo.overhead")?,
            lines_per_s: settings.get("familyInfo.linesPerS")?,
            backlog: settings.get("familyInfo.backlog")?,
            messages_most: settings.get("familyInfo.messagesMost")?,
            messages_span: settings.span("familyInfo.reloadSpan")?,
        })
    }
}
