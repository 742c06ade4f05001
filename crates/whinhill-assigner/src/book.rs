//! The thread that keeps pages of the history in their file. What can't be kept is folded together and tried again;
//! grants that wait for it stay untold, and nothing else waits.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use tracing::{info, warn};

use crate::chronicle::Numbered;
use crate::core::Input;
use crate::history_file::{HistoryFile, Kept};
use crate::status::Counters;

const LOOK: Duration = Duration::from_millis(100);
/// Between two attempts while the disk refuses.
const AGAIN: Duration = Duration::from_millis(500);

pub struct Bookkeeper {
    pub file: HistoryFile,
    pub pages: Receiver<Numbered>,
    pub inputs: Sender<(Input, Option<Sender<()>>)>,
    pub counters: Arc<Counters>,
    pub stop: Arc<AtomicBool>,
}

impl Bookkeeper {
    pub fn run(mut self) {
        let mut well = true;
        loop {
            let wait = if self.file.has_waiting() { AGAIN } else { LOOK };
            match self.pages.recv_timeout(wait) {
                Ok(page) => self.file.put(page),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.pages.try_iter().for_each(|page| self.file.put(page));
            match self.file.keep() {
                Ok(None) => {}
                Ok(Some(Kept { seq, .. })) => {
                    if !std::mem::replace(&mut well, true) {
                        info!(seq, "the history is kept again");
                    }
                    if self.inputs.send((Input::Kept { seq }, None)).is_err() {
                        return;
                    }
                }
                Err(error) => {
                    Counters::add(&self.counters.history_failures, 1);
                    if std::mem::replace(&mut well, false) {
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
