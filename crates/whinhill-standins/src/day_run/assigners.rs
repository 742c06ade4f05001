//! The assigners of a day: configured, started as processes or threads, killed and stalled.

use std::ffi::OsStr;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Instant;

use rand::Rng;
use rustix::process::Signal;
use whinhill_assigner::{Assigner, AssignerConfig, RosterConfig, StoreConfig};

use super::error::io_at;
use super::{loopback, DayRunError, Fleet, READY_TIMEOUT, STOP_TIMEOUT};
use crate::day::{RunAs, Sabotage};
use crate::hops::Hop;
use crate::link::Link;
use crate::recorder::Event;
use crate::roster::EDS_RESOURCE;
use crate::running::{self, RunningAssigner};

/// The log level of each assigner's process.
const LOG_LEVEL: &str = "info,whinhill_assigner=debug";

/// One assigner, which may be killed and started again.
pub(super) struct AssignerSlot {
    pub(super) name: String,
    pub(super) running: Option<RunningAssigner>,
    pub(super) addr: SocketAddr,
    pub(super) config: PathBuf,
    pub(super) dir: PathBuf,
    pub(super) store_link: Link,
    pub(super) roster_link: Option<Link>,
    /// How often it was started.
    pub(super) starts: u32,
    /// The status file of each start.
    pub(super) status: Vec<PathBuf>,
}

impl Fleet<'_> {
    /// Adds an assigner with its links and its configuration, and starts it.
    pub(super) fn add_assigner(&mut self, number: usize, out: &Path) -> Result<(), DayRunError> {
        let name = format!("assigner-{number}");
        let dir = out.join(&name);
        // Files that an earlier day left there would be read as this day's.
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).map_err(io_at("an assigner's folder"))?;
        let store_link = Link::start(self.store.addr(), |_| {}).map_err(io_at("a link"))?;
        let roster_link = match self.roster_addr.filter(|_| self.day.has_links(Hop::AssignersRoster)) {
            Some(addr) => Some(Link::start(addr, |_| {}).map_err(io_at("a link"))?),
            None => None,
        };
        let roster_addr = roster_link.as_ref().map(Link::addr).or(self.roster_addr);
        let config = self.assigner_config(&name, number, &dir, store_link.addr(), roster_addr);
        let path = dir.join("assigner.json5");
        let text =
            serde_json::to_string_pretty(&config).map_err(|error| io_at("a configuration")(error.into()))?;
        fs::write(&path, text).map_err(io_at("a configuration"))?;
        let assigner = AssignerSlot {
            name,
            running: None,
            addr: loopback(),
            config: path,
            dir,
            store_link,
            roster_link,
            starts: 0,
            status: Vec::new(),
        };
        self.assigners.push(assigner);
        self.start_assigner(number)
    }

    fn assigner_config(
        &mut self,
        name: &str,
        number: usize,
        dir: &Path,
        store_addr: SocketAddr,
        roster_addr: Option<SocketAddr>,
    ) -> AssignerConfig {
        let skips_the_wait = self.day.sabotage.contains(&Sabotage::AssignerSkipsWait);
        AssignerConfig {
            name: name.to_string(),
            peers: (0..self.day.assigners).map(|k| format!("assigner-{k}")).collect(),
            listen: loopback(),
            zone: self.day.zones[number % self.day.zones.len()].clone(),
            zones: self.day.zones.clone(),
            service: self.day.service.clone(),
            rules: self.day.rules.clone(),
            channel: self.day.channel.clone(),
            roster: match roster_addr {
                Some(addr) => RosterConfig::Eds { addr, resource: EDS_RESOURCE.to_string() },
                None => RosterConfig::File { path: self.roster.path().to_path_buf() },
            },
            store: StoreConfig { addr: store_addr, prefix: "whinhill".into(), within_ms: 300 },
            custody: self.day.custody,
            report_period_ms: self.day.report_period_ms,
            report_lines_per_s: 2000,
            probes: self.day.probes,
            answer_within_ms: 6000,
            proxies_most: 1024,
            // Grants wait until the table set is on disk. On a slow disk that would hide that a sabotaged assigner
            // does not wait for acknowledgements and for writes to settle, so it keeps no file.
            state_dir: (!skips_the_wait).then(|| dir.to_path_buf()),
            status_file: None,
            operators: Some(loopback()),
            history: whinhill_assigner::HistoryConfig::default(),
            seed: Some(self.rng.random()),
            sabotage: whinhill_assigner::Sabotage { skips_the_wait },
        }
    }

    /// Starts an assigner and directs the proxies' links to its address.
    pub(super) fn start_assigner(&mut self, number: usize) -> Result<(), DayRunError> {
        let slot = &mut self.assigners[number];
        slot.starts += 1;
        let start = slot.starts;
        let (ready, status) =
            (slot.dir.join(format!("ready-{start}")), slot.dir.join(format!("status-{start}.jsonl")));
        let log = slot.dir.join(format!("log-{start}.jsonl"));
        let (running, addr) = match self.day.run.assigners {
            RunAs::Processes => slot.start_process(self.program, &ready, &log, &status)?,
            RunAs::Threads => slot.start_thread(&status)?,
        };
        (slot.running, slot.addr) = (Some(running), addr);
        slot.status.push(status);
        self.recorder.add(Event::AssignerRunning { assigner: slot.name.as_str().into(), running: true });
        for link in self.proxies.iter().filter_map(|proxy| proxy.links.get(number)) {
            link.set_target(addr);
        }
        Ok(())
    }

    /// Stops all assigners at the same time, gracefully.
    pub(super) fn stop_assigners(&mut self) {
        for slot in &self.assigners {
            if let Some(RunningAssigner::Process(child)) = &slot.running {
                // A stalled process can't end.
                running::send_signal(child, Signal::CONT);
                running::send_signal(child, Signal::TERM);
            }
        }
        let until = Instant::now() + STOP_TIMEOUT;
        for slot in &mut self.assigners {
            match slot.running.take() {
                Some(RunningAssigner::Process(mut child)) => {
                    running::wait_or_kill(&mut child, &slot.name, until)
                }
                Some(RunningAssigner::Thread(assigner)) => assigner.stop(),
                None => {}
            }
        }
    }

    /// Ends an assigner at once, as a power failure would.
    pub(super) fn kill_assigner(&mut self, number: usize) {
        let slot = &mut self.assigners[number];
        if let Some(RunningAssigner::Process(mut child)) = slot.running.take() {
            self.recorder.add(Event::AssignerRunning { assigner: slot.name.as_str().into(), running: false });
            running::kill(&mut child);
        }
    }

    /// Stalls or resumes an assigner's process; `running` is its state after the signal.
    pub(super) fn signal_assigner(&self, which: usize, signal: Signal, running: bool) {
        let slot = &self.assigners[which];
        if let Some(RunningAssigner::Process(child)) = &slot.running {
            running::send_signal(child, signal);
        }
        self.recorder.add(Event::AssignerRunning { assigner: slot.name.as_str().into(), running });
    }
}

