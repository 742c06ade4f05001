//! Stores the newest list of servers in a file, for the next start. This has its own thread: a stalled disk must not
//! delay the list, since the grace period of a drain starts when the list is published.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use tracing::{info, warn};

use crate::roster::{read_roster, RosterFile};

/// How often the thread checks whether the mailbox was dropped.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Delay between two attempts while the disk refuses.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The queue to the thread. It holds one list, the newest.
pub struct Mailbox {
    lists: Sender<RosterFile>,
    queued: Receiver<RosterFile>,
}

impl Mailbox {
    /// Queues a list without waiting: it replaces a list that the thread has not taken yet.
    pub fn put(&self, list: RosterFile) {
        let _replaced = self.queued.try_recv();
        // There is only this sender, so the queue is empty now.
        let _ = self.lists.try_send(list);
    }
}

/// The file, and the lists to write to it.
pub struct LastList {
    path: PathBuf,
    lists: Receiver<RosterFile>,
}

impl LastList {
    /// The mailbox and the file in a state directory.
    pub fn new(dir: &Path) -> (Mailbox, LastList) {
        let (lists, queued) = bounded(1);
        let last_list = LastList { path: dir.join("last-list.json"), lists: queued.clone() };
        (Mailbox { lists, queued }, last_list)
    }

    /// The list that a former incarnation stored, empty if there is none.
    pub fn read(&self) -> RosterFile {
        let text = fs::read_to_string(&self.path).ok();
        text.and_then(|text| read_roster(&text).ok()).unwrap_or_default()
    }

    /// Writes lists until the mailbox is dropped. A list that the disk refuses is retried until it is written or a
    /// newer one arrives.
    pub fn run(self) {
        let (mut unwritten, mut healthy) = (None, true);
        loop {
            let wait = if unwritten.is_some() { RETRY_DELAY } else { POLL_INTERVAL };
            let list = match self.lists.recv_timeout(wait) {
                Ok(list) => list,
                Err(RecvTimeoutError::Timeout) => match unwritten.take() {
                    Some(list) => list,
                    None => continue,
                },
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let result = write_durably(&self.path, &list);
            match &result {
                Ok(()) if !healthy => info!("the last list is written again"),
                Err(error) if healthy => {
                    warn!(path = %self.path.display(), %error, "the last list can't be written, and is retried");
                }
                _ => {}
            }
            healthy = result.is_ok();
            unwritten = (!healthy).then_some(list);
        }
    }
}

/// Writes the list to a temporary file, syncs it and renames it over the old one: after a crash one of the two is
/// there. After any failure all steps must be repeated, since data from before a failed sync may be lost.
fn write_durably(path: &Path, roster: &RosterFile) -> io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file = fs::File::create(&temporary)?;
    file.write_all(serde_json::to_string(roster)?.as_bytes())?;
    file.sync_all()?;
    fs::rename(temporary, path)?;
    match path.parent() {
        Some(folder) => fs::File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests;
