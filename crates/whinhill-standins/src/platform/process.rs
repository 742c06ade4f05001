//! An assigner as a process on the platform: its configuration, its starts and ends, and what it uses.

use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::page::{settings, MEMORY_MB, SOCKETS};
use crate::running::{kill, signal};

/// A start that takes longer has failed (standing test, "The gate").
const START_WITHIN: Duration = Duration::from_secs(30);
/// How often a new process is asked whether it serves, and for how long one such call waits.
const ASK_EVERY: Duration = Duration::from_millis(10);
const ASK_WITHIN: Duration = Duration::from_millis(300);
/// The program whose calls fail: the shell that sets its limits is spared.
const PROGRAM: &str = "whinhill";

/// What a start is told.
#[derive(Clone, Debug)]
pub struct Start {
    pub name: String,
    pub addr: SocketAddr,
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
    /// The list as the assigner last had it.
    pub known: serde_json::Value,
    pub proxies: usize,
    /// The library that makes calls fail, and its schedule.
    pub faults: Option<(PathBuf, String)>,
}

impl Start {
    /// Writes the configuration file.
    pub fn configure(&self, path: &Path) -> io::Result<()> {
        let config = serde_json::json!({
            "name": self.name, "listen": self.addr.to_string(), "discovery": self.discovery.to_string(),
            "seed": "5", "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "distributor": {"address": self.relay.to_string()}, "known": self.known, "settings": settings(self.proxies),
        });
        // Written beside and renamed: a reader never sees half of it.
        let beside = path.with_extension("new");
        fs::write(&beside, config.to_string())?;
        fs::rename(beside, path)
    }
}

/// A running assigner; killed when dropped.
pub struct Process {
    child: Child,
    ready: Receiver<Duration>,
    /// How long it took until it answered, once it has.
    pub ready_after: Option<Duration>,
    /// It was told to end, or killed.
    pub told_to_end: bool,
}

impl Process {
    /// Starts the program of this process with a configuration file, and its log appended to a file.
    pub fn start(program: &Path, start: &Start, config: &Path, log: &Path) -> io::Result<Self> {
        start.configure(config)?;
        let mut command = Command::new("/bin/sh");
        let run = format!("ulimit -n {SOCKETS}; exec \"$0\" assigner --platform");
        command.arg("-c").arg(run).arg(program).env("BALANCER_CONFIG", config);
        if let Some((library, schedule)) = &start.faults {
            command.env("LD_PRELOAD", library).env("WHINHILL_FAULTS", schedule);
            command.env("WHINHILL_FAULTS_PROGRAM", PROGRAM);
        }
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        Ok(Process { child, ready: watch_start(start.addr)?, ready_after: None, told_to_end: false })
    }

    /// Takes note of its first answer; true once, when that has come.
    pub fn look_for_ready(&mut self) -> bool {
        let before = self.ready_after;
        self.ready_after = before.or_else(|| self.ready.try_recv().ok());
        before.is_none() && self.ready_after.is_some()
    }

    /// Sends it a signal.
    pub fn signal(&self, sent: Signal) {
        signal(&self.child, sent);
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills it if it still runs; whether it did.
    pub fn kill(&mut self) -> bool {
        self.told_to_end = true;
        let ran = !self.has_ended();
        kill(&mut self.child);
        ran
    }

    /// Resident memory in kilobytes and open descriptors; `None` once it has ended.
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

/// Asks a new process until it answers; how long that took.
fn watch_start(addr: SocketAddr) -> io::Result<Receiver<Duration>> {
    let (sender, ready) = channel();
    let started = Instant::now();
    thread::Builder::new().name("start".into()).spawn(move || {
        while started.elapsed() < START_WITHIN {
            if ask(addr).is_ok() {
                let _ = sender.send(started.elapsed());
                return;
            }
            thread::sleep(ASK_EVERY);
        }
    })?;
    Ok(ready)
}

fn ask(addr: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&addr, ASK_WITHIN)?;
    stream.set_read_timeout(Some(ASK_WITHIN))?;
    stream.write_all(b"{\"@type\":\"probe\"}\n")?;
    stream.read_exact(&mut [0; 18])
}
