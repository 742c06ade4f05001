//! Lets a caller's thread write the data that it has just handed to a connection, instead of waking the driver
//! for it.
//!
//! Waking a sleeping thread costs tens of microseconds, and an RPC through a proxy would need four wake-ups for
//! its writes alone. `h2` wakes a connection while it holds locks of its own, so the connection can't be polled
//! inside the wake-up: within a [`PollScope`] such wake-ups are recorded, and the connections are polled before the
//! thread parks and at the end of the scope.

use std::cell::RefCell;
use std::marker::PhantomData;
use std::sync::Arc;

/// A connection that can be polled by the thread that woke it.
pub trait Pollable {
    /// Polls the connection on this thread, or schedules it on its driver.
    fn poll_on_this_thread(self: Arc<Self>);
    /// Schedules the connection on its driver.
    fn schedule_on_driver(self: Arc<Self>);
}

/// How many connections one flush polls at most; the remaining ones go to their drivers.
const MAX_POLLS_PER_FLUSH: usize = 8;

/// Stack size in bytes of a thread that uses calls: it may poll a whole connection, which takes 48 KiB in a
/// build without optimization (16 KiB with optimization), before anything is logged.
pub const CALL_STACK: usize = 128 << 10;

thread_local! {
    /// Connections woken within the current scope; `None` outside of a scope.
    static WOKEN: RefCell<Option<Vec<Arc<dyn Pollable>>>> = const { RefCell::new(None) };
}

/// A scope in which connections that this thread wakes are polled by this thread. Blocking functions of this
/// crate flush it themselves; a caller that blocks in any other way calls [`PollScope::flush`] first, since the
/// connections that it woke would wait as long as it does.
pub struct PollScope {
    /// True for the outermost scope, which does the work of the scopes nested in it.
    is_outermost: bool,
    /// Makes the type neither `Send` nor `Sync`: a scope belongs to its thread.
    _not_send: PhantomData<*const ()>,
}

impl PollScope {
    /// Begins a scope, which ends when the returned value is dropped.
    pub fn begin() -> Self {
        let is_outermost = WOKEN.with_borrow_mut(|woken| {
            let is_outermost = woken.is_none();
            woken.get_or_insert_default();
            is_outermost
        });
        PollScope { is_outermost, _not_send: PhantomData }
    }

    /// Records a connection to be polled by this thread; returns it as an error where there is no scope.
    pub fn defer<T: Pollable + 'static>(connection: Arc<T>) -> Result<(), Arc<T>> {
        WOKEN.with_borrow_mut(|woken| match woken {
            Some(woken) => {
                woken.push(connection);
                Ok(())
            }
            None => Err(connection),
        })
    }

    /// Polls the connections that were woken so far.
    pub fn flush() {
        for _ in 0..MAX_POLLS_PER_FLUSH {
            let Some(connection) = WOKEN.with_borrow_mut(|woken| woken.as_mut()?.pop()) else { return };
            connection.poll_on_this_thread();
        }
        let remaining = WOKEN.with_borrow_mut(|woken| woken.as_mut().map(std::mem::take));
        remaining.into_iter().flatten().for_each(Pollable::schedule_on_driver);
    }
}

impl Drop for PollScope {
    fn drop(&mut self) {
        if self.is_outermost {
            PollScope::flush();
            let remaining = WOKEN.with_borrow_mut(Option::take);
            remaining.into_iter().flatten().for_each(Pollable::schedule_on_driver);
        }
    }
}

#[cfg(test)]
mod tests {
    use std::sync::atomic::{AtomicUsize, Ordering};

    use super::*;

    /// Wakes itself again on each of its first `wakes_left` polls.
    #[derive(Default)]
    struct TestConnection {
        wakes_left: AtomicUsize,
        polled: AtomicUsize,
        scheduled: AtomicUsize,
    }

    impl Pollable for TestConnection {
        fn poll_on_this_thread(self: Arc<Self>) {
            self.polled.fetch_add(1, Ordering::Relaxed);
            let one_less = |remaining: usize| remaining.checked_sub(1);
            if self.wakes_left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, one_less).is_ok() {
                assert!(PollScope::defer(self).is_ok());
            }
        }

        fn schedule_on_driver(self: Arc<Self>) {
            self.scheduled.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn counts(connection: &TestConnection) -> (usize, usize) {
        (connection.polled.load(Ordering::Relaxed), connection.scheduled.load(Ordering::Relaxed))
    }

    #[test]
    fn woken_connection_is_polled_before_the_outermost_scope_ends_and_not_recorded_outside_of_one() {
        let connection = Arc::new(TestConnection::default());
        assert!(PollScope::defer(connection.clone()).is_err());
        {
            let _outer = PollScope::begin();
            drop(PollScope::begin());
            assert!(PollScope::defer(connection.clone()).is_ok());
            assert_eq!(counts(&connection), (0, 0));
            PollScope::flush();
            assert_eq!(counts(&connection), (1, 0));
            assert!(PollScope::defer(connection.clone()).is_ok());
        }
        assert_eq!(counts(&connection), (2, 0));
        assert!(PollScope::defer(connection.clone()).is_err());
    }

    #[test]
    fn connection_that_keeps_waking_itself_is_scheduled_on_its_driver() {
        let busy = Arc::new(TestConnection { wakes_left: 1000.into(), ..TestConnection::default() });
        let scope = PollScope::begin();
        assert!(PollScope::defer(busy.clone()).is_ok());
        PollScope::flush();
        drop(scope);
        let (polled, scheduled) = counts(&busy);
        assert_eq!((polled, scheduled), (MAX_POLLS_PER_FLUSH, 1));
    }
}
