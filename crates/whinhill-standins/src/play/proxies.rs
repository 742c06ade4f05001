//! The proxies of a day: configured, started as processes or threads, killed, and found by clients.

use std::ffi::OsStr;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use rand::Rng;
use rustix::process::Signal;
use whinhill_proxy::{Dial, PoolLimits, Proxy, ProxyConfig};
use whinhill_transport::Limits;
use whinhill_xds::Variant;

use super::error::io_at;
use super::{loopback, ms, Fleet, PlayError, READY_WITHIN, STOP_WITHIN};
use crate::day::{Day, RunAs, Sabotage, Speaks};
use crate::hops::Hop;
use crate::link::Link;
use crate::record::Seen;
use crate::running::{self, RunningProxy};

/// One proxy, through all its lives.
pub(super) struct ProxySlot {
    pub(super) id: Arc<str>,
    pub(super) running: Option<RunningProxy>,
    /// Where clients reach it, if not directly.
    pub(super) front: Option<Link>,
    pub(super) dir: PathBuf,
    pub(super) lives: u32,
    pub(super) links: Vec<Arc<Link>>,
    pub(super) number: usize,
    pub(super) rejected: u64,
    pub(super) reconnects: u64,
}

/// What one life of a proxy is started with.
struct Life {
    assigners: Vec<(String, SocketAddr)>,
    incremental: bool,
    seed: u64,
}

impl Fleet<'_> {
    /// Makes a place for a proxy, with its links, and starts it there.
    pub(super) fn add_proxy(&mut self, number: usize, out: &Path) -> Result<(), PlayError> {
        let id: Arc<str> = format!("proxy-{number}").into();
        let mut links = Vec::new();
        for assigner in 0..if self.day.links { self.day.assigners } else { 0 } {
            let (record, proxy) = (self.record.clone(), id.clone());
            let name: Arc<str> = self.assigners[assigner].name.as_str().into();
            let note = move |stands| {
                record.note(Seen::Connected { proxy: proxy.clone(), assigner: name.clone(), stands });
            };
            let link = Link::start(self.assigners[assigner].addr, note).map_err(io_at("a link"))?;
            link.set_delay(ms(self.day.link_delay_ms));
            links.push(Arc::new(link));
        }
        let front = match self.day.has_links(Hop::ClientsProxies) {
            true => Some(Link::start(loopback(), |_| {}).map_err(io_at("a link"))?),
            false => None,
        };
        let dir = out.join(&*id);
        self.proxies.push(ProxySlot {
            id,
            running: None,
            front,
            dir,
            lives: 0,
            links,
            number,
            rejected: 0,
            reconnects: 0,
        });
        self.start_proxy(number)
    }

    /// Starts a proxy, for the first time or again, and lets clients find it.
    pub(super) fn start_proxy(&mut self, number: usize) -> Result<(), PlayError> {
        let seed = self.rng.random();
        self.proxies[number].lives += 1;
        let slot = &self.proxies[number];
        let incremental = match self.day.proxies.speaks {
            Speaks::Incremental => true,
            Speaks::StateOfTheWorld => false,
            Speaks::Both => slot.number.is_multiple_of(2),
        };
        let addr = |k: usize, direct: SocketAddr| slot.links.get(k).map_or(direct, |link| link.addr());
        let assigners =
            self.assigners.iter().enumerate().map(|(k, a)| (a.name.clone(), addr(k, a.addr))).collect();
        let life = Life { assigners, incremental, seed };
        let (running, addr) = match self.day.run.proxies {
            RunAs::Processes => slot.start_process(self.day, self.program, life)?,
            RunAs::Threads => self.start_proxy_thread(number, life)?,
        };
        self.proxies[number].running = Some(running);
        self.reached(number, addr);
        Ok(())
    }

    fn start_proxy_thread(&self, number: usize, life: Life) -> Result<(RunningProxy, SocketAddr), PlayError> {
        let proxy = Proxy::start(self.proxy_config(number, life), &self.drivers, &self.workers)?;
        let addr = proxy.addr().unwrap_or_else(loopback);
        Ok((RunningProxy::Thread(proxy), addr))
    }

    fn proxy_config(&self, number: usize, life: Life) -> ProxyConfig {
        let dial = match self.day.has_links(Hop::ProxiesServers) {
            true => self.to_servers.dial(number),
            false => Dial::default(),
        };
        ProxyConfig {
            id: self.proxies[number].id.to_string(),
            zone: self.day.zones[number % self.day.zones.len()].clone(),
            listen: loopback(),
            service: self.service.clone(),
            assigners: life.assigners,
            variant: if life.incremental { Variant::Incremental } else { Variant::StateOfTheWorld },
            settle: ms(self.day.service.settle_ms),
            limits: Limits {
                handshake: Duration::from_secs(1),
                keep_alive: Duration::from_secs(1),
                keep_alive_answer: Duration::from_secs(1),
                // A whole fleet shares one process's file descriptors here.
                idle: Duration::from_secs(3),
                ..Limits::default()
            },
            seed: life.seed,
            dial,
            // A whole fleet shares one process's file descriptors here: 208 proxies and 143 servers that keep their
            // connections for a minute run out of them (seen: one RPC in nine never ran).
            pool: PoolLimits { idle_ms: 3000, ..Default::default() },
            body_most: 64 << 20,
            pick: whinhill_proxy::Pick::default(),
            sabotage: whinhill_proxy::Sabotage {
                ignores_stops: self.day.sabotage.contains(&Sabotage::ProxyIgnoresStops),
            },
        }
    }

    /// A proxy listens: clients may find it.
    fn reached(&mut self, number: usize, addr: SocketAddr) {
        let slot = &self.proxies[number];
        self.record.note(Seen::ProxyRuns { proxy: slot.id.clone(), runs: true });
        let seen_at = slot.front.as_ref().map_or(addr, |link| {
            link.set_target(addr);
            link.addr()
        });
        self.front.lock().unwrap_or_else(PoisonError::into_inner).push((slot.id.clone(), seen_at));
    }

    /// Stops all at a time.
    pub(super) fn stop_proxies(&mut self) {
        self.proxies.iter().for_each(ProxySlot::begin_stop);
        self.proxies.iter_mut().for_each(|slot| slot.stop(false));
    }

    /// Ends one at once, as a power cut would; clients no longer find it.
    pub(super) fn kill_proxy(&mut self, number: usize) {
        let slot = &mut self.proxies[number];
        let id = slot.id.clone();
        self.front.lock().unwrap_or_else(PoisonError::into_inner).retain(|(name, _)| *name != id);
        self.record.note(Seen::ProxyRuns { proxy: id, runs: false });
        slot.stop(true);
    }
}

