//! Each part as a process of its own, started by its sub-command.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use rustix::process::{kill_process, Pid, Signal};
use whinhill_transport::{Client, Drivers, Limits};

const WITHIN: Duration = Duration::from_secs(20);

/// A process that is killed when the test is over.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Running {
    fn start(folder: &Path, name: &str, args: &[&str]) -> Self {
        Self::spawn(Command::new(env!("CARGO_BIN_EXE_whinhill")), folder, name, args)
    }

    /// While its calls fail as a schedule says (`docs/faults.md`).
    fn start_with_faults(folder: &Path, name: &str, args: &[&str], faults: &str) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
        command.env("LD_PRELOAD", fault_library()).env("WHINHILL_FAULTS", faults);
        Self::spawn(command, folder, name, args)
    }

    /// The same with another level of its log.
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

    fn spawn(mut command: Command, folder: &Path, name: &str, args: &[&str]) -> Self {
        let log = fs::File::create(folder.join(format!("{name}.log"))).unwrap();
        let ready = folder.join(format!("{name}.addr"));
        command.args(args).arg("--ready-file").arg(ready).stdout(Stdio::null()).stderr(log);
        Running(command.spawn().unwrap())
    }

    /// Ends it in order; its exit code.
    fn end(mut self) -> Option<i32> {
        kill_process(Pid::from_raw(self.0.id() as i32).unwrap(), Signal::TERM).unwrap();
        let until = Instant::now() + WITHIN;
        loop {
            if let Some(status) = self.0.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < until, "it does not end");
            std::thread::yield_now();
        }
    }
}

fn fault_library() -> PathBuf {
    let library = std::env::current_exe().unwrap().with_file_name("libwhinhill_faults.so");
    assert!(library.exists(), "{} is not built", library.display());
    library
}

fn addr(folder: &Path, name: &str) -> SocketAddr {
    let path: PathBuf = folder.join(format!("{name}.addr"));
    let until = Instant::now() + WITHIN;
    loop {
        if let Some(addr) = fs::read_to_string(&path).ok().and_then(|text| text.parse().ok()) {
            return addr;
        }
        let log = || fs::read_to_string(folder.join(format!("{name}.log"))).unwrap_or_default();
        assert!(Instant::now() < until, "{name} is not ready: {}", log());
        std::thread::park_timeout(Duration::from_millis(5));
    }
}

fn log_of(folder: &Path, name: &str) -> String {
    fs::read_to_string(folder.join(format!("{name}.log"))).unwrap_or_default()
}

fn logged(folder: &Path, name: &str, text: &str) {
    logged_times(folder, name, text, 1);
}

fn logged_times(folder: &Path, name: &str, text: &str, times: usize) {
    let until = Instant::now() + WITHIN;
    while log_of(folder, name).matches(text).count() < times {
        assert!(Instant::now() < until, "{name} never said {text:?} so often: {}", log_of(folder, name));
        std::thread::park_timeout(Duration::from_millis(5));
    }
}

const SERVICE: &str = r#"{
  name: "booking", slices: 4, write_lease_ms: 1500, settle_ms: 500, hold_ms: 300, tries: 1,
  methods: [
    { name: "look", path: "/booking.Rates/Look", effect: "idempotent", criticality: 1, soft_deadline_ms: 500, deadline_ms: 2000 },
    { name: "commit", path: "/booking.Rates/Commit", writes: true, effect: "non-idempotent", criticality: 5, soft_deadline_ms: 500, deadline_ms: 1000 },
  ],
}"#;

fn start_server(folder: &Path, name: &str) -> Running {
    let day = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/quiet.json5");
    Running::start(folder, name, &["standin", "server", "--day", day.to_str().unwrap()])
}

/// A server, its roster, and a store's address where nobody listens yet.
struct Site {
    folder: tempfile::TempDir,
    store: SocketAddr,
    _server: Running,
}

