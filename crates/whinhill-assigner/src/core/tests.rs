//! The assigner as a value: inputs in, effects out, no thread and no socket.

use super::*;
use crate::config::Fault;

const CONFIG: &str = r#"{
  name: "a", peers: ["a", "b"], listen: "127.0.0.1:0", zone: "z", zones: ["z"],
  service: {
    name: "t", slices: 2, write_lease_ms: 2000, settle_ms: 500, hold_ms: 200,
    methods: [
      { name: "look", path: "/t.S/Look", effect: "idempotent", criticality: 1, soft_deadline_ms: 500, deadline_ms: 1000 },
      { name: "book", path: "/t.S/Book", writes: true, effect: "non-idempotent", criticality: 5, soft_deadline_ms: 500, deadline_ms: 1000 },
    ],
  },
  rules: { empty_ms: 9000, grace_ms: 2000, warm_after_ms: 5000, cold_from: 0.2, fall_multiple: 3, fall_ms: 1500 },
  channel: { lines_per_s: 10000, head: 8, backlog: 10000, way_most_ms: 200 },
  roster: { file: { path: "roster.json5" } },
  store: { addr: "127.0.0.1:6379" }, custody: { ttl_ms: 2000, margin_ms: 400 }, report_period_ms: 500,
}"#;

fn config() -> AssignerConfig {
    json5::from_str(CONFIG).unwrap()
}

fn s(seconds: f64) -> Duration {
    crate::names::PAST + Duration::from_secs_f64(seconds)
}

fn entry(number: u8, state: RosterState) -> RosterEntry {
    let addr = std::net::SocketAddr::from(([10, 0, 0, number], 7));
    RosterEntry { addr, zone: "z".into(), state, size: 1.0, started_unix_ms: None }
}

fn roster(kind: ListKind, entries: Vec<RosterEntry>) -> Input {
    Input::Roster { kind, entries, unix_ms: 1_000_000 }
}

fn ready(number: u8) -> RosterEntry {
    entry(number, RosterState::Ready)
}

fn joined(proxy: &str, stream: u64) -> Input {
    Input::Joined { proxy: proxy.into(), zone: "z".into(), stream }
}

fn acked(proxy: &str, stream: u64, mark: u16) -> Input {
    Input::Acked { proxy: proxy.into(), stream, mark }
}

fn given(slice: SliceId, owner: Option<&str>) -> Input {
    Input::Custody { told: vec![Told::Given { slice, epoch: 3, owner: owner.map(Into::into) }] }
}

/// Slice 0 at server 1, two servers ready, proxy p joined by stream 1, for long.
fn running() -> Core {
    let mut core = Core::new(&config(), 7).unwrap();
    core.handle(s(0.0), vec![roster(ListKind::Full, vec![ready(1), ready(2)]), joined("p", 1)]);
    core.handle(s(0.1), vec![given(0, Some("10.0.0.1:7"))]);
    for tick in 0..60 {
        core.handle(s(0.2 + 0.1 * f64::from(tick)), vec![]);
    }
    core
}

/// Drains server 1 and returns the core once the end of its line is marked, with that mark.
fn drained() -> (Core, u16) {
    let mut core = running();
    let list = vec![entry(1, RosterState::Draining), ready(2)];
    let mut mark = core.handle(s(7.0), vec![roster(ListKind::Full, list)]).mark;
    let mut at = 7.0;
    while mark.is_none() {
        at += 0.05;
        assert!(at < 9.0, "a drain is told within the grace");
        mark = core.handle(s(at), vec![]).mark;
    }
    (core, mark.unwrap())
}

/// The first grant from a time on.
fn first_grant(core: &mut Core, from: f64, until: f64) -> Option<(f64, PendingGrant)> {
    let mut at = from;
    while at < until {
        if let Some(grant) = core.handle(s(at), vec![]).grants.pop() {
            return Some((at, grant));
        }
        at += 0.05;
    }
    None
}

