//! Parses the configuration file that `BALANCER_CONFIG` names.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;
use whinhill::interface::Settings;

use crate::roster::{Roster, RosterError};

/// Why the configuration file is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file is not JSON, or lacks a field.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A field has an invalid value.
    #[error("{path}: cannot read {value:?}")]
    Field {
        /// The path of the field.
        path: &'static str,
        /// The beginning of its value.
        value: String,
    },
}

/// The configuration of an assigner on the platform.
#[derive(Debug)]
pub struct PlatformConfig {
    /// The name of this assigner.
    pub name: String,
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the relay.
    pub relay: SocketAddr,
    /// The seed of the assigner's random numbers, hexadecimal in the file.
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    /// The list of servers as this assigner last had it; it may be old. An invalid one does not keep the assigner from
    /// serving, because discovery has a newer one.
    pub stored_list: Result<Roster, RosterError>,
    /// The settings of the assigner.
    pub settings: Settings,
}

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Memory in megabytes.
    pub memory_mb: f64,
    /// Number of open sockets.
    pub sockets: usize,
}

#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    limits: Limits,
    distributor: Distributor,
    known: Value,
    settings: BTreeMap<String, Value>,
}

#[derive(Deserialize)]
struct Distributor {
    address: String,
}

/// Parses the text of the file. Errors name the path of the invalid field.
pub fn parse(text: &[u8]) -> Result<PlatformConfig, ConfigError> {
    let file: ConfigFile = serde_json::from_slice(text)?;
    let addr = |path, value: &str| {
        value.parse().map_err(|_| ConfigError::Field { path, value: value.chars().take(100).collect() })
    };
    let seed = u64::from_str_radix(&file.seed, 16)
        .map_err(|_| ConfigError::Field { path: "seed", value: file.seed.chars().take(100).collect() })?;
    let mut settings = Settings::default();
    for (name, value) in &file.settings {
        flatten(name, value, &mut settings.0);
    }
    Ok(PlatformConfig {
        listen: addr("listen", &file.listen)?,
        discovery: addr("discovery", &file.discovery)?,
        relay: addr("distributor.address", &file.distributor.address)?,
        name: file.name,
        seed,
        limits: file.limits,
        stored_list: Roster::from_value(file.known),
        settings,
    })
}

/// Flattens nested settings to the paths that the assigner reads: a list of scalars is joined with commas, a list of
/// objects has its length under `.count` and its items under `.0`, `.1` and so on.
fn flatten(path: &str, value: &Value, settings: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(map) => {
            map.iter().for_each(|(name, v)| flatten(&format!("{path}.{name}"), v, settings))
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            settings.insert(format!("{path}.count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten(&format!("{path}.{index}"), item, settings);
            }
        }
        Value::Array(items) => {
            let words: Vec<String> = items.iter().filter_map(scalar_text).collect();
            settings.insert(path.to_string(), words.join(","));
        }
        other => settings.extend(scalar_text(other).map(|word| (path.to_string(), word))),
    }
}

/// The text of a scalar; `None` for other values.
fn scalar_text(value: &Value) -> Option<String> {
    match value {
        // Commas separate the items of a list.
        Value::String(text) => Some(text.replace([' ', ','], "_")),
        Value::Bool(flag) => Some(u8::from(*flag).to_string()),
        Value::Number(number) => Some(match number.as_f64() {
            // A count may be written as 68600.0, but the assigner reads whole numbers without a decimal point.
            // Below 1e15 the conversion to i64 is exact.
            Some(x) if x.fract() == 0.0 && x.abs() < 1e15 => format!("{}", x as i64),
            _ => number.to_string(),
        }),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
