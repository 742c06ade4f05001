//! The operators' end: asks one thing of a running assigner.

use std::net::SocketAddr;
use std::time::Duration;

use whinhill_transport::{CallError, Client, Drivers, Limits};

use crate::ask::{Answer, Ask, ASK_PATH};

/// Longer than the assigner takes to say that it can't answer.
const WITHIN: Duration = Duration::from_secs(25);
/// A whole history is one message.
const ANSWER_MOST: usize = 64 << 20;

#[derive(Debug, thiserror::Error)]
pub enum AskError {
    #[error("{addr}: {error}")]
    Call { addr: SocketAddr, error: CallError },
    #[error("{addr}: the answer can't be read: {error}")]
    Answer { addr: SocketAddr, error: serde_json::Error },
    #[error("{0}")]
    Refused(String),
}

/// Asks the assigner that listens to operators at `addr`. What it refuses is an error.
pub fn ask(addr: SocketAddr, ask: &Ask, drivers: &Drivers) -> Result<Answer, AskError> {
    let failed = |error| AskError::Call { addr, error };
    let limits = Limits { message_most: ANSWER_MOST, ..Limits::default() };
    let client = Client::connect(addr, limits, drivers).map_err(failed)?;
    let message = serde_json::to_vec(ask).map_err(|error| AskError::Answer { addr, error })?;
    let (answer, _) = client.unary(ASK_PATH, &[], message.into(), WITHIN).map_err(failed)?;
    match serde_json::from_slice(&answer).map_err(|error| AskError::Answer { addr, error })? {
        Answer::Refused(why) => Err(AskError::Refused(why)),
        answer => Ok(answer),
    }
}
