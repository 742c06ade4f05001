//! The phases of a connection.

/// How much of the state has been received on a connection.
#[derive(Debug, PartialEq)]
pub(super) enum Phase {
    /// The request was sent and is not yet answered.
    Requested,
    /// The snapshot is being received. It ends with the first heartbeat.
    Snapshot,
    /// The snapshot is complete; each line reports a change.
    Live,
}
