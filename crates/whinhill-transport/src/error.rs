//! How a call can fail, and which failures prove that it did not run at the server.

use std::io;
use std::time::Duration;

/// gRPC status codes that this project uses; others keep their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    Ok,
    Cancelled,
    InvalidArgument,
    DeadlineExceeded,
    ResourceExhausted,
    FailedPrecondition,
    Aborted,
    Unimplemented,
    Internal,
    Unavailable,
    Other(u16),
}

impl Code {
    /// The code's number on the wire.
    pub fn number(self) -> u16 {
        match self {
            Code::Ok => 0,
            Code::Cancelled => 1,
            Code::InvalidArgument => 3,
            Code::DeadlineExceeded => 4,
            Code::ResourceExhausted => 8,
            Code::FailedPrecondition => 9,
            Code::Aborted => 10,
            Code::Unimplemented => 12,
            Code::Internal => 13,
            Code::Unavailable => 14,
            Code::Other(number) => number,
        }
    }

    /// The code of a number on the wire.
    pub fn from_number(number: u16) -> Self {
        match number {
            0 => Code::Ok,
            1 => Code::Cancelled,
            3 => Code::InvalidArgument,
            4 => Code::DeadlineExceeded,
            8 => Code::ResourceExhausted,
            9 => Code::FailedPrecondition,
            10 => Code::Aborted,
            12 => Code::Unimplemented,
            13 => Code::Internal,
            14 => Code::Unavailable,
            other => Code::Other(other),
        }
    }
}

/// Why a try is known not to have run at the server. No other failure proves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NeverRan {
    /// No connection could be opened.
    NoConnection,
    /// The local system had no socket, port or route for it: the peer was not contacted.
    NotTried,
    /// The connection ended before the first byte of the request was handed to it.
    NeverWritten,
    /// The server reset the stream with REFUSED_STREAM (RFC 9113, 8.7).
    RefusedStream,
    /// The server's GOAWAY names a last stream below this one (RFC 9113, 6.8).
    AboveGoAway,
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    #[error("never ran at the server: {0:?}")]
    NeverRan(NeverRan),
    #[error("no answer within {0:?}")]
    Deadline(Duration),
    #[error("the peer ended the stream: {0}")]
    Reset(String),
    #[error("status {}: {message}", code.number())]
    Status { code: Code, message: String },
    #[error("a message of {size} bytes; {max} are allowed")]
    TooLarge { size: usize, max: usize },
    /// The connection already holds its share of the memory for calls.
    #[error("no memory for a message of {size} bytes or more")]
    NoMemory { size: usize },
    #[error("malformed: {0}")]
    Malformed(&'static str),
    #[error("{0}")]
    Io(#[from] io::Error),
}

impl CallError {
    /// Converts the error of an ended stream. `sent` says whether the request was handed to the connection.
    pub(crate) fn from_h2(error: h2::Error, sent: bool) -> Self {
        let refused = error.reason() == Some(h2::Reason::REFUSED_STREAM);
        if error.is_remote() && error.is_reset() && refused {
            CallError::NeverRan(NeverRan::RefusedStream)
        } else if error.is_go_away() && error.is_remote() {
            // `h2` gives this error only to streams above the last one that GOAWAY names.
            CallError::NeverRan(NeverRan::AboveGoAway)
        } else if !sent {
            CallError::NeverRan(NeverRan::NeverWritten)
        } else {
            CallError::Reset(error.to_string())
        }
    }

    /// Converts an error that occurred after the answer's head had arrived: the call did run, whatever the
    /// server says. Without this, `tests/call_endings.rs` finds servers that answer and then claim that nothing
    /// ran.
    pub(crate) fn after_head(self) -> Self {
        match self {
            CallError::NeverRan(claim) => {
                CallError::Reset(format!("{claim:?}, though it had begun to answer"))
            }
            other => other,
        }
    }

    /// Converts the error of a stream that ended after its answer's head.
    pub(crate) fn from_h2_after_head(error: h2::Error) -> Self {
        CallError::from_h2(error, true).after_head()
    }

    /// The proof that the call did not run at the server, if there is one.
    pub fn never_ran(&self) -> Option<NeverRan> {
        match self {
            CallError::NeverRan(proof) => Some(*proof),
            _ => None,
        }
    }
}
