//! Short, seeded runs of the platform soak: no rule is broken, and the auditor detects defects that are injected into
//! the stand-ins.

mod support;

use std::collections::BTreeSet;
use std::sync::OnceLock;
use std::time::Duration;

use serde_json::Value;
use whinhill_standins::platform::script::{Script, Trouble, DRAWN_KINDS};

use support::soak::{broken_rules, reports, soak, REFERENCE_RULES};

/// Reports of seeds that draw every kind of fault. They are run once, for the two tests that evaluate them.
fn drawn_seeds() -> &'static [Value] {
    static REPORTS: OnceLock<Vec<Value>> = OnceLock::new();
    REPORTS.get_or_init(|| {
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

/// The kinds of fault that a seed drew.
fn troubles(report: &Value) -> impl Iterator<Item = &str> {
    report["troubles"].as_array().unwrap().iter().filter_map(Value::as_str)
}

#[test]
fn seeds_with_drawn_faults_break_no_rule() {
    let reports = drawn_seeds();
    let broken = broken_rules(reports, |rule| !REFERENCE_RULES.contains(&rule));
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
    let broken = broken_rules(drawn_seeds(), |rule| REFERENCE_RULES.contains(&rule));
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Proxies whose streams stall, reconnect repeatedly, or lose answers must not cost the other proxies a line (issue
/// 47).
#[test]
fn unresponsive_proxies_leave_no_slice_without_line() {
    let folder = tempfile::tempdir().unwrap();
    let plan = ["--seeds", "201-206", "--for", "28s", "--jobs", "3", "--fault", "streams"];
    let output = soak(folder.path(), &plan);
    let reports = reports(&output);
    assert_eq!(reports.len(), 6, "{output:?}");
    let broken = broken_rules(&reports, |rule| !REFERENCE_RULES.contains(&rule));
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against handovers of one slice in series that each keep their bound, while a proxy that is away at each grant
/// lacks a line for their sum (issue 77).
#[test]
fn series_of_drains_leaves_no_proxy_without_line() {
    let folder = tempfile::tempdir().unwrap();
    let plan = ["--seeds", "504-507", "--for", "36s", "--jobs", "4", "--setting", "timing=wire-page"];
    let output = soak(folder.path(), &[&plan[..], &["--fault", "drains", "--fault", "streams"]].concat());
    let reports = reports(&output);
    assert_eq!(reports.len(), 4, "{output:?}");
    let broken = broken_rules(&reports, |rule| !REFERENCE_RULES.contains(&rule));
    assert!(broken.is_empty(), "{broken:#?}");
}

/// The auditor must report each injected defect on each seed, as a violation of the right rule.
#[test]
fn auditor_detects_each_injected_defect() {
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

/// RPCs that still go to unresponsive servers, and levels that proxies ignore, must be detected on each seed.
#[test]
fn reference_detects_each_injected_defect() {
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

/// The injected defect sends all RPCs to the server that started last.
#[test]
fn auditor_detects_overload_of_cold_servers() {
    let folder = tempfile::tempdir().unwrap();
    let plan =
        ["--seeds", "61-62", "--for", "16s", "--jobs", "1", "--sabotage", "cold-rush", "--fault", "releases"];
    let output = soak(folder.path(), &plan);
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    let reports = reports(&output);
    assert_eq!(reports.len(), 2);
    assert!(
        reports.iter().all(|report| report["broken_by_rule"]["cold-budget"].as_u64() > Some(0)),
        "{reports:#?}"
    );
}

/// These scripts must not change, since measurements of later releases are compared with those of issue 40.
#[test]
fn drawn_scripts_stay_unchanged() {
    let expected_scripts = [
        (61, 2, 23, "(53.284879974s, Silence { share: 0.25, time: 1.284s })"),
        (62, 2, 24, "(53.017867757s, Silence { share: 0.25, time: 3.67s })"),
        (63, 1, 21, "(52.440477553s, Silence { share: 0.25, time: 2.075s })"),
    ];
    for (seed, nodes, actions, last) in expected_scripts {
        let script = Script::draw(seed, Duration::from_secs(60), &[Trouble::Servers]);
        assert_eq!((script.nodes, script.actions.len()), (nodes, actions), "seed {seed}");
        assert_eq!(format!("{:?}", script.actions.last().unwrap()), last, "seed {seed}");
    }
}

#[test]
fn invalid_options_are_named_in_error() {
    let folder = tempfile::tempdir().unwrap();
    let invalid = [
        ["--seeds", "9-1"],
        ["--seeds", "x"],
        ["--for", "3s"],
        ["--for", "60"],
        ["--jobs", "0"],
        ["--fault", "weather"],
        ["--sabotage", "nothing"],
        ["--setting", "discovery=poll"],
        ["--program", "/nowhere/whinhill"],
    ];
    for arguments in invalid {
        let output = soak(folder.path(), &arguments);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {text}");
        assert!(output.stdout.is_empty() && text.contains(arguments[0]), "{arguments:?}: {text}");
    }
}
