//! A slice's table and its version.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use whinhill::interface::SliceId;

/// A server's name: its address and port, the same at every assigner.
pub type ServerName = Arc<str>;

/// An epoch of custody and a number that only grows within it. An older one never replaces a newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    pub epoch: u64,
    pub number: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no version; epoch.number was expected")]
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

/// What a proxy is told of a slice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SliceTable {
    pub version: Version,
    /// `None`: nobody serves it now; RPCs wait for the hold.
    pub owner: Option<ServerName>,
    /// The share of each method that is let in, 0 to 1.
    pub shares: Vec<f64>,
    /// The way of trying again, as the settings count it.
    pub tries: u8,
}

/// All slices that one assigner is in charge of.
pub type TableSet = BTreeMap<SliceId, SliceTable>;
