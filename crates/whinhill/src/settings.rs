//! The settings that the module works by, read once. No decisions.

use std::time::Duration;

use crate::interface::{Settings, SettingsError};

pub struct Method {
    pub soft: Duration,
    pub criticality: f64,
    pub writes: bool,
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
    pub lease: Duration,
    /// All that there are, across all assigners.
    pub proxies: usize,
    pub settle: Duration,
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
        Ok(Config {
            watch,
            // Absent where nothing need be asked: then never.
            must_ask: settings.span("rules.mustAskIn").unwrap_or(Duration::from_secs(u64::from(u32::MAX))),
            gone_is_advice: settings.flag("rules.goneIsAdvice").unwrap_or(false),
            probes: settings.flag("caps.mayProbe")?,
            methods,
            ranks,
            mean_soft,
            tries: settings.get("familyInfo.retryDefault")?,
            period: settings.span("familyInfo.period")?.max(Duration::from_millis(1)),
            lease: settings.span("familyInfo.writeLease")?,
            // Absent where nobody counts them: then some may always be unheard of.
            proxies: settings.get("familyInfo.dataPlaneSize").unwrap_or(usize::MAX),
            settle: settings.span("familyInfo.inFlightMax")?,
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
