//! What the store holds of a slice.

use std::fmt;
use std::str::FromStr;

/// An assigner's name and which of its lives this is: one that returns is another one to the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity {
    pub name: String,
    pub life: u64,
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.name, self.life)
    }
}

impl FromStr for Identity {
    type Err = RecordError;

    fn from_str(text: &str) -> Result<Self, RecordError> {
        let parts =
            text.rsplit_once('#').and_then(|(name, life)| Some((name, u64::from_str_radix(life, 16).ok()?)));
        let (name, life) =
            parts.filter(|(name, _)| !name.is_empty()).ok_or_else(|| RecordError(text.to_string()))?;
        Ok(Identity { name: name.to_string(), life })
    }
}

/// A slice's custody and owner. It is only ever replaced by one whose epoch, or within it number, is greater.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    pub epoch: u64,
    pub number: u64,
    /// Who is in charge; `None` once it was given up in order.
    pub holder: Option<Identity>,
    /// The server that may have been told to any proxy as the owner.
    pub owner: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a record of this program: {0:?}")]
pub struct RecordError(pub String);

/// Marks the form, so that a later one can be told from it.
const FORM: &str = "w1";

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let holder = self.holder.as_ref().map(Identity::to_string).unwrap_or_default();
        write!(
            f,
            "{FORM} {} {} {holder} {}",
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
        let fault = || RecordError(text.chars().take(120).collect());
        let parts: Vec<&str> = text.split(' ').collect();
        let [FORM, epoch, number, holder, owner] = parts[..] else { return Err(fault()) };
        Ok(Record {
            epoch: epoch.parse().map_err(|_| fault())?,
            number: number.parse().map_err(|_| fault())?,
            holder: if holder.is_empty() { None } else { Some(holder.parse()?) },
            owner: (!owner.is_empty()).then(|| owner.to_string()),
        })
    }
}
