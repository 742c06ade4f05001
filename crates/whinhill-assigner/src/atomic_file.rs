//! Writes small files that other processes read at any time: a reader sees a complete file or none.

use std::fs;
use std::io;
use std::path::Path;

/// Writes a temporary file and renames it to `path`. The data is not synced, so it may not survive a machine crash.
pub fn write_atomically(path: &Path, text: &str) -> io::Result<()> {
    let temporary = path.with_extension("new");
    fs::write(&temporary, text)?;
    fs::rename(temporary, path)
}
