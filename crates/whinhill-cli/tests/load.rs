//! The load tool against servers with known answers.

use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use whinhill_transport::{Code, Drivers, Limits, Listener, ServerCall, Trailers};

/// Maximum wait for a message or an answer.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a server that handles each call on a thread of its own.
fn start_server(drivers: &Drivers, answer: impl Fn(ServerCall) + Clone + Send + Sync + 'static) -> Listener {
    let handler = move |call: ServerCall| {
        let answer = answer.clone();
        thread::spawn(move || answer(call));
    };
    Listener::start("test", "127.0.0.1:0".parse().unwrap(), Limits::default(), drivers, handler).unwrap()
}

/// Answers a call with its own message.
fn echo(mut call: ServerCall) {
    if let Ok(message) = call.message(WAIT_TIMEOUT) {
        let _ = call.answer(&message, Trailers::new(), WAIT_TIMEOUT);
    }
}

/// Runs the load tool; returns its figures and exit code.
fn load(args: &[&str]) -> (serde_json::Value, Option<i32>) {
    let output = Command::new(env!("CARGO_BIN_EXE_whinhill"))
        .args(["--log-level", "error", "load", "--path", "/t.S/Look", "--json"])
        .args(args)
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    (
        text.lines().last().and_then(|line| serde_json::from_str(line).ok()).unwrap_or_default(),
        output.status.code(),
    )
}

#[test]
fn two_targets_share_rpcs_evenly_and_answers_are_counted_by_kind() {
    let drivers = Drivers::start("test", 1).unwrap();
    let healthy = start_server(&drivers, echo);
    let rejecting = start_server(&drivers, |call| call.refuse(Code::Unavailable, "full", Trailers::new()));
    let (to, against) = (healthy.addr().to_string(), rejecting.addr().to_string());
    let args = ["--to", &to, "--against", &against, "--rate", "300", "--seconds", "1", "--warm-up", "0.2"];
    let (figures, code) = load(&args);
    assert_eq!(code, Some(0), "{figures}");
    let [first, second] = [&figures["targets"][0], &figures["targets"][1]];
    assert!(first["ok"].as_u64().unwrap() > 80 && first["ok"] == first["sent"], "{figures}");
    assert!(second["pushed_back"].as_u64().unwrap() > 80 && second["ok"] == 0, "{figures}");
    assert_eq!(figures["not_sent"], 0);
    let failing = start_server(&drivers, |call| call.refuse(Code::Internal, "no such luck", Trailers::new()));
    let to = failing.addr().to_string();
    let (figures, _) = load(&["--to", &to, "--rate", "100", "--seconds", "0.3", "--warm-up", "0"]);
    assert!(figures["targets"][0]["reasons"]["status 13: no such luck"].as_u64().unwrap() > 0, "{figures}");
}

/// One answer takes 400 ms, and only one RPC may be in flight. All RPCs due meanwhile wait too, and the wait must count
/// in their latency.
#[test]
fn stalled_target_raises_latency_of_all_rpcs_due_meanwhile() {
    let drivers = Drivers::start("test", 1).unwrap();
    let stalled = Arc::new(AtomicBool::new(false));
    let slow_once = start_server(&drivers, move |mut call: ServerCall| {
        let message = call.message(WAIT_TIMEOUT).unwrap_or_default();
        if !stalled.swap(true, Ordering::Relaxed) {
            thread::park_timeout(Duration::from_millis(400));
        }
        let _ = call.answer(&message, Trailers::new(), WAIT_TIMEOUT);
    });
    let to = slow_once.addr().to_string();
    let args = ["--to", &to, "--rate", "200", "--seconds", "1", "--warm-up", "0", "--in-hand", "1"];
    let (figures, _) = load(&args);
    assert!(figures["targets"][0]["p90_us"].as_u64().unwrap() > 100_000, "{figures}");
}

#[test]
fn rate_of_zero_is_rejected_with_exit_code_2() {
    assert_eq!(load(&["--to", "127.0.0.1:1", "--rate", "0"]).1, Some(2));
}
