//! What follows a try, until an RPC has its one final answer. No I/O, no clock: how a try ended in, what next out.
//!
//! A try follows another only where the slice's table allows it, time is left and the client still wants it; and
//! never where the effect could come twice: past a try that may have run only an idempotent RPC goes again. Nothing
//! follows once a part of an answer was passed on, or while the request can't be sent again from its first byte.

use std::time::Duration;

use whinhill_transport::{CallError, NeverRan};
use whinhill_xds::mapping::Effect;

/// How one try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The table changed between the draw and the first byte: nothing was sent, and it counts for nothing.
    NotSent,
    Answered,
    /// With proof that it never ran.
    NeverRan(NeverRan),
    /// It may have run, and may run still.
    MayHaveRun {
        /// It ran out of time, and its connection had been silent for too long to count as one that carries.
        swallowed: bool,
    },
    /// Its answer broke off after a part of it was passed on: the client has been told.
    BrokenOff,
    /// It was to end here: its client has gone or sent what can't be passed on, or its level became 0.
    CutShort,
}

/// What the moment allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Chances {
    /// Until the RPC's deadline.
    pub left: Duration,
    /// The client is still there.
    pub wanted: bool,
    /// The request can be sent again from its first byte.
    pub whole: bool,
}

impl Chances {
    fn any(self) -> bool {
        !self.left.is_zero() && self.wanted && self.whole
    }
}

impl Ended {
    /// `silent`: how long nothing had come on the connection. What came soon after the sending may answer earlier
    /// RPCs and says nothing of the way there, so the later half of the wait counts: a path that is dead one way
    /// falls silent both ways once what was under way has been answered.
    pub fn failed(error: &CallError, silent: Duration) -> Self {
        match (error.never_ran(), error) {
            (Some(proof), _) => Ended::NeverRan(proof),
            (None, CallError::Deadline(within)) => Ended::MayHaveRun { swallowed: silent >= *within / 2 },
            (None, _) => Ended::MayHaveRun { swallowed: false },
        }
    }
}

/// What is to be done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Look at the table again, and send.
    Route,
    /// Send to the same server once more, on a fresh connection.
    SameServer,
    /// The last try's end is the RPC's.
    Finish,
}

/// One RPC's tries.
#[derive(Clone, Debug)]
pub struct Trial {
    effect: Effect,
    writes: bool,
    /// How tries may follow, as the first table said: 0 none; 1 one, after proof; 2 one and 3 two after any failure.
    allowed: Option<u8>,
    failed: u8,
    /// The try under way has been sent a second time to the same server.
    fresh: bool,
    /// Some try may have run.
    may_have_run: bool,
}

impl Trial {
    pub fn new(effect: Effect, writes: bool) -> Self {
        Trial { effect, writes, allowed: None, failed: 0, fresh: false, may_have_run: false }
    }

    /// A try begins, by a table that allows so many. The first one's word counts: a table that arrives in the
    /// middle changes where tries go, not how many there are.
    pub fn begins(&mut self, allowed: u8) {
        self.allowed.get_or_insert(allowed);
        self.fresh = false;
    }

    /// Whether another try may follow the one that begins now if it isn't answered in time: it then waits for less
    /// than the whole deadline.
    pub fn may_be_followed(&self) -> bool {
        let most = self.allowed.unwrap_or(0);
        most >= 2 && self.effect == Effect::Idempotent && self.failed + 1 < most
    }

    /// Whether a connection that swallowed a write must be broken off, so that the write can't arrive later.
    pub fn severs(&self, ended: Ended) -> bool {
        self.writes && ended == Ended::MayHaveRun { swallowed: true }
    }

    /// What follows a try that ended so.
    pub fn ended(&mut self, ended: Ended, chances: Chances) -> Next {
        match ended {
            Ended::Answered | Ended::BrokenOff | Ended::CutShort => Next::Finish,
            Ended::NotSent => Next::Route,
            // The connection was closed for idleness, by either end, as the RPC was on its way to it: with that
            // proof it goes to the same server once more, and is no failure of the server.
            Ended::NeverRan(NeverRan::NeverWritten | NeverRan::AboveGoAway)
                if !self.fresh && chances.any() =>
            {
                self.fresh = true;
                Next::SameServer
            }
            Ended::NeverRan(_) => self.again(true, chances),
            Ended::MayHaveRun { .. } => {
                self.may_have_run = true;
                self.again(false, chances)
            }
        }
    }

