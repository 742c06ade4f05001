//! Waiting in an ordinary thread for what a driver thread makes ready.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

use crate::turning::Turn;

struct Unpark(Thread);

impl Wake for Unpark {
    fn wake(self: Arc<Self>) {
        self.0.unpark();
    }
}

thread_local! {
    static WAKER: Waker = Arc::new(Unpark(thread::current())).into();
}

/// Polls until it is ready or the time has come; a spurious wake-up only polls once more.
pub fn wait<T>(until: Instant, mut poll: impl FnMut(&mut Context<'_>) -> Poll<T>) -> Option<T> {
    WAKER.with(|waker| {
        let mut cx = Context::from_waker(waker);
        loop {
            if let Poll::Ready(value) = poll(&mut cx) {
                return Some(value);
            }
            // What is waited for may need what was just handed over to be written first.
            Turn::flush();
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            thread::park_timeout(left.min(Duration::from_secs(1)));
        }
    })
}

pub fn wait_for<F: Future>(until: Instant, future: F) -> Option<F::Output> {
    let mut future = pin!(future);
    wait(until, |cx| future.as_mut().poll(cx))
}