impl Site {
    fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let _server = start_server(folder.path(), "server");
        let server = addr(folder.path(), "server");
        let roster = format!(r#"{{ servers: [{{ addr: "{server}", zone: "z", state: "ready" }}] }}"#);
        fs::write(folder.path().join("roster.json5"), roster).unwrap();
        let store = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        Site { folder, store, _server }
    }

    fn start_server(&self, name: &str) -> Running {
        start_server(self.folder(), name)
    }

    fn folder(&self) -> &Path {
        self.folder.path()
    }

    fn at(&self, name: &str) -> String {
        self.folder().join(name).to_str().unwrap().to_string()
    }

    fn list(&self, servers: &str) {
        fs::write(self.at("roster.new"), format!("{{ servers: [{servers}] }}")).unwrap();
        fs::rename(self.at("roster.new"), self.at("roster.json5")).unwrap();
    }

    /// Writes the assigner's configuration with one part replaced; its path.
    fn configure_assigner_with(&self, part: &str, other: &str) -> String {
        let path = self.configure_assigner();
        let config = fs::read_to_string(&path).unwrap();
        assert!(config.contains(part), "{config}");
        fs::write(&path, config.replace(part, other)).unwrap();
        path
    }

    /// Writes the assigner's configuration; its path.
    fn configure_assigner(&self) -> String {
        let config = format!(
            r#"{{ name: "a", peers: ["a"], listen: "127.0.0.1:0", zone: "z", zones: ["z"], service: {SERVICE},
              rules: {{ empty_ms: 9000, grace_ms: 2000, warm_after_ms: 5000, cold_from: 0.2, fall_multiple: 3, fall_ms: 1500 }},
              channel: {{ lines_per_s: 10000, head: 8, backlog: 10000, way_most_ms: 200 }},
              roster: {{ file: {{ path: "{}" }} }}, state_dir: "{}",
              store: {{ addr: "{}", within_ms: 300 }}, custody: {{ ttl_ms: 1200, margin_ms: 200 }}, report_period_ms: 300 }}"#,
            self.at("roster.json5"),
            self.at(""),
            self.store
        );
        fs::write(self.at("assigner.json5"), config).unwrap();
        self.at("assigner.json5")
    }

    fn start_proxy(&self, assigner: SocketAddr) -> Running {
        self.start_proxy_with_faults(assigner, "")
    }

    fn start_proxy_with_faults(&self, assigner: SocketAddr, faults: &str) -> Running {
        let config = format!(
            r#"{{ id: "p", zone: "z", listen: "127.0.0.1:0", service: {SERVICE}, status_file: "{}",
              assigners: [{{ name: "a", addr: "{assigner}" }}] }}"#,
            self.at("proxy.status")
        );
        fs::write(self.at("proxy.json5"), config).unwrap();
        let args = ["proxy", "--config", &self.at("proxy.json5")];
        Running::start_with_faults(self.folder(), "proxy", &args, faults)
    }

    fn start_store(&self) -> Running {
        let store = self.store.to_string();
        Running::start(self.folder(), "store", &["standin", "store", "--listen", &store])
    }

    fn call(&self, client: &Client, path: &str) -> Result<(), String> {
        let headers = [("whinhill-key", "car-17".to_string()), ("whinhill-rpc", "1".to_string())];
        let answer = client.unary(path, &headers, Bytes::from_static(b"hello"), Duration::from_secs(2));
        answer.map(drop).map_err(|error| error.to_string())
    }

    /// Waits until both methods are answered. The slices have never had an owner: each is granted one after the lease
    /// and the settle time.
    fn wait_until_served(&self, client: &Client) {
        let until = Instant::now() + WITHIN;
        for path in PATHS {
            while let Err(error) = self.call(client, path) {
                let log = || fs::read_to_string(self.at("assigner.log")).unwrap_or_default();
                assert!(Instant::now() < until, "{path}: {error}; {}", log());
            }
        }
    }
}

