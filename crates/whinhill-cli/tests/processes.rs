//! Assigner, proxy, store and server each as a process of its own, started by its sub-command.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use rustix::process::{kill_process, Pid, Signal};
use whinhill_transport::{Client, Drivers, Limits};

/// Maximum wait for any expected event.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A process that is killed when the value is dropped.
struct RunningProcess(Child);

impl Drop for RunningProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl RunningProcess {
    /// Starts a sub-command of the binary. Its log and its address go to the files `NAME.log` and `NAME.addr`.
    fn start(folder: &Path, name: &str, args: &[&str]) -> Self {
        Self::spawn(Command::new(env!("CARGO_BIN_EXE_whinhill")), folder, name, args)
    }

    /// The same with system calls that fail by a schedule (`docs/faults.md`).
    fn start_with_faults(folder: &Path, name: &str, args: &[&str], faults: &str) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
        command.env("LD_PRELOAD", fault_library()).env("WHINHILL_FAULTS", faults);
        Self::spawn(command, folder, name, args)
    }

    /// The same with another log level.
    fn start_with_faults_and_log(
        folder: &Path,
        name: &str,
        args: &[&str],
        faults: &str,
        level: &str,
    ) -> Self {
        let args = [&["--log-level", level], args].concat();
        Self::start_with_faults(folder, name, &args, faults)
    }

    /// The same with a command of the caller.
    fn spawn(mut command: Command, folder: &Path, name: &str, args: &[&str]) -> Self {
        let log = fs::File::create(folder.join(format!("{name}.log"))).unwrap();
        let ready = folder.join(format!("{name}.addr"));
        command.args(args).arg("--ready-file").arg(ready).stdout(Stdio::null()).stderr(log);
        RunningProcess(command.spawn().unwrap())
    }

    /// Sends SIGTERM and waits for the exit; returns the exit code.
    fn terminate(mut self) -> Option<i32> {
        kill_process(Pid::from_raw(self.0.id() as i32).unwrap(), Signal::TERM).unwrap();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.0.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < deadline, "the process has not ended");
            std::thread::yield_now();
        }
    }
}

/// The library that makes system calls fail, as built with the tests.
fn fault_library() -> PathBuf {
    let library = std::env::current_exe().unwrap().with_file_name("libwhinhill_faults.so");
    assert!(library.exists(), "{} is not built", library.display());
    library
}

/// Waits for the address that a process writes when it is ready.
fn wait_for_addr(folder: &Path, name: &str) -> SocketAddr {
    let path: PathBuf = folder.join(format!("{name}.addr"));
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(addr) = fs::read_to_string(&path).ok().and_then(|text| text.parse().ok()) {
            return addr;
        }
        let log = || fs::read_to_string(folder.join(format!("{name}.log"))).unwrap_or_default();
        assert!(Instant::now() < deadline, "{name} is not ready: {}", log());
        std::thread::park_timeout(Duration::from_millis(5));
    }
}

/// The log of a process so far.
fn read_log(folder: &Path, name: &str) -> String {
    fs::read_to_string(folder.join(format!("{name}.log"))).unwrap_or_default()
}

/// Waits until a process has logged a text.
fn wait_for_log(folder: &Path, name: &str, text: &str) {
    wait_for_log_times(folder, name, text, 1);
}

/// Waits until a process has logged a text at least `times` times.
fn wait_for_log_times(folder: &Path, name: &str, text: &str, times: usize) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while read_log(folder, name).matches(text).count() < times {
        assert!(
            Instant::now() < deadline,
            "{name} has not logged {text:?} {times} times: {}",
            read_log(folder, name)
        );
        std::thread::park_timeout(Duration::from_millis(5));
    }
}

/// The service in the configurations of assigner and proxy.
const SERVICE: &str = r#"{
  name: "booking", slices: 4, write_lease_ms: 1500, settle_ms: 500, hold_ms: 300, tries: 1,
  methods: [
    { name: "look", path: "/booking.Rates/Look", effect: "idempotent", criticality: 1, soft_deadline_ms: 500, deadline_ms: 2000 },
    { name: "commit", path: "/booking.Rates/Commit", writes: true, effect: "non-idempotent", criticality: 5, soft_deadline_ms: 500, deadline_ms: 1000 },
  ],
}"#;

/// Starts a server, with the settings of the quiet day.
fn start_server(folder: &Path, name: &str) -> RunningProcess {
    let day = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/quiet.json5");
    RunningProcess::start(folder, name, &["standin", "server", "--day", day.to_str().unwrap()])
}