#[test]
fn a_drained_owner_hands_over_after_every_answer_and_the_store() {
    let (mut core, mark) = drained();
    assert_eq!(first_grant(&mut core, 7.2, 7.9), None);
    core.handle(s(8.0), vec![acked("p", 1, mark)]);
    // Reads may have gone on until their end was told too.
    let mut at = 8.0;
    let grant = loop {
        at += 0.05;
        assert!(at < 12.0, "no grant");
        let effects = core.handle(s(at), vec![]);
        if let Some(mark) = effects.mark {
            core.handle(s(at + 0.01), vec![acked("p", 1, mark)]);
        }
        if let Some(grant) = effects.grants.into_iter().next() {
            break grant;
        }
    };
    assert_eq!((&*grant.owner, grant.epoch), ("10.0.0.2:7", 3));
    assert_ne!(core.keeper().published()[&0].owner.as_deref(), Some("10.0.0.2:7"));
    // The store holds it; it is told only once our own file does too.
    let effects = core.handle(s(at + 0.1), vec![Input::Granted { grant }]);
    assert!(!effects.changed.contains(&0));
    let seq = effects.page.unwrap().seq;
    let effects = core.handle(s(at + 0.2), vec![Input::Kept { seq }]);
    assert!(effects.changed.contains(&0) && effects.lines > 0);
    assert_eq!(core.keeper().published()[&0].owner.as_deref(), Some("10.0.0.2:7"));
}

/// Reads at a drained owner went on past the grace while the store or a stalled disk had the grant.
#[test]
fn a_drained_owners_line_ends_with_the_grant_that_still_waits() {
    let (mut core, mark) = drained();
    core.handle(s(7.1), vec![acked("p", 1, mark)]);
    let before = core.keeper().published()[&0].owner.clone();
    assert_eq!(before.as_deref(), Some("10.0.0.1:7"), "reads go on while writes settle");
    let batches = (0..40).map(|tick| core.handle(s(7.1 + 0.05 * f64::from(tick)), vec![]));
    let granting = batches.into_iter().find(|effects| !effects.grants.is_empty()).unwrap();
    assert!(granting.changed.contains(&0) && granting.safety && granting.lines > 0, "{granting:?}");
    assert_eq!(core.keeper().published()[&0].owner, None);
}

#[test]
fn an_answer_on_a_stream_that_another_has_replaced_is_none() {
    let (mut core, mark) = drained();
    core.handle(s(8.0), vec![joined("p", 2), acked("p", 1, mark)]);
    // The older stream's end must not count as the proxy's leaving either.
    let effects = core.handle(s(8.05), vec![Input::Left { proxy: "p".into(), stream: 1 }]);
    assert!(effects.left.is_empty() && core.joined().len() == 1);
    assert_eq!(first_grant(&mut core, 8.1, 9.4), None);
}

#[test]
fn a_proxy_that_leaves_holds_the_grant_for_a_lease() {
    let (mut core, _) = drained();
    core.handle(s(8.0), vec![Input::Left { proxy: "p".into(), stream: 1 }]);
    let (at, _) = first_grant(&mut core, 8.05, 14.0).unwrap();
    assert!(at >= 8.0 + 2.0 + 0.5, "granted at {at}");
}

#[test]
fn custody_that_ends_takes_the_tables_away_and_answers_nothing_of_them() {
    let (mut core, mark) = drained();
    let effects = core.handle(s(8.0), vec![Input::Custody { told: vec![Told::Taken { slice: 0 }] }]);
    assert!(effects.taken.contains(&0) && core.keeper().published().is_empty());
    let effects = core.handle(s(8.1), vec![acked("p", 1, mark)]);
    assert!(effects.changed.is_empty() && effects.grants.is_empty());
}

#[test]
fn what_comes_before_the_first_list_is_kept_for_it() {
    let mut core = Core::new(&config(), 7).unwrap();
    let effects = core.handle(s(0.0), vec![joined("p", 1), given(0, Some("10.0.0.1:7"))]);
    assert!(effects.mark.is_none() && effects.given.contains(&0));
    core.handle(s(1.0), vec![roster(ListKind::Stored, vec![ready(1), ready(2)])]);
    // The owner turns out to drain: the proxy that joined early is told and awaited.
    let list = vec![entry(1, RosterState::Draining), ready(2)];
    let first = core.handle(s(6.0), vec![roster(ListKind::Full, list)]).mark;
    let marked =
        first.is_some() || (0..40).any(|k| core.handle(s(6.1 + 0.05 * f64::from(k)), vec![]).mark.is_some());
    assert!(marked);
}

