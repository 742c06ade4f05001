//! The events that an [`Assigner`](crate::Assigner) takes and the orders that it returns: types without decisions.
//!
//! Whoever feeds the assigner maps names to small indices: zones and methods count from 0 in the order of the settings,
//! endpoints in the order in which they were first met.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Identifies an endpoint, that is, one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointId {
    /// A small number, valid at this assigner only; it is reused once nothing refers to the server any more.
    pub index: usize,
    /// The same at every assigner.
    pub stable_id: u64,
}

impl EndpointId {
    /// The weight of the endpoint for a slice in rendezvous hashing: the 64-bit finalizer of splitmix64 over the stable
    /// id and the slice.
    pub fn rendezvous_weight(&self, slice: SliceId) -> u64 {
        let mut x = self.stable_id ^ (slice as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }
}

/// A proxy, by the number that the assigner's caller gave it.
pub type ProxyId = u32;
/// A slice, counted from 0.
pub type SliceId = usize;
/// A method, counted from 0 in the order of the settings.
pub type MethodId = usize;
/// A zone, counted from 0 in the order of the settings.
pub type ZoneId = usize;

/// What the list of servers says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedStatus {
    /// It serves.
    Ready,
    /// It still serves, but is about to end.
    Draining,
    /// It is not in the list.
    #[default]
    Gone,
}

/// An entry of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    pub endpoint: EndpointId,
    pub zone: ZoneId,
    pub status: ListedStatus,
    /// Capacity in comparison with other servers' sizes; it has no unit.
    pub size: f64,
    /// When the server started; `None`: long ago.
    pub started: Option<Duration>,
}

/// What a list of servers contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The entries that have changed.
    Changes,
    /// All entries.
    Full,
    /// All entries that the instance knew before it was restarted; they may be out of date.
    Stored,
    /// No entries: a call failed, or the subscription broke.
    Failed,
    /// No entries: a call never reached discovery or was not answered in time. A late answer may still come.
    Unreachable,
}

/// What a server reports of its own load. Each figure is late, a little noisy, and may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The busy fraction of its cores.
    pub cpu: Option<f64>,
    /// RPCs in flight there.
    pub in_flight: Option<f64>,
    /// Those of them that are queued.
    pub queued: Option<f64>,
    /// Recent service time, without the time in the queue.
    pub service_time: Option<Duration>,
}

/// The outcome of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The server answered that it serves.
    Ok,
    /// It answered with an error.
    Aborted,
    /// It rejected the probe: it drains, or it has too many probes at a time.
    PushedBack,
    /// No answer, no connection, or a broken one.
    Unanswered,
}

/// What happened. `interval` is the interval that a report covers.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of servers, or changes of it, have come.
    List { kind: ListKind, entries: Vec<ServerEntry> },
    /// A report of the tries that the joined proxies of a zone sent to a server for slices in custody. `mean_wait` is the
    /// mean wait of ok answers, and `lost` counts the tries without an ok answer.
    TryReport {
        endpoint: EndpointId,
        zone: ZoneId,
        tries: u64,
        lost: u64,
        mean_wait: Duration,
        interval: Duration,
        load: LoadReport,
    },
    /// A report of the RPCs that came for a slice in custody.
    Demand { slice: SliceId, method: MethodId, rpcs: u64, lost: u64, interval: Duration },
    /// A probe was answered, or was not in time.
    Probed { endpoint: EndpointId, result: ProbeOutcome, load: LoadReport },
    /// A proxy's stream was opened.
    ProxyJoined { proxy: ProxyId, zone: ZoneId },
    /// A proxy's stream was closed, or has broken.
    ProxyLeft { proxy: ProxyId },
    /// Joins and breaks of proxies may have gone unreported until now; what has changed by them is reported. A proxy that
    /// is not joined may have joined, read the store, and left again.
    ProxyUpdatesLost,
    /// The store may have reset the levels of the slices in custody, since custody may have changed hands unreported.
    LevelsLost,
    /// A proxy acknowledges the message with the sequence number `ack_seq`, and with it all earlier ones. `transit` is the
    /// transit time, from sending the orders until they took effect.
    Acked { proxy: ProxyId, ack_seq: u16, transit: Duration },
    /// This assigner has acquired custody of a slice. Unless `StoredOwner` follows in the same batch, the slice counts
    /// as one without an owner and is granted without a stop of writes, so it must be certain that the store holds no
    /// line.
    SliceAcquired { slice: SliceId },
    /// This assigner has released a slice, or lost custody of it.
    SliceReleased { slice: SliceId },
    /// A line of a slice's table as the store holds it; follows `SliceAcquired`.
    StoredOwner { slice: SliceId, endpoint: EndpointId },
    /// Operators request that the slice moves to another server. The next plan moves it, if that server has headroom.
    MoveRequested { slice: SliceId, destination: EndpointId },
    /// Nothing happened, but time has passed.
    Timer,
}

/// A server's state, as far as slices are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It is listed as ready, healthy and warm.
    Ready,
    /// It is ready, but still warming up.
    Cold,
    /// It is listed as ready, but its slices leave, and it gets no others for a time.
    Sick,
    /// The list says that it drains.
    Draining,
    /// It is not in the list, or its index is unknown.
    Gone,
}