/// A server, a roster file that lists it, and the address for a store that is not started yet.
struct Fixture {
    folder: tempfile::TempDir,
    store: SocketAddr,
    _server: RunningProcess,
}

impl Fixture {
    fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let _server = start_server(folder.path(), "server");
        let server = wait_for_addr(folder.path(), "server");
        let roster = format!(r#"{{ servers: [{{ addr: "{server}", zone: "z", state: "ready" }}] }}"#);
        fs::write(folder.path().join("roster.json5"), roster).unwrap();
        let store = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        Fixture { folder, store, _server }
    }

    fn start_server(&self, name: &str) -> RunningProcess {
        start_server(self.folder(), name)
    }

    fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// The path of a file in the folder.
    fn path(&self, name: &str) -> String {
        self.folder().join(name).to_str().unwrap().to_string()
    }

    /// Replaces the list of servers in the roster.
    fn write_roster(&self, servers: &str) {
        fs::write(self.path("roster.new"), format!("{{ servers: [{servers}] }}")).unwrap();
        fs::rename(self.path("roster.new"), self.path("roster.json5")).unwrap();
    }

    /// Writes the assigner's configuration with `part` replaced; returns its path.
    fn configure_assigner_with(&self, part: &str, replacement: &str) -> String {
        let path = self.configure_assigner();
        let config = fs::read_to_string(&path).unwrap();
        assert!(config.contains(part), "{config}");
        fs::write(&path, config.replace(part, replacement)).unwrap();
        path
    }

    /// Writes the assigner's configuration; returns its path.
    fn configure_assigner(&self) -> String {
        let config = format!(
            r#"{{ name: "a", peers: ["a"], listen: "127.0.0.1:0", zone: "z", zones: ["z"], service: {SERVICE},
              rules: {{ empty_ms: 9000, grace_ms: 2000, warm_after_ms: 5000, cold_from: 0.2, fall_multiple: 3, fall_ms: 1500 }},
              channel: {{ lines_per_s: 10000, head: 8, backlog: 10000, way_most_ms: 200 }},
              roster: {{ file: {{ path: "{}" }} }}, state_dir: "{}",
              store: {{ addr: "{}", within_ms: 300 }}, custody: {{ ttl_ms: 1200, margin_ms: 200 }}, report_period_ms: 300 }}"#,
            self.path("roster.json5"),
            self.path(""),
            self.store
        );
        fs::write(self.path("assigner.json5"), config).unwrap();
        self.path("assigner.json5")
    }

    fn start_proxy(&self, assigner: SocketAddr) -> RunningProcess {
        self.start_proxy_with_faults(assigner, "")
    }

    fn start_proxy_with_faults(&self, assigner: SocketAddr, faults: &str) -> RunningProcess {
        let config = format!(
            r#"{{ id: "p", zone: "z", listen: "127.0.0.1:0", service: {SERVICE}, status_file: "{}",
              assigners: [{{ name: "a", addr: "{assigner}" }}] }}"#,
            self.path("proxy.status")
        );
        fs::write(self.path("proxy.json5"), config).unwrap();
        let args = ["proxy", "--config", &self.path("proxy.json5")];
        RunningProcess::start_with_faults(self.folder(), "proxy", &args, faults)
    }

    fn start_store(&self) -> RunningProcess {
        let store = self.store.to_string();
        RunningProcess::start(self.folder(), "store", &["standin", "store", "--listen", &store])
    }

    /// Makes one RPC; the error is the text of a refusal.
    fn call(&self, client: &Client, path: &str) -> Result<(), String> {
        let headers = [("whinhill-key", "car-17".to_string()), ("whinhill-rpc", "1".to_string())];
        let answer = client.unary(path, &headers, Bytes::from_static(b"hello"), Duration::from_secs(2));
        answer.map(drop).map_err(|error| error.to_string())
    }

    /// Waits until both methods are answered. The slices have never had an owner: each gets one after the lease and the
    /// settle time.
    fn wait_until_served(&self, client: &Client) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        for path in PATHS {
            while let Err(error) = self.call(client, path) {
                let log = || fs::read_to_string(self.path("assigner.log")).unwrap_or_default();
                assert!(Instant::now() < deadline, "{path}: {error}; {}", log());
            }
        }
    }
}