#[test]
fn a_wall_clock_that_jumps_makes_no_server_young_again() {
    let mut names = Names::new(&[]);
    let server: ServerName = "10.0.0.1:7".into();
    let first = names.started(&server, Some(990_000), 1_000_000, s(100.0));
    assert_eq!(first, Some(s(90.0)));
    assert_eq!(names.started(&server, Some(990_000), 500_000, s(200.0)), first);
    // Started before anything that we can tell: long ago.
    assert_eq!(names.started(&server, Some(0), u64::MAX / 2, s(200.0)), None);
}

#[test]
fn a_broken_assigner_skips_the_wait() {
    let mut config = config();
    config.sabotage.skips_the_wait = true;
    let mut core = Core::new(&config, 7).unwrap();
    core.handle(s(0.0), vec![roster(ListKind::Full, vec![ready(1), ready(2)]), joined("p", 1)]);
    core.handle(s(0.1), vec![given(0, Some("10.0.0.1:7"))]);
    let list = vec![entry(1, RosterState::Draining), ready(2)];
    let at_once = core.handle(s(3.0), vec![roster(ListKind::Full, list)]).grants;
    // Neither an answer nor the settle time has come.
    assert!(!at_once.is_empty() || first_grant(&mut core, 3.05, 3.4).is_some());
}

/// A report of one slice at one server, and what a level turned away.
fn report(cluster_name: &str, server: &str, tries: u64) -> proto::LoadStatsRequest {
    let met = proto::UpstreamEndpointStats {
        address: Some(whinhill_xds::mapping::address(server)),
        total_issued_requests: tries,
        total_error_requests: 1,
        ..Default::default()
    };
    let locality = proto::UpstreamLocalityStats {
        upstream_endpoint_stats: vec![met],
        total_issued_requests: tries,
        total_error_requests: 1,
        ..Default::default()
    };
    let cluster = proto::ClusterStats {
        cluster_name: cluster_name.into(),
        upstream_locality_stats: vec![locality],
        load_report_interval: Some(proto::span(Duration::from_millis(500))),
        total_dropped_requests: 2,
        ..Default::default()
    };
    proto::LoadStatsRequest { node: None, cluster_stats: vec![cluster] }
}

#[test]
fn a_report_is_read_by_slice_and_server_and_strange_names_are_counted() {
    use whinhill_reports::Key;
    let (service, mut names) = (config().service.service(), Names::new(&[]));
    names.ep("10.0.0.1:7");
    let read = |cluster: &str, server: &str, tries| {
        crate::reports::read_report(5, 0, &report(cluster, server, tries), &service, &names)
    };
    let told = read("t/0.2/look", "10.0.0.1:7", 3);
    let lines: Vec<_> = told.lines.iter().map(|l| (l.key, l.figures.tries, l.figures.lost)).collect();
    let (came, met) = (Key::Came { slice: 0, method: 0 }, Key::Met { server: 0, zone: 0 });
    assert_eq!(lines, [(came, 5, 1), (met, 3, 1)]);
    assert_eq!((told.strange, told.stretch), (0, Some(Duration::from_millis(500))));
    // A server that no list has named is nobody: a peer can't fill our books with names.
    assert_eq!(read("t/0.2/look", "10.0.0.99:7", 3).strange, 1);
    assert_eq!(read("other/9.2/look", "10.0.0.1:7", 3).strange, 1);
    // Slices by another count are others' slices.
    assert_eq!(read("t/0.3/look", "10.0.0.1:7", 3).strange, 1);
}

#[test]
fn who_reports_late_is_told_a_longer_interval_and_the_ordinary_one_again() {
    let mut core = running();
    let reporting = Input::Reporting { proxy: "p".into(), zone: "z".into() };
    core.handle(s(10.0), vec![reporting]);
    let told = |tries| {
        let report = report("t/0.2/look", "10.0.0.1:7", tries);
        Input::Report { proxy: "p".into(), zone: "z".into(), report }
    };
    let mut paces = Vec::new();
    let mut now = 10.0;
    // A standstill of six seconds, and what it held up; then even ones again.
    let steps = std::iter::repeat_n(0.5, 10).chain([6.0, 0.0, 0.0]).chain(std::iter::repeat_n(0.5, 30));
    for (turn, step) in steps.enumerate() {
        now += step;
        let effects = core.handle(s(now), vec![told(turn as u64 + 1)]);
        paces.extend(effects.paces.iter().map(|(_, every)| every.as_millis()));
    }
    assert!(paces.len() >= 2 && paces[0] > 500 && paces.last() == Some(&500), "{paces:?}");
}

