//! Keeps the newest list of servers in a file, for the next start. A thread of its own: a disk that stalls must not
//! delay what the list says, since drains run from the time it was told.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crossbeam_channel::{bounded, Receiver, Sender};
use tracing::warn;

use crate::roster::{read_roster, RosterFile};

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

    /// Keeps lists until the mailbox is gone.
    pub fn run(self) {
        while let Ok(list) = self.lists.recv() {
            if let Err(error) = keep(&self.path, &list) {
                warn!(path = %self.path.display(), %error, "the last list could not be kept");
            }
        }
    }
}

/// Writes the list beside the old one and then over it: a crash leaves the one or the other.
fn keep(path: &Path, roster: &RosterFile) -> io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = fs::File::create(&beside)?;
    file.write_all(serde_json::to_string(roster)?.as_bytes())?;
    file.sync_all()?;
    fs::rename(beside, path)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::roster::{RosterEntry, RosterState};

    fn list(port: u16) -> RosterFile {
        let (addr, zone) = (([127, 0, 0, 1], port).into(), "east".to_string());
        let state = RosterState::Ready;
        RosterFile { servers: vec![RosterEntry { addr, zone, state, size: 1.0, started_unix_ms: None }] }
    }

    /// The thread stands in a write for ever, as on a disk that stalls: lists are taken, and the newest waits.
    #[test]
    fn a_list_that_the_disk_has_not_taken_gives_way_to_the_next() {
        let folder = tempfile::tempdir().unwrap();
        let (mailbox, keeper) = LastList::new(folder.path());
        (1..=3).for_each(|port| mailbox.put(list(port)));
        drop(mailbox);
        assert_eq!(keeper.lists.iter().collect::<Vec<_>>(), [list(3)]);
    }

    #[test]
    fn what_was_kept_is_read_at_the_next_start() {
        let folder = tempfile::tempdir().unwrap();
        let (mailbox, keeper) = LastList::new(folder.path());
        assert_eq!(keeper.read(), RosterFile::default());
        mailbox.put(list(7));
        drop(mailbox);
        keeper.run();
        assert_eq!(LastList::new(folder.path()).1.read(), list(7));
    }
}
