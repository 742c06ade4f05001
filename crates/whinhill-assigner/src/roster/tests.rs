use std::thread;

use super::*;

const WITHIN: Duration = Duration::from_secs(20);

/// A file that stays as it is tells that its list is current, and one that cannot be read does not.
#[test]
fn an_unchanged_file_is_current_and_a_missing_one_is_not() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("roster.json5");
    fs::write(&path, "{ servers: [] }").unwrap();
    let (inputs, told) = crossbeam_channel::unbounded();
    let stop = Arc::new(AtomicBool::new(false));
    let feed = Feed {
        config: RosterConfig::File { path: path.clone() },
        last: RosterFile::default(),
        keeping: None,
        inputs,
        stop: stop.clone(),
        drivers: Drivers::start("test", 1).unwrap(),
        node: "a".to_string(),
        listed: Arc::default(),
    };
    let running = thread::spawn(move || feed.run());
    let is = |wanted: fn(&Input) -> bool| {
        let until = Instant::now() + WITHIN;
        while !wanted(&told.recv_deadline(until).expect("told in time")) {}
    };
    is(|input| matches!(input, Input::Roster { kind: ListKind::Full, .. }));
    is(|input| matches!(input, Input::RosterIsCurrent));
    fs::remove_file(&path).unwrap();
    is(|input| matches!(input, Input::Roster { kind: ListKind::Failed, .. }));
    thread::sleep(CURRENT_EVERY * 2);
    assert!(!told.try_iter().any(|input| matches!(input, Input::RosterIsCurrent)));
    stop.store(true, Ordering::Relaxed);
    running.join().unwrap();
}
