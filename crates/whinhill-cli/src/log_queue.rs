//! A bounded queue of log lines with a thread that writes them to standard error, so that a thread that logs never
//! blocks on a slow reader. Lines that don't fit or can't be written are dropped and counted.
//!
//! `tracing-appender` is not used: it bounds its queue by lines rather than bytes, and waits up to 1.1 s for its
//! writer at exit, which is longer than an assigner has to stop.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use tracing::warn;
use tracing_subscriber::fmt::MakeWriter;

/// Maximum bytes of queued lines: seconds of a verbose log, and small compared with the smallest memory limit.
const MAX_QUEUED_BYTES: usize = 512 * 1024;
/// Time limit for writing queued lines at exit; if the reader doesn't read for this long, they are lost.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Queue of log lines; clones share it.
#[derive(Clone)]
pub struct LogQueue {
    shared: Arc<Shared>,
}

struct Shared {
    queued: Mutex<QueuedLines>,
    /// Signals that a line was queued.
    line_added: Condvar,
    /// Signals that all queued lines are written or dropped.
    emptied: Condvar,
    dropped: Arc<AtomicU64>,
}

#[derive(Default)]
struct QueuedLines {
    lines: VecDeque<Vec<u8>>,
    bytes: usize,
    /// Whether the writer has taken lines that it has not finished writing.
    writing: bool,
}

impl Shared {
    fn lock_queued(&self) -> MutexGuard<'_, QueuedLines> {
        // A poisoned lock is usable: nothing panics halfway through a change of the queue.
        self.queued.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LogQueue {
    /// Starts the thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            queued: Mutex::default(),
            line_added: Condvar::new(),
            emptied: Condvar::new(),
            dropped: Arc::default(),
        });
        let queue = LogQueue { shared: shared.clone() };
        thread::Builder::new().name("log".to_string()).spawn(move || run_writer(&shared, out))?;
        Ok(queue)
    }

    /// Counter of the lines dropped since the start; it is shared and keeps counting.
    pub fn dropped_lines(&self) -> Arc<AtomicU64> {
        self.shared.dropped.clone()
    }

    /// Queues a line, or drops and counts it if the queue is full.
    fn push(&self, line: &[u8]) {
        let mut queued = self.shared.lock_queued();
        if queued.bytes + line.len() > MAX_QUEUED_BYTES {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        queued.bytes += line.len();
        queued.lines.push_back(line.to_vec());
        self.shared.line_added.notify_one();
    }

    /// Waits until all lines are written, up to `FLUSH_TIMEOUT`.
    pub fn flush(&self) {
        let busy = |queued: &mut QueuedLines| queued.writing || !queued.lines.is_empty();
        drop(self.shared.emptied.wait_timeout_while(self.shared.lock_queued(), FLUSH_TIMEOUT, busy));
    }
}

/// Writes queued lines to `out` in batches for the lifetime of the process. After lines were dropped, it logs their
/// number once a batch has been written without an error.
fn run_writer(shared: &Shared, mut out: impl Write) {
    let mut reported = 0;
    loop {
        let lines = take_lines(shared);
        let failed = lines.iter().filter(|line| out.write_all(line).is_err()).count();
        shared.dropped.fetch_add(failed as u64, Ordering::Relaxed);
        let dropped = shared.dropped.load(Ordering::Relaxed);
        if failed == 0 && dropped > reported {
            warn!(lines = dropped - reported, "log lines were dropped");
            reported = dropped;
        }
        let mut queued = shared.lock_queued();
        queued.writing = false;
        if queued.lines.is_empty() {
            shared.emptied.notify_all();
        }
    }
}

/// Waits until lines are queued and takes them all.
fn take_lines(shared: &Shared) -> VecDeque<Vec<u8>> {
    let queued = shared.lock_queued();
    let woken = shared.line_added.wait_while(queued, |queued| queued.lines.is_empty());
    let mut queued = woken.unwrap_or_else(PoisonError::into_inner);
    queued.writing = true;
    queued.bytes = 0;
    std::mem::take(&mut queued.lines)
}

/// Queues each write as one line: the subscriber writes a line with a single call.
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
