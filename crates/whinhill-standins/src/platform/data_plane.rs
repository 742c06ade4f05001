//! One data plane of the soak: the same arrivals meet the plane's own tables and its own worker
//! queues at the servers.
//!
//! There are two planes: the tested one, whose tables the assigners order, and the reference, whose
//! tables [`ReferencePolicy`](super::reference::ReferencePolicy) orders.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::Serialize;

use super::admission::AdmissionControl;
use super::detection_times::DetectionTimes;
use super::lost_rpcs::{Cause, LostRpc, Stage};
use super::parameters::{CLASSES, LOST_THRESHOLD, WARM_UP_DURATION};
use super::rpc_shares::WindowedCounts;
use super::site::AdmissionMode;
use super::state::{Condition, PlatformState, Table};

/// The factor by which a cold server is slower.
pub const COLD_SLOWDOWN: u32 = 2;

/// Which of the two data planes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plane {
    Tested,
    Reference,
}

/// The number of data planes.
pub const PLANE_COUNT: usize = 2;

/// An RPC, drawn once for both planes.
#[derive(Clone, Copy, Debug)]
pub struct Rpc {
    pub arrived: Duration,
    /// Until when a proxy without a line holds the RPC.
    pub held_until: Duration,
    pub slice: usize,
    pub proxy: usize,
    pub class: usize,
    /// The work at a healthy and warm server.
    pub work: Duration,
    /// The RPC is admitted if its level is above this.
    pub admission_draw: f64,
}

/// Counts of RPCs by outcome and cause.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Outcomes {
    pub offered: u64,
    pub in_time: u64,
    /// Answered after the soft deadline.
    pub late_overload: u64,
    pub late_slow: u64,
    /// Answered later than [`LOST_THRESHOLD`] after the deadline, or never.
    pub lost_overload: u64,
    pub lost_silent: u64,
    pub lost_hang: u64,
    pub lost_reset: u64,
    /// Refused before anything was executed.
    pub refused_level: u64,
    pub refused_no_owner: u64,
    pub refused_dead: u64,
}

impl Outcomes {
    /// Lost RPCs of all causes.
    pub fn lost(&self) -> u64 {
        self.lost_overload + self.lost_silent + self.lost_hang + self.lost_reset
    }

    /// Refused RPCs of all causes.
    pub fn refused(&self) -> u64 {
        self.refused_level + self.refused_no_owner + self.refused_dead
    }
}

/// What a proxy did with an RPC.
#[derive(Clone, Copy, Debug)]
pub enum Disposition {
    Held,
    Refused,
    Sent { server: usize, took: Duration, failed: bool },
}

/// The proxies of one plane and the outcomes of their RPCs.
pub struct DataPlane {
    plane: Plane,
    admission: AdmissionControl,
    held: VecDeque<Rpc>,
    pub outcomes: Outcomes,
    pub counts: WindowedCounts,
    pub lost: Vec<LostRpc>,
    pub detection_times: DetectionTimes,
}

impl DataPlane {
    /// Creates a plane without RPCs.
    pub fn new(plane: Plane) -> Self {
        DataPlane {
            plane,
            admission: AdmissionControl::default(),
            held: VecDeque::new(),
            outcomes: Outcomes::default(),
            counts: WindowedCounts::default(),
            lost: Vec::new(),
            detection_times: DetectionTimes::default(),
        }
    }

    /// Processes the RPCs that arrive and those that are held; returns each with what its proxy
    /// did.
    pub fn process(
        &mut self,
        platform: &mut PlatformState,
        tables: Option<&[Vec<Table>]>,
        arrivals: &[Rpc],
    ) -> Vec<(Rpc, Disposition)> {
        self.outcomes.offered += arrivals.len() as u64;
        arrivals.iter().for_each(|rpc| self.counts.count_offered(rpc.arrived));
        let held = std::mem::take(&mut self.held);
        let mut dispositions = Vec::new();
        for rpc in arrivals.iter().copied().chain(held) {
            let own = tables.map(|tables| tables[rpc.proxy][rpc.slice]);
            let table = own.unwrap_or_else(|| platform.table(rpc.proxy, rpc.slice));
            let disposition = self.dispatch(platform, rpc, table);
            if matches!(disposition, Disposition::Held) {
                self.held.push_back(rpc);
            }
            dispositions.push((rpc, disposition));
        }
        dispositions
    }

