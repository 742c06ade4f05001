use super::*;
use whinhill::interface::{EndpointId, Settings};

const MS: Duration = Duration::from_millis(1);

fn names() -> Names {
    let pairs = [("zones", "a"), ("familyInfo.shards", "99")];
    Names::new(&Settings(pairs.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect()))
}

/// Feeds text to the watch stream.
struct Reader {
    state: RelayWatch,
    names: Names,
}

impl Reader {
    fn new() -> Self {
        Reader { state: RelayWatch::default(), names: names() }
    }

    /// Opens a connection that receives `text` as its snapshot, in pieces of `piece` bytes.
    fn connect(&mut self, text: &str, piece: usize) -> Vec<WatchUpdate> {
        self.state.on_connected(WatchSlot::Current, MS);
        self.receive(&format!("OK\r\n{text}*\r\n"), piece)
    }

    /// Feeds `text` to a connection, and returns the updates.
    fn try_receive(
        &mut self,
        slot: WatchSlot,
        text: &str,
        pending_work: impl Fn(SliceId) -> PendingWork,
    ) -> Result<Vec<WatchUpdate>, WatchError> {
        let mut updates = Vec::new();
        let (state, names) = (&mut self.state, &mut self.names);
        state.receive(slot, MS, text.as_bytes(), names, pending_work, &mut updates)?;
        Ok(updates)
    }

    /// Feeds `text` to a connection, with nothing pending for any slice.
    fn receive_on(&mut self, slot: WatchSlot, text: &str) -> Vec<WatchUpdate> {
        self.try_receive(slot, text, |_| PendingWork::Nothing).unwrap()
    }

    /// Feeds `text` to the current connection in pieces of `piece` bytes. A call that sets the line of slice 9 counts as
    /// in flight throughout.
    fn receive(&mut self, text: &str, piece: usize) -> Vec<WatchUpdate> {
        let pending_work = |slice| if slice == 9 { PendingWork::CallInFlight } else { PendingWork::Nothing };
        let pieces = text.as_bytes().chunks(piece).map(|bytes| std::str::from_utf8(bytes).unwrap());
        pieces.flat_map(|text| self.try_receive(WatchSlot::Current, text, pending_work).unwrap()).collect()
    }

    fn endpoint(&self, name: &str) -> EndpointId {
        self.names.known_endpoint(name).unwrap()
    }
}

const SNAPSHOT: &str =
    "* hello 17 a 21.5 1\r\n* hello 18 a 2 0\r\n* lease 88 1\r\n* line 88 s-1 1.0\r\n* lease 9 1\r\n";

#[test]
fn snapshot_becomes_events_in_pieces_of_any_size() {
    for piece in [1, 7, 1000] {
        let mut reader = Reader::new();
        let updates = reader.connect(SNAPSHOT, piece);
        let wanted = [
            WatchUpdate::Event(Event::ProxyJoined { proxy: 17, zone: 0 }),
            WatchUpdate::Event(Event::ProxyJoined { proxy: 18, zone: 0 }),
            WatchUpdate::Event(Event::SliceAcquired { slice: 88 }),
            WatchUpdate::Event(Event::StoredOwner { slice: 88, endpoint: reader.endpoint("s-1") }),
            WatchUpdate::Event(Event::SliceAcquired { slice: 9 }),
            WatchUpdate::SnapshotComplete { after_break: false },
        ];
        assert_eq!(updates, wanted, "in pieces of {piece}");
    }
}

#[test]
fn same_snapshot_after_a_break_causes_no_events() {
    let mut reader = Reader::new();
    reader.connect(SNAPSHOT, 1000);
    assert_eq!(reader.connect(SNAPSHOT, 3), [WatchUpdate::SnapshotComplete { after_break: true }]);
}

