//! Assigners and proxies as they run in a day: as threads of its own, or as processes.

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

/// What a proxy's process writes of itself, a line at a time.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct ProxyFigures {
    /// Tables that it holds, one for each slice and method.
    pub held: usize,
    /// Replies that it rejected, and streams that it opened again.
    pub rejected: u64,
    pub reconnects: u64,
    /// RPCs: answered by a server, pushed back by itself, failed; reads that a level of 0 stopped.
    pub forwarded: u64,
    pub refused: u64,
    pub aborted: u64,
    pub stopped: u64,
    /// Connections to servers, and RPCs in hand on them.
    pub connections: usize,
    pub in_hand: usize,
    /// The longest time for which a change of the table held RPCs up, in microseconds.
    pub pause_us_most: u64,
}

impl ProxyFigures {
    pub fn of(proxy: &Proxy) -> Self {
        let get = |counter: &std::sync::atomic::AtomicU64| counter.load(std::sync::atomic::Ordering::Relaxed);
        let counts = proxy.counts();
        let (connections, in_hand) = proxy.standing();
        ProxyFigures {
            held: proxy.held().0,
            forwarded: get(&counts.forwarded),
            refused: get(&counts.refused),
            aborted: get(&counts.aborted),
            stopped: get(&counts.stopped),
            connections,
            in_hand,
            pause_us_most: get(&counts.pause_us_most),
            rejected: get(&counts.rejected),
            reconnects: get(&counts.reconnects),
        }
    }
}

pub enum RunningAssigner {
    Process(Child),
    Thread(Assigner),
}

pub enum RunningProxy {
    Process { child: Child, status: std::path::PathBuf },
    Thread(Proxy),
}

/// Starts `program` with its log in a file, and waits until it has said where it listens.
pub fn start_process(
    program: &Path,
    arguments: &[&std::ffi::OsStr],
    ready: &Path,
    log: &Path,
    within: Duration,
) -> io::Result<(Child, SocketAddr)> {
    // What an earlier day left there would be taken for this one's.
    let _ = fs::remove_file(ready);
    let mut child = Command::new(program)
        .args(arguments)
        .arg("--ready-file")
        .arg(ready)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(fs::File::create(log)?)
        .spawn()?;
    let until = Instant::now() + within;
    loop {
        if let Some(addr) = fs::read_to_string(ready).ok().and_then(|text| text.trim().parse().ok()) {
            return Ok((child, addr));
        }
        if Instant::now() > until || !matches!(child.try_wait(), Ok(None)) {
            kill(&mut child);
            return Err(io::Error::other(format!("it did not start: see {}", log.display())));
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Ends a process at once, as a power cut would.
pub fn kill(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
}

pub fn signal(child: &Child, signal: Signal) {
    if let Some(Err(error)) = Pid::from_raw(child.id() as i32).map(|pid| kill_process(pid, signal)) {
        warn!(%error, "a signal was not sent");
    }
}

/// Waits for a process that was told to end.
pub fn ended(child: &mut Child, name: &str, until: Instant) {
    while Instant::now() < until && matches!(child.try_wait(), Ok(None)) {
        thread::sleep(Duration::from_millis(10));
    }
    if matches!(child.try_wait(), Ok(None)) {
        warn!(%name, "did not end in time: killed");
        kill(child);
    }
}

impl RunningProxy {
    pub fn figures(&self) -> ProxyFigures {
        match self {
            RunningProxy::Thread(proxy) => ProxyFigures::of(proxy),
            RunningProxy::Process { status, .. } => {
                let text = fs::read_to_string(status).unwrap_or_default();
                // The last line may be half written.
                text.lines().rev().find_map(|line| serde_json::from_str(line).ok()).unwrap_or_default()
            }
        }
    }

    pub fn thread(&self) -> Option<&Proxy> {
        match self {
            RunningProxy::Thread(proxy) => Some(proxy),
            RunningProxy::Process { .. } => None,
        }
    }
}
