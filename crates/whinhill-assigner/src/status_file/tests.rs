use super::*;

/// A path that cannot be opened at first stands for a disk that refuses.
#[test]
fn lines_that_are_refused_are_counted_and_the_others_are_whole() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("missing/status");
    let mut writer = Writer { path: path.clone(), file: None, torn: false, well: true };
    assert!(writer.write("first").is_err());
    std::fs::create_dir(path.parent().unwrap()).unwrap();
    writer.write("second").unwrap();
    // A write that broke off in the middle.
    writer.file.as_mut().unwrap().write_all(b"thi").unwrap();
    writer.torn = true;
    writer.write("fourth").unwrap();
    assert_eq!(std::fs::read_to_string(&path).unwrap(), "second\nthi\nfourth\n");
}

#[test]
fn what_was_handed_on_is_written_before_the_end() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("status");
    let file = StatusFile::start(&path).unwrap();
    file.write("a".into());
    file.write("b".into());
    drop(file);
    assert_eq!(std::fs::read_to_string(&path).unwrap(), "a\nb\n");
}
