//! The queue of an assigner's channel: lines come with its calls and leave at the channel's pace.

use std::time::Duration;

use super::page::{LINES_PER_S, OVERHEAD_LINES};

/// Lines that wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct Channel {
    waiting: f64,
    looked: Duration,
    /// The most that have waited at a time.
    pub most: f64,
}

impl Channel {
    /// A call's orders make one message to each of so many proxies.
    pub fn call(&mut self, now: Duration, proxies: usize, orders: usize) {
        let left = LINES_PER_S * now.saturating_sub(self.looked).as_secs_f64();
        self.looked = now;
        self.waiting = (self.waiting - left).max(0.0) + (proxies * (OVERHEAD_LINES + orders)) as f64;
        self.most = self.most.max(self.waiting);
    }
}
