//! A bounded pool of threads for jobs that block. Threads are started as needed and end when idle.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, Sender, TrySendError};

type Job = Box<dyn FnOnce() + Send>;

/// A thread that has had no job for this time ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Handle to a bounded pool of threads. A job that finds neither an idle thread nor room for a new one is
/// refused.
#[derive(Clone)]
pub struct Workers(Arc<Inner>);

struct Inner {
    name: String,
    stack: usize,
    max: usize,
    count: AtomicUsize,
    jobs: Sender<Job>,
    queue: Receiver<Job>,
}

/// All threads of the pool are busy.
#[derive(Debug, thiserror::Error)]
#[error("{max} workers are busy")]
pub struct AllBusy {
    /// Maximum number of threads of the pool.
    pub max: usize,
}

impl Workers {
    /// A pool of at most `max` threads named `name`, each with `stack` bytes of stack.
    pub fn new(name: &str, max: usize, stack: usize) -> Self {
        // With a queue of capacity 0 a job is handed only to a thread that is waiting for one.
        let (jobs, queue) = bounded(0);
        let count = AtomicUsize::new(0);
        Workers(Arc::new(Inner { name: name.to_string(), stack, max, count, jobs, queue }))
    }

    /// Runs `job` on a thread of the pool, or fails at once if none is free.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) -> Result<(), AllBusy> {
        let inner = &self.0;
        let job: Job = match inner.jobs.try_send(Box::new(job)) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => job,
        };
        let increment = |now: usize| (now < inner.max).then_some(now + 1);
        let busy = AllBusy { max: inner.max };
        if inner.count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment).is_err() {
            return Err(busy);
        }
        let (weak, queue) = (Arc::downgrade(inner), inner.queue.clone());
        let thread = thread::Builder::new().name(inner.name.clone()).stack_size(inner.stack);
        let started: io::Result<_> = thread.spawn(move || {
            job();
            while let Ok(job) = queue.recv_timeout(IDLE_TIMEOUT) {
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

    /// Runs `job` with `value` on a thread of the pool; if none is free, calls `full` with it on this thread.
    pub fn run_with<T: Send + 'static>(
        &self,
        value: T,
        job: impl FnOnce(T) + Send + 'static,
        full: impl FnOnce(T),
    ) {
        let slot = Arc::new(Mutex::new(Some(value)));
        let shared = slot.clone();
        let take = |slot: &Mutex<Option<T>>| slot.lock().unwrap_or_else(PoisonError::into_inner).take();
        let run = move || {
            if let Some(value) = take(&shared) {
                job(value);
            }
        };
        if self.run(run).is_err() {
            if let Some(value) = take(&slot) {
                full(value);
            }
        }
    }

    /// Number of threads that exist now.
    pub fn threads(&self) -> usize {
        self.0.count.load(Ordering::Relaxed)
    }
}
