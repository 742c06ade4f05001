//! The history file after a crash at any write, on a full disk, after failed syncs, and in a newer format.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;
use whinhill_history::{HistoryDb, HistoryDbError, FORMAT_VERSION};
use whinhill_tables::{Author, Delta, History, Limits, SliceTable, Version};

const LIMITS: Limits = Limits { entries: 20, bytes: 1 << 20, age: Duration::from_secs(1 << 30) };

/// A disk in memory. After a crash it holds `synced` and any part of `unsynced`.
#[derive(Debug, Default)]
struct Disk {
    /// The content that reads return.
    now: Vec<u8>,
    /// The content that survives a crash for certain.
    synced: Vec<u8>,
    /// The writes since the last sync, with their offsets.
    unsynced: Vec<(u64, Vec<u8>)>,
    /// The number of writes that still succeed before the disk is full.
    writes_left: Option<u64>,
    /// Whether the next sync fails and drops the unsynced writes, so that later syncs succeed without them; fsync(2)
    /// describes this.
    drops_next_sync: bool,
}

#[derive(Clone, Debug, Default)]
struct Storage(Arc<Mutex<Disk>>);

impl Storage {
    fn use_write(disk: &mut Disk) -> io::Result<()> {
        match &mut disk.writes_left {
            Some(0) => Err(io::Error::new(io::ErrorKind::StorageFull, "no space left on the disk")),
            Some(writes_left) => {
                *writes_left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// The disk after a crash: the synced content and some of the later writes, a few of them torn.
    fn crashed(&self, rng: &mut ChaCha8Rng) -> Storage {
        let disk = self.0.lock().unwrap();
        let mut found = disk.synced.clone();
        for (offset, data) in &disk.unsynced {
            if rng.random_bool(0.5) {
                let part = if rng.random_bool(0.3) { rng.random_range(0..=data.len()) } else { data.len() };
                let end = *offset as usize + part;
                if end <= found.len() {
                    found[*offset as usize..end].copy_from_slice(&data[..part]);
                }
            }
        }
        Storage(Arc::new(Mutex::new(Disk { now: found.clone(), synced: found, ..Disk::default() })))
    }
}

impl StorageBackend for Storage {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().now.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let disk = self.0.lock().unwrap();
        let from = disk.now.get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(from.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        Storage::use_write(&mut disk)?;
        disk.now.resize(len as usize, 0);
        // The file's length is assumed to be durable at once, unlike its content.
        disk.synced.resize(len as usize, 0);
        // Writes past the new end are lost, even if the file grows again.
        for (offset, data) in &mut disk.unsynced {
            data.truncate(len.saturating_sub(*offset) as usize);
        }
        disk.unsynced.retain(|(_, data)| !data.is_empty());
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        Storage::use_write(&mut disk)?;
        let unsynced = std::mem::take(&mut disk.unsynced);
        if std::mem::take(&mut disk.drops_next_sync) {
            return Err(io::Error::other("a failing disk"));
        }
        for (offset, data) in unsynced {
            let end = offset as usize + data.len();
            disk.synced[offset as usize..end].copy_from_slice(&data);
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        Storage::use_write(&mut disk)?;
        disk.now[offset as usize..offset as usize + data.len()].copy_from_slice(data);
        disk.unsynced.push((offset, data.to_vec()));
        Ok(())
    }
}

/// Records one change drawn from `rng`.
fn change(history: &mut History, rng: &mut ChaCha8Rng, step: u64) -> Option<Delta> {
    let mut set = history.current().set().clone();
    let owner = format!("10.0.0.{}:7", rng.random_range(1..9));
    let table = SliceTable {
        version: Version { epoch: 1 + step / 50, number: step },
        owner: Some(owner.as_str().into()),
        shares: vec![1.0, f64::from(rng.random_range(0..20u32)) / 20.0],
        tries: 0,
    };
    set.insert(rng.random_range(0..12), table);
    history.record_set(set, Author::Module, "a cause", Duration::from_secs(step), step)
}

#[test]
fn last_kept_version_is_complete_after_a_crash_with_torn_writes() {
    for seed in 0..12 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut storage = Storage::default();
        let (mut db, mut history) = HistoryDb::open_with_backend(storage.clone(), LIMITS).unwrap();
        for step in 1..60 {
            let Some(delta) = change(&mut history, &mut rng, step) else { continue };
            if rng.random_bool(0.1) {
                // The disk becomes full at some write of this version, and then the machine crashes.
                storage.0.lock().unwrap().writes_left = Some(rng.random_range(0..12));
                let kept = db.persist(&history.update_with(delta.clone())).is_ok();
                let newest = if kept { delta.to } else { delta.from };
                drop(db);
                storage = storage.crashed(&mut rng);
                (db, history) = HistoryDb::open_with_backend(storage.clone(), LIMITS).unwrap();
                let found = history.current().id();
                // A failed sync may have reached the disk nevertheless; then the version is complete.
                assert!(
                    found == newest || !kept && found == delta.to,
                    "seed {seed}, step {step}: {found}, {newest}"
                );
            } else {
                db.persist(&history.update_with(delta)).unwrap();
            }
        }
        let numbers: Vec<u64> = history.entries().map(|entry| entry.id.number).collect();
        assert!(numbers.iter().all(|number| history.rebuild(*number).is_some()) && numbers.len() <= 20);
    }
}

#[test]
fn full_disk_keeps_earlier_versions_and_nothing_of_the_failed_one() {
    let storage = Storage::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut db, mut history) = HistoryDb::open_with_backend(storage.clone(), LIMITS).unwrap();
    let good = change(&mut history, &mut rng, 1).unwrap();
    db.persist(&history.update_with(good.clone())).unwrap();
    storage.0.lock().unwrap().writes_left = Some(0);
    let refused = change(&mut history, &mut rng, 2).unwrap();
    let error = db.persist(&history.update_with(refused)).unwrap_err().to_string();
    assert!(error.contains("no space left"), "{error}");
    drop(db);
    storage.0.lock().unwrap().writes_left = None;
    let (_, found) = HistoryDb::open_with_backend(storage, LIMITS).unwrap();
    assert_eq!(found.current().id(), good.to);
}

/// The disk after a crash at which no unsynced write reached it.
fn synced_only(storage: &Storage) -> Storage {
    let found = storage.0.lock().unwrap().synced.clone();
    Storage(Arc::new(Mutex::new(Disk { now: found.clone(), synced: found, ..Disk::default() })))
}

/// Limits with so many entries that a change affects only a part of the file.
const LARGE_LIMITS: Limits = Limits { entries: 200, ..LIMITS };

/// After a failed sync the system drops the unsynced writes and reports no further error. An update that is written
/// again must then be on disk completely, and so must all before it.
#[test]
fn update_written_again_after_a_failed_sync_is_complete() {
    let mut lost_updates = 0;
    for seed in 0..100 {
        let storage = Storage::default();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut db, mut history) = HistoryDb::open_with_backend(storage.clone(), LARGE_LIMITS).unwrap();
        let steps = rng.random_range(1..120);
        for step in 1..steps {
            let Some(delta) = change(&mut history, &mut rng, step) else { continue };
            db.persist(&history.update_with(delta)).unwrap();
        }
        storage.0.lock().unwrap().drops_next_sync = true;
        let Some(delta) = change(&mut history, &mut rng, steps) else { continue };
        let update = history.update_with(delta);
        db.persist(&update).unwrap_err();
        drop(db);
        let newest = history.current().id();
        let found = HistoryDb::open_with_backend(synced_only(&storage), LARGE_LIMITS);
        lost_updates +=
            u32::from(found.is_err() || found.is_ok_and(|(_, found)| found.current().id() != newest));
        let (mut db, _) = HistoryDb::open_with_backend(storage.clone(), LARGE_LIMITS).unwrap();
        db.persist(&update).unwrap();
        drop(db);
        let (_, found) = HistoryDb::open_with_backend(synced_only(&storage), LARGE_LIMITS).unwrap();
        assert_eq!(found.current().id(), newest, "seed {seed}");
        assert!(found.entries().eq(history.entries()), "seed {seed}");
    }
    assert!(lost_updates > 50, "too few updates were lost to test this: {lost_updates}");
}

#[test]
fn good_flags_and_compaction_survive_and_a_newer_format_is_refused() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("history.redb");
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let (mut db, mut history) = HistoryDb::open(&path, LARGE_LIMITS).unwrap();
    for step in 1..80 {
        if let Some(delta) = change(&mut history, &mut rng, step) {
            db.persist(&history.update_with(delta)).unwrap();
        }
        if step == 5 {
            assert!(history.mark_good(5));
            db.persist(&history.update_without_delta()).unwrap();
        }
    }
    let entries: Vec<_> = history.entries().cloned().collect();
    let good = history.rebuild(5);
    drop(db);
    let (db, found) = HistoryDb::open(&path, LARGE_LIMITS).unwrap();
    assert_eq!(found.entries().cloned().collect::<Vec<_>>(), entries);
    assert_eq!((found.rebuild(5), found.last_good()), (good, Some(5)));
    drop(db);
    let database = redb::Database::create(&path).unwrap();
    let transaction = database.begin_write().unwrap();
    let meta = redb::TableDefinition::<&str, u64>::new("meta");
    transaction.open_table(meta).unwrap().insert("format", FORMAT_VERSION + 1).unwrap();
    transaction.commit().unwrap();
    drop(database);
    assert!(
        matches!(HistoryDb::open(&path, LARGE_LIMITS), Err(HistoryDbError::NewerFormat { found, known }) if found == known + 1)
    );
}
