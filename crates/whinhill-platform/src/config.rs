//! The file that `BALANCER_CONFIG` names.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;
use whinhill::interface::Settings;

use crate::roster::{Roster, RosterError};

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("{path}: cannot read {value:?}")]
    Field { path: &'static str, value: String },
}

#[derive(Debug)]
pub struct PlatformConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    /// The list as this assigner last had it; it may be old. One that cannot be read is no reason not to serve:
    /// discovery has a newer one.
    pub known: Result<Roster, RosterError>,
    pub settings: Settings,
}

#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    pub memory_mb: f64,
    pub sockets: usize,
}

#[derive(Deserialize)]
struct File {
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

/// Reads the file's text. Every fault is named with the path at which it stands.
pub fn read(text: &[u8]) -> Result<PlatformConfig, ConfigError> {
    let file: File = serde_json::from_slice(text)?;
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
        known: Roster::from_value(file.known),
        settings,
    })
}

/// Nested settings as the module reads them: a list of plain values is joined with commas, a list of objects
/// has its length under `.count` and its items under `.0`, `.1` and so on.
fn flatten(path: &str, value: &Value, into: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(map) => map.iter().for_each(|(name, v)| flatten(&format!("{path}.{name}"), v, into)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            into.insert(format!("{path}.count"), items.len().to_string());
            for (k, item) in items.iter().enumerate() {
                flatten(&format!("{path}.{k}"), item, into);
            }
        }
        Value::Array(items) => {
            let words: Vec<String> = items.iter().filter_map(plain).collect();
            into.insert(path.to_string(), words.join(","));
        }
        other => into.extend(plain(other).map(|word| (path.to_string(), word))),
    }
}

fn plain(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.replace([' ', ','], "_")),
        Value::Bool(flag) => Some(u8::from(*flag).to_string()),
        Value::Number(number) => Some(match number.as_f64() {
            // A count may be written 68600.0: the module reads whole numbers without a point.
            Some(x) if x.fract() == 0.0 && x.abs() < 1e15 => format!("{}", x as i64),
            _ => number.to_string(),
        }),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