    fn dispatch(&mut self, platform: &mut PlatformState, rpc: Rpc, table: Table) -> Disposition {
        let may_write = !CLASSES[rpc.class].writes || platform.may_write(rpc.proxy, rpc.slice);
        let Some(server) = table.server.filter(|_| self.plane == Plane::Reference || may_write) else {
            if platform.now() < rpc.held_until {
                return Disposition::Held;
            }
            self.outcomes.refused_no_owner += 1;
            self.counts.count_refused(rpc.arrived);
            return Disposition::Refused;
        };
        // The levels of the reference are shares whatever the site's are.
        let mode =
            if self.plane == Plane::Tested { platform.site.admission } else { AdmissionMode::default() };
        if !self.admission.admits(mode, platform.now(), &rpc, table.levels[rpc.class]) {
            self.outcomes.refused_level += 1;
            self.counts.count_refused(rpc.arrived);
            return Disposition::Refused;
        }
        self.send(platform, rpc, server)
    }

    fn send(&mut self, platform: &mut PlatformState, rpc: Rpc, server: usize) -> Disposition {
        let (now, deadline) = (platform.now(), CLASSES[rpc.class].deadline);
        let state = &platform.servers[server];
        match state.condition {
            Condition::Dead => {
                self.outcomes.refused_dead += 1;
                self.counts.count_refused(rpc.arrived);
                Disposition::Sent { server, took: Duration::from_millis(1), failed: true }
            }
            Condition::Silent | Condition::Hang => {
                let is_silent = state.condition == Condition::Silent;
                self.outcomes.lost_silent += u64::from(is_silent);
                self.outcomes.lost_hang += u64::from(!is_silent);
                self.detection_times.record(server, state.unhealthy_since.unwrap_or(now), now);
                self.record_lost(platform, rpc, server, if is_silent { Cause::Silent } else { Cause::Hang });
                if self.plane == Plane::Tested {
                    platform.servers[server].hold_unanswered(now, now + deadline);
                }
                Disposition::Sent { server, took: deadline, failed: true }
            }
            Condition::Reset => {
                self.outcomes.lost_reset += 1;
                self.record_lost(platform, rpc, server, Cause::Reset);
                Disposition::Sent { server, took: Duration::from_millis(1), failed: true }
            }
            Condition::Well | Condition::Mute => self.work(platform, rpc, server, 1),
            Condition::Slow(times) => self.work(platform, rpc, server, times),
        }
    }

    fn work(&mut self, platform: &mut PlatformState, rpc: Rpc, server: usize, slow: u32) -> Disposition {
        let (now, class) = (platform.now(), CLASSES[rpc.class]);
        let state = &mut platform.servers[server];
        let cold = state.started.is_some_and(|at| now < at + WARM_UP_DURATION);
        let work = rpc.work * slow * if cold { COLD_SLOWDOWN } else { 1 };
        let Some(free) = state.workers[self.plane as usize].iter_mut().min() else {
            return Disposition::Refused;
        };
        *free = (*free).max(now) + work;
        let took = *free - now;
        match took {
            took if took <= class.objective => self.outcomes.in_time += 1,
            took if took > class.deadline + LOST_THRESHOLD => {
                self.outcomes.lost_overload += 1;
                let cause = if slow > 1 { Cause::Slow } else { Cause::Queue };
                self.record_lost(platform, rpc, server, if cold { Cause::Cold } else { cause });
            }
            _ if slow > 1 => self.outcomes.late_slow += 1,
            _ => self.outcomes.late_overload += 1,
        }
        Disposition::Sent { server, took: took.min(class.deadline), failed: took > class.deadline }
    }

    fn record_lost(&mut self, platform: &PlatformState, rpc: Rpc, server: usize, cause: Cause) {
        self.counts.count_lost(rpc.arrived);
        let stage = match self.plane {
            Plane::Tested => Some(Stage::classify(platform, &rpc, server, cause)),
            Plane::Reference => None,
        };
        self.lost.push(LostRpc { at: platform.now(), rpc, server, cause, stage });
    }

    /// Counts lost RPCs by cause and stage.
    pub fn lost_by_stage(&self) -> BTreeMap<Cause, BTreeMap<Stage, u64>> {
        let mut counts: BTreeMap<Cause, BTreeMap<Stage, u64>> = BTreeMap::new();
        for (cause, stage) in self.lost.iter().filter_map(|lost| Some((lost.cause, lost.stage?))) {
            *counts.entry(cause).or_default().entry(stage).or_default() += 1;
        }
        counts
    }
}
