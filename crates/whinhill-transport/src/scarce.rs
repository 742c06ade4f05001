//! Calls that fail because this system has no descriptor, port, route or memory at the moment. They say nothing of a
//! peer, and are made again for a short time.

use std::io;
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// Between two attempts: short against every deadline, long enough that a few leave room to others.
const AGAIN: Duration = Duration::from_millis(10);

/// Whether the system is short of something that may come free.
pub fn is_scarce(error: &io::Error) -> bool {
    let scarce = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    Errno::from_io_error(error).is_some_and(|errno| scarce.contains(&errno))
}

/// Whether a connect has reached nobody for a reason of this system's own.
pub fn is_local(error: &io::Error) -> bool {
    let local = [Errno::ADDRNOTAVAIL, Errno::NETUNREACH, Errno::AGAIN];
    is_scarce(error) || Errno::from_io_error(error).is_some_and(|errno| local.contains(&errno))
}

/// Makes a call until it succeeds, fails for a reason that does not pass, or the time is up: its last result.
pub fn until_had<T>(
    within: Duration,
    passes: impl Fn(&io::Error) -> bool,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match call() {
            Err(error) if passes(&error) && started.elapsed() < within => std::thread::sleep(AGAIN),
            result => return result,
        }
    }
}

#[cfg(test)]
mod tests;
