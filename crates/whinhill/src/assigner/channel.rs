//! What waits in the channel to the proxies, and the end of each reply.

use super::*;

impl Assigner {
    /// Whether the channel holds less than a part of what may wait in it.
    pub(super) fn channel_is_below(&self, part: f64) -> bool {
        let lines = self.channel.queued_lines + self.message_lines(self.channel.reserved_orders);
        let (sent, most) = (self.channel.message_times.len() as f64, self.cfg.max_messages as f64);
        lines < part * self.cfg.max_backlog_lines && (most == 0.0 || sent < part * most - 1.0)
    }

    /// Lines that the channel carries for a message to every proxy with what is written so far, and more.
    pub(super) fn message_lines(&self, more: usize) -> f64 {
        let orders = self.output.iter().filter(|order| order.costs_a_line()).count() + more;
        (orders as f64 + self.cfg.message_overhead_lines) * self.joined_proxies() as f64
    }

    /// How long so many lines take to leave at the slowest pace that is reckoned with.
    pub(super) fn max_send_time(&self, lines: f64) -> Duration {
        Duration::from_secs_f64(
            lines * CHANNEL_SLOWDOWN_FACTOR * CHANNEL_SLOWDOWN_FACTOR / self.cfg.lines_per_s,
        )
    }

    pub(super) fn joined_proxies(&self) -> usize {
        self.proxies.values().filter(|p| p.joined).count()
    }

    /// Counts what goes out, and asks to be woken at the next time that matters.
    pub(super) fn finish_reply(&mut self) -> Vec<Order> {
        let now = self.now;
        // The answer tells early that a channel thought to be filled has emptied.
        let filled = self.output.iter().any(Order::costs_a_line) && !self.channel_is_below(PLAN_START_FILL);
        if std::mem::take(&mut self.channel.ack_wanted) || filled {
            self.channel.issue_ack_request(now);
            self.output.push(Order::Mark { mark: (self.channel.last_ack_seq & 0xffff) as u16 });
        }
        // An overdue answer tells that more waits than was reckoned: all that is not answered, at most.
        let overdue =
            self.channel.first_unacked_sent_at().is_some_and(|sent| now > sent + self.cfg.max_transit);
        if !std::mem::replace(&mut self.channel.ack_overdue, overdue) && overdue {
            self.channel.queued_lines = self.channel.queued_lines.max(self.channel.unacked_lines());
        }
        let slow = CHANNEL_SLOWDOWN_FACTOR * if overdue { CHANNEL_SLOWDOWN_FACTOR } else { 1.0 };
        let sent = now.saturating_sub(self.channel.updated_at).as_secs_f64() * self.cfg.lines_per_s / slow;
        (self.channel.queued_lines, self.channel.updated_at) =
            ((self.channel.queued_lines - sent).max(0.0), now);
        self.channel.forget_transmitted_messages();
        self.channel.message_times.retain(|at| now <= *at + self.cfg.message_window);
        if self.output.iter().any(Order::costs_a_line) {
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