/// A summary of handovers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HandoverSummary {
    /// Handovers in progress.
    pub in_progress: usize,
    /// Those of them in which all RPCs are stopped now, and for how long in the first of them.
    pub all_stopped: usize,
    pub longest_all_stopped: Duration,
    /// Those of them whose slice has no line now.
    pub without_line: usize,
    /// For how long the first of these slices has had no line.
    pub longest_without_line: Duration,
    /// Proxies that have not acknowledged yet, those of the oldest handover first.
    pub awaited_proxies: Vec<ProxyId>,
    /// Of the handovers that have ended.
    pub totals: HandoverTotals,
}

/// Totals of the handovers that ended with a grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HandoverTotals {
    /// How many there were.
    pub grants: u64,
    /// The longest time that one took.
    pub longest_duration: Duration,
    /// The most handovers of one slice that followed one another so closely that a proxy may have missed the grants
    /// between them.
    pub longest_series: usize,
    /// The longest time for which all RPCs of a slice were stopped in such a series, summed over its handovers.
    pub most_time_all_stopped: Duration,
    /// The longest time for which a slice had no line in such a series, summed over its handovers.
    pub most_time_without_line: Duration,
}

impl Event {
    /// The interval that a report covers.
    pub fn interval(&self) -> Option<Duration> {
        match self {
            Event::TryReport { interval, .. } | Event::Demand { interval, .. } => Some(*interval),
            _ => None,
        }
    }
}

/// The methods that an order applies to: bit `k` stands for method `k`.
pub type MethodMask = u32;

/// A level that admits everything, whether levels are shares or rates: far more than a proxy could ever be sent.
pub const LEVEL_ADMIT_ALL: f64 = 1e6;

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Make `endpoint` the slice's owner in every proxy's table and in the store. Where slices are exclusive, its line
    /// replaces another owner's; elsewhere that line stays until it is revoked.
    Grant { slice: SliceId, endpoint: EndpointId },
    /// Remove the owner's line from every proxy's table.
    Revoke { slice: SliceId, endpoint: EndpointId },
    /// Set the level of some methods of a slice: the share of their RPCs that is admitted, or their rate. `tries` is
    /// the retry policy of the slice's RPCs. 0: no further try; 1: one, after proof that the first never ran; 2: one
    /// and 3: two after any failure.
    Level { slice: SliceId, level: f64, methods: MethodMask, tries: u8 },
    /// Request that every joined proxy acknowledges the message of this reply with the sequence number `ack_seq`.
    RequestAck { ack_seq: u16 },
    /// Request the changes of the list from now on.
    WatchList,
    /// Request the whole list once.
    FetchList,
    /// Probe a server.
    Probe { endpoint: EndpointId },
    /// Call the assigner again after this time, even if nothing happens.
    Wake { after: Duration },
    /// Write a text to the log.
    Log { text: String },
}

impl Order {
    /// Whether the order takes a line in the message to each proxy.
    pub fn uses_channel_line(&self) -> bool {
        !matches!(
            self,
            Order::Log { .. }
                | Order::Probe { .. }
                | Order::WatchList
                | Order::FetchList
                | Order::Wake { .. }
        )
    }
}

/// The settings as they were given: paths and values.
#[derive(Clone, Debug, Default)]
pub struct Settings(pub BTreeMap<String, String>);

/// A setting that is missing or cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The path of the setting.
    pub path: String,
    /// The value that cannot be read; `None`: the setting is missing.
    pub value: Option<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(f, "setting {}: cannot read {value:?}", self.path),
            None => write!(f, "setting {}: missing", self.path),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// The value at `path`.
    ///
    /// ```
    /// use whinhill::interface::Settings;
    /// let settings = Settings([("peersTotal".into(), "2".into())].into());
    /// assert_eq!(settings.get::<usize>("peersTotal"), Ok(2));
    /// assert_eq!(settings.get::<usize>("me").unwrap_err().to_string(), "setting me: missing");
    /// ```
    pub fn get<T: FromStr>(&self, path: &str) -> Result<T, SettingsError> {
        let value = self.0.get(path);
        value.and_then(|v| v.parse().ok()).ok_or_else(|| self.error(path))
    }

    /// A flag, written as 1 or 0, true or false.
    pub fn flag(&self, path: &str) -> Result<bool, SettingsError> {
        self.0.get(path).and_then(|v| parse_flag(v)).ok_or_else(|| self.error(path))
    }

    /// A flag for each method, separated by commas.
    pub fn flags(&self, path: &str) -> Result<Vec<bool>, SettingsError> {
        let value = self.0.get(path).ok_or_else(|| self.error(path))?;
        let flags: Option<Vec<bool>> = value.split(',').map(parse_flag).collect();
        flags.ok_or_else(|| self.error(path))
    }

    /// A value that may be absent: `None` if the setting is missing. One that cannot be read is an error all the same.
    pub fn if_present<T>(&self, value: Result<T, SettingsError>) -> Result<Option<T>, SettingsError> {
        match value {
            Ok(value) => Ok(Some(value)),
            Err(error) if error.value.is_none() => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// A duration, written in milliseconds.
    pub fn duration(&self, path: &str) -> Result<Duration, SettingsError> {
        let ms = self.get::<f64>(path)?;
        Duration::try_from_secs_f64(ms / 1e3).map_err(|_| self.error(path))
    }

    fn error(&self, path: &str) -> SettingsError {
        SettingsError { path: path.to_string(), value: self.0.get(path).cloned() }
    }
}

fn parse_flag(value: &str) -> Option<bool> {
    match value {
        "1" | "true" => Some(true),
        "0" | "false" => Some(false),
        _ => None,
    }
}
