//! Days (scenario files) run on loopback by the binary and audited, and components with deliberate defects, which the
//! audit must detect.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// The path of a day file.
fn day(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(name)
}

/// Runs the binary to its end.
fn whinhill(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
    command.args(["--log-level", "error"]).args(args).output().unwrap()
}

/// The JSON object in the last line of the output.
fn outcome(output: &Output) -> serde_json::Value {
    let text = String::from_utf8_lossy(&output.stdout);
    let last_line =
        text.lines().last().unwrap_or_else(|| panic!("{}", String::from_utf8_lossy(&output.stderr)));
    serde_json::from_str(last_line).unwrap()
}

/// Runs a day; returns its outcome and exit code.
fn run_day(path: &Path) -> (serde_json::Value, Option<i32>) {
    let output = whinhill(&["day", "run", path.to_str().unwrap(), "--json"]);
    (outcome(&output), output.status.code())
}

/// The number of rule violations.
fn violations(outcome: &serde_json::Value) -> u64 {
    outcome["rules"].as_object().unwrap().values().map(|count| count.as_u64().unwrap()).sum()
}

#[test]
fn quiet_day_breaks_no_rule_and_serves_nearly_all_rpcs() {
    let (outcome, code) = run_day(&day("quiet.json5"));
    assert_eq!((violations(&outcome), code), (0, Some(0)), "{outcome}");
    assert!(outcome["rpcs"].as_u64().unwrap() > 400, "{outcome}");
    assert!(outcome["ok_share"].as_f64().unwrap() > 0.98, "{outcome}");
}

#[test]
fn day_with_many_faults_breaks_no_rule() {
    let (outcome, code) = run_day(&day("bad-day.json5"));
    assert_eq!((violations(&outcome), code), (0, Some(0)), "{outcome}");
    // The faults took effect: owners moved, tables were rejected, streams broke.
    for field in ["handovers", "nacks", "reconnects", "lines_sent"] {
        assert!(outcome[field].as_u64().unwrap() > 0, "{field}: {outcome}");
    }
}

#[test]
fn failing_links_of_every_kind_break_no_rule() {
    let (outcome, code) = run_day(&day("links.json5"));
    assert_eq!((violations(&outcome), code), (0, Some(0)), "{outcome}");
    assert!(
        outcome["handovers"].as_u64().unwrap() > 0 && outcome["rpcs"].as_u64().unwrap() > 1000,
        "{outcome}"
    );
}

#[test]
fn killed_assigner_and_proxy_processes_break_no_rule() {
    let (outcome, code) = run_day(&day("processes.json5"));
    assert_eq!((violations(&outcome), code), (0, Some(0)), "{outcome}");
    assert!(outcome["reconnects"].as_u64().unwrap() > 0, "{outcome}");
}

#[test]
fn rollback_under_load_completes_after_assigner_is_killed_midway() {
    let (outcome, code) = run_day(&day("rollback.json5"));
    assert_eq!((violations(&outcome), code), (0, Some(0)), "{outcome}");
    let rollbacks = |field: &str| outcome["rollbacks"][field].as_u64().unwrap();
    assert!(rollbacks("asked") >= 3 && rollbacks("slices_done") > 0, "{outcome}");
    assert_eq!(rollbacks("ended"), rollbacks("asked"), "{outcome}");
}

#[test]
fn table_soak_with_crashes_and_lost_messages_matches_full_rebuild() {
    let output = whinhill(&["table", "soak", "--seed", "3", "--steps", "3000", "--proxies", "6", "--json"]);
    let outcome = outcome(&output);
    assert_eq!(output.status.code(), Some(0), "{outcome}");
    for field in ["mismatches", "owner_order_breaks", "rollbacks_open"] {
        assert_eq!(outcome[field], 0, "{field}: {outcome}");
    }
    for field in ["rollbacks", "crashes", "refused_deltas"] {
        assert!(outcome[field].as_u64().unwrap() > 0, "{field}: {outcome}");
    }
    // With --sabotage, slices are granted without waiting for the proxies. The soak must detect it.
    let sabotaged = whinhill(&["table", "soak", "--steps", "3000", "--sabotage", "--json"]);
    let stderr = String::from_utf8_lossy(&sabotaged.stderr).to_string();
    assert_eq!(sabotaged.status.code(), Some(1));
    assert!(stderr.contains("shortest failing prefix"), "{stderr}");
}

