//! What was seen to happen: at servers, at clients, in the store, at the roster, at links.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Events kept of one day; one that holds more is too long to audit, and says so.
const MOST: usize = 8_000_000;

#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A server process began to serve, cold or warm, with that much work a second when warm.
    Started {
        server: Arc<str>,
        cold: bool,
        capacity: f64,
    },
    /// An RPC arrived at a server.
    Arrived {
        server: Arc<str>,
        rpc: u64,
        slice: usize,
        write: bool,
        proxy: Arc<str>,
        work: f64,
    },
    /// Its execution began, and ended, there.
    Began {
        server: Arc<str>,
        rpc: u64,
        slice: usize,
        write: bool,
        once: bool,
    },
    Ended {
        server: Arc<str>,
        rpc: u64,
        slice: usize,
        write: bool,
    },
    /// The roster says so from now on; `None`: gone.
    Listed {
        server: Arc<str>,
        state: Option<whinhill_assigner::RosterState>,
    },
    /// The store took a record of a slice.
    Stored {
        slice: usize,
        epoch: u64,
        holder: Option<String>,
        owner: Option<Arc<str>>,
    },
    /// A client got its final answer, through a proxy.
    Answered {
        rpc: u64,
        proxy: Arc<str>,
        slice: usize,
        ok: bool,
        in_time: bool,
        no_line: bool,
    },
    /// A link between a proxy and an assigner was cut, or carries again; a connection was made through it, or ended.
    Cut {
        proxy: Arc<str>,
        assigner: Arc<str>,
        cut: bool,
    },
    /// A link between a proxy and a server carries badly, or well again.
    Hampered {
        proxy: Arc<str>,
        server: Arc<str>,
        hampered: bool,
    },
    Connected {
        proxy: Arc<str>,
        assigner: Arc<str>,
        stands: bool,
    },
    /// An assigner's process was stopped or stood still, or runs again.
    Runs {
        assigner: Arc<str>,
        runs: bool,
    },
    ProxyRuns {
        proxy: Arc<str>,
        runs: bool,
    },
}

/// The record of a day, on one clock.
#[derive(Clone)]
pub struct Recorder(Arc<Inner>);

struct Inner {
    start: Instant,
    seen: Mutex<(Vec<(Duration, Seen)>, bool)>,
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder(Arc::new(Inner { start: Instant::now(), seen: Mutex::default() }))
    }
}

impl Recorder {
    pub fn now(&self) -> Duration {
        self.0.start.elapsed()
    }

    /// Notes what happened just now. The time is taken under the lock, so the record is in order.
    pub fn note(&self, what: Seen) {
        let mut seen = self.0.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if seen.0.len() >= MOST {
            seen.1 = true;
            return;
        }
        let at = self.now();
        seen.0.push((at, what));
    }

    /// All of it so far, and whether something was left out.
    pub fn seen(&self) -> (Vec<(Duration, Seen)>, bool) {
        let seen = self.0.seen.lock().unwrap_or_else(PoisonError::into_inner);
        (seen.0.clone(), seen.1)
    }
}
