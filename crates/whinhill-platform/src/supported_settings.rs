//! Settings that the platform may state and this assigner cannot serve there. They are refused at the start: an assigner
//! that came up with one would be ready, and do nothing.

use whinhill::interface::{MethodMask, Settings};

/// Values of `discovery`. Discovery is watched with either.
const DISCOVERY_MODES: [&str; 2] = ["automatic", "subscribe"];
/// Largest number of slices: their numbers are those of tables, of which the protocol has so many.
const MAX_SLICES: u64 = 65_535;
/// Largest number of methods: orders name methods in a mask.
const MAX_METHODS: u64 = MethodMask::BITS as u64;

/// A setting with a value that cannot be served.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("setting {path}: {value:?} is not supported: {reason}")]
pub struct UnsupportedSetting {
    /// The path of the setting.
    pub path: &'static str,
    /// Its value.
    pub value: String,
    /// What is supported.
    pub reason: String,
}

/// Checks that the assigner can serve the settings on the platform. Settings that are missing or cannot be read are left
/// to the decision module, which names them.
pub fn check(settings: &Settings) -> Result<(), UnsupportedSetting> {
    check_discovery(settings)?;
    let slices = "proxies without slices are bound by orders that the relay does not have; 1 to 65535 slices";
    check_count(settings, "familyInfo.shards", 1..=MAX_SLICES, slices)?;
    check_count(settings, "classes.count", 1..=MAX_METHODS, "1 to 32 classes")?;
    check_positive(settings, "familyInfo.linesPerS")?;
    check_positive(settings, "familyInfo.backlog")
}

fn check_discovery(settings: &Settings) -> Result<(), UnsupportedSetting> {
    let path = "discovery";
    match settings.0.get(path) {
        Some(value) if !DISCOVERY_MODES.contains(&value.as_str()) => {
            let reason = format!("one of {}", DISCOVERY_MODES.join(", "));
            Err(UnsupportedSetting { path, value: value.clone(), reason })
        }
        _ => Ok(()),
    }
}

fn check_count(
    settings: &Settings,
    path: &'static str,
    supported: std::ops::RangeInclusive<u64>,
    reason: &str,
) -> Result<(), UnsupportedSetting> {
    match settings.get::<u64>(path) {
        Ok(count) if !supported.contains(&count) => {
            Err(UnsupportedSetting { path, value: count.to_string(), reason: reason.to_string() })
        }
        _ => Ok(()),
    }
}

fn check_positive(settings: &Settings, path: &'static str) -> Result<(), UnsupportedSetting> {
    match settings.get::<f64>(path) {
        Ok(number) if !(number > 0.0 && number.is_finite()) => {
            let reason = "a number above 0".to_string();
            Err(UnsupportedSetting { path, value: number.to_string(), reason })
        }
        _ => Ok(()),
    }
}

#[cfg(test)]
mod tests;
