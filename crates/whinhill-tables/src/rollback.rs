//! The way back to an older set, without ever handing a slice to a former owner behind a later one. No I/O.
//!
//! A rollback publishes nothing by itself. Owners change only by the module's handover (stop, every answer or
//! lease end, settle, grant), so each slice that should be elsewhere becomes a *wish*, which the module carries
//! out within its room, cold budgets and channel. Levels may be tightened at once, since letting in less is safe
//! at any owner; opening them is left to the module, which knows what the owner can take now. What results is
//! always a new version with old content.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use whinhill::interface::SliceId;

use crate::table::{ServerName, TableSet};

/// How a server stands, as far as the assigner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    Ready,
    Cold,
    Sick,
    Draining,
    Gone,
    /// No list has named it.
    Unknown,
}

impl Standing {
    /// Whether waiting may help.
    fn may_pass(self) -> bool {
        matches!(self, Standing::Cold | Standing::Sick)
    }
}

/// Why a slice does not go back, or not now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// Custody of it is not ours; whoever is in charge must be asked.
    NotOurs,
    /// It was not ours then, or had no owner.
    NoOwnerThen,
    Server {
        server: ServerName,
        standing: Standing,
    },
    /// A handover is under way: it ends first, and then the wish is looked at again.
    HandoverUnderWay,
    /// Custody ended while the rollback was under way.
    CustodyLost,
    /// A later rollback wants the slice elsewhere.
    Superseded {
        by: u64,
    },
    /// The module found no room for it in this time.
    NoRoom {
        within: Duration,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::NotOurs => write!(f, "another assigner is in charge of it"),
            Reason::NoOwnerThen => write!(f, "it had no owner in that set"),
            Reason::Server { server, standing } => {
                let what = match standing {
                    Standing::Ready => "ready",
                    Standing::Cold => "cold: it gets slices as it warms",
                    Standing::Sick => "sick",
                    Standing::Draining => "draining",
                    Standing::Gone => "gone",
                    Standing::Unknown => "in no list",
                };
                write!(f, "server {server} is {what}")
            }
            Reason::HandoverUnderWay => write!(f, "a handover is under way"),
            Reason::CustodyLost => write!(f, "custody of it ended"),
            Reason::Superseded { by } => write!(f, "rollback {by} came after"),
            Reason::NoRoom { within } => write!(f, "no room was found within {within:?}"),
        }
    }
}

/// What a rollback would do to a slice: the dry run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Its owner is the wanted one.
    Stands,
    Move {
        to: ServerName,
    },
    PutOff {
        to: ServerName,
        why: Reason,
    },
    Refused(Reason),
}

/// What is known of the fleet when a rollback is looked at.
pub trait Fleet {
    fn standing(&self, server: &str) -> Standing;
    /// Whether a handover of the slice is under way.
    fn moving(&self, slice: SliceId) -> bool;
}

/// The dry run: what would move, what would wait, what can't be, for the slices named or all of the old set.
pub fn dry_run(
    old: &TableSet,
    now: &TableSet,
    slices: Option<&BTreeSet<SliceId>>,
    fleet: &impl Fleet,
) -> BTreeMap<SliceId, Verdict> {
    let all: BTreeSet<SliceId> =
        slices.cloned().unwrap_or_else(|| old.keys().chain(now.keys()).copied().collect());
    all.into_iter().map(|slice| (slice, verdict(slice, old, now, fleet))).collect()
}

fn verdict(slice: SliceId, old: &TableSet, now: &TableSet, fleet: &impl Fleet) -> Verdict {
    let Some(table) = now.get(&slice) else { return Verdict::Refused(Reason::NotOurs) };
    let Some(to) = old.get(&slice).and_then(|table| table.owner.clone()) else {
        return Verdict::Refused(Reason::NoOwnerThen);
    };
    let standing = fleet.standing(&to);
    if standing != Standing::Ready && !standing.may_pass() {
        return Verdict::Refused(Reason::Server { server: to, standing });
    }
    if fleet.moving(slice) {
        return Verdict::PutOff { to, why: Reason::HandoverUnderWay };
    }
    if table.owner.as_ref() == Some(&to) {
        return Verdict::Stands;
    }
    if standing != Standing::Ready {
        return Verdict::PutOff { to: to.clone(), why: Reason::Server { server: to, standing } };
    }
    Verdict::Move { to }
}

/// The levels that may be told at once: for each slice whose owner stands, the lower of what is and what was.
pub fn tightened(
    old: &TableSet,
    now: &TableSet,
    slices: Option<&BTreeSet<SliceId>>,
) -> BTreeMap<SliceId, Vec<f64>> {
    let wanted = |slice: &SliceId| slices.is_none_or(|only| only.contains(slice));
    let mut levels = BTreeMap::new();
    for (slice, table) in now.iter().filter(|(slice, _)| wanted(slice)) {
        let Some(before) = old.get(slice).filter(|before| before.owner == table.owner) else { continue };
        if before.shares.len() != table.shares.len() {
            continue;
        }
        let lower: Vec<f64> =
            table.shares.iter().zip(&before.shares).map(|(now, old)| now.min(*old)).collect();
        if lower != table.shares {
            levels.insert(*slice, lower);
        }
    }
    levels
}

/// Where a wish stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Wish {
    /// To be handed to the module as soon as nothing speaks against it.
    Open {
        to: ServerName,
    },
    /// The module has it.
    Handed {
        to: ServerName,
    },
    Done,
    Abandoned(Reason),
}

