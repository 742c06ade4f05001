//! The file under a crash at any write, a full disk, and a form from the future.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;
use whinhill_history::{Book, BookError, FORMAT};
use whinhill_tables::{Author, Delta, History, Limits, SliceTable, Version};

const LIMITS: Limits = Limits { entries: 20, bytes: 1 << 20, age: Duration::from_secs(1 << 30) };

/// A disk in memory: `synced` is what a crash leaves for certain, and of what was written since then any part.
#[derive(Debug, Default)]
struct Disk {
    now: Vec<u8>,
    synced: Vec<u8>,
    since: Vec<(u64, Vec<u8>)>,
    /// Writes that still succeed; then the disk is full.
    left: Option<u64>,
    /// The next sync fails, and the system forgets what it should have taken (fsync(2)): later ones succeed without it.
    forgets: bool,
}

#[derive(Clone, Debug, Default)]
struct Storage(Arc<Mutex<Disk>>);

impl Storage {
    fn spend(disk: &mut Disk) -> io::Result<()> {
        match &mut disk.left {
            Some(0) => Err(io::Error::new(io::ErrorKind::StorageFull, "no space left on the disk")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// What a machine finds after a crash: what was synced, and some of the later writes, one of them torn.
    fn crashed(&self, rng: &mut ChaCha8Rng) -> Storage {
        let disk = self.0.lock().unwrap();
        let mut found = disk.synced.clone();
        for (offset, data) in &disk.since {
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
        Storage::spend(&mut disk)?;
        disk.now.resize(len as usize, 0);
        // The length of a file is taken to be kept at once; its content is not.
        disk.synced.resize(len as usize, 0);
        // What was written past a new end is gone, also if the file grows again.
        for (offset, data) in &mut disk.since {
            data.truncate(len.saturating_sub(*offset) as usize);
        }
        disk.since.retain(|(_, data)| !data.is_empty());
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        Storage::spend(&mut disk)?;
        let taken = std::mem::take(&mut disk.since);
        if std::mem::take(&mut disk.forgets) {
            return Err(io::Error::other("a failing disk"));
        }
        for (offset, data) in taken {
            let end = offset as usize + data.len();
            disk.synced[offset as usize..end].copy_from_slice(&data);
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        Storage::spend(&mut disk)?;
        disk.now[offset as usize..offset as usize + data.len()].copy_from_slice(data);
        disk.since.push((offset, data.to_vec()));
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
    history.record(set, Author::Module, "a cause", Duration::from_secs(step), step)
}

#[test]
fn whatever_a_crash_tears_the_last_kept_version_is_found_whole() {
    for seed in 0..12 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut storage = Storage::default();
        let (mut book, mut history) = Book::open_on(storage.clone(), LIMITS).unwrap();
        for step in 1..60 {
            let Some(delta) = change(&mut history, &mut rng, step) else { continue };
            if rng.random_bool(0.1) {
                // The disk fails at some write of this version, and the machine with it.
                storage.0.lock().unwrap().left = Some(rng.random_range(0..12));
                let kept = book.keep(&history.page(delta.clone())).is_ok();
                let newest = if kept { delta.to } else { delta.from };
                drop(book);
                storage = storage.crashed(&mut rng);
                (book, history) = Book::open_on(storage.clone(), LIMITS).unwrap();
                let found = history.current().id();
                // A failed sync may have reached the disk all the same: then the version is there whole.
                assert!(
                    found == newest || !kept && found == delta.to,
                    "seed {seed}, step {step}: {found}, {newest}"
                );
            } else {
                book.keep(&history.page(delta)).unwrap();
            }
        }
        let numbers: Vec<u64> = history.entries().map(|entry| entry.id.number).collect();
        assert!(numbers.iter().all(|number| history.rebuild(*number).is_some()) && numbers.len() <= 20);
    }
}

#[test]
fn a_full_disk_keeps_nothing_of_the_version_and_all_before_it() {
    let storage = Storage::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut book, mut history) = Book::open_on(storage.clone(), LIMITS).unwrap();
    let good = change(&mut history, &mut rng, 1).unwrap();
    book.keep(&history.page(good.clone())).unwrap();
    storage.0.lock().unwrap().left = Some(0);
    let refused = change(&mut history, &mut rng, 2).unwrap();
    let error = book.keep(&history.page(refused)).unwrap_err().to_string();
    assert!(error.contains("no space left"), "{error}");
    drop(book);
    storage.0.lock().unwrap().left = None;
    let (_, found) = Book::open_on(storage, LIMITS).unwrap();
    assert_eq!(found.current().id(), good.to);
}

/// What the machine finds when nothing that was not synced has reached the disk.
fn lost_power(storage: &Storage) -> Storage {
    let found = storage.0.lock().unwrap().synced.clone();
    Storage(Arc::new(Mutex::new(Disk { now: found.clone(), synced: found, ..Disk::default() })))
}

/// So many that a change is in a part of the file alone.
const MANY: Limits = Limits { entries: 200, ..LIMITS };

/// A page that is kept again after a failed sync is on the disk whole, with all before it, though the system forgot
/// what that sync should have taken and says nothing more of it.
#[test]
fn a_page_kept_again_after_a_failed_sync_does_not_rest_on_what_was_forgotten() {
    let mut forgotten = 0;
    for seed in 0..100 {
        let storage = Storage::default();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut book, mut history) = Book::open_on(storage.clone(), MANY).unwrap();
        let steps = rng.random_range(1..120);
        for step in 1..steps {
            let Some(delta) = change(&mut history, &mut rng, step) else { continue };
            book.keep(&history.page(delta)).unwrap();
        }
        storage.0.lock().unwrap().forgets = true;
        let Some(delta) = change(&mut history, &mut rng, steps) else { continue };
        let page = history.page(delta);
        book.keep(&page).unwrap_err();
        drop(book);
        let newest = history.current().id();
        let found = Book::open_on(lost_power(&storage), MANY);
        forgotten +=
            u32::from(found.is_err() || found.is_ok_and(|(_, found)| found.current().id() != newest));
        let (mut book, _) = Book::open_on(storage.clone(), MANY).unwrap();
        book.keep(&page).unwrap();
        drop(book);
        let (_, found) = Book::open_on(lost_power(&storage), MANY).unwrap();
        assert_eq!(found.current().id(), newest, "seed {seed}");
        assert!(found.entries().eq(history.entries()), "seed {seed}");
    }
    assert!(forgotten > 50, "the disk forgot too little to tell: {forgotten}");
}

#[test]
fn marks_and_compaction_survive_and_a_newer_form_is_not_touched() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("history.redb");
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let (mut book, mut history) = Book::open(&path, MANY).unwrap();
    for step in 1..80 {
        if let Some(delta) = change(&mut history, &mut rng, step) {
            book.keep(&history.page(delta)).unwrap();
        }
        if step == 5 {
            assert!(history.pin_good(5));
            book.keep(&history.marks()).unwrap();
        }
    }
    let was: Vec<_> = history.entries().cloned().collect();
    let good = history.rebuild(5);
    drop(book);
    let (book, found) = Book::open(&path, MANY).unwrap();
    assert_eq!(found.entries().cloned().collect::<Vec<_>>(), was);
    assert_eq!((found.rebuild(5), found.last_good()), (good, Some(5)));
    drop(book);
    let database = redb::Database::create(&path).unwrap();
    let transaction = database.begin_write().unwrap();
    let meta = redb::TableDefinition::<&str, u64>::new("meta");
    transaction.open_table(meta).unwrap().insert("format", FORMAT + 1).unwrap();
    transaction.commit().unwrap();
    drop(database);
    assert!(
        matches!(Book::open(&path, MANY), Err(BookError::NewerFormat { found, known }) if found == known + 1)
    );
}
