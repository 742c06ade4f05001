//! Checks on random schedules that what the watch reports of slices never runs ahead of what the relay has sent.
//!
//! The model relay distributes slices between us and other assigners. It sends what the protocol allows: the state
//! first, with lines beside their leases or after all of them; then changes; heartbeats and acks at any time between. Each
//! connection delivers its bytes in order and in pieces of any size. Connections break, and the relay moves to another
//! address.

use std::collections::{BTreeMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use whinhill::interface::Settings;

use super::*;

const SLICES: usize = 4;
const SERVERS: usize = 4;
const STEPS: usize = 300;
const SEEDS: u64 = 300;
/// Largest piece that a connection delivers, in bytes: a few lines.
const MAX_PIECE_BYTES: usize = 60;
const NOW: Duration = Duration::from_millis(1);

fn server_name(server: usize) -> String {
    format!("s-{server}")
}

/// A slice in the store.
#[derive(Clone, Debug, PartialEq)]
struct StoredSlice {
    is_ours: bool,
    line: Option<String>,
}

/// What the updates have told of the slices in our custody: the owner of each, if it has one.
type View = BTreeMap<SliceId, Option<String>>;

struct Model {
    random: ChaCha8Rng,
    store: Vec<StoredSlice>,
    /// The bytes that each open connection has still to deliver.
    undelivered: BTreeMap<WatchSlot, VecDeque<u8>>,
    watch: RelayWatch,
    names: Names,
    view: View,
}

impl Model {
    fn new(seed: u64) -> Self {
        let pairs = [("zones", "a".to_string()), ("familyInfo.shards", SLICES.to_string())];
        let settings = Settings(pairs.iter().map(|(k, v)| (k.to_string(), v.clone())).collect());
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let slice = |_| StoredSlice { is_ours: random.random_bool(0.7), line: Some(server_name(0)) };
        let store = (0..SLICES).map(slice).collect();
        Model {
            random,
            store,
            undelivered: BTreeMap::new(),
            watch: RelayWatch::default(),
            names: Names::new(&settings),
            view: View::new(),
        }
    }

    fn draw_line(&mut self) -> Option<String> {
        let has_line = self.random.random_bool(0.8);
        has_line.then(|| server_name(self.random.random_range(0..SERVERS)))
    }

    /// The lease and line messages of slices, in one of the two orders that the protocol allows.
    fn lease_messages(&mut self, slices: &[SliceId]) -> String {
        let lease = |slice: &SliceId| format!("* lease {slice} 1\r\n");
        let line = |slice: &SliceId| {
            let line = self.store[*slice].line.as_ref();
            line.map(|server| format!("* line {slice} {server} 1.0\r\n")).unwrap_or_default()
        };
        if self.random.random_bool(0.5) {
            slices.iter().map(|slice| lease(slice) + &line(slice)).collect()
        } else {
            slices.iter().map(lease).chain(slices.iter().map(line)).collect()
        }
    }

    fn send(&mut self, text: &str) {
        self.undelivered.values_mut().for_each(|bytes| bytes.extend(text.as_bytes()));
    }

    fn connect(&mut self, slot: WatchSlot) {
        let ours: Vec<SliceId> = (0..SLICES).filter(|slice| self.store[*slice].is_ours).collect();
        let state = format!("OK\r\n* hello 17 a 1 0\r\n{}", self.lease_messages(&ours));
        self.undelivered.insert(slot, state.into_bytes().into());
        self.watch.on_connected(slot, NOW);
    }

    fn disconnect(&mut self, slot: WatchSlot) {
        self.undelivered.remove(&slot);
        self.watch.on_disconnected(slot);
    }

    /// Delivers the next bytes of a connection.
    fn deliver(&mut self, slot: WatchSlot, max_bytes: usize) {
        let Some(bytes) = self.undelivered.get_mut(&slot) else { return };
        let piece: Vec<u8> = bytes.drain(..max_bytes.min(bytes.len())).collect();
        let mut updates = Vec::new();
        let nothing_pending = |_| PendingWork::Nothing;
        let received = self.watch.receive(slot, NOW, &piece, &mut self.names, nothing_pending, &mut updates);
        if matches!(received, Err(WatchError::Outdated)) {
            return self.disconnect(slot);
        }
        received.unwrap();
        if slot == WatchSlot::Next && !self.watch.is_open(WatchSlot::Next) {
            let next = self.undelivered.remove(&WatchSlot::Next).unwrap();
            self.undelivered.insert(WatchSlot::Current, next);
        }
        self.update_view(updates);
    }

    fn update_view(&mut self, updates: Vec<WatchUpdate>) {
        for update in updates {
            match update {
                WatchUpdate::Event(Event::SliceAcquired { slice }) => drop(self.view.insert(slice, None)),
                WatchUpdate::Event(Event::SliceReleased { slice }) => drop(self.view.remove(&slice)),
                WatchUpdate::Event(Event::StoredOwner { slice, endpoint }) => {
                    let name = self.names.server_name(endpoint.index).unwrap().to_string();
                    self.view.insert(slice, Some(name));
                }
                WatchUpdate::Reacquired { slice, .. } => {
                    self.view.insert(slice, self.watch.line_of(slice).map(str::to_string));
                }
                WatchUpdate::ExtraLine { slice, server } => panic!("second line {server} of slice {slice}"),
                _ => {}
            }
        }
    }

    /// Moves a slice that we know to be ours, as a call does that is answered at once.
    fn order_line(&mut self) {
        let slice = self.random.random_range(0..SLICES);
        let is_known = self.view.contains_key(&slice) && !self.has_undelivered_lease(slice);
        if !self.watch.is_live() || !is_known {
            return;
        }
        let server = server_name(self.random.random_range(0..SERVERS));
        self.watch.note_line_ordered(slice, &server);
        self.watch.note_line_confirmed(ConfirmedLine { slice, server: server.clone(), on: true });
        self.view.insert(slice, Some(server.clone()));
        self.store[slice].line = Some(server);
    }

    /// Whether the current connection has still to deliver a change of a slice's custody. Until it has, an order for
    /// the slice would count under a custody that we do not know of; the protocol has nothing against that.
    fn has_undelivered_lease(&self, slice: SliceId) -> bool {
        let undelivered = self.undelivered.get(&WatchSlot::Current);
        let bytes: Vec<u8> = undelivered.into_iter().flatten().copied().collect();
        let text = String::from_utf8(bytes).expect("messages are text");
        // The piece delivered last may have ended within a message, whose slice is in doubt too.
        let is_within_message = !text.is_empty() && !text.starts_with('*');
        is_within_message || text.contains(&format!("lease {slice} "))
    }

    /// The relay takes slices away, or grants some that others have changed.
    fn change_custody(&mut self) {
        let drawn: Vec<SliceId> = (0..SLICES).filter(|_| self.random.random_bool(0.4)).collect();
        let (ours, others): (Vec<_>, Vec<_>) =
            drawn.into_iter().partition(|slice| self.store[*slice].is_ours);
        for slice in ours {
            self.store[slice].is_ours = false;
            self.send(&format!("* lease {slice} 0\r\n"));
        }
        for slice in &others {
            self.store[*slice] = StoredSlice { is_ours: true, line: self.draw_line() };
        }
        let granted = self.lease_messages(&others);
        self.send(&granted);
    }

    fn step(&mut self) {
        let is_connected = self.undelivered.contains_key(&WatchSlot::Current);
        let is_moving = self.undelivered.contains_key(&WatchSlot::Next);
        match self.random.random_range(0..100) {
            0..50 => {
                let slot = if self.random.random_bool(0.5) { WatchSlot::Current } else { WatchSlot::Next };
                let max_bytes = self.random.random_range(0..MAX_PIECE_BYTES);
                self.deliver(slot, max_bytes);
            }
            50..60 => self.send("*\r\n"),
            60..70 => self.send("* ack 17 1 1.0\r\n"),
            70..80 => self.order_line(),
            80..88 => self.change_custody(),
            88..92 if is_connected => self.disconnect(WatchSlot::Current),
            92..95 if is_connected && !is_moving => self.connect(WatchSlot::Next),
            95..97 if is_moving => self.disconnect(WatchSlot::Next),
            _ if !is_connected && !is_moving => self.connect(WatchSlot::Current),
            _ => {}
        }
    }

    /// Where calls may be sent, each slice that we know must have the line of the store, unless news of its custody are
    /// on their way.
    fn check(&self, seed: u64) {
        if !self.watch.is_live() {
            return;
        }
        for (slice, owner) in self.view.iter().filter(|(slice, _)| !self.has_undelivered_lease(**slice)) {
            assert_eq!(*owner, self.store[*slice].line, "seed {seed}, slice {slice}");
        }
    }

    /// Delivers all that was sent, and a heartbeat. A connection that was refused is opened again.
    fn deliver_all(&mut self) {
        loop {
            if self.undelivered.is_empty() {
                self.connect(WatchSlot::Current);
            }
            self.send("*\r\n");
            self.deliver(WatchSlot::Next, usize::MAX);
            self.deliver(WatchSlot::Current, usize::MAX);
            if self.watch.is_live() {
                return;
            }
        }
    }
}

/// Guards against a slice that is granted while its line is on the way, and against one that is lost or kept by
/// mistake, in any order of pieces, heartbeats, breaks and changes of address.
#[test]
fn reported_slices_have_the_lines_of_the_store() {
    for seed in 0..SEEDS {
        let mut model = Model::new(seed);
        for _ in 0..STEPS {
            model.step();
            model.check(seed);
        }
        model.deliver_all();
        let stored = model.store.iter().enumerate().filter(|(_, stored)| stored.is_ours);
        let stored: View = stored.map(|(slice, stored)| (slice, stored.line.clone())).collect();
        assert_eq!(model.view, stored, "seed {seed}");
    }
}
