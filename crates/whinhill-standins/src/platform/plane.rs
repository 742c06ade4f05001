//! One world of the soak's RPCs: the same arrivals meet its own tables, and its own worker queues at the servers.
//!
//! There are two of them: the judged one, whose tables the assigners order, and the reference, whose tables an oracle
//! orders.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::Serialize;

use super::lost::{Cause, LostRpc, Stage};
use super::page::{CLASSES, LOST_AFTER, WARM_AFTER};
use super::silence::Silences;
use super::tally::Tally;
use super::world::{Condition, Table, World};

/// A cold server takes this many times as long.
pub const COLD: u32 = 2;

/// Which of the two worlds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plane {
    Judged,
    Reference,
}

/// How many there are.
pub const PLANES: usize = 2;

/// An RPC, drawn once for both worlds.
#[derive(Clone, Copy, Debug)]
pub struct Rpc {
    pub arrived: Duration,
    /// A proxy without a line holds it until then.
    pub held_until: Duration,
    pub slice: usize,
    pub proxy: usize,
    pub class: usize,
    /// At a server that is well and warm.
    pub work: Duration,
    /// Levels above this let it in.
    pub dice: f64,
}

/// What became of RPCs, by cause.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Outcomes {
    pub offered: u64,
    pub in_time: u64,
    /// Answered after the soft deadline.
    pub late_overload: u64,
    pub late_slow: u64,
    /// Later than the deadline by more than the page allows, or never.
    pub lost_overload: u64,
    pub lost_silent: u64,
    pub lost_hang: u64,
    pub lost_reset: u64,
    /// Refused, with the promise that nothing ran.
    pub refused_level: u64,
    pub refused_no_owner: u64,
    pub refused_dead: u64,
}

impl Outcomes {
    /// Lost, whatever the cause.
    pub fn lost(&self) -> u64 {
        self.lost_overload + self.lost_silent + self.lost_hang + self.lost_reset
    }

    /// Refused, whatever the cause.
    pub fn refused(&self) -> u64 {
        self.refused_level + self.refused_no_owner + self.refused_dead
    }
}

/// What a proxy did with an RPC.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Held,
    Refused,
    Sent { server: usize, took: Duration, failed: bool },
}

/// The proxies of one world and what their RPCs came to.
pub struct DataPlane {
    plane: Plane,
    held: VecDeque<Rpc>,
    pub outcomes: Outcomes,
    pub tally: Tally,
    pub lost: Vec<LostRpc>,
    pub silences: Silences,
}

impl DataPlane {
    /// No RPC yet.
    pub fn new(plane: Plane) -> Self {
        DataPlane {
            plane,
            held: VecDeque::new(),
            outcomes: Outcomes::default(),
            tally: Tally::default(),
            lost: Vec::new(),
            silences: Silences::default(),
        }
    }

    /// RPCs that arrive or are held, each with what its proxy did.
    pub fn play(
        &mut self,
        world: &mut World,
        tables: Option<&[Vec<Table>]>,
        arrivals: &[Rpc],
    ) -> Vec<(Rpc, Step)> {
        self.outcomes.offered += arrivals.len() as u64;
        arrivals.iter().for_each(|rpc| self.tally.offer(rpc.arrived));
        let held = std::mem::take(&mut self.held);
        let mut steps = Vec::new();
        for rpc in arrivals.iter().copied().chain(held) {
            let own = tables.map(|tables| tables[rpc.proxy][rpc.slice]);
            let table = own.unwrap_or_else(|| world.table(rpc.proxy, rpc.slice));
            let step = self.arrive(world, rpc, table);
            if matches!(step, Step::Held) {
                self.held.push_back(rpc);
            }
            steps.push((rpc, step));
        }
        steps
    }

