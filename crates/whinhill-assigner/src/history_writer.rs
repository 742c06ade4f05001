//! The thread that persists history updates. Updates that can't be written are merged and retried; grants that depend
//! on them are withheld meanwhile, and nothing else waits.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use tracing::{info, warn};

use crate::core::Input;
use crate::history_file::{HistoryFile, PersistedUpdate};
use crate::history_recorder::NumberedUpdate;
use crate::status::Counters;

/// How long the thread waits for an update before it checks again.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Delay between two attempts while the disk refuses.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// What the thread works with.
pub struct HistoryWriter {
    pub file: HistoryFile,
    pub queued_updates: Receiver<NumberedUpdate>,
    pub inputs: Sender<(Input, Option<Sender<()>>)>,
    pub counters: Arc<Counters>,
    pub stop: Arc<AtomicBool>,
}

impl HistoryWriter {
    /// Runs until the queue of updates is closed, or the assigner stops while the disk refuses.
    pub fn run(mut self) {
        let mut healthy = true;
        loop {
            let wait = if self.file.has_pending() { RETRY_DELAY } else { POLL_INTERVAL };
            match self.queued_updates.recv_timeout(wait) {
                Ok(update) => self.file.put(update),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.queued_updates.try_iter().for_each(|update| self.file.put(update));
            match self.file.persist_pending() {
                Ok(None) => {}
                Ok(Some(PersistedUpdate { seq, .. })) => {
                    if !std::mem::replace(&mut healthy, true) {
                        info!(seq, "the history is written again");
                    }
                    if self.inputs.send((Input::HistoryPersisted { seq }, None)).is_err() {
                        return;
                    }
                }
                Err(error) => {
                    Counters::add(&self.counters.history_failures, 1);
                    if std::mem::replace(&mut healthy, false) {
                        let path = self.file.path().display();
                        warn!(%error, %path, "the history can't be kept: grants wait a while, all else goes on");
                    }
                    if self.stop.load(Ordering::Relaxed) {
                        return;
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
