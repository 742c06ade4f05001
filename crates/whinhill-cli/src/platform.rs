//! The assigner on the operators' platform.

use std::path::PathBuf;

use crate::logging::Log;
use crate::Failed;

/// Names the file that tells all that the platform has to tell.
const CONFIG: &str = "BALANCER_CONFIG";

/// Serves until SIGTERM or SIGINT.
pub fn run(log: &Log) -> Result<(), Failed> {
    let path = std::env::var_os(CONFIG).map(PathBuf::from);
    let path = path.ok_or_else(|| Failed::Usage(format!("{CONFIG} is not set")))?;
    whinhill_node::run(&path, log.dropped()).map_err(|error| match error.is_configuration() {
        true => Failed::Usage(error.to_string()),
        false => Failed::Running(error.to_string()),
    })
}
