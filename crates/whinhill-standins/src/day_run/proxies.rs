//! The proxies of a day: configured, started as processes or threads, killed, and announced to clients.

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
use super::{loopback, ms, DayRunError, Fleet, READY_TIMEOUT, STOP_TIMEOUT};
use crate::day::{Day, ProtocolVariant, RunAs, Sabotage};
use crate::hops::Hop;
use crate::link::Link;
use crate::recorder::Event;
use crate::running::{self, RunningProxy};

/// One proxy, which may be killed and started again.
pub(super) struct ProxySlot {
    pub(super) id: Arc<str>,
    pub(super) running: Option<RunningProxy>,
    /// The link between clients and this proxy, where the day has one.
    pub(super) client_link: Option<Link>,
    pub(super) dir: PathBuf,
    /// How often it was started.
    pub(super) starts: u32,
    /// Links to the assigners, in their order; empty if the day has no links.
    pub(super) links: Vec<Arc<Link>>,
    pub(super) number: usize,
    /// Tables rejected and streams opened again, summed over the starts that have ended.
    pub(super) rejected: u64,
    pub(super) reconnects: u64,
}

/// The parameters of one start of a proxy.
struct StartParams {
    assigners: Vec<(String, SocketAddr)>,
    incremental: bool,
    seed: u64,
}

impl Fleet<'_> {
    /// Adds a proxy with its links, and starts it.
    pub(super) fn add_proxy(&mut self, number: usize, out: &Path) -> Result<(), DayRunError> {
        let id: Arc<str> = format!("proxy-{number}").into();
        let mut links = Vec::new();
        for assigner in 0..if self.day.links { self.day.assigners } else { 0 } {
            let (recorder, proxy) = (self.recorder.clone(), id.clone());
            let name: Arc<str> = self.assigners[assigner].name.as_str().into();
            let record_connection = move |up| {
                recorder.add(Event::AssignerConnection { proxy: proxy.clone(), assigner: name.clone(), up });
            };
            let link =
                Link::start(self.assigners[assigner].addr, record_connection).map_err(io_at("a link"))?;
            link.set_delay(ms(self.day.link_delay_ms));
            links.push(Arc::new(link));
        }
        let client_link = match self.day.has_links(Hop::ClientsProxies) {
            // The target is set once the proxy listens.
            true => Some(Link::start(loopback(), |_| {}).map_err(io_at("a link"))?),
            false => None,
        };
        let dir = out.join(&*id);
        self.proxies.push(ProxySlot {
            id,
            running: None,
            client_link,
            dir,
            starts: 0,
            links,
            number,
            rejected: 0,
            reconnects: 0,
        });
        self.start_proxy(number)
    }

    /// Starts a proxy, for the first time or again, and announces it to clients.
    pub(super) fn start_proxy(&mut self, number: usize) -> Result<(), DayRunError> {
        let seed = self.rng.random();
        self.proxies[number].starts += 1;
        let slot = &self.proxies[number];
        let incremental = match self.day.proxies.speaks {
            ProtocolVariant::Incremental => true,
            ProtocolVariant::StateOfTheWorld => false,
            ProtocolVariant::Both => slot.number.is_multiple_of(2),
        };
        let addr = |k: usize, direct: SocketAddr| slot.links.get(k).map_or(direct, |link| link.addr());
        let assigners =
            self.assigners.iter().enumerate().map(|(k, a)| (a.name.clone(), addr(k, a.addr))).collect();
        let params = StartParams { assigners, incremental, seed };
        let (running, addr) = match self.day.run.proxies {
            RunAs::Processes => slot.start_process(self.day, self.program, params)?,
            RunAs::Threads => self.start_proxy_thread(number, params)?,
        };
        self.proxies[number].running = Some(running);
        self.announce_proxy(number, addr);
        Ok(())
    }

    fn start_proxy_thread(
        &self,
        number: usize,
        params: StartParams,
    ) -> Result<(RunningProxy, SocketAddr), DayRunError> {
        let proxy = Proxy::start(self.proxy_config(number, params), &self.drivers, &self.workers)?;
        let addr = proxy.addr().unwrap_or_else(loopback);
        Ok((RunningProxy::Thread(proxy), addr))
    }

    fn proxy_config(&self, number: usize, params: StartParams) -> ProxyConfig {
        let dial = match self.day.has_links(Hop::ProxiesServers) {
            true => self.server_links.dial(number),
            false => Dial::default(),
        };
        ProxyConfig {
            id: self.proxies[number].id.to_string(),
            zone: self.day.zones[number % self.day.zones.len()].clone(),
            listen: loopback(),
            service: self.service.clone(),
            assigners: params.assigners,
            variant: if params.incremental { Variant::Incremental } else { Variant::StateOfTheWorld },
            write_timeout: ms(self.day.service.settle_ms),
            limits: Limits {
                handshake: Duration::from_secs(1),
                keep_alive: Duration::from_secs(1),
                keep_alive_timeout: Duration::from_secs(1),
                // The whole fleet shares one process's file descriptors.
                idle: Duration::from_secs(3),
                ..Limits::default()
            },
            seed: params.seed,
            dial,
            // The whole fleet shares one process's file descriptors: with 208 proxies and 143 servers that keep idle
            // connections for a minute they ran out, and one RPC in nine never ran.
            pool_limits: PoolLimits { idle_ms: 3000, ..Default::default() },
            max_body_bytes: 64 << 20,
            pick: whinhill_proxy::Pick::default(),
            injected_faults: whinhill_proxy::InjectedFaults {
                ignores_closed_tables: self.day.sabotage.contains(&Sabotage::ProxyIgnoresStops),
            },
        }
    }

    /// Announces to clients that a proxy listens at `addr`.
    fn announce_proxy(&mut self, number: usize, addr: SocketAddr) {
        let slot = &self.proxies[number];
        self.recorder.add(Event::ProxyRunning { proxy: slot.id.clone(), running: true });
        let client_addr = slot.client_link.as_ref().map_or(addr, |link| {
            link.set_target(addr);
            link.addr()
        });
        self.proxy_addrs.lock().unwrap_or_else(PoisonError::into_inner).push((slot.id.clone(), client_addr));
    }

    /// Stops all proxies at the same time.
    pub(super) fn stop_proxies(&mut self) {
        self.proxies.iter().for_each(ProxySlot::begin_stop);
        self.proxies.iter_mut().for_each(|slot| slot.stop(false));
    }

    /// Ends a proxy at once, as a power failure would, after removing it from the clients' list.
    pub(super) fn kill_proxy(&mut self, number: usize) {
        let slot = &mut self.proxies[number];
        let id = slot.id.clone();
        self.proxy_addrs.lock().unwrap_or_else(PoisonError::into_inner).retain(|(name, _)| *name != id);
        self.recorder.add(Event::ProxyRunning { proxy: id, running: false });
        slot.stop(true);
    }
}

