//! The list of servers from a file.

use std::thread;

use super::*;

const TIMEOUT: Duration = Duration::from_secs(20);

/// An unchanged file must keep its list current, and a file that cannot be read must not.
#[test]
fn unchanged_file_is_reported_as_current_and_missing_file_as_failed() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("roster.json5");
    fs::write(&path, "{ servers: [] }").unwrap();
    let (inputs, published) = crossbeam_channel::unbounded();
    let stop = Arc::new(AtomicBool::new(false));
    let feed = RosterFeed {
        config: RosterConfig::File { path: path.clone() },
        last_list: RosterFile::default(),
        mailbox: None,
        inputs,
        stop: stop.clone(),
        drivers: Drivers::start("test", 1).unwrap(),
        node: "a".to_string(),
        list_published: Arc::default(),
    };
    let running = thread::spawn(move || feed.run());
    let wait_for = |wanted: fn(&Input) -> bool| {
        let until = Instant::now() + TIMEOUT;
        while !wanted(&published.recv_deadline(until).expect("published in time")) {}
    };
    wait_for(|input| matches!(input, Input::Roster { kind: ListKind::Full, .. }));
    wait_for(|input| matches!(input, Input::RosterUnchanged));
    fs::remove_file(&path).unwrap();
    wait_for(|input| matches!(input, Input::Roster { kind: ListKind::Failed, .. }));
    thread::sleep(CURRENT_INTERVAL * 2);
    assert!(!published.try_iter().any(|input| matches!(input, Input::RosterUnchanged)));
    stop.store(true, Ordering::Relaxed);
    running.join().unwrap();
}
