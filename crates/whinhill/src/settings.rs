//! The configuration of the decisions, read once from the settings.

use std::time::Duration;

use crate::interface::{Settings, SettingsError};

/// A method of the service.
pub struct Method {
    /// The soft deadline of its RPCs: a later answer is worth less. Their work is taken to be in proportion to it.
    pub soft_deadline: Duration,
    /// The higher, the later its RPCs are rejected.
    pub criticality: f64,
    /// Its RPCs write. They are taken to where the settings do not say.
    pub writes: bool,
}

impl Method {
    /// Reads all methods, in the order of their indices.
    fn read_all(settings: &Settings) -> Result<Vec<Self>, SettingsError> {
        let writes = settings.flags("familyInfo.mutating")?;
        let method = |k: usize| {
            Ok(Method {
                soft_deadline: settings.duration(&format!("classes.{k}.objective"))?,
                criticality: settings.get(&format!("classes.{k}.points"))?,
                writes: writes.get(k).copied().unwrap_or(true),
            })
        };
        (0..settings.get("classes.count")?).map(method).collect()
    }
}

/// How proxies apply levels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A level is the share of the RPCs that is admitted.
    Share,
    /// A level is the number of RPCs a second that each proxy admits.
    Rate,
    /// Levels are not applied.
    Off,
}

impl Admission {
    /// Reads how levels are applied; as shares where the settings do not say.
    fn read(settings: &Settings) -> Result<Self, SettingsError> {
        let path = "familyInfo.admission";
        match settings.if_present(settings.get::<String>(path))?.as_deref() {
            None | Some("share") => Ok(Admission::Share),
            Some("rate") => Ok(Admission::Rate),
            Some("off") => Ok(Admission::Off),
            Some(other) => Err(SettingsError { path: path.to_string(), value: Some(other.to_string()) }),
        }
    }
}

/// Stands for an absent time limit: a time that never comes.
pub const NEVER: Duration = Duration::from_secs(u32::MAX as u64);

/// The configuration. [`NEVER`] stands for limits that the settings do not have.
pub struct Config {
    /// The list is followed by a subscription to its changes.
    pub watch_list: bool,
    /// Without a watch, the list must be requested at least this often; the platform allows four times as long after a
    /// failed request.
    pub max_list_request_interval: Duration,
    /// A server that the list merely drops may stay in the tables.
    pub gone_is_advisory: bool,
    /// Servers may be probed.
    pub may_probe: bool,
    pub methods: Vec<Method>,
    /// The methods' indices, least critical first.
    pub methods_by_criticality: Vec<usize>,
    /// The mean soft deadline of the methods, in seconds.
    pub mean_soft_deadline_s: f64,
    /// The retry policy that levels tell proxies. 0: no further try; 1: one, after proof that the first never ran; 2:
    /// one and 3: two after any failure.
    pub tries: u8,
    /// The time between evaluations of the fleet, and between reports.
    pub period: Duration,
    /// A slice has one line, and writes go to one server at a time.
    pub exclusive: bool,
    /// Writes to a slice must have ended at one owner before the next one gets any.
    pub fence_writes: bool,
    /// How proxies apply levels.
    pub admission: Admission,
    /// How long a proxy goes on writing by its table after it has lost its stream; zero where writes are not fenced.
    pub write_lease: Duration,
    /// The number of proxies, across all assigners.
    pub total_proxies: usize,
    /// The number of assigners, this one included.
    pub total_assigners: usize,
    /// How long an RPC may be in flight; zero where writes are not fenced.
    pub settle_time: Duration,
    /// How long a proxy may have no line for a slice.
    pub max_time_without_line: Duration,
    /// How long a fenced move of a slice may take: the write lease and the settle time. Unlike those, it is not set to
    /// zero where writes are not fenced.
    pub fenced_move_time: Duration,
    /// The time after which a drained server must be sent nothing more.
    pub drain_grace: Duration,
    /// The longest time from sending an order until it takes effect at a proxy.
    pub max_transit: Duration,
    /// The age at which a server has its full capacity.
    pub warm_up_time: Duration,
    /// The fraction of its capacity that a server has when it starts.
    pub cold_capacity: f64,
    /// The load, as a multiple of its present capacity, at which a cold server collapses.
    pub collapse_multiple: f64,
    /// The overhead of a message, in lines.
    pub message_overhead_lines: f64,
    /// The lines a second that the channel to the proxies sends.
    pub lines_per_s: f64,
    /// The lines that may be queued in the channel.
    pub max_backlog_lines: f64,
    /// The number of messages that may be sent within `message_window`; 0: any number.
    pub max_messages: usize,
    pub message_window: Duration,
}