/// The paths of the two methods: a read and a write.
const PATHS: [&str; 2] = ["/booking.Rates/Look", "/booking.Rates/Commit"];

#[test]
fn assigner_starts_without_store_and_serves_once_store_is_up() {
    let fixture = Fixture::start();
    let config = fixture.configure_assigner();
    let assigner_process =
        RunningProcess::start(fixture.folder(), "assigner", &["assigner", "--config", &config]);
    let assigner = wait_for_addr(fixture.folder(), "assigner");
    wait_for_log(fixture.folder(), "assigner", "the store fails");
    let proxy_process = fixture.start_proxy(assigner);
    let drivers = Drivers::start("test", 1).unwrap();
    let client =
        Client::connect(wait_for_addr(fixture.folder(), "proxy"), Limits::default(), &drivers).unwrap();
    // No assigner has custody of the slice: the RPC is rejected after the hold, with a reason.
    let refused = fixture.call(&client, PATHS[0]).unwrap_err();
    assert!(refused.contains("pushed back: no-line"), "{refused}");
    let _store = fixture.start_store();
    fixture.wait_until_served(&client);
    assert_eq!(assigner_process.terminate(), Some(0));
    wait_for_log(fixture.folder(), "assigner", "assigner stopped");
    // The proxy still forwards reads by the tables that it holds.
    assert_eq!(fixture.call(&client, PATHS[0]), Ok(()));
    assert_eq!(proxy_process.terminate(), Some(0));
}

/// The files in the state folder cannot be opened while writes to the disk fail, which may be transient.
#[test]
fn assigner_starts_although_first_disk_writes_fail() {
    let fixture = Fixture::start();
    let _store = fixture.start_store();
    let config = fixture.configure_assigner();
    let faults = "file-write=ENOSPC:0-2 sync=EIO:0-2";
    let args = ["assigner", "--config", &config];
    let assigner_process = RunningProcess::start_with_faults(fixture.folder(), "assigner", &args, faults);
    wait_for_log(fixture.folder(), "assigner", "opening the history fails, and is tried again");
    let _proxy = fixture.start_proxy(wait_for_addr(fixture.folder(), "assigner"));
    let drivers = Drivers::start("test", 1).unwrap();
    let client =
        Client::connect(wait_for_addr(fixture.folder(), "proxy"), Limits::default(), &drivers).unwrap();
    fixture.wait_until_served(&client);
    assert_eq!(assigner_process.terminate(), Some(0));
}

/// System calls fail, are interrupted, transfer only a part, or report too early that they would block. Each must be
/// retried, and nothing may wait forever.
#[test]
fn assigner_serves_despite_failing_system_calls() {
    let fixture = Fixture::start();
    let _store = fixture.start_store();
    let config = fixture.configure_assigner();
    let faults = "seed=5 accept=ENFILE|ECONNABORTED|EAGAIN@0.3 connect=EADDRNOTAVAIL|ENETUNREACH@0.2 \
        socket=ENFILE@0.2 register=ENOMEM@0.2 wait=EINTR@0.3 read=short|EINTR|EAGAIN@0.2 write=short|EINTR|EAGAIN@0.2 \
        file-write=ENOSPC|EIO@0.05 sync=EIO@0.1";
    let args = ["assigner", "--config", &config];
    let assigner_process = RunningProcess::start_with_faults(fixture.folder(), "assigner", &args, faults);
    let _proxy = fixture.start_proxy(wait_for_addr(fixture.folder(), "assigner"));
    let drivers = Drivers::start("test", 1).unwrap();
    let client =
        Client::connect(wait_for_addr(fixture.folder(), "proxy"), Limits::default(), &drivers).unwrap();
    fixture.wait_until_served(&client);
    assert_eq!(assigner_process.terminate(), Some(0));
    wait_for_log(fixture.folder(), "assigner", "assigner stopped");
}

/// The status file only informs its readers. If it cannot be written, requests must not wait and the process must not
/// end.
#[test]
fn proxy_serves_while_status_file_cannot_be_written() {
    let fixture = Fixture::start();
    let _store = fixture.start_store();
    let config = fixture.configure_assigner();
    let _assigner = RunningProcess::start(fixture.folder(), "assigner", &["assigner", "--config", &config]);
    let proxy = fixture.start_proxy_with_faults(
        wait_for_addr(fixture.folder(), "assigner"),
        "file-write=ENOSPC:0-1 file-write=EIO:1.5-3",
    );
    let drivers = Drivers::start("test", 1).unwrap();
    let client =
        Client::connect(wait_for_addr(fixture.folder(), "proxy"), Limits::default(), &drivers).unwrap();
    fixture.wait_until_served(&client);
    wait_for_log(fixture.folder(), "proxy", "status is written again");
    assert_eq!(fixture.call(&client, PATHS[0]), Ok(()));
    assert_eq!(proxy.terminate(), Some(0));
    let status = fs::read_to_string(fixture.path("proxy.status")).unwrap();
    assert!(status.ends_with("}\n"), "{status}");
}

