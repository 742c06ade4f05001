//! Requests of one client that were read, and whose answers have not been written yet.

use std::collections::VecDeque;
use std::time::Duration;

/// A request that was read.
#[derive(Clone, Copy, Debug)]
struct Owed {
    received: Duration,
    /// How many bytes the connection has carried once its answer is written.
    until: u64,
}

/// The answers that a connection owes, in the order in which they leave.
#[derive(Debug, Default)]
pub struct Answers {
    owed: VecDeque<Owed>,
    /// When those that have left since the last look had been received.
    left: Vec<Duration>,
    queued: u64,
    written: u64,
}

impl Answers {
    /// An answer of so many bytes is about to be written.
    pub fn queue(&mut self, received: Duration, bytes: usize) {
        self.queued += bytes as u64;
        self.owed.push_back(Owed { received, until: self.queued });
    }

    /// Other bytes are about to be written, which answer no request.
    pub fn queue_unasked(&mut self, bytes: usize) {
        self.queued += bytes as u64;
    }

    /// So many more bytes have left.
    pub fn written(&mut self, bytes: usize) {
        self.written += bytes as u64;
        while let Some(first) = self.owed.front().filter(|owed| owed.until <= self.written) {
            self.left.push(first.received);
            self.owed.pop_front();
        }
    }

    /// When the requests had been received whose answers have left since the last call.
    pub fn take_left(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.left)
    }

    /// Requests without an answer.
    pub fn owed(&self) -> usize {
        self.owed.len()
    }

    /// When the oldest request without an answer was received.
    pub fn oldest(&self) -> Option<Duration> {
        self.owed.front().map(|owed| owed.received)
    }
}

#[cfg(test)]
mod tests;
