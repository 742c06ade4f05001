//! Blocks an ordinary thread until something that a driver thread produces is ready.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

use crate::polling::PollScope;

/// Maximum time between two polls of a blocked thread, even if nothing wakes it.
const MAX_PARK_DURATION: Duration = Duration::from_secs(1);

/// A waker that unparks one thread.
struct Unpark(Thread);

impl Wake for Unpark {
    fn wake(self: Arc<Self>) {
        self.0.unpark();
    }
}

thread_local! {
    static WAKER: Waker = Arc::new(Unpark(thread::current())).into();
}

/// Polls until the result is ready or `deadline` has passed (then `None`). A spurious wake-up only causes
/// another poll.
pub fn poll_until<T>(deadline: Instant, mut poll: impl FnMut(&mut Context<'_>) -> Poll<T>) -> Option<T> {
    WAKER.with(|waker| {
        let mut cx = Context::from_waker(waker);
        loop {
            if let Poll::Ready(value) = poll(&mut cx) {
                return Some(value);
            }
            // The awaited result may depend on data that this thread has just handed over: write that first.
            PollScope::flush();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return None;
            }
            thread::park_timeout(remaining.min(MAX_PARK_DURATION));
        }
    })
}

/// Blocks until `future` is ready or `deadline` has passed (then `None`).
pub fn block_on<F: Future>(deadline: Instant, future: F) -> Option<F::Output> {
    let mut future = pin!(future);
    poll_until(deadline, |cx| future.as_mut().poll(cx))
}
