//! The core without threads and sockets: inputs in, effects out.

use super::*;
use crate::config::ConfigError;

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
    crate::name_index::CLOCK_BASE + Duration::from_secs_f64(seconds)
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
    Input::ProxyJoined { proxy: proxy.into(), zone: "z".into(), stream }
}

fn acked(proxy: &str, stream: u64, ack_seq: u16) -> Input {
    Input::Acked { proxy: proxy.into(), stream, ack_seq }
}

fn acquired(slice: SliceId, owner: Option<&str>) -> Input {
    Input::Custody { events: vec![CustodyEvent::Acquired { slice, epoch: 3, owner: owner.map(Into::into) }] }
}

/// A core that has run for a while: slice 0 at server 1, two servers ready, proxy p joined by stream 1.
fn running() -> Core {
    let mut core = Core::new(&config(), 7).unwrap();
    core.handle(s(0.0), vec![roster(ListKind::Full, vec![ready(1), ready(2)]), joined("p", 1)]);
    core.handle(s(0.1), vec![acquired(0, Some("10.0.0.1:7"))]);
    for tick in 0..60 {
        core.handle(s(0.2 + 0.1 * f64::from(tick)), vec![]);
    }
    core
}

/// Drains server 1 and returns the core once proxies must acknowledge the drain, with that ack sequence number.
fn drained() -> (Core, u16) {
    let mut core = running();
    let list = vec![entry(1, RosterState::Draining), ready(2)];
    let mut ack_seq = core.handle(s(7.0), vec![roster(ListKind::Full, list)]).ack_seq;
    let mut at = 7.0;
    while ack_seq.is_none() {
        at += 0.05;
        assert!(at < 9.0, "a drain is published within the grace period");
        ack_seq = core.handle(s(at), vec![]).ack_seq;
    }
    (core, ack_seq.unwrap())
}

/// The first grant between two times, with its time.
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
fn drained_owner_hands_over_after_all_acks_and_the_store() {
    let (mut core, ack_seq) = drained();
    assert_eq!(first_grant(&mut core, 7.2, 7.9), None);
    core.handle(s(8.0), vec![acked("p", 1, ack_seq)]);
    // Reads may continue until their end is acknowledged too.
    let mut at = 8.0;
    let grant = loop {
        at += 0.05;
        assert!(at < 12.0, "no grant");
        let effects = core.handle(s(at), vec![]);
        if let Some(ack_seq) = effects.ack_seq {
            core.handle(s(at + 0.01), vec![acked("p", 1, ack_seq)]);
        }
        if let Some(grant) = effects.grants.into_iter().next() {
            break grant;
        }
    };
    assert_eq!((&*grant.owner, grant.epoch), ("10.0.0.2:7", 3));
    assert_ne!(core.publisher().published()[&0].owner.as_deref(), Some("10.0.0.2:7"));
    // The store holds the grant; it is published only once the history file has it too.
    let effects = core.handle(s(at + 0.1), vec![Input::GrantStored { grant }]);
    assert!(!effects.changed.contains(&0));
    let seq = effects.history_update.unwrap().seq;
    let effects = core.handle(s(at + 0.2), vec![Input::HistoryPersisted { seq }]);
    assert!(effects.changed.contains(&0) && effects.lines_per_proxy > 0);
    assert_eq!(core.publisher().published()[&0].owner.as_deref(), Some("10.0.0.2:7"));
}

/// Guards against reads that go on past the grace period at a drained owner while its grant waits for the store or a
/// stalled disk.
#[test]
fn line_of_drained_owner_is_removed_while_the_grant_is_pending() {
    let (mut core, ack_seq) = drained();
    core.handle(s(7.1), vec![acked("p", 1, ack_seq)]);
    let before = core.publisher().published()[&0].owner.clone();
    assert_eq!(before.as_deref(), Some("10.0.0.1:7"), "reads go on while writes settle");
    let batches = (0..40).map(|tick| core.handle(s(7.1 + 0.05 * f64::from(tick)), vec![]));
    let granting_batch = batches.into_iter().find(|effects| !effects.grants.is_empty()).unwrap();
    assert!(
        granting_batch.changed.contains(&0) && granting_batch.safety && granting_batch.lines_per_proxy > 0,
        "{granting_batch:?}"
    );
    assert_eq!(core.publisher().published()[&0].owner, None);
}

