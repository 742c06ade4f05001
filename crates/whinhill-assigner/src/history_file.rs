//! The history's file, and the page that it has yet to take. A page that the disk refuses waits, is folded together
//! with later ones and tried again: nothing is said to be kept before all of it is.

use std::path::{Path, PathBuf};

use whinhill_history::{Book, BookError};
use whinhill_tables::rollback::Rollback;
use whinhill_tables::{History, Limits};

use crate::chronicle::Numbered;
use crate::retry::Retry;

/// What the file holds for certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kept {
    /// The number of the last page, as in [`Numbered`].
    pub seq: u64,
    /// The newest version.
    pub version: u64,
}

/// The file and the page that waits for it. Whoever holds it is the only one that writes there.
pub struct HistoryFile {
    path: PathBuf,
    limits: Limits,
    /// `None` after a failure: the file is opened afresh, since a store that failed in a write takes no further one.
    book: Option<Book>,
    waiting: Option<Numbered>,
}

impl HistoryFile {
    /// One that is opened with the first page.
    pub(crate) fn unopened(path: &Path, limits: Limits) -> Self {
        HistoryFile { path: path.to_path_buf(), limits, book: None, waiting: None }
    }

    /// Opens the file or begins one; returns the history and the rollbacks that it holds.
    ///
    /// # Errors
    /// When the disk refuses it, or the file is no history.
    pub fn open(path: &Path, limits: Limits) -> Result<(Self, History, Vec<Rollback>), BookError> {
        let (book, history) = Book::open(path, limits)?;
        let rollbacks = book.rollbacks()?;
        let file = HistoryFile { book: Some(book), ..Self::unopened(path, limits) };
        Ok((file, history, rollbacks))
    }

    /// The same, made again while the disk refuses.
    ///
    /// # Errors
    /// When the file is no history, or the disk refuses it for as long as is waited.
    pub fn open_again(
        path: &Path,
        limits: Limits,
        retry: &Retry<'_>,
    ) -> Result<(Self, History, Vec<Rollback>), BookError> {
        retry.until_done("opening the history", BookError::may_pass, || Self::open(path, limits))
    }

    /// Where the file is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Adds a page to what is to be kept.
    pub fn put(&mut self, page: Numbered) {
        Numbered::put(&mut self.waiting, Some(page));
    }

    /// Whether a page waits to be kept.
    pub fn has_waiting(&self) -> bool {
        self.waiting.is_some()
    }

    /// Keeps what waits; `None` if nothing does. After an error nothing is known to be kept, and all of it waits on.
    pub fn keep(&mut self) -> Result<Option<Kept>, BookError> {
        let Some(Numbered { seq, page }) = self.waiting.take() else { return Ok(None) };
        let kept = self.opened().and_then(|book| book.keep(&page));
        if let Err(error) = kept {
            self.book = None;
            self.waiting = Some(Numbered { seq, page });
            return Err(error);
        }
        Ok(Some(Kept { seq, version: page.number }))
    }

    fn opened(&mut self) -> Result<&mut Book, BookError> {
        match &mut self.book {
            Some(book) => Ok(book),
            none => Ok(none.insert(Book::open(&self.path, self.limits)?.0)),
        }
    }
}
