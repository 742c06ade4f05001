//! All parts of a day, and how they start and stop together.

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
use super::load::Rate;
use super::outcome::ProxyTotals;
use super::proxies::ProxySlot;
use super::servers::ServerSlot;
use super::{loopback, PlayError, READY_WITHIN};
use crate::clients::Front;
use crate::day::{Day, RosterBy};
use crate::hops::ToServers;
use crate::record::Recorder;
use crate::roster::RosterStandIn;
use crate::store::StoreStandIn;

/// Threads that turn the connections of a day's parts, and those that serve its RPCs at the most.
const DRIVERS: usize = 3;
const WORKERS: usize = 6000;
/// How often it is looked whether the fleet is ready.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Everything that runs in a day.
pub(super) struct Fleet<'a> {
    pub(super) day: &'a Day,
    pub(super) program: &'a Path,
    pub(super) service: Arc<Service>,
    pub(super) record: Recorder,
    pub(super) drivers: Drivers,
    pub(super) workers: Workers,
    pub(super) store: StoreStandIn,
    pub(super) roster: RosterStandIn,
    pub(super) roster_addr: Option<SocketAddr>,
    pub(super) servers: Vec<ServerSlot>,
    pub(super) proxies: Vec<ProxySlot>,
    pub(super) assigners: Vec<AssignerSlot>,
    pub(super) to_servers: ToServers,
    pub(super) front: Front,
    pub(super) rate: Rate,
    pub(super) rng: ChaCha8Rng,
    /// Milliseconds that each rollback took.
    pub(super) rolled_back: Arc<Mutex<Vec<f64>>>,
}

impl<'a> Fleet<'a> {
    /// Starts everything; files go to `out`.
    pub(super) fn start(day: &'a Day, program: &'a Path, out: &Path) -> Result<Self, PlayError> {
        fs::create_dir_all(out).map_err(io_at("the output folder"))?;
        let service = Arc::new(day.service.service());
        let record = Recorder::default();
        let drivers = Drivers::start("day", DRIVERS).map_err(io_at("driver threads"))?;
        let workers = Workers::new("day", WORKERS, whinhill_transport::CALL_STACK);
        let store = StoreStandIn::start(loopback(), &record).map_err(io_at("the store"))?;
        let mut roster = RosterStandIn::new(&out.join("roster.json5"), &record);
        let roster_addr = match day.roster {
            RosterBy::File => None,
            RosterBy::Eds => Some(roster.listen(&drivers, &workers).map_err(io_at("the roster"))?),
        };
        let mut fleet = Fleet {
            day,
            program,
            service,
            record,
            drivers,
            workers,
            store,
            roster,
            roster_addr,
            servers: Vec::new(),
            proxies: Vec::new(),
            assigners: Vec::new(),
            to_servers: ToServers::default(),
            front: Front::default(),
            rate: Rate::default(),
            rng: ChaCha8Rng::seed_from_u64(day.seed),
            rolled_back: Arc::default(),
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
    fn wait_until_ready(&self) -> Result<(), PlayError> {
        let each = self.service.slices * self.service.methods.len();
        let wanted = each * self.proxies.len();
        let until = Instant::now() + READY_WITHIN;
        loop {
            let held = self.proxies.iter().filter_map(|p| Some(p.running.as_ref()?.figures().held)).sum();
            if held == wanted {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(PlayError::NotReady { within: READY_WITHIN, held, wanted });
            }
            thread::sleep(LOOK_EVERY);
        }
    }

    /// Stops everything. Returns what proxies counted: tables rejected, streams opened again.
    pub(super) fn stop(&mut self) -> ProxyTotals {
        // Proxies first: streams that they lose to the assigners' end are no event of the day.
        self.stop_proxies();
        self.stop_assigners();
        ProxyTotals {
            rejected: self.proxies.iter().map(|slot| slot.rejected).sum(),
            reconnects: self.proxies.iter().map(|slot| slot.reconnects).sum(),
        }
    }
}