/// One rollback until every slice of it is done or abandoned. After a restart it is taken up from the same words:
/// what is done shows in the set, what is not is handed to the module once more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollback {
    pub id: u64,
    /// The number of the set that it leads back to.
    pub to: u64,
    pub by: String,
    /// On the clock of the life in which it was asked for or taken up.
    until: Duration,
    within: Duration,
    /// Taken up after a restart: custody of its slices comes back one by one.
    recovered: bool,
    wishes: BTreeMap<SliceId, Wish>,
}

/// How much of a rollback has come about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    pub open: usize,
    pub handed: usize,
    pub done: usize,
    pub abandoned: usize,
}

impl Rollback {
    /// Takes a dry run for an order, at `now`; what is not done `within` that span is abandoned.
    pub fn new(
        id: u64,
        to: u64,
        by: &str,
        run: &BTreeMap<SliceId, Verdict>,
        now: Duration,
        within: Duration,
    ) -> Self {
        let wish = |verdict: &Verdict| match verdict.clone() {
            Verdict::Stands => Wish::Done,
            Verdict::Move { to } | Verdict::PutOff { to, .. } => Wish::Open { to },
            Verdict::Refused(why) => Wish::Abandoned(why),
        };
        let wishes = run.iter().map(|(slice, verdict)| (*slice, wish(verdict))).collect();
        Rollback { id, to, by: by.to_string(), until: now + within, within, recovered: false, wishes }
    }

    /// Looks at what stands now. Returns the wishes to hand to the module: each once, until it has come about or
    /// the module has let it go.
    pub fn look(&mut self, now: Duration, set: &TableSet, fleet: &impl Fleet) -> Vec<(SliceId, ServerName)> {
        let mut hand = Vec::new();
        for (&slice, wish) in &mut self.wishes {
            let to = match wish {
                Wish::Open { to } | Wish::Handed { to } => to.clone(),
                Wish::Done | Wish::Abandoned(_) => continue,
            };
            let standing = fleet.standing(&to);
            let Some(table) = set.get(&slice) else {
                if self.recovered && now < self.until {
                    continue;
                }
                *wish = Wish::Abandoned(Reason::CustodyLost);
                continue;
            };
            let moving = fleet.moving(slice);
            if !moving && table.owner.as_ref() == Some(&to) {
                *wish = Wish::Done;
            } else if standing != Standing::Ready && !standing.may_pass() {
                *wish = Wish::Abandoned(Reason::Server { server: to, standing });
            } else if now >= self.until && !moving {
                *wish = Wish::Abandoned(Reason::NoRoom { within: self.within });
            } else if matches!(wish, Wish::Open { .. }) && !moving && standing == Standing::Ready {
                *wish = Wish::Handed { to: to.clone() };
                hand.push((slice, to));
            }
        }
        hand
    }

    /// Custody of a slice was ours in this life and has ended.
    pub fn taken(&mut self, slice: SliceId) {
        if let Some(wish @ (Wish::Open { .. } | Wish::Handed { .. })) = self.wishes.get_mut(&slice) {
            *wish = Wish::Abandoned(Reason::CustodyLost);
        }
    }

    /// Where the module was told that a slice should go.
    pub fn handed(&self) -> impl Iterator<Item = (SliceId, &ServerName)> {
        self.wishes.iter().filter_map(|(slice, wish)| match wish {
            Wish::Handed { to } => Some((*slice, to)),
            _ => None,
        })
    }

    /// The module could not carry a wish out now: it is handed again at a later look.
    pub fn put_back(&mut self, slice: SliceId) {
        if let Some(wish) = self.wishes.get_mut(&slice) {
            if let Wish::Handed { to } = wish {
                *wish = Wish::Open { to: to.clone() };
            }
        }
    }

    /// A later rollback names some of the same slices: of two wishes for a slice only the newer counts.
    pub fn superseded(&mut self, by: &Rollback) {
        for (slice, wish) in &mut self.wishes {
            if by.wishes.contains_key(slice) && matches!(wish, Wish::Open { .. } | Wish::Handed { .. }) {
                *wish = Wish::Abandoned(Reason::Superseded { by: by.id });
            }
        }
    }

    /// The assigner has started again, with another clock: it knows of no wish that it was handed before, and gives
    /// what is left its whole time once more.
    pub fn recovered(&mut self, now: Duration) {
        (self.until, self.recovered) = (now + self.within, true);
        let slices: Vec<SliceId> = self.wishes.keys().copied().collect();
        slices.into_iter().for_each(|slice| self.put_back(slice));
    }

    pub fn progress(&self) -> Progress {
        let mut progress = Progress::default();
        for wish in self.wishes.values() {
            match wish {
                Wish::Open { .. } => progress.open += 1,
                Wish::Handed { .. } => progress.handed += 1,
                Wish::Done => progress.done += 1,
                Wish::Abandoned(_) => progress.abandoned += 1,
            }
        }
        progress
    }

    pub fn finished(&self) -> bool {
        let progress = self.progress();
        progress.open + progress.handed == 0
    }

    /// What was abandoned, and why.
    pub fn abandoned(&self) -> impl Iterator<Item = (SliceId, &Reason)> {
        self.wishes.iter().filter_map(|(slice, wish)| match wish {
            Wish::Abandoned(why) => Some((*slice, why)),
            _ => None,
        })
    }
}

#[cfg(test)]
mod tests;