const PATHS: [&str; 2] = ["/booking.Rates/Look", "/booking.Rates/Commit"];

#[test]
fn an_assigner_starts_without_its_store_and_serves_once_the_store_is_there() {
    let site = Site::start();
    let config = site.configure_assigner();
    let running = Running::start(site.folder(), "assigner", &["assigner", "--config", &config]);
    let assigner = addr(site.folder(), "assigner");
    logged(site.folder(), "assigner", "the store fails");
    let proxy_running = site.start_proxy(assigner);
    let drivers = Drivers::start("test", 1).unwrap();
    let client = Client::connect(addr(site.folder(), "proxy"), Limits::default(), &drivers).unwrap();
    // Nobody is in charge: pushed back after the hold, with a reason.
    let refused = site.call(&client, PATHS[0]).unwrap_err();
    assert!(refused.contains("pushed back: no-line"), "{refused}");
    let _store = site.start_store();
    site.wait_until_served(&client);
    assert_eq!(running.end(), Some(0));
    logged(site.folder(), "assigner", "assigner stopped");
    // The proxy goes on with reads by what it holds.
    assert_eq!(site.call(&client, PATHS[0]), Ok(()));
    assert_eq!(proxy_running.end(), Some(0));
}

/// What is kept in the state's folder cannot be opened while the disk refuses writes, and that may pass.
#[test]
fn an_assigner_starts_though_its_disk_refuses_writes_at_first() {
    let site = Site::start();
    let _store = site.start_store();
    let config = site.configure_assigner();
    let faults = "file-write=ENOSPC:0-2 sync=EIO:0-2";
    let args = ["assigner", "--config", &config];
    let running = Running::start_with_faults(site.folder(), "assigner", &args, faults);
    logged(site.folder(), "assigner", "opening the history fails, and is tried again");
    let _proxy = site.start_proxy(addr(site.folder(), "assigner"));
    let drivers = Drivers::start("test", 1).unwrap();
    let client = Client::connect(addr(site.folder(), "proxy"), Limits::default(), &drivers).unwrap();
    site.wait_until_served(&client);
    assert_eq!(running.end(), Some(0));
}

/// Calls of the system that fail, are interrupted, move a part, or say too early that they would block: everything
/// is made again, and nothing waits for good.
#[test]
fn an_assigner_whose_calls_fail_serves_all_the_same() {
    let site = Site::start();
    let _store = site.start_store();
    let config = site.configure_assigner();
    let faults = "seed=5 accept=ENFILE|ECONNABORTED|EAGAIN@0.3 connect=EADDRNOTAVAIL|ENETUNREACH@0.2 \
        socket=ENFILE@0.2 register=ENOMEM@0.2 wait=EINTR@0.3 read=short|EINTR|EAGAIN@0.2 write=short|EINTR|EAGAIN@0.2 \
        file-write=ENOSPC|EIO@0.05 sync=EIO@0.1";
    let args = ["assigner", "--config", &config];
    let running = Running::start_with_faults(site.folder(), "assigner", &args, faults);
    let _proxy = site.start_proxy(addr(site.folder(), "assigner"));
    let drivers = Drivers::start("test", 1).unwrap();
    let client = Client::connect(addr(site.folder(), "proxy"), Limits::default(), &drivers).unwrap();
    site.wait_until_served(&client);
    assert_eq!(running.end(), Some(0));
    logged(site.folder(), "assigner", "assigner stopped");
}

/// A proxy's status is for whoever looks at it; requests do not wait for it, and the process does not end with it.
#[test]
fn a_proxy_whose_status_cannot_be_written_serves_on() {
    let site = Site::start();
    let _store = site.start_store();
    let config = site.configure_assigner();
    let _assigner = Running::start(site.folder(), "assigner", &["assigner", "--config", &config]);
    let proxy = site.start_proxy_with_faults(
        addr(site.folder(), "assigner"),
        "file-write=ENOSPC:0-1 file-write=EIO:1.5-3",
    );
    let drivers = Drivers::start("test", 1).unwrap();
    let client = Client::connect(addr(site.folder(), "proxy"), Limits::default(), &drivers).unwrap();
    site.wait_until_served(&client);
    logged(site.folder(), "proxy", "status is written again");
    assert_eq!(site.call(&client, PATHS[0]), Ok(()));
    assert_eq!(proxy.end(), Some(0));
    let status = fs::read_to_string(site.at("proxy.status")).unwrap();
    assert!(status.ends_with("}\n"), "{status}");
}