impl ProxySlot {
    fn begin_stop(&self) {
        match &self.running {
            Some(RunningProxy::Thread(proxy)) => proxy.begin_stop(),
            Some(RunningProxy::Process { child, .. }) => running::send_signal(child, Signal::TERM),
            None => {}
        }
    }

    /// Stops the proxy and adds up its figures. With `at_once` a process is killed, otherwise it has been told to end.
    fn stop(&mut self, at_once: bool) {
        let Some(mut running) = self.running.take() else { return };
        match &mut running {
            RunningProxy::Process { child, .. } if at_once => running::kill(child),
            RunningProxy::Process { child, .. } => {
                running::wait_or_kill(child, &self.id, Instant::now() + STOP_TIMEOUT);
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
        params: StartParams,
    ) -> Result<(RunningProxy, SocketAddr), DayRunError> {
        let failed =
            |error: io::Error| DayRunError::Start { name: self.id.to_string(), error: error.to_string() };
        fs::create_dir_all(&self.dir).map_err(failed)?;
        let path = |name: &str| self.dir.join(format!("{name}-{}", self.starts));
        let (config, status) = (path("proxy.json5"), path("status.jsonl"));
        let assigners: Vec<_> = params
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
            "state_of_the_world": !params.incremental,
            "seed": params.seed,
            "status_file": &status,
        });
        fs::write(&config, text.to_string()).map_err(failed)?;
        let arguments =
            [OsStr::new("--log"), OsStr::new("json"), OsStr::new("proxy"), OsStr::new("--config")];
        let arguments = [&arguments[..], &[config.as_os_str()]].concat();
        let started =
            running::start_process(program, &arguments, &path("ready"), &path("log"), READY_TIMEOUT);
        let (child, addr) = started.map_err(failed)?;
        Ok((RunningProxy::Process { child, status }, addr))
    }
}
