//! Rollback to an older set, without ever giving a slice to a former owner while a later owner still has it. No I/O.
//!
//! A rollback publishes nothing by itself. Owners change only by the module's handover (stop writes, wait for every
//! proxy's answer or the end of its lease, settle, grant). So for each slice with another owner a *move* is requested,
//! which the module performs within the spare capacity, the budgets of cold servers and the channel's rate. The
//! result is always a new version with old content.
//!
//! A rollback changes no levels. Lowering them at once would be safe at any owner, since it admits less;
//! [`lowered_levels`] finds the slices concerned, whose number the operator is shown. Raising them is left to the
//! module, which knows what the owner can take now.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use whinhill::interface::SliceId;

use crate::table::{ServerName, TableSet};

/// The state of a server, as far as the assigner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerStatus {
    /// It can take slices.
    Ready,
    /// It is warming up and receives slices gradually.
    Cold,
    /// It is unhealthy.
    Sick,
    /// It is draining.
    Draining,
    /// It has left.
    Gone,
    /// No list has named it.
    Unknown,
}

impl ServerStatus {
    /// Whether the server may become ready later.
    fn is_transient(self) -> bool {
        matches!(self, ServerStatus::Cold | ServerStatus::Sick)
    }
}

/// Why a slice is not rolled back, or not now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// This assigner does not have custody of the slice; the one that has must be asked.
    NotOurs,
    /// In the older set the slice is absent or has no owner.
    NoOwnerThen,
    /// The server can't take the slice.
    Server { server: ServerName, standing: ServerStatus },
    /// A handover of the slice is in progress. The move is considered again when it has ended.
    HandoverUnderWay,
    /// Custody of the slice ended during the rollback.
    CustodyLost,
    /// A later rollback includes the slice.
    Superseded { by: u64 },
    /// The module found no spare capacity for the slice in this time.
    NoRoom { within: Duration },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::NotOurs => write!(f, "another assigner has custody of the slice"),
            Reason::NoOwnerThen => write!(f, "the slice had no owner in that set"),
            Reason::Server { server, standing } => {
                let what = match standing {
                    ServerStatus::Ready => "ready",
                    ServerStatus::Cold => "cold: it receives slices as it warms up",
                    ServerStatus::Sick => "sick",
                    ServerStatus::Draining => "draining",
                    ServerStatus::Gone => "gone",
                    ServerStatus::Unknown => "in no list",
                };
                write!(f, "server {server} is {what}")
            }
            Reason::HandoverUnderWay => write!(f, "a handover is in progress"),
            Reason::CustodyLost => write!(f, "custody of the slice ended"),
            Reason::Superseded { by } => write!(f, "superseded by rollback {by}"),
            Reason::NoRoom { within } => write!(f, "no spare capacity was found within {within:?}"),
        }
    }
}

/// The planned action of a rollback for one slice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlannedAction {
    /// Nothing to do: the slice has the wanted owner.
    Stands,
    /// The slice moves to `to`.
    Move { to: ServerName },
    /// The slice moves to `to` later.
    PutOff { to: ServerName, why: Reason },
    /// The slice is not rolled back.
    Refused(Reason),
}

/// What the assigner knows of servers and handovers when a rollback is evaluated.
pub trait ServerView {
    /// The state of a server.
    fn server_status(&self, server: &str) -> ServerStatus;
    /// Whether a handover of the slice is in progress.
    fn has_handover(&self, slice: SliceId) -> bool;
}

/// Plans a rollback from the set `current` to the set `old`: for each of the given slices, or by default for all slices
/// of both sets, the action that it would take.
pub fn dry_run(
    old: &TableSet,
    current: &TableSet,
    slices: Option<&BTreeSet<SliceId>>,
    fleet: &impl ServerView,
) -> BTreeMap<SliceId, PlannedAction> {
    let all: BTreeSet<SliceId> =
        slices.cloned().unwrap_or_else(|| old.keys().chain(current.keys()).copied().collect());
    all.into_iter().map(|slice| (slice, plan_slice(slice, old, current, fleet))).collect()
}