    fn again(&mut self, proof: bool, chances: Chances) -> Next {
        self.failed += 1;
        // Proof for the last try says nothing of one before it.
        let safe = self.effect == Effect::Idempotent || proof && !self.may_have_run;
        let more = match self.allowed.unwrap_or(0) {
            0 => false,
            1 => self.failed <= 1 && proof,
            most => self.failed < most,
        };
        if more && safe && chances.any() {
            Next::Route
        } else {
            Next::Finish
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
    const GOOD: Chances = Chances { left: LEFT, wanted: true, whole: true };
    const ENDS: [Ended; 11] = [
        Ended::BrokenOff,
        Ended::CutShort,
        Ended::NotSent,
        Ended::Answered,
        Ended::NeverRan(NeverRan::NoConnection),
        Ended::NeverRan(NeverRan::NotTried),
        Ended::NeverRan(NeverRan::NeverWritten),
        Ended::NeverRan(NeverRan::RefusedStream),
        Ended::NeverRan(NeverRan::AboveGoAway),
        Ended::MayHaveRun { swallowed: false },
        Ended::MayHaveRun { swallowed: true },
    ];

    fn trial(effect: Effect, allowed: u8) -> Trial {
        let mut trial = Trial::new(effect, effect != Effect::Idempotent);
        trial.begins(allowed);
        trial
    }

    /// Every way a try can end, in any order: what must not run twice is never sent after a try that may have run,
    /// tries stay within what is allowed, and the RPC comes to its end.
    #[test]
    fn no_effect_comes_twice_however_tries_end() {
        for seed in 0..20_000 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let effect =
                *[Effect::Idempotent, Effect::Tokened, Effect::NonIdempotent].choose(&mut rng).unwrap();
            let allowed = rng.random_range(0..=3u8);
            let mut trial = Trial::new(effect, effect != Effect::Idempotent);
            let (mut may_have_run, mut sent, mut failures) = (0, 0, 0);
            let mut history = Vec::new();
            loop {
                trial.begins(if sent == 0 { allowed } else { 3 });
                let mut same = 0;
                let next = loop {
                    let ended = *ENDS.choose(&mut rng).unwrap();
                    history.push(ended);
                    let context = format!("seed {seed}, {effect:?}, {allowed} allowed: {history:?}");
                    if ended != Ended::NotSent {
                        sent += 1;
                        assert!(effect == Effect::Idempotent || may_have_run == 0, "{context}");
                    }
                    may_have_run += u64::from(!matches!(ended, Ended::NotSent | Ended::NeverRan(_)));
                    let chances = Chances {
                        left: if rng.random_bool(0.05) { Duration::ZERO } else { LEFT },
                        wanted: rng.random_bool(0.95),
                        whole: rng.random_bool(0.95),
                    };
                    let next = trial.ended(ended, chances);
                    assert!(chances.any() || ended == Ended::NotSent || next == Next::Finish, "{context}");
                    assert!(
                        !matches!(ended, Ended::BrokenOff | Ended::CutShort) || next == Next::Finish,
                        "{context}"
                    );
                    if next != Next::SameServer {
                        failures += u64::from(matches!(ended, Ended::NeverRan(_) | Ended::MayHaveRun { .. }));
                        break next;
                    }
                    same += 1;
                    assert!(same <= 1, "{context}");
                };
                let most = [1, 2, 2, 3][usize::from(allowed)];
                assert!(failures <= most, "seed {seed}: {history:?}");
                if next == Next::Finish || history.len() > 200 {
                    break;
                }
            }
            assert!(history.len() <= 200, "seed {seed}");
        }
    }

    #[test]
    fn the_default_is_one_more_try_after_proof_alone() {
        let refused = Ended::NeverRan(NeverRan::RefusedStream);
        let mut write = trial(Effect::NonIdempotent, 1);
        assert_eq!(write.ended(refused, GOOD), Next::Route);
        assert_eq!(write.ended(refused, GOOD), Next::Finish);
        let lost = Ended::MayHaveRun { swallowed: false };
        assert_eq!(trial(Effect::Idempotent, 1).ended(lost, GOOD), Next::Finish);
        assert_eq!(trial(Effect::Idempotent, 2).ended(lost, GOOD), Next::Route);
        assert_eq!(trial(Effect::Tokened, 3).ended(lost, GOOD), Next::Finish);
        assert_eq!(trial(Effect::NonIdempotent, 0).ended(refused, GOOD), Next::Finish);
        // What was let go of the request can't be sent again, whatever the proof.
        let let_go = Chances { whole: false, ..GOOD };
        assert_eq!(trial(Effect::Idempotent, 3).ended(refused, let_go), Next::Finish);
    }

    #[test]
    fn only_a_try_that_may_be_followed_waits_for_less_than_the_deadline() {
        let lost = Ended::MayHaveRun { swallowed: false };
        for (allowed, wanted) in
            [(0, [false; 3]), (1, [false; 3]), (2, [true, false, false]), (3, [true, true, false])]
        {
            let mut read = trial(Effect::Idempotent, allowed);
            let found = [(); 3].map(|()| {
                let may = read.may_be_followed();
                read.ended(lost, GOOD);
                may
            });
            assert_eq!(found, wanted, "{allowed}");
        }
        assert!(!trial(Effect::NonIdempotent, 3).may_be_followed());
        assert!(!trial(Effect::Tokened, 3).may_be_followed());
    }

    #[test]
    fn a_closed_idle_connection_is_no_failure_of_its_server() {
        let mut write = trial(Effect::NonIdempotent, 0);
        let idle = Ended::NeverRan(NeverRan::AboveGoAway);
        assert_eq!(write.ended(idle, GOOD), Next::SameServer);
        assert_eq!(write.ended(idle, GOOD), Next::Finish);
        assert_eq!(
            trial(Effect::NonIdempotent, 0).ended(idle, Chances { left: Duration::ZERO, ..GOOD }),
            Next::Finish
        );
    }

    #[test]
    fn only_a_swallowed_write_severs() {
        let swallowed = Ended::MayHaveRun { swallowed: true };
        assert!(trial(Effect::NonIdempotent, 1).severs(swallowed));
        assert!(!trial(Effect::Idempotent, 1).severs(swallowed));
        assert!(!trial(Effect::NonIdempotent, 1).severs(Ended::MayHaveRun { swallowed: false }));
        let late = CallError::Deadline(LEFT);
        // Others were answered in the first half; in the second nobody was.
        assert_eq!(Ended::failed(&late, LEFT * 2 / 3), swallowed);
        assert_eq!(Ended::failed(&late, LEFT / 3), Ended::MayHaveRun { swallowed: false });
        let reset = CallError::Reset("closed".into());
        assert_eq!(Ended::failed(&reset, LEFT), Ended::MayHaveRun { swallowed: false });
    }
}