/// Found on reading: a new stream forgot what its proxy had been told, which then stayed at the longer interval.
#[test]
fn a_longer_interval_ends_though_the_stream_was_opened_anew() {
    let mut core = running();
    let reporting = || Input::Reporting { proxy: "p".into(), zone: "z".into() };
    core.handle(s(10.0), vec![reporting()]);
    let mut tries = 0;
    let mut tell = |core: &mut Core, now: f64| {
        tries += 1;
        let report = report("t/0.2/look", "10.0.0.1:7", tries);
        let told = Input::Report { proxy: "p".into(), zone: "z".into(), report };
        core.handle(s(now), vec![told]).paces.iter().map(|(_, every)| every.as_millis()).collect::<Vec<_>>()
    };
    (1..=10).for_each(|turn| assert!(tell(&mut core, 10.0 + f64::from(turn) * 0.5).is_empty()));
    let longer = tell(&mut core, 21.0);
    assert!(longer.first().is_some_and(|every| *every > 500), "{longer:?}");
    core.handle(s(21.1), vec![Input::NoLongerReporting { proxy: "p".into() }, reporting()]);
    let after: Vec<u128> = (1..=30).flat_map(|turn| tell(&mut core, 21.1 + f64::from(turn) * 0.5)).collect();
    assert_eq!(after.last(), Some(&500), "{after:?}");
}

#[test]
fn a_roster_cut_short_is_refused_whole_and_faults_are_named() {
    let whole = r#"{"servers":[{"addr":"10.0.0.1:7","zone":"z","state":"ready"}]}"#;
    assert_eq!(crate::read_roster(whole).unwrap().servers.len(), 1);
    (1..whole.len()).for_each(|end| assert!(crate::read_roster(&whole[..end]).is_err(), "{end}"));
    let twice = r#"{servers:[{addr:"10.0.0.1:7",zone:"z",state:"ready"},{addr:"10.0.0.1:7",zone:"z",state:"ready"}]}"#;
    assert!(crate::read_roster(twice).unwrap_err().contains("stands twice"));
}

#[test]
fn every_fault_of_a_configuration_is_named_with_its_path() {
    let mut config = config();
    config.peers = vec!["b".into()];
    config.service.methods[1].deadline_ms = 1;
    config.custody.margin_ms = 1;
    let faults: Vec<String> = config.check().iter().map(Fault::to_string).collect();
    let named = |path: &str| faults.iter().any(|fault| fault.starts_with(path));
    assert!(
        named("peers") && named("service.methods[1].deadline_ms") && named("custody.margin_ms"),
        "{faults:?}"
    );
    assert_eq!(faults.len(), 3, "{faults:?}");
}

#[test]
fn what_an_order_changed_is_answered_once_it_is_kept_and_a_look_at_once() {
    let mut core = running();
    let ask = |id, ask| Input::Asked { id, ask };
    let history = ask(1, Ask::History { most: 5 });
    let pin = ask(2, Ask::PinGood { version: crate::ask::Target::Current });
    let effects = core.handle(s(7.0), vec![history, pin]);
    let seq = effects.page.unwrap().seq;
    assert!(matches!(&effects.answers[0], (1, 0, Answer::History { .. })), "{:?}", effects.answers);
    assert!(matches!(&effects.answers[1], (2, after, Answer::Pinned { .. }) if *after == seq));
}

/// A list that has not changed for long is current all the same: a server that it names then has just started,
/// whatever another machine's clock says of it.
#[test]
fn a_new_server_on_a_list_long_unchanged_is_new() {
    let mut core = running();
    for second in 7..40 {
        core.handle(s(f64::from(second)), vec![Input::RosterIsCurrent]);
    }
    // Our clock says 1,040 s; the clock that stamped the start was 30 s behind.
    let name: ServerName = "10.0.0.9:7".into();
    let started = core.names.started(&name, Some(1_010_000), 1_040_000, s(40.0));
    assert_eq!(started, Some(s(40.0)));
}
