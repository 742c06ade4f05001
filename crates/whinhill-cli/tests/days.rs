//! Days on loopback, played by the real binary and audited; and broken components, which the audit must find.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn day(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(name)
}

fn whinhill(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinhill"));
    command.args(["--log-level", "error"]).args(args).output().unwrap()
}

/// The object that the last line of a day's output holds.
fn outcome(output: &Output) -> serde_json::Value {
    let text = String::from_utf8_lossy(&output.stdout);
    let last = text.lines().last().unwrap_or_else(|| panic!("{}", String::from_utf8_lossy(&output.stderr)));
    serde_json::from_str(last).unwrap()
}

fn play(path: &Path) -> (serde_json::Value, Option<i32>) {
    let output = whinhill(&["day", "run", path.to_str().unwrap(), "--json"]);
    (outcome(&output), output.status.code())
}

fn broken(outcome: &serde_json::Value) -> u64 {
    outcome["rules"].as_object().unwrap().values().map(|count| count.as_u64().unwrap()).sum()
}

#[test]
fn a_quiet_day_is_served_whole() {
    let (outcome, code) = play(&day("quiet.json5"));
    assert_eq!((broken(&outcome), code), (0, Some(0)), "{outcome}");
    assert!(outcome["rpcs"].as_u64().unwrap() > 400, "{outcome}");
    assert!(outcome["ok_share"].as_f64().unwrap() > 0.98, "{outcome}");
}

#[test]
fn a_bad_day_breaks_no_rule() {
    let (outcome, code) = play(&day("bad-day.json5"));
    assert_eq!((broken(&outcome), code), (0, Some(0)), "{outcome}");
    // It was a bad day: owners moved, tables were rejected, streams broke.
    for what in ["handovers", "nacks", "reconnects", "lines_sent"] {
        assert!(outcome[what].as_u64().unwrap() > 0, "{what}: {outcome}");
    }
}

#[test]
fn links_of_every_kind_may_fail_without_a_broken_rule() {
    let (outcome, code) = play(&day("links.json5"));
    assert_eq!((broken(&outcome), code), (0, Some(0)), "{outcome}");
    assert!(
        outcome["handovers"].as_u64().unwrap() > 0 && outcome["rpcs"].as_u64().unwrap() > 1000,
        "{outcome}"
    );
}

#[test]
fn assigners_and_proxies_as_processes_are_killed_without_a_broken_rule() {
    let (outcome, code) = play(&day("processes.json5"));
    assert_eq!((broken(&outcome), code), (0, Some(0)), "{outcome}");
    assert!(outcome["reconnects"].as_u64().unwrap() > 0, "{outcome}");
}

#[test]
fn a_rollback_under_load_survives_an_assigner_that_is_killed_half_way() {
    let (outcome, code) = play(&day("rollback.json5"));
    assert_eq!((broken(&outcome), code), (0, Some(0)), "{outcome}");
    let of = |what: &str| outcome["rollbacks"][what].as_u64().unwrap();
    assert!(of("asked") >= 3 && of("slices_done") > 0, "{outcome}");
    assert_eq!(of("ended"), of("asked"), "{outcome}");
}

#[test]
fn tables_soaked_in_crashes_and_lost_messages_equal_a_full_rebuild() {
    let output = whinhill(&["table", "soak", "--seed", "3", "--steps", "3000", "--proxies", "6", "--json"]);
    let outcome = outcome(&output);
    assert_eq!(output.status.code(), Some(0), "{outcome}");
    for what in ["mismatches", "owner_order_breaks", "rollbacks_open"] {
        assert_eq!(outcome[what], 0, "{what}: {outcome}");
    }
    for what in ["rollbacks", "crashes", "refused_deltas"] {
        assert!(outcome[what].as_u64().unwrap() > 0, "{what}: {outcome}");
    }
    // An agent that hands slices back unasked must be found.
    let broken = whinhill(&["table", "soak", "--steps", "3000", "--sabotage", "--json"]);
    let said = String::from_utf8_lossy(&broken.stderr).to_string();
    assert_eq!(broken.status.code(), Some(1));
    assert!(said.contains("shortest failing prefix"), "{said}");
}

/// A disk that is full or fails now and then, in keeping a page and in opening the file after a crash.
#[test]
fn tables_soaked_while_the_disk_fails_lose_nothing_that_was_kept() {
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
        for what in ["lost_versions", "mismatches", "owner_order_breaks", "rollbacks_open"] {
            assert_eq!(outcome[what], 0, "{what}: {outcome}");
        }
    }
}

/// Plays a day of handovers with a broken component; tells the breaks of the second rule. At the day's own load few
/// writes overlap, and now and then none.
fn sabotaged(kind: &str) -> u64 {
    let text = fs::read_to_string(day("handovers.json5")).unwrap();
    assert!(text.contains("rps: 90"));
    let text = text.replacen("rps: 90", "rps: 140", 1);
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("day.json5");
    fs::write(&path, text.replacen("  faults: [", &format!("  sabotage: [\"{kind}\"],\n  faults: ["), 1))
        .unwrap();
    let (outcome, code) = play(&path);
    assert_eq!(code, Some(3), "{kind}: {outcome}");
    outcome["rules"]["no_effect_twice"].as_u64().unwrap()
}

#[test]
fn a_proxy_that_ignores_stops_is_found() {
    assert!(sabotaged("proxy-ignores-stops") > 0);
}

#[test]
fn a_server_that_holds_on_to_writes_is_found() {
    assert!(sabotaged("server-holds-on") > 0);
}

#[test]
fn an_assigner_that_skips_the_wait_is_found() {
    assert!(sabotaged("assigner-skips-wait") > 0);
}

#[test]
fn faults_of_a_file_are_all_named_and_unknown_keys_are_errors() {
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
    let said = String::from_utf8_lossy(&output.stderr).to_string();
    assert_eq!(output.status.code(), Some(2));
    assert!(said.contains("seconds: over 0") && said.contains("assigners: 1 to 16"), "{said}");
    let bad = r#"{ between: "assigners-store", near: { one: 7 }, fault: { down: {} } }"#;
    let faults = format!("  faults: [{{ at_s: 1, what: {{ link: {bad} }} }}],\n}}");
    let place = text.find("  faults").unwrap_or(text.rfind('}').unwrap());
    fs::write(&path, format!("{}{faults}", &text[..place])).unwrap();
    let said = String::from_utf8_lossy(&check(&path).stderr).to_string();
    assert!(said.contains("faults[0].near: a part over 0 up to 1, or one below 2, is expected"), "{said}");
    fs::write(&path, text.replacen("seed: 1", "sead: 1", 1)).unwrap();
    let said = String::from_utf8_lossy(&check(&path).stderr).to_string();
    assert!(said.contains("sead") && said.contains("day.json5:"), "{said}");
    assert_eq!(check(&day("quiet.json5")).status.code(), Some(0));
}