/// Plans the action for one slice.
fn plan_slice(slice: SliceId, old: &TableSet, current: &TableSet, fleet: &impl ServerView) -> PlannedAction {
    let Some(table) = current.get(&slice) else { return PlannedAction::Refused(Reason::NotOurs) };
    let Some(to) = old.get(&slice).and_then(|table| table.owner.clone()) else {
        return PlannedAction::Refused(Reason::NoOwnerThen);
    };
    let standing = fleet.server_status(&to);
    if standing != ServerStatus::Ready && !standing.is_transient() {
        return PlannedAction::Refused(Reason::Server { server: to, standing });
    }
    if fleet.has_handover(slice) {
        return PlannedAction::PutOff { to, why: Reason::HandoverUnderWay };
    }
    if table.owner.as_ref() == Some(&to) {
        return PlannedAction::Stands;
    }
    if standing != ServerStatus::Ready {
        return PlannedAction::PutOff { to: to.clone(), why: Reason::Server { server: to, standing } };
    }
    PlannedAction::Move { to }
}

/// The levels that could safely be lowered at once (a rollback does not do it): for each slice whose owner is the
/// same in both sets, the lower one of the old and the current share of each method, if any is lower than now.
pub fn lowered_levels(
    old: &TableSet,
    current: &TableSet,
    slices: Option<&BTreeSet<SliceId>>,
) -> BTreeMap<SliceId, Vec<f64>> {
    let wanted = |slice: &SliceId| slices.is_none_or(|only| only.contains(slice));
    let mut levels = BTreeMap::new();
    for (slice, table) in current.iter().filter(|(slice, _)| wanted(slice)) {
        let Some(before) = old.get(slice).filter(|before| before.owner == table.owner) else { continue };
        if before.shares.len() != table.shares.len() {
            continue;
        }
        let lower: Vec<f64> =
            table.shares.iter().zip(&before.shares).map(|(current, old)| current.min(*old)).collect();
        if lower != table.shares {
            levels.insert(*slice, lower);
        }
    }
    levels
}

/// The state of the move of one slice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum MoveState {
    /// To be requested from the module as soon as nothing prevents it.
    Open { to: ServerName },
    /// Requested from the module.
    Handed { to: ServerName },
    /// The slice has the wanted owner.
    Done,
    /// The move was given up.
    Abandoned(Reason),
}

/// A rollback in progress, until the move of every slice is done or abandoned. It is stored, and resumed after a
/// restart: the set shows which moves are done, and the others are requested from the module again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollback {
    /// Identifies the rollback; a later one has a greater id.
    pub id: u64,
    /// The number of the set to roll back to.
    pub to: u64,
    /// The operator who requested it.
    pub by: String,
    /// When moves that are not done are abandoned, on the assigner's clock. The clock is that of the process in which
    /// the rollback was requested or last resumed.
    #[serde(rename = "until")]
    expires_at: Duration,
    /// The time limit that `expires_at` was computed from.
    #[serde(rename = "within")]
    time_limit: Duration,
    /// Whether it was resumed after a restart: custody of its slices then returns one by one.
    #[serde(rename = "recovered")]
    resumed: bool,
    #[serde(rename = "wishes")]
    moves: BTreeMap<SliceId, MoveState>,
}

/// The number of a rollback's moves in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Moves not yet requested from the module.
    pub open: usize,
    /// Moves requested from the module.
    pub handed: usize,
    /// Moves that are done.
    pub done: usize,
    /// Moves given up.
    pub abandoned: usize,
}

impl Rollback {
    /// Starts the rollback that [`dry_run`] planned, at `now`. Moves that are not done `within` that time are
    /// abandoned.
    pub fn new(
        id: u64,
        to: u64,
        by: &str,
        plan: &BTreeMap<SliceId, PlannedAction>,
        now: Duration,
        within: Duration,
    ) -> Self {
        let state = |verdict: &PlannedAction| match verdict.clone() {
            PlannedAction::Stands => MoveState::Done,
            PlannedAction::Move { to } | PlannedAction::PutOff { to, .. } => MoveState::Open { to },
            PlannedAction::Refused(why) => MoveState::Abandoned(why),
        };
        let moves = plan.iter().map(|(slice, verdict)| (*slice, state(verdict))).collect();
        Rollback {
            id,
            to,
            by: by.to_string(),
            expires_at: now + within,
            time_limit: within,
            resumed: false,
            moves,
        }
    }

