//! Checks the sizes of gRPC messages in a byte stream that arrives in chunks, without I/O and without assembling
//! the messages.

use crate::call::PREFIX_LEN;
use crate::error::CallError;

/// Limits for one direction of a call, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// Maximum size of one message.
    pub max_message: usize,
    /// Maximum size of all messages together, with their prefixes.
    pub max_body: u64,
}

/// The parser's position in the messages of one direction.
#[derive(Clone, Debug)]
pub struct Framing {
    limits: BodyLimits,
    prefix: [u8; PREFIX_LEN],
    /// Number of bytes of the current prefix that have arrived.
    prefix_received: usize,
    /// Number of bytes of the current message that are still to come.
    message_remaining: usize,
    /// Number of bytes received so far, prefixes included.
    received: u64,
}

impl Framing {
    /// Starts before the first message.
    pub fn new(limits: BodyLimits) -> Self {
        Framing { limits, prefix: [0; PREFIX_LEN], prefix_received: 0, message_remaining: 0, received: 0 }
    }

    /// The limits that are checked.
    pub fn limits(&self) -> BodyLimits {
        self.limits
    }

    /// Processes the next chunk. Fails as soon as a prefix announces a message that is too long.
    pub fn check(&mut self, chunk: &[u8]) -> Result<(), CallError> {
        self.received += chunk.len() as u64;
        if self.received > self.limits.max_body {
            return Err(CallError::TooLarge {
                size: self.received as usize,
                max: self.limits.max_body as usize,
            });
        }
        let mut remaining = chunk;
        while !remaining.is_empty() {
            if self.message_remaining > 0 {
                let length = self.message_remaining.min(remaining.len());
                self.message_remaining -= length;
                remaining = &remaining[length..];
                continue;
            }
            let length = (PREFIX_LEN - self.prefix_received).min(remaining.len());
            self.prefix[self.prefix_received..self.prefix_received + length]
                .copy_from_slice(&remaining[..length]);
            self.prefix_received += length;
            remaining = &remaining[length..];
            if self.prefix_received == PREFIX_LEN {
                let [compressed, size @ ..] = self.prefix;
                if compressed > 1 {
                    return Err(CallError::Malformed("no gRPC message: its first byte is neither 0 nor 1"));
                }
                let size = u32::from_be_bytes(size) as usize;
                if size > self.limits.max_message {
                    return Err(CallError::TooLarge { size, max: self.limits.max_message });
                }
                (self.prefix_received, self.message_remaining) = (0, size);
            }
        }
        Ok(())
    }

    /// Whether the stream is between two messages, so that it may end here.
    pub fn at_message_boundary(&self) -> bool {
        self.prefix_received == 0 && self.message_remaining == 0
    }
}

#[cfg(test)]
mod tests {
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    use super::*;

    const LIMITS: BodyLimits = BodyLimits { max_message: 100, max_body: 2000 };

    fn message(size: usize) -> Vec<u8> {
        let mut bytes = vec![0];
        bytes.extend((size as u32).to_be_bytes());
        bytes.extend(vec![7; size]);
        bytes
    }

    /// The chunk boundaries change neither the result nor the byte at which an error is detected.
    #[test]
    fn message_sizes_are_checked_regardless_of_chunk_boundaries() {
        for seed in 0..500 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let sizes: Vec<usize> = (0..6).map(|_| rng.random_range(0..110)).collect();
            let bytes: Vec<u8> = sizes.iter().flat_map(|size| message(*size)).collect();
            let bad = sizes.iter().position(|size| *size > 100);
            let known_at =
                bad.map(|bad| sizes[..bad].iter().map(|size| size + PREFIX_LEN).sum::<usize>() + PREFIX_LEN);
            let (mut framing, mut at) = (Framing::new(LIMITS), 0);
            while at < bytes.len() {
                let length = rng.random_range(1..40).min(bytes.len() - at);
                let result = framing.check(&bytes[at..at + length]);
                at += length;
                let found = known_at.is_some_and(|known| known <= at);
                assert_eq!(result.is_err(), found, "seed {seed}, {sizes:?}, byte {at}");
                if found {
                    break;
                }
            }
            assert!(bad.is_some() || framing.at_message_boundary(), "seed {seed}");
        }
    }

    #[test]
    fn body_over_limit_and_invalid_prefix_are_rejected() {
        let mut framing = Framing::new(LIMITS);
        let result: Result<(), _> = (0..30).try_for_each(|_| framing.check(&message(95)));
        assert!(matches!(result, Err(CallError::TooLarge { size: 2100, max: 2000 })), "{result:?}");
        assert!(matches!(Framing::new(LIMITS).check(b"hello"), Err(CallError::Malformed(_))));
        let mut partial = Framing::new(LIMITS);
        assert!(partial.check(&message(9)[..8]).is_ok() && !partial.at_message_boundary());
    }
}
