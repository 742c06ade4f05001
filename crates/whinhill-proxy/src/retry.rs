//! Decides after each try whether another try follows or the RPC gets its final answer. No I/O and no clock: the
//! outcome of a try goes in, the next step comes out.
//!
//! A try is retried only if the slice's table allows it, time is left and the client still waits; and never if the
//! effect could happen twice: after a try that may have run, only an idempotent RPC is sent again. Nothing is retried
//! once part of an answer was passed on, or if the request can't be sent again from its first byte.

use std::time::Duration;

use whinhill_transport::{CallError, NeverRan};
use whinhill_xds::mapping::Effect;

/// How one try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// The table changed between the choice of the server and the first byte: nothing was sent, and the try doesn't
    /// count.
    NotSent,
    /// The server's answer was passed on to the client.
    Answered,
    /// The try failed, with proof that it never ran.
    NeverRan(NeverRan),
    /// The try failed, but may have run or may still run.
    MayHaveRun {
        /// The try timed out, and nothing had arrived on its connection for so long that the connection may be dead.
        connection_silent: bool,
    },
    /// The answer broke off after part of it was passed on: the client has seen the failure.
    AnswerTruncated,
    /// The proxy ended the try: the client has gone or sent a request that can't be passed on, or the level became 0.
    Aborted,
}

/// The conditions for a retry at the end of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryConditions {
    /// Time until the RPC's deadline.
    pub time_left: Duration,
    /// The client still waits for the answer.
    pub client_waiting: bool,
    /// The request can be sent again from its first byte.
    pub request_replayable: bool,
}

impl RetryConditions {
    /// Whether all conditions for a retry are met.
    fn allow_retry(self) -> bool {
        !self.time_left.is_zero() && self.client_waiting && self.request_replayable
    }
}

impl TryOutcome {
    /// The outcome of a try that failed with `error`. `silent_for` is the time since the connection last received
    /// anything. Data received soon after sending may answer earlier RPCs and doesn't show that the path to the server
    /// works, so only the second half of the wait counts: a path that is dead in one direction goes silent in both
    /// once the RPCs that were on their way have been answered.
    pub fn from_error(error: &CallError, silent_for: Duration) -> Self {
        match (error.never_ran(), error) {
            (Some(proof), _) => TryOutcome::NeverRan(proof),
            (None, CallError::Deadline(within)) => {
                TryOutcome::MayHaveRun { connection_silent: silent_for >= *within / 2 }
            }
            (None, _) => TryOutcome::MayHaveRun { connection_silent: false },
        }
    }
}

/// What the proxy does after a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Choose a server by the current table, and send.
    Reroute,
    /// Send once more to the same server, on a new connection.
    SameServer,
    /// The last try's outcome is the RPC's outcome.
    Finish,
}

/// The state of one RPC's tries.
#[derive(Clone, Debug)]
pub struct RetryState {
    effect: Effect,
    writes: bool,
    /// The retry setting of the table at the first try: 0 no retry; 1 one retry, only with proof that the try never
    /// ran; 2 one retry and 3 two retries after any failure.
    retry_setting: Option<u8>,
    failures: u8,
    /// The current try has been sent a second time to the same server.
    resent: bool,
    /// At least one try may have run.
    may_have_run: bool,
}

impl RetryState {
    /// The state before the first try of a method with this effect.
    pub fn new(effect: Effect, writes: bool) -> Self {
        RetryState { effect, writes, retry_setting: None, failures: 0, resent: false, may_have_run: false }
    }

    /// Begins a try with a table that has this retry setting. The first table's setting counts: a table that arrives
    /// during the RPC changes where tries go, but not how many there are.
    pub fn begin_try(&mut self, retry_setting: u8) {
        self.retry_setting.get_or_insert(retry_setting);
        self.resent = false;
    }

    /// Whether the current try may be retried after a timeout. If so, it waits for less than the whole deadline.
    pub fn may_retry_after_timeout(&self) -> bool {
        let setting = self.retry_setting.unwrap_or(0);
        setting >= 2 && self.effect == Effect::Idempotent && self.failures + 1 < setting
    }

    /// Whether the connection must be closed so that an unanswered write can't arrive at the server later.
    pub fn must_close_connection(&self, outcome: TryOutcome) -> bool {
        self.writes && outcome == TryOutcome::MayHaveRun { connection_silent: true }
    }

