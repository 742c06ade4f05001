//! An assigner as a process on the platform: its configuration, start, end and resource usage.

use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::parameters::{settings, MAX_DESCRIPTORS, MAX_MEMORY_MB};
use super::site::SiteSettings;
use crate::running::{kill, send_signal};

/// A start that takes longer has failed (standing test, "The gate").
const MAX_START_TIME: Duration = Duration::from_secs(30);
/// How often a new process is probed, and the timeout of a probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(10);
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// The program whose system calls fail: faults do not apply to the shell that sets its limits.
const FAULT_TARGET: &str = "whinhill";

/// Options of a start.
#[derive(Clone, Debug)]
pub struct StartOptions {
    pub name: String,
    pub addr: SocketAddr,
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
    /// The server list as the assigner last had it.
    pub known_list: serde_json::Value,
    pub proxies: usize,
    pub site: SiteSettings,
    /// The library that makes system calls fail, and its schedule.
    pub faults: Option<(PathBuf, String)>,
}

impl StartOptions {
    /// Writes the configuration file.
    pub fn configure(&self, path: &Path) -> io::Result<()> {
        let config = serde_json::json!({
            "name": self.name, "listen": self.addr.to_string(), "discovery": self.discovery.to_string(),
            "seed": "5", "limits": {"cores": 1.0, "memory_mb": MAX_MEMORY_MB, "sockets": MAX_DESCRIPTORS},
            "distributor": {"address": self.relay.to_string()}, "known": self.known_list, "settings": settings(self.proxies, &self.site),
        });
        // The file is written under another name and renamed, so that a reader never sees half of
        // it.
        let temporary = path.with_extension("new");
        fs::write(&temporary, config.to_string())?;
        fs::rename(temporary, path)
    }
}

/// A running assigner, which is killed when dropped.
pub struct Process {
    child: Child,
    ready: Receiver<Duration>,
    /// The time from the start to the first answer, once that has come.
    pub ready_after: Option<Duration>,
    /// The process was told to stop, or was killed.
    pub is_stopping: bool,
}

impl Process {
    /// Starts `program` with a configuration file and appends its log to a file.
    pub fn start(program: &Path, start: &StartOptions, config: &Path, log: &Path) -> io::Result<Self> {
        start.configure(config)?;
        let mut command = Command::new("/bin/sh");
        let run = format!("ulimit -n {MAX_DESCRIPTORS}; exec \"$0\" assigner --platform");
        command.arg("-c").arg(run).arg(program).env("BALANCER_CONFIG", config);
        if let Some((library, schedule)) = &start.faults {
            command.env("LD_PRELOAD", library).env("WHINHILL_FAULTS", schedule);
            command.env("WHINHILL_FAULTS_PROGRAM", FAULT_TARGET);
        }
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        Ok(Process { child, ready: watch_start(start.addr)?, ready_after: None, is_stopping: false })
    }

    /// Checks for the first answer; true only in the call that finds it.
    pub fn poll_ready(&mut self) -> bool {
        let before = self.ready_after;
        self.ready_after = before.or_else(|| self.ready.try_recv().ok());
        before.is_none() && self.ready_after.is_some()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, sent: Signal) {
        send_signal(&self.child, sent);
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process if it still runs; returns whether it did.
    pub fn kill(&mut self) -> bool {
        self.is_stopping = true;
        let ran = !self.has_ended();
        kill(&mut self.child);
        ran
    }

    /// Resident memory in kilobytes and the number of open descriptors; `None` once the process has
    /// ended.
    pub fn usage(&self) -> Option<(u64, usize)> {
        let folder = PathBuf::from(format!("/proc/{}", self.child.id()));
        let status = fs::read_to_string(folder.join("status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory = line.split_whitespace().next()?.parse().ok()?;
        Some((memory, fs::read_dir(folder.join("fd")).ok()?.count()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        kill(&mut self.child);
    }
}

/// Probes a new process until it answers, and sends how long that took.
fn watch_start(addr: SocketAddr) -> io::Result<Receiver<Duration>> {
    let (sender, ready) = channel();
    let started = Instant::now();
    thread::Builder::new().name("start".into()).spawn(move || {
        while started.elapsed() < MAX_START_TIME {
            if probe(addr).is_ok() {
                let _ = sender.send(started.elapsed());
                return;
            }
            thread::sleep(PROBE_INTERVAL);
        }
    })?;
    Ok(ready)
}

fn probe(addr: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&addr, PROBE_TIMEOUT)?;
    stream.set_read_timeout(Some(PROBE_TIMEOUT))?;
    stream.write_all(b"{\"@type\":\"probe\"}\n")?;
    stream.read_exact(&mut [0; 18])
}