/// From 0.5 s on, writes of the history to the disk fail for good. The owners of slices are in the store, so proxies
/// must not be left without lines because of the history.
#[test]
fn assigner_serves_while_history_cannot_be_written() {
    let fixture = Fixture::start();
    let _store = fixture.start_store();
    let config = fixture.configure_assigner();
    let args = ["assigner", "--config", &config];
    let assigner_process =
        RunningProcess::start_with_faults(fixture.folder(), "assigner", &args, "file-write=ENOSPC:0.5-1000");
    let _proxy = fixture.start_proxy(wait_for_addr(fixture.folder(), "assigner"));
    let drivers = Drivers::start("test", 1).unwrap();
    let client =
        Client::connect(wait_for_addr(fixture.folder(), "proxy"), Limits::default(), &drivers).unwrap();
    fixture.wait_until_served(&client);
    wait_for_log(fixture.folder(), "assigner", "the history can't be kept");
    assert_eq!(assigner_process.terminate(), Some(0));
}

/// A fifth of the reads and writes of proxy and assigner fail for want of buffers or memory. This says nothing about
/// the other side, so no call may fail for it and the store must not count as down.
#[test]
fn transient_read_and_write_errors_end_no_stream() {
    const TRANSIENT_ERRORS: &str = "seed=4 read=ENOBUFS|ENOMEM@0.2 write=ENOBUFS|ENOMEM@0.2";
    let fixture = Fixture::start();
    let _store = fixture.start_store();
    let config = fixture.configure_assigner();
    let args = ["assigner", "--config", &config];
    let assigner = RunningProcess::start_with_faults(fixture.folder(), "assigner", &args, TRANSIENT_ERRORS);
    let _proxy =
        fixture.start_proxy_with_faults(wait_for_addr(fixture.folder(), "assigner"), TRANSIENT_ERRORS);
    let drivers = Drivers::start("test", 1).unwrap();
    let client =
        Client::connect(wait_for_addr(fixture.folder(), "proxy"), Limits::default(), &drivers).unwrap();
    fixture.wait_until_served(&client);
    for call in 0..100 {
        assert_eq!(fixture.call(&client, PATHS[0]), Ok(()), "call {call}");
    }
    assert_eq!(assigner.terminate(), Some(0));
    let log = fs::read_to_string(fixture.path("assigner.log")).unwrap();
    assert!(!log.contains("the store fails"), "{log}");
}

/// Calls in flight when the proxy gets SIGTERM must be answered. Later callers must learn that their calls never ran.
#[test]
fn calls_in_flight_at_sigterm_are_answered_by_proxy() {
    let fixture = Fixture::start();
    let _store = fixture.start_store();
    let config = fixture.configure_assigner();
    let args = ["assigner", "--config", &config];
    let _assigner = RunningProcess::start(fixture.folder(), "assigner", &args);
    let proxy = fixture.start_proxy(wait_for_addr(fixture.folder(), "assigner"));
    let at = wait_for_addr(fixture.folder(), "proxy");
    let drivers = Drivers::start("test", 2).unwrap();
    let client = Client::connect(at, Limits::default(), &drivers).unwrap();
    fixture.wait_until_served(&client);
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..16)
            .map(|_| {
                let client = Client::connect(at, Limits::default(), &drivers).unwrap();
                let fixture = &fixture;
                scope.spawn(move || loop {
                    if let Err(error) = fixture.call(&client, PATHS[0]) {
                        return error;
                    }
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(300));
        assert_eq!(proxy.terminate(), Some(0));
        for caller in callers {
            let error = caller.join().unwrap();
            assert!(error.contains("never ran"), "{error}");
        }
    });
}

