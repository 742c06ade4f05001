//! Calls that are sent again, since nobody knows whether they were carried out: then the channel may hold both.

use super::*;

impl Assigner {
    /// Whether so many orders fit the channel once more.
    pub fn may_send_again(&self, orders: usize) -> bool {
        self.channel.queued_lines + self.message_lines(orders) < DRAIN_STOP_FILL * self.cfg.max_backlog_lines
    }

    /// So many orders were sent again.
    pub fn sent_again(&mut self, now: Duration, orders: usize) {
        let lines = self.message_lines(orders);
        self.channel.queued_lines += lines;
        self.channel.queued_messages.push_back((self.channel.last_ack_seq, lines, now));
    }
}
