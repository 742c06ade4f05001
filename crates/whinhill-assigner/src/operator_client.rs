//! The client for operators' requests to a running assigner.

use std::net::SocketAddr;
use std::time::Duration;

use whinhill_transport::{CallError, Client, Drivers, Limits};

use crate::operator_api::{Answer, Ask, ASK_PATH};

/// Longer than the assigner takes to report that it can't answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(25);
/// The largest answer: a whole history is one message.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Why a request has no answer.
#[derive(Debug, thiserror::Error)]
pub enum AskError {
    #[error("{addr}: {error}")]
    Call { addr: SocketAddr, error: CallError },
    #[error("{addr}: the answer can't be read: {error}")]
    Answer { addr: SocketAddr, error: serde_json::Error },
    #[error("{0}")]
    Refused(String),
}

/// Sends a request to the assigner that listens for operators at `addr`. A refusal is an error.
pub fn ask(addr: SocketAddr, request: &Ask, drivers: &Drivers) -> Result<Answer, AskError> {
    let call_error = |error| AskError::Call { addr, error };
    let limits = Limits { max_message: MAX_ANSWER_BYTES, ..Limits::default() };
    let client = Client::connect(addr, limits, drivers).map_err(call_error)?;
    let message = serde_json::to_vec(request).map_err(|error| AskError::Answer { addr, error })?;
    let (answer, _) = client.unary(ASK_PATH, &[], message.into(), CALL_TIMEOUT).map_err(call_error)?;
    match serde_json::from_slice(&answer).map_err(|error| AskError::Answer { addr, error })? {
        Answer::Refused(reason) => Err(AskError::Refused(reason)),
        answer => Ok(answer),
    }
}