    /// Decides what follows a try with this outcome.
    pub fn next_step(&mut self, outcome: TryOutcome, conditions: RetryConditions) -> NextStep {
        match outcome {
            TryOutcome::Answered | TryOutcome::AnswerTruncated | TryOutcome::Aborted => NextStep::Finish,
            TryOutcome::NotSent => NextStep::Reroute,
            // Either end closed the idle connection while the RPC was being sent. The error proves that the RPC never
            // ran, so it is sent to the same server once more; this doesn't count as a failure of the server.
            TryOutcome::NeverRan(NeverRan::NeverWritten | NeverRan::AboveGoAway)
                if !self.resent && conditions.allow_retry() =>
            {
                self.resent = true;
                NextStep::SameServer
            }
            TryOutcome::NeverRan(_) => self.after_failure(true, conditions),
            TryOutcome::MayHaveRun { .. } => {
                self.may_have_run = true;
                self.after_failure(false, conditions)
            }
        }
    }

    /// Decides what follows a failed try; `proof`: it is proven that the try never ran.
    fn after_failure(&mut self, proof: bool, conditions: RetryConditions) -> NextStep {
        self.failures += 1;
        // Proof for the last try says nothing about earlier tries.
        let safe = self.effect == Effect::Idempotent || proof && !self.may_have_run;
        let tries_left = match self.retry_setting.unwrap_or(0) {
            0 => false,
            1 => self.failures <= 1 && proof,
            max_tries => self.failures < max_tries,
        };
        if tries_left && safe && conditions.allow_retry() {
            NextStep::Reroute
        } else {
            NextStep::Finish
        }
    }
}

#[cfg(test)]
mod tests {
    use rand::seq::IndexedRandom;
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    use super::*;

    const LEFT: Duration = Duration::from_secs(1);
    const GOOD: RetryConditions =
        RetryConditions { time_left: LEFT, client_waiting: true, request_replayable: true };
    const OUTCOMES: [TryOutcome; 11] = [
        TryOutcome::AnswerTruncated,
        TryOutcome::Aborted,
        TryOutcome::NotSent,
        TryOutcome::Answered,
        TryOutcome::NeverRan(NeverRan::NoConnection),
        TryOutcome::NeverRan(NeverRan::NotTried),
        TryOutcome::NeverRan(NeverRan::NeverWritten),
        TryOutcome::NeverRan(NeverRan::RefusedStream),
        TryOutcome::NeverRan(NeverRan::AboveGoAway),
        TryOutcome::MayHaveRun { connection_silent: false },
        TryOutcome::MayHaveRun { connection_silent: true },
    ];

    fn retry(effect: Effect, retry_setting: u8) -> RetryState {
        let mut retry = RetryState::new(effect, effect != Effect::Idempotent);
        retry.begin_try(retry_setting);
        retry
    }

