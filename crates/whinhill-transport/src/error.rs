//! How a call can fail, and what that proves.

use std::io;
use std::time::Duration;

/// gRPC status codes that this program uses; others are kept as their number.
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

/// Why a try is known not to have run at the server. Nothing else is proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NeverRan {
    /// No connection could be opened.
    NoConnection,
    /// This system had no socket, port or route to try it with: the peer was not asked.
    NotTried,
    /// The connection ended before the request's first byte was handed to it.
    NeverWritten,
    /// The server reset the stream with REFUSED_STREAM (RFC 9113, 8.7).
    RefusedStream,
    /// The server's GOAWAY names a last stream below this one (RFC 9113, 6.8).
    AboveGoAway,
}

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
    #[error("a message of {size} bytes; {most} are allowed")]
    TooLarge { size: usize, most: usize },
    #[error("malformed: {0}")]
    Malformed(&'static str),
    #[error("{0}")]
    Io(#[from] io::Error),
}

impl CallError {
    /// Reads what `h2` says of an ended stream. `sent` tells whether the request was handed to the connection.
    pub(crate) fn of(error: h2::Error, sent: bool) -> Self {
        let refused = error.reason() == Some(h2::Reason::REFUSED_STREAM);
        if error.is_remote() && error.is_reset() && refused {
            CallError::NeverRan(NeverRan::RefusedStream)
        } else if error.is_go_away() && error.is_remote() {
            // h2 gives this error only to streams above the last one that GOAWAY names.
            CallError::NeverRan(NeverRan::AboveGoAway)
        } else if !sent {
            CallError::NeverRan(NeverRan::NeverWritten)
        } else {
            CallError::Reset(error.to_string())
        }
    }

    /// What fails after the answer's head has come did run, whatever the server says of it: found by drawing what a
    /// server may send (`tests/ends.rs`).
    pub(crate) fn begun(self) -> Self {
        match self {
            CallError::NeverRan(said) => CallError::Reset(format!("{said:?}, though it had begun to answer")),
            other => other,
        }
    }

    /// Reads what `h2` says of a stream that ended after its answer's head.
    pub(crate) fn broken(error: h2::Error) -> Self {
        CallError::of(error, true).begun()
    }

    pub fn never_ran(&self) -> Option<NeverRan> {
        match self {
            CallError::NeverRan(proof) => Some(*proof),
            _ => None,
        }
    }
}
