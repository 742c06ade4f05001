//! The event loop: waits for events, handles them, and does what is due.

use std::io;
use std::time::Duration;

use mio::Events;
use whinhill::interface::Event;

use crate::accepting::AcceptTrigger;
use crate::connections::Id;
use crate::deadlines::DeadlineKind;
use crate::limits::*;
use crate::node::{Node, LISTENER, MAX_EVENTS_PER_POLL, SIGNALS};
use crate::NodeError;

/// Largest number of polls for further events before expired deadlines are handled: enough for as many
/// connections as there may be.
const MAX_POLLS: usize = 16;

impl Node {
    /// Runs until SIGTERM or SIGINT has been handled.
    pub fn serve(mut self) -> Result<(), NodeError> {
        loop {
            self.schedule_work();
            if self.advance_shutdown()? {
                return self.finish_shutdown();
            }
            self.run_once(None)?;
        }
    }

    /// Waits for the next event or deadline, for at most `max_wait` if given, and handles everything that is due
    /// then.
    pub fn run_once(&mut self, max_wait: Option<Duration>) -> Result<(), NodeError> {
        let now = self.clock.now();
        let next = self.deadlines.next_at().map(|at| at.saturating_sub(now));
        let wait = next.into_iter().chain(max_wait).min();
        let wait = if self.unread_connections.is_empty() { wait } else { Some(Duration::ZERO) };
        self.poll_events(wait)?;
        let woken_at = self.clock.now();
        let polled_at = self.poll_before_deadlines()?;
        while let Some(kind) = self.deadlines.pop_due(polled_at) {
            self.handle_deadline(kind);
        }
        let overslept = wait.map_or(Duration::ZERO, |wait| woken_at.saturating_sub(now + wait));
        let worked = self.clock.now().saturating_sub(woken_at);
        self.longest_pause = self.longest_pause.max(overslept).max(worked);
        Ok(())
    }

    /// Before deadlines are handled, reads everything that arrived up to then: the process may have been suspended,
    /// in the poll or after it, for longer than peers are allowed to be silent. Returns the time of the last poll.
    fn poll_before_deadlines(&mut self) -> Result<Duration, NodeError> {
        let mut polled_at = self.clock.now();
        for _ in 0..MAX_POLLS {
            polled_at = self.clock.now();
            if !self.deadlines.any_due(polled_at) {
                break;
            }
            let handled = self.poll_events(Some(Duration::ZERO))?;
            // A connection with more to read is read once more before its own time limit counts.
            if handled < MAX_EVENTS_PER_POLL {
                break;
            }
        }
        Ok(polled_at)
    }

    /// Handles all events that are available without waiting.
    pub fn drain_events(&mut self) -> Result<(), NodeError> {
        for _ in 0..MAX_POLLS {
            if self.poll_events(Some(Duration::ZERO))? < MAX_EVENTS_PER_POLL
                && self.unread_connections.is_empty()
            {
                break;
            }
        }
        Ok(())
    }

    /// Waits for events and handles them; returns their number.
    fn poll_events(&mut self, wait: Option<Duration>) -> Result<usize, NodeError> {
        let mut events = std::mem::replace(&mut self.events, Events::with_capacity(0));
        let unread = self.unread_connections.len().max(1);
        self.messages_per_connection = (MESSAGES_PER_TURN / unread)
            .clamp(*MESSAGES_PER_CONNECTION.start(), *MESSAGES_PER_CONNECTION.end());
        let polled = self.poll.poll(&mut events, wait);
        self.counters.clock_steps += u64::from(self.clock.detect_step());
        let mut handled = 0;
        match polled {
            Ok(()) => {
                self.consecutive_poll_failures = 0;
                handled = events.iter().map(|event| self.dispatch_event(event)).count();
            }
            Err(error) => self.handle_poll_error(error)?,
        }
        self.events = events;
        for id in std::mem::take(&mut self.unread_connections) {
            self.read_available(id);
        }
        Ok(handled)
    }

    fn dispatch_event(&mut self, event: &mio::event::Event) {
        match event.token() {
            LISTENER => self.accept_clients(AcceptTrigger::Readiness),
            SIGNALS => self.handle_signals(),
            token => {
                let id = Id::from_token(token);
                if event.is_writable() {
                    self.handle_writable(id);
                }
                let readable = event.is_readable() || event.is_read_closed() || event.is_error();
                if readable {
                    self.handle_readable_event(id);
                }
            }
        }
    }

    /// An interrupted poll is no failure and loses nothing: deadlines are handled as after any wait.
    fn handle_poll_error(&mut self, error: io::Error) -> Result<(), NodeError> {
        if error.kind() == io::ErrorKind::Interrupted {
            self.counters.polls_interrupted += 1;
            return Ok(());
        }
        self.counters.poll_failures += 1;
        self.consecutive_poll_failures += 1;
        if self.consecutive_poll_failures < MAX_CONSECUTIVE_POLL_FAILURES {
            return Ok(());
        }
        Err(NodeError::Io { what: "poll", source: error })
    }

    /// Schedules the next batch and starts a relay call if they are due.
    fn schedule_work(&mut self) {
        if self.shutdown_started_at.is_some() {
            self.deadlines.clear(DeadlineKind::Batch);
            self.pending_events.clear();
        } else if !self.pending_events.is_empty() {
            let now = self.clock.now();
            let full = self.pending_events.len() >= MAX_BATCH_EVENTS;
            let gathered_at = if full { now } else { now + BATCH_GATHER_DELAY };
            let batch_at = gathered_at.max(self.last_batch_at + self.round_duration);
            self.deadlines.set_if_earlier(DeadlineKind::Batch, batch_at);
        }
        self.start_relay_call();
    }

    fn handle_deadline(&mut self, kind: DeadlineKind) {
        match kind {
            DeadlineKind::Batch => self.handle_batch(),
            DeadlineKind::Wake => {
                self.pending_events.push(Event::Timer);
                let batch_at = self.clock.now().max(self.last_batch_at + self.round_duration);
                self.deadlines.set(DeadlineKind::Batch, batch_at);
            }
            DeadlineKind::RelayWatch(place) => self.handle_relay_watch_timeout(place),
            DeadlineKind::ReopenRelayWatch => self.open_relay_watch(),
            // `schedule_work` starts the call in the next turn of the loop; the deadline only wakes it.
            DeadlineKind::RelayCall => {}
            DeadlineKind::RetryAccept => self.accept_clients(AcceptTrigger::Retry),
            DeadlineKind::CheckAllSockets => self.check_all_sockets(),
            DeadlineKind::LogStatus => self.log_status(),
            DeadlineKind::LogBeliefs => self.log_beliefs(),
            DeadlineKind::ConnectionTimeout(id) => self.handle_timeout(id),
            DeadlineKind::RetryRegister(id) => self.register_client(id),
            DeadlineKind::Recheck(id) => self.recheck(id),
            DeadlineKind::RetryConfig => self.reload_config(),
            DeadlineKind::RetryDiscoveryWatch => self.reopen_discovery_watch(),
            DeadlineKind::RetryFetch => self.fetch_server_list(),
            DeadlineKind::RetryProbes => self.retry_postponed_probes(),
            // `advance_shutdown` runs in each turn of the loop; the deadline only wakes it.
            DeadlineKind::ShutdownStep => {}
        }
    }
}