    fn arrive(&mut self, world: &mut World, rpc: Rpc, table: Table) -> Step {
        let may_write = !CLASSES[rpc.class].writes || world.may_write(rpc.proxy, rpc.slice);
        let Some(server) = table.server.filter(|_| self.plane == Plane::Reference || may_write) else {
            if world.now() < rpc.held_until {
                return Step::Held;
            }
            self.outcomes.refused_no_owner += 1;
            self.tally.refuse(rpc.arrived);
            return Step::Refused;
        };
        if rpc.dice >= table.levels[rpc.class] {
            self.outcomes.refused_level += 1;
            self.tally.refuse(rpc.arrived);
            return Step::Refused;
        }
        self.send(world, rpc, server)
    }

    fn send(&mut self, world: &mut World, rpc: Rpc, server: usize) -> Step {
        let (now, deadline) = (world.now(), CLASSES[rpc.class].deadline);
        let state = &world.servers[server];
        match state.condition {
            Condition::Dead => {
                self.outcomes.refused_dead += 1;
                self.tally.refuse(rpc.arrived);
                Step::Sent { server, took: Duration::from_millis(1), failed: true }
            }
            Condition::Silent | Condition::Hang => {
                let is_silent = state.condition == Condition::Silent;
                self.outcomes.lost_silent += u64::from(is_silent);
                self.outcomes.lost_hang += u64::from(!is_silent);
                self.silences.sent(server, state.unwell_since.unwrap_or(now), now);
                self.lose(world, rpc, server, if is_silent { Cause::Silent } else { Cause::Hang });
                if self.plane == Plane::Judged {
                    world.servers[server].hold(now, now + deadline);
                }
                Step::Sent { server, took: deadline, failed: true }
            }
            Condition::Reset => {
                self.outcomes.lost_reset += 1;
                self.lose(world, rpc, server, Cause::Reset);
                Step::Sent { server, took: Duration::from_millis(1), failed: true }
            }
            Condition::Well | Condition::Mute => self.work(world, rpc, server, 1),
            Condition::Slow(times) => self.work(world, rpc, server, times),
        }
    }

    fn work(&mut self, world: &mut World, rpc: Rpc, server: usize, slow: u32) -> Step {
        let (now, class) = (world.now(), CLASSES[rpc.class]);
        let state = &mut world.servers[server];
        let cold = state.started.is_some_and(|at| now < at + WARM_AFTER);
        let work = rpc.work * slow * if cold { COLD } else { 1 };
        let Some(free) = state.workers[self.plane as usize].iter_mut().min() else { return Step::Refused };
        *free = (*free).max(now) + work;
        let took = *free - now;
        match took {
            took if took <= class.objective => self.outcomes.in_time += 1,
            took if took > class.deadline + LOST_AFTER => {
                self.outcomes.lost_overload += 1;
                let cause = if slow > 1 { Cause::Slow } else { Cause::Queue };
                self.lose(world, rpc, server, if cold { Cause::Cold } else { cause });
            }
            _ if slow > 1 => self.outcomes.late_slow += 1,
            _ => self.outcomes.late_overload += 1,
        }
        Step::Sent { server, took: took.min(class.deadline), failed: took > class.deadline }
    }

    fn lose(&mut self, world: &World, rpc: Rpc, server: usize, cause: Cause) {
        self.tally.lose(rpc.arrived);
        let stage = match self.plane {
            Plane::Judged => Some(Stage::of(world, &rpc, server, cause)),
            Plane::Reference => None,
        };
        self.lost.push(LostRpc { at: world.now(), rpc, server, cause, stage });
    }

    /// How many were lost, by cause and stage.
    pub fn lost_by_stage(&self) -> BTreeMap<Cause, BTreeMap<Stage, u64>> {
        let mut counts: BTreeMap<Cause, BTreeMap<Stage, u64>> = BTreeMap::new();
        for (cause, stage) in self.lost.iter().filter_map(|lost| Some((lost.cause, lost.stage?))) {
            *counts.entry(cause).or_default().entry(stage).or_default() += 1;
        }
        counts
    }
}
