//! The history of published table sets on disk.
//!
//! One file holds the newest set slice by slice, and one entry for each version. Each version is one transaction,
//! synced before [`HistoryDb::persist`] returns: a version that was kept survives a crash, and one that failed to be kept
//! leaves nothing behind. The embedded database is `redb`; `docs/tables.md` compares the alternatives.
//!
//! ```
//! use std::time::Duration;
//! use whinhill_history::HistoryDb;
//! use whinhill_tables::{Author, Limits};
//! # let folder = tempfile::tempdir()?;
//! let limits = Limits { entries: 1000, bytes: 1 << 20, age: Duration::from_secs(86_400) };
//! let (mut db, mut history) = HistoryDb::open(&folder.path().join("history.redb"), limits)?;
//! let set = history.current().set().clone();
//! if let Some(delta) = history.record_set(set, Author::Recovery, "start", Duration::ZERO, 0) {
//!     db.persist(&history.update_with(delta))?;
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
use whinhill_errors::is_temporary_file_error;
use whinhill_tables::rollback::Rollback;
use whinhill_tables::{History, HistoryUpdate, Limits, NumberedSet, RestoreError, SliceTable, TableSet};

/// The version of the file format. A file with a greater one was written by a later program and is not modified.
pub const FORMAT_VERSION: u64 = 1;

/// The format version, and the number of the newest set.
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// Entries of versions, by number.
const ENTRIES: Table = TableDefinition::new("entries");
/// The tables of the newest set, by slice.
const CURRENT: Table = TableDefinition::new("current");
/// Remembered rollbacks, finished ones included, by id.
const ROLLBACKS: Table = TableDefinition::new("rollbacks");
const FORMAT_KEY: &str = "format";
const NUMBER_KEY: &str = "number";

/// Why the history could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum HistoryDbError {
    /// The file was written by a later program.
    #[error("the history has format {found}; this program supports up to {known}")]
    NewerFormat { found: u64, known: u64 },
    /// A row can't be parsed or written.
    #[error("history row {row}: {error}")]
    Content { row: String, error: serde_json::Error },
    /// The rows are valid, but do not form a history.
    #[error("the history is inconsistent: {0}")]
    Restore(#[from] RestoreError),
    /// The database panicked on the file's content.
    #[error("the history file is damaged; move it away to start with an empty history")]
    Damaged,
    /// An error of the database or the file system.
    #[error("the history file: {0}")]
    Storage(Box<redb::Error>),
}

impl HistoryDbError {
    /// Whether the same operation may succeed later without intervention: the disk was full, or failed temporarily.
    pub fn is_transient(&self) -> bool {
        use io::ErrorKind::{InvalidData, UnexpectedEof};
        let HistoryDbError::Storage(error) = self else { return false };
        match &**error {
            redb::Error::Io(error) => {
                is_temporary_file_error(error) && !matches!(error.kind(), InvalidData | UnexpectedEof)
            }
            redb::Error::PreviousIo => true,
            _ => false,
        }
    }
}

/// Converts `redb`'s errors; it has a type for each kind of operation.
macro_rules! from_redb {
    ($($error:ident),*) => {
        $(impl From<redb::$error> for HistoryDbError {
            fn from(error: redb::$error) -> Self {
                HistoryDbError::Storage(Box::new(error.into()))
            }
        })*
    };
}

impl From<io::Error> for HistoryDbError {
    fn from(error: io::Error) -> Self {
        HistoryDbError::Storage(Box::new(redb::Error::Io(error)))
    }
}

from_redb!(DatabaseError, TransactionError, TableError, StorageError, CommitError, SetDurabilityError);

/// Turns a panic while opening a file into [`HistoryDbError::Damaged`]. `redb` checks what it reads, but panics on some
/// damage, which `tests/corruption.rs` found by corrupting files.
fn catch_panic<T>(open: impl FnOnce() -> Result<T, HistoryDbError>) -> Result<T, HistoryDbError> {
    catch_unwind(AssertUnwindSafe(open)).unwrap_or(Err(HistoryDbError::Damaged))
}

/// The open history file.
pub struct HistoryDb {
    database: Database,
}

impl HistoryDb {
    /// Opens the file, or creates it, and restores the history that it holds.
    pub fn open(path: &Path, limits: Limits) -> Result<(Self, History), HistoryDbError> {
        if !path.try_exists()? {
            Self::create(path, limits)?;
        }
        catch_panic(|| Self::from_database(Database::create(path)?, limits))
    }

