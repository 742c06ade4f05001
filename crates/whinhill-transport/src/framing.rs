//! Watches gRPC messages go by in pieces, and measures them. No I/O; nothing is put together.

use crate::call::PREFIX;
use crate::error::CallError;

/// Bounds on what passes in one direction of a call, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// One message.
    pub message_most: usize,
    /// All messages together, with their prefixes.
    pub body_most: u64,
}

/// Where in the messages of one direction the next byte falls.
#[derive(Clone, Debug)]
pub struct Framing {
    limits: BodyLimits,
    prefix: [u8; PREFIX],
    /// Bytes of the prefix that have come, and of the message that are still to come.
    have: usize,
    left: usize,
    all: u64,
}

impl Framing {
    pub fn new(limits: BodyLimits) -> Self {
        Framing { limits, prefix: [0; PREFIX], have: 0, left: 0, all: 0 }
    }

    pub fn limits(&self) -> BodyLimits {
        self.limits
    }

    /// Takes the next piece; fails as soon as a message's prefix says that it will be too long.
    pub fn take(&mut self, piece: &[u8]) -> Result<(), CallError> {
        self.all += piece.len() as u64;
        if self.all > self.limits.body_most {
            return Err(CallError::TooLarge {
                size: self.all as usize,
                most: self.limits.body_most as usize,
            });
        }
        let mut rest = piece;
        while !rest.is_empty() {
            if self.left > 0 {
                let step = self.left.min(rest.len());
                self.left -= step;
                rest = &rest[step..];
                continue;
            }
            let step = (PREFIX - self.have).min(rest.len());
            self.prefix[self.have..self.have + step].copy_from_slice(&rest[..step]);
            self.have += step;
            rest = &rest[step..];
            if self.have == PREFIX {
                let [compressed, size @ ..] = self.prefix;
                if compressed > 1 {
                    return Err(CallError::Malformed("no gRPC message: its first byte is neither 0 nor 1"));
                }
                let size = u32::from_be_bytes(size) as usize;
                if size > self.limits.message_most {
                    return Err(CallError::TooLarge { size, most: self.limits.message_most });
                }
                (self.have, self.left) = (0, size);
            }
        }
        Ok(())
    }

    /// Whether the direction may end here: between two messages.
    pub fn whole(&self) -> bool {
        self.have == 0 && self.left == 0
    }
}

#[cfg(test)]
mod tests {
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    use super::*;

    const LIMITS: BodyLimits = BodyLimits { message_most: 100, body_most: 2000 };

    fn message(size: usize) -> Vec<u8> {
        let mut bytes = vec![0];
        bytes.extend((size as u32).to_be_bytes());
        bytes.extend(vec![7; size]);
        bytes
    }

    /// However messages are cut into pieces, the same is found, and at the same byte.
    #[test]
    fn messages_are_measured_however_they_are_cut() {
        for seed in 0..500 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let sizes: Vec<usize> = (0..6).map(|_| rng.random_range(0..110)).collect();
            let bytes: Vec<u8> = sizes.iter().flat_map(|size| message(*size)).collect();
            let bad = sizes.iter().position(|size| *size > 100);
            let known_at =
                bad.map(|bad| sizes[..bad].iter().map(|size| size + PREFIX).sum::<usize>() + PREFIX);
            let (mut framing, mut at) = (Framing::new(LIMITS), 0);
            while at < bytes.len() {
                let step = rng.random_range(1..40).min(bytes.len() - at);
                let result = framing.take(&bytes[at..at + step]);
                at += step;
                let found = known_at.is_some_and(|known| known <= at);
                assert_eq!(result.is_err(), found, "seed {seed}, {sizes:?}, byte {at}");
                if found {
                    break;
                }
            }
            assert!(bad.is_some() || framing.whole(), "seed {seed}");
        }
    }

    #[test]
    fn a_body_over_its_limit_and_what_is_no_message_are_refused() {
        let mut framing = Framing::new(LIMITS);
        let result: Result<(), _> = (0..30).try_for_each(|_| framing.take(&message(95)));
        assert!(matches!(result, Err(CallError::TooLarge { size: 2100, most: 2000 })), "{result:?}");
        assert!(matches!(Framing::new(LIMITS).take(b"hello"), Err(CallError::Malformed(_))));
        let mut half = Framing::new(LIMITS);
        assert!(half.take(&message(9)[..8]).is_ok() && !half.whole());
    }
}
