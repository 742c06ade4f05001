//! The client for operators' requests to a running assigner.

use std::net::SocketAddr;
use std::time::Duration;

use whinhill_transport::{CallError, Client, Drivers, Limits};

use crate::operator_api::{OperatorRequest, OperatorResponse, OPERATOR_METHOD_PATH};

/// Longer than the assigner takes to report that it can't answer: it waits up to 10 s to queue the request and up to
/// 10 s for the answer (`OPERATOR_TIMEOUT`).
const CALL_TIMEOUT: Duration = Duration::from_secs(25);
/// The largest answer: a whole history is one message.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Why a request has no answer.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    #[error("{addr}: {error}")]
    Call { addr: SocketAddr, error: CallError },
    #[error("{addr}: the answer can't be read: {error}")]
    Answer { addr: SocketAddr, error: serde_json::Error },
    #[error("{0}")]
    Refused(String),
}

/// Sends a request to the assigner that listens for operators at `addr`. A refusal is an error.
pub fn send_request(
    addr: SocketAddr,
    request: &OperatorRequest,
    drivers: &Drivers,
) -> Result<OperatorResponse, RequestError> {
    let call_error = |error| RequestError::Call { addr, error };
    let limits = Limits { max_message: MAX_ANSWER_BYTES, ..Limits::default() };
    let client = Client::connect(addr, limits, drivers).map_err(call_error)?;
    let message = serde_json::to_vec(request).map_err(|error| RequestError::Answer { addr, error })?;
    let (answer, _) =
        client.unary(OPERATOR_METHOD_PATH, &[], message.into(), CALL_TIMEOUT).map_err(call_error)?;
    match serde_json::from_slice(&answer).map_err(|error| RequestError::Answer { addr, error })? {
        OperatorResponse::Refused(reason) => Err(RequestError::Refused(reason)),
        answer => Ok(answer),
    }
}
