//! `whinhill assigner --platform`: runs the assigner on the operators' platform.

use std::path::PathBuf;

use crate::logging::Log;
use crate::CommandError;

/// Environment variable with the path of the platform's configuration file.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";

/// Serves the platform until SIGTERM or SIGINT.
pub fn run(log: &Log) -> Result<(), CommandError> {
    let path = std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from);
    let path = path.ok_or_else(|| CommandError::Usage(format!("{CONFIG_VARIABLE} is not set")))?;
    whinhill_node::run(&path, log.dropped_lines()).map_err(|error| match error.is_configuration() {
        true => CommandError::Usage(error.to_string()),
        false => CommandError::Runtime(error.to_string()),
    })
}
