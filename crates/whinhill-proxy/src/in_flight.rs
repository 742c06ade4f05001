//! Registry of reads in flight, so that a level of 0 can stop them.
//!
//! Writes are not registered: a write that has reached its server may finish, within the time that assigners wait for
//! writes to end. Stopping it would only tell its client that it may have run.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, Thread};

use whinhill::interface::{MethodId, SliceId};

use crate::shared::lock;

type SliceMethod = (SliceId, MethodId);

/// All reads in flight, by slice and method.
#[derive(Default)]
pub struct ReadsInFlight(Mutex<HashMap<SliceMethod, Vec<Arc<InFlightRead>>>>);

/// One read in flight.
struct InFlightRead {
    stop: AtomicBool,
    thread: Thread,
}

/// Registration of a read by the thread that handles it; dropping it removes the read.
pub struct ReadGuard<'a> {
    registry: &'a ReadsInFlight,
    slice_method: SliceMethod,
    read: Arc<InFlightRead>,
}

impl ReadGuard<'_> {
    /// Whether [`ReadsInFlight::stop`] was called for this read.
    pub fn stopped(&self) -> bool {
        self.read.stop.load(Ordering::Acquire)
    }
}

impl ReadsInFlight {
    /// Registers a read of the calling thread. Must be called before the table is read: a level that becomes 0 after
    /// that then stops the read.
    pub fn register(&self, slice_method: SliceMethod) -> ReadGuard<'_> {
        let read = Arc::new(InFlightRead { stop: AtomicBool::new(false), thread: thread::current() });
        lock(&self.0).entry(slice_method).or_default().push(read.clone());
        ReadGuard { registry: self, slice_method, read }
    }

    /// Stops all reads of a slice and method and wakes their threads. Returns their number.
    pub fn stop(&self, slice_method: SliceMethod) -> usize {
        let reads = lock(&self.0).get(&slice_method).cloned().unwrap_or_default();
        for read in &reads {
            read.stop.store(true, Ordering::Release);
            read.thread.unpark();
        }
        reads.len()
    }
}

impl Drop for ReadGuard<'_> {
    fn drop(&mut self) {
        let mut reads = lock(&self.registry.0);
        if let Some(same_slice_method) = reads.get_mut(&self.slice_method) {
            same_slice_method.retain(|read| !Arc::ptr_eq(read, &self.read));
            if same_slice_method.is_empty() {
                reads.remove(&self.slice_method);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn stop_affects_only_reads_of_its_slice_and_method() {
        let reads = ReadsInFlight::default();
        let (first, other, second) = (reads.register((1, 0)), reads.register((1, 1)), reads.register((1, 0)));
        assert_eq!(reads.stop((1, 0)), 2);
        assert!(first.stopped() && second.stopped() && !other.stopped());
        // A read that begins afterwards was admitted by a later table.
        assert!(!reads.register((1, 0)).stopped());
        drop((first, other, second));
        assert!(lock(&reads.0).is_empty());
        assert_eq!(reads.stop((1, 0)), 0);
    }
}
