//! Calls that are sent again, since nobody knows whether they were carried out: then the channel may hold both.

use super::*;

impl Assigner {
    /// Whether so many orders fit the channel once more.
    pub fn may_send_again(&self, orders: usize) -> bool {
        self.channel.lines + self.lines(orders) < DRAIN_ROOM.1 * self.cfg.backlog
    }

    /// So many orders were sent again.
    pub fn sent_again(&mut self, now: Duration, orders: usize) {
        let lines = self.lines(orders);
        self.channel.lines += lines;
        self.channel.sent.push_back((self.channel.marks, lines, now));
    }
}
