//! Each part as a process of its own, started by its sub-command.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

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
        let log = fs::File::create(folder.join(format!("{name}.log"))).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
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

fn logged(folder: &Path, name: &str, text: &str) {
    let until = Instant::now() + WITHIN;
    while !fs::read_to_string(folder.join(format!("{name}.log"))).unwrap_or_default().contains(text) {
        assert!(Instant::now() < until, "{name} never said {text:?}");
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

#[test]
fn an_assigner_starts_without_its_store_and_serves_once_the_store_is_there() {
    let folder = tempfile::tempdir().unwrap();
    let folder = folder.path();
    let at = |name: &str| folder.join(name).to_str().unwrap().to_string();
    let day = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/quiet.json5");
    let _server = Running::start(folder, "server", &["standin", "server", "--day", day.to_str().unwrap()]);
    let server = addr(folder, "server");
    fs::write(
        at("roster.json5"),
        format!(r#"{{ servers: [{{ addr: "{server}", zone: "z", state: "ready" }}] }}"#),
    )
    .unwrap();
    // A port where nobody listens yet.
    let store = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let assigner = format!(
        r#"{{ name: "a", peers: ["a"], listen: "127.0.0.1:0", zone: "z", zones: ["z"], service: {SERVICE},
          rules: {{ empty_ms: 9000, grace_ms: 2000, warm_after_ms: 5000, cold_from: 0.2, fall_multiple: 3, fall_ms: 1500 }},
          channel: {{ lines_per_s: 10000, head: 8, backlog: 10000, way_most_ms: 200 }},
          roster: {{ file: {{ path: "{}" }} }}, state_dir: "{}",
          store: {{ addr: "{store}", within_ms: 300 }}, custody: {{ ttl_ms: 1200, margin_ms: 200 }}, report_period_ms: 300 }}"#,
        at("roster.json5"),
        at("")
    );
    fs::write(at("assigner.json5"), assigner).unwrap();
    let running = Running::start(folder, "assigner", &["assigner", "--config", &at("assigner.json5")]);
    let assigner = addr(folder, "assigner");
    logged(folder, "assigner", "the store fails");
    let proxy = format!(
        r#"{{ id: "p", zone: "z", listen: "127.0.0.1:0", service: {SERVICE}, assigners: [{{ name: "a", addr: "{assigner}" }}] }}"#
    );
    fs::write(at("proxy.json5"), proxy).unwrap();
    let proxy_running = Running::start(folder, "proxy", &["proxy", "--config", &at("proxy.json5")]);
    let drivers = Drivers::start("test", 1).unwrap();
    let client = Client::connect(addr(folder, "proxy"), Limits::default(), &drivers).unwrap();
    let call = |path: &str| {
        let headers = [("whinhill-key", "car-17".to_string()), ("whinhill-rpc", "1".to_string())];
        client.unary(path, &headers, Bytes::from_static(b"hello"), Duration::from_secs(2))
    };
    // Nobody is in charge: pushed back after the hold, with a reason.
    let refused = call("/booking.Rates/Look").unwrap_err().to_string();
    assert!(refused.contains("pushed back: no-line"), "{refused}");
    let store = store.to_string();
    let _store = Running::start(folder, "store", &["standin", "store", "--listen", &store]);
    let until = Instant::now() + WITHIN;
    // The slices have never had an owner: each is granted one after the lease and the settle time.
    for path in ["/booking.Rates/Look", "/booking.Rates/Commit"] {
        while let Err(error) = call(path) {
            assert!(Instant::now() < until, "{path}: {error}");
        }
    }
    assert_eq!(running.end(), Some(0));
    logged(folder, "assigner", "assigner stopped");
    // The proxy goes on with reads by what it holds.
    assert!(call("/booking.Rates/Look").is_ok());
    assert_eq!(proxy_running.end(), Some(0));
}