/// During the break a proxy left, slices were released and acquired, and another assigner set a line.
#[test]
fn changes_during_a_break_become_events() {
    let mut reader = Reader::new();
    reader.connect(SNAPSHOT, 1000);
    let snapshot = "* hello 17 a 21.5 1\r\n* hello 19 a 1 1\r\n* lease 88 1\r\n* line 88 s-2 1.0\r\n* lease 5 1\r\n* line 5 s-2 1.0\r\n";
    let updates = reader.connect(snapshot, 5);
    let wanted = [
        WatchUpdate::Event(Event::ProxyJoined { proxy: 19, zone: 0 }),
        WatchUpdate::Event(Event::ProxyLeft { proxy: 18 }),
        WatchUpdate::Event(Event::SliceReleased { slice: 9 }),
        WatchUpdate::Event(Event::SliceAcquired { slice: 5 }),
        WatchUpdate::Event(Event::StoredOwner { slice: 5, endpoint: reader.endpoint("s-2") }),
        WatchUpdate::Reacquired { slice: 88, line_differs: true },
        WatchUpdate::SnapshotComplete { after_break: true },
    ];
    assert_eq!(updates, wanted);
    assert_eq!(reader.state.line_of(88), Some("s-2"));
}

/// A call whose outcome is unknown may have set the line. It is sent again and then determines the line.
#[test]
fn line_of_a_call_in_flight_does_not_differ() {
    let mut reader = Reader::new();
    reader.connect(SNAPSHOT, 1000);
    let updates = reader.connect(&format!("{SNAPSHOT}* line 9 s-3 1.0\r\n"), 1000);
    assert_eq!(updates, [WatchUpdate::SnapshotComplete { after_break: true }]);
}

#[test]
fn live_stream_reports_acks_and_joining_and_leaving_proxies() {
    let mut reader = Reader::new();
    reader.connect(SNAPSHOT, 1000);
    let updates = reader.receive(
        "* ack 17 905 310.4\r\n* bye 17\r\n* ack 17 906 1\r\n* hello 17 a 1 0\r\n* lease 9 0\r\n",
        4,
    );
    let wanted = [
        WatchUpdate::Acked {
            proxy: 17,
            ack_seq: 905,
            transit: Duration::from_micros(310_400),
            in_sequence: true,
        },
        WatchUpdate::Event(Event::ProxyLeft { proxy: 17 }),
        WatchUpdate::Event(Event::ProxyJoined { proxy: 17, zone: 0 }),
        WatchUpdate::Event(Event::SliceReleased { slice: 9 }),
    ];
    assert_eq!(updates, wanted);
}

/// A pause must not complete a snapshot: what has not arrived would count as gone.
#[test]
fn silence_is_a_loss_and_only_a_heartbeat_completes_the_snapshot() {
    let mut reader = Reader::new();
    reader.connect(SNAPSHOT, 1000);
    reader.state.on_connected(WatchSlot::Current, MS);
    let (first, rest) = SNAPSHOT.split_at(SNAPSHOT.find("* line").unwrap());
    assert_eq!(reader.receive(&format!("OK\r\n{first}"), 1000), []);
    assert_eq!(reader.state.timeout_at(WatchSlot::Current), Some(MS + HEARTBEAT_TIMEOUT));
    assert!(!reader.state.is_live());
    assert_eq!(reader.receive(rest, 1000), []);
    assert!(!reader.state.is_live());
    assert_eq!(reader.receive("*\r\n", 1000), [WatchUpdate::SnapshotComplete { after_break: true }]);
    assert!(reader.state.is_live());
    assert_eq!(reader.state.timeout_at(WatchSlot::Current), Some(MS + HEARTBEAT_TIMEOUT));
}

#[test]
fn malformed_lines_are_errors() {
    for text in ["ERR invalid\r\n", "OK\r\n* hello x a 1 1\r\n", "OK\r\n* lease 99 1\r\n", "OK\r\n\x01\r\n"] {
        let mut reader = Reader::new();
        reader.state.on_connected(WatchSlot::Current, MS);
        let received = reader.try_receive(WatchSlot::Current, text, |_| PendingWork::Nothing);
        assert!(received.is_err(), "{text}");
    }
}

