//! Requests of one client whose answers have not been written completely.

use std::collections::VecDeque;
use std::time::Duration;

/// A request that was read.
#[derive(Clone, Copy, Debug)]
struct PendingAnswer {
    received_at: Duration,
    /// Number of bytes written on the connection in all once this answer is written.
    end_offset: u64,
}

/// The answers that a connection still has to send, in the order in which they are written.
#[derive(Debug, Default)]
pub struct PendingAnswers {
    pending: VecDeque<PendingAnswer>,
    /// Arrival times of the requests whose answers were written since they were last taken.
    answered: Vec<Duration>,
    queued_bytes: u64,
    written_bytes: u64,
}

impl PendingAnswers {
    /// Adds an answer of `bytes` bytes that is about to be written.
    pub fn queue_answer(&mut self, received_at: Duration, bytes: usize) {
        self.queued_bytes += bytes as u64;
        self.pending.push_back(PendingAnswer { received_at, end_offset: self.queued_bytes });
    }

    /// Adds bytes that are about to be written and answer no request.
    pub fn queue_other(&mut self, bytes: usize) {
        self.queued_bytes += bytes as u64;
    }

    /// Notes that `bytes` more bytes were written.
    pub fn note_written(&mut self, bytes: usize) {
        self.written_bytes += bytes as u64;
        while let Some(first) = self.pending.front().filter(|answer| answer.end_offset <= self.written_bytes)
        {
            self.answered.push(first.received_at);
            self.pending.pop_front();
        }
    }

    /// Takes the arrival times of the requests whose answers were written since the last call.
    pub fn take_answered(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.answered)
    }

    /// Requests without a complete answer.
    pub fn count(&self) -> usize {
        self.pending.len()
    }

    /// When the oldest of them arrived.
    pub fn oldest_received_at(&self) -> Option<Duration> {
        self.pending.front().map(|answer| answer.received_at)
    }
}

#[cfg(test)]
mod tests;
