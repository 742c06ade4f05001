//! A bounded queue of log lines before standard error, with a thread of its own that writes them: whoever logs
//! never waits for a reader. Lines that find no room, or cannot be written, are dropped and counted.
//!
//! `tracing-appender` bounds its queue by lines rather than bytes, and waits up to 1.1 s for its writer at the end,
//! more than a stopping assigner has.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use tracing::warn;
use tracing_subscriber::fmt::MakeWriter;

/// Bytes of lines that wait, at most: seconds of a verbose log, and little beside the smallest memory limit.
const BYTES_MOST: usize = 512 * 1024;
/// So long the lines that wait may still be written at the end; a reader that stands still loses them.
const FLUSH_WITHIN: Duration = Duration::from_millis(100);

/// Lines on their way to standard error.
#[derive(Clone)]
pub struct LogQueue {
    shared: Arc<Shared>,
}

struct Shared {
    waiting: Mutex<Waiting>,
    /// A line came.
    added: Condvar,
    /// All that waited is written or dropped.
    emptied: Condvar,
    dropped: Arc<AtomicU64>,
}

#[derive(Default)]
struct Waiting {
    lines: VecDeque<Vec<u8>>,
    bytes: usize,
    /// Lines that the writer has taken and not written yet.
    being_written: bool,
}

impl Shared {
    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        // Nothing panics while it holds the lock half done: the lines are whole either way.
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LogQueue {
    /// Starts the thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            waiting: Mutex::default(),
            added: Condvar::new(),
            emptied: Condvar::new(),
            dropped: Arc::default(),
        });
        let queue = LogQueue { shared: shared.clone() };
        thread::Builder::new().name("log".to_string()).spawn(move || write_on(&shared, out))?;
        Ok(queue)
    }

    /// How many lines were dropped since the start, counted on.
    pub fn dropped(&self) -> Arc<AtomicU64> {
        self.shared.dropped.clone()
    }

    fn push(&self, line: &[u8]) {
        let mut waiting = self.shared.waiting();
        if waiting.bytes + line.len() > BYTES_MOST {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        waiting.bytes += line.len();
        waiting.lines.push_back(line.to_vec());
        self.shared.added.notify_one();
    }

    /// Waits until all lines are written, for a short time at most.
    pub fn flush(&self) {
        let busy = |waiting: &mut Waiting| waiting.being_written || !waiting.lines.is_empty();
        drop(self.shared.emptied.wait_timeout_while(self.shared.waiting(), FLUSH_WITHIN, busy));
    }
}

/// Takes all lines that wait, writes them, and begins again, for as long as the process lives.
fn write_on(shared: &Shared, mut out: impl Write) {
    let mut told = 0;
    loop {
        let lines = take_lines(shared);
        let failed = lines.iter().filter(|line| out.write_all(line).is_err()).count();
        shared.dropped.fetch_add(failed as u64, Ordering::Relaxed);
        let dropped = shared.dropped.load(Ordering::Relaxed);
        if failed == 0 && dropped > told {
            warn!(lines = dropped - told, "lines of the log were dropped");
            told = dropped;
        }
        let mut waiting = shared.waiting();
        waiting.being_written = false;
        if waiting.lines.is_empty() {
            shared.emptied.notify_all();
        }
    }
}

/// Waits until there are lines, and takes them all.
fn take_lines(shared: &Shared) -> VecDeque<Vec<u8>> {
    let waiting = shared.waiting();
    let waited = shared.added.wait_while(waiting, |waiting| waiting.lines.is_empty());
    let mut waiting = waited.unwrap_or_else(PoisonError::into_inner);
    waiting.being_written = true;
    waiting.bytes = 0;
    std::mem::take(&mut waiting.lines)
}

/// One line under way: the subscriber writes each with a single call.
impl Write for LogQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.push(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogQueue {
    type Writer = LogQueue;

    fn make_writer(&'a self) -> LogQueue {
        self.clone()
    }
}

#[cfg(test)]
mod tests;