#[test]
fn ack_on_a_replaced_stream_is_ignored() {
    let (mut core, ack_seq) = drained();
    core.handle(s(8.0), vec![joined("p", 2), acked("p", 1, ack_seq)]);
    // The end of the older stream must not count as the proxy leaving either.
    let effects = core.handle(s(8.05), vec![Input::ProxyLeft { proxy: "p".into(), stream: 1 }]);
    assert!(effects.left_proxies.is_empty() && core.joined_streams().len() == 1);
    assert_eq!(first_grant(&mut core, 8.1, 9.4), None);
}

#[test]
fn grant_waits_for_write_lease_of_disconnected_proxy() {
    let (mut core, _) = drained();
    core.handle(s(8.0), vec![Input::ProxyLeft { proxy: "p".into(), stream: 1 }]);
    let (at, _) = first_grant(&mut core, 8.05, 14.0).unwrap();
    assert!(at >= 8.0 + 2.0 + 0.5, "granted at {at}");
}

#[test]
fn end_of_custody_removes_tables_and_later_acks_change_nothing() {
    let (mut core, ack_seq) = drained();
    let effects =
        core.handle(s(8.0), vec![Input::Custody { events: vec![CustodyEvent::Released { slice: 0 }] }]);
    assert!(effects.released.contains(&0) && core.publisher().published().is_empty());
    let effects = core.handle(s(8.1), vec![acked("p", 1, ack_seq)]);
    assert!(effects.changed.is_empty() && effects.grants.is_empty());
}

#[test]
fn events_before_the_first_list_are_kept_for_it() {
    let mut core = Core::new(&config(), 7).unwrap();
    let effects = core.handle(s(0.0), vec![joined("p", 1), acquired(0, Some("10.0.0.1:7"))]);
    assert!(effects.ack_seq.is_none() && effects.acquired.contains(&0));
    core.handle(s(1.0), vec![roster(ListKind::Stored, vec![ready(1), ready(2)])]);
    // The owner starts to drain: the proxy that joined before the list must acknowledge it.
    let list = vec![entry(1, RosterState::Draining), ready(2)];
    let first = core.handle(s(6.0), vec![roster(ListKind::Full, list)]).ack_seq;
    let ack_ordered = first.is_some()
        || (0..40).any(|k| core.handle(s(6.1 + 0.05 * f64::from(k)), vec![]).ack_seq.is_some());
    assert!(ack_ordered);
}

#[test]
fn wall_clock_step_does_not_change_a_start_time() {
    let mut names = NameIndex::new(&[]);
    let server: ServerName = "10.0.0.1:7".into();
    let first = names.start_time(&server, Some(990_000), 1_000_000, s(100.0));
    assert_eq!(first, Some(s(90.0)));
    assert_eq!(names.start_time(&server, Some(990_000), 500_000, s(200.0)), first);
    // A start before the beginning of the assigner's clock counts as long ago.
    assert_eq!(names.start_time(&server, Some(0), u64::MAX / 2, s(200.0)), None);
}

#[test]
fn sabotaged_assigner_grants_without_waiting() {
    let mut config = config();
    config.sabotage.skips_the_wait = true;
    let mut core = Core::new(&config, 7).unwrap();
    core.handle(s(0.0), vec![roster(ListKind::Full, vec![ready(1), ready(2)]), joined("p", 1)]);
    core.handle(s(0.1), vec![acquired(0, Some("10.0.0.1:7"))]);
    let list = vec![entry(1, RosterState::Draining), ready(2)];
    let immediate_grants = core.handle(s(3.0), vec![roster(ListKind::Full, list)]).grants;
    // There was neither an acknowledgement nor the settle time.
    assert!(!immediate_grants.is_empty() || first_grant(&mut core, 3.05, 3.4).is_some());
}

