//! The queue of an assigner's channel: calls add lines, which leave at the channel's rate.

use std::time::Duration;

use super::parameters::{CHANNEL_LINES_PER_S, MESSAGE_OVERHEAD_LINES};

/// The queued lines of one channel.
#[derive(Clone, Copy, Debug, Default)]
pub struct Channel {
    queued: f64,
    last_update: Duration,
    /// The largest queue so far.
    pub max_queued: f64,
}

impl Channel {
    /// Queues a call, whose orders become one message to each proxy.
    pub fn enqueue_call(&mut self, now: Duration, proxies: usize, orders: usize) {
        let sent = CHANNEL_LINES_PER_S * now.saturating_sub(self.last_update).as_secs_f64();
        self.last_update = now;
        self.queued = (self.queued - sent).max(0.0) + (proxies * (MESSAGE_OVERHEAD_LINES + orders)) as f64;
        self.max_queued = self.max_queued.max(self.queued);
    }
}
