//! The record that the store holds for each slice, and its text form.

use std::fmt;
use std::str::FromStr;

/// An assigner's name and incarnation. A restarted assigner counts as a different holder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity {
    /// The configured name, the same after a restart.
    pub name: String,
    /// The incarnation number, drawn anew at each start.
    pub incarnation: u64,
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.name, self.incarnation)
    }
}

impl FromStr for Identity {
    type Err = RecordError;

    fn from_str(text: &str) -> Result<Self, RecordError> {
        let parts = text
            .rsplit_once('#')
            .and_then(|(name, incarnation)| Some((name, u64::from_str_radix(incarnation, 16).ok()?)));
        let (name, incarnation) =
            parts.filter(|(name, _)| !name.is_empty()).ok_or_else(|| RecordError(text.to_string()))?;
        Ok(Identity { name: name.to_string(), incarnation })
    }
}

/// A slice's custody and owner. A record is only replaced by one with a greater `(epoch, number)`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// Raised by each change of custody.
    pub epoch: u64,
    /// Raised by each change within an epoch.
    pub number: u64,
    /// The assigner that has custody; `None` after an orderly release.
    pub holder: Option<Identity>,
    /// The server that may have been published to proxies as the slice's owner.
    pub owner: Option<String>,
}

/// A text that is not an [`Identity`] or a [`Record`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a valid identity or slice record: {0:?}")]
pub struct RecordError(pub String);

/// Leads each record, so that later formats can be distinguished.
const FORMAT_TAG: &str = "w1";

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let holder = self.holder.as_ref().map(Identity::to_string).unwrap_or_default();
        write!(
            f,
            "{FORMAT_TAG} {} {} {holder} {}",
            self.epoch,
            self.number,
            self.owner.as_deref().unwrap_or_default()
        )
    }
}

impl FromStr for Record {
    type Err = RecordError;

    /// ```
    /// use whinhill_store::Record;
    /// let record = Record { epoch: 3, number: 9, holder: None, owner: Some("10.0.0.1:7".into()) };
    /// assert_eq!(record.to_string().parse(), Ok(record));
    /// assert!("w9 1 1  ".parse::<Record>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, RecordError> {
        let invalid = || RecordError(text.chars().take(120).collect());
        let parts: Vec<&str> = text.split(' ').collect();
        let [FORMAT_TAG, epoch, number, holder, owner] = parts[..] else { return Err(invalid()) };
        Ok(Record {
            epoch: epoch.parse().map_err(|_| invalid())?,
            number: number.parse().map_err(|_| invalid())?,
            holder: if holder.is_empty() { None } else { Some(holder.parse()?) },
            owner: (!owner.is_empty()).then(|| owner.to_string()),
        })
    }
}
