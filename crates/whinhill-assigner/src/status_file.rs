//! A file of status lines. A thread of its own writes it, and a line that the disk refuses is lost and counted: nobody
//! who serves waits for the disk, or ends with it.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use tracing::{info, warn};

/// Lines that may wait for the disk.
const WAITING_MOST: usize = 16;
/// How long the end waits for lines that the disk has not taken.
const LAST_LINES_WITHIN: Duration = Duration::from_secs(1);

/// The way to the file.
pub struct StatusFile {
    lines: Option<Sender<String>>,
    ended: Receiver<()>,
    lost: Arc<AtomicU64>,
}

impl StatusFile {
    /// Starts the file anew.
    ///
    /// # Errors
    /// When no thread can be started. A file that cannot be opened is tried again with each line.
    pub fn start(path: &Path) -> io::Result<Self> {
        let (lines, waiting) = bounded(WAITING_MOST);
        let (end, ended) = bounded(0);
        let lost = Arc::new(AtomicU64::new(0));
        let writer = Writer { path: path.to_path_buf(), file: None, torn: false, well: true };
        let counted = lost.clone();
        let run = move || {
            writer.run(&waiting, &counted);
            drop(end);
        };
        std::thread::Builder::new().name("status".into()).spawn(run)?;
        Ok(StatusFile { lines: Some(lines), ended, lost })
    }

    /// Hands a line on; never waits.
    pub fn write(&self, line: String) {
        if self.lines.as_ref().is_none_or(|lines| lines.try_send(line).is_err()) {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Lines that were not written.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }
}

impl Drop for StatusFile {
    fn drop(&mut self) {
        self.lines = None;
        if self.ended.recv_timeout(LAST_LINES_WITHIN) == Err(RecvTimeoutError::Timeout) {
            warn!("the last status is not written: the disk is slow");
        }
    }
}

struct Writer {
    path: PathBuf,
    file: Option<File>,
    /// The file may end within a line.
    torn: bool,
    well: bool,
}

impl Writer {
    fn run(mut self, lines: &Receiver<String>, lost: &AtomicU64) {
        for line in lines {
            match self.write(&line) {
                Ok(()) => {
                    if !std::mem::replace(&mut self.well, true) {
                        info!(lost = lost.load(Ordering::Relaxed), "status is written again");
                    }
                }
                Err(error) => {
                    lost.fetch_add(1, Ordering::Relaxed);
                    if std::mem::replace(&mut self.well, false) {
                        warn!(path = %self.path.display(), %error, "status can't be written; all else goes on");
                    }
                }
            }
        }
    }

    fn write(&mut self, line: &str) -> io::Result<()> {
        let file = match &mut self.file {
            Some(file) => file,
            none => none.insert(File::create(&self.path)?),
        };
        let start = if self.torn { "\n" } else { "" };
        self.torn = true;
        file.write_all(format!("{start}{line}\n").as_bytes())?;
        self.torn = false;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
