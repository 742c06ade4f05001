//! Lines that the disk refuses, and the end of the file.

use super::*;

/// A path that cannot be opened at first stands for a disk that refuses.
#[test]
fn partial_line_is_ended_before_the_next_one() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("missing/status");
    let mut writer = Writer { path: path.clone(), file: None, in_partial_line: false, healthy: true };
    assert!(writer.write("first").is_err());
    std::fs::create_dir(path.parent().unwrap()).unwrap();
    writer.write("second").unwrap();
    // A write that was interrupted in the middle of a line.
    writer.file.as_mut().unwrap().write_all(b"thi").unwrap();
    writer.in_partial_line = true;
    writer.write("fourth").unwrap();
    assert_eq!(std::fs::read_to_string(&path).unwrap(), "second\nthi\nfourth\n");
}

#[test]
fn queued_lines_are_written_before_drop_returns() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("status");
    let file = StatusFile::start(&path).unwrap();
    file.write("a".into());
    file.write("b".into());
    drop(file);
    assert_eq!(std::fs::read_to_string(&path).unwrap(), "a\nb\n");
}
