//! Reads that are in hand, so that a level of 0 can stop them.
//!
//! Writes are not kept here: one that is at its server is let finish, within the time that assigners settle for it.
//! Stopping it would tell its client nothing but that it may have run.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, Thread};

use whinhill::interface::{MethodId, SliceId};

use crate::shared::lock;

type About = (SliceId, MethodId);

#[derive(Default)]
pub struct InHand(Mutex<HashMap<About, Vec<Arc<One>>>>);

struct One {
    stop: AtomicBool,
    thread: Thread,
}

/// An RPC in hand, in the thread that carries it; it ends with this.
pub struct Held<'a> {
    all: &'a InHand,
    about: About,
    one: Arc<One>,
}

impl Held<'_> {
    pub fn stopped(&self) -> bool {
        self.one.stop.load(Ordering::Acquire)
    }
}

impl InHand {
    /// To be called before the table is looked at: a level that becomes 0 after that look then stops it.
    pub fn hold(&self, about: About) -> Held<'_> {
        let one = Arc::new(One { stop: AtomicBool::new(false), thread: thread::current() });
        lock(&self.0).entry(about).or_default().push(one.clone());
        Held { all: self, about, one }
    }

    /// Stops all of a slice and method; their threads wake for it.
    pub fn stop(&self, about: About) -> usize {
        let all = lock(&self.0).get(&about).cloned().unwrap_or_default();
        for one in &all {
            one.stop.store(true, Ordering::Release);
            one.thread.unpark();
        }
        all.len()
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let mut all = lock(&self.all.0);
        if let Some(of_slice) = all.get_mut(&self.about) {
            of_slice.retain(|one| !Arc::ptr_eq(one, &self.one));
            if of_slice.is_empty() {
                all.remove(&self.about);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn those_of_a_slice_and_method_are_stopped_and_no_others() {
        let all = InHand::default();
        let (one, other, second) = (all.hold((1, 0)), all.hold((1, 1)), all.hold((1, 0)));
        assert_eq!(all.stop((1, 0)), 2);
        assert!(one.stopped() && second.stopped() && !other.stopped());
        // What comes after was let in by a later table.
        assert!(!all.hold((1, 0)).stopped());
        drop((one, other, second));
        assert!(lock(&all.0).is_empty());
        assert_eq!(all.stop((1, 0)), 0);
    }
}