/// The snapshot contains a line, then a call of ours replaces it, and only then the snapshot ends: the older line is
/// not another assigner's. In a run of the scenario `roll+mass`, 58 slices with a new owner were taken for newly
/// acquired ones, and each got a second owner.
#[test]
fn line_replaced_by_our_call_during_the_snapshot_does_not_differ() {
    let mut reader = Reader::new();
    reader.connect(SNAPSHOT, 1000);
    reader.state.on_connected(WatchSlot::Current, MS);
    assert_eq!(reader.receive(&format!("OK\r\n{SNAPSHOT}"), 1000), []);
    let set = |server: &str, on| ConfirmedLine { slice: 88, server: server.to_string(), on };
    reader.state.note_line_confirmed(set("s-1", false));
    reader.state.note_line_confirmed(set("s-2", true));
    assert_eq!(reader.receive("*\r\n", 1000), [WatchUpdate::SnapshotComplete { after_break: true }]);
    assert_eq!(reader.state.line_of(88), Some("s-2"));
    // A line that we neither knew nor set is another assigner's.
    reader.state.on_connected(WatchSlot::Current, MS);
    reader.state.note_line_confirmed(set("s-3", true));
    let updates = reader.receive(&format!("OK\r\n{}*\r\n", SNAPSHOT.replace("s-1", "s-9")), 1000);
    assert_eq!(
        updates,
        [
            WatchUpdate::Reacquired { slice: 88, line_differs: true },
            WatchUpdate::SnapshotComplete { after_break: true }
        ]
    );
}

/// Guards against a wrong owner: the slice is withdrawn after our call and granted again, while the snapshot is received.
/// The line that our call had replaced is then newer than ours.
#[test]
fn line_that_follows_a_new_lease_in_the_snapshot_is_newer_than_our_call() {
    let mut reader = Reader::new();
    reader.connect(SNAPSHOT, 1000);
    reader.state.on_connected(WatchSlot::Current, MS);
    reader.receive(&format!("OK\r\n{SNAPSHOT}"), 1000);
    let set = ConfirmedLine { slice: 88, server: "s-2".to_string(), on: true };
    reader.state.note_line_confirmed(set);
    let updates = reader.receive("* lease 88 0\r\n* lease 88 1\r\n* line 88 s-1 1.0\r\n*\r\n", 1000);
    let wanted = [
        WatchUpdate::Reacquired { slice: 88, line_differs: true },
        WatchUpdate::SnapshotComplete { after_break: true },
    ];
    assert_eq!(updates, wanted);
    assert_eq!(reader.state.line_of(88), Some("s-1"));
}

/// Another assigner may have held the slice during the break. Its levels were reset then, so proxies may again write to
/// an owner to which they had stopped writing. The handover starts again, and no call is sent before the snapshot is
/// complete.
#[test]
fn handover_pending_during_a_break_starts_again() {
    let mut reader = Reader::new();
    reader.connect(SNAPSHOT, 1000);
    reader.state.on_connected(WatchSlot::Current, MS);
    let pending_work = |slice| if slice == 88 { PendingWork::Handover } else { PendingWork::Nothing };
    let begin = format!("OK\r\n{SNAPSHOT}");
    let updates = reader.try_receive(WatchSlot::Current, &begin, pending_work).unwrap();
    assert!(updates.is_empty() && !reader.state.is_live());
    let updates = reader.try_receive(WatchSlot::Current, "*\r\n", pending_work).unwrap();
    assert_eq!(
        updates,
        [
            WatchUpdate::Reacquired { slice: 88, line_differs: false },
            WatchUpdate::SnapshotComplete { after_break: true }
        ]
    );
    assert!(reader.state.is_live());
}

/// Where slices are not exclusive, a table may have several lines: the owner's is kept, the others are reported.
#[test]
fn lines_besides_the_owners_are_reported() {
    let mut reader = Reader::new();
    let two = format!("{SNAPSHOT}* line 88 s-2 1.0\r\n* line 88 s-3 0.0\r\n");
    let extra = WatchUpdate::ExtraLine { slice: 88, server: "s-2".to_string() };
    assert!(reader.connect(&two, 1000).contains(&extra));
    let again = [
        WatchUpdate::Reacquired { slice: 88, line_differs: true },
        extra,
        WatchUpdate::SnapshotComplete { after_break: true },
    ];
    assert_eq!(reader.connect(&two, 1000), again);
    assert_eq!(reader.state.line_of(88), Some("s-1"));
    // Removing the former owner's line does not remove the next owner's.
    reader.state.note_line_confirmed(ConfirmedLine { slice: 88, server: "s-2".to_string(), on: true });
    reader.state.note_line_confirmed(ConfirmedLine { slice: 88, server: "s-1".to_string(), on: false });
    assert_eq!(reader.state.line_of(88), Some("s-2"));
    // Until a heartbeat proves that all lines have arrived, a line is ours only if we have ordered it; after that, once
    // we have ordered any.
    reader.receive("* lease 5 1\r\n* line 5 s-1 1.0\r\n", 1000);
    reader.state.note_line_ordered(5, "s-2");
    assert_eq!(reader.receive("* line 5 s-2 1.0\r\n", 1000), []);
    let extra = WatchUpdate::ExtraLine { slice: 5, server: "s-3".to_string() };
    assert_eq!(reader.receive("* line 5 s-3 1.0\r\n", 1000), [extra]);
    assert_eq!(reader.receive("*\r\n* line 5 s-3 1.0\r\n", 1000), []);
}

