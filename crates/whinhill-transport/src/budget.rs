//! The memory that the incoming calls of a listener may take, divided among its connections.
//!
//! Calls and parts of messages have budgets of their own, so that neither uses up the other's. All connections that were
//! ever greedy together take less than their budget of calls, as each may hold only an equal part of an eighth of it when
//! it asks (the sum of 1/(8 n) up to a thousand connections is under 1); a connection without a call gets one while there
//! is room. Parts of messages are short-lived: a connection gets more of that budget while it would then hold no more than
//! what is left for all others.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The part of the budget of calls that is divided equally among the connections, as a divisor.
const CALLS_DIVISOR: usize = 8;

/// How a budget is divided among connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Division {
    /// Each gets an equal part of [`CALLS_DIVISOR`], and one reservation in any case.
    EqualParts,
    /// Each gets as much as it leaves for all others.
    AsMuchAsIsLeft,
}

/// The memory for the calls of one listener.
#[derive(Debug)]
pub struct MemoryBudget {
    calls: Pool,
    messages: Pool,
}

/// One of the two budgets.
#[derive(Debug)]
struct Pool {
    division: Division,
    /// In bytes.
    total: usize,
    usage: Mutex<Usage>,
}

#[derive(Debug, Default)]
struct Usage {
    /// Bytes that all connections hold.
    used: usize,
    connections: usize,
}

/// What one connection holds of a budget, in bytes; changed only under the lock of the pool's usage.
#[derive(Debug, Default)]
struct Held {
    calls: Mutex<usize>,
    messages: Mutex<usize>,
}

/// One connection's share of a budget.
#[derive(Debug)]
pub struct ConnectionShare {
    budget: Arc<MemoryBudget>,
    held: Held,
}

/// Which of the two budgets a reservation belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Call,
    Message,
}

/// Memory that a call holds until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    share: Arc<ConnectionShare>,
    purpose: Purpose,
    bytes: usize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Pool {
    fn new(division: Division, total: usize) -> Self {
        Pool { division, total, usage: Mutex::default() }
    }

    /// Whether a connection that holds `held` bytes may hold `held_after`.
    fn allows(&self, usage: &Usage, held: usize, held_after: usize) -> bool {
        let used_after = (usage.used - held).saturating_add(held_after);
        if used_after > self.total {
            return false;
        }
        match self.division {
            Division::EqualParts => {
                let part = self.total / CALLS_DIVISOR / usage.connections.max(1);
                held == 0 || held_after <= part
            }
            Division::AsMuchAsIsLeft => held_after <= self.total - used_after,
        }
    }
}

impl MemoryBudget {
    /// Budgets for calls and for parts of their messages, in bytes.
    pub fn new(calls: usize, messages: usize) -> Arc<Self> {
        let calls = Pool::new(Division::EqualParts, calls);
        let messages = Pool::new(Division::AsMuchAsIsLeft, messages);
        Arc::new(MemoryBudget { calls, messages })
    }

    /// The share of a new connection.
    pub fn share(self: &Arc<Self>) -> Arc<ConnectionShare> {
        lock(&self.calls.usage).connections += 1;
        Arc::new(ConnectionShare { budget: self.clone(), held: Held::default() })
    }
}

impl Drop for ConnectionShare {
    fn drop(&mut self) {
        lock(&self.budget.calls.usage).connections -= 1;
    }
}

impl ConnectionShare {
    /// Reserves memory for a call; `None` if the connection already holds its share.
    pub fn reserve_call(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation { share: self.clone(), purpose: Purpose::Call, bytes: 0 };
        reservation.resize(bytes).then_some(reservation)
    }

    /// A reservation for parts of messages, of no bytes yet.
    pub fn message_buffer(self: &Arc<Self>) -> Reservation {
        Reservation { share: self.clone(), purpose: Purpose::Message, bytes: 0 }
    }
}

impl Reservation {
    /// Changes the size. False, without a change, if it is larger than before and the connection already holds its share.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let (budget, held) = (&self.share.budget, &self.share.held);
        let (pool, held) = match self.purpose {
            Purpose::Call => (&budget.calls, &held.calls),
            Purpose::Message => (&budget.messages, &held.messages),
        };
        let mut usage = lock(&pool.usage);
        let mut held = lock(held);
        let held_after = (*held - self.bytes).saturating_add(bytes);
        if bytes > self.bytes && !pool.allows(&usage, *held, held_after) {
            return false;
        }
        usage.used = usage.used - *held + held_after;
        *held = held_after;
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

#[cfg(test)]
mod tests;
