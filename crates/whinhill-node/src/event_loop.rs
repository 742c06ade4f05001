//! The loop: waits, takes what came, and does what is due.

use std::io;
use std::time::Duration;

use mio::Events;
use whinhill::interface::Event;

use crate::accepting::Look;
use crate::connections::Id;
use crate::deadlines::Due;
use crate::limits::*;
use crate::node::{Node, EVENTS_MOST, LISTENER, SIGNALS};
use crate::NodeError;

/// Looks for more events before limits that have passed count: enough for as many connections as there may be.
const LOOKS_MOST: usize = 16;

impl Node {
    pub fn serve(mut self) -> Result<(), NodeError> {
        loop {
            self.advance();
            if self.may_leave()? {
                return self.leave();
            }
            self.turn(None)?;
        }
    }

    /// Waits for the next event or deadline, for a bounded time if one is given, and does all that is due then.
    pub fn turn(&mut self, most: Option<Duration>) -> Result<(), NodeError> {
        let now = self.clock.now();
        let next = self.deadlines.next_at().map(|at| at.saturating_sub(now));
        let wait = next.into_iter().chain(most).min();
        let wait = if self.unread.is_empty() { wait } else { Some(Duration::ZERO) };
        self.take_events(wait)?;
        let woken = self.clock.now();
        let looked = self.look_again()?;
        while let Some(due) = self.deadlines.pop(looked) {
            self.due(due);
        }
        let overslept = wait.map_or(Duration::ZERO, |wait| woken.saturating_sub(now + wait));
        let worked = self.clock.now().saturating_sub(woken);
        self.longest_pause = self.longest_pause.max(overslept).max(worked);
        Ok(())
    }

    /// Before a limit counts, all that had arrived by then is taken: the process may have stood still, in the poll
    /// or after it, for longer than others may be silent. The time of the last look.
    fn look_again(&mut self) -> Result<Duration, NodeError> {
        let mut looked = self.clock.now();
        for _ in 0..LOOKS_MOST {
            looked = self.clock.now();
            if !self.deadlines.is_due(looked) {
                break;
            }
            let taken = self.take_events(Some(Duration::ZERO))?;
            if taken < EVENTS_MOST && self.unread.is_empty() {
                break;
            }
        }
        Ok(looked)
    }

    /// Takes all events that are there.
    pub fn take_all_events(&mut self) -> Result<(), NodeError> {
        for _ in 0..LOOKS_MOST {
            if self.take_events(Some(Duration::ZERO))? < EVENTS_MOST && self.unread.is_empty() {
                break;
            }
        }
        Ok(())
    }

    /// Waits for events and takes them; how many there were.
    fn take_events(&mut self, wait: Option<Duration>) -> Result<usize, NodeError> {
        let mut events = std::mem::replace(&mut self.events, Events::with_capacity(0));
        let polled = self.poll.poll(&mut events, wait);
        self.counts.clock_steps += u64::from(self.clock.look_for_step());
        let mut taken = 0;
        match polled {
            Ok(()) => {
                self.poll_failures = 0;
                taken = events.iter().map(|event| self.take_event(event)).count();
            }
            Err(error) => self.poll_failed(error)?,
        }
        self.events = events;
        for id in std::mem::take(&mut self.unread) {
            self.readable(id);
        }
        Ok(taken)
    }

    fn take_event(&mut self, event: &mio::event::Event) {
        match event.token() {
            LISTENER => self.accept(Look::Told),
            SIGNALS => self.take_signals(),
            token => {
                let id = Id::of(token);
                if event.is_writable() {
                    self.writable(id);
                }
                let told = event.is_readable() || event.is_read_closed() || event.is_error();
                if told {
                    self.readable_by_poll(id);
                }
            }
        }
    }

    /// A signal is no failure, and nothing was lost with it: deadlines are looked at as after any wait.
    fn poll_failed(&mut self, error: io::Error) -> Result<(), NodeError> {
        if error.kind() == io::ErrorKind::Interrupted {
            self.counts.polls_interrupted += 1;
            return Ok(());
        }
        self.counts.polls_failed += 1;
        self.poll_failures += 1;
        if self.poll_failures < POLL_FAILURES_MOST {
            return Ok(());
        }
        Err(NodeError::Io { what: "poll", source: error })
    }

    /// Hands over a batch and starts a call where they are due.
    fn advance(&mut self) {
        if self.ending.is_some() {
            self.deadlines.clear(Due::Batch);
            self.pending.clear();
        } else if !self.pending.is_empty() {
            let now = self.clock.now();
            let full = self.pending.len() >= BATCH_MOST;
            self.deadlines
                .set_by(Due::Batch, if full { now } else { now + GATHER }.max(self.last_batch + self.round));
        }
        self.start_call();
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Batch => self.batch(),
            Due::Wake => {
                self.pending.push(Event::Timer);
                self.deadlines.set(Due::Batch, self.clock.now().max(self.last_batch + self.round));
            }
            Due::News(place) => self.news_passed(place),
            Due::OpenNews => self.open_news(),
            Due::Call => {}
            Due::Accept => self.accept(Look::Again),
            Due::Look => self.look_at_all(),
            Due::Status => self.report(),
            Due::Beliefs => self.report_beliefs(),
            Due::Connection(id) => self.timed_out(id),
            Due::Register(id) => self.register_client(id),
            Due::Transfer(id) => self.look_again_at(id),
            Due::Config => self.read_config(),
            Due::Watch => self.watch_again(),
            Due::Fetch => self.fetch(),
            Due::Probes => self.probe_again(),
            // The loop looks at how far the end has come.
            Due::End => {}
        }
    }
}
