//! The soak of the platform's front, short and seeded: no rule is broken, and the auditor finds defects that are put
//! into the stand-ins.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::OnceLock;
use std::time::Duration;

use serde_json::Value;
use whinhill_standins::platform::script::{Script, Trouble, DRAWN_KINDS};

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

/// Rules that judge by the reference; the other test of the drawn seeds has all the rest.
const BY_REFERENCE: [&str; 2] = ["rpc-lost", "rpc-refused"];

/// All kinds of trouble are among what these seeds draw. They are played once, for the two tests that judge them.
fn drawn_seeds() -> &'static [Value] {
    static PLAYED: OnceLock<Vec<Value>> = OnceLock::new();
    PLAYED.get_or_init(|| {
        let folder = tempfile::tempdir().unwrap();
        let output = soak(folder.path(), &["--seeds", "20-28", "--for", "16s", "--jobs", "3"]);
        let reports = reports(&output);
        let is_broken = reports.iter().any(|report| report["broken_rules"] != 0);
        let code = if is_broken { 3 } else { 0 };
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{reports:#?}\n{errors}");
        assert_eq!(reports.len(), 9);
        reports
    })
}

/// By seed, the broken rules that are asked for, and where.
fn broken(reports: &[Value], asked: impl Fn(&str) -> bool) -> Vec<String> {
    let rules = |report: &Value| report["broken_by_rule"].as_object().unwrap().clone();
    let of_seed = |report: &Value| {
        let broken: Vec<String> = rules(report)
            .iter()
            .filter(|(rule, _)| asked(rule))
            .map(|(rule, n)| format!("{rule}: {n}"))
            .collect();
        (!broken.is_empty()).then(|| format!("seed {}: {broken:?} {}", report["seed"], report["broken"]))
    };
    reports.iter().filter_map(of_seed).collect()
}

fn troubles(report: &Value) -> impl Iterator<Item = &str> {
    report["troubles"].as_array().unwrap().iter().filter_map(Value::as_str)
}

#[test]
fn seeds_of_drawn_troubles_break_no_rule() {
    let reports = drawn_seeds();
    let broken = broken(reports, |rule| !BY_REFERENCE.contains(&rule));
    assert!(broken.is_empty(), "{broken:#?}");
    let sum = |field: &str| reports.iter().map(|report| report[field].as_u64().unwrap()).sum::<u64>();
    assert!(sum("slow_starts") * 10 <= sum("starts"), "{reports:#?}");
    let drawn: BTreeSet<&str> = reports.iter().flat_map(troubles).collect();
    assert_eq!(drawn.len(), DRAWN_KINDS, "{drawn:?}");
    let requests = |report: &Value| report["requests"]["requests"].as_u64().unwrap();
    assert!(reports.iter().all(|report| requests(report) > 500), "{reports:#?}");
}

#[test]
fn no_more_rpcs_are_lost_or_refused_than_the_reference_allows() {
    let broken = broken(drawn_seeds(), |rule| BY_REFERENCE.contains(&rule));
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Proxies whose streams fall silent, flap, or lose answers take no line away from the others (issue 47).
#[test]
fn proxies_that_do_not_answer_leave_no_slice_without_a_line() {
    let folder = tempfile::tempdir().unwrap();
    let plan = ["--seeds", "201-206", "--for", "28s", "--jobs", "3", "--fault", "streams"];
    let output = soak(folder.path(), &plan);
    let reports = reports(&output);
    assert_eq!(reports.len(), 6, "{output:?}");
    let broken = broken(&reports, |rule| !BY_REFERENCE.contains(&rule));
    assert!(broken.is_empty(), "{broken:#?}");
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
        ("repeated-orders", "backlog"),
        ("early-answers", "two-writers"),
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

/// RPCs that go on to silent servers, and levels that proxies ignore, are found on each seed.
#[test]
fn the_reference_finds_what_is_put_in() {
    let defects = [
        ("lost-ends", "zones", &[["silent", "after_applied"]][..]),
        ("ignored-levels", "releases", &[["queue", "by_queue"], ["cold", "by_cold_server"]][..]),
    ];
    std::thread::scope(|scope| {
        for (defect, trouble, stages) in defects {
            scope.spawn(move || {
                let folder = tempfile::tempdir().unwrap();
                let plan = ["--seeds", "61-62", "--for", "24s", "--jobs", "1"];
                let arguments = [&plan[..], &["--sabotage", defect, "--fault", trouble]].concat();
                let output = soak(folder.path(), &arguments);
                assert_eq!(output.status.code(), Some(3), "{defect}: {output:?}");
                let reports = reports(&output);
                assert_eq!(reports.len(), 2);
                for report in &reports {
                    assert!(report["broken_by_rule"]["rpc-lost"].as_u64() > Some(0), "{defect}: {report:#?}");
                    let lost =
                        |[cause, stage]: &[&str; 2]| report["lost"][cause][stage].as_u64().unwrap_or(0);
                    assert!(stages.iter().map(lost).sum::<u64>() > 100, "{defect}: {report:#?}");
                }
            });
        }
    });
}

/// All RPCs go to the server that started last.
#[test]
fn a_rush_on_cold_servers_is_found() {
    let folder = tempfile::tempdir().unwrap();
    let plan =
        ["--seeds", "61-62", "--for", "16s", "--jobs", "1", "--sabotage", "cold-rush", "--fault", "releases"];
    let output = soak(folder.path(), &plan);
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    let reports = reports(&output);
    assert_eq!(reports.len(), 2);
    assert!(reports.iter().all(|r| r["broken_by_rule"]["cold-budget"].as_u64() > Some(0)), "{reports:#?}");
}

/// Figures of later releases compare with those of issue 40 by these scripts.
#[test]
fn scripts_of_the_first_kinds_stay_what_they_were() {
    let before = [
        (61, 2, 23, "(53.284879974s, Silence { share: 0.25, time: 1.284s })"),
        (62, 2, 24, "(53.017867757s, Silence { share: 0.25, time: 3.67s })"),
        (63, 1, 21, "(52.440477553s, Silence { share: 0.25, time: 2.075s })"),
    ];
    for (seed, nodes, actions, last) in before {
        let script = Script::draw(seed, Duration::from_secs(60), &[Trouble::Servers]);
        assert_eq!((script.nodes, script.actions.len()), (nodes, actions), "seed {seed}");
        assert_eq!(format!("{:?}", script.actions.last().unwrap()), last, "seed {seed}");
    }
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
