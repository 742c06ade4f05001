use crossbeam_channel::bounded;
use whinhill_history::Book;
use whinhill_tables::{Limits, Page, SliceTable, Version};

use super::*;

fn page(seq: u64, slice: usize) -> Numbered {
    let table = SliceTable { version: Version::default(), owner: None, shares: vec![1.0], tries: 0 };
    Numbered { seq, page: Page { changed: [(slice, table)].into(), number: seq, ..Page::default() } }
}

/// The folder is missing, as a disk that refuses would have it: nothing is said to be kept until it is.
#[test]
fn what_the_disk_refuses_waits_and_is_kept_whole_later() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("missing/history.redb");
    let limits = Limits { entries: 10, bytes: 1 << 20, age: Duration::from_secs(1000) };
    let (to_book, pages) = bounded(8);
    let (inputs, heard) = bounded(8);
    let stop = Arc::new(AtomicBool::new(false));
    let counters = Arc::new(Counters::default());
    let keeper = Bookkeeper {
        file: HistoryFile::unopened(&path, limits),
        pages,
        inputs,
        counters: counters.clone(),
        stop,
    };
    let thread = std::thread::spawn(move || keeper.run());
    to_book.send(page(1, 4)).unwrap();
    to_book.send(page(2, 5)).unwrap();
    // Whatever it has tried by now, it can have kept nothing.
    assert!(heard.try_recv().is_err());
    std::fs::create_dir(path.parent().unwrap()).unwrap();
    let (input, _) = heard.recv_timeout(Duration::from_secs(20)).unwrap();
    assert!(matches!(input, Input::Kept { seq: 2 }), "{input:?}");
    drop(to_book);
    thread.join().unwrap();
    let (_, history) = Book::open(&path, limits).unwrap();
    let slices: Vec<usize> = history.current().set().keys().copied().collect();
    assert_eq!(slices, [4, 5]);
}