/// A lease and the line of its slice are separate messages: without the line, the slice is not yet one without a line,
/// and would be granted to a second server.
#[test]
fn slice_without_a_line_is_reported_once_it_is_proved_that_none_follows() {
    let mut reader = Reader::new();
    reader.state.on_connected(WatchSlot::Current, MS);
    let acquired = |slice| WatchUpdate::Event(Event::SliceAcquired { slice });
    let owner = |reader: &Reader, slice, server| {
        WatchUpdate::Event(Event::StoredOwner { slice, endpoint: reader.endpoint(server) })
    };
    assert_eq!(reader.receive("OK\r\n* lease 1 1\r\n* lease 2 1\r\n", 1000), []);
    let updates = reader.receive("* line 1 s-1 1.0\r\n", 1000);
    assert_eq!(updates, [acquired(1), owner(&reader, 1, "s-1")]);
    let updates = reader.receive("*\r\n", 1000);
    assert_eq!(updates, [acquired(2), WatchUpdate::SnapshotComplete { after_break: false }]);
    // The same for slices acquired later, where an ack proves it too.
    assert_eq!(reader.receive("* hello 17 a 1 1\r\n* lease 3 1\r\n* lease 4 1\r\n", 1000).len(), 1);
    let updates = reader.receive("* line 3 s-2 1.0\r\n*\r\n*\r\n", 1000);
    assert_eq!(updates, [acquired(3), owner(&reader, 3, "s-2"), acquired(4)]);
    let acked = WatchUpdate::Acked { proxy: 17, ack_seq: 5, transit: MS, in_sequence: true };
    assert_eq!(reader.receive("* lease 6 1\r\n* ack 17 5 1\r\n", 1000), [acquired(6), acked]);
    // One that is withdrawn before it was reported, and one that is granted again.
    assert_eq!(reader.receive("* lease 5 1\r\n* lease 5 0\r\n", 1000), []);
    let released = WatchUpdate::Event(Event::SliceReleased { slice: 3 });
    assert_eq!(reader.receive("* lease 3 1\r\n", 1000), [released]);
    assert_eq!(reader.receive("*\r\n", 1000), [acquired(3)]);
}

/// The watch stream breaks between a lease and the line of its slice. The slice must be reported with the line that the
/// next snapshot has, on a new connection and on one to a new address.
#[test]
fn slice_not_yet_reported_at_a_break_is_reported_by_the_next_snapshot() {
    for slot in [WatchSlot::Current, WatchSlot::Next] {
        let mut reader = Reader::new();
        reader.connect(SNAPSHOT, 1000);
        assert_eq!(reader.receive("* lease 5 1\r\n", 1000), []);
        if slot == WatchSlot::Current {
            reader.state.on_disconnected(slot);
        }
        reader.state.on_connected(slot, MS);
        let text = format!("OK\r\n{SNAPSHOT}* lease 5 1\r\n* line 5 s-2 1.0\r\n*\r\n");
        let updates = reader.receive_on(slot, &text);
        let wanted = [
            WatchUpdate::Event(Event::SliceAcquired { slice: 5 }),
            WatchUpdate::Event(Event::StoredOwner { slice: 5, endpoint: reader.endpoint("s-2") }),
            WatchUpdate::SnapshotComplete { after_break: true },
        ];
        assert_eq!(updates, wanted, "{slot:?}");
    }
}

