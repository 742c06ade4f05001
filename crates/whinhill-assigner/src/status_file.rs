//! A file of status lines. It is written by its own thread, and a line that the disk refuses is dropped and counted, so
//! that a slow or failing disk neither delays nor stops any other thread.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use tracing::{info, warn};

/// Lines that may be queued for the disk.
const MAX_QUEUED: usize = 16;
/// How long dropping the file waits for queued lines to be written.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// The queue of lines for the file.
pub struct StatusFile {
    lines: Option<Sender<String>>,
    ended: Receiver<()>,
    lost: Arc<AtomicU64>,
}

impl StatusFile {
    /// Starts a new file.
    ///
    /// # Errors
    /// When the thread cannot be started. Opening the file is retried with each line.
    pub fn start(path: &Path) -> io::Result<Self> {
        let (lines, queued) = bounded(MAX_QUEUED);
        let (end, ended) = bounded(0);
        let lost = Arc::new(AtomicU64::new(0));
        let writer = Writer { path: path.to_path_buf(), file: None, in_partial_line: false, healthy: true };
        let lost_in_writer = lost.clone();
        let run = move || {
            writer.run(&queued, &lost_in_writer);
            drop(end);
        };
        std::thread::Builder::new().name("status".into()).spawn(run)?;
        Ok(StatusFile { lines: Some(lines), ended, lost })
    }

    /// Queues a line without waiting.
    pub fn write(&self, line: String) {
        if self.lines.as_ref().is_none_or(|lines| lines.try_send(line).is_err()) {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The number of lines that were dropped.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }
}

impl Drop for StatusFile {
    fn drop(&mut self) {
        self.lines = None;
        if self.ended.recv_timeout(FINAL_WRITE_TIMEOUT) == Err(RecvTimeoutError::Timeout) {
            warn!("the last status lines are not written: the disk is slow");
        }
    }
}

/// The thread that writes the file.
struct Writer {
    path: PathBuf,
    file: Option<File>,
    /// The file may end in a partial line.
    in_partial_line: bool,
    healthy: bool,
}

impl Writer {
    /// Writes lines until the queue is closed.
    fn run(mut self, lines: &Receiver<String>, lost: &AtomicU64) {
        for line in lines {
            match self.write(&line) {
                Ok(()) => {
                    if !std::mem::replace(&mut self.healthy, true) {
                        info!(lost = lost.load(Ordering::Relaxed), "status is written again");
                    }
                }
                Err(error) => {
                    lost.fetch_add(1, Ordering::Relaxed);
                    if std::mem::replace(&mut self.healthy, false) {
                        warn!(path = %self.path.display(), %error, "status can't be written; all else goes on");
                    }
                }
            }
        }
    }

    /// Writes one line, after ending a partial one.
    fn write(&mut self, line: &str) -> io::Result<()> {
        let file = match &mut self.file {
            Some(file) => file,
            none => none.insert(File::create(&self.path)?),
        };
        let start = if self.in_partial_line { "\n" } else { "" };
        self.in_partial_line = true;
        file.write_all(format!("{start}{line}\n").as_bytes())?;
        self.in_partial_line = false;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
