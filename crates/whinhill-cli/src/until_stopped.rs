//! Runs something until SIGTERM or SIGINT.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use signal_hook::consts::{SIGINT, SIGTERM};
use whinhill_assigner::Retry;
use whinhill_errors::may_pass_on_disk;

use crate::Failed;

/// A flag that is set once the process is told to end.
pub fn listen() -> Result<Arc<AtomicBool>, Failed> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        let registered = signal_hook::flag::register(signal, stop.clone());
        registered.map_err(|error| Failed::Running(format!("signal {signal}: {error}")))?;
    }
    Ok(stop)
}

pub fn wait(stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        std::thread::park_timeout(Duration::from_millis(50));
    }
}

/// Waits for a while; whether it is told to end.
pub fn wait_for(stop: &AtomicBool, span: Duration) -> bool {
    std::thread::park_timeout(span);
    stop.load(Ordering::Relaxed)
}

/// Writes an address, whole or not at all: whoever waits for it may look at any moment. While the disk refuses it is
/// tried again, until the process is told to end: what serves already goes on.
pub fn say_ready(path: Option<&Path>, addr: SocketAddr, stop: &AtomicBool) -> Result<(), Failed> {
    let Some(path) = path else { return Ok(()) };
    let beside = path.with_extension("new");
    let write = || std::fs::write(&beside, addr.to_string()).and_then(|()| std::fs::rename(&beside, path));
    let written =
        Retry { within: Duration::MAX, stop }.until_done("writing the address", may_pass_on_disk, write);
    match written {
        Err(_) if stop.load(Ordering::Relaxed) => Ok(()),
        written => written.map_err(|error| Failed::Running(format!("{}: {error}", path.display()))),
    }
}
