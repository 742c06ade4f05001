//! Lists on a disk that stalls or refuses.

use super::*;
use crate::roster::{RosterEntry, RosterState};

fn list(port: u16) -> RosterFile {
    let (addr, zone) = (([127, 0, 0, 1], port).into(), "east".to_string());
    let state = RosterState::Ready;
    RosterFile { servers: vec![RosterEntry { addr, zone, state, size: 1.0, started_unix_ms: None }] }
}

/// The thread never takes a list, as on a stalled disk: lists are accepted, and only the newest stays queued.
#[test]
fn queued_list_is_replaced_by_a_newer_one() {
    let folder = tempfile::tempdir().unwrap();
    let (mailbox, last_list) = LastList::new(folder.path());
    (1..=3).for_each(|port| mailbox.put(list(port)));
    drop(mailbox);
    assert_eq!(last_list.lists.iter().collect::<Vec<_>>(), [list(3)]);
}

#[test]
fn written_list_is_read_at_the_next_start() {
    let folder = tempfile::tempdir().unwrap();
    let (mailbox, last_list) = LastList::new(folder.path());
    assert_eq!(last_list.read(), RosterFile::default());
    mailbox.put(list(7));
    drop(mailbox);
    last_list.run();
    assert_eq!(LastList::new(folder.path()).1.read(), list(7));
}

/// A missing folder stands for a disk that refuses.
#[test]
fn list_that_the_disk_refuses_is_written_once_it_accepts() {
    let folder = tempfile::tempdir().unwrap();
    let later = folder.path().join("later");
    let (mailbox, last_list) = LastList::new(&later);
    mailbox.put(list(7));
    let thread = std::thread::spawn(move || last_list.run());
    // The thread has taken the list and cannot have written it.
    while !mailbox.queued.is_empty() {
        std::thread::yield_now();
    }
    fs::create_dir(&later).unwrap();
    let until = std::time::Instant::now() + Duration::from_secs(20);
    while LastList::new(&later).1.read() != list(7) {
        assert!(std::time::Instant::now() < until, "the list is not written");
        std::thread::yield_now();
    }
    drop(mailbox);
    thread.join().unwrap();
}