/// A report of one slice at one server, with tries that a level rejected.
fn report(cluster_name: &str, server: &str, tries: u64) -> proto::LoadStatsRequest {
    let endpoint_stats = proto::UpstreamEndpointStats {
        address: Some(whinhill_xds::mapping::server_address(server)),
        total_issued_requests: tries,
        total_error_requests: 1,
        ..Default::default()
    };
    let locality = proto::UpstreamLocalityStats {
        upstream_endpoint_stats: vec![endpoint_stats],
        total_issued_requests: tries,
        total_error_requests: 1,
        ..Default::default()
    };
    let cluster = proto::ClusterStats {
        cluster_name: cluster_name.into(),
        upstream_locality_stats: vec![locality],
        load_report_interval: Some(proto::to_proto_duration(Duration::from_millis(500))),
        total_dropped_requests: 2,
        ..Default::default()
    };
    proto::LoadStatsRequest { node: None, cluster_stats: vec![cluster] }
}

#[test]
fn report_is_read_by_slice_and_server_and_unknown_names_are_counted() {
    use whinhill_reports::Key;
    let (service, mut names) = (config().service.to_service(), NameIndex::new(&[]));
    names.endpoint("10.0.0.1:7");
    let read = |cluster: &str, server: &str, tries| {
        crate::reports::read_report(5, 0, &report(cluster, server, tries), &service, &names)
    };
    let reported = read("t/0.2/look", "10.0.0.1:7", 3);
    let lines: Vec<_> = reported.lines.iter().map(|l| (l.key, l.figures.tries, l.figures.lost)).collect();
    let (demand, endpoint) = (Key::Slice { slice: 0, method: 0 }, Key::Server { server: 0, zone: 0 });
    assert_eq!(lines, [(demand, 5, 1), (endpoint, 3, 1)]);
    assert_eq!((reported.unresolved_lines, reported.interval), (0, Some(Duration::from_millis(500))));
    // A server that was on no list is ignored: a peer can't fill the assigner's memory with names.
    assert_eq!(read("t/0.2/look", "10.0.0.99:7", 3).unresolved_lines, 1);
    assert_eq!(read("other/9.2/look", "10.0.0.1:7", 3).unresolved_lines, 1);
    // A cluster name for another number of slices is unknown.
    assert_eq!(read("t/0.3/look", "10.0.0.1:7", 3).unresolved_lines, 1);
}

#[test]
fn late_reporter_gets_a_longer_interval_and_later_the_ordinary_one() {
    let mut core = running();
    let reporting = Input::ReportStreamOpened { proxy: "p".into(), zone: "z".into() };
    core.handle(s(10.0), vec![reporting]);
    let report_input = |tries| {
        let report = report("t/0.2/look", "10.0.0.1:7", tries);
        Input::Report { proxy: "p".into(), zone: "z".into(), report }
    };
    let mut intervals = Vec::new();
    let mut now = 10.0;
    // A pause of six seconds, the reports that it held up, then regular ones again.
    let steps = std::iter::repeat_n(0.5, 10).chain([6.0, 0.0, 0.0]).chain(std::iter::repeat_n(0.5, 30));
    for (index, step) in steps.enumerate() {
        now += step;
        let effects = core.handle(s(now), vec![report_input(index as u64 + 1)]);
        intervals.extend(effects.report_intervals.iter().map(|(_, interval)| interval.as_millis()));
    }
    assert!(intervals.len() >= 2 && intervals[0] > 500 && intervals.last() == Some(&500), "{intervals:?}");
}