/// The relay moves: the new address sends its snapshot while the former connection goes on. Nobody else held our slices
/// meanwhile, so a handover continues, and nothing that either connection reports is lost.
#[test]
fn connection_to_a_new_address_takes_over_without_a_break() {
    let mut reader = Reader::new();
    reader.connect(SNAPSHOT, 1000);
    reader.state.on_connected(WatchSlot::Next, MS);
    let pending_work = |_| PendingWork::Handover;
    let updates = reader.try_receive(WatchSlot::Next, &format!("OK\r\n{SNAPSHOT}"), pending_work).unwrap();
    assert!(updates.is_empty() && reader.state.is_live() && reader.state.is_open(WatchSlot::Next));
    // Both connections report changes of proxies; an ack may come on either.
    let both = "* bye 18\r\n* hello 20 a 1 0\r\n";
    assert_eq!(reader.try_receive(WatchSlot::Current, both, pending_work).unwrap().len(), 2);
    let text = format!("{both}* ack 17 5 1.0\r\n*\r\n");
    let updates = reader.try_receive(WatchSlot::Next, &text, pending_work).unwrap();
    let wanted = [
        WatchUpdate::Acked { proxy: 17, ack_seq: 5, transit: MS, in_sequence: false },
        WatchUpdate::SnapshotComplete { after_break: true },
    ];
    assert_eq!(updates, wanted);
    let state = &reader.state;
    assert!(state.is_live() && !state.is_open(WatchSlot::Next));
    assert_eq!((state.line_of(88), state.slice_count()), (Some("s-1"), 2));
}

/// Guards against a snapshot at a new address that undoes what the former connection has reported since: a slice granted
/// there and given a line by us would be released, and then acquired again without that line. The snapshot is asked for
/// again, and the former connection goes on until then.
#[test]
fn snapshot_of_a_new_address_that_is_older_than_a_change_of_custody_is_refused() {
    let mut reader = Reader::new();
    reader.connect(SNAPSHOT, 1000);
    reader.state.on_connected(WatchSlot::Next, MS);
    assert_eq!(reader.receive_on(WatchSlot::Next, &format!("OK\r\n{SNAPSHOT}")), []);
    let changes = "* lease 9 0\r\n* lease 7 1\r\n*\r\n";
    assert_eq!(reader.receive(changes, 1000).len(), 2);
    reader.state.note_line_ordered(7, "s-2");
    reader.state.note_line_confirmed(ConfirmedLine { slice: 7, server: "s-2".to_string(), on: true });
    let error = reader.try_receive(WatchSlot::Next, "*\r\n", |_| PendingWork::Nothing);
    assert!(matches!(error, Err(WatchError::Outdated)));
    reader.state.on_disconnected(WatchSlot::Next);
    assert!(reader.state.is_live());
    reader.state.on_connected(WatchSlot::Next, MS);
    let state = SNAPSHOT.replace("* lease 9 1\r\n", "* lease 7 1\r\n* line 7 s-2 1.0\r\n");
    let updates = reader.receive_on(WatchSlot::Next, &format!("OK\r\n{state}*\r\n"));
    assert_eq!(updates, [WatchUpdate::SnapshotComplete { after_break: true }]);
    assert_eq!((reader.state.line_of(7), reader.state.slice_count()), (Some("s-2"), 2));
}

/// The former connection ends before the snapshot of the new one is complete: that is a break like any other.
#[test]
fn former_connection_that_ends_too_early_is_a_break() {
    let mut reader = Reader::new();
    reader.connect(SNAPSHOT, 1000);
    reader.state.on_connected(WatchSlot::Next, MS);
    let pending_work = |slice| if slice == 88 { PendingWork::Handover } else { PendingWork::Nothing };
    let before = reader.try_receive(WatchSlot::Next, &format!("OK\r\n{SNAPSHOT}"), pending_work).unwrap();
    reader.state.on_disconnected(WatchSlot::Current);
    assert!(before.is_empty() && !reader.state.is_live());
    let updates = reader.try_receive(WatchSlot::Next, "*\r\n", pending_work).unwrap();
    assert_eq!(
        updates,
        [
            WatchUpdate::Reacquired { slice: 88, line_differs: false },
            WatchUpdate::SnapshotComplete { after_break: true }
        ]
    );
    assert!(reader.state.is_live());
}

