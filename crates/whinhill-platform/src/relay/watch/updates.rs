//! What the watch stream reports, and why it is closed.

use std::time::Duration;

use whinhill::interface::{Event, ProxyId, SliceId};

use crate::lines::TooLong;

/// Why a connection must be closed.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// A line exceeds the maximum length.
    #[error("{0}")]
    Line(#[from] TooLong),
    /// A line is not part of the protocol; the value is its beginning.
    #[error("malformed line: {0:?}")]
    Malformed(String),
    /// The relay did not accept the request; the value is the beginning of its answer.
    #[error("request refused: {0}")]
    Refused(String),
    /// Custody has changed on the current connection since this one was opened. Its snapshot may be older than the
    /// change, which it would undo and then report again, without the lines that we have set meanwhile.
    #[error("custody changed while the snapshot was received")]
    Outdated,
}

/// A change that the watch stream reports.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchUpdate {
    /// An event for the assigner.
    Event(Event),
    /// A proxy has acknowledged the orders up to an ack request.
    Acked {
        /// The proxy that answered.
        proxy: ProxyId,
        /// The ack sequence number of the request.
        ack_seq: u16,
        /// Transit time from the call to the relay until the orders took effect at the proxy.
        transit: Duration,
        /// It was reported in sequence with joins and breaks of proxies: what is reported later has happened later.
        /// This does not hold for a connection to a new address, nor before the snapshot after a break is complete.
        in_sequence: bool,
    },
    /// A slice of ours that another assigner may have held while the stream was broken. It is treated as if it had
    /// been acquired now.
    Reacquired {
        /// The slice.
        slice: SliceId,
        /// The store holds another line than the one we knew.
        line_differs: bool,
    },
    /// The store holds a line besides the owner's. Where slices are not exclusive, so that a slice may have more than
    /// one line, an assigner that died between a grant and the removal of the former line leaves both.
    ExtraLine {
        /// The slice.
        slice: SliceId,
        /// The server that the additional line names.
        server: String,
    },
    /// The snapshot is complete.
    SnapshotComplete {
        /// The snapshot follows a break in which acks may have been lost.
        after_break: bool,
    },
}