/// Guards against a proxy that stays at the longer interval because a new stream forgot what it was last told.
#[test]
fn longer_interval_ends_after_the_stream_was_reopened() {
    let mut core = running();
    let reporting = || Input::ReportStreamOpened { proxy: "p".into(), zone: "z".into() };
    core.handle(s(10.0), vec![reporting()]);
    let mut tries = 0;
    let mut send_report = |core: &mut Core, now: f64| {
        tries += 1;
        let report = report("t/0.2/look", "10.0.0.1:7", tries);
        let report_input = Input::Report { proxy: "p".into(), zone: "z".into(), report };
        core.handle(s(now), vec![report_input])
            .report_intervals
            .iter()
            .map(|(_, interval)| interval.as_millis())
            .collect::<Vec<_>>()
    };
    (1..=10).for_each(|turn| assert!(send_report(&mut core, 10.0 + f64::from(turn) * 0.5).is_empty()));
    let longer = send_report(&mut core, 21.0);
    assert!(longer.first().is_some_and(|interval| *interval > 500), "{longer:?}");
    core.handle(s(21.1), vec![Input::ReportStreamClosed { proxy: "p".into() }, reporting()]);
    let after: Vec<u128> =
        (1..=30).flat_map(|turn| send_report(&mut core, 21.1 + f64::from(turn) * 0.5)).collect();
    assert_eq!(after.last(), Some(&500), "{after:?}");
}

#[test]
fn truncated_roster_is_rejected_and_duplicate_server_is_reported() {
    let whole = r#"{"servers":[{"addr":"10.0.0.1:7","zone":"z","state":"ready"}]}"#;
    assert_eq!(crate::read_roster(whole).unwrap().servers.len(), 1);
    (1..whole.len()).for_each(|end| assert!(crate::read_roster(&whole[..end]).is_err(), "{end}"));
    let twice = r#"{servers:[{addr:"10.0.0.1:7",zone:"z",state:"ready"},{addr:"10.0.0.1:7",zone:"z",state:"ready"}]}"#;
    assert!(crate::read_roster(twice).unwrap_err().contains("stands twice"));
}

#[test]
fn each_configuration_fault_is_reported_with_its_path() {
    let mut config = config();
    config.peers = vec!["b".into()];
    config.service.methods[1].deadline_ms = 1;
    config.custody.margin_ms = 1;
    let faults: Vec<String> = config.validate().iter().map(ConfigError::to_string).collect();
    let names_path = |path: &str| faults.iter().any(|fault| fault.starts_with(path));
    assert!(
        names_path("peers")
            && names_path("service.methods[1].deadline_ms")
            && names_path("custody.margin_ms"),
        "{faults:?}"
    );
    assert_eq!(faults.len(), 3, "{faults:?}");
}

#[test]
fn change_is_answered_once_persisted_and_query_at_once() {
    let mut core = running();
    let operator_request = |id, request| Input::OperatorRequest { id, request };
    let history = operator_request(1, OperatorRequest::History { most: 5 });
    let pin = operator_request(
        2,
        OperatorRequest::PinGood { version: crate::operator_api::VersionSelector::Current },
    );
    let effects = core.handle(s(7.0), vec![history, pin]);
    let seq = effects.history_update.unwrap().seq;
    assert!(matches!(&effects.answers[0], (1, 0, OperatorResponse::History { .. })), "{:?}", effects.answers);
    assert!(matches!(&effects.answers[1], (2, after, OperatorResponse::Pinned { .. }) if *after == seq));
}

/// A list that has not changed for long is still current: a server that then appears on it has just started, whatever
/// another machine's clock says.
#[test]
fn new_server_on_a_long_unchanged_list_counts_as_just_started() {
    let mut core = running();
    for second in 7..40 {
        core.handle(s(f64::from(second)), vec![Input::RosterUnchanged]);
    }
    // The assigner's clock says 1,040 s; the clock that stamped the start was 30 s behind.
    let name: ServerName = "10.0.0.9:7".into();
    let started = core.names.start_time(&name, Some(1_010_000), 1_040_000, s(40.0));
    assert_eq!(started, Some(s(40.0)));
}