/// The disk refuses the history for good. The store holds who owns a slice, and proxies must not go without a line for
/// want of a history.
#[test]
fn an_assigner_whose_history_cannot_be_kept_serves_all_the_same() {
    let site = Site::start();
    let _store = site.start_store();
    let config = site.configure_assigner();
    let args = ["assigner", "--config", &config];
    let running = Running::start_with_faults(site.folder(), "assigner", &args, "file-write=ENOSPC:0.5-1000");
    let _proxy = site.start_proxy(addr(site.folder(), "assigner"));
    let drivers = Drivers::start("test", 1).unwrap();
    let client = Client::connect(addr(site.folder(), "proxy"), Limits::default(), &drivers).unwrap();
    site.wait_until_served(&client);
    logged(site.folder(), "assigner", "the history can't be kept");
    assert_eq!(running.end(), Some(0));
}

/// Buffers or memory are short at a fifth of the transfers, at the proxy and at the assigner: that says nothing of
/// whoever is at the other end, so no call fails for it and the store is not taken to be away.
#[test]
fn transfers_that_fall_short_end_no_stream() {
    const SHORT: &str = "seed=4 read=ENOBUFS|ENOMEM@0.2 write=ENOBUFS|ENOMEM@0.2";
    let site = Site::start();
    let _store = site.start_store();
    let config = site.configure_assigner();
    let args = ["assigner", "--config", &config];
    let assigner = Running::start_with_faults(site.folder(), "assigner", &args, SHORT);
    let _proxy = site.start_proxy_with_faults(addr(site.folder(), "assigner"), SHORT);
    let drivers = Drivers::start("test", 1).unwrap();
    let client = Client::connect(addr(site.folder(), "proxy"), Limits::default(), &drivers).unwrap();
    site.wait_until_served(&client);
    for call in 0..100 {
        assert_eq!(site.call(&client, PATHS[0]), Ok(()), "call {call}");
    }
    assert_eq!(assigner.end(), Some(0));
    let log = fs::read_to_string(site.at("assigner.log")).unwrap();
    assert!(!log.contains("the store fails"), "{log}");
}

/// Callers whose calls are in hand when the proxy is told to end are answered; those that come later learn that
/// theirs never ran.
#[test]
fn calls_in_hand_at_sigterm_are_answered_by_a_proxy() {
    let site = Site::start();
    let _store = site.start_store();
    let config = site.configure_assigner();
    let args = ["assigner", "--config", &config];
    let _assigner = Running::start(site.folder(), "assigner", &args);
    let proxy = site.start_proxy(addr(site.folder(), "assigner"));
    let at = addr(site.folder(), "proxy");
    let drivers = Drivers::start("test", 2).unwrap();
    let client = Client::connect(at, Limits::default(), &drivers).unwrap();
    site.wait_until_served(&client);
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..16)
            .map(|_| {
                let client = Client::connect(at, Limits::default(), &drivers).unwrap();
                let site = &site;
                scope.spawn(move || loop {
                    if let Err(error) = site.call(&client, PATHS[0]) {
                        return error;
                    }
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(300));
        assert_eq!(proxy.end(), Some(0));
        for caller in callers {
            let error = caller.join().unwrap();
            assert!(error.contains("never ran"), "{error}");
        }
    });
}

