//! The soak of the platform's front, short and seeded: no rule is broken, and the auditor finds defects that are put
//! into the stand-ins.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::Value;
use whinhill_standins::platform::script::TROUBLES;

/// The library that makes calls fail, as the build of the tests leaves it.
fn library() -> PathBuf {
    let library = std::env::current_exe().unwrap().with_file_name("libwhinhill_faults.so");
    assert!(library.exists(), "{} is not built", library.display());
    library
}

fn soak(folder: &Path, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
    command.args(["platform", "soak", "--json", "--library"]).arg(library());
    command.arg("--keep").arg(folder).args(arguments);
    command.output().unwrap()
}

fn reports(output: &Output) -> Vec<Value> {
    let text = String::from_utf8_lossy(&output.stdout);
    text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

fn has_trouble(report: &Value, name: &str) -> bool {
    report["troubles"].as_array().unwrap().iter().any(|trouble| trouble == name)
}

/// All kinds of trouble are among what these seeds draw.
#[test]
fn seeds_of_drawn_troubles_break_no_rule() {
    let folder = tempfile::tempdir().unwrap();
    let output = soak(folder.path(), &["--seeds", "1-10", "--for", "16s", "--jobs", "3"]);
    let reports = reports(&output);
    assert!(output.status.success(), "{reports:#?}\n{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(reports.len(), 10);
    let drawn = |name: &str| reports.iter().any(|report| has_trouble(report, name));
    let missing: Vec<_> = TROUBLES.iter().map(|(name, _)| name).filter(|name| !drawn(name)).collect();
    assert!(missing.is_empty(), "no seed draws {missing:?}");
    let requests = |report: &Value| report["requests"]["requests"].as_u64().unwrap();
    assert!(reports.iter().all(|report| requests(report) > 500), "{reports:#?}");
}

/// Each defect of the stand-ins is found, as what it is, on each seed.
#[test]
fn the_auditor_finds_what_is_put_in() {
    let defects = [
        ("lost-answers", "unanswered"),
        ("late-answers", "late"),
        ("no-line", "no-line"),
        ("late-drain", "drain"),
        ("two-writers", "two-writers"),
    ];
    std::thread::scope(|scope| {
        for (defect, rule) in defects {
            scope.spawn(move || {
                let folder = tempfile::tempdir().unwrap();
                let arguments = ["--seeds", "1-2", "--for", "16s", "--sabotage", defect, "--fault", "waits"];
                let output = soak(folder.path(), &arguments);
                assert_eq!(output.status.code(), Some(3), "{defect}: {output:?}");
                for report in reports(&output) {
                    let broken = report["broken"].as_array().unwrap();
                    assert!(broken.iter().any(|broken| broken["rule"] == rule), "{defect}: {report:#?}");
                }
            });
        }
    });
}

#[test]
fn bad_options_are_named_in_one_line() {
    let folder = tempfile::tempdir().unwrap();
    let bad = [
        ["--seeds", "9-1"],
        ["--seeds", "x"],
        ["--for", "3s"],
        ["--for", "60"],
        ["--jobs", "0"],
        ["--fault", "weather"],
        ["--sabotage", "nothing"],
        ["--program", "/nowhere/whinhill"],
    ];
    for arguments in bad {
        let output = soak(folder.path(), &arguments);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {text}");
        assert!(output.stdout.is_empty() && text.contains(arguments[0]), "{arguments:?}: {text}");
    }
}
