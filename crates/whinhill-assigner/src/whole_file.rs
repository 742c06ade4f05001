//! Small files that others read at any moment: whole or not there, never half written.

use std::fs;
use std::io;
use std::path::Path;

/// Writes a file beside its place and moves it there. It need not survive a crash of the machine.
pub fn write_whole(path: &Path, text: &str) -> io::Result<()> {
    let beside = path.with_extension("new");
    fs::write(&beside, text)?;
    fs::rename(beside, path)
}