/// All accepts but one in fifty fail with an error of the connection to be accepted. Forty callers must be answered
/// within the time limit of a handshake.
#[test]
fn accepts_that_fail_for_one_connection_delay_no_other() {
    const CALLERS: usize = 40;
    let fixture = Fixture::start();
    let config = fixture.configure_assigner();
    let args = ["assigner", "--config", &config];
    let faults = "seed=2 accept=ECONNABORTED@0.98";
    let _assigner_process = RunningProcess::start_with_faults(fixture.folder(), "assigner", &args, faults);
    let at = wait_for_addr(fixture.folder(), "assigner");
    let drivers = Drivers::start("test", 2).unwrap();
    let timeout = Limits::default().handshake;
    std::thread::scope(|scope| {
        let ask = || {
            let client = Client::connect(at, Limits::default(), &drivers).unwrap();
            client.unary("/no.such/Method", &[], Bytes::new(), timeout).unwrap_err().to_string()
        };
        let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(ask)).collect();
        for caller in callers {
            let answer = caller.join().unwrap();
            assert!(answer.contains("status 12"), "{answer}");
        }
    });
}

/// At the start the system's limit on epoll watches is reached (ENOSPC, epoll_ctl(2)), which may be transient.
#[test]
fn assigner_starts_although_epoll_watches_are_exhausted_at_first() {
    let fixture = Fixture::start();
    let config = fixture.configure_assigner();
    let args = ["assigner", "--config", &config];
    let assigner_process =
        RunningProcess::start_with_faults(fixture.folder(), "assigner", &args, "register=ENOSPC:0-1");
    wait_for_addr(fixture.folder(), "assigner");
    assert_eq!(assigner_process.terminate(), Some(0));
}

/// The file with the operators' address is written in several short writes, and the disk is full in between. A reader
/// must find the complete address or none, never the first digits of its port.
#[test]
fn operators_address_file_is_never_partially_written() {
    let fixture = Fixture::start();
    let config = fixture.configure_assigner_with(
        "report_period_ms: 300",
        "report_period_ms: 300, operators: \"127.0.0.1:0\"",
    );
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
    command.env("LD_PRELOAD", fault_library()).env("WHINHILL_FAULTS_FILES", "operators");
    command.env("WHINHILL_FAULTS", "seed=3 file-write=ENOSPC@0.6:0-3 file-write=short:0-3");
    let args = ["assigner", "--config", &config];
    let _assigner_process = RunningProcess::spawn(command, fixture.folder(), "assigner", &args);
    let deadline = Instant::now() + Duration::from_secs(4);
    let mut found = Vec::new();
    while Instant::now() < deadline {
        found.extend(
            fs::read_to_string(fixture.path("operators")).ok().filter(|text| found.last() != Some(text)),
        );
        std::thread::park_timeout(Duration::from_millis(1));
    }
    assert!(found.len() == 1 && found[0].parse::<SocketAddr>().is_ok(), "{found:?}");
}

