//! What is known of orders for the lines of slices.

use whinhill::interface::SliceId;

/// A line that the store is known to have set or removed.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfirmedLine {
    /// The slice that the line belongs to.
    pub slice: SliceId,
    /// The server that the line names.
    pub server: String,
    /// Whether the line was set; otherwise it was removed.
    pub on: bool,
}

/// What was still pending for a slice when the watch stream came back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PendingWork {
    /// Nothing.
    Nothing,
    /// A call that sets the line is in flight and will determine it.
    CallInFlight,
    /// A handover, or queued orders for the line. An assigner that held the slice in the meantime has undone what they
    /// are based on: the levels were reset, and proxies may be writing again to the former owner, to which they had
    /// stopped writing.
    Handover,
}
