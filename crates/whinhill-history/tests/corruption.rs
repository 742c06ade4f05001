//! A file that a disk has changed: it is refused, or what is read of it was once kept. Never anything else.

use std::collections::BTreeMap;
use std::fs;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use whinhill_history::Book;
use whinhill_tables::{Author, Changes, Held, Limits, SliceTable, Version};

const LIMITS: Limits = Limits { entries: 200, bytes: 1 << 20, age: Duration::from_secs(1 << 30) };

/// A file of some versions, and each of them.
fn written(path: &std::path::Path) -> BTreeMap<u64, Held> {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let (mut book, mut history) = Book::open(path, LIMITS).unwrap();
    let mut kept = BTreeMap::from([(0, history.current().clone())]);
    for number in 1..=40 {
        let owner = format!("10.0.0.{}:7", rng.random_range(1..9));
        let version = Version { epoch: 1, number };
        let table =
            SliceTable { version, owner: Some(owner.as_str().into()), shares: vec![1.0, 0.5], tries: 1 };
        let changes = Changes::from([(rng.random_range(0..12), Some(table))]);
        let delta = history.advance(changes, Author::Module, "a cause", Duration::from_secs(number), number);
        book.keep(&history.page(delta.unwrap())).unwrap();
        kept.insert(number, history.current().clone());
    }
    kept
}

/// Changes some bytes, cuts the end off, or writes a block over another, as drawn.
fn mangle(rng: &mut ChaCha8Rng, bytes: &mut Vec<u8>) {
    match rng.random_range(0..4) {
        0 => {
            for _ in 0..rng.random_range(1..20) {
                let place = rng.random_range(0..bytes.len());
                bytes[place] = rng.random();
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

fn mangled(seeds: std::ops::Range<u64>) -> (u64, u64) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("history.redb");
    let kept = written(&path);
    let whole = fs::read(&path).unwrap();
    let (mut refused, mut read) = (0, 0);
    for seed in seeds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut bytes = whole.clone();
        mangle(&mut rng, &mut bytes);
        fs::write(&path, &bytes).unwrap();
        let opened = catch_unwind(AssertUnwindSafe(|| Book::open(&path, LIMITS)));
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
fn a_mangled_file_is_refused_or_holds_what_was_kept() {
    let (refused, read) = mangled(0..150);
    assert!(refused > 10 && read > 10, "{refused} refused, {read} read");
}

/// The longer run, by hand: `cargo test --release -p whinhill-history --test mangled -- --ignored`.
#[test]
#[ignore = "takes minutes"]
fn many_mangled_files() {
    let (refused, read) = mangled(1000..21_000);
    println!("{refused} refused, {read} read");
}