impl AssignerSlot {
    /// The file in which it writes the address of its operator interface.
    pub(super) fn operators_file(&self) -> PathBuf {
        self.dir.join("operators")
    }

    fn failed(&self, error: &dyn std::fmt::Display) -> DayRunError {
        DayRunError::Start { name: self.name.clone(), error: error.to_string() }
    }

    fn start_process(
        &self,
        program: &Path,
        ready: &Path,
        log: &Path,
        status: &Path,
    ) -> Result<(RunningAssigner, SocketAddr), DayRunError> {
        let mut arguments: Vec<&OsStr> =
            ["--log", "json", "--log-level", LOG_LEVEL, "assigner", "--config"].map(OsStr::new).into();
        arguments.extend([self.config.as_os_str(), OsStr::new("--status-file"), status.as_os_str()]);
        let started = running::start_process(program, &arguments, ready, log, READY_TIMEOUT);
        let (child, addr) = started.map_err(|error| self.failed(&error))?;
        Ok((RunningAssigner::Process(child), addr))
    }

    fn start_thread(&self, status: &Path) -> Result<(RunningAssigner, SocketAddr), DayRunError> {
        let text = fs::read_to_string(&self.config).map_err(io_at("a configuration"))?;
        let mut config: AssignerConfig = serde_json::from_str(&text).map_err(|error| self.failed(&error))?;
        config.status_file = Some(status.to_path_buf());
        let assigner = Assigner::start(config).map_err(|error| self.failed(&error))?;
        let addr = assigner.addr();
        Ok((RunningAssigner::Thread(assigner), addr))
    }
}