    /// Evaluates all moves against the current set. Returns the moves to request from the module. Each is returned
    /// once, and again only after [`Rollback::reopen`] or [`Rollback::resume`].
    pub fn update(
        &mut self,
        now: Duration,
        set: &TableSet,
        fleet: &impl ServerView,
    ) -> Vec<(SliceId, ServerName)> {
        let mut requests = Vec::new();
        for (&slice, state) in &mut self.moves {
            let to = match state {
                MoveState::Open { to } | MoveState::Handed { to } => to.clone(),
                MoveState::Done | MoveState::Abandoned(_) => continue,
            };
            let standing = fleet.server_status(&to);
            let Some(table) = set.get(&slice) else {
                if self.resumed && now < self.expires_at {
                    continue;
                }
                *state = MoveState::Abandoned(Reason::CustodyLost);
                continue;
            };
            let in_handover = fleet.has_handover(slice);
            if !in_handover && table.owner.as_ref() == Some(&to) {
                *state = MoveState::Done;
            } else if standing != ServerStatus::Ready && !standing.is_transient() {
                *state = MoveState::Abandoned(Reason::Server { server: to, standing });
            } else if now >= self.expires_at && !in_handover {
                *state = MoveState::Abandoned(Reason::NoRoom { within: self.time_limit });
            } else if matches!(state, MoveState::Open { .. })
                && !in_handover
                && standing == ServerStatus::Ready
            {
                *state = MoveState::Handed { to: to.clone() };
                requests.push((slice, to));
            }
        }
        requests
    }

    /// Abandons the move of a slice whose custody was acquired since the start and has ended.
    pub fn custody_ended(&mut self, slice: SliceId) {
        if let Some(state @ (MoveState::Open { .. } | MoveState::Handed { .. })) = self.moves.get_mut(&slice)
        {
            *state = MoveState::Abandoned(Reason::CustodyLost);
        }
    }

    /// The moves requested from the module: slices and their wanted owners.
    pub fn requested_moves(&self) -> impl Iterator<Item = (SliceId, &ServerName)> {
        self.moves.iter().filter_map(|(slice, state)| match state {
            MoveState::Handed { to } => Some((*slice, to)),
            _ => None,
        })
    }

    /// Notes that the module dropped the requested move of a slice. It is requested again later.
    pub fn reopen(&mut self, slice: SliceId) {
        if let Some(state) = self.moves.get_mut(&slice) {
            if let MoveState::Handed { to } = state {
                *state = MoveState::Open { to: to.clone() };
            }
        }
    }

    /// Abandons the moves of all slices that a later rollback includes: only the newest move of a slice counts.
    pub fn supersede_by(&mut self, by: &Rollback) {
        for (slice, state) in &mut self.moves {
            if by.moves.contains_key(slice)
                && matches!(state, MoveState::Open { .. } | MoveState::Handed { .. })
            {
                *state = MoveState::Abandoned(Reason::Superseded { by: by.id });
            }
        }
    }

    /// Resumes the rollback after a restart of the assigner. Its clock starts anew, so the time limit does, too. The
    /// module does not know of earlier requests, so they are made again.
    pub fn resume(&mut self, now: Duration) {
        (self.expires_at, self.resumed) = (now + self.time_limit, true);
        let slices: Vec<SliceId> = self.moves.keys().copied().collect();
        slices.into_iter().for_each(|slice| self.reopen(slice));
    }

    /// The number of moves in each state.
    pub fn progress(&self) -> Progress {
        let mut progress = Progress::default();
        for state in self.moves.values() {
            match state {
                MoveState::Open { .. } => progress.open += 1,
                MoveState::Handed { .. } => progress.handed += 1,
                MoveState::Done => progress.done += 1,
                MoveState::Abandoned(_) => progress.abandoned += 1,
            }
        }
        progress
    }

    /// Whether every move is done or abandoned.
    pub fn finished(&self) -> bool {
        let progress = self.progress();
        progress.open + progress.handed == 0
    }

    /// The abandoned moves: slices and reasons.
    pub fn abandoned(&self) -> impl Iterator<Item = (SliceId, &Reason)> {
        self.moves.iter().filter_map(|(slice, state)| match state {
            MoveState::Abandoned(why) => Some((*slice, why)),
            _ => None,
        })
    }
}

#[cfg(test)]
mod tests;
