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

/// The folder is missing, as a disk that refuses would have it.
#[test]
fn a_list_that_the_disk_refuses_is_kept_once_it_does_not() {
    let folder = tempfile::tempdir().unwrap();
    let later = folder.path().join("later");
    let (mailbox, keeper) = LastList::new(&later);
    mailbox.put(list(7));
    let thread = std::thread::spawn(move || keeper.run());
    // It has taken the list, and cannot have kept it.
    while !mailbox.waiting.is_empty() {
        std::thread::yield_now();
    }
    fs::create_dir(&later).unwrap();
    let until = std::time::Instant::now() + Duration::from_secs(20);
    while LastList::new(&later).1.read() != list(7) {
        assert!(std::time::Instant::now() < until, "it is not kept");
        std::thread::yield_now();
    }
    drop(mailbox);
    thread.join().unwrap();
}
