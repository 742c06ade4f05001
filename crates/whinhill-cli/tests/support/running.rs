//! The assigner as a process.

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

use super::WITHIN;

/// The assigner, killed when the test is over.
pub struct Running(pub Child, pub Receiver<String>);

/// A killed process is gone within milliseconds. One that takes longer is kept from running by the machine, and was so
/// before the kill.
const STARVED_FROM: Duration = Duration::from_millis(20);

/// A kill, and for how long after it the machine kept the process from running.
pub struct Kill {
    pub at: Instant,
    pub starved: Duration,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        if thread::panicking() {
            // What it logged tells why a test failed.
            let log: Vec<String> = self.1.iter().collect();
            eprintln!("{log:#?}");
        }
    }
}

impl Running {
    pub fn start(config: &Path) -> (Self, SocketAddr) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
        command.args(["assigner", "--platform"]);
        Self::spawn(command, config)
    }

    /// With so many descriptors, whatever the configuration says.
    pub fn start_with_descriptors(config: &Path, most: usize) -> (Self, SocketAddr) {
        let mut command = Command::new("/bin/sh");
        let run = format!("ulimit -n {most}; exec \"$0\" assigner --platform");
        command.args(["-c", &run, env!("CARGO_BIN_EXE_whinhill")]);
        Self::spawn(command, config)
    }

    /// While its calls fail as a schedule says (`docs/faults.md`).
    pub fn start_with_faults(config: &Path, faults: &str) -> (Self, SocketAddr) {
        Self::spawn(command_with_faults(faults), config)
    }

    pub fn spawn(command: Command, config: &Path) -> (Self, SocketAddr) {
        let (mut running, addr, log) = Self::spawn_unread(command, config);
        let (lines, rest) = channel();
        // Most tests look at none of the log; one that nobody reads has a test of its own.
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(|line| drop(lines.send(line))));
        running.1 = rest;
        (running, addr)
    }

    /// With a log that nobody reads on after the line that names its address, for as long as the returned end is
    /// kept.
    pub fn spawn_unread(mut command: Command, config: &Path) -> (Self, SocketAddr, BufReader<ChildStderr>) {
        command.env("BALANCER_CONFIG", config).stderr(Stdio::piped());
        let mut running = Running(command.spawn().unwrap(), channel().1);
        let mut log = BufReader::new(running.0.stderr.take().unwrap());
        let addr = read_addr(&mut log);
        (running, addr, log)
    }

    pub fn wait_for_log(&self, part: &str) {
        self.log_until(part);
    }

    /// The lines up to the one with `part`.
    pub fn log_until(&self, part: &str) -> Vec<String> {
        let (until, mut lines) = (Instant::now() + WITHIN, Vec::new());
        loop {
            let left = until.saturating_duration_since(Instant::now());
            lines.push(self.1.recv_timeout(left).unwrap_or_else(|_| panic!("never logged: {part}")));
            if lines.last().is_some_and(|line| line.contains(part)) {
                return lines;
            }
        }
    }

    /// Sets how many descriptors it may hold.
    pub fn limit_descriptors(&self, most: u64) {
        let limit = Rlimit { current: Some(most), maximum: Some(1024) };
        prlimit(Pid::from_raw(self.0.id() as i32), Resource::Nofile, limit).unwrap();
    }

    /// The processor time that it has used so far, from its ticks of a hundredth of a second.
    pub fn processor_time(&self) -> Duration {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.0.id())).unwrap();
        let after_name = stat.rsplit(')').next().unwrap();
        let ticks =
            |field: usize| -> u64 { after_name.split_whitespace().nth(field).unwrap().parse().unwrap() };
        Duration::from_millis(10 * (ticks(11) + ticks(12)))
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.0.id() as i32).unwrap(), signal).unwrap();
    }

    /// Sends signals in an order drawn by the seed, milliseconds apart; when the first SIGTERM was sent.
    pub fn send_series(&self, seed: u64) -> Instant {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut series = [Signal::HUP, Signal::HUP, Signal::TERM, Signal::TERM];
        series.shuffle(&mut random);
        let mut terminated = None;
        for signal in series {
            if signal == Signal::TERM {
                terminated.get_or_insert_with(Instant::now);
            }
            self.signal(signal);
            thread::sleep(Duration::from_micros(random.random_range(0..5_000)));
        }
        terminated.unwrap_or_else(Instant::now)
    }

    /// Kills it without a word.
    pub fn kill(&mut self) -> Kill {
        let at = Instant::now();
        self.signal(Signal::KILL);
        self.0.wait().unwrap();
        let lasted = at.elapsed();
        println!("it was gone {lasted:?} after the kill");
        Kill { at, starved: if lasted > STARVED_FROM { lasted } else { Duration::ZERO } }
    }

    /// Waits until it has ended by itself and in order.
    pub fn wait_for_end(&mut self) {
        let until = Instant::now() + WITHIN;
        loop {
            if let Some(status) = self.0.try_wait().unwrap() {
                return assert!(status.success(), "{status}");
            }
            assert!(Instant::now() < until, "it does not end");
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// The assigner's command with a log level.
pub fn command(level: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
    command.args(["--log-level", level, "assigner", "--platform"]);
    command
}

/// The assigner's command with calls that fail.
pub fn command_with_faults(faults: &str) -> Command {
    command_with_faults_and_log(faults, "info")
}

pub fn command_with_faults_and_log(faults: &str, level: &str) -> Command {
    let mut command = command(level);
    let library = std::env::current_exe().unwrap().with_file_name("libwhinhill_faults.so");
    assert!(library.exists(), "{} is not built", library.display());
    command.env("LD_PRELOAD", library).env("WHINHILL_FAULTS", faults);
    command
}

/// Reads the log up to the line that names the address.
fn read_addr(log: &mut impl BufRead) -> SocketAddr {
    let mut told = String::new();
    loop {
        let before = told.len();
        log.read_line(&mut told).unwrap();
        assert!(told.len() > before, "it ends without an address: {told}");
        let addr = told[before..].split(" addr=").nth(1);
        if let Some(addr) = addr.and_then(|rest| rest.split(' ').next()?.parse().ok()) {
            return addr;
        }
    }
}
