//! What an [`Assigner`](crate::Assigner) is told and what it orders. Types only: no decisions.
//!
//! Names are mapped to small indices at the door, that is, by whoever feeds the assigner: zones and
//! methods count from 0 in the order of the settings, endpoints in the order in which they were met.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// An endpoint: one server. `index` is small and local; `stable` is the same at every assigner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ep {
    pub index: usize,
    pub stable: u64,
}

impl Ep {
    /// Its rendezvous weight for a slice: a 64-bit finalizer (splitmix64) over the stable id and the slice.
    pub fn weight(&self, slice: SliceId) -> u64 {
        let mut x = self.stable ^ (slice as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }
}

pub type ProxyId = u32;
pub type SliceId = usize;
pub type MethodId = usize;
pub type ZoneId = usize;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listed {
    Ready,
    Draining,
    #[default]
    Gone,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub ep: Ep,
    pub zone: ZoneId,
    pub listed: Listed,
    /// To be compared with other servers' sizes; it has no unit.
    pub size: f64,
    /// `None`: long ago.
    pub started: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    Full,
    /// What the instance held last before it started; it may be old.
    Stored,
    /// A call failed or the subscription broke; there are no entries.
    Failed,
}

/// A server's own account of its load; each figure is late, a little noisy, and may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Busy share of its cores.
    pub cpu: Option<f64>,
    /// RPCs it holds.
    pub in_hand: Option<f64>,
    /// RPCs that wait there.
    pub waiting: Option<f64>,
    /// Recent time of service, without waiting.
    pub service: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    Ok,
    /// It answered with an error.
    Aborted,
    /// Sent back: it drains, or too many probes at a time.
    PushedBack,
    /// No answer, no connection, or a broken one.
    Unanswered,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    List {
        kind: ListKind,
        entries: Vec<Entry>,
    },
    /// What the joined proxies of a zone met at a server, for our slices.
    Met {
        ep: Ep,
        zone: ZoneId,
        tries: u64,
        lost: u64,
        wait: Duration,
        span: Duration,
        load: LoadReport,
    },
    /// The RPCs that came for a slice of ours.
    Demand {
        slice: SliceId,
        method: MethodId,
        rpcs: u64,
        lost: u64,
        span: Duration,
    },
    Probed {
        ep: Ep,
        result: Probe,
        load: LoadReport,
    },
    Joined {
        proxy: ProxyId,
        zone: ZoneId,
    },
    Left {
        proxy: ProxyId,
    },
    /// `way`: from the order until it took effect.
    Acked {
        proxy: ProxyId,
        mark: u16,
        way: Duration,
    },
    Given {
        slice: SliceId,
    },
    Taken {
        slice: SliceId,
    },
    /// A line of a slice's table as the store holds it; follows `Given`.
    Stored {
        slice: SliceId,
        ep: Ep,
    },
    /// Operators want the slice at another server: a plan's move, where there is room for it.
    Wished {
        slice: SliceId,
        to: Ep,
    },
    Timer,
}

/// How a server stands in the eyes of the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Ready,
    Cold,
    Sick,
    Draining,
    Gone,
}

/// Handovers that are under way, for whoever asks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HandoverSummary {
    pub under_way: usize,
    /// Slices without a line, and for how long the first of them has had none.
    pub without_line: usize,
    pub without_line_for: Duration,
    /// Proxies whose answers are awaited, those of the oldest handover first.
    pub awaited: Vec<ProxyId>,
    /// Handovers that ended with a grant, and the longest that one took.
    pub granted: u64,
    pub longest: Duration,
}

impl Event {
    /// The stretch of time that a report covers.
    pub fn span(&self) -> Option<Duration> {
        match self {
            Event::Met { span, .. } | Event::Demand { span, .. } => Some(*span),
            _ => None,
        }
    }
}

/// Which methods an order is for.
pub type MethodMask = u32;

/// A level that lets everything in, whether levels are shares or rates: far more than a proxy could ever be sent.
pub const ALL_LET_IN: f64 = 1e6;

#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Make `ep` the slice's owner in every proxy's table and in the store. Where slices are exclusive it takes the
    /// place of another's line; elsewhere that stays until it is revoked.
    Grant {
        slice: SliceId,
        ep: Ep,
    },
    /// Take the owner's line away.
    Revoke {
        slice: SliceId,
        ep: Ep,
    },
    /// The share of some methods that is let in for a slice.
    Level {
        slice: SliceId,
        share: f64,
        methods: MethodMask,
        tries: u8,
    },
    /// Have every joined proxy answer this reply's message.
    Mark {
        mark: u16,
    },
    /// Ask for changes of the list from now on.
    Watch,
    /// Ask for the whole list once.
    Fetch,
    Probe {
        ep: Ep,
    },
    Wake {
        after: Duration,
    },
    Log {
        text: String,
    },
}

impl Order {
    /// Whether it takes a line in the message to each proxy.
    pub fn costs_a_line(&self) -> bool {
        !matches!(
            self,
            Order::Log { .. } | Order::Probe { .. } | Order::Watch | Order::Fetch | Order::Wake { .. }
        )
    }
}

/// The settings as they came: names and values.
#[derive(Clone, Debug, Default)]
pub struct Settings(pub BTreeMap<String, String>);

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    pub path: String,
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

    /// A yes or no, written 1 or 0, true or false.
    pub fn flag(&self, path: &str) -> Result<bool, SettingsError> {
        self.0.get(path).and_then(|v| parse_flag(v)).ok_or_else(|| self.error(path))
    }

    /// Yes or no for each method, set apart by commas.
    pub fn flags(&self, path: &str) -> Result<Vec<bool>, SettingsError> {
        let value = self.0.get(path).ok_or_else(|| self.error(path))?;
        let flags: Option<Vec<bool>> = value.split(',').map(parse_flag).collect();
        flags.ok_or_else(|| self.error(path))
    }

    /// A value that may be absent. One that is there and cannot be read is a fault all the same.
    pub fn optional<T>(&self, value: Result<T, SettingsError>) -> Result<Option<T>, SettingsError> {
        match value {
            Ok(value) => Ok(Some(value)),
            Err(error) if error.value.is_none() => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// A span of time, written in milliseconds.
    pub fn span(&self, path: &str) -> Result<Duration, SettingsError> {
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
