//! A file whose content was changed on disk is either refused, or read as a version that was once kept.

use std::collections::BTreeMap;
use std::fs;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use whinhill_history::HistoryDb;
use whinhill_tables::{Author, Changes, Limits, NumberedSet, SliceTable, Version};

const LIMITS: Limits = Limits { entries: 200, bytes: 1 << 20, age: Duration::from_secs(1 << 30) };

/// Writes a file with some versions. Returns the set of each version.
fn write_history(path: &std::path::Path) -> BTreeMap<u64, NumberedSet> {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let (mut db, mut history) = HistoryDb::open(path, LIMITS).unwrap();
    let mut kept = BTreeMap::from([(0, history.current().clone())]);
    for number in 1..=40 {
        let owner = format!("10.0.0.{}:7", rng.random_range(1..9));
        let version = Version { epoch: 1, number };
        let table =
            SliceTable { version, owner: Some(owner.as_str().into()), shares: vec![1.0, 0.5], tries: 1 };
        let changes = Changes::from([(rng.random_range(0..12), Some(table))]);
        let delta =
            history.record_changes(changes, Author::Module, "a cause", Duration::from_secs(number), number);
        db.persist(&history.update_with(delta.unwrap())).unwrap();
        kept.insert(number, history.current().clone());
    }
    kept
}

/// Changes some random bytes, truncates the file, zeroes a range, or copies one block over another.
fn corrupt(rng: &mut ChaCha8Rng, bytes: &mut Vec<u8>) {
    match rng.random_range(0..4) {
        0 => {
            for _ in 0..rng.random_range(1..20) {
                let position = rng.random_range(0..bytes.len());
                bytes[position] = rng.random();
            }
        }
        1 => bytes.truncate(rng.random_range(0..bytes.len())),
        2 => {
            let from = rng.random_range(0..bytes.len());
            let to = (from + rng.random_range(1..8192usize)).min(bytes.len());
            bytes[from..to].fill(0);
        }
        _ => {
            let blocks = bytes.len() / 4096;
            let (from, to) = (rng.random_range(0..blocks) * 4096, rng.random_range(0..blocks) * 4096);
            bytes.copy_within(from..from + 4096, to);
        }
    }
}

/// Opens a corrupted file for each seed. Returns how many were refused and how many were read.
fn open_corrupted(seeds: std::ops::Range<u64>) -> (u64, u64) {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("history.redb");
    let kept = write_history(&path);
    let intact = fs::read(&path).unwrap();
    let (mut refused, mut read) = (0, 0);
    for seed in seeds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut bytes = intact.clone();
        corrupt(&mut rng, &mut bytes);
        fs::write(&path, &bytes).unwrap();
        let opened = catch_unwind(AssertUnwindSafe(|| HistoryDb::open(&path, LIMITS)));
        let opened = opened.unwrap_or_else(|_| panic!("seed {seed}: the reader panicked"));
        match opened {
            Err(error) => {
                assert!(!error.to_string().contains('\n'), "seed {seed}: {error}");
                refused += 1;
            }
            Ok((_, history)) => {
                let current = history.current();
                assert_eq!(Some(current), kept.get(&current.id().number), "seed {seed}");
                read += 1;
            }
        }
    }
    (refused, read)
}

#[test]
fn corrupted_file_is_refused_or_reads_as_a_kept_version() {
    let (refused, read) = open_corrupted(0..150);
    assert!(refused > 10 && read > 10, "{refused} refused, {read} read");
}

/// The long run, started manually: `cargo test --release -p whinhill-history --test corruption -- --ignored`.
#[test]
#[ignore = "takes minutes"]
fn many_corrupted_files() {
    let (refused, read) = open_corrupted(1000..21_000);
    println!("{refused} refused, {read} read");
}