impl ProxySlot {
    fn begin_stop(&self) {
        match &self.running {
            Some(RunningProxy::Thread(proxy)) => proxy.begin_stop(),
            Some(RunningProxy::Process { child, .. }) => running::signal(child, Signal::TERM),
            None => {}
        }
    }

    /// `at_once`: a process is killed outright.
    fn stop(&mut self, at_once: bool) {
        let Some(mut running) = self.running.take() else { return };
        match &mut running {
            RunningProxy::Process { child, .. } if at_once => running::kill(child),
            RunningProxy::Process { child, .. } => {
                running::ended(child, &self.id, Instant::now() + STOP_WITHIN);
            }
            RunningProxy::Thread(_) => {}
        }
        let figures = running.figures();
        self.rejected += figures.rejected;
        self.reconnects += figures.reconnects;
    }

    fn start_process(
        &self,
        day: &Day,
        program: &Path,
        life: Life,
    ) -> Result<(RunningProxy, SocketAddr), PlayError> {
        let failed =
            |error: io::Error| PlayError::Start { name: self.id.to_string(), error: error.to_string() };
        fs::create_dir_all(&self.dir).map_err(failed)?;
        let path = |name: &str| self.dir.join(format!("{name}-{}", self.lives));
        let (config, status) = (path("proxy.json5"), path("status.jsonl"));
        let assigners: Vec<_> = life
            .assigners
            .iter()
            .map(|(name, addr)| serde_json::json!({ "name": name, "addr": addr }))
            .collect();
        let text = serde_json::json!({
            "id": &*self.id,
            "zone": day.zones[self.number % day.zones.len()],
            "listen": loopback(),
            "service": day.service,
            "assigners": assigners,
            "state_of_the_world": !life.incremental,
            "seed": life.seed,
            "status_file": &status,
        });
        fs::write(&config, text.to_string()).map_err(failed)?;
        let arguments =
            [OsStr::new("--log"), OsStr::new("json"), OsStr::new("proxy"), OsStr::new("--config")];
        let arguments = [&arguments[..], &[config.as_os_str()]].concat();
        let started = running::start_process(program, &arguments, &path("ready"), &path("log"), READY_WITHIN);
        let (child, addr) = started.map_err(failed)?;
        Ok((RunningProxy::Process { child, status }, addr))
    }
}
