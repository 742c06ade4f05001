//! The assigner on the operators' platform.

use std::path::PathBuf;

use crate::Failed;

/// Names the file that tells all that the platform has to tell.
const CONFIG: &str = "BALANCER_CONFIG";

pub fn run() -> Result<(), Failed> {
    let path = std::env::var_os(CONFIG).map(PathBuf::from);
    let path = path.ok_or_else(|| Failed::Usage(format!("{CONFIG} is not set")))?;
    whinhill_node::run(&path).map_err(|error| match error.is_configuration() {
        true => Failed::Usage(error.to_string()),
        false => Failed::Running(error.to_string()),
    })
}
