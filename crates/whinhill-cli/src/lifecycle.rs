//! Lifecycle of commands that serve until SIGTERM or SIGINT: the stop flag and the ready file.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use signal_hook::consts::{SIGINT, SIGTERM};
use whinhill_assigner::Retry;
use whinhill_errors::is_temporary_file_error;

use crate::CommandError;

/// Registers handlers for SIGTERM and SIGINT and returns the flag that they set.
pub fn stop_on_signal() -> Result<Arc<AtomicBool>, CommandError> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        let registered = signal_hook::flag::register(signal, stop.clone());
        registered.map_err(|error| CommandError::Runtime(format!("signal {signal}: {error}")))?;
    }
    Ok(stop)
}

/// Blocks until the stop flag is set; checks it every 50 ms.
pub fn wait_until_stopped(stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        std::thread::park_timeout(Duration::from_millis(50));
    }
}

/// Waits for up to `duration` and returns whether the stop flag is set.
pub fn wait_for(stop: &AtomicBool, duration: Duration) -> bool {
    std::thread::park_timeout(duration);
    stop.load(Ordering::Relaxed)
}

/// Writes the listen address to the ready file atomically, since readers may poll the file at any moment. Transient
/// disk errors are retried until the stop flag is set, so that they don't end a process that already serves.
pub fn write_ready_file(
    path: Option<&Path>,
    addr: SocketAddr,
    stop: &AtomicBool,
) -> Result<(), CommandError> {
    let Some(path) = path else { return Ok(()) };
    let temporary = path.with_extension("new");
    let write =
        || std::fs::write(&temporary, addr.to_string()).and_then(|()| std::fs::rename(&temporary, path));
    let written =
        Retry { duration: Duration::MAX, stop }.call("writing the address", is_temporary_file_error, write);
    match written {
        Err(_) if stop.load(Ordering::Relaxed) => Ok(()),
        written => written.map_err(|error| CommandError::Runtime(format!("{}: {error}", path.display()))),
    }
}