    /// Draws random sequences of outcomes: an RPC that must not run twice is never sent after a try that may have run,
    /// tries stay within the allowed number, and every RPC ends.
    #[test]
    fn random_outcomes_then_no_effect_happens_twice() {
        for seed in 0..20_000 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let effect =
                *[Effect::Idempotent, Effect::Tokened, Effect::NonIdempotent].choose(&mut rng).unwrap();
            let retry_setting = rng.random_range(0..=3u8);
            let mut retry = RetryState::new(effect, effect != Effect::Idempotent);
            let (mut may_have_run, mut sent, mut failures) = (0, 0, 0);
            let mut history = Vec::new();
            loop {
                retry.begin_try(if sent == 0 { retry_setting } else { 3 });
                let mut resends = 0;
                let next = loop {
                    let outcome = *OUTCOMES.choose(&mut rng).unwrap();
                    history.push(outcome);
                    let context =
                        format!("seed {seed}, {effect:?}, retry setting {retry_setting}: {history:?}");
                    if outcome != TryOutcome::NotSent {
                        sent += 1;
                        assert!(effect == Effect::Idempotent || may_have_run == 0, "{context}");
                    }
                    may_have_run +=
                        u64::from(!matches!(outcome, TryOutcome::NotSent | TryOutcome::NeverRan(_)));
                    let conditions = RetryConditions {
                        time_left: if rng.random_bool(0.05) { Duration::ZERO } else { LEFT },
                        client_waiting: rng.random_bool(0.95),
                        request_replayable: rng.random_bool(0.95),
                    };
                    let next = retry.next_step(outcome, conditions);
                    assert!(
                        conditions.allow_retry()
                            || outcome == TryOutcome::NotSent
                            || next == NextStep::Finish,
                        "{context}"
                    );
                    assert!(
                        !matches!(outcome, TryOutcome::AnswerTruncated | TryOutcome::Aborted)
                            || next == NextStep::Finish,
                        "{context}"
                    );
                    if next != NextStep::SameServer {
                        failures += u64::from(matches!(
                            outcome,
                            TryOutcome::NeverRan(_) | TryOutcome::MayHaveRun { .. }
                        ));
                        break next;
                    }
                    resends += 1;
                    assert!(resends <= 1, "{context}");
                };
                let max_failures = [1, 2, 2, 3][usize::from(retry_setting)];
                assert!(failures <= max_failures, "seed {seed}: {history:?}");
                if next == NextStep::Finish || history.len() > 200 {
                    break;
                }
            }
            assert!(history.len() <= 200, "seed {seed}");
        }
    }

    #[test]
    fn default_setting_allows_one_retry_only_with_proof() {
        let refused = TryOutcome::NeverRan(NeverRan::RefusedStream);
        let mut write = retry(Effect::NonIdempotent, 1);
        assert_eq!(write.next_step(refused, GOOD), NextStep::Reroute);
        assert_eq!(write.next_step(refused, GOOD), NextStep::Finish);
        let lost = TryOutcome::MayHaveRun { connection_silent: false };
        assert_eq!(retry(Effect::Idempotent, 1).next_step(lost, GOOD), NextStep::Finish);
        assert_eq!(retry(Effect::Idempotent, 2).next_step(lost, GOOD), NextStep::Reroute);
        assert_eq!(retry(Effect::Tokened, 3).next_step(lost, GOOD), NextStep::Finish);
        assert_eq!(retry(Effect::NonIdempotent, 0).next_step(refused, GOOD), NextStep::Finish);
        // A request that is no longer kept whole can't be sent again, even with proof.
        let not_replayable = RetryConditions { request_replayable: false, ..GOOD };
        assert_eq!(retry(Effect::Idempotent, 3).next_step(refused, not_replayable), NextStep::Finish);
    }

    #[test]
    fn retry_after_timeout_only_for_idempotent_rpcs_with_tries_left() {
        let lost = TryOutcome::MayHaveRun { connection_silent: false };
        for (retry_setting, expected) in
            [(0, [false; 3]), (1, [false; 3]), (2, [true, false, false]), (3, [true, true, false])]
        {
            let mut read = retry(Effect::Idempotent, retry_setting);
            let actual = [(); 3].map(|()| {
                let may = read.may_retry_after_timeout();
                read.next_step(lost, GOOD);
                may
            });
            assert_eq!(actual, expected, "{retry_setting}");
        }
        assert!(!retry(Effect::NonIdempotent, 3).may_retry_after_timeout());
        assert!(!retry(Effect::Tokened, 3).may_retry_after_timeout());
    }

    #[test]
    fn closed_idle_connection_then_one_resend_to_the_same_server() {
        let mut write = retry(Effect::NonIdempotent, 0);
        let idle = TryOutcome::NeverRan(NeverRan::AboveGoAway);
        assert_eq!(write.next_step(idle, GOOD), NextStep::SameServer);
        assert_eq!(write.next_step(idle, GOOD), NextStep::Finish);
        assert_eq!(
            retry(Effect::NonIdempotent, 0)
                .next_step(idle, RetryConditions { time_left: Duration::ZERO, ..GOOD }),
            NextStep::Finish
        );
    }

    #[test]
    fn only_a_timed_out_write_on_a_silent_connection_closes_it() {
        let silent_timeout = TryOutcome::MayHaveRun { connection_silent: true };
        assert!(retry(Effect::NonIdempotent, 1).must_close_connection(silent_timeout));
        assert!(!retry(Effect::Idempotent, 1).must_close_connection(silent_timeout));
        assert!(!retry(Effect::NonIdempotent, 1)
            .must_close_connection(TryOutcome::MayHaveRun { connection_silent: false }));
        let late = CallError::Deadline(LEFT);
        // The last data arrived in the first half of the wait; in the second case, in the second half.
        assert_eq!(TryOutcome::from_error(&late, LEFT * 2 / 3), silent_timeout);
        assert_eq!(
            TryOutcome::from_error(&late, LEFT / 3),
            TryOutcome::MayHaveRun { connection_silent: false }
        );
        let reset = CallError::Reset("closed".into());
        assert_eq!(TryOutcome::from_error(&reset, LEFT), TryOutcome::MayHaveRun { connection_silent: false });
    }
}
