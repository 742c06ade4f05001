//! Lets a caller's thread write what it has just handed to a connection, in place of waking the driver for it.
//!
//! A wake-up of a sleeping thread costs tens of microseconds, and an RPC through a proxy would need four for its
//! writes alone. `h2` wakes a connection while it holds locks of its own, so the connection can't be turned right
//! there: within a [`Turn`] such wakes are kept, and carried out before the thread parks and at the end.

use std::cell::RefCell;
use std::marker::PhantomData;
use std::sync::Arc;

/// Something that is waiting to be turned.
pub trait Turned {
    /// Turns it on this thread, or has its driver do so.
    fn turn(self: Arc<Self>);
    /// Has its driver turn it.
    fn hand_back(self: Arc<Self>);
}

/// Connections turned one after the other by one call at most; what is left after that goes to the drivers.
const ROUNDS: usize = 8;

/// The stack, in bytes, of a thread that uses calls: it may turn a whole connection, which takes 48 KiB in a build
/// without optimization (16 KiB in one with), before anything is logged.
pub const CALL_STACK: usize = 128 << 10;

thread_local! {
    /// What was woken within the turn; `None` outside of one.
    static WOKEN: RefCell<Option<Vec<Arc<dyn Turned>>>> = const { RefCell::new(None) };
}

/// While it lives, connections that this thread wakes are turned by it. Waits of this crate flush it by themselves;
/// whoever blocks otherwise meanwhile calls [`Turn::flush`] first, or what was woken would wait too.
pub struct Turn {
    /// One inside another leaves all to the outer one.
    outer: bool,
    /// It belongs to its thread.
    _here: PhantomData<*const ()>,
}

impl Turn {
    pub fn begin() -> Self {
        let outer = WOKEN.with_borrow_mut(|woken| {
            let outer = woken.is_none();
            woken.get_or_insert_default();
            outer
        });
        Turn { outer, _here: PhantomData }
    }

    /// Keeps `what` for this thread's turn; gives it back where there is none.
    pub fn later<T: Turned + 'static>(what: Arc<T>) -> Result<(), Arc<T>> {
        WOKEN.with_borrow_mut(|woken| match woken {
            Some(woken) => {
                woken.push(what);
                Ok(())
            }
            None => Err(what),
        })
    }

    /// Turns what was woken so far.
    pub fn flush() {
        for _ in 0..ROUNDS {
            let Some(one) = WOKEN.with_borrow_mut(|woken| woken.as_mut()?.pop()) else { return };
            one.turn();
        }
        let left = WOKEN.with_borrow_mut(|woken| woken.as_mut().map(std::mem::take));
        left.into_iter().flatten().for_each(Turned::hand_back);
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if self.outer {
            Turn::flush();
            let left = WOKEN.with_borrow_mut(Option::take);
            left.into_iter().flatten().for_each(Turned::hand_back);
        }
    }
}

#[cfg(test)]
mod tests {
    use std::sync::atomic::{AtomicUsize, Ordering};

    use super::*;

    /// Wakes itself again `again` times.
    #[derive(Default)]
    struct One {
        again: AtomicUsize,
        turned: AtomicUsize,
        handed_back: AtomicUsize,
    }

    impl Turned for One {
        fn turn(self: Arc<Self>) {
            self.turned.fetch_add(1, Ordering::Relaxed);
            let more = |left: usize| left.checked_sub(1);
            if self.again.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more).is_ok() {
                assert!(Turn::later(self).is_ok());
            }
        }

        fn hand_back(self: Arc<Self>) {
            self.handed_back.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn counts(one: &One) -> (usize, usize) {
        (one.turned.load(Ordering::Relaxed), one.handed_back.load(Ordering::Relaxed))
    }

    #[test]
    fn what_is_woken_is_turned_before_the_outer_turn_ends_and_not_kept_outside_of_one() {
        let one = Arc::new(One::default());
        assert!(Turn::later(one.clone()).is_err());
        {
            let _outer = Turn::begin();
            drop(Turn::begin());
            assert!(Turn::later(one.clone()).is_ok());
            assert_eq!(counts(&one), (0, 0));
            Turn::flush();
            assert_eq!(counts(&one), (1, 0));
            assert!(Turn::later(one.clone()).is_ok());
        }
        assert_eq!(counts(&one), (2, 0));
        assert!(Turn::later(one.clone()).is_err());
    }

    #[test]
    fn a_connection_that_never_rests_goes_back_to_its_driver() {
        let busy = Arc::new(One { again: 1000.into(), ..One::default() });
        let turn = Turn::begin();
        assert!(Turn::later(busy.clone()).is_ok());
        Turn::flush();
        drop(turn);
        let (turned, handed_back) = counts(&busy);
        assert_eq!((turned, handed_back), (ROUNDS, 1));
    }
}
