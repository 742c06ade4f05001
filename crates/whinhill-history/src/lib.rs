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

use std::fs;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

use redb::{
    Database, Durability, ReadTransaction, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition,
    WriteTransaction,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use whinhill_errors::may_pass_on_disk;
use whinhill_tables::rollback::Rollback;
use whinhill_tables::{Held, History, Limits, Page, RestoreError, SliceTable, TableSet};

/// The form of the file. One with a greater number is of a later program and is not touched.
pub const FORMAT: u64 = 1;

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const ENTRIES: Table = TableDefinition::new("entries");
const CURRENT: Table = TableDefinition::new("current");
/// Rollbacks that are under way, by their number.
const ROLLBACKS: Table = TableDefinition::new("rollbacks");
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

impl BookError {
    /// Whether the same may succeed later and untouched: the disk was full, or failed for a moment.
    pub fn may_pass(&self) -> bool {
        use io::ErrorKind::{InvalidData, UnexpectedEof};
        let BookError::Storage(error) = self else { return false };
        match &**error {
            redb::Error::Io(error) => {
                may_pass_on_disk(error) && !matches!(error.kind(), InvalidData | UnexpectedEof)
            }
            redb::Error::PreviousIo => true,
            _ => false,
        }
    }
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

impl From<io::Error> for BookError {
    fn from(error: io::Error) -> Self {
        BookError::Storage(Box::new(redb::Error::Io(error)))
    }
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
        if !path.try_exists()? {
            Self::create(path, limits)?;
        }
        guarded(|| Self::begin(Database::create(path)?, limits))
    }

    /// Makes an empty history beside its place and moves it there once it is whole. One whose making broke off in its
    /// place could not be opened again.
    fn create(path: &Path, limits: Limits) -> Result<(), BookError> {
        let beside = path.with_extension("new");
        match fs::remove_file(&beside) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error.into()),
            _ => {}
        }
        let made = guarded(|| Self::begin(Database::create(&beside)?, limits))?;
        drop(made);
        fs::rename(&beside, path)?;
        if let Some(folder) = path.parent().filter(|folder| !folder.as_os_str().is_empty()) {
            fs::File::open(folder)?.sync_all()?;
        }
        Ok(())
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
        let set = rows(&transaction, CURRENT, "slice")?;
        let set: TableSet = set.into_iter().map(|(slice, table)| (slice as usize, table)).collect();
        let entries = rows(&transaction, ENTRIES, "version")?.into_iter().map(|(_, entry)| entry).collect();
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
            let changed = page.changed.iter().map(|(slice, table)| (*slice as u64, Some(table)));
            let removed = page.removed.iter().map(|slice| (*slice as u64, None::<&SliceTable>));
            put(&transaction, CURRENT, "slice", changed.chain(removed))?;
            let touched = page.touched.iter().map(|(number, entry)| (*number, entry.as_ref()));
            put(&transaction, ENTRIES, "version", touched)?;
            let rollbacks = page.rollbacks.iter().map(|(id, rollback)| (*id, rollback.as_ref()));
            put(&transaction, ROLLBACKS, "rollback", rollbacks)?;
            transaction.open_table(META)?.insert(NUMBER_KEY, page.number)?;
        }
        transaction.commit()?;
        Ok(())
    }

    /// The rollbacks that were under way, oldest first.
    pub fn rollbacks(&self) -> Result<Vec<Rollback>, BookError> {
        let found = rows(&self.database.begin_read()?, ROLLBACKS, "rollback")?;
        Ok(found.into_iter().map(|(_, rollback)| rollback).collect())
    }
}

type Table = TableDefinition<'static, u64, &'static [u8]>;

/// All rows of a table, in the order of their keys; `what` names a row that can't be read.
fn rows<T: DeserializeOwned>(
    transaction: &ReadTransaction,
    table: Table,
    what: &str,
) -> Result<Vec<(u64, T)>, BookError> {
    let mut found = Vec::new();
    for row in transaction.open_table(table)?.iter()? {
        let (key, bytes) = row?;
        let (key, read) = (key.value(), serde_json::from_slice(bytes.value()));
        let content = |error| BookError::Content { place: format!("{what} {key}"), error };
        found.push((key, read.map_err(content)?));
    }
    Ok(found)
}

/// Writes rows, and takes those away that have no value.
fn put<'a, T: Serialize + 'a>(
    transaction: &WriteTransaction,
    table: Table,
    what: &str,
    rows: impl Iterator<Item = (u64, Option<&'a T>)>,
) -> Result<(), BookError> {
    let mut table = transaction.open_table(table)?;
    for (key, value) in rows {
        let Some(value) = value else {
            table.remove(key)?;
            continue;
        };
        let content = |error| BookError::Content { place: format!("{what} {key}"), error };
        table.insert(key, serde_json::to_vec(value).map_err(content)?.as_slice())?;
    }
    Ok(())
}
