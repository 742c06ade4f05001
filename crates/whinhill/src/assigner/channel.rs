//! An estimate of what is queued in the channel to the proxies, and the end of each reply.

use super::*;

impl Assigner {
    /// Whether the channel, with what this reply will add, is filled below a fraction of its backlog, and below the
    /// same fraction of the messages that it may send in a window of time.
    pub(super) fn channel_is_below(&self, fill: f64) -> bool {
        let lines = self.channel.queued_lines + self.message_lines(self.channel.reserved_orders);
        let messages = self.channel.message_times.len() as f64;
        let max_messages = self.cfg.max_messages as f64;
        lines < fill * self.cfg.max_backlog_lines
            && (max_messages == 0.0 || messages < fill * max_messages - 1.0)
    }

    /// Lines that the channel carries for a message to every proxy with the orders of this reply so far, and more.
    pub(super) fn message_lines(&self, more_orders: usize) -> f64 {
        let orders = self.output.iter().filter(|order| order.uses_channel_line()).count() + more_orders;
        (orders as f64 + self.cfg.message_overhead_lines) * self.joined_proxies() as f64
    }

    /// The time that so many lines take to leave the channel at the slowest pace that is taken to be possible.
    pub(super) fn max_send_time(&self, lines: f64) -> Duration {
        let slowed_lines = lines * CHANNEL_SLOWDOWN_FACTOR * CHANNEL_SLOWDOWN_FACTOR;
        Duration::from_secs_f64(slowed_lines / self.cfg.lines_per_s)
    }

    /// The number of proxies whose streams are open.
    pub(super) fn joined_proxies(&self) -> usize {
        self.proxies.values().filter(|proxy| proxy.joined).count()
    }

    /// Requests an acknowledgement where one is wanted, updates the estimate of the channel, requests the next wake-up,
    /// and returns the orders.
    pub(super) fn finish_reply(&mut self) -> Vec<Order> {
        let now = self.now;
        // The acknowledgement shows early that a channel estimated to be filled has emptied.
        let is_filled =
            self.output.iter().any(Order::uses_channel_line) && !self.channel_is_below(PLAN_START_FILL);
        if std::mem::take(&mut self.channel.ack_wanted) || is_filled {
            self.channel.issue_ack_request(now);
            self.output.push(Order::RequestAck { ack_seq: (self.channel.last_ack_seq & 0xffff) as u16 });
        }
        // An overdue acknowledgement shows that more is queued than was estimated: at most all that is unacknowledged.
        let is_overdue =
            self.channel.first_unacked_sent_at().is_some_and(|sent_at| now > sent_at + self.cfg.max_transit);
        let was_overdue = std::mem::replace(&mut self.channel.ack_overdue, is_overdue);
        if !was_overdue && is_overdue {
            self.channel.queued_lines = self.channel.queued_lines.max(self.channel.unacked_lines());
        }
        let slowdown = CHANNEL_SLOWDOWN_FACTOR * if is_overdue { CHANNEL_SLOWDOWN_FACTOR } else { 1.0 };
        let elapsed = now.saturating_sub(self.channel.updated_at);
        let sent_lines = elapsed.as_secs_f64() * self.cfg.lines_per_s / slowdown;
        self.channel.queued_lines = (self.channel.queued_lines - sent_lines).max(0.0);
        self.channel.updated_at = now;
        self.channel.forget_transmitted_messages();
        self.channel.message_times.retain(|at| now <= *at + self.cfg.message_window);
        if self.output.iter().any(Order::uses_channel_line) {
            let lines = self.message_lines(0);
            self.channel.queued_lines += lines;
            self.channel.queued_messages.push_back((self.channel.last_ack_seq, lines, now));
            self.channel.message_times.push(now);
        }
        self.channel.reserved_orders = 0;
        if now >= self.channel.wake_at {
            self.channel.wake_at = now + TICK;
            self.output.push(Order::Wake { after: TICK });
        }
        std::mem::take(&mut self.output)
    }
}
