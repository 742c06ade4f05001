//! The writer on a disk that refuses at first.

use crossbeam_channel::bounded;
use whinhill_history::HistoryDb;
use whinhill_tables::{HistoryUpdate, Limits, SliceTable, Version};

use super::*;

fn update(seq: u64, slice: usize) -> NumberedUpdate {
    let table = SliceTable { version: Version::default(), owner: None, shares: vec![1.0], tries: 0 };
    NumberedUpdate {
        seq,
        update: HistoryUpdate { changed: [(slice, table)].into(), number: seq, ..HistoryUpdate::default() },
    }
}

/// A missing folder stands for a disk that refuses: nothing may be reported as persisted before it is.
#[test]
fn updates_that_the_disk_refuses_are_merged_and_persisted_later() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("missing/history.redb");
    let limits = Limits { entries: 10, bytes: 1 << 20, age: Duration::from_secs(1000) };
    let (to_writer, queued_updates) = bounded(8);
    let (inputs, persisted) = bounded(8);
    let stop = Arc::new(AtomicBool::new(false));
    let counters = Arc::new(Counters::default());
    let writer = HistoryWriter {
        file: HistoryFile::unopened(&path, limits),
        queued_updates,
        inputs,
        counters: counters.clone(),
        stop,
    };
    let thread = std::thread::spawn(move || writer.run());
    to_writer.send(update(1, 4)).unwrap();
    to_writer.send(update(2, 5)).unwrap();
    // Whatever it has tried by now, it cannot have persisted anything.
    assert!(persisted.try_recv().is_err());
    std::fs::create_dir(path.parent().unwrap()).unwrap();
    let (input, _) = persisted.recv_timeout(Duration::from_secs(20)).unwrap();
    assert!(matches!(input, Input::HistoryPersisted { seq: 2 }), "{input:?}");
    drop(to_writer);
    thread.join().unwrap();
    let (_, history) = HistoryDb::open(&path, limits).unwrap();
    let slices: Vec<usize> = history.current().set().keys().copied().collect();
    assert_eq!(slices, [4, 5]);
}
