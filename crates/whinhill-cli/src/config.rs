//! Reads JSON5 configuration files.

use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;
use whinhill_assigner::ConfigError;

use crate::CommandError;

/// Reads and checks a JSON5 file. The error lists all errors that `check` finds at once.
pub fn read_file<T: DeserializeOwned>(
    path: &Path,
    check: impl Fn(&T) -> Vec<ConfigError>,
) -> Result<T, CommandError> {
    let shown_path = path.display();
    let text =
        fs::read_to_string(path).map_err(|error| CommandError::Usage(format!("{shown_path}: {error}")))?;
    let value: T = json5::from_str(&text).map_err(|error| {
        let position =
            error.position().map(|position| format!(":{}:{}", position.line + 1, position.column + 1));
        CommandError::Usage(format!("{shown_path}{}: {error}", position.unwrap_or_default()))
    })?;
    let errors = check(&value);
    if errors.is_empty() {
        return Ok(value);
    }
    let lines: Vec<String> = errors.iter().map(|error| format!("{shown_path}: {error}")).collect();
    Err(CommandError::Usage(lines.join("\n")))
}
