//! When a stream is reopened after it has failed.

use std::time::Duration;

use crate::limits::Limits;

/// First delay after a failure.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// Longest delay before it is varied, and how long a stream must have lasted for its failure to reset the delay.
const MAX_DELAY: Duration = Duration::from_secs(2);
/// Longest delay, before it is varied, after attempts that reached nobody: they were no load for the peer, and it must
/// be asked again soon after its return.
const MAX_UNREACHED_DELAY: Duration = Duration::from_millis(500);
/// Time limit of connecting, and of the peer's first bytes on a new connection. A peer that has sent some is waited for
/// longer.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Silence after which a ping is sent on a stream that must not stay silent for long, and the time limit of its answer:
/// together with one attempt and one delay these are under 6 s.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// How far an attempt to follow a stream has come when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reached {
    /// Nothing was received from the peer.
    Nobody,
    /// The peer has sent something.
    Peer,
}

/// The delays before a stream is reopened: doubled after each failure that the peer took part in, and varied so that the
/// clients of one peer do not come back together.
#[derive(Clone, Debug)]
pub struct ReconnectDelay {
    next: Duration,
}

impl Default for ReconnectDelay {
    fn default() -> Self {
        ReconnectDelay { next: MIN_DELAY }
    }
}

impl ReconnectDelay {
    /// The delay after a failure of a stream that had lasted for `lasted`. `draw`: a random number from 0 to 1.
    pub fn after_failure(&mut self, reached: Reached, lasted: Duration, draw: f64) -> Duration {
        if reached == Reached::Peer && lasted > MAX_DELAY {
            self.next = MIN_DELAY;
        }
        let max = if reached == Reached::Nobody { MAX_UNREACHED_DELAY } else { MAX_DELAY };
        let delay = self.next.min(max);
        self.next = (self.next * 2).min(max.max(self.next));
        delay.mul_f64(0.5 + draw)
    }

    /// Whether a stream that lasted for this long was more than an attempt.
    pub fn was_long(lasted: Duration) -> bool {
        lasted > MAX_DELAY
    }
}

/// The limits of a connection whose stream must be reopened soon after a silence of the peer.
pub fn stream_limits(limits: &Limits) -> Limits {
    Limits {
        handshake: limits.handshake.min(FIRST_ANSWER_TIMEOUT),
        keep_alive: limits.keep_alive.min(KEEP_ALIVE),
        keep_alive_timeout: limits.keep_alive_timeout.min(KEEP_ALIVE),
        ..limits.clone()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn delays(reached: Reached, count: usize) -> Vec<Duration> {
        let mut delay = ReconnectDelay::default();
        (0..count).map(|_| delay.after_failure(reached, Duration::ZERO, 0.5)).collect()
    }

    #[test]
    fn delays_grow_to_their_limit_only_where_the_peer_was_reached() {
        assert_eq!(delays(Reached::Peer, 10).last(), Some(&MAX_DELAY));
        assert_eq!(delays(Reached::Nobody, 10).last(), Some(&MAX_UNREACHED_DELAY));
    }

    #[test]
    fn attempts_that_reach_nobody_do_not_raise_the_delay_after_the_return() {
        let mut delay = ReconnectDelay::default();
        for _ in 0..10 {
            delay.after_failure(Reached::Nobody, Duration::ZERO, 0.5);
        }
        assert_eq!(delay.after_failure(Reached::Peer, Duration::ZERO, 0.5), MAX_UNREACHED_DELAY);
        assert_eq!(delay.after_failure(Reached::Peer, 2 * MAX_DELAY, 0.5), MIN_DELAY);
    }
}
