//! A slice's table and its version.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use whinhill::interface::SliceId;

/// A server's name: its address and port. The same at every assigner.
pub type ServerName = Arc<str>;

/// The version of a table. An older version never replaces a newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The epoch of the slice's custody.
    pub epoch: u64,
    /// Only grows within an epoch.
    pub number: u64,
}

/// A text that is not a [`Version`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a version; expected epoch.number")]
pub struct VersionError(pub String);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

impl FromStr for Version {
    type Err = VersionError;

    /// ```
    /// use whinhill_tables::Version;
    /// assert_eq!("7.12".parse(), Ok(Version { epoch: 7, number: 12 }));
    /// assert!("7".parse::<Version>().is_err());
    /// assert!(Version { epoch: 8, number: 0 } > Version { epoch: 7, number: 12 });
    /// ```
    fn from_str(text: &str) -> Result<Self, VersionError> {
        let parts = text.split_once('.').and_then(|(e, n)| Some((e.parse().ok()?, n.parse().ok()?)));
        let (epoch, number) = parts.ok_or_else(|| VersionError(text.to_string()))?;
        Ok(Version { epoch, number })
    }
}

/// The table of one slice, as published to proxies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SliceTable {
    /// The version of this table.
    pub version: Version,
    /// The server that owns the slice. `None`: no server serves it now, and proxies hold its RPCs for the hold time.
    pub owner: Option<ServerName>,
    /// The fraction of each method's RPCs that is admitted, 0 to 1.
    pub shares: Vec<f64>,
    /// The retry policy, numbered as in the setting `tries`.
    pub tries: u8,
}

/// The tables of all slices that one assigner has custody of.
pub type TableSet = BTreeMap<SliceId, SliceTable>;