/// Turns on probes, and lists a server that is first probed while the assigner's system calls fail. Probes that were
/// never sent must not count as unanswered.
fn probe_while_system_calls_fail(faults: &str, list_delay: Duration) {
    let fixture = Fixture::start();
    let server = wait_for_addr(fixture.folder(), "server");
    let config =
        fixture.configure_assigner_with("report_period_ms: 300", "report_period_ms: 300, probes: true");
    fixture.write_roster("");
    let started = Instant::now();
    let args = ["assigner", "--config", &config];
    let level = "info,whinhill_assigner::probes=debug";
    let _assigner_process =
        RunningProcess::start_with_faults_and_log(fixture.folder(), "assigner", &args, faults, level);
    std::thread::sleep(list_delay.saturating_sub(started.elapsed()));
    fixture.write_roster(&format!(r#"{{ addr: "{server}", zone: "z", state: "ready" }}"#));
    wait_for_log_times(fixture.folder(), "assigner", "a server was not asked", 3);
    wait_for_log(fixture.folder(), "assigner", "result=Ok");
    let log = read_log(fixture.folder(), "assigner");
    assert!(!log.contains("result=Unanswered"), "{log}");
}

#[test]
fn probe_with_failed_connect_does_not_count_as_unanswered() {
    probe_while_system_calls_fail("connect=EADDRNOTAVAIL|ENETUNREACH|ENOBUFS:0-4", Duration::ZERO);
}

#[test]
fn probe_whose_socket_cannot_be_registered_does_not_count_as_unanswered() {
    // Registrations fail only from 1 s on, since the driver registers its own waker at its start.
    probe_while_system_calls_fail("register=ENOMEM:1-7", Duration::from_secs(2));
}

/// A case of clocks that disagree.
struct Clocks {
    case: &'static str,
    /// The steps of the assigner's clock, as a fault schedule.
    assigner_clock: &'static str,
    /// By how many seconds the timestamps in the list are off.
    list_offset_s: i64,
}

const HOUR_S: i64 = 3600;
/// The time from the start by which all later clock steps have been made.
const STEPS_DONE_AFTER: Duration = Duration::from_millis(1500);
/// The number of cases that run at once. Each starts five processes.
const CONCURRENT_CASES: usize = 4;
/// The number of successive calls without a rejection that show that a server is warm. The level of a cold server
/// admits so many with a probability of under 1%.
const WARM_SERVER_CALLS: usize = 100;

/// A server that has just started must count as cold, and as warm once its warm-up time has passed, however clocks are
/// stepped.
#[test]
fn new_server_is_cold_then_warm_despite_clock_steps() {
    let cases = [
        Clocks { case: "the assigner's clock is ahead", assigner_clock: "clock=+3600:0", list_offset_s: 0 },
        Clocks { case: "the assigner's clock is behind", assigner_clock: "clock=-3600:0", list_offset_s: 0 },
        Clocks { case: "all clocks are set forward", assigner_clock: "clock=+3600:1", list_offset_s: HOUR_S },
        Clocks { case: "all clocks are set back", assigner_clock: "clock=-3600:1", list_offset_s: -HOUR_S },
        Clocks {
            case: "the assigner's clock is set forward",
            assigner_clock: "clock=+3600:1",
            list_offset_s: 0,
        },
        Clocks {
            case: "the assigner's clock is set back",
            assigner_clock: "clock=-3600:1",
            list_offset_s: 0,
        },
        Clocks { case: "the other clocks are set forward", assigner_clock: "", list_offset_s: HOUR_S },
        Clocks { case: "the other clocks are set back", assigner_clock: "", list_offset_s: -HOUR_S },
    ];
    for cases in cases.chunks(CONCURRENT_CASES) {
        std::thread::scope(|scope| {
            let runs: Vec<_> =
                cases.iter().map(|clocks| (clocks, scope.spawn(|| check_new_server(clocks)))).collect();
            for (clocks, run) in runs {
                assert!(run.join().is_ok(), "{}", clocks.case);
            }
        });
    }
}

/// Adds a server that has just started, and waits until calls are rejected by the level of a cold server and then until
/// they are all admitted.
fn check_new_server(clocks: &Clocks) {
    let fixture = Fixture::start();
    let _store = fixture.start_store();
    let config = fixture.configure_assigner_with(
        "warm_after_ms: 5000, cold_from: 0.2",
        "warm_after_ms: 12000, cold_from: 0.05",
    );
    let args = ["assigner", "--config", &config];
    let started = Instant::now();
    let _assigner_process =
        RunningProcess::start_with_faults(fixture.folder(), "assigner", &args, clocks.assigner_clock);
    let _proxy = fixture.start_proxy(wait_for_addr(fixture.folder(), "assigner"));
    let drivers = Drivers::start("test", 1).unwrap();
    let client =
        Client::connect(wait_for_addr(fixture.folder(), "proxy"), Limits::default(), &drivers).unwrap();
    fixture.wait_until_served(&client);
    std::thread::sleep(STEPS_DONE_AFTER.saturating_sub(started.elapsed()));
    let _second = fixture.start_server("second");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64;
    let started_ms = now + clocks.list_offset_s * 1000;
    let (first, second) =
        (wait_for_addr(fixture.folder(), "server"), wait_for_addr(fixture.folder(), "second"));
    fixture.write_roster(&format!(
        r#"{{ addr: "{second}", zone: "z", state: "ready", started_unix_ms: {started_ms} }},
           {{ addr: "{first}", zone: "z", state: "draining" }}"#
    ));
    let is_rejected =
        || fixture.call(&client, PATHS[0]).is_err_and(|error| error.contains("pushed back: level"));
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_rejected() {
        assert!(Instant::now() < deadline, "no call is rejected for a cold server");
    }
    let (deadline, mut admitted_in_a_row) = (Instant::now() + WAIT_TIMEOUT, 0);
    while admitted_in_a_row < WARM_SERVER_CALLS {
        admitted_in_a_row = if is_rejected() { 0 } else { admitted_in_a_row + 1 };
        assert!(Instant::now() < deadline, "calls are rejected for a warm server");
    }
}
