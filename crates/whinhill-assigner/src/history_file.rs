//! The history file and the update that is still to be written to it. An update that the disk refuses stays pending, is
//! merged with later ones and retried: none of it is reported as persisted before all of it is.

use std::path::{Path, PathBuf};

use whinhill_history::{HistoryDb, HistoryDbError};
use whinhill_tables::rollback::Rollback;
use whinhill_tables::{History, Limits};

use crate::history_recorder::NumberedUpdate;
use crate::retry::Retry;

/// What the file is known to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PersistedUpdate {
    /// The number of the last update, as in [`NumberedUpdate`].
    pub seq: u64,
    /// The newest version.
    pub version: u64,
}

/// The file and the pending update. Its holder is the only writer of the file.
pub struct HistoryFile {
    path: PathBuf,
    limits: Limits,
    /// `None` after a failure: the file is reopened, since a database that failed in a write accepts no further one.
    db: Option<HistoryDb>,
    pending: Option<NumberedUpdate>,
}

impl HistoryFile {
    /// A file that is opened with the first update.
    pub(crate) fn unopened(path: &Path, limits: Limits) -> Self {
        HistoryFile { path: path.to_path_buf(), limits, db: None, pending: None }
    }

    /// Opens or creates the file; returns the history and the rollbacks that it holds.
    ///
    /// # Errors
    /// When the disk refuses, or the file is not a history.
    pub fn open(path: &Path, limits: Limits) -> Result<(Self, History, Vec<Rollback>), HistoryDbError> {
        let (db, history) = HistoryDb::open(path, limits)?;
        let rollbacks = db.rollbacks()?;
        let file = HistoryFile { db: Some(db), ..Self::unopened(path, limits) };
        Ok((file, history, rollbacks))
    }

    /// Like [`HistoryFile::open`], but retries while the disk refuses.
    ///
    /// # Errors
    /// When the file is not a history, or the disk refuses until the retries end.
    pub fn open_with_retry(
        path: &Path,
        limits: Limits,
        retry: &Retry<'_>,
    ) -> Result<(Self, History, Vec<Rollback>), HistoryDbError> {
        retry.call("opening the history", HistoryDbError::is_transient, || Self::open(path, limits))
    }

    /// Where the file is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Merges an update into the pending one.
    pub fn put(&mut self, update: NumberedUpdate) {
        NumberedUpdate::put(&mut self.pending, Some(update));
    }

    /// Whether an update is pending.
    pub fn has_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Persists the pending update; `None` if there is none. After an error none of it is known to be persisted, and
    /// all of it stays pending.
    pub fn persist_pending(&mut self) -> Result<Option<PersistedUpdate>, HistoryDbError> {
        let Some(NumberedUpdate { seq, update }) = self.pending.take() else { return Ok(None) };
        let result = self.open_db().and_then(|db| db.persist(&update));
        if let Err(error) = result {
            self.db = None;
            self.pending = Some(NumberedUpdate { seq, update });
            return Err(error);
        }
        Ok(Some(PersistedUpdate { seq, version: update.number }))
    }

    /// The open database.
    fn open_db(&mut self) -> Result<&mut HistoryDb, HistoryDbError> {
        match &mut self.db {
            Some(db) => Ok(db),
            none => Ok(none.insert(HistoryDb::open(&self.path, self.limits)?.0)),
        }
    }
}
