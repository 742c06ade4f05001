//! Threads for work that blocks: started as needed up to a bound, ended when idle.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, Sender, TrySendError};

type Job = Box<dyn FnOnce() + Send>;

const IDLE: Duration = Duration::from_secs(5);

/// A bounded crowd of small-stack threads. A job that finds no thread and no room for one is given back.
#[derive(Clone)]
pub struct Workers(Arc<Inner>);

struct Inner {
    name: String,
    stack: usize,
    most: usize,
    count: AtomicUsize,
    jobs: Sender<Job>,
    taken: Receiver<Job>,
}

/// All threads are busy.
#[derive(Debug, thiserror::Error)]
#[error("{most} workers are busy")]
pub struct AllBusy {
    pub most: usize,
}

impl Workers {
    pub fn new(name: &str, most: usize, stack: usize) -> Self {
        // Without a buffer a job is handed only to a thread that waits for one.
        let (jobs, taken) = bounded(0);
        let count = AtomicUsize::new(0);
        Workers(Arc::new(Inner { name: name.to_string(), stack, most, count, jobs, taken }))
    }

    pub fn run(&self, job: impl FnOnce() + Send + 'static) -> Result<(), AllBusy> {
        let inner = &self.0;
        let job: Job = match inner.jobs.try_send(Box::new(job)) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => job,
        };
        let more = |now: usize| (now < inner.most).then_some(now + 1);
        let busy = AllBusy { most: inner.most };
        if inner.count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more).is_err() {
            return Err(busy);
        }
        let (weak, taken) = (Arc::downgrade(inner), inner.taken.clone());
        let thread = thread::Builder::new().name(inner.name.clone()).stack_size(inner.stack);
        let started: io::Result<_> = thread.spawn(move || {
            job();
            while let Ok(job) = taken.recv_timeout(IDLE) {
                job();
            }
            if let Some(inner) = weak.upgrade() {
                inner.count.fetch_sub(1, Ordering::Relaxed);
            }
        });
        started.map(drop).map_err(|_| {
            inner.count.fetch_sub(1, Ordering::Relaxed);
            busy
        })
    }

    /// Hands `value` to a thread for `job`, or, where none is free, back to `full` at once.
    pub fn hand<T: Send + 'static>(
        &self,
        value: T,
        job: impl FnOnce(T) + Send + 'static,
        full: impl FnOnce(T),
    ) {
        let slot = Arc::new(Mutex::new(Some(value)));
        let handed = slot.clone();
        let take = |slot: &Mutex<Option<T>>| slot.lock().unwrap_or_else(PoisonError::into_inner).take();
        let run = move || {
            if let Some(value) = take(&handed) {
                job(value);
            }
        };
        if self.run(run).is_err() {
            if let Some(value) = take(&slot) {
                full(value);
            }
        }
    }

    /// Threads that there are.
    pub fn threads(&self) -> usize {
        self.0.count.load(Ordering::Relaxed)
    }
}
