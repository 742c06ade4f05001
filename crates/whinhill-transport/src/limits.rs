//! Limits on what a peer may use.

use std::time::Duration;

/// Limits for each connection and for a listener as a whole. Sizes are in bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a received gRPC message.
    pub max_message: usize,
    /// Maximum size of all headers of a message, as HTTP/2 counts them.
    pub max_headers: u32,
    /// Maximum number of streams that a peer may have open on a connection.
    pub max_streams: u32,
    /// Maximum number of connections of a listener; further ones are closed at once.
    pub max_connections: usize,
    /// Time limit from the accepted or connected socket until the peer's SETTINGS frame.
    pub handshake: Duration,
    /// A connection without streams is closed after this time.
    pub idle: Duration,
    /// A ping is sent when nothing was read for this time.
    pub keep_alive: Duration,
    /// Time limit for the answer to a ping.
    pub keep_alive_timeout: Duration,
    /// Initial flow-control window of a stream, and the most unsent data that is kept for one; a connection's window is
    /// sixteen times as large.
    pub window: u32,
    /// Memory of the process. The incoming calls of a listener may take [`CALLS_FRACTION`] of it; a call past the share
    /// of its connection is refused with REFUSED_STREAM.
    pub memory: usize,
    /// Memory that an incoming call is reckoned to take besides its head and its messages.
    pub call_memory: usize,
}

/// Memory that is assumed where nothing else is configured.
pub const DEFAULT_MEMORY: usize = 192 << 20;
/// The fraction of the memory that the incoming calls of a listener may take.
pub const CALLS_FRACTION: f64 = 0.5;
/// The fraction of the memory that parts of their messages may take.
pub const MESSAGES_FRACTION: f64 = 0.25;

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_message: 4 << 20,
            max_headers: 16 << 10,
            max_streams: 256,
            max_connections: 4096,
            handshake: Duration::from_secs(5),
            idle: Duration::from_secs(60),
            keep_alive: Duration::from_secs(5),
            keep_alive_timeout: Duration::from_secs(3),
            window: 64 << 10,
            memory: DEFAULT_MEMORY,
            call_memory: 48 << 10,
        }
    }
}
