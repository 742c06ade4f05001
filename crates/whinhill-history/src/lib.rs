//! The history of published sets on disk.
//!
//! One file holds the newest set slice by slice and one entry a version. Each version is one transaction, synced
//! before [`Book::keep`] returns: what it says it has kept survives a crash, and what it failed to keep left no
//! trace. The embedded store is `redb` (`docs/tables.md` weighs it).
//!
//! ```
//! use std::time::Duration;
//! use whinhill_history::Book;
//! use whinhill_tables::{Author, Limits};
//! # let folder = tempfile::tempdir()?;
//! let limits = Limits { entries: 1000, bytes: 1 << 20, age: Duration::from_secs(86_400) };
//! let (mut book, mut history) = Book::open(&folder.path().join("history.redb"), limits)?;
//! let set = history.current().set().clone();
//! if let Some(delta) = history.record(set, Author::Recovery, "start", Duration::ZERO, 0) {
//!     book.keep(&history.page(delta))?;
//! }
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

use redb::{Database, Durability, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use whinhill_tables::rollback::Rollback;
use whinhill_tables::{Entry, Held, History, Limits, Page, RestoreError, SliceTable, TableSet};

/// The form of the file. One with a greater number is of a later program and is not touched.
pub const FORMAT: u64 = 1;

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const CURRENT: TableDefinition<u64, &[u8]> = TableDefinition::new("current");
/// Rollbacks that are under way, by their number.
const ROLLBACKS: TableDefinition<u64, &[u8]> = TableDefinition::new("rollbacks");
const FORMAT_KEY: &str = "format";
const NUMBER_KEY: &str = "number";

#[derive(Debug, thiserror::Error)]
pub enum BookError {
    #[error("the history is of format {found}; this program knows up to {known}")]
    NewerFormat { found: u64, known: u64 },
    #[error("the history's {place} can't be read: {error}")]
    Content { place: String, error: serde_json::Error },
    #[error("the history does not fit together: {0}")]
    Restore(#[from] RestoreError),
    #[error("the history's file is damaged; move it away to start without a past")]
    Damaged,
    #[error("the history's file: {0}")]
    Storage(Box<redb::Error>),
}

/// `redb` has an error for each of its steps.
macro_rules! from_redb {
    ($($step:ident),*) => {
        $(impl From<redb::$step> for BookError {
            fn from(error: redb::$step) -> Self {
                BookError::Storage(Box::new(error.into()))
            }
        })*
    };
}

from_redb!(DatabaseError, TransactionError, TableError, StorageError, CommitError, SetDurabilityError);

/// The embedded store checks what it reads, but some damage it meets with a panic: found by mangling files
/// (`tests/mangled.rs`). To whoever opens the file that is one more way of being refused.
fn guarded<T>(open: impl FnOnce() -> Result<T, BookError>) -> Result<T, BookError> {
    catch_unwind(AssertUnwindSafe(open)).unwrap_or(Err(BookError::Damaged))
}

/// The open file.
pub struct Book {
    database: Database,
}

impl Book {
    /// Opens the file or begins one, and rebuilds the history that it holds.
    pub fn open(path: &Path, limits: Limits) -> Result<(Self, History), BookError> {
        guarded(|| Self::begin(Database::create(path)?, limits))
    }

    /// The same on any storage: for tests that let it fail.
    pub fn open_on(storage: impl StorageBackend, limits: Limits) -> Result<(Self, History), BookError> {
        guarded(|| Self::begin(Database::builder().create_with_backend(storage)?, limits))
    }

    fn begin(mut database: Database, limits: Limits) -> Result<(Self, History), BookError> {
        // Every page against its checksum: what a disk has changed since must not be taken for a table.
        database.check_integrity()?;
        let transaction = database.begin_write()?;
        {
            let mut meta = transaction.open_table(META)?;
            let found = meta.get(FORMAT_KEY)?.map(|value| value.value());
            match found {
                Some(found) if found > FORMAT => return Err(BookError::NewerFormat { found, known: FORMAT }),
                Some(_) => {}
                None => drop(meta.insert(FORMAT_KEY, FORMAT)?),
            }
            transaction.open_table(ENTRIES)?;
            transaction.open_table(CURRENT)?;
            transaction.open_table(ROLLBACKS)?;
        }
        transaction.commit()?;
        let book = Book { database };
        let history = book.load(limits)?;
        Ok((book, history))
    }

    fn load(&self, limits: Limits) -> Result<History, BookError> {
        let transaction = self.database.begin_read()?;
        let content = |place: String| move |error| BookError::Content { place, error };
        let mut set = TableSet::new();
        for row in transaction.open_table(CURRENT)?.iter()? {
            let (slice, bytes) = row?;
            let (slice, bytes) = (slice.value() as usize, bytes.value());
            let table: SliceTable =
                serde_json::from_slice(bytes).map_err(content(format!("slice {slice}")))?;
            set.insert(slice, table);
        }
        let mut entries = Vec::new();
        for row in transaction.open_table(ENTRIES)?.iter()? {
            let (number, bytes) = row?;
            let (number, bytes) = (number.value(), bytes.value());
            let entry: Entry = serde_json::from_slice(bytes).map_err(content(format!("version {number}")))?;
            entries.push(entry);
        }
        let number = transaction.open_table(META)?.get(NUMBER_KEY)?.map_or(0, |value| value.value());
        Ok(History::restore(limits, Held::new(number, set), entries)?)
    }

    /// Keeps a page: the newest version, and what was let go, rewritten or marked meanwhile. On disk when it
    /// returns; after an error nothing of it is, and what it belongs to must not be published. The same page may
    /// be kept again.
    pub fn keep(&mut self, page: &Page) -> Result<(), BookError> {
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(Durability::Immediate)?;
        {
            let mut current = transaction.open_table(CURRENT)?;
            for (slice, table) in &page.changed {
                let place = || format!("slice {slice}");
                let bytes = serde_json::to_vec(table)
                    .map_err(|error| BookError::Content { place: place(), error })?;
                current.insert(*slice as u64, bytes.as_slice())?;
            }
            for slice in &page.removed {
                current.remove(*slice as u64)?;
            }
            let mut entries = transaction.open_table(ENTRIES)?;
            for (number, entry) in &page.touched {
                let Some(entry) = entry else {
                    entries.remove(*number)?;
                    continue;
                };
                let place = || format!("version {number}");
                let bytes = serde_json::to_vec(entry)
                    .map_err(|error| BookError::Content { place: place(), error })?;
                entries.insert(*number, bytes.as_slice())?;
            }
            let mut rollbacks = transaction.open_table(ROLLBACKS)?;
            for (id, rollback) in &page.rollbacks {
                let Some(rollback) = rollback else {
                    rollbacks.remove(*id)?;
                    continue;
                };
                let place = || format!("rollback {id}");
                let bytes = serde_json::to_vec(rollback)
                    .map_err(|error| BookError::Content { place: place(), error })?;
                rollbacks.insert(*id, bytes.as_slice())?;
            }
            transaction.open_table(META)?.insert(NUMBER_KEY, page.number)?;
        }
        transaction.commit()?;
        Ok(())
    }

    /// The rollbacks that were under way, oldest first.
    pub fn rollbacks(&self) -> Result<Vec<Rollback>, BookError> {
        let mut found = Vec::new();
        for row in self.database.begin_read()?.open_table(ROLLBACKS)?.iter()? {
            let (id, bytes) = row?;
            let (id, bytes) = (id.value(), bytes.value());
            let rollback = serde_json::from_slice(bytes)
                .map_err(|error| BookError::Content { place: format!("rollback {id}"), error })?;
            found.push(rollback);
        }
        Ok(found)
    }
}
