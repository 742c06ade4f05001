//! The thread that keeps pages of the history in their file. What can't be kept is folded together and tried again;
//! grants that wait for it stay untold, and nothing else waits.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use tracing::{info, warn};
use whinhill_history::{Book, BookError};
use whinhill_tables::Limits;

use crate::chronicle::Numbered;
use crate::core::Input;

const LOOK: Duration = Duration::from_millis(100);
/// Between two attempts while the disk refuses.
const AGAIN: Duration = Duration::from_millis(500);

pub struct Bookkeeper {
    pub path: PathBuf,
    pub limits: Limits,
    /// `None` after a failure: the file is opened afresh, since a store that failed in a write takes no further one.
    pub book: Option<Book>,
    pub pages: Receiver<Numbered>,
    pub inputs: Sender<(Input, Option<Sender<()>>)>,
    pub stop: Arc<AtomicBool>,
}

impl Bookkeeper {
    pub fn run(mut self) {
        let mut waiting: Option<Numbered> = None;
        let mut well = true;
        loop {
            let wait = if waiting.is_some() { AGAIN } else { LOOK };
            match self.pages.recv_timeout(wait) {
                Ok(page) => Numbered::put(&mut waiting, Some(page)),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.pages.try_iter().for_each(|page| Numbered::put(&mut waiting, Some(page)));
            let Some(Numbered { seq, page }) = &waiting else { continue };
            let seq = *seq;
            match self.keep(page) {
                Ok(()) => {
                    if !std::mem::replace(&mut well, true) {
                        info!(seq, "the history is kept again");
                    }
                    waiting = None;
                    if self.inputs.send((Input::Kept { seq }, None)).is_err() {
                        return;
                    }
                }
                Err(error) => {
                    self.book = None;
                    if std::mem::replace(&mut well, false) {
                        warn!(%error, path = %self.path.display(), "the history can't be kept: grants wait, all else goes on");
                    }
                    if self.stop.load(Ordering::Relaxed) {
                        return;
                    }
                }
            }
        }
    }

    fn keep(&mut self, page: &whinhill_tables::Page) -> Result<(), BookError> {
        let book = match &mut self.book {
            Some(book) => book,
            none => none.insert(Book::open(&self.path, self.limits)?.0),
        };
        book.keep(page)
    }
}

#[cfg(test)]
mod tests {
    use crossbeam_channel::bounded;
    use whinhill_tables::{Page, SliceTable, Version};

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
        let keeper = Bookkeeper { path: path.clone(), limits, book: None, pages, inputs, stop: stop.clone() };
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
}
