//! Reads a JSON5 file and names all that is wrong with it at once.

use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;
use whinhill_assigner::Fault;

use crate::Failed;

pub fn read<T: DeserializeOwned>(path: &Path, check: impl Fn(&T) -> Vec<Fault>) -> Result<T, Failed> {
    let at = path.display();
    let text = fs::read_to_string(path).map_err(|error| Failed::Usage(format!("{at}: {error}")))?;
    let value: T = json5::from_str(&text).map_err(|error| {
        let place = error.position().map(|place| format!(":{}:{}", place.line + 1, place.column + 1));
        Failed::Usage(format!("{at}{}: {error}", place.unwrap_or_default()))
    })?;
    let faults = check(&value);
    if faults.is_empty() {
        return Ok(value);
    }
    let all: Vec<String> = faults.iter().map(|fault| format!("{at}: {fault}")).collect();
    Err(Failed::Usage(all.join("\n")))
}
