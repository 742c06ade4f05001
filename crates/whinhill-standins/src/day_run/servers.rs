//! The servers of a day: started, listed in the roster, drained, replaced and made to fail.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use whinhill_assigner::RosterState;
use whinhill_store::Record;

use super::error::io_at;
use super::{loopback, ms, DayRunError, Fleet};
use crate::day::{FaultKind, Sabotage};
use crate::roster::new_entry;
use crate::server::{ServerConfig, ServerStandIn};

/// With [`Sabotage::ServerHoldsOn`]: how long a server goes on with a write that cannot be cancelled, in seconds.
const UNCANCELLABLE_WRITE_S: f64 = 4.0;

/// A position in the fleet. A server that is replaced is followed by another of the same zone and speed.
pub(super) struct ServerSlot {
    pub(super) server: Option<ServerStandIn>,
    pub(super) zone: String,
    pub(super) speed: f64,
}

impl Fleet<'_> {
    /// Adds a server, with its zone and a drawn speed, and starts it.
    pub(super) fn add_server(&mut self, number: usize) -> Result<(), DayRunError> {
        let zone = self.day.zones[number % self.day.zones.len()].clone();
        let [low, high] = self.day.servers.speed;
        let speed = if high > low { self.rng.random_range(low..high) } else { low };
        let server = Some(self.start_server(speed, false)?);
        self.servers.push(ServerSlot { server, zone, speed });
        Ok(())
    }

    fn start_server(&mut self, speed: f64, cold: bool) -> Result<ServerStandIn, DayRunError> {
        let config = ServerConfig {
            listen: loopback(),
            cores: self.day.servers.cores,
            speed,
            cold,
            cold_capacity: self.day.rules.cold_from,
            warm_up: ms(self.day.rules.warm_after_ms),
            max_queue: self.day.servers.queue,
            mean_work: self.day.load.mix.iter().map(|mix| mix.work_ms / 1e3).collect(),
            service: self.service.clone(),
            seed: self.rng.random(),
        };
        let server =
            ServerStandIn::start(config, &self.workers, &self.recorder).map_err(io_at("a server"))?;
        if self.day.sabotage.contains(&Sabotage::ServerHoldsOn) {
            server.set_faults(|faults| faults.uncancellable_write_s = UNCANCELLABLE_WRITE_S);
        }
        Ok(server)
    }

    /// Adds servers to the roster.
    pub(super) fn list(&mut self, which: &[usize], started_now: bool) -> Result<(), DayRunError> {
        let servers = &self.servers;
        let entries = which.iter().filter_map(|&number| {
            let slot = &servers[number];
            let addr: SocketAddr = slot.server.as_ref()?.name().parse().ok()?;
            Some((addr, new_entry(addr, &slot.zone, slot.speed, started_now)))
        });
        let entries: Vec<_> = entries.collect();
        self.roster.update(|list| list.extend(entries)).map_err(io_at("the roster"))
    }

    /// Writes a first owner of each slice into the store, with no assigner having custody.
    pub(super) fn store_first_owners(&mut self) {
        let names: Vec<Arc<str>> =
            self.servers.iter().filter_map(|s| Some(s.server.as_ref()?.name().clone())).collect();
        for slice in 0..self.service.slices {
            let owner = names[self.rng.random_range(0..names.len())].to_string();
            let record = Record { epoch: 1, number: 0, holder: None, owner: Some(owner) };
            let key = format!("whinhill/{}/slice/{slice}", self.service.name);
            self.store.put(&key, &record.to_string());
        }
    }

    /// Marks servers as draining in the roster.
    pub(super) fn drain(&mut self, which: &[usize]) -> Result<(), DayRunError> {
        let addrs = self.addrs(which);
        let changed = self.roster.update(|list| {
            for addr in &addrs {
                list.entry(*addr).and_modify(|entry| entry.state = RosterState::Draining);
            }
        });
        changed.map_err(io_at("the roster"))
    }

    /// Removes servers from the roster.
    pub(super) fn unlist(&mut self, which: &[usize]) -> Result<(), DayRunError> {
        let addrs = self.addrs(which);
        let changed = self.roster.update(|list| addrs.iter().for_each(|addr| drop(list.remove(addr))));
        changed.map_err(io_at("the roster"))
    }

    /// Ends servers and starts cold ones in their positions.
    pub(super) fn replace(&mut self, which: &[usize]) -> Result<(), DayRunError> {
        self.unlist(which)?;
        for &number in which {
            self.servers[number].server = None;
            let speed = self.servers[number].speed;
            self.servers[number].server = Some(self.start_server(speed, true)?);
        }
        self.list(which, true)
    }

    fn addrs(&self, which: &[usize]) -> Vec<SocketAddr> {
        which.iter().filter_map(|&n| self.servers[n].server.as_ref()?.name().parse().ok()).collect()
    }

    /// Begins or ends a fault of servers.
    pub(super) fn set_server_faults(&self, fault: &FaultKind, on: &[usize], begins: bool) {
        let value_or_off = |value: f64| if begins { value } else { 0.0 };
        for server in on.iter().filter_map(|&number| self.servers[number].server.as_ref()) {
            server.set_faults(|faults| match fault {
                FaultKind::SlowServers { times, .. } => faults.slowdown = value_or_off(*times),
                FaultKind::SilentServers { .. } => faults.silent = begins,
                FaultKind::FailingServers { share, method, .. } => {
                    (faults.error_share, faults.error_method) = (value_or_off(*share), *method);
                }
                FaultKind::AnswersLost { share, .. } => faults.lost_answer_share = value_or_off(*share),
                _ => {}
            });
        }
    }
}