impl Config {
    /// Reads the configuration; an error names the first setting that is missing or malformed.
    pub fn read(settings: &Settings) -> Result<Self, SettingsError> {
        let watch_list = settings.get::<String>("discovery")? == "subscribe";
        let methods = Method::read_all(settings)?;
        let mean_soft_deadline_s =
            methods.iter().map(|m| m.soft_deadline.as_secs_f64()).sum::<f64>() / methods.len().max(1) as f64;
        let mut methods_by_criticality: Vec<usize> = (0..methods.len()).collect();
        methods_by_criticality.sort_by(|a, b| methods[*a].criticality.total_cmp(&methods[*b].criticality));
        let exclusive = settings.if_present(settings.flag("familyInfo.oneOwner"))?.unwrap_or(true);
        let fence_writes = exclusive && methods.iter().any(|m| m.writes);
        // Where writes are not fenced, these durations have no effect and may be absent.
        let fencing_duration = |path: &str| match fence_writes {
            true => settings.duration(path),
            false => Ok(settings.if_present(settings.duration(path))?.unwrap_or_default()),
        };
        let write_lease = fencing_duration("familyInfo.writeLease")?;
        let settle_time = fencing_duration("familyInfo.inFlightMax")?;
        let if_fenced = |time: Duration| if fence_writes { time } else { Duration::ZERO };
        Ok(Config {
            watch_list,
            max_list_request_interval: settings
                .if_present(settings.duration("rules.mustAskIn"))?
                .unwrap_or(NEVER),
            gone_is_advisory: settings.if_present(settings.flag("rules.goneIsAdvice"))?.unwrap_or(false),
            may_probe: settings.flag("caps.mayProbe")?,
            methods,
            methods_by_criticality,
            mean_soft_deadline_s,
            tries: settings.get("familyInfo.retryDefault")?,
            period: settings.duration("familyInfo.period")?.max(Duration::from_millis(1)),
            exclusive,
            fence_writes,
            admission: Admission::read(settings)?,
            write_lease: if_fenced(write_lease),
            fenced_move_time: write_lease + settle_time,
            // Absent where the proxies are not counted: then some may never have joined.
            total_proxies: settings
                .if_present(settings.get("familyInfo.dataPlaneSize"))?
                .unwrap_or(usize::MAX),
            total_assigners: settings.if_present(settings.get("peersTotal"))?.unwrap_or(1),
            settle_time: if_fenced(settle_time),
            max_time_without_line: settings
                .if_present(settings.duration("familyInfo.emptyFor"))?
                .unwrap_or(NEVER),
            drain_grace: settings.duration("rules.stopSendingWithin")?,
            max_transit: settings.duration("familyInfo.transitMax")?,
            warm_up_time: settings.duration("rules.warmAfter")?.max(Duration::from_millis(1)),
            cold_capacity: settings.get("rules.coldFrom")?,
            collapse_multiple: settings.get("rules.fallMultiple")?,
            message_overhead_lines: settings.get("familyInfo.overhead")?,
            lines_per_s: settings.get("familyInfo.linesPerS")?,
            max_backlog_lines: settings.get("familyInfo.backlog")?,
            max_messages: settings.get("familyInfo.messagesMost")?,
            message_window: settings.duration("familyInfo.reloadSpan")?,
        })
    }
}
