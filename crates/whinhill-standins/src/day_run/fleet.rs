//! All parts of a day, and how they are started and stopped together.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use whinhill_transport::{Drivers, Workers};
use whinhill_xds::mapping::Service;

use super::assigners::AssignerSlot;
use super::error::io_at;
use super::load::RateFactor;
use super::outcome::ProxyTotals;
use super::proxies::ProxySlot;
use super::servers::ServerSlot;
use super::{loopback, DayRunError, READY_TIMEOUT};
use crate::clients::ProxyAddrs;
use crate::day::{Day, RosterSource};
use crate::hops::ServerLinks;
use crate::recorder::Recorder;
use crate::roster::RosterStandIn;
use crate::store::StoreStandIn;

/// Threads that do the I/O of the connections of the day's parts.
const DRIVER_THREADS: usize = 3;
/// Most threads that serve RPCs of the day's parts.
const MAX_WORKER_THREADS: usize = 6000;
/// How often readiness of the fleet is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Everything that runs during a day.
pub(super) struct Fleet<'a> {
    pub(super) day: &'a Day,
    pub(super) program: &'a Path,
    pub(super) service: Arc<Service>,
    pub(super) recorder: Recorder,
    pub(super) drivers: Drivers,
    pub(super) workers: Workers,
    pub(super) store: StoreStandIn,
    pub(super) roster: RosterStandIn,
    pub(super) roster_addr: Option<SocketAddr>,
    pub(super) servers: Vec<ServerSlot>,
    pub(super) proxies: Vec<ProxySlot>,
    pub(super) assigners: Vec<AssignerSlot>,
    pub(super) server_links: ServerLinks,
    pub(super) proxy_addrs: ProxyAddrs,
    pub(super) rate: RateFactor,
    pub(super) rng: ChaCha8Rng,
    /// Duration of each rollback that completed, in milliseconds.
    pub(super) rollback_times_ms: Arc<Mutex<Vec<f64>>>,
}

impl<'a> Fleet<'a> {
    /// Starts everything and waits until the proxies hold all tables. Files go to `out`.
    pub(super) fn start(day: &'a Day, program: &'a Path, out: &Path) -> Result<Self, DayRunError> {
        fs::create_dir_all(out).map_err(io_at("the output folder"))?;
        let service = Arc::new(day.service.to_service());
        let recorder = Recorder::default();
        let drivers = Drivers::start("day", DRIVER_THREADS).map_err(io_at("driver threads"))?;
        let workers = Workers::new("day", MAX_WORKER_THREADS, whinhill_transport::CALL_STACK);
        let store = StoreStandIn::start(loopback(), &recorder).map_err(io_at("the store"))?;
        let mut roster = RosterStandIn::new(&out.join("roster.json5"), &recorder);
        let roster_addr = match day.roster {
            RosterSource::File => None,
            RosterSource::Eds => Some(roster.listen(&drivers, &workers).map_err(io_at("the roster"))?),
        };
        let mut fleet = Fleet {
            day,
            program,
            service,
            recorder,
            drivers,
            workers,
            store,
            roster,
            roster_addr,
            servers: Vec::new(),
            proxies: Vec::new(),
            assigners: Vec::new(),
            server_links: ServerLinks::default(),
            proxy_addrs: ProxyAddrs::default(),
            rate: RateFactor::default(),
            rng: ChaCha8Rng::seed_from_u64(day.seed),
            rollback_times_ms: Arc::default(),
        };
        for number in 0..day.servers.count {
            fleet.add_server(number)?;
        }
        let listed: Vec<usize> = (0..day.servers.count).collect();
        fleet.list(&listed, false)?;
        fleet.store_first_owners();
        for number in 0..day.assigners {
            fleet.add_assigner(number, out)?;
        }
        for number in 0..day.proxies.count {
            fleet.add_proxy(number, out)?;
        }
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    /// Waits until every proxy holds a table for each slice and method.
    fn wait_until_ready(&self) -> Result<(), DayRunError> {
        let per_proxy = self.service.slices * self.service.methods.len();
        let wanted = per_proxy * self.proxies.len();
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let held = self.proxies.iter().filter_map(|p| Some(p.running.as_ref()?.figures().held)).sum();
            if held == wanted {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(DayRunError::NotReady { timeout: READY_TIMEOUT, held, wanted });
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Stops all proxies and assigners. Returns what proxies counted: rejected tables and reopened streams.
    pub(super) fn stop(&mut self) -> ProxyTotals {
        // Proxies first: streams lost because the assigners stop would otherwise count as reconnects of the day.
        self.stop_proxies();
        self.stop_assigners();
        ProxyTotals {
            rejected: self.proxies.iter().map(|slot| slot.rejected).sum(),
            reconnects: self.proxies.iter().map(|slot| slot.reconnects).sum(),
        }
    }
}
