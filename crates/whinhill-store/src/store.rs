//! The store interface that custody needs.

use std::time::Duration;

use whinhill::interface::SliceId;

use crate::record::{Identity, Record};

/// The result of a store operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The operation took effect.
    Done(T),
    /// The operation had no effect.
    NotDone(StoreError),
    /// The operation may or may not have taken effect. Callers must assume neither.
    Unknown(StoreError),
}

/// Why a store operation failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The connection could not be opened, or broke.
    #[error("store unreachable: {0}")]
    Unreachable(String),
    /// The exchange did not complete within its timeout.
    #[error("no reply from the store within {0:?}")]
    Timeout(Duration),
    /// The store replied with an error, or a command could not be encoded.
    #[error("command refused: {0}")]
    Refused(String),
    /// A reply did not match its command, or its content could not be parsed.
    #[error("unexpected reply from the store: {0}")]
    UnexpectedReply(String),
    /// The liveness key of the same assigner name is held by another incarnation.
    #[error("another incarnation of this assigner is still registered: {0}")]
    AlreadyRegistered(String),
    /// The liveness key has expired or belongs to another incarnation.
    #[error("the liveness key in the store no longer belongs to this assigner")]
    LeaseLost,
}

/// A compare-and-swap of one slice's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// The slice whose record is replaced.
    pub slice: SliceId,
    /// The record that must still be stored; `None` if none may exist.
    pub expected: Option<Record>,
    /// The record to store instead.
    pub new: Record,
}

/// A store of liveness keys, which expire unless they are renewed, and of one record for each slice.
pub trait Store: Send {
    /// Creates the liveness key of `identity`. Fails while a key of the same name exists.
    fn register(&mut self, identity: &Identity, ttl: Duration) -> Outcome<()>;

    /// Extends the liveness key by `ttl` from now. Fails if the key no longer belongs to `identity`.
    fn renew(&mut self, identity: &Identity, ttl: Duration) -> Outcome<()>;

    /// Deletes the liveness key if it still belongs to `identity`.
    fn deregister(&mut self, identity: &Identity) -> Outcome<()>;

    /// Returns the live assigners among `names`, and the records of all slices.
    fn read(&mut self, names: &[String], slices: usize) -> Outcome<(Vec<Identity>, Vec<Option<Record>>)>;

    /// Performs all of `swaps` if every record still is as expected, and none otherwise. Returns true if they were
    /// performed.
    fn compare_and_swap(&mut self, swaps: &[Swap]) -> Outcome<bool>;
}
