//! Calls that are sent again because it is unknown whether they were carried out: the channel may hold both.

use super::*;

impl Assigner {
    /// Whether the channel has room for so many orders to be sent once more.
    pub fn may_resend(&self, orders: usize) -> bool {
        self.channel.queued_lines + self.message_lines(orders) < DRAIN_STOP_FILL * self.cfg.max_backlog_lines
    }

    /// Counts so many orders that were sent once more as queued in the channel.
    pub fn note_resent(&mut self, now: Duration, orders: usize) {
        let lines = self.message_lines(orders);
        self.channel.queued_lines += lines;
        self.channel.queued_messages.push_back((self.channel.last_ack_seq, lines, now));
    }
}