/// Guards against bytes of a new address that are read as part of another connection's: the relay moves while the
/// current connection receives its snapshot, and that one is complete first.
#[test]
fn connection_to_a_new_address_goes_on_when_the_current_snapshot_is_complete() {
    let mut reader = Reader::new();
    reader.connect(SNAPSHOT, 1000);
    reader.state.on_connected(WatchSlot::Current, MS);
    reader.receive(&format!("OK\r\n{SNAPSHOT}"), 1000);
    reader.state.on_connected(WatchSlot::Next, MS);
    let text = format!("OK\r\n{SNAPSHOT}* lease 5 1\r\n* line 5 s-2 1.0\r\n*\r\n");
    let (first, rest) = text.split_at(text.find("* line").unwrap() + 5);
    assert_eq!(reader.receive_on(WatchSlot::Next, first), []);
    assert_eq!(reader.receive("*\r\n", 1000), [WatchUpdate::SnapshotComplete { after_break: true }]);
    assert!(reader.state.is_open(WatchSlot::Next));
    let updates = reader.receive_on(WatchSlot::Next, rest);
    let wanted = [
        WatchUpdate::Event(Event::SliceAcquired { slice: 5 }),
        WatchUpdate::Event(Event::StoredOwner { slice: 5, endpoint: reader.endpoint("s-2") }),
        WatchUpdate::SnapshotComplete { after_break: true },
    ];
    assert_eq!(updates, wanted);
    assert!(reader.state.is_live() && !reader.state.is_open(WatchSlot::Next));
}

/// Guards against a snapshot of which the first part is lost: the relay moves during the first snapshot, and the former
/// connection ends in the middle of the new one.
#[test]
fn snapshot_of_a_new_address_is_complete_although_the_first_one_never_was() {
    let mut reader = Reader::new();
    reader.state.on_connected(WatchSlot::Current, MS);
    reader.receive("OK\r\n* hello 17 a 21.5 1\r\n* lease 88 1\r\n* line 88 s-1 1.0\r\n", 1000);
    reader.state.on_connected(WatchSlot::Next, MS);
    let (first, rest) = SNAPSHOT.split_at(SNAPSHOT.find("* line").unwrap());
    assert_eq!(reader.receive_on(WatchSlot::Next, &format!("OK\r\n{first}")), []);
    reader.state.on_disconnected(WatchSlot::Current);
    let updates = reader.receive_on(WatchSlot::Next, &format!("{rest}*\r\n"));
    let wanted = [
        WatchUpdate::Event(Event::ProxyJoined { proxy: 18, zone: 0 }),
        WatchUpdate::Event(Event::SliceAcquired { slice: 9 }),
        WatchUpdate::SnapshotComplete { after_break: true },
    ];
    assert_eq!(updates, wanted);
    assert_eq!((reader.state.line_of(88), reader.state.slice_count()), (Some("s-1"), 2));
}

/// The first connection is closed, or sends a malformed line, before its snapshot is complete.
#[test]
fn partial_snapshot_is_compared_with_the_next_one() {
    for garbage in [false, true] {
        let mut reader = Reader::new();
        reader.state.on_connected(WatchSlot::Current, MS);
        let snapshot = format!("{SNAPSHOT}* lease 7 1\r\n* line 7 s-1 1.0\r\n");
        let updates = reader.receive(&format!("OK\r\n{snapshot}"), 1000);
        // Slice 9 has no line yet, so it was not reported and is not released.
        assert!(!updates.contains(&WatchUpdate::Event(Event::SliceAcquired { slice: 9 })));
        if garbage {
            let pending_work = |_| PendingWork::Nothing;
            assert!(reader.try_receive(WatchSlot::Current, "\x01\r\n", pending_work).is_err());
        }
        reader.state.on_disconnected(WatchSlot::Current);
        let updates = reader.connect("* hello 17 a 21.5 1\r\n* lease 88 1\r\n* line 88 s-1 1.0\r\n", 1000);
        let departures = [
            WatchUpdate::Event(Event::ProxyLeft { proxy: 18 }),
            WatchUpdate::Event(Event::SliceReleased { slice: 7 }),
        ];
        assert_eq!(
            updates,
            [departures.as_slice(), &[WatchUpdate::SnapshotComplete { after_break: true }]].concat()
        );
    }
}
