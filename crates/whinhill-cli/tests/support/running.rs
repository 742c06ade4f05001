//! The assigner as a process of the `whinhill` binary.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};

use super::WAIT_TIMEOUT;

/// An assigner process. It is killed when the value is dropped, and its log is printed if the test failed.
pub struct AssignerProcess {
    pub process: Child,
    /// The lines of its log that the test has not read yet.
    pub log_lines: Receiver<String>,
}

/// A killed process is gone within milliseconds. If it takes longer than this, the machine did not schedule it, and
/// had stopped doing so before the kill.
const STARVATION_THRESHOLD: Duration = Duration::from_millis(20);

/// The time of a kill.
pub struct Kill {
    pub at: Instant,
    /// How long the machine did not schedule the process before it ended; 0 if it ended in the usual time.
    pub starved_for: Duration,
}

impl Drop for AssignerProcess {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        if thread::panicking() {
            // The log helps to find why the test failed.
            let log: Vec<String> = self.log_lines.iter().collect();
            eprintln!("{log:#?}");
        }
    }
}

impl AssignerProcess {
    /// Starts an assigner; returns it and the address on which it listens.
    pub fn start(config: &Path) -> (Self, SocketAddr) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
        command.args(["assigner", "--platform"]);
        Self::spawn(command, config)
    }

    /// Starts it with a limit on file descriptors, whatever the configuration says.
    pub fn start_with_max_descriptors(config: &Path, max_descriptors: usize) -> (Self, SocketAddr) {
        let mut command = Command::new("/bin/sh");
        let run = format!("ulimit -n {max_descriptors}; exec \"$0\" assigner --platform");
        command.args(["-c", &run, env!("CARGO_BIN_EXE_whinhill")]);
        Self::spawn(command, config)
    }

    /// Starts it with system calls that fail by a schedule (`docs/faults.md`).
    pub fn start_with_faults(config: &Path, faults: &str) -> (Self, SocketAddr) {
        Self::spawn(assigner_command_with_faults(faults), config)
    }

    /// Starts it by a command of the caller.
    pub fn spawn(command: Command, config: &Path) -> (Self, SocketAddr) {
        let (mut assigner, addr, log) = Self::spawn_with_unread_log(command, config);
        let (line_sender, log_lines) = channel();
        // The log is always read here, since most tests ignore it. A test of its own covers a log that nobody reads.
        thread::spawn(move || {
            log.lines().map_while(Result::ok).for_each(|line| drop(line_sender.send(line)))
        });
        assigner.log_lines = log_lines;
        (assigner, addr)
    }

    /// Starts it and reads its log only up to the line with its address. The rest stays unread in the pipe for as
    /// long as the returned reader is kept.
    pub fn spawn_with_unread_log(
        mut command: Command,
        config: &Path,
    ) -> (Self, SocketAddr, BufReader<ChildStderr>) {
        command.env("BALANCER_CONFIG", config).stderr(Stdio::piped());
        let mut assigner = AssignerProcess { process: command.spawn().unwrap(), log_lines: channel().1 };
        let mut log = BufReader::new(assigner.process.stderr.take().unwrap());
        let addr = read_addr(&mut log);
        (assigner, addr, log)
    }

    /// Waits for a log line that contains `part`.
    pub fn wait_for_log(&self, part: &str) {
        self.read_log_until(part);
    }

    /// Reads the log up to the first line that contains `part`; returns the lines read.
    pub fn read_log_until(&self, part: &str) -> Vec<String> {
        let (deadline, mut lines) = (Instant::now() + WAIT_TIMEOUT, Vec::new());
        loop {
            let time_left = deadline.saturating_duration_since(Instant::now());
            lines.push(
                self.log_lines.recv_timeout(time_left).unwrap_or_else(|_| panic!("not logged: {part}")),
            );
            if lines.last().is_some_and(|line| line.contains(part)) {
                return lines;
            }
        }
    }

    /// Sets the limit on file descriptors of the assigner process.
    pub fn set_max_descriptors(&self, max_descriptors: u64) {
        let limit = Rlimit { current: Some(max_descriptors), maximum: Some(1024) };
        prlimit(Pid::from_raw(self.process.id() as i32), Resource::Nofile, limit).unwrap();
    }

    /// The CPU time that it has used so far, from its ticks of a hundredth of a second.
    pub fn cpu_time(&self) -> Duration {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.process.id())).unwrap();
        let after_name = stat.rsplit(')').next().unwrap();
        let ticks =
            |field: usize| -> u64 { after_name.split_whitespace().nth(field).unwrap().parse().unwrap() };
        Duration::from_millis(10 * (ticks(11) + ticks(12)))
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.process.id() as i32).unwrap(), signal).unwrap();
    }

    /// Sends SIGHUP twice and SIGTERM twice, in an order drawn by the seed and milliseconds apart; returns when the
    /// first SIGTERM was sent.
    pub fn send_signal_series(&self, seed: u64) -> Instant {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut series = [Signal::HUP, Signal::HUP, Signal::TERM, Signal::TERM];
        series.shuffle(&mut random);
        let mut sigterm_at = None;
        for signal in series {
            if signal == Signal::TERM {
                sigterm_at.get_or_insert_with(Instant::now);
            }
            self.signal(signal);
            thread::sleep(Duration::from_micros(random.random_range(0..5_000)));
        }
        sigterm_at.unwrap_or_else(Instant::now)
    }

    /// Sends SIGKILL and waits until the process has ended.
    pub fn kill(&mut self) -> Kill {
        let at = Instant::now();
        self.signal(Signal::KILL);
        self.process.wait().unwrap();
        let end_delay = at.elapsed();
        println!("the process ended {end_delay:?} after the kill");
        Kill { at, starved_for: if end_delay > STARVATION_THRESHOLD { end_delay } else { Duration::ZERO } }
    }

    /// Waits until it has ended by itself, and checks that its exit code is 0.
    pub fn wait_for_exit(&mut self) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.process.try_wait().unwrap() {
                return assert!(status.success(), "{status}");
            }
            assert!(Instant::now() < deadline, "the process has not ended");
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// The command of an assigner with a log level.
pub fn assigner_command(level: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
    command.args(["--log-level", level, "assigner", "--platform"]);
    command
}

/// The command of an assigner with system calls that fail by a schedule, and log level info.
pub fn assigner_command_with_faults(faults: &str) -> Command {
    assigner_command_with_faults_and_log_level(faults, "info")
}

/// The same with another log level.
pub fn assigner_command_with_faults_and_log_level(faults: &str, level: &str) -> Command {
    let mut command = assigner_command(level);
    let library = std::env::current_exe().unwrap().with_file_name("libwhinhill_faults.so");
    assert!(library.exists(), "{} is not built", library.display());
    command.env("LD_PRELOAD", library).env("WHINHILL_FAULTS", faults);
    command
}

/// Reads the log up to the line with the address on which the assigner listens.
fn read_addr(log: &mut impl BufRead) -> SocketAddr {
    let mut text = String::new();
    loop {
        let line_start = text.len();
        log.read_line(&mut text).unwrap();
        assert!(text.len() > line_start, "the log ended without an address: {text}");
        let addr = text[line_start..].split(" addr=").nth(1);
        if let Some(addr) = addr.and_then(|rest| rest.split(' ').next()?.parse().ok()) {
            return addr;
        }
    }
}