/// Each accept but one in fifty fails by an error of the connection that it would have taken. Forty callers are
/// answered within the time that a handshake may take.
#[test]
fn accepts_that_fail_for_one_connection_hold_up_no_other() {
    const CALLERS: usize = 40;
    let site = Site::start();
    let config = site.configure_assigner();
    let args = ["assigner", "--config", &config];
    let faults = "seed=2 accept=ECONNABORTED@0.98";
    let _running = Running::start_with_faults(site.folder(), "assigner", &args, faults);
    let at = addr(site.folder(), "assigner");
    let drivers = Drivers::start("test", 2).unwrap();
    let within = Limits::default().handshake;
    std::thread::scope(|scope| {
        let ask = || {
            let client = Client::connect(at, Limits::default(), &drivers).unwrap();
            client.unary("/no.such/Method", &[], Bytes::new(), within).unwrap_err().to_string()
        };
        let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(ask)).collect();
        for caller in callers {
            let answer = caller.join().unwrap();
            assert!(answer.contains("status 12"), "{answer}");
        }
    });
}

/// The system has no watch left for epoll at the start (ENOSPC, epoll_ctl(2)), and that may pass.
#[test]
fn an_assigner_starts_though_no_watch_is_left_at_first() {
    let site = Site::start();
    let config = site.configure_assigner();
    let args = ["assigner", "--config", &config];
    let running = Running::start_with_faults(site.folder(), "assigner", &args, "register=ENOSPC:0-1");
    addr(site.folder(), "assigner");
    assert_eq!(running.end(), Some(0));
}

/// The file with the operators' address is written in short steps and the disk is full in between: whoever reads it
/// finds the whole address or none, never the first digits of its port.
#[test]
fn the_operators_address_is_never_half_written() {
    let site = Site::start();
    let config = site.configure_assigner_with(
        "report_period_ms: 300",
        "report_period_ms: 300, operators: \"127.0.0.1:0\"",
    );
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
    command.env("LD_PRELOAD", fault_library()).env("WHINHILL_FAULTS_FILES", "operators");
    command.env("WHINHILL_FAULTS", "seed=3 file-write=ENOSPC@0.6:0-3 file-write=short:0-3");
    let args = ["assigner", "--config", &config];
    let _running = Running::spawn(command, site.folder(), "assigner", &args);
    let until = Instant::now() + Duration::from_secs(4);
    let mut found = Vec::new();
    while Instant::now() < until {
        found.extend(fs::read_to_string(site.at("operators")).ok().filter(|text| found.last() != Some(text)));
        std::thread::park_timeout(Duration::from_millis(1));
    }
    assert!(found.len() == 1 && found[0].parse::<SocketAddr>().is_ok(), "{found:?}");
}

