//! The settings that the module works by, read once. No decisions.

use std::time::Duration;

use crate::interface::{Settings, SettingsError};

pub struct Method {
    pub soft_deadline: Duration,
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
    pub watch_list: bool,
    pub max_list_request_interval: Duration,
    /// A server that the list only drops need not leave the tables.
    pub gone_is_advisory: bool,
    pub may_probe: bool,
    pub methods: Vec<Method>,
    /// The methods, least critical first.
    pub methods_by_criticality: Vec<usize>,
    /// In seconds.
    pub mean_soft_deadline_s: f64,
    pub tries: u8,
    pub period: Duration,
    /// A slice has one line, and writes go to one server at a time.
    pub exclusive: bool,
    /// Writes to a slice must have ended at one owner before the next gets any.
    pub fence_writes: bool,
    pub admission: Admission,
    pub write_lease: Duration,
    /// All that there are, across all assigners.
    pub total_proxies: usize,
    /// All that there are, this one with them.
    pub total_assigners: usize,
    pub settle_time: Duration,
    /// For how long a proxy may have no line.
    pub max_time_without_line: Duration,
    /// How long a guarded move of a slice takes.
    pub fenced_move_time: Duration,
    pub drain_grace: Duration,
    pub max_transit: Duration,
    pub warm_up_time: Duration,
    pub cold_capacity: f64,
    pub collapse_multiple: f64,
    pub message_overhead_lines: f64,
    pub lines_per_s: f64,
    pub max_backlog_lines: f64,
    pub max_messages: usize,
    pub message_window: Duration,
}

impl Config {
    pub fn read(settings: &Settings) -> Result<Self, SettingsError> {
        let writes = settings.flags("familyInfo.mutating")?;
        let method = |k: usize| {
            Ok(Method {
                soft_deadline: settings.span(&format!("classes.{k}.objective"))?,
                criticality: settings.get(&format!("classes.{k}.points"))?,
                writes: writes.get(k).copied().unwrap_or(true),
            })
        };
        let watch = settings.get::<String>("discovery")? == "subscribe";
        let methods: Vec<Method> =
            (0..settings.get("classes.count")?).map(method).collect::<Result<_, _>>()?;
        let mean_soft =
            methods.iter().map(|m| m.soft_deadline.as_secs_f64()).sum::<f64>() / methods.len().max(1) as f64;
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
            watch_list: watch,
            max_list_request_interval: settings.optional(settings.span("rules.mustAskIn"))?.unwrap_or(never),
            gone_is_advisory: settings.optional(settings.flag("rules.goneIsAdvice"))?.unwrap_or(false),
            may_probe: settings.flag("caps.mayProbe")?,
            methods,
            methods_by_criticality: ranks,
            mean_soft_deadline_s: mean_soft,
            tries: settings.get("familyInfo.retryDefault")?,
            period: settings.span("familyInfo.period")?.max(Duration::from_millis(1)),
            exclusive,
            fence_writes: guarded,
            admission,
            write_lease: waits(lease),
            fenced_move_time: lease + settle,
            // Absent where nobody counts them: then some may always be unheard of.
            total_proxies: settings.optional(settings.get("familyInfo.dataPlaneSize"))?.unwrap_or(usize::MAX),
            total_assigners: settings.optional(settings.get("peersTotal"))?.unwrap_or(1),
            settle_time: waits(settle),
            max_time_without_line: settings.optional(settings.span("familyInfo.emptyFor"))?.unwrap_or(never),
            drain_grace: settings.span("rules.stopSendingWithin")?,
            max_transit: settings.span("familyInfo.transitMax")?,
            warm_up_time: settings.span("rules.warmAfter")?.max(Duration::from_millis(1)),
            cold_capacity: settings.get("rules.coldFrom")?,
            collapse_multiple: settings.get("rules.fallMultiple")?,
            message_overhead_lines: settings.get("familyInfo.overhead")?,
            lines_per_s: settings.get("familyInfo.linesPerS")?,
            max_backlog_lines: settings.get("familyInfo.backlog")?,
            max_messages: settings.get("familyInfo.messagesMost")?,
            message_window: settings.span("familyInfo.reloadSpan")?,
        })
    }
}