    /// Creates an empty history under another name and renames it once it is complete. A file whose creation was
    /// interrupted at `path` itself could not be opened again.
    fn create(path: &Path, limits: Limits) -> Result<(), HistoryDbError> {
        let temporary = path.with_extension("new");
        match fs::remove_file(&temporary) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error.into()),
            _ => {}
        }
        let created = catch_panic(|| Self::from_database(Database::create(&temporary)?, limits))?;
        drop(created);
        fs::rename(&temporary, path)?;
        // Syncs the directory, so that the rename survives a crash.
        if let Some(directory) = path.parent().filter(|directory| !directory.as_os_str().is_empty()) {
            fs::File::open(directory)?.sync_all()?;
        }
        Ok(())
    }

    /// As [`HistoryDb::open`], on a given storage; tests use one that fails.
    pub fn open_with_backend(
        storage: impl StorageBackend,
        limits: Limits,
    ) -> Result<(Self, History), HistoryDbError> {
        catch_panic(|| Self::from_database(Database::builder().create_with_backend(storage)?, limits))
    }

    /// Verifies the database, creates missing tables and restores the history.
    fn from_database(mut database: Database, limits: Limits) -> Result<(Self, History), HistoryDbError> {
        // Verifies the checksum of every page, so that data changed by the disk is not taken for tables.
        database.check_integrity()?;
        let transaction = database.begin_write()?;
        {
            let mut meta = transaction.open_table(META)?;
            let found = meta.get(FORMAT_KEY)?.map(|value| value.value());
            match found {
                Some(found) if found > FORMAT_VERSION => {
                    return Err(HistoryDbError::NewerFormat { found, known: FORMAT_VERSION })
                }
                Some(_) => {}
                None => drop(meta.insert(FORMAT_KEY, FORMAT_VERSION)?),
            }
            transaction.open_table(ENTRIES)?;
            transaction.open_table(CURRENT)?;
            transaction.open_table(ROLLBACKS)?;
        }
        transaction.commit()?;
        let db = HistoryDb { database };
        let history = db.load(limits)?;
        Ok((db, history))
    }

    /// Restores the history from all rows.
    fn load(&self, limits: Limits) -> Result<History, HistoryDbError> {
        let transaction = self.database.begin_read()?;
        let set = read_rows(&transaction, CURRENT, "slice")?;
        let set: TableSet = set.into_iter().map(|(slice, table)| (slice as usize, table)).collect();
        let entries =
            read_rows(&transaction, ENTRIES, "version")?.into_iter().map(|(_, entry)| entry).collect();
        let number = transaction.open_table(META)?.get(NUMBER_KEY)?.map_or(0, |value| value.value());
        Ok(History::restore(limits, NumberedSet::new(number, set), entries)?)
    }

    /// Writes an update: the newest version, and the entries that were compacted, rewritten or marked good meanwhile.
    /// It is on disk when this returns. After an error nothing of it is, and its version must not be published. The
    /// same update may be written again.
    pub fn persist(&mut self, update: &HistoryUpdate) -> Result<(), HistoryDbError> {
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(Durability::Immediate)?;
        {
            let changed = update.changed.iter().map(|(slice, table)| (*slice as u64, Some(table)));
            let removed = update.removed.iter().map(|slice| (*slice as u64, None::<&SliceTable>));
            write_rows(&transaction, CURRENT, "slice", changed.chain(removed))?;
            let changed_entries =
                update.changed_entries.iter().map(|(number, entry)| (*number, entry.as_ref()));
            write_rows(&transaction, ENTRIES, "version", changed_entries)?;
            let rollbacks = update.rollbacks.iter().map(|(id, rollback)| (*id, rollback.as_ref()));
            write_rows(&transaction, ROLLBACKS, "rollback", rollbacks)?;
            transaction.open_table(META)?.insert(NUMBER_KEY, update.number)?;
        }
        transaction.commit()?;
        Ok(())
    }

    /// The stored rollbacks, finished ones included, oldest first.
    pub fn rollbacks(&self) -> Result<Vec<Rollback>, HistoryDbError> {
        let rollbacks = read_rows(&self.database.begin_read()?, ROLLBACKS, "rollback")?;
        Ok(rollbacks.into_iter().map(|(_, rollback)| rollback).collect())
    }
}

/// A table of JSON rows with integer keys.
type Table = TableDefinition<'static, u64, &'static [u8]>;

/// Reads all rows of a table in the order of their keys. `what` names an invalid row in errors.
fn read_rows<T: DeserializeOwned>(
    transaction: &ReadTransaction,
    table: Table,
    what: &str,
) -> Result<Vec<(u64, T)>, HistoryDbError> {
    let mut parsed = Vec::new();
    for row in transaction.open_table(table)?.iter()? {
        let (key, bytes) = row?;
        let (key, value) = (key.value(), serde_json::from_slice(bytes.value()));
        let content = |error| HistoryDbError::Content { row: format!("{what} {key}"), error };
        parsed.push((key, value.map_err(content)?));
    }
    Ok(parsed)
}

/// Writes rows, and removes those without a value.
fn write_rows<'a, T: Serialize + 'a>(
    transaction: &WriteTransaction,
    table: Table,
    what: &str,
    rows: impl Iterator<Item = (u64, Option<&'a T>)>,
) -> Result<(), HistoryDbError> {
    let mut table = transaction.open_table(table)?;
    for (key, value) in rows {
        let Some(value) = value else {
            table.remove(key)?;
            continue;
        };
        let content = |error| HistoryDbError::Content { row: format!("{what} {key}"), error };
        table.insert(key, serde_json::to_vec(value).map_err(content)?.as_slice())?;
    }
    Ok(())
}