/// Some disk operations fail as on a full or faulty disk, both when an update is persisted and when the file is opened
/// after a crash.
#[test]
fn table_soak_with_disk_errors_loses_no_persisted_version() {
    let library = std::env::current_exe().unwrap().with_file_name("libwhinhill_faults.so");
    assert!(library.exists(), "{} is not built", library.display());
    for seed in 1..=6 {
        let faults = format!("seed={seed} file-write=ENOSPC|EIO@0.02 sync=EIO@0.05 rename=EIO@0.05");
        let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
        command.env("LD_PRELOAD", &library).env("WHINHILL_FAULTS", faults);
        let seed = seed.to_string();
        command.args(["--log-level", "error", "table", "soak", "--seed", &seed, "--steps", "600", "--json"]);
        let output = command.output().unwrap();
        let outcome = outcome(&output);
        assert_eq!(output.status.code(), Some(0), "{outcome}");
        assert!(outcome["refused_by_disk"].as_u64().unwrap() > 20, "{outcome}");
        for field in ["lost_versions", "mismatches", "owner_order_breaks", "rollbacks_open"] {
            assert_eq!(outcome[field], 0, "{field}: {outcome}");
        }
    }
}

/// Runs a day of handovers with a defective component; returns the violations of the rule `no_effect_twice`. The load
/// is raised, since at the day's own load few writes overlap, and in some runs none.
fn double_effects_with_defect(kind: &str) -> u64 {
    let text = fs::read_to_string(day("handovers.json5")).unwrap();
    assert!(text.contains("rps: 90"));
    let text = text.replacen("rps: 90", "rps: 140", 1);
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("day.json5");
    fs::write(&path, text.replacen("  faults: [", &format!("  sabotage: [\"{kind}\"],\n  faults: ["), 1))
        .unwrap();
    let (outcome, code) = run_day(&path);
    assert_eq!(code, Some(3), "{kind}: {outcome}");
    outcome["rules"]["no_effect_twice"].as_u64().unwrap()
}

#[test]
fn audit_detects_proxy_that_ignores_stopped_writes() {
    assert!(double_effects_with_defect("proxy-ignores-stops") > 0);
}

#[test]
fn audit_detects_server_that_continues_abandoned_writes() {
    assert!(double_effects_with_defect("server-holds-on") > 0);
}

#[test]
fn audit_detects_assigner_that_skips_ack_wait() {
    assert!(double_effects_with_defect("assigner-skips-wait") > 0);
}

#[test]
fn config_check_reports_all_errors_of_a_day_and_rejects_unknown_keys() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("day.json5");
    let text = fs::read_to_string(day("quiet.json5")).unwrap();
    fs::write(
        &path,
        text.replacen("seconds: 8", "seconds: -8", 1).replacen("assigners: 2", "assigners: 0", 1),
    )
    .unwrap();
    let check = |path: &Path| whinhill(&["config", "check", "--kind", "day", path.to_str().unwrap()]);
    let output = check(&path);
    let stderr = String::from_utf8_lossy(&output.stderr).to_string();
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr.contains("seconds: over 0") && stderr.contains("assigners: 1 to 16"), "{stderr}");
    let bad_link = r#"{ between: "assigners-store", near: { one: 7 }, fault: { down: {} } }"#;
    let faults = format!("  faults: [{{ at_s: 1, what: {{ link: {bad_link} }} }}],\n}}");
    let faults_at = text.find("  faults").unwrap_or(text.rfind('}').unwrap());
    fs::write(&path, format!("{}{faults}", &text[..faults_at])).unwrap();
    let stderr = String::from_utf8_lossy(&check(&path).stderr).to_string();
    assert!(
        stderr.contains("faults[0].near: a part over 0 up to 1, or one below 2, is expected"),
        "{stderr}"
    );
    fs::write(&path, text.replacen("seed: 1", "sead: 1", 1)).unwrap();
    let stderr = String::from_utf8_lossy(&check(&path).stderr).to_string();
    assert!(stderr.contains("sead") && stderr.contains("day.json5:"), "{stderr}");
    assert_eq!(check(&day("quiet.json5")).status.code(), Some(0));
}