/// Asks for probes, and lists a server whose first probes come while the assigner's calls fail.
fn probe_while_calls_fail(faults: &str, failing: Duration) {
    let site = Site::start();
    let server = addr(site.folder(), "server");
    let config = site.configure_assigner_with("report_period_ms: 300", "report_period_ms: 300, probes: true");
    site.list("");
    let started = Instant::now();
    let args = ["assigner", "--config", &config];
    let level = "info,whinhill_assigner::probes=debug";
    let _running = Running::start_with_faults_and_log(site.folder(), "assigner", &args, faults, level);
    std::thread::sleep(failing.saturating_sub(started.elapsed()));
    site.list(&format!(r#"{{ addr: "{server}", zone: "z", state: "ready" }}"#));
    logged_times(site.folder(), "assigner", "a server was not asked", 3);
    logged(site.folder(), "assigner", "result=Ok");
    let log = log_of(site.folder(), "assigner");
    assert!(!log.contains("result=Unanswered"), "{log}");
}

#[test]
fn a_probe_whose_connect_reaches_nobody_is_not_a_servers_silence() {
    probe_while_calls_fail("connect=EADDRNOTAVAIL|ENETUNREACH|ENOBUFS:0-4", Duration::ZERO);
}

#[test]
fn a_probe_whose_socket_cannot_be_waited_on_is_not_a_servers_silence() {
    // The driver's own waker needs a registration at its start.
    probe_while_calls_fail("register=ENOMEM:1-7", Duration::from_secs(2));
}

/// How the clocks stand: the assigner's by a schedule of steps, and by how many seconds the list's stamps are off.
struct Clocks {
    case: &'static str,
    ours: &'static str,
    stamps: i64,
}

const HOUR: i64 = 3600;
/// Until the steps that come after the start have been made, counted from the start.
const STEPPED: Duration = Duration::from_millis(1500);
/// Cases that are played at once: each is five processes.
const CASES_AT_ONCE: usize = 4;
/// Calls in a row that no level turns away: a cold server's level lets so many pass with a chance of under 1%.
const CALLS_OF_A_WARM_SERVER: usize = 100;

/// A server that started just now is cold, whatever the clocks say, and is warm once its time has passed.
#[test]
fn a_new_server_is_cold_at_first_and_not_for_good_however_clocks_are_stepped() {
    let cases = [
        Clocks { case: "ours is ahead", ours: "clock=+3600:0", stamps: 0 },
        Clocks { case: "ours is behind", ours: "clock=-3600:0", stamps: 0 },
        Clocks { case: "all are set forward", ours: "clock=+3600:1", stamps: HOUR },
        Clocks { case: "all are set back", ours: "clock=-3600:1", stamps: -HOUR },
        Clocks { case: "ours is set forward", ours: "clock=+3600:1", stamps: 0 },
        Clocks { case: "ours is set back", ours: "clock=-3600:1", stamps: 0 },
        Clocks { case: "the others are set forward", ours: "", stamps: HOUR },
        Clocks { case: "the others are set back", ours: "", stamps: -HOUR },
    ];
    for cases in cases.chunks(CASES_AT_ONCE) {
        std::thread::scope(|scope| {
            let playing: Vec<_> =
                cases.iter().map(|clocks| (clocks, scope.spawn(|| play_a_new_server(clocks)))).collect();
            for (clocks, played) in playing {
                assert!(played.join().is_ok(), "{}", clocks.case);
            }
        });
    }
}

fn play_a_new_server(clocks: &Clocks) {
    let site = Site::start();
    let _store = site.start_store();
    let config = site.configure_assigner_with(
        "warm_after_ms: 5000, cold_from: 0.2",
        "warm_after_ms: 12000, cold_from: 0.05",
    );
    let args = ["assigner", "--config", &config];
    let started = Instant::now();
    let _running = Running::start_with_faults(site.folder(), "assigner", &args, clocks.ours);
    let _proxy = site.start_proxy(addr(site.folder(), "assigner"));
    let drivers = Drivers::start("test", 1).unwrap();
    let client = Client::connect(addr(site.folder(), "proxy"), Limits::default(), &drivers).unwrap();
    site.wait_until_served(&client);
    std::thread::sleep(STEPPED.saturating_sub(started.elapsed()));
    let _second = site.start_server("second");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64;
    let since = now + clocks.stamps * 1000;
    let (first, second) = (addr(site.folder(), "server"), addr(site.folder(), "second"));
    site.list(&format!(
        r#"{{ addr: "{second}", zone: "z", state: "ready", started_unix_ms: {since} }},
           {{ addr: "{first}", zone: "z", state: "draining" }}"#
    ));
    let turned_away =
        || site.call(&client, PATHS[0]).is_err_and(|error| error.contains("pushed back: level"));
    let until = Instant::now() + WITHIN;
    while !turned_away() {
        assert!(Instant::now() < until, "no call is turned away from a cold server");
    }
    let (until, mut in_a_row) = (Instant::now() + WITHIN, 0);
    while in_a_row < CALLS_OF_A_WARM_SERVER {
        in_a_row = if turned_away() { 0 } else { in_a_row + 1 };
        assert!(Instant::now() < until, "calls are turned away from a warm server");
    }
}
