//! What waits in the channel to the proxies, and the end of each reply.

use super::*;

impl Assigner {
    /// Whether the channel holds less than a part of what may wait in it.
    pub(super) fn has_room(&self, part: f64) -> bool {
        let lines = self.channel.lines + self.lines(self.channel.due);
        let (sent, most) = (self.channel.messages.len() as f64, self.cfg.messages_most as f64);
        lines < part * self.cfg.backlog && (most == 0.0 || sent < part * most - 1.0)
    }

    /// Lines that the channel carries for a message to every proxy with what is written so far, and more.
    pub(super) fn lines(&self, more: usize) -> f64 {
        let orders = self.out.iter().filter(|order| order.costs_a_line()).count() + more;
        (orders as f64 + self.cfg.head) * self.joined() as f64
    }

    /// How long so many lines take to leave at the slowest pace that is reckoned with.
    pub(super) fn longest_wait(&self, lines: f64) -> Duration {
        Duration::from_secs_f64(lines * SLOW_CHANNEL * SLOW_CHANNEL / self.cfg.lines_per_s)
    }

    pub(super) fn joined(&self) -> usize {
        self.proxies.values().filter(|p| p.joined).count()
    }

    /// Counts what goes out, and asks to be woken at the next time that matters.
    pub(super) fn close(&mut self) -> Vec<Order> {
        let now = self.now;
        // The answer tells early that a channel thought to be filled has emptied.
        let filled = self.out.iter().any(Order::costs_a_line) && !self.has_room(PLAN_ROOM);
        if std::mem::take(&mut self.channel.mark_wanted) || filled {
            self.channel.set_mark(now);
            self.out.push(Order::Mark { mark: (self.channel.marks & 0xffff) as u16 });
        }
        // An overdue answer tells that more waits than was reckoned: all that is not answered, at most.
        let overdue = self.channel.answer_due().is_some_and(|sent| now > sent + self.cfg.way_most);
        if !std::mem::replace(&mut self.channel.overdue, overdue) && overdue {
            self.channel.lines = self.channel.lines.max(self.channel.unanswered());
        }
        let slow = SLOW_CHANNEL * if overdue { SLOW_CHANNEL } else { 1.0 };
        let sent = now.saturating_sub(self.channel.at).as_secs_f64() * self.cfg.lines_per_s / slow;
        (self.channel.lines, self.channel.at) = ((self.channel.lines - sent).max(0.0), now);
        self.channel.forget_left();
        self.channel.messages.retain(|at| now <= *at + self.cfg.messages_span);
        if self.out.iter().any(Order::costs_a_line) {
            let lines = self.lines(0);
            self.channel.lines += lines;
            self.channel.sent.push_back((self.channel.marks, lines, now));
            self.channel.messages.push(now);
        }
        self.channel.due = 0;
        if now >= self.channel.wake {
            self.channel.wake = now + TICK;
            self.out.push(Order::Wake { after: TICK });
        }
        std::mem::take(&mut self.out)
    }
}
