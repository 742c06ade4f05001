//! What a peer may ask of us.

use std::time::Duration;

/// Bounds on every connection and on all of them. Sizes in bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The longest gRPC message taken in.
    pub message_most: usize,
    /// All headers of a message together, as HTTP/2 counts them.
    pub headers_most: u32,
    /// Streams that a peer may have open on a connection.
    pub streams_most: u32,
    /// Connections that a listener holds; further ones are closed at once.
    pub connections_most: usize,
    /// From the accepted or opened socket to the peer's settings.
    pub handshake: Duration,
    /// A connection without streams is closed after this.
    pub idle: Duration,
    /// A ping goes out when nothing was read for this long.
    pub keep_alive: Duration,
    /// The ping must be answered within this.
    pub keep_alive_answer: Duration,
    /// Flow-control window of a stream, and a sixteenth of a connection's.
    pub window: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            message_most: 4 << 20,
            headers_most: 16 << 10,
            streams_most: 256,
            connections_most: 4096,
            handshake: Duration::from_secs(5),
            idle: Duration::from_secs(60),
            keep_alive: Duration::from_secs(5),
            keep_alive_answer: Duration::from_secs(3),
            window: 64 << 10,
        }
    }
}
