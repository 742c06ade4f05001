//! All that is asked of a store.

use std::time::Duration;

use whinhill::interface::SliceId;

use crate::record::{Identity, Record};

/// How an act on the store ended. An unknown one may have been done or not, and is taken for neither.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    Done(T),
    NotDone(StoreFault),
    Unknown(StoreFault),
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreFault {
    #[error("the store is out of reach: {0}")]
    Unreachable(String),
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    #[error("the store refuses: {0}")]
    Refused(String),
    #[error("an answer that was not asked for: {0}")]
    OutOfStep(String),
    #[error("another life of this assigner still counts as alive: {0}")]
    StillAlive(String),
    #[error("our sign of life is gone from the store")]
    LifeLost,
}

/// One record to be replaced, if it still is what was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    pub slice: SliceId,
    pub expected: Option<Record>,
    pub new: Record,
}

/// A store of signs of life, which end by themselves, and of one record a slice.
pub trait Store: Send {
    /// Begins a life: fails while another of the same name counts as alive.
    fn appear(&mut self, me: &Identity, ttl: Duration) -> Outcome<()>;

    /// Renews it: fails when the sign is no longer ours.
    fn renew(&mut self, me: &Identity, ttl: Duration) -> Outcome<()>;

    /// Ends it in order.
    fn vanish(&mut self, me: &Identity) -> Outcome<()>;

    /// Which of the named assigners count as alive, and the records of all slices.
    fn read(&mut self, names: &[String], slices: usize) -> Outcome<(Vec<Identity>, Vec<Option<Record>>)>;

    /// Replaces each record that is still what was expected: all of them or none, and true if all.
    fn swap(&mut self, swaps: &[Swap]) -> Outcome<bool>;
}
