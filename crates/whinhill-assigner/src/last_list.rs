//! Keeps the newest list of servers in a file, for the next start. A thread of its own: a disk that stalls must not
//! delay what the list says, since drains run from the time it was told.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use tracing::{info, warn};

use crate::roster::{read_roster, RosterFile};

/// How often the thread looks whether the mailbox is gone.
const LOOK: Duration = Duration::from_secs(1);
/// Between two attempts while the disk refuses.
const AGAIN: Duration = Duration::from_millis(500);

/// The way to the thread: holds one list, the newest.
pub struct Mailbox {
    lists: Sender<RosterFile>,
    waiting: Receiver<RosterFile>,
}

impl Mailbox {
    /// Never waits: a list that the thread has not taken yet gives way.
    pub fn put(&self, list: RosterFile) {
        let _replaced = self.waiting.try_recv();
        // We alone put lists in, so there is room now.
        let _ = self.lists.try_send(list);
    }
}

/// The file, and the lists that are to be kept in it.
pub struct LastList {
    path: PathBuf,
    lists: Receiver<RosterFile>,
}

impl LastList {
    pub fn new(dir: &Path) -> (Mailbox, LastList) {
        let (lists, waiting) = bounded(1);
        let keeper = LastList { path: dir.join("last-list.json"), lists: waiting.clone() };
        (Mailbox { lists, waiting }, keeper)
    }

    /// The list that a former life kept, empty if there is none.
    pub fn read(&self) -> RosterFile {
        let text = fs::read_to_string(&self.path).ok();
        text.and_then(|text| read_roster(&text).ok()).unwrap_or_default()
    }

    /// Keeps lists until the mailbox is gone. One that the disk refuses is tried again until it is kept or a newer
    /// one comes.
    pub fn run(self) {
        let (mut refused, mut well) = (None, true);
        loop {
            let wait = if refused.is_some() { AGAIN } else { LOOK };
            let list = match self.lists.recv_timeout(wait) {
                Ok(list) => list,
                Err(RecvTimeoutError::Timeout) => match refused.take() {
                    Some(list) => list,
                    None => continue,
                },
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let kept = keep(&self.path, &list);
            match &kept {
                Ok(()) if !well => info!("the last list is kept again"),
                Err(error) if well => {
                    warn!(path = %self.path.display(), %error, "the last list could not be kept, and is tried again");
                }
                _ => {}
            }
            well = kept.is_ok();
            refused = (!well).then_some(list);
        }
    }
}

/// Writes the list beside the old one and then over it: a crash leaves the one or the other. Whatever fails, all of
/// it is done again: what a failed sync had taken may be gone.
fn keep(path: &Path, roster: &RosterFile) -> io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = fs::File::create(&beside)?;
    file.write_all(serde_json::to_string(roster)?.as_bytes())?;
    file.sync_all()?;
    fs::rename(beside, path)?;
    match path.parent() {
        Some(folder) => fs::File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests;
