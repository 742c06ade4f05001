//! The recorder of events at servers, clients, links, the store and the roster.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Most events kept of a day. A day with more can't be audited, and its outcome is marked incomplete.
const MAX_EVENTS: usize = 8_000_000;

/// An observed event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A server started to serve. `capacity` is the work, in core-seconds, that it does in a second when warm.
    ServerStarted { server: Arc<str>, cold: bool, capacity: f64 },
    /// An RPC arrived at a server. `work` is its method's mean work, in core-seconds.
    RpcArrived { server: Arc<str>, rpc: u64, slice: usize, write: bool, proxy: Arc<str>, work: f64 },
    /// A server started to execute an RPC. `once`: it must not be executed twice.
    ExecutionStarted { server: Arc<str>, rpc: u64, slice: usize, write: bool, once: bool },
    /// A server finished the execution of an RPC, or gave it up.
    ExecutionEnded { server: Arc<str>, rpc: u64, slice: usize, write: bool },
    /// The roster lists a server in this state from now on; `None`: no longer.
    ServerListed { server: Arc<str>, state: Option<whinhill_assigner::RosterState> },
    /// A slice's record was written into the store. `holder` is the assigner that has custody.
    RecordStored { slice: usize, epoch: u64, holder: Option<String>, owner: Option<Arc<str>> },
    /// A client got its final answer from a proxy. `no_line`: the proxy had no line for the slice.
    RpcAnswered { rpc: u64, proxy: Arc<str>, slice: usize, ok: bool, in_time: bool, no_line: bool },
    /// A lasting fault of the link between a proxy and an assigner began or ended.
    AssignerLinkCut { proxy: Arc<str>, assigner: Arc<str>, cut: bool },
    /// A lasting fault of the link between a proxy and a server began or ended.
    ServerLinkImpaired { proxy: Arc<str>, server: Arc<str>, impaired: bool },
    /// A connection between a proxy and an assigner was opened or ended.
    AssignerConnection { proxy: Arc<str>, assigner: Arc<str>, up: bool },
    /// An assigner's process was killed or stalled, or runs again.
    AssignerRunning { assigner: Arc<str>, running: bool },
    /// A proxy was killed, or runs again.
    ProxyRunning { proxy: Arc<str>, running: bool },
}

/// Records the events of a day on one clock. Clones share the record.
#[derive(Clone)]
pub struct Recorder(Arc<Inner>);

struct Inner {
    start: Instant,
    /// The events, and whether some were left out.
    events: Mutex<(Vec<(Duration, Event)>, bool)>,
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder(Arc::new(Inner { start: Instant::now(), events: Mutex::default() }))
    }
}

impl Recorder {
    /// The time since the recorder was created.
    pub fn now(&self) -> Duration {
        self.0.start.elapsed()
    }

    /// Records an event of this moment. The time is taken under the lock, so events are in order of time.
    pub fn add(&self, event: Event) {
        let mut events = self.0.events.lock().unwrap_or_else(PoisonError::into_inner);
        if events.0.len() >= MAX_EVENTS {
            events.1 = true;
            return;
        }
        let at = self.now();
        events.0.push((at, event));
    }

    /// All events so far, and whether some were left out for lack of space.
    pub fn events(&self) -> (Vec<(Duration, Event)>, bool) {
        let events = self.0.events.lock().unwrap_or_else(PoisonError::into_inner);
        (events.0.clone(), events.1)
    }
}
