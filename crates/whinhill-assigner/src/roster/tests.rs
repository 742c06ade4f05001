//! The list of servers from a file.

use std::thread;

use super::*;

const TIMEOUT: Duration = Duration::from_secs(20);

fn feed(config: RosterConfig, inputs: Sender<Input>, stop: &Arc<AtomicBool>) -> RosterFeed {
    RosterFeed {
        config,
        last_list: RosterFile::default(),
        mailbox: None,
        inputs,
        stop: stop.clone(),
        drivers: Drivers::start("test", 1).unwrap(),
        node: "a".to_string(),
        list_published: Arc::default(),
    }
}

/// An unchanged file must keep its list current, and a file that cannot be read must not.
#[test]
fn unchanged_file_is_reported_as_current_and_missing_file_as_failed() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("roster.json5");
    fs::write(&path, "{ servers: [] }").unwrap();
    let (inputs, published) = crossbeam_channel::unbounded();
    let stop = Arc::new(AtomicBool::new(false));
    let feed = feed(RosterConfig::File { path: path.clone() }, inputs, &stop);
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

/// Guards against a control plane that is asked ever later for the list while it is silent. What it has to tell counts as
/// told after 6 s, and the silence of an open stream is noticed within 4 s.
#[test]
fn silent_control_plane_is_asked_again_without_growing_delays() {
    const SILENCE: Duration = Duration::from_secs(10);
    const MAX_GAP: Duration = Duration::from_secs(2);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let config = RosterConfig::Eds { addr: listener.local_addr().unwrap(), resource: "fleet".to_string() };
    let (inputs, _published) = crossbeam_channel::unbounded();
    let stop = Arc::new(AtomicBool::new(false));
    let feed = feed(config, inputs, &stop);
    let running = thread::spawn(move || feed.run());
    let (sender, attempts) = crossbeam_channel::unbounded();
    thread::spawn(move || {
        let mut silent = Vec::new();
        for stream in listener.incoming().flatten() {
            silent.push(stream);
            let _ = sender.send(Instant::now());
        }
    });
    thread::sleep(SILENCE);
    stop.store(true, Ordering::Relaxed);
    running.join().unwrap();
    let times: Vec<Instant> = attempts.try_iter().collect();
    let gaps: Vec<Duration> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    println!("{gaps:?}");
    assert!(gaps.len() >= 3 && gaps.iter().all(|gap| *gap <= MAX_GAP), "{gaps:?}");
}
