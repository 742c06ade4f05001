//! Assigners and proxies that run as processes or as threads of the day's process.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use serde::{Deserialize, Serialize};
use tracing::warn;
use whinhill_assigner::Assigner;
use whinhill_proxy::Proxy;

/// Figures of a proxy. A proxy's process writes them to its status file, one JSON object a line.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct ProxyFigures {
    /// Tables that the proxy holds, one for each slice and method.
    pub held: usize,
    /// Table replies that it rejected.
    pub rejected: u64,
    /// Table streams that it opened again.
    pub reconnects: u64,
    /// RPCs answered by a server.
    pub forwarded: u64,
    /// RPCs that the proxy itself pushed back.
    pub refused: u64,
    /// RPCs that failed.
    pub aborted: u64,
    /// Reads in flight that were stopped because their level became 0.
    pub stopped: u64,
    /// Open connections to servers.
    pub connections: usize,
    /// RPCs in flight on them.
    pub in_hand: usize,
    /// The longest time for which a change of the table blocked RPCs, in microseconds.
    pub pause_us_most: u64,
}

impl ProxyFigures {
    /// The current figures of a proxy of this process.
    pub fn of(proxy: &Proxy) -> Self {
        let get = |counter: &std::sync::atomic::AtomicU64| counter.load(std::sync::atomic::Ordering::Relaxed);
        let counts = proxy.counters();
        let (connections, in_hand) = proxy.connection_usage();
        ProxyFigures {
            held: proxy.table_counts().0,
            forwarded: get(&counts.forwarded),
            refused: get(&counts.refused),
            aborted: get(&counts.aborted),
            stopped: get(&counts.stopped),
            connections,
            in_hand,
            pause_us_most: get(&counts.max_pause_us),
            rejected: get(&counts.rejected),
            reconnects: get(&counts.reconnects),
        }
    }
}

/// An assigner that runs.
pub enum RunningAssigner {
    Process(Child),
    Thread(Assigner),
}

/// A proxy that runs.
pub enum RunningProxy {
    /// `status` is the file to which the process writes its figures.
    Process {
        child: Child,
        status: std::path::PathBuf,
    },
    Thread(Proxy),
}

/// Starts `program` with its log in the file `log`, and waits until it has written its address to the file `ready`.
pub fn start_process(
    program: &Path,
    arguments: &[&std::ffi::OsStr],
    ready: &Path,
    log: &Path,
    timeout: Duration,
) -> io::Result<(Child, SocketAddr)> {
    // A file that an earlier day left there would be read as this process's.
    let _ = fs::remove_file(ready);
    let mut child = Command::new(program)
        .args(arguments)
        .arg("--ready-file")
        .arg(ready)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(fs::File::create(log)?)
        .spawn()?;
    let deadline = Instant::now() + timeout;
    loop {
        if let Some(addr) = fs::read_to_string(ready).ok().and_then(|text| text.trim().parse().ok()) {
            return Ok((child, addr));
        }
        if Instant::now() > deadline || !matches!(child.try_wait(), Ok(None)) {
            kill(&mut child);
            return Err(io::Error::other(format!("the process did not start: see {}", log.display())));
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Kills a process at once, as a power failure would end it.
pub fn kill(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
}

/// Sends a signal to a process.
pub fn send_signal(child: &Child, signal: Signal) {
    if let Some(Err(error)) = Pid::from_raw(child.id() as i32).map(|pid| kill_process(pid, signal)) {
        warn!(%error, "the signal could not be sent");
    }
}

/// Waits for a process that was told to end, and kills it at the deadline.
pub fn wait_or_kill(child: &mut Child, name: &str, deadline: Instant) {
    while Instant::now() < deadline && matches!(child.try_wait(), Ok(None)) {
        thread::sleep(Duration::from_millis(10));
    }
    if matches!(child.try_wait(), Ok(None)) {
        warn!(%name, "the process did not end in time and was killed");
        kill(child);
    }
}

impl RunningProxy {
    /// Its figures; those of a process are the last that it wrote.
    pub fn figures(&self) -> ProxyFigures {
        match self {
            RunningProxy::Thread(proxy) => ProxyFigures::of(proxy),
            RunningProxy::Process { status, .. } => {
                let text = fs::read_to_string(status).unwrap_or_default();
                // The last line may be incomplete.
                text.lines().rev().find_map(|line| serde_json::from_str(line).ok()).unwrap_or_default()
            }
        }
    }

    /// The proxy itself, if it runs in this process.
    pub fn as_thread(&self) -> Option<&Proxy> {
        match self {
            RunningProxy::Thread(proxy) => Some(proxy),
            RunningProxy::Process { .. } => None,
        }
    }
}
